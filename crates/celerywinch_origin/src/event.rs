//! Decisions about jobs worth a line in the logs, with what decided them.

use celerywinch_types::{Domain, InstanceId, JobEnd, JobId};
use serde::Serialize;

/// A decision about a job.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum JobEvent {
    /// A job was accepted for its caller.
    Submitted {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: String,
        /// How many tasks it has.
        tasks: usize,
    },
    /// Tasks were handed to a dispatcher.
    HandedIn {
        /// The job.
        job: JobId,
        /// A domain of the dispatcher.
        domain: Domain,
        /// The dispatcher.
        to: InstanceId,
        /// How many tasks.
        tasks: usize,
        /// How many of them may be running already.
        unsure: usize,
        /// Places that the dispatcher was believed to have.
        free: u32,
    },
    /// A dispatcher was lost with open tasks.
    DispatcherLost {
        /// The job.
        job: JobId,
        /// The dispatcher.
        dispatcher: InstanceId,
    },
    /// The caller got its answer.
    Answered {
        /// The job.
        job: JobId,
        /// How it ended.
        end: JobEnd,
        /// Ms since it arrived.
        took: u32,
    },
    /// The caller left before its answer.
    CallerLeft {
        /// The job.
        job: JobId,
        /// Ms since it arrived.
        took: u32,
    },
}

impl JobEvent {
    /// Whether it tells of something that goes as it should.
    #[must_use]
    pub fn is_routine(&self) -> bool {
        match self {
            Self::Submitted { .. } => true,
            Self::HandedIn { unsure, .. } => *unsure == 0,
            Self::Answered { end, .. } => *end == JobEnd::Completed,
            Self::DispatcherLost { .. } | Self::CallerLeft { .. } => false,
        }
    }
}

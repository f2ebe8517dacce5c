//! Events of jobs, written to the structured log.

use celerywinch_types::{DeclineReason, Domain, InstanceId, JobEnd, JobId};
use serde::Serialize;

/// An event of a job, with the figures that it depended on.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum JobEvent {
    /// A job was accepted for its caller.
    Submitted {
        /// The job.
        job: JobId,
        /// Its queue.
        queue: String,
        /// Number of its tasks.
        tasks: usize,
    },
    /// Tasks were submitted to a dispatcher.
    HandedIn {
        /// The job.
        job: JobId,
        /// A domain of the dispatcher.
        domain: Domain,
        /// The dispatcher.
        to: InstanceId,
        /// Number of tasks.
        tasks: usize,
        /// Number of those that may already be running.
        unsure: usize,
        /// Free places at the dispatcher, as last reported less later submissions.
        free: u32,
    },
    /// Tasks were submitted to their dispatcher again, as the first submission may have been lost.
    Resubmitted {
        /// The job.
        job: JobId,
        /// The dispatcher.
        to: InstanceId,
        /// Number of tasks.
        tasks: usize,
    },
    /// Tasks without capacity were reserved at dispatchers.
    Reserved {
        /// The job.
        job: JobId,
        /// Number of dispatchers.
        dispatchers: usize,
        /// Number of tasks.
        tasks: usize,
    },
    /// The reservations of a step were released.
    Released {
        /// The job.
        job: JobId,
        /// Number of dispatchers.
        dispatchers: usize,
    },
    /// A dispatcher has declined a reservation.
    Declined {
        /// The job.
        job: JobId,
        /// The dispatcher.
        dispatcher: InstanceId,
        /// Why.
        reason: DeclineReason,
    },
    /// A dispatcher with open tasks of the job was lost.
    DispatcherLost {
        /// The job.
        job: JobId,
        /// The dispatcher.
        dispatcher: InstanceId,
    },
    /// The callers were answered.
    Answered {
        /// The job.
        job: JobId,
        /// How it ended.
        end: JobEnd,
        /// Ms since the job arrived.
        took: u32,
    },
    /// The last caller disconnected before the answer.
    CallerLeft {
        /// The job.
        job: JobId,
        /// Ms since the job arrived.
        took: u32,
    },
}

impl JobEvent {
    /// Whether the event is part of normal operation.
    #[must_use]
    pub fn is_routine(&self) -> bool {
        match self {
            Self::Submitted { .. } | Self::Reserved { .. } | Self::Released { .. } => true,
            Self::HandedIn { unsure, .. } => *unsure == 0,
            Self::Answered { end, .. } => *end == JobEnd::Completed,
            Self::Resubmitted { .. }
            | Self::Declined { .. }
            | Self::DispatcherLost { .. }
            | Self::CallerLeft { .. } => false,
        }
    }
}

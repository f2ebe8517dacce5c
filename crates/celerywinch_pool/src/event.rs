//! Decisions worth a line in the logs, with what decided them.

use celerywinch_types::{Crashes, Domain, InstanceId, JobId, RunNumber, Session, TaskId};
use serde::Serialize;

/// How it is known that a worker is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Departure {
    /// It said so itself.
    Left,
    /// Another life answers at its address.
    #[serde(rename = "other_life")]
    OtherIncarnation,
    /// It gave no answers for long.
    Silent,
}

impl Departure {
    /// The label of its metric.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Left => "left",
            Self::OtherIncarnation => "other_life",
            Self::Silent => "silent",
        }
    }
}

/// A decision of the dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum PoolEvent {
    /// A step of a job was taken into the queue.
    Queued {
        /// The job.
        job: JobId,
        /// Its origin.
        origin: InstanceId,
        /// Its tasks.
        tasks: usize,
        /// Ms of work ahead of it on each place.
        wait: u32,
    },
    /// Tasks found no room, and were given back for another dispatcher to start.
    Passed {
        /// The job.
        job: JobId,
        /// Its origin.
        origin: InstanceId,
        /// How many tasks.
        tasks: usize,
        /// How many of those handed in were started.
        started: usize,
        /// How many steps of jobs wait here.
        queued: usize,
    },
    /// A hand-in was not taken: it was held up on its way, and its tasks may be elsewhere.
    HeldUp {
        /// The origin.
        origin: InstanceId,
        /// The session in which it was sent.
        session: Session,
        /// Its present session; none if it was not heard yet.
        present: Option<Session>,
    },
    /// What an origin had here was dropped: it is not known to count this dispatcher as alive.
    GrantOver {
        /// The origin.
        origin: InstanceId,
    },
    /// A job was refused: it could not end in time.
    Refused {
        /// The job.
        job: JobId,
        /// Ms until its last task could start.
        wait: u32,
        /// Ms a task is expected to run.
        expected: u32,
        /// Ms until it is late.
        left: u32,
    },
    /// A task was sent to a worker.
    Started {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
        /// The worker.
        worker: String,
        /// Ms it is expected to run there.
        expected: u32,
    },
    /// A run ended, or was given up.
    RunEnded {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
        /// The worker.
        worker: String,
        /// How.
        how: &'static str,
        /// Ms since its start.
        took: u32,
    },
    /// A run is stopped because it makes too little progress.
    Moved {
        /// The task.
        task: TaskId,
        /// The worker.
        worker: String,
        /// Ms since its start.
        took: u32,
        /// Ms it was expected to run.
        expected: u32,
        /// The progress that the worker told of.
        percent: u8,
    },
    /// A worker does not answer.
    WorkerSilent {
        /// The worker.
        worker: String,
        /// Looks in a row without an answer.
        looks: u32,
    },
    /// A worker answers again, or was taken over.
    WorkerHeld {
        /// The worker.
        worker: String,
        /// Runs found there that were started by another dispatcher.
        found: usize,
    },
    /// A worker gets no more work for a while.
    WorkerAside {
        /// The worker.
        worker: String,
        /// Why.
        why: &'static str,
    },
    /// A worker is gone.
    WorkerGone {
        /// The worker.
        worker: String,
        /// How that is known.
        why: Departure,
        /// Ms since it answered last.
        silent: u32,
        /// Runs that were believed to be at work there.
        runs: usize,
    },
    /// A worker has ended under a task, or is back after it had fallen silent with it.
    Crashed {
        /// The task.
        task: TaskId,
        /// What is known of it by now.
        crashes: Crashes,
    },
    /// A task is given up, as several workers have ended under it.
    GivenUp {
        /// The task.
        task: TaskId,
        /// What is known of it.
        crashes: Crashes,
    },
    /// This process dispatches for a domain.
    Acquired {
        /// The domain.
        domain: Domain,
        /// Its workers.
        workers: usize,
    },
    /// It does so no more.
    Resigned {
        /// The domain.
        domain: Domain,
        /// Tasks that were given back to their origins.
        tasks: usize,
    },
}

impl PoolEvent {
    /// Whether it tells of something that goes as it should.
    #[must_use]
    pub fn is_routine(&self) -> bool {
        match self {
            Self::Started { .. }
            | Self::Queued { .. }
            | Self::Passed { .. }
            | Self::WorkerHeld { .. } => true,
            Self::RunEnded { how, .. } => *how == "done",
            Self::HeldUp { .. }
            | Self::GrantOver { .. }
            | Self::Refused { .. }
            | Self::Moved { .. }
            | Self::WorkerSilent { .. }
            | Self::WorkerAside { .. }
            | Self::WorkerGone { .. }
            | Self::Crashed { .. }
            | Self::GivenUp { .. }
            | Self::Acquired { .. }
            | Self::Resigned { .. } => false,
        }
    }
}

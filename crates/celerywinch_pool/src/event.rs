//! Decisions of the dispatcher that are logged, with their reasons.

use std::net::SocketAddr;

use celerywinch_types::{
    Crashes, DeclineReason, Domain, Incarnation, InstanceId, JobId, RunNumber, Session,
    SubmissionNumber, TaskId,
};
use serde::Serialize;

/// Why a worker counts as gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Departure {
    /// It announced that it left.
    Left,
    /// Another incarnation answers at its address.
    #[serde(rename = "other_life")]
    OtherIncarnation,
    /// It has not answered for the configured time.
    Silent,
}

impl Departure {
    /// Returns its label in the metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Left => "left",
            Self::OtherIncarnation => "other_life",
            Self::Silent => "silent",
        }
    }
}

/// A logged decision of the dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum PoolEvent {
    /// A step of a job was queued.
    Queued {
        /// The job.
        job: JobId,
        /// Its origin.
        origin: InstanceId,
        /// Number of its tasks.
        tasks: usize,
        /// Estimated time in ms until its last task could start.
        wait: u32,
    },
    /// Tasks found no free capacity and were returned, for another dispatcher to start.
    Passed {
        /// The job.
        job: JobId,
        /// Its origin.
        origin: InstanceId,
        /// Number of returned tasks.
        tasks: usize,
        /// Number of submitted tasks that were started.
        started: usize,
        /// Number of steps of jobs that wait here.
        queued: usize,
    },
    /// Tasks were returned, as no worker of this dispatcher may take them.
    Unplaced {
        /// The job.
        job: JobId,
        /// Its origin.
        origin: InstanceId,
        /// Number of returned tasks.
        tasks: usize,
    },
    /// A place in the queue was reserved for tasks that are with their origin.
    Reserved {
        /// The job.
        job: JobId,
        /// Its origin.
        origin: InstanceId,
        /// Number of its tasks that are pending.
        tasks: usize,
        /// Number of places that each of them has, here and at other dispatchers.
        copies: usize,
    },
    /// Capacity is held for a reservation and offered to its origin.
    Offered {
        /// The job.
        job: JobId,
        /// Its origin.
        origin: InstanceId,
        /// Number of tasks for which it suffices.
        tasks: usize,
    },
    /// Tasks were submitted for which capacity was held.
    OfferUsed {
        /// The job.
        job: JobId,
        /// Its origin.
        origin: InstanceId,
        /// Number of tasks.
        tasks: usize,
        /// Time for which the capacity was held, in ms.
        took: u32,
    },
    /// Held capacity was freed: the offer was not answered, the worker takes no tasks any more, or the origin's grant has
    /// expired.
    OfferExpired {
        /// The job.
        job: JobId,
        /// Its origin.
        origin: InstanceId,
        /// Number of tasks for which it was held.
        tasks: usize,
    },
    /// An origin has ended a reservation.
    Released {
        /// The job.
        job: JobId,
        /// Its origin.
        origin: InstanceId,
        /// Number of workers on which capacity was held for it.
        unused: usize,
    },
    /// A reservation is not kept.
    Declined {
        /// The job.
        job: JobId,
        /// Its origin.
        origin: InstanceId,
        /// Why.
        reason: DeclineReason,
    },
    /// A submission of another session was dropped: it was delayed on its way, and its tasks may be elsewhere.
    HeldUp {
        /// The origin.
        origin: InstanceId,
        /// The job.
        job: JobId,
        /// The session in which it was sent.
        session: Session,
        /// The current session of the origin; none before its first heartbeat.
        present: Option<Session>,
    },
    /// The tasks of an origin were dropped, as its grant has expired: it may count this dispatcher as lost.
    GrantOver {
        /// The origin.
        origin: InstanceId,
    },
    /// A job was refused, as it could not end in time.
    Refused {
        /// The job.
        job: JobId,
        /// The submission that was refused.
        submission: SubmissionNumber,
        /// Estimated time in ms until its last task could start; the retry delay while all data centres are evacuated.
        wait: u32,
        /// Expected run time of a task, in ms.
        expected: u32,
        /// Expected run time of its longest task, in ms.
        longest: u32,
        /// Time until the end of its latency objective, in ms.
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
        /// Expected run time on this worker, in ms.
        expected: u32,
    },
    /// A run ended or was lost.
    RunEnded {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
        /// The worker.
        worker: String,
        /// How it ended.
        how: &'static str,
        /// Time since its start, in ms.
        took: u32,
    },
    /// A run is stopped to start its task elsewhere, as it makes too little progress.
    Moved {
        /// The task.
        task: TaskId,
        /// The worker.
        worker: String,
        /// Time since its start, in ms.
        took: u32,
        /// Expected run time, in ms.
        expected: u32,
        /// The progress that the worker reported.
        percent: u8,
    },
    /// A worker does not answer.
    WorkerSilent {
        /// The worker.
        worker: String,
        /// Number of consecutive calls without an answer.
        looks: u32,
    },
    /// A worker was taken over.
    WorkerHeld {
        /// The worker.
        worker: String,
        /// Number of runs found there that another dispatcher started.
        found: usize,
    },
    /// A worker is quarantined: it gets no tasks for a while.
    WorkerAside {
        /// The worker.
        worker: String,
        /// The reason.
        why: &'static str,
    },
    /// A known worker is announced at another address; the incarnation there is asked whether it is running.
    WorkerClaimed {
        /// The worker.
        worker: String,
        /// The announced incarnation.
        incarnation: Incarnation,
        /// The announced address.
        addr: SocketAddr,
    },
    /// An announced incarnation has not confirmed that it is running.
    ClaimDropped {
        /// The worker.
        worker: String,
        /// The announced incarnation.
        incarnation: Incarnation,
        /// The announced address.
        addr: SocketAddr,
    },
    /// A worker is gone.
    WorkerGone {
        /// The worker.
        worker: String,
        /// Why it counts as gone.
        why: Departure,
        /// Time since its last answer, in ms.
        silent: u32,
        /// Number of runs that were assumed to be running there.
        runs: usize,
    },
    /// A worker has crashed or fallen silent while it ran a task, or a silent one has turned out to have crashed.
    Crashed {
        /// The task.
        task: TaskId,
        /// All that is known of crashes under the task.
        crashes: Crashes,
    },
    /// A task is given up, as several workers have crashed while they ran it.
    GivenUp {
        /// The task.
        task: TaskId,
        /// All that is known of crashes under the task.
        crashes: Crashes,
    },
    /// This process has become the dispatcher of a domain.
    Acquired {
        /// The domain.
        domain: Domain,
        /// Number of its known workers.
        workers: usize,
    },
    /// This process is no longer the dispatcher of a domain.
    Resigned {
        /// The domain.
        domain: Domain,
        /// Number of tasks that were returned to their origins.
        tasks: usize,
    },
}

impl PoolEvent {
    /// Returns whether the event is part of normal operation.
    #[must_use]
    pub fn is_routine(&self) -> bool {
        match self {
            Self::Started { .. }
            | Self::Queued { .. }
            | Self::Passed { .. }
            | Self::Reserved { .. }
            | Self::Offered { .. }
            | Self::OfferUsed { .. }
            | Self::Released { .. }
            | Self::WorkerHeld { .. } => true,
            Self::RunEnded { how, .. } => *how == "done",
            Self::HeldUp { .. }
            | Self::OfferExpired { .. }
            | Self::Declined { .. }
            | Self::Unplaced { .. }
            | Self::GrantOver { .. }
            | Self::Refused { .. }
            | Self::Moved { .. }
            | Self::WorkerSilent { .. }
            | Self::WorkerAside { .. }
            | Self::WorkerClaimed { .. }
            | Self::ClaimDropped { .. }
            | Self::WorkerGone { .. }
            | Self::Crashed { .. }
            | Self::GivenUp { .. }
            | Self::Acquired { .. }
            | Self::Resigned { .. } => false,
        }
    }
}

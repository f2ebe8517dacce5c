//! Calls to workers and their answers.

use std::net::SocketAddr;
use std::time::Duration;

use celerywinch_types::{Fence, Incarnation, RunNumber, TaskId, WorkerClock};
use slotmap::new_key_type;

new_key_type! {
    /// Identifies a call.
    pub struct CallKey;
}

/// A request to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Starts a task.
    Start {
        /// The task.
        task: TaskId,
        /// The run number, which increases with each start of the task.
        run: RunNumber,
        /// The specification that the caller submitted.
        spec: String,
        /// The end of the lease; the worker rejects the request after that.
        deadline: WorkerClock,
    },
    /// Stops a run. A run that has not arrived yet is refused from then on.
    Stop {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
    },
    /// Lists what is running and what has ended.
    Poll {
        /// The new end of the lease of all runs, or none to leave it unchanged.
        deadline: Option<WorkerClock>,
        /// Acknowledges the ends up to this serial number; the worker can discard them.
        cursor: u64,
        /// How long to wait for an end, in ms.
        wait: u32,
    },
}

impl Request {
    /// Returns the longest time that the worker waits before it answers.
    #[must_use]
    pub fn max_wait(&self) -> Duration {
        match self {
            Self::Poll { wait, .. } => Duration::from_millis((*wait).into()),
            Self::Start { .. } | Self::Stop { .. } => Duration::ZERO,
        }
    }
}

/// A call to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Identifies the call.
    pub key: CallKey,
    /// The id of the worker that the call is for.
    pub worker: String,
    /// The address of the worker.
    pub addr: SocketAddr,
    /// The fencing token.
    pub fence: Fence,
    /// The request.
    pub request: Request,
    /// The time after which the call counts as unanswered.
    pub timeout: Duration,
}

/// Why a worker rejected a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The worker has seen a higher fencing token.
    StaleFence,
    /// The worker has seen this run, or one with a higher number, end.
    StaleRun,
    /// The lease had ended when the request arrived.
    LeaseExpired,
    /// The worker has no free capacity.
    NoCapacity,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// The request cannot be decoded.
    Malformed,
}

/// A run that is active.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningRow {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// The progress of the run, in percent.
    pub percent: u8,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// Done.
    Done,
    /// Failed, through the fault of the task or of the worker.
    Failed,
    /// Ended without a result: the run was stopped, or its lease expired.
    Interrupted,
}

/// A run that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedRow {
    /// The serial number of the end in the worker's list.
    pub serial: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// How it ended.
    pub end: RunEnd,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The worker carried the request out.
    Accepted(WorkerClock),
    /// The worker rejected the request and did nothing.
    Rejected(Rejection, Option<WorkerClock>),
    /// The runs of the worker.
    Lists {
        /// The incarnation of the worker that answers, or none if it does not say.
        incarnation: Option<Incarnation>,
        /// The worker's clock.
        clock: WorkerClock,
        /// The active runs.
        running: Vec<RunningRow>,
        /// The runs that have ended and are not acknowledged yet.
        ended: Vec<EndedRow>,
    },
    /// Another incarnation of the worker answered; the one that was called is gone.
    OtherIncarnation,
    /// The connection was refused: nothing was done, and no worker listens there at present.
    ConnectionRefused,
    /// No answer arrived in time: the request may have been carried out, or may be later.
    NoAnswer,
}

/// A call that is not answered yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingCall {
    /// The incarnation that was called. Once a later one is known, the answer is discarded: it would attribute the
    /// clock, the runs and the fencing token of one incarnation to the other.
    /// None for a claimed incarnation.
    pub(crate) worker: Option<crate::worker::WorkerKey>,
    pub(crate) purpose: CallPurpose,
}

/// The purpose of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallPurpose {
    Start(crate::run::RunKey),
    Stop(crate::run::RunKey),
    StopForeign(crate::worker::WorkerKey),
    Poll(crate::worker::WorkerKey, PollKind, PollContext),
    /// Asks an announced incarnation whether it is running.
    Claim(crate::claims::ClaimKey),
}

/// The kind of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PollKind {
    /// Waits for ends; the next one is sent after the answer.
    Long,
    /// Sent beside the long poll and answered at once, to find out whether a request without an answer was carried out.
    Short,
}

/// What was known when a poll was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PollContext {
    /// The count of inputs when the poll was sent.
    pub(crate) input: u64,
    /// The cursor that the poll acknowledges.
    pub(crate) cursor: u64,
}

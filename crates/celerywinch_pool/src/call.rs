//! Calls to workers and their answers.

use std::net::SocketAddr;
use std::time::Duration;

use celerywinch_types::{Fence, Incarnation, RunNumber, TaskId, WorkerClock};
use slotmap::new_key_type;

new_key_type! {
    /// Names a call.
    pub struct CallKey;
}

/// What a worker is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Start a task.
    Start {
        /// The task.
        task: TaskId,
        /// Counts its starts.
        run: RunNumber,
        /// What its caller gave.
        spec: String,
        /// When the lease ends; void after that.
        deadline: WorkerClock,
    },
    /// Stop a run; one that is not there yet is refused from then on.
    Stop {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunNumber,
    },
    /// Tell what runs and what ended.
    Poll {
        /// Extends the lease of all that runs; none to leave it as it is.
        deadline: Option<WorkerClock>,
        /// Ends up to this one are known here and can be forgotten.
        cursor: u64,
        /// How long to wait for an end, in ms.
        wait: u32,
    },
}

impl Request {
    /// How long the worker waits before it answers, at most.
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
    /// Names it.
    pub key: CallKey,
    /// Which life of the worker is meant.
    pub worker: String,
    /// Where it is.
    pub addr: SocketAddr,
    /// The fencing token.
    pub fence: Fence,
    /// What it is told.
    pub request: Request,
    /// Without an answer within this time it counts as silent.
    pub timeout: Duration,
}

/// Why a worker refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// It has seen a higher fencing token.
    StaleFence,
    /// It has seen this run, or a higher one, end.
    StaleRun,
    /// The lease had ended when the order arrived.
    LeaseExpired,
    /// It has no room.
    NoCapacity,
    /// It is not well, and did nothing.
    Unhealthy,
    /// The order cannot be read.
    Malformed,
}

/// A run at work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunningRow {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// How much of it is done.
    pub percent: u8,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// Done.
    Done,
    /// Failed, by its own fault or the worker's.
    Failed,
    /// Ended without a result: stopped, or its lease was over.
    Interrupted,
}

/// A run that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedRow {
    /// Its number in the worker's list.
    pub serial: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// How it ended.
    pub end: RunEnd,
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Done as told.
    Accepted(WorkerClock),
    /// Refused; nothing was done.
    Rejected(Rejection, Option<WorkerClock>),
    /// The lists.
    Lists {
        /// Which life of the worker answers; none where it does not say.
        incarnation: Option<Incarnation>,
        /// The worker's clock.
        clock: WorkerClock,
        /// What runs.
        running: Vec<RunningRow>,
        /// What ended and is not acknowledged.
        ended: Vec<EndedRow>,
    },
    /// Another life of the worker is there; the one that was meant is gone.
    OtherIncarnation,
    /// The connection was refused: nothing was done, and no worker is there at present.
    ConnectionRefused,
    /// No answer: it may be done, or be done later.
    NoAnswer,
}

/// What is remembered of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingCall {
    /// The life that was called. Once another one is known no answer counts: it would tell of the clock, the runs and the fencing
    /// token of one life as if they were those of the other.
    pub(crate) worker: crate::worker::WorkerKey,
    pub(crate) purpose: CallPurpose,
}

/// What a call was for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallPurpose {
    Start(crate::run::RunKey),
    Stop(crate::run::RunKey),
    StopForeign(crate::worker::WorkerKey),
    Poll(crate::worker::WorkerKey, PollKind, PollContext),
}

/// Why a worker is looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PollKind {
    /// For ends; one after the other.
    Long,
    /// Beside that, and answered at once: what became of an order without an answer.
    Short,
}

/// A look that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PollContext {
    /// The input during which it was sent.
    pub(crate) input: u64,
    pub(crate) cursor: u64,
}

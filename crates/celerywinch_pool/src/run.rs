//! Runs of tasks on workers.

use std::time::Duration;

use celerywinch_types::{Resources, RunNumber, TaskId, Time};
use slotmap::new_key_type;

use crate::job::BatchKey;
use crate::worker::WorkerKey;

new_key_type! {
    /// Names a run.
    pub(crate) struct RunKey;
}

/// How far a run is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The order is under way.
    Sent,
    /// The worker has confirmed it, or will not start it any more; heard in this input. A look sent then or
    /// later that does not list it shows that it is gone.
    Running(u64),
    /// The order got no answer: it may run, or start late, until it is settled.
    Unconfirmed,
}

/// A run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) task: TaskId,
    /// The batch whose task it serves; none if nobody wants its result any more.
    pub(crate) batch: Option<BatchKey>,
    pub(crate) worker: WorkerKey,
    pub(crate) number: RunNumber,
    pub(crate) need: Resources,
    pub(crate) started: Time,
    /// How long it should take on this worker.
    pub(crate) expected: Duration,
    pub(crate) phase: Phase,
    /// Workers have ended under its task before.
    pub(crate) suspect: bool,
    /// The first of a step that is started with care.
    pub(crate) probe: bool,
    /// Taken over at work: how long it took in all is not known.
    pub(crate) adopted: bool,
    /// A stop is on its way, or was taken.
    pub(crate) stopping: bool,
    /// The worker has taken the stop: the run ends soon, or never starts.
    pub(crate) stop_accepted: bool,
}

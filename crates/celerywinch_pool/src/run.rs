//! Runs of tasks on workers.

use std::time::Duration;

use celerywinch_types::{Resources, RunNumber, TaskId, Time};
use slotmap::new_key_type;

use crate::job::BatchKey;
use crate::progress::Progress;
use crate::worker::WorkerKey;

new_key_type! {
    /// Identifies a run.
    pub(crate) struct RunKey;
}

/// The state of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The start request was sent and is not answered yet.
    Sent,
    /// The worker has confirmed the run, or will not start it any more; the number is the count of inputs at that
    /// confirmation. If a poll sent then or later does not list the run, it no longer exists.
    Running(u64),
    /// The request got no answer: the run may be active or start late, until a poll or a stop settles it.
    Unconfirmed,
}

/// A run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(crate) task: TaskId,
    /// The batch of the task, or none if no origin wants the result any more.
    pub(crate) batch: Option<BatchKey>,
    pub(crate) worker: WorkerKey,
    pub(crate) number: RunNumber,
    pub(crate) need: Resources,
    pub(crate) started: Time,
    /// The expected run time on this worker.
    pub(crate) expected: Duration,
    pub(crate) phase: Phase,
    /// Whether workers have crashed while they ran this task before.
    pub(crate) suspect: bool,
    /// Whether the run is the probe of a step, which runs alone before the other tasks start.
    pub(crate) probe: bool,
    /// Whether the run was taken over while active, so its total run time is not known.
    pub(crate) adopted: bool,
    /// Whether a stop is outstanding or was accepted.
    pub(crate) stopping: bool,
    /// Whether the worker has accepted the stop: the run ends soon or never starts.
    pub(crate) stop_accepted: bool,
    /// Its progress as the worker reports it.
    pub(crate) progress: Progress,
}

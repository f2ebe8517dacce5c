//! Steps of jobs that were handed in.

use std::collections::BTreeMap;
use std::time::Duration;

use celerywinch_types::{
    Crashes, InstanceId, PriorRuns, RunNumber, Session, StepOrder, TaskId, Time,
};
use slotmap::new_key_type;

use crate::run::RunKey;
use crate::worker::WorkerKey;

new_key_type! {
    /// Names a step of a job.
    pub(crate) struct BatchKey;
}

/// Where a task stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// Waits for room.
    Waiting,
    /// May be running under an earlier dispatcher; waits until that is settled, or until then.
    MaybeRunning(Time),
    /// Has a run.
    Running(RunKey),
}

/// A task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Task {
    pub(crate) state: TaskState,
    pub(crate) failures: u32,
    /// Workers that have ended under it.
    pub(crate) crashes: Crashes,
    /// The highest run number that was used for it.
    pub(crate) run: RunNumber,
    /// Whether it may be running under an earlier dispatcher.
    pub(crate) doubt: PriorRuns,
    /// The last time that it was handed in.
    pub(crate) submission: u32,
    /// The session in which its origin handed it in; none since another origin has the job.
    pub(crate) session: Option<Session>,
    /// Its origin was asked whether it is wanted, and has not named it yet.
    pub(crate) unconfirmed: bool,
    /// The worker that failed it last.
    pub(crate) failed_on: Option<WorkerKey>,
}

/// A step of a job; tasks that ended are no more in it.
#[derive(Clone, Debug)]
pub(crate) struct Batch {
    pub(crate) order: StepOrder,
    pub(crate) origin: InstanceId,
    /// When the job arrived at that.
    pub(crate) arrived: Time,
    /// The end of its latency objective.
    pub(crate) due: Time,
    /// How long a task should take on a usual worker.
    pub(crate) expected: Duration,
    pub(crate) tasks: BTreeMap<u16, Task>,
    /// Whether any task was sent to a worker.
    pub(crate) started: bool,
    /// Whether a task of it is done, or was at work for a moment without ending its worker.
    pub(crate) probe_passed: bool,
}

impl Batch {
    pub(crate) fn task_id(&self, index: u16) -> TaskId {
        TaskId {
            job: self.order.job,
            step: self.order.step,
            index,
        }
    }

    pub(crate) fn waiting_count(&self) -> usize {
        let tasks = self.tasks.values();
        tasks.filter(|t| t.state == TaskState::Waiting).count()
    }

    /// Thousandths of a core times ms of so many tasks.
    pub(crate) fn work_of(&self, tasks: usize) -> f64 {
        let each = f64::from(self.order.need.cpu) * self.expected.as_secs_f64() * 1e3;
        each * tasks as f64
    }

    /// The same of what waits.
    pub(crate) fn waiting_work(&self) -> f64 {
        self.work_of(self.waiting_count())
    }
}

//! Submitted steps of jobs and their tasks.

use std::collections::BTreeMap;
use std::time::Duration;

use celerywinch_types::{
    Crashes, InstanceId, PriorRuns, RunNumber, Session, StepOrder, SubmissionNumber, TaskId, Time,
    WorkerAnnouncement,
};
use slotmap::new_key_type;

use crate::run::RunKey;
use crate::tails::Stretch;
use crate::worker::WorkerKey;

new_key_type! {
    /// Key of a batch.
    pub(crate) struct BatchKey;
}

/// State of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// Waits for a worker with free capacity.
    Waiting,
    /// May be running under an earlier dispatcher. Waits until this is resolved, at most until the given time.
    MaybeRunning(Time),
    /// Has a run, which may be unconfirmed.
    Running(RunKey),
}

/// A task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Task {
    pub(crate) state: TaskState,
    pub(crate) failures: u32,
    /// Crashes of workers that ran the task.
    pub(crate) crashes: Crashes,
    /// The highest run number used so far.
    pub(crate) run: RunNumber,
    /// What is known of runs under earlier dispatchers.
    pub(crate) prior_runs: PriorRuns,
    /// Number of its latest submission.
    pub(crate) submission: SubmissionNumber,
    /// The session in which its origin submitted it; none after another origin has taken over the job.
    pub(crate) session: Option<Session>,
    /// Whether a resync of its origin is pending that has not named this task yet.
    pub(crate) unconfirmed: bool,
    /// The worker on which it failed last.
    pub(crate) failed_on: Option<WorkerKey>,
    /// Whether it was moved from a worker where it took too long.
    pub(crate) overstayed: bool,
}

/// A submitted step of a job, with the tasks that have not ended.
#[derive(Clone, Debug)]
pub(crate) struct Batch {
    pub(crate) order: StepOrder,
    pub(crate) origin: InstanceId,
    /// When the job arrived at the origin.
    pub(crate) arrived: Time,
    /// The end of its latency objective.
    pub(crate) due: Time,
    /// Expected run time of a task on a worker of average speed.
    pub(crate) expected: Duration,
    /// How the run times of its tasks differ from the expected one.
    pub(crate) stretch: Stretch,
    /// Run times of the tasks that are done, as ratios to the expected one.
    pub(crate) ratios: Vec<f64>,
    pub(crate) tasks: BTreeMap<u16, Task>,
    /// Whether a task was sent to a worker, here or perhaps by an earlier dispatcher.
    pub(crate) started: bool,
    /// Whether a task of it is done, or has run for a short time without crashing its worker.
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

    /// Returns whether a worker offers the service and the label that the tasks need.
    pub(crate) fn is_offered_by(&self, worker: &WorkerAnnouncement) -> bool {
        let label = self.order.label.as_ref();
        worker.service == self.order.service
            && label.is_none_or(|label| worker.labels.contains(label))
    }

    pub(crate) fn waiting_count(&self) -> usize {
        let tasks = self.tasks.values();
        tasks.filter(|t| t.state == TaskState::Waiting).count()
    }

    /// Returns the work of `tasks` tasks, in thousandths of a core times ms.
    pub(crate) fn work_of(&self, tasks: usize) -> f64 {
        let each = f64::from(self.order.need.cpu) * self.expected.as_secs_f64() * 1e3;
        each * self.stretch.work * tasks as f64
    }

    /// Returns the expected run time of its longest task on a worker of average speed.
    pub(crate) fn longest(&self) -> Duration {
        self.expected.mul_f64(self.stretch.longest)
    }

    /// Returns the end of its latency objective if the longest task takes as long as expected of it. The objective is
    /// stretched by that task as the end of the step is, by `slack` for each ms.
    pub(crate) fn stretched_due(&self) -> Time {
        let excess = self.longest().saturating_sub(self.expected);
        self.due + excess.mul_f64(f64::from(self.order.slack) / 1e3)
    }

    /// Returns the work of the waiting tasks, in thousandths of a core times ms.
    pub(crate) fn waiting_work(&self) -> f64 {
        self.work_of(self.waiting_count())
    }
}

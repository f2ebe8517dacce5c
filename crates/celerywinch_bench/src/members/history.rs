//! Checks of what workers and callers have seen.

use std::collections::HashMap;

use celerywinch_pool::RunEnd;
use celerywinch_standin::Ran;
use celerywinch_types::{JobId, TaskId, Time};

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two runs of a task at the same time.
    TwoRuns(Ran, Ran),
    /// A job was told to be completed and a task of it never was.
    NotDone(TaskId),
    /// A job was told not to have run, and a task of it has.
    FalseRefusal(JobId, Ran),
    /// A caller at a living entry got no answer.
    NoAnswer(JobId, Time),
    /// A task was started on a worker long after that had said that it leaves.
    AfterNotice(TaskId, String),
    /// A task was started on a worker that had no room for it, nor had had for long.
    OverRoom(TaskId, String),
    /// A task was started on a worker of an evacuated data centre after the permitted delay.
    InEvacuatedDataCentre(TaskId, String),
    /// A task was started so often more after three workers had ended by it.
    Restarted(TaskId, usize),
    /// A member did not come to rest after the load.
    Restless(String),
}

/// Finds runs of one task that overlap.
#[must_use]
pub fn overlaps(runs: &[Ran]) -> Vec<Violation> {
    let mut by_task: HashMap<TaskId, Vec<Ran>> = HashMap::new();
    for ran in runs {
        by_task.entry(ran.task).or_default().push(*ran);
    }
    let mut found = Vec::new();
    for runs in by_task.values_mut() {
        runs.sort_by_key(|ran| ran.from);
        let pairs = runs.windows(2);
        let overlapping = pairs.filter(|pair| pair[1].from < pair[0].to);
        found.extend(overlapping.map(|pair| Violation::TwoRuns(pair[0], pair[1])));
    }
    found
}

/// Whether a task has a run that was done.
pub(crate) fn has_completed_run(runs: &[Ran], task: TaskId) -> bool {
    runs.iter()
        .any(|ran| ran.task == task && ran.how == RunEnd::Done)
}

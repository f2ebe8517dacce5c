//! Violations of guarantees, and checks of the history of runs.

use std::collections::HashMap;

use celerywinch_standin::Ran;
use celerywinch_types::{JobId, TaskId, Time};

/// Violation of a guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Two runs of one task overlapped.
    TwoRuns(Ran, Ran),
    /// A job was reported as completed, but this task of it never was.
    NotDone(TaskId),
    /// A job was refused as not run, but a task of it has run.
    FalseRefusal(JobId, Ran),
    /// A caller at a live entry got no answer.
    NoAnswer(JobId, Time),
    /// A task was started on a worker after the permitted delay since the worker announced that it drains.
    AfterNotice(TaskId, String),
    /// A task was started on a worker without the capacity for it, after the permitted delay since the announcement of that
    /// capacity.
    OverRoom(TaskId, String),
    /// A task was started on a worker of an evacuated data centre after the permitted delay.
    InEvacuatedDataCentre(TaskId, String),
    /// A task was started this number of times after it had crashed three workers.
    Restarted(TaskId, usize),
    /// A member still had open work at the end of the run.
    Restless(String),
}

/// Returns a violation for each two consecutive runs of one task that overlap.
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

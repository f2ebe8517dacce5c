//! The history that callers and endpoints observed, and the check of its consistency.

use std::collections::BTreeMap;

use celerywinch_types::{Key, Outcome};

/// The prefix of the details of failures that report the outcome as unknown. Entries answer so for keys that
/// are too old to be remembered; submitters of a key need not all receive this answer.
const UNKNOWN_OUTCOME: &str = "outcome unknown";

/// The history of one key.
#[derive(Debug, Default)]
struct KeyHistory {
    tasks: u32,
    outcomes: Vec<Outcome>,
    starts: BTreeMap<u32, u32>,
}

/// The history of a run.
#[derive(Debug, Default)]
pub(crate) struct History {
    keys: BTreeMap<Key, KeyHistory>,
    pub(crate) starts: u64,
    pub(crate) outcomes: u64,
}

impl History {
    /// Records that a submission was sent for the first time.
    pub(crate) fn record_submission(&mut self, key: &Key, tasks: u32) {
        self.keys.entry(key.clone()).or_default().tasks = tasks;
    }

    /// Records that an endpoint started a task.
    pub(crate) fn record_start(&mut self, key: &Key, task: u32) {
        self.starts += 1;
        let history = self.keys.entry(key.clone()).or_default();
        *history.starts.entry(task).or_default() += 1;
    }

    /// Records an outcome that a caller received.
    pub(crate) fn record_outcome(&mut self, key: &Key, outcome: &Outcome) {
        self.outcomes += 1;
        let history = self.keys.entry(key.clone()).or_default();
        if !history.outcomes.contains(outcome) {
            history.outcomes.push(outcome.clone());
        }
    }

    /// Returns all violations of the guarantees: tasks that were started twice, different outcomes of one key, refused
    /// jobs that ran, and incomplete answers.
    pub(crate) fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (key, history) in &self.keys {
            check_key(key, history, &mut violations);
        }
        violations
    }
}

fn check_key(key: &Key, history: &KeyHistory, violations: &mut Vec<String>) {
    for (task, count) in &history.starts {
        if *count > 1 {
            violations.push(format!("{key}: task {task} was started {count} times"));
        }
    }
    let known_outcomes = history
        .outcomes
        .iter()
        .filter(|outcome| !is_unknown(outcome));
    let known_outcomes: Vec<_> = known_outcomes.collect();
    if known_outcomes.len() > 1 {
        violations.push(format!(
            "{key}: different outcomes were told: {known_outcomes:?}"
        ));
    }
    for outcome in known_outcomes {
        match outcome {
            Outcome::Answer(results) => check_answer(key, history, results, violations),
            Outcome::Refusal(refusal) => {
                if !history.starts.is_empty() {
                    let reason = refusal.reason;
                    violations.push(format!(
                        "{key}: refused as not run ({reason:?}), but it ran"
                    ));
                }
            }
            Outcome::Failure(_) => {}
        }
    }
}

fn check_answer(
    key: &Key,
    history: &KeyHistory,
    results: &[celerywinch_types::TaskBody],
    violations: &mut Vec<String>,
) {
    let expected: Vec<_> = (0..history.tasks)
        .map(|task| result_text(key, task))
        .collect();
    let complete = results.len() == expected.len()
        && results
            .iter()
            .zip(&expected)
            .all(|(result, text)| *result.0 == **text);
    if !complete {
        violations.push(format!("{key}: the answer is not whole: {results:?}"));
    }
}

fn is_unknown(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Failure(failure) if failure.detail.starts_with(UNKNOWN_OUTCOME))
}

/// Returns the result that a fake endpoint gives for a task.
pub(crate) fn result_text(key: &Key, task: u32) -> String {
    format!("\"{key}#{task}\"")
}

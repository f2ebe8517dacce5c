//! What callers and endpoints saw, and whether it can be true.

use std::collections::BTreeMap;

use celerywinch_types::{Key, Outcome};

/// How "outcome unknown" begins: said of keys too old to be remembered, it is no outcome that all
/// submitters must share.
const UNKNOWN: &str = "outcome unknown";

/// One key's history.
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
    /// A submission was sent for the first time.
    pub(crate) fn submitted(&mut self, key: &Key, tasks: u32) {
        self.keys.entry(key.clone()).or_default().tasks = tasks;
    }

    /// An endpoint started a task.
    pub(crate) fn started(&mut self, key: &Key, task: u32) {
        self.starts += 1;
        let history = self.keys.entry(key.clone()).or_default();
        *history.starts.entry(task).or_default() += 1;
    }

    /// A caller was told an outcome.
    pub(crate) fn told(&mut self, key: &Key, outcome: &Outcome) {
        self.outcomes += 1;
        let history = self.keys.entry(key.clone()).or_default();
        if !history.outcomes.contains(outcome) {
            history.outcomes.push(outcome.clone());
        }
    }

    /// Everything that cannot be true.
    pub(crate) fn problems(&self) -> Vec<String> {
        let mut problems = Vec::new();
        for (key, history) in &self.keys {
            check_key(key, history, &mut problems);
        }
        problems
    }
}

fn check_key(key: &Key, history: &KeyHistory, problems: &mut Vec<String>) {
    for (task, count) in &history.starts {
        if *count > 1 {
            problems.push(format!("{key}: task {task} was started {count} times"));
        }
    }
    let known = history
        .outcomes
        .iter()
        .filter(|outcome| !is_unknown(outcome));
    let known: Vec<_> = known.collect();
    if known.len() > 1 {
        problems.push(format!("{key}: different outcomes were told: {known:?}"));
    }
    for outcome in known {
        match outcome {
            Outcome::Answer(results) => check_answer(key, history, results, problems),
            Outcome::Refusal(refusal) => {
                if !history.starts.is_empty() {
                    let reason = refusal.reason;
                    problems.push(format!(
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
    problems: &mut Vec<String>,
) {
    let wanted: Vec<_> = (0..history.tasks)
        .map(|task| result_text(key, task))
        .collect();
    let whole = results.len() == wanted.len()
        && results
            .iter()
            .zip(&wanted)
            .all(|(got, want)| *got.0 == **want);
    if !whole {
        problems.push(format!("{key}: the answer is not whole: {results:?}"));
    }
}

fn is_unknown(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Failure(failure) if failure.detail.starts_with(UNKNOWN))
}

/// The result that a fake endpoint gives for a task.
pub(crate) fn result_text(key: &Key, task: u32) -> String {
    format!("\"{key}#{task}\"")
}

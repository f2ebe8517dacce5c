//! Counts of workers that were lost while they ran a task.

use std::cmp::max;

use crate::domain;

/// A task is given up once this many workers have certainly ended while running it, as it may be the cause.
const MAX_CONFIRMED: u8 = 2;
/// A task is also given up once this many workers have ended or fallen silent while running it. A silent worker may be
/// partitioned, or lost for another reason; but a job whose task met three such workers in a row is too late to be of use.
const MAX_SUSPECTED: u8 = 3;
/// From this many lost workers on, the task is the likely cause, and the other tasks of its queue are started cautiously.
const MIN_LIKELY_CAUSE: u8 = 2;

domain! {
    /// How many workers were lost while they ran a task. Both counts only rise, so that what two processes know is merged by
    /// the higher of each.
    #[derive(Copy, Default)]
    pub struct Crashes {
        /// Workers that have ended, or were silent until their lease expired. Silent ones may be partitioned.
        pub seen: u8,
        /// Those among `seen` that have certainly ended: another incarnation, or another worker, answers in their place.
        pub proven: u8,
    }
}

impl Crashes {
    /// Whether the task may have caused the loss of a worker.
    #[must_use]
    pub fn is_suspect(self) -> bool {
        self.seen > 0
    }

    /// Whether the task is likely to end its workers.
    #[must_use]
    pub fn is_likely_cause(self) -> bool {
        self.seen >= MIN_LIKELY_CAUSE
    }

    /// Whether so many workers were lost that the task is given up.
    #[must_use]
    pub fn reaches_limit(self) -> bool {
        self.proven >= MAX_CONFIRMED || self.seen >= MAX_SUSPECTED
    }

    /// Records that one more worker fell silent.
    pub fn record_suspected(&mut self) {
        self.seen = self.seen.saturating_add(1);
    }

    /// Raises the count to its limit: a worker fell silent as it started this task alone, or all workers that started
    /// its step did.
    pub fn raise_to_limit(&mut self) {
        self.seen = self.seen.max(MAX_SUSPECTED);
    }

    /// Records that one more worker has certainly ended; `seen` tells whether it was counted as silent before.
    pub fn record_confirmed(&mut self, seen: bool) {
        self.proven = self.proven.saturating_add(1);
        if !seen {
            self.record_suspected();
        }
    }

    /// Merges what two processes know.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        Self {
            seen: max(self.seen, other.seen),
            proven: max(self.proven, other.proven),
        }
    }
}

//! Workers that ended under a task.

use std::cmp::max;

use crate::domain;

/// A task under which so many workers have ended for certain is given up: it may have ended them, ...
const MOST_PROVEN: u8 = 2;
/// ... and so is one under which so many have ended or fallen silent. One more worker may be cut off, or gone for another reason; a
/// caller's job with a task that found three of those in a row is late beyond use.
const MOST_SEEN: u8 = 3;
/// From so many on the other tasks of its queue are started with care.
const MANY: u8 = 2;

domain! {
    /// How often the worker of a task ended while the task was there. Both numbers only rise, so that what two processes know
    /// together is the higher of each.
    #[derive(Copy, Default)]
    pub struct Crashes {
        /// Workers that have ended, or fell silent until their lease was over: those may be cut off.
        pub seen: u8,
        /// Those of them that have ended for certain: they are back as another life, or another worker is there.
        pub proven: u8,
    }
}

impl Crashes {
    /// Whether a worker may have ended by the task.
    #[must_use]
    pub fn is_suspect(self) -> bool {
        self.seen > 0
    }

    /// Whether it is likely that the task ends its workers.
    #[must_use]
    pub fn is_likely_cause(self) -> bool {
        self.seen >= MANY
    }

    /// Whether the task is to be given up.
    #[must_use]
    pub fn reaches_limit(self) -> bool {
        self.proven >= MOST_PROVEN || self.seen >= MOST_SEEN
    }

    /// One more worker fell silent.
    pub fn record_suspected(&mut self) {
        self.seen = self.seen.saturating_add(1);
    }

    /// A worker fell silent as it started this task alone, or all workers that started its step did.
    pub fn raise_to_limit(&mut self) {
        self.seen = self.seen.max(MOST_SEEN);
    }

    /// One more has ended for certain; `seen` if it was counted as silent before.
    pub fn record_confirmed(&mut self, seen: bool) {
        self.proven = self.proven.saturating_add(1);
        if !seen {
            self.record_suspected();
        }
    }

    /// What two processes know together.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        Self {
            seen: max(self.seen, other.seen),
            proven: max(self.proven, other.proven),
        }
    }
}

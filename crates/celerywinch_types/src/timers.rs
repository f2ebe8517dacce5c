//! The timer service: parts subscribe with a token and get it back when it is due.

use std::collections::BTreeMap;

use crate::Time;

/// Names one subscription, to cancel it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId {
    due: Time,
    serial: u64,
}

/// An ordered queue of subscriptions, driven from outside by `pop_due`.
#[derive(Debug)]
pub struct TimerQueue<T> {
    entries: BTreeMap<TimerId, T>,
    serial: u64,
}

impl<T> Default for TimerQueue<T> {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            serial: 0,
        }
    }
}

impl<T> TimerQueue<T> {
    /// Asks for `token` to be returned at or after `due`.
    pub fn subscribe(&mut self, due: Time, token: T) -> TimerId {
        self.serial += 1;
        let id = TimerId {
            due,
            serial: self.serial,
        };
        self.entries.insert(id, token);
        id
    }

    /// Drops a subscription; one that already fired is ignored.
    pub fn cancel(&mut self, id: TimerId) {
        self.entries.remove(&id);
    }

    /// The next token that is due at `now`, in order of due time.
    pub fn pop_due(&mut self, now: Time) -> Option<T> {
        let entry = self.entries.first_entry()?;
        if entry.key().due > now {
            return None;
        }
        Some(entry.remove())
    }

    /// When the next subscription is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Time> {
        self.entries.first_key_value().map(|(id, _)| id.due)
    }

    /// How many subscriptions are open.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no subscription is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

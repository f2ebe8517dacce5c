//! A timer queue: callers schedule a token, which is returned when it is due.

use std::collections::BTreeMap;

use crate::Time;

/// Identifies one scheduled token, to cancel it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId {
    due: Time,
    serial: u64,
}

/// A queue of scheduled tokens in order of due time. The caller polls it with `pop_due`.
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
    /// Schedules `token` to be returned at or after `due`.
    pub fn subscribe(&mut self, due: Time, token: T) -> TimerId {
        self.serial += 1;
        let id = TimerId {
            due,
            serial: self.serial,
        };
        self.entries.insert(id, token);
        id
    }

    /// Removes a scheduled token; does nothing if it was already returned.
    pub fn cancel(&mut self, id: TimerId) {
        self.entries.remove(&id);
    }

    /// Removes and returns the next token that is due at `now`, in order of due time.
    pub fn pop_due(&mut self, now: Time) -> Option<T> {
        let entry = self.entries.first_entry()?;
        if entry.key().due > now {
            return None;
        }
        Some(entry.remove())
    }

    /// Returns the time at which the next token is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Time> {
        self.entries.first_key_value().map(|(id, _)| id.due)
    }

    /// Returns the number of scheduled tokens.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no token is scheduled.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

//! The order in which waiting batches and reservations are placed.

use std::collections::BTreeSet;

use celerywinch_types::{DisabledMechanisms, Mechanism, Time};

use crate::job::{Batch, BatchKey};
use crate::reservations::ReservationKey;

/// What waits in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Entry {
    /// Tasks that were submitted.
    Batch(BatchKey),
    /// Tasks that are still with their origin.
    Reservation(ReservationKey),
}

/// Position of an entry in the queue; lower ranks come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) priority: u8,
    due: Time,
    entry: Entry,
}

impl Rank {
    /// Ranks by priority, then by the end of the latency objective (earliest first).
    pub(crate) fn new(entry: Entry, batch: &Batch, disabled: DisabledMechanisms) -> Self {
        let priority = if disabled.contains(Mechanism::Priority) {
            0
        } else {
            batch.order.priority
        };
        Self {
            priority,
            due: batch.due,
            entry,
        }
    }
}

/// Batches with waiting tasks, and reservations, ordered by rank.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    ranks: BTreeSet<Rank>,
}

impl Queue {
    pub(crate) fn insert(&mut self, rank: Rank) {
        self.ranks.insert(rank);
    }

    pub(crate) fn remove(&mut self, rank: Rank) {
        self.ranks.remove(&rank);
    }

    pub(crate) fn entries(&self) -> Vec<Entry> {
        self.ranks.iter().map(|rank| rank.entry).collect()
    }

    /// Returns the entries that come before `rank`.
    pub(crate) fn ahead(&self, rank: Rank) -> impl Iterator<Item = Entry> + '_ {
        self.ranks.range(..rank).map(|rank| rank.entry)
    }

    /// Returns the entries whose priority value is at most `priority`.
    pub(crate) fn up_to(&self, priority: u8) -> impl Iterator<Item = Entry> + '_ {
        let within = move |rank: &&Rank| rank.priority <= priority;
        self.ranks.iter().take_while(within).map(|rank| rank.entry)
    }

    pub(crate) fn len(&self) -> usize {
        self.ranks.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }
}

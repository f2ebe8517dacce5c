//! The order in which waiting batches are placed.

use std::collections::BTreeSet;

use celerywinch_types::{DisabledMechanisms, Mechanism, Time};

use crate::job::{Batch, BatchKey};

/// Position of a batch in the queue; lower ranks come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) priority: u8,
    due: Time,
    key: BatchKey,
}

impl Rank {
    /// Ranks by priority, then by the end of the latency objective (earliest first).
    pub(crate) fn new(key: BatchKey, batch: &Batch, disabled: DisabledMechanisms) -> Self {
        let priority = if disabled.contains(Mechanism::Priority) {
            0
        } else {
            batch.order.priority
        };
        Self {
            priority,
            due: batch.due,
            key,
        }
    }
}

/// Batches with waiting tasks, ordered by rank.
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

    pub(crate) fn keys(&self) -> Vec<BatchKey> {
        self.ranks.iter().map(|rank| rank.key).collect()
    }

    /// Returns the batches that come before `rank`.
    pub(crate) fn ahead(&self, rank: Rank) -> impl Iterator<Item = BatchKey> + '_ {
        self.ranks.range(..rank).map(|rank| rank.key)
    }

    /// Returns the batches whose priority value is at most `priority`.
    pub(crate) fn up_to(&self, priority: u8) -> impl Iterator<Item = BatchKey> + '_ {
        let within = move |rank: &&Rank| rank.priority <= priority;
        self.ranks.iter().take_while(within).map(|rank| rank.key)
    }

    pub(crate) fn len(&self) -> usize {
        self.ranks.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }
}

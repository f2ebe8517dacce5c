//! The order in which steps of jobs get room.

use std::collections::BTreeSet;

use celerywinch_types::{DisabledMechanisms, Mechanism, Time};

use crate::job::{Batch, BatchKey};

/// Where a batch stands: what is smaller comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) priority: u8,
    due: Time,
    key: BatchKey,
}

impl Rank {
    /// By priority, then by the end of the objective: those that would lose most by waiting.
    pub(crate) fn new(key: BatchKey, batch: &Batch, without: DisabledMechanisms) -> Self {
        let priority = if without.contains(Mechanism::Priority) {
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

/// Batches with waiting tasks, in order.
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

    /// Those that come before `rank`.
    pub(crate) fn ahead(&self, rank: Rank) -> impl Iterator<Item = BatchKey> + '_ {
        self.ranks.range(..rank).map(|rank| rank.key)
    }

    /// Those of the priorities up to this one.
    pub(crate) fn up_to(&self, priority: u8) -> impl Iterator<Item = BatchKey> + '_ {
        let upto = move |rank: &&Rank| rank.priority <= priority;
        self.ranks.iter().take_while(upto).map(|rank| rank.key)
    }

    pub(crate) fn len(&self) -> usize {
        self.ranks.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.ranks.is_empty()
    }
}

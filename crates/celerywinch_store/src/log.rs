//! The log in memory, and its entries and snapshots.

use celerywinch_types::{InstanceId, domain};

domain! {
    /// The id of a keeper, which is an instance with a certain disk.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct KeeperId {
        /// The instance.
        pub instance: InstanceId,
        /// The identity of its disk, generated when the data folder was created.
        pub disk: u64,
    }

    /// The keepers that replicate the log.
    #[derive(Default)]
    pub struct Membership {
        /// The keepers that count towards majorities.
        pub voters: Vec<KeeperId>,
        /// The keepers that receive the log but do not count towards majorities.
        pub learners: Vec<KeeperId>,
    }

    /// The content of an entry.
    pub enum Payload {
        /// No content. The first entry of a term, with which the entries of earlier terms are committed.
        Noop,
        /// An encoded command of the replicated state machine.
        Command(Vec<u8>),
        /// The membership from this entry on.
        Membership(Membership),
    }

    /// An entry of the log.
    pub struct Entry {
        /// The index, from 1.
        pub index: u64,
        /// The term of the leader that proposed it.
        pub term: u64,
        /// The content.
        pub payload: Payload,
    }

    /// The state of the replicated state machine after all entries up to `index`.
    #[derive(Default)]
    pub struct Snapshot {
        /// The index of the last included entry.
        pub index: u64,
        /// The term of the last included entry.
        pub term: u64,
        /// The membership as of that entry.
        pub membership: Membership,
        /// The encoded state.
        pub state: Vec<u8>,
    }
}

impl Membership {
    /// Returns the number of voters that make a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the voters, then the learners.
    pub fn all(&self) -> impl Iterator<Item = KeeperId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// Returns the keeper of an instance, whatever its disk.
    #[must_use]
    pub fn keeper_of(&self, instance: InstanceId) -> Option<KeeperId> {
        self.all().find(|keeper| keeper.instance == instance)
    }
}

/// The last snapshot and the entries after it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    pub(crate) snapshot: Snapshot,
    entries: Vec<Entry>,
}

impl Log {
    pub(crate) fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        Self { snapshot, entries }
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.entries.last().map_or(self.snapshot.index, |e| e.index)
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.snapshot.term, |e| e.term)
    }

    fn position(&self, index: u64) -> Option<usize> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        usize::try_from(offset).ok()
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        self.entries.get(self.position(index)?)
    }

    /// Returns the term of an entry; `None` if the log has no such entry, or no longer has it.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the entries from `index` on, at most `max_entries`.
    pub(crate) fn entries_from(&self, index: u64, max_entries: usize) -> Vec<Entry> {
        let Some(start) = self.position(index) else {
            return Vec::new();
        };
        self.entries
            .iter()
            .skip(start)
            .take(max_entries)
            .cloned()
            .collect()
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        self.entries.push(entry);
    }

    /// Removes the entries from `index` on.
    pub(crate) fn truncate(&mut self, index: u64) {
        if let Some(position) = self.position(index) {
            self.entries.truncate(position);
        }
    }

    /// Replaces the entries up to a snapshot by the snapshot. Later entries are kept only if the log agrees with it at its
    /// last index.
    pub(crate) fn compact(&mut self, snapshot: Snapshot) {
        let agrees = self.term(snapshot.index) == Some(snapshot.term);
        if agrees {
            self.entries.retain(|entry| entry.index > snapshot.index);
        } else {
            self.entries.clear();
        }
        self.snapshot = snapshot;
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the membership given by the last entry that changes it, committed or not.
    pub(crate) fn membership(&self) -> Membership {
        let latest = self
            .entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.payload {
                Payload::Membership(membership) => Some(membership.clone()),
                Payload::Noop | Payload::Command(_) => None,
            });
        latest.unwrap_or_else(|| self.snapshot.membership.clone())
    }

    /// Returns the index of the last entry that changes the membership.
    pub(crate) fn membership_index(&self) -> u64 {
        let mut entries = self.entries.iter().rev();
        let latest = entries.find(|entry| matches!(entry.payload, Payload::Membership(_)));
        latest.map_or(self.snapshot.index, |entry| entry.index)
    }
}

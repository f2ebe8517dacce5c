//! The log in memory, and what its entries hold.

use celerywinch_types::{InstanceId, domain};

domain! {
    /// A keeper: an instance with a certain disk.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct KeeperId {
        /// The instance.
        pub instance: InstanceId,
        /// The identity of its disk, drawn when the data folder was made.
        pub disk: u64,
    }

    /// The keepers of the log.
    #[derive(Default)]
    pub struct Membership {
        /// Those that count for majorities.
        pub voters: Vec<KeeperId>,
        /// Those that get the log but do not count yet.
        pub learners: Vec<KeeperId>,
    }

    /// What an entry holds.
    pub enum Payload {
        /// Nothing: the first entry of a term, which lets the entries before it be committed.
        Noop,
        /// A command of the state machine on top.
        Command(Vec<u8>),
        /// The keepers from here on.
        Membership(Membership),
    }

    /// One entry.
    pub struct Entry {
        /// Its index, from 1.
        pub index: u64,
        /// The term of the leader that made it.
        pub term: u64,
        /// What it holds.
        pub payload: Payload,
    }

    /// The state machine's state after all entries up to `index`.
    #[derive(Default)]
    pub struct Snapshot {
        /// The last entry that is included.
        pub index: u64,
        /// Its term.
        pub term: u64,
        /// The keepers as of then.
        pub membership: Membership,
        /// The state machine's state.
        pub state: Vec<u8>,
    }
}

impl Membership {
    /// How many voters make a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Voters and learners.
    pub fn all(&self) -> impl Iterator<Item = KeeperId> + '_ {
        self.voters.iter().chain(&self.learners).copied()
    }

    /// The keeper of an instance, whatever its disk.
    #[must_use]
    pub fn keeper_of(&self, instance: InstanceId) -> Option<KeeperId> {
        self.all().find(|keeper| keeper.instance == instance)
    }
}

/// The entries after the last snapshot.
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

    /// The term of an entry; none if it is not known here (any more).
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Entries from `index` on, at most `most`.
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

    /// Drops the entries from `index` on.
    pub(crate) fn truncate(&mut self, index: u64) {
        if let Some(position) = self.position(index) {
            self.entries.truncate(position);
        }
    }

    /// Replaces the entries up to the snapshot by it.
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

    /// The keepers by the last entry that names them, committed or not.
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

    /// The index of the last entry that names the keepers.
    pub(crate) fn membership_index(&self) -> u64 {
        let mut entries = self.entries.iter().rev();
        let latest = entries.find(|entry| matches!(entry.payload, Payload::Membership(_)));
        latest.map_or(self.snapshot.index, |entry| entry.index)
    }
}

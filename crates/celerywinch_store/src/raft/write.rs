//! Writes to the disk, and the actions that depend on them.
//!
//! A write may take seconds. Messages and ticks are handled meanwhile, so that a keeper with a slow disk still answers the
//! leader and serves reads. An action that depends on a write follows once [`Input::Synced`](super::Input::Synced) reports
//! the write.

use celerywinch_types::Time;

use super::{Output, Raft, Role};
use crate::{Entry, KeeperId, Snapshot};

/// A write that is not yet reported as synced.
#[derive(Clone, Copy, Debug)]
pub(super) enum PendingWrite {
    Vote {
        term: u64,
        vote: Option<KeeperId>,
    },
    Truncation,
    /// Entries or a snapshot, after which the log up to this index is synced.
    Log(u64),
}

impl Raft {
    /// Sets the current term and the vote in it, and writes both.
    pub(super) fn enter_term(
        &mut self,
        now: Time,
        term: u64,
        vote: Option<KeeperId>,
        out: &mut Vec<Output>,
    ) {
        if term > self.term {
            self.match_index = 0;
        }
        self.term = term;
        self.voted_for = vote;
        self.pending_writes
            .push_back((now, PendingWrite::Vote { term, vote }));
        out.push(Output::PersistVote { term, vote });
    }

    pub(super) fn persist_entries(
        &mut self,
        now: Time,
        entries: Vec<Entry>,
        out: &mut Vec<Output>,
    ) {
        let last = entries.last().map_or(0, |entry| entry.index);
        self.pending_writes
            .push_back((now, PendingWrite::Log(last)));
        out.push(Output::PersistEntries(entries));
    }

    pub(super) fn persist_snapshot(
        &mut self,
        now: Time,
        snapshot: Snapshot,
        out: &mut Vec<Output>,
    ) {
        self.pending_writes
            .push_back((now, PendingWrite::Log(snapshot.index)));
        out.push(Output::PersistSnapshot(snapshot));
    }

    pub(super) fn persist_truncation(&mut self, now: Time, index: u64, out: &mut Vec<Output>) {
        self.discard_from(index);
        self.pending_writes
            .push_back((now, PendingWrite::Truncation));
        out.push(Output::Truncate(index));
    }

    /// Replaces the log by a snapshot. Entries after it are kept if the log agrees with it at its last index.
    pub(super) fn replace_log(&mut self, snapshot: &Snapshot) {
        let first = self.log.snapshot.index + 1;
        let agrees = self.log.term(snapshot.index) == Some(snapshot.term);
        self.log.compact(snapshot.clone());
        if !agrees {
            self.discard_from(first);
        }
    }

    /// Discards the synced and pending writes of entries from `index` on, as other entries replace them.
    fn discard_from(&mut self, index: u64) {
        let kept = index.saturating_sub(1);
        self.synced_index = self.synced_index.min(kept);
        for (_, write) in &mut self.pending_writes {
            if let PendingWrite::Log(last) = write {
                *last = kept.min(*last);
            }
        }
    }

    /// Returns whether a vote for any keeper is being written.
    pub(super) fn is_writing_vote(&self) -> bool {
        let mut writes = self.pending_writes.iter();
        writes.any(|(_, write)| matches!(write, PendingWrite::Vote { vote: Some(_), .. }))
    }

    /// Handles the report that the `count` oldest writes have been synced.
    pub(super) fn handle_synced(&mut self, now: Time, count: usize, out: &mut Vec<Output>) {
        let acknowledged = self.match_index.min(self.synced_index);
        let count = count.min(self.pending_writes.len());
        for (began, write) in self.pending_writes.drain(..count).collect::<Vec<_>>() {
            self.write_time = now.since(began);
            match write {
                PendingWrite::Log(index) => self.synced_index = self.synced_index.max(index),
                PendingWrite::Truncation => {}
                PendingWrite::Vote { term, vote } => {
                    if let Some(vote) = vote.filter(|_| term == self.term) {
                        self.handle_vote_synced(now, vote, out);
                    }
                }
            }
        }
        match self.role {
            Role::Leader => self.advance_commit(out),
            Role::Follower(Some(leader))
                if self.match_index.min(self.synced_index) > acknowledged =>
            {
                self.acknowledge(leader, out);
            }
            Role::Blank | Role::Follower(_) | Role::PreCandidate | Role::Candidate => {}
        }
    }
}

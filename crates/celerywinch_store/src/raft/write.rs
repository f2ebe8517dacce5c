//! What the disk still has to write, and what rests on it.
//!
//! The disk may take seconds. Messages and time are handled meanwhile, so that a keeper whose disk is slow still answers the
//! leader and serves reads; what depends on a write happens once [`Input::Synced`](super::Input::Synced) reports it.

use celerywinch_types::Time;

use super::{Output, Raft, Role};
use crate::{Entry, KeeperId, Snapshot};

/// A write that is not reported yet.
#[derive(Clone, Copy, Debug)]
pub(super) enum Write {
    Vote {
        term: u64,
        vote: Option<KeeperId>,
    },
    Truncation,
    /// Entries or a snapshot: with it, this keeper has the log up to this index.
    UpTo(u64),
}

impl Raft {
    /// Takes a term and the vote in it.
    pub(super) fn enter_term(
        &mut self,
        now: Time,
        term: u64,
        vote: Option<KeeperId>,
        out: &mut Vec<Output>,
    ) {
        if term > self.term {
            self.matched = 0;
        }
        self.term = term;
        self.vote = vote;
        self.unsynced.push_back((now, Write::Vote { term, vote }));
        out.push(Output::PersistVote { term, vote });
    }

    pub(super) fn write_entries(&mut self, now: Time, entries: Vec<Entry>, out: &mut Vec<Output>) {
        let last = entries.last().map_or(0, |entry| entry.index);
        self.unsynced.push_back((now, Write::UpTo(last)));
        out.push(Output::PersistEntries(entries));
    }

    pub(super) fn write_snapshot(&mut self, now: Time, snapshot: Snapshot, out: &mut Vec<Output>) {
        self.unsynced.push_back((now, Write::UpTo(snapshot.index)));
        out.push(Output::PersistSnapshot(snapshot));
    }

    pub(super) fn write_truncation(&mut self, now: Time, index: u64, out: &mut Vec<Output>) {
        self.forget_from(index);
        self.unsynced.push_back((now, Write::Truncation));
        out.push(Output::Truncate(index));
    }

    /// Puts a snapshot in the place of the log; entries that follow it stay if they agree with it.
    pub(super) fn replace_log(&mut self, snapshot: &Snapshot) {
        let first = self.log.snapshot.index + 1;
        let agrees = self.log.term(snapshot.index) == Some(snapshot.term);
        self.log.compact(snapshot.clone());
        if !agrees {
            self.forget_from(first);
        }
    }

    /// What is written of the log from an index on counts no more, as other entries take its place.
    fn forget_from(&mut self, index: u64) {
        let kept = index.saturating_sub(1);
        self.synced = self.synced.min(kept);
        for (_, write) in &mut self.unsynced {
            if let Write::UpTo(last) = write {
                *last = kept.min(*last);
            }
        }
    }

    /// Whether a vote for some keeper is being written.
    pub(super) fn writes_vote(&self) -> bool {
        let mut writes = self.unsynced.iter();
        writes.any(|(_, write)| matches!(write, Write::Vote { vote: Some(_), .. }))
    }

    /// The oldest writes have been synced.
    pub(super) fn written(&mut self, now: Time, count: usize, out: &mut Vec<Output>) {
        let acknowledged = self.matched.min(self.synced);
        let count = count.min(self.unsynced.len());
        for (began, write) in self.unsynced.drain(..count).collect::<Vec<_>>() {
            self.write_time = now.since(began);
            match write {
                Write::UpTo(index) => self.synced = self.synced.max(index),
                Write::Truncation => {}
                Write::Vote { term, vote } => {
                    if let Some(vote) = vote.filter(|_| term == self.term) {
                        self.voted(now, vote, out);
                    }
                }
            }
        }
        match self.role {
            Role::Leader => self.advance(out),
            Role::Follower(Some(leader)) if self.matched.min(self.synced) > acknowledged => {
                self.acknowledge(leader, out);
            }
            Role::Blank | Role::Follower(_) | Role::PreCandidate | Role::Candidate => {}
        }
    }
}

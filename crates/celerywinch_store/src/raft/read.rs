//! Linearizable reads without a log entry (`ReadIndex`; section 6.4 of Ongaro's thesis on Raft).
//!
//! A read waits until a majority of the voters has confirmed, after the read arrived, that this keeper leads, and until all
//! entries that were committed when it arrived are applied. It takes one round of messages and no write to a disk.

use std::collections::BTreeMap;

use celerywinch_types::Time;

use super::{Output, Raft, Role};
use crate::{KeeperId, RaftMsg};

/// A read that is not released yet.
#[derive(Clone, Copy, Debug)]
struct PendingRead {
    id: u64,
    /// The round of messages that has to be confirmed by a majority.
    round: u64,
    /// The entry that has to be applied before the read is released.
    index: u64,
}

/// Pending reads, and the last round in which each keeper has confirmed the leader.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadQueue {
    pending: Vec<PendingRead>,
    round: u64,
    confirmed: BTreeMap<KeeperId, u64>,
}

impl Raft {
    /// Starts a read; ignored unless this keeper leads.
    pub(super) fn read(&mut self, id: u64, out: &mut Vec<Output>) {
        if self.role != Role::Leader {
            return;
        }
        self.reads.round += 1;
        // Until an entry of its own term is committed, a leader does not know the commit index, so the read waits for its
        // whole log.
        let is_known = self.log.term(self.commit_index) == Some(self.term);
        let index = if is_known {
            self.commit_index
        } else {
            self.log.last_index()
        };
        self.reads.pending.push(PendingRead {
            id,
            round: self.reads.round,
            index,
        });
        self.confirm_leadership(out);
        self.release_reads(out);
    }

    /// Asks the voters to confirm that this keeper leads, if a read is pending.
    pub(super) fn confirm_leadership(&self, out: &mut Vec<Output>) {
        if self.reads.pending.is_empty() {
            return;
        }
        let msg = RaftMsg::ConfirmLeader {
            term: self.term,
            round: self.reads.round,
        };
        self.send_to_voters(&msg, out);
    }

    pub(super) fn handle_confirm(
        &mut self,
        now: Time,
        from: KeeperId,
        term: u64,
        round: u64,
        out: &mut Vec<Output>,
    ) {
        // A blank keeper belongs to no group and must not confirm a leader.
        if self.role != Role::Blank && self.accept_leader(now, from, term, out) {
            self.send(from, RaftMsg::ConfirmLeaderReply { term, round }, out);
        }
    }

    pub(super) fn handle_confirm_reply(
        &mut self,
        now: Time,
        from: KeeperId,
        term: u64,
        round: u64,
        out: &mut Vec<Output>,
    ) {
        if self.role != Role::Leader || term != self.term {
            return;
        }
        if let Some(progress) = self.progress.get_mut(&from) {
            progress.last_contact = now;
        }
        let confirmed = self.reads.confirmed.entry(from).or_default();
        *confirmed = (*confirmed).max(round);
        self.release_reads(out);
    }

    /// Releases the reads whose round is confirmed by a majority and whose entry is applied.
    pub(super) fn release_reads(&mut self, out: &mut Vec<Output>) {
        if self.reads.pending.is_empty() {
            return;
        }
        let membership = self.log.membership();
        let confirmed = |keeper: &KeeperId| {
            if *keeper == self.config.me {
                return self.reads.round;
            }
            self.reads.confirmed.get(keeper).copied().unwrap_or(0)
        };
        let mut rounds: Vec<_> = membership.voters.iter().map(confirmed).collect();
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let Some(agreed) = rounds.get(membership.majority() - 1).copied() else {
            return;
        };
        let applied = self.applied_index;
        let ready = |read: &PendingRead| read.round <= agreed && read.index <= applied;
        let released = self.reads.pending.iter().filter(|read| ready(read));
        out.extend(released.map(|read| Output::ReadReady(read.id)));
        self.reads.pending.retain(|read| !ready(read));
    }
}

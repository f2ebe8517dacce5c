//! Linearizable reads without an entry in the log (Ongaro's thesis, section 6.4).
//!
//! A read waits until a majority of the voters has confirmed, after the read arrived, that this keeper leads, and until
//! all that was committed by then is applied. It takes one round of messages and no write to a disk.

use std::collections::BTreeMap;

use celerywinch_types::Time;

use super::{Output, Raft, Role};
use crate::{KeeperId, RaftMsg};

/// A read that is not confirmed yet.
#[derive(Clone, Copy, Debug)]
struct PendingRead {
    id: u64,
    round: u64,
    /// What has to be applied before.
    index: u64,
}

/// Reads that wait, and how far each keeper has confirmed the leader.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadQueue {
    pending: Vec<PendingRead>,
    round: u64,
    confirmed: BTreeMap<KeeperId, u64>,
}

impl Raft {
    /// Begins a read; only a leader takes it.
    pub(super) fn read(&mut self, id: u64, out: &mut Vec<Output>) {
        if self.role != Role::Leader {
            return;
        }
        self.reads.round += 1;
        // Before an entry of its own term is committed, a leader does not know how far the log is.
        let knows = self.log.term(self.commit_index) == Some(self.term);
        let index = if knows {
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

    /// Asks all voters whether this keeper leads, if a read waits for that.
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
        // A keeper without a log belongs to no group, and confirms nothing.
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

    /// Tells of reads that are confirmed, and whose entries are applied.
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

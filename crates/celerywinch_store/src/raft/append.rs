//! Log replication and commit.

use std::time::Duration;

use celerywinch_types::Time;

use super::{MAX_APPEND_ENTRIES, Output, Progress, Raft, Role};
use crate::{Entry, KeeperId, Payload, RaftMsg, Snapshot};

/// How long to wait for the acknowledgement of a snapshot before it is sent again.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(2);

impl Raft {
    /// Appends an entry to the leader's log and sends it before it is synced on the leader's own disk. The leader and the
    /// followers thus write at the same time; the leader counts itself towards the majority only once it has synced.
    pub(super) fn propose(&mut self, now: Time, payload: Payload, out: &mut Vec<Output>) {
        if self.role != Role::Leader {
            return;
        }
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.term,
            payload,
        };
        self.log.push(entry.clone());
        self.sync_progress(now);
        self.send_all(now, out);
        self.persist_entries(now, vec![entry], out);
    }

    /// Performs the periodic work of a leader.
    pub(super) fn tick_leader(&mut self, now: Time, out: &mut Vec<Output>) {
        if !self.has_quorum_contact(now) {
            // Check-quorum: a leader that is cut off from the majority steps down.
            self.set_role(now, Role::Follower(None), out);
            return;
        }
        if now.since(self.last_sent) >= self.config.heartbeat_interval {
            self.send_all(now, out);
            self.confirm_leadership(out);
        }
        self.update_membership(now, out);
        self.resign_if_due(now, out);
    }

    fn has_quorum_contact(&self, now: Time) -> bool {
        let membership = self.log.membership();
        let me = self.config.me;
        let limit = self.config.election_timeout * 2;
        let has_contact = |keeper: &KeeperId| {
            let progress = self.progress.get(keeper);
            progress.is_some_and(|p| now.since(p.last_contact) <= limit)
        };
        let reachable = membership
            .voters
            .iter()
            .filter(|v| **v == me || has_contact(v));
        reachable.count() >= membership.majority()
    }

    fn send_all(&mut self, now: Time, out: &mut Vec<Output>) {
        self.last_sent = now;
        for keeper in self.other_keepers() {
            self.send_append(now, keeper, out);
        }
    }

    fn send_append(&mut self, now: Time, to: KeeperId, out: &mut Vec<Output>) {
        let next = self.progress.get(&to).map_or(1, |p| p.next_index);
        let previous = next.saturating_sub(1);
        let Some(previous_term) = self.log.term(previous) else {
            self.send_snapshot(now, to, out);
            return;
        };
        let entries = self.log.entries_from(next, MAX_APPEND_ENTRIES);
        if let (Some(last), Some(progress)) = (entries.last(), self.progress.get_mut(&to)) {
            // Sends each entry once, not again with every entry that follows; a rejection resets the index.
            progress.next_index = last.index + 1;
        }
        let msg = RaftMsg::Append {
            term: self.term,
            previous: (previous, previous_term),
            entries,
            commit: self.commit_index,
        };
        self.send(to, msg, out);
    }

    fn send_snapshot(&mut self, now: Time, to: KeeperId, out: &mut Vec<Output>) {
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        let outstanding = progress.snapshot_sent != Time::default();
        if outstanding && now.since(progress.snapshot_sent) < SNAPSHOT_TIMEOUT {
            return;
        }
        progress.snapshot_sent = now;
        let msg = RaftMsg::InstallSnapshot {
            term: self.term,
            snapshot: self.log.snapshot.clone(),
        };
        self.send(to, msg, out);
    }

    pub(super) fn handle_append(
        &mut self,
        now: Time,
        from: KeeperId,
        header: (u64, (u64, u64), u64),
        entries: Vec<Entry>,
        out: &mut Vec<Output>,
    ) {
        let (term, previous, commit) = header;
        if !self.accept_leader(now, from, term, out) {
            return;
        }
        if self.log.term(previous.0) != Some(previous.1) {
            self.reject_append(from, previous.0, out);
            return;
        }
        let last = entries.last().map_or(previous.0, |entry| entry.index);
        let has_new = self.merge_entries(now, entries, out);
        self.match_index = self.match_index.max(last);
        // New entries are acknowledged once they are synced.
        if !has_new {
            self.acknowledge(from, out);
        }
        self.commit_index = self.commit_index.max(commit.min(last));
        self.apply_committed(out);
    }

    /// Follows the leader of the current or a later term. Returns false for the leader of an earlier term, which is told
    /// the current one.
    pub(super) fn accept_leader(
        &mut self,
        now: Time,
        from: KeeperId,
        term: u64,
        out: &mut Vec<Output>,
    ) -> bool {
        if term < self.term {
            let reply = RaftMsg::AppendReply {
                term: self.term,
                index: 0,
                accepted: false,
            };
            self.send(from, reply, out);
            return false;
        }
        self.observe_term(now, term, Some(from), out);
        self.set_role(now, Role::Follower(Some(from)), out);
        self.last_contact = now;
        self.former_leader = Some((from, now));
        true
    }

    fn reject_append(&self, from: KeeperId, previous: u64, out: &mut Vec<Output>) {
        // The log ends before that entry or has another one there; the leader tries again from an earlier index.
        let index = self.log.last_index().min(previous.saturating_sub(1));
        let reply = RaftMsg::AppendReply {
            term: self.term,
            index: index.max(self.log.snapshot.index),
            accepted: false,
        };
        self.send(from, reply, out);
    }

    /// Acknowledges to the leader the part of its log that is synced on this keeper's disk.
    pub(super) fn acknowledge(&self, leader: KeeperId, out: &mut Vec<Output>) {
        let reply = RaftMsg::AppendReply {
            term: self.term,
            index: self.match_index.min(self.synced_index),
            accepted: true,
        };
        self.send(leader, reply, out);
    }

    /// Merges entries into the log; one that conflicts with an existing entry replaces it and all that follow. Returns
    /// whether there is anything to write.
    fn merge_entries(&mut self, now: Time, entries: Vec<Entry>, out: &mut Vec<Output>) -> bool {
        let mut new_entries = Vec::new();
        for entry in entries {
            if entry.index <= self.log.snapshot.index {
                continue;
            }
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => {
                    self.log.truncate(entry.index);
                    self.persist_truncation(now, entry.index, out);
                }
                None => {}
            }
            self.log.push(entry.clone());
            new_entries.push(entry);
        }
        let has_new = !new_entries.is_empty();
        if has_new {
            self.persist_entries(now, new_entries, out);
        }
        has_new
    }

    pub(super) fn handle_append_reply(
        &mut self,
        now: Time,
        from: KeeperId,
        reply: (u64, u64, bool),
        out: &mut Vec<Output>,
    ) {
        let (term, index, accepted) = reply;
        self.observe_term(now, term, None, out);
        if self.role != Role::Leader || term != self.term {
            return;
        }
        let last = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.last_contact = now;
        if accepted {
            progress.match_index = progress.match_index.max(index);
            progress.next_index = progress.next_index.max(index + 1);
            progress.snapshot_sent = Time::default();
            let behind = progress.next_index <= last;
            self.advance_commit(out);
            if behind {
                self.send_append(now, from, out);
            }
            return;
        }
        progress.next_index = (index + 1).max(progress.match_index + 1);
        self.send_append(now, from, out);
    }

    /// Commits the entries that a majority of the voters has synced.
    pub(super) fn advance_commit(&mut self, out: &mut Vec<Output>) {
        let membership = self.log.membership();
        let me = self.config.me;
        let synced = |keeper: &KeeperId| {
            if *keeper == me {
                return self.synced_index;
            }
            self.progress.get(keeper).map_or(0, |p| p.match_index)
        };
        let mut indices: Vec<_> = membership.voters.iter().map(synced).collect();
        indices.sort_unstable_by(|a, b| b.cmp(a));
        let Some(agreed) = indices.get(membership.majority() - 1).copied() else {
            return;
        };
        // An entry of an earlier term may still be replaced although a majority has it, so only one of the current term
        // can be committed by counting.
        if agreed > self.commit_index && self.log.term(agreed) == Some(self.term) {
            self.commit_index = agreed;
            self.apply_committed(out);
        }
    }

    pub(super) fn handle_snapshot(
        &mut self,
        now: Time,
        from: KeeperId,
        term: u64,
        snapshot: Snapshot,
        out: &mut Vec<Output>,
    ) {
        if !self.accept_leader(now, from, term, out) {
            return;
        }
        let index = snapshot.index;
        if index > self.commit_index {
            self.replace_log(&snapshot);
            self.commit_index = index;
            self.applied_index = index;
            self.persist_snapshot(now, snapshot.clone(), out);
            out.push(Output::Restore(snapshot));
        }
        // The entries that are committed here are in the leader's log as well.
        self.match_index = self.match_index.max(self.commit_index);
        if self.match_index <= self.synced_index {
            self.acknowledge(from, out);
        }
    }

    /// Adds and removes progress records so that there is one for each other keeper of the group.
    pub(super) fn sync_progress(&mut self, now: Time) {
        let others = self.other_keepers();
        self.progress.retain(|keeper, _| others.contains(keeper));
        for keeper in others {
            self.progress.entry(keeper).or_insert(Progress {
                next_index: 1,
                match_index: 0,
                last_contact: now,
                snapshot_sent: Time::default(),
            });
        }
    }
}

//! Spreading the log, and committing.

use std::time::Duration;

use celerywinch_types::Time;

use super::{MAX_APPEND_ENTRIES, Output, Progress, Raft, Role};
use crate::{Entry, KeeperId, Payload, RaftMsg, Snapshot};

/// How long a snapshot may take before it is sent again.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(2);

impl Raft {
    /// Adds an entry to the leader's log and sends it at once, before the leader's own disk has
    /// it: both writes run at the same time, and the leader counts itself only when it is synced.
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

    /// Regular work of a leader.
    pub(super) fn tick_leader(&mut self, now: Time, out: &mut Vec<Output>) {
        if !self.has_quorum_contact(now) {
            // A leader that is cut off must not go on to look like one.
            self.set_role(now, Role::Follower(None), out);
            return;
        }
        if now.since(self.last_sent) >= self.config.heartbeat_interval {
            self.send_all(now, out);
            self.confirm_leadership(out);
        }
        self.update_membership(now, out);
    }

    fn has_quorum_contact(&self, now: Time) -> bool {
        let membership = self.log.membership();
        let me = self.config.me;
        let limit = self.config.election_timeout * 2;
        let heard = |keeper: &KeeperId| {
            let progress = self.progress.get(keeper);
            progress.is_some_and(|p| now.since(p.last_contact) <= limit)
        };
        let hearing = membership.voters.iter().filter(|v| **v == me || heard(v));
        hearing.count() >= membership.majority()
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
            // Sent once and not again with every entry that follows; a refusal sets it back.
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
        let fresh = progress.snapshot_sent != Time::default();
        if fresh && now.since(progress.snapshot_sent) < SNAPSHOT_TIMEOUT {
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
        head: (u64, (u64, u64), u64),
        entries: Vec<Entry>,
        out: &mut Vec<Output>,
    ) {
        let (term, previous, commit) = head;
        if !self.accept_leader(now, from, term, out) {
            return;
        }
        if self.log.term(previous.0) != Some(previous.1) {
            self.reject_append(from, previous.0, out);
            return;
        }
        let last = entries.last().map_or(previous.0, |entry| entry.index);
        let fresh = self.merge_entries(now, entries, out);
        self.match_index = self.match_index.max(last);
        // Entries are acknowledged when they are synced.
        if !fresh {
            self.acknowledge(from, out);
        }
        self.commit_index = self.commit_index.max(commit.min(last));
        self.apply(out);
    }

    /// Follows the leader of a term that is not over; false for a leader of the past.
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
        true
    }

    fn reject_append(&self, from: KeeperId, previous: u64, out: &mut Vec<Output>) {
        // Either the log ends earlier, or an entry differs; then the leader tries further back.
        let index = self.log.last_index().min(previous.saturating_sub(1));
        let reply = RaftMsg::AppendReply {
            term: self.term,
            index: index.max(self.log.snapshot.index),
            accepted: false,
        };
        self.send(from, reply, out);
    }

    /// Tells the leader how far its log is on this keeper's disk.
    pub(super) fn acknowledge(&self, leader: KeeperId, out: &mut Vec<Output>) {
        let reply = RaftMsg::AppendReply {
            term: self.term,
            index: self.match_index.min(self.synced_index),
            accepted: true,
        };
        self.send(leader, reply, out);
    }

    /// Takes entries; one that differs from what is here replaces it and all that follows. False if there is nothing to write.
    fn merge_entries(&mut self, now: Time, entries: Vec<Entry>, out: &mut Vec<Output>) -> bool {
        let mut fresh = Vec::new();
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
            fresh.push(entry);
        }
        let any = !fresh.is_empty();
        if any {
            self.persist_entries(now, fresh, out);
        }
        any
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

    /// Commits what a majority of the voters has synced.
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
        // An entry of an earlier term may still be replaced although a majority has it.
        if agreed > self.commit_index && self.log.term(agreed) == Some(self.term) {
            self.commit_index = agreed;
            self.apply(out);
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
        // What is committed here is in the leader's log as well.
        self.match_index = self.match_index.max(self.commit_index);
        if self.match_index <= self.synced_index {
            self.acknowledge(from, out);
        }
    }

    /// Keeps progress for exactly the keepers of the group.
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

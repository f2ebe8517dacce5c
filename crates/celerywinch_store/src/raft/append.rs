//! Spreading the log, and committing.

use std::time::Duration;

use celerywinch_types::Time;

use super::{APPEND_MOST, Output, Progress, Raft, Role};
use crate::{Entry, KeeperId, Payload, RaftMsg, Snapshot};

/// How long a snapshot may take before it is sent again.
const INSTALL_TIMEOUT: Duration = Duration::from_secs(2);

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
        self.follow_group(now);
        self.send_all(now, out);
        self.write_entries(now, vec![entry], out);
    }

    /// Regular work of a leader.
    pub(super) fn lead(&mut self, now: Time, out: &mut Vec<Output>) {
        if !self.hears_majority(now) {
            // A leader that is cut off must not go on to look like one.
            self.set_role(now, Role::Follower(None), out);
            return;
        }
        if now.since(self.sent) >= self.config.heartbeat_interval {
            self.send_all(now, out);
            self.ask_to_confirm(out);
        }
        self.tend_group(now, out);
    }

    fn hears_majority(&self, now: Time) -> bool {
        let membership = self.log.membership();
        let me = self.config.me;
        let limit = self.config.election_timeout * 2;
        let heard = |keeper: &KeeperId| {
            let progress = self.progress.get(keeper);
            progress.is_some_and(|p| now.since(p.heard) <= limit)
        };
        let hearing = membership.voters.iter().filter(|v| **v == me || heard(v));
        hearing.count() >= membership.majority()
    }

    fn send_all(&mut self, now: Time, out: &mut Vec<Output>) {
        self.sent = now;
        for keeper in self.others() {
            self.send_append(now, keeper, out);
        }
    }

    fn send_append(&mut self, now: Time, to: KeeperId, out: &mut Vec<Output>) {
        let next = self.progress.get(&to).map_or(1, |p| p.next);
        let before = next.saturating_sub(1);
        let Some(before_term) = self.log.term(before) else {
            self.send_snapshot(now, to, out);
            return;
        };
        let entries = self.log.from(next, APPEND_MOST);
        if let (Some(last), Some(progress)) = (entries.last(), self.progress.get_mut(&to)) {
            // Sent once and not again with every entry that follows; a refusal sets it back.
            progress.next = last.index + 1;
        }
        let msg = RaftMsg::Append {
            term: self.term,
            before: (before, before_term),
            entries,
            commit: self.commit,
        };
        self.send(to, msg, out);
    }

    fn send_snapshot(&mut self, now: Time, to: KeeperId, out: &mut Vec<Output>) {
        let Some(progress) = self.progress.get_mut(&to) else {
            return;
        };
        let fresh = progress.installing != Time::default();
        if fresh && now.since(progress.installing) < INSTALL_TIMEOUT {
            return;
        }
        progress.installing = now;
        let msg = RaftMsg::Install {
            term: self.term,
            snapshot: self.log.snapshot.clone(),
        };
        self.send(to, msg, out);
    }

    pub(super) fn append(
        &mut self,
        now: Time,
        from: KeeperId,
        head: (u64, (u64, u64), u64),
        entries: Vec<Entry>,
        out: &mut Vec<Output>,
    ) {
        let (term, before, commit) = head;
        if !self.follow(now, from, term, out) {
            return;
        }
        if self.log.term(before.0) != Some(before.1) {
            self.refuse_append(from, before.0, out);
            return;
        }
        let last = entries.last().map_or(before.0, |entry| entry.index);
        let fresh = self.take_entries(now, entries, out);
        self.matched = self.matched.max(last);
        // Entries are acknowledged when they are synced.
        if !fresh {
            self.acknowledge(from, out);
        }
        self.commit = self.commit.max(commit.min(last));
        self.apply(out);
    }

    /// Follows the leader of a term that is not over; false for a leader of the past.
    pub(super) fn follow(
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
                taken: false,
            };
            self.send(from, reply, out);
            return false;
        }
        self.observe(now, term, Some(from), out);
        self.set_role(now, Role::Follower(Some(from)), out);
        self.heard = now;
        true
    }

    fn refuse_append(&self, from: KeeperId, before: u64, out: &mut Vec<Output>) {
        // Either the log ends earlier, or an entry differs; then the leader tries further back.
        let index = self.log.last_index().min(before.saturating_sub(1));
        let reply = RaftMsg::AppendReply {
            term: self.term,
            index: index.max(self.log.snapshot.index),
            taken: false,
        };
        self.send(from, reply, out);
    }

    /// Tells the leader how far its log is on this keeper's disk.
    pub(super) fn acknowledge(&self, leader: KeeperId, out: &mut Vec<Output>) {
        let reply = RaftMsg::AppendReply {
            term: self.term,
            index: self.matched.min(self.synced),
            taken: true,
        };
        self.send(leader, reply, out);
    }

    /// Takes entries; one that differs from what is here replaces it and all that follows. False if there is nothing to write.
    fn take_entries(&mut self, now: Time, entries: Vec<Entry>, out: &mut Vec<Output>) -> bool {
        let mut fresh = Vec::new();
        for entry in entries {
            if entry.index <= self.log.snapshot.index {
                continue;
            }
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => {
                    self.log.truncate(entry.index);
                    self.write_truncation(now, entry.index, out);
                }
                None => {}
            }
            self.log.push(entry.clone());
            fresh.push(entry);
        }
        let any = !fresh.is_empty();
        if any {
            self.write_entries(now, fresh, out);
        }
        any
    }

    pub(super) fn append_reply(
        &mut self,
        now: Time,
        from: KeeperId,
        reply: (u64, u64, bool),
        out: &mut Vec<Output>,
    ) {
        let (term, index, taken) = reply;
        self.observe(now, term, None, out);
        if self.role != Role::Leader || term != self.term {
            return;
        }
        let last = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.heard = now;
        if taken {
            progress.matched = progress.matched.max(index);
            progress.next = progress.next.max(index + 1);
            progress.installing = Time::default();
            let behind = progress.next <= last;
            self.advance(out);
            if behind {
                self.send_append(now, from, out);
            }
            return;
        }
        progress.next = (index + 1).max(progress.matched + 1);
        self.send_append(now, from, out);
    }

    /// Commits what a majority of the voters has synced.
    pub(super) fn advance(&mut self, out: &mut Vec<Output>) {
        let membership = self.log.membership();
        let me = self.config.me;
        let synced = |keeper: &KeeperId| {
            if *keeper == me {
                return self.synced;
            }
            self.progress.get(keeper).map_or(0, |p| p.matched)
        };
        let mut indices: Vec<_> = membership.voters.iter().map(synced).collect();
        indices.sort_unstable_by(|a, b| b.cmp(a));
        let Some(agreed) = indices.get(membership.majority() - 1).copied() else {
            return;
        };
        // An entry of an earlier term may still be replaced although a majority has it.
        if agreed > self.commit && self.log.term(agreed) == Some(self.term) {
            self.commit = agreed;
            self.apply(out);
        }
    }

    pub(super) fn install(
        &mut self,
        now: Time,
        from: KeeperId,
        term: u64,
        snapshot: Snapshot,
        out: &mut Vec<Output>,
    ) {
        if !self.follow(now, from, term, out) {
            return;
        }
        let index = snapshot.index;
        if index > self.commit {
            self.replace_log(&snapshot);
            self.commit = index;
            self.applied = index;
            self.write_snapshot(now, snapshot.clone(), out);
            out.push(Output::Restore(snapshot));
        }
        // What is committed here is in the leader's log as well.
        self.matched = self.matched.max(self.commit);
        if self.matched <= self.synced {
            self.acknowledge(from, out);
        }
    }

    /// Keeps progress for exactly the keepers of the group.
    pub(super) fn follow_group(&mut self, now: Time) {
        let others = self.others();
        self.progress.retain(|keeper, _| others.contains(keeper));
        for keeper in others {
            self.progress.entry(keeper).or_insert(Progress {
                next: 1,
                matched: 0,
                heard: now,
                installing: Time::default(),
            });
        }
    }
}

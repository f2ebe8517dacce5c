//! Lookups: finding the outcome of a key without starting its tasks.

use std::sync::Arc;
use std::time::Duration;

use celerywinch_dispatch::JobId;
use celerywinch_types::{
    Ballot, ClaimMsg, ClaimReply, InstanceId, Key, Outcome, PeerMsg, Submission, Time, VoteState,
};

use crate::job::{Phase, Waiter};
use crate::submit::{RESEND_DELAY, unknown_outcome};
use crate::{Entry, Output, Reply};

/// How long a lookup waits for the outcome of a key that is being processed.
const LOOKUP_TIMEOUT: Duration = Duration::from_secs(35);

impl Entry {
    /// Processes a lookup: replies with a known outcome, joins an open job of the key, or asks the replicas or the
    /// key's home.
    pub(crate) fn lookup(&mut self, now: Time, waiter: Waiter, key: Key, out: &mut Vec<Output>) {
        let known = self.replicas.values().find_map(|r| r.decided(&key));
        if let Some((digest, outcome)) = known {
            let reply = Reply::Outcome(outcome.clone());
            self.send_reply(waiter, &key, digest, reply, out);
            return;
        }
        let open = self
            .submissions
            .get(&key)
            .or_else(|| self.lookups.get(&key));
        if let Some(job) = open.copied().and_then(|id| self.jobs.get_mut(id)) {
            job.add_waiter(waiter);
            return;
        }
        let Some(home) = self.homes.home(&key) else {
            return;
        };
        let id = self.open_lookup(now, waiter, key, out);
        if home == self.config.dc {
            self.jobs[id].phase = Phase::Inspecting(Vec::new());
            self.inspect(now, id, out);
        } else {
            self.start_relay(now, id, home, out);
        }
    }

    fn open_lookup(&mut self, now: Time, waiter: Waiter, key: Key, out: &mut Vec<Output>) -> JobId {
        let submission = Submission {
            key: key.clone(),
            kind: Arc::from(""),
            team: Arc::from(""),
            digest: 0,
            remaining: LOOKUP_TIMEOUT,
            tasks: Vec::new(),
        };
        let events = out.len();
        let id = self.open_job(now, waiter, submission, out);
        // A lookup is not a submission, so its `Accepted` event is removed again.
        out.truncate(events);
        self.submissions.remove(&key);
        self.lookups.insert(key, id);
        id
    }

    /// Asks the replicas what they know of the key.
    pub(crate) fn inspect(&mut self, now: Time, id: JobId, out: &mut Vec<Output>) {
        let Some(group) = self.homes.group(self.config.dc).cloned() else {
            return;
        };
        if !self.has_quorum(&group) {
            self.reply_undecided(id, "too few replicas of this data centre answer", out);
            return;
        }
        let key = self.jobs[id].key.clone();
        self.schedule_resend(now, id, RESEND_DELAY * 2);
        let me = self.me();
        let inspect = || ClaimMsg::Inspect { key: key.clone() };
        for peer in group.members().iter().filter(|peer| **peer != me) {
            out.push(Output::Send(*peer, PeerMsg::Claim(inspect())));
        }
        match self.replica_reply(now, inspect()) {
            Some(ClaimReply::Found {
                vote,
                digest,
                decided,
                settling,
                ..
            }) => self.found(now, me, &key, (vote, digest, decided, settling), out),
            Some(ClaimReply::Abstained { .. }) => self.abstained(now, id, me, out),
            _ => {}
        }
    }

    /// Handles a replica's reply to a lookup: an outcome, a holder to watch, or nothing.
    pub(crate) fn found(
        &mut self,
        now: Time,
        from: InstanceId,
        key: &Key,
        known: (VoteState, u64, Option<Outcome>, bool),
        out: &mut Vec<Output>,
    ) {
        let Some(id) = self.lookups.get(key).copied() else {
            return;
        };
        let (vote, digest, decided, settling) = known;
        let Phase::Inspecting(unknown) = &mut self.jobs[id].phase else {
            return;
        };
        if let Some(outcome) = decided {
            self.jobs[id].digest = digest;
            self.complete_job(id, &outcome, out);
            return;
        }
        if settling {
            self.start_settling(now, id, Ballot::default(), out);
            return;
        }
        match vote {
            VoteState::For(holder) => {
                self.watch_holder(now, id, holder, out);
                return;
            }
            VoteState::None | VoteState::Void(_) => {}
        }
        if !unknown.contains(&from) {
            unknown.push(from);
        }
        let count = unknown.len();
        let group = self.homes.group(self.config.dc);
        if group.is_some_and(|group| count >= group.majority()) {
            let old = self.config.limits.too_old(key, self.wall(now));
            let reply = if old {
                Reply::Outcome(unknown_outcome())
            } else {
                Reply::Unknown
            };
            self.reply_and_discard(id, &reply, out);
        }
    }
}

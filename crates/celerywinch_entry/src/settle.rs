//! Keys whose claim another process holds: waiting for their outcome, and settling them when the holder is gone.

use std::time::Duration;

use celerywinch_claims::{Claim, Progress, Promise};
use celerywinch_dispatch::JobId;
use celerywinch_types::{
    Ballot, ClaimMsg, ClaimReply, Holder, InstanceId, PeerMsg, RelayMsg, Time, VoteState,
};
use rand::Rng;

use crate::job::Phase;
use crate::submit::RESEND_DELAY;
use crate::{Entry, Event, Output, Reply};

/// Interval between requests for the outcome to the holder of a claim.
const WATCH_INTERVAL: Duration = Duration::from_millis(300);
/// Longest random delay before a preempted ballot is raised, in ms. It keeps two proposers that settle the same key
/// from preempting each other forever.
const MAX_BACKOFF_MS: u64 = 40;

impl Entry {
    /// Waits for the outcome of a key whose claim another process holds, or settles the key if that process is gone.
    pub(crate) fn watch_holder(
        &mut self,
        now: Time,
        id: JobId,
        holder: Holder,
        out: &mut Vec<Output>,
    ) {
        let own_earlier_attempt = holder.process.instance == self.me();
        if own_earlier_attempt
            || self
                .peers
                .has_ended(holder.process.instance, holder.process.incarnation)
        {
            self.start_settling(now, id, Ballot::default(), out);
            return;
        }
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.phase = Phase::Watching(holder);
        let msg = PeerMsg::Relay(RelayMsg::Watch(job.key.clone()));
        out.push(Output::Send(holder.process.instance, msg));
        self.schedule_resend(now, id, WATCH_INTERVAL);
    }

    /// Settles at once the jobs that wait for an incarnation of `peer` that has ended.
    pub(crate) fn recheck_watched(&mut self, now: Time, peer: InstanceId, out: &mut Vec<Output>) {
        let waiting = self.jobs.iter().filter_map(|(id, job)| match job.phase {
            Phase::Watching(holder) if holder.process.instance == peer => Some((id, holder)),
            _ => None,
        });
        let waiting: Vec<_> = waiting.collect();
        for (id, holder) in waiting {
            self.watch_holder(now, id, holder, out);
        }
    }

    /// Starts to settle a key: learns its outcome, or decides one if no process can do so any more.
    pub(crate) fn start_settling(
        &mut self,
        now: Time,
        id: JobId,
        seen: Ballot,
        out: &mut Vec<Output>,
    ) {
        let Some(group) = self.homes.group(self.config.dc).cloned() else {
            return;
        };
        if !self.has_quorum(&group) {
            self.reply_undecided(id, "too few replicas of this data centre answer", out);
            return;
        }
        // A process never uses a round twice: a submission and a lookup of the same key could propose different
        // outcomes with the same ballot.
        let round = seen.round.max(self.settle_round).max(1) + 1;
        self.settle_round = round;
        let ballot = Ballot {
            round,
            proposer: self.config.me,
        };
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let (key, digest) = (job.key.clone(), job.digest);
        let claim = Claim::settle_key(key.clone(), digest, group.clone(), ballot);
        job.phase = Phase::Settling(claim);
        out.push(Output::Event(Event::Settling { key: key.clone() }));
        self.schedule_resend(now, id, RESEND_DELAY * 2);
        let me = self.me();
        let prepare = || ClaimMsg::Prepare {
            key: key.clone(),
            ballot,
        };
        for peer in group.members().iter().filter(|peer| **peer != me) {
            out.push(Output::Send(*peer, PeerMsg::Claim(prepare())));
        }
        let own = self.replica_reply(now, prepare());
        self.own_prepare_reply(now, id, own, out);
    }

    fn own_prepare_reply(
        &mut self,
        now: Time,
        id: JobId,
        reply: Option<ClaimReply>,
        out: &mut Vec<Output>,
    ) {
        let me = self.me();
        match reply {
            Some(ClaimReply::Promised {
                ballot,
                vote,
                digest,
                accepted,
                ..
            }) => {
                let promise = Promise {
                    vote,
                    digest,
                    accepted,
                };
                self.promised(now, id, me, ballot, promise, out);
            }
            Some(ClaimReply::Preempted {
                ballot, promised, ..
            }) => self.preempted(now, id, ballot, promised),
            Some(ClaimReply::Abstained { .. }) => self.abstained(now, id, me, out),
            _ => {}
        }
    }

    /// Settles the key again, with a higher ballot.
    pub(crate) fn restart_settling(&mut self, now: Time, id: JobId, out: &mut Vec<Output>) {
        if let Some(Phase::Settling(claim)) = self.jobs.get(id).map(|job| &job.phase) {
            let seen = claim.ballot();
            self.start_settling(now, id, seen, out);
        }
    }

    /// Records a promise. With a majority, proposes the outcome that the promises require.
    pub(crate) fn promised(
        &mut self,
        now: Time,
        id: JobId,
        from: InstanceId,
        ballot: Ballot,
        promise: Promise,
        out: &mut Vec<Output>,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Phase::Settling(claim) = &mut job.phase else {
            return;
        };
        let Progress::Done((digest, outcome)) = claim.promise(from, ballot, promise) else {
            return;
        };
        let Phase::Settling(claim) = std::mem::replace(&mut job.phase, Phase::Transition) else {
            return;
        };
        job.phase = Phase::Deciding(claim.decide(digest, outcome));
        self.request_accepts(now, id, out);
    }

    /// Handles a rejection due to a higher ballot. Its proposer may have decided the key, so the key is settled again
    /// after a delay.
    pub(crate) fn preempted(&mut self, now: Time, id: JobId, ballot: Ballot, promised: Ballot) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let own = match &job.phase {
            Phase::Settling(claim) => claim.ballot(),
            Phase::Deciding(claim) => claim.ballot(),
            _ => return,
        };
        if own != ballot {
            return;
        }
        let Some(group) = self.homes.group(self.config.dc).cloned() else {
            return;
        };
        let claim = Claim::settle_key(job.key.clone(), job.digest, group, promised);
        // The resend timer raises the ballot above the promised one.
        job.phase = Phase::Settling(claim);
        let backoff = Duration::from_millis(self.rng.random_range(1..=MAX_BACKOFF_MS));
        self.schedule_resend(now, id, backoff);
    }

    /// Records a replica's abstention for a job that settles or looks up the key.
    pub(crate) fn abstained(
        &mut self,
        now: Time,
        id: JobId,
        from: InstanceId,
        out: &mut Vec<Output>,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let impossible = match &mut job.phase {
            Phase::Settling(claim) => claim.abstain(from) == Progress::Done(()),
            Phase::Inspecting(_) => {
                let nothing = (VoteState::None, 0, None, false);
                let key = job.key.clone();
                self.found(now, from, &key, nothing, out);
                false
            }
            _ => false,
        };
        if impossible {
            self.settling_impossible(now, id, out);
        }
    }

    /// Ends a job whose key cannot be settled, because too few replicas have records as old as the key.
    fn settling_impossible(&mut self, now: Time, id: JobId, out: &mut Vec<Output>) {
        let key = self.jobs[id].key.clone();
        if self.config.limits.too_old(&key, self.wall(now)) {
            let reply = Reply::Outcome(crate::submit::unknown_outcome());
            self.reply_and_discard(id, &reply, out);
            return;
        }
        let detail = "too few replicas have records as old as the key, because some restarted";
        self.reply_undecided(id, detail, out);
    }

    /// Replies to the waiters with a conflict if the key turns out to have been used with another body, which has the
    /// hash `digest`.
    pub(crate) fn check_conflict(&mut self, id: JobId, digest: u64, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.digest == 0 || digest == 0 || job.digest == digest {
            return;
        }
        let (key, own) = (job.key.clone(), job.digest);
        for waiter in std::mem::take(&mut job.waiters) {
            self.send_reply(waiter, &key, own, Reply::Conflict, out);
        }
    }
}

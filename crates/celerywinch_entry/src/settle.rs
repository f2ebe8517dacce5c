//! Keys held elsewhere: waiting for their outcome, and settling them when the holder is gone.

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

/// Between two questions to a holder that is working on a key.
const WATCH_INTERVAL: Duration = Duration::from_millis(300);
/// The longest pause before a ballot that was outbid is raised, so that two who settle the same
/// key do not outbid each other for ever.
const MAX_BACKOFF_MS: u64 = 40;

impl Entry {
    /// Waits for the outcome of a key that another process holds, or settles it if that is gone.
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

    /// Jobs that wait for a life of a peer that is over are settled at once.
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

    /// Finds out the outcome of a key, or ends the key if nobody can give it one any more.
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
        // Rounds are never used twice by one process: a submission and a lookup of the same key
        // could propose different outcomes with the same ballot.
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

    pub(crate) fn restart_settling(&mut self, now: Time, id: JobId, out: &mut Vec<Output>) {
        if let Some(Phase::Settling(claim)) = self.jobs.get(id).map(|job| &job.phase) {
            let seen = claim.ballot();
            self.start_settling(now, id, seen, out);
        }
    }

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

    /// A higher ballot is about: whoever uses it may have decided, so find out after a pause.
    pub(crate) fn preempted(&mut self, now: Time, id: JobId, ballot: Ballot, promised: Ballot) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let mine = match &job.phase {
            Phase::Settling(claim) => claim.ballot(),
            Phase::Deciding(claim) => claim.ballot(),
            _ => return,
        };
        if mine != ballot {
            return;
        }
        let Some(group) = self.homes.group(self.config.dc).cloned() else {
            return;
        };
        let claim = Claim::settle_key(job.key.clone(), job.digest, group, promised);
        // The resend timer raises the ballot above the one seen.
        job.phase = Phase::Settling(claim);
        let pause = Duration::from_millis(self.rng.random_range(1..=MAX_BACKOFF_MS));
        self.schedule_resend(now, id, pause);
    }

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
        let hopeless = match &mut job.phase {
            Phase::Settling(claim) => claim.abstain(from) == Progress::Done(()),
            Phase::Inspecting(_) => {
                let nothing = (VoteState::None, 0, None, false);
                let key = job.key.clone();
                self.found(now, from, &key, nothing, out);
                false
            }
            _ => false,
        };
        if hopeless {
            self.settling_impossible(now, id, out);
        }
    }

    /// Too few replicas remember times as early as the key's.
    fn settling_impossible(&mut self, now: Time, id: JobId, out: &mut Vec<Output>) {
        let key = self.jobs[id].key.clone();
        if self.config.limits.too_old(&key, self.wall(now)) {
            let reply = Reply::Outcome(crate::submit::unknown_outcome());
            self.reply_and_discard(id, &reply, out);
            return;
        }
        let detail = "replicas restarted and do not remember a key this old";
        self.reply_undecided(id, detail, out);
    }

    /// A settled key may turn out to have been used with another body.
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

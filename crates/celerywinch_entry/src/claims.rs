//! Messages about claims: the replies of the local replicas, and the proposer's side of the vote and of the outcome.

use celerywinch_claims::{Progress, Promise, Rejection, Replica, Verdict};
use celerywinch_dispatch::JobId;
use celerywinch_types::{
    Ballot, ClaimMsg, ClaimReply, Grant, Holder, InstanceId, Key, Outcome, PeerMsg, Time, VoteState,
};

use crate::job::Phase;
use crate::submit::unknown_outcome;
use crate::{Entry, Event, Output, Reply};

/// Largest number of keys in one message about decided keys.
const MAX_DECIDED_KEYS: usize = 4096;

impl Entry {
    /// Handles a message about claims, as a replica or as a proposer.
    pub(crate) fn claim_msg(
        &mut self,
        now: Time,
        from: InstanceId,
        msg: ClaimMsg,
        out: &mut Vec<Output>,
    ) {
        match msg {
            ClaimMsg::Decided(keys) => self.learn_decided(&keys),
            ClaimMsg::Reply(reply) => self.claim_reply(now, from, reply, out),
            request => {
                if let Some(reply) = self.replica_reply(now, request) {
                    let msg = PeerMsg::Claim(ClaimMsg::Reply(reply));
                    out.push(Output::Send(from, msg));
                }
            }
        }
    }

    /// Returns the local replica of a key, if there is one.
    pub(crate) fn replica(&mut self, key: &Key) -> Option<&mut Replica> {
        let home = self.homes.home(key)?;
        self.replicas.get_mut(&home)
    }

    fn learn_decided(&mut self, keys: &[(Key, Ballot)]) {
        for (key, ballot) in keys {
            if let Some(replica) = self.replica(key) {
                replica.learn(key, *ballot);
            }
        }
    }

    /// Returns the local replica's reply to a request, or `None` if there is no replica of the key here.
    pub(crate) fn replica_reply(&mut self, now: Time, msg: ClaimMsg) -> Option<ClaimReply> {
        let wall = self.wall(now);
        match msg {
            ClaimMsg::Vote {
                key,
                digest,
                holder,
            } => {
                let grant = self.replica(&key)?.vote(wall, &key, digest, holder);
                Some(ClaimReply::Voted { key, holder, grant })
            }
            ClaimMsg::Prepare { key, ballot } => {
                let promise = self.replica(&key)?.prepare(wall, &key, ballot);
                Some(promise_reply(key, ballot, promise))
            }
            ClaimMsg::Accept {
                key,
                digest,
                ballot,
                outcome,
            } => {
                let replica = self.replica(&key)?;
                let accepted = replica.accept(wall, &key, digest, ballot, &outcome);
                Some(accept_reply(key, ballot, accepted))
            }
            ClaimMsg::Inspect { key } => {
                let replica = self.replica(&key)?;
                let known = replica.inspect(&key);
                if known.is_none() && replica.abstains(wall, &key) {
                    return Some(ClaimReply::Abstained { key });
                }
                Some(found_reply(key, known))
            }
            ClaimMsg::Decided(_) | ClaimMsg::Reply(_) => None,
        }
    }

    /// Requests the votes of all replicas that have not answered, the local one first.
    pub(crate) fn request_votes(&mut self, now: Time, id: JobId, out: &mut Vec<Output>) {
        let Some(Phase::Voting(claim)) = self.jobs.get(id).map(|job| &job.phase) else {
            return;
        };
        let (key, digest, holder) = (claim.key().clone(), claim.digest(), claim.holder());
        let unanswered: Vec<_> = claim.unanswered().collect();
        let vote = || ClaimMsg::Vote {
            key: key.clone(),
            digest,
            holder,
        };
        let me = self.me();
        if unanswered.contains(&me)
            && let Some(reply) = self.replica_reply(now, vote())
        {
            self.claim_reply(now, me, reply, out);
        }
        if !matches!(
            self.jobs.get(id).map(|job| &job.phase),
            Some(Phase::Voting(_))
        ) {
            return;
        }
        for peer in unanswered.into_iter().filter(|peer| *peer != me) {
            out.push(Output::Send(peer, PeerMsg::Claim(vote())));
        }
    }

    fn claim_reply(
        &mut self,
        now: Time,
        from: InstanceId,
        reply: ClaimReply,
        out: &mut Vec<Output>,
    ) {
        match reply {
            ClaimReply::Voted { key, holder, grant } => {
                if let Some(id) = self.submissions.get(&key).copied() {
                    self.voted(now, id, from, (holder, grant), out);
                }
            }
            ClaimReply::Promised {
                key,
                ballot,
                vote,
                digest,
                accepted,
            } => {
                let promise = Promise {
                    vote,
                    digest,
                    accepted,
                };
                for id in self.jobs_for_key(&key) {
                    self.promised(now, id, from, ballot, promise.clone(), out);
                }
            }
            ClaimReply::Accepted { key, ballot } => {
                for id in self.jobs_for_key(&key) {
                    self.accepted(id, from, ballot, out);
                }
            }
            ClaimReply::Preempted {
                key,
                ballot,
                promised,
            } => {
                for id in self.jobs_for_key(&key) {
                    self.preempted(now, id, ballot, promised);
                }
            }
            ClaimReply::Found {
                key,
                vote,
                digest,
                decided,
                settling,
            } => self.found(now, from, &key, (vote, digest, decided, settling), out),
            ClaimReply::Abstained { key } => {
                for id in self.jobs_for_key(&key) {
                    self.abstained(now, id, from, out);
                }
            }
        }
    }

    /// Returns the open submission and the open lookup of a key.
    pub(crate) fn jobs_for_key(&self, key: &Key) -> Vec<JobId> {
        let maps = [self.submissions.get(key), self.lookups.get(key)];
        maps.into_iter().flatten().copied().collect()
    }

    fn voted(
        &mut self,
        now: Time,
        id: JobId,
        from: InstanceId,
        vote: (Holder, Option<Grant>),
        out: &mut Vec<Output>,
    ) {
        let (holder, grant) = vote;
        let granted = grant == Some(Grant::Granted);
        let Some(Phase::Voting(claim)) = self.jobs.get_mut(id).map(|job| &mut job.phase) else {
            return;
        };
        // The vote of an earlier attempt does not count for this one.
        if claim.holder() != holder {
            return;
        }
        match claim.answer(from, grant) {
            Progress::Pending if granted && from != self.me() => self.request_votes(now, id, out),
            Progress::Pending => {}
            Progress::Done(verdict) => self.vote_finished(now, id, verdict, out),
        }
    }

    /// Continues a job according to the result of the vote.
    fn vote_finished(&mut self, now: Time, id: JobId, verdict: Verdict, out: &mut Vec<Output>) {
        let key = self.jobs[id].key.clone();
        match verdict {
            Verdict::Won => self.claim_won(now, id, out),
            Verdict::Decided(outcome) => {
                self.abandon(id);
                self.complete_job(id, &outcome, out);
            }
            Verdict::Lost(holder) => {
                self.abandon(id);
                out.push(Output::Event(Event::ClaimLost { key, holder }));
                self.watch_holder(now, id, holder, out);
            }
            Verdict::Settling => {
                self.abandon(id);
                self.start_settling(now, id, Ballot::default(), out);
            }
            Verdict::Conflict => self.reply_and_discard(id, &Reply::Conflict, out),
            Verdict::TooNew => self.reply_and_discard(id, &Reply::TooNew, out),
            Verdict::TooOld => {
                self.reply_and_discard(id, &Reply::Outcome(unknown_outcome()), out);
            }
            Verdict::NoQuorum => {
                let detail = "too few replicas can vote on this key now";
                self.reply_undecided(id, detail, out);
            }
        }
    }

    /// Replies to the waiters of a job without an agreed outcome, and discards the job.
    pub(crate) fn reply_and_discard(&mut self, id: JobId, reply: &Reply, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let (key, digest) = (job.key.clone(), job.digest);
        for waiter in std::mem::take(&mut job.waiters) {
            self.send_reply(waiter, &key, digest, reply.clone(), out);
        }
        self.abandon(id);
        self.discard(id);
    }

    fn claim_won(&mut self, now: Time, id: JobId, out: &mut Vec<Output>) {
        let job = &mut self.jobs[id];
        let Phase::Voting(claim) = std::mem::replace(&mut job.phase, Phase::Transition) else {
            return;
        };
        match claim.into_held() {
            Ok(held) => job.phase = Phase::Running(held),
            Err(claim) => {
                job.phase = Phase::Voting(claim);
                return;
            }
        }
        out.push(Output::Event(Event::Claimed {
            key: job.key.clone(),
        }));
        self.admit_job(now, id, out);
    }

    /// Proposes an outcome as the holder of the claim. Has no effect on a job that is not running.
    pub(crate) fn propose(
        &mut self,
        now: Time,
        id: JobId,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let phase = std::mem::replace(&mut job.phase, Phase::Transition);
        let Phase::Running(claim) = phase else {
            job.phase = phase;
            return;
        };
        job.phase = Phase::Deciding(claim.decide(outcome));
        self.dispatch.drop_job(id);
        self.request_accepts(now, id, out);
    }

    /// Requests the replicas that have not accepted the outcome to accept it.
    pub(crate) fn request_accepts(&mut self, now: Time, id: JobId, out: &mut Vec<Output>) {
        let Some(Phase::Deciding(claim)) = self.jobs.get(id).map(|job| &job.phase) else {
            return;
        };
        let unanswered: Vec<_> = claim.unanswered().collect();
        let (key, digest, ballot) = (claim.key().clone(), claim.digest(), claim.ballot());
        let outcome = claim.outcome().clone();
        let accept = || ClaimMsg::Accept {
            key: key.clone(),
            digest,
            ballot,
            outcome: outcome.clone(),
        };
        self.schedule_resend(now, id, crate::submit::RESEND_DELAY);
        let me = self.me();
        // The others come first, so that their round trip overlaps with the acceptance by the local replica.
        for peer in unanswered.iter().filter(|peer| **peer != me) {
            out.push(Output::Send(*peer, PeerMsg::Claim(accept())));
        }
        if unanswered.contains(&me)
            && let Some(reply) = self.replica_reply(now, accept())
        {
            self.claim_reply(now, me, reply, out);
        }
    }

    fn accepted(&mut self, id: JobId, from: InstanceId, ballot: Ballot, out: &mut Vec<Output>) {
        let Some(Phase::Deciding(claim)) = self.jobs.get_mut(id).map(|job| &mut job.phase) else {
            return;
        };
        let Progress::Done(outcome) = claim.accepted(from, ballot) else {
            return;
        };
        let (key, group) = (claim.key().clone(), claim.group().clone());
        let digest = claim.digest();
        for member in group.members() {
            self.unsent_decisions
                .entry(*member)
                .or_default()
                .push((key.clone(), ballot));
        }
        if let Some(replica) = self.replica(&key) {
            replica.learn(&key, ballot);
        }
        self.check_conflict(id, digest, out);
        self.complete_job(id, &outcome, out);
    }

    /// Notifies the replicas of decided keys, many in one message.
    pub(crate) fn send_decided(&mut self, out: &mut Vec<Output>) {
        let me = self.me();
        for (peer, keys) in std::mem::take(&mut self.unsent_decisions) {
            if peer == me {
                continue;
            }
            for chunk in keys.chunks(MAX_DECIDED_KEYS) {
                let msg = PeerMsg::Claim(ClaimMsg::Decided(chunk.to_vec()));
                out.push(Output::Send(peer, msg));
            }
        }
    }

    /// Sends again the messages of a job's phase, which may have been lost.
    pub(crate) fn resend(&mut self, now: Time, id: JobId, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        // The phase that follows has scheduled a later timer of its own.
        if job.resend_at > now {
            return;
        }
        match &job.phase {
            Phase::Voting(_) => {
                self.schedule_resend(now, id, crate::submit::RESEND_DELAY);
                self.request_votes(now, id, out);
            }
            Phase::Deciding(_) => self.request_accepts(now, id, out),
            Phase::Settling(_) => self.restart_settling(now, id, out),
            Phase::Watching(holder) => {
                let holder = *holder;
                self.watch_holder(now, id, holder, out);
            }
            Phase::Inspecting(_) => self.inspect(now, id, out),
            Phase::Relayed(_) => self.send_relayed(now, id, out),
            Phase::Running(_) | Phase::Transition => {}
        }
    }
}

fn promise_reply(key: Key, ballot: Ballot, promise: Result<Promise, Rejection>) -> ClaimReply {
    match promise {
        Ok(promise) => ClaimReply::Promised {
            key,
            ballot,
            vote: promise.vote,
            digest: promise.digest,
            accepted: promise.accepted,
        },
        Err(rejection) => rejection_reply(key, ballot, rejection),
    }
}

fn accept_reply(key: Key, ballot: Ballot, accepted: Result<(), Rejection>) -> ClaimReply {
    match accepted {
        Ok(()) => ClaimReply::Accepted { key, ballot },
        Err(rejection) => rejection_reply(key, ballot, rejection),
    }
}

fn rejection_reply(key: Key, ballot: Ballot, rejection: Rejection) -> ClaimReply {
    match rejection {
        Rejection::Preempted(promised) => ClaimReply::Preempted {
            key,
            ballot,
            promised,
        },
        Rejection::Abstains => ClaimReply::Abstained { key },
    }
}

fn found_reply(key: Key, known: Option<(Promise, Option<Outcome>)>) -> ClaimReply {
    let (promise, decided) = known.unwrap_or((
        Promise {
            vote: VoteState::None,
            digest: 0,
            accepted: None,
        },
        None,
    ));
    ClaimReply::Found {
        key,
        vote: promise.vote,
        digest: promise.digest,
        decided,
        settling: promise.accepted.is_some(),
    }
}

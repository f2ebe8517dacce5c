//! Submissions: checks on arrival, and the start of the vote on their claim.

use std::time::Duration;

use celerywinch_claims::{Claim, Group};
use celerywinch_dispatch::{JobId, Work};
use celerywinch_types::{
    ClaimMsg, Holder, Key, Outcome, PeerMsg, Ran, RelayMsg, Step, Submission, Time,
};

use crate::entry::Timer;
use crate::job::{Job, Phase, TaskState, Waiter};
use crate::{Entry, Event, Output, Reply};

/// How long a request to replicas waits for replies before it is sent again.
pub(crate) const RESEND_DELAY: Duration = Duration::from_millis(40);
/// Retry delay for a caller while too few replicas answer, in ms.
pub(crate) const QUORUM_RETRY_MS: u32 = 500;
/// Retry delay for a caller of a stopping entry, in ms; another entry can process the key at once.
const STOPPING_RETRY_MS: u32 = 1;

impl Entry {
    /// Processes a submission: joins an open one with the same key, answers it at once, or opens a job and starts the
    /// vote on its claim or relays it to its home.
    pub(crate) fn submit(
        &mut self,
        now: Time,
        waiter: Waiter,
        submission: Submission,
        out: &mut Vec<Output>,
    ) {
        let key = submission.key.clone();
        if let Some(id) = self.submissions.get(&key).copied() {
            self.join_submission(id, waiter, submission.digest, out);
            return;
        }
        if let Some(reply) = self.answer_without_claim(now, &submission) {
            self.send_reply(waiter, &key, submission.digest, reply, out);
            return;
        }
        let Some(home) = self.homes.home(&key) else {
            return;
        };
        let id = self.open_job(now, waiter, submission, out);
        if home == self.config.dc {
            self.start_voting(now, id, out);
        } else {
            self.start_relay(now, id, home, out);
        }
    }

    /// Adds the caller of a resubmission to those that wait for the outcome of the open submission.
    fn join_submission(&mut self, id: JobId, waiter: Waiter, digest: u64, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.digest != digest {
            let key = job.key.clone();
            self.send_reply(waiter, &key, digest, Reply::Conflict, out);
            return;
        }
        job.add_waiter(waiter);
        job.undecided_sent = false;
    }

    /// Returns a reply that needs no agreement, if the outcome is known here or the key cannot be run.
    fn answer_without_claim(&self, now: Time, submission: &Submission) -> Option<Reply> {
        let key = &submission.key;
        let known = self.replicas.values().find_map(|r| r.decided(key));
        if let Some((digest, outcome)) = known {
            if digest != submission.digest && digest != 0 {
                return Some(Reply::Conflict);
            }
            return Some(Reply::Outcome(outcome.clone()));
        }
        let wall = self.wall(now);
        if self.config.limits.too_new(key, wall) {
            return Some(Reply::TooNew);
        }
        if self.config.limits.too_old(key, wall) {
            return Some(Reply::Outcome(unknown_outcome()));
        }
        // No refusal: another entry may be processing the key, so that "not run" would not be certain.
        if self.stopping {
            return Some(Reply::Undecided {
                retry_ms: STOPPING_RETRY_MS,
                detail: "this entry is stopping; send the same key to another".into(),
            });
        }
        None
    }

    /// Opens the job of a submission and schedules its deadline.
    pub(crate) fn open_job(
        &mut self,
        now: Time,
        waiter: Waiter,
        submission: Submission,
        out: &mut Vec<Output>,
    ) -> JobId {
        let class = self.catalogue.kind(&submission.kind).map(|kind| kind.class);
        let tasks = submission.tasks.len();
        let margin = self.config.deadline_margin.min(submission.remaining / 8);
        let deadline = now + submission.remaining.saturating_sub(margin);
        let key = submission.key.clone();
        let id = self.jobs.insert(Job {
            digest: submission.digest,
            work: Work {
                kind: submission.kind,
                class: class.unwrap_or(celerywinch_catalogue::Class::Background),
                team: submission.team,
                deadline,
            },
            bodies: submission.tasks,
            tasks: vec![TaskState::Queued; tasks],
            refusals: 0,
            waiters: vec![waiter],
            phase: Phase::Transition,
            cancelled: false,
            resend_at: Time::NEVER,
            undecided_sent: false,
            key: submission.key,
        });
        self.submissions.insert(key.clone(), id);
        self.timers.subscribe(deadline, Timer::Deadline(id));
        let kind = self.jobs[id].work.kind.to_string();
        let tasks = u32::try_from(tasks).unwrap_or(u32::MAX);
        out.push(Output::Event(Event::Accepted { key, kind, tasks }));
        id
    }

    /// Starts the vote on the claim of a job.
    ///
    /// The first reachable replica in the group's order is asked before the others.
    pub(crate) fn start_voting(&mut self, now: Time, id: JobId, out: &mut Vec<Output>) {
        let Some(group) = self.homes.group(self.config.dc).cloned() else {
            return;
        };
        if !self.has_quorum(&group) {
            self.reply_undecided(id, "too few replicas of this data centre answer", out);
            return;
        }
        let (key, digest) = (self.jobs[id].key.clone(), self.jobs[id].digest);
        let me = self.me();
        self.attempts += 1;
        let holder = Holder {
            process: self.config.me,
            attempt: self.attempts,
        };
        let order = group.order(&key);
        let first = order
            .into_iter()
            .find(|r| *r == me || self.peers.is_reachable(*r));
        let claim = Claim::new(key.clone(), digest, group, holder, first);
        self.jobs[id].phase = Phase::Voting(claim);
        self.schedule_resend(now, id, RESEND_DELAY);
        match first {
            Some(first) if first != me => {
                let msg = ClaimMsg::Vote {
                    key,
                    digest,
                    holder,
                };
                out.push(Output::Send(first, PeerMsg::Claim(msg)));
            }
            _ => self.request_votes(now, id, out),
        }
    }

    /// Whether a majority of the group is reachable, counting this instance if it is a replica.
    pub(crate) fn has_quorum(&self, group: &Group) -> bool {
        let me = self.me();
        let members = group.members().iter();
        let reachable = members.filter(|r| **r == me || self.peers.is_reachable(**r));
        reachable.count() >= group.majority()
    }

    /// Replies to the waiters at once that no outcome is agreed on yet, and discards the job unless it is running or
    /// its outcome is proposed.
    pub(crate) fn reply_undecided(&mut self, id: JobId, detail: &str, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let (key, digest) = (job.key.clone(), job.digest);
        if !job.undecided_sent {
            out.push(Output::Event(Event::Undecided {
                key: key.clone(),
                detail: detail.into(),
            }));
        }
        job.undecided_sent = true;
        for waiter in std::mem::take(&mut job.waiters) {
            let reply = Reply::Undecided {
                retry_ms: QUORUM_RETRY_MS,
                detail: detail.into(),
            };
            self.send_reply(waiter, &key, digest, reply, out);
        }
        if matches!(self.jobs[id].phase, Phase::Running(_) | Phase::Deciding(_)) {
            return;
        }
        self.abandon(id);
        self.discard(id);
    }

    /// Releases the local replica's vote for an attempt that is over before any task was started.
    ///
    /// Without the release, a key whose votes were split could end only as a failure whose tasks may have run.
    pub(crate) fn abandon(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let Phase::Voting(claim) = &job.phase else {
            return;
        };
        let (key, holder) = (job.key.clone(), claim.holder());
        if let Some(replica) = self.replica(&key) {
            replica.abandon(&key, holder);
        }
    }

    /// Removes a job without a reply to its waiters.
    pub(crate) fn discard(&mut self, id: JobId) {
        self.remove_job(id);
    }

    /// Removes a job and its queued tasks.
    pub(crate) fn remove_job(&mut self, id: JobId) -> Option<Job> {
        let job = self.jobs.remove(id)?;
        if self.submissions.get(&job.key) == Some(&id) {
            self.submissions.remove(&job.key);
        }
        if self.lookups.get(&job.key) == Some(&id) {
            self.lookups.remove(&job.key);
        }
        self.dispatch.drop_job(id);
        Some(job)
    }

    /// Schedules the next resend of a job's messages.
    pub(crate) fn schedule_resend(&mut self, now: Time, id: JobId, after: Duration) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.resend_at = now + after;
            self.timers.subscribe(now + after, Timer::Resend(id));
        }
    }

    /// Sends a reply to a waiter: to a caller directly, to another entry as a message.
    pub(crate) fn send_reply(
        &mut self,
        waiter: Waiter,
        key: &Key,
        digest: u64,
        reply: Reply,
        out: &mut Vec<Output>,
    ) {
        let peer = match waiter {
            Waiter::Caller(id) => {
                out.push(Output::Reply(id, reply));
                return;
            }
            Waiter::Peer(peer) => peer,
        };
        let key = key.clone();
        let msg = match reply {
            Reply::Outcome(outcome) => RelayMsg::Outcome {
                key,
                digest,
                outcome,
            },
            Reply::Conflict => RelayMsg::Conflict(key),
            Reply::Unknown => RelayMsg::Unknown(key),
            Reply::TooNew | Reply::Undecided { .. } | Reply::Cancelled(_) => {
                RelayMsg::Undecided(key)
            }
        };
        out.push(Output::Send(peer, PeerMsg::Relay(msg)));
    }
}

/// Returns the outcome of a key that is too old to be run and of which the replicas need not keep a record.
pub(crate) fn unknown_outcome() -> Outcome {
    Outcome::failure(
        Ran::Maybe,
        Step::Claim,
        &"replicas",
        "outcome unknown: the key is too old to be run, and no record of it is left here",
    )
}

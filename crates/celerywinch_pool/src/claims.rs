//! Announced incarnations of workers that have not answered yet.
//!
//! An announcement does not prove that the known incarnation of a worker has ended: it may have been delayed, or another
//! process may have sent it under the worker's id. So an incarnation that is announced at another address does not replace
//! the known one. The owner of its domain calls it there, and only its own answer ends the known incarnation and its runs.

use std::collections::BTreeMap;

use celerywinch_types::{Fence, Incarnation, Time, WorkerAnnouncement};
use slotmap::{SlotMap, new_key_type};

use crate::call::{Answer, Call, CallKey, CallPurpose, PendingCall, Request};
use crate::pool::{Output, Pool};
use crate::worker::{WorkerKey, domain_of};
use crate::{Departure, PoolEvent};

/// How many claims to the id of one worker are retained.
const MAX_CLAIMS: usize = 4;

new_key_type! {
    /// Identifies a claim.
    pub(crate) struct ClaimKey;
}

/// An announced incarnation of a worker at another address than the known one.
#[derive(Clone, Debug)]
struct Claim {
    announcement: WorkerAnnouncement,
    call: Option<CallKey>,
    next_call: Time,
    /// The number of calls without an answer that confirms the claim, and when the first of them was noticed.
    missed_calls: u32,
    first_miss: Time,
}

/// The claims to the ids of known workers.
#[derive(Debug, Default)]
pub(crate) struct Claims {
    claims: SlotMap<ClaimKey, Claim>,
    /// The claims to each id, in the order of their arrival.
    by_worker: BTreeMap<String, Vec<ClaimKey>>,
}

impl Claims {
    fn insert(&mut self, now: Time, announcement: WorkerAnnouncement) -> ClaimKey {
        let id = announcement.id.clone();
        let key = self.claims.insert(Claim {
            announcement,
            call: None,
            next_call: now,
            missed_calls: 0,
            first_miss: now,
        });
        let keys = self.by_worker.entry(id).or_default();
        keys.push(key);
        if keys.len() > MAX_CLAIMS {
            let oldest = keys.remove(0);
            self.claims.remove(oldest);
        }
        key
    }

    fn remove(&mut self, key: ClaimKey) -> Option<WorkerAnnouncement> {
        let announcement = self.claims.remove(key)?.announcement;
        if let Some(keys) = self.by_worker.get_mut(&announcement.id) {
            keys.retain(|other| *other != key);
            if keys.is_empty() {
                self.by_worker.remove(&announcement.id);
            }
        }
        Some(announcement)
    }

    /// Returns the claim of the incarnation of an announcement.
    fn find(&self, announcement: &WorkerAnnouncement) -> Option<ClaimKey> {
        let mut claims = self.of(&announcement.id);
        let found = claims.find(|(_, claim)| claim.announcement.is_same_incarnation(announcement));
        found.map(|(key, _)| key)
    }

    fn of(&self, id: &str) -> impl Iterator<Item = (ClaimKey, &Claim)> {
        let keys = self.by_worker.get(id).into_iter().flatten();
        keys.filter_map(|key| Some((*key, self.claims.get(*key)?)))
    }
}

impl Pool {
    /// Handles the announcement of an incarnation at another address than the known one.
    pub(crate) fn record_claim(
        &mut self,
        now: Time,
        announcement: WorkerAnnouncement,
        out: &mut Vec<Output>,
    ) {
        if self.has_left(&announcement) {
            return;
        }
        if let Some(key) = self.claims.find(&announcement) {
            let known = &mut self.claims.claims[key].announcement;
            if known.version < announcement.version {
                *known = announcement;
            }
            return;
        }
        out.push(Output::Event(PoolEvent::WorkerClaimed {
            worker: announcement.id.clone(),
            incarnation: announcement.version.incarnation,
            addr: announcement.addr,
        }));
        let key = self.claims.insert(now, announcement);
        self.call_claim(key, out);
    }

    /// Drops the claims of an incarnation that has left.
    pub(crate) fn claim_left(&mut self, id: &str, incarnation: Incarnation) {
        let claims = self.claims.of(id);
        let left =
            claims.filter(|(_, claim)| claim.announcement.version.incarnation == incarnation);
        for key in left.map(|(key, _)| key).collect::<Vec<_>>() {
            self.claims.remove(key);
        }
    }

    /// Makes the latest claimed incarnation the known one, after the known one was removed.
    pub(crate) fn promote_claim(&mut self, now: Time, id: &str, out: &mut Vec<Output>) {
        let claims = self.claims.of(id);
        let latest = claims.max_by_key(|(_, claim)| claim.announcement.version);
        if let Some((key, _)) = latest
            && let Some(announcement) = self.claims.remove(key)
            && !self.has_left(&announcement)
        {
            self.add_unknown(now, announcement, out);
        }
    }

    /// Calls the claimed incarnations that are due, and drops those that have not confirmed their claim in time.
    pub(crate) fn tick_claims(&mut self, now: Time, out: &mut Vec<Output>) {
        let timeout = self.config.remove_after;
        let keys: Vec<_> = self.claims.claims.keys().collect();
        for key in keys {
            let claim = &self.claims.claims[key];
            if claim.missed_calls > 0 && now.since(claim.first_miss) > timeout {
                self.drop_claim(key, out);
            } else if claim.call.is_none() && claim.next_call <= now {
                self.call_claim(key, out);
            }
        }
    }

    fn drop_claim(&mut self, key: ClaimKey, out: &mut Vec<Output>) {
        if let Some(announcement) = self.claims.remove(key) {
            out.push(Output::Event(PoolEvent::ClaimDropped {
                worker: announcement.id,
                incarnation: announcement.version.incarnation,
                addr: announcement.addr,
            }));
        }
    }

    /// Calls a claimed incarnation if its domain is owned; the fencing token of another domain might exceed that of the
    /// worker's dispatcher.
    fn call_claim(&mut self, key: ClaimKey, out: &mut Vec<Output>) {
        let announcement = &self.claims.claims[key].announcement;
        let domain = domain_of(announcement, self.shards);
        let Some(fence) = self.owned.get(&domain) else {
            return;
        };
        let known = self.worker_ids.get(&announcement.id);
        let restarts = known.map_or(0, |known| self.workers[*known].restarts);
        let call = self.calls.insert(PendingCall {
            worker: None,
            purpose: CallPurpose::Claim(key),
        });
        out.push(Output::Call(Call {
            key: call,
            worker: announcement.id.clone(),
            addr: announcement.addr,
            fence: Fence::for_incarnation(*fence, restarts),
            request: Request::Poll {
                deadline: None,
                cursor: 0,
                wait: 0,
            },
            timeout: self.answer_times.timeout(self.config.max_timeout),
        }));
        self.claims.claims[key].call = Some(call);
    }

    pub(crate) fn claim_answered(
        &mut self,
        now: Time,
        key: ClaimKey,
        answer: &Answer,
        out: &mut Vec<Output>,
    ) {
        let Some(claim) = self.claims.claims.get_mut(key) else {
            return;
        };
        claim.call = None;
        let claimed = claim.announcement.version.incarnation;
        match answer {
            Answer::Lists { incarnation, .. }
                if claimed == Incarnation::default()
                    || incarnation.unwrap_or_default() == claimed =>
            {
                self.claim_confirmed(now, key, out);
            }
            Answer::OtherIncarnation
            | Answer::Lists {
                incarnation: Some(_),
                ..
            } => self.drop_claim(key, out),
            Answer::Lists { .. }
            | Answer::Accepted(_)
            | Answer::Rejected(..)
            | Answer::ConnectionRefused
            | Answer::NoAnswer => {
                if claim.missed_calls == 0 {
                    claim.first_miss = now;
                }
                claim.missed_calls += 1;
                claim.next_call = now + self.config.retry_delay * claim.missed_calls;
            }
        }
    }

    /// Makes a claimed incarnation that has answered the known one. If the known one started later, by the clocks of both,
    /// its runs are waited for: the claim may come from an earlier incarnation that was thought dead.
    fn claim_confirmed(&mut self, now: Time, key: ClaimKey, out: &mut Vec<Output>) {
        let claim = &mut self.claims.claims[key];
        let announcement = claim.announcement.clone();
        let Some(known) = self.worker_ids.get(&announcement.id).copied() else {
            self.claims.remove(key);
            self.add_unknown(now, announcement, out);
            return;
        };
        let worker = &self.workers[known];
        let earlier = worker.announcement.version.incarnation;
        if announcement.version.incarnation > earlier || worker.runs.is_empty() {
            self.claims.remove(key);
            self.replace_worker(now, known, announcement, out);
        } else {
            claim.next_call = now + self.config.retry_delay;
        }
    }

    /// Removes the known incarnation of a worker and makes the latest claimed one known, if there is one.
    pub(crate) fn remove_incarnation(
        &mut self,
        now: Time,
        key: WorkerKey,
        why: Departure,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let id = worker.announcement.id.clone();
        self.remove_worker(now, key, why, out);
        self.promote_claim(now, &id, out);
    }
}

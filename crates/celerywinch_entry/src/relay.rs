//! Submissions and lookups of keys whose home is another data centre, and messages of peers about keys.

use celerywinch_dispatch::JobId;
use celerywinch_types::{
    Ballot, DataCentreId, InstanceId, Key, Outcome, PeerMsg, Process, RelayMsg, Submission, Time,
};
use rand::Rng;

use crate::job::{Phase, Relay, Waiter};
use crate::submit::{QUORUM_RETRY_MS, RESEND_DELAY};
use crate::{Entry, Event, Output, Reply};

impl Entry {
    /// Relays a submission or a lookup to an entry of the key's home.
    pub(crate) fn start_relay(
        &mut self,
        now: Time,
        id: JobId,
        home: DataCentreId,
        out: &mut Vec<Output>,
    ) {
        let Some(via) = self.choose_entry(home) else {
            let detail = "no entry of the key's home data centre answers";
            self.reply_undecided(id, detail, out);
            return;
        };
        let lookup = self.lookups.values().any(|open| *open == id);
        self.jobs[id].phase = Phase::Relayed(Relay { home, via, lookup });
        out.push(Output::Event(Event::Relayed {
            key: self.jobs[id].key.clone(),
            via,
        }));
        self.send_relayed(now, id, out);
    }

    /// Returns a random reachable entry of a data centre, other than those that are stopping.
    fn choose_entry(&mut self, dc: DataCentreId) -> Option<InstanceId> {
        let entries = self
            .peers
            .iter()
            .filter(|(id, peer)| peer.dc == dc && !peer.stopping && self.peers.is_reachable(*id));
        let entries: Vec<_> = entries.map(|(id, _)| id).collect();
        if entries.is_empty() {
            return None;
        }
        Some(entries[self.rng.random_range(0..entries.len())])
    }

    /// Sends a relayed submission or lookup, for the first time or again. The receiver treats a second copy as a
    /// resubmission of the same key.
    pub(crate) fn send_relayed(&mut self, now: Time, id: JobId, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let Phase::Relayed(relay) = &job.phase else {
            return;
        };
        let via = relay.via;
        let msg = if relay.lookup {
            RelayMsg::Lookup(job.key.clone())
        } else {
            RelayMsg::Submit(Submission {
                key: job.key.clone(),
                kind: job.work.kind.clone(),
                team: job.work.team.clone(),
                digest: job.digest,
                remaining: job.work.deadline.since(now),
                tasks: job.bodies.clone(),
            })
        };
        out.push(Output::Send(via, PeerMsg::Relay(msg)));
        self.schedule_resend(now, id, RESEND_DELAY * 5);
    }

    /// Relays the jobs that were relayed to the entry `gone` to another entry of the same home. The agreement on the
    /// key's claim keeps the tasks from being started twice.
    pub(crate) fn reroute(&mut self, now: Time, gone: InstanceId, out: &mut Vec<Output>) {
        let relayed = self.jobs.iter().filter_map(|(id, job)| match &job.phase {
            Phase::Relayed(relay) if relay.via == gone => Some((id, relay.home)),
            _ => None,
        });
        let relayed: Vec<_> = relayed.collect();
        for (id, home) in relayed {
            self.start_relay(now, id, home, out);
        }
    }

    /// Handles a message about a submission or an outcome.
    pub(crate) fn relay_msg(
        &mut self,
        now: Time,
        from: Process,
        msg: RelayMsg,
        out: &mut Vec<Output>,
    ) {
        let peer = from.instance;
        match msg {
            RelayMsg::Submit(submission) => {
                let key = submission.key.clone();
                self.submit(now, Waiter::Peer(peer), submission, out);
                if self.submissions.contains_key(&key) {
                    out.push(Output::Send(peer, PeerMsg::Relay(RelayMsg::Working(key))));
                }
            }
            RelayMsg::Watch(key) => self.watch_requested(peer, key, out),
            RelayMsg::Outcome {
                key,
                digest,
                outcome,
            } => self.receive_outcome(peer, &key, digest, &outcome, out),
            RelayMsg::NotHeld(key) => self.not_held(now, peer, &key, out),
            RelayMsg::Working(key) => self.working(now, peer, &key),
            RelayMsg::Conflict(key) => self.receive_reply(peer, &key, &Reply::Conflict, out),
            RelayMsg::Unknown(key) => self.receive_reply(peer, &key, &Reply::Unknown, out),
            RelayMsg::Undecided(key) => {
                let reply = Reply::Undecided {
                    retry_ms: QUORUM_RETRY_MS,
                    detail: "the key's home data centre cannot agree on an outcome now".into(),
                };
                self.receive_reply(peer, &key, &reply, out);
            }
            RelayMsg::Cancel(key) => {
                self.cancel_local(now, &key, out);
            }
            RelayMsg::Lookup(key) => self.lookup(now, Waiter::Peer(peer), key, out),
        }
    }

    /// Handles a peer's request for the outcome of a key whose claim it believes this process to hold.
    fn watch_requested(&mut self, peer: InstanceId, key: Key, out: &mut Vec<Output>) {
        let known = self.replicas.values().find_map(|r| r.decided(&key));
        if let Some((digest, outcome)) = known {
            let reply = Reply::Outcome(outcome.clone());
            self.send_reply(Waiter::Peer(peer), &key, digest, reply, out);
            return;
        }
        let id = self.submissions.get(&key).copied();
        let job = id.and_then(|id| self.jobs.get_mut(id));
        // A job that itself waits for another entry does not count: two entries could wait for each other forever.
        let is_active = |phase: &Phase| {
            matches!(
                phase,
                Phase::Voting(_) | Phase::Running(_) | Phase::Deciding(_)
            )
        };
        let msg = match job {
            Some(job) if is_active(&job.phase) => {
                job.add_waiter(Waiter::Peer(peer));
                RelayMsg::Working(key)
            }
            _ => RelayMsg::NotHeld(key),
        };
        out.push(Output::Send(peer, PeerMsg::Relay(msg)));
    }

    /// Handles the outcome of a key, from the holder of its claim or from the entry to which it was relayed.
    fn receive_outcome(
        &mut self,
        peer: InstanceId,
        key: &Key,
        digest: u64,
        outcome: &Outcome,
        out: &mut Vec<Output>,
    ) {
        for id in self.jobs_for_key(key) {
            let expected = match &self.jobs[id].phase {
                Phase::Watching(holder) => holder.process.instance == peer,
                Phase::Relayed(relay) => relay.via == peer,
                Phase::Inspecting(_) => true,
                _ => false,
            };
            if expected {
                self.check_conflict(id, digest, out);
                self.complete_job(id, outcome, out);
            }
        }
    }

    /// Settles a key whose supposed holder does not hold its claim, or no longer holds it.
    fn not_held(&mut self, now: Time, peer: InstanceId, key: &Key, out: &mut Vec<Output>) {
        for id in self.jobs_for_key(key) {
            let watching = matches!(
                self.jobs[id].phase,
                Phase::Watching(holder) if holder.process.instance == peer
            );
            if watching {
                self.start_settling(now, id, Ballot::default(), out);
            }
        }
    }

    /// Delays the resend of a relayed submission that the peer is processing.
    fn working(&mut self, now: Time, peer: InstanceId, key: &Key) {
        for id in self.jobs_for_key(key) {
            let relayed = matches!(&self.jobs[id].phase, Phase::Relayed(r) if r.via == peer);
            if relayed {
                self.schedule_resend(now, id, RESEND_DELAY * 25);
            }
        }
    }

    /// Handles a reply of a peer that is not an outcome.
    fn receive_reply(&mut self, peer: InstanceId, key: &Key, reply: &Reply, out: &mut Vec<Output>) {
        for id in self.jobs_for_key(key) {
            let expected = match &self.jobs[id].phase {
                Phase::Relayed(relay) => relay.via == peer,
                Phase::Watching(holder) => holder.process.instance == peer,
                _ => false,
            };
            if expected {
                self.reply_and_discard(id, reply, out);
            }
        }
    }
}

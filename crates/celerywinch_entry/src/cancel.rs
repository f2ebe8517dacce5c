//! Cancellation of keys.

use celerywinch_types::{Key, PeerMsg, RelayMsg, Time};

use crate::job::Phase;
use crate::tasks::cancelled_outcome;
use crate::{CancelState, Entry, Output, Reply, WaiterId};

impl Entry {
    /// Cancels keys, whichever entry holds their claims. Each key still gets its one outcome.
    ///
    /// Queued tasks are never started. A cancellation that races with a start ends in a failure which says that the
    /// work may have run, never in a refusal.
    pub(crate) fn cancel(
        &mut self,
        now: Time,
        waiter: WaiterId,
        keys: Vec<Key>,
        out: &mut Vec<Output>,
    ) {
        let mut states = Vec::with_capacity(keys.len());
        for key in keys {
            let state = self.cancel_local(now, &key, out);
            if state == CancelState::Unknown {
                self.forward_cancel(&key, out);
            }
            states.push((key, state));
        }
        out.push(Output::Reply(waiter, Reply::Cancelled(states)));
    }

    /// Cancels the job of a key at this entry, and forwards the cancellation to the process that the job waits for.
    pub(crate) fn cancel_local(
        &mut self,
        now: Time,
        key: &Key,
        out: &mut Vec<Output>,
    ) -> CancelState {
        if self.replicas.values().any(|r| r.decided(key).is_some()) {
            return CancelState::Ended;
        }
        let Some(id) = self.submissions.get(key).copied() else {
            return CancelState::Unknown;
        };
        let job = &mut self.jobs[id];
        job.cancelled = true;
        match &job.phase {
            Phase::Running(_) => {
                let outcome = cancelled_outcome(job);
                self.end_job(now, id, outcome, out);
            }
            Phase::Watching(holder) => {
                let msg = PeerMsg::Relay(RelayMsg::Cancel(key.clone()));
                out.push(Output::Send(holder.process.instance, msg));
            }
            Phase::Relayed(relay) => {
                let msg = PeerMsg::Relay(RelayMsg::Cancel(key.clone()));
                out.push(Output::Send(relay.via, msg));
            }
            // `cancelled` is checked when the claim is won, before anything starts.
            Phase::Voting(_) => {}
            Phase::Deciding(_) | Phase::Settling(_) => return CancelState::Ended,
            Phase::Inspecting(_) | Phase::Transition => return CancelState::Unknown,
        }
        CancelState::Cancelling
    }

    /// Forwards a cancellation to the entries of the key's home, any of which may hold the claim.
    fn forward_cancel(&mut self, key: &Key, out: &mut Vec<Output>) {
        let Some(home) = self.homes.home(key) else {
            return;
        };
        for (id, peer) in self.peers.iter() {
            if peer.dc == home && self.peers.is_reachable(id) {
                let msg = PeerMsg::Relay(RelayMsg::Cancel(key.clone()));
                out.push(Output::Send(id, msg));
            }
        }
    }
}

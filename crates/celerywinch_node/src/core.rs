//! The core thread: drives the entry's state machine and executes its outputs.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use celerywinch_entry::{Entry, Event, Input, Output, Reply, WaiterId};
use celerywinch_members::PeerState;
use celerywinch_types::{PeerMsg, Time};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;

use crate::Clock;
use crate::calls::Calls;
use crate::links::Links;
use crate::shared::{CoreMsg, EndpointStatus, EntryStatus, PeerStatus, Shared, StatusPage};
use crate::store::StoreInput;
use crate::timeline::Timeline;

/// Maximum number of messages handled before the outputs are executed.
const MAX_BATCH: usize = 64;
/// Maximum time to wait for a message before the state machine gets a tick.
const MAX_SLEEP: Duration = Duration::from_millis(20);

/// Everything the core thread owns.
pub(crate) struct Core {
    pub(crate) entry: Entry,
    pub(crate) clock: Arc<Clock>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) links: Links,
    pub(crate) calls: Calls,
    pub(crate) timeline: Timeline,
    /// Callers that wait for a reply.
    pub(crate) waiters: HashMap<WaiterId, oneshot::Sender<Reply>>,
    pub(crate) next_waiter: u64,
}

impl Core {
    /// Runs until a planned stop is complete: nothing is in flight.
    pub(crate) async fn run(mut self, mut inbox: UnboundedReceiver<CoreMsg>) {
        let mut out = Vec::new();
        while !self.entry.is_drained() {
            let sleep = self.sleep_time();
            let first = tokio::time::timeout(sleep, inbox.recv()).await;
            let now = self.clock.now();
            match first {
                Ok(None) => return,
                Ok(Some(msg)) => {
                    self.handle(now, msg, &mut out);
                    for _ in 1..MAX_BATCH {
                        let Ok(msg) = inbox.try_recv() else {
                            break;
                        };
                        self.handle(now, msg, &mut out);
                    }
                }
                Err(_) => self.entry.handle(now, Input::Tick, &mut out),
            }
            self.execute(&mut out);
        }
        log::info!("core: Drained; nothing is in flight.");
    }

    fn sleep_time(&self) -> Duration {
        let due = self.entry.next_due().unwrap_or(Time::NEVER);
        due.since(self.clock.now()).min(MAX_SLEEP)
    }

    fn handle(&mut self, now: Time, msg: CoreMsg, out: &mut Vec<Output>) {
        let input = match msg {
            CoreMsg::Submit(submission, reply) => Input::Submit(self.add_waiter(reply), submission),
            CoreMsg::Lookup(key, reply) => Input::Lookup(self.add_waiter(reply), key),
            CoreMsg::Cancel(keys, reply) => Input::Cancel(self.add_waiter(reply), keys),
            CoreMsg::Input(Input::PeerMessage(from, PeerMsg::Store(bytes))) => {
                let _ = self
                    .shared
                    .store
                    .send(StoreInput::Peer(from.instance, bytes));
                return;
            }
            CoreMsg::Input(input) => input,
            CoreMsg::Send(peer, msg) => {
                self.links.send(peer, msg);
                return;
            }
            CoreMsg::EntryStatus(reply) => {
                let _ = reply.send(self.entry.status());
                return;
            }
            CoreMsg::Status(reply) => {
                let _ = reply.send(self.status());
                return;
            }
        };
        if let Input::CallEnded(id, _) = &input {
            self.calls.remove(*id);
        }
        if matches!(input, Input::Stop) {
            self.shared.stopping.store(true, Ordering::Release);
        }
        self.entry.handle(now, input, out);
    }

    fn add_waiter(&mut self, reply: oneshot::Sender<Reply>) -> WaiterId {
        self.next_waiter += 1;
        let id = WaiterId(self.next_waiter);
        self.waiters.insert(id, reply);
        id
    }

    fn execute(&mut self, out: &mut Vec<Output>) {
        for output in out.drain(..) {
            match output {
                Output::Send(peer, msg) => self.links.send(peer, msg),
                Output::SaveCatalogue(catalogue) => {
                    let _ = self.shared.store.send(StoreInput::Save(catalogue));
                }
                Output::Probe(peer) => self.links.probe(peer),
                Output::Start(call) => self.calls.start(call),
                Output::Abort(id) => self.calls.abort(id),
                Output::Reply(waiter, reply) => {
                    if let Some(sender) = self.waiters.remove(&waiter) {
                        // Fails if the caller has disconnected; it can look the outcome up by its key.
                        let _ = sender.send(reply);
                    }
                }
                Output::Event(event) => self.record_event(event),
            }
        }
        self.calls.send_aborts();
        self.publish();
    }

    /// Publishes the catalogue in force to the HTTP threads.
    fn publish(&self) {
        let catalogue = self.entry.catalogue();
        if catalogue.version() != self.shared.catalogue.load().version() {
            self.shared.catalogue.store(catalogue.clone());
        }
        let current = self.entry.is_current();
        if current != self.shared.catalogue_current.load(Ordering::Relaxed) {
            self.shared
                .catalogue_current
                .store(current, Ordering::Release);
        }
    }

    fn record_event(&self, event: Event) {
        self.shared.metrics.record_event(&event);
        self.timeline.write(event);
    }

    fn status(&self) -> StatusPage {
        let status = self.entry.status();
        let now = self.clock.now();
        let peers = self.entry.peers().iter().map(|(id, peer)| PeerStatus {
            instance: id.0,
            state: peer_state(peer.state).into(),
            receives: peer.receives,
            catalogue_version: peer.catalogue,
            silent_ms: u64::try_from(now.since(peer.last_contact).as_millis()).unwrap_or(0),
            round_trip_us: peer
                .round_trip
                .and_then(|span| u64::try_from(span.as_micros()).ok()),
        });
        let endpoints = self.entry.endpoints().iter().map(|record| EndpointStatus {
            addr: record.announcement.addr,
            incarnation: record.announcement.incarnation,
            state: record.announcement.state,
            kinds: record
                .announcement
                .kinds
                .iter()
                .map(ToString::to_string)
                .collect(),
        });
        StatusPage {
            process: self.shared.me,
            ready: self.shared.ready(),
            entry: EntryStatus::from(&status),
            peers: peers.collect(),
            endpoints: endpoints.collect(),
        }
    }
}

fn peer_state(state: PeerState) -> &'static str {
    match state {
        PeerState::Unknown => "unknown",
        PeerState::Alive => "alive",
        PeerState::Suspect(_) => "suspect",
        PeerState::Dead => "dead",
    }
}

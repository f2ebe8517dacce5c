//! The core thread: drives the entry's state machine and carries out what it decides.

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
use crate::shared::{CoreMsg, EndpointLine, Figures, PeerLine, Shared, StatusPage};
use crate::store::StoreIn;
use crate::timeline::Timeline;

/// The most messages handled before what they led to is sent.
const BATCH: usize = 64;
/// The longest sleep.
const LONGEST_SLEEP: Duration = Duration::from_millis(20);

/// Everything the core thread owns.
pub(crate) struct Core {
    pub(crate) entry: Entry,
    pub(crate) clock: Arc<Clock>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) links: Links,
    pub(crate) calls: Calls,
    pub(crate) timeline: Timeline,
    pub(crate) waiters: HashMap<WaiterId, oneshot::Sender<Reply>>,
    pub(crate) next_waiter: u64,
}

impl Core {
    /// Runs until a planned stop has nothing left to wait for.
    pub(crate) async fn run(mut self, mut inbox: UnboundedReceiver<CoreMsg>) {
        let mut out = Vec::new();
        while !self.entry.is_drained() {
            let sleep = self.sleep();
            let first = tokio::time::timeout(sleep, inbox.recv()).await;
            let now = self.clock.now();
            match first {
                Ok(None) => return,
                Ok(Some(msg)) => {
                    self.take(now, msg, &mut out);
                    for _ in 1..BATCH {
                        let Ok(msg) = inbox.try_recv() else {
                            break;
                        };
                        self.take(now, msg, &mut out);
                    }
                }
                Err(_) => self.entry.handle(now, Input::Tick, &mut out),
            }
            self.carry_out(&mut out);
        }
        log::info!("core: Nothing is left in flight.");
    }

    fn sleep(&self) -> Duration {
        let due = self.entry.next_due().unwrap_or(Time::NEVER);
        due.since(self.clock.now()).min(LONGEST_SLEEP)
    }

    fn take(&mut self, now: Time, msg: CoreMsg, out: &mut Vec<Output>) {
        let input = match msg {
            CoreMsg::Submit(submission, reply) => Input::Submit(self.waiter(reply), submission),
            CoreMsg::Lookup(key, reply) => Input::Lookup(self.waiter(reply), key),
            CoreMsg::Cancel(keys, reply) => Input::Cancel(self.waiter(reply), keys),
            CoreMsg::Input(Input::PeerMessage(from, PeerMsg::Store(bytes))) => {
                let _ = self.shared.store.send(StoreIn::Peer(from.instance, bytes));
                return;
            }
            CoreMsg::Input(input) => input,
            CoreMsg::Send(peer, msg) => {
                self.links.send(peer, msg);
                return;
            }
            CoreMsg::Figures(reply) => {
                let _ = reply.send(self.entry.status());
                return;
            }
            CoreMsg::Status(reply) => {
                let _ = reply.send(self.status());
                return;
            }
        };
        if let Input::CallEnded(id, _) = &input {
            self.calls.ended(*id);
        }
        if matches!(input, Input::Stop) {
            self.shared.stopping.store(true, Ordering::Release);
        }
        self.entry.handle(now, input, out);
    }

    fn waiter(&mut self, reply: oneshot::Sender<Reply>) -> WaiterId {
        self.next_waiter += 1;
        let id = WaiterId(self.next_waiter);
        self.waiters.insert(id, reply);
        id
    }

    fn carry_out(&mut self, out: &mut Vec<Output>) {
        for output in out.drain(..) {
            match output {
                Output::Send(peer, msg) => self.links.send(peer, msg),
                Output::SaveCatalogue(catalogue) => {
                    let _ = self.shared.store.send(StoreIn::Save(catalogue));
                }
                Output::Probe(peer) => self.links.probe(peer),
                Output::Start(call) => self.calls.start(call),
                Output::Abort(id) => self.calls.abort(id),
                Output::Reply(waiter, reply) => {
                    if let Some(sender) = self.waiters.remove(&waiter) {
                        // A caller that went away finds the outcome by its key.
                        let _ = sender.send(reply);
                    }
                }
                Output::Event(event) => self.event(event),
            }
        }
        self.calls.flush_aborts();
        self.publish();
    }

    /// Shows the threads that serve HTTP what is in force.
    fn publish(&self) {
        let catalogue = self.entry.catalogue();
        if catalogue.version() != self.shared.catalogue.load().version() {
            self.shared.catalogue.store(catalogue.clone());
        }
        let current = self.entry.is_current();
        if current != self.shared.current.load(Ordering::Relaxed) {
            self.shared.current.store(current, Ordering::Release);
        }
    }

    fn event(&self, event: Event) {
        self.shared.metrics.event(&event);
        self.timeline.write(event);
    }

    fn status(&self) -> StatusPage {
        let status = self.entry.status();
        let now = self.clock.now();
        let peers = self.entry.peers().iter().map(|(id, peer)| PeerLine {
            instance: id.0,
            state: peer_state(peer.state).into(),
            hears_us: peer.receives,
            catalogue_version: peer.catalogue,
            heard_ms_ago: u64::try_from(now.since(peer.last_contact).as_millis()).unwrap_or(0),
            round_trip_us: peer
                .round_trip
                .and_then(|span| u64::try_from(span.as_micros()).ok()),
        });
        let endpoints = self.entry.endpoints().iter().map(|known| EndpointLine {
            addr: known.announcement.addr,
            incarnation: known.announcement.incarnation,
            state: known.announcement.state,
            kinds: known
                .announcement
                .kinds
                .iter()
                .map(ToString::to_string)
                .collect(),
        });
        StatusPage {
            at: self.shared.me,
            ready: self.shared.ready(),
            figures: Figures::from(&status),
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

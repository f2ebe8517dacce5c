//! Links between instances: HTTP/2 streams that carry messages one way each.
//!
//! Every instance opens one connection to every other and sends its messages on one stream of it;
//! replies come on the other's own connection. A connection can go silent while new ones work, so
//! every link pings, and one without an answer is replaced ([`outgoing`]). Nothing is lost by that
//! but messages, and all protocols on top send again what needs an answer.
//!
//! The host guarantees a current-thread `ntex` system; the messages are its own type.

mod frame;
mod incoming;
mod outgoing;
mod streams;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use celerywinch_types::{InstanceId, Process};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

pub use incoming::listen;
pub use streams::{LatestStreams, Ticket};

/// The header with the shared secret.
const SECRET_HEADER: &str = "celerywinch-secret";
/// The headers that name the sender.
const INSTANCE_HEADER: &str = "celerywinch-instance";
const INCARNATION_HEADER: &str = "celerywinch-incarnation";
/// The header of an answer with the ticket that the stream has to begin with.
const TICKET_HEADER: &str = "celerywinch-ticket";

/// What travels on links.
pub trait Message: Serialize + DeserializeOwned + Send + 'static {}

impl<T: Serialize + DeserializeOwned + Send + 'static> Message for T {}

/// What a link tells the process around it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEvent {
    /// A connection to the peer was opened; messages sent before may be lost.
    Opened,
    /// The connection was lost.
    Lost,
    /// A silent connection was replaced by a new one; messages sent before may be lost.
    Replaced,
    /// The peer's machine answers, but no process listens there.
    Refused,
}

/// The process around the links.
pub trait Host<M>: Clone + 'static {
    /// A message arrived, on the latest stream of its instance. Where another process of an instance is named than before,
    /// it has replaced that one.
    ///
    /// # Errors
    ///
    /// The process is ending; the stream is closed then.
    fn received(&self, from: Process, msg: M) -> anyhow::Result<()>;

    /// A peer opened a stream; what it sent on an earlier one may be lost.
    fn accepted(&self, _from: Process) {}

    /// A stream was ended, as a later one of its instance is open.
    fn rejected(&self, _from: Process, _current: Process) {}

    /// Something happened to the link to a peer.
    fn event(&self, peer: InstanceId, event: LinkEvent);

    /// A stamp of the hybrid clock for a message that leaves.
    fn stamp(&self) -> u64;

    /// The stamp of a message that arrived.
    fn observe(&self, stamp: u64);

    /// A message of so many bytes was sent.
    fn sent(&self, msg: &M, bytes: usize);
}

/// What all links of a process share.
#[derive(Clone, Debug)]
pub struct LinkConfig {
    /// This process.
    pub me: Process,
    /// Shown by the opening side, and compared by the accepting one.
    pub secret: String,
    /// Flow-control window of a stream and a connection, in bytes; covers a burst of messages.
    pub window: u32,
}

/// What a link is told.
#[derive(Debug)]
enum LinkMsg<M> {
    Send(M),
    Probe,
}

/// The links of a process.
pub struct Links<M, H> {
    host: H,
    config: LinkConfig,
    /// How many links there are, for all of them.
    count: Rc<Cell<u32>>,
    links: BTreeMap<InstanceId, UnboundedSender<LinkMsg<M>>>,
}

impl<M: Message, H: Host<M>> Links<M, H> {
    /// No links yet.
    pub fn new(host: H, config: LinkConfig) -> Self {
        Self {
            host,
            config,
            count: Rc::default(),
            links: BTreeMap::new(),
        }
    }

    /// Opens a link and keeps it open; called on a thread of the `ntex` system. Nothing happens if
    /// there is one.
    pub fn open(&mut self, peer: InstanceId, addr: SocketAddr) {
        if self.links.contains_key(&peer) {
            return;
        }
        let (sender, receiver) = unbounded_channel();
        let link = outgoing::Link::new(
            self.host.clone(),
            self.config.clone(),
            self.count.clone(),
            peer,
            addr,
        );
        ntex::rt::spawn(link.run(receiver));
        self.links.insert(peer, sender);
        self.count();
    }

    /// Closes a link.
    pub fn close(&mut self, peer: InstanceId) {
        self.links.remove(&peer);
        self.count();
    }

    fn count(&self) {
        let links = u32::try_from(self.links.len()).unwrap_or(u32::MAX);
        self.count.set(links);
    }

    /// Whether there is a link, open or not.
    #[must_use]
    pub fn contains(&self, peer: InstanceId) -> bool {
        self.links.contains_key(&peer)
    }

    /// Sends a message; it is lost if the link is not open.
    pub fn send(&self, peer: InstanceId, msg: M) {
        if let Some(link) = self.links.get(&peer) {
            // The link's task ends only with the process.
            let _ = link.send(LinkMsg::Send(msg));
        }
    }

    /// Replaces the connection if a new one answers.
    pub fn probe(&self, peer: InstanceId) {
        if let Some(link) = self.links.get(&peer) {
            let _ = link.send(LinkMsg::Probe);
        }
    }
}

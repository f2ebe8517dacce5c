//! Links between instances: HTTP/2 streams that carry messages in one direction each.
//!
//! Every instance opens one connection to every other one and sends its messages on one stream of it; replies
//! come on the other instance's own connection. A connection can stop delivering while new ones work, so
//! every link sends pings, and a connection without an answer is replaced (module `outgoing`). Only messages
//! are lost then, and the protocols that use the links send again whatever needs an answer.
//!
//! The host guarantees a current-thread `ntex` system, and defines the type of the messages.

mod frame;
mod incoming;
mod outgoing;
mod streams;
mod unidentified;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use celerywinch_types::{InstanceId, Process};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

pub use celerywinch_admission::{CloseReason, Limits, LimitsBuilder, Share};
pub use incoming::listen;
pub use streams::{LatestStreams, Ticket};

/// The request header with the shared secret.
const SECRET_HEADER: &str = "celerywinch-secret";
/// The request headers that identify the sender.
const INSTANCE_HEADER: &str = "celerywinch-instance";
const INCARNATION_HEADER: &str = "celerywinch-incarnation";
/// The response header with the ticket that the stream has to begin with.
const TICKET_HEADER: &str = "celerywinch-ticket";

/// A message that links can carry.
pub trait Message: Serialize + DeserializeOwned + Send + 'static {}

impl<T: Serialize + DeserializeOwned + Send + 'static> Message for T {}

/// A change of a link, reported to the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEvent {
    /// A connection to the peer was opened; messages sent before may be lost.
    Opened,
    /// The connection was lost.
    Lost,
    /// A connection without an answer to pings was replaced; messages sent before may be lost.
    Replaced,
    /// The peer's machine refused the connection because no process listens there.
    Refused,
}

/// The process that uses the links.
pub trait Host<M>: Clone + 'static {
    /// Called for each message that arrives on the latest stream of its instance. If `from` is another
    /// process than before, that one has been replaced.
    ///
    /// # Errors
    ///
    /// The process is ending; the stream is closed then.
    fn received(&self, from: Process, msg: M) -> anyhow::Result<()>;

    /// Called when a peer has opened a stream; what it sent on an earlier one may be lost.
    fn accepted(&self, _from: Process) {}

    /// Called when a stream was closed because a later one of its instance is open.
    fn rejected(&self, _from: Process, _current: Process) {}

    /// Called when an incoming connection was closed before its sender was identified.
    fn closed(&self, _reason: CloseReason) {}

    /// Called when the link to a peer changes.
    fn event(&self, peer: InstanceId, event: LinkEvent);

    /// Returns a timestamp of the hybrid clock for an outgoing message.
    fn stamp(&self) -> u64;

    /// Updates the hybrid clock by the timestamp of a message that arrived.
    fn observe(&self, stamp: u64);

    /// Called for each message sent, with its encoded length in bytes.
    fn sent(&self, msg: &M, bytes: usize);
}

/// Settings shared by all links of a process.
#[derive(Clone, Debug)]
pub struct LinkConfig {
    /// This process.
    pub me: Process,
    /// The shared secret: sent by the side that opens a link, and verified by the other one.
    pub secret: String,
    /// Flow-control window of a stream and a connection, in bytes; covers a burst of messages.
    pub window: u32,
    /// Limits on incoming connections whose senders are not identified yet; of its listeners only the first one is used.
    pub limits: Limits,
}

/// A command to the task of a link.
#[derive(Debug)]
enum LinkCommand<M> {
    Send(M),
    Probe,
}

/// The links of a process.
pub struct Links<M, H> {
    host: H,
    config: LinkConfig,
    /// The number of links, shared with all of them.
    link_count: Rc<Cell<u32>>,
    links: BTreeMap<InstanceId, UnboundedSender<LinkCommand<M>>>,
}

impl<M: Message, H: Host<M>> Links<M, H> {
    /// Creates a set without links.
    pub fn new(host: H, config: LinkConfig) -> Self {
        Self {
            host,
            config,
            link_count: Rc::default(),
            links: BTreeMap::new(),
        }
    }

    /// Opens a link and keeps it open; has no effect if there is one already. Has to be called on a thread of
    /// the `ntex` system.
    pub fn open(&mut self, peer: InstanceId, addr: SocketAddr) {
        if self.links.contains_key(&peer) {
            return;
        }
        let (sender, receiver) = unbounded_channel();
        let link = outgoing::Link::new(
            self.host.clone(),
            self.config.clone(),
            self.link_count.clone(),
            peer,
            addr,
        );
        ntex::rt::spawn(link.run(receiver));
        self.links.insert(peer, sender);
        self.update_count();
    }

    /// Closes a link.
    pub fn close(&mut self, peer: InstanceId) {
        self.links.remove(&peer);
        self.update_count();
    }

    fn update_count(&self) {
        let links = u32::try_from(self.links.len()).unwrap_or(u32::MAX);
        self.link_count.set(links);
    }

    /// Whether there is a link to a peer, connected or not.
    #[must_use]
    pub fn contains(&self, peer: InstanceId) -> bool {
        self.links.contains_key(&peer)
    }

    /// Sends a message; it is lost if the link is not connected.
    pub fn send(&self, peer: InstanceId, msg: M) {
        if let Some(link) = self.links.get(&peer) {
            // The link's task ends only with the process.
            let _ = link.send(LinkCommand::Send(msg));
        }
    }

    /// Opens a new connection to a peer and replaces the old one if the new one answers.
    pub fn probe(&self, peer: InstanceId) {
        if let Some(link) = self.links.get(&peer) {
            let _ = link.send(LinkCommand::Probe);
        }
    }
}

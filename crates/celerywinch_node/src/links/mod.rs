//! Links between instances: HTTP/2 streams that carry messages one way each.
//!
//! Every instance opens one connection to every other and sends its messages on one stream of it;
//! replies come on the other's own connection. A connection can go silent while new ones work, so
//! every link pings, and one without an answer is replaced ([`outgoing`]). Nothing is lost by that
//! but messages, and all protocols on top send again what needs an answer.

mod frame;
mod incoming;
mod outgoing;

use std::collections::BTreeMap;
use std::sync::Arc;

use celerywinch_settings::{Instance, Secret};
use celerywinch_types::{InstanceId, PeerMsg, Process};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

use crate::Clock;
use crate::metrics::Metrics;
use crate::shared::CoreMsg;

pub(crate) use incoming::listen;

/// The header with the shared secret.
const SECRET_HEADER: &str = "celerywinch-secret";
/// The headers that name the sender.
const INSTANCE_HEADER: &str = "celerywinch-instance";
const INCARNATION_HEADER: &str = "celerywinch-incarnation";
/// Flow-control window of a stream and a connection, in bytes: large enough for a burst of answers.
const WINDOW: u32 = 8 << 20;

/// What a link is told.
#[derive(Debug)]
enum LinkMsg {
    Send(PeerMsg),
    Probe,
}

/// What all links of a process share.
#[derive(Clone)]
pub(crate) struct LinkContext {
    pub(crate) me: Process,
    pub(crate) secret: Secret,
    pub(crate) clock: Arc<Clock>,
    pub(crate) core: UnboundedSender<CoreMsg>,
    pub(crate) metrics: Metrics,
    pub(crate) timeline: crate::timeline::Timeline,
}

/// The links of a process.
pub(crate) struct Links {
    links: BTreeMap<InstanceId, UnboundedSender<LinkMsg>>,
}

impl Links {
    /// Opens links to all other instances; called on the core thread.
    pub(crate) fn open(context: &LinkContext, others: &[Instance]) -> Self {
        let links = others.iter().map(|peer| {
            let (sender, receiver) = unbounded_channel();
            let link = outgoing::Link::new(context.clone(), peer.id, peer.peers);
            ntex::rt::spawn(link.run(receiver));
            (peer.id, sender)
        });
        Self {
            links: links.collect(),
        }
    }

    pub(crate) fn send(&self, peer: InstanceId, msg: PeerMsg) {
        if let Some(link) = self.links.get(&peer) {
            let _ = link.send(LinkMsg::Send(msg));
        }
    }

    pub(crate) fn probe(&self, peer: InstanceId) {
        if let Some(link) = self.links.get(&peer) {
            let _ = link.send(LinkMsg::Probe);
        }
    }
}

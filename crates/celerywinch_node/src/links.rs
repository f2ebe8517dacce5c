//! The host of the links between instances: their configuration, inputs and events.

use std::sync::Arc;

use anyhow::Context;
use celerywinch_entry::{Event, Input};
use celerywinch_links::{CloseReason, Host, LinkConfig, LinkEvent, Share};
use celerywinch_settings::Secret;
use celerywinch_types::{InstanceId, PeerMsg, Process};
use tokio::sync::mpsc::UnboundedSender;

use crate::metrics::Metrics;
use crate::shared::CoreMsg;
use crate::{Clock, resources};

/// Flow-control window of a stream and a connection, in bytes; covers a burst of replies.
const FLOW_CONTROL_WINDOW: u32 = 8 << 20;

/// The links of this process.
pub(crate) type Links = celerywinch_links::Links<PeerMsg, LinkContext>;

/// The context shared by all links of a process.
#[derive(Clone)]
pub(crate) struct LinkContext {
    pub(crate) me: Process,
    pub(crate) secret: Secret,
    pub(crate) clock: Arc<Clock>,
    pub(crate) core: UnboundedSender<CoreMsg>,
    pub(crate) metrics: Metrics,
    pub(crate) timeline: crate::timeline::Timeline,
}

impl LinkContext {
    pub(crate) fn config(&self) -> LinkConfig {
        LinkConfig {
            me: self.me,
            secret: self.secret.expose().to_owned(),
            window: FLOW_CONTROL_WINDOW,
            limits: resources::limits().build(&[("peers", Share::Peers)]),
        }
    }
}

impl Host<PeerMsg> for LinkContext {
    fn closed(&self, reason: CloseReason) {
        self.metrics.count_closed(reason, 1);
    }

    fn received(&self, from: Process, msg: PeerMsg) -> anyhow::Result<()> {
        self.metrics.messages_received.inc();
        let input = CoreMsg::Input(Input::PeerMessage(from, msg));
        self.core.send(input).context("link: the core has ended")
    }

    fn rejected(&self, from: Process, _current: Process) {
        self.timeline.write(Event::Connection {
            peer: from.instance,
            state: "rejected".into(),
        });
    }

    fn event(&self, peer: InstanceId, event: LinkEvent) {
        let state = match event {
            LinkEvent::Opened => "open",
            LinkEvent::Lost => "lost",
            LinkEvent::Replaced => "replaced",
            LinkEvent::Refused => {
                // Sending fails only while the process ends: until then the core is alive.
                let _ = self
                    .core
                    .send(CoreMsg::Input(Input::ConnectionRefused(peer)));
                return;
            }
        };
        self.timeline.write(Event::Connection {
            peer,
            state: state.into(),
        });
    }

    fn stamp(&self) -> u64 {
        self.clock.stamp()
    }

    fn observe(&self, stamp: u64) {
        self.clock.observe(stamp);
    }

    fn sent(&self, _msg: &PeerMsg, bytes: usize) {
        self.metrics.messages_sent.inc();
        self.metrics.bytes_sent.inc_by(bytes as u64);
    }
}

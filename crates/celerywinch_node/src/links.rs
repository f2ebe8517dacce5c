//! What links between instances need of this process.

use std::sync::Arc;

use anyhow::Context;
use celerywinch_entry::{Event, Input};
use celerywinch_links::{Host, LinkConfig, LinkEvent};
use celerywinch_settings::Secret;
use celerywinch_types::{InstanceId, PeerMsg, Process};
use tokio::sync::mpsc::UnboundedSender;

use crate::Clock;
use crate::metrics::Metrics;
use crate::shared::CoreMsg;

/// Flow-control window of a stream and a connection, in bytes: large enough for a burst of answers.
const WINDOW: u32 = 8 << 20;

/// The links of this process.
pub(crate) type Links = celerywinch_links::Links<PeerMsg, LinkContext>;

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

impl LinkContext {
    pub(crate) fn config(&self) -> LinkConfig {
        LinkConfig {
            me: self.me,
            secret: self.secret.expose().to_owned(),
            window: WINDOW,
        }
    }
}

impl Host<PeerMsg> for LinkContext {
    fn received(&self, from: Process, msg: PeerMsg) -> anyhow::Result<()> {
        self.metrics.peer_received.inc();
        let input = CoreMsg::Input(Input::PeerMessage(from, msg));
        self.core.send(input).context("link: the core is gone")
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
                // The core ends before the links only when the process does.
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
        self.metrics.peer_messages.inc();
        self.metrics.peer_bytes.inc_by(bytes as u64);
    }
}

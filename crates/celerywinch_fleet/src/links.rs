//! What links between processes need of this one.

use celerywinch_links::{Host, LinkConfig, LinkEvent};
use celerywinch_types::{FleetMsg, InstanceId, Process};
use tokio::sync::mpsc::UnboundedSender;

use crate::core::CoreMsg;
use crate::metrics::Metrics;

/// Flow-control window of a stream and a connection, in bytes. Two of the largest configurations
/// fit; a process has a few hundred MB for all its links.
const WINDOW: u32 = 1 << 20;
/// The secret that both ends of a link show. The platform hands out none, and its network admits
/// only the deployment's own machines; this keeps strays of other deployments on reused addresses
/// from being taken for members.
const SECRET: &str = "celerywinch-fleet-1";

/// The links of this process.
pub(crate) type Links = celerywinch_links::Links<FleetMsg, LinkHost>;

/// Passes what happens on links to the core.
#[derive(Clone)]
pub(crate) struct LinkHost {
    pub(crate) core: UnboundedSender<CoreMsg>,
    pub(crate) metrics: Metrics,
}

/// The configuration of the links of a process.
pub(crate) fn config(me: Process) -> LinkConfig {
    LinkConfig {
        me,
        secret: SECRET.to_owned(),
        window: WINDOW,
    }
}

impl Host<FleetMsg> for LinkHost {
    fn received(&self, from: Process, msg: FleetMsg) -> anyhow::Result<()> {
        self.core
            .send(CoreMsg::Peer(from, msg))
            .map_err(|_| anyhow::anyhow!("link: the core is gone"))
    }

    fn accepted(&self, from: Process) {
        // The core ends before the links only when the process does.
        let _ = self.core.send(CoreMsg::Accepted(from));
    }

    fn rejected(&self, from: Process, current: Process) {
        self.metrics.rejected_streams.inc();
        let _ = self.core.send(CoreMsg::Rejected(from, current));
    }

    fn event(&self, peer: InstanceId, event: LinkEvent) {
        let _ = self.core.send(CoreMsg::Link(peer, event));
    }

    fn stamp(&self) -> u64 {
        // Logs carry wall-clock times; nothing here orders events over processes.
        0
    }

    fn observe(&self, _stamp: u64) {}

    fn sent(&self, msg: &FleetMsg, bytes: usize) {
        self.metrics.message_sent(msg, bytes);
    }
}

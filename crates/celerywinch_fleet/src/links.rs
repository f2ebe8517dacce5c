//! The host of the links between processes.

use celerywinch_links::{CloseReason, Host, Limits, LinkConfig, LinkEvent};
use celerywinch_types::{FleetMsg, InstanceId, Process};
use tokio::sync::mpsc::UnboundedSender;

use crate::core::CoreMsg;
use crate::metrics::Metrics;

/// Flow-control window of a stream and of a connection, in bytes. Two of the largest configurations fit, and a process has a
/// few hundred MB for all its links.
const FLOW_WINDOW: u32 = 1 << 20;
/// Secret that both ends of a link present. The platform provides none, and its network admits only the deployment's own
/// machines. This constant keeps processes of other deployments at reused addresses from being accepted as members.
const SECRET: &str = "celerywinch-fleet-1";

/// The links of this process.
pub(crate) type Links = celerywinch_links::Links<FleetMsg, LinkHost>;

/// Passes events and messages of links to the core.
#[derive(Clone)]
pub(crate) struct LinkHost {
    pub(crate) core: UnboundedSender<CoreMsg>,
    pub(crate) metrics: Metrics,
}

/// Returns the configuration of the links of a process.
pub(crate) fn config(me: Process, limits: Limits) -> LinkConfig {
    LinkConfig {
        me,
        secret: SECRET.to_owned(),
        window: FLOW_WINDOW,
        limits,
    }
}

impl Host<FleetMsg> for LinkHost {
    fn received(&self, from: Process, msg: FleetMsg) -> anyhow::Result<()> {
        self.core
            .send(CoreMsg::Peer(from, msg))
            .map_err(|_| anyhow::anyhow!("link: the core has ended"))
    }

    fn accepted(&self, from: Process) {
        // Fails only if the core has ended, which it does only with the process.
        let _ = self.core.send(CoreMsg::Accepted(from));
    }

    fn rejected(&self, from: Process, current: Process) {
        self.metrics.rejected_streams.inc();
        let _ = self.core.send(CoreMsg::Rejected(from, current));
    }

    fn closed(&self, reason: CloseReason) {
        let closed = &self.metrics.closed_connections;
        closed.with_label_values(&[reason.label()]).inc();
    }

    fn event(&self, peer: InstanceId, event: LinkEvent) {
        let _ = self.core.send(CoreMsg::Link(peer, event));
    }

    fn stamp(&self) -> u64 {
        // Log lines carry wall-clock times; events are not ordered across processes.
        0
    }

    fn observe(&self, _stamp: u64) {}

    fn sent(&self, msg: &FleetMsg, bytes: usize) {
        self.metrics.message_sent(msg, bytes);
    }
}

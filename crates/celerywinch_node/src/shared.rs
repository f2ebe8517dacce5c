//! What the threads of a process share: snapshots, and the channel to the core.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, OnceLock};
use std::time::Instant;

use arc_swap::ArcSwap;
use celerywinch_catalogue::Catalogue;
use celerywinch_entry::{Input, Reply, Status};
use celerywinch_settings::Settings;
use celerywinch_types::{InstanceId, Key, PeerMsg, Process, Submission};
use serde::Serialize;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::metrics::Metrics;
use crate::store::StoreIn;

/// What the core is asked.
#[derive(Debug)]
pub(crate) enum CoreMsg {
    Submit(Submission, oneshot::Sender<Reply>),
    Lookup(Key, oneshot::Sender<Reply>),
    Cancel(Vec<Key>, oneshot::Sender<Reply>),
    Input(Input),
    Send(InstanceId, PeerMsg),
    Status(oneshot::Sender<StatusPage>),
    Figures(oneshot::Sender<Status>),
}

/// The status of an instance, for operators.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct StatusPage {
    pub(crate) at: Process,
    pub(crate) ready: bool,
    #[serde(flatten)]
    pub(crate) figures: Figures,
    pub(crate) peers: Vec<PeerLine>,
    pub(crate) endpoints: Vec<EndpointLine>,
}

/// [`Status`] in the form it is shown.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Figures {
    pub(crate) open_jobs: usize,
    pub(crate) queued_tasks: usize,
    pub(crate) claim_records: usize,
    pub(crate) catalogue_version: u64,
    pub(crate) endpoints_known: usize,
    pub(crate) endpoints_suspended: usize,
    pub(crate) stopping: bool,
    pub(crate) violations: u64,
}

impl From<&Status> for Figures {
    fn from(status: &Status) -> Self {
        Self {
            open_jobs: status.open_jobs,
            queued_tasks: status.queued_tasks,
            claim_records: status.claim_records,
            catalogue_version: status.catalogue_version,
            endpoints_known: status.endpoints,
            endpoints_suspended: status.suspended,
            stopping: status.stopping,
            violations: status.violations,
        }
    }
}

/// One peer, as this instance sees it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct PeerLine {
    pub(crate) instance: u32,
    pub(crate) state: String,
    pub(crate) hears_us: bool,
    pub(crate) catalogue_version: u64,
    pub(crate) heard_ms_ago: u64,
    pub(crate) round_trip_us: Option<u64>,
}

/// One endpoint, as this instance sees it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct EndpointLine {
    pub(crate) addr: SocketAddr,
    pub(crate) incarnation: u64,
    pub(crate) state: celerywinch_types::EndpointState,
    pub(crate) kinds: Vec<String>,
}

/// The addresses that were bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddrs {
    /// For callers.
    pub callers: SocketAddr,
    /// For endpoints.
    pub endpoints: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// Read by the HTTP threads without a lock.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) me: Process,
    pub(crate) catalogue: ArcSwap<Catalogue>,
    pub(crate) metrics: Metrics,
    pub(crate) core: UnboundedSender<CoreMsg>,
    pub(crate) store: Sender<StoreIn>,
    pub(crate) stopping: AtomicBool,
    /// Whether the catalogue in force is no older than it was before this process started.
    pub(crate) current: AtomicBool,
    /// When the replicas here stop to abstain on keys that are new; set by the core.
    pub(crate) remembers_from: OnceLock<Instant>,
}

impl Shared {
    /// Whether the balancer should send callers here.
    ///
    /// A process that has just started abstains on all keys made before, so it would only tell
    /// callers to come back.
    pub(crate) fn ready(&self) -> bool {
        !self.stopping.load(Ordering::Acquire)
            && self.current.load(Ordering::Acquire)
            && self
                .remembers_from
                .get()
                .is_some_and(|at| Instant::now() >= *at)
    }

    /// Asks the core and waits; `None` if it is gone.
    pub(crate) async fn ask<T>(
        self: &Arc<Self>,
        question: impl FnOnce(oneshot::Sender<T>) -> CoreMsg,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.core.send(question(sender)).ok()?;
        receiver.await.ok()
    }
}

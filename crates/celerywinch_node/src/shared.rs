//! State shared by the threads of a process, and the channel to the core.

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
use crate::store::StoreInput;

/// A message to the core thread.
#[derive(Debug)]
pub(crate) enum CoreMsg {
    /// A caller's submission.
    Submit(Submission, oneshot::Sender<Reply>),
    /// A caller's query for the outcome of a key.
    Lookup(Key, oneshot::Sender<Reply>),
    /// A caller's request to cancel keys.
    Cancel(Vec<Key>, oneshot::Sender<Reply>),
    /// Any other input to the entry's state machine; messages for the store go on to its thread.
    Input(Input),
    /// A message of the store to another instance.
    Send(InstanceId, PeerMsg),
    /// An operator's query for the status of the instance.
    Status(oneshot::Sender<StatusPage>),
    /// A query for the entry's status, from which the metrics are set.
    EntryStatus(oneshot::Sender<Status>),
}

/// The status of an instance, as operators see it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct StatusPage {
    #[serde(rename = "at")]
    pub(crate) process: Process,
    /// Whether the readiness check passes.
    pub(crate) ready: bool,
    #[serde(flatten)]
    pub(crate) entry: EntryStatus,
    pub(crate) peers: Vec<PeerStatus>,
    pub(crate) endpoints: Vec<EndpointStatus>,
}

/// The entry's [`Status`] under the names of the status page.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct EntryStatus {
    pub(crate) open_jobs: usize,
    pub(crate) queued_tasks: usize,
    pub(crate) claim_records: usize,
    pub(crate) catalogue_version: u64,
    pub(crate) endpoints_known: usize,
    pub(crate) endpoints_suspended: usize,
    pub(crate) stopping: bool,
    pub(crate) violations: u64,
}

impl From<&Status> for EntryStatus {
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

/// The state of a peer, as this instance sees it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct PeerStatus {
    pub(crate) instance: u32,
    pub(crate) state: String,
    /// Whether the peer receives the messages of this instance.
    #[serde(rename = "hears_us")]
    pub(crate) receives: bool,
    pub(crate) catalogue_version: u64,
    /// Time since the last message from the peer, in milliseconds.
    #[serde(rename = "heard_ms_ago")]
    pub(crate) silent_ms: u64,
    /// Round-trip time in microseconds, once measured.
    pub(crate) round_trip_us: Option<u64>,
}

/// The state of an endpoint, as this instance sees it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct EndpointStatus {
    pub(crate) addr: SocketAddr,
    pub(crate) incarnation: u64,
    pub(crate) state: celerywinch_types::EndpointState,
    pub(crate) kinds: Vec<String>,
}

/// The addresses on which a process listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenAddrs {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for endpoints.
    pub endpoints: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
}

/// State that the HTTP threads read without a lock.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) me: Process,
    pub(crate) catalogue: ArcSwap<Catalogue>,
    pub(crate) metrics: Metrics,
    pub(crate) core: UnboundedSender<CoreMsg>,
    pub(crate) store: Sender<StoreInput>,
    pub(crate) stopping: AtomicBool,
    /// Whether the catalogue in force is at least as recent as the one that was in force before this process
    /// started.
    pub(crate) catalogue_current: AtomicBool,
    /// When the replicas here stop abstaining on keys that are created now; set by the core at its start.
    pub(crate) abstains_until: OnceLock<Instant>,
}

impl Shared {
    /// Returns whether the load balancer should route callers here.
    ///
    /// A process that has just started abstains on all keys created before its start, so it could only ask
    /// callers to retry.
    pub(crate) fn ready(&self) -> bool {
        !self.stopping.load(Ordering::Acquire)
            && self.catalogue_current.load(Ordering::Acquire)
            && self
                .abstains_until
                .get()
                .is_some_and(|at| Instant::now() >= *at)
    }

    /// Sends the core a request and waits for the reply; `None` if the core has ended.
    pub(crate) async fn call_core<T>(
        self: &Arc<Self>,
        message: impl FnOnce(oneshot::Sender<T>) -> CoreMsg,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.core.send(message(sender)).ok()?;
        receiver.await.ok()
    }
}

//! The handle by which a host controls the process.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use celerywinch_origin::{CallerId, NewJob};
use celerywinch_registry::REQUEST_TIMEOUT;
use celerywinch_types::{
    DataCentreId, EvacuationOrder, Incarnation, InstanceId, JobEnd, KeeperRequest, KeeperState,
    QueueConfig, WallMs, WorkerAnnouncement,
};
use prometheus::{IntGauge, IntGaugeVec};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::Clock;
use crate::core::CoreMsg;
use crate::metrics::Metrics;

/// The expected size of a document before one is known, in bytes.
const UNKNOWN_DOCUMENT_BYTES: usize = 1 << 20;

/// State that requests read without a message to the core.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    pub(crate) queue_config: ArcSwapOption<QueueConfig>,
    pub(crate) ready: AtomicBool,
    pub(crate) stop_schedule: OnceLock<StopSchedule>,
    pub(crate) open_jobs: AtomicU64,
    /// The size of the newest document that was read or sent here, in bytes; 0 before.
    pub(crate) document_bytes: AtomicUsize,
    /// Whether the group of keepers no longer needs this one, which stops as planned.
    pub(crate) store_left: AtomicBool,
}

/// The schedule of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct StopSchedule {
    /// Until then, callers may still be routed to this process.
    pub routed_until: Instant,
    /// The latest time at which the process exits.
    pub exit_by: Instant,
}

/// A handle of a running process.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub(crate) core: UnboundedSender<CoreMsg>,
    pub(crate) clock: Clock,
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) metrics: Metrics,
    pub(crate) next_caller: Arc<AtomicU64>,
}

/// A submitted job. Dropping it before the answer cancels the job.
#[derive(Debug)]
pub struct JobHandle {
    core: UnboundedSender<CoreMsg>,
    caller: CallerId,
    answer: oneshot::Receiver<JobEnd>,
    answered: bool,
}

impl JobHandle {
    /// Waits until the job ends.
    pub async fn wait(mut self) -> JobEnd {
        let end = (&mut self.answer).await;
        self.answered = true;
        end.unwrap_or(JobEnd::Unsure)
    }
}

impl Drop for JobHandle {
    fn drop(&mut self) {
        if !self.answered {
            // The caller's connection is closed. Fails only if the core has ended, which it does only with the process.
            let _ = self.core.send(CoreMsg::CallerGone(self.caller));
        }
    }
}

impl Fleet {
    /// Returns the configuration in force, or `None` before the first one is known.
    #[must_use]
    pub fn queue_config(&self) -> Option<Arc<QueueConfig>> {
        self.snapshot.queue_config.load_full()
    }

    /// Returns whether callers should be routed to this process.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.snapshot.ready.load(Ordering::Acquire) && !self.is_stopping()
    }

    /// Returns whether a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.snapshot.stop_schedule.get().is_some()
    }

    /// Returns whether a job that is expected to take `expected`, and whose caller waits for `timeout`, can be answered before
    /// the process exits. A caller may still use a connection that was idle when the stop began. Once all others are routed
    /// elsewhere, these few are not worth the risk that a job takes longer than expected, so `timeout` has to fit.
    #[must_use]
    pub fn has_time_for(&self, expected: Duration, timeout: Duration) -> bool {
        let now = Instant::now();
        self.snapshot.stop_schedule.get().is_none_or(|schedule| {
            let routed = now < schedule.routed_until;
            let span = if routed {
                expected.min(timeout)
            } else {
                timeout
            };
            now + span <= schedule.exit_by
        })
    }

    /// Returns the metrics of this process in the text format.
    #[must_use]
    pub fn metrics(&self) -> String {
        self.metrics.text()
    }

    /// Publishes the number of open connections of clients at a listener, and its limit.
    pub fn set_connections(&self, listener: &str, open: usize, limit: usize) {
        let set = |gauges: &IntGaugeVec, value: usize| {
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            gauges.with_label_values(&[listener]).set(value);
        };
        set(&self.metrics.client_connections, open);
        set(&self.metrics.client_connections_limit, limit);
    }

    /// Publishes the memory that connections of clients take, and its limit, in bytes.
    pub fn set_client_memory(&self, used: u64, limit: u64) {
        let set = |gauge: &IntGauge, value| gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        set(&self.metrics.client_memory, used);
        set(&self.metrics.client_memory_limit, limit);
    }

    /// Counts connections that were closed, and requests that were refused, to stay within the limits.
    pub fn count_closed(&self, reason: &str, count: u64) {
        let closed = &self.metrics.closed_connections;
        closed.with_label_values(&[reason]).inc_by(count);
    }

    /// Returns the time of day.
    #[must_use]
    pub fn wall(&self) -> WallMs {
        self.clock.wall()
    }

    /// Returns the number of open jobs.
    #[must_use]
    pub fn open_jobs(&self) -> u64 {
        self.snapshot.open_jobs.load(Ordering::Acquire)
    }

    /// Returns whether a keeper that stops as planned may end: another one has taken its vote, or none can.
    #[must_use]
    pub fn may_end(&self) -> bool {
        self.snapshot.store_left.load(Ordering::Acquire)
    }

    /// Submits a job.
    #[must_use]
    pub fn submit(&self, job: NewJob) -> JobHandle {
        let caller = CallerId(self.next_caller.fetch_add(1, Ordering::Relaxed));
        let (sender, answer) = oneshot::channel();
        // If the core has ended, the closed channel makes the answer `Unsure`.
        let _ = self.core.send(CoreMsg::Submit(caller, job, sender));
        JobHandle {
            core: self.core.clone(),
            caller,
            answer,
            answered: false,
        }
    }

    /// Handles the announcement of a worker. Returns whether it may be acknowledged to the worker.
    pub async fn announce(&self, announcement: WorkerAnnouncement) -> bool {
        self.send_request(|answer| CoreMsg::Announce(announcement, answer))
            .await
            .unwrap_or(false)
    }

    /// Reports that a worker has left; `incarnation` is `None` if the worker did not state it.
    pub async fn worker_left(&self, worker: String, incarnation: Option<Incarnation>) -> bool {
        self.send_request(|answer| CoreMsg::WorkerLeft(worker, incarnation, answer))
            .await
            .unwrap_or(false)
    }

    /// Puts a validated document in force, unless the stored version is as high or higher. Returns the version stored afterwards,
    /// or `None` if the outcome is unknown.
    pub async fn propose_config(&self, version: u64, document: String) -> Option<u64> {
        self.note_document(document.len());
        let request = KeeperRequest::PutDocument(version, document.into_bytes());
        let state = tokio::time::timeout(REQUEST_TIMEOUT, self.request_keepers(request)).await;
        Some(state.ok().flatten()?.version)
    }

    /// Reads the newest version and document. Returns `None` if the keepers did not confirm them in time.
    pub async fn read_config(&self) -> Option<KeeperState> {
        let request = self.request_keepers(KeeperRequest::ReadDocument);
        let state = tokio::time::timeout(REQUEST_TIMEOUT, request).await;
        let state = state.ok().flatten()?;
        self.note_document(state.document.len());
        Some(state)
    }

    /// Returns the expected size of the document that `read_config` returns, in bytes.
    #[must_use]
    pub fn document_bytes(&self) -> usize {
        match self.snapshot.document_bytes.load(Ordering::Relaxed) {
            0 => UNKNOWN_DOCUMENT_BYTES,
            bytes => bytes,
        }
    }

    fn note_document(&self, bytes: usize) {
        self.snapshot.document_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Starts or ends the evacuation of a data centre. Returns false if the outcome is unknown.
    pub async fn set_evacuated(&self, dc: DataCentreId, evacuated: bool) -> bool {
        let order = self.order_evacuation(dc, evacuated);
        let result = tokio::time::timeout(REQUEST_TIMEOUT, order).await;
        result.ok().flatten().is_some()
    }

    /// Submits an order based on the current revision, and retries until the data centre is in the requested state.
    ///
    /// The revision is read only after the request has arrived. A request that was delayed before that has lost its caller's
    /// connection by the time of the answer, and is dropped with it. An order that is delayed afterwards is void if another one
    /// was committed meanwhile.
    async fn order_evacuation(&self, dc: DataCentreId, evacuated: bool) -> Option<()> {
        loop {
            let state = self.request_keepers(KeeperRequest::ReadEvacuations).await?;
            let order = EvacuationOrder {
                dc,
                evacuated,
                base: state.evacuations.revision,
            };
            let state = self.request_keepers(KeeperRequest::Evacuate(order)).await?;
            if state.evacuations.dcs.contains(&dc) == evacuated {
                return Some(());
            }
        }
    }

    async fn request_keepers(&self, request: KeeperRequest) -> Option<KeeperState> {
        let answer = self
            .send_request(|answer| CoreMsg::KeeperRequest(request, answer))
            .await;
        answer.flatten()
    }

    /// Sets the keepers to contact first, after a change of the settings.
    pub fn set_seeds(&self, seeds: Vec<InstanceId>) {
        let _ = self.core.send(CoreMsg::Seeds(seeds));
    }

    /// Begins a planned stop: the process is no longer ready, and hands over the domains that it dispatches for.
    pub fn stop(&self, schedule: StopSchedule) {
        // A second signal does not change the schedule.
        let _ = self.snapshot.stop_schedule.set(schedule);
        let _ = self.core.send(CoreMsg::Stop);
    }

    async fn send_request<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> CoreMsg,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.core.send(message(sender)).ok()?;
        receiver.await.ok()
    }
}

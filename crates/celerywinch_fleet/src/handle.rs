//! How a host talks to the process.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;
use celerywinch_origin::{CallerId, NewJob};
use celerywinch_registry::REQUEST_TIMEOUT;
use celerywinch_types::{
    DataCentreId, EvacuationOrder, Incarnation, InstanceId, JobEnd, KeeperRequest, KeeperState,
    QueueConfig, WallMs, WorkerAnnouncement,
};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::Clock;
use crate::core::CoreMsg;
use crate::metrics::Metrics;

/// What requests read without asking the core.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    pub(crate) queue_config: ArcSwapOption<QueueConfig>,
    pub(crate) ready: AtomicBool,
    pub(crate) stop_schedule: OnceLock<StopSchedule>,
    pub(crate) open_jobs: AtomicU64,
}

/// When a planned stop ends.
#[derive(Clone, Copy, Debug)]
pub struct StopSchedule {
    /// Until then callers are still sent here.
    pub routed_until: Instant,
    /// The process ends then at the latest.
    pub exit_by: Instant,
}

/// A running process.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub(crate) core: UnboundedSender<CoreMsg>,
    pub(crate) clock: Clock,
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) metrics: Metrics,
    pub(crate) next_caller: Arc<AtomicU64>,
}

/// A job that was submitted; dropped without an answer, it is cancelled.
#[derive(Debug)]
pub struct JobHandle {
    core: UnboundedSender<CoreMsg>,
    caller: CallerId,
    answer: oneshot::Receiver<JobEnd>,
    answered: bool,
}

impl JobHandle {
    /// Waits for the end of the job.
    pub async fn wait(mut self) -> JobEnd {
        let end = (&mut self.answer).await;
        self.answered = true;
        end.unwrap_or(JobEnd::Unsure)
    }
}

impl Drop for JobHandle {
    fn drop(&mut self) {
        if !self.answered {
            // The caller's connection is gone; the core ends before only when the process does.
            let _ = self.core.send(CoreMsg::CallerGone(self.caller));
        }
    }
}

impl Fleet {
    /// The configuration in force; none before the first one is known.
    #[must_use]
    pub fn queue_config(&self) -> Option<Arc<QueueConfig>> {
        self.snapshot.queue_config.load_full()
    }

    /// Whether callers should be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.snapshot.ready.load(Ordering::Acquire) && !self.is_stopping()
    }

    /// Whether a planned stop has begun.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.snapshot.stop_schedule.get().is_some()
    }

    /// Whether a job can be answered before the process ends, that should take `expected` and is waited for as long as
    /// `timeout`. A caller may have kept its connection idle since before the stop began; once all others go elsewhere, the
    /// few that are left are not worth the risk that a job takes longer.
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

    /// The figures of this process, as text.
    #[must_use]
    pub fn metrics(&self) -> String {
        self.metrics.text()
    }

    /// The time of day.
    #[must_use]
    pub fn wall(&self) -> WallMs {
        self.clock.wall()
    }

    /// How many jobs are open.
    #[must_use]
    pub fn open_jobs(&self) -> u64 {
        self.snapshot.open_jobs.load(Ordering::Acquire)
    }

    /// Submits a job.
    #[must_use]
    pub fn submit(&self, job: NewJob) -> JobHandle {
        let caller = CallerId(self.next_caller.fetch_add(1, Ordering::Relaxed));
        let (sender, answer) = oneshot::channel();
        // Without a core the answer is `Unsure`, by the closed channel.
        let _ = self.core.send(CoreMsg::Submit(caller, job, sender));
        JobHandle {
            core: self.core.clone(),
            caller,
            answer,
            answered: false,
        }
    }

    /// A worker announces itself; true once the dispatchers hear of it.
    pub async fn announce(&self, note: WorkerAnnouncement) -> bool {
        self.request(|answer| CoreMsg::Announce(note, answer))
            .await
            .unwrap_or(false)
    }

    /// A worker has left; `life` is none where it does not say which of its lives did.
    pub async fn worker_left(&self, worker: String, incarnation: Option<Incarnation>) -> bool {
        self.request(|answer| CoreMsg::WorkerLeft(worker, incarnation, answer))
            .await
            .unwrap_or(false)
    }

    /// Puts a checked document in force, unless a version as high is held. The version held after
    /// it; none if it is not known what became of it.
    pub async fn propose_config(&self, version: u64, document: Vec<u8>) -> Option<u64> {
        let request = KeeperRequest::PutDocument(version, document);
        let state = tokio::time::timeout(REQUEST_TIMEOUT, self.request_keepers(request)).await;
        Some(state.ok().flatten()?.version)
    }

    /// Reads the newest version and document; `None` if the keepers did not confirm them in time.
    pub async fn read_config(&self) -> Option<KeeperState> {
        let request = self.request_keepers(KeeperRequest::ReadDocument);
        let state = tokio::time::timeout(REQUEST_TIMEOUT, request).await;
        state.ok().flatten()
    }

    /// Starts or ends the evacuation of a data centre; false if the outcome is unknown.
    pub async fn set_evacuated(&self, dc: DataCentreId, evacuated: bool) -> bool {
        let order = self.order_evacuation(dc, evacuated);
        let done = tokio::time::timeout(REQUEST_TIMEOUT, order).await;
        done.ok().flatten().is_some()
    }

    /// Bases an order on the current revision, and retries until the data centre is in the wanted state.
    ///
    /// The revision is read only after the request arrived. A request that was delayed before has
    /// lost its caller's connection by the time of the answer, and is dropped with it. An order that
    /// is delayed afterwards is void if another one was committed meanwhile.
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
            .request(|answer| CoreMsg::KeeperRequest(request, answer))
            .await;
        answer.flatten()
    }

    /// The settings name other keepers to ask first.
    pub fn set_seeds(&self, seeds: Vec<InstanceId>) {
        let _ = self.core.send(CoreMsg::Seeds(seeds));
    }

    /// Begins a planned stop: no new callers, and what this process dispatches for goes to others.
    pub fn stop(&self, schedule: StopSchedule) {
        // A second signal changes nothing.
        let _ = self.snapshot.stop_schedule.set(schedule);
        let _ = self.core.send(CoreMsg::Stop);
    }

    async fn request<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> CoreMsg) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.core.send(message(sender)).ok()?;
        receiver.await.ok()
    }
}

//! The metrics of a process, in the text format that collectors scrape.

use std::collections::BTreeMap;
use std::time::Duration;

use celerywinch_metrics::Meter;
use celerywinch_origin::JobEvent;
use celerywinch_pool::{PoolEvent, Request};
use celerywinch_types::{ConfigMsg, DeclineReason, FleetMsg, JobEnd, WorkMsg};
use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge, IntGaugeVec};

use crate::config_sync::ConfigSyncEvent;
use crate::directory::AnnounceOutcome;

/// Bucket bounds of the time to an answer, in seconds. The objectives of queues are 0.1 s to a few seconds.
const JOB_SECONDS: &[f64] = &[0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0];

/// Bucket bounds of the time to fetch a configuration, in seconds. It should be in force everywhere within 2 s.
const DOCUMENT_SECONDS: &[f64] = &[0.01, 0.03, 0.1, 0.2, 0.5, 1.0, 1.5, 2.0, 4.0];

/// Bucket bounds of the time from holding capacity to the start of tasks on it, in seconds. It is held for 0.04 s.
const HOLD_SECONDS: &[f64] = &[0.001, 0.002, 0.003, 0.005, 0.01, 0.02, 0.03, 0.04];

/// Label values of the priorities of waiting reservations.
const PRIORITY_LABELS: [&str; 3] = ["0", "1", "2"];

/// Label values for the kinds of messages to other processes.
const MESSAGE_KINDS: [&str; 13] = [
    "heartbeat",
    "contacts",
    "log",
    "keep",
    "workers",
    "configuration",
    "work",
    "learned",
    "crashes",
    "reserve",
    "offer",
    "release",
    "decline",
];

/// The counters, gauges and histograms. All clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    meter: Meter,
    jobs: IntCounterVec,
    job_seconds: Histogram,
    runs: IntCounterVec,
    refused: IntCounter,
    moved: IntCounter,
    crashes: IntCounter,
    given_up: IntCounter,
    quarantined: IntCounter,
    lost_workers: IntCounterVec,
    claims: IntCounterVec,
    changes: IntCounter,
    messages: IntCounterVec,
    message_bytes: IntCounterVec,
    worker_calls: IntCounterVec,
    announced: IntCounterVec,
    pub(crate) late_answers: IntCounter,
    pub(crate) rejected_streams: IntCounter,
    offers: IntCounterVec,
    declined: IntCounterVec,
    hold_seconds: Histogram,
    waiting_reservations: IntGaugeVec,
    documents: IntCounter,
    document_bytes: IntCounter,
    document_seconds: Histogram,
    pub(crate) peers: IntGauge,
    pub(crate) workers: IntGauge,
    /// In thousandths.
    pub(crate) packing_permille: IntGauge,
    pub(crate) suspected_workers: IntGauge,
    pub(crate) capacity: IntGauge,
    pub(crate) open_jobs: IntGauge,
    pub(crate) evacuated_data_centres: IntGauge,
    pub(crate) evacuated_runs: IntGauge,
    pub(crate) version: IntGauge,
    pub(crate) client_connections: IntGaugeVec,
    pub(crate) client_connections_limit: IntGaugeVec,
    pub(crate) client_memory: IntGauge,
    pub(crate) client_memory_limit: IntGauge,
    pub(crate) closed_connections: IntCounterVec,
}

impl Metrics {
    pub(crate) fn new() -> anyhow::Result<Self> {
        let meter = Meter::new()?;
        Ok(Self {
            jobs: meter.counter_vec(
                "jobs_total",
                "Jobs answered by this process, by end.",
                "end",
            )?,
            job_seconds: meter.histogram(
                "job_seconds",
                "Seconds from the arrival of a job to its answer.",
                JOB_SECONDS,
            )?,
            runs: meter.counter_vec("runs_total", "Runs that ended, by kind of end.", "how")?,
            refused: meter.counter("refused_total", "Jobs refused by this dispatcher.")?,
            moved: meter.counter("moved_total", "Runs stopped for too little progress.")?,
            crashes: meter.counter(
                "crashes_total",
                "Times that a worker crashed or became unreachable while running a task.",
            )?,
            given_up: meter.counter(
                "given_up_total",
                "Tasks given up after workers had crashed while running them.",
            )?,
            quarantined: meter.counter("aside_total", "Times that a worker was quarantined.")?,
            lost_workers: meter.counter_vec(
                "workers_gone_total",
                "Workers that are gone, by how this was detected.",
                "why",
            )?,
            claims: meter.counter_vec(
                "worker_claims_total",
                "Announcements of known workers at other addresses, and those that were not confirmed there.",
                "what",
            )?,
            changes: meter.counter(
                "changes_total",
                "Domains acquired or resigned by this process.",
            )?,
            messages: meter.counter_vec(
                "messages_total",
                "Messages sent to other processes, by kind.",
                "kind",
            )?,
            message_bytes: meter.counter_vec(
                "message_bytes_total",
                "Bytes of messages sent to other processes, by kind.",
                "kind",
            )?,
            worker_calls: meter.counter_vec(
                "worker_calls_total",
                "Calls to workers, by kind.",
                "kind",
            )?,
            announced: meter.counter_vec(
                "announcements_total",
                "Announcements of workers, by their effect.",
                "what",
            )?,
            late_answers: meter.counter(
                "late_answers_total",
                "Answers of workers that arrived after their time-out.",
            )?,
            rejected_streams: meter.counter(
                "rejected_streams_total",
                "Streams rejected, as another process counts as the current one of their instance.",
            )?,
            offers: meter.counter_vec(
                "offers_total",
                "Offers of capacity to tasks that wait at their origins, and what became of them.",
                "what",
            )?,
            declined: meter.counter_vec(
                "reservations_declined_total",
                "Reservations declined by this dispatcher.",
                "why",
            )?,
            hold_seconds: meter.histogram(
                "hold_seconds",
                "Seconds from holding capacity for tasks to their submission.",
                HOLD_SECONDS,
            )?,
            waiting_reservations: meter.gauge_vec(
                "waiting_reservations",
                "Waiting reservations at this dispatcher, by priority.",
                "priority",
            )?,
            documents: meter.counter(
                "documents_total",
                "Transfers of the configuration started to other processes.",
            )?,
            document_bytes: meter.counter(
                "document_bytes_total",
                "Bytes of the configuration sent to other processes.",
            )?,
            document_seconds: meter.histogram(
                "document_seconds",
                "Seconds from the first report of a configuration until it was fetched.",
                DOCUMENT_SECONDS,
            )?,
            peers: meter.gauge("peers", "Live peers.")?,
            workers: meter.gauge("workers", "Workers controlled by this dispatcher.")?,
            packing_permille: meter.gauge(
                "packing_permille",
                "Share of the workers' processors that placement fills while tasks wait, in thousandths.",
            )?,
            suspected_workers: meter.gauge(
                "suspected_workers",
                "Workers of this dispatcher that are suspected of being slow.",
            )?,
            capacity: meter.gauge("capacity", "Workers that this process can dispatch for.")?,
            open_jobs: meter.gauge("open_jobs", "Open jobs of callers.")?,
            evacuated_data_centres: meter.gauge(
                "evacuated_data_centres",
                "Evacuated data centres known to this process.",
            )?,
            evacuated_runs: meter.gauge(
                "evacuated_runs",
                "Runs of this dispatcher that remain in evacuated data centres.",
            )?,
            version: meter.gauge("version", "Version of the configuration in force.")?,
            client_connections: meter.gauge_vec(
                "client_connections",
                "Open connections of clients, by listener.",
                "listener",
            )?,
            client_connections_limit: meter.gauge_vec(
                "client_connections_limit",
                "Largest number of open connections of clients, by listener.",
                "listener",
            )?,
            client_memory: meter.gauge(
                "client_memory_bytes",
                "Memory accounted to connections of clients, in bytes.",
            )?,
            client_memory_limit: meter.gauge(
                "client_memory_limit_bytes",
                "Largest memory for connections of clients, in bytes.",
            )?,
            closed_connections: meter.counter_vec(
                "closed_connections_total",
                "Connections closed and requests refused to stay within the limits, by reason.",
                "reason",
            )?,
            meter,
        })
    }

    /// Counts an announcement of a worker.
    pub(crate) fn worker_announced(&self, outcome: AnnounceOutcome) {
        let what = match outcome {
            AnnounceOutcome::Changed => "news",
            AnnounceOutcome::Unchanged => "nothing",
            AnnounceOutcome::Stale(_) => "late",
            AnnounceOutcome::OtherIncarnation(_) => "other_life",
            AnnounceOutcome::Left => "left",
            AnnounceOutcome::Unnamed => "unnamed",
            AnnounceOutcome::Foreign(_) => "foreign",
        };
        self.announced.with_label_values(&[what]).inc();
    }

    /// Counts an event of the dispatcher.
    pub(crate) fn dispatch_event(&self, event: &PoolEvent) {
        match event {
            PoolEvent::RunEnded { how, .. } => self.runs.with_label_values(&[*how]).inc(),
            PoolEvent::Refused { .. } => self.refused.inc(),
            PoolEvent::Crashed { .. } => self.crashes.inc(),
            PoolEvent::GivenUp { .. } => self.given_up.inc(),
            PoolEvent::Moved { .. } => self.moved.inc(),
            PoolEvent::WorkerAside { .. } => self.quarantined.inc(),
            PoolEvent::WorkerGone { why, .. } => {
                self.lost_workers.with_label_values(&[why.label()]).inc()
            }
            PoolEvent::WorkerClaimed { .. } => self.claims.with_label_values(&["announced"]).inc(),
            PoolEvent::ClaimDropped { .. } => self.claims.with_label_values(&["dropped"]).inc(),
            PoolEvent::Acquired { .. } | PoolEvent::Resigned { .. } => self.changes.inc(),
            PoolEvent::Offered { .. } => self.count_offer("made"),
            PoolEvent::OfferUsed { took, .. } => {
                self.count_offer("used");
                let took = Duration::from_millis((*took).into());
                self.hold_seconds.observe(took.as_secs_f64());
            }
            PoolEvent::OfferExpired { .. } => self.count_offer("expired"),
            PoolEvent::Released { unused, .. } => {
                if *unused > 0 {
                    self.count_offer("returned");
                }
            }
            PoolEvent::Declined { reason, .. } => {
                let why = match reason {
                    DeclineReason::Late(_) => "late",
                    DeclineReason::Unplaced => "unplaced",
                    DeclineReason::NotOwner => "not_owner",
                };
                self.declined.with_label_values(&[why]).inc();
            }
            PoolEvent::Queued { .. }
            | PoolEvent::Reserved { .. }
            | PoolEvent::Passed { .. }
            | PoolEvent::Unplaced { .. }
            | PoolEvent::HeldUp { .. }
            | PoolEvent::GrantOver { .. }
            | PoolEvent::Started { .. }
            | PoolEvent::WorkerSilent { .. }
            | PoolEvent::WorkerHeld { .. } => {}
        }
    }

    fn count_offer(&self, what: &str) {
        self.offers.with_label_values(&[what]).inc();
    }

    /// Sets the number of waiting reservations for priority 0, 1, and 2 or more.
    pub(crate) fn set_waiting_reservations(&self, counts: [usize; 3]) {
        for (label, count) in PRIORITY_LABELS.iter().zip(counts) {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            let gauge = self.waiting_reservations.with_label_values(&[*label]);
            gauge.set(count);
        }
    }

    /// Counts the answer to a job and its time.
    pub(crate) fn origin_event(&self, event: &JobEvent) {
        if let JobEvent::Answered { end, took, .. } = event {
            let label = match end {
                JobEnd::Completed => "completed",
                JobEnd::Failed => "failed",
                JobEnd::Refused(_) => "refused",
                JobEnd::Unsure => "unsure",
            };
            self.jobs.with_label_values(&[label]).inc();
            let took = Duration::from_millis((*took).into());
            self.job_seconds.observe(took.as_secs_f64());
        }
    }

    /// Counts a message sent to another process.
    pub(crate) fn message_sent(&self, msg: &FleetMsg, bytes: usize) {
        let kind = match msg {
            FleetMsg::Heartbeat(_) => MESSAGE_KINDS[0],
            FleetMsg::Contacts(_) => MESSAGE_KINDS[1],
            FleetMsg::Log(_) => MESSAGE_KINDS[2],
            FleetMsg::Keeper(_) => MESSAGE_KINDS[3],
            FleetMsg::Workers(_) => MESSAGE_KINDS[4],
            FleetMsg::Config(_) => MESSAGE_KINDS[5],
            FleetMsg::Work(msg) => match msg {
                WorkMsg::Reserve(_) => MESSAGE_KINDS[9],
                WorkMsg::Offer(_) => MESSAGE_KINDS[10],
                WorkMsg::Release(_) => MESSAGE_KINDS[11],
                WorkMsg::Decline(_) => MESSAGE_KINDS[12],
                WorkMsg::Submit(_)
                | WorkMsg::Cancel { .. }
                | WorkMsg::Drop { .. }
                | WorkMsg::Ended(_)
                | WorkMsg::Crashed(..)
                | WorkMsg::Resync(_)
                | WorkMsg::ResyncDone { .. } => MESSAGE_KINDS[6],
            },
            FleetMsg::Learned(_) => MESSAGE_KINDS[7],
            FleetMsg::Crashes(_) | FleetMsg::ProbeQueues(_) => MESSAGE_KINDS[8],
        };
        self.messages.with_label_values(&[kind]).inc();
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.message_bytes.with_label_values(&[kind]).inc_by(bytes);
    }

    /// Returns the numbers of messages sent to other processes so far and of their bytes, by kind.
    pub(crate) fn traffic(&self) -> BTreeMap<String, (u64, u64)> {
        let kinds = MESSAGE_KINDS.iter().map(|kind| {
            let count = self.messages.with_label_values(&[*kind]).get();
            let bytes = self.message_bytes.with_label_values(&[*kind]).get();
            ((*kind).to_owned(), (count, bytes))
        });
        kinds.filter(|(_, (count, _))| *count > 0).collect()
    }

    /// Counts a call to a worker.
    pub(crate) fn worker_called(&self, request: &Request) {
        let kind = match request {
            Request::Start { .. } => "start",
            Request::Stop { .. } => "stop",
            Request::Poll { .. } => "look",
        };
        self.worker_calls.with_label_values(&[kind]).inc();
    }

    /// Counts the chunks of the configuration sent to other processes.
    pub(crate) fn config_sent(&self, msg: &ConfigMsg) {
        if let ConfigMsg::Chunk(chunk) = msg {
            self.document_bytes.inc_by(chunk.bytes.len() as u64);
            if chunk.offset == 0 {
                self.documents.inc();
            }
        }
    }

    /// Records the time of a completed transfer.
    pub(crate) fn config_sync_event(&self, event: &ConfigSyncEvent) {
        if let ConfigSyncEvent::DocumentWhole { took, .. } = event {
            let took = Duration::from_millis((*took).into());
            self.document_seconds.observe(took.as_secs_f64());
        }
    }

    /// Returns all metrics in the text format.
    pub(crate) fn text(&self) -> String {
        self.meter.encode().unwrap_or_else(|error| {
            log::error!("metrics: Cannot encode the metrics: {error}.");
            String::new()
        })
    }
}

//! Figures of a process, as text for whoever collects them.

use std::collections::BTreeMap;
use std::time::Duration;

use celerywinch_metrics::Meter;
use celerywinch_origin::JobEvent;
use celerywinch_pool::{PoolEvent, Request};
use celerywinch_types::{ConfigMsg, FleetMsg, JobEnd};
use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge};

use crate::config_sync::ConfigSyncEvent;
use crate::directory::AnnounceOutcome;

/// Bounds of the time to an answer, in seconds: objectives are 0.1 to a few s.
const JOB_SECONDS: &[f64] = &[0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0];

/// Bounds of the time to a configuration, in seconds: it should be in force everywhere within 2 s.
const DOCUMENT_SECONDS: &[f64] = &[0.01, 0.03, 0.1, 0.2, 0.5, 1.0, 1.5, 2.0, 4.0];

/// Kinds of messages to other processes.
const MESSAGE_KINDS: [&str; 9] = [
    "heartbeat",
    "contacts",
    "log",
    "keep",
    "workers",
    "configuration",
    "work",
    "learned",
    "crashes",
];

/// Counters, gauges and histograms; every clone counts into the same ones.
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
    aside: IntCounter,
    gone: IntCounterVec,
    changes: IntCounter,
    messages: IntCounterVec,
    message_bytes: IntCounterVec,
    worker_calls: IntCounterVec,
    announced: IntCounterVec,
    pub(crate) late_answers: IntCounter,
    pub(crate) rejected_streams: IntCounter,
    documents: IntCounter,
    document_bytes: IntCounter,
    document_seconds: Histogram,
    pub(crate) peers: IntGauge,
    pub(crate) workers: IntGauge,
    pub(crate) open_jobs: IntGauge,
    pub(crate) evacuated_data_centres: IntGauge,
    pub(crate) evacuated_runs: IntGauge,
    pub(crate) version: IntGauge,
}

impl Metrics {
    pub(crate) fn new() -> anyhow::Result<Self> {
        let meter = Meter::new()?;
        Ok(Self {
            jobs: meter.counter_vec("jobs_total", "Jobs answered here, by their end.", "end")?,
            job_seconds: meter.histogram(
                "job_seconds",
                "Seconds from arrival to answer.",
                JOB_SECONDS,
            )?,
            runs: meter.counter_vec("runs_total", "Runs that ended, by how.", "how")?,
            refused: meter.counter("refused_total", "Jobs refused by this dispatcher.")?,
            moved: meter.counter("moved_total", "Runs stopped for too little progress.")?,
            crashes: meter.counter(
                "crashes_total",
                "Times that a worker ended under a task, or fell silent with it.",
            )?,
            given_up: meter.counter(
                "given_up_total",
                "Tasks that were given up after workers had ended under them.",
            )?,
            aside: meter.counter("aside_total", "Times a worker was set aside.")?,
            gone: meter.counter_vec(
                "workers_gone_total",
                "Workers that are gone, by how it is known.",
                "why",
            )?,
            changes: meter.counter("changes_total", "Domains acquired or resigned here.")?,
            messages: meter.counter_vec(
                "messages_total",
                "Messages sent to other processes, by kind.",
                "kind",
            )?,
            message_bytes: meter.counter_vec("message_bytes_total", "Bytes of them.", "kind")?,
            worker_calls: meter.counter_vec(
                "worker_calls_total",
                "Calls to workers, by kind.",
                "kind",
            )?,
            announced: meter.counter_vec(
                "announcements_total",
                "Announcements of workers, by what they changed.",
                "what",
            )?,
            late_answers: meter.counter(
                "late_answers_total",
                "Answers of workers that came after they were waited for.",
            )?,
            rejected_streams: meter.counter(
                "rejected_streams_total",
                "Streams of other processes that were rejected, as another one counts as the latest of its instance.",
            )?,
            documents: meter.counter(
                "documents_total",
                "Copies of the configuration begun to be sent.",
            )?,
            document_bytes: meter
                .counter("document_bytes_total", "Bytes of the configuration sent.")?,
            document_seconds: meter.histogram(
                "document_seconds",
                "Seconds from first hearing of a configuration until it is here.",
                DOCUMENT_SECONDS,
            )?,
            peers: meter.gauge("peers", "Processes that are heard.")?,
            workers: meter.gauge("workers", "Workers that obey this dispatcher.")?,
            open_jobs: meter.gauge("open_jobs", "Jobs of callers that are open.")?,
            evacuated_data_centres: meter.gauge(
                "evacuated_data_centres",
                "Data centres that are evacuated, as far as is known here.",
            )?,
            evacuated_runs: meter.gauge(
                "evacuated_runs",
                "Runs of this dispatcher that are left in evacuated data centres.",
            )?,
            version: meter.gauge("version", "Version of the configuration in force.")?,
            meter,
        })
    }

    /// A worker has announced itself.
    pub(crate) fn worker_announced(&self, outcome: AnnounceOutcome) {
        let what = match outcome {
            AnnounceOutcome::Changed => "news",
            AnnounceOutcome::Unchanged => "nothing",
            AnnounceOutcome::Stale(_) => "late",
            AnnounceOutcome::OtherIncarnation(_) => "other_life",
            AnnounceOutcome::Left => "left",
        };
        self.announced.with_label_values(&[what]).inc();
    }

    pub(crate) fn dispatch_event(&self, event: &PoolEvent) {
        match event {
            PoolEvent::RunEnded { how, .. } => self.runs.with_label_values(&[*how]).inc(),
            PoolEvent::Refused { .. } => self.refused.inc(),
            PoolEvent::Crashed { .. } => self.crashes.inc(),
            PoolEvent::GivenUp { .. } => self.given_up.inc(),
            PoolEvent::Moved { .. } => self.moved.inc(),
            PoolEvent::WorkerAside { .. } => self.aside.inc(),
            PoolEvent::WorkerGone { why, .. } => self.gone.with_label_values(&[why.label()]).inc(),
            PoolEvent::Acquired { .. } | PoolEvent::Resigned { .. } => self.changes.inc(),
            PoolEvent::Queued { .. }
            | PoolEvent::Passed { .. }
            | PoolEvent::HeldUp { .. }
            | PoolEvent::GrantOver { .. }
            | PoolEvent::Started { .. }
            | PoolEvent::WorkerSilent { .. }
            | PoolEvent::WorkerHeld { .. } => {}
        }
    }

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

    /// A message is sent to another process.
    pub(crate) fn message_sent(&self, msg: &FleetMsg, bytes: usize) {
        let kind = match msg {
            FleetMsg::Heartbeat(_) => MESSAGE_KINDS[0],
            FleetMsg::Contacts(_) => MESSAGE_KINDS[1],
            FleetMsg::Log(_) => MESSAGE_KINDS[2],
            FleetMsg::Keeper(_) => MESSAGE_KINDS[3],
            FleetMsg::Workers(_) => MESSAGE_KINDS[4],
            FleetMsg::Config(_) => MESSAGE_KINDS[5],
            FleetMsg::Work(_) => MESSAGE_KINDS[6],
            FleetMsg::Learned(_) => MESSAGE_KINDS[7],
            FleetMsg::Crashes(_) | FleetMsg::ProbeQueues(_) => MESSAGE_KINDS[8],
        };
        self.messages.with_label_values(&[kind]).inc();
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.message_bytes.with_label_values(&[kind]).inc_by(bytes);
    }

    /// Messages to other processes and their bytes so far, by kind.
    pub(crate) fn traffic(&self) -> BTreeMap<String, (u64, u64)> {
        let kinds = MESSAGE_KINDS.iter().map(|kind| {
            let count = self.messages.with_label_values(&[*kind]).get();
            let bytes = self.message_bytes.with_label_values(&[*kind]).get();
            ((*kind).to_owned(), (count, bytes))
        });
        kinds.filter(|(_, (count, _))| *count > 0).collect()
    }

    /// A worker is called.
    pub(crate) fn worker_called(&self, request: &Request) {
        let kind = match request {
            Request::Start { .. } => "start",
            Request::Stop { .. } => "stop",
            Request::Poll { .. } => "look",
        };
        self.worker_calls.with_label_values(&[kind]).inc();
    }

    /// A message of the configuration is sent.
    pub(crate) fn config_sent(&self, msg: &ConfigMsg) {
        if let ConfigMsg::Chunk(piece) = msg {
            self.document_bytes.inc_by(piece.bytes.len() as u64);
            if piece.offset == 0 {
                self.documents.inc();
            }
        }
    }

    pub(crate) fn config_sync_event(&self, event: &ConfigSyncEvent) {
        if let ConfigSyncEvent::DocumentWhole { took, .. } = event {
            let took = Duration::from_millis((*took).into());
            self.document_seconds.observe(took.as_secs_f64());
        }
    }

    /// All figures as text.
    pub(crate) fn text(&self) -> String {
        self.meter.encode().unwrap_or_else(|error| {
            log::error!("metrics: Cannot be written: {error}.");
            String::new()
        })
    }
}

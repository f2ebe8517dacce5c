//! Figures of a process, as text for whoever collects them.

use std::time::Duration;

use celerywinch_metrics::Meter;
use celerywinch_origin::JobNote;
use celerywinch_pool::Note;
use celerywinch_types::JobEnd;
use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge};

/// Bounds of the time to an answer, in seconds: objectives are 0.1 to a few s.
const JOB_SECONDS: &[f64] = &[0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0];

/// Counters, gauges and a histogram; every clone counts into the same ones.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    meter: Meter,
    jobs: IntCounterVec,
    job_seconds: Histogram,
    runs: IntCounterVec,
    refused: IntCounter,
    moved: IntCounter,
    aside: IntCounter,
    gone: IntCounterVec,
    changes: IntCounter,
    pub(crate) peers: IntGauge,
    pub(crate) workers: IntGauge,
    pub(crate) open_jobs: IntGauge,
    pub(crate) version: IntGauge,
}

impl Metrics {
    pub(crate) fn new() -> anyhow::Result<Self> {
        let meter = Meter::new()?;
        Ok(Self {
            jobs: meter.family("jobs_total", "Jobs answered here, by their end.", "end")?,
            job_seconds: meter.histogram(
                "job_seconds",
                "Seconds from arrival to answer.",
                JOB_SECONDS,
            )?,
            runs: meter.family("runs_total", "Runs that ended, by how.", "how")?,
            refused: meter.counter("refused_total", "Jobs refused by this dispatcher.")?,
            moved: meter.counter("moved_total", "Runs stopped for too little progress.")?,
            aside: meter.counter("aside_total", "Times a worker was set aside.")?,
            gone: meter.family(
                "workers_gone_total",
                "Workers that are gone, by how it is known.",
                "why",
            )?,
            changes: meter.counter("changes_total", "Domains acquired or resigned here.")?,
            peers: meter.gauge("peers", "Processes that are heard.")?,
            workers: meter.gauge("workers", "Workers that obey this dispatcher.")?,
            open_jobs: meter.gauge("open_jobs", "Jobs of callers that are open.")?,
            version: meter.gauge("version", "Version of the configuration in force.")?,
            meter,
        })
    }

    pub(crate) fn dispatched(&self, note: &Note) {
        match note {
            Note::RunEnded { how, .. } => self.runs.with_label_values(&[*how]).inc(),
            Note::Refused { .. } => self.refused.inc(),
            Note::Moved { .. } => self.moved.inc(),
            Note::WorkerAside { .. } => self.aside.inc(),
            Note::WorkerGone { why, .. } => self.gone.with_label_values(&[why.label()]).inc(),
            Note::Acquired { .. } | Note::Resigned { .. } => self.changes.inc(),
            Note::Queued { .. }
            | Note::Passed { .. }
            | Note::HeldUp { .. }
            | Note::GrantOver { .. }
            | Note::Started { .. }
            | Note::WorkerSilent { .. }
            | Note::WorkerHeld { .. } => {}
        }
    }

    pub(crate) fn answered(&self, note: &JobNote) {
        if let JobNote::Answered { end, took, .. } = note {
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

    /// All figures as text.
    pub(crate) fn text(&self) -> String {
        self.meter.text().unwrap_or_else(|error| {
            log::error!("metrics: Cannot be written: {error}.");
            String::new()
        })
    }
}

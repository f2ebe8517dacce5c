//! Metrics of a process.

use celerywinch_entry::{Event, Status};
use celerywinch_metrics::Meter;
use prometheus::{IntCounter, IntCounterVec, IntGauge};

/// Counters and gauges; every clone counts into the same ones.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    meter: Meter,
    events: IntCounterVec,
    outcomes: IntCounterVec,
    violations: IntCounterVec,
    pub(crate) peer_messages: IntCounter,
    pub(crate) peer_bytes: IntCounter,
    pub(crate) peer_received: IntCounter,
    pub(crate) endpoint_calls: IntCounter,
    pub(crate) rejected: IntCounterVec,
    open: IntGauge,
    queued: IntGauge,
    endpoints: IntGauge,
    suspended: IntGauge,
    records: IntGauge,
    catalogue: IntGauge,
}

impl Metrics {
    pub(crate) fn new() -> anyhow::Result<Self> {
        let meter = Meter::new()?;
        Ok(Self {
            events: meter.counter_vec(
                "events_total",
                "Events of the time line by name.",
                "event",
            )?,
            outcomes: meter.counter_vec("outcomes_total", "Outcomes decided here.", "outcome")?,
            violations: meter.counter_vec(
                "violations_total",
                "Assertions that failed.",
                "invariant",
            )?,
            rejected: meter.counter_vec("rejected_total", "Bad requests by filter.", "filter")?,
            peer_messages: meter.counter("peer_messages_sent_total", "Messages to instances.")?,
            peer_bytes: meter
                .counter("peer_bytes_sent_total", "Bytes of messages to instances.")?,
            peer_received: meter
                .counter("peer_messages_received_total", "Messages of instances.")?,
            endpoint_calls: meter.counter("endpoint_calls_total", "Tasks sent to endpoints.")?,
            open: meter.gauge("open_jobs", "Submissions without an outcome.")?,
            queued: meter.gauge("queued_tasks", "Tasks that wait for a slot.")?,
            endpoints: meter.gauge("endpoints", "Endpoints known.")?,
            suspended: meter.gauge(
                "endpoints_suspended",
                "Endpoints set aside or on probation.",
            )?,
            records: meter.gauge("claim_records", "Keys remembered by the replicas here.")?,
            catalogue: meter.gauge("catalogue_version", "Version of the catalogue in force.")?,
            meter,
        })
    }

    pub(crate) fn event(&self, event: &Event) {
        let name = event.name();
        self.events.with_label_values(&[name]).inc();
        match event {
            Event::Outcome { outcome, .. } => {
                self.outcomes.with_label_values(&[outcome.as_str()]).inc();
            }
            Event::Violation { invariant, detail } => {
                let name = format!("{invariant:?}");
                self.violations.with_label_values(&[name.as_str()]).inc();
                log::error!("entry: Invariant {name} failed: {detail}.");
            }
            _ => {}
        }
    }

    pub(crate) fn text(&self, status: &Status) -> anyhow::Result<String> {
        let set = |gauge: &IntGauge, value: usize| gauge.set(i64::try_from(value).unwrap_or(0));
        set(&self.open, status.open_jobs);
        set(&self.queued, status.queued_tasks);
        set(&self.endpoints, status.endpoints);
        set(&self.suspended, status.suspended);
        set(&self.records, status.claim_records);
        self.catalogue
            .set(i64::try_from(status.catalogue_version).unwrap_or(0));
        Ok(self.meter.encode()?)
    }
}

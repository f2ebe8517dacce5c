//! The metrics of a process.

use celerywinch_entry::{Event, Status};
use celerywinch_http::CloseReason;
use celerywinch_metrics::Meter;
use prometheus::{IntCounter, IntCounterVec, IntGauge, IntGaugeVec};

/// Counters and gauges; all clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    meter: Meter,
    events: IntCounterVec,
    outcomes: IntCounterVec,
    violations: IntCounterVec,
    pub(crate) messages_sent: IntCounter,
    pub(crate) bytes_sent: IntCounter,
    pub(crate) messages_received: IntCounter,
    pub(crate) endpoint_calls: IntCounter,
    pub(crate) rejected: IntCounterVec,
    open_jobs: IntGauge,
    queued_tasks: IntGauge,
    endpoints: IntGauge,
    suspended: IntGauge,
    claim_records: IntGauge,
    catalogue_version: IntGauge,
    pub(crate) client_connections: IntGaugeVec,
    pub(crate) client_memory: IntGauge,
    closed_connections: IntCounterVec,
}

impl Metrics {
    pub(crate) fn new() -> anyhow::Result<Self> {
        let meter = Meter::new()?;
        Ok(Self {
            events: meter.counter_vec(
                "events_total",
                "Events of the time line, by name.",
                "event",
            )?,
            outcomes: meter.counter_vec(
                "outcomes_total",
                "Outcomes decided at this instance.",
                "outcome",
            )?,
            violations: meter.counter_vec(
                "violations_total",
                "Invariants found violated.",
                "invariant",
            )?,
            rejected: meter.counter_vec(
                "rejected_total",
                "Invalid requests, by the filter that rejected them.",
                "filter",
            )?,
            messages_sent: meter.counter(
                "peer_messages_sent_total",
                "Messages sent to other instances.",
            )?,
            bytes_sent: meter.counter(
                "peer_bytes_sent_total",
                "Bytes of messages sent to other instances.",
            )?,
            messages_received: meter.counter(
                "peer_messages_received_total",
                "Messages received from other instances.",
            )?,
            endpoint_calls: meter.counter("endpoint_calls_total", "Tasks sent to endpoints.")?,
            open_jobs: meter.gauge("open_jobs", "Submissions without an outcome.")?,
            queued_tasks: meter.gauge("queued_tasks", "Tasks that wait for a slot.")?,
            endpoints: meter.gauge("endpoints", "Endpoints known.")?,
            suspended: meter.gauge(
                "endpoints_suspended",
                "Endpoints in quarantine or on probation.",
            )?,
            claim_records: meter.gauge(
                "claim_records",
                "Keys recorded by the replicas of this instance.",
            )?,
            catalogue_version: meter
                .gauge("catalogue_version", "Version of the catalogue in force.")?,
            client_connections: meter.gauge_vec(
                "client_connections",
                "Open connections of clients, by listener.",
                "listener",
            )?,
            client_memory: meter.gauge(
                "client_memory_bytes",
                "Memory accounted to connections of clients, in bytes.",
            )?,
            closed_connections: meter.counter_vec(
                "closed_connections_total",
                "Connections closed and requests refused to stay within the limits, by reason.",
                "reason",
            )?,
            meter,
        })
    }

    /// Counts connections that were closed, and requests that were refused, to stay within the limits.
    pub(crate) fn count_closed(&self, reason: CloseReason, count: u64) {
        let closed = &self.closed_connections;
        closed.with_label_values(&[reason.label()]).inc_by(count);
    }

    /// Counts an event; logs a violated invariant.
    pub(crate) fn record_event(&self, event: &Event) {
        let name = event.name();
        self.events.with_label_values(&[name]).inc();
        match event {
            Event::Outcome { outcome, .. } => {
                self.outcomes.with_label_values(&[outcome.as_str()]).inc();
            }
            Event::Violation { invariant, detail } => {
                let name = format!("{invariant:?}");
                self.violations.with_label_values(&[name.as_str()]).inc();
                log::error!("entry: Invariant {name} violated: {detail}.");
            }
            _ => {}
        }
    }

    /// Sets the gauges from `status` and encodes all metrics as text.
    pub(crate) fn encode(&self, status: &Status) -> anyhow::Result<String> {
        let set = |gauge: &IntGauge, value: usize| gauge.set(i64::try_from(value).unwrap_or(0));
        set(&self.open_jobs, status.open_jobs);
        set(&self.queued_tasks, status.queued_tasks);
        set(&self.endpoints, status.endpoints);
        set(&self.suspended, status.suspended);
        set(&self.claim_records, status.claim_records);
        self.catalogue_version
            .set(i64::try_from(status.catalogue_version).unwrap_or(0));
        Ok(self.meter.encode()?)
    }
}

//! Runs a scenario: starts a cluster, submits the load in an open loop, and collects metrics.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};

use celerywinch_dispatch::Policy;
use celerywinch_standin::generate_key;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::ideal::simulate_central_queue;
use super::load::{Arrival, LoadPlan, draw_arrivals};
use super::scenario::Scenario;
use super::usage::thread_cpu_seconds;
use crate::cluster::Cluster;
use crate::deployment::Deployment;

/// Number of slots of every endpoint.
const SLOTS: usize = 8;
/// Histograms store ratios in thousandths.
const RATIO_SCALE: f64 = 1000.0;
/// The highest ratio that histograms store, in thousandths; higher ones are recorded as this.
const MAX_SCALED_RATIO: u64 = 1_000_000;

/// Options of a run.
#[derive(Clone, Copy)]
pub struct BenchOptions {
    /// The deployment.
    pub deployment: Deployment,
    /// The scenario.
    pub scenario: Scenario,
    /// The policy by which entries choose endpoints.
    pub policy: Policy,
    /// The seed from which the load is drawn.
    pub seed: u64,
    /// Time during which callers submit.
    pub duration: Duration,
}

/// Metrics of one run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RunMetrics {
    /// Number of submissions.
    pub submitted: u64,
    /// Submissions that were answered on time.
    pub answered: u64,
    /// Submissions that were answered after the deadline.
    pub late: u64,
    /// Submissions that failed.
    pub failed: u64,
    /// Submissions that were refused, of which no task was run.
    pub refused: u64,
    /// Submissions whose outcome was undecided, or that got no reply.
    pub undecided: u64,
    /// Response time divided by the run time of the longest task: p50, p99, p99.9.
    pub ratio: [f64; 3],
    /// The same ratios, computed for one ideal central queue.
    pub ideal_ratio: [f64; 3],
    /// Time until a refusal arrived, in milliseconds: p50, p99.
    pub refusal_ms: [f64; 2],
    /// Task starts at endpoints.
    pub starts: u64,
    /// Tasks of the submissions that were answered on time.
    pub useful: u64,
    /// Tasks that endpoints refused because all slots were in use.
    #[serde(rename = "full")]
    pub refused_full: u64,
    /// Tasks that endpoints refused because they were leaving.
    #[serde(rename = "leaving")]
    pub refused_leaving: u64,
    /// Tasks whose result came after the deadline.
    pub late_tasks: u64,
    /// Tasks that were started more than once.
    #[serde(rename = "doubled")]
    pub duplicate_starts: u64,
    /// Violations of invariants that the entries reported.
    pub violations: u64,
    /// Messages between entries per task start.
    pub peer_messages: f64,
    /// Bytes between entries per task start.
    pub peer_bytes: f64,
    /// Processor time of the core threads per task start, in microseconds.
    pub core_us: f64,
    /// Submissions that were answered on time, by the tenth of the run in which they were sent.
    pub answered_by_tenth: [u64; 10],
    /// Submissions in each tenth of the run.
    pub submitted_by_tenth: [u64; 10],
}

/// The metrics of one run with its options.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunResult {
    /// The deployment.
    pub deployment: String,
    /// The scenario.
    pub scenario: String,
    /// The policy by which entries chose endpoints.
    pub policy: String,
    /// The seed of the load.
    pub seed: u64,
    /// Time during which callers submitted, in seconds.
    pub seconds: f64,
    /// The metrics.
    #[serde(rename = "figures")]
    pub metrics: RunMetrics,
}

struct Tally {
    metrics: RunMetrics,
    ratios: Histogram<u64>,
    refusals: Histogram<u64>,
}

/// Runs one scenario under one policy.
///
/// # Errors
///
/// The cluster cannot be started or does not answer.
pub async fn run(options: BenchOptions) -> anyhow::Result<RunResult> {
    let endpoints = options.deployment.endpoints;
    let cluster = Cluster::start(&options.deployment, endpoints, None, options.policy).await?;
    let arrivals = draw_arrivals(LoadPlan {
        seed: options.seed,
        duration: options.duration,
        dcs: options.deployment.dcs,
        slots: endpoints * SLOTS,
        load: options.scenario.load,
    });
    let tally = Rc::new(RefCell::new(Tally::new()?));
    let before = traffic(&cluster).await?;
    let core_before = thread_cpu_seconds("core-");
    submit_all(&cluster, &options, &arrivals, &tally).await;
    let core_after = thread_cpu_seconds("core-");
    let after = traffic(&cluster).await?;
    let mut metrics = tally.borrow().metrics();
    let log = cluster.fleet.execution_log();
    metrics.starts = log.started.load(Relaxed);
    metrics.refused_full = log.refused_full.load(Relaxed);
    metrics.refused_leaving = log.refused_leaving.load(Relaxed);
    metrics.late_tasks = log.late.load(Relaxed);
    metrics.duplicate_starts = log.duplicate_starts().len() as u64;
    metrics.violations = cluster.violations().await?;
    let starts = metrics.starts.max(1) as f64;
    metrics.peer_messages = (after.0 - before.0) / starts;
    metrics.peer_bytes = (after.1 - before.1) / starts;
    metrics.core_us = (core_after - core_before) * 1e6 / starts;
    metrics.ideal_ratio = quantiles(&simulate_central_queue(&arrivals, endpoints * SLOTS));
    cluster.stop().await?;
    Ok(RunResult {
        deployment: options.deployment.name.into(),
        scenario: options.scenario.name.into(),
        policy: format!("{:?}", options.policy),
        seed: options.seed,
        seconds: options.duration.as_secs_f64(),
        metrics,
    })
}

/// Returns the messages and the bytes that the entries have sent to each other.
async fn traffic(cluster: &Cluster) -> anyhow::Result<(f64, f64)> {
    let mut sums = (0.0, 0.0);
    for index in 0..cluster.nodes.len() {
        let metrics = cluster.metrics(index).await?;
        let get = |name: &str| metrics.get(name).copied().unwrap_or(0.0);
        sums.0 += get("celerywinch_peer_messages_sent_total");
        sums.1 += get("celerywinch_peer_bytes_sent_total");
    }
    Ok(sums)
}

/// Submits each arrival at its scheduled time, without waiting for earlier responses. Response times
/// count from the scheduled time, so a stall of the load generator is included in them (no coordinated omission).
async fn submit_all(
    cluster: &Cluster,
    options: &BenchOptions,
    arrivals: &[Arrival],
    tally: &Rc<RefCell<Tally>>,
) {
    let kinds = kinds(options.deployment);
    let teams = teams(options.deployment);
    let started_at = Instant::now();
    let mut tenth = 0;
    let mut running = Vec::new();
    for (number, arrival) in arrivals.iter().enumerate() {
        let wait = arrival.at.saturating_sub(started_at.elapsed());
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        let current_tenth = tenth_of(arrival, options.duration);
        while tenth <= current_tenth {
            (options.scenario.inject_faults)(tenth, &cluster.fleet);
            tenth += 1;
        }
        let kind = kinds[number % kinds.len()].clone();
        let team = teams[arrival.team % teams.len()].clone();
        let task = submit(
            cluster,
            arrival.clone(),
            (kind, team),
            (started_at, current_tenth),
            tally.clone(),
        );
        running.push(tokio::task::spawn_local(task));
    }
    for task in running {
        let _ = task.await;
    }
}

/// Returns the tenth of the run, 0 to 9, in which an arrival is due.
fn tenth_of(arrival: &Arrival, duration: Duration) -> usize {
    let share = arrival.at.as_secs_f64() / duration.as_secs_f64();
    ((share * 10.0) as usize).min(9)
}

/// Returns the kinds that allow the largest jobs of the load.
fn kinds(deployment: Deployment) -> Vec<String> {
    let document = deployment.document().unwrap_or_default();
    let large = document
        .kinds
        .iter()
        .filter(|(_, kind)| kind.max_tasks >= 240);
    large.map(|(name, _)| name.clone()).collect()
}

fn teams(deployment: Deployment) -> Vec<String> {
    let document = deployment.document().unwrap_or_default();
    document.teams.keys().cloned().collect()
}

fn submit(
    cluster: &Cluster,
    arrival: Arrival,
    work: (String, String),
    times: (Instant, usize),
    tally: Rc<RefCell<Tally>>,
) -> impl Future<Output = ()> + 'static {
    let key = generate_key(Some(cluster.dc_name(arrival.entry)));
    let entry = cluster.caller_addr(arrival.entry);
    let caller = cluster.caller.clone();
    let (kind, team) = work;
    let (started_at, tenth) = times;
    async move {
        let tasks: Vec<_> = arrival
            .run_ms
            .iter()
            .map(|ms| json!({ "run_ms": ms }))
            .collect();
        let body = json!({
            "kind": kind,
            "team": team,
            "deadline_ms": arrival.deadline.as_millis(),
            "tasks": tasks,
        });
        let sent = caller.post(entry, "/v1/submit", Some(&key), &body, arrival.deadline);
        let response = sent.await;
        let elapsed = started_at.elapsed().saturating_sub(arrival.at);
        tally
            .borrow_mut()
            .record(&arrival, tenth, elapsed, response.ok());
    }
}

impl Tally {
    fn new() -> anyhow::Result<Self> {
        Ok(Self {
            metrics: RunMetrics::default(),
            ratios: Histogram::new_with_bounds(1, MAX_SCALED_RATIO, 3)?,
            refusals: Histogram::new_with_bounds(1, 60_000_000, 3)?,
        })
    }

    /// Records the outcome of an arrival; `None` if there was no response.
    fn record(
        &mut self,
        arrival: &Arrival,
        tenth: usize,
        elapsed: Duration,
        response: Option<celerywinch_standin::Response>,
    ) {
        let metrics = &mut self.metrics;
        metrics.submitted += 1;
        metrics.submitted_by_tenth[tenth] += 1;
        let outcome = response.as_ref().map_or("none", |r| r.outcome());
        match outcome {
            "answer" if elapsed <= arrival.deadline => {
                metrics.answered += 1;
                metrics.answered_by_tenth[tenth] += 1;
                metrics.useful += arrival.run_ms.len() as u64;
                let longest = arrival.run_ms.iter().copied().fold(0.0, f64::max);
                let ratio = elapsed.as_secs_f64() * 1000.0 / longest;
                self.ratios.saturating_record((ratio * RATIO_SCALE) as u64);
            }
            "answer" => metrics.late += 1,
            "failure" => metrics.failed += 1,
            "refusal" => {
                metrics.refused += 1;
                let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
                self.refusals.saturating_record(micros);
            }
            _ => metrics.undecided += 1,
        }
    }

    fn metrics(&self) -> RunMetrics {
        let ratio = |q: f64| self.ratios.value_at_quantile(q) as f64 / RATIO_SCALE;
        let refusal = |q: f64| self.refusals.value_at_quantile(q) as f64 / 1000.0;
        RunMetrics {
            ratio: [ratio(0.5), ratio(0.99), ratio(0.999)],
            refusal_ms: [refusal(0.5), refusal(0.99)],
            ..self.metrics.clone()
        }
    }
}

/// Returns p50, p99 and p99.9; 0 if there are no values.
fn quantiles(values: &[f64]) -> [f64; 3] {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = |q: f64| {
        let index = (sorted.len() as f64 * q) as usize;
        sorted
            .get(index.min(sorted.len().saturating_sub(1)))
            .copied()
    };
    [0.5, 0.99, 0.999].map(|q| at(q).unwrap_or(0.0))
}

/// Formats runs as a table, one row for each.
#[must_use]
pub fn table(results: &[RunResult]) -> String {
    let mut text = format!(
        "{:<11} {:<17} {:>6} {:>6} {:>5} {:>6} {:>7} {:>5} {:>23} {:>23} {:>13} {:>6} {:>7} {:>6}\n",
        "scenario",
        "policy",
        "subm.",
        "on time",
        "late",
        "failed",
        "refused",
        "undec",
        "ratio p50/p99/p99.9",
        "ideal queue",
        "refusal p50/99",
        "wasted",
        "core us",
        "double"
    );
    for result in results {
        let f = &result.metrics;
        let wasted = (f.starts + f.refused_full + f.refused_leaving).saturating_sub(f.useful);
        let wasted = wasted as f64 * 100.0 / f.useful.max(1) as f64;
        text.push_str(&format!(
            "{:<11} {:<17} {:>6} {:>6} {:>5} {:>6} {:>7} {:>5} {:>7.3} {:>7.3} {:>7.3} {:>7.3} {:>7.3} {:>7.3} {:>6.1} {:>6.1} {:>5.2}% {:>7.1} {:>6}\n",
            result.scenario, result.policy, f.submitted, f.answered, f.late, f.failed, f.refused,
            f.undecided, f.ratio[0], f.ratio[1], f.ratio[2], f.ideal_ratio[0], f.ideal_ratio[1],
            f.ideal_ratio[2], f.refusal_ms[0], f.refusal_ms[1], wasted, f.core_us, f.duplicate_starts + f.violations,
        ));
    }
    text
}

//! Measures the latency that a call through an entry adds to the same call made directly to an endpoint.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use celerywinch_client::{Client, read_response};
use celerywinch_dispatch::Policy;
use celerywinch_standin::generate_key;
use ntex::http::Method;
use serde_json::json;

use super::Row;
use crate::bench::thread_cpu_seconds;
use crate::cluster::Cluster;
use crate::deployment::{CONDOR, Deployment};

/// Duration of each load, and of the part at its start that is not counted.
const LOAD_TIME: Duration = Duration::from_secs(4);
const WARM_UP: Duration = Duration::from_secs(1);
/// Run time of each task, in milliseconds.
const RUN_MS: u64 = 20;
/// Number of endpoints, enough for a thousand tasks at once.
const ENDPOINTS: usize = 130;
/// Number of tasks of the large jobs.
const JOB_TASKS: usize = 240;

type Times = Rc<RefCell<Vec<Duration>>>;

pub(super) async fn measure() -> anyhow::Result<Vec<Row>> {
    let deployment = Deployment {
        dcs: &[("a", 3)],
        ..CONDOR
    };
    let cluster = Cluster::start(&deployment, ENDPOINTS, None, Policy::default()).await?;
    let mut rows = Vec::new();
    for concurrency in [1_usize, 64, 600] {
        let direct_times = run_closed_loop(&cluster, concurrency, None).await?;
        let routed_times = run_closed_loop(&cluster, concurrency, Some(1)).await?;
        let sizes = format!("{concurrency} in flight, tasks of {RUN_MS} ms, 3 entries");
        for (name, q) in [("p50", 0.5), ("p99", 0.99)] {
            let (direct_ms, routed_ms) = (quantile(&direct_times, q), quantile(&routed_times, q));
            let measure = if name == "p50" {
                "added to a direct call, p50"
            } else {
                "added to a direct call, p99"
            };
            rows.push(Row::new(
                measure,
                format!("{sizes}; direct {direct_ms:.2} ms"),
                routed_ms - direct_ms,
                "ms",
            ));
        }
    }
    let before = thread_cpu_seconds("core-");
    let started_at = Instant::now();
    let job_times = run_closed_loop(&cluster, 4, Some(JOB_TASKS)).await?;
    let core_seconds = thread_cpu_seconds("core-") - before;
    let starts = (job_times.len() * JOB_TASKS) as f64 * LOAD_TIME.as_secs_f64()
        / (LOAD_TIME - WARM_UP).as_secs_f64();
    let sizes = format!("jobs of {JOB_TASKS}, 4 at a time, 3 entries");
    let rate = starts / started_at.elapsed().as_secs_f64();
    rows.push(Row::new(
        "task starts in a second",
        sizes.clone(),
        rate,
        "1/s",
    ));
    rows.push(Row::new(
        "core threads for a task start",
        sizes,
        core_seconds * 1e6 / starts,
        "us",
    ));
    cluster.stop().await?;
    Ok(rows)
}

/// Runs a closed loop with `concurrency` requests in flight and returns their sorted response times. Requests go
/// directly to endpoints, or with `tasks` to entries as jobs of so many tasks.
async fn run_closed_loop(
    cluster: &Cluster,
    concurrency: usize,
    tasks: Option<usize>,
) -> anyhow::Result<Vec<Duration>> {
    let client = Client::new(None).await?;
    let times: Times = Rc::default();
    let started_at = Instant::now();
    let workers = (0..concurrency).map(|worker| {
        let target = match tasks {
            Some(_) => cluster.caller_addr(worker % cluster.nodes.len()),
            None => cluster.fleet.addrs()[worker % ENDPOINTS],
        };
        let (client, times) = (client.clone(), times.clone());
        async move {
            while started_at.elapsed() < LOAD_TIME {
                let sent_at = Instant::now();
                let ok = send_request(&client, target, tasks).await;
                if ok && sent_at.duration_since(started_at) > WARM_UP {
                    times.borrow_mut().push(sent_at.elapsed());
                }
            }
        }
    });
    futures_util::future::join_all(workers).await;
    let mut times = times.take();
    anyhow::ensure!(!times.is_empty(), "no request succeeded after the warm-up");
    times.sort_unstable();
    Ok(times)
}

/// Sends one request; returns whether it succeeded.
async fn send_request(client: &Client, target: SocketAddr, tasks: Option<usize>) -> bool {
    let key = generate_key(Some("a"));
    let body = json!({ "run_ms": RUN_MS });
    let response = match tasks {
        None => {
            let request = client.request(Method::POST, target, "/v1/run");
            let request = request
                .header("celerywinch-key", key)
                .header("celerywinch-task", "0")
                .header("celerywinch-remaining-ms", "5000");
            read_response(request.send_json(&body).await).await
        }
        Some(count) => {
            let request = client.request(Method::POST, target, "/v1/submit");
            let request = request.header("idempotency-key", key);
            let job = json!({
                "kind": "price-check",
                "deadline_ms": 5000,
                "tasks": vec![body; count],
            });
            read_response(request.send_json(&job).await).await
        }
    };
    response.is_ok_and(|response| response.status == 200)
}

/// Returns a quantile of sorted times, in milliseconds.
fn quantile(sorted: &[Duration], q: f64) -> f64 {
    let index = (sorted.len() as f64 * q) as usize;
    sorted[index.min(sorted.len() - 1)].as_secs_f64() * 1000.0
}

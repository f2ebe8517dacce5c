//! What the whole path adds to the same call made directly.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use celerywinch_client::{Client, read_response};
use celerywinch_dispatch::Policy;
use celerywinch_standin::fresh_key;
use ntex::http::Method;
use serde_json::json;

use super::Row;
use crate::bench::thread_cpu_seconds;
use crate::cluster::Cluster;
use crate::deployment::{CONDOR, Deployment};

/// How long each load lasts, and the part at its start that is not counted.
const SPAN: Duration = Duration::from_secs(4);
const WARM_UP: Duration = Duration::from_secs(1);
/// How long each task runs.
const RUN_MS: u64 = 20;
/// Endpoints, enough for a thousand tasks at once.
const ENDPOINTS: usize = 130;
/// Tasks of the larger jobs.
const LARGE: usize = 240;

type Times = Rc<RefCell<Vec<Duration>>>;

pub(super) async fn measure() -> anyhow::Result<Vec<Row>> {
    let deployment = Deployment {
        dcs: &[("a", 3)],
        ..CONDOR
    };
    let cluster = Cluster::start(&deployment, ENDPOINTS, None, Policy::default()).await?;
    let mut rows = Vec::new();
    for width in [1_usize, 64, 600] {
        let direct = closed_loop(&cluster, width, None).await?;
        let through = closed_loop(&cluster, width, Some(1)).await?;
        let sizes = format!("{width} in flight, tasks of {RUN_MS} ms, 3 entries");
        for (name, q) in [("p50", 0.5), ("p99", 0.99)] {
            let (near, far) = (quantile(&direct, q), quantile(&through, q));
            let measure = if name == "p50" {
                "added to a direct call, p50"
            } else {
                "added to a direct call, p99"
            };
            rows.push(Row::new(
                measure,
                format!("{sizes}; direct {near:.2} ms"),
                far - near,
                "ms",
            ));
        }
    }
    let before = thread_cpu_seconds("core-");
    let began = Instant::now();
    let jobs = closed_loop(&cluster, 4, Some(LARGE)).await?;
    let core = thread_cpu_seconds("core-") - before;
    let starts = (jobs.len() * LARGE) as f64 * SPAN.as_secs_f64() / (SPAN - WARM_UP).as_secs_f64();
    let sizes = format!("jobs of {LARGE}, 4 at a time, 3 entries");
    let rate = starts / began.elapsed().as_secs_f64();
    rows.push(Row::new(
        "task starts in a second",
        sizes.clone(),
        rate,
        "1/s",
    ));
    rows.push(Row::new(
        "core threads for a task start",
        sizes,
        core * 1e6 / starts,
        "us",
    ));
    cluster.stop().await?;
    Ok(rows)
}

/// Keeps `width` requests under way; each goes to an endpoint, or as a job of `tasks` to an entry.
async fn closed_loop(
    cluster: &Cluster,
    width: usize,
    tasks: Option<usize>,
) -> anyhow::Result<Vec<Duration>> {
    let client = Client::new(None).await?;
    let times: Times = Rc::default();
    let began = Instant::now();
    let workers = (0..width).map(|worker| {
        let target = match tasks {
            Some(_) => cluster.caller_addr(worker % cluster.nodes.len()),
            None => cluster.fleet.addrs()[worker % ENDPOINTS],
        };
        let (client, times) = (client.clone(), times.clone());
        async move {
            while began.elapsed() < SPAN {
                let sent = Instant::now();
                let good = call(&client, target, tasks).await;
                if good && sent.duration_since(began) > WARM_UP {
                    times.borrow_mut().push(sent.elapsed());
                }
            }
        }
    });
    futures_util::future::join_all(workers).await;
    let mut times = times.take();
    anyhow::ensure!(!times.is_empty(), "nothing was answered");
    times.sort_unstable();
    Ok(times)
}

async fn call(client: &Client, target: SocketAddr, tasks: Option<usize>) -> bool {
    let key = fresh_key(Some("a"));
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

fn quantile(sorted: &[Duration], q: f64) -> f64 {
    let index = (sorted.len() as f64 * q) as usize;
    sorted[index.min(sorted.len() - 1)].as_secs_f64() * 1000.0
}

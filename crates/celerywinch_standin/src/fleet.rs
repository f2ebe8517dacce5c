//! Fake endpoints: one HTTP server for all of them; the `Host` header of a request selects the endpoint.

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::Context;
use ntex::client::Client;
use ntex::http::{HttpServiceConfig, KeepAlive};
use ntex::server::Server;
use ntex::time::{Millis, Seconds, sleep};
use ntex::util::Bytes;
use ntex::web::types::State;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer};
use serde::Deserialize;
use serde_json::json;

use crate::ExecutionLog;

/// Keep-alive time of idle connections; longer than that of the entries, so that the entries close first.
const KEEP_ALIVE_TIMEOUT: Seconds = Seconds(30);
/// Interval at which a running task checks whether it was cancelled.
const CANCEL_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Interval between two announcements of an endpoint.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit for one announcement request.
const ANNOUNCE_TIMEOUT: Millis = Millis(400);

/// How an endpoint processes tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mode {
    /// Runs tasks as their bodies specify.
    Work = 0,
    /// Answers every task with an error at once.
    Fail = 1,
    /// Runs tasks ten times as long as specified.
    Slow = 2,
    /// Closes the connection without an answer after recording the start of the task.
    Drop = 3,
}

/// Configuration of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointPlan {
    /// Data centre of the endpoint.
    pub dc: String,
    /// Rack of the endpoint.
    pub rack: String,
    /// Task kinds that the endpoint serves.
    pub kinds: Vec<String>,
    /// Number of tasks that the endpoint runs concurrently.
    pub slots: u16,
}

/// Configuration of a [`Fleet`].
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The endpoints to start.
    pub endpoints: Vec<EndpointPlan>,
    /// Entries by data centre, to which its endpoints send their announcements in turn.
    pub entries: HashMap<String, Vec<SocketAddr>>,
    /// Number of server threads.
    pub threads: usize,
}

#[derive(Debug)]
struct Endpoint {
    plan: EndpointPlan,
    addr: SocketAddr,
    incarnation: u64,
    sequence: AtomicU64,
    running: AtomicUsize,
    mode: AtomicU8,
    leaving: AtomicBool,
    announce_stopped: AtomicBool,
}

#[derive(Debug)]
struct Inner {
    endpoints: HashMap<SocketAddr, Arc<Endpoint>>,
    addrs: Vec<SocketAddr>,
    execution_log: Arc<ExecutionLog>,
    cancelled: Mutex<HashSet<(String, u32)>>,
    entries: HashMap<String, Vec<SocketAddr>>,
}

/// A set of running fake endpoints.
pub struct Fleet {
    inner: Arc<Inner>,
    server: Server,
}

impl Fleet {
    /// Starts the endpoints on ports chosen by the operating system, and their announcements. Must be called
    /// within an `ntex` system.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound.
    pub fn start(plan: FleetPlan) -> anyhow::Result<Self> {
        let mut listeners = Vec::new();
        let mut endpoints = HashMap::new();
        let mut addrs = Vec::new();
        for endpoint in plan.endpoints {
            let listener =
                TcpListener::bind("127.0.0.1:0").context("stand-in: cannot bind a port")?;
            let addr = listener.local_addr()?;
            endpoints.insert(addr, Arc::new(Endpoint::new(endpoint, addr)));
            addrs.push(addr);
            listeners.push(listener);
        }
        let inner = Arc::new(Inner {
            endpoints,
            addrs,
            execution_log: Arc::default(),
            cancelled: Mutex::default(),
            entries: plan.entries,
        });
        let state = inner.clone();
        let mut server = HttpServer::new(async move || {
            App::new().state(state.clone()).service((
                web::resource("/v1/run").route(web::post().to(run)),
                web::resource("/v1/cancel").route(web::post().to(cancel)),
            ))
        });
        for listener in listeners {
            server = server.listen(listener)?;
        }
        let http = HttpServiceConfig::new().set_keepalive(KeepAlive::Timeout(KEEP_ALIVE_TIMEOUT));
        let server = server
            .config(ntex::SharedCfg::new("STANDIN").add(http))
            .workers(plan.threads.max(1))
            .disable_signals()
            .run();
        ntex::rt::spawn(announce_all(inner.clone()));
        Ok(Self { inner, server })
    }

    /// Returns the record of the requests that the endpoints received.
    #[must_use]
    pub fn execution_log(&self) -> Arc<ExecutionLog> {
        self.inner.execution_log.clone()
    }

    /// Returns the addresses of the endpoints, in the order of the plan.
    #[must_use]
    pub fn addrs(&self) -> &[SocketAddr] {
        &self.inner.addrs
    }

    /// Changes how an endpoint processes tasks.
    pub fn set_mode(&self, index: usize, mode: Mode) {
        self.endpoint(index)
            .mode
            .store(mode as u8, Ordering::Relaxed);
    }

    /// Makes the endpoint announce that it is leaving. It refuses new tasks from then on, and counts them in
    /// [`ExecutionLog::refused_leaving`].
    pub fn set_leaving(&self, index: usize) {
        self.endpoint(index).leaving.store(true, Ordering::Relaxed);
    }

    /// Makes the endpoint stop sending announcements.
    pub fn stop_announcing(&self, index: usize) {
        self.endpoint(index)
            .announce_stopped
            .store(true, Ordering::Relaxed);
    }

    /// Returns the number of tasks that are running on all endpoints.
    #[must_use]
    pub fn running_tasks(&self) -> usize {
        let endpoints = self.inner.endpoints.values();
        endpoints.map(|e| e.running.load(Ordering::Relaxed)).sum()
    }

    fn endpoint(&self, index: usize) -> &Endpoint {
        &self.inner.endpoints[&self.inner.addrs[index]]
    }

    /// Stops the endpoints at once, without waiting for running tasks.
    pub async fn stop(self) {
        self.server.stop(false).await;
    }
}

impl Endpoint {
    fn new(plan: EndpointPlan, addr: SocketAddr) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let millis = since.map_or(0, |span| span.as_millis());
        Self {
            plan,
            addr,
            incarnation: u64::try_from(millis).unwrap_or(0),
            sequence: AtomicU64::new(1),
            running: AtomicUsize::new(0),
            mode: AtomicU8::new(Mode::Work as u8),
            leaving: AtomicBool::new(false),
            announce_stopped: AtomicBool::new(false),
        }
    }

    fn mode(&self) -> Mode {
        match self.mode.load(Ordering::Relaxed) {
            1 => Mode::Fail,
            2 => Mode::Slow,
            3 => Mode::Drop,
            _ => Mode::Work,
        }
    }

    fn announcement(&self) -> serde_json::Value {
        let leaving = self.leaving.load(Ordering::Relaxed);
        json!({
            "addr": self.addr,
            "data_centre": self.plan.dc,
            "rack": self.plan.rack,
            "kinds": self.plan.kinds,
            "slots": self.plan.slots,
            "connections": 64,
            "state": if leaving { "leaving" } else { "serving" },
            "incarnation": self.incarnation,
            "sequence": self.sequence.fetch_add(1, Ordering::Relaxed),
        })
    }
}

/// The body of a task.
#[derive(Debug, Default, Deserialize)]
struct Script {
    /// Run time in ms.
    #[serde(default)]
    run_ms: f64,
    /// Whether the task fails.
    #[serde(default)]
    fail: bool,
    /// Returned with the result.
    #[serde(default)]
    echo: serde_json::Value,
}

/// An occupied slot; released on drop.
struct Slot(Arc<Endpoint>);

impl Slot {
    fn acquire(endpoint: &Arc<Endpoint>) -> Option<Self> {
        let before = endpoint.running.fetch_add(1, Ordering::AcqRel);
        let slot = Self(endpoint.clone());
        (before < usize::from(endpoint.plan.slots)).then_some(slot)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn run(request: HttpRequest, body: Bytes, inner: State<Arc<Inner>>) -> HttpResponse {
    let header = |name: &str| {
        let value = request.headers().get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    };
    let host: Option<SocketAddr> = header("host").parse().ok();
    let Some(endpoint) = host.and_then(|host| inner.endpoints.get(&host)) else {
        return HttpResponse::NotFound().body("no such endpoint");
    };
    let key = header("celerywinch-key").to_owned();
    let task: u32 = header("celerywinch-task").parse().unwrap_or(0);
    let remaining: u64 = header("celerywinch-remaining-ms").parse().unwrap_or(0);
    if endpoint.leaving.load(Ordering::Relaxed) {
        inner
            .execution_log
            .refused_leaving
            .fetch_add(1, Ordering::Relaxed);
        return refuse("leaving");
    }
    let Some(slot) = Slot::acquire(endpoint) else {
        inner
            .execution_log
            .refused_full
            .fetch_add(1, Ordering::Relaxed);
        return refuse("all slots are in use");
    };
    let script: Script = serde_json::from_slice(&body).unwrap_or_default();
    let count = inner.execution_log.record_start(&key, task);
    let started = Instant::now();
    match endpoint.mode() {
        Mode::Fail => return HttpResponse::InternalServerError().body("broken worker"),
        Mode::Drop => {
            request.io().inspect(|io| io.close());
            return HttpResponse::InternalServerError().finish();
        }
        Mode::Work | Mode::Slow => {}
    }
    let factor = if endpoint.mode() == Mode::Slow {
        10.0
    } else {
        1.0
    };
    let span = Duration::from_secs_f64((script.run_ms * factor / 1000.0).max(0.0));
    if !run_task(&inner, &key, task, span).await {
        inner
            .execution_log
            .cancelled
            .fetch_add(1, Ordering::Relaxed);
        return HttpResponse::Conflict().body("cancelled");
    }
    drop(slot);
    if started.elapsed() > Duration::from_millis(remaining) {
        inner.execution_log.late.fetch_add(1, Ordering::Relaxed);
    }
    if script.fail {
        return HttpResponse::UnprocessableEntity().body("failure requested by the task body");
    }
    inner.execution_log.finished.fetch_add(1, Ordering::Relaxed);
    HttpResponse::Ok().json(&json!({ "task": task, "starts": count, "echo": script.echo }))
}

fn refuse(reason: &str) -> HttpResponse {
    let mut response = HttpResponse::ServiceUnavailable();
    response.header("celerywinch-ran", "no");
    response.body(reason.to_owned())
}

/// Runs a task for `span`; returns false if it was cancelled meanwhile.
async fn run_task(inner: &Inner, key: &str, task: u32, span: Duration) -> bool {
    let end = Instant::now() + span;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return true;
        }
        // Polls at the short interval only while cancellations are pending, as polling costs CPU time.
        let none = inner.cancelled.lock().map_or(true, |set| set.is_empty());
        let step = if none {
            left.min(CANCEL_POLL_INTERVAL * 4)
        } else {
            left.min(CANCEL_POLL_INTERVAL)
        };
        tokio::time::sleep(step).await;
        let id = (key.to_owned(), task);
        if inner.cancelled.lock().is_ok_and(|mut set| set.remove(&id)) {
            return false;
        }
    }
}

/// One task in a cancel request.
#[derive(Deserialize)]
struct Cancelled {
    key: String,
    task: u32,
}

async fn cancel(body: Bytes, inner: State<Arc<Inner>>) -> HttpResponse {
    let tasks: Vec<Cancelled> = serde_json::from_slice(&body).unwrap_or_default();
    if let Ok(mut set) = inner.cancelled.lock() {
        set.extend(
            tasks
                .into_iter()
                .map(|cancelled| (cancelled.key, cancelled.task)),
        );
    }
    HttpResponse::Ok().finish()
}

async fn announce_all(inner: Arc<Inner>) {
    let client = Client::new().await;
    let mut turn = 0_usize;
    loop {
        for addr in &inner.addrs {
            let endpoint = inner.endpoints[addr].clone();
            if endpoint.announce_stopped.load(Ordering::Relaxed) {
                continue;
            }
            let Some(entries) = inner.entries.get(&endpoint.plan.dc) else {
                continue;
            };
            turn += 1;
            let entry = entries[turn % entries.len()];
            let next = entries[(turn + 1) % entries.len()];
            let client = client.clone();
            ntex::rt::spawn(async move {
                // Retries at another entry, as a load balancer would.
                if !announce(&client, entry, &endpoint).await {
                    announce(&client, next, &endpoint).await;
                }
            });
        }
        sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn announce(client: &Client, entry: SocketAddr, endpoint: &Endpoint) -> bool {
    let request = client.post(format!("http://{entry}/v1/announce"));
    let sent = request
        .timeout(ANNOUNCE_TIMEOUT)
        .send_json(&endpoint.announcement())
        .await;
    match sent {
        Ok(response) => {
            let _ = response.body().await;
            response.status().is_success()
        }
        Err(_) => false,
    }
}

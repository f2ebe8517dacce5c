//! Real processes of the daemon, stand-in endpoints and a caller, for tests under failure.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "every test file uses a part of it"
)]

use std::collections::HashMap;
use std::fs;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use celerywinch_standin::{Caller, EndpointPlan, Fleet, FleetPlan, Relay, Response, generate_key};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tempfile::TempDir;

/// The secret of the processes of a test.
pub(crate) const SECRET: &str = "secret-of-the-tests";

const CATALOGUE: &str = include_str!("../../../../examples/condor/catalogue.yaml");

/// How a test's processes are laid out.
#[derive(Clone)]
pub(crate) struct Plan {
    /// Data centres with their numbers of entries.
    pub dcs: Vec<(&'static str, usize)>,
    /// Endpoints in each data centre.
    pub endpoints: usize,
    /// Slots of each endpoint.
    pub slots: u16,
    /// Whether links between processes go through relays that can cut.
    pub relays: bool,
    /// Keys older than this are never run.
    pub window_ms: u64,
    /// The first this many instances are keepers.
    pub keepers: usize,
    /// Instances without a disk.
    pub diskless: &'static [usize],
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            dcs: vec![("bog-1", 3)],
            endpoints: 4,
            slots: 8,
            relays: false,
            window_ms: 30_000,
            keepers: 0,
            diskless: &[],
        }
    }
}

/// One process.
pub(crate) struct Process {
    pub callers: SocketAddr,
    pub endpoints: SocketAddr,
    pub operators: SocketAddr,
    pub dc: &'static str,
    settings: PathBuf,
    child: Option<Child>,
}

/// The processes of a test.
pub(crate) struct World {
    pub processes: Vec<Process>,
    pub fleet: Fleet,
    pub caller: Caller,
    pub folder: TempDir,
    /// By opener and target.
    pub relays: HashMap<(usize, usize), Relay>,
}

/// Runs a test within an `ntex` system.
pub(crate) fn run<F: Future<Output = anyhow::Result<()>> + 'static>(test: F) {
    let system = ntex::rt::System::build()
        .name("test")
        .build(ntex::rt::DefaultRuntime);
    if let Err(error) = system.block_on(test) {
        panic!("{error:#}");
    }
}

/// Where the ports of the tests begin: below those that the system gives out by itself, so that no
/// connection takes one between its choice and the start of the process that is to listen on it.
const FIRST_PORT: u16 = 12_000;
/// How many ports there are.
const PORTS: u32 = 18_000;

/// A port that nothing listens on, and that no other test of this run gets.
fn free_port() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id() * 211 + NEXT.fetch_add(1, Ordering::Relaxed);
        let offset = u16::try_from(number % PORTS).expect("the range fits");
        let addr = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + offset));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

impl World {
    /// Starts the processes and endpoints, and waits until all know each other.
    pub(crate) async fn start(plan: Plan) -> anyhow::Result<Self> {
        let folder = tempfile::tempdir()?;
        fs::write(folder.path().join("secret"), SECRET)?;
        fs::write(folder.path().join("catalogue.yaml"), CATALOGUE)?;
        let dcs: Vec<_> = plan
            .dcs
            .iter()
            .flat_map(|(name, count)| std::iter::repeat_n(*name, *count))
            .collect();
        let peers: Vec<_> = dcs.iter().map(|_| free_port()).collect();
        let relays = start_relays(&plan, &peers).await?;
        let mut processes = Vec::new();
        for (index, dc) in dcs.iter().enumerate() {
            let process = Process {
                callers: free_port(),
                endpoints: free_port(),
                operators: free_port(),
                dc,
                settings: folder.path().join(format!("settings-{index}.yaml")),
                child: None,
            };
            let text = settings(&plan, index, &dcs, &peers, &relays, &process);
            fs::write(&process.settings, text)?;
            processes.push(process);
        }
        for process in &mut processes {
            process.spawn()?;
        }
        let fleet = start_fleet(&plan, &processes)?;
        let world = Self {
            processes,
            fleet,
            caller: Caller::new().await?,
            folder,
            relays,
        };
        world.settle(&plan).await?;
        Ok(world)
    }

    async fn settle(&self, plan: &Plan) -> anyhow::Result<()> {
        for index in 0..self.processes.len() {
            self.wait_status(index, Duration::from_secs(15), |page| {
                let alive = alive_peers(page);
                page["ready"] == true
                    && page["endpoints_known"] == plan.endpoints
                    && alive + 1 == self.processes.len()
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until the status page of a process is as wanted.
    pub(crate) async fn wait_status(
        &self,
        index: usize,
        limit: Duration,
        wanted: impl Fn(&Value) -> bool,
    ) -> anyhow::Result<Value> {
        let began = Instant::now();
        let mut last = Value::Null;
        while began.elapsed() < limit {
            if let Ok(page) = self.status(index).await {
                if wanted(&page) {
                    return Ok(page);
                }
                last = page;
            }
            sleep(25).await;
        }
        anyhow::bail!("process {index} is not as wanted after {limit:?}: {last:#}")
    }

    pub(crate) async fn status(&self, index: usize) -> anyhow::Result<Value> {
        let operators = self.processes[index].operators;
        let response = self
            .caller
            .get(operators, "/v1/status", Some(SECRET))
            .await?;
        Ok(response.body)
    }

    /// Submits tasks that run `run_ms` each.
    pub(crate) async fn submit(
        &self,
        index: usize,
        key: &str,
        kind: &str,
        deadline_ms: u64,
        run_ms: &[u32],
    ) -> anyhow::Result<Response> {
        let entry = self.processes[index].callers;
        submit(&self.caller, entry, key, kind, deadline_ms, run_ms).await
    }

    pub(crate) async fn lookup(&self, index: usize, key: &str) -> anyhow::Result<Response> {
        let path = format!("/v1/outcomes/{key}");
        self.caller
            .get(self.processes[index].callers, &path, None)
            .await
    }

    /// Changes the catalogue as an operator at a process.
    pub async fn edit(
        &self,
        index: usize,
        change: &str,
        base: u64,
        team: &str,
    ) -> anyhow::Result<Response> {
        let mut catalogue = self.catalogue(index).await?["catalogue"].clone();
        catalogue["teams"][team] = json!({ "quota": 1 });
        let body = json!({ "change": change, "base": base, "document": catalogue });
        let operators = self.processes[index].operators;
        self.caller
            .put(operators, "/v1/catalogue", SECRET, &body)
            .await
    }

    /// The catalogue in force at a process, with its version.
    pub async fn catalogue(&self, index: usize) -> anyhow::Result<Value> {
        let operators = self.processes[index].operators;
        let response = self
            .caller
            .get(operators, "/v1/catalogue", Some(SECRET))
            .await?;
        Ok(response.body)
    }

    /// The version in force at a process; 0 if it does not answer.
    pub async fn version(&self, index: usize) -> u64 {
        let catalogue = self.catalogue(index).await.unwrap_or_default();
        catalogue["version"].as_u64().unwrap_or(0)
    }

    /// Waits until a version, or a later one, is in force at these processes.
    pub async fn in_force(&self, at: &[usize], version: u64, limit_ms: u64) -> anyhow::Result<()> {
        for index in at {
            self.wait_status(*index, Duration::from_millis(limit_ms), |page| {
                page["catalogue_version"].as_u64().unwrap_or(0) >= version
            })
            .await?;
        }
        Ok(())
    }

    /// The process whose keeper leads.
    pub async fn leader(&self, among: &[usize]) -> anyhow::Result<usize> {
        for _ in 0..400 {
            for index in among {
                let operators = self.processes[*index].operators;
                let page = self.caller.get(operators, "/v1/keeper", Some(SECRET)).await;
                if page.is_ok_and(|page| page.body["role"] == "leader") {
                    return Ok(*index);
                }
            }
            sleep(25).await;
        }
        anyhow::bail!("no keeper leads")
    }

    /// The keeper's page of a process.
    pub async fn keeper(&self, index: usize) -> anyhow::Result<Value> {
        let operators = self.processes[index].operators;
        let response = self
            .caller
            .get(operators, "/v1/keeper", Some(SECRET))
            .await?;
        Ok(response.body)
    }

    /// Removes everything that a process has on its disk.
    pub fn lose_disk(&self, index: usize) -> anyhow::Result<()> {
        fs::remove_dir_all(self.folder.path().join(format!("data-{index}")))?;
        Ok(())
    }

    /// A key whose home is the data centre of a process.
    pub(crate) fn key(&self, index: usize) -> String {
        generate_key(Some(self.processes[index].dc))
    }

    /// Cuts or heals all links between two sets of processes, both ways.
    pub(crate) fn cut(&self, one: &[usize], other: &[usize], cut: bool) {
        for ((from, to), relay) in &self.relays {
            let across = one.contains(from) && other.contains(to)
                || other.contains(from) && one.contains(to);
            if across {
                relay.set_partitioned(cut);
            }
        }
    }

    /// Checks what must hold whatever happened: no task started twice, no assertion failed.
    pub(crate) async fn check(&self) -> anyhow::Result<()> {
        let doubled = self.fleet.execution_log().duplicate_starts();
        anyhow::ensure!(doubled.is_empty(), "started more than once: {doubled:?}");
        for index in 0..self.processes.len() {
            if self.processes[index].child.is_none() {
                continue;
            }
            if let Ok(page) = self.status(index).await {
                let violations = &page["violations"];
                anyhow::ensure!(
                    *violations == 0,
                    "process {index} has {violations} violations"
                );
            }
        }
        Ok(())
    }
}

impl Process {
    /// Starts (again).
    pub(crate) fn spawn(&mut self) -> anyhow::Result<()> {
        let log = std::env::var("CELERYWINCH_TEST_LOG").unwrap_or_else(|_| "warn".into());
        let child = Command::new(env!("CARGO_BIN_EXE_celerywinchd"))
            .arg("--settings")
            .arg(&self.settings)
            .arg("--log")
            .arg(log)
            .stdin(Stdio::null())
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// SIGKILL, and waits until the process is gone.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// SIGSTOP.
    pub(crate) fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// SIGCONT.
    pub(crate) fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// SIGTERM.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits for the end; the exit code.
    pub(crate) async fn ended(&mut self, limit: Duration) -> anyhow::Result<Option<i32>> {
        let began = Instant::now();
        while began.elapsed() < limit {
            let Some(child) = &mut self.child else {
                return Ok(None);
            };
            if let Some(status) = child.try_wait()? {
                self.child = None;
                return Ok(status.code());
            }
            sleep(20).await;
        }
        anyhow::bail!("the process did not end within {limit:?}")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.thaw();
        self.kill();
    }
}

pub(crate) fn alive_peers(page: &Value) -> usize {
    let peers = page["peers"].as_array().cloned().unwrap_or_default();
    peers.iter().filter(|peer| peer["state"] == "alive").count()
}

pub(crate) async fn submit(
    caller: &Caller,
    entry: SocketAddr,
    key: &str,
    kind: &str,
    deadline_ms: u64,
    run_ms: &[u32],
) -> anyhow::Result<Response> {
    let tasks: Vec<_> = run_ms.iter().map(|ms| json!({ "run_ms": ms })).collect();
    let deadline = Duration::from_millis(deadline_ms);
    caller.submit(entry, key, kind, deadline, &tasks).await
}

pub(crate) async fn sleep(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

async fn start_relays(
    plan: &Plan,
    peers: &[SocketAddr],
) -> anyhow::Result<HashMap<(usize, usize), Relay>> {
    let mut relays = HashMap::new();
    if !plan.relays {
        return Ok(relays);
    }
    for from in 0..peers.len() {
        for (to, addr) in peers.iter().enumerate().filter(|(to, _)| *to != from) {
            relays.insert((from, to), Relay::start(*addr).await?);
        }
    }
    Ok(relays)
}

fn settings(
    plan: &Plan,
    me: usize,
    dcs: &[&str],
    peers: &[SocketAddr],
    relays: &HashMap<(usize, usize), Relay>,
    process: &Process,
) -> String {
    let mut text = format!(
        "instance: {}\nroles: [entry{}]\ncallers: {}\nendpoints: {}\noperators: {}\n\
         secret_file: secret\n{}timeline_file: timeline-{me}.jsonl\n\
         first_catalogue: catalogue.yaml\nhttp_threads: 1\nlimits:\n  window_ms: {}\n\
         data_centres:\n",
        me + 1,
        if me < plan.keepers { ", keeper" } else { "" },
        process.callers,
        process.endpoints,
        process.operators,
        if plan.diskless.contains(&me) {
            String::new()
        } else {
            format!("data_folder: data-{me}\n")
        },
        plan.window_ms,
    );
    for (number, (name, _)) in plan.dcs.iter().enumerate() {
        text.push_str(&format!("  {name}: {}\n", number + 1));
    }
    text.push_str("instances:\n");
    for (other, dc) in dcs.iter().enumerate() {
        let addr = relays.get(&(me, other)).map_or(peers[other], Relay::addr);
        text.push_str(&format!(
            "  - {{ instance: {}, data_centre: {dc}, peers: {addr}, keeper: {} }}\n",
            other + 1,
            other < plan.keepers,
        ));
    }
    text
}

fn start_fleet(plan: &Plan, processes: &[Process]) -> anyhow::Result<Fleet> {
    let mut entries: HashMap<String, Vec<SocketAddr>> = HashMap::new();
    for process in processes {
        entries
            .entry(process.dc.to_owned())
            .or_default()
            .push(process.endpoints);
    }
    let mut endpoints = Vec::new();
    for (dc, _) in &plan.dcs {
        for index in 0..plan.endpoints {
            endpoints.push(EndpointPlan {
                dc: (*dc).to_owned(),
                rack: format!("rack-{}", index / 2),
                kinds: vec![
                    "price-check".into(),
                    "scan-match".into(),
                    "stock-hold".into(),
                ],
                slots: plan.slots,
            });
        }
    }
    Fleet::start(FleetPlan {
        endpoints,
        entries,
        threads: 1,
    })
}

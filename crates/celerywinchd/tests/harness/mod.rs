//! Test harness: starts processes of the daemon, fake endpoints and a caller, and injects failures.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses only a part of the harness"
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

/// The secret shared by the processes of a test.
pub(crate) const SECRET: &str = "secret-of-the-tests";

const CATALOGUE: &str = include_str!("../../../../examples/condor/catalogue.yaml");

/// Topology and limits of a test cluster.
#[derive(Clone)]
pub(crate) struct ClusterConfig {
    /// Data centres, each with its number of entries.
    pub dcs: Vec<(&'static str, usize)>,
    /// Number of endpoints in each data centre.
    pub endpoints: usize,
    /// Number of slots of each endpoint.
    pub slots: u16,
    /// Whether links between processes go through relays that can inject network faults.
    pub relays: bool,
    /// Maximum age of keys that may still run, in ms.
    pub window_ms: u64,
    /// Number of keepers; the first instances are the keepers.
    pub keepers: usize,
    /// Instances without a data folder.
    pub diskless: &'static [usize],
    /// Resource limits of all processes.
    pub limits: Option<ResourceLimits>,
}

/// Resource limits of a process.
#[derive(Clone, Copy)]
pub(crate) struct ResourceLimits {
    /// Memory for data, in KiB.
    pub data_kb: u64,
    /// Number of open descriptors.
    pub fds: u64,
}

impl Default for ClusterConfig {
    fn default() -> Self {
        Self {
            dcs: vec![("bog-1", 3)],
            endpoints: 4,
            slots: 8,
            relays: false,
            window_ms: 30_000,
            keepers: 0,
            diskless: &[],
            limits: None,
        }
    }
}

/// A process of the daemon.
pub(crate) struct Process {
    pub caller_addr: SocketAddr,
    pub endpoint_addr: SocketAddr,
    pub operator_addr: SocketAddr,
    pub peer_addr: SocketAddr,
    pub dc: &'static str,
    limits: Option<ResourceLimits>,
    settings: PathBuf,
    child: Option<Child>,
}

/// The processes, fake endpoints and caller of a test.
pub(crate) struct Cluster {
    pub processes: Vec<Process>,
    pub fleet: Fleet,
    pub caller: Caller,
    pub dir: TempDir,
    /// Relays by the processes that open and accept the connections.
    pub relays: HashMap<(usize, usize), Relay>,
}

/// Runs a test within an `ntex` system; panics on an error.
pub(crate) fn run_test<F: Future<Output = anyhow::Result<()>> + 'static>(test: F) {
    let system = ntex::rt::System::build()
        .name("test")
        .build(ntex::rt::DefaultRuntime);
    if let Err(error) = system.block_on(test) {
        panic!("{error:#}");
    }
}

/// First port used by the tests. The range is below the ephemeral ports of the operating system, as otherwise an
/// outgoing connection could take a port between its selection and the start of the process that listens on it.
const FIRST_PORT: u16 = 12_000;
/// Number of ports in the range.
const PORT_COUNT: u32 = 18_000;

/// Returns an address with a free port; the process ID and a counter keep other tests of the same run from getting
/// the same port.
fn free_port() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id() * 211 + NEXT.fetch_add(1, Ordering::Relaxed);
        let offset =
            u16::try_from(number % PORT_COUNT).expect("the offset fits into a port number");
        let addr = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + offset));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

impl Cluster {
    /// Starts the processes and endpoints, and waits until all processes are ready and know all others.
    pub(crate) async fn start(config: ClusterConfig) -> anyhow::Result<Self> {
        let dir = tempfile::tempdir()?;
        fs::write(dir.path().join("secret"), SECRET)?;
        fs::write(dir.path().join("catalogue.yaml"), CATALOGUE)?;
        let dcs: Vec<_> = config
            .dcs
            .iter()
            .flat_map(|(name, count)| std::iter::repeat_n(*name, *count))
            .collect();
        let peers: Vec<_> = dcs.iter().map(|_| free_port()).collect();
        let relays = start_relays(&config, &peers).await?;
        let mut processes = Vec::new();
        for (index, dc) in dcs.iter().enumerate() {
            let process = Process {
                caller_addr: free_port(),
                endpoint_addr: free_port(),
                operator_addr: free_port(),
                peer_addr: peers[index],
                dc,
                limits: config.limits,
                settings: dir.path().join(format!("settings-{index}.yaml")),
                child: None,
            };
            let text = render_settings(&config, index, &dcs, &peers, &relays, &process);
            fs::write(&process.settings, text)?;
            processes.push(process);
        }
        for process in &mut processes {
            process.spawn()?;
        }
        let fleet = start_fleet(&config, &processes)?;
        let cluster = Self {
            processes,
            fleet,
            caller: Caller::new().await?,
            dir,
            relays,
        };
        cluster.wait_until_ready(&config).await?;
        Ok(cluster)
    }

    async fn wait_until_ready(&self, config: &ClusterConfig) -> anyhow::Result<()> {
        for index in 0..self.processes.len() {
            self.wait_for_status(index, Duration::from_secs(15), |page| {
                let alive = alive_peers(page);
                page["ready"] == true
                    && page["endpoints_known"] == config.endpoints
                    && alive + 1 == self.processes.len()
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until the status page of a process satisfies a condition.
    pub(crate) async fn wait_for_status(
        &self,
        index: usize,
        limit: Duration,
        condition: impl Fn(&Value) -> bool,
    ) -> anyhow::Result<Value> {
        let started = Instant::now();
        let mut last = Value::Null;
        while started.elapsed() < limit {
            if let Ok(page) = self.status(index).await {
                if condition(&page) {
                    return Ok(page);
                }
                last = page;
            }
            sleep(25).await;
        }
        anyhow::bail!(
            "process {index} did not reach the expected status within {limit:?}: {last:#}"
        )
    }

    pub(crate) async fn status(&self, index: usize) -> anyhow::Result<Value> {
        let operators = self.processes[index].operator_addr;
        let response = self
            .caller
            .get(operators, "/v1/status", Some(SECRET))
            .await?;
        Ok(response.body)
    }

    /// Submits a job with one task for each run time in `run_ms`.
    pub(crate) async fn submit(
        &self,
        index: usize,
        key: &str,
        kind: &str,
        deadline_ms: u64,
        run_ms: &[u32],
    ) -> anyhow::Result<Response> {
        let entry = self.processes[index].caller_addr;
        submit(&self.caller, entry, key, kind, deadline_ms, run_ms).await
    }

    pub(crate) async fn lookup(&self, index: usize, key: &str) -> anyhow::Result<Response> {
        let path = format!("/v1/outcomes/{key}");
        self.caller
            .get(self.processes[index].caller_addr, &path, None)
            .await
    }

    /// Adds a team to the catalogue as an operator, through a process.
    pub async fn edit_catalogue(
        &self,
        index: usize,
        change: &str,
        base: u64,
        team: &str,
    ) -> anyhow::Result<Response> {
        let mut catalogue = self.catalogue(index).await?["catalogue"].clone();
        catalogue["teams"][team] = json!({ "quota": 1 });
        let body = json!({ "change": change, "base": base, "document": catalogue });
        let operators = self.processes[index].operator_addr;
        self.caller
            .put(operators, "/v1/catalogue", SECRET, &body)
            .await
    }

    /// Returns the catalogue in force at a process, with its version.
    pub async fn catalogue(&self, index: usize) -> anyhow::Result<Value> {
        let operators = self.processes[index].operator_addr;
        let response = self
            .caller
            .get(operators, "/v1/catalogue", Some(SECRET))
            .await?;
        Ok(response.body)
    }

    /// Returns the catalogue version in force at a process; 0 if it does not answer.
    pub async fn catalogue_version(&self, index: usize) -> u64 {
        let catalogue = self.catalogue(index).await.unwrap_or_default();
        catalogue["version"].as_u64().unwrap_or(0)
    }

    /// Waits until a catalogue version, or a later one, is in force at these processes.
    pub async fn wait_in_force(
        &self,
        indexes: &[usize],
        version: u64,
        limit_ms: u64,
    ) -> anyhow::Result<()> {
        for index in indexes {
            self.wait_for_status(*index, Duration::from_millis(limit_ms), |page| {
                page["catalogue_version"].as_u64().unwrap_or(0) >= version
            })
            .await?;
        }
        Ok(())
    }

    /// Waits until one of these processes is the leader of the keepers, and returns it.
    pub async fn wait_for_leader(&self, indexes: &[usize]) -> anyhow::Result<usize> {
        for _ in 0..400 {
            for index in indexes {
                let operators = self.processes[*index].operator_addr;
                let page = self.caller.get(operators, "/v1/keeper", Some(SECRET)).await;
                if page.is_ok_and(|page| page.body["role"] == "leader") {
                    return Ok(*index);
                }
            }
            sleep(25).await;
        }
        anyhow::bail!("the keepers elected no leader")
    }

    /// Returns the keeper status of a process.
    pub async fn keeper_status(&self, index: usize) -> anyhow::Result<Value> {
        let operators = self.processes[index].operator_addr;
        let response = self
            .caller
            .get(operators, "/v1/keeper", Some(SECRET))
            .await?;
        Ok(response.body)
    }

    /// Deletes the data folder of a process.
    pub fn delete_data(&self, index: usize) -> anyhow::Result<()> {
        fs::remove_dir_all(self.dir.path().join(format!("data-{index}")))?;
        Ok(())
    }

    /// Generates a key whose home is the data centre of a process.
    pub(crate) fn generate_key(&self, index: usize) -> String {
        generate_key(Some(self.processes[index].dc))
    }

    /// Starts or ends a partition between two sets of processes, in both directions.
    pub(crate) fn set_partitioned(&self, one: &[usize], other: &[usize], partitioned: bool) {
        for ((from, to), relay) in &self.relays {
            let across = one.contains(from) && other.contains(to)
                || other.contains(from) && one.contains(to);
            if across {
                relay.set_partitioned(partitioned);
            }
        }
    }

    /// Checks that no task was started more than once and that no process reports a violated invariant.
    pub(crate) async fn check_invariants(&self) -> anyhow::Result<()> {
        let duplicates = self.fleet.execution_log().duplicate_starts();
        anyhow::ensure!(
            duplicates.is_empty(),
            "started more than once: {duplicates:?}"
        );
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
    /// Starts or restarts the process.
    pub(crate) fn spawn(&mut self) -> anyhow::Result<()> {
        let log = std::env::var("CELERYWINCH_TEST_LOG").unwrap_or_else(|_| "warn".into());
        let program = env!("CARGO_BIN_EXE_celerywinchd");
        let mut command = match self.limits {
            Some(ResourceLimits { data_kb, fds }) => {
                let mut shell = Command::new("sh");
                let script = format!("ulimit -d {data_kb}; ulimit -n {fds}; exec \"$0\" \"$@\"");
                shell.arg("-c").arg(script).arg(program);
                shell
            }
            None => Command::new(program),
        };
        let child = command
            .arg("--settings")
            .arg(&self.settings)
            .arg("--log")
            .arg(log)
            .stdin(Stdio::null())
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns the number by which the operating system knows the process.
    pub(crate) fn pid(&self) -> u32 {
        let child = self.child.as_ref();
        child.expect("a process that was started").id()
    }

    /// Returns whether the process has ended by itself.
    pub(crate) fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Sends SIGKILL and waits for the exit.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGSTOP.
    pub(crate) fn suspend(&self) {
        self.signal(Signal::STOP);
    }

    /// Sends SIGCONT.
    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Sends SIGTERM.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits for the exit and returns the exit code; `None` if the process is not running or was ended by a signal.
    pub(crate) async fn wait_for_exit(&mut self, limit: Duration) -> anyhow::Result<Option<i32>> {
        let started = Instant::now();
        while started.elapsed() < limit {
            let Some(child) = &mut self.child else {
                return Ok(None);
            };
            if let Some(status) = child.try_wait()? {
                self.child = None;
                return Ok(status.code());
            }
            sleep(20).await;
        }
        anyhow::bail!("the process did not exit within {limit:?}")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.resume();
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
    config: &ClusterConfig,
    peers: &[SocketAddr],
) -> anyhow::Result<HashMap<(usize, usize), Relay>> {
    let mut relays = HashMap::new();
    if !config.relays {
        return Ok(relays);
    }
    for from in 0..peers.len() {
        for (to, addr) in peers.iter().enumerate().filter(|(to, _)| *to != from) {
            relays.insert((from, to), Relay::start(*addr).await?);
        }
    }
    Ok(relays)
}

fn render_settings(
    config: &ClusterConfig,
    index: usize,
    dcs: &[&str],
    peers: &[SocketAddr],
    relays: &HashMap<(usize, usize), Relay>,
    process: &Process,
) -> String {
    let mut text = format!(
        "instance: {}\nroles: [entry{}]\ncallers: {}\nendpoints: {}\noperators: {}\n\
         secret_file: secret\n{}timeline_file: timeline-{index}.jsonl\n\
         first_catalogue: catalogue.yaml\nhttp_threads: 1\nlimits:\n  window_ms: {}\n\
         data_centres:\n",
        index + 1,
        if index < config.keepers {
            ", keeper"
        } else {
            ""
        },
        process.caller_addr,
        process.endpoint_addr,
        process.operator_addr,
        if config.diskless.contains(&index) {
            String::new()
        } else {
            format!("data_folder: data-{index}\n")
        },
        config.window_ms,
    );
    for (number, (name, _)) in config.dcs.iter().enumerate() {
        text.push_str(&format!("  {name}: {}\n", number + 1));
    }
    text.push_str("instances:\n");
    for (other, dc) in dcs.iter().enumerate() {
        let addr = relays
            .get(&(index, other))
            .map_or(peers[other], Relay::addr);
        text.push_str(&format!(
            "  - {{ instance: {}, data_centre: {dc}, peers: {addr}, keeper: {} }}\n",
            other + 1,
            other < config.keepers,
        ));
    }
    text
}

fn start_fleet(config: &ClusterConfig, processes: &[Process]) -> anyhow::Result<Fleet> {
    let mut entries: HashMap<String, Vec<SocketAddr>> = HashMap::new();
    for process in processes {
        entries
            .entry(process.dc.to_owned())
            .or_default()
            .push(process.endpoint_addr);
    }
    let mut endpoints = Vec::new();
    for (dc, _) in &config.dcs {
        for index in 0..config.endpoints {
            endpoints.push(EndpointPlan {
                dc: (*dc).to_owned(),
                rack: format!("rack-{}", index / 2),
                kinds: vec![
                    "price-check".into(),
                    "scan-match".into(),
                    "stock-hold".into(),
                ],
                slots: config.slots,
            });
        }
    }
    Fleet::start(FleetPlan {
        endpoints,
        entries,
        threads: 1,
    })
}

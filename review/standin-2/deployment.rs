//! The project's own processes, on loopback addresses, with settings like those of a small deployment.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

pub const ZONES: u8 = 3;
const CONTROL_PORT: u16 = 18_166;
const CALLERS_PORT: u16 = 18_161;
const READINESS_PORT: u16 = 18_167;
const WORKERS_PORT: u16 = 18_080;

/// The ids of the processes that were started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// The second bytes of addresses that this stand-in has used.
static USED_NETS: Mutex<Vec<u8>> = Mutex::new(Vec::new());

/// Sends a signal to a process that was started. By the shell's own `kill`, as not each machine has a program of that name.
fn signal(id: u32, name: &str) -> std::io::Result<std::process::ExitStatus> {
    Command::new("sh")
        .arg("-c")
        .arg(format!("kill -{name} {id}"))
        .status()
}

/// Kills all processes that were started.
pub fn kill_all() {
    for id in STARTED.lock().expect("the ids").drain(..) {
        let _ = signal(id, "KILL");
    }
}

pub struct Deployment {
    net: u8,
    _lock: TcpListener,
    folder: PathBuf,
    children: Vec<(u8, bool, Child)>,
    pub record: Record,
}

/// Returns a second byte of loopback addresses that is free at present, with a listener that keeps other stand-ins off it.
fn free_net() -> Option<(u8, TcpListener)> {
    // The workers of an earlier start keep their addresses until the stand-in ends.
    let mut used = USED_NETS.lock().expect("the nets");
    let first = std::process::id() % 200;
    let found = (0..200).find_map(|step| {
        let net = 20 + ((first + step) % 200) as u8;
        if used.contains(&net) {
            return None;
        }
        let lock = TcpListener::bind((Ipv4Addr::new(127, net, 250, 250), CONTROL_PORT)).ok()?;
        TcpListener::bind((Ipv4Addr::new(127, net, 1, 16), CONTROL_PORT)).ok()?;
        Some((net, lock))
    })?;
    used.push(found.0);
    Some(found)
}

impl Deployment {
    /// Kills all keepers at the same moment, as soon as the first of them says that it leads, and starts them again, with
    /// the same settings and disks, half a second later. Returns false if none did within five seconds.
    pub fn kill_core_when_it_leads(&mut self, program: &Path) -> std::io::Result<bool> {
        let log = self.folder.join("keeper-1.log");
        let until = Instant::now() + Duration::from_secs(5);
        while !fs::read_to_string(&log)?.contains(r#""role":"Leader""#) {
            if Instant::now() > until {
                return Ok(false);
            }
        }
        let keepers = || |(_, is_keeper, _): &&mut (u8, bool, Child)| *is_keeper;
        for (_, _, child) in self.children.iter_mut().filter(keepers()) {
            child.kill()?;
        }
        self.record
            .line("all keepers are killed as the first one leads");
        for (_, _, child) in self.children.iter_mut().filter(keepers()) {
            child.wait()?;
        }
        self.children.retain(|(_, is_keeper, _)| !is_keeper);
        thread::sleep(Duration::from_millis(500));
        for zone in 1..=ZONES {
            self.launch(program, zone, true)?;
        }
        self.record.line("all keepers are back, with their disks");
        Ok(true)
    }

    /// Starts one keeper and one entry in each of three zones.
    pub fn start(program: &Path, folder: &Path, record: Record) -> std::io::Result<Deployment> {
        let (net, lock) = free_net().ok_or(std::io::ErrorKind::AddrInUse)?;
        let mut deployment = Deployment {
            net,
            _lock: lock,
            folder: folder.to_owned(),
            children: Vec::new(),
            record,
        };
        for zone in 1..=ZONES {
            deployment.launch(program, zone, true)?;
            deployment.launch(program, zone, false)?;
        }
        Ok(deployment)
    }

    fn addr(&self, zone: u8, host: u8, port: u16) -> SocketAddr {
        (Ipv4Addr::new(127, self.net, zone, host), port).into()
    }

    pub fn keeper(&self, zone: u8) -> SocketAddr {
        self.addr(zone, 16, CONTROL_PORT)
    }

    pub fn keepers(&self) -> Vec<SocketAddr> {
        (1..=ZONES).map(|zone| self.keeper(zone)).collect()
    }

    pub fn entry(&self, zone: u8) -> SocketAddr {
        self.addr(zone, 20, CALLERS_PORT)
    }

    pub fn worker(&self, zone: u8) -> SocketAddr {
        self.addr(zone, 100, WORKERS_PORT)
    }

    fn launch(&mut self, program: &Path, zone: u8, is_keeper: bool) -> std::io::Result<()> {
        let (role, class, serves, host) = if is_keeper {
            ("keeper", "core", "control_plane", 16)
        } else {
            ("entry", "edge", "edge", 20)
        };
        let ip = Ipv4Addr::new(127, self.net, zone, host);
        let listen = if is_keeper {
            format!(r#"{{"control":"{}"}}"#, self.keeper(zone))
        } else {
            format!(
                r#"{{"frontend":"{}","readiness":"{ip}:{READINESS_PORT}"}}"#,
                self.entry(zone)
            )
        };
        let seeds: Vec<_> = self
            .keepers()
            .iter()
            .map(|keeper| format!("\"{keeper}\""))
            .collect();
        let data = self.folder.join(format!("data-{zone}"));
        let data_dir = if is_keeper {
            format!("\"{}\"", data.display())
        } else {
            "null".to_owned()
        };
        let limits = if is_keeper {
            r#"{"cpuShare":0.5,"cores":1,"memoryMb":256,"maxFds":4096,"linkMbps":1000.0,"diskMb":128}"#
        } else {
            r#"{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}"#
        };
        let settings = format!(
            r#"{{"node":"{role}-z{zone}","role":"{role}","machineClass":"{class}","serves":["{serves}"],"ip":"{ip}","zone":"z{zone}","region":"r","zones":{{"z1":"r","z2":"r","z3":"r"}},"listen":{listen},"internalPorts":[17720,17735],"seeds":[{}],"bootstrap":true,"failureCounted":{is_keeper},"limits":{limits},"dataDir":{data_dir},"discovery":"registration","entry":"vip","heartbeatMs":1500,"contracts":["base","drain","config","cost","recover","sched"],"faultTolerance":{{"machines":1,"zones":1,"regions":0}},"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":6,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"maxStretchMs":5000,"recoveryS":12,"holdMaxMs":1000,"stopTimeoutMs":50,"cancel_ms":3000,"resendMs":1300}},"config_mode":"highest","orders":"invocation"}}"#,
            seeds.join(",")
        );
        let file = self.folder.join(format!("{role}-{zone}.json"));
        fs::write(&file, settings)?;
        let log = File::create(self.folder.join(format!("{role}-{zone}.log")))?;
        // The command of the deploy file.
        let child = Command::new(program)
            .arg("--platform")
            .env("CELERYWINCH_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        STARTED.lock().expect("the ids").push(child.id());
        self.children.push((zone, is_keeper, child));
        Ok(())
    }

    /// Sends a configuration to the keepers in turn until one acknowledges it; returns false after `wait`.
    pub fn put_config(&self, body: &[u8], what: &str, wait: Duration) -> bool {
        let until = Instant::now() + wait;
        for zone in (1..=ZONES).cycle() {
            if Instant::now() > until {
                return false;
            }
            let answer = http::call(
                self.keeper(zone),
                "PUT",
                "/-/config",
                "control",
                body,
                Duration::from_secs(1),
            );
            if answer.is_ok_and(|answer| answer.status() == 200) {
                self.record.line(&format!(
                    "operator: {what} is acknowledged by the keeper in z{zone}"
                ));
                return true;
            }
            thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Sends SIGTERM to the entry of a zone.
    pub fn stop_entry(&self, zone: u8) -> Result<(), String> {
        let entry = self
            .children
            .iter()
            .find(|(at, is_keeper, _)| *at == zone && !is_keeper);
        let (_, _, child) = entry.ok_or("no such entry")?;
        let sent = signal(child.id(), "TERM");
        sent.is_ok_and(|status| status.success())
            .then_some(())
            .ok_or("the signal could not be sent".to_owned())
    }

    /// Waits until all entries are ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        let ready = |zone| {
            let addr = self.addr(zone, 20, READINESS_PORT);
            http::call(
                addr,
                "GET",
                "/-/readyz",
                "entry",
                b"",
                Duration::from_secs(1),
            )
            .is_ok_and(|answer| answer.status() == 200)
        };
        while Instant::now() < until {
            if (1..=ZONES).all(ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for (_, _, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        STARTED.lock().expect("the ids").clear();
    }
}

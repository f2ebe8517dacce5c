//! The scripted cases: what is sent, in which order, and what breaks the rule.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, ZONES};
use crate::http;
use crate::json::Value;
use crate::record::Record;
use crate::worker::Worker;

const SERVICE: &str = "svc-a";
const HOST: &str = "desk.example";
/// How long a calm system may take to acknowledge a configuration, from its start.
const START_LIMIT: Duration = Duration::from_secs(10);
/// `configApplyMs` of the settings, with half a second more.
const CONFIG_APPLIED: Duration = Duration::from_millis(2_500);
/// `cancel_ms` of the settings.
const CANCEL_MS: u64 = 3_000;
/// `graceS` of the settings.
const GRACE_MS: u64 = 6_000;
/// `contactMs` of the settings.
const CONTACT_MS: u64 = 3_000;
/// `lossSlackMs` of the settings.
const LOSS_SLACK_MS: u64 = 200;
/// `stopTimeoutMs` of the settings.
const STOP_MS: u64 = 50;

/// `recoveryS` of the settings, with a second more.
const RECOVERED: Duration = Duration::from_secs(13);

type Outcome = Result<bool, String>;

fn route(name: &str, host: &str, prefix: &str) -> String {
    route_with_target(name, host, prefix, 60)
}

fn route_with_target(name: &str, host: &str, prefix: &str, target_ms: u32) -> String {
    format!(
        r#"{{"name":"{name}","host":"{host}","pathPrefix":"{prefix}","kind":"non_idempotent","timeoutMs":30000,"targetLatencyMs":{target_ms},"priority":1,"service":"{SERVICE}","maxAttempts":4,"slackFactor":1.6}}"#
    )
}

fn config(version: u32, routes: &[String]) -> Vec<u8> {
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"{SERVICE}","healthPath":"/healthz","maxConnections":64,"protocol":"h1","tls":false,"admissionCheck":true,"standby":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        routes.join(",")
    )
    .into_bytes()
}

/// Sends a request to an entry as a client and records the answer. Returns the status, 0 if there was none.
fn client(
    deployment: &Deployment,
    entry: u8,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
) -> u16 {
    deployment.record.line(&format!(
        "client: {method} {path} to the entry in z{entry}, Host {host}"
    ));
    let answer = http::call(
        deployment.entry(entry),
        method,
        path,
        host,
        body.as_bytes(),
        Duration::from_secs(30),
    );
    let (status, text) = answer.map_or_else(
        |error| (0, error.to_string()),
        |answer| (answer.status(), answer.text()),
    );
    deployment.record.line(&format!(
        "client: {method} {path} is answered with {status} {text}"
    ));
    status
}

fn job(ms: u32) -> String {
    format!(
        r#"{{"spec":"ms={ms} cpu=500","bestEffort":true,"steps":[{{"count":1,"cpu":500,"memMb":64,"estimateMs":{ms}}}]}}"#
    )
}

/// Starts a worker in each zone, of these kinds.
fn start_workers(
    deployment: &Deployment,
    kinds: [&str; ZONES as usize],
    states_born: bool,
) -> Result<Vec<Arc<Worker>>, String> {
    let start = |zone: u8| {
        let id = format!("i-{zone}a91c2");
        Worker::start(
            &id,
            deployment.worker(zone),
            &format!("z{zone}"),
            SERVICE,
            kinds[usize::from(zone) - 1],
            states_born,
            deployment.keepers(),
            deployment.record.clone(),
        )
    };
    let workers: Result<Vec<_>, _> = (1..=ZONES).map(start).collect();
    workers.map_err(|error| error.to_string())
}

/// Puts version 1 in force, with the given routes, and starts a worker in each zone, of these kinds.
fn prepare(
    deployment: &Deployment,
    routes: &[String],
    kinds: [&str; ZONES as usize],
    states_born: bool,
) -> Result<Vec<Arc<Worker>>, String> {
    if !deployment.put_config(&config(1, routes), "version 1", START_LIMIT) {
        return Err("version 1 was not acknowledged".to_owned());
    }
    let workers = start_workers(deployment, kinds, states_born)?;
    if !deployment.wait_ready() {
        return Err("the entries did not become ready".to_owned());
    }
    // The dispatcher has taken the workers over by then.
    thread::sleep(Duration::from_secs(2));
    Ok(workers)
}

/// Returns whether an answer to a read contains the configuration of this version.
fn read_has(deployment: &Deployment, keeper: SocketAddr, version: u64) -> bool {
    let answer = http::call(
        keeper,
        "GET",
        "/-/config",
        "control",
        b"",
        Duration::from_secs(1),
    );
    let (status, body) = answer.map_or((0, Vec::new()), |answer| (answer.status(), answer.body));
    let found = Value::parse(&body).and_then(|document| document.number("version"));
    deployment.record.line(&format!(
        "operator: GET /-/config at {keeper} is answered with {status}, version {found:?}"
    ));
    status == 200 && found == Some(version)
}

/// An operator sends one configuration that can't be read in full: a string in it isn't UTF-8.
pub fn invalid_config(deployment: &Deployment, trouble: bool) -> Outcome {
    let routes = [
        route("r-check", HOST, "/check/"),
        route("r-quote", HOST, "/quote/"),
    ];
    let _workers = prepare(deployment, &routes, ["a", "a", "a"], false)?;
    if client(
        deployment,
        1,
        "POST",
        "/quote/5c0e7a21d94b36f8",
        HOST,
        &job(50),
    ) != 200
    {
        return Err("a job on a calm system was not served".to_owned());
    }
    let mut acknowledged = false;
    if trouble {
        let mut invalid = config(2, &routes[..1]);
        let at = invalid
            .windows(8)
            .position(|part| part == b"/healthz")
            .ok_or("no health path")?;
        // As an operator's tool writes "/salud-bogotá" that encodes its files in Latin-1.
        invalid.splice(at..at + 8, *b"/salud-bogot\xe1");
        let answer = http::call(
            deployment.keeper(1),
            "PUT",
            "/-/config",
            "control",
            &invalid,
            Duration::from_secs(1),
        );
        let status = answer.map_or(0, |answer| answer.status());
        deployment.record.line(&format!(
            "operator: version 2, which isn't UTF-8, is answered with {status}"
        ));
        acknowledged = (200..300).contains(&status);
    }
    thread::sleep(CONFIG_APPLIED);
    let obeyed = client(
        deployment,
        1,
        "POST",
        "/quote/5c0e7a21d94b36f9",
        HOST,
        &job(50),
    ) == 404;
    // The operator reads back for longer than `contactMs`, at all keepers.
    let mut reads = 0;
    for _ in 0..10 {
        reads += deployment
            .keepers()
            .into_iter()
            .filter(|keeper| read_has(deployment, *keeper, 1))
            .count();
        thread::sleep(Duration::from_millis(500));
    }
    deployment.record.line(&format!(
        "invalid version acknowledged: {acknowledged}; the route that it drops is gone: {obeyed}; {reads} of 30 reads gave version 1"
    ));
    Ok(acknowledged || obeyed || reads == 0)
}

/// A client cancels its job while the job's first step runs.
pub fn cancelled_job(deployment: &Deployment, trouble: bool) -> Outcome {
    const JOB: &str = "5c0e7a21d94b36f8";
    let workers = prepare(
        deployment,
        &[route("r-check", HOST, "/check/")],
        ["a", "a", "a"],
        false,
    )?;
    let path = format!("/check/{JOB}");
    let two_steps = r#"{"spec":"ms=4000 cpu=500","bestEffort":true,"steps":[{"count":1,"cpu":500,"memMb":64,"estimateMs":4000},{"count":1,"cpu":500,"memMb":64,"estimateMs":4000,"after":[0]}]}"#;
    thread::scope(|scope| {
        let waiting = scope.spawn(|| client(deployment, 1, "POST", &path, HOST, two_steps));
        thread::sleep(Duration::from_millis(1_000));
        let mut cancelled_at = None;
        if trouble {
            let status = client(deployment, 1, "DELETE", &path, HOST, "");
            if (200..300).contains(&status) || status == 410 {
                cancelled_at = Some(deployment.record.ms());
            }
        }
        let end = waiting.join().map_err(|_| "the client failed")?;
        let starts: Vec<_> = workers
            .iter()
            .flat_map(|worker| worker.starts())
            .filter(|start| start.task.starts_with(JOB))
            .collect();
        if starts.is_empty() {
            return Err(format!("the job did not start; its client got {end}"));
        }
        let Some(cancelled_at) = cancelled_at else {
            return Ok(false);
        };
        let bound = cancelled_at + CANCEL_MS;
        let late = starts.iter().filter(|start| start.at > bound).count();
        let on = starts
            .iter()
            .filter(|start| {
                start.at <= bound && start.ended.is_none_or(|(at, _)| at > bound + STOP_MS)
            })
            .count();
        deployment.record.line(&format!(
            "the cancelling was acknowledged at {cancelled_at} ms; {late} tasks started later than {CANCEL_MS} ms after it, {on} ran on {STOP_MS} ms after that"
        ));
        Ok(late + on > 0)
    })
}

/// Another writer sends a ping under the ID of a worker. It can't be read: a string in it isn't UTF-8.
pub fn unreadable_ping(deployment: &Deployment, trouble: bool) -> Outcome {
    let workers = prepare(
        deployment,
        &[route("r-check", HOST, "/check/")],
        ["a", "a", "a"],
        true,
    )?;
    if client(
        deployment,
        1,
        "POST",
        "/check/5c0e7a21d94b36f8",
        HOST,
        &job(50),
    ) != 200
    {
        return Err("a job on a calm system was not served".to_owned());
    }
    if trouble {
        let ping = workers[0].ping(1_000, "ready", &["b", "r1-1"]);
        let mut bytes = ping.trim_end_matches('}').as_bytes().to_vec();
        bytes.extend_from_slice(b",\"remainingMs\":\"pocos segundos m\xe1s\"}");
        let path = format!("/-/instances/{}", workers[0].id);
        let answer = http::call(
            deployment.keeper(1),
            "PUT",
            &path,
            "control",
            &bytes,
            Duration::from_secs(1),
        );
        let status = answer.map_or(0, |answer| answer.status());
        deployment.record.line(&format!("another writer: a ping for {} with label b, which isn't UTF-8, is answered with {status}", workers[0].id));
    }
    thread::sleep(Duration::from_secs(2));
    let needs_b = r#"{"spec":"ms=50 cpu=500","bestEffort":true,"steps":[{"count":1,"cpu":500,"memMb":64,"estimateMs":50,"requirements":"b"}]}"#;
    const JOB: &str = "5c0e7a21d94b36f9";
    client(
        deployment,
        1,
        "POST",
        &format!("/check/{JOB}"),
        HOST,
        needs_b,
    );
    let starts = workers.iter().flat_map(|worker| worker.starts());
    let wrong = starts.filter(|start| start.task.starts_with(JOB)).count();
    deployment.record.line(&format!(
        "{wrong} tasks that need a worker with label b started on workers that all have label a"
    ));
    Ok(wrong > 0)
}

/// An entry is stopped as planned while a job that it has read waits for a worker.
pub fn stopped_entry(deployment: &Deployment, trouble: bool) -> Outcome {
    /// Jobs of other clients, each of which takes the only worker of the kind that it needs for `BUSY_MS`.
    const AHEAD: u32 = 20;
    const BUSY_MS: u32 = 900;
    const JOB: &str = "5c0e7a21d94b36f8";
    let workers = prepare(
        deployment,
        &[route_with_target("r-check", HOST, "/check/", 40_000)],
        ["b", "a", "a"],
        false,
    )?;
    let job = format!(
        r#"{{"spec":"ms={BUSY_MS} cpu=16000","bestEffort":true,"steps":[{{"count":1,"cpu":16000,"memMb":64,"estimateMs":{BUSY_MS},"requirements":"b"}}]}}"#
    );
    thread::scope(|scope| {
        let mut others = Vec::new();
        for number in 0..AHEAD {
            let (path, job) = (format!("/check/{number:016x}"), &job);
            others.push(scope.spawn(move || {
                client(deployment, 2 + (number % 2) as u8, "POST", &path, HOST, job)
            }));
            thread::sleep(Duration::from_millis(250));
        }
        // Nothing unplanned happens from `contactMs` before the request on.
        thread::sleep(Duration::from_millis(CONTACT_MS + 200));
        let waiting = scope.spawn(|| {
            let sent = deployment.record.ms();
            let status = client(deployment, 1, "POST", &format!("/check/{JOB}"), HOST, &job);
            (status, sent, deployment.record.ms())
        });
        thread::sleep(Duration::from_millis(500));
        let mut stopped_at = None;
        if trouble {
            stopped_at = Some(deployment.record.ms());
            deployment
                .record
                .line("platform: SIGTERM to the entry in z1");
            deployment.stop_entry(1)?;
        }
        let (status, sent, ended) = waiting.join().map_err(|_| "the client failed")?;
        let starts = workers.iter().flat_map(|worker| worker.starts());
        let starts = starts
            .filter(|start| start.task.starts_with(JOB) && start.at <= ended)
            .count();
        let served = others
            .into_iter()
            .filter_map(|other| other.join().ok())
            .filter(|status| *status == 200)
            .count();
        deployment.record.line(&format!(
            "the job was sent at {sent} ms; its connection ended at {ended} ms with status {status} (0: no answer); it had been started {starts} times by then; {served} of {AHEAD} other jobs were served"
        ));
        let Some(stopped_at) = stopped_at else {
            return if status == 200 {
                Ok(false)
            } else {
                Err(format!("the job got {status} without a stop"))
            };
        };
        // It was in the queue all the time: no worker was at work on it, and neither its time budget nor the route's timeout
        // (30 s) was over. So no exception of the rule applies.
        let in_time = ended <= stopped_at + GRACE_MS + 1_000;
        Ok(status == 0 && starts == 0 && in_time && ended > sent + LOSS_SLACK_MS)
    })
}

/// An operator sends the first configuration and a client a job, again and again, to all keepers and entries in turn. Returns
/// whether the configuration is acknowledged, or a job is served, within `RECOVERED`.
fn serves_in_time(deployment: &Deployment, body: &[u8]) -> bool {
    let until = Instant::now() + RECOVERED;
    let mut acknowledged = false;
    for (number, zone) in (0u32..).zip((1..=ZONES).cycle()) {
        let answer = http::call(
            deployment.keeper(zone),
            "PUT",
            "/-/config",
            "control",
            body,
            Duration::from_secs(1),
        );
        let status = answer.map_or(0, |answer| answer.status());
        deployment.record.line(&format!(
            "operator: version 1 at the keeper in z{zone} is answered with {status}"
        ));
        acknowledged |= status == 200;
        let path = format!("/check/{number:016x}");
        let served = client(deployment, zone, "POST", &path, HOST, &job(50)) == 200;
        if served || Instant::now() > until {
            return served || acknowledged;
        }
        thread::sleep(Duration::from_millis(300));
    }
    false
}

/// Systems start for the first time, and all processes of the core are killed at once as the group of keepers forms.
pub fn first_start(program: &Path, folder: &Path, record: &Record, trouble: bool) -> Outcome {
    /// First starts, each with empty disks, until one does not recover.
    const STARTS: u32 = 12;
    let body = config(1, &[route("r-check", HOST, "/check/")]);
    for number in 1..=STARTS {
        record.line(&format!("first start {number}"));
        let folder = folder.join(number.to_string());
        std::fs::create_dir(&folder).map_err(|error| error.to_string())?;
        let started = Deployment::start(program, &folder, record.clone());
        let mut deployment = started.map_err(|error| error.to_string())?;
        if trouble {
            let killed = deployment.kill_core_when_it_leads(program);
            if !killed.map_err(|error| error.to_string())? {
                return Err("no keeper led within five seconds".to_owned());
            }
        }
        let _workers = start_workers(&deployment, ["a", "a", "a"], false)?;
        if serves_in_time(&deployment, &body) {
            continue;
        }
        let wait = RECOVERED.as_secs();
        record.line(&format!(
            "in {wait} s no keeper has acknowledged the first configuration, and no request was served"
        ));
        return if trouble {
            Ok(true)
        } else {
            Err("a calm start failed".to_owned())
        };
    }
    Ok(false)
}

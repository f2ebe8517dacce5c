//! A worker as PROTOCOL.md describes it: capacity, leases, fencing, run numbers, ends.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message};
use crate::json::{quote, Value};
use crate::record::Record;

/// `holdMaxMs` of the small deployments.
const HOLD_MAX_MS: u64 = 1_000;
/// The reading of a worker's clock at its start.
const FIRST_CLOCK_MS: u64 = 482_000;
/// `heartbeatMs` of the small deployments.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const CPU: u64 = 16_000;

struct Run {
    number: u64,
    cpu: u64,
    began_at: u64,
    ends_at: u64,
}

struct End {
    serial: u64,
    task: String,
    run: u64,
    how: &'static str,
}

/// A start that the worker has begun, as the check sees it.
#[derive(Clone, Debug)]
pub struct Started {
    pub at: u64,
    pub task: String,
    pub run: u64,
    /// When it ended, and how.
    pub ended: Option<(u64, &'static str)>,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease: u64,
    running: BTreeMap<String, Run>,
    /// The highest run of each task that was stopped or has ended.
    over: BTreeMap<String, u64>,
    ends: Vec<End>,
    serial: u64,
    started: Vec<Started>,
}

pub struct Worker {
    pub id: String,
    addr: SocketAddr,
    zone: String,
    service: String,
    kind: String,
    /// The Unix millisecond of its start, where the pages have workers state it as `born`.
    started_at: Option<u64>,
    born: Instant,
    record: Record,
    state: Mutex<State>,
    changed: Condvar,
}

impl Worker {
    /// Starts a worker that listens at `addr` and announces itself to `keepers` in turn.
    pub fn start(
        id: &str,
        addr: SocketAddr,
        zone: &str,
        service: &str,
        kind: &str,
        states_born: bool,
        keepers: Vec<SocketAddr>,
        record: Record,
    ) -> std::io::Result<Arc<Worker>> {
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            addr,
            zone: zone.to_owned(),
            service: service.to_owned(),
            kind: kind.to_owned(),
            started_at: states_born.then(unix_millis),
            born: Instant::now(),
            record,
            state: Mutex::new(State::default()),
            changed: Condvar::new(),
        });
        let served = worker.clone();
        http::serve(addr, move |request| served.handle(request))?;
        let ticking = worker.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(2));
            ticking.expire(&mut ticking.state.lock().expect("the state"));
        });
        let announcing = worker.clone();
        thread::spawn(move || announcing.announce(&keepers));
        Ok(worker)
    }

    pub fn starts(&self) -> Vec<Started> {
        self.state.lock().expect("the state").started.clone()
    }

    fn clock(&self) -> u64 {
        FIRST_CLOCK_MS + self.born.elapsed().as_millis() as u64
    }

    fn born_field(&self) -> String {
        let field = |born| format!(r#","born":{born}"#);
        self.started_at.map(field).unwrap_or_default()
    }

    /// Returns the body of a ping.
    pub fn ping(&self, sequence: u64, state: &str, labels: &[&str]) -> String {
        let labels: Vec<_> = labels.iter().map(|label| quote(label)).collect();
        format!(
            r#"{{"service":{},"address":"{}","zone":{},"version":"v1","slots":8,"state":"{state}","coldLeftMs":0,"capacity":{{"cpu":{CPU},"memMb":32768,"gpu":0}},"labels":[{}],"clockMs":{},"sequence":{sequence}{}}}"#,
            quote(&self.service),
            self.addr,
            quote(&self.zone),
            labels.join(","),
            self.clock(),
            self.born_field()
        )
    }

    fn announce(&self, keepers: &[SocketAddr]) {
        let mut sequence = 0;
        let mut next = 0;
        loop {
            for _ in 0..keepers.len() {
                sequence += 1;
                let body = self.ping(sequence, "ready", &[&self.kind, "r1-1"]);
                let path = format!("/-/instances/{}", self.id);
                let answer = http::call(
                    keepers[next],
                    "PUT",
                    &path,
                    "control",
                    body.as_bytes(),
                    Duration::from_secs(1),
                );
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    break;
                }
                next = (next + 1) % keepers.len();
            }
            thread::sleep(HEARTBEAT);
        }
    }

    /// Ends the runs that are done or whose lease has expired.
    fn expire(&self, state: &mut State) {
        let clock = self.clock();
        let lapsed = !state.running.is_empty() && state.lease <= clock;
        let over: Vec<_> = state
            .running
            .iter()
            .filter(|(_, run)| lapsed || run.ends_at <= clock)
            .map(|(task, _)| task.clone())
            .collect();
        for task in over {
            let how = if state.running[&task].ends_at <= clock {
                "done"
            } else {
                "lapsed"
            };
            self.end(state, &task, how);
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        state.serial += 1;
        let end = End {
            serial: state.serial,
            task: task.to_owned(),
            run: run.number,
            how,
        };
        state.ends.push(end);
        let over = state.over.entry(task.to_owned()).or_default();
        *over = (*over).max(run.number);
        let now = self.record.ms();
        if let Some(started) = state
            .started
            .iter_mut()
            .rev()
            .find(|s| s.task == task && s.run == run.number)
        {
            started.ended = Some((now, how));
        }
        self.record.line(&format!(
            "{} ended {task} run {}: {how}",
            self.id, run.number
        ));
        self.changed.notify_all();
    }

    fn extend(&self, state: &mut State, deadline: Option<u64>) {
        if let Some(deadline) = deadline {
            state.lease = state.lease.max(deadline.min(self.clock() + HOLD_MAX_MS));
        }
    }

    fn conflict(&self, reason: &str) -> (u16, String) {
        (
            409,
            format!(r#"{{"clockMs":{},"reason":"{reason}"}}"#, self.clock()),
        )
    }

    fn handle(&self, request: &Message) -> (u16, String) {
        if request.method() == "GET" {
            return (200, "{}".to_owned());
        }
        if request
            .header("Expect-Instance")
            .is_some_and(|wanted| wanted != self.id)
        {
            return (421, format!(r#"{{"clockMs":{}}}"#, self.clock()));
        }
        let Some(body) = Value::parse(&request.body) else {
            return (400, format!(r#"{{"clockMs":{}}}"#, self.clock()));
        };
        let mut state = self.state.lock().expect("the state");
        self.expire(&mut state);
        let fence = body.number("fencingToken").unwrap_or(0);
        if fence < state.fence {
            return self.conflict("fence");
        }
        state.fence = fence;
        match request.path() {
            "/-/run-start" => self.run_start(&mut state, &body),
            "/-/run-stop" => {
                let (task, number) = (body.text("task"), body.number("runId").unwrap_or(0));
                let over = state.over.entry(task.clone()).or_default();
                *over = (*over).max(number);
                if state
                    .running
                    .get(&task)
                    .is_some_and(|run| run.number == number)
                {
                    self.end(&mut state, &task, "stopped");
                }
                (200, format!(r#"{{"clockMs":{}}}"#, self.clock()))
            }
            "/-/hold" => {
                self.extend(&mut state, body.number("deadlineMs"));
                let cursor = body.number("ackCursor").unwrap_or(0);
                state.ends.retain(|end| end.serial > cursor);
                let until = Instant::now()
                    + Duration::from_millis(body.number("waitMs").unwrap_or(0).min(2_000));
                while state.ends.is_empty() && Instant::now() < until {
                    let left = until.saturating_duration_since(Instant::now());
                    state = self.changed.wait_timeout(state, left).expect("the state").0;
                }
                (200, self.lists(&state))
            }
            _ => (400, format!(r#"{{"clockMs":{}}}"#, self.clock())),
        }
    }

    /// The spec of a task is `ms=N cpu=N`: how long it runs and what it takes.
    fn run_start(&self, state: &mut State, body: &Value) -> (u16, String) {
        let (task, number, spec) = (
            body.text("task"),
            body.number("runId").unwrap_or(0),
            body.text("spec"),
        );
        let deadline = body.number("deadlineMs").unwrap_or(0);
        let field = |name: &str| {
            spec.split(' ')
                .find_map(|part| part.strip_prefix(name))
                .and_then(|n| n.parse::<u64>().ok())
        };
        let cpu = field("cpu=").unwrap_or(500);
        let accepted = (200, format!(r#"{{"clockMs":{}}}"#, self.clock()));
        if state
            .running
            .get(&task)
            .is_some_and(|run| run.number == number)
        {
            return accepted;
        }
        if state.over.get(&task).is_some_and(|over| number <= *over) {
            self.extend(state, Some(deadline));
            return self.conflict("old");
        }
        if deadline <= self.clock() {
            return self.conflict("late");
        }
        let used: u64 = state.running.values().map(|run| run.cpu).sum();
        self.extend(state, Some(deadline));
        if state.running.contains_key(&task) || used + cpu > CPU {
            return self.conflict("room");
        }
        let began_at = self.clock();
        let ends_at = began_at + field("ms=").unwrap_or(100);
        state.running.insert(
            task.clone(),
            Run {
                number,
                cpu,
                began_at,
                ends_at,
            },
        );
        state.started.push(Started {
            at: self.record.ms(),
            task: task.clone(),
            run: number,
            ended: None,
        });
        self.record
            .line(&format!("{} starts {task} run {number}", self.id));
        accepted
    }

    fn lists(&self, state: &State) -> String {
        let clock = self.clock();
        let percent = |run: &Run| {
            (clock.saturating_sub(run.began_at) * 100 / (run.ends_at - run.began_at).max(1))
                .min(100)
        };
        let row = |(task, run): (&String, &Run)| {
            format!(
                r#"[{},{},"",{},{}]"#,
                quote(task),
                run.number,
                percent(run),
                run.cpu
            )
        };
        let running: Vec<_> = state.running.iter().map(row).collect();
        let ends: Vec<_> = state
            .ends
            .iter()
            .take(500)
            .map(|end| {
                format!(
                    r#"[{},{},{},"{}",""]"#,
                    end.serial,
                    quote(&end.task),
                    end.run,
                    end.how
                )
            })
            .collect();
        format!(
            r#"{{"clockMs":{clock},"running":[{}],"finished":[{}]{}}}"#,
            running.join(","),
            ends.join(","),
            self.born_field()
        )
    }
}

fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| span.as_millis() as u64)
}

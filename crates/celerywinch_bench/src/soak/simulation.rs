//! The simulation of a deployment's entries.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use celerywinch_catalogue::Catalogue;
use celerywinch_claims::Limits;
use celerywinch_entry::{
    Call, CallEnd, CallId, Config, ConfigBuilder, Entry, Event as EntryEvent, Input, Output, Reply,
    WaiterId,
};
use celerywinch_types::{
    DataCentreId, Incarnation, InstanceId, Key, PeerMsg, Process, Submission, TaskBody, Time,
    WallMs,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::endpoints::Endpoint;
use super::faults::{Fault, draw_fault};
use super::history::History;
use super::network::Network;
use crate::deployment::CONDOR;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// The seed of all random choices.
    pub seed: u64,
    /// Number of events to handle.
    pub steps: u64,
    /// Whether faults are injected.
    pub faults: bool,
    /// A key whose messages and events are printed as they happen, with all faults.
    pub follow: Option<String>,
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Number of events handled.
    pub steps: u64,
    /// Number of task starts.
    pub starts: u64,
    /// Number of outcomes that callers received.
    pub outcomes: u64,
    /// Number of replies by name.
    pub replies: std::collections::BTreeMap<String, u64>,
    /// Violations of the guarantees, one text for each.
    pub violations: Vec<String>,
    /// The last events before the end of the run.
    pub last_events: Vec<String>,
}

/// Data centres with their numbers of entries, such that every layout of replicas occurs.
const LAYOUT: &[(&str, usize)] = &[("a", 3), ("b", 2), ("c", 1)];
/// Number of endpoints of each data centre.
const ENDPOINTS: u16 = 3;
/// The kind of all submitted jobs.
const KIND: &str = "stock-hold";
/// Wall-clock time at the start, in milliseconds since the Unix epoch.
const START_WALL_MS: u64 = 1_700_000_000_000;
/// Number of recent events kept for the report.
const MAX_RECENT_EVENTS: usize = 60;
/// Limits on the age of keys, shorter than in production, so that keys expire and are forgotten while
/// they are still resubmitted.
const LIMITS: Limits = Limits {
    window: Duration::from_secs(8),
    skew: Duration::from_millis(250),
    retention: Duration::from_secs(2),
};

#[derive(Debug)]
enum Event {
    Deliver(usize, Process, Box<PeerMsg>),
    Arrive(usize, Incarnation, Box<Call>),
    /// A call of a node ends; the last field is the endpoint whose slot becomes free, if it started the task.
    CallEnds(usize, Incarnation, CallId, Box<CallEnd>, Option<usize>),
    Tick(usize, u64),
    Announce(usize),
    Submit,
    Resubmit(Box<Submission>, Time),
    Cancel(Key),
    Lookup(Key),
    Start(usize),
    Resume(usize),
    Fault,
}

struct Node {
    id: InstanceId,
    dc: DataCentreId,
    /// How far the wall clock of this node is ahead, in milliseconds.
    skew_ms: u64,
    incarnation: u64,
    entry: Option<Entry>,
    /// Events that a frozen process handles after it resumes.
    deferred_events: Vec<Event>,
    is_frozen: bool,
    waiters: HashMap<WaiterId, Key>,
    /// The latest incarnation of each other instance from which a message was received.
    latest_incarnations: BTreeMap<InstanceId, Incarnation>,
}

impl Node {
    /// Returns whether a message of `from` is delivered: links drop messages of a process whose instance has been
    /// restarted since.
    fn accepts(&mut self, from: Process) -> bool {
        let latest = self.latest_incarnations.entry(from.instance);
        let latest = latest.or_insert(from.incarnation);
        *latest = from.incarnation.max(*latest);
        *latest == from.incarnation
    }
}

struct Simulation {
    now: Time,
    random: ChaCha8Rng,
    /// Scheduled events by time and serial number.
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    /// The events of `queue` by serial number.
    events: HashMap<u64, Event>,
    serial: u64,
    nodes: Vec<Node>,
    endpoints: Vec<Endpoint>,
    network: Network,
    history: History,
    catalogue: Arc<Catalogue>,
    report: Report,
    recent_events: VecDeque<String>,
    key_count: u64,
    options: SoakOptions,
}

/// Simulates the entries of a deployment and checks the resulting history.
///
/// # Errors
///
/// Returns an error if the shipped catalogue is invalid.
pub fn run(options: SoakOptions) -> anyhow::Result<Report> {
    let document = CONDOR.document()?;
    let catalogue = Catalogue::check(1, document)
        .map_err(|problems| anyhow::anyhow!("catalogue: {problems:?}"))?;
    let steps = options.steps;
    let mut simulation = Simulation::new(options, Arc::new(catalogue));
    while simulation.report.steps < steps && simulation.step() {}
    Ok(simulation.finish())
}

impl Simulation {
    fn new(options: SoakOptions, catalogue: Arc<Catalogue>) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(options.seed);
        let mut nodes = Vec::new();
        for (number, (_, count)) in LAYOUT.iter().enumerate() {
            for _ in 0..*count {
                nodes.push(Node {
                    id: InstanceId(u32::try_from(nodes.len() + 1).unwrap_or(u32::MAX)),
                    dc: DataCentreId(u8::try_from(number + 1).unwrap_or(u8::MAX)),
                    skew_ms: random.random_range(0..200),
                    incarnation: 0,
                    entry: None,
                    deferred_events: Vec::new(),
                    is_frozen: false,
                    waiters: HashMap::new(),
                    latest_incarnations: BTreeMap::new(),
                });
            }
        }
        let dc_count = u16::try_from(LAYOUT.len()).unwrap_or(1);
        let endpoints = (0..ENDPOINTS * dc_count)
            .map(|i| Endpoint::new(i, DataCentreId(u8::try_from(i % dc_count + 1).unwrap_or(1))));
        let endpoints = endpoints.collect();
        let mut simulation = Self {
            now: Time(1_000_000),
            random,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            serial: 0,
            nodes,
            endpoints,
            network: Network::new(),
            history: History::default(),
            catalogue,
            report: Report::default(),
            recent_events: VecDeque::new(),
            key_count: 0,
            options,
        };
        simulation.schedule_initial_events();
        simulation
    }

    fn schedule_initial_events(&mut self) {
        for node in 0..self.nodes.len() {
            self.start(node);
        }
        for endpoint in 0..self.endpoints.len() {
            self.schedule(
                Duration::from_millis(endpoint as u64 + 1),
                Event::Announce(endpoint),
            );
        }
        self.schedule(Duration::from_secs(1), Event::Submit);
        if self.options.faults {
            self.schedule(Duration::from_secs(2), Event::Fault);
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse((self.now + delay, self.serial)));
        self.events.insert(self.serial, event);
    }

    fn step(&mut self) -> bool {
        let Some(Reverse((at, serial))) = self.queue.pop() else {
            return false;
        };
        let Some(event) = self.events.remove(&serial) else {
            return true;
        };
        self.now = at;
        self.report.steps += 1;
        self.handle_event(event);
        true
    }

    fn handle_event(&mut self, event: Event) {
        if let Some(node) = suspendable_node(&event)
            && self.nodes[node].is_frozen
        {
            self.nodes[node].deferred_events.push(event);
            return;
        }
        match event {
            Event::Deliver(node, from, msg) => {
                if !self.nodes[node].accepts(from) {
                    return;
                }
                if self.options.follow.is_some() {
                    let to = self.nodes[node].id;
                    let from = (from.instance.0, from.incarnation.0);
                    self.print_if_followed(&format!(
                        "{:>10} {from:?} to {to}: {msg:?}",
                        self.now.0
                    ));
                }
                self.handle_input(node, Input::PeerMessage(from, *msg));
            }
            Event::Arrive(node, incarnation, call) => self.handle_call(node, incarnation, &call),
            Event::CallEnds(node, incarnation, call, end, endpoint) => {
                if let Some(endpoint) = endpoint {
                    self.endpoints[endpoint].finish_task();
                }
                if self.nodes[node].incarnation == incarnation.0 {
                    self.handle_input(node, Input::CallEnded(call, *end));
                }
            }
            Event::Tick(node, incarnation) => self.tick(node, incarnation),
            Event::Announce(endpoint) => self.announce(endpoint),
            Event::Submit => self.submit(),
            Event::Resubmit(submission, deadline) => {
                let mut submission = *submission;
                submission.remaining = deadline.since(self.now).max(Duration::from_millis(60));
                self.send_submission(submission);
            }
            Event::Cancel(key) => self.request(|id| Input::Cancel(id, vec![key.clone()]), &key),
            Event::Lookup(key) => self.request(|id| Input::Lookup(id, key.clone()), &key),
            Event::Start(node) => self.start(node),
            Event::Resume(node) => self.resume(node),
            Event::Fault => self.inject_fault(),
        }
    }

    fn config(&self, node: &Node) -> Config {
        let nodes = self.nodes.iter();
        let instances = nodes.map(|node| {
            let name = LAYOUT[usize::from(node.dc.0) - 1].0;
            (node.id, node.dc, name.to_owned())
        });
        let me = Process {
            instance: node.id,
            incarnation: Incarnation(node.incarnation),
        };
        let wall = WallMs(START_WALL_MS + self.now.0 / 1000 + node.skew_ms);
        ConfigBuilder::new(me, node.dc, wall, instances.collect())
            .seed(self.options.seed ^ node.incarnation << 8 ^ u64::from(node.id.0))
            .limits(LIMITS)
            .build()
    }

    fn start(&mut self, index: usize) {
        // The node is already running if it still drains, or if another fault has led to a start before.
        if self.nodes[index].entry.is_some() {
            return;
        }
        self.nodes[index].incarnation += 1;
        self.nodes[index].latest_incarnations.clear();
        let config = self.config(&self.nodes[index]);
        let entry = Entry::new(config, self.now);
        self.nodes[index].entry = Some(entry);
        let catalogue = self.catalogue.clone();
        self.handle_input(index, Input::InitialCatalogue(catalogue));
        self.schedule(
            Duration::from_millis(1),
            Event::Tick(index, self.nodes[index].incarnation),
        );
    }

    fn tick(&mut self, node: usize, incarnation: u64) {
        if self.nodes[node].entry.is_none() || self.nodes[node].incarnation != incarnation {
            return;
        }
        self.handle_input(node, Input::Tick);
        if self.nodes[node]
            .entry
            .as_ref()
            .is_some_and(Entry::is_drained)
        {
            self.nodes[node].entry = None;
            // Start a new process after the planned stop.
            self.schedule(Duration::from_millis(100), Event::Start(node));
            return;
        }
        let due = self.nodes[node].entry.as_ref().and_then(Entry::next_due);
        let wait = due.unwrap_or(Time::NEVER).since(self.now);
        let wait = wait.clamp(Duration::from_micros(200), Duration::from_millis(20));
        self.schedule(wait, Event::Tick(node, incarnation));
    }

    fn handle_input(&mut self, node: usize, input: Input) {
        let now = self.now;
        let Some(entry) = &mut self.nodes[node].entry else {
            return;
        };
        let mut outputs = Vec::new();
        entry.handle(now, input, &mut outputs);
        for output in outputs {
            self.handle_output(node, output);
        }
    }

    fn handle_output(&mut self, node: usize, output: Output) {
        match output {
            Output::Send(to, msg) => self.send(node, to, msg),
            Output::Start(call) => {
                let incarnation = Incarnation(self.nodes[node].incarnation);
                let delay = Duration::from_micros(self.random.random_range(50..400));
                self.schedule(delay, Event::Arrive(node, incarnation, Box::new(call)));
            }
            Output::Reply(waiter, reply) => self.handle_reply(node, waiter, &reply),
            Output::Event(event) => self.handle_entry_event(node, &event),
            Output::SaveCatalogue(_) | Output::Probe(_) | Output::Abort(_) => {}
        }
    }

    fn send(&mut self, node: usize, to: InstanceId, msg: PeerMsg) {
        let Some(target) = self.nodes.iter().position(|n| n.id == to) else {
            return;
        };
        let from = Process {
            instance: self.nodes[node].id,
            incarnation: Incarnation(self.nodes[node].incarnation),
        };
        for delay in self.network.deliveries(node, target, &mut self.random) {
            let msg = Box::new(msg.clone());
            self.schedule(delay, Event::Deliver(target, from, msg));
        }
    }

    fn handle_entry_event(&mut self, node: usize, event: &EntryEvent) {
        let line = format!("{:>10} {}: {event:?}", self.now.0, self.nodes[node].id);
        if let EntryEvent::Violation { .. } = event {
            self.report.violations.push(line.clone());
        }
        self.record_line(line);
    }

    /// Keeps a line for the report, and prints it if it concerns the followed key or a fault.
    fn record_line(&mut self, line: String) {
        self.print_if_followed(&line);
        self.recent_events.push_back(line);
        if self.recent_events.len() > MAX_RECENT_EVENTS {
            self.recent_events.pop_front();
        }
    }

    fn print_if_followed(&self, line: &str) {
        let followed = self.options.follow.as_deref();
        if followed.is_some_and(|key| line.contains(key) || line.contains("Fault")) {
            println!("{line}");
        }
    }

    fn handle_call(&mut self, node: usize, incarnation: Incarnation, call: &Call) {
        let Some(index) = self.endpoints.iter().position(|e| e.addr() == call.addr) else {
            return;
        };
        let result = self.endpoints[index].handle_task(&call.key, call.index, &mut self.random);
        if result.started {
            self.history.record_start(&call.key, call.index);
        }
        let endpoint = result.started.then_some(index);
        let end = Box::new(result.end);
        self.schedule(
            result.delay,
            Event::CallEnds(node, incarnation, call.id, end, endpoint),
        );
    }

    fn announce(&mut self, endpoint: usize) {
        self.schedule(Duration::from_millis(700), Event::Announce(endpoint));
        let dc = self.endpoints[endpoint].dc;
        let announcement = self.endpoints[endpoint].next_announcement(KIND);
        let local: Vec<_> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].dc == dc && self.nodes[*node].entry.is_some())
            .collect();
        if local.is_empty() {
            return;
        }
        let node = local[self.random.random_range(0..local.len())];
        if !self.nodes[node].is_frozen {
            self.handle_input(node, Input::Announce(announcement));
        }
    }

    fn submit(&mut self) {
        self.key_count += 1;
        let created_at = START_WALL_MS + self.now.0 / 1000;
        let home_prefix = ["a:", "b:", "c:", ""][self.random.random_range(0..4)];
        let text = format!("{home_prefix}k{}@{created_at}", self.key_count);
        let Ok(key) = Key::parse(&text) else {
            return;
        };
        let tasks = self.random.random_range(1..6);
        let deadline = Duration::from_millis(self.random.random_range(60..1500));
        let submission = Submission {
            key: key.clone(),
            kind: KIND.into(),
            team: "checkout".into(),
            digest: self.key_count,
            remaining: deadline,
            tasks: vec![TaskBody("1".into()); tasks],
        };
        let count = u32::try_from(tasks).unwrap_or(u32::MAX);
        self.history.record_submission(&key, count);
        self.schedule_follow_ups(&submission, deadline);
        self.send_submission(submission);
        let next = Duration::from_micros(self.random.random_range(1_000..40_000));
        self.schedule(next, Event::Submit);
    }

    /// Schedules resubmissions, at the same moment and later, and sometimes a lookup or a cancellation.
    fn schedule_follow_ups(&mut self, submission: &Submission, deadline: Duration) {
        let until = self.now + deadline;
        let copies = self.random.random_range(0..4);
        for _ in 0..copies {
            let delay = match self.random.random_range(0..4) {
                0 => Duration::ZERO,
                1 => Duration::from_millis(self.random.random_range(0..50)),
                2 => Duration::from_millis(self.random.random_range(0..2_000)),
                _ => Duration::from_millis(self.random.random_range(0..15_000)),
            };
            self.schedule(delay, Event::Resubmit(Box::new(submission.clone()), until));
        }
        let later = Duration::from_millis(self.random.random_range(0..4_000));
        if self.random.random_bool(0.1) {
            self.schedule(later / 20, Event::Cancel(submission.key.clone()));
        }
        if self.random.random_bool(0.2) {
            self.schedule(later, Event::Lookup(submission.key.clone()));
        }
    }

    fn send_submission(&mut self, submission: Submission) {
        let key = submission.key.clone();
        self.request(|id| Input::Submit(id, submission.clone()), &key);
    }

    /// Sends a caller's request about `key` to a random entry that runs.
    fn request(&mut self, input: impl Fn(WaiterId) -> Input, key: &Key) {
        let running: Vec<_> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].entry.is_some() && !self.nodes[*node].is_frozen)
            .collect();
        if running.is_empty() {
            return;
        }
        let node = running[self.random.random_range(0..running.len())];
        self.serial += 1;
        let waiter = WaiterId(self.serial);
        self.nodes[node].waiters.insert(waiter, key.clone());
        self.handle_input(node, input(waiter));
    }

    fn handle_reply(&mut self, node: usize, waiter: WaiterId, reply: &Reply) {
        let Some(key) = self.nodes[node].waiters.remove(&waiter) else {
            let line = format!("a second reply to {waiter:?}: {reply:?}");
            self.report.violations.push(line);
            return;
        };
        let name = match reply {
            Reply::Outcome(outcome) => {
                self.history.record_outcome(&key, outcome);
                outcome.name()
            }
            Reply::Conflict => "conflict",
            Reply::TooNew => "too new",
            Reply::Undecided { .. } => "undecided",
            Reply::Unknown => "unknown",
            Reply::Cancelled(_) => "cancelled",
        };
        if *reply == Reply::Conflict {
            self.report
                .violations
                .push(format!("{key}: a false conflict"));
        }
        *self.report.replies.entry(name.into()).or_default() += 1;
    }

    fn inject_fault(&mut self) {
        let next = Duration::from_millis(self.random.random_range(100..4_000));
        self.schedule(next, Event::Fault);
        let fault = draw_fault(
            self.nodes.len(),
            self.network.is_connected(),
            &mut self.random,
        );
        self.record_line(format!("{:>10} Fault::{fault:?}", self.now.0));
        match fault {
            Fault::Kill(node, pause_ms) => self.kill(node, pause_ms),
            Fault::Freeze(node, pause_ms) => {
                self.nodes[node].is_frozen = true;
                self.schedule(Duration::from_millis(pause_ms), Event::Resume(node));
            }
            Fault::CutCentre(node) => self.isolate_dc(self.nodes[node].dc),
            Fault::CutOneWay(from, to) => self.network.block(from, to),
            Fault::Heal => self.network.heal(),
            Fault::Stop(node) => {
                if !self.nodes[node].is_frozen {
                    self.handle_input(node, Input::Stop);
                }
            }
        }
    }

    fn kill(&mut self, node: usize, pause_ms: u64) {
        let node_state = &mut self.nodes[node];
        if node_state.entry.take().is_none() {
            return;
        }
        node_state.waiters.clear();
        node_state.is_frozen = false;
        // Calls in flight continue at their endpoints, so the ends that the frozen process has not handled
        // still free their slots.
        let deferred = std::mem::take(&mut node_state.deferred_events);
        for event in deferred {
            if let Event::CallEnds(_, _, _, _, Some(endpoint)) = event {
                self.endpoints[endpoint].finish_task();
            }
        }
        self.schedule(Duration::from_millis(pause_ms), Event::Start(node));
    }

    /// Partitions a data centre from all others.
    fn isolate_dc(&mut self, dc: DataCentreId) {
        for from in 0..self.nodes.len() {
            for to in 0..self.nodes.len() {
                if (self.nodes[from].dc == dc) != (self.nodes[to].dc == dc) {
                    self.network.block(from, to);
                }
            }
        }
    }

    fn resume(&mut self, node: usize) {
        if !self.nodes[node].is_frozen {
            return;
        }
        self.nodes[node].is_frozen = false;
        for event in std::mem::take(&mut self.nodes[node].deferred_events) {
            self.handle_event(event);
        }
    }

    fn finish(mut self) -> Report {
        self.report.violations.extend(self.history.violations());
        self.report.starts = self.history.starts;
        self.report.outcomes = self.history.outcomes;
        self.report.last_events = self.recent_events.into();
        self.report
    }
}

/// Returns the node that handles an event, if a frozen process must handle it only after it resumes.
fn suspendable_node(event: &Event) -> Option<usize> {
    match event {
        Event::Deliver(node, ..) | Event::CallEnds(node, ..) | Event::Tick(node, _) => Some(*node),
        _ => None,
    }
}

//! The driver of a run.

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
use super::faults::{Fault, draw};
use super::history::History;
use super::network::Network;
use crate::deployment::CONDOR;

/// What a run is told.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// The seed.
    pub seed: u64,
    /// How many events are handled.
    pub steps: u64,
    /// Whether faults happen.
    pub faults: bool,
    /// A key whose messages and events, and all faults, are printed as they happen.
    pub follow: Option<String>,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Events handled.
    pub steps: u64,
    /// Tasks started.
    pub starts: u64,
    /// Outcomes told to callers.
    pub outcomes: u64,
    /// Replies by name.
    pub replies: std::collections::BTreeMap<String, u64>,
    /// Everything that cannot be true.
    pub violations: Vec<String>,
    /// The last events of the time line.
    pub last_events: Vec<String>,
}

/// Data centres of the run with their entries: every layout of replicas is among them.
const LAYOUT: &[(&str, usize)] = &[("a", 3), ("b", 2), ("c", 1)];
/// Endpoints of each data centre.
const ENDPOINTS: u16 = 3;
/// The kind that is submitted.
const KIND: &str = "stock-hold";
/// The wall clock at the start, in milliseconds.
const EPOCH: u64 = 1_700_000_000_000;
/// Events kept for the report.
const KEPT_EVENTS: usize = 60;
/// Bounds on keys; shorter than in operation, so that keys get too old, and are forgotten, while
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
    CallEnds(usize, Incarnation, CallId, Box<CallEnd>, Option<usize>),
    Tick(usize, u64),
    Announce(usize),
    Submit,
    Resubmit(Box<Submission>, Time),
    Cancel(Key),
    Lookup(Key),
    Start(usize),
    Thaw(usize),
    Fault,
}

struct Node {
    id: InstanceId,
    dc: DataCentreId,
    /// How far its wall clock is ahead, in milliseconds.
    skew: u64,
    life: u64,
    entry: Option<Entry>,
    frozen: Vec<Event>,
    is_frozen: bool,
    waiters: HashMap<WaiterId, Key>,
    /// The latest process of each other instance that a message came from.
    latest: BTreeMap<InstanceId, Incarnation>,
}

impl Node {
    /// Links drop what a process had sent that another one of its instance has replaced.
    fn accepts(&mut self, from: Process) -> bool {
        let latest = self.latest.entry(from.instance);
        let latest = latest.or_insert(from.incarnation);
        *latest = from.incarnation.max(*latest);
        *latest == from.incarnation
    }
}

struct World {
    now: Time,
    random: ChaCha8Rng,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    bodies: HashMap<u64, Event>,
    serial: u64,
    nodes: Vec<Node>,
    endpoints: Vec<Endpoint>,
    network: Network,
    history: History,
    catalogue: Arc<Catalogue>,
    report: Report,
    recent: VecDeque<String>,
    keys: u64,
    options: SoakOptions,
}

/// Runs and checks.
///
/// # Errors
///
/// The shipped catalogue has a fault.
pub fn run(options: SoakOptions) -> anyhow::Result<Report> {
    let document = CONDOR.document()?;
    let catalogue = Catalogue::check(1, document)
        .map_err(|problems| anyhow::anyhow!("catalogue: {problems:?}"))?;
    let steps = options.steps;
    let mut world = World::new(options, Arc::new(catalogue));
    while world.report.steps < steps && world.step() {}
    Ok(world.finish())
}

impl World {
    fn new(options: SoakOptions, catalogue: Arc<Catalogue>) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(options.seed);
        let mut nodes = Vec::new();
        for (number, (_, count)) in LAYOUT.iter().enumerate() {
            for _ in 0..*count {
                nodes.push(Node {
                    id: InstanceId(u32::try_from(nodes.len() + 1).unwrap_or(u32::MAX)),
                    dc: DataCentreId(u8::try_from(number + 1).unwrap_or(u8::MAX)),
                    skew: random.random_range(0..200),
                    life: 0,
                    entry: None,
                    frozen: Vec::new(),
                    is_frozen: false,
                    waiters: HashMap::new(),
                    latest: BTreeMap::new(),
                });
            }
        }
        let centres = u16::try_from(LAYOUT.len()).unwrap_or(1);
        let endpoints = (0..ENDPOINTS * centres)
            .map(|i| Endpoint::new(i, DataCentreId(u8::try_from(i % centres + 1).unwrap_or(1))));
        let endpoints = endpoints.collect();
        let mut world = Self {
            now: Time(1_000_000),
            random,
            events: BinaryHeap::new(),
            bodies: HashMap::new(),
            serial: 0,
            nodes,
            endpoints,
            network: Network::new(),
            history: History::default(),
            catalogue,
            report: Report::default(),
            recent: VecDeque::new(),
            keys: 0,
            options,
        };
        world.prepare();
        world
    }

    fn prepare(&mut self) {
        for node in 0..self.nodes.len() {
            self.start(node);
        }
        for endpoint in 0..self.endpoints.len() {
            self.after(
                Duration::from_millis(endpoint as u64 + 1),
                Event::Announce(endpoint),
            );
        }
        self.after(Duration::from_secs(1), Event::Submit);
        if self.options.faults {
            self.after(Duration::from_secs(2), Event::Fault);
        }
    }

    fn after(&mut self, span: Duration, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((self.now + span, self.serial)));
        self.bodies.insert(self.serial, event);
    }

    fn step(&mut self) -> bool {
        let Some(Reverse((at, serial))) = self.events.pop() else {
            return false;
        };
        let Some(event) = self.bodies.remove(&serial) else {
            return true;
        };
        self.now = at;
        self.report.steps += 1;
        self.happen(event);
        true
    }

    fn happen(&mut self, event: Event) {
        if let Some(node) = struck(&event)
            && self.nodes[node].is_frozen
        {
            self.nodes[node].frozen.push(event);
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
                    self.follow(&format!("{:>10} {from:?} to {to}: {msg:?}", self.now.0));
                }
                self.input(node, Input::PeerMessage(from, *msg));
            }
            Event::Arrive(node, life, call) => self.arrive(node, life, &call),
            Event::CallEnds(node, life, call, end, endpoint) => {
                if let Some(endpoint) = endpoint {
                    self.endpoints[endpoint].end();
                }
                if self.nodes[node].life == life.0 {
                    self.input(node, Input::CallEnded(call, *end));
                }
            }
            Event::Tick(node, life) => self.tick(node, life),
            Event::Announce(endpoint) => self.announce(endpoint),
            Event::Submit => self.submit(),
            Event::Resubmit(submission, deadline) => {
                let mut submission = *submission;
                submission.remaining = deadline.since(self.now).max(Duration::from_millis(60));
                self.send_submission(submission);
            }
            Event::Cancel(key) => self.ask(|id| Input::Cancel(id, vec![key.clone()]), &key),
            Event::Lookup(key) => self.ask(|id| Input::Lookup(id, key.clone()), &key),
            Event::Start(node) => self.start(node),
            Event::Thaw(node) => self.thaw(node),
            Event::Fault => self.fault(),
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
            incarnation: Incarnation(node.life),
        };
        let wall = WallMs(EPOCH + self.now.0 / 1000 + node.skew);
        ConfigBuilder::new(me, node.dc, wall, instances.collect())
            .seed(self.options.seed ^ node.life << 8 ^ u64::from(node.id.0))
            .limits(LIMITS)
            .build()
    }

    fn start(&mut self, index: usize) {
        // One that still drains, or that a second fault has started before, goes on.
        if self.nodes[index].entry.is_some() {
            return;
        }
        self.nodes[index].life += 1;
        self.nodes[index].latest.clear();
        let config = self.config(&self.nodes[index]);
        let entry = Entry::new(config, self.now);
        self.nodes[index].entry = Some(entry);
        let catalogue = self.catalogue.clone();
        self.input(index, Input::InitialCatalogue(catalogue));
        self.after(
            Duration::from_millis(1),
            Event::Tick(index, self.nodes[index].life),
        );
    }

    fn tick(&mut self, node: usize, life: u64) {
        if self.nodes[node].entry.is_none() || self.nodes[node].life != life {
            return;
        }
        self.input(node, Input::Tick);
        if self.nodes[node]
            .entry
            .as_ref()
            .is_some_and(Entry::is_drained)
        {
            self.nodes[node].entry = None;
            // Whatever the planned stop was to be followed by.
            self.after(Duration::from_millis(100), Event::Start(node));
            return;
        }
        let due = self.nodes[node].entry.as_ref().and_then(Entry::next_due);
        let wait = due.unwrap_or(Time::NEVER).since(self.now);
        let wait = wait.clamp(Duration::from_micros(200), Duration::from_millis(20));
        self.after(wait, Event::Tick(node, life));
    }

    fn input(&mut self, node: usize, input: Input) {
        let now = self.now;
        let Some(entry) = &mut self.nodes[node].entry else {
            return;
        };
        let mut out = Vec::new();
        entry.handle(now, input, &mut out);
        for output in out {
            self.output(node, output);
        }
    }

    fn output(&mut self, node: usize, output: Output) {
        match output {
            Output::Send(to, msg) => self.send(node, to, msg),
            Output::Start(call) => {
                let life = Incarnation(self.nodes[node].life);
                let delay = Duration::from_micros(self.random.random_range(50..400));
                self.after(delay, Event::Arrive(node, life, Box::new(call)));
            }
            Output::Reply(waiter, reply) => self.reply(node, waiter, &reply),
            Output::Event(event) => self.event(node, &event),
            Output::SaveCatalogue(_) | Output::Probe(_) | Output::Abort(_) => {}
        }
    }

    fn send(&mut self, node: usize, to: InstanceId, msg: PeerMsg) {
        let Some(target) = self.nodes.iter().position(|n| n.id == to) else {
            return;
        };
        let from = Process {
            instance: self.nodes[node].id,
            incarnation: Incarnation(self.nodes[node].life),
        };
        for delay in self.network.deliveries(node, target, &mut self.random) {
            let msg = Box::new(msg.clone());
            self.after(delay, Event::Deliver(target, from, msg));
        }
    }

    fn event(&mut self, node: usize, event: &EntryEvent) {
        let line = format!("{:>10} {}: {event:?}", self.now.0, self.nodes[node].id);
        if let EntryEvent::Violation { .. } = event {
            self.report.violations.push(line.clone());
        }
        self.note(line);
    }

    /// Keeps a line for the report, and prints it if it is of the key that is followed.
    fn note(&mut self, line: String) {
        self.follow(&line);
        self.recent.push_back(line);
        if self.recent.len() > KEPT_EVENTS {
            self.recent.pop_front();
        }
    }

    fn follow(&self, line: &str) {
        let wanted = self.options.follow.as_deref();
        if wanted.is_some_and(|key| line.contains(key) || line.contains("Fault")) {
            println!("{line}");
        }
    }

    fn arrive(&mut self, node: usize, life: Incarnation, call: &Call) {
        let Some(index) = self.endpoints.iter().position(|e| e.addr() == call.addr) else {
            return;
        };
        let fate = self.endpoints[index].receive(&call.key, call.index, &mut self.random);
        if fate.starts {
            self.history.started(&call.key, call.index);
        }
        let endpoint = fate.starts.then_some(index);
        let end = Box::new(fate.end);
        self.after(
            fate.after,
            Event::CallEnds(node, life, call.id, end, endpoint),
        );
    }

    fn announce(&mut self, endpoint: usize) {
        self.after(Duration::from_millis(700), Event::Announce(endpoint));
        let dc = self.endpoints[endpoint].dc;
        let note = self.endpoints[endpoint].announce(KIND);
        let local: Vec<_> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].dc == dc && self.nodes[*node].entry.is_some())
            .collect();
        if local.is_empty() {
            return;
        }
        let node = local[self.random.random_range(0..local.len())];
        if !self.nodes[node].is_frozen {
            self.input(node, Input::Announce(note));
        }
    }

    fn submit(&mut self) {
        self.keys += 1;
        let born = EPOCH + self.now.0 / 1000;
        let home = ["a:", "b:", "c:", ""][self.random.random_range(0..4)];
        let text = format!("{home}k{}@{born}", self.keys);
        let Ok(key) = Key::parse(&text) else {
            return;
        };
        let tasks = self.random.random_range(1..6);
        let deadline = Duration::from_millis(self.random.random_range(60..1500));
        let submission = Submission {
            key: key.clone(),
            kind: KIND.into(),
            team: "checkout".into(),
            digest: self.keys,
            remaining: deadline,
            tasks: vec![TaskBody("1".into()); tasks],
        };
        let count = u32::try_from(tasks).unwrap_or(u32::MAX);
        self.history.submitted(&key, count);
        self.plan_more(&submission, deadline);
        self.send_submission(submission);
        let next = Duration::from_micros(self.random.random_range(1_000..40_000));
        self.after(next, Event::Submit);
    }

    /// Resubmissions at the same moment and later, lookups, and cancels.
    fn plan_more(&mut self, submission: &Submission, deadline: Duration) {
        let until = self.now + deadline;
        let copies = self.random.random_range(0..4);
        for _ in 0..copies {
            let delay = match self.random.random_range(0..4) {
                0 => Duration::ZERO,
                1 => Duration::from_millis(self.random.random_range(0..50)),
                2 => Duration::from_millis(self.random.random_range(0..2_000)),
                _ => Duration::from_millis(self.random.random_range(0..15_000)),
            };
            self.after(delay, Event::Resubmit(Box::new(submission.clone()), until));
        }
        let later = Duration::from_millis(self.random.random_range(0..4_000));
        if self.random.random_bool(0.1) {
            self.after(later / 20, Event::Cancel(submission.key.clone()));
        }
        if self.random.random_bool(0.2) {
            self.after(later, Event::Lookup(submission.key.clone()));
        }
    }

    fn send_submission(&mut self, submission: Submission) {
        let key = submission.key.clone();
        self.ask(|id| Input::Submit(id, submission.clone()), &key);
    }

    fn ask(&mut self, input: impl Fn(WaiterId) -> Input, key: &Key) {
        let alive: Vec<_> = (0..self.nodes.len())
            .filter(|node| self.nodes[*node].entry.is_some() && !self.nodes[*node].is_frozen)
            .collect();
        if alive.is_empty() {
            return;
        }
        let node = alive[self.random.random_range(0..alive.len())];
        self.serial += 1;
        let waiter = WaiterId(self.serial);
        self.nodes[node].waiters.insert(waiter, key.clone());
        self.input(node, input(waiter));
    }

    fn reply(&mut self, node: usize, waiter: WaiterId, reply: &Reply) {
        let Some(key) = self.nodes[node].waiters.remove(&waiter) else {
            let line = format!("a second reply to {waiter:?}: {reply:?}");
            self.report.violations.push(line);
            return;
        };
        let name = match reply {
            Reply::Outcome(outcome) => {
                self.history.told(&key, outcome);
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

    fn fault(&mut self) {
        let next = Duration::from_millis(self.random.random_range(100..4_000));
        self.after(next, Event::Fault);
        let fault = draw(self.nodes.len(), self.network.whole(), &mut self.random);
        self.note(format!("{:>10} Fault::{fault:?}", self.now.0));
        match fault {
            Fault::Kill(node, pause) => self.kill(node, pause),
            Fault::Freeze(node, pause) => {
                self.nodes[node].is_frozen = true;
                self.after(Duration::from_millis(pause), Event::Thaw(node));
            }
            Fault::CutCentre(node) => self.cut_centre(self.nodes[node].dc),
            Fault::CutOneWay(from, to) => self.network.cut(from, to),
            Fault::Heal => self.network.heal(),
            Fault::Stop(node) => {
                if !self.nodes[node].is_frozen {
                    self.input(node, Input::Stop);
                }
            }
        }
    }

    fn kill(&mut self, node: usize, pause: u64) {
        let dead = &mut self.nodes[node];
        if dead.entry.take().is_none() {
            return;
        }
        dead.waiters.clear();
        dead.is_frozen = false;
        // Calls under way go on at their endpoints, whoever sent them.
        let held = std::mem::take(&mut dead.frozen);
        for event in held {
            if let Event::CallEnds(_, _, _, _, Some(endpoint)) = event {
                self.endpoints[endpoint].end();
            }
        }
        self.after(Duration::from_millis(pause), Event::Start(node));
    }

    fn cut_centre(&mut self, dc: DataCentreId) {
        for from in 0..self.nodes.len() {
            for to in 0..self.nodes.len() {
                if (self.nodes[from].dc == dc) != (self.nodes[to].dc == dc) {
                    self.network.cut(from, to);
                }
            }
        }
    }

    fn thaw(&mut self, node: usize) {
        if !self.nodes[node].is_frozen {
            return;
        }
        self.nodes[node].is_frozen = false;
        for event in std::mem::take(&mut self.nodes[node].frozen) {
            self.happen(event);
        }
    }

    fn finish(mut self) -> Report {
        self.report.violations.extend(self.history.problems());
        self.report.starts = self.history.starts;
        self.report.outcomes = self.history.outcomes;
        self.report.last_events = self.recent.into();
        self.report
    }
}

/// The entry that an event happens at, if a frozen one does not notice it.
fn struck(event: &Event) -> Option<usize> {
    match event {
        Event::Deliver(node, ..) | Event::CallEnds(node, ..) | Event::Tick(node, _) => Some(*node),
        _ => None,
    }
}

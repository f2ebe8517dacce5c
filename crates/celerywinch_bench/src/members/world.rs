//! The simulated deployment: its state, its events and the delivery of messages.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use celerywinch_member::{Input, Member, MemberConfig, Output};
use celerywinch_pool::{Answer, CallKey, MAX_CLOCK_DRIFT, PoolConfig, PoolEvent};
use celerywinch_standin::{LeasedWorker, Ran};
use celerywinch_types::{
    DataCentreId, DisabledMechanisms, FleetHeartbeat, FleetMsg, Incarnation, InstanceId, JobId,
    Process, ProcessKind, Resources, TaskId, Time, TimerQueue, WallMs, WorkerAnnouncement, score,
};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::callers::CallerJob;
use super::congestion::Backlog;
use super::evacuations::AcknowledgedEvacuations;
use super::faults::FaultPlan;
use super::history::Violation;
use super::impairments::ImpairmentPlan;
use super::lifecycle::AnnouncedState;
use super::links::{ControlTraffic, LinkDirection, message_size};
use super::load::{ClassStats, LoadPlan, WorkerKinds};
use super::partitions::IsolatedEntries;
use super::refusals::Refusals;
use super::resets::Resets;
use super::workers::{CallInFlight, UnansweredCalls, WorkerHost};

/// Start of the load. All members are ready by then.
const LOAD_START: Time = Time(1_500_000);
/// Interval between two ticks of a member.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// One-way network delay within a data centre in the reference deployment.
const LOCAL_DELAY: Duration = Duration::from_micros(100);
/// One-way network delay between two data centres in the reference deployment.
const REMOTE_DELAY: Duration = Duration::from_micros(1_400);
/// Delay until a member that was stopped as planned starts again.
const RESTART_DELAY: Duration = Duration::from_millis(600);
/// Time from a request to stop until the process of the member ends.
const STOP_GRACE: Duration = Duration::from_millis(1_500);
/// Minimum time that the simulation runs on after the load; at its end no member may have open work.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Interval at which a run that ends early checks whether all work has ended.
const SETTLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time that the simulation runs on after the longest timeout of a caller. When a caller gives up, its tasks are
/// stopped, and 400 ms later their ends are acknowledged to the workers.
const LAST_CALLER_MARGIN: Duration = Duration::from_secs(2);
/// Wall-clock time at the start of a run, in ms since 1970.
pub(crate) const START_WALL_MS: u64 = 1_700_000_000_000;
/// Maximum error of wall clocks in runs with clock skew, in ms. In real deployments they jump by seconds.
pub(crate) const MAX_SKEW_MS: u64 = 5_000;
/// With uneven entries, one in this many can carry more workers than the others.
const LARGE_ENTRY_INTERVAL: usize = 3;
/// How many times as many workers it can carry.
const LARGE_ENTRY_FACTOR: usize = 3;

/// Options of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct MembersOptions {
    /// Seed of the random source.
    pub seed: u64,
    /// Number of data centres.
    pub dcs: u8,
    /// Number of entries, spread over the data centres.
    pub entries: u32,
    /// Number of workers, spread over the data centres.
    pub workers: u32,
    /// Speeds and sizes of the workers.
    pub kinds: WorkerKinds,
    /// Maximum number of workers of one dispatcher.
    pub shard_size: usize,
    /// Mechanisms of dispatching that are disabled.
    pub disabled: DisabledMechanisms,
    /// Bandwidth of a member's link in each direction, in bytes per second; `None` for unlimited.
    pub link_rate: Option<u64>,
    /// Time at which the load ends, in ms from the start of the run.
    pub load_ms: u64,
    /// Whether the run ends once all jobs have ended and no member has open work, instead of some seconds after the load.
    pub early_end: bool,
    /// The load.
    pub load: LoadPlan,
    /// Time from which on submitted jobs count in the statistics, in ms from the start of the run.
    pub count_ms: u64,
    /// Calls to workers that get no answer, if any.
    pub unanswered: Option<UnansweredCalls>,
    /// Injected faults, if any.
    pub faults: Option<FaultPlan>,
    /// Job whose events are printed, together with those of membership and of faults.
    pub follow: Option<JobId>,
}

impl Default for MembersOptions {
    /// Returns the reference deployment, with one dispatcher and a load of 12 s.
    fn default() -> Self {
        Self {
            seed: 1,
            dcs: 3,
            entries: 7,
            workers: 48,
            kinds: WorkerKinds::default(),
            shard_size: 80,
            disabled: DisabledMechanisms::default(),
            link_rate: None,
            load_ms: 12_000,
            early_end: false,
            load: LoadPlan::default(),
            count_ms: 0,
            unanswered: None,
            faults: None,
            follow: None,
        }
    }
}

/// Result of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MembersReport {
    /// Statistics by class of jobs, in the order of the plan.
    pub classes: Vec<ClassStats>,
    /// Violated guarantees.
    pub violations: Vec<Violation>,
    /// Number of runs on workers, and how many of them were interrupted.
    pub runs: (usize, usize),
    /// Control traffic that each member has sent since the load began.
    pub control: Vec<ControlTraffic>,
}

/// Scheduled event. The first number is the index of the member, worker, class or job that it concerns; a number after
/// it is the incarnation of the member, the restarts of the worker or the attempt of the job that it is meant for.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    Tick(usize, u64),
    Deliver(usize, u64, Source, FleetMsg),
    ReceiveCall(usize, CallInFlight),
    ExecuteLate(usize, CallInFlight),
    Answer(usize, u64, CallKey, Answer),
    LateAnswer(usize, u64, Duration),
    ConnectionRefused(usize, u64, usize),
    LinkReset(usize, u64, usize),
    NewJob(usize),
    Resubmit(usize, u32),
    AbandonJob(usize, u32),
    InjectFault,
    StartMember(usize),
    EndMember(usize, u64),
    Unfreeze(usize),
    HealDataCentre(u8),
    EndIsolation,
    Announce(usize),
    RestartWorker(usize),
    FinishDraining(usize, u32),
    RestoreCapacity(usize, u32),
    StaleAnnouncement(WorkerAnnouncement),
    CrashByTask(usize, u32, TaskId),
    RestoreHealth(usize),
    Impair(usize, ImpairmentPlan),
    AnnounceAll,
    ReopenLinks(usize),
    RetryRefusedLinks,
    EndRefusals,
    ReopenLink(usize, usize),
}

/// Identifies the process that sent a message, by the index and the incarnation of its member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Source {
    index: usize,
    incarnation: u64,
}

/// Simulated member and the state of its process and links.
#[derive(Debug)]
pub(crate) struct MemberHost {
    pub(crate) member: Option<Member>,
    pub(crate) dc: u8,
    incarnation: u64,
    frozen: bool,
    leaving: bool,
    /// Events that have arrived while the process is frozen.
    deferred: Vec<Event>,
    /// Latest incarnation of each other member that a message was received from.
    latest_incarnations: BTreeMap<usize, u64>,
    pub(crate) backlog: Backlog,
    /// Evacuations that the process knows of, and since when.
    pub(crate) told_evacuations: BTreeMap<DataCentreId, Time>,
    outgoing: LinkDirection,
    incoming: LinkDirection,
    pub(crate) control: ControlTraffic,
}

impl MemberHost {
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub(crate) fn is_frozen(&self) -> bool {
        self.frozen
    }

    pub(crate) fn is_up(&self) -> bool {
        self.member.is_some()
    }
}

pub(crate) struct World {
    pub(crate) options: MembersOptions,
    pub(crate) now: Time,
    pub(crate) random: ChaCha8Rng,
    events: TimerQueue<Event>,
    pub(crate) members: Vec<MemberHost>,
    pub(crate) workers: Vec<WorkerHost>,
    pub(crate) jobs: Vec<CallerJob>,
    pub(crate) history: Vec<Ran>,
    /// Violations that were found during the run.
    pub(crate) violations: Vec<Violation>,
    /// Times at which workers were crashed by each task.
    pub(crate) worker_crashes: HashMap<TaskId, Vec<Time>>,
    /// Data centres that are partitioned from the others.
    pub(crate) cut_dcs: BTreeSet<u8>,
    /// Entries that are partitioned from all other members.
    pub(crate) isolated: IsolatedEntries,
    /// Pairs of members between which connections are refused.
    pub(crate) refusals: Refusals,
    /// Links and callers' connections that were reset.
    pub(crate) resets: Resets,
    /// Evacuations that the keepers have acknowledged.
    pub(crate) acknowledged: AcknowledgedEvacuations,
}

fn instance(index: usize) -> InstanceId {
    InstanceId(index as u32 + 1)
}

/// Runs the simulation and checks its history.
#[must_use]
pub fn run(options: MembersOptions) -> MembersReport {
    let mut world = World::new(options);
    let end = Time(world.options.load_ms * 1_000);
    let stop_at = end + world.settle_time();
    let mut next_check = end;
    while let Some(due) = world.events.next_due() {
        if due > stop_at {
            break;
        }
        if world.options.early_end && due > next_check {
            if world.is_settled() {
                break;
            }
            next_check = due + SETTLE_CHECK_INTERVAL;
        }
        world.now = due.max(world.now);
        let Some(event) = world.events.pop_due(world.now) else {
            break;
        };
        let load = matches!(event, Event::NewJob(_) | Event::InjectFault);
        if !load || world.now < end {
            world.handle(event);
        }
    }
    world.report()
}

impl World {
    fn new(options: MembersOptions) -> Self {
        let mut world = Self {
            random: ChaCha8Rng::seed_from_u64(options.seed),
            now: Time(0),
            events: TimerQueue::default(),
            members: Vec::new(),
            workers: Vec::new(),
            jobs: Vec::new(),
            history: Vec::new(),
            violations: Vec::new(),
            worker_crashes: HashMap::new(),
            cut_dcs: BTreeSet::new(),
            isolated: IsolatedEntries::default(),
            refusals: Refusals::default(),
            resets: Resets::default(),
            acknowledged: AcknowledgedEvacuations::default(),
            options,
        };
        for index in 0..world.options.entries {
            world.members.push(MemberHost {
                member: None,
                dc: (index % u32::from(world.options.dcs)) as u8,
                incarnation: 0,
                frozen: false,
                leaving: false,
                deferred: Vec::new(),
                latest_incarnations: BTreeMap::new(),
                backlog: Backlog::default(),
                told_evacuations: BTreeMap::new(),
                outgoing: LinkDirection::default(),
                incoming: LinkDirection::default(),
                control: ControlTraffic::default(),
            });
            world.schedule(Time(0), Event::StartMember(index as usize));
        }
        for index in 0..world.options.workers {
            let capacity = Resources {
                cpu: world.options.kinds.cpu(index as usize),
                memory: 65_536,
                accelerators: 0,
            };
            let plan = world.options.faults.unwrap_or_default();
            let mut worker = LeasedWorker::new(Time(0), &format!("worker-{index}-0"), capacity);
            worker.checks_capacity = !plan.shrinking;
            worker.incarnation = plan.reused_names.then_some(Incarnation(START_WALL_MS));
            world.workers.push(WorkerHost {
                worker,
                announced: AnnouncedState::new(capacity),
                dc: (index % u32::from(world.options.dcs)) as u8,
                up: true,
                restarts: 0,
                started_at: Time(0),
                received_call: false,
                drop_until: Time(0),
                late_until: Time(0),
                mute_until: Time(0),
                refuse_until: Time(0),
                clock_rate: world.clock_rate(index),
            });
        }
        for class in 0..world.options.load.classes.len() {
            world.schedule(LOAD_START, Event::NewJob(class));
        }
        if world.options.faults.is_some() {
            world.schedule(Time(2_500_000), Event::InjectFault);
        }
        if let Some(plan) = world.options.faults.and_then(|plan| plan.impaired) {
            world.plan_impairment(plan);
        }
        if world.options.faults.is_some_and(|plan| plan.congested) {
            world.schedule(Time(1_500_000), Event::AnnounceAll);
        }
        world
    }

    /// Returns the rate of a worker's clock: exact, or up to 2% slow.
    fn clock_rate(&self, worker: u32) -> f64 {
        if self.options.faults.is_none_or(|plan| !plan.drift) {
            return 1.0;
        }
        let drawn = score(self.options.seed, worker.into()) % 3;
        1.0 - MAX_CLOCK_DRIFT * drawn as f64 / 2.0
    }

    pub(crate) fn schedule(&mut self, due: Time, event: Event) {
        self.events.subscribe(due, event);
    }

    pub(crate) fn link_delay(&self, from: u8, to: u8) -> Duration {
        if from == to {
            LOCAL_DELAY
        } else {
            REMOTE_DELAY
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(..)
            | Event::Deliver(..)
            | Event::Answer(..)
            | Event::LateAnswer(..)
            | Event::ConnectionRefused(..)
            | Event::LinkReset(..) => self.handle_member_event(event),
            Event::ReceiveCall(worker, in_flight) => self.receive_call(worker, in_flight),
            Event::ExecuteLate(worker, in_flight) => {
                if self.workers[worker].up && !self.precedes_first_call(worker, &in_flight.call) {
                    self.execute_call(worker, &in_flight);
                }
            }
            Event::NewJob(class) => self.submit_new_job(class),
            Event::Resubmit(job, attempts) => self.resubmit(job, attempts),
            Event::AbandonJob(job, attempts) => self.abandon_job(job, attempts),
            Event::InjectFault => {
                if let Some(plan) = self.options.faults {
                    self.inject_fault(plan);
                    let next = self.now + Duration::from_millis(plan.interval_ms);
                    self.schedule(next, Event::InjectFault);
                }
            }
            Event::StartMember(member) => self.start_member(member),
            Event::EndMember(member, incarnation) => self.end_member(member, incarnation),
            Event::Unfreeze(member) => self.unfreeze(member),
            Event::HealDataCentre(dc) => self.heal_data_centre(dc),
            Event::EndIsolation => self.end_isolation(),
            Event::Announce(worker) => self.announce(worker),
            Event::RestartWorker(worker) => self.restart_worker(worker),
            Event::FinishDraining(worker, restarts) => self.finish_draining(worker, restarts),
            Event::RestoreCapacity(worker, restarts) => self.restore_capacity(worker, restarts),
            Event::StaleAnnouncement(announcement) => self.announce_to_all(&announcement),
            Event::CrashByTask(worker, restarts, task) => {
                self.crash_by_task(worker, restarts, task)
            }
            Event::Impair(worker, plan) => self.impair(worker, plan),
            Event::RestoreHealth(worker) => self.restore_health(worker),
            Event::AnnounceAll => self.announce_all(),
            Event::ReopenLinks(member) => self.reopen_links(member),
            Event::RetryRefusedLinks => self.retry_refused_links(),
            Event::EndRefusals => self.end_refusals(),
            Event::ReopenLink(from, to) => self.reopen_link(from, to),
        }
    }

    fn handle_member_event(&mut self, event: Event) {
        let (index, incarnation) = match &event {
            Event::Tick(index, incarnation)
            | Event::Deliver(index, incarnation, ..)
            | Event::Answer(index, incarnation, ..)
            | Event::LateAnswer(index, incarnation, _)
            | Event::ConnectionRefused(index, incarnation, _)
            | Event::LinkReset(index, incarnation, _) => (*index, *incarnation),
            _ => return,
        };
        let host = &mut self.members[index];
        if host.incarnation != incarnation || host.member.is_none() {
            return;
        }
        if host.frozen {
            host.deferred.push(event);
            return;
        }
        match event {
            Event::Tick(..) => {
                self.schedule(self.now + TICK_INTERVAL, Event::Tick(index, incarnation));
                self.input(index, Input::Tick);
            }
            Event::Deliver(_, _, from, msg) => self.receive_message(index, from, msg),
            Event::Answer(_, _, key, answer) => self.input(index, Input::Answered(key, answer)),
            Event::LateAnswer(_, _, took) => self.input(index, Input::AnsweredLate(took)),
            Event::ConnectionRefused(_, _, peer) => {
                self.input(index, Input::ConnectionRefused(instance(peer)))
            }
            Event::LinkReset(_, _, peer) => self.input(index, Input::LinkReset(instance(peer))),
            _ => {}
        }
    }

    /// Handles a message, unless one of a later process of the same instance was received before: links drop the messages
    /// of a process that has been replaced.
    fn receive_message(&mut self, index: usize, from: Source, msg: FleetMsg) {
        let latest = self.members[index].latest_incarnations.entry(from.index);
        let latest = latest.or_insert(from.incarnation);
        if from.incarnation < *latest {
            return;
        }
        *latest = from.incarnation;
        if let FleetMsg::Work(msg) = &msg {
            self.trace_event(index, &(from.index, msg), false);
        }
        let from = self.process(from);
        let input = match msg {
            FleetMsg::Heartbeat(heartbeat) => Input::Heartbeat(from, heartbeat),
            FleetMsg::Work(msg) => Input::Work(from, msg),
            FleetMsg::Workers(announcements) => Input::Workers(announcements),
            FleetMsg::Learned(learned) => Input::Learned(learned),
            FleetMsg::Crashes(crashes) => Input::Crashes(crashes),
            FleetMsg::ProbeQueues(queues) => Input::ProbeQueues(queues),
            _ => return,
        };
        self.input(index, input);
        self.input(index, Input::Flush);
    }

    /// Returns the identity of a process. Its incarnation is drawn at random, so that of a later process may be lower.
    fn process(&self, source: Source) -> Process {
        let Source { index, incarnation } = source;
        let drawn = score(self.options.seed, (index as u64) << 32 | incarnation);
        Process {
            instance: instance(index),
            incarnation: Incarnation(drawn),
        }
    }

    /// Passes an input to a member and handles its outputs.
    pub(crate) fn input(&mut self, index: usize, input: Input) {
        let now = self.now;
        let Some(member) = &mut self.members[index].member else {
            return;
        };
        let mut out = Vec::new();
        member.handle(now, input, &mut out);
        for output in out {
            match output {
                Output::Call(call) => self.call(index, call),
                Output::Send(to, msg) => self.deliver(index, to.0 as usize - 1, msg),
                Output::Answer(caller, end) => self.receive_answer(caller, end),
                Output::NewPeer(_)
                | Output::PeerAlive(_)
                | Output::RemovePeer(_)
                | Output::Stage(_) => {}
                Output::Member(event) => self.trace_event(index, &event, true),
                Output::Dispatch(event) => {
                    let always = matches!(
                        event,
                        PoolEvent::Acquired { .. }
                            | PoolEvent::Resigned { .. }
                            | PoolEvent::WorkerGone { .. }
                    );
                    self.trace_event(index, &event, always);
                }
                Output::Origin(event) => self.trace_event(index, &event, false),
            }
        }
    }

    /// Prints a line if a job is followed.
    pub(crate) fn trace(&self, text: impl FnOnce() -> String) {
        if self.options.follow.is_some() {
            println!("{:>10} {}", self.now.0, text());
        }
    }

    /// Prints an event of a member if it names the job that is followed; with `always`, prints it for any job.
    fn trace_event(&self, index: usize, event: &impl std::fmt::Debug, always: bool) {
        let Some(job) = self.options.follow else {
            return;
        };
        let text = format!("{event:?}");
        if always || text.contains(&job.0.to_string()) {
            self.trace(|| format!("member {index}: {text}"));
        }
    }

    /// Sends a message from a member to another one. It is lost or deferred where the link between them is down.
    pub(crate) fn deliver(&mut self, from: usize, to: usize, msg: FleetMsg) {
        let (here, there) = (self.members[from].dc, self.members[to].dc);
        if self.is_cut(here, there) {
            return;
        }
        let down = from != to && (self.is_offline(from) || self.is_offline(to));
        if down || self.refusals.contains(from, to) || self.resets.loses(self.now, from, to) {
            return;
        }
        let incarnation = self.members[to].incarnation;
        let source = Source {
            index: from,
            incarnation: self.members[from].incarnation,
        };
        let event = Event::Deliver(to, incarnation, source, msg);
        if self.isolated.separates(from, to) {
            self.isolated.defer(self.now, from, to, event);
            return;
        }
        let Event::Deliver(.., msg) = &event else {
            return;
        };
        let bytes = message_size(msg);
        if self.now >= LOAD_START && from != to {
            self.members[from].control.add(msg, bytes);
        }
        let due = if from == to {
            self.now
        } else {
            let left = self.enqueue_outgoing(from, bytes) + self.link_delay(here, there);
            self.enqueue_incoming(to, left, bytes)
        };
        let due = self.after_backlog(to, due);
        self.schedule(due, event);
    }

    /// Puts bytes on the outgoing link of a member now and returns when they have left it.
    pub(crate) fn enqueue_outgoing(&mut self, from: usize, bytes: usize) -> Time {
        let rate = self.options.link_rate;
        self.members[from].outgoing.transmit(self.now, bytes, rate)
    }

    /// Puts bytes that arrive at `at` on the incoming link of a member and returns when they are received.
    pub(crate) fn enqueue_incoming(&mut self, to: usize, at: Time, bytes: usize) -> Time {
        let rate = self.options.link_rate;
        self.members[to].incoming.transmit(at, bytes, rate)
    }

    /// Picks a random entry that accepts new callers. With a swing, those of data centres with more load are picked more
    /// often.
    pub(crate) fn pick_entry(&mut self) -> Option<usize> {
        let open = |host: &MemberHost| host.is_up() && !host.frozen && !host.leaving;
        let hosts = self.members.iter().enumerate();
        let open: Vec<_> = hosts.filter(|(_, h)| open(h)).map(|(i, _)| i).collect();
        if open.is_empty() {
            return None;
        }
        if let Some(swing) = &self.options.load.swing {
            let weight = |index: &usize| swing.factor(self.now, self.members[*index].dc);
            return open.choose_weighted(&mut self.random, weight).ok().copied();
        }
        let pick = self.random.random_range(0..open.len());
        Some(open[pick])
    }

    /// Returns the time of a member's wall clock, in ms since 1970.
    pub(crate) fn wall_clock_ms(&self, index: usize) -> u64 {
        let right = START_WALL_MS + self.now.0 / 1_000;
        if self.options.faults.is_none_or(|plan| !plan.clock_skew) {
            return right;
        }
        let incarnation = self.members[index].incarnation;
        let drawn = score(self.options.seed, (index as u64) << 32 | incarnation);
        right + drawn % (2 * MAX_SKEW_MS) - MAX_SKEW_MS
    }

    /// Returns the maximum number of workers that a member takes as a dispatcher.
    fn shard_size(&self, index: usize) -> usize {
        let uneven = self.options.faults.is_some_and(|faults| faults.uneven);
        let is_large = uneven && index.is_multiple_of(LARGE_ENTRY_INTERVAL);
        self.options.shard_size * if is_large { LARGE_ENTRY_FACTOR } else { 1 }
    }

    fn start_member(&mut self, index: usize) {
        let host = &mut self.members[index];
        host.incarnation += 1;
        host.frozen = false;
        host.leaving = false;
        host.deferred.clear();
        host.latest_incarnations.clear();
        let incarnation = host.incarnation;
        let me = self.process(Source { index, incarnation });
        let host = &self.members[index];
        let config = MemberConfig {
            me,
            kind: ProcessKind::Entry,
            dc: DataCentreId(host.dc),
            dcs: (0..self.options.dcs).map(DataCentreId).collect(),
            shard_size: self.shard_size(index),
            pool: PoolConfig {
                disabled: self.options.disabled,
                ..PoolConfig::default()
            },
        };
        let wall_clock = WallMs(self.wall_clock_ms(index));
        self.members[index].member = Some(Member::new(config, self.now, wall_clock));
        self.schedule(self.now + TICK_INTERVAL, Event::Tick(index, incarnation));
        self.input(index, Input::ConfigVersion(1));
        let evacuations = self.evacuations_at_start(index);
        self.members[index].told_evacuations.clear();
        self.record_told(index, &evacuations);
        self.input(index, Input::Evacuations(evacuations));
        for worker in 0..self.workers.len() {
            let announcement = self.announcement(worker);
            self.deliver(index, index, FleetMsg::Workers(vec![announcement]));
        }
        self.exchange_heartbeats(index);
    }

    /// Sends heartbeats to and from all other members, as when links open.
    fn exchange_heartbeats(&mut self, index: usize) {
        for other in 0..self.members.len() {
            if other == index || !self.members[other].is_up() {
                continue;
            }
            let mine = self.heartbeat_from(index, other);
            let theirs = self.heartbeat_from(other, index);
            self.deliver(index, other, FleetMsg::Heartbeat(mine));
            self.deliver(other, index, FleetMsg::Heartbeat(theirs));
        }
    }

    pub(crate) fn heartbeat_from(&self, index: usize, to: usize) -> FleetHeartbeat {
        let member = self.members[index].member.as_ref();
        let peer = InstanceId(to as u32 + 1);
        let member = member.expect("a member that is up");
        member.heartbeat_for(self.now, peer)
    }

    fn pick_member(&mut self) -> Option<usize> {
        let up = |host: &MemberHost| host.is_up() && !host.frozen && !host.leaving;
        let hosts = self.members.iter().enumerate();
        let up: Vec<_> = hosts.filter(|(_, h)| up(h)).map(|(i, _)| i).collect();
        // One member is left running to serve callers.
        if up.len() < 2 {
            return None;
        }
        let pick = self.random.random_range(0..up.len());
        Some(up[pick])
    }

    pub(crate) fn kill_member(&mut self, duration: Duration) {
        if let Some(index) = self.pick_member() {
            let incarnation = self.members[index].incarnation;
            self.end_member(index, incarnation);
            self.schedule(self.now + duration, Event::StartMember(index));
        }
    }

    /// Ends the process of a member. The connections of its callers break, and other members that can reach its machine
    /// are refused connections.
    fn end_member(&mut self, index: usize, incarnation: u64) {
        let host = &mut self.members[index];
        if host.incarnation != incarnation || host.member.is_none() {
            return;
        }
        let planned = host.leaving;
        host.member = None;
        host.incarnation += 1;
        for job in 0..self.jobs.len() {
            let open = self.jobs[job].end.is_none() && !self.jobs[job].abandoned;
            if open && self.jobs[job].entry == index && self.jobs[job].incarnation == incarnation {
                let due = self.now + Duration::from_millis(1_300);
                let attempts = self.jobs[job].attempts;
                self.schedule(due, Event::Resubmit(job, attempts));
            }
        }
        for other in 0..self.members.len() {
            let separated = self.isolated.separates(other, index);
            if self.members[other].is_up()
                && !separated
                && !self.is_cut(self.members[other].dc, self.members[index].dc)
            {
                self.input(
                    other,
                    Input::ConnectionRefused(InstanceId(index as u32 + 1)),
                );
            }
        }
        if planned {
            self.schedule(self.now + RESTART_DELAY, Event::StartMember(index));
        }
    }

    pub(crate) fn stop_member(&mut self) {
        if let Some(index) = self.pick_member() {
            self.members[index].leaving = true;
            let incarnation = self.members[index].incarnation;
            self.input(index, Input::Stop);
            self.schedule(self.now + STOP_GRACE, Event::EndMember(index, incarnation));
        }
    }

    pub(crate) fn freeze_member(&mut self, duration: Duration) {
        if let Some(index) = self.pick_member() {
            self.members[index].frozen = true;
            self.schedule(self.now + duration, Event::Unfreeze(index));
        }
    }

    fn unfreeze(&mut self, index: usize) {
        let host = &mut self.members[index];
        if !host.frozen {
            return;
        }
        host.frozen = false;
        let deferred = std::mem::take(&mut host.deferred);
        self.input(index, Input::Paused);
        self.send_evacuations_to(index);
        for event in deferred {
            self.handle_member_event(event);
        }
    }

    /// Returns whether all jobs have ended and no member has open work.
    fn is_settled(&self) -> bool {
        let mut members = self.members.iter().filter_map(|host| host.member.as_ref());
        let ended = |job: &CallerJob| job.end.is_some() || job.abandoned;
        self.jobs.iter().all(ended) && members.all(|member| !member.is_busy())
    }

    fn settle_time(&self) -> Duration {
        let classes = self.options.load.classes.iter();
        let longest = classes.map(|class| class.timeout_ms).max().unwrap_or(0);
        SETTLE_TIME.max(Duration::from_millis(longest.into()) + LAST_CALLER_MARGIN)
    }
}

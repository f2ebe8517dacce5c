//! The simulated deployment.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use celerywinch_member::{Input, Member, MemberConfig, Output};
use celerywinch_pool::{Answer, CallKey, MAX_CLOCK_DRIFT, PoolConfig, PoolEvent};
use celerywinch_standin::{LeasedWorker, Ran};
use celerywinch_types::{
    DataCentreId, DisabledMechanisms, FleetHeartbeat, FleetMsg, Incarnation, InstanceId, JobId,
    Process, ProcessKind, Resources, TaskId, Time, TimerQueue, WallMs, WorkerAnnouncement, score,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::callers::CallerJob;
use super::congestion::Backlog;
use super::cuts::Apart;
use super::evacuations::AcknowledgedEvacuations;
use super::faults::FaultPlan;
use super::history::Violation;
use super::lives::Word;
use super::load::{ClassFigures, LoadPlan};
use super::refusals::Refusals;
use super::resets::Resets;
use super::wire::{Control, Wire, size_of};
use super::workers::{OnWay, Unanswered, WorkerHost};

/// When the load begins: all members are ready by then.
const LOAD_FROM: Time = Time(1_500_000);
/// Between two ticks of a member.
const TICK: Duration = Duration::from_millis(10);
/// One way within a data centre, and between two; the brief's figures.
const NEAR: Duration = Duration::from_micros(100);
const FAR: Duration = Duration::from_micros(1_400);
/// A member that was stopped as planned, or killed, starts again after this time.
const RESTART: Duration = Duration::from_millis(600);
/// A member that is told to stop goes on for this long.
const GRACE: Duration = Duration::from_millis(1_500);
/// How long the world goes on after the load, until all must be at rest, ...
const REST: Duration = Duration::from_secs(8);
/// ... and after the last caller has left: its tasks are stopped, and 400 ms later workers are told that their
/// ends are known.
const AFTER_LAST: Duration = Duration::from_secs(2);
/// When a run begins, in ms since 1970, and how far wall clocks are wrong at most where they are; by
/// the users' page they jump by seconds.
pub(crate) const EPOCH_MS: u64 = 1_700_000_000_000;
pub(crate) const SKEW_MS: u64 = 5_000;
/// What a worker has; every third one has half as much again.
const WORKER_CPU: u32 = 32_000;

/// A run.
#[derive(Clone, Debug, PartialEq)]
pub struct MembersOptions {
    /// Seed of the random source.
    pub seed: u64,
    /// Data centres.
    pub dcs: u8,
    /// Entries, spread over them.
    pub entries: u32,
    /// Workers, spread over them.
    pub workers: u32,
    /// The most workers that one dispatcher takes.
    pub shard: usize,
    /// Mechanisms of dispatching that are left out.
    pub without: DisabledMechanisms,
    /// Bytes a second that the link of a member carries each way; none for no bound.
    pub link: Option<u64>,
    /// How long there is load, in ms.
    pub length: u64,
    /// The load.
    pub load: LoadPlan,
    /// Orders to all workers that get no answer, if any.
    pub unanswered: Option<Unanswered>,
    /// Faults, if any.
    pub faults: Option<FaultPlan>,
    /// Print what happens to this job, and to members.
    pub follow: Option<JobId>,
}

/// What came of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MembersReport {
    /// Figures by kind of job, in the order of the plan.
    pub classes: Vec<ClassFigures>,
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// Runs on workers, and those that ended without a result.
    pub runs: (usize, usize),
    /// What each member has sent, since the load began, that is not callers' work.
    pub control: Vec<Control>,
}

#[derive(Clone, Debug)]
pub(crate) enum Event {
    Tick(usize, u64),
    Deliver(usize, u64, Source, FleetMsg),
    Order(usize, OnWay),
    LateOrder(usize, OnWay),
    Answer(usize, u64, CallKey, Answer),
    LateAnswer(usize, u64, Duration),
    Refused(usize, u64, usize),
    Reset(usize, u64, usize),
    Arrive(usize),
    Resubmit(usize, u32),
    GiveUp(usize, u32),
    Strike,
    Start(usize),
    End(usize, u64),
    Thaw(usize),
    Join(u8),
    JoinEntries,
    Announce(usize),
    WorkerBack(usize),
    WorkerLeaves(usize, u32),
    Grow(usize, u32),
    Stale(WorkerAnnouncement),
    EndedBy(usize, u32, TaskId),
    Heal(usize),
    AnnounceAll,
    Online(usize),
    RefuseAgain,
    Admit,
    Reopened(usize, usize),
}

/// Which process of a member has sent a message.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Source {
    index: usize,
    life: u64,
}

/// A member and its process.
#[derive(Debug)]
pub(crate) struct MemberHost {
    pub(crate) member: Option<Member>,
    pub(crate) dc: u8,
    life: u64,
    frozen: bool,
    leaving: bool,
    /// What arrives while it is frozen.
    held: Vec<Event>,
    /// The latest process of each other member that a message came from.
    latest: BTreeMap<usize, u64>,
    pub(crate) backlog: Backlog,
    outgoing: Wire,
    incoming: Wire,
    pub(crate) control: Control,
}

impl MemberHost {
    pub(crate) fn life(&self) -> u64 {
        self.life
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
    /// What was found broken while it happened.
    pub(crate) broken: Vec<Violation>,
    /// When workers ended by each task.
    pub(crate) ended_workers: HashMap<TaskId, Vec<Time>>,
    /// Data centres that are cut off.
    pub(crate) cut: BTreeSet<u8>,
    /// Entries that are cut off from all other members.
    pub(crate) apart: Apart,
    /// Members that are refused connections.
    pub(crate) refusals: Refusals,
    pub(crate) resets: Resets,
    /// The evacuations that the keepers have acknowledged.
    pub(crate) acknowledged: AcknowledgedEvacuations,
}

fn instance(index: usize) -> InstanceId {
    InstanceId(index as u32 + 1)
}

/// Plays a run.
#[must_use]
pub fn run(options: MembersOptions) -> MembersReport {
    let mut world = World::new(options);
    let end = Time(world.options.length * 1_000);
    let rest = end + world.rest();
    while let Some(due) = world.events.next_due() {
        if due > rest {
            break;
        }
        world.now = due.max(world.now);
        let Some(event) = world.events.pop_due(world.now) else {
            break;
        };
        let load = matches!(event, Event::Arrive(_) | Event::Strike);
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
            broken: Vec::new(),
            ended_workers: HashMap::new(),
            cut: BTreeSet::new(),
            apart: Apart::default(),
            refusals: Refusals::default(),
            resets: Resets::default(),
            acknowledged: AcknowledgedEvacuations::default(),
            options,
        };
        for index in 0..world.options.entries {
            world.members.push(MemberHost {
                member: None,
                dc: (index % u32::from(world.options.dcs)) as u8,
                life: 0,
                frozen: false,
                leaving: false,
                held: Vec::new(),
                latest: BTreeMap::new(),
                backlog: Backlog::default(),
                outgoing: Wire::default(),
                incoming: Wire::default(),
                control: Control::default(),
            });
            world.at(Time(0), Event::Start(index as usize));
        }
        for index in 0..world.options.workers {
            let cpu = if index % 3 == 2 {
                WORKER_CPU / 2 * 3
            } else {
                WORKER_CPU
            };
            let room = Resources {
                cpu,
                memory: 65_536,
                accelerators: 0,
            };
            let plan = world.options.faults.unwrap_or_default();
            let mut worker = LeasedWorker::new(Time(0), &format!("worker-{index}-0"), room);
            worker.checks_capacity = !plan.shrinking;
            worker.incarnation = plan.reborn.then_some(Incarnation(EPOCH_MS));
            world.workers.push(WorkerHost {
                worker,
                word: Word::new(room),
                dc: (index % u32::from(world.options.dcs)) as u8,
                up: true,
                lives: 0,
                since: Time(0),
                called: false,
                loses: Time(0),
                late: Time(0),
                mute: Time(0),
                refuses: Time(0),
                rate: world.clock_rate(index),
            });
        }
        for class in 0..world.options.load.classes.len() {
            world.at(LOAD_FROM, Event::Arrive(class));
        }
        if world.options.faults.is_some() {
            world.at(Time(2_500_000), Event::Strike);
        }
        if world.options.faults.is_some_and(|plan| plan.congested) {
            world.at(Time(1_500_000), Event::AnnounceAll);
        }
        world
    }

    /// How fast the clock of a worker runs: right, or up to 2% slow.
    fn clock_rate(&self, worker: u32) -> f64 {
        if self.options.faults.is_none_or(|plan| !plan.drift) {
            return 1.0;
        }
        let drawn = score(self.options.seed, worker.into()) % 3;
        1.0 - MAX_CLOCK_DRIFT * drawn as f64 / 2.0
    }

    pub(crate) fn at(&mut self, due: Time, event: Event) {
        self.events.subscribe(due, event);
    }

    pub(crate) fn delay(&self, from: u8, to: u8) -> Duration {
        if from == to { NEAR } else { FAR }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(..)
            | Event::Deliver(..)
            | Event::Answer(..)
            | Event::LateAnswer(..)
            | Event::Refused(..)
            | Event::Reset(..) => self.reach_member(event),
            Event::Order(worker, way) => self.ordered(worker, way),
            Event::LateOrder(worker, way) => {
                if self.workers[worker].up && !self.beats_the_first_call(worker, &way.call) {
                    self.carry_out_sent(worker, &way);
                }
            }
            Event::Arrive(class) => self.arrive(class),
            Event::Resubmit(job, tries) => self.resubmit(job, tries),
            Event::GiveUp(job, tries) => self.give_up(job, tries),
            Event::Strike => {
                if let Some(plan) = self.options.faults {
                    self.strike(plan);
                    let next = self.now + Duration::from_millis(plan.every);
                    self.at(next, Event::Strike);
                }
            }
            Event::Start(member) => self.start(member),
            Event::End(member, life) => self.end(member, life),
            Event::Thaw(member) => self.thaw(member),
            Event::Join(dc) => self.join(dc),
            Event::JoinEntries => self.join_entries(),
            Event::Announce(worker) => self.announce(worker),
            Event::WorkerBack(worker) => self.worker_back(worker),
            Event::WorkerLeaves(worker, lives) => self.worker_leaves(worker, lives),
            Event::Grow(worker, lives) => self.grow_worker(worker, lives),
            Event::Stale(note) => self.tell_all(&note),
            Event::EndedBy(worker, lives, task) => self.ended_by(worker, lives, task),
            Event::Heal(worker) => self.heal(worker),
            Event::AnnounceAll => self.announce_all(),
            Event::Online(member) => self.online(member),
            Event::RefuseAgain => self.refuse_again(),
            Event::Admit => self.admit(),
            Event::Reopened(from, to) => self.reopened(from, to),
        }
    }

    fn reach_member(&mut self, event: Event) {
        let (index, life) = match &event {
            Event::Tick(index, life)
            | Event::Deliver(index, life, ..)
            | Event::Answer(index, life, ..)
            | Event::LateAnswer(index, life, _)
            | Event::Refused(index, life, _)
            | Event::Reset(index, life, _) => (*index, *life),
            _ => return,
        };
        let host = &mut self.members[index];
        if host.life != life || host.member.is_none() {
            return;
        }
        if host.frozen {
            host.held.push(event);
            return;
        }
        match event {
            Event::Tick(..) => {
                self.at(self.now + TICK, Event::Tick(index, life));
                self.input(index, Input::Tick);
            }
            Event::Deliver(_, _, from, msg) => self.deliver_now(index, from, msg),
            Event::Answer(_, _, key, answer) => self.input(index, Input::Answered(key, answer)),
            Event::LateAnswer(_, _, took) => self.input(index, Input::AnsweredLate(took)),
            Event::Refused(_, _, peer) => {
                self.input(index, Input::ConnectionRefused(instance(peer)))
            }
            Event::Reset(_, _, peer) => self.input(index, Input::LinkReset(instance(peer))),
            _ => {}
        }
    }

    /// Links drop what a process had sent that another one of its instance has replaced.
    fn deliver_now(&mut self, index: usize, from: Source, msg: FleetMsg) {
        let latest = self.members[index].latest.entry(from.index);
        let latest = latest.or_insert(from.life);
        if from.life < *latest {
            return;
        }
        *latest = from.life;
        if let FleetMsg::Work(msg) = &msg {
            self.follow(index, &(from.index, msg), false);
        }
        let from = self.process(from);
        let input = match msg {
            FleetMsg::Heartbeat(beat) => Input::Heartbeat(from, beat),
            FleetMsg::Work(msg) => Input::Work(from, msg),
            FleetMsg::Workers(notes) => Input::Workers(notes),
            FleetMsg::Learned(learned) => Input::Learned(learned),
            FleetMsg::Crashes(told) => Input::Crashes(told),
            FleetMsg::ProbeQueues(queues) => Input::ProbeQueues(queues),
            _ => return,
        };
        self.input(index, input);
        self.input(index, Input::Flush);
    }

    /// The number of a process is drawn: that of a later one may be lower.
    fn process(&self, source: Source) -> Process {
        let Source { index, life } = source;
        let drawn = score(self.options.seed, (index as u64) << 32 | life);
        Process {
            instance: instance(index),
            incarnation: Incarnation(drawn),
        }
    }

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
                Output::Answer(caller, end) => self.answer(caller, end),
                Output::NewPeer(_)
                | Output::PeerAlive(_)
                | Output::RemovePeer(_)
                | Output::Stage(_) => {}
                Output::Member(note) => self.follow(index, &note, true),
                Output::Dispatch(note) => {
                    let of_members = matches!(
                        note,
                        PoolEvent::Acquired { .. }
                            | PoolEvent::Resigned { .. }
                            | PoolEvent::WorkerGone { .. }
                    );
                    self.follow(index, &note, of_members);
                }
                Output::Origin(note) => self.follow(index, &note, false),
            }
        }
    }

    /// Prints what happens, if a job is followed.
    pub(crate) fn say(&self, text: impl FnOnce() -> String) {
        if self.options.follow.is_some() {
            println!("{:>10} {}", self.now.0, text());
        }
    }

    /// Prints a note about the job that is followed, or about members.
    fn follow(&self, index: usize, note: &impl std::fmt::Debug, always: bool) {
        let Some(job) = self.options.follow else {
            return;
        };
        let text = format!("{note:?}");
        if always || text.contains(&job.0.to_string()) {
            self.say(|| format!("member {index}: {text}"));
        }
    }

    pub(crate) fn deliver(&mut self, from: usize, to: usize, msg: FleetMsg) {
        let (here, there) = (self.members[from].dc, self.members[to].dc);
        if self.is_cut(here, there) {
            return;
        }
        let down = from != to && (self.is_offline(from) || self.is_offline(to));
        if down || self.refusals.contain(from, to) || self.resets.loses(self.now, from, to) {
            return;
        }
        let life = self.members[to].life;
        let source = Source {
            index: from,
            life: self.members[from].life,
        };
        let event = Event::Deliver(to, life, source, msg);
        if self.apart.divides(from, to) {
            self.apart.hold(self.now, from, to, event);
            return;
        }
        let Event::Deliver(.., msg) = &event else {
            return;
        };
        let bytes = size_of(msg);
        if self.now >= LOAD_FROM && from != to {
            self.members[from].control.add(msg, bytes);
        }
        let due = if from == to {
            self.now
        } else {
            let left = self.leave(from, bytes) + self.delay(here, there);
            self.reach(to, left, bytes)
        };
        let due = self.arrival(to, due);
        self.at(due, event);
    }

    /// When so many bytes that a member sends now have left it.
    pub(crate) fn leave(&mut self, from: usize, bytes: usize) -> Time {
        let rate = self.options.link;
        self.members[from].outgoing.pass(self.now, bytes, rate)
    }

    /// When so many bytes that come to a member at `at` are there.
    pub(crate) fn reach(&mut self, to: usize, at: Time, bytes: usize) -> Time {
        let rate = self.options.link;
        self.members[to].incoming.pass(at, bytes, rate)
    }

    /// An entry that takes new callers.
    pub(crate) fn pick_entry(&mut self) -> Option<usize> {
        let open = |host: &MemberHost| host.is_up() && !host.frozen && !host.leaving;
        let hosts = self.members.iter().enumerate();
        let open: Vec<_> = hosts.filter(|(_, h)| open(h)).map(|(i, _)| i).collect();
        if open.is_empty() {
            return None;
        }
        let pick = self.random.random_range(0..open.len());
        Some(open[pick])
    }

    /// What a member's wall clock shows, in ms since 1970.
    pub(crate) fn wall(&self, index: usize) -> u64 {
        let right = EPOCH_MS + self.now.0 / 1_000;
        if self.options.faults.is_none_or(|plan| !plan.clocks) {
            return right;
        }
        let life = self.members[index].life;
        let drawn = score(self.options.seed, (index as u64) << 32 | life);
        right + drawn % (2 * SKEW_MS) - SKEW_MS
    }

    fn start(&mut self, index: usize) {
        let host = &mut self.members[index];
        host.life += 1;
        host.frozen = false;
        host.leaving = false;
        host.held.clear();
        host.latest.clear();
        let life = host.life;
        let me = self.process(Source { index, life });
        let host = &self.members[index];
        let config = MemberConfig {
            me,
            kind: ProcessKind::Entry,
            dc: DataCentreId(host.dc),
            dcs: (0..self.options.dcs).map(DataCentreId).collect(),
            shard_size: self.options.shard,
            pool: PoolConfig {
                disabled: self.options.without,
                ..PoolConfig::default()
            },
        };
        let wall = WallMs(self.wall(index));
        self.members[index].member = Some(Member::new(config, self.now, wall));
        self.at(self.now + TICK, Event::Tick(index, life));
        self.input(index, Input::ConfigVersion(1));
        let evacuations = self.evacuations_at_start(index);
        self.input(index, Input::Evacuations(evacuations));
        for worker in 0..self.workers.len() {
            let note = self.note(worker);
            self.deliver(index, index, FleetMsg::Workers(vec![note]));
        }
        self.greet(index);
    }

    /// Heartbeats to and from all others, as when links open.
    fn greet(&mut self, index: usize) {
        for other in 0..self.members.len() {
            if other == index || !self.members[other].is_up() {
                continue;
            }
            let mine = self.beat_of(index, other);
            let theirs = self.beat_of(other, index);
            self.deliver(index, other, FleetMsg::Heartbeat(mine));
            self.deliver(other, index, FleetMsg::Heartbeat(theirs));
        }
    }

    pub(crate) fn beat_of(&self, index: usize, to: usize) -> FleetHeartbeat {
        let member = self.members[index].member.as_ref();
        let peer = InstanceId(to as u32 + 1);
        let member = member.expect("a member that is up");
        member.heartbeat_for(self.now, peer)
    }

    fn pick_member(&mut self) -> Option<usize> {
        let up = |host: &MemberHost| host.is_up() && !host.frozen && !host.leaving;
        let hosts = self.members.iter().enumerate();
        let up: Vec<_> = hosts.filter(|(_, h)| up(h)).map(|(i, _)| i).collect();
        // One goes on, so that callers find somebody.
        if up.len() < 2 {
            return None;
        }
        let pick = self.random.random_range(0..up.len());
        Some(up[pick])
    }

    pub(crate) fn kill_member(&mut self, lasts: Duration) {
        if let Some(index) = self.pick_member() {
            let life = self.members[index].life;
            self.end(index, life);
            self.at(self.now + lasts, Event::Start(index));
        }
    }

    /// The process ends; its callers' connections break.
    fn end(&mut self, index: usize, life: u64) {
        let host = &mut self.members[index];
        if host.life != life || host.member.is_none() {
            return;
        }
        let planned = host.leaving;
        host.member = None;
        host.life += 1;
        for job in 0..self.jobs.len() {
            let open = self.jobs[job].end.is_none() && !self.jobs[job].gave_up;
            if open && self.jobs[job].entry == index && self.jobs[job].life == life {
                let due = self.now + Duration::from_millis(1_300);
                let tries = self.jobs[job].tries;
                self.at(due, Event::Resubmit(job, tries));
            }
        }
        for other in 0..self.members.len() {
            let apart = self.apart.divides(other, index);
            if self.members[other].is_up()
                && !apart
                && !self.is_cut(self.members[other].dc, self.members[index].dc)
            {
                self.input(
                    other,
                    Input::ConnectionRefused(InstanceId(index as u32 + 1)),
                );
            }
        }
        if planned {
            self.at(self.now + RESTART, Event::Start(index));
        }
    }

    pub(crate) fn stop_member(&mut self) {
        if let Some(index) = self.pick_member() {
            self.members[index].leaving = true;
            let life = self.members[index].life;
            self.input(index, Input::Stop);
            self.at(self.now + GRACE, Event::End(index, life));
        }
    }

    pub(crate) fn freeze_member(&mut self, lasts: Duration) {
        if let Some(index) = self.pick_member() {
            self.members[index].frozen = true;
            self.at(self.now + lasts, Event::Thaw(index));
        }
    }

    fn thaw(&mut self, index: usize) {
        let host = &mut self.members[index];
        if !host.frozen {
            return;
        }
        host.frozen = false;
        let held = std::mem::take(&mut host.held);
        self.input(index, Input::Paused);
        self.send_evacuations_to(index);
        for event in held {
            self.reach_member(event);
        }
    }

    fn rest(&self) -> Duration {
        let classes = self.options.load.classes.iter();
        let longest = classes.map(|class| class.timeout).max().unwrap_or(0);
        REST.max(Duration::from_millis(longest.into()) + AFTER_LAST)
    }
}

//! The state machine.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use celerywinch_domains::{Change, Domains, LocalEntry, PeerView, Peers};
use celerywinch_origin::{CallerId, Input as OriginInput, JobEvent, NewJob, Origin};
use celerywinch_pool::{
    Answer, Call, CallKey, Grant, Input as PoolInput, Pool, PoolConfig, PoolEvent,
};
use celerywinch_types::{
    Crashes, DataCentreId, Evacuations, FleetHeartbeat, FleetMsg, InstanceId, JobEnd, Learned,
    Mechanism, OwnedDomain, Process, ProcessKind, Stage, TaskId, Time, WallMs, WorkMsg,
    WorkerAnnouncement,
};

use crate::MemberEvent;
use crate::heartbeats::FrequentPeers;
use crate::round_robin::RoundRobin;

/// An entry is ready this long after its start at the earliest: heartbeats of all that are there
/// have come by then.
const JOIN: Duration = Duration::from_millis(300);
/// The same where all that is heard has just started too, and nobody is left to hear of.
const JOIN_ANEW: Duration = Duration::from_millis(100);
/// Between two comparisons of who dispatches for what, where no heartbeat gives cause for one.
const COMPARE: Duration = Duration::from_millis(40);
/// A data centre is reached if one of its workers answered within this time.
const WORKERS_HEARD: Duration = Duration::from_secs(1);

/// No worker more was heard of for so long: 1,100 of them come 1.4 ms apart as they start, and the last gaps are longer.
const SETTLED: Duration = Duration::from_millis(120);
/// Workers are divided after so long all the same: they announce themselves every 1.5 s. After a loss of all processes this
/// also lets the entries become ready before they take shards: divided 360 ms after the start in place of 620, so few of
/// them held so many that 634 callers of the next 2 s failed in place of 161.
const UNSETTLED: Duration = Duration::from_secs(2);
/// Between two times that it is found out who stands ready for whom.
const CIRCLE: Duration = Duration::from_millis(250);
/// Heartbeats that are waited for no longer than this come often.
const CLOSE: Duration = Duration::from_millis(350);

/// The most shards.
const MOST_SHARDS: u8 = 64;

/// What a member is told at its start.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// This process.
    pub me: Process,
    /// What it does.
    pub part: ProcessKind,
    /// Its data centre.
    pub dc: DataCentreId,
    /// All data centres.
    pub dcs: BTreeSet<DataCentreId>,
    /// The most workers that one dispatcher takes.
    pub shard_size: usize,
    /// Limits of the dispatcher.
    pub pool: PoolConfig,
}

/// What happened outside.
#[derive(Clone, Debug)]
pub enum Input {
    /// A heartbeat.
    Heartbeat(Process, FleetHeartbeat),
    /// A machine says that nobody listens there.
    ConnectionRefused(InstanceId),
    /// Messages from or to a process may be lost.
    LinkReset(InstanceId),
    /// Between origins and dispatchers.
    Work(Process, WorkMsg),
    /// What workers said of themselves.
    Workers(Vec<WorkerAnnouncement>),
    /// What another dispatcher has learned.
    Learned(Learned),
    /// Workers that ended under tasks, as another dispatcher knows.
    Crashes(Vec<(TaskId, Crashes)>),
    /// Queues whose steps another dispatcher starts with care.
    ProbeQueues(Vec<String>),
    /// A caller submits a job; it is handed in at the next `Flush` or `Tick`.
    Submit(CallerId, NewJob),
    /// A caller waits no more.
    CallerGone(CallerId),
    /// All that has arrived together was taken.
    Flush,
    /// What came of a call to a worker.
    Answered(CallKey, Answer),
    /// A worker's answer came after its time, as the dispatcher is told.
    AnsweredLate(Duration),
    /// This version of the configuration is in force here.
    ConfigVersion(u64),
    /// The evacuations that the local keeper holds.
    Evacuations(Evacuations),
    /// A planned stop begins.
    Stop,
    /// The process stood still.
    Paused,
    /// Time passed.
    Tick,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Call a worker.
    Call(Call),
    /// Send a message to a process.
    Send(InstanceId, FleetMsg),
    /// Answer a caller.
    Answer(CallerId, JobEnd),
    /// A process was heard that was not known, or another life of one.
    NewPeer(Process),
    /// A process is heard, for the first time or after a silence: what was told to all that were heard
    /// meanwhile has not reached it.
    PeerAlive(InstanceId),
    /// A process was not heard for very long.
    RemovePeer(InstanceId),
    /// This process is at another stage.
    Stage(Stage),
    /// For the logs: of the member, the dispatcher, the origin.
    Member(MemberEvent),
    /// A decision of the dispatcher.
    Dispatch(PoolEvent),
    /// A decision of the origin.
    Origin(JobEvent),
}

/// A member of a fleet.
#[derive(Debug)]
pub struct Member {
    pub(crate) config: MemberConfig,
    pub(crate) peers: Peers,
    alive: BTreeSet<InstanceId>,
    /// Those that were heard once and are not now.
    lost: BTreeSet<InstanceId>,
    pub(crate) domains: Domains,
    pub(crate) pool: Pool,
    pub(crate) origin: Origin,
    pub(crate) stage: Stage,
    pub(crate) version: u64,
    pub(crate) evacuations: Evacuations,
    started: Time,
    /// When those that need it often got the last heartbeat.
    pub(crate) beaten: Time,
    /// The round of heartbeats to the others.
    pub(crate) slow_round: RoundRobin,
    /// The round of telling what was learned.
    pub(crate) teach_round: RoundRobin,
    pub(crate) close: FrequentPeers,
    /// Whether others dispatch than the origin was told last.
    pub(crate) stale: bool,
    /// How many workers are known though they are more than the shards can take; since when, and since when just so many.
    uneven: Option<(usize, Time, Time)>,
    /// When it was last found out who stands ready for whom.
    circled: Time,
    /// When it was last compared who dispatches.
    compared: Time,
    /// What it dispatches for, with the room at the last tick.
    pub(crate) holdings: Vec<OwnedDomain>,
    /// Workers that ended under tasks, which other dispatchers have to know.
    pub(crate) crashes: BTreeMap<TaskId, Crashes>,
    /// Queues that are started with care, which other dispatchers have to know.
    pub(crate) careful: BTreeSet<String>,
    /// Work of this process for itself.
    own: VecDeque<WorkMsg>,
    /// Jobs that were submitted since the last flush.
    arrivals: Vec<(CallerId, NewJob)>,
    /// Processes that hold other domains since the last flush.
    pub(crate) changed: BTreeSet<InstanceId>,
}

impl Member {
    /// Starts; the wall clock makes fencing tokens rise over restarts of all members.
    #[must_use]
    pub fn new(config: MemberConfig, now: Time, wall: WallMs) -> Self {
        let stage = match config.part {
            ProcessKind::Entry => Stage::Joining,
            ProcessKind::Keeper => Stage::Ready,
        };
        let me = LocalEntry {
            instance: config.me.instance,
            dc: config.dc,
            stage,
        };
        let mut pool = Pool::new(PoolConfig {
            dc: Some(config.dc),
            ..config.pool
        });
        pool.set_permanent_grant(me.instance, Grant::unlimited(config.me.incarnation));
        Self {
            peers: Peers::default(),
            alive: BTreeSet::new(),
            lost: BTreeSet::new(),
            domains: Domains::new(now, wall, me, config.dcs.clone()),
            pool,
            origin: Origin::new(config.dc, config.pool.disabled),
            stage,
            version: 0,
            evacuations: Evacuations::default(),
            started: now,
            beaten: Time::default(),
            slow_round: RoundRobin::default(),
            teach_round: RoundRobin::default(),
            close: FrequentPeers::default(),
            stale: true,
            uneven: None,
            circled: Time::default(),
            compared: Time::default(),
            holdings: Vec::new(),
            crashes: BTreeMap::new(),
            careful: BTreeSet::new(),
            own: VecDeque::new(),
            arrivals: Vec::new(),
            changed: BTreeSet::new(),
            config,
        }
    }

    /// The other processes.
    #[must_use]
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Whether a process is told of all others as a link to it opens.
    ///
    /// One that was there before is told by keepers only: from each to each, the lists would take bytes by the cube of the
    /// number of processes where all links to a data centre open anew. One that has just started is told by all, or it would
    /// divide the workers among the few that it knows.
    #[must_use]
    pub fn sends_contacts(&self, peer: InstanceId) -> bool {
        let was_there = self
            .peers
            .get(peer)
            .is_some_and(|view| !view.just_started());
        self.config.part == ProcessKind::Keeper || !was_there
    }

    /// How many jobs of callers are open.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.origin.open_jobs() + self.arrivals.len()
    }

    /// Whether something waits for the next flush.
    #[must_use]
    pub fn needs_flush(&self) -> bool {
        !self.arrivals.is_empty() || !self.changed.is_empty()
    }

    /// Whether callers should be sent here: it knows the configuration, does not leave, and there is a
    /// dispatcher to hand their jobs to.
    #[must_use]
    pub fn is_ready(&self, now: Time) -> bool {
        self.stage == Stage::Ready && self.origin.has_dispatcher(now)
    }

    /// Whether work is open here, of callers or as dispatcher.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.pool.is_idle() || self.open_jobs() > 0
    }

    /// The open work, of callers and as dispatcher, a line for each job or step. For logs and checks.
    #[must_use]
    pub fn open_work(&self, now: Time) -> Vec<String> {
        let mut lines = self.origin.describe_jobs();
        lines.extend(self.pool.open_steps(now));
        lines
    }

    /// The dispatcher, for figures.
    #[must_use]
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// The evacuations with the highest revision known to this member.
    #[must_use]
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Takes an input and appends what the host is to do.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.take(now, input, out);
        let me = self.config.me;
        while let Some(msg) = self.own.pop_front() {
            self.work(now, me, msg, out);
        }
    }

    fn take(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Heartbeat(from, beat) => self.beat(now, from, beat, out),
            Input::ConnectionRefused(peer) => {
                self.peers.record_refusal(peer);
                self.compare_alive(now, out);
            }
            Input::LinkReset(peer) => {
                // What it has handed in since it names by itself, as its own link has broken. Asking also without
                // having any of it would be six messages for each two processes of a deployment as they start.
                if self.pool.has_work_of(peer) {
                    self.pool_input(now, PoolInput::ResyncOrigin(peer), out);
                }
                self.origin_input(now, OriginInput::LinkReset(peer), out);
            }
            Input::Work(from, msg) => self.work(now, from, msg, out),
            Input::Workers(notes) => self.pool_input(now, PoolInput::Workers(notes), out),
            Input::Learned(learned) => self.pool.learn_from(learned),
            Input::Crashes(told) => self.pool_input(now, PoolInput::Crashes(told), out),
            Input::ProbeQueues(queues) => self.pool_input(now, PoolInput::ProbeQueues(queues), out),
            Input::Submit(caller, job) => self.arrivals.push((caller, job)),
            Input::CallerGone(caller) => self.caller_gone(now, caller, out),
            Input::Flush => self.flush(now, out),
            Input::Answered(key, answer) => {
                self.pool_input(now, PoolInput::Answered(key, answer), out);
            }
            Input::AnsweredLate(took) => {
                self.pool_input(now, PoolInput::AnsweredLate(took), out);
            }
            Input::ConfigVersion(version) => self.version = version,
            Input::Evacuations(evacuations) => {
                let adopted = self.adopt_evacuations(now, &evacuations, out);
                if adopted && self.config.part == ProcessKind::Keeper {
                    self.send_beats(now, out);
                }
            }
            Input::Stop => {
                self.set_stage(Stage::Leaving, out);
                self.compare_domains(now, out);
                self.send_beats(now, out);
            }
            Input::Paused => self.paused(now, out),
            Input::Tick => self.tick(now, out),
        }
    }

    /// Takes up the jobs that were submitted since the last time.
    ///
    /// A request that arrived on a connection which has broken since is read together with the break. Its caller
    /// sends the job again at once, to another entry: handed in here first, it would run beside that until the
    /// worker has carried out the stop.
    ///
    /// Before that, changes of who dispatches are taken up, once for all that were heard of together: a data centre that
    /// is cut off or heard again has hundreds, each of which takes a look at all processes and domains.
    fn flush(&mut self, now: Time, out: &mut Vec<Output>) {
        if !self.changed.is_empty() {
            self.compare_domains(now, out);
            self.update_holders(now, out);
        }
        for (caller, job) in std::mem::take(&mut self.arrivals) {
            self.origin_input(now, OriginInput::Submit(caller, job), out);
        }
    }

    fn caller_gone(&mut self, now: Time, caller: CallerId, out: &mut Vec<Output>) {
        let arrived = self.arrivals.iter().position(|(other, _)| *other == caller);
        match arrived {
            Some(index) => {
                let (_, job) = self.arrivals.remove(index);
                let note = JobEvent::CallerLeft {
                    job: job.id,
                    took: 0,
                };
                out.push(Output::Origin(note));
            }
            None => self.origin_input(now, OriginInput::CallerGone(caller), out),
        }
    }

    fn set_stage(&mut self, stage: Stage, out: &mut Vec<Output>) {
        self.stage = stage;
        self.domains.set_stage(stage);
        out.push(Output::Stage(stage));
        out.push(Output::Member(MemberEvent::Stage {
            stage,
            version: self.version,
        }));
    }

    /// A process that stood still must not act on what it knew before: its leases are over, and
    /// others may dispatch in its place.
    fn paused(&mut self, now: Time, out: &mut Vec<Output>) {
        let mut changes = Vec::new();
        self.domains.paused(now, &mut changes);
        self.change_domains(now, changes, out);
        self.origin_input(now, OriginInput::Paused, out);
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        self.flush(now, out);
        self.compare_alive(now, out);
        for peer in self.peers.remove_expired(now) {
            self.lost.remove(&peer);
            out.push(Output::RemovePeer(peer));
        }
        if self.config.part == ProcessKind::Entry {
            self.join(now, out);
            if now.since(self.compared) >= COMPARE {
                self.compare_domains(now, out);
            }
            self.measure(now);
            if self.stale || self.origin.holders_incomplete() {
                self.update_holders(now, out);
            } else {
                let me = self.config.me.instance;
                self.update_loads(now, me, self.holdings.clone(), out);
            }
            self.spread_learned(now, out);
            self.spread_crashes(now, out);
            self.pool_input(now, PoolInput::Tick, out);
            self.origin_input(now, OriginInput::Tick, out);
        }
        self.probe_silent(now, out);
        self.beat_if_due(now, out);
    }

    /// Becomes ready once it knows the configuration and had time to hear the others.
    fn join(&mut self, now: Time, out: &mut Vec<Output>) {
        let short = !self
            .config
            .pool
            .disabled
            .contains(Mechanism::ShortListening);
        let wait = if short && self.is_undivided() && self.peers.all_just_started(now) {
            JOIN_ANEW
        } else {
            JOIN
        };
        let known = self.version > 0 && now.since(self.started) >= wait;
        if self.stage == Stage::Joining && known {
            self.set_stage(Stage::Ready, out);
            self.send_beats(now, out);
        }
    }

    fn beat(&mut self, now: Time, from: Process, beat: FleetHeartbeat, out: &mut Vec<Output>) {
        // Work of a process that is silent is dropped. Where it is heard again before the next tick its silence has to be noticed
        // first, or neither side would ask for what was dropped, and a caller wait for it in vain.
        let known = self.peers.get(from.instance);
        if known.is_some_and(|view| !view.alive(now)) && self.alive.contains(&from.instance) {
            self.compare_alive(now, out);
        }
        let before = self.peers.get(from.instance);
        let life = before.map(|view| view.process.incarnation);
        let held = |beat: &FleetHeartbeat| -> Vec<_> {
            let holdings = beat.owned_domains.iter();
            holdings.map(|h| (h.domain, h.fence)).collect()
        };
        let held_before = before.map(|view| held(&view.heartbeat));
        let evacuations = beat.evacuations.clone();
        let hurried = before.is_some_and(PeerView::has_short_timeout);
        let holdings = held(&beat);
        self.domains.observe(beat.fence);
        let window = Self::window(&beat);
        let (echo, loads) = (beat.echo, beat.owned_domains.clone());
        let answer = beat.probe;
        if !self.peers.record_heartbeat(now, from, beat, window) {
            return;
        }
        if life != Some(from.incarnation) {
            self.new_life(now, from, out);
        }
        if self.alive.insert(from.instance) {
            self.found(now, from.instance, out);
        }
        self.adopt_evacuations(now, &evacuations, out);
        self.take_echo(now, from, echo, out);
        // A hand-over is taken up with the next flush, and not with the next tick.
        if held_before.is_none_or(|held| held != holdings) {
            self.changed.insert(from.instance);
        } else {
            self.update_loads(now, from.instance, loads, out);
            // The first frequent heartbeat of a process that was asked for them is answered at once: it
            // may wait for what it hears of itself by that to start what was handed to it.
            let close = window <= CLOSE && !hurried;
            self.stale |= close;
            if answer || close {
                self.send_beat(now, from.instance, out);
            }
        }
    }

    /// Adopts evacuations if their revision is higher than the known one; returns whether it was.
    fn adopt_evacuations(
        &mut self,
        now: Time,
        evacuations: &Evacuations,
        out: &mut Vec<Output>,
    ) -> bool {
        if evacuations.revision <= self.evacuations.revision {
            return false;
        }
        self.evacuations = evacuations.clone();
        out.push(Output::Member(MemberEvent::Evacuated {
            revision: evacuations.revision,
            dcs: evacuations.dcs.clone(),
        }));
        self.pool_input(
            now,
            PoolInput::EvacuatedDataCentres(evacuations.dcs.clone()),
            out,
        );
        true
    }

    fn new_life(&mut self, now: Time, from: Process, out: &mut Vec<Output>) {
        out.push(Output::Member(MemberEvent::PeerHeard {
            peer: from.instance,
            incarnation: from.incarnation,
        }));
        if self.alive.contains(&from.instance) {
            // What the earlier life had is lost, though its silence was too short to notice.
            self.lose_peer(now, from.instance, out);
        }
        out.push(Output::NewPeer(from));
    }

    /// Finds out who is lost since the last time.
    fn compare_alive(&mut self, now: Time, out: &mut Vec<Output>) {
        let alive: BTreeSet<_> = self.peers.alive(now).map(|(id, _)| id).collect();
        let lost: Vec<_> = self.alive.difference(&alive).copied().collect();
        let found: Vec<_> = alive.difference(&self.alive).copied().collect();
        self.alive = alive;
        self.stale |= !found.is_empty() || !lost.is_empty();
        for peer in found {
            self.found(now, peer, out);
        }
        for peer in lost {
            self.lose_peer(now, peer, out);
        }
    }

    fn found(&mut self, now: Time, peer: InstanceId, out: &mut Vec<Output>) {
        self.stale = true;
        if self
            .peers
            .get(peer)
            .is_some_and(|view| !view.just_started())
        {
            self.domains.peer_found(now);
        }
        out.push(Output::PeerAlive(peer));
        self.send_beat(now, peer, out);
        // What it handed in while it was taken for lost was not taken.
        if self.lost.remove(&peer) {
            self.pool_input(now, PoolInput::ResyncOrigin(peer), out);
        }
    }

    fn lose_peer(&mut self, now: Time, peer: InstanceId, out: &mut Vec<Output>) {
        self.lost.insert(peer);
        let view = self.peers.get(peer);
        let silent = view.map_or(Duration::ZERO, |view| now.since(view.last_contact));
        out.push(Output::Member(MemberEvent::PeerLost {
            peer,
            silent_ms: u32::try_from(silent.as_millis()).unwrap_or(u32::MAX),
            refused: view.is_some_and(|view| view.refused),
        }));
        self.pool_input(now, PoolInput::OriginLost(peer), out);
        self.origin_input(now, OriginInput::PeerLost(peer), out);
    }

    fn compare_domains(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.config.part != ProcessKind::Entry {
            return;
        }
        self.compared = now;
        // Idle workers are not called. Without asking them, a data centre whose processes are all
        // silent would be given up as soon as there is nothing to do, and tried again and again.
        for domain in self.domains.silent_domains(now, &self.peers) {
            self.pool_input(now, PoolInput::CheckReachable(domain), out);
        }
        let mut changes = Vec::new();
        self.divide(now, &mut changes, out);
        let short = !self
            .config
            .pool
            .disabled
            .contains(Mechanism::ShortListening);
        self.domains
            .set_single_dispatcher(short && self.is_undivided());
        self.domains
            .set_resharding(self.uneven.is_some() && self.domains.shards() == 1);
        let held = self.domains.owned().keys().copied();
        let reached = held.filter(|domain| self.pool.is_reachable(now, *domain, WORKERS_HEARD));
        self.domains
            .tick(now, &self.peers, &reached.collect(), &mut changes);
        self.change_domains(now, changes, out);
        self.update_circle(now, out);
    }

    /// Finds out who stands ready for whom, often enough that those who have just come or gone are counted.
    fn update_circle(&mut self, now: Time, out: &mut Vec<Output>) {
        if now.since(self.circled) < CIRCLE {
            return;
        }
        self.circled = now;
        let circle = self.domains.succession(now, &self.peers);
        self.set_circle(now, circle, out);
    }

    /// Whether workers are known, and one dispatcher suffices for all of them.
    fn is_undivided(&self) -> bool {
        self.pool.known_workers() > 0 && self.domains.shards() == 1
    }

    /// Divides the workers in as many shards as their number wants, or as others have found. The
    /// number only rises, so that all come to the same one.
    fn divide(&mut self, now: Time, changes: &mut Vec<Change>, out: &mut Vec<Output>) {
        let wanted = shards(self.pool.known_workers(), self.config.shard_size);
        let told = self.peers.alive(now).map(|(_, view)| view.heartbeat.shards);
        let told = told.max();
        let shards = told.unwrap_or(1).max(wanted);
        if shards <= self.domains.shards() {
            self.uneven = None;
            return;
        }
        // All that are there announce themselves within a moment of each other, and each division gives up all that
        // is held: they divide once, when no more are heard of.
        let known = self.pool.known_workers();
        let uneven = self.uneven.get_or_insert((known, now, now));
        if uneven.0 != known {
            (uneven.0, uneven.2) = (known, now);
        }
        let settled = now.since(uneven.2) >= SETTLED || now.since(uneven.1) >= UNSETTLED;
        if told.is_none_or(|told| told < shards) && !settled {
            return;
        }
        self.uneven = None;
        self.domains.set_shards(shards, changes);
        self.change_domains(now, std::mem::take(changes), out);
        self.pool.set_shards(shards);
        out.push(Output::Member(MemberEvent::Divided { shards }));
    }

    fn change_domains(&mut self, now: Time, changes: Vec<Change>, out: &mut Vec<Output>) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            let input = match change {
                Change::Acquire(domain, fence) => PoolInput::Acquire(domain, fence),
                Change::Resign(domain) => PoolInput::Resign(domain),
            };
            self.pool_input(now, input, out);
        }
        self.measure(now);
        self.update_holders(now, out);
        self.send_beats(now, out);
    }

    fn work(&mut self, now: Time, from: Process, msg: WorkMsg, out: &mut Vec<Output>) {
        if !self.speaks_now(now, from) {
            return;
        }
        let from = from.instance;
        match msg {
            WorkMsg::Submit(_)
            | WorkMsg::Cancel { .. }
            | WorkMsg::Drop { .. }
            | WorkMsg::ResyncDone { .. } => {
                self.pool_input(now, PoolInput::Work(from, msg), out);
            }
            WorkMsg::Ended(_) | WorkMsg::Crashed(..) | WorkMsg::Resync(_) => {
                self.origin_input(now, OriginInput::Work(from, msg), out);
            }
        }
    }

    /// Whether a message is of a process that is alive. One that was on its way when its sender
    /// died would start work that nobody stops any more, while its caller sends the job again.
    /// What is dropped of one that lives on is asked for again when it is heard.
    fn speaks_now(&self, now: Time, from: Process) -> bool {
        let view = self.peers.get(from.instance);
        let alive = view.is_some_and(|view| view.process == from && view.alive(now));
        from == self.config.me || alive
    }

    pub(crate) fn pool_input(&mut self, now: Time, input: PoolInput, out: &mut Vec<Output>) {
        let mut outputs = Vec::new();
        self.pool.handle(now, input, &mut outputs);
        for output in outputs {
            match output {
                celerywinch_pool::Output::Call(call) => out.push(Output::Call(call)),
                celerywinch_pool::Output::Send(to, msg) => self.send_work(to, msg, out),
                celerywinch_pool::Output::Fenced(domain) => {
                    let mut changes = Vec::new();
                    self.domains.fenced(now, domain, &mut changes);
                    self.change_domains(now, changes, out);
                }
                celerywinch_pool::Output::TokenExhausted(domain) => {
                    let mut changes = Vec::new();
                    self.domains.renew(domain, &mut changes);
                    self.change_domains(now, changes, out);
                }
                celerywinch_pool::Output::Crashed(task, crashes) => {
                    self.crashes.insert(task, crashes);
                }
                celerywinch_pool::Output::ProbeQueue(queue) => {
                    self.careful.insert(queue);
                }
                celerywinch_pool::Output::Event(note) => out.push(Output::Dispatch(note)),
            }
        }
    }

    pub(crate) fn origin_input(&mut self, now: Time, input: OriginInput, out: &mut Vec<Output>) {
        let mut outputs = Vec::new();
        self.origin.handle(now, input, &mut outputs);
        for output in outputs {
            match output {
                celerywinch_origin::Output::Send(to, msg) => {
                    if matches!(msg, WorkMsg::Submit(_)) {
                        self.hand_to(now, to, out);
                    }
                    self.send_work(to, msg, out);
                }
                celerywinch_origin::Output::Answer(caller, end) => {
                    out.push(Output::Answer(caller, end));
                }
                celerywinch_origin::Output::Event(event) => out.push(Output::Origin(event)),
            }
        }
    }

    fn send_work(&mut self, to: InstanceId, msg: WorkMsg, out: &mut Vec<Output>) {
        if to == self.config.me.instance {
            // Not at once: the state machine that said it is still at work.
            self.own.push_back(msg);
        } else {
            out.push(Output::Send(to, FleetMsg::Work(msg)));
        }
    }
}

/// A power of two, so that it changes rarely as workers come and go.
fn shards(workers: usize, most: usize) -> u8 {
    let wanted = workers.div_ceil(most.max(1)).next_power_of_two();
    u8::try_from(wanted).unwrap_or(MOST_SHARDS).min(MOST_SHARDS)
}

//! The state machine of a member.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use celerywinch_domains::{Change, Domains, LocalEntry, PeerView, Peers};
use celerywinch_origin::{CallerId, Input as OriginInput, JobEvent, NewJob, Origin};
use celerywinch_pool::{
    Answer, Call, CallKey, Grant, Input as PoolInput, Pool, PoolConfig, PoolEvent,
};
use celerywinch_types::{
    Capacity, Crashes, DataCentreId, Evacuations, FleetHeartbeat, FleetMsg, InstanceId, JobEnd,
    Learned, Mechanism, OwnedDomain, Process, ProcessKind, Stage, TaskId, Time, WallMs, WorkMsg,
    WorkerAnnouncement,
};

use crate::MemberEvent;
use crate::heartbeats::FrequentPeers;
use crate::round_robin::RoundRobin;

/// Minimum time from the start of an entry until it is ready: the heartbeats of all live processes have
/// arrived by then.
const JOIN_DELAY: Duration = Duration::from_millis(300);
/// The same minimum if all known peers have just started too, so no others are left to discover.
const COLD_START_DELAY: Duration = Duration::from_millis(100);
/// Interval at which an entry re-evaluates which domains it dispatches for, if no heartbeat gives cause for
/// it earlier.
const UPDATE_INTERVAL: Duration = Duration::from_millis(40);
/// A data centre is reachable if one of its workers answered within this time.
const REACH_TIMEOUT: Duration = Duration::from_secs(1);

/// The set of workers counts as settled if no new one was announced for this long: 1,100 starting workers
/// come 1.4 ms apart, and the last gaps are longer.
const SETTLED_AFTER: Duration = Duration::from_millis(120);
/// Time after which the workers are divided even if the set has not settled: workers announce themselves
/// every 1.5 s. After a loss of all processes this also lets the entries become ready before they take
/// shards: when the workers were divided 360 ms after the start instead of 620 ms, so few entries owned so
/// many shards that 634 callers of the next 2 s failed instead of 161.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(2);
/// Interval at which an entry updates which peers it may take over from, and which may take over from it.
const SUCCESSION_INTERVAL: Duration = Duration::from_millis(250);
/// Heartbeats with a timeout of at most this are frequent.
const FREQUENT_TIMEOUT: Duration = Duration::from_millis(350);

/// Maximum number of shards.
const MAX_SHARDS: u8 = 64;

/// The configuration of a member.
#[derive(Clone, Debug)]
pub struct MemberConfig {
    /// This process.
    pub me: Process,
    /// Whether it is an entry or a keeper.
    pub kind: ProcessKind,
    /// Its data centre.
    pub dc: DataCentreId,
    /// All data centres of the fleet.
    pub dcs: BTreeSet<DataCentreId>,
    /// Maximum number of workers that this process takes as a dispatcher, and its weight among the entries that may.
    pub shard_size: usize,
    /// The configuration of the dispatcher.
    pub pool: PoolConfig,
}

impl MemberConfig {
    /// Returns what this process can carry, if entries rank by that.
    pub(crate) fn capacity(&self) -> Option<Capacity> {
        let by_capacity = !self.pool.disabled.contains(Mechanism::CapacityRank);
        by_capacity.then(|| Capacity::new(self.shard_size))
    }
}

/// An input from the host.
#[derive(Clone, Debug)]
pub enum Input {
    /// A heartbeat arrived.
    Heartbeat(Process, FleetHeartbeat),
    /// A machine refused a connection because no process listens there.
    ConnectionRefused(InstanceId),
    /// Messages from or to a process may be lost.
    LinkReset(InstanceId),
    /// A message between an origin and a dispatcher arrived.
    Work(Process, WorkMsg),
    /// Announcements of workers.
    Workers(Vec<WorkerAnnouncement>),
    /// What another dispatcher has learned.
    Learned(Learned),
    /// Workers that crashed under tasks, as reported by another dispatcher.
    Crashes(Vec<(TaskId, Crashes)>),
    /// Queues whose steps another dispatcher starts with a single probe task, because their tasks may crash
    /// workers.
    ProbeQueues(Vec<String>),
    /// A caller submits a job; it is taken up at the next `Flush` or `Tick`.
    Submit(CallerId, NewJob),
    /// A caller no longer waits for its answer.
    CallerGone(CallerId),
    /// All messages that arrived together were passed in.
    Flush,
    /// The result of a call to a worker.
    Answered(CallKey, Answer),
    /// A worker answered after the timeout of its call. The duration is the time from the call to the answer,
    /// less the wait that the call asked for.
    AnsweredLate(Duration),
    /// The version of the configuration that is in force here.
    ConfigVersion(u64),
    /// The evacuations stored by the local keeper.
    Evacuations(Evacuations),
    /// A planned stop begins.
    Stop,
    /// The process was suspended and has resumed.
    Paused,
    /// Time passed.
    Tick,
}

/// An output that the host carries out, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Call a worker.
    Call(Call),
    /// Send a message to a process.
    Send(InstanceId, FleetMsg),
    /// Answer a caller.
    Answer(CallerId, JobEnd),
    /// The first heartbeat of a process, or of a new incarnation of a known one, arrived.
    NewPeer(Process),
    /// A process is alive, for the first time or after a silence. Messages that were sent to all live
    /// processes before have not reached it.
    PeerAlive(InstanceId),
    /// A process was removed from the known peers after a long silence.
    RemovePeer(InstanceId),
    /// This process entered another stage.
    Stage(Stage),
    /// An event of the member, for the logs.
    Member(MemberEvent),
    /// An event of the dispatcher, for the logs.
    Dispatch(PoolEvent),
    /// An event of the origin, for the logs.
    Origin(JobEvent),
}

/// A member of a fleet: its view of the peers, its dispatcher and its origin.
#[derive(Debug)]
pub struct Member {
    pub(crate) config: MemberConfig,
    pub(crate) peers: Peers,
    alive: BTreeSet<InstanceId>,
    /// Peers that were alive and count as lost now.
    lost: BTreeSet<InstanceId>,
    pub(crate) domains: Domains,
    pub(crate) pool: Pool,
    pub(crate) origin: Origin,
    pub(crate) stage: Stage,
    pub(crate) version: u64,
    pub(crate) evacuations: Evacuations,
    started: Time,
    /// When the last frequent heartbeats were sent.
    pub(crate) heartbeat_sent: Time,
    /// The round-robin of heartbeats to all other peers.
    pub(crate) slow_peers: RoundRobin,
    /// The round-robin of messages with what this dispatcher has learned.
    pub(crate) learned_round: RoundRobin,
    pub(crate) frequent: FrequentPeers,
    /// Whether the origin's view of who dispatches is out of date.
    pub(crate) holders_stale: bool,
    /// The number of known workers while it calls for more shards, the time since when it does, and the time
    /// since when the number has not changed.
    unsettled: Option<(usize, Time, Time)>,
    /// When the peers that may take over from each other were last determined.
    succession_updated: Time,
    /// When the domains to dispatch for were last evaluated.
    domains_updated: Time,
    /// The domains it dispatches for, with their load at the last tick.
    pub(crate) owned_domains: Vec<OwnedDomain>,
    /// Workers that crashed under tasks, to be reported to other dispatchers.
    pub(crate) crashes: BTreeMap<TaskId, Crashes>,
    /// Queues that are started with a probe task, to be reported to other dispatchers.
    pub(crate) probe_queues: BTreeSet<String>,
    /// Messages from this process to itself.
    local_work: VecDeque<WorkMsg>,
    /// Jobs submitted since the last flush.
    arrivals: Vec<(CallerId, NewJob)>,
    /// Peers whose domains have changed since the last flush.
    pub(crate) changed_peers: BTreeSet<InstanceId>,
}

impl Member {
    /// Creates a member. The wall clock makes fencing tokens increase over restarts of all members.
    #[must_use]
    pub fn new(config: MemberConfig, now: Time, wall: WallMs) -> Self {
        let stage = match config.kind {
            ProcessKind::Entry => Stage::Joining,
            ProcessKind::Keeper => Stage::Ready,
        };
        let me = LocalEntry {
            instance: config.me.instance,
            dc: config.dc,
            stage,
            capacity: config.capacity(),
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
            heartbeat_sent: Time::default(),
            slow_peers: RoundRobin::default(),
            learned_round: RoundRobin::default(),
            frequent: FrequentPeers::default(),
            holders_stale: true,
            unsettled: None,
            succession_updated: Time::default(),
            domains_updated: Time::default(),
            owned_domains: Vec::new(),
            crashes: BTreeMap::new(),
            probe_queues: BTreeSet::new(),
            local_work: VecDeque::new(),
            arrivals: Vec::new(),
            changed_peers: BTreeSet::new(),
            config,
        }
    }

    /// Returns the known peers.
    #[must_use]
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Whether this process sends a peer its list of all processes when a link to it opens.
    ///
    /// Only keepers send it to a peer that was running before: if all processes did, the bytes would grow
    /// with the cube of their number when all links to a data centre reopen. A peer that has just started
    /// gets the list from all, or it would divide the workers among the few entries that it knows.
    #[must_use]
    pub fn sends_contacts(&self, peer: InstanceId) -> bool {
        let was_there = self
            .peers
            .get(peer)
            .is_some_and(|view| !view.just_started());
        self.config.kind == ProcessKind::Keeper || !was_there
    }

    /// Returns the number of callers' jobs that are open.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.origin.open_jobs() + self.arrivals.len()
    }

    /// Whether inputs wait for the next flush.
    #[must_use]
    pub fn needs_flush(&self) -> bool {
        !self.arrivals.is_empty() || !self.changed_peers.is_empty()
    }

    /// Whether callers may be routed here: the configuration is known, the process is not leaving, and there
    /// is a dispatcher for their jobs.
    #[must_use]
    pub fn is_ready(&self, now: Time) -> bool {
        self.stage == Stage::Ready && self.origin.has_dispatcher(now)
    }

    /// Whether work is open here, of callers or as dispatcher.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.pool.is_idle() || self.open_jobs() > 0
    }

    /// Describes the open work, of callers and as dispatcher, with one line for each job or step. For logs
    /// and checks.
    #[must_use]
    pub fn open_work(&self, now: Time) -> Vec<String> {
        let mut lines = self.origin.describe_jobs();
        lines.extend(self.pool.open_steps(now));
        lines
    }

    /// Returns the dispatcher, for its metrics.
    #[must_use]
    pub fn pool(&self) -> &Pool {
        &self.pool
    }

    /// Returns the evacuations with the highest revision known to this member.
    #[must_use]
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Handles an input and appends the outputs that the host has to carry out.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.handle_input(now, input, out);
        let me = self.config.me;
        while let Some(msg) = self.local_work.pop_front() {
            self.handle_work(now, me, msg, out);
        }
    }

    fn handle_input(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Heartbeat(from, heartbeat) => self.handle_heartbeat(now, from, heartbeat, out),
            Input::ConnectionRefused(peer) => {
                self.peers.record_refusal(peer);
                self.update_alive(now, out);
            }
            Input::LinkReset(peer) => {
                // The peer resends its own recent submissions, as its link broke as well. Resyncing even
                // without work of it would take six messages for each pair of processes when a deployment
                // starts.
                if self.pool.has_work_of(peer) {
                    self.pool_input(now, PoolInput::ResyncOrigin(peer), out);
                }
                self.origin_input(now, OriginInput::LinkReset(peer), out);
            }
            Input::Work(from, msg) => self.handle_work(now, from, msg, out),
            Input::Workers(announcements) => {
                self.pool_input(now, PoolInput::Workers(announcements), out)
            }
            Input::Learned(learned) => self.pool.learn_from(learned),
            Input::Crashes(crashes) => self.pool_input(now, PoolInput::Crashes(crashes), out),
            Input::ProbeQueues(queues) => self.pool_input(now, PoolInput::ProbeQueues(queues), out),
            Input::Submit(caller, job) => self.arrivals.push((caller, job)),
            Input::CallerGone(caller) => self.handle_caller_gone(now, caller, out),
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
                if adopted && self.config.kind == ProcessKind::Keeper {
                    self.broadcast_heartbeat(now, out);
                }
            }
            Input::Stop => {
                self.set_stage(Stage::Leaving, out);
                self.update_domains(now, out);
                self.broadcast_heartbeat(now, out);
            }
            Input::Paused => self.handle_pause(now, out),
            Input::Tick => self.tick(now, out),
        }
    }

    /// Takes up the changes and the jobs that have arrived since the last flush.
    ///
    /// A request is read together with the close of its connection if both have arrived. Its caller submits
    /// the job again at once, to another entry: if it were submitted here first, it would run twice until the
    /// worker has carried out the stop.
    ///
    /// Changes of dispatchers come first, once for all that arrived together: when a data centre is cut off
    /// or reachable again there are hundreds, and each evaluation visits all processes and domains.
    fn flush(&mut self, now: Time, out: &mut Vec<Output>) {
        if !self.changed_peers.is_empty() {
            self.update_domains(now, out);
            self.update_holders(now, out);
        }
        for (caller, job) in std::mem::take(&mut self.arrivals) {
            self.origin_input(now, OriginInput::Submit(caller, job), out);
        }
    }

    fn handle_caller_gone(&mut self, now: Time, caller: CallerId, out: &mut Vec<Output>) {
        let arrived = self.arrivals.iter().position(|(other, _)| *other == caller);
        match arrived {
            Some(index) => {
                let (_, job) = self.arrivals.remove(index);
                let event = JobEvent::CallerLeft {
                    job: job.id,
                    took: 0,
                };
                out.push(Output::Origin(event));
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

    /// Drops what was known before a suspension: the leases have expired, and others may dispatch in this
    /// process's place.
    fn handle_pause(&mut self, now: Time, out: &mut Vec<Output>) {
        let mut changes = Vec::new();
        self.domains.paused(now, &mut changes);
        self.apply_changes(now, changes, out);
        self.origin_input(now, OriginInput::Paused, out);
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        self.flush(now, out);
        self.update_alive(now, out);
        for peer in self.peers.remove_expired(now) {
            self.lost.remove(&peer);
            out.push(Output::RemovePeer(peer));
        }
        if self.config.kind == ProcessKind::Entry {
            self.join_when_ready(now, out);
            if now.since(self.domains_updated) >= UPDATE_INTERVAL {
                self.update_domains(now, out);
            }
            self.update_owned_domains(now);
            if self.holders_stale || self.origin.holders_incomplete() {
                self.update_holders(now, out);
            } else {
                let me = self.config.me.instance;
                self.update_loads(now, me, self.owned_domains.clone(), out);
            }
            self.send_learned(now, out);
            self.send_crashes(now, out);
            self.pool_input(now, PoolInput::Tick, out);
            self.origin_input(now, OriginInput::Tick, out);
        }
        self.probe_silent_data_centres(now, out);
        self.send_due_heartbeats(now, out);
    }

    /// Becomes ready once the configuration is known and the heartbeats of the others had time to arrive.
    fn join_when_ready(&mut self, now: Time, out: &mut Vec<Output>) {
        let short_listening = !self
            .config
            .pool
            .disabled
            .contains(Mechanism::ShortListening);
        let wait = if short_listening && self.is_undivided() && self.peers.all_just_started(now) {
            COLD_START_DELAY
        } else {
            JOIN_DELAY
        };
        let may_join = self.version > 0 && now.since(self.started) >= wait;
        if self.stage == Stage::Joining && may_join {
            self.set_stage(Stage::Ready, out);
            self.broadcast_heartbeat(now, out);
        }
    }

    /// Handles a heartbeat, and drops it if it is older than the last one of its sender.
    fn handle_heartbeat(
        &mut self,
        now: Time,
        from: Process,
        heartbeat: FleetHeartbeat,
        out: &mut Vec<Output>,
    ) {
        // Work from a silent process is dropped. If its heartbeat arrives before the next tick, its silence
        // has to be recorded first: otherwise neither side would ask for the dropped work, and a caller would
        // wait in vain.
        let known = self.peers.get(from.instance);
        if known.is_some_and(|view| !view.alive(now)) && self.alive.contains(&from.instance) {
            self.update_alive(now, out);
        }
        let before = self.peers.get(from.instance);
        let incarnation = before.map(|view| view.process.incarnation);
        let domains = |heartbeat: &FleetHeartbeat| -> Vec<_> {
            let owned_domains = heartbeat.owned_domains.iter();
            owned_domains.map(|h| (h.domain, h.fence)).collect()
        };
        let owned_before = before.map(|view| domains(&view.heartbeat));
        let evacuations = heartbeat.evacuations.clone();
        let was_frequent = before.is_some_and(PeerView::has_short_timeout);
        let owned_domains = domains(&heartbeat);
        self.domains.observe(heartbeat.fence);
        let timeout = Self::timeout_after(&heartbeat);
        let (echo, loads) = (heartbeat.echo, heartbeat.owned_domains.clone());
        let is_probe = heartbeat.probe;
        if !self.peers.record_heartbeat(now, from, heartbeat, timeout) {
            return;
        }
        if incarnation != Some(from.incarnation) {
            self.new_incarnation(now, from, out);
        }
        if self.alive.insert(from.instance) {
            self.peer_found(now, from.instance, out);
        }
        self.adopt_evacuations(now, &evacuations, out);
        self.handle_echo(now, from, echo, out);
        // A handover is taken up at the next flush, before the next tick.
        if owned_before.is_none_or(|before| before != owned_domains) {
            self.changed_peers.insert(from.instance);
        } else {
            self.update_loads(now, from.instance, loads, out);
            // The first frequent heartbeat of a process that was asked for them is answered at once: it may
            // need the echo to start what was submitted to it.
            let now_frequent = timeout <= FREQUENT_TIMEOUT && !was_frequent;
            self.holders_stale |= now_frequent;
            if is_probe || now_frequent {
                self.send_heartbeat(now, from.instance, out);
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

    fn new_incarnation(&mut self, now: Time, from: Process, out: &mut Vec<Output>) {
        out.push(Output::Member(MemberEvent::PeerHeard {
            peer: from.instance,
            incarnation: from.incarnation,
        }));
        if self.alive.contains(&from.instance) {
            // The state of the earlier incarnation is lost, even if its silence was too short to notice.
            self.peer_lost(now, from.instance, out);
        }
        out.push(Output::NewPeer(from));
    }

    /// Updates which peers are alive, and handles those that were lost or found since the last update.
    fn update_alive(&mut self, now: Time, out: &mut Vec<Output>) {
        let alive: BTreeSet<_> = self.peers.alive(now).map(|(id, _)| id).collect();
        let lost: Vec<_> = self.alive.difference(&alive).copied().collect();
        let found: Vec<_> = alive.difference(&self.alive).copied().collect();
        self.alive = alive;
        self.holders_stale |= !found.is_empty() || !lost.is_empty();
        for peer in found {
            self.peer_found(now, peer, out);
        }
        for peer in lost {
            self.peer_lost(now, peer, out);
        }
    }

    /// Handles a peer that is alive for the first time, or again.
    fn peer_found(&mut self, now: Time, peer: InstanceId, out: &mut Vec<Output>) {
        self.holders_stale = true;
        if self
            .peers
            .get(peer)
            .is_some_and(|view| !view.just_started())
        {
            self.domains.peer_found(now);
        }
        out.push(Output::PeerAlive(peer));
        self.send_heartbeat(now, peer, out);
        // Its submissions were dropped while it counted as lost.
        if self.lost.remove(&peer) {
            self.pool_input(now, PoolInput::ResyncOrigin(peer), out);
        }
    }

    /// Handles the loss of a peer, as an origin and as a dispatcher.
    fn peer_lost(&mut self, now: Time, peer: InstanceId, out: &mut Vec<Output>) {
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

    /// Re-evaluates which domains this entry dispatches for, and applies the changes.
    fn update_domains(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.config.kind != ProcessKind::Entry {
            return;
        }
        self.domains_updated = now;
        // Idle workers get no calls. Without a check, a data centre whose processes are all silent would be
        // resigned as soon as it is idle, and acquired again, over and over.
        for domain in self.domains.silent_domains(now, &self.peers) {
            self.pool_input(now, PoolInput::CheckReachable(domain), out);
        }
        let mut changes = Vec::new();
        self.update_shards(now, &mut changes, out);
        let short_listening = !self
            .config
            .pool
            .disabled
            .contains(Mechanism::ShortListening);
        self.domains
            .set_single_dispatcher(short_listening && self.is_undivided());
        self.domains
            .set_resharding(self.unsettled.is_some() && self.domains.shards() == 1);
        let owned = self.domains.owned().keys().copied();
        let reached = owned.filter(|domain| self.pool.is_reachable(now, *domain, REACH_TIMEOUT));
        self.domains
            .tick(now, &self.peers, &reached.collect(), &mut changes);
        self.apply_changes(now, changes, out);
        self.update_succession(now, out);
    }

    /// Updates which peers may take over from each other, often enough to include those that have just joined
    /// or left.
    fn update_succession(&mut self, now: Time, out: &mut Vec<Output>) {
        if now.since(self.succession_updated) < SUCCESSION_INTERVAL {
            return;
        }
        self.succession_updated = now;
        let succession = self.domains.succession(now, &self.peers);
        self.set_succession(now, succession, out);
    }

    /// Whether workers are known and one dispatcher suffices for all of them.
    fn is_undivided(&self) -> bool {
        self.pool.known_workers() > 0 && self.domains.shards() == 1
    }

    /// Divides the workers into as many shards as their number requires, or as a peer reports. The number of
    /// shards only rises, so all members arrive at the same one.
    fn update_shards(&mut self, now: Time, changes: &mut Vec<Change>, out: &mut Vec<Output>) {
        let needed = shard_count(self.pool.known_workers(), self.config.shard_size);
        let reported = self.peers.alive(now).map(|(_, view)| view.heartbeat.shards);
        let reported = reported.max();
        let shards = reported.unwrap_or(1).max(needed);
        if shards <= self.domains.shards() {
            self.unsettled = None;
            return;
        }
        // All workers announce themselves within a short time, and each division resigns all owned domains.
        // So the workers are divided once, when no more are announced.
        let known = self.pool.known_workers();
        let unsettled = self.unsettled.get_or_insert((known, now, now));
        if unsettled.0 != known {
            (unsettled.0, unsettled.2) = (known, now);
        }
        let settled =
            now.since(unsettled.2) >= SETTLED_AFTER || now.since(unsettled.1) >= MAX_SETTLE_TIME;
        if reported.is_none_or(|reported| reported < shards) && !settled {
            return;
        }
        self.unsettled = None;
        self.domains.set_shards(shards, changes);
        self.apply_changes(now, std::mem::take(changes), out);
        self.pool.set_shards(shards);
        out.push(Output::Member(MemberEvent::Divided { shards }));
    }

    /// Acquires and resigns domains, and reports the result to all peers.
    fn apply_changes(&mut self, now: Time, changes: Vec<Change>, out: &mut Vec<Output>) {
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
        self.update_owned_domains(now);
        self.update_holders(now, out);
        self.broadcast_heartbeat(now, out);
    }

    fn handle_work(&mut self, now: Time, from: Process, msg: WorkMsg, out: &mut Vec<Output>) {
        if !self.is_current(now, from) {
            return;
        }
        let from = from.instance;
        match msg {
            WorkMsg::Submit(_)
            | WorkMsg::Cancel { .. }
            | WorkMsg::Drop { .. }
            | WorkMsg::ResyncDone { .. }
            | WorkMsg::Reserve(_)
            | WorkMsg::Release(_) => {
                self.pool_input(now, PoolInput::Work(from, msg), out);
            }
            WorkMsg::Ended(_)
            | WorkMsg::Crashed(..)
            | WorkMsg::Resync(_)
            | WorkMsg::Offer(_)
            | WorkMsg::Decline(_) => {
                self.origin_input(now, OriginInput::Work(from, msg), out);
            }
        }
    }

    /// Whether a message comes from the current incarnation of a live process. One that was in flight when
    /// its sender died would start work that nobody stops any more, while its caller submits the job again.
    /// What is dropped from a process that lives on is requested again when its heartbeat arrives.
    fn is_current(&self, now: Time, from: Process) -> bool {
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
                    self.apply_changes(now, changes, out);
                }
                celerywinch_pool::Output::TokenExhausted(domain) => {
                    let mut changes = Vec::new();
                    self.domains.renew(domain, &mut changes);
                    self.apply_changes(now, changes, out);
                }
                celerywinch_pool::Output::Crashed(task, crashes) => {
                    self.crashes.insert(task, crashes);
                }
                celerywinch_pool::Output::ProbeQueue(queue) => {
                    self.probe_queues.insert(queue);
                }
                celerywinch_pool::Output::Event(event) => out.push(Output::Dispatch(event)),
            }
        }
    }

    pub(crate) fn origin_input(&mut self, now: Time, input: OriginInput, out: &mut Vec<Output>) {
        let mut outputs = Vec::new();
        self.origin.handle(now, input, &mut outputs);
        for output in outputs {
            match output {
                celerywinch_origin::Output::Send(to, msg) => {
                    if matches!(msg, WorkMsg::Submit(_) | WorkMsg::Reserve(_)) {
                        self.prepare_submission(now, to, out);
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
            // Queued, as the state machine that sent the message is still being handled.
            self.local_work.push_back(msg);
        } else {
            out.push(Output::Send(to, FleetMsg::Work(msg)));
        }
    }
}

/// Returns the number of shards for a number of workers: a power of two, so that it changes rarely as workers
/// join and leave.
fn shard_count(workers: usize, max: usize) -> u8 {
    let needed = workers.div_ceil(max.max(1)).next_power_of_two();
    u8::try_from(needed).unwrap_or(MAX_SHARDS).min(MAX_SHARDS)
}

//! Heartbeats: what they report of dispatchers, and how often each peer gets one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celerywinch_domains::{PeerView, Succession};
use celerywinch_origin::{Holder, Input as OriginInput};
use celerywinch_pool::{Grant, Input as PoolInput};
use celerywinch_types::{
    DataCentreId, Domain, Echo, Fence, FleetHeartbeat, FleetMsg, InstanceId, Mechanism,
    OwnedDomain, Process, ProcessKind, Time, score,
};

use crate::member::{Member, Output};

/// Interval of heartbeats to a process that needs them often.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of heartbeats of a dispatcher in a small fleet: origins choose among dispatchers by the free room
/// that they report.
const DISPATCHER_INTERVAL: Duration = Duration::from_millis(50);
/// Largest number of peers at which all processes exchange frequent heartbeats. In a larger fleet only those
/// that work with each other do, or the cost for each process would rise with their number: with 152
/// processes of 0.12 of a core each, 32 of which dispatched, 90,000 heartbeats a second took more than the
/// processor had, and nothing was served in time.
const SMALL_FLEET: usize = 16;
/// Minimum interval of heartbeats to any other process.
const SLOW_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum rate of heartbeats to all of these other processes together, per second: 0.1% of a core, whatever
/// their number. What has to be known at once is broadcast when it changes.
const MAX_SLOW_RATE: u32 = 20;
/// Time without a heartbeat after which a process counts as lost: three and a half intervals, as one
/// heartbeat may be late and one lost with its connection.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(350);
/// Duration of a grant: for how long a dispatcher may start tasks of an origin, counted from the dispatcher's
/// heartbeat that the origin echoed. The origin counts the dispatcher as lost `HEARTBEAT_TIMEOUT` after that
/// heartbeat at the earliest, or at once if a connection is refused, and the tasks are started elsewhere
/// 1,450 ms later. The longest lease and its errors (931 ms) have to fit between the end of the grant and
/// that start. In ordinary service the heartbeats of both sides take 200 ms of the grant. A grant also ends
/// `HEARTBEAT_TIMEOUT` after the origin's last heartbeat: a caller whose connection breaks because its entry
/// is cut off submits its job to another entry after 1,300 ms, and what was started here has to be over by
/// then (350 + 931 ms).
const GRANT_DURATION: Duration = Duration::from_millis(500);
/// Interval at which one entry gets what a dispatcher has learned, which changes by a few percent meanwhile.
const LEARNED_INTERVAL: Duration = Duration::from_secs(1);
/// Number of dispatchers that an origin submits its jobs to, if there are more. Each of them gets ten
/// heartbeats a second from the origin, so with all dispatchers the heartbeats would rise with the square of
/// the fleet's size. With six, nearly always one has room: two are drawn for a job, and up to four are tried.
const DISPATCHERS: usize = 6;
/// How many of these are in the origin's own data centre, if it has that many.
const LOCAL_DISPATCHERS: usize = 3;
/// Time after which the silence of all frequent peers of a data centre makes it suspect: two heartbeats are
/// missing.
const SUSPECT_AFTER: Duration = Duration::from_millis(200);
/// Minimum time between two rounds of probes to a data centre. A peer that has been silent for longer than
/// this is ignored, as its silence gives no new information.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The peers with which this process exchanges frequent heartbeats.
#[derive(Clone, Debug, Default)]
pub(crate) struct FrequentPeers {
    /// Dispatchers that its callers' jobs are submitted to. Only these get grants to start them.
    dispatchers: BTreeSet<InstanceId>,
    /// Dispatchers that it may have to take over from, and entries that would take over before it.
    predecessors: BTreeSet<InstanceId>,
    /// Entries that would take over from it.
    successors: BTreeSet<InstanceId>,
    /// Peers whose last heartbeat from here announced frequent ones.
    announced: BTreeSet<InstanceId>,
    /// When each data centre was last probed.
    last_probes: BTreeMap<DataCentreId, Time>,
}

impl Member {
    /// Determines the dispatcher of each domain by the highest fencing token that any live peer reports.
    pub(crate) fn update_holders(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.config.kind != ProcessKind::Entry {
            return;
        }
        self.holders_stale = false;
        let mut best: BTreeMap<Domain, (InstanceId, OwnedDomain)> = BTreeMap::new();
        let mut add = |instance: InstanceId, owned: OwnedDomain| {
            let known = best.get(&owned.domain);
            if known.is_none_or(|(_, other)| other.fence < owned.fence) {
                best.insert(owned.domain, (instance, owned));
            }
        };
        for owned in &self.owned_domains {
            add(self.config.me.instance, *owned);
        }
        for (instance, view) in self.peers.alive(now) {
            for owned in &view.heartbeat.owned_domains {
                add(instance, *owned);
            }
        }
        let all: BTreeSet<_> = best.values().map(|(instance, _)| *instance).collect();
        self.choose_dispatchers(now, &all, out);
        // A new dispatcher first gets an echo of its heartbeat, or it could not start what is submitted to
        // it.
        for peer in std::mem::take(&mut self.changed_peers) {
            if self.uses_dispatcher(peer) {
                self.send_heartbeat(now, peer, out);
            }
        }
        let holders = best.into_iter().map(|(domain, (instance, owned))| Holder {
            domain,
            instance,
            load: owned.load,
            preferred: self.may_submit_to(instance),
            local: self.is_local(instance),
        });
        let input = OriginInput::Holders(holders.collect());
        self.origin_input(now, input, out);
    }

    /// Chooses the dispatchers that callers' jobs are submitted to: a few by a hash, so that each dispatcher
    /// gets its share of the origins, this process if it dispatches, and those that have work of these
    /// callers.
    fn choose_dispatchers(&mut self, now: Time, all: &BTreeSet<InstanceId>, out: &mut Vec<Output>) {
        let me = self.config.me.instance;
        let mut ranked: Vec<_> = all.iter().copied().collect();
        ranked.sort_by_key(|holder| score(u64::from(me.0), u64::from(holder.0)));
        let local = ranked.iter().filter(|holder| self.is_local(**holder));
        let mut chosen: BTreeSet<_> = local.take(LOCAL_DISPATCHERS).copied().collect();
        let others: Vec<_> = ranked.iter().filter(|h| !chosen.contains(h)).collect();
        chosen.extend(others.into_iter().take(DISPATCHERS - chosen.len()));
        chosen.extend(all.get(&me));
        chosen.extend(self.origin.dispatchers());
        let new: Vec<_> = chosen
            .difference(&self.frequent.dispatchers)
            .copied()
            .collect();
        self.frequent.dispatchers = chosen;
        for dispatcher in new {
            self.request_heartbeat(now, dispatcher, out);
        }
    }

    /// Whether a process is in this data centre, so that callers' jobs are submitted to it first.
    fn is_local(&self, peer: InstanceId) -> bool {
        let same_dc = peer == self.config.me.instance
            || self
                .peers
                .get(peer)
                .is_some_and(|view| view.heartbeat.dc == self.config.dc);
        same_dc && !self.config.pool.disabled.contains(Mechanism::Locality)
    }

    /// Requests frequent heartbeats from a dispatcher before it gets work: it starts the work only with a
    /// grant.
    pub(crate) fn prepare_submission(
        &mut self,
        now: Time,
        dispatcher: InstanceId,
        out: &mut Vec<Output>,
    ) {
        if self.frequent.dispatchers.insert(dispatcher) {
            self.request_heartbeat(now, dispatcher, out);
        }
    }

    /// Asks a process for frequent heartbeats and for an immediate answer, as it may have been silent since
    /// its last heartbeat, seconds ago. Callers' jobs submitted to such a dispatcher would wait there for as
    /// long, and so would a shard whose takeover waits for such an entry because it ranks before this one.
    fn request_heartbeat(&mut self, now: Time, peer: InstanceId, out: &mut Vec<Output>) {
        let has_long_timeout = self
            .peers
            .get(peer)
            .is_some_and(|view| !view.has_short_timeout());
        if has_long_timeout && !self.is_small_fleet() {
            self.update_announced(now, peer);
            self.send_probe(now, peer, out);
        }
    }

    /// Sets the peers that this entry may take over from, and those that may take over from it.
    pub(crate) fn set_succession(
        &mut self,
        now: Time,
        succession: Succession,
        out: &mut Vec<Output>,
    ) {
        let new: Vec<_> = succession
            .predecessors
            .difference(&self.frequent.predecessors)
            .copied()
            .collect();
        self.frequent.predecessors = succession.predecessors;
        self.frequent.successors = succession.successors;
        for peer in new {
            self.request_heartbeat(now, peer, out);
        }
    }

    /// Whether new work may be submitted to a dispatcher: this process, or one with frequent heartbeats.
    fn may_submit_to(&self, dispatcher: InstanceId) -> bool {
        let frequent = self
            .peers
            .get(dispatcher)
            .is_none_or(PeerView::has_short_timeout);
        self.uses_dispatcher(dispatcher) && frequent
    }

    /// Whether callers' jobs are submitted to a dispatcher.
    fn uses_dispatcher(&self, dispatcher: InstanceId) -> bool {
        self.is_small_fleet() || self.frequent.dispatchers.contains(&dispatcher)
    }

    /// Updates the reported load of the domains it dispatches for. Called once per tick, because it reads the
    /// state of each worker.
    pub(crate) fn update_owned_domains(&mut self, now: Time) {
        let owned = self.domains.owned().iter();
        let report = |(domain, fence): (&Domain, &Fence)| OwnedDomain {
            domain: *domain,
            fence: *fence,
            load: self.pool.load(now, *domain),
        };
        self.owned_domains = owned.map(report).collect();
    }

    /// Updates the load of a dispatcher whose domains did not change.
    pub(crate) fn update_loads(
        &mut self,
        now: Time,
        dispatcher: InstanceId,
        owned_domains: Vec<OwnedDomain>,
        out: &mut Vec<Output>,
    ) {
        if self.config.kind == ProcessKind::Entry && !owned_domains.is_empty() {
            let input = OriginInput::Loads(dispatcher, owned_domains);
            self.origin_input(now, input, out);
        }
    }

    /// Returns the heartbeat of this process for a peer.
    #[must_use]
    pub fn heartbeat_for(&self, now: Time, peer: InstanceId) -> FleetHeartbeat {
        let view = self.peers.get(peer).filter(|view| view.alive(now));
        let echo = view
            .filter(|_| self.uses_dispatcher(peer))
            .map(|view| Echo {
                incarnation: view.process.incarnation,
                sent: view.heartbeat.sent,
                session: self.origin.session(peer),
            });
        let interval = if self.is_small_fleet() || self.frequent.announced.contains(&peer) {
            HEARTBEAT_INTERVAL
        } else {
            self.slow_interval()
        };
        FleetHeartbeat {
            kind: self.config.kind,
            dc: self.config.dc,
            stage: self.stage,
            owned_domains: self.owned_domains.clone(),
            fence: self.domains.highest_fence(),
            version: self.version,
            evacuations: self.evacuations.clone(),
            shards: self.domains.shards(),
            capacity: self.config.capacity(),
            sent: now,
            echo,
            interval_ms: interval.as_millis() as u32,
            wants_frequent: self.needs_frequent(peer),
            probe: false,
        }
    }

    /// Extends the grant of an origin that has echoed a heartbeat of this process. That heartbeat was sent at
    /// a time known by the local clock, and the origin does not count this process as lost before
    /// [`GRANT_DURATION`] after it, so its tasks may be started until then.
    pub(crate) fn handle_echo(
        &mut self,
        now: Time,
        from: Process,
        echo: Option<Echo>,
        out: &mut Vec<Output>,
    ) {
        let own = |echo: &Echo| echo.incarnation == self.config.me.incarnation;
        if let Some(echo) = echo.filter(own) {
            let grant = Grant {
                incarnation: from.incarnation,
                session: echo.session,
                until: (echo.sent + GRANT_DURATION).min(now + HEARTBEAT_TIMEOUT),
            };
            self.pool_input(now, PoolInput::Granted(from.instance, grant), out);
        }
    }

    /// Returns the time after a heartbeat at which its sender counts as lost if no other one arrives.
    pub(crate) fn timeout_after(heartbeat: &FleetHeartbeat) -> Duration {
        let interval = Duration::from_millis(heartbeat.interval_ms.into());
        HEARTBEAT_TIMEOUT
            .max(interval.mul_f64(HEARTBEAT_TIMEOUT.div_duration_f64(HEARTBEAT_INTERVAL)))
    }

    /// Whether the fleet is so small that all processes exchange frequent heartbeats.
    fn is_small_fleet(&self) -> bool {
        self.peers.count() <= SMALL_FLEET
    }

    /// Whether this process needs frequent heartbeats from a peer.
    fn needs_frequent(&self, peer: InstanceId) -> bool {
        self.is_small_fleet()
            || self.frequent.dispatchers.contains(&peer)
            || self.frequent.predecessors.contains(&peer)
    }

    /// Whether a peer gets frequent heartbeats: for the grants of the work submitted to it, or because it
    /// asks for them.
    fn sends_frequent(&self, now: Time, peer: InstanceId, view: &PeerView) -> bool {
        self.uses_dispatcher(peer) || (view.heartbeat.wants_frequent && view.alive(now))
    }

    /// Returns the interval of heartbeats to a peer that does not get frequent ones.
    fn slow_interval(&self) -> Duration {
        let peers = u32::try_from(self.peers.count()).unwrap_or(u32::MAX);
        SLOW_INTERVAL.max(Duration::from_secs(peers.into()) / MAX_SLOW_RATE)
    }

    /// Sends the heartbeats that are due: to frequent peers at once, to the others one after the other.
    pub(crate) fn send_due_heartbeats(&mut self, now: Time, out: &mut Vec<Output>) {
        let is_dispatcher = self.is_small_fleet() && !self.domains.owned().is_empty();
        let interval = if is_dispatcher {
            DISPATCHER_INTERVAL
        } else {
            HEARTBEAT_INTERVAL
        };
        if now.since(self.heartbeat_sent) >= interval {
            self.heartbeat_sent = now;
            self.send_frequent_heartbeats(now, out);
        }
        let announced = &self.frequent.announced;
        let others = self.peers.all().map(|(peer, _)| peer);
        let others = others.filter(|peer| !announced.contains(peer)).collect();
        let span = self.slow_interval();
        for peer in self.slow_peers.due(now, span, others) {
            self.send_heartbeat(now, peer, out);
        }
    }

    /// Sends a heartbeat to all frequent peers, and to those that were frequent until now: it announces the
    /// longer interval, or they would count the next heartbeats as missing.
    fn send_frequent_heartbeats(&mut self, now: Time, out: &mut Vec<Output>) {
        let frequent =
            |(peer, view): &(InstanceId, &PeerView)| self.sends_frequent(now, *peer, view);
        let peers = self.peers.all().filter(frequent).map(|(peer, _)| peer);
        let due: BTreeSet<_> = peers
            .chain(self.frequent.announced.iter().copied())
            .collect();
        for peer in due {
            self.send_heartbeat(now, peer, out);
        }
    }

    /// Sends a heartbeat to all peers at once, after a change.
    pub(crate) fn broadcast_heartbeat(&mut self, now: Time, out: &mut Vec<Output>) {
        self.heartbeat_sent = now;
        let peers: Vec<_> = self.peers.all().map(|(peer, _)| peer).collect();
        for peer in peers {
            self.send_heartbeat(now, peer, out);
        }
    }

    /// Sends a heartbeat to a peer.
    pub(crate) fn send_heartbeat(&mut self, now: Time, to: InstanceId, out: &mut Vec<Output>) {
        self.update_announced(now, to);
        let heartbeat = self.heartbeat_for(now, to);
        out.push(Output::Send(to, FleetMsg::Heartbeat(heartbeat)));
    }

    /// Records whether the next heartbeat to a peer announces frequent ones.
    fn update_announced(&mut self, now: Time, to: InstanceId) {
        let view = self.peers.get(to);
        if view.is_some_and(|view| self.sends_frequent(now, to, view)) {
            self.frequent.announced.insert(to);
        } else {
            self.frequent.announced.remove(&to);
        }
    }

    /// Probes all processes of a data centre if the peers with frequent heartbeats there have fallen silent.
    ///
    /// Processes that exchange rare heartbeats would notice a network partition only after seconds: meanwhile
    /// a partitioned entry would rely on dispatchers that it cannot reach, and wait for unreachable entries that
    /// rank before it. The partition of a data centre shows at the peers with frequent heartbeats, of which there are
    /// nearly always some. A probe and its answer cost one message each; in steady service there are none.
    pub(crate) fn probe_silent_data_centres(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.is_small_fleet() {
            return;
        }
        let mut silent: BTreeMap<DataCentreId, bool> = BTreeMap::new();
        for (_, view) in self.peers.all() {
            let silence = now.since(view.last_contact);
            if view.has_short_timeout() && !view.refused && silence < PROBE_INTERVAL {
                let all = silent.entry(view.heartbeat.dc).or_insert(true);
                *all &= silence >= SUSPECT_AFTER;
            }
        }
        for (dc, _) in silent.into_iter().filter(|(_, all)| *all) {
            let last = self.frequent.last_probes.get(&dc);
            if last.is_none_or(|last| now.since(*last) >= PROBE_INTERVAL) {
                self.frequent.last_probes.insert(dc, now);
                self.probe_data_centre(now, dc, out);
            }
        }
    }

    /// Probes the live peers of a data centre that do not send frequent heartbeats.
    fn probe_data_centre(&mut self, now: Time, dc: DataCentreId, out: &mut Vec<Output>) {
        let alive = self.peers.alive(now);
        let in_dc = alive.filter(|(_, view)| view.heartbeat.dc == dc && !view.has_short_timeout());
        let peers: Vec<_> = in_dc.map(|(peer, _)| peer).collect();
        for peer in peers {
            self.send_probe(now, peer, out);
        }
    }

    /// Sends a heartbeat that asks for an immediate answer.
    fn send_probe(&mut self, now: Time, peer: InstanceId, out: &mut Vec<Output>) {
        self.peers.record_probe(now, peer);
        let mut heartbeat = self.heartbeat_for(now, peer);
        heartbeat.probe = true;
        out.push(Output::Send(peer, FleetMsg::Heartbeat(heartbeat)));
    }

    /// Sends what this dispatcher has learned to the entries that would take over from it, one after the
    /// other.
    pub(crate) fn send_learned(&mut self, now: Time, out: &mut Vec<Output>) {
        let disabled = self.config.pool.disabled.contains(Mechanism::Teaching);
        if self.domains.owned().is_empty() || disabled {
            self.learned_round.restart(now);
            return;
        }
        let alive = self.peers.alive(now);
        let next =
            |peer: InstanceId| self.is_small_fleet() || self.frequent.successors.contains(&peer);
        let entries =
            alive.filter(|(peer, view)| view.heartbeat.kind == ProcessKind::Entry && next(*peer));
        let entries = entries.map(|(entry, _)| entry).collect();
        let due = self.learned_round.due(now, LEARNED_INTERVAL, entries);
        if due.is_empty() {
            return;
        }
        let learned = self.pool.learned();
        for entry in due {
            out.push(Output::Send(entry, FleetMsg::Learned(learned.clone())));
        }
    }

    /// Whether a peer has to know of workers that crashed under tasks: it dispatches, or would dispatch next.
    fn needs_crashes(&self, peer: InstanceId, view: &PeerView) -> bool {
        let dispatches = !view.heartbeat.owned_domains.is_empty();
        let next = self.is_small_fleet() || self.frequent.successors.contains(&peer);
        view.heartbeat.kind == ProcessKind::Entry && (dispatches || next)
    }

    /// Sends the workers that crashed under tasks since the last tick, and the suspect queues, to the dispatchers and to those
    /// that would dispatch next.
    pub(crate) fn send_crashes(&mut self, now: Time, out: &mut Vec<Output>) {
        let crashes: Vec<_> = std::mem::take(&mut self.crashes).into_iter().collect();
        let queues: Vec<_> = std::mem::take(&mut self.probe_queues).into_iter().collect();
        for (peer, view) in self.peers.alive(now) {
            if !self.needs_crashes(peer, view) {
                continue;
            }
            if !crashes.is_empty() {
                out.push(Output::Send(peer, FleetMsg::Crashes(crashes.clone())));
            }
            if !queues.is_empty() {
                out.push(Output::Send(peer, FleetMsg::ProbeQueues(queues.clone())));
            }
        }
    }
}

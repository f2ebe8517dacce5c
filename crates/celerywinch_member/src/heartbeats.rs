//! Heartbeats: what they tell of dispatchers, and who gets them how often.

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

/// Between two heartbeats to a process that needs them often.
const BEAT: Duration = Duration::from_millis(100);
/// Between two heartbeats of a process that dispatches, among few: the others choose by the room it tells of.
const HOLDER_BEAT: Duration = Duration::from_millis(50);
/// Up to so many processes all hear each other that often. With more, only those that work with each other do, or
/// the cost for each would rise with their number: of 152 processes with 0.12 of a core each, 32 of which
/// dispatched, each spent more than it had on 90,000 heartbeats a second, and nothing was served in time.
const FEW: usize = 16;
/// Between two heartbeats to any other process, at least, ...
const SLOW_BEAT: Duration = Duration::from_millis(500);
/// ... and so many heartbeats a second to all of those at most: 0.1% of a core, whatever their number. What has to be
/// known at once is told to all when it changes.
const SLOW_RATE: u32 = 20;
/// A process is waited for as long as three heartbeats and a half: one may be late and one lost with its connection.
const ALIVE: Duration = Duration::from_millis(350);
/// A dispatcher may start tasks of an origin for this long after it sent what the origin has heard of it. The
/// origin takes it for lost `ALIVE` after that at the earliest, or at once where connections are refused. Then
/// 1,450 ms pass before the tasks are started elsewhere, of which the longest lease and its errors
/// (931 ms) must be left. In ordinary service heartbeats of both sides lie between, 200 ms. A grant also ends
/// `ALIVE` after the last heartbeat: a caller whose connection breaks as its entry is cut off sends its job to another
/// one after 1,300 ms, and what was started here must be over by then (350 + 931 ms).
const GRANT: Duration = Duration::from_millis(500);
/// Between two messages to one entry with what a dispatcher has learned; it changes by a few percent meanwhile.
const TEACH: Duration = Duration::from_secs(1);
/// An origin hands its jobs to so many dispatchers, if there are more. Each hears from it ten times a second, so that
/// with all of them the heartbeats rise with the square of the size. With six there is nearly always one
/// with room: two are drawn for a job, and up to four are tried.
const DISPATCHERS: usize = 6;
/// So many of these are in the origin's data centre, if there are as many.
const NEAR_DISPATCHERS: usize = 3;
/// All that is heard often of a data centre is silent for so long: two heartbeats are missing.
const SUSPECT: Duration = Duration::from_millis(200);
/// Of a process that is silent for longer, silence tells nothing new; and between two rounds of probes.
const SUSPECT_FOR: Duration = Duration::from_secs(1);

/// Whom this process hears often, and who hears it.
#[derive(Clone, Debug, Default)]
pub(crate) struct FrequentPeers {
    /// Dispatchers that its callers' jobs go to. Only these have grants to start them.
    dispatchers: BTreeSet<InstanceId>,
    /// Those that it would stand in for.
    ahead: BTreeSet<InstanceId>,
    /// Those that would stand in for it.
    successors: BTreeSet<InstanceId>,
    /// Those that were told to expect frequent heartbeats.
    promised: BTreeSet<InstanceId>,
    /// When each data centre was probed.
    probes: BTreeMap<DataCentreId, Time>,
}

impl Member {
    /// Who dispatches for what, by the highest fencing token that is heard.
    pub(crate) fn update_holders(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.config.part != ProcessKind::Entry {
            return;
        }
        self.stale = false;
        let mut best: BTreeMap<Domain, (InstanceId, OwnedDomain)> = BTreeMap::new();
        let mut add = |instance: InstanceId, holding: OwnedDomain| {
            let known = best.get(&holding.domain);
            if known.is_none_or(|(_, other)| other.fence < holding.fence) {
                best.insert(holding.domain, (instance, holding));
            }
        };
        for holding in &self.holdings {
            add(self.config.me.instance, *holding);
        }
        for (instance, view) in self.peers.alive(now) {
            for holding in &view.heartbeat.owned_domains {
                add(instance, *holding);
            }
        }
        let all: BTreeSet<_> = best.values().map(|(instance, _)| *instance).collect();
        self.choose_dispatchers(now, &all, out);
        // A new dispatcher is told first that it is heard, or it could not start what is handed to it.
        for peer in std::mem::take(&mut self.changed) {
            if self.hands_to(peer) {
                self.send_beat(now, peer, out);
            }
        }
        let holders = best
            .into_iter()
            .map(|(domain, (instance, holding))| Holder {
                domain,
                instance,
                load: holding.load,
                preferred: self.counts_on(instance),
                local: self.is_near(instance),
            });
        let input = OriginInput::Holders(holders.collect());
        self.origin_input(now, input, out);
    }

    /// The dispatchers that callers' jobs go to: a few by a hash, so that each has its share of the origins, its own,
    /// and those that have work of these callers.
    fn choose_dispatchers(&mut self, now: Time, all: &BTreeSet<InstanceId>, out: &mut Vec<Output>) {
        let me = self.config.me.instance;
        let mut ranked: Vec<_> = all.iter().copied().collect();
        ranked.sort_by_key(|holder| score(u64::from(me.0), u64::from(holder.0)));
        let near = ranked.iter().filter(|holder| self.is_near(**holder));
        let mut chosen: BTreeSet<_> = near.take(NEAR_DISPATCHERS).copied().collect();
        let others: Vec<_> = ranked.iter().filter(|h| !chosen.contains(h)).collect();
        chosen.extend(others.into_iter().take(DISPATCHERS - chosen.len()));
        chosen.extend(all.get(&me));
        chosen.extend(self.origin.dispatchers());
        let new: Vec<_> = chosen
            .difference(&self.close.dispatchers)
            .copied()
            .collect();
        self.close.dispatchers = chosen;
        for dispatcher in new {
            self.greet(now, dispatcher, out);
        }
    }

    /// Whether callers' jobs go to a process first, as it is in this data centre.
    fn is_near(&self, peer: InstanceId) -> bool {
        let here = peer == self.config.me.instance
            || self
                .peers
                .get(peer)
                .is_some_and(|view| view.heartbeat.dc == self.config.dc);
        here && !self.config.pool.disabled.contains(Mechanism::Locality)
    }

    /// Makes sure that a dispatcher hears often of this origin before it gets work: it starts it only then.
    pub(crate) fn hand_to(&mut self, now: Time, dispatcher: InstanceId, out: &mut Vec<Output>) {
        if self.close.dispatchers.insert(dispatcher) {
            self.greet(now, dispatcher, out);
        }
    }

    /// Asks a process for frequent heartbeats, and for an answer at once: it may be silent since it was heard last,
    /// seconds ago. Callers' jobs that went to such a dispatcher would wait there for as long, and so would the shard of
    /// one that such an entry comes before.
    fn greet(&mut self, now: Time, peer: InstanceId, out: &mut Vec<Output>) {
        let known = self
            .peers
            .get(peer)
            .is_some_and(|view| !view.has_short_timeout());
        if known && !self.few() {
            self.promise(now, peer);
            self.send_probe(now, peer, out);
        }
    }

    /// Takes over whom this entry has to hear, and who has to hear it.
    pub(crate) fn set_circle(&mut self, now: Time, circle: Succession, out: &mut Vec<Output>) {
        let new: Vec<_> = circle
            .predecessors
            .difference(&self.close.ahead)
            .copied()
            .collect();
        self.close.ahead = circle.predecessors;
        self.close.successors = circle.successors;
        for peer in new {
            self.greet(now, peer, out);
        }
    }

    /// Whether new work may go to a dispatcher: this process, or one that is heard often.
    fn counts_on(&self, dispatcher: InstanceId) -> bool {
        let heard = self
            .peers
            .get(dispatcher)
            .is_none_or(PeerView::has_short_timeout);
        self.hands_to(dispatcher) && heard
    }

    /// Whether callers' jobs go to a dispatcher.
    fn hands_to(&self, dispatcher: InstanceId) -> bool {
        self.few() || self.close.dispatchers.contains(&dispatcher)
    }

    /// Measures the room of what it dispatches for; once a tick, for it takes a look at each worker.
    pub(crate) fn measure(&mut self, now: Time) {
        let held = self.domains.owned().iter();
        let holding = |(domain, fence): (&Domain, &Fence)| OwnedDomain {
            domain: *domain,
            fence: *fence,
            load: self.pool.load(now, *domain),
        };
        self.holdings = held.map(holding).collect();
    }

    /// The room of a dispatcher that goes on with what it has.
    pub(crate) fn update_loads(
        &mut self,
        now: Time,
        dispatcher: InstanceId,
        holdings: Vec<OwnedDomain>,
        out: &mut Vec<Output>,
    ) {
        if self.config.part == ProcessKind::Entry && !holdings.is_empty() {
            let input = OriginInput::Loads(dispatcher, holdings);
            self.origin_input(now, input, out);
        }
    }

    /// What this process tells another one of itself.
    #[must_use]
    pub fn heartbeat_for(&self, now: Time, peer: InstanceId) -> FleetHeartbeat {
        let view = self.peers.get(peer).filter(|view| view.alive(now));
        let echo = view.filter(|_| self.hands_to(peer)).map(|view| Echo {
            incarnation: view.process.incarnation,
            sent: view.heartbeat.sent,
            session: self.origin.session(peer),
        });
        let every = if self.few() || self.close.promised.contains(&peer) {
            BEAT
        } else {
            self.slow_beat()
        };
        FleetHeartbeat {
            kind: self.config.part,
            dc: self.config.dc,
            stage: self.stage,
            owned_domains: self.holdings.clone(),
            fence: self.domains.highest_fence(),
            version: self.version,
            evacuations: self.evacuations.clone(),
            shards: self.domains.shards(),
            sent: now,
            echo,
            interval_ms: every.as_millis() as u32,
            wants_frequent: self.wants(peer),
            probe: false,
        }
    }

    /// The sender of a heartbeat heard this process at a moment that is known here by its own clock: it
    /// does not take it for lost before [`GRANT`] is over, and until then its tasks may be started.
    pub(crate) fn take_echo(
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
                until: (echo.sent + GRANT).min(now + ALIVE),
            };
            self.pool_input(now, PoolInput::Granted(from.instance, grant), out);
        }
    }

    /// How long the next heartbeat of a process is waited for.
    pub(crate) fn window(beat: &FleetHeartbeat) -> Duration {
        let every = Duration::from_millis(beat.interval_ms.into());
        ALIVE.max(every.mul_f64(ALIVE.div_duration_f64(BEAT)))
    }

    /// Whether all processes hear each other often.
    fn few(&self) -> bool {
        self.peers.count() <= FEW
    }

    /// Whether a process has to be heard often.
    fn wants(&self, peer: InstanceId) -> bool {
        self.few() || self.close.dispatchers.contains(&peer) || self.close.ahead.contains(&peer)
    }

    /// Whether a process gets frequent heartbeats: for the grants of what is handed to it, or since it asks.
    fn is_close(&self, now: Time, peer: InstanceId, view: &PeerView) -> bool {
        self.hands_to(peer) || (view.heartbeat.wants_frequent && view.alive(now))
    }

    /// Between two heartbeats to a process that is not close.
    fn slow_beat(&self) -> Duration {
        let peers = u32::try_from(self.peers.count()).unwrap_or(u32::MAX);
        SLOW_BEAT.max(Duration::from_secs(peers.into()) / SLOW_RATE)
    }

    pub(crate) fn beat_if_due(&mut self, now: Time, out: &mut Vec<Output>) {
        let often = self.few() && !self.domains.owned().is_empty();
        let interval = if often { HOLDER_BEAT } else { BEAT };
        if now.since(self.beaten) >= interval {
            self.beaten = now;
            self.beat_close(now, out);
        }
        let promised = &self.close.promised;
        let others = self.peers.all().map(|(peer, _)| peer);
        let others = others.filter(|peer| !promised.contains(peer)).collect();
        let span = self.slow_beat();
        for peer in self.slow_round.due(now, span, others) {
            self.send_beat(now, peer, out);
        }
    }

    /// Those that were close until now are told that heartbeats become rare, or they would miss them.
    fn beat_close(&mut self, now: Time, out: &mut Vec<Output>) {
        let close = |(peer, view): &(InstanceId, &PeerView)| self.is_close(now, *peer, view);
        let peers = self.peers.all().filter(close).map(|(peer, _)| peer);
        let due: BTreeSet<_> = peers.chain(self.close.promised.iter().copied()).collect();
        for peer in due {
            self.send_beat(now, peer, out);
        }
    }

    /// Tells all at once what has changed.
    pub(crate) fn send_beats(&mut self, now: Time, out: &mut Vec<Output>) {
        self.beaten = now;
        let peers: Vec<_> = self.peers.all().map(|(peer, _)| peer).collect();
        for peer in peers {
            self.send_beat(now, peer, out);
        }
    }

    pub(crate) fn send_beat(&mut self, now: Time, to: InstanceId, out: &mut Vec<Output>) {
        self.promise(now, to);
        let beat = self.heartbeat_for(now, to);
        out.push(Output::Send(to, FleetMsg::Heartbeat(beat)));
    }

    fn promise(&mut self, now: Time, to: InstanceId) {
        let view = self.peers.get(to);
        if view.is_some_and(|view| self.is_close(now, to, view)) {
            self.close.promised.insert(to);
        } else {
            self.close.promised.remove(&to);
        }
    }

    /// Asks for a sign of life of all in a data centre, if what is close there has fallen silent.
    ///
    /// Processes that hear each other rarely would notice a cut only after seconds: a cut-off entry would go on to
    /// count on dispatchers, and wait for better placed entries, that are out of reach. A cut of a data
    /// centre shows at those that are close, of which there are nearly always some. A probe and its
    /// answer cost one message each; in steady service there are none.
    pub(crate) fn probe_silent(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.few() {
            return;
        }
        let mut silent: BTreeMap<DataCentreId, bool> = BTreeMap::new();
        for (_, view) in self.peers.all() {
            let quiet = now.since(view.last_contact);
            if view.has_short_timeout() && !view.refused && quiet < SUSPECT_FOR {
                let all = silent.entry(view.heartbeat.dc).or_insert(true);
                *all &= quiet >= SUSPECT;
            }
        }
        for (dc, _) in silent.into_iter().filter(|(_, all)| *all) {
            let last = self.close.probes.get(&dc);
            if last.is_none_or(|last| now.since(*last) >= SUSPECT_FOR) {
                self.close.probes.insert(dc, now);
                self.probe(now, dc, out);
            }
        }
    }

    fn probe(&mut self, now: Time, dc: DataCentreId, out: &mut Vec<Output>) {
        let alive = self.peers.alive(now);
        let there = alive.filter(|(_, view)| view.heartbeat.dc == dc && !view.has_short_timeout());
        let peers: Vec<_> = there.map(|(peer, _)| peer).collect();
        for peer in peers {
            self.send_probe(now, peer, out);
        }
    }

    fn send_probe(&mut self, now: Time, peer: InstanceId, out: &mut Vec<Output>) {
        self.peers.record_probe(now, peer);
        let mut beat = self.heartbeat_for(now, peer);
        beat.probe = true;
        out.push(Output::Send(peer, FleetMsg::Heartbeat(beat)));
    }

    /// Tells the entries that would dispatch next what a successor needs to know, one after the other.
    pub(crate) fn spread_learned(&mut self, now: Time, out: &mut Vec<Output>) {
        let silent = self.config.pool.disabled.contains(Mechanism::Teaching);
        if self.domains.owned().is_empty() || silent {
            self.teach_round.restart(now);
            return;
        }
        let alive = self.peers.alive(now);
        let next = |peer: InstanceId| self.few() || self.close.successors.contains(&peer);
        let entries =
            alive.filter(|(peer, view)| view.heartbeat.kind == ProcessKind::Entry && next(*peer));
        let entries = entries.map(|(entry, _)| entry).collect();
        let due = self.teach_round.due(now, TEACH, entries);
        if due.is_empty() {
            return;
        }
        let learned = self.pool.learned();
        for entry in due {
            out.push(Output::Send(entry, FleetMsg::Learned(learned.clone())));
        }
    }

    /// Tells all that dispatch, and those that would next, of workers that ended under tasks since the last tick.
    fn spread_crashes_to(&self, peer: InstanceId, view: &PeerView) -> bool {
        let dispatches = !view.heartbeat.owned_domains.is_empty();
        let next = self.few() || self.close.successors.contains(&peer);
        view.heartbeat.kind == ProcessKind::Entry && (dispatches || next)
    }

    pub(crate) fn spread_crashes(&mut self, now: Time, out: &mut Vec<Output>) {
        let crashes: Vec<_> = std::mem::take(&mut self.crashes).into_iter().collect();
        let careful: Vec<_> = std::mem::take(&mut self.careful).into_iter().collect();
        for (peer, view) in self.peers.alive(now) {
            if !self.spread_crashes_to(peer, view) {
                continue;
            }
            if !crashes.is_empty() {
                out.push(Output::Send(peer, FleetMsg::Crashes(crashes.clone())));
            }
            if !careful.is_empty() {
                out.push(Output::Send(peer, FleetMsg::ProbeQueues(careful.clone())));
            }
        }
    }
}

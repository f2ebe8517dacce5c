//! The decision for which data centres this entry dispatches.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celerywinch_types::{DataCentreId, Domain, Fence, InstanceId, Stage, Time, WallMs};

use crate::survey::{Standing, Succession, Survey};
use crate::{PeerView, Peers};

/// An entry listens this long after its start, and after a pause of its process, before it takes a
/// data centre over: a holder that is alive is heard within that time.
const LISTEN: Duration = Duration::from_millis(450);
/// The same where all that is heard has just started too: then nobody holds anything. Heartbeats of those
/// that started at the same moment have come by then, and it is known who is ready.
/// With several dispatchers it applies only once all entries that are heard are ready, or a few of them would take most shards.
const LISTEN_ANEW: Duration = Duration::from_millis(200);
/// Among many processes some are heard later than `LISTEN`, as when the links to all of them open at once. While they are still
/// being found, holders may be among those to come; this is waited for at most so long.
const LISTEN_MOST: Duration = Duration::from_millis(4_500);
/// After a worker has shown that another process took over, this one waits for that process's
/// heartbeat, which may come over a link that is still being opened.
const OUTBID_WAIT: Duration = Duration::from_millis(250);
/// A data centre none of whose processes is heard is tried, by whoever hears more than half of the
/// others: its workers may be reached all the same. A trial lasts so long, and is repeated then.
const TRIAL: Duration = Duration::from_millis(800);
const NEXT_TRIAL: Duration = Duration::from_secs(3);
/// The workers of a data centre none of whose processes is heard are asked for so long before it counts as out
/// of reach. Idle ones may not have been called for minutes; several are asked within the time, one
/// after the other.
const ASKED: Duration = Duration::from_millis(650);
/// Added to the epoch when workers know a higher one than anybody tells of: past any that can have been drawn from a
/// clock that was hours ahead, ...
const EPOCH_LEAP: u64 = 10_000;
/// ... and so many times as much at each further time, as a clock may be off by years.
const LEAP_GROWTH: u64 = 4;
/// Leaps end here: with a higher epoch a token would have more than the 53 bits that all readers of JSON hold.
const LAST_LEAP: u64 = (1 << 32) - (1 << 24);

/// This entry.
#[derive(Clone, Copy, Debug)]
pub struct LocalEntry {
    /// Its number.
    pub instance: InstanceId,
    /// Its data centre.
    pub dc: DataCentreId,
    /// Whether it serves, or is starting or ending.
    pub stage: Stage,
}

/// What the host is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Dispatch for a domain, under this fencing token.
    Acquire(Domain, Fence),
    /// Dispatch for it no more.
    Resign(Domain),
}

/// The state machine.
#[derive(Debug)]
pub struct Domains {
    me: LocalEntry,
    /// All data centres.
    dcs: BTreeSet<DataCentreId>,
    /// In how many shards the workers are divided.
    shards: u8,
    undivided: bool,
    unsettled: bool,
    held: BTreeMap<Domain, Fence>,
    /// The highest fencing token that was heard of.
    top: Fence,
    /// How far the epoch leaps the next time that workers know a higher one.
    leap: u64,
    listens_from: Time,
    /// When a process was heard last that was not heard before, and had run for some time.
    found: Time,
    /// Since when a process of each data centre is heard without a break.
    heard: BTreeMap<DataCentreId, Time>,
    /// Since when no process of a data centre is heard.
    silent: BTreeMap<DataCentreId, Time>,
    /// When data centres were tried last.
    trials: BTreeMap<DataCentreId, Time>,
}

impl Domains {
    /// Starts; the wall clock makes tokens rise over restarts of all entries.
    #[must_use]
    pub fn new(now: Time, wall: WallMs, me: LocalEntry, dcs: BTreeSet<DataCentreId>) -> Self {
        let epoch = wall.0 / 1000;
        Self {
            me,
            dcs,
            shards: 1,
            undivided: false,
            unsettled: false,
            held: BTreeMap::new(),
            top: Fence::new(epoch, 0),
            leap: EPOCH_LEAP,
            listens_from: now,
            found: Time::default(),
            heard: BTreeMap::new(),
            silent: BTreeMap::new(),
            trials: BTreeMap::new(),
        }
    }

    /// The domains that it dispatches for.
    #[must_use]
    pub fn owned(&self) -> &BTreeMap<Domain, Fence> {
        &self.held
    }

    /// In how many shards the workers are divided.
    #[must_use]
    pub fn shards(&self) -> u8 {
        self.shards
    }

    /// Divides the workers anew; what is held is given up, and taken again by the new division.
    pub fn set_shards(&mut self, shards: u8, out: &mut Vec<Change>) {
        self.shards = shards;
        self.resign_all(out);
    }

    /// Says whether workers are known, and one dispatcher suffices for all of them. Where there are several,
    /// all entries have to be ready before they divide the shards, or a few hold most of them.
    pub fn set_single_dispatcher(&mut self, undivided: bool) {
        self.undivided = undivided;
    }

    /// Says whether the workers are about to be divided: what is not held yet is not taken before.
    pub fn set_resharding(&mut self, unsettled: bool) {
        self.unsettled = unsettled;
    }

    /// The highest fencing token that it knows of.
    #[must_use]
    pub fn highest_fence(&self) -> Fence {
        self.top
    }

    /// Sets how far this process is in its life.
    pub fn set_stage(&mut self, stage: Stage) {
        self.me.stage = stage;
    }

    /// A process is heard, for the first time or after a silence, that has run for some time: it may hold domains.
    pub fn peer_found(&mut self, now: Time) {
        self.found = now;
    }

    /// A heartbeat told of a fencing token.
    pub fn observe(&mut self, fence: Fence) {
        self.top = self.top.max(fence);
    }

    /// The process stood still: what it held may have been taken over meanwhile.
    pub fn paused(&mut self, now: Time, out: &mut Vec<Change>) {
        self.listens_from = now;
        self.resign_all(out);
    }

    /// A worker has seen a higher token than the one this process holds its domain under.
    pub fn fenced(&mut self, now: Time, domain: Domain, out: &mut Vec<Change>) {
        let Some(fence) = self.held.remove(&domain) else {
            return;
        };
        out.push(Change::Resign(domain));
        // Whoever has the higher token is heard within the time; if nobody is, it was an entry that
        // is gone, and if none told of it, that had a clock ahead of this one.
        self.listens_from = self.listens_from.max(now + OUTBID_WAIT - LISTEN);
        if self.top <= fence {
            let epoch = (fence.epoch() + self.leap).min(LAST_LEAP);
            self.top = self.top.max(Fence::new(epoch, 0));
            self.leap = self.leap.saturating_mul(LEAP_GROWTH);
        }
    }

    /// The token of a domain is used up: it is held on under a new one.
    pub fn renew(&mut self, domain: Domain, out: &mut Vec<Change>) {
        if self.held.contains_key(&domain) {
            self.resign(domain, out);
            self.acquire(domain, out);
        }
    }

    fn resign_all(&mut self, out: &mut Vec<Change>) {
        for domain in std::mem::take(&mut self.held).into_keys() {
            out.push(Change::Resign(domain));
        }
    }

    /// Compares what is held with what the others say; `reached` are the domains whose workers
    /// answer this process.
    pub fn tick(
        &mut self,
        now: Time,
        peers: &Peers,
        reached: &BTreeSet<Domain>,
        out: &mut Vec<Change>,
    ) {
        if self.me.stage == Stage::Leaving {
            self.resign_all(out);
            return;
        }
        if self.me.stage != Stage::Ready {
            return;
        }
        for dc in self.dcs.clone() {
            if self.hears(now, dc, peers) {
                self.heard.entry(dc).or_insert(now);
                self.silent.remove(&dc);
            } else {
                self.heard.remove(&dc);
                self.silent.entry(dc).or_insert(now);
            }
        }
        let survey = Survey::new(now, peers);
        for dc in self.dcs.clone() {
            for shard in 0..self.shards {
                let domain = Domain { dc, shard };
                self.tend(now, domain, peers, &survey, reached.contains(&domain), out);
            }
        }
    }

    /// Whom this entry has to hear often, to notice at once when it has to dispatch in their place, and who
    /// would do so in its place; nobody before it serves.
    #[must_use]
    pub fn succession(&self, now: Time, peers: &Peers) -> Succession {
        if self.me.stage != Stage::Ready {
            return Succession::default();
        }
        Survey::new(now, peers).circle(self.shards, &self.standing())
    }

    fn standing(&self) -> Standing {
        Standing::new(self.me.instance, self.held.keys().copied())
    }

    fn tend(
        &mut self,
        now: Time,
        domain: Domain,
        peers: &Peers,
        survey: &Survey,
        reached: bool,
        out: &mut Vec<Change>,
    ) {
        let other = survey.fence(domain);
        if let Some(fence) = other {
            self.observe(fence);
        }
        let shard = domain.shard;
        match (self.held.get(&domain).copied(), other) {
            // Several dispatch, as after a cut: one queue over all workers of a shard serves callers
            // best, and all agree who goes on with it. That one takes the domain over once it has heard all others,
            // and what runs here would end if nobody did so before its lease is over.
            (Some(_), _) if survey.has_senior(shard, &self.standing()) => {
                if self.hears_all(now, peers) {
                    self.resign(domain, out);
                }
            }
            // The other resigns, but workers may have seen its token.
            (Some(mine), Some(other)) if other > mine => {
                self.resign(domain, out);
                self.acquire(domain, out);
            }
            (Some(_), _) if self.lost(now, domain.dc, peers, reached) => {
                // Its workers were asked just now.
                self.trials.insert(domain.dc, now);
                self.resign(domain, out);
            }
            (Some(_), _) | (None, Some(_)) => {}
            (None, None) => {
                let listen = self.listen(now, peers);
                let settled = !self.unsettled && self.has_listened(now, self.listens_from, listen);
                let first = settled && survey.is_first(shard, &self.standing());
                let may = first && connected(now, peers);
                if may && self.may_take(now, domain.dc, listen) {
                    self.acquire(domain, out);
                }
            }
        }
    }

    fn resign(&mut self, domain: Domain, out: &mut Vec<Change>) {
        self.held.remove(&domain);
        out.push(Change::Resign(domain));
    }

    fn acquire(&mut self, domain: Domain, out: &mut Vec<Change>) {
        // The low bits of the number differ between instances, so that no two use one token.
        let own = self.me.instance.0 as u16;
        let fence = Fence::new(self.top.epoch() + 1, own);
        self.top = fence;
        self.held.insert(domain, fence);
        out.push(Change::Acquire(domain, fence));
    }

    /// How long a holder that is alive may be silent to this entry.
    fn listen(&self, now: Time, peers: &Peers) -> Duration {
        if peers.all_just_started(now) && (self.undivided || peers.all_entries_ready(now)) {
            LISTEN_ANEW
        } else {
            LISTEN
        }
    }

    /// Whether this entry has listened since some moment until no more processes were found.
    fn has_listened(&self, now: Time, since: Time, listen: Duration) -> bool {
        let span = now.since(since);
        let finds = listen == LISTEN && now.since(self.found) < LISTEN && span < LISTEN_MOST;
        span >= listen && !finds
    }

    /// Whether all data centres that are heard were listened to.
    fn hears_all(&self, now: Time, peers: &Peers) -> bool {
        let listen = self.listen(now, peers);
        let others = self.heard.iter().filter(|(dc, _)| **dc != self.me.dc);
        let mut others = others.map(|(_, since)| *since);
        listen == LISTEN_ANEW || others.all(|since| self.has_listened(now, since, listen))
    }

    /// Whether the workers of a data centre can be reached, as far as its processes show. Across a
    /// cut they cannot, and its own entries dispatch there.
    fn hears(&self, now: Time, dc: DataCentreId, peers: &Peers) -> bool {
        let there = |view: &PeerView| view.heartbeat.dc == dc && (view.alive(now) || view.refused);
        dc == self.me.dc || peers.all().any(|(_, view)| there(view))
    }

    /// The domains held here of whose data centres no process is heard: whether they are kept is
    /// up to their workers, that is to `reached`.
    #[must_use]
    pub fn silent_domains(&self, now: Time, peers: &Peers) -> Vec<Domain> {
        let held = self.held.keys().copied();
        held.filter(|domain| !self.hears(now, domain.dc, peers))
            .collect()
    }

    /// Whether a data centre may be taken: it is heard, or it is time for a trial.
    fn may_take(&mut self, now: Time, dc: DataCentreId, listen: Duration) -> bool {
        if let Some(since) = self.heard.get(&dc) {
            // As a cut heals, its processes are heard one after the other; the one that dispatches
            // there may be the last.
            return dc == self.me.dc || self.has_listened(now, *since, listen);
        }
        // A cut that is healing shows its data centres one after the other.
        let settled = self.heard.iter();
        let settled = settled
            .filter(|(dc, since)| **dc == self.me.dc || self.has_listened(now, **since, listen));
        if settled.count() * 2 <= self.dcs.len() {
            return false;
        }
        let last = self.trials.get(&dc);
        if last.is_some_and(|last| now.since(*last) < NEXT_TRIAL) {
            return false;
        }
        self.trials.insert(dc, now);
        true
    }

    /// Whether neither a process nor a worker of a data centre is heard any more.
    fn lost(&self, now: Time, dc: DataCentreId, peers: &Peers, reached: bool) -> bool {
        let trial = self.trials.get(&dc);
        let tried = trial.is_none_or(|start| now.since(*start) >= TRIAL);
        let silent = self.silent.get(&dc);
        let asked = silent.is_some_and(|since| now.since(*since) >= ASKED);
        !reached && tried && asked && !self.hears(now, dc, peers)
    }
}

/// Whether any other process is heard, or its machine says that it is down. An entry that is cut off
/// from all others but reaches the workers would take them from the dispatcher of the others, which
/// takes them back, in turn; it sends its callers elsewhere instead.
fn connected(now: Time, peers: &Peers) -> bool {
    let heard = |view: &PeerView| view.alive(now) || view.refused;
    peers.count() == 0 || peers.all().any(|(_, view)| heard(view))
}

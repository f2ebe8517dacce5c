//! The state machine that decides which domains this entry owns.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celerywinch_types::{Capacity, DataCentreId, Domain, Fence, InstanceId, Stage, Time, WallMs};

use crate::cluster_view::{Candidate, ClusterView, Succession};
use crate::{PeerView, Peers};

/// How long an entry listens after its start, and after a pause of its process, before it takes a
/// data centre over. The heartbeat of an owner that is alive arrives within that time.
const TAKEOVER_DELAY: Duration = Duration::from_millis(450);
/// The delay if all live processes have just started, so that no domain has an owner. Heartbeats of processes that
/// started at the same moment have arrived by then, and show which of them are ready. With several dispatchers it
/// applies only once all live entries are ready; else a few of them would take most shards.
const COLD_START_DELAY: Duration = Duration::from_millis(200);
/// The longest wait while processes are still being discovered. Among many processes, the first heartbeat of some
/// arrives after `TAKEOVER_DELAY`, for example when the links to all of them open at once, and an owner may be one of those.
const MAX_DISCOVERY_DELAY: Duration = Duration::from_millis(4_500);
/// How long an entry that was fenced waits for the heartbeat of the new owner, which may arrive over a link
/// that is still being opened.
const FENCED_DELAY: Duration = Duration::from_millis(250);
/// How long an entry owns a data centre on trial: none of its processes is in contact, but its workers may still be
/// reachable. Only an entry that is in contact with more than half of all data centres tries this.
const TRIAL_DURATION: Duration = Duration::from_millis(800);
/// The least time between two trials of a data centre.
const TRIAL_INTERVAL: Duration = Duration::from_secs(3);
/// How long the workers of a data centre are probed after the last of its processes fell silent, before the data
/// centre counts as unreachable. Idle workers may not have been called for minutes; several are probed one after
/// the other within this time.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(650);
/// Added to the epoch when workers have seen a higher one than any heartbeat reports. It exceeds every epoch
/// taken from a clock that was hours ahead.
const EPOCH_LEAP: u64 = 10_000;
/// The factor by which the leap grows each further time, as a clock may be off by years.
const LEAP_GROWTH: u64 = 4;
/// The highest epoch that a leap reaches. A token with a higher one exceeds the 53 bits that every JSON reader represents
/// exactly.
const MAX_LEAP_EPOCH: u64 = (1 << 32) - (1 << 24);

/// This entry.
#[derive(Clone, Copy, Debug)]
pub struct LocalEntry {
    /// Its instance number.
    pub instance: InstanceId,
    /// Its data centre.
    pub dc: DataCentreId,
    /// Whether it is starting, serving or stopping.
    pub stage: Stage,
    /// What it can carry; none if entries rank without regard to that.
    pub capacity: Option<Capacity>,
}

/// A change of ownership that the host carries out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Start to dispatch for a domain, under this fencing token.
    Acquire(Domain, Fence),
    /// Stop dispatching for a domain.
    Resign(Domain),
}

/// Decides which domains this entry owns.
#[derive(Debug)]
pub struct Domains {
    me: LocalEntry,
    /// All data centres.
    dcs: BTreeSet<DataCentreId>,
    /// Into how many shards the workers are divided.
    shards: u8,
    /// Whether one dispatcher suffices for all known workers.
    single_dispatcher: bool,
    /// Whether the number of shards is about to change.
    resharding: bool,
    owned: BTreeMap<Domain, Fence>,
    /// The highest fencing token that any heartbeat or this entry has used.
    highest_fence: Fence,
    /// How far the epoch rises the next time that workers have seen a higher one.
    epoch_leap: u64,
    /// The start of the period in which this entry listens for owners.
    listen_start: Time,
    /// When the last process was discovered that had run for some time.
    last_discovery: Time,
    /// Since when at least one process of the data centre has been in contact without a break.
    contact_since: BTreeMap<DataCentreId, Time>,
    /// Since when no process of the data centre has been in contact.
    silent_since: BTreeMap<DataCentreId, Time>,
    /// The start of the last trial of each data centre.
    last_trials: BTreeMap<DataCentreId, Time>,
}

impl Domains {
    /// Returns a state machine that owns nothing. The first epoch comes from the wall clock, so that tokens rise across a
    /// restart of all entries.
    #[must_use]
    pub fn new(now: Time, wall: WallMs, me: LocalEntry, dcs: BTreeSet<DataCentreId>) -> Self {
        let epoch = wall.0 / 1000;
        Self {
            me,
            dcs,
            shards: 1,
            single_dispatcher: false,
            resharding: false,
            owned: BTreeMap::new(),
            highest_fence: Fence::new(epoch, 0),
            epoch_leap: EPOCH_LEAP,
            listen_start: now,
            last_discovery: Time::default(),
            contact_since: BTreeMap::new(),
            silent_since: BTreeMap::new(),
            last_trials: BTreeMap::new(),
        }
    }

    /// Returns the domains that this entry dispatches for, with their fencing tokens.
    #[must_use]
    pub fn owned(&self) -> &BTreeMap<Domain, Fence> {
        &self.owned
    }

    /// Returns the number of shards into which the workers are divided.
    #[must_use]
    pub fn shards(&self) -> u8 {
        self.shards
    }

    /// Changes the number of shards. All domains are resigned; they are acquired again under the new division.
    pub fn set_shards(&mut self, shards: u8, out: &mut Vec<Change>) {
        self.shards = shards;
        self.resign_all(out);
    }

    /// Sets whether workers are known and one dispatcher suffices for all of them. With several dispatchers
    /// all entries have to be ready before the shards are taken; else a few of them own most shards.
    pub fn set_single_dispatcher(&mut self, single_dispatcher: bool) {
        self.single_dispatcher = single_dispatcher;
    }

    /// Sets whether the number of shards is about to change. No domain is acquired until it has.
    pub fn set_resharding(&mut self, resharding: bool) {
        self.resharding = resharding;
    }

    /// Returns the highest fencing token that this entry knows of.
    #[must_use]
    pub fn highest_fence(&self) -> Fence {
        self.highest_fence
    }

    /// Sets the stage of this process.
    pub fn set_stage(&mut self, stage: Stage) {
        self.me.stage = stage;
    }

    /// Records that a process which has run for some time is in contact for the first time or again. It may own domains.
    pub fn peer_found(&mut self, now: Time) {
        self.last_discovery = now;
    }

    /// Records a fencing token that a heartbeat reported.
    pub fn observe(&mut self, fence: Fence) {
        self.highest_fence = self.highest_fence.max(fence);
    }

    /// Resigns all domains after the process was paused, as others may have taken them over meanwhile.
    pub fn paused(&mut self, now: Time, out: &mut Vec<Change>) {
        self.listen_start = now;
        self.resign_all(out);
    }

    /// Resigns a domain after a worker reported a higher token than the one under which this entry owns it.
    pub fn fenced(&mut self, now: Time, domain: Domain, out: &mut Vec<Change>) {
        let Some(fence) = self.owned.remove(&domain) else {
            return;
        };
        out.push(Change::Resign(domain));
        // A heartbeat of the owner of the higher token arrives within this time. If none does, that owner is gone; if no
        // heartbeat has reported its token either, its clock was ahead of this one.
        self.listen_start = self.listen_start.max(now + FENCED_DELAY - TAKEOVER_DELAY);
        if self.highest_fence <= fence {
            let epoch = (fence.epoch() + self.epoch_leap).min(MAX_LEAP_EPOCH);
            self.highest_fence = self.highest_fence.max(Fence::new(epoch, 0));
            self.epoch_leap = self.epoch_leap.saturating_mul(LEAP_GROWTH);
        }
    }

    /// Acquires an owned domain again under a new token, as the old one cannot tell further restarts of a worker apart.
    pub fn renew(&mut self, domain: Domain, out: &mut Vec<Change>) {
        if self.owned.contains_key(&domain) {
            self.resign(domain, out);
            self.acquire(domain, out);
        }
    }

    fn resign_all(&mut self, out: &mut Vec<Change>) {
        for domain in std::mem::take(&mut self.owned).into_keys() {
            out.push(Change::Resign(domain));
        }
    }

    /// Compares the owned domains with what the other processes report; `reached` are the domains whose workers
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
            if self.has_contact(now, dc, peers) {
                self.contact_since.entry(dc).or_insert(now);
                self.silent_since.remove(&dc);
            } else {
                self.contact_since.remove(&dc);
                self.silent_since.entry(dc).or_insert(now);
            }
        }
        let view = ClusterView::new(now, peers, self.me.capacity);
        for dc in self.dcs.clone() {
            for shard in 0..self.shards {
                let domain = Domain { dc, shard };
                self.update_domain(now, domain, peers, &view, reached.contains(&domain), out);
            }
        }
    }

    /// Returns the entries that this one may have to succeed, whose loss it has to notice at once, and those that
    /// would succeed it. Both are empty until this entry is ready.
    #[must_use]
    pub fn succession(&self, now: Time, peers: &Peers) -> Succession {
        if self.me.stage != Stage::Ready {
            return Succession::default();
        }
        ClusterView::new(now, peers, self.me.capacity).succession(self.shards, &self.candidate())
    }

    fn candidate(&self) -> Candidate {
        let owned = self.owned.keys().copied();
        Candidate::new(self.me.instance, self.me.capacity, owned)
    }

    fn update_domain(
        &mut self,
        now: Time,
        domain: Domain,
        peers: &Peers,
        view: &ClusterView,
        reached: bool,
        out: &mut Vec<Change>,
    ) {
        let other = view.fence(domain);
        if let Some(fence) = other {
            self.observe(fence);
        }
        let shard = domain.shard;
        match (self.owned.get(&domain).copied(), other) {
            // Several entries dispatch for the shard, as after a partition. One queue over all workers of a shard serves
            // callers best, and all entries agree on the preferred owner. It takes the domain over once it has
            // listened to all others. Runs started here would end if it did not do so before their leases expire.
            (Some(_), _) if view.has_preferred_owner(shard, &self.candidate()) => {
                if self.has_listened_to_all(now, peers) {
                    self.resign(domain, out);
                }
            }
            // The other owner resigns, but workers may have seen its token.
            (Some(mine), Some(other)) if other > mine => {
                self.resign(domain, out);
                self.acquire(domain, out);
            }
            (Some(_), _) if self.is_lost(now, domain.dc, peers, reached) => {
                // Its workers have just been probed without an answer.
                self.last_trials.insert(domain.dc, now);
                self.resign(domain, out);
            }
            (Some(_), _) | (None, Some(_)) => {}
            (None, None) => {
                let listen_period = self.listen_period(now, peers);
                let listened =
                    !self.resharding && self.has_listened(now, self.listen_start, listen_period);
                let is_first = listened && view.ranks_first(shard, &self.candidate());
                let allowed = is_first && is_connected(now, peers);
                if allowed && self.may_acquire(now, domain.dc, listen_period) {
                    self.acquire(domain, out);
                }
            }
        }
    }

    fn resign(&mut self, domain: Domain, out: &mut Vec<Change>) {
        self.owned.remove(&domain);
        out.push(Change::Resign(domain));
    }

    fn acquire(&mut self, domain: Domain, out: &mut Vec<Change>) {
        // The low 16 bits of the number differ between instances, so that no two use the same token.
        let own = self.me.instance.0 as u16;
        let fence = Fence::new(self.highest_fence.epoch() + 1, own);
        self.highest_fence = fence;
        self.owned.insert(domain, fence);
        out.push(Change::Acquire(domain, fence));
    }

    /// Returns how long the first heartbeat of an owner that is alive may take.
    fn listen_period(&self, now: Time, peers: &Peers) -> Duration {
        if peers.all_just_started(now) && (self.single_dispatcher || peers.all_entries_ready(now)) {
            COLD_START_DELAY
        } else {
            TAKEOVER_DELAY
        }
    }

    /// Whether the listening period that began at `since` is over and no more processes are being discovered.
    fn has_listened(&self, now: Time, since: Time, listen_period: Duration) -> bool {
        let span = now.since(since);
        let discovering = listen_period == TAKEOVER_DELAY
            && now.since(self.last_discovery) < TAKEOVER_DELAY
            && span < MAX_DISCOVERY_DELAY;
        span >= listen_period && !discovering
    }

    /// Whether the listening period is over for every other data centre in contact.
    fn has_listened_to_all(&self, now: Time, peers: &Peers) -> bool {
        let listen_period = self.listen_period(now, peers);
        let others = self
            .contact_since
            .iter()
            .filter(|(dc, _)| **dc != self.me.dc);
        let mut others = others.map(|(_, since)| *since);
        listen_period == COLD_START_DELAY
            || others.all(|since| self.has_listened(now, since, listen_period))
    }

    /// Whether a data centre is in contact: one of its processes is alive, or its machine refuses connections, which shows
    /// that the workers there can be reached. Across a partition they cannot, and its own entries dispatch there.
    fn has_contact(&self, now: Time, dc: DataCentreId, peers: &Peers) -> bool {
        let in_contact =
            |view: &PeerView| view.heartbeat.dc == dc && (view.alive(now) || view.refused);
        dc == self.me.dc || peers.all().any(|(_, view)| in_contact(view))
    }

    /// Returns the owned domains of data centres that are not in contact. They are kept only while their workers answer,
    /// as `reached` in [`Self::tick`] says.
    #[must_use]
    pub fn silent_domains(&self, now: Time, peers: &Peers) -> Vec<Domain> {
        let owned = self.owned.keys().copied();
        owned
            .filter(|domain| !self.has_contact(now, domain.dc, peers))
            .collect()
    }

    /// Whether a domain of a data centre may be acquired: the data centre is in contact, or a trial is due,
    /// which is recorded as started.
    fn may_acquire(&mut self, now: Time, dc: DataCentreId, listen_period: Duration) -> bool {
        if let Some(since) = self.contact_since.get(&dc) {
            // As a partition heals, contact with its processes returns one after the other, and its owner may be the last.
            return dc == self.me.dc || self.has_listened(now, *since, listen_period);
        }
        // As a partition heals, contact with the data centres returns one after the other.
        let listened = self.contact_since.iter();
        let listened = listened.filter(|(dc, since)| {
            **dc == self.me.dc || self.has_listened(now, **since, listen_period)
        });
        if listened.count() * 2 <= self.dcs.len() {
            return false;
        }
        let last = self.last_trials.get(&dc);
        if last.is_some_and(|last| now.since(*last) < TRIAL_INTERVAL) {
            return false;
        }
        self.last_trials.insert(dc, now);
        true
    }

    /// Whether neither the processes nor the workers of a data centre answer any more.
    fn is_lost(&self, now: Time, dc: DataCentreId, peers: &Peers, reached: bool) -> bool {
        let trial = self.last_trials.get(&dc);
        let trial_over = trial.is_none_or(|start| now.since(*start) >= TRIAL_DURATION);
        let silent = self.silent_since.get(&dc);
        let timed_out = silent.is_some_and(|since| now.since(*since) >= SILENCE_TIMEOUT);
        !reached && trial_over && timed_out && !self.has_contact(now, dc, peers)
    }
}

/// Whether any other process is alive, or its machine refuses the connection. An entry that is partitioned from all
/// others but reaches the workers would take them from their dispatcher, which would take them back, again and again;
/// it sends its callers elsewhere instead.
fn is_connected(now: Time, peers: &Peers) -> bool {
    let in_contact = |view: &PeerView| view.alive(now) || view.refused;
    peers.count() == 0 || peers.all().any(|(_, view)| in_contact(view))
}

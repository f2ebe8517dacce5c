//! What the heartbeats of the others tell at one moment, in the order in which entries take shards over.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use celerywinch_types::{Domain, Fence, InstanceId, ProcessKind, Stage, Time, score};

use crate::{PeerView, Peers};

/// So many entries stand ready to take a shard over: they hear its dispatcher often, and are told what it has
/// learned. Of five data centres one may be lost with the dispatcher in it; that all four successors are in
/// the same one has odds of 1 in 600, and then whoever is next finds out by its probes, 100 ms later.
const SUCCESSORS: usize = 4;

/// An entry that serves, and what it dispatches for.
#[derive(Clone, Debug)]
pub(crate) struct Standing {
    id: InstanceId,
    /// In how many data centres it holds each shard.
    shards: BTreeMap<u8, usize>,
    /// How many domains it holds.
    total: usize,
}

/// Where an entry stands for a shard: whoever dispatches for it already comes first, then those that
/// dispatch for little else, then by a hash, so that no entry comes first for all shards.
type Place = (bool, usize, u64);

impl Standing {
    pub(crate) fn new(id: InstanceId, held: impl Iterator<Item = Domain>) -> Self {
        let mut shards = BTreeMap::new();
        let mut total = 0;
        for domain in held {
            *shards.entry(domain.shard).or_default() += 1;
            total += 1;
        }
        Self { id, shards, total }
    }

    /// In how many data centres it holds a shard.
    fn of_shard(&self, shard: u8) -> usize {
        self.shards.get(&shard).copied().unwrap_or(0)
    }

    fn place(&self, shard: u8) -> Place {
        let here = self.of_shard(shard);
        (here == 0, self.total - here, rank(shard, self.id))
    }

    /// Of several that dispatch for a shard, the one with more data centres comes first: less work changes
    /// hands then.
    fn seniority(&self, shard: u8) -> (Reverse<usize>, u64) {
        (Reverse(self.of_shard(shard)), rank(shard, self.id))
    }
}

/// Whom an entry has to do with beside its callers' work.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Succession {
    /// The dispatchers that it may have to stand in for, and the entries that would do so before it: it has to
    /// notice at once when they are lost.
    pub predecessors: BTreeSet<InstanceId>,
    /// Those that would stand in for it, and have to know what it has learned.
    pub successors: BTreeSet<InstanceId>,
}

/// What is heard of the others at one moment.
#[derive(Debug)]
pub(crate) struct Survey {
    /// Entries that serve.
    entries: Vec<Standing>,
    /// The highest fencing tokens that others hold domains under.
    fences: BTreeMap<Domain, Fence>,
}

impl Survey {
    pub(crate) fn new(now: Time, peers: &Peers) -> Self {
        let mut entries = Vec::new();
        let mut fences: BTreeMap<Domain, Fence> = BTreeMap::new();
        for (id, view) in peers.alive(now) {
            for holding in &view.heartbeat.owned_domains {
                let fence = fences.entry(holding.domain).or_default();
                *fence = holding.fence.max(*fence);
            }
            if serves(view) {
                let held = view
                    .heartbeat
                    .owned_domains
                    .iter()
                    .map(|holding| holding.domain);
                entries.push(Standing::new(id, held));
            }
        }
        Self { entries, fences }
    }

    /// The highest fencing token that another process holds a domain under.
    pub(crate) fn fence(&self, domain: Domain) -> Option<Fence> {
        self.fences.get(&domain).copied()
    }

    /// Whether another entry that dispatches for a shard comes before this one.
    pub(crate) fn has_senior(&self, shard: u8, me: &Standing) -> bool {
        let holders = self.entries.iter().filter(|e| e.of_shard(shard) > 0);
        let mine = me.seniority(shard);
        holders.into_iter().any(|e| e.seniority(shard) < mine)
    }

    /// Whether this entry is the first of those that are heard.
    pub(crate) fn is_first(&self, shard: u8, me: &Standing) -> bool {
        let mine = me.place(shard);
        !self.entries.iter().any(|e| e.place(shard) < mine)
    }

    /// Whom this entry has to do with for all shards.
    pub(crate) fn circle(&self, shards: u8, me: &Standing) -> Succession {
        let mut circle = Succession::default();
        for shard in 0..shards {
            if me.of_shard(shard) > 0 {
                circle.successors.extend(self.successors(shard));
            } else {
                self.add_ahead(shard, me, &mut circle.predecessors);
            }
        }
        circle
    }

    fn successors(&self, shard: u8) -> impl Iterator<Item = InstanceId> {
        let mut first: Vec<(Place, InstanceId)> = Vec::with_capacity(SUCCESSORS + 1);
        for entry in self.entries.iter().filter(|e| e.of_shard(shard) == 0) {
            let place = (entry.place(shard), entry.id);
            let at = first.partition_point(|other| *other < place);
            if at < SUCCESSORS {
                first.insert(at, place);
                first.truncate(SUCCESSORS);
            }
        }
        first.into_iter().map(|(_, id)| id)
    }

    /// Those before this entry, if it is one of the successors.
    fn add_ahead(&self, shard: u8, me: &Standing, ahead: &mut BTreeSet<InstanceId>) {
        let mine = me.place(shard);
        let before = || self.entries.iter().filter(|e| e.place(shard) < mine);
        let rivals = before().filter(|e| e.of_shard(shard) == 0);
        if rivals.take(SUCCESSORS).count() < SUCCESSORS {
            ahead.extend(before().map(|e| e.id));
        }
    }
}

fn serves(view: &PeerView) -> bool {
    view.heartbeat.kind == ProcessKind::Entry && view.heartbeat.stage == Stage::Ready
}

fn rank(shard: u8, instance: InstanceId) -> u64 {
    score(u64::from(shard), u64::from(instance.0))
}

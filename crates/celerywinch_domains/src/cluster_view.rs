//! A snapshot of what the other processes report, and the order in which entries take over shards.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use celerywinch_types::{Capacity, Domain, Fence, InstanceId, ProcessKind, Stage, Time, score};

use crate::{PeerView, Peers};

/// The number of entries that are ready to take over a shard. They get frequent heartbeats of its dispatcher and
/// what it has learned. With five data centres, the loss of one with the dispatcher takes all four successors with it in 1 of
/// 600 cases; the next entry then finds out by its probes, 100 ms later.
const SUCCESSORS: usize = 4;

/// The number of bits of the fraction of shards per worker.
const LOAD_FRACTION_BITS: u32 = 32;

/// An entry that serves, with the number of domains it owns.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    id: InstanceId,
    /// The number of data centres in which it owns each shard.
    shards: BTreeMap<u8, usize>,
    /// The number of domains it owns.
    total: usize,
    /// What it can carry.
    capacity: Capacity,
}

/// The rank of an entry for a shard; the lowest comes first. Owners of the shard come first, then entries that would
/// own the fewest shards for their capacity with it, if capacities differ, then those that own few other domains. A hash breaks ties, so that no
/// entry comes first for all shards.
type Rank = (bool, u64, usize, u64);

impl Candidate {
    pub(crate) fn new(
        id: InstanceId,
        capacity: Option<Capacity>,
        owned: impl Iterator<Item = Domain>,
    ) -> Self {
        let mut shards = BTreeMap::new();
        let mut total = 0;
        for domain in owned {
            *shards.entry(domain.shard).or_default() += 1;
            total += 1;
        }
        Self {
            id,
            shards,
            total,
            capacity: capacity.unwrap_or(Capacity::USUAL),
        }
    }

    /// Returns the number of data centres in which it owns a shard.
    fn owned_in_shard(&self, shard: u8) -> usize {
        self.shards.get(&shard).copied().unwrap_or(0)
    }

    /// Returns its rank; `uneven` states that not all entries have the same capacity.
    fn rank(&self, shard: u8, uneven: bool) -> Rank {
        let owned_here = self.owned_in_shard(shard);
        // With this shard. Others count in full, as their further domains are acquired within a tick or two.
        let shards = self.shards.len() as u64 + u64::from(owned_here == 0);
        let load = (shards << LOAD_FRACTION_BITS) / self.capacity.workers() as u64;
        (
            owned_here == 0,
            if uneven { load } else { 0 },
            self.total - owned_here,
            tie_break(shard, self.id),
        )
    }

    /// Returns the rank among several owners of a shard. The one with the most data centres comes first, as less work
    /// changes owners then.
    fn owner_rank(&self, shard: u8) -> (Reverse<usize>, u64) {
        (
            Reverse(self.owned_in_shard(shard)),
            tie_break(shard, self.id),
        )
    }
}

/// The entries that this one may succeed, and those that may succeed it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Succession {
    /// The dispatchers that this entry may have to succeed, and the entries that would do so before it. It has to
    /// notice their loss at once.
    pub predecessors: BTreeSet<InstanceId>,
    /// The entries that would succeed this one, and need what it has learned.
    pub successors: BTreeSet<InstanceId>,
}

/// A snapshot of what the heartbeats of the other processes report.
#[derive(Debug)]
pub(crate) struct ClusterView {
    /// Whether not all entries have the same capacity.
    uneven: bool,
    /// Entries that serve.
    entries: Vec<Candidate>,
    /// The highest fencing token under which another process owns each domain.
    fences: BTreeMap<Domain, Fence>,
}

impl ClusterView {
    pub(crate) fn new(now: Time, peers: &Peers, capacity: Option<Capacity>) -> Self {
        let capacity = capacity.unwrap_or(Capacity::USUAL);
        let mut entries = Vec::new();
        let mut fences: BTreeMap<Domain, Fence> = BTreeMap::new();
        for (id, view) in peers.alive(now) {
            for owned in &view.heartbeat.owned_domains {
                let fence = fences.entry(owned.domain).or_default();
                *fence = owned.fence.max(*fence);
            }
            if is_serving(view) {
                let owned = view
                    .heartbeat
                    .owned_domains
                    .iter()
                    .map(|owned| owned.domain);
                entries.push(Candidate::new(id, view.heartbeat.capacity, owned));
            }
        }
        Self {
            uneven: entries.iter().any(|entry| entry.capacity != capacity),
            entries,
            fences,
        }
    }

    /// Returns the highest fencing token under which another process owns a domain.
    pub(crate) fn fence(&self, domain: Domain) -> Option<Fence> {
        self.fences.get(&domain).copied()
    }

    /// Whether another owner of a shard is preferred to this entry.
    pub(crate) fn has_preferred_owner(&self, shard: u8, me: &Candidate) -> bool {
        let owners = self.entries.iter().filter(|e| e.owned_in_shard(shard) > 0);
        let mine = me.owner_rank(shard);
        owners.into_iter().any(|e| e.owner_rank(shard) < mine)
    }

    /// Whether this entry has the first rank for a shard, among itself and all live entries.
    pub(crate) fn ranks_first(&self, shard: u8, me: &Candidate) -> bool {
        let mine = me.rank(shard, self.uneven);
        !self
            .entries
            .iter()
            .any(|e| e.rank(shard, self.uneven) < mine)
    }

    /// Returns the predecessors and successors of this entry, over all shards.
    pub(crate) fn succession(&self, shards: u8, me: &Candidate) -> Succession {
        let mut succession = Succession::default();
        for shard in 0..shards {
            if me.owned_in_shard(shard) > 0 {
                succession.successors.extend(self.successors(shard));
            } else {
                self.add_predecessors(shard, me, &mut succession.predecessors);
            }
        }
        succession
    }

    fn successors(&self, shard: u8) -> impl Iterator<Item = InstanceId> {
        let mut first: Vec<(Rank, InstanceId)> = Vec::with_capacity(SUCCESSORS + 1);
        for entry in self.entries.iter().filter(|e| e.owned_in_shard(shard) == 0) {
            let rank = (entry.rank(shard, self.uneven), entry.id);
            let at = first.partition_point(|other| *other < rank);
            if at < SUCCESSORS {
                first.insert(at, rank);
                first.truncate(SUCCESSORS);
            }
        }
        first.into_iter().map(|(_, id)| id)
    }

    /// Adds the entries that rank before this one for a shard, if it is one of the successors.
    fn add_predecessors(&self, shard: u8, me: &Candidate, predecessors: &mut BTreeSet<InstanceId>) {
        let mine = me.rank(shard, self.uneven);
        let before = || {
            self.entries
                .iter()
                .filter(|e| e.rank(shard, self.uneven) < mine)
        };
        let standbys = before().filter(|e| e.owned_in_shard(shard) == 0);
        if standbys.take(SUCCESSORS).count() < SUCCESSORS {
            predecessors.extend(before().map(|e| e.id));
        }
    }
}

fn is_serving(view: &PeerView) -> bool {
    view.heartbeat.kind == ProcessKind::Entry && view.heartbeat.stage == Stage::Ready
}

fn tie_break(shard: u8, instance: InstanceId) -> u64 {
    score(u64::from(shard), u64::from(instance.0))
}

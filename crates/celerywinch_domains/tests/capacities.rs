//! Which entries own the shards of a whole fleet whose entries differ in capacity.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celerywinch_domains::{Domains, LocalEntry, Peers};
use celerywinch_types::{
    Capacity, DataCentreId, Domain, Evacuations, Fence, FleetHeartbeat, Incarnation, InstanceId,
    OwnedDomain, Process, ProcessKind, Stage, Time, WallMs,
};
use rstest::rstest;

const WALL: WallMs = WallMs(1_700_000_000_000);
const TICK_INTERVAL: Duration = Duration::from_millis(40);
/// After this many ticks without a fault no domain changes hands any more.
const SETTLE_TICKS: usize = 40;
/// An entry of 0.09 to 0.1 cores, in workers.
const SMALL: Option<usize> = Some(32);
/// An entry of 0.12 cores.
const MEDIUM: Option<usize> = Some(38);
/// An entry of 0.3 cores.
const LARGE: Option<usize> = Some(96);

/// Entries in groups of the same capacity. Their data centres take turns.
type Groups<'a> = &'a [(u32, Option<usize>)];

struct Entry {
    me: LocalEntry,
    domains: Domains,
    peers: Peers,
    running: bool,
}

impl Entry {
    fn heartbeat(&self, now: Time) -> FleetHeartbeat {
        let owned = self.domains.owned().iter();
        FleetHeartbeat {
            kind: ProcessKind::Entry,
            dc: self.me.dc,
            stage: Stage::Ready,
            owned_domains: owned
                .map(|(domain, fence)| OwnedDomain {
                    domain: *domain,
                    fence: *fence,
                    load: Default::default(),
                })
                .collect(),
            fence: self.domains.highest_fence(),
            version: 1,
            evacuations: Evacuations::default(),
            shards: self.domains.shards(),
            capacity: self.me.capacity,
            sent: now,
            echo: None,
            interval_ms: 100,
            wants_frequent: true,
            probe: false,
        }
    }
}

/// The entries of a fleet; each heartbeat arrives before the next tick.
struct Fleet {
    entries: Vec<Entry>,
    dcs: u8,
    shards: u8,
    now: Time,
}

impl Fleet {
    fn new(dcs: u8, shards: u8, groups: Groups) -> Self {
        // The processes have run for some time.
        let now = Time(5_000_000);
        let capacities = groups
            .iter()
            .flat_map(|(count, capacity)| (0..*count).map(|_| capacity.map(Capacity::new)));
        let mut fleet = Self {
            entries: Vec::new(),
            dcs,
            shards,
            now,
        };
        for (index, capacity) in (0u32..).zip(capacities) {
            let me = LocalEntry {
                instance: InstanceId(index + 1),
                dc: DataCentreId((index % u32::from(dcs)) as u8),
                stage: Stage::Ready,
                capacity,
            };
            let domains = fleet.start(me);
            fleet.entries.push(Entry {
                me,
                domains,
                peers: Peers::default(),
                running: true,
            });
        }
        fleet.settle();
        fleet
    }

    fn start(&self, me: LocalEntry) -> Domains {
        let dcs = (0..self.dcs).map(DataCentreId).collect();
        let mut domains = Domains::new(self.now, WALL, me, dcs);
        domains.set_shards(self.shards, &mut Vec::new());
        domains
    }

    /// Starts all entries again that have ended.
    fn restart_all(&mut self) {
        for index in 0..self.entries.len() {
            if !self.entries[index].running {
                self.entries[index].domains = self.start(self.entries[index].me);
                self.entries[index].running = true;
            }
        }
        self.settle();
    }

    /// Kills entries, and waits until no domain changes hands any more.
    fn kill(&mut self, instances: &BTreeSet<u32>) {
        let killed = |entry: &Entry| instances.contains(&entry.me.instance.0);
        for entry in &mut self.entries {
            entry.running &= !killed(entry);
            for instance in instances {
                entry.peers.record_refusal(InstanceId(*instance));
            }
        }
        self.settle();
    }

    fn settle(&mut self) {
        for _ in 0..SETTLE_TICKS {
            self.now = self.now + TICK_INTERVAL;
            let running = self.entries.iter().filter(|entry| entry.running);
            let heartbeats: Vec<_> = running
                .map(|entry| (entry.me.instance, entry.heartbeat(self.now)))
                .collect();
            for entry in self.entries.iter_mut().filter(|entry| entry.running) {
                for (instance, heartbeat) in &heartbeats {
                    if *instance == entry.me.instance {
                        continue;
                    }
                    let process = Process {
                        instance: *instance,
                        incarnation: Incarnation(1),
                    };
                    let timeout = Duration::from_millis(350);
                    entry
                        .peers
                        .record_heartbeat(self.now, process, heartbeat.clone(), timeout);
                }
                let mut changes = Vec::new();
                entry
                    .domains
                    .tick(self.now, &entry.peers, &BTreeSet::new(), &mut changes);
            }
        }
    }

    /// Returns the owner of each shard, and fails unless one entry owns it in all data centres.
    fn owners(&self) -> Vec<u32> {
        let mut owners: BTreeMap<u8, Vec<u32>> = BTreeMap::new();
        for entry in self.entries.iter().filter(|entry| entry.running) {
            for domain in entry.domains.owned().keys() {
                let of_shard = owners.entry(domain.shard).or_default();
                of_shard.push(entry.me.instance.0);
            }
        }
        let sole = |shard: u8| {
            let of_shard = owners.get(&shard).cloned().unwrap_or_default();
            assert_eq!(of_shard, vec![of_shard[0]; self.dcs.into()], "{shard}");
            of_shard[0]
        };
        (0..self.shards).map(sole).collect()
    }

    /// Returns the number of shards of each owner, and its capacity in workers.
    fn shares(&self) -> Vec<(usize, usize)> {
        let owners = self.owners();
        let running = self.entries.iter().filter(|entry| entry.running);
        running
            .map(|entry| {
                let owned = owners.iter().filter(|owner| **owner == entry.me.instance.0);
                let capacity = entry.me.capacity.unwrap_or(Capacity::USUAL);
                (owned.count(), capacity.workers())
            })
            .collect()
    }
}

struct EqualFleet {
    dcs: u8,
    shards: u8,
    entries: u32,
    /// The owner of each shard where entries rank without regard to their capacity.
    owners: &'static [u32],
}

/// Guards against a ranking that changes for entries of the same capacity, whether they report it or not.
#[rstest]
#[case::one_shard(EqualFleet { dcs: 3, shards: 1, entries: 7, owners: &[2] })]
#[case::more_shards_than_entries(EqualFleet { dcs: 3, shards: 16, entries: 7, owners: &[2, 6, 1, 7, 3, 7, 1, 4, 3, 5, 6, 2, 4, 5, 3, 2] })]
#[case::uniform(EqualFleet { dcs: 4, shards: 16, entries: 33, owners: &[12, 23, 13, 17, 26, 30, 27, 15, 3, 24, 21, 2, 8, 5, 25, 9] })]
#[case::many(EqualFleet { dcs: 3, shards: 8, entries: 24, owners: &[12, 23, 13, 17, 3, 7, 16, 15] })]
fn equal_entries_rank_as_without_capacities(
    #[case] case: EqualFleet,
    #[values(None, SMALL, MEDIUM, LARGE)] capacity: Option<usize>,
) {
    let fleet = Fleet::new(case.dcs, case.shards, &[(case.entries, capacity)]);
    assert_eq!(fleet.owners(), case.owners);
}

struct UnevenFleet {
    shards: u8,
    groups: Groups<'static>,
    /// The number of shards of all entries of the highest capacity together.
    with_largest: usize,
    /// The highest number of shards of one entry.
    most: usize,
}

/// Guards against small entries that dispatch while larger ones have capacity left, and against a large entry that takes
/// more than its share.
#[rstest]
#[case::second_customer(UnevenFleet { shards: 16, groups: &[(34, SMALL), (9, LARGE)], with_largest: 16, most: 2 })]
#[case::fewer_shards(UnevenFleet { shards: 4, groups: &[(34, SMALL), (9, LARGE)], with_largest: 4, most: 1 })]
#[case::one_large(UnevenFleet { shards: 16, groups: &[(33, SMALL), (1, LARGE)], with_largest: 2, most: 2 })]
#[case::one_small(UnevenFleet { shards: 16, groups: &[(1, SMALL), (9, LARGE)], with_largest: 16, most: 2 })]
#[case::three_sizes(UnevenFleet { shards: 32, groups: &[(20, SMALL), (6, MEDIUM), (6, LARGE)], with_largest: 12, most: 2 })]
#[case::some_report_none(UnevenFleet { shards: 8, groups: &[(12, None), (4, LARGE)], with_largest: 8, most: 2 })]
fn larger_entries_own_more(#[case] case: UnevenFleet) {
    let fleet = Fleet::new(3, case.shards, case.groups);
    let shares = fleet.shares();
    let largest = shares.iter().map(|(_, capacity)| *capacity).max();
    let owned = shares
        .iter()
        .filter(|(_, capacity)| Some(*capacity) == largest)
        .map(|(owned, _)| owned)
        .sum::<usize>();
    let most = shares.iter().map(|(owned, _)| *owned).max();
    assert_eq!((owned, most), (case.with_largest, Some(case.most)));
}

/// Which entries are killed.
enum Killed {
    /// The one that owns the most.
    Largest,
    /// All that have the highest capacity.
    AllLarge,
    /// Those of a data centre.
    DataCentre(u8),
}

/// Guards against domains that change hands without a fault of their owner: when other entries are killed, and when larger
/// ones come back.
#[rstest]
#[case::largest(Killed::Largest)]
#[case::all_large(Killed::AllLarge)]
#[case::data_centre(Killed::DataCentre(1))]
fn only_domains_of_lost_owners_change_hands(
    #[case] killed: Killed,
    #[values(4, 16)] shards: u8,
    #[values(&[(34, SMALL), (9, LARGE)], &[(33, MEDIUM)])] groups: Groups<'static>,
) {
    let mut fleet = Fleet::new(3, shards, groups);
    let before = fleet.owners();
    let largest = groups.iter().map(|(_, capacity)| *capacity).max();
    let shares = fleet.shares();
    let most = shares.iter().max().copied();
    let is_killed = |(entry, share): &(&Entry, &(usize, usize))| match killed {
        Killed::Largest => Some(**share) == most,
        Killed::AllLarge => largest == Some(Some(share.1)) && groups.len() > 1,
        Killed::DataCentre(dc) => entry.me.dc == DataCentreId(dc),
    };
    let entries = fleet.entries.iter().zip(&shares).filter(is_killed);
    let mut lost: BTreeSet<_> = entries.map(|(entry, _)| entry.me.instance.0).collect();
    if matches!(killed, Killed::Largest) {
        lost = lost.into_iter().take(1).collect();
    }
    fleet.kill(&lost);
    let after = fleet.owners();
    for (before, after) in before.iter().zip(&after) {
        assert!(before == after || lost.contains(before));
        assert!(!lost.contains(after));
    }
    fleet.restart_all();
    assert_eq!(fleet.owners(), after, "entries that are back take nothing");
}

/// Guards against another ranking of equal entries that own shards in some data centres only: one with two domains of two
/// shards ranks before those with three domains of one shard, so it is among the four that would take over.
#[rstest]
fn equal_entries_rank_by_domains(#[values(None, SMALL, LARGE)] capacity: Option<usize>) {
    let mut fleet = Fleet::new(3, 6, &[(6, capacity)]);
    let partial = 2;
    let owned = |instance: u32| -> Vec<(u8, u8)> {
        match instance {
            2 => vec![(0, 20), (1, 21)],
            shard => (0..3).map(|dc| (dc, 20 + shard as u8)).collect(),
        }
    };
    let now = fleet.now + TICK_INTERVAL;
    let heartbeats: Vec<_> = fleet.entries[1..]
        .iter()
        .map(|entry| {
            let owned = owned(entry.me.instance.0).into_iter();
            let owned_domains = owned.map(|(dc, shard)| OwnedDomain {
                domain: Domain {
                    dc: DataCentreId(dc),
                    shard,
                },
                fence: Fence(1 << 60),
                load: Default::default(),
            });
            let heartbeat = FleetHeartbeat {
                owned_domains: owned_domains.collect(),
                ..entry.heartbeat(now)
            };
            (entry.me.instance, heartbeat)
        })
        .collect();
    let me = &mut fleet.entries[0];
    for (instance, heartbeat) in heartbeats {
        let process = Process {
            instance,
            incarnation: Incarnation(1),
        };
        me.peers
            .record_heartbeat(now, process, heartbeat, Duration::from_millis(350));
    }
    assert_eq!(me.domains.owned().len(), 3, "one shard");
    let succession = me.domains.succession(now, &me.peers);
    assert!(succession.successors.contains(&InstanceId(partial)));
    assert_eq!(succession.successors.len(), 4);
}

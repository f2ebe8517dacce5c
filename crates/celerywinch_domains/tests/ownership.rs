//! Ownership of domains while entries start, stop and lose contact.

use std::collections::BTreeSet;
use std::time::Duration;

use celerywinch_domains::{Change, Domains, LocalEntry, Peers};
use celerywinch_types::{
    DataCentreId, Domain, Evacuations, Fence, FleetHeartbeat, Incarnation, InstanceId, Load,
    OwnedDomain, Process, ProcessKind, Stage, Time, WallMs,
};
use rstest::rstest;

const WALL: WallMs = WallMs(1_700_000_000_000);

fn domain(dc: u8) -> Domain {
    Domain {
        dc: DataCentreId(dc),
        shard: 0,
    }
}

fn heartbeat(dc: u8, kind: ProcessKind, owned_domains: &[(u8, u64)]) -> FleetHeartbeat {
    let owned_domain = |(dc, fence): &(u8, u64)| OwnedDomain {
        domain: domain(*dc),
        fence: Fence(*fence),
        load: Load::default(),
    };
    FleetHeartbeat {
        kind,
        dc: DataCentreId(dc),
        stage: Stage::Ready,
        owned_domains: owned_domains.iter().map(owned_domain).collect(),
        fence: Fence(0),
        version: 1,
        evacuations: Evacuations::default(),
        shards: 1,
        capacity: None,
        // A process that has run for some time.
        sent: Time(5_000_000),
        echo: None,
        interval_ms: 100,
        wants_frequent: true,
        probe: false,
    }
}

struct Harness {
    domains: Domains,
    peers: Peers,
    now: Time,
    reached: BTreeSet<Domain>,
}

impl Harness {
    /// Entry 1 in data centre 0 of three.
    fn new() -> Self {
        let me = LocalEntry {
            instance: InstanceId(1),
            dc: DataCentreId(0),
            stage: Stage::Ready,
            capacity: None,
        };
        let dcs = (0..3).map(DataCentreId).collect();
        Self {
            domains: Domains::new(Time(1_000_000), WALL, me, dcs),
            peers: Peers::default(),
            now: Time(1_000_000),
            reached: BTreeSet::new(),
        }
    }

    fn receive(&mut self, instance: u32, heartbeat: FleetHeartbeat) {
        let process = Process {
            instance: InstanceId(instance),
            incarnation: Incarnation(1),
        };
        let timeout = Duration::from_millis(350);
        self.peers
            .record_heartbeat(self.now, process, heartbeat, timeout);
    }

    fn tick(&mut self) -> Vec<Change> {
        self.now = self.now + Duration::from_millis(40);
        let mut out = Vec::new();
        self.domains
            .tick(self.now, &self.peers, &self.reached, &mut out);
        out
    }

    fn owned(&self) -> Vec<u8> {
        self.domains
            .owned()
            .keys()
            .map(|domain| domain.dc.0)
            .collect()
    }
}

/// Checks which data centres are acquired by an entry that is alone in its own and receives heartbeats of keepers in all,
/// some or no other data centres.
#[rstest]
#[case::contact_with_all(&[1, 2], &[0, 1, 2])]
#[case::partitioned(&[], &[0])]
#[case::two_of_three(&[1], &[0, 1, 2])]
fn acquires_reachable_data_centres(#[case] in_contact: &[u8], #[case] owned: &[u8]) {
    let mut harness = Harness::new();
    for _ in 0..20 {
        for dc in in_contact {
            harness.receive(
                100 + u32::from(*dc),
                heartbeat(*dc, ProcessKind::Keeper, &[]),
            );
        }
        harness.tick();
    }
    // When more than half of the data centres are in contact, the entry tries to reach the workers of the others.
    assert_eq!(harness.owned(), owned);
}

/// Guards against two dispatchers that take the same workers from each other: as a partition heals, contact with the
/// processes of a data centre returns one after the other and with its dispatcher last, so another entry takes the data
/// centre over.
#[test]
fn listens_before_it_acquires_a_data_centre_that_is_back() {
    let mut harness = Harness::new();
    for _ in 0..20 {
        harness.tick();
    }
    assert_eq!(harness.owned(), [0]);
    harness.receive(101, heartbeat(1, ProcessKind::Keeper, &[]));
    for _ in 0..8 {
        harness.receive(101, heartbeat(1, ProcessKind::Keeper, &[]));
        assert_eq!(harness.tick(), []);
    }
    harness.receive(2, heartbeat(1, ProcessKind::Entry, &[(1, 1 << 60)]));
    for _ in 0..20 {
        harness.receive(101, heartbeat(1, ProcessKind::Keeper, &[]));
        harness.receive(2, heartbeat(1, ProcessKind::Entry, &[(1, 1 << 60)]));
        harness.tick();
        assert!(!harness.owned().contains(&1), "entry 2 dispatches there");
    }
}

struct PartitionHeal {
    /// How long further processes are discovered, in ms after the first heartbeat of another process.
    found: u64,
    /// When the domain is resigned, in ms after that first heartbeat.
    resigned: u64,
}

/// Guards against two dispatchers of one shard after a partition, and against runs that end because their leases expire. The
/// owner of fewer data centres resigns its own, as soon as the other one can take them over.
#[rstest]
#[case::one_process(PartitionHeal { found: 0, resigned: 480 })]
#[case::more_are_found(PartitionHeal { found: 600, resigned: 1_040 })]
#[case::more_are_found_for_long(PartitionHeal { found: 20_000, resigned: 4_520 })]
fn resigns_to_an_entry_that_owns_more(#[case] partition: PartitionHeal) {
    let mut harness = Harness::new();
    for _ in 0..20 {
        harness.tick();
    }
    let start = harness.now;
    loop {
        harness.receive(2, heartbeat(1, ProcessKind::Entry, &[(1, 5), (2, 6)]));
        if harness.now.since(start) <= Duration::from_millis(partition.found) {
            harness.domains.peer_found(harness.now);
        }
        let changes = harness.tick();
        if harness.now.since(start) >= Duration::from_millis(partition.resigned + 40) {
            assert_eq!(changes, [Change::Resign(domain(0))]);
            return;
        }
        assert_eq!(changes, [], "{:?}", harness.now.since(start));
    }
}

/// Guards against shards that change owners as a partition heals: the first heartbeat of the dispatcher arrives after
/// those of other processes of its data centre, and later than the usual takeover delay.
#[test]
fn acquires_nothing_while_processes_are_discovered() {
    let mut harness = Harness::new();
    for _ in 0..20 {
        harness.tick();
    }
    assert_eq!(harness.owned(), [0]);
    for _ in 0..40 {
        harness.receive(101, heartbeat(1, ProcessKind::Keeper, &[]));
        harness.domains.peer_found(harness.now);
        assert_eq!(harness.tick(), []);
    }
    for _ in 0..20 {
        harness.receive(101, heartbeat(1, ProcessKind::Keeper, &[]));
        harness.tick();
    }
    assert!(harness.owned().contains(&1), "nobody else dispatches there");
}

/// Guards against hundreds of changes of ownership right after a partition: each dispatcher resigned a data centre whose workers
/// had not answered, and acquired it again at once for a trial.
#[test]
fn resigned_data_centre_is_not_tried_again_at_once() {
    let mut harness = Harness::new();
    let mut changes = Vec::new();
    for _ in 0..20 {
        harness.receive(101, heartbeat(1, ProcessKind::Keeper, &[]));
        harness.receive(102, heartbeat(2, ProcessKind::Keeper, &[]));
        harness.tick();
    }
    assert_eq!(harness.owned(), [0, 1, 2]);
    for _ in 0..60 {
        harness.receive(101, heartbeat(1, ProcessKind::Keeper, &[]));
        changes.extend(harness.tick());
    }
    assert_eq!(changes, [Change::Resign(domain(2))]);
}

/// Guards against a dispatcher that all workers refuse, as they have seen the higher token of another owner. It
/// acquires a still higher one at once.
#[test]
fn acquires_a_token_above_those_of_other_owners() {
    let mut harness = Harness::new();
    for _ in 0..20 {
        harness.receive(101, heartbeat(1, ProcessKind::Keeper, &[]));
        harness.receive(102, heartbeat(2, ProcessKind::Keeper, &[]));
        harness.tick();
    }
    assert_eq!(harness.owned(), [0, 1, 2]);
    let seen = Fence(1 << 60);
    harness.receive(2, heartbeat(1, ProcessKind::Entry, &[(1, seen.0)]));
    let changes = harness.tick();
    let dc = domain(1);
    let [Change::Resign(a), Change::Acquire(b, fence)] = changes[..] else {
        panic!("{changes:?}");
    };
    assert_eq!((a, b), (dc, dc));
    assert!(fence > seen);
}

/// Guards against a process that goes on to dispatch after a pause, in which its leases have expired.
#[test]
fn pause_resigns_all_domains() {
    let mut harness = Harness::new();
    for _ in 0..20 {
        harness.tick();
    }
    let mut out = Vec::new();
    harness.domains.paused(harness.now, &mut out);
    assert_eq!(out, [Change::Resign(domain(0))]);
    assert_eq!(harness.tick(), [], "it listens first");
}

/// Guards against two dispatchers that take the same workers from each other in turn: an entry that is cut off from
/// all other processes, but not from the workers, goes on to dispatch. Once fenced it must acquire nothing.
#[test]
fn entry_without_contact_acquires_nothing() {
    let mut harness = Harness::new();
    for _ in 0..20 {
        harness.receive(101, heartbeat(1, ProcessKind::Keeper, &[]));
        harness.tick();
    }
    let mine = harness.domains.owned().clone();
    for _ in 0..15 {
        harness.tick();
    }
    let mut out = Vec::new();
    for domain in mine.keys() {
        harness.domains.fenced(harness.now, *domain, &mut out);
    }
    for _ in 0..50 {
        harness.tick();
        assert_eq!(harness.owned(), [], "no process is in contact");
    }
    harness.receive(101, heartbeat(1, ProcessKind::Keeper, &[]));
    for _ in 0..15 {
        harness.receive(101, heartbeat(1, ProcessKind::Keeper, &[]));
        harness.tick();
    }
    assert!(harness.owned().contains(&0), "in contact again");
}

/// Guards against refusals while entries listen for owners that cannot exist: all processes have lost power at once,
/// are back within tens of ms and have just started. A process that has run for longer may know of an owner whose
/// heartbeat has not arrived yet. With several dispatchers, the few entries that are ready first would take most of
/// the shards.
#[rstest]
#[case::all_have_just_started(20, true, &[0, 1, 2])]
#[case::one_has_not(5_000, true, &[])]
#[case::several_dispatchers(20, false, &[])]
fn takeover_is_faster_after_a_loss_of_all_processes(
    #[case] age: u64,
    #[case] single_dispatcher: bool,
    #[case] owned: &[u8],
) {
    let mut harness = Harness::new();
    harness.domains.set_single_dispatcher(single_dispatcher);
    for _ in 0..8 {
        for (instance, dc, age) in [(101, 1, 20), (102, 2, age)] {
            let heartbeat = FleetHeartbeat {
                sent: Time(age * 1_000),
                ..heartbeat(dc, ProcessKind::Keeper, &[])
            };
            harness.receive(instance, heartbeat);
        }
        harness.tick();
    }
    assert_eq!(harness.owned(), owned);
}

/// Guards against refusals after a restart of all processes, while entries listen for dispatchers that no longer
/// exist. If entries listened briefly before all of them are ready, the first ones would take most of the shards.
#[rstest]
#[case::all_ready(&[Stage::Ready, Stage::Ready], 20, true)]
#[case::one_is_joining(&[Stage::Ready, Stage::Joining], 20, false)]
#[case::all_have_run_for_longer(&[Stage::Ready, Stage::Ready], 5_000, false)]
#[case::no_entry_is_alive(&[], 20, false)]
fn several_dispatchers_listen_briefly_once_all_entries_are_ready(
    #[case] stages: &[Stage],
    #[case] age: u64,
    #[case] owns_shards: bool,
) {
    let mut harness = Harness::new();
    harness.domains.set_shards(8, &mut Vec::new());
    for _ in 0..8 {
        let keeper = heartbeat(1, ProcessKind::Keeper, &[]);
        let entries = stages.iter().map(|stage| FleetHeartbeat {
            stage: *stage,
            ..heartbeat(2, ProcessKind::Entry, &[])
        });
        for (instance, heartbeat) in (101..).zip(std::iter::once(keeper).chain(entries)) {
            let sent = Time(age * 1_000);
            harness.receive(instance, FleetHeartbeat { sent, ..heartbeat });
        }
        harness.tick();
    }
    assert_eq!(!harness.domains.owned().is_empty(), owns_shards);
}

struct ClockLag {
    epoch: u64,
    rounds: usize,
}

/// Guards against a standstill of hours after all processes have lost power: their clocks are behind by up to
/// decades, and workers refuse the new fencing tokens as lower than the earlier ones.
#[rstest]
#[case::by_an_hour(ClockLag { epoch: WALL.0 / 1000 + 3_600, rounds: 1 })]
#[case::by_days(ClockLag { epoch: WALL.0 / 1000 + 400_000, rounds: 4 })]
#[case::by_decades(ClockLag { epoch: WALL.0 / 1000 + 1_800_000_000, rounds: 10 })]
fn tokens_exceed_those_that_workers_have_seen(#[case] behind: ClockLag) {
    let mut harness = Harness::new();
    let seen = Fence::new(behind.epoch, 0);
    for round in 0.. {
        for _ in 0..20 {
            harness.receive(101, heartbeat(1, ProcessKind::Keeper, &[]));
            harness.tick();
        }
        let fence = harness.domains.owned()[&domain(0)];
        if fence > seen {
            return;
        }
        assert!(round < behind.rounds, "still fenced, at {fence:?}");
        let mut out = Vec::new();
        for domain in harness.domains.owned().clone().into_keys() {
            harness.domains.fenced(harness.now, domain, &mut out);
        }
    }
}

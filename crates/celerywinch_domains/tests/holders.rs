//! Who dispatches, when entries come, go and lose each other.

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

fn beat(dc: u8, part: ProcessKind, holdings: &[(u8, u64)]) -> FleetHeartbeat {
    let holding = |(dc, fence): &(u8, u64)| OwnedDomain {
        domain: domain(*dc),
        fence: Fence(*fence),
        load: Load::default(),
    };
    FleetHeartbeat {
        kind: part,
        dc: DataCentreId(dc),
        stage: Stage::Ready,
        owned_domains: holdings.iter().map(holding).collect(),
        fence: Fence(0),
        version: 1,
        evacuations: Evacuations::default(),
        shards: 1,
        // Of a process that has run for some time.
        sent: Time(5_000_000),
        echo: None,
        interval_ms: 100,
        wants_frequent: true,
        probe: false,
    }
}

struct Rig {
    domains: Domains,
    peers: Peers,
    now: Time,
    reached: BTreeSet<Domain>,
}

impl Rig {
    /// Entry 1 in data centre 0 of three.
    fn new() -> Self {
        let me = LocalEntry {
            instance: InstanceId(1),
            dc: DataCentreId(0),
            stage: Stage::Ready,
        };
        let dcs = (0..3).map(DataCentreId).collect();
        Self {
            domains: Domains::new(Time(1_000_000), WALL, me, dcs),
            peers: Peers::default(),
            now: Time(1_000_000),
            reached: BTreeSet::new(),
        }
    }

    fn hear(&mut self, instance: u32, beat: FleetHeartbeat) {
        let process = Process {
            instance: InstanceId(instance),
            incarnation: Incarnation(1),
        };
        let window = Duration::from_millis(350);
        self.peers.record_heartbeat(self.now, process, beat, window);
    }

    fn tick(&mut self) -> Vec<Change> {
        self.now = self.now + Duration::from_millis(40);
        let mut out = Vec::new();
        self.domains
            .tick(self.now, &self.peers, &self.reached, &mut out);
        out
    }

    fn held(&self) -> Vec<u8> {
        self.domains
            .owned()
            .keys()
            .map(|domain| domain.dc.0)
            .collect()
    }
}

/// The entry is alone in its data centre, hears keepers of the others, or hears nothing of them.
#[rstest]
#[case::hears_all(&[1, 2], &[0, 1, 2])]
#[case::cut_off(&[], &[0])]
#[case::two_of_three(&[1], &[0, 1, 2])]
fn takes_what_it_reaches(#[case] heard: &[u8], #[case] held: &[u8]) {
    let mut rig = Rig::new();
    for _ in 0..20 {
        for dc in heard {
            rig.hear(100 + u32::from(*dc), beat(*dc, ProcessKind::Keeper, &[]));
        }
        rig.tick();
    }
    // With more than half of the data centres heard, the others are tried by their workers.
    assert_eq!(rig.held(), held);
}

/// A dispatcher takes a data centre whose dispatcher is alive: as a cut heals, the processes there are
/// heard one after the other, and the one that dispatches last. Two would then order the same
/// workers in turn.
#[test]
fn listens_before_it_takes_what_it_hears_again() {
    let mut rig = Rig::new();
    for _ in 0..20 {
        rig.tick();
    }
    assert_eq!(rig.held(), [0]);
    rig.hear(101, beat(1, ProcessKind::Keeper, &[]));
    for _ in 0..8 {
        rig.hear(101, beat(1, ProcessKind::Keeper, &[]));
        assert_eq!(rig.tick(), []);
    }
    rig.hear(2, beat(1, ProcessKind::Entry, &[(1, 1 << 60)]));
    for _ in 0..20 {
        rig.hear(101, beat(1, ProcessKind::Keeper, &[]));
        rig.hear(2, beat(1, ProcessKind::Entry, &[(1, 1 << 60)]));
        rig.tick();
        assert!(!rig.held().contains(&1), "entry 2 dispatches there");
    }
}

struct Heal {
    /// How long after the first process others are found, in ms.
    found: u64,
    /// When the domain is given up, in ms after the first process was heard.
    given_up: u64,
}

/// Guards against two that dispatch for one shard after a cut, and against runs that end as their lease does: the one with fewer
/// data centres gives its own up, as soon as the other one can take it over.
#[rstest]
#[case::one_process(Heal { found: 0, given_up: 480 })]
#[case::more_are_found(Heal { found: 600, given_up: 1_040 })]
#[case::more_are_found_for_long(Heal { found: 20_000, given_up: 4_520 })]
fn gives_up_to_one_that_holds_more(#[case] heal: Heal) {
    let mut rig = Rig::new();
    for _ in 0..20 {
        rig.tick();
    }
    let start = rig.now;
    loop {
        rig.hear(2, beat(1, ProcessKind::Entry, &[(1, 5), (2, 6)]));
        if rig.now.since(start) <= Duration::from_millis(heal.found) {
            rig.domains.peer_found(rig.now);
        }
        let changes = rig.tick();
        if rig.now.since(start) >= Duration::from_millis(heal.given_up + 40) {
            assert_eq!(changes, [Change::Resign(domain(0))]);
            return;
        }
        assert_eq!(changes, [], "{:?}", rig.now.since(start));
    }
}

/// Guards against shards that change hands as a cut heals: the dispatcher is heard after others of its data centre, later than an
/// entry listens for among a few.
#[test]
fn takes_nothing_while_processes_are_found() {
    let mut rig = Rig::new();
    for _ in 0..20 {
        rig.tick();
    }
    assert_eq!(rig.held(), [0]);
    for _ in 0..40 {
        rig.hear(101, beat(1, ProcessKind::Keeper, &[]));
        rig.domains.peer_found(rig.now);
        assert_eq!(rig.tick(), []);
    }
    for _ in 0..20 {
        rig.hear(101, beat(1, ProcessKind::Keeper, &[]));
        rig.tick();
    }
    assert!(rig.held().contains(&1), "nobody else dispatches there");
}

/// Guards against hundreds of changes of hands right after a cut: each dispatcher gave up a data centre whose workers had not
/// answered, and took it at once to try whether they did.
#[test]
fn tries_a_data_centre_only_some_time_after_it_was_given_up() {
    let mut rig = Rig::new();
    let mut changes = Vec::new();
    for _ in 0..20 {
        rig.hear(101, beat(1, ProcessKind::Keeper, &[]));
        rig.hear(102, beat(2, ProcessKind::Keeper, &[]));
        rig.tick();
    }
    assert_eq!(rig.held(), [0, 1, 2]);
    for _ in 0..60 {
        rig.hear(101, beat(1, ProcessKind::Keeper, &[]));
        changes.extend(rig.tick());
    }
    assert_eq!(changes, [Change::Resign(domain(2))]);
}

/// Workers obey the highest token: one that goes on over workers which have seen a higher one would
/// be refused by all of them. It takes a higher one at once.
#[test]
fn goes_on_with_a_token_above_all_that_workers_may_have_seen() {
    let mut rig = Rig::new();
    for _ in 0..20 {
        rig.hear(101, beat(1, ProcessKind::Keeper, &[]));
        rig.hear(102, beat(2, ProcessKind::Keeper, &[]));
        rig.tick();
    }
    assert_eq!(rig.held(), [0, 1, 2]);
    let seen = Fence(1 << 60);
    rig.hear(2, beat(1, ProcessKind::Entry, &[(1, seen.0)]));
    let changes = rig.tick();
    let dc = domain(1);
    let [Change::Resign(a), Change::Acquire(b, fence)] = changes[..] else {
        panic!("{changes:?}");
    };
    assert_eq!((a, b), (dc, dc));
    assert!(fence > seen);
}

/// A process that stood still dispatches no more: its leases are over.
#[test]
fn pause_gives_everything_up() {
    let mut rig = Rig::new();
    for _ in 0..20 {
        rig.tick();
    }
    let mut out = Vec::new();
    rig.domains.paused(rig.now, &mut out);
    assert_eq!(out, [Change::Resign(domain(0))]);
    assert_eq!(rig.tick(), [], "it listens first");
}

/// Two dispatchers take the same workers from each other in turn: an entry that is cut off from all
/// other processes, but not from the workers, goes on to dispatch. It stays out once it was outbid.
#[test]
fn entry_that_hears_nobody_takes_nothing() {
    let mut rig = Rig::new();
    for _ in 0..20 {
        rig.hear(101, beat(1, ProcessKind::Keeper, &[]));
        rig.tick();
    }
    let mine = rig.domains.owned().clone();
    for _ in 0..15 {
        rig.tick();
    }
    let mut out = Vec::new();
    for domain in mine.keys() {
        rig.domains.fenced(rig.now, *domain, &mut out);
    }
    for _ in 0..50 {
        rig.tick();
        assert_eq!(rig.held(), [], "nobody is heard");
    }
    rig.hear(101, beat(1, ProcessKind::Keeper, &[]));
    for _ in 0..15 {
        rig.hear(101, beat(1, ProcessKind::Keeper, &[]));
        rig.tick();
    }
    assert!(rig.held().contains(&0), "heard again");
}

/// All processes lose power at once and are back within tens of ms. Callers are refused as long as nobody
/// dispatches, and to listen for a holder is in vain: all that is heard has just started. One that has run for
/// longer may know of a holder that is not heard yet. Where workers are divided among several, a few that are
/// ready first would take most of the shards.
#[rstest]
#[case::all_have_just_started(20, true, &[0, 1, 2])]
#[case::one_has_not(5_000, true, &[])]
#[case::several_dispatchers(20, false, &[])]
fn nobody_listens_for_what_is_lost_with_all(
    #[case] age: u64,
    #[case] undivided: bool,
    #[case] held: &[u8],
) {
    let mut rig = Rig::new();
    rig.domains.set_single_dispatcher(undivided);
    for _ in 0..8 {
        for (instance, dc, age) in [(101, 1, 20), (102, 2, age)] {
            let beat = FleetHeartbeat {
                sent: Time(age * 1_000),
                ..beat(dc, ProcessKind::Keeper, &[])
            };
            rig.hear(instance, beat);
        }
        rig.tick();
    }
    assert_eq!(rig.held(), held);
}

/// After a restart of all processes, callers are refused while entries listen for dispatchers that no longer
/// exist. If entries listened briefly before all of them are ready, the first ones would take most of the shards.
#[rstest]
#[case::all_ready(&[Stage::Ready, Stage::Ready], 20, true)]
#[case::one_is_joining(&[Stage::Ready, Stage::Joining], 20, false)]
#[case::all_have_run_for_longer(&[Stage::Ready, Stage::Ready], 5_000, false)]
#[case::no_entry_is_heard(&[], 20, false)]
fn several_dispatchers_listen_briefly_once_all_entries_are_ready(
    #[case] stages: &[Stage],
    #[case] age: u64,
    #[case] holds_shards: bool,
) {
    let mut rig = Rig::new();
    rig.domains.set_shards(8, &mut Vec::new());
    for _ in 0..8 {
        let keeper = beat(1, ProcessKind::Keeper, &[]);
        let entries = stages.iter().map(|stage| FleetHeartbeat {
            stage: *stage,
            ..beat(2, ProcessKind::Entry, &[])
        });
        for (instance, beat) in (101..).zip(std::iter::once(keeper).chain(entries)) {
            let sent = Time(age * 1_000);
            rig.hear(instance, FleetHeartbeat { sent, ..beat });
        }
        rig.tick();
    }
    assert_eq!(!rig.domains.owned().is_empty(), holds_shards);
}

struct Behind {
    epoch: u64,
    rounds: usize,
}

/// No task is started for hours after all processes have lost power, as their clocks are behind by years and workers have seen
/// the fencing tokens of before.
#[rstest]
#[case::by_an_hour(Behind { epoch: WALL.0 / 1000 + 3_600, rounds: 1 })]
#[case::by_days(Behind { epoch: WALL.0 / 1000 + 400_000, rounds: 4 })]
#[case::by_decades(Behind { epoch: WALL.0 / 1000 + 1_800_000_000, rounds: 10 })]
fn tokens_pass_what_workers_have_seen(#[case] behind: Behind) {
    let mut rig = Rig::new();
    let seen = Fence::new(behind.epoch, 0);
    for round in 0.. {
        for _ in 0..20 {
            rig.hear(101, beat(1, ProcessKind::Keeper, &[]));
            rig.tick();
        }
        let fence = rig.domains.owned()[&domain(0)];
        if fence > seen {
            return;
        }
        assert!(round < behind.rounds, "still outbid, at {fence:?}");
        let mut out = Vec::new();
        for domain in rig.domains.owned().clone().into_keys() {
            rig.domains.fenced(rig.now, domain, &mut out);
        }
    }
}

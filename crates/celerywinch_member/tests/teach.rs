//! How dispatchers tell what they have learned.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celerywinch_member::{Input, Member, MemberConfig, Output};
use celerywinch_pool::PoolConfig;
use celerywinch_types::{
    DataCentreId, Evacuations, Fence, FleetHeartbeat, FleetMsg, Incarnation, InstanceId, Process,
    ProcessKind, Stage, Time, WallMs,
};
use rstest::rstest;

const DC: DataCentreId = DataCentreId(0);
/// The process under test.
const ME: u32 = 1;

fn process(instance: u32) -> Process {
    Process {
        instance: InstanceId(instance),
        incarnation: Incarnation(1),
    }
}

/// When the others are ready: until then none of them dispatches in its place.
const READY: Time = Time(2_500_000);

fn beat(now: Time) -> FleetHeartbeat {
    FleetHeartbeat {
        kind: ProcessKind::Entry,
        dc: DC,
        stage: if now < READY {
            Stage::Joining
        } else {
            Stage::Ready
        },
        owned_domains: Vec::new(),
        fence: Fence(0),
        version: 1,
        evacuations: Evacuations::default(),
        shards: 1,
        sent: now,
        echo: None,
        interval_ms: 100,
        wants_frequent: true,
        probe: false,
    }
}

/// A dispatcher among so many other entries, with ticks so far apart.
struct Case {
    others: u32,
    tick: u64,
    /// The most that are told at once.
    most: usize,
    /// How many are told.
    told: usize,
}

/// Callers: the start of a task is late, once a second, at whatever the dispatcher does then. It tells all other entries at the
/// same moment what it has learned: 27 times 8 KB with 350 workers and 45 queues are 70 ms of its link, in front of its
/// orders and heartbeats. One after the other, each is told as often, and one message is all that is waited for. Among
/// many only the four are told that would dispatch next.
#[rstest]
#[case::alone_with_one(Case { others: 1, tick: 10, most: 1, told: 1 })]
#[case::small(Case { others: 6, tick: 10, most: 1, told: 6 })]
#[case::grown(Case { others: 27, tick: 10, most: 1, told: 4 })]
#[case::grown_and_idle(Case { others: 27, tick: 40, most: 1, told: 4 })]
#[case::many(Case { others: 100, tick: 40, most: 1, told: 4 })]
fn learned_is_told_one_after_the_other(#[case] case: Case) {
    let config = MemberConfig {
        me: process(ME),
        part: ProcessKind::Entry,
        dc: DC,
        dcs: BTreeSet::from([DC]),
        shard_size: 80,
        pool: PoolConfig::default(),
    };
    let mut now = Time(1_000_000);
    let mut member = Member::new(config, now, WallMs(1_700_000_000_000));
    member.handle(now, Input::ConfigVersion(1), &mut Vec::new());
    let mut told: BTreeMap<InstanceId, Vec<Time>> = BTreeMap::new();
    let mut most = 0;
    let end = now + Duration::from_secs(8);
    while now < end {
        now = now + Duration::from_millis(case.tick);
        let mut out = Vec::new();
        for other in ME + 1..=ME + case.others {
            member.handle(now, Input::Heartbeat(process(other), beat(now)), &mut out);
        }
        member.handle(now, Input::Tick, &mut out);
        let learned = out.into_iter().filter_map(|output| match output {
            Output::Send(to, FleetMsg::Learned(_)) => Some(to),
            _ => None,
        });
        let learned: Vec<_> = learned.collect();
        most = most.max(learned.len());
        for to in learned {
            told.entry(to).or_default().push(now);
        }
    }
    let gaps = told.values().flat_map(|times| times.windows(2));
    let longest = gaps.map(|two| two[1].since(two[0])).max();
    assert_eq!(
        told.len(),
        case.told,
        "those that may dispatch next are told"
    );
    assert!(
        most <= case.most && longest <= Some(Duration::from_millis(1_600)),
        "{most} at once, {longest:?} between two"
    );
}

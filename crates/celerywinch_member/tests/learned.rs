//! How dispatchers share what they have learned.

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
/// The id of the process under test.
const ME: u32 = 1;

fn process(instance: u32) -> Process {
    Process {
        instance: InstanceId(instance),
        incarnation: Incarnation(1),
    }
}

/// The time at which the other entries become ready; none of them can take over before.
const READY: Time = Time(2_500_000);

fn heartbeat(now: Time) -> FleetHeartbeat {
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
        capacity: None,
        sent: now,
        echo: None,
        interval_ms: 100,
        wants_frequent: true,
        probe: false,
    }
}

/// A dispatcher with `others` other entries and a tick interval of `tick` ms.
struct Case {
    others: u32,
    tick: u64,
    /// The maximum number of messages at once.
    max_batch: usize,
    /// The number of receivers.
    receivers: usize,
}

/// Guards against late starts of tasks, once a second, when a dispatcher sends what it has learned to all
/// other entries at the same moment: with 350 workers and 45 queues, 27 messages of 8 KB take its link for 70
/// ms, before its own requests to workers and heartbeats. If they are sent one after the other, each entry gets them as
/// often, and other messages wait for one of them at most. Among many entries only the four that would
/// dispatch next get them.
#[rstest]
#[case::alone_with_one(Case { others: 1, tick: 10, max_batch: 1, receivers: 1 })]
#[case::small(Case { others: 6, tick: 10, max_batch: 1, receivers: 6 })]
#[case::large(Case { others: 27, tick: 10, max_batch: 1, receivers: 4 })]
#[case::large_with_slow_ticks(Case { others: 27, tick: 40, max_batch: 1, receivers: 4 })]
#[case::many(Case { others: 100, tick: 40, max_batch: 1, receivers: 4 })]
fn learned_is_sent_to_one_entry_after_the_other(#[case] case: Case) {
    let config = MemberConfig {
        me: process(ME),
        kind: ProcessKind::Entry,
        dc: DC,
        dcs: BTreeSet::from([DC]),
        shard_size: 80,
        pool: PoolConfig::default(),
    };
    let mut now = Time(1_000_000);
    let mut member = Member::new(config, now, WallMs(1_700_000_000_000));
    member.handle(now, Input::ConfigVersion(1), &mut Vec::new());
    let mut receivers: BTreeMap<InstanceId, Vec<Time>> = BTreeMap::new();
    let mut max_batch = 0;
    let end = now + Duration::from_secs(8);
    while now < end {
        now = now + Duration::from_millis(case.tick);
        let mut out = Vec::new();
        for other in ME + 1..=ME + case.others {
            member.handle(
                now,
                Input::Heartbeat(process(other), heartbeat(now)),
                &mut out,
            );
        }
        member.handle(now, Input::Tick, &mut out);
        let learned = out.into_iter().filter_map(|output| match output {
            Output::Send(to, FleetMsg::Learned(_)) => Some(to),
            _ => None,
        });
        let learned: Vec<_> = learned.collect();
        max_batch = max_batch.max(learned.len());
        for to in learned {
            receivers.entry(to).or_default().push(now);
        }
    }
    let gaps = receivers.values().flat_map(|times| times.windows(2));
    let longest = gaps.map(|two| two[1].since(two[0])).max();
    assert_eq!(
        receivers.len(),
        case.receivers,
        "entries that may dispatch next get a message"
    );
    assert!(
        max_batch <= case.max_batch && longest <= Some(Duration::from_millis(1_600)),
        "{max_batch} at once, {longest:?} between two messages"
    );
}

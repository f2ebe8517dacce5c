//! What an entry of a large deployment does when many domains change hands at once.

use std::collections::BTreeSet;

use celerywinch_member::{Input, Member, MemberConfig, Output};
use celerywinch_pool::PoolConfig;
use celerywinch_types::{
    DataCentreId, Domain, Evacuations, Fence, FleetHeartbeat, FleetMsg, Incarnation, InstanceId,
    Load, OwnedDomain, Process, ProcessKind, Stage, Time, WallMs,
};
use rstest::rstest;

const HERE: DataCentreId = DataCentreId(0);
const THERE: DataCentreId = DataCentreId(1);

fn process(instance: u32) -> Process {
    Process {
        instance: InstanceId(instance),
        incarnation: Incarnation(1),
    }
}

fn beat(now: Time, shard: Option<u8>) -> FleetHeartbeat {
    let holding = |shard| OwnedDomain {
        domain: Domain { dc: THERE, shard },
        fence: Fence(5),
        load: Load::default(),
    };
    FleetHeartbeat {
        kind: ProcessKind::Entry,
        dc: THERE,
        stage: Stage::Ready,
        owned_domains: shard.map(holding).into_iter().collect(),
        fence: Fence(5),
        version: 1,
        evacuations: Evacuations::default(),
        shards: 64,
        sent: now,
        echo: None,
        interval_ms: 5_000,
        wants_frequent: false,
        probe: false,
    }
}

/// An entry that hears so many others, none of which dispatches.
fn member(now: Time, others: u32) -> Member {
    let config = MemberConfig {
        me: process(1),
        part: ProcessKind::Entry,
        dc: HERE,
        dcs: BTreeSet::from([HERE, THERE]),
        shard_size: 80,
        pool: PoolConfig::default(),
    };
    let mut member = Member::new(config, now, WallMs(1_700_000_000_000));
    let mut out = Vec::new();
    member.handle(now, Input::ConfigVersion(1), &mut out);
    for other in 2..2 + others {
        member.handle(
            now,
            Input::Heartbeat(process(other), beat(now, None)),
            &mut out,
        );
    }
    member.handle(now, Input::Flush, &mut out);
    member
}

/// Guards against processes that have no time for callers as a data centre is cut off or heard again: each of hundreds of changes
/// of hands was answered with a heartbeat, and took a look at all processes and domains.
#[rstest]
#[case::of_today(64, 235)]
#[case::of_tomorrow(64, 520)]
fn changes_that_arrive_together_are_taken_up_together(#[case] changes: u32, #[case] others: u32) {
    let now = Time(10_000_000);
    let mut member = member(now, others);
    let later = Time(now.0 + 500_000);
    member.handle(later, Input::Tick, &mut Vec::new());
    let mut out = Vec::new();
    for change in 0..changes {
        let shard = u8::try_from(change).expect("a shard");
        let told = beat(later, Some(shard));
        member.handle(later, Input::Heartbeat(process(2 + change), told), &mut out);
    }
    assert!(out.is_empty() && member.needs_flush());
    member.handle(later, Input::Flush, &mut out);
    let beats = out
        .iter()
        .filter(|output| matches!(output, Output::Send(_, FleetMsg::Heartbeat(_))));
    // Those that callers' jobs go to from now on, and whom it may have to stand in for.
    let beats = beats.count();
    assert!(beats <= 24, "{beats} heartbeats for {changes} changes");
    assert!(!member.needs_flush());
}

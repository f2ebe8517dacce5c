//! An entry of a large deployment when many domains change their dispatchers at once.

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

fn heartbeat(now: Time, shard: Option<u8>) -> FleetHeartbeat {
    let owned_domain = |shard| OwnedDomain {
        domain: Domain { dc: THERE, shard },
        fence: Fence(5),
        load: Load::default(),
    };
    FleetHeartbeat {
        kind: ProcessKind::Entry,
        dc: THERE,
        stage: Stage::Ready,
        owned_domains: shard.map(owned_domain).into_iter().collect(),
        fence: Fence(5),
        version: 1,
        evacuations: Evacuations::default(),
        shards: 64,
        capacity: None,
        sent: now,
        echo: None,
        interval_ms: 5_000,
        wants_frequent: false,
        probe: false,
    }
}

/// Returns an entry that knows `others` peers, none of which dispatches.
fn member(now: Time, others: u32) -> Member {
    let config = MemberConfig {
        me: process(1),
        kind: ProcessKind::Entry,
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
            Input::Heartbeat(process(other), heartbeat(now, None)),
            &mut out,
        );
    }
    member.handle(now, Input::Flush, &mut out);
    member
}

/// Guards against processes without time for callers when a data centre is cut off or reachable again: each
/// of hundreds of changed dispatchers was answered with a heartbeat, and caused a pass over all processes and
/// domains.
#[rstest]
#[case::peers_235(64, 235)]
#[case::peers_520(64, 520)]
fn changes_that_arrive_together_are_handled_together(#[case] changes: u32, #[case] others: u32) {
    let now = Time(10_000_000);
    let mut member = member(now, others);
    let later = Time(now.0 + 500_000);
    member.handle(later, Input::Tick, &mut Vec::new());
    let mut out = Vec::new();
    for change in 0..changes {
        let shard = u8::try_from(change).expect("a shard");
        let heartbeat = heartbeat(later, Some(shard));
        member.handle(
            later,
            Input::Heartbeat(process(2 + change), heartbeat),
            &mut out,
        );
    }
    assert!(out.is_empty() && member.needs_flush());
    member.handle(later, Input::Flush, &mut out);
    let heartbeats = out
        .iter()
        .filter(|output| matches!(output, Output::Send(_, FleetMsg::Heartbeat(_))));
    // The receivers are the dispatchers that callers' jobs are submitted to now, and the peers that it may
    // take over from.
    let count = heartbeats.count();
    assert!(count <= 24, "{count} heartbeats for {changes} changes");
    assert!(!member.needs_flush());
}

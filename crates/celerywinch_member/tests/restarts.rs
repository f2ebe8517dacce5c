//! Peers that restart.

use std::collections::BTreeSet;

use celerywinch_member::{Input, Member, MemberConfig, Output};
use celerywinch_pool::PoolConfig;
use celerywinch_types::{
    DataCentreId, Evacuations, Fence, FleetHeartbeat, Incarnation, InstanceId, Process,
    ProcessKind, Stage, Time, WallMs,
};
use rstest::rstest;

const DC: DataCentreId = DataCentreId(0);

fn process(instance: u32, incarnation: u64) -> Process {
    Process {
        instance: InstanceId(instance),
        incarnation: Incarnation(incarnation),
    }
}

fn entry() -> Member {
    let config = MemberConfig {
        me: process(1, 1),
        kind: ProcessKind::Entry,
        dc: DC,
        dcs: BTreeSet::from([DC]),
        shard_size: 32,
        pool: PoolConfig::default(),
    };
    Member::new(config, Time(0), WallMs(1_700_000_000_000))
}

fn heartbeat(version: u64, sent: u64) -> FleetHeartbeat {
    FleetHeartbeat {
        kind: ProcessKind::Keeper,
        dc: DC,
        stage: Stage::Ready,
        owned_domains: Vec::new(),
        fence: Fence::default(),
        version,
        evacuations: Evacuations::default(),
        shards: 1,
        capacity: None,
        sent: Time(sent),
        echo: None,
        interval_ms: 100,
        wants_frequent: false,
        probe: false,
    }
}

struct Restart {
    before: u64,
    after: u64,
}

/// Guards against dropping all heartbeats of a keeper that restarts after its clock was set back, which
/// leaves its entries with stale routes.
#[rstest]
#[case::clock_advances(Restart { before: 7, after: 9 })]
#[case::clock_set_back(Restart { before: 9, after: 7 })]
fn heartbeats_of_a_restarted_peer_are_accepted(#[case] case: Restart) {
    let mut entry = entry();
    let mut out = Vec::new();
    let before = Input::Heartbeat(process(2, case.before), heartbeat(5, 90_000_000));
    entry.handle(Time(1_000_000), before, &mut out);
    out.clear();
    let present = process(2, case.after);
    entry.handle(
        Time(2_000_000),
        Input::Heartbeat(present, heartbeat(6, 40_000)),
        &mut out,
    );
    assert!(out.contains(&Output::NewPeer(present)), "{out:#?}");
    let view = entry.peers().get(InstanceId(2)).expect("a known peer");
    assert_eq!((view.process, view.heartbeat.version), (present, 6));
}

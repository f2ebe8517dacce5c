//! How members exchange evacuations.

use std::collections::BTreeSet;
use std::time::Duration;

use celerywinch_member::{Input, Member, MemberConfig, Output};
use celerywinch_pool::PoolConfig;
use celerywinch_types::{
    DataCentreId, Evacuations, Fence, FleetHeartbeat, FleetMsg, Incarnation, InstanceId, Process,
    ProcessKind, Stage, Time, WallMs,
};
use rstest::rstest;

const ME: InstanceId = InstanceId(1);

fn process(instance: u32) -> Process {
    Process {
        instance: InstanceId(instance),
        incarnation: Incarnation(1),
    }
}

fn evacuations(revision: u64, dcs: &[u8]) -> Evacuations {
    Evacuations {
        revision,
        dcs: dcs.iter().copied().map(DataCentreId).collect(),
    }
}

fn heartbeat(evacuations: Evacuations) -> FleetHeartbeat {
    FleetHeartbeat {
        kind: ProcessKind::Entry,
        dc: DataCentreId(0),
        stage: Stage::Ready,
        owned_domains: Vec::new(),
        fence: Fence(0),
        version: 1,
        evacuations,
        shards: 1,
        capacity: None,
        sent: Time(0),
        echo: None,
        interval_ms: 100,
        wants_frequent: true,
        probe: false,
    }
}

fn member(kind: ProcessKind) -> Member {
    let config = MemberConfig {
        me: process(ME.0),
        kind,
        dc: DataCentreId(0),
        dcs: [DataCentreId(0), DataCentreId(1)].into(),
        shard_size: 48,
        pool: PoolConfig::default(),
    };
    Member::new(config, Time(0), WallMs(0))
}

/// Returns the receivers of the heartbeats that were sent, with the revision of the evacuations in each.
fn sent_revisions(out: &[Output]) -> BTreeSet<(InstanceId, u64)> {
    let heartbeats = out.iter().filter_map(|output| match output {
        Output::Send(to, FleetMsg::Heartbeat(heartbeat)) => {
            Some((*to, heartbeat.evacuations.revision))
        }
        _ => None,
    });
    heartbeats.collect()
}

struct Case {
    /// Evacuations in the heartbeats of other members, in order.
    received: &'static [(u64, &'static [u8])],
    /// The evacuations in the member's own heartbeat afterwards.
    known: (u64, &'static [u8]),
}

/// Guards against older revisions from other members replacing newer ones.
#[rstest]
#[case::nothing(Case { received: &[], known: (0, &[]) })]
#[case::started(Case { received: &[(1, &[1])], known: (1, &[1]) })]
#[case::ended(Case { received: &[(1, &[1]), (2, &[])], known: (2, &[]) })]
#[case::older_revision(Case { received: &[(3, &[1]), (2, &[]), (0, &[])], known: (3, &[1]) })]
fn highest_revision_is_kept(#[case] case: Case) {
    let mut member = member(ProcessKind::Entry);
    let mut out = Vec::new();
    for (peer, (revision, dcs)) in (2..).zip(case.received) {
        let heartbeat = heartbeat(evacuations(*revision, dcs));
        member.handle(
            Time(0),
            Input::Heartbeat(process(peer), heartbeat),
            &mut out,
        );
    }
    let heartbeat = member.heartbeat_for(Time(0), InstanceId(9));
    assert_eq!(
        heartbeat.evacuations,
        evacuations(case.known.0, case.known.1)
    );
}

/// Guards against evacuations that spread only with the slow heartbeats, which take seconds to reach all
/// peers of a large deployment.
#[test]
fn keeper_sends_evacuations_to_all_at_once() {
    let mut member = member(ProcessKind::Keeper);
    let mut out = Vec::new();
    for peer in 2..60 {
        let heartbeat = heartbeat(Evacuations::default());
        member.handle(
            Time(0),
            Input::Heartbeat(process(peer), heartbeat),
            &mut out,
        );
    }
    let now = Time(0) + Duration::from_millis(10);
    out.clear();
    member.handle(now, Input::Evacuations(evacuations(1, &[1])), &mut out);
    let expected = (2..60).map(|peer| (InstanceId(peer), 1)).collect();
    assert_eq!(sent_revisions(&out), expected);
    out.clear();
    member.handle(now, Input::Evacuations(evacuations(1, &[1])), &mut out);
    assert!(sent_revisions(&out).is_empty(), "once for each revision");
}

//! Which process sends its list of all processes to which peer.

use std::collections::BTreeSet;
use std::time::Duration;

use celerywinch_member::{Input, Member, MemberConfig};
use celerywinch_pool::PoolConfig;
use celerywinch_types::{
    DataCentreId, Evacuations, Fence, FleetHeartbeat, Incarnation, InstanceId, Process,
    ProcessKind, Stage, Time, WallMs,
};
use rstest::rstest;

const DC: DataCentreId = DataCentreId(0);
const PEER: InstanceId = InstanceId(2);
const NOW: Time = Time(10_000_000);

struct Case {
    /// The kind of the process under test.
    kind: ProcessKind,
    /// How long the peer had run at its last heartbeat, in ms; `None` if there was none.
    uptime: Option<u64>,
    sent: bool,
}

/// Guards against two faults: after a restart of all processes the workers are divided among the few entries
/// that each entry knows by then; and the lists fill the links of a data centre that is reachable again.
#[rstest]
#[case::unknown(Case { kind: ProcessKind::Entry, uptime: None, sent: true })]
#[case::just_started(Case { kind: ProcessKind::Entry, uptime: Some(200), sent: true })]
#[case::running_before(Case { kind: ProcessKind::Entry, uptime: Some(30_000), sent: false })]
#[case::by_a_keeper(Case { kind: ProcessKind::Keeper, uptime: Some(30_000), sent: true })]
fn which_peers_get_all_contacts(#[case] case: Case) {
    let me = Process {
        instance: InstanceId(1),
        incarnation: Incarnation(1),
    };
    let config = MemberConfig {
        me,
        kind: case.kind,
        dc: DC,
        dcs: BTreeSet::from([DC]),
        shard_size: 80,
        pool: PoolConfig::default(),
    };
    let mut member = Member::new(config, NOW, WallMs(1_700_000_000_000));
    if let Some(uptime) = case.uptime {
        let heartbeat = FleetHeartbeat {
            kind: ProcessKind::Entry,
            dc: DC,
            stage: Stage::Ready,
            owned_domains: Vec::new(),
            fence: Fence(0),
            version: 1,
            evacuations: Evacuations::default(),
            shards: 1,
            capacity: None,
            sent: Time(0) + Duration::from_millis(uptime),
            echo: None,
            interval_ms: 100,
            wants_frequent: false,
            probe: false,
        };
        let peer = Process {
            instance: PEER,
            incarnation: Incarnation(7),
        };
        member.handle(NOW, Input::Heartbeat(peer, heartbeat), &mut Vec::new());
    }
    assert_eq!(member.sends_contacts(PEER), case.sent);
}

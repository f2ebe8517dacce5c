//! Who tells whom of all other processes.

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
    /// What the process under test is.
    part: ProcessKind,
    /// How long the other had run when it was heard, in ms; none if it was not.
    ran: Option<u64>,
    told: bool,
}

/// Guards against workers that are divided among a few after a restart of all, as entries know few others then; and against lists
/// that fill the links of a data centre as it is heard again.
#[rstest]
#[case::unknown(Case { part: ProcessKind::Entry, ran: None, told: true })]
#[case::just_started(Case { part: ProcessKind::Entry, ran: Some(200), told: true })]
#[case::there_before(Case { part: ProcessKind::Entry, ran: Some(30_000), told: false })]
#[case::by_a_keeper(Case { part: ProcessKind::Keeper, ran: Some(30_000), told: true })]
fn who_is_told_of_all_others(#[case] case: Case) {
    let me = Process {
        instance: InstanceId(1),
        incarnation: Incarnation(1),
    };
    let config = MemberConfig {
        me,
        part: case.part,
        dc: DC,
        dcs: BTreeSet::from([DC]),
        shard_size: 80,
        pool: PoolConfig::default(),
    };
    let mut member = Member::new(config, NOW, WallMs(1_700_000_000_000));
    if let Some(ran) = case.ran {
        let beat = FleetHeartbeat {
            kind: ProcessKind::Entry,
            dc: DC,
            stage: Stage::Ready,
            owned_domains: Vec::new(),
            fence: Fence(0),
            version: 1,
            evacuations: Evacuations::default(),
            shards: 1,
            sent: Time(0) + Duration::from_millis(ran),
            echo: None,
            interval_ms: 100,
            wants_frequent: false,
            probe: false,
        };
        let peer = Process {
            instance: PEER,
            incarnation: Incarnation(7),
        };
        member.handle(NOW, Input::Heartbeat(peer, beat), &mut Vec::new());
    }
    assert_eq!(member.sends_contacts(PEER), case.told);
}

//! Which configuration is held, and the growth of the group of keepers.

mod rig;

use celerywinch_registry::{Registry, RegistryOutput, Request};
use celerywinch_store::Loaded;
use celerywinch_types::{InstanceId, KeeperRequest, KeeperState, Time};
use rig::{ME, Rig, config};
use rstest::rstest;

/// Documents in the order in which they are sent, and what is held in the end.
struct Case {
    sent: &'static [(u64, &'static str)],
    held: (u64, &'static str),
}

/// The highest version holds; a change that is sent again, was overtaken, or has other content under
/// the version held is acknowledged and changes nothing.
#[rstest]
#[case::first(Case { sent: &[(4, "a")], held: (4, "a") })]
#[case::rises_unevenly(Case { sent: &[(4, "a"), (9, "b")], held: (9, "b") })]
#[case::resent(Case { sent: &[(4, "a"), (4, "a")], held: (4, "a") })]
#[case::overtaken(Case { sent: &[(9, "b"), (4, "a")], held: (9, "b") })]
#[case::resent_late(Case { sent: &[(4, "a"), (9, "b"), (4, "a")], held: (9, "b") })]
#[case::other_content(Case { sent: &[(9, "b"), (9, "x")], held: (9, "b") })]
#[case::many(Case {
    sent: &[(1, "a"), (2, "b"), (3, "c"), (4, "d"), (5, "e"), (6, "f"), (7, "g")],
    held: (7, "g"),
})]
fn highest_version_is_held(#[case] case: Case) {
    let mut rig = Rig::new(Loaded::default());
    for (id, (version, text)) in (1..).zip(case.sent) {
        let document = text.as_bytes().to_vec();
        rig.request(id, KeeperRequest::PutDocument(*version, document));
        let (answered, held) = rig.answers.last().expect("an answer").clone();
        assert_eq!(answered, id);
        assert!(held.is_some_and(|held| held.version >= *version));
    }
    rig.request(99, KeeperRequest::ReadDocument);
    let read = rig.answers.last().expect("an answer").1.clone();
    let wanted = KeeperState {
        version: case.held.0,
        document: case.held.1.as_bytes().to_vec(),
        ..KeeperState::default()
    };
    assert_eq!(read, Some(wanted));
}

/// A keeper that does not lead and knows no leader says that it does not know, and does not answer
/// from what it holds: that may be of the past.
#[test]
fn keeper_without_a_leader_does_not_answer_reads() {
    let mut config = config();
    config.instances = vec![ME, InstanceId(2), InstanceId(3)];
    config.forms = false;
    let now = Time(10_000_000);
    let mut registry = Registry::new(config, now, Loaded::default()).expect("an empty disk");
    let request = Request {
        from: ME,
        id: 3,
        request: KeeperRequest::ReadDocument,
    };
    let mut out = Vec::new();
    registry.request(now, request, &mut out);
    assert_eq!(out, [RegistryOutput::Answer(ME, 3, None)]);
}

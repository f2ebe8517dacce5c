//! Which version of the configuration is stored.

mod harness;

use celerywinch_registry::{Registry, RegistryOutput, Request};
use celerywinch_store::PersistedState;
use celerywinch_types::{InstanceId, KeeperRequest, KeeperState, Time};
use harness::{Harness, ME, config};
use rstest::rstest;

/// Documents in the order in which they are sent, and the stored one at the end.
struct Case {
    sent: &'static [(u64, &'static str)],
    stored: (u64, &'static str),
}

/// The highest version is stored. A change that is sent again, was overtaken, or has other content with the
/// stored version is acknowledged without effect.
#[rstest]
#[case::first(Case { sent: &[(4, "a")], stored: (4, "a") })]
#[case::rises_unevenly(Case { sent: &[(4, "a"), (9, "b")], stored: (9, "b") })]
#[case::resent(Case { sent: &[(4, "a"), (4, "a")], stored: (4, "a") })]
#[case::overtaken(Case { sent: &[(9, "b"), (4, "a")], stored: (9, "b") })]
#[case::resent_late(Case { sent: &[(4, "a"), (9, "b"), (4, "a")], stored: (9, "b") })]
#[case::other_content(Case { sent: &[(9, "b"), (9, "x")], stored: (9, "b") })]
#[case::many(Case {
    sent: &[(1, "a"), (2, "b"), (3, "c"), (4, "d"), (5, "e"), (6, "f"), (7, "g")],
    stored: (7, "g"),
})]
fn highest_version_is_stored(#[case] case: Case) {
    let mut harness = Harness::new(PersistedState::default());
    for (id, (version, text)) in (1..).zip(case.sent) {
        let document = text.as_bytes().to_vec();
        harness.request(id, KeeperRequest::PutDocument(*version, document));
        let (answered, state) = harness.answers.last().expect("an answer").clone();
        assert_eq!(answered, id);
        assert!(state.is_some_and(|state| state.version >= *version));
    }
    harness.request(99, KeeperRequest::ReadDocument);
    let read = harness.answers.last().expect("an answer").1.clone();
    let expected = KeeperState {
        version: case.stored.0,
        document: case.stored.1.as_bytes().to_vec(),
        ..KeeperState::default()
    };
    assert_eq!(read, Some(expected));
}

/// Guards against stale reads: a keeper that does not lead and knows no leader answers that the state is not
/// known, and not from its own state, which may be outdated.
#[test]
fn keeper_without_a_leader_does_not_answer_reads() {
    let mut config = config();
    config.instances = vec![ME, InstanceId(2), InstanceId(3)];
    config.bootstrap = false;
    let now = Time(10_000_000);
    let mut registry =
        Registry::new(config, now, PersistedState::default()).expect("an empty disk");
    let request = Request {
        from: ME,
        id: 3,
        request: KeeperRequest::ReadDocument,
    };
    let mut out = Vec::new();
    registry.request(now, request, &mut out);
    assert_eq!(out, [RegistryOutput::Answer(ME, 3, None)]);
}

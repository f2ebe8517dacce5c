//! Which orders to evacuate take effect, and how evacuations are restored after a restart.

mod harness;

use std::collections::BTreeSet;

use bincode::config::standard;
use celerywinch_registry::VersionedDocument;
use celerywinch_store::{Entry, Payload, PersistedState};
use celerywinch_types::{DataCentreId, EvacuationOrder, KeeperRequest};
use harness::Harness;
use rstest::rstest;

/// The data centre, whether it is to be evacuated, and the revision that the order is based on.
type Order = (u8, bool, u64);

fn order(harness: &mut Harness, id: u64, (dc, evacuated, base): Order) {
    let order = EvacuationOrder {
        dc: DataCentreId(dc),
        evacuated,
        base,
    };
    harness.request(id, KeeperRequest::Evacuate(order));
}

struct Case {
    orders: &'static [Order],
    revision: u64,
    dcs: &'static [u8],
}

/// Guards against a delayed order that takes effect after a later one was acknowledged.
#[rstest]
#[case::started(Case { orders: &[(1, true, 0)], revision: 1, dcs: &[1] })]
#[case::ended(Case { orders: &[(1, true, 0), (1, false, 1)], revision: 2, dcs: &[] })]
#[case::two(Case { orders: &[(1, true, 0), (2, true, 1)], revision: 2, dcs: &[1, 2] })]
#[case::resent(Case { orders: &[(1, true, 0), (1, true, 0)], revision: 1, dcs: &[1] })]
#[case::at_once(Case { orders: &[(1, true, 0), (2, true, 0)], revision: 1, dcs: &[1] })]
#[case::late_start(Case { orders: &[(1, true, 0), (1, false, 1), (1, true, 1)], revision: 2, dcs: &[] })]
#[case::late_start_after_an_end_without_effect(
    Case { orders: &[(1, false, 0), (1, true, 0)], revision: 1, dcs: &[] }
)]
#[case::late_end(Case { orders: &[(1, true, 0), (1, true, 1), (1, false, 1)], revision: 2, dcs: &[1] })]
#[case::many(Case {
    orders: &[(1, true, 0), (2, true, 1), (3, true, 2), (2, false, 3), (4, true, 4), (1, false, 5)],
    revision: 6,
    dcs: &[3, 4],
})]
fn delayed_orders_are_void(#[case] case: Case) {
    let mut harness = Harness::new(PersistedState::default());
    for (id, each) in (1..).zip(case.orders) {
        order(&mut harness, id, *each);
    }
    harness.request(99, KeeperRequest::ReadEvacuations);
    let state = harness.answers.last().expect("an answer").1.clone();
    let evacuations = state.expect("a known state").evacuations;
    let dcs: BTreeSet<_> = case.dcs.iter().copied().map(DataCentreId).collect();
    assert_eq!(
        (evacuations.revision, evacuations.dcs),
        (case.revision, dcs)
    );
}

/// Guards against a restarted keeper losing acknowledged evacuations.
#[rstest]
#[case::from_the_log(0)]
#[case::from_a_snapshot(9)]
fn restarted_keeper_knows_evacuations(#[case] documents: u64) {
    let mut harness = Harness::new(PersistedState::default());
    order(&mut harness, 1, (1, true, 0));
    for version in 1..=documents {
        let document = KeeperRequest::PutDocument(version, b"text".to_vec());
        harness.request(1 + version, document);
    }
    assert_eq!(harness.disk.snapshot.index > 0, documents > 0);
    let mut harness = Harness::new(harness.disk);
    harness.request(99, KeeperRequest::ReadEvacuations);
    let state = harness.answers.last().expect("an answer").1.clone();
    let evacuations = state.expect("a known state").evacuations;
    assert_eq!(evacuations.dcs, [DataCentreId(1)].into());
}

/// Guards against unreadable data of releases without evacuations, whose log entries are optional documents and
/// whose snapshots hold only the document.
#[test]
fn data_of_an_earlier_release_is_read() {
    let encode = |command: &Option<(u64, Vec<u8>)>| {
        bincode::serde::encode_to_vec(command, standard()).expect("plain data")
    };
    let mut harness = Harness::new(PersistedState::default());
    for version in 1..=9 {
        harness.request(version, KeeperRequest::PutDocument(version, b"a".to_vec()));
    }
    let mut loaded = harness.disk;
    let (index, term) = (loaded.snapshot.index, loaded.snapshot.term);
    assert!(index > 0);
    let document = VersionedDocument {
        version: 9,
        document: b"a".to_vec(),
    };
    loaded.snapshot.state =
        bincode::serde::encode_to_vec(&document, standard()).expect("plain data");
    loaded.entries = [None, Some((12, b"b".to_vec()))]
        .iter()
        .zip(index + 1..)
        .map(|(command, index)| Entry {
            index,
            term,
            payload: Payload::Command(encode(command)),
        })
        .collect();
    let mut harness = Harness::new(loaded);
    harness.request(1, KeeperRequest::ReadDocument);
    let state = harness.answers.last().expect("an answer").1.clone();
    let state = state.expect("a known state");
    assert_eq!((state.version, state.document), (12, b"b".to_vec()));
    assert_eq!(state.evacuations.revision, 0);
}

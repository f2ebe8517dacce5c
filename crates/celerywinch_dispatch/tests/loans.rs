//! Loans of slots to another entry.

use celerywinch_catalogue::{Catalogue, Class, Document, KindEntry};
use celerywinch_dispatch::{Dispatch, Policy, Work};
use celerywinch_types::{DataCentreId, EndpointAnnouncement, EndpointState, InstanceId, Time};
use std::time::Duration;

const NOW: Time = Time(10_000_000);
const PEER: InstanceId = InstanceId(2);

fn catalogue() -> Catalogue {
    let kind = KindEntry {
        owner: "test".into(),
        class: Class::Normal,
        idempotent: true,
        deadline_ms: celerywinch_catalogue::DeadlineBounds { min: 1, max: 9_000 },
        run_ms: 150,
        max_tasks: 240,
        max_body: 100,
    };
    let mut document = Document::default();
    document.kinds.insert("k".into(), kind);
    Catalogue::check(1, document).expect("a good catalogue")
}

fn announcement() -> EndpointAnnouncement {
    EndpointAnnouncement {
        addr: ([127, 0, 0, 1], 80).into(),
        incarnation: 1,
        sequence: 1,
        dc: DataCentreId(1),
        rack: "r".into(),
        kinds: vec!["k".into()],
        slots: 16,
        connections: 64,
        state: EndpointState::Serving,
        age_ms: 0,
    }
}

/// Guards against an idle entry that refuses its own callers as overloaded: it has lent all of its slots, and admission
/// would count it as having a single one.
#[test]
fn lender_admits_its_own_work() {
    let mut dispatch = Dispatch::new(InstanceId(1), Policy::Shares, 1);
    dispatch.set_catalogue(&catalogue());
    dispatch.update(&announcement());
    let mut loans = 0;
    while dispatch.lend(NOW, PEER, "k", 16).is_some() {
        loans += 1;
    }
    assert!(loans > 0, "there was something to lend");
    let work = Work {
        kind: "k".into(),
        class: Class::Normal,
        team: "".into(),
        deadline: NOW + Duration::from_secs(1),
    };
    assert_eq!(dispatch.admit(NOW, &work, 12), Ok(()));
}

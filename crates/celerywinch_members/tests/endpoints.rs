//! Announcements of endpoints that arrive late, twice or out of order.

use std::time::Duration;

use celerywinch_members::{Change, Endpoints, LEASE, Source};
use celerywinch_types::{DataCentreId, EndpointAnnouncement, EndpointState, Renewal, Time};
use rstest::rstest;

const START: Time = Time(100_000_000);

fn announcement(incarnation: u64, sequence: u64, state: EndpointState) -> EndpointAnnouncement {
    EndpointAnnouncement {
        addr: ([127, 0, 0, 1], 80).into(),
        incarnation,
        sequence,
        dc: DataCentreId(1),
        rack: "r".into(),
        kinds: vec!["k".into()],
        slots: 8,
        connections: 64,
        state,
        age_ms: 0,
    }
}

/// An announcement that arrives after one of incarnation 5, sequence 10, in which the endpoint is leaving.
struct Case {
    incarnation: u64,
    sequence: u64,
    serves: bool,
}

/// Guards against new work for an endpoint that is leaving, when an older announcement that it serves arrives late.
/// Only a later announcement or a later incarnation may bring it back.
#[rstest]
#[case::older(Case { incarnation: 5, sequence: 9, serves: false })]
#[case::same_again(Case { incarnation: 5, sequence: 10, serves: false })]
#[case::earlier_incarnation(Case { incarnation: 4, sequence: 99, serves: false })]
#[case::later(Case { incarnation: 5, sequence: 11, serves: true })]
#[case::later_incarnation(Case { incarnation: 6, sequence: 1, serves: true })]
fn older_announcement_does_not_replace_a_newer_one(#[case] case: Case) {
    let mut endpoints = Endpoints::default();
    let mut changes = Vec::new();
    let leaving = announcement(5, 10, EndpointState::Leaving);
    let addr = leaving.addr;
    endpoints.announce(START, leaving, Source::Endpoint, &mut changes);
    let next = announcement(case.incarnation, case.sequence, EndpointState::Serving);
    endpoints.announce(START, next, Source::Entry, &mut changes);
    let serves = endpoints.get(addr).is_some_and(|known| known.serves());
    assert_eq!(serves, case.serves);
}

/// Guards against an endpoint that stays lost after its lease has expired, or whose loss is reported twice. A renewal
/// of the same incarnation brings it back.
#[test]
fn lease_expires_and_is_renewed() {
    let mut endpoints = Endpoints::default();
    let mut changes = Vec::new();
    let first = announcement(5, 10, EndpointState::Serving);
    let addr = first.addr;
    endpoints.announce(START, first, Source::Endpoint, &mut changes);
    changes.clear();
    assert_eq!(
        endpoints.renewals(START).len(),
        1,
        "the renewal is sent to the peers"
    );
    let late = START + LEASE + Duration::from_millis(1);
    endpoints.tick(late, &mut changes);
    endpoints.tick(late, &mut changes);
    assert_eq!(changes, vec![Change::Gone(addr)]);
    changes.clear();
    let renewal = Renewal {
        addr,
        incarnation: 5,
        sequence: 11,
        age_ms: 100,
    };
    assert!(endpoints.renew(late, renewal, &mut changes));
    assert_eq!(changes, vec![Change::Updated(addr)]);
    assert!(
        endpoints.renewals(late).is_empty(),
        "a renewal from a peer is not sent on"
    );
}

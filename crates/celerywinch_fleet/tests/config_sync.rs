//! How the configuration spreads, over links with a rate.

mod wire;

use rstest::rstest;
use wire::{Change, Fault, Net};

/// Bytes of documents are given in thousands.
const KB: usize = 1_000;

/// Changes of the configuration of six keepers and 28 entries in three data centres. An entry's link carries 3.1 MB/s, a
/// keeper's forty times that.
struct Case {
    changes: Vec<Change>,
    fault: Fault,
    /// All entries in reach of the change have the last one so many ms after it was accepted.
    within: u64,
    /// The most bytes that an entry receives, in hundredths of all documents.
    copies: u64,
    /// The longest that a heartbeat waits behind others, in ms.
    wait: u64,
}

fn once(bytes: usize) -> Vec<Change> {
    vec![Change { at: 0, bytes }]
}

/// Callers: nearly none is served for seconds after the operator's change, and some by rules that are not in force any
/// more. Each keeper sends the whole document to each entry, and an entry asks whoever tells of a newer version, so
/// its link carries nothing else: answers of workers and heartbeats come late, and processes take each other for
/// lost after 350 ms.
#[rstest]
#[case::small(Case { changes: once(100 * KB), fault: Fault::None, within: 300, copies: 110, wait: 30 })]
#[case::large(Case { changes: once(560 * KB), fault: Fault::None, within: 800, copies: 110, wait: 30 })]
#[case::larger(Case { changes: once(840 * KB), fault: Fault::None, within: 1_200, copies: 110, wait: 30 })]
#[case::two_at_once(Case {
    changes: vec![Change { at: 0, bytes: 560 * KB }, Change { at: 200, bytes: 840 * KB }],
    fault: Fault::None, within: 1_600, copies: 110, wait: 30,
})]
#[case::leader_mute(Case {
    changes: once(560 * KB), fault: Fault::Mute { first: 1, last: 1, at: 0 }, within: 1_000, copies: 110, wait: 30,
})]
#[case::data_centre_mute(Case {
    changes: once(560 * KB), fault: Fault::Mute { first: 3, last: 4, at: 0 }, within: 1_300, copies: 110, wait: 30,
})]
#[case::leader_stops_midway(Case {
    changes: once(560 * KB), fault: Fault::Stop { first: 1, last: 1, at: 50 }, within: 1_000, copies: 110, wait: 30,
})]
#[case::two_stop_midway(Case {
    changes: once(840 * KB), fault: Fault::Stop { first: 1, last: 2, at: 200 }, within: 1_600, copies: 110, wait: 30,
})]
#[case::keepers_out_of_reach(Case {
    changes: once(280 * KB), fault: Fault::CutOff, within: 2_000, copies: 110, wait: 60,
})]
fn document_spreads(#[case] case: Case) {
    let mut net = Net::new(case.fault);
    net.play(&case.changes, 6_000);
    let received = net.received();
    let late = net.late(case.within);
    let waited = net.waited();
    assert!(
        received <= case.copies && waited <= case.wait && late.is_empty(),
        "hundredths of the documents received {received}, longest wait {waited} ms, late {late:?}"
    );
}

/// Callers: rules that ended long ago are still obeyed. An operator changes the configuration three times a second, and a
/// document takes longer than that to be sent. If each newer version had the transfer begin anew, none would end
/// before the operator's last change.
#[test]
fn document_spreads_in_a_storm() {
    let mut net = Net::new(Fault::None);
    let changes: Vec<_> = (0..15)
        .map(|n| Change {
            at: n * 330,
            bytes: 1_600 * KB,
        })
        .collect();
    net.play(&changes, 9_000);
    let gap = net.longest_gap();
    let late = net.late(2_500);
    let waited = net.waited();
    assert!(
        gap <= 1_500 && waited <= 30 && late.is_empty(),
        "{gap} ms without a new version, longest wait {waited} ms, late {late:?}"
    );
}

/// Callers: 404 from an entry that has just started, for longer than it takes to fetch a small document. It asks at the first
/// heartbeat that tells of a version, whoever sent it.
#[test]
fn a_new_entry_asks_at_once() {
    let mut net = Net::new(Fault::None);
    net.play(&once(60 * KB), 2_000);
    let took = net.join(200);
    assert!(took <= 60, "{took} ms from the first heartbeat");
}

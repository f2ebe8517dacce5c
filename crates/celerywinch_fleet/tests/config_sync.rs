//! Distribution of the configuration over links of limited rate.

mod wire;

use rstest::rstest;
use wire::{Change, Fault, Network};

/// Unit of document sizes, in bytes.
const KB: usize = 1_000;

/// Changes of the configuration in a deployment of six keepers and 28 entries in three data centres. An entry's link
/// carries 3.1 MB/s, a keeper's forty times that.
struct Case {
    changes: Vec<Change>,
    fault: Fault,
    /// Time after which all reachable entries have the last change, in ms since it was accepted.
    deadline_ms: u64,
    /// Maximum number of bytes that an entry receives, in percent of all documents.
    max_received: u64,
    /// Maximum time that a heartbeat waits behind other messages, in ms.
    max_wait_ms: u64,
}

fn once(bytes: usize) -> Vec<Change> {
    vec![Change { at_ms: 0, bytes }]
}

/// Guards against a change that congests the links of entries: hardly any caller was served for seconds after it, and some
/// by an outdated configuration. Each keeper sent the whole document to each entry, and an entry requested it from every peer
/// that reported a newer version. So answers of workers and heartbeats were late on its link, and processes counted each
/// other as lost after 350 ms.
#[rstest]
#[case::small(Case { changes: once(100 * KB), fault: Fault::None, deadline_ms: 300, max_received: 110, max_wait_ms: 30 })]
#[case::large(Case { changes: once(560 * KB), fault: Fault::None, deadline_ms: 800, max_received: 110, max_wait_ms: 30 })]
#[case::larger(Case { changes: once(840 * KB), fault: Fault::None, deadline_ms: 1_200, max_received: 110, max_wait_ms: 30 })]
#[case::two_at_once(Case {
    changes: vec![Change { at_ms: 0, bytes: 560 * KB }, Change { at_ms: 200, bytes: 840 * KB }],
    fault: Fault::None, deadline_ms: 1_600, max_received: 110, max_wait_ms: 30,
})]
#[case::leader_unresponsive(Case {
    changes: once(560 * KB), fault: Fault::Unresponsive { first: 1, last: 1, at_ms: 0 },
    deadline_ms: 1_000, max_received: 110, max_wait_ms: 30,
})]
#[case::data_centre_unresponsive(Case {
    changes: once(560 * KB), fault: Fault::Unresponsive { first: 3, last: 4, at_ms: 0 },
    deadline_ms: 1_300, max_received: 110, max_wait_ms: 30,
})]
#[case::leader_stops_midway(Case {
    changes: once(560 * KB), fault: Fault::Stop { first: 1, last: 1, at_ms: 50 },
    deadline_ms: 1_000, max_received: 110, max_wait_ms: 30,
})]
#[case::two_stop_midway(Case {
    changes: once(840 * KB), fault: Fault::Stop { first: 1, last: 2, at_ms: 200 },
    deadline_ms: 1_600, max_received: 110, max_wait_ms: 30,
})]
#[case::keepers_unreachable(Case {
    changes: once(280 * KB), fault: Fault::CutOff, deadline_ms: 2_000, max_received: 110, max_wait_ms: 60,
})]
fn change_reaches_all_entries(#[case] case: Case) {
    let mut network = Network::new(case.fault);
    network.run_changes(&case.changes, 6_000);
    let received = network.max_received();
    let late = network.late_entries(case.deadline_ms);
    let waited = network.max_wait();
    assert!(
        received <= case.max_received && waited <= case.max_wait_ms && late.is_empty(),
        "received {received}% of the documents, longest wait {waited} ms, late entries {late:?}"
    );
}

/// Guards against an outdated configuration that stays in force while an operator changes it three times a second. The
/// transfer of a document takes longer than that: if each newer version restarted it, none would complete before the last
/// change.
#[test]
fn frequent_changes_reach_all_entries() {
    let mut network = Network::new(Fault::None);
    let changes: Vec<_> = (0..15)
        .map(|n| Change {
            at_ms: n * 330,
            bytes: 1_600 * KB,
        })
        .collect();
    network.run_changes(&changes, 9_000);
    let gap = network.max_gap();
    let late = network.late_entries(2_500);
    let waited = network.max_wait();
    assert!(
        gap <= 1_500 && waited <= 30 && late.is_empty(),
        "{gap} ms without a new version, longest wait {waited} ms, late entries {late:?}"
    );
}

/// Guards against an entry that answers 404 after its start for longer than it takes to fetch a small document. It sends its
/// request at the first heartbeat that reports a version, from whatever peer.
#[test]
fn new_entry_fetches_at_once() {
    let mut network = Network::new(Fault::None);
    network.run_changes(&once(60 * KB), 2_000);
    let took = network.join(200);
    assert!(took <= 60, "{took} ms from the first heartbeat");
}

//! Silence, restarts and late messages of instances.

use std::time::Duration;

use celerywinch_members::{PeerChange, PeerState, Peers, Timing};
use celerywinch_types::{DataCentreId, Incarnation, InstanceId, Time};

const PEER: InstanceId = InstanceId(2);
const START: Time = Time(100_000_000);

fn peers() -> Peers {
    Peers::new(
        DataCentreId(1),
        Timing::default(),
        [(PEER, DataCentreId(1))],
    )
}

fn tick(peers: &mut Peers, from: Time, millis: std::ops::Range<u64>) -> Vec<PeerChange> {
    let mut changes = Vec::new();
    for step in millis.step_by(20) {
        peers.tick(from + Duration::from_millis(step), &mut changes);
    }
    changes.retain(|change| !matches!(change, PeerChange::Beat(_)));
    changes
}

/// A connection goes silent for good while new ones work: the peer is probed on a new connection
/// before it counts as gone, and its answer there keeps it alive.
#[test]
fn silent_peer_is_probed_before_it_is_gone() {
    let mut peers = peers();
    let mut changes = Vec::new();
    peers.heard(START, PEER, Incarnation(1), &mut changes);
    assert_eq!(changes, vec![PeerChange::Up(PEER)]);
    assert_eq!(
        tick(&mut peers, START, 0..700),
        vec![PeerChange::Probe(PEER)]
    );
    assert!(peers.usable(PEER), "suspected, not gone");
    peers.heard(
        START + Duration::from_millis(800),
        PEER,
        Incarnation(1),
        &mut changes,
    );
    assert_eq!(
        peers.get(PEER).map(|peer| peer.state),
        Some(PeerState::Alive)
    );
    let later = START + Duration::from_millis(800);
    let wanted = vec![PeerChange::Probe(PEER), PeerChange::Down(PEER)];
    assert_eq!(tick(&mut peers, later, 0..1500), wanted);
}

/// A holder that restarted looks alive, and whoever waits for its earlier life waits for ever:
/// the new life must be told, and late messages of the old one must not hide it.
#[test]
fn restart_is_told_and_late_messages_are_ignored() {
    let mut peers = peers();
    let mut changes = Vec::new();
    peers.heard(START, PEER, Incarnation(1), &mut changes);
    changes.clear();
    peers.heard(START, PEER, Incarnation(2), &mut changes);
    peers.heard(START, PEER, Incarnation(1), &mut changes);
    assert_eq!(changes, vec![PeerChange::Restarted(PEER, Incarnation(2))]);
    assert!(peers.gone(PEER, Incarnation(1)));
    assert!(!peers.gone(PEER, Incarnation(2)));
}

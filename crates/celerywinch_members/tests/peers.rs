//! The failure detector when instances fall silent or restart.

use std::time::Duration;

use celerywinch_members::{DetectorConfig, PeerChange, PeerState, Peers};
use celerywinch_types::{DataCentreId, Incarnation, InstanceId, Time};
use rstest::rstest;

const PEER: InstanceId = InstanceId(2);
const START: Time = Time(100_000_000);

fn peers() -> Peers {
    Peers::new(
        DataCentreId(1),
        DetectorConfig::default(),
        [(PEER, DataCentreId(1))],
    )
}

fn tick(peers: &mut Peers, from: Time, millis: std::ops::Range<u64>) -> Vec<PeerChange> {
    let mut changes = Vec::new();
    for step in millis.step_by(20) {
        peers.tick(from + Duration::from_millis(step), &mut changes);
    }
    changes.retain(|change| !matches!(change, PeerChange::HeartbeatDue(_)));
    changes
}

/// Guards against a peer that counts as dead because one connection fails while new ones work: it is probed on a new
/// connection first, and its answer there keeps it alive.
#[test]
fn silent_peer_is_probed_before_it_is_dead() {
    let mut peers = peers();
    let mut changes = Vec::new();
    peers.record_contact(START, PEER, Incarnation(1), &mut changes);
    assert_eq!(changes, vec![PeerChange::Up(PEER)]);
    assert_eq!(
        tick(&mut peers, START, 0..700),
        vec![PeerChange::Probe(PEER)]
    );
    assert!(peers.is_reachable(PEER), "suspected, not dead");
    peers.record_contact(
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

/// Guards against an endless wait for the earlier incarnation of a holder, and against a later one that is ignored for as long as
/// its peers run: an entry without a disk restarts, perhaps with its clock set back.
#[rstest]
#[case::clock_goes_on(&[1, 2])]
#[case::clock_set_back(&[9, 7])]
#[case::set_back_twice(&[9, 7, 3])]
#[case::set_back_and_forth(&[9, 7, 8])]
fn restart_is_reported(#[case] incarnations: &[u64]) {
    let mut peers = peers();
    let mut changes = Vec::new();
    peers.record_contact(START, PEER, Incarnation(incarnations[0]), &mut changes);
    for pair in incarnations.windows(2) {
        let [before, after] = [pair[0], pair[1]].map(Incarnation);
        changes.clear();
        peers.record_contact(START, PEER, after, &mut changes);
        assert_eq!(changes, vec![PeerChange::Restarted(PEER, after)]);
        assert!(peers.has_ended(PEER, before));
        assert!(!peers.has_ended(PEER, after));
    }
}

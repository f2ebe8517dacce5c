//! What is answered to requests for the configuration, and which pieces of it are taken.

use std::time::Duration;

use celerywinch_fleet::{
    ConfigSync, ConfigSyncEvent, ConfigSyncInput, ConfigSyncOutput, PeerStatus,
};
use celerywinch_registry::VersionedDocument;
use celerywinch_types::{
    Chunk, ConfigMsg, DataCentreId, InstanceId, ProcessKind, Time, stable_hash,
};
use rstest::rstest;

const DC: DataCentreId = DataCentreId(0);
const KEEPER: InstanceId = InstanceId(1);
const ENTRY: InstanceId = InstanceId(2);
const NOW: Time = Time(10_000_000);
/// Bytes of a piece.
const PIECE: usize = 16 << 10;

fn held(version: u64, bytes: usize) -> VersionedDocument {
    VersionedDocument {
        version,
        document: (0..bytes).map(|at| (at / 7) as u8).collect(),
    }
}

fn handle(sync: &mut ConfigSync, now: Time, input: ConfigSyncInput) -> Vec<ConfigSyncOutput> {
    let mut out = Vec::new();
    sync.handle(now, input, &mut out);
    out
}

fn keeper(versions: std::ops::RangeInclusive<u64>, bytes: usize) -> ConfigSync {
    let mut sync = ConfigSync::new(KEEPER, ProcessKind::Keeper, DC);
    for version in versions {
        handle(
            &mut sync,
            NOW,
            ConfigSyncInput::InForce(held(version, bytes)),
        );
    }
    sync
}

fn want(version: u64, offset: u64) -> ConfigSyncInput {
    ConfigSyncInput::Message(ENTRY, ConfigMsg::Request { version, offset })
}

/// A request of an entry, and what comes of it: a piece from this byte to that one, or nothing.
struct Request {
    version: u64,
    offset: u64,
    piece: Option<(u64, u64)>,
}

/// An entry that is slow, or a stranger, asks for what is not there: it is answered with nothing, and a line in the log
/// tells of it. What the request claims is never allocated.
#[rstest]
#[case::first(Request { version: 9, offset: 0, piece: Some((0, 16_384)) })]
#[case::last(Request { version: 9, offset: 32_768, piece: Some((32_768, 40_000)) })]
#[case::an_earlier_version(Request { version: 7, offset: 16_384, piece: Some((16_384, 32_768)) })]
#[case::a_version_too_old(Request { version: 1, offset: 0, piece: None })]
#[case::a_version_to_come(Request { version: 10, offset: 0, piece: None })]
#[case::the_end(Request { version: 9, offset: 40_000, piece: None })]
#[case::beyond_the_end(Request { version: 9, offset: u64::MAX, piece: None })]
fn requests_are_answered(#[case] case: Request) {
    let mut sync = keeper(1..=9, 40_000);
    let out = handle(&mut sync, NOW, want(case.version, case.offset));
    match (&out[..], case.piece) {
        ([ConfigSyncOutput::Send(ENTRY, ConfigMsg::Chunk(piece))], Some((start, end))) => {
            assert_eq!(
                (piece.offset, piece.offset + piece.bytes.len() as u64),
                (start, end)
            );
            assert_eq!(piece.total, 40_000);
        }
        ([ConfigSyncOutput::Event(ConfigSyncEvent::DocumentUnknown { .. })], None) => {}
        other => panic!("{other:?}"),
    }
}

/// Rules that ended long ago are still obeyed at a slow entry: newer versions push the one that it fetches out of its
/// source, again and again. What is asked for stays, and of the others only a few do.
#[test]
fn the_version_that_is_asked_for_stays() {
    let mut sync = keeper(1..=1, 40_000);
    for version in 2..=20 {
        let now = NOW + Duration::from_millis(version * 330);
        handle(
            &mut sync,
            now,
            ConfigSyncInput::InForce(held(version, 40_000)),
        );
        let out = handle(&mut sync, now, want(1, 0));
        assert!(
            matches!(&out[..], [ConfigSyncOutput::Send(..)]),
            "{version}: {out:?}"
        );
    }
    let end = NOW + Duration::from_secs(7);
    let here = (1..=20).filter(|version| {
        let out = handle(&mut sync, end, want(*version, 0));
        matches!(&out[..], [ConfigSyncOutput::Send(..)])
    });
    assert_eq!(here.collect::<Vec<_>>(), [1, 18, 19, 20]);
    let later = end + Duration::from_secs(11);
    handle(&mut sync, later, ConfigSyncInput::Tick);
    let out = handle(&mut sync, later, want(1, 0));
    assert!(
        matches!(&out[..], [ConfigSyncOutput::Event(_)]),
        "nobody asked for it: {out:?}"
    );
}

/// Entries hear of a version at once, not with the next heartbeat: half a second of the 2 s in which it has to be in force.
#[test]
fn keepers_tell_at_once() {
    let mut sync = keeper(1..=1, 100);
    let status = PeerStatus {
        instance: ENTRY,
        kind: ProcessKind::Entry,
        dc: DC,
        version: 1,
    };
    handle(&mut sync, NOW, ConfigSyncInput::Heartbeat(status));
    let other = PeerStatus {
        instance: InstanceId(3),
        kind: ProcessKind::Keeper,
        dc: DC,
        version: 1,
    };
    handle(&mut sync, NOW, ConfigSyncInput::Heartbeat(other));
    let out = handle(&mut sync, NOW, ConfigSyncInput::InForce(held(2, 100)));
    assert_eq!(out, [ConfigSyncOutput::SendHeartbeats(vec![ENTRY])]);
}

/// An entry that has heard of a version.
fn asking(version: u64) -> ConfigSync {
    let mut sync = ConfigSync::new(ENTRY, ProcessKind::Entry, DC);
    handle(&mut sync, NOW, ConfigSyncInput::InForce(held(3, 10)));
    let status = PeerStatus {
        instance: KEEPER,
        kind: ProcessKind::Keeper,
        dc: DC,
        version,
    };
    handle(&mut sync, NOW, ConfigSyncInput::Heartbeat(status));
    sync
}

fn piece(version: u64, offset: usize, bytes: usize, of: &[u8]) -> Chunk {
    Chunk {
        version,
        total: of.len() as u64,
        digest: stable_hash(of),
        offset: offset as u64,
        bytes: of[offset..offset + bytes].to_vec(),
    }
}

/// Pieces that come in this order, and how many bytes of the document are here then; all of them where it is whole.
struct Pieces {
    pieces: Vec<Chunk>,
    here: u64,
}

/// A document is put in force that nobody sent: pieces come late and twice, of two documents under one version after
/// the loss of all disks, or with lengths that do not fit. Only the next piece of the version that was asked for counts, and
/// the whole is checked by its hash.
#[rstest]
#[case::in_order(|of: &[u8]| Pieces { here: 20_000, pieces: vec![piece(4, 0, PIECE, of), piece(4, PIECE, 3_616, of)] })]
#[case::twice(|of: &[u8]| Pieces { here: 16_384, pieces: vec![piece(4, 0, PIECE, of), piece(4, 0, PIECE, of)] })]
#[case::out_of_order(|of: &[u8]| Pieces { here: 0, pieces: vec![piece(4, PIECE, 3_616, of)] })]
#[case::of_another_version(|of: &[u8]| Pieces { here: 0, pieces: vec![piece(2, 0, PIECE, of)] })]
#[case::empty(|of: &[u8]| Pieces { here: 0, pieces: vec![piece(4, 0, 0, of)] })]
#[case::too_long(|of: &[u8]| Pieces { here: 0, pieces: vec![piece(4, 0, PIECE + 1, of)] })]
#[case::beyond_the_end(|of: &[u8]| Pieces {
    here: 0, pieces: vec![Chunk { total: 100, ..piece(4, 0, PIECE, of) }],
})]
#[case::a_huge_length(|of: &[u8]| Pieces {
    here: 0, pieces: vec![Chunk { total: u64::MAX, ..piece(4, 0, PIECE, of) }],
})]
#[case::of_two_documents(|of: &[u8]| Pieces {
    here: 0, pieces: vec![piece(4, 0, PIECE, of), Chunk { digest: 1, ..piece(4, PIECE, 3_616, of) }],
})]
#[case::another_hash(|of: &[u8]| Pieces {
    here: 0,
    pieces: [piece(4, 0, PIECE, of), piece(4, PIECE, 3_616, of)].map(|p| Chunk { digest: 1, ..p }).into(),
})]
fn pieces_are_taken(#[case] pieces: fn(&[u8]) -> Pieces) {
    let whole = held(4, 20_000);
    let Pieces { pieces, here } = pieces(&whole.document);
    let mut sync = asking(4);
    let mut came = Vec::new();
    for piece in pieces {
        let input = ConfigSyncInput::Message(KEEPER, ConfigMsg::Chunk(piece));
        for output in handle(&mut sync, NOW, input) {
            if let ConfigSyncOutput::Fetched(held) = output {
                came.push(held);
            }
        }
    }
    if here == whole.document.len() as u64 {
        assert_eq!(came, [whole]);
        return;
    }
    assert!(came.is_empty(), "{came:?}");
    // What is asked for next tells what is here; a transfer that was dropped begins anew.
    let mut out = handle(&mut sync, NOW, ConfigSyncInput::Tick);
    out.extend(handle(
        &mut sync,
        NOW + Duration::from_millis(200),
        ConfigSyncInput::Tick,
    ));
    let asked = out.iter().find_map(|output| match output {
        ConfigSyncOutput::Send(KEEPER, ConfigMsg::Request { version: 4, offset }) => Some(*offset),
        _ => None,
    });
    assert_eq!(asked, Some(here), "{out:?}");
}

/// A process puts an older configuration in force than it had: an entry that was away tells of an earlier version. Only a
/// newer one is fetched, and none again that cannot be read here.
#[rstest]
#[case::older(2, None, false)]
#[case::the_same(3, None, false)]
#[case::newer(4, None, true)]
#[case::unreadable(4, Some(4), false)]
#[case::newer_than_unreadable(5, Some(4), true)]
fn only_newer_versions_are_fetched(
    #[case] version: u64,
    #[case] unreadable: Option<u64>,
    #[case] fetched: bool,
) {
    let mut sync = ConfigSync::new(ENTRY, ProcessKind::Entry, DC);
    handle(&mut sync, NOW, ConfigSyncInput::InForce(held(3, 10)));
    if let Some(version) = unreadable {
        handle(&mut sync, NOW, ConfigSyncInput::Unreadable(version));
    }
    let status = PeerStatus {
        instance: KEEPER,
        kind: ProcessKind::Keeper,
        dc: DC,
        version,
    };
    let out = handle(&mut sync, NOW, ConfigSyncInput::Heartbeat(status));
    assert_eq!(!out.is_empty(), fetched, "{out:?}");
}

/// All entries ask the one keeper that accepted a change, or one far away, though others have it by then. The next piece is asked
/// of the best source that is heard: a keeper before an entry, and of the own data centre first.
#[test]
fn the_best_source_is_asked() {
    let far = DataCentreId(1);
    let mut sync = ConfigSync::new(ENTRY, ProcessKind::Entry, DC);
    let whole = held(4, 200_000);
    let sources = [
        (InstanceId(11), ProcessKind::Entry, far),
        (InstanceId(12), ProcessKind::Entry, DC),
        (InstanceId(13), ProcessKind::Keeper, far),
        (InstanceId(14), ProcessKind::Keeper, DC),
    ];
    let mut asked = Vec::new();
    for (n, (instance, kind, dc)) in sources.into_iter().enumerate() {
        let status = PeerStatus {
            instance,
            kind,
            dc,
            version: 4,
        };
        let mut out = handle(&mut sync, NOW, ConfigSyncInput::Heartbeat(status));
        let piece = piece(4, n * PIECE, PIECE, &whole.document);
        let input = ConfigSyncInput::Message(instance, ConfigMsg::Chunk(piece));
        out.extend(handle(&mut sync, NOW, input));
        let last = out.iter().rev().find_map(|output| match output {
            ConfigSyncOutput::Send(to, ConfigMsg::Request { .. }) => Some(*to),
            _ => None,
        });
        asked.push(last.expect("a request"));
    }
    assert_eq!(asked, sources.map(|(instance, _, _)| instance));
}

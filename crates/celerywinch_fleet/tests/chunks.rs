//! Answers to requests for chunks of the configuration, and which received chunks are accepted.

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
/// Size of a chunk, in bytes.
const CHUNK_SIZE: usize = 16 << 10;

fn document(version: u64, bytes: usize) -> VersionedDocument {
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
            ConfigSyncInput::InForce(document(version, bytes)),
        );
    }
    sync
}

fn request(version: u64, offset: u64) -> ConfigSyncInput {
    ConfigSyncInput::Message(ENTRY, ConfigMsg::Request { version, offset })
}

/// A request of an entry, and the first and end byte of the chunk that answers it, if any.
struct Request {
    version: u64,
    offset: u64,
    chunk: Option<(u64, u64)>,
}

/// A slow entry or a foreign process may request a chunk that doesn't exist. It gets no answer, and the request is logged.
/// Nothing is allocated by the numbers in a request.
#[rstest]
#[case::first(Request { version: 9, offset: 0, chunk: Some((0, 16_384)) })]
#[case::last(Request { version: 9, offset: 32_768, chunk: Some((32_768, 40_000)) })]
#[case::an_earlier_version(Request { version: 7, offset: 16_384, chunk: Some((16_384, 32_768)) })]
#[case::a_version_too_old(Request { version: 1, offset: 0, chunk: None })]
#[case::a_version_to_come(Request { version: 10, offset: 0, chunk: None })]
#[case::the_end(Request { version: 9, offset: 40_000, chunk: None })]
#[case::beyond_the_end(Request { version: 9, offset: u64::MAX, chunk: None })]
fn requests_return_available_chunks(#[case] case: Request) {
    let mut sync = keeper(1..=9, 40_000);
    let out = handle(&mut sync, NOW, request(case.version, case.offset));
    match (&out[..], case.chunk) {
        ([ConfigSyncOutput::Send(ENTRY, ConfigMsg::Chunk(chunk))], Some((start, end))) => {
            assert_eq!(
                (chunk.offset, chunk.offset + chunk.bytes.len() as u64),
                (start, end)
            );
            assert_eq!(chunk.total, 40_000);
        }
        ([ConfigSyncOutput::Event(ConfigSyncEvent::DocumentUnknown { .. })], None) => {}
        other => panic!("{other:?}"),
    }
}

/// Guards against a slow entry that keeps applying an outdated configuration, as newer versions evict the one that it
/// fetches from its source again and again. A requested version is kept, and only a few of the others are.
#[test]
fn requested_version_is_kept() {
    let mut sync = keeper(1..=1, 40_000);
    for version in 2..=20 {
        let now = NOW + Duration::from_millis(version * 330);
        handle(
            &mut sync,
            now,
            ConfigSyncInput::InForce(document(version, 40_000)),
        );
        let out = handle(&mut sync, now, request(1, 0));
        assert!(
            matches!(&out[..], [ConfigSyncOutput::Send(..)]),
            "{version}: {out:?}"
        );
    }
    let end = NOW + Duration::from_secs(7);
    let kept = (1..=20).filter(|version| {
        let out = handle(&mut sync, end, request(*version, 0));
        matches!(&out[..], [ConfigSyncOutput::Send(..)])
    });
    assert_eq!(kept.collect::<Vec<_>>(), [1, 18, 19, 20]);
    let later = end + Duration::from_secs(11);
    handle(&mut sync, later, ConfigSyncInput::Tick);
    let out = handle(&mut sync, later, request(1, 0));
    assert!(
        matches!(&out[..], [ConfigSyncOutput::Event(_)]),
        "not requested for longer than the retention: {out:?}"
    );
}

/// Guards against entries that learn of a version only by the next regular heartbeat: that takes up to 0.5 s of the 2 s
/// within which it has to be in force.
#[test]
fn keepers_announce_new_versions_at_once() {
    let mut sync = keeper(1..=1, 100);
    let status = PeerStatus {
        instance: ENTRY,
        kind: ProcessKind::Entry,
        dc: DC,
        version: 1,
    };
    handle(&mut sync, NOW, ConfigSyncInput::Heartbeat(status));
    let keeper = PeerStatus {
        instance: InstanceId(3),
        kind: ProcessKind::Keeper,
        dc: DC,
        version: 1,
    };
    handle(&mut sync, NOW, ConfigSyncInput::Heartbeat(keeper));
    let out = handle(&mut sync, NOW, ConfigSyncInput::InForce(document(2, 100)));
    assert_eq!(out, [ConfigSyncOutput::SendHeartbeats(vec![ENTRY])]);
}

/// Returns an entry to which a keeper has reported a version.
fn fetching(version: u64) -> ConfigSync {
    let mut sync = ConfigSync::new(ENTRY, ProcessKind::Entry, DC);
    handle(&mut sync, NOW, ConfigSyncInput::InForce(document(3, 10)));
    let status = PeerStatus {
        instance: KEEPER,
        kind: ProcessKind::Keeper,
        dc: DC,
        version,
    };
    handle(&mut sync, NOW, ConfigSyncInput::Heartbeat(status));
    sync
}

fn chunk(version: u64, offset: usize, bytes: usize, whole: &[u8]) -> Chunk {
    Chunk {
        version,
        total: whole.len() as u64,
        digest: stable_hash(whole),
        offset: offset as u64,
        bytes: whole[offset..offset + bytes].to_vec(),
    }
}

/// Chunks in the order of their arrival, and the number of bytes that are accepted; all of them if the document completes.
struct Sequence {
    chunks: Vec<Chunk>,
    received: u64,
}

/// Guards against a document that nobody sent: chunks may arrive late, twice, with invalid lengths, or, after the loss of
/// all disks, from two documents with the same version. Only the next chunk of the requested version is accepted, and the
/// hash of the whole document is checked.
#[rstest]
#[case::in_order(|doc: &[u8]| Sequence {
    received: 20_000, chunks: vec![chunk(4, 0, CHUNK_SIZE, doc), chunk(4, CHUNK_SIZE, 3_616, doc)],
})]
#[case::twice(|doc: &[u8]| Sequence {
    received: 16_384, chunks: vec![chunk(4, 0, CHUNK_SIZE, doc), chunk(4, 0, CHUNK_SIZE, doc)],
})]
#[case::out_of_order(|doc: &[u8]| Sequence { received: 0, chunks: vec![chunk(4, CHUNK_SIZE, 3_616, doc)] })]
#[case::of_another_version(|doc: &[u8]| Sequence { received: 0, chunks: vec![chunk(2, 0, CHUNK_SIZE, doc)] })]
#[case::empty(|doc: &[u8]| Sequence { received: 0, chunks: vec![chunk(4, 0, 0, doc)] })]
#[case::too_long(|doc: &[u8]| Sequence { received: 0, chunks: vec![chunk(4, 0, CHUNK_SIZE + 1, doc)] })]
#[case::beyond_the_end(|doc: &[u8]| Sequence {
    received: 0, chunks: vec![Chunk { total: 100, ..chunk(4, 0, CHUNK_SIZE, doc) }],
})]
#[case::a_huge_length(|doc: &[u8]| Sequence {
    received: 0, chunks: vec![Chunk { total: u64::MAX, ..chunk(4, 0, CHUNK_SIZE, doc) }],
})]
#[case::of_two_documents(|doc: &[u8]| Sequence {
    received: 0, chunks: vec![chunk(4, 0, CHUNK_SIZE, doc), Chunk { digest: 1, ..chunk(4, CHUNK_SIZE, 3_616, doc) }],
})]
#[case::another_hash(|doc: &[u8]| Sequence {
    received: 0,
    chunks: [chunk(4, 0, CHUNK_SIZE, doc), chunk(4, CHUNK_SIZE, 3_616, doc)].map(|p| Chunk { digest: 1, ..p }).into(),
})]
fn only_matching_chunks_are_accepted(#[case] chunks: fn(&[u8]) -> Sequence) {
    let whole = document(4, 20_000);
    let Sequence { chunks, received } = chunks(&whole.document);
    let mut sync = fetching(4);
    let mut fetched = Vec::new();
    for chunk in chunks {
        let input = ConfigSyncInput::Message(KEEPER, ConfigMsg::Chunk(chunk));
        for output in handle(&mut sync, NOW, input) {
            if let ConfigSyncOutput::Fetched(document) = output {
                fetched.push(document);
            }
        }
    }
    if received == whole.document.len() as u64 {
        assert_eq!(fetched, [whole]);
        return;
    }
    assert!(fetched.is_empty(), "{fetched:?}");
    // The next request shows how much was accepted; a dropped transfer starts again at 0.
    let mut out = handle(&mut sync, NOW, ConfigSyncInput::Tick);
    out.extend(handle(
        &mut sync,
        NOW + Duration::from_millis(200),
        ConfigSyncInput::Tick,
    ));
    let requested = out.iter().find_map(|output| match output {
        ConfigSyncOutput::Send(KEEPER, ConfigMsg::Request { version: 4, offset }) => Some(*offset),
        _ => None,
    });
    assert_eq!(requested, Some(received), "{out:?}");
}

/// Guards against a process that goes back to an older configuration because an entry that was unreachable reports one.
/// Only newer versions are fetched, and a version that cannot be parsed here is not fetched again.
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
    handle(&mut sync, NOW, ConfigSyncInput::InForce(document(3, 10)));
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

/// Guards against entries that all fetch from the keeper that accepted a change, or from a remote process, although others
/// have the version by then. The next chunk is requested from the best live source: keepers before entries, and those of the
/// same data centre first.
#[test]
fn best_source_is_preferred() {
    let far = DataCentreId(1);
    let mut sync = ConfigSync::new(ENTRY, ProcessKind::Entry, DC);
    let whole = document(4, 200_000);
    let sources = [
        (InstanceId(11), ProcessKind::Entry, far),
        (InstanceId(12), ProcessKind::Entry, DC),
        (InstanceId(13), ProcessKind::Keeper, far),
        (InstanceId(14), ProcessKind::Keeper, DC),
    ];
    let mut requested = Vec::new();
    for (n, (instance, kind, dc)) in sources.into_iter().enumerate() {
        let status = PeerStatus {
            instance,
            kind,
            dc,
            version: 4,
        };
        let mut out = handle(&mut sync, NOW, ConfigSyncInput::Heartbeat(status));
        let chunk = chunk(4, n * CHUNK_SIZE, CHUNK_SIZE, &whole.document);
        let input = ConfigSyncInput::Message(instance, ConfigMsg::Chunk(chunk));
        out.extend(handle(&mut sync, NOW, input));
        let last = out.iter().rev().find_map(|output| match output {
            ConfigSyncOutput::Send(to, ConfigMsg::Request { .. }) => Some(*to),
            _ => None,
        });
        requested.push(last.expect("no request was sent"));
    }
    assert_eq!(requested, sources.map(|(instance, _, _)| instance));
}

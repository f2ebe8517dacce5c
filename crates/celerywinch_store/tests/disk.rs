//! The state that is loaded from a keeper's disk after crashes and damage.

use std::fs;
use std::path::{Path, PathBuf};

use celerywinch_store::{
    Disk, DiskError, Entry, KeeperId, Membership, Payload, PersistedState, Record, Snapshot,
};
use celerywinch_types::InstanceId;
use rstest::rstest;

fn entry(index: u64) -> Entry {
    Entry {
        index,
        term: 3,
        payload: Payload::Command(vec![u8::try_from(index % 250).unwrap_or(0); 40]),
    }
}

fn keeper() -> KeeperId {
    KeeperId {
        instance: InstanceId(1),
        disk: 7,
    }
}

fn write(folder: &Path, entries: u64) {
    let (mut disk, _, _) = Disk::open(folder, 7).expect("a new folder");
    let vote = Record::Vote {
        term: 3,
        vote: Some(keeper()),
    };
    disk.append(&[vote]).expect("space");
    for index in 1..=entries {
        disk.append(&[Record::Entry(entry(index))]).expect("space");
    }
}

fn load(folder: &Path) -> PersistedState {
    Disk::open(folder, 99).expect("a good folder").2
}

fn log(folder: &Path) -> PathBuf {
    folder.join("log")
}

#[test]
fn all_records_are_loaded_after_a_restart() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    write(folder.path(), 20);
    let loaded = load(folder.path());
    assert_eq!(loaded.vote, (3, Some(keeper())));
    assert_eq!(loaded.entries, (1..=20).map(entry).collect::<Vec<_>>());
    let identity = Disk::open(folder.path(), 99).expect("a good folder").1;
    assert_eq!(identity, 7, "the identity of a disk is kept");
}

/// The process crashes in the middle of a write. The unfinished record was never synced, so no keeper counts on it; it is
/// cut off, and all complete records are kept.
#[rstest]
#[case::one_byte(1)]
#[case::half_a_record(30)]
#[case::all_but_one_byte(0)]
fn unfinished_record_is_cut_off(#[case] keep: usize) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    write(folder.path(), 5);
    let first_five = fs::read(log(folder.path())).expect("the log");
    write(folder.path(), 0);
    let (mut disk, _, _) = Disk::open(folder.path(), 7).expect("a good folder");
    let before = fs::metadata(log(folder.path())).expect("the log").len() as usize;
    disk.append(&[Record::Entry(entry(6))]).expect("space");
    let bytes = fs::read(log(folder.path())).expect("the log");
    let torn = if keep == 0 {
        bytes.len() - 1
    } else {
        before + keep
    };
    fs::write(log(folder.path()), &bytes[..torn]).expect("space");
    let loaded = load(folder.path());
    assert_eq!(loaded.entries, (1..=5).map(entry).collect::<Vec<_>>());
    assert!(loaded.torn_bytes > 0);
    assert!(before >= first_five.len());
    assert_eq!(load(folder.path()).torn_bytes, 0, "it is cut off once");
}

/// A bit flips in a synced record. If the log were cut off there, entries that other keepers count as synced would be lost,
/// so the disk is not opened, and the error says what to do.
#[test]
fn damage_in_the_middle_is_an_error() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    write(folder.path(), 20);
    let mut bytes = fs::read(log(folder.path())).expect("the log");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(log(folder.path()), bytes).expect("space");
    let error = Disk::open(folder.path(), 7).expect_err("it is damaged");
    assert!(matches!(error, DiskError::Damaged { .. }), "{error}");
    assert!(
        error.to_string().contains("move the folder away"),
        "{error}"
    );
}

#[test]
fn damaged_snapshot_is_an_error() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    write(folder.path(), 10);
    let (mut disk, _, _) = Disk::open(folder.path(), 7).expect("a good folder");
    let snapshot = Snapshot {
        index: 8,
        term: 3,
        membership: Membership::default(),
        state: vec![1; 100],
    };
    disk.compact(&snapshot).expect("space");
    let loaded = load(folder.path());
    assert_eq!(loaded.snapshot, snapshot);
    assert_eq!(loaded.entries, vec![entry(9), entry(10)]);
    assert_eq!(
        loaded.vote,
        (3, Some(keeper())),
        "the vote is kept when the log is replaced"
    );
    let path = folder.path().join("snapshot");
    let mut bytes = fs::read(&path).expect("the snapshot");
    bytes[50] ^= 1;
    fs::write(&path, bytes).expect("space");
    assert!(Disk::open(folder.path(), 7).is_err());
}

/// Guards against the loss of acknowledged changes. A snapshot from another keeper replaces entries that were never
/// committed, and the entries after it are loaded again at the next start. Because of their term, the keeper then takes a
/// log that lacks committed entries for as up to date as its own.
#[rstest]
#[case::replaced(false)]
#[case::crash_before_the_log_is_replaced(true)]
fn entries_that_conflict_with_a_snapshot_are_removed(#[case] crash: bool) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    write(folder.path(), 10);
    let old = fs::read(log(folder.path())).expect("the log");
    let (mut disk, _, _) = Disk::open(folder.path(), 7).expect("a good folder");
    let snapshot = Snapshot {
        index: 8,
        term: 5,
        ..Snapshot::default()
    };
    disk.compact(&snapshot).expect("space");
    if crash {
        fs::write(log(folder.path()), old).expect("space");
    }
    assert_eq!(load(folder.path()).entries, []);
}

/// The process crashes after the snapshot was replaced and before the log was. The entries that the snapshot includes are
/// removed at the next start.
#[test]
fn crash_between_replacing_the_snapshot_and_the_log() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    write(folder.path(), 10);
    let old = fs::read(log(folder.path())).expect("the log");
    let (mut disk, _, _) = Disk::open(folder.path(), 7).expect("a good folder");
    let snapshot = Snapshot {
        index: 8,
        term: 3,
        ..Snapshot::default()
    };
    disk.compact(&snapshot).expect("space");
    fs::write(log(folder.path()), old).expect("space");
    assert_eq!(load(folder.path()).entries, vec![entry(9), entry(10)]);
}

//! The log file and the snapshot of one keeper.
//!
//! The log is a file of records, each with magic bytes, a length and a checksum. A record is synced before any message that
//! depends on it leaves the process. A snapshot, and the log that remains after it, are written to temporary files, synced,
//! and renamed over the old files; the folder is synced too, as otherwise the rename itself could be lost.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

use bincode::config::standard;
use celerywinch_types::domain;
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

use crate::{Entry, KeeperId, Snapshot};

/// The first bytes of every record, by which intact records are found after a damaged one.
const RECORD_MAGIC: [u8; 4] = *b"cwr1";
/// The length of a record's header: magic bytes, length and checksum, 4 bytes each.
const HEADER_BYTES: usize = 12;
/// The maximum length of a record's body.
const MAX_RECORD_BYTES: usize = 256 << 20;

const IDENTITY_FILE: &str = "identity";
const LOG_FILE: &str = "log";
const SNAPSHOT_FILE: &str = "snapshot";

domain! {
    /// A record of the log file.
    pub enum Record {
        /// The current term and the vote in it.
        Vote {
            /// The term.
            term: u64,
            /// The keeper that received the vote, if any.
            vote: Option<KeeperId>,
        },
        /// The entries from this index on are removed.
        Truncate(u64),
        /// An entry.
        Entry(Entry),
    }
}

/// An error of the disk.
#[derive(Debug, Error)]
pub enum DiskError {
    /// An operation of the file system failed.
    #[error("cannot {operation} {file}: {cause}")]
    Io {
        /// The operation, as in "cannot ...".
        operation: &'static str,
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        cause: io::Error,
    },
    /// A file is damaged, other than by an unfinished write at the end of the log.
    #[error(
        "{file} is damaged at byte {offset}, with intact records after it; move the folder away \
         and start with an empty one, and this keeper will be admitted as a new one"
    )]
    Damaged {
        /// The file.
        file: PathBuf,
        /// The offset of the damage, in bytes.
        offset: usize,
    },
}

/// The state on a keeper's disk at startup.
#[derive(Clone, Debug, Default)]
pub struct PersistedState {
    /// The current term and the vote in it.
    pub vote: (u64, Option<KeeperId>),
    /// The last snapshot.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
    /// The number of bytes that were cut off at the end of the log, after an unfinished write.
    pub torn_bytes: usize,
}

/// The log file and the snapshot of one keeper.
#[derive(Debug)]
pub struct Disk {
    folder: PathBuf,
    log: File,
    /// The length of the log file up to the last complete record, in bytes.
    length: u64,
    vote: (u64, Option<KeeperId>),
    entries: Vec<Entry>,
    buffer: Vec<u8>,
}

fn io_result<T>(
    operation: &'static str,
    file: &Path,
    result: io::Result<T>,
) -> Result<T, DiskError> {
    result.map_err(|cause| DiskError::Io {
        operation,
        file: file.to_owned(),
        cause,
    })
}

impl Disk {
    /// Opens the folder, or creates it with `identity` as the identity of the new disk. Returns the disk, its identity and
    /// the state on it.
    ///
    /// # Errors
    ///
    /// A file cannot be read or written, or is damaged.
    pub fn open(folder: &Path, identity: u64) -> Result<(Self, u64, PersistedState), DiskError> {
        io_result("create the folder", folder, fs::create_dir_all(folder))?;
        let identity = open_identity(folder, identity)?;
        let snapshot = load_snapshot(folder)?;
        let path = folder.join(LOG_FILE);
        let (records, length, torn_bytes) = load_log(&path)?;
        let mut loaded = PersistedState {
            snapshot,
            torn_bytes,
            ..PersistedState::default()
        };
        records.into_iter().for_each(|record| loaded.apply(record));
        drop_superseded(&mut loaded.entries, &loaded.snapshot);
        let options = OpenOptions::new().create(true).append(true).open(&path);
        let log = io_result("open", &path, options)?;
        io_result("cut off an unfinished write of", &path, log.set_len(length))?;
        io_result("sync", &path, log.sync_all())?;
        sync_folder(folder)?;
        let disk = Self {
            folder: folder.to_owned(),
            log,
            length,
            vote: loaded.vote,
            entries: loaded.entries.clone(),
            buffer: Vec::new(),
        };
        Ok((disk, identity, loaded))
    }

    /// Writes records and syncs them.
    ///
    /// # Errors
    ///
    /// None of the records counts as written. Any part of them in the file is cut off again, at once or, if that fails too,
    /// at the next start.
    pub fn append(&mut self, records: &[Record]) -> Result<(), DiskError> {
        self.buffer.clear();
        for record in records {
            encode(&mut self.buffer, record);
        }
        let path = self.folder.join(LOG_FILE);
        let written = self
            .log
            .write_all(&self.buffer)
            .and_then(|()| self.log.sync_data());
        if let Err(cause) = written {
            let _ = self.log.set_len(self.length);
            return io_result("write", &path, Err(cause));
        }
        self.length += self.buffer.len() as u64;
        for record in records {
            self.apply(record);
        }
        Ok(())
    }

    fn apply(&mut self, record: &Record) {
        match record {
            Record::Vote { term, vote } => self.vote = (*term, *vote),
            Record::Truncate(index) => self.entries.retain(|entry| entry.index < *index),
            Record::Entry(entry) => self.entries.push(entry.clone()),
        }
    }

    /// Writes a snapshot, and removes the entries that it includes from the log.
    ///
    /// # Errors
    ///
    /// The previous snapshot or the previous log is still in place.
    pub fn compact(&mut self, snapshot: &Snapshot) -> Result<(), DiskError> {
        let mut bytes = Vec::new();
        encode(&mut bytes, snapshot);
        replace(&self.folder, SNAPSHOT_FILE, &bytes)?;
        // A crash here leaves entries that the snapshot includes; they are removed at the next start.
        drop_superseded(&mut self.entries, snapshot);
        let mut bytes = Vec::new();
        let (term, vote) = self.vote;
        encode(&mut bytes, &Record::Vote { term, vote });
        for entry in &self.entries {
            encode(&mut bytes, &Record::Entry(entry.clone()));
        }
        replace(&self.folder, LOG_FILE, &bytes)?;
        let path = self.folder.join(LOG_FILE);
        let opened = OpenOptions::new().append(true).open(&path);
        self.log = io_result("open", &path, opened)?;
        self.length = bytes.len() as u64;
        Ok(())
    }
}

impl PersistedState {
    fn apply(&mut self, record: Record) {
        match record {
            Record::Vote { term, vote } => self.vote = (term, vote),
            Record::Truncate(index) => self.entries.retain(|entry| entry.index < index),
            Record::Entry(entry) => self.entries.push(entry),
        }
    }
}

/// Removes the entries that a snapshot includes. If the entry at the snapshot's last index has another term, removes the
/// later ones too: they were never committed, and with them the keeper's log would seem more up to date than it is.
fn drop_superseded(entries: &mut Vec<Entry>, snapshot: &Snapshot) {
    let last = entries.iter().find(|entry| entry.index == snapshot.index);
    let agrees = last.is_none_or(|entry| entry.term == snapshot.term);
    entries.retain(|entry| agrees && entry.index > snapshot.index);
}

fn encode<T: Serialize>(buffer: &mut Vec<u8>, value: &T) {
    let body = bincode::serde::encode_to_vec(value, standard()).expect("plain data can be encoded");
    let length = u32::try_from(body.len()).expect("records are shorter than 4 GiB");
    buffer.extend_from_slice(&RECORD_MAGIC);
    buffer.extend_from_slice(&length.to_le_bytes());
    buffer.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    buffer.extend_from_slice(&body);
}

/// Decodes the record at the start of `bytes`; returns its value and its length, or `None` if it is not intact.
fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<(T, usize)> {
    let header = bytes.get(..HEADER_BYTES)?;
    let number = |range: std::ops::Range<usize>| -> Option<u32> {
        Some(u32::from_le_bytes(header.get(range)?.try_into().ok()?))
    };
    let length = usize::try_from(number(4..8)?).ok()?;
    if header[..4] != RECORD_MAGIC || length > MAX_RECORD_BYTES {
        return None;
    }
    let body = bytes.get(HEADER_BYTES..HEADER_BYTES + length)?;
    if crc32fast::hash(body) != number(8..12)? {
        return None;
    }
    let (value, used) = bincode::serde::decode_from_slice(body, standard()).ok()?;
    (used == length).then_some((value, HEADER_BYTES + length))
}

fn read(path: &Path) -> Result<Option<Vec<u8>>, DiskError> {
    match File::open(path) {
        Ok(mut file) => {
            let mut bytes = Vec::new();
            io_result("read", path, file.read_to_end(&mut bytes))?;
            Ok(Some(bytes))
        }
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(cause) => io_result("open", path, Err(cause)),
    }
}

fn load_log(path: &Path) -> Result<(Vec<Record>, u64, usize), DiskError> {
    let bytes = read(path)?.unwrap_or_default();
    let mut records = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        match decode(&bytes[offset..]) {
            Some((record, length)) => {
                records.push(record);
                offset += length;
            }
            None => break,
        }
    }
    // An unfinished write is always at the end of the file. Intact records after the bad bytes mean that synced records
    // were damaged; cutting them off would lose entries that other keepers count as synced here.
    if contains_record(&bytes[offset..]) {
        return Err(DiskError::Damaged {
            file: path.to_owned(),
            offset,
        });
    }
    Ok((records, offset as u64, bytes.len() - offset))
}

fn contains_record(bytes: &[u8]) -> bool {
    let starts = bytes.windows(RECORD_MAGIC.len()).enumerate();
    let mut starts = starts.filter(|(_, window)| *window == RECORD_MAGIC);
    starts.any(|(start, _)| decode::<Record>(&bytes[start..]).is_some())
}

fn load_snapshot(folder: &Path) -> Result<Snapshot, DiskError> {
    Ok(load_file(folder, SNAPSHOT_FILE)?.unwrap_or_default())
}

fn open_identity(folder: &Path, new_identity: u64) -> Result<u64, DiskError> {
    if let Some(identity) = load_file(folder, IDENTITY_FILE)? {
        return Ok(identity);
    }
    save_file(folder, IDENTITY_FILE, &new_identity)?;
    Ok(new_identity)
}

/// Saves a value durably, with a checksum. On failure the previous file is kept.
///
/// # Errors
///
/// The file cannot be written or synced.
pub fn save_file<T: Serialize>(folder: &Path, name: &str, value: &T) -> Result<(), DiskError> {
    io_result("create the folder", folder, fs::create_dir_all(folder))?;
    let mut bytes = Vec::new();
    encode(&mut bytes, value);
    replace(folder, name, &bytes)
}

/// Loads a value that was saved by [`save_file`]; returns `None` if there is no such file.
///
/// # Errors
///
/// The file cannot be read or is damaged.
pub fn load_file<T: DeserializeOwned>(folder: &Path, name: &str) -> Result<Option<T>, DiskError> {
    let path = folder.join(name);
    let Some(bytes) = read(&path)? else {
        return Ok(None);
    };
    match decode(&bytes) {
        Some((value, _)) => Ok(Some(value)),
        None => Err(DiskError::Damaged {
            file: path,
            offset: 0,
        }),
    }
}

/// Replaces a file atomically and durably. On failure the previous file is kept.
fn replace(folder: &Path, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
    let path = folder.join(name);
    let temporary = folder.join(format!("{name}.new"));
    let mut file = io_result("create", &temporary, File::create(&temporary))?;
    io_result("write", &temporary, file.write_all(bytes))?;
    io_result("sync", &temporary, file.sync_all())?;
    io_result("replace", &path, fs::rename(&temporary, &path))?;
    sync_folder(folder)
}

fn sync_folder(folder: &Path) -> Result<(), DiskError> {
    let opened = io_result("open", folder, File::open(folder))?;
    io_result("sync", folder, opened.sync_all())
}

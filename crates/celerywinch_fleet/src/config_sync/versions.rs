//! The recent versions of the configuration, kept to be sent to other processes.

use std::time::Duration;

use celerywinch_registry::VersionedDocument;
use celerywinch_types::{Chunk, Time, stable_hash};

use super::transfer::CHUNK_SIZE;

/// Maximum number of versions. Transfers of earlier versions can complete: with a change every 0.33 s four versions span
/// more than 1 s, and a version that is still requested is kept.
const MAX_VERSIONS: usize = 4;
/// Time after which an earlier version that was not requested is dropped.
const RETENTION: Duration = Duration::from_secs(10);

/// A version and its last use.
#[derive(Debug)]
struct StoredVersion {
    document: VersionedDocument,
    digest: u64,
    /// When it was last requested, or else received.
    last_request: Time,
}

/// Recent versions, the newest last.
#[derive(Debug, Default)]
pub(super) struct RecentVersions {
    versions: Vec<StoredVersion>,
}

impl RecentVersions {
    /// Returns the version in force, or 0 if there is none.
    pub(super) fn version(&self) -> u64 {
        self.versions
            .last()
            .map_or(0, |stored| stored.document.version)
    }

    /// Adds a version if it is newer than the one in force. Beyond `MAX_VERSIONS` the least recently requested one is
    /// dropped.
    pub(super) fn add(&mut self, now: Time, document: VersionedDocument) {
        if document.version <= self.version() {
            return;
        }
        let digest = stable_hash(&document.document);
        let stored = StoredVersion {
            document,
            digest,
            last_request: now,
        };
        self.versions.push(stored);
        if self.versions.len() > MAX_VERSIONS {
            let earlier = &self.versions[..MAX_VERSIONS];
            let oldest = (0..MAX_VERSIONS).min_by_key(|at| earlier[*at].last_request);
            self.versions.remove(oldest.unwrap_or(0));
        }
    }

    /// Drops earlier versions that were not requested for `RETENTION`.
    pub(super) fn remove_expired(&mut self, now: Time) {
        let version = self.version();
        let keep = |stored: &StoredVersion| {
            stored.document.version == version || now.since(stored.last_request) <= RETENTION
        };
        self.versions.retain(keep);
    }

    /// Returns the chunk of a version at an offset, or `None` if the version is not kept or ends there.
    pub(super) fn chunk(&mut self, now: Time, version: u64, offset: u64) -> Option<Chunk> {
        let mut versions = self.versions.iter_mut();
        let stored = versions.find(|stored| stored.document.version == version)?;
        let document = &stored.document.document;
        let rest = document.get(usize::try_from(offset).ok()?..)?;
        if rest.is_empty() {
            return None;
        }
        stored.last_request = now;
        Some(Chunk {
            version,
            total: document.len() as u64,
            digest: stored.digest,
            offset,
            bytes: rest[..rest.len().min(CHUNK_SIZE)].to_vec(),
        })
    }
}

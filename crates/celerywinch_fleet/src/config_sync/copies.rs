//! The versions that a process can send.

use std::time::Duration;

use celerywinch_registry::VersionedDocument;
use celerywinch_types::{Chunk, Time, stable_hash};

use super::transfer::PIECE;

/// The most versions. A transfer that began with an earlier one can end: with a change each 0.33 s that is over 1 s of
/// its way, and what is asked for stays.
const COPIES: usize = 4;
/// An earlier version that nobody asked for during this time is dropped.
const KEEP: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Copy {
    held: VersionedDocument,
    digest: u64,
    /// When it was asked for last, or came.
    asked: Time,
}

/// The last versions, the newest at the end.
#[derive(Debug, Default)]
pub(super) struct Copies {
    copies: Vec<Copy>,
}

impl Copies {
    /// The version in force; 0 if none is.
    pub(super) fn version(&self) -> u64 {
        self.copies.last().map_or(0, |copy| copy.held.version)
    }

    /// Takes a version, if it is newer.
    pub(super) fn add(&mut self, now: Time, held: VersionedDocument) {
        if held.version <= self.version() {
            return;
        }
        let digest = stable_hash(&held.document);
        let copy = Copy {
            held,
            digest,
            asked: now,
        };
        self.copies.push(copy);
        if self.copies.len() > COPIES {
            let earlier = &self.copies[..COPIES];
            let least = (0..COPIES).min_by_key(|at| earlier[*at].asked);
            self.copies.remove(least.unwrap_or(0));
        }
    }

    /// Drops earlier versions that nobody asks for.
    pub(super) fn forget(&mut self, now: Time) {
        let version = self.version();
        let wanted = |copy: &Copy| copy.held.version == version || now.since(copy.asked) <= KEEP;
        self.copies.retain(wanted);
    }

    /// A piece of a version; none if that, or a piece of it, is not here.
    pub(super) fn piece(&mut self, now: Time, version: u64, offset: u64) -> Option<Chunk> {
        let mut copies = self.copies.iter_mut();
        let copy = copies.find(|copy| copy.held.version == version)?;
        let document = &copy.held.document;
        let rest = document.get(usize::try_from(offset).ok()?..)?;
        if rest.is_empty() {
            return None;
        }
        copy.asked = now;
        Some(Chunk {
            version,
            total: document.len() as u64,
            digest: copy.digest,
            offset,
            bytes: rest[..rest.len().min(PIECE)].to_vec(),
        })
    }
}

//! A document that is on its way.

use std::collections::BTreeSet;
use std::time::Duration;

use celerywinch_registry::Held;
use celerywinch_types::{InstanceId, Piece, SpreadMsg, Time, stable_hash};

use super::SpreadOutput;

/// Bytes of a piece: 5 ms of a link of 25 Mbit/s, in which heartbeats wait, and 65 ms of one of 2 Mbit/s. Smaller ones
/// would take longer for their round trips than for their bytes.
pub(super) const PIECE: usize = 16 << 10;
/// The largest document, in bytes: as long as a message of a link may be.
const LARGEST: u64 = 64 << 20;
/// The shortest and the longest wait for a piece. A process with an eighth of a core stands still for tens of ms when
/// several requests come at once; 1.2 s is twice what a piece takes on a link of 2 Mbit/s with all its traffic.
const LEAST: Duration = Duration::from_millis(150);
const MOST: Duration = Duration::from_millis(1_200);
/// A piece is waited for so many times as long as the one before it took.
const PATIENCE: u32 = 4;

/// What came of a piece.
#[derive(Debug)]
pub(super) enum Taken {
    /// More are to come.
    More,
    /// It was the last one.
    Whole,
    /// The transfer cannot go on with what was sent.
    Bad(&'static str),
}

/// A document that is on its way, piece by piece.
#[derive(Debug)]
pub(super) struct Transfer {
    pub(super) version: u64,
    /// Who is asked for the next piece.
    pub(super) source: InstanceId,
    /// When the version was first heard of.
    pub(super) first: Time,
    asked: BTreeSet<InstanceId>,
    /// When the next piece was asked for: first, and last.
    since: Time,
    last: Time,
    patience: Duration,
    misses: u32,
    /// Length and hash of the whole, as the first piece tells them.
    shape: Option<(u64, u64)>,
    /// Grows with what has come; the length that is told is only compared.
    document: Vec<u8>,
}

impl Transfer {
    pub(super) fn new(version: u64, source: InstanceId, first: Time, now: Time) -> Self {
        Self {
            version,
            source,
            first,
            asked: BTreeSet::from([source]),
            since: now,
            last: now,
            patience: LEAST,
            misses: 0,
            shape: None,
            document: Vec::new(),
        }
    }

    /// Bytes that are here.
    pub(super) fn offset(&self) -> u64 {
        self.document.len() as u64
    }

    /// How many processes were asked.
    pub(super) fn sources(&self) -> usize {
        self.asked.len()
    }

    /// The request for the next piece.
    pub(super) fn want(&self) -> SpreadOutput {
        let msg = SpreadMsg::Want {
            version: self.version,
            offset: self.offset(),
        };
        SpreadOutput::Send(self.source, msg)
    }

    /// The next piece is asked for, or asked for again.
    pub(super) fn ask(&mut self, now: Time, source: InstanceId) {
        self.source = source;
        self.asked.insert(source);
        self.last = now;
    }

    pub(super) fn is_overdue(&self, now: Time) -> bool {
        now.since(self.last) >= self.patience
    }

    /// The piece did not come in time; how many in a row that makes. Once each source may have been asked in vain, the
    /// link may be slower than was thought.
    pub(super) fn miss(&mut self, now: Time) -> u32 {
        self.misses += 1;
        if now.since(self.since) >= MOST {
            self.patience = (self.patience * 2).min(MOST);
        }
        self.misses
    }

    /// Whether a piece is the one that is waited for.
    pub(super) fn is_next(&self, piece: &Piece) -> bool {
        piece.version == self.version && piece.offset == self.offset()
    }

    /// Takes the next piece.
    pub(super) fn take(&mut self, now: Time, piece: Piece) -> Taken {
        let shape = (piece.total, piece.digest);
        if *self.shape.get_or_insert(shape) != shape {
            return Taken::Bad("pieces of two documents");
        }
        let bytes = piece.bytes.len();
        let end = self.offset() + bytes as u64;
        if bytes == 0 || bytes > PIECE || end > piece.total || piece.total > LARGEST {
            return Taken::Bad("lengths do not fit");
        }
        self.document.extend_from_slice(&piece.bytes);
        self.misses = 0;
        self.patience = (now.since(self.since) * PATIENCE).clamp(LEAST, MOST);
        self.since = now;
        if end < piece.total {
            Taken::More
        } else if stable_hash(&self.document) == piece.digest {
            Taken::Whole
        } else {
            Taken::Bad("another hash")
        }
    }

    pub(super) fn into_held(self) -> Held {
        Held {
            version: self.version,
            document: self.document,
        }
    }
}

//! A document that is on its way.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celerywinch_registry::VersionedDocument;
use celerywinch_types::{Chunk, ConfigMsg, InstanceId, Time, stable_hash};

use super::ConfigSyncOutput;

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

/// The most pieces that are asked for at once. Where both ends are busy a piece takes as long as they wait for their processors,
/// whatever the link carries: one after the other, 14 pieces took 1.8 s.
const MOST_PIECES: u64 = 8;
/// What is asked for at once may take the link for so long, beside the piece that is.
const LINK_TIME: Duration = Duration::from_millis(10);

/// Bytes that are asked for at once on a link that carries so many a second; none for no bound.
pub(super) fn window(link: Option<f64>) -> u64 {
    let piece = PIECE as u64;
    let pieces = link.map_or(MOST_PIECES, |link| {
        (link * LINK_TIME.as_secs_f64()) as u64 / piece
    });
    pieces.clamp(1, MOST_PIECES) * piece
}

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
    /// Pieces that were asked for and have not come, by their offsets, and when that was.
    open: BTreeMap<u64, Time>,
    /// When the last piece came, or the first was asked for.
    since: Time,
    /// When pieces were last asked for again.
    last: Time,
    patience: Duration,
    misses: u32,
    /// Length and hash of the whole, as the first piece tells them.
    shape: Option<(u64, u64)>,
    /// Grows with what has come; the length that is told is only compared.
    document: Vec<u8>,
    /// Pieces that came before the next one.
    ahead: BTreeMap<u64, Vec<u8>>,
}

impl Transfer {
    pub(super) fn new(version: u64, source: InstanceId, first: Time, now: Time) -> Self {
        Self {
            version,
            source,
            first,
            asked: BTreeSet::from([source]),
            open: BTreeMap::new(),
            since: now,
            last: now,
            patience: LEAST,
            misses: 0,
            shape: None,
            document: Vec::new(),
            ahead: BTreeMap::new(),
        }
    }

    /// Bytes that are here, from the first on.
    pub(super) fn offset(&self) -> u64 {
        self.document.len() as u64
    }

    /// Bytes that are not here yet; none before the first piece has come.
    pub(super) fn left(&self) -> Option<u64> {
        let (total, _) = self.shape?;
        Some(total - self.offset())
    }

    /// How many processes were asked.
    pub(super) fn sources(&self) -> usize {
        self.asked.len()
    }

    /// Asks for the first piece, or for those that follow within so many bytes and were not asked for yet.
    pub(super) fn ask(&mut self, now: Time, window: u64, out: &mut Vec<ConfigSyncOutput>) {
        let piece = PIECE as u64;
        let start = self.offset();
        let end = match self.shape {
            Some((total, _)) => total.min(start + window),
            None => piece,
        };
        for offset in (start..end).step_by(PIECE) {
            if self.open.contains_key(&offset) || self.ahead.contains_key(&offset) {
                continue;
            }
            self.open.insert(offset, now);
            self.asked.insert(self.source);
            let version = self.version;
            let msg = ConfigMsg::Request { version, offset };
            out.push(ConfigSyncOutput::Send(self.source, msg));
        }
    }

    /// What was asked for and did not come is asked for again.
    pub(super) fn ask_again(&mut self, now: Time, window: u64, out: &mut Vec<ConfigSyncOutput>) {
        self.open.clear();
        self.last = now;
        self.ask(now, window, out);
    }

    pub(super) fn is_overdue(&self, now: Time) -> bool {
        let waits = now.since(self.since.max(self.last));
        !self.open.is_empty() && waits >= self.patience
    }

    /// No piece came in time; how often in a row that makes. Once each source may have been asked in vain, the
    /// link may be slower than was thought.
    pub(super) fn miss(&mut self, now: Time) -> u32 {
        self.misses += 1;
        if now.since(self.since) >= MOST {
            self.patience = (self.patience * 2).min(MOST);
        }
        self.misses
    }

    /// Whether a piece is one that was asked for and is not here.
    pub(super) fn lacks(&self, piece: &Chunk) -> bool {
        let next = piece.offset == self.offset();
        piece.version == self.version && (next || self.open.contains_key(&piece.offset))
    }

    /// Takes a piece that was asked for.
    pub(super) fn take(&mut self, now: Time, piece: Chunk) -> Taken {
        let shape = (piece.total, piece.digest);
        if *self.shape.get_or_insert(shape) != shape {
            return Taken::Bad("pieces of two documents");
        }
        let bytes = piece.bytes.len();
        let end = piece.offset + bytes as u64;
        let whole = bytes == PIECE || end == piece.total;
        let fits = whole && end <= piece.total && piece.total <= LARGEST;
        if bytes == 0 || bytes > PIECE || !fits {
            return Taken::Bad("lengths do not fit");
        }
        let asked = self.open.remove(&piece.offset).unwrap_or(self.since);
        self.patience = (now.since(asked) * PATIENCE).clamp(LEAST, MOST);
        self.misses = 0;
        self.since = now;
        self.ahead.insert(piece.offset, piece.bytes);
        while let Some(bytes) = self.ahead.remove(&self.offset()) {
            self.document.extend_from_slice(&bytes);
        }
        if self.offset() < piece.total {
            Taken::More
        } else if stable_hash(&self.document) == piece.digest {
            Taken::Whole
        } else {
            Taken::Bad("another hash")
        }
    }

    pub(super) fn into_held(self) -> VersionedDocument {
        VersionedDocument {
            version: self.version,
            document: self.document,
        }
    }
}

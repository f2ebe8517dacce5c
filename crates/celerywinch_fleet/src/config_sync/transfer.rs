//! The transfer of one document.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celerywinch_registry::VersionedDocument;
use celerywinch_types::{Chunk, ConfigMsg, InstanceId, Time, stable_hash};

use super::ConfigSyncOutput;

/// Size of a chunk, in bytes. Heartbeats wait behind one for 5 ms on a link of 25 Mbit/s, and for 65 ms at 2 Mbit/s. The
/// round trip of a smaller chunk would take longer than its bytes.
pub(super) const CHUNK_SIZE: usize = 16 << 10;
/// Maximum size of a document, in bytes: the largest message that a link carries.
const MAX_DOCUMENT_SIZE: u64 = 64 << 20;
/// Minimum time-out of a chunk. A process with an eighth of a core pauses for tens of ms when several requests arrive at
/// once.
const MIN_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum time-out of a chunk: twice the time that one takes on a link of 2 Mbit/s with all its traffic.
const MAX_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Ratio of a chunk's time-out to the time that the previous chunk took.
const TIMEOUT_FACTOR: u32 = 4;

/// Maximum number of outstanding chunks. On busy machines a chunk takes as long as both ends wait for their processors,
/// whatever the rate of the link: requested one after the other, 14 chunks took 1.8 s.
const MAX_WINDOW_CHUNKS: u64 = 8;
/// Maximum time that the window of outstanding chunks may occupy the link for. One chunk is always allowed.
const WINDOW_TIME: Duration = Duration::from_millis(10);

/// Returns the window of outstanding chunks, in bytes, on a link of this rate in bytes per second; `None` means unlimited.
pub(super) fn window(link_rate: Option<f64>) -> u64 {
    let chunk_size = CHUNK_SIZE as u64;
    let chunks = link_rate.map_or(MAX_WINDOW_CHUNKS, |rate| {
        (rate * WINDOW_TIME.as_secs_f64()) as u64 / chunk_size
    });
    chunks.clamp(1, MAX_WINDOW_CHUNKS) * chunk_size
}

/// The result of adding a chunk.
#[derive(Debug)]
pub(super) enum ChunkOutcome {
    /// Further chunks are needed.
    Incomplete,
    /// The document is complete.
    Complete,
    /// The transfer has to be dropped, for this reason.
    Invalid(&'static str),
}

/// The transfer of one version, in chunks.
#[derive(Debug)]
pub(super) struct Transfer {
    pub(super) version: u64,
    /// The process that the next chunk is requested from.
    pub(super) source: InstanceId,
    /// When a heartbeat first reported the version.
    pub(super) first_seen: Time,
    /// All processes that chunks were requested from.
    sources: BTreeSet<InstanceId>,
    /// Chunks that were requested and not received, by offset, and when they were requested.
    outstanding: BTreeMap<u64, Time>,
    /// When the last chunk was received, or the first requested.
    last_progress: Time,
    /// When chunks were last requested again.
    last_retry: Time,
    timeout: Duration,
    /// Number of consecutive time-outs.
    timeout_count: u32,
    /// The size in bytes and the hash of the document, as stated by the first chunk.
    expected: Option<(u64, u64)>,
    /// The contiguous bytes received so far. The stated size is only compared, never allocated.
    document: Vec<u8>,
    /// Chunks that were received out of order, by offset.
    buffered: BTreeMap<u64, Vec<u8>>,
}

impl Transfer {
    pub(super) fn new(version: u64, source: InstanceId, first_seen: Time, now: Time) -> Self {
        Self {
            version,
            source,
            first_seen,
            sources: BTreeSet::from([source]),
            outstanding: BTreeMap::new(),
            last_progress: now,
            last_retry: now,
            timeout: MIN_TIMEOUT,
            timeout_count: 0,
            expected: None,
            document: Vec::new(),
            buffered: BTreeMap::new(),
        }
    }

    /// Returns the number of contiguous bytes received.
    pub(super) fn offset(&self) -> u64 {
        self.document.len() as u64
    }

    /// Returns the number of bytes still missing, or `None` before the first chunk.
    pub(super) fn remaining(&self) -> Option<u64> {
        let (total, _) = self.expected?;
        Some(total - self.offset())
    }

    /// Returns the number of processes that chunks were requested from.
    pub(super) fn source_count(&self) -> usize {
        self.sources.len()
    }

    /// Requests the first chunk, or those within the next `window` bytes that were not requested yet.
    pub(super) fn request_chunks(
        &mut self,
        now: Time,
        window: u64,
        out: &mut Vec<ConfigSyncOutput>,
    ) {
        let chunk_size = CHUNK_SIZE as u64;
        let start = self.offset();
        let end = match self.expected {
            Some((total, _)) => total.min(start + window),
            None => chunk_size,
        };
        for offset in (start..end).step_by(CHUNK_SIZE) {
            if self.outstanding.contains_key(&offset) || self.buffered.contains_key(&offset) {
                continue;
            }
            self.outstanding.insert(offset, now);
            self.sources.insert(self.source);
            let version = self.version;
            let msg = ConfigMsg::Request { version, offset };
            out.push(ConfigSyncOutput::Send(self.source, msg));
        }
    }

    /// Requests all outstanding chunks again.
    pub(super) fn request_again(
        &mut self,
        now: Time,
        window: u64,
        out: &mut Vec<ConfigSyncOutput>,
    ) {
        self.outstanding.clear();
        self.last_retry = now;
        self.request_chunks(now, window, out);
    }

    pub(super) fn is_overdue(&self, now: Time) -> bool {
        let waited = now.since(self.last_progress.max(self.last_retry));
        !self.outstanding.is_empty() && waited >= self.timeout
    }

    /// Records that no chunk arrived in time, and returns the number of consecutive time-outs. Once nothing has arrived for
    /// `MAX_TIMEOUT`, the time-out is doubled, as the link may be slower than assumed rather than its sources unresponsive.
    pub(super) fn record_timeout(&mut self, now: Time) -> u32 {
        self.timeout_count += 1;
        if now.since(self.last_progress) >= MAX_TIMEOUT {
            self.timeout = (self.timeout * 2).min(MAX_TIMEOUT);
        }
        self.timeout_count
    }

    /// Returns whether the chunk belongs to this version and is the next one or outstanding.
    pub(super) fn accepts(&self, chunk: &Chunk) -> bool {
        let next = chunk.offset == self.offset();
        chunk.version == self.version && (next || self.outstanding.contains_key(&chunk.offset))
    }

    /// Adds a chunk for which [`accepts`](Self::accepts) holds.
    pub(super) fn add_chunk(&mut self, now: Time, chunk: Chunk) -> ChunkOutcome {
        let expected = (chunk.total, chunk.digest);
        if *self.expected.get_or_insert(expected) != expected {
            return ChunkOutcome::Invalid("pieces of two documents");
        }
        let bytes = chunk.bytes.len();
        let end = chunk.offset + bytes as u64;
        let full = bytes == CHUNK_SIZE || end == chunk.total;
        let fits = full && end <= chunk.total && chunk.total <= MAX_DOCUMENT_SIZE;
        if bytes == 0 || bytes > CHUNK_SIZE || !fits {
            return ChunkOutcome::Invalid("lengths do not fit");
        }
        let requested = self
            .outstanding
            .remove(&chunk.offset)
            .unwrap_or(self.last_progress);
        self.timeout = (now.since(requested) * TIMEOUT_FACTOR).clamp(MIN_TIMEOUT, MAX_TIMEOUT);
        self.timeout_count = 0;
        self.last_progress = now;
        self.buffered.insert(chunk.offset, chunk.bytes);
        while let Some(bytes) = self.buffered.remove(&self.offset()) {
            self.document.extend_from_slice(&bytes);
        }
        if self.offset() < chunk.total {
            ChunkOutcome::Incomplete
        } else if stable_hash(&self.document) == chunk.digest {
            ChunkOutcome::Complete
        } else {
            ChunkOutcome::Invalid("another hash")
        }
    }

    pub(super) fn into_document(self) -> VersionedDocument {
        VersionedDocument {
            version: self.version,
            document: self.document,
        }
    }
}

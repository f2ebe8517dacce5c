//! Distribution of the configuration from the keepers to the entries.
//!
//! A keeper announces a new version by sending heartbeats as soon as it is in force. An entry fetches the document in
//! chunks and has only a few of them outstanding, as heartbeats and answers of workers wait behind these on its link. If a
//! newer version is announced meanwhile, its first chunk is fetched as well, and the transfer with fewer remaining bytes
//! is continued. [`ConfigSync`] is a state machine without clock or socket.

mod transfer;
mod versions;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use celerywinch_registry::VersionedDocument;
use celerywinch_types::{Chunk, ConfigMsg, DataCentreId, InstanceId, ProcessKind, Time, score};
use serde::Serialize;

use transfer::{CHUNK_SIZE, ChunkOutcome, Transfer, window};
use versions::RecentVersions;

/// Time without a heartbeat after which a process is not used as a source: three and a half intervals of slow heartbeats.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_750);
/// Time for which a source that missed a time-out ranks behind all others. During a transfer the rank doesn't expire.
/// Pauses of a process and resets of links are shorter.
const AVOID_PERIOD: Duration = Duration::from_secs(2);
/// Number of consecutive time-outs after which a transfer is dropped in favour of the newest version that a live peer
/// has: no process may have the version under way any more.
const MAX_TIMEOUTS: u32 = 2;

/// The state of a peer, as reported by its heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// The peer.
    pub instance: InstanceId,
    /// Its kind.
    pub kind: ProcessKind,
    /// Its data centre.
    pub dc: DataCentreId,
    /// The version in force there.
    pub version: u64,
}

/// An input of [`ConfigSync`].
#[derive(Clone, Debug)]
pub enum ConfigSyncInput {
    /// A heartbeat arrived.
    Heartbeat(PeerStatus),
    /// The peer's machine refused a connection, as no process listens there.
    ConnectionRefused(InstanceId),
    /// A message from a peer arrived.
    Message(InstanceId, ConfigMsg),
    /// The document is now in force at this process.
    InForce(VersionedDocument),
    /// The document of this version cannot be parsed by this process.
    Unreadable(u64),
    /// Time passed.
    Tick,
}

/// An action that the host has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigSyncOutput {
    /// Send a message to a peer.
    Send(InstanceId, ConfigMsg),
    /// Send heartbeats to these entries at once, as a new version is in force here.
    SendHeartbeats(Vec<InstanceId>),
    /// A document was received completely: parse it and put it in force.
    Fetched(VersionedDocument),
    /// Log an event.
    Event(ConfigSyncEvent),
}

/// A decision, as one structured log line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum ConfigSyncEvent {
    /// A transfer started.
    DocumentBegun {
        /// The version.
        version: u64,
        /// The process that it is requested from.
        source: InstanceId,
    },
    /// The source of a transfer was changed.
    DocumentMoved {
        /// The version.
        version: u64,
        /// The previous source.
        from: InstanceId,
        /// The new source.
        to: InstanceId,
        /// Number of bytes received so far.
        offset: u64,
        /// Whether the previous source missed a time-out.
        silent: bool,
    },
    /// A transfer was completed.
    DocumentWhole {
        /// The version.
        version: u64,
        /// The size of the document, in bytes.
        bytes: u64,
        /// Time since the version was first announced, in ms.
        took: u32,
        /// Number of processes that chunks were requested from.
        sources: usize,
    },
    /// A transfer was dropped before its end.
    DocumentDropped {
        /// The version.
        version: u64,
        /// The process that sent the last chunk or missed the time-out.
        source: InstanceId,
        /// Number of bytes received until then.
        offset: u64,
        /// The reason.
        reason: &'static str,
    },
    /// A process requested a chunk that this process doesn't have.
    DocumentUnknown {
        /// The requester.
        from: InstanceId,
        /// The requested version.
        version: u64,
        /// The first requested byte.
        offset: u64,
    },
}

/// The versions of the configuration at this process, its transfers, and the versions of its peers.
#[derive(Debug)]
pub struct ConfigSync {
    me: InstanceId,
    kind: ProcessKind,
    dc: DataCentreId,
    versions: RecentVersions,
    peers: BTreeMap<InstanceId, (PeerStatus, Time)>,
    /// Sources that missed a time-out, and when.
    timed_out: BTreeMap<InstanceId, Time>,
    /// The highest version that a heartbeat reported, and when it was first reported.
    newest_seen: (u64, Time),
    /// The highest version that this process cannot parse.
    unreadable: u64,
    /// The transfer under way, followed by at most one of a newer version.
    transfers: Vec<Transfer>,
    /// Maximum number of bytes past those received for which chunks are requested.
    window: u64,
}

impl ConfigSync {
    /// Creates the state of a process that knows no version and no peer.
    #[must_use]
    pub fn new(me: InstanceId, kind: ProcessKind, dc: DataCentreId) -> Self {
        Self {
            me,
            kind,
            dc,
            versions: RecentVersions::default(),
            peers: BTreeMap::new(),
            timed_out: BTreeMap::new(),
            newest_seen: (0, Time::default()),
            unreadable: 0,
            transfers: Vec::new(),
            window: CHUNK_SIZE as u64,
        }
    }

    /// Sizes the window of outstanding chunks by the rate of the link, in bytes per second; `None` means unlimited. The
    /// default is one chunk.
    #[must_use]
    pub fn with_link_rate(mut self, link_rate: Option<f64>) -> Self {
        self.window = window(link_rate);
        self
    }

    /// Returns the version in force, or 0 if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.versions.version()
    }

    /// Handles an input and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, input: ConfigSyncInput, out: &mut Vec<ConfigSyncOutput>) {
        match input {
            ConfigSyncInput::Heartbeat(status) => self.record_status(now, status, out),
            ConfigSyncInput::ConnectionRefused(peer) => {
                self.peers.remove(&peer);
            }
            ConfigSyncInput::Message(from, ConfigMsg::Request { version, offset }) => {
                self.send_chunk(now, from, version, offset, out);
            }
            ConfigSyncInput::Message(from, ConfigMsg::Chunk(chunk)) => {
                self.handle_chunk(now, from, chunk, out);
            }
            ConfigSyncInput::InForce(document) => self.put_in_force(now, document, out),
            ConfigSyncInput::Unreadable(version) => self.unreadable = self.unreadable.max(version),
            ConfigSyncInput::Tick => self.tick(now, out),
        }
    }

    fn record_status(&mut self, now: Time, status: PeerStatus, out: &mut Vec<ConfigSyncOutput>) {
        self.peers.insert(status.instance, (status, now));
        if status.version > self.newest_seen.0 {
            self.newest_seen = (status.version, now);
        }
        if status.version > self.version() {
            self.start_newest(now, out);
        }
    }

    fn put_in_force(
        &mut self,
        now: Time,
        document: VersionedDocument,
        out: &mut Vec<ConfigSyncOutput>,
    ) {
        let version = document.version;
        self.versions.add(now, document);
        self.transfers.retain(|t| t.version > version);
        if self.kind == ProcessKind::Keeper {
            let peers = self.live_peers(now);
            let entries = peers.filter(|status| status.kind == ProcessKind::Entry);
            let entries = entries.map(|status| status.instance).collect();
            out.push(ConfigSyncOutput::SendHeartbeats(entries));
        }
        self.start_newest(now, out);
        self.continue_transfers(now, out);
    }

    fn tick(&mut self, now: Time, out: &mut Vec<ConfigSyncOutput>) {
        self.peers
            .retain(|_, (_, at)| now.since(*at) <= PEER_TIMEOUT);
        // During a transfer these entries don't expire. With several unresponsive sources, the entry of the first would
        // expire before the last has timed out, so they would be tried in turn for ever and a working source never.
        if self.transfers.is_empty() {
            self.timed_out
                .retain(|_, at| now.since(*at) <= AVOID_PERIOD);
        }
        self.versions.remove_expired(now);
        self.check_timeouts(now, out);
        self.start_newest(now, out);
    }

    /// Answers a request with the chunk, or logs that it isn't available.
    fn send_chunk(
        &mut self,
        now: Time,
        from: InstanceId,
        version: u64,
        offset: u64,
        out: &mut Vec<ConfigSyncOutput>,
    ) {
        out.push(match self.versions.chunk(now, version, offset) {
            Some(chunk) => ConfigSyncOutput::Send(from, ConfigMsg::Chunk(chunk)),
            None => ConfigSyncOutput::Event(ConfigSyncEvent::DocumentUnknown {
                from,
                version,
                offset,
            }),
        });
    }

    /// Starts to fetch the newest version, if it is newer than those in force and under way. The first transfer continues
    /// and is dropped only for one with fewer remaining bytes: with changes in quick succession none would end otherwise.
    fn start_newest(&mut self, now: Time, out: &mut Vec<ConfigSyncOutput>) {
        if self.kind == ProcessKind::Keeper {
            return;
        }
        let version = self.newest_version(now);
        let latest = self.transfers.last().map_or(0, |t| t.version);
        if version <= self.version().max(self.unreadable).max(latest) {
            return;
        }
        let Some(source) = self.best_source(now, version) else {
            return;
        };
        let first_seen = if self.newest_seen.0 == version {
            self.newest_seen.1
        } else {
            now
        };
        let mut transfer = Transfer::new(version, source, first_seen, now);
        out.push(ConfigSyncOutput::Event(ConfigSyncEvent::DocumentBegun {
            version,
            source,
        }));
        transfer.request_chunks(now, self.window, out);
        self.transfers.truncate(1);
        self.transfers.push(transfer);
    }

    /// Adds a chunk to its transfer, from any sender and also after its time-out.
    fn handle_chunk(
        &mut self,
        now: Time,
        from: InstanceId,
        chunk: Chunk,
        out: &mut Vec<ConfigSyncOutput>,
    ) {
        let Some(at) = self.transfers.iter().position(|t| t.accepts(&chunk)) else {
            return;
        };
        match self.transfers[at].add_chunk(now, chunk) {
            ChunkOutcome::Incomplete => {
                self.timed_out.remove(&from);
                self.continue_transfers(now, out);
            }
            ChunkOutcome::Complete => {
                self.timed_out.remove(&from);
                self.finish(now, at, out);
            }
            ChunkOutcome::Invalid(reason) => {
                self.timed_out.insert(from, now);
                self.abort_transfer(at, from, reason, out);
                self.continue_transfers(now, out);
            }
        }
    }

    /// Requests the next chunks of the older transfer, or of the newer one if that has fewer remaining bytes. The number of
    /// remaining bytes never rises by this choice, so a transfer completes, however often newer versions are announced.
    fn continue_transfers(&mut self, now: Time, out: &mut Vec<ConfigSyncOutput>) {
        if let [older, newer] = &self.transfers[..]
            && let Some(remaining) = newer.remaining()
            && older.remaining().is_none_or(|older| remaining < older)
        {
            self.abort_transfer(0, self.transfers[0].source, "overtaken", out);
        }
        if !self.transfers.is_empty() {
            self.choose_source(now, 0, false, out);
            self.transfers[0].request_chunks(now, self.window, out);
        }
    }

    fn finish(&mut self, now: Time, at: usize, out: &mut Vec<ConfigSyncOutput>) {
        let transfer = self.transfers.remove(at);
        let took = now.since(transfer.first_seen).as_millis();
        out.push(ConfigSyncOutput::Event(ConfigSyncEvent::DocumentWhole {
            version: transfer.version,
            bytes: transfer.offset(),
            took: u32::try_from(took).unwrap_or(u32::MAX),
            sources: transfer.source_count(),
        }));
        out.push(ConfigSyncOutput::Fetched(transfer.into_document()));
    }

    /// Handles the time-outs of transfers.
    fn check_timeouts(&mut self, now: Time, out: &mut Vec<ConfigSyncOutput>) {
        for at in (0..self.transfers.len()).rev() {
            if self.transfers[at].is_overdue(now) {
                self.handle_timeout(now, at, out);
            }
        }
    }

    fn handle_timeout(&mut self, now: Time, at: usize, out: &mut Vec<ConfigSyncOutput>) {
        let newest = self.newest_version(now);
        let transfer = &mut self.transfers[at];
        let source = transfer.source;
        let timeouts = transfer.record_timeout(now);
        let version = transfer.version;
        self.timed_out.insert(source, now);
        // Otherwise a version whose only source was lost would block the version below it.
        if timeouts >= MAX_TIMEOUTS && newest != version {
            let reason = if newest > version {
                "overtaken"
            } else {
                "nobody has it"
            };
            self.abort_transfer(at, source, reason, out);
            self.continue_transfers(now, out);
        } else {
            self.choose_source(now, at, true, out);
            self.transfers[at].request_again(now, self.window, out);
        }
    }

    /// Chooses the source of the next chunks. `silent` says whether the current one missed a time-out.
    fn choose_source(
        &mut self,
        now: Time,
        at: usize,
        silent: bool,
        out: &mut Vec<ConfigSyncOutput>,
    ) {
        let version = self.transfers[at].version;
        let best = self.best_source(now, version);
        let transfer = &mut self.transfers[at];
        // Without a live source the current one is kept, as it may be reachable again by then.
        let to = best.unwrap_or(transfer.source);
        let from = std::mem::replace(&mut transfer.source, to);
        if to != from {
            out.push(ConfigSyncOutput::Event(ConfigSyncEvent::DocumentMoved {
                version,
                from,
                to,
                offset: transfer.offset(),
                silent,
            }));
        }
    }

    fn abort_transfer(
        &mut self,
        at: usize,
        source: InstanceId,
        reason: &'static str,
        out: &mut Vec<ConfigSyncOutput>,
    ) {
        let transfer = self.transfers.remove(at);
        out.push(ConfigSyncOutput::Event(ConfigSyncEvent::DocumentDropped {
            version: transfer.version,
            source,
            offset: transfer.offset(),
            reason,
        }));
    }

    fn live_peers(&self, now: Time) -> impl Iterator<Item = &PeerStatus> {
        let peers = self.peers.values();
        peers
            .filter(move |(_, at)| now.since(*at) <= PEER_TIMEOUT)
            .map(|(status, _)| status)
    }

    fn newest_version(&self, now: Time) -> u64 {
        let reported = self.live_peers(now).map(|status| status.version);
        reported.max().unwrap_or(0)
    }

    /// Returns the best source of a version: preferably one that missed no time-out, then a keeper, then a process of this
    /// data centre. Equal candidates are ranked by a hash that distributes the entries over them.
    fn best_source(&self, now: Time, version: u64) -> Option<InstanceId> {
        let sources = self
            .live_peers(now)
            .filter(|status| status.version >= version);
        let rank = |status: &&PeerStatus| {
            let timed_out = self.timed_out.get(&status.instance).copied();
            let other = (status.kind != ProcessKind::Keeper, status.dc != self.dc);
            let score = score(self.me.0.into(), status.instance.0.into());
            (timed_out, other, Reverse(score))
        };
        sources.min_by_key(rank).map(|status| status.instance)
    }
}

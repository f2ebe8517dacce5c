//! How the configuration spreads from the keepers to the entries.
//!
//! Keepers tell at once that a version is in force, by a heartbeat. An entry fetches it in pieces, a few at a time: what is
//! under way is all that heartbeats and answers of workers ever wait behind. Of a version that is heard of meanwhile the first piece
//! is fetched beside that; it goes first if less of it is left. [`ConfigSync`] is a state machine without clock or socket.

mod copies;
mod transfer;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use celerywinch_registry::VersionedDocument;
use celerywinch_types::{Chunk, ConfigMsg, DataCentreId, InstanceId, ProcessKind, Time, score};
use serde::Serialize;

use copies::Copies;
use transfer::{PIECE, Taken, Transfer, window};

/// A process that was not heard for this long is not asked; the window of slow heartbeats.
const HEARD: Duration = Duration::from_millis(1_750);
/// One that sent no piece in time is asked after all others for this long, and as long as the transfer goes on. Pauses of a process and resets of
/// links are shorter.
const SILENT: Duration = Duration::from_secs(2);
/// After so many missed pieces in a row the newest version is asked for: no process may have the one under way.
const MISSES: u32 = 2;

/// What a heartbeat tells of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// The sender.
    pub instance: InstanceId,
    /// What it does.
    pub kind: ProcessKind,
    /// Its data centre.
    pub dc: DataCentreId,
    /// The version that it has in force.
    pub version: u64,
}

/// What happened outside.
#[derive(Clone, Debug)]
pub enum ConfigSyncInput {
    /// A heartbeat.
    Heartbeat(PeerStatus),
    /// No process listens there.
    ConnectionRefused(InstanceId),
    /// A message of another process.
    Message(InstanceId, ConfigMsg),
    /// This document is in force here.
    InForce(VersionedDocument),
    /// The document of this version cannot be read here.
    Unreadable(u64),
    /// Time passed.
    Tick,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigSyncOutput {
    /// Send a message.
    Send(InstanceId, ConfigMsg),
    /// Send heartbeats at once: another version is in force here.
    SendHeartbeats(Vec<InstanceId>),
    /// A document has come: read it, and put it in force.
    Fetched(VersionedDocument),
    /// For the logs.
    Event(ConfigSyncEvent),
}

/// A decision, for the logs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum ConfigSyncEvent {
    /// A transfer begins.
    DocumentBegun {
        /// The version.
        version: u64,
        /// Who is asked.
        source: InstanceId,
    },
    /// It goes on with another source.
    DocumentMoved {
        /// The version.
        version: u64,
        /// Who was asked before.
        from: InstanceId,
        /// Who is asked now.
        to: InstanceId,
        /// Bytes that are here.
        offset: u64,
        /// Whether the one before sent nothing in time.
        silent: bool,
    },
    /// It is done.
    DocumentWhole {
        /// The version.
        version: u64,
        /// Bytes of the document.
        bytes: u64,
        /// Ms since the version was first heard of.
        took: u32,
        /// How many processes were asked.
        sources: usize,
    },
    /// It ends without the document.
    DocumentDropped {
        /// The version.
        version: u64,
        /// Who sent the last piece, or did not.
        source: InstanceId,
        /// Bytes that were here.
        offset: u64,
        /// Why.
        reason: &'static str,
    },
    /// A process asks for what is not here.
    DocumentUnknown {
        /// Who asks.
        from: InstanceId,
        /// For which version.
        version: u64,
        /// From which byte on.
        offset: u64,
    },
}

/// What this process has of the configuration, and what it knows of the others.
#[derive(Debug)]
pub struct ConfigSync {
    me: InstanceId,
    kind: ProcessKind,
    dc: DataCentreId,
    copies: Copies,
    heard: BTreeMap<InstanceId, (PeerStatus, Time)>,
    /// Who sent no piece in time, and when that was.
    silent: BTreeMap<InstanceId, Time>,
    /// The highest version that was heard of, and when it was.
    news: (u64, Time),
    /// The highest version that cannot be read here.
    unreadable: u64,
    /// The transfer that goes on, and one of a newer version that has begun; the older first.
    transfers: Vec<Transfer>,
    /// Bytes that are asked for at once.
    window: u64,
}

impl ConfigSync {
    /// Nothing is known yet.
    #[must_use]
    pub fn new(me: InstanceId, kind: ProcessKind, dc: DataCentreId) -> Self {
        Self {
            me,
            kind,
            dc,
            copies: Copies::default(),
            heard: BTreeMap::new(),
            silent: BTreeMap::new(),
            news: (0, Time::default()),
            unreadable: 0,
            transfers: Vec::new(),
            window: PIECE as u64,
        }
    }

    /// Asks for as many pieces at once as the link carries in a moment; `link` is in bytes a second, none for no bound.
    /// Without this it is one piece.
    #[must_use]
    pub fn with_link_rate(mut self, link: Option<f64>) -> Self {
        self.window = window(link);
        self
    }

    /// The version in force; 0 if none is.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.copies.version()
    }

    /// Takes an input and appends what the host is to do.
    pub fn handle(&mut self, now: Time, input: ConfigSyncInput, out: &mut Vec<ConfigSyncOutput>) {
        match input {
            ConfigSyncInput::Heartbeat(status) => self.heard(now, status, out),
            ConfigSyncInput::ConnectionRefused(peer) => {
                self.heard.remove(&peer);
            }
            ConfigSyncInput::Message(from, ConfigMsg::Request { version, offset }) => {
                self.wanted(now, from, version, offset, out);
            }
            ConfigSyncInput::Message(from, ConfigMsg::Chunk(piece)) => {
                self.piece(now, from, piece, out);
            }
            ConfigSyncInput::InForce(held) => self.hold(now, held, out),
            ConfigSyncInput::Unreadable(version) => self.unreadable = self.unreadable.max(version),
            ConfigSyncInput::Tick => self.tick(now, out),
        }
    }

    fn heard(&mut self, now: Time, status: PeerStatus, out: &mut Vec<ConfigSyncOutput>) {
        self.heard.insert(status.instance, (status, now));
        if status.version > self.news.0 {
            self.news = (status.version, now);
        }
        if status.version > self.version() {
            self.begin(now, out);
        }
    }

    fn hold(&mut self, now: Time, held: VersionedDocument, out: &mut Vec<ConfigSyncOutput>) {
        let version = held.version;
        self.copies.add(now, held);
        self.transfers.retain(|t| t.version > version);
        if self.kind == ProcessKind::Keeper {
            let heard = self.alive(now);
            let entries = heard.filter(|status| status.kind == ProcessKind::Entry);
            let entries = entries.map(|status| status.instance).collect();
            out.push(ConfigSyncOutput::SendHeartbeats(entries));
        }
        self.begin(now, out);
        self.proceed(now, out);
    }

    fn tick(&mut self, now: Time, out: &mut Vec<ConfigSyncOutput>) {
        self.heard.retain(|_, (_, at)| now.since(*at) <= HEARD);
        // While a transfer goes on, who has not sent stays behind who was not asked since: with several such
        // sources, a mark that ended before the last of them was given up would bring the first one back, for ever.
        if self.transfers.is_empty() {
            self.silent.retain(|_, at| now.since(*at) <= SILENT);
        }
        self.copies.forget(now);
        self.miss(now, out);
        self.begin(now, out);
    }

    /// Sends a piece to a process that asks for it.
    fn wanted(
        &mut self,
        now: Time,
        from: InstanceId,
        version: u64,
        offset: u64,
        out: &mut Vec<ConfigSyncOutput>,
    ) {
        out.push(match self.copies.piece(now, version, offset) {
            Some(piece) => ConfigSyncOutput::Send(from, ConfigMsg::Chunk(piece)),
            None => ConfigSyncOutput::Event(ConfigSyncEvent::DocumentUnknown {
                from,
                version,
                offset,
            }),
        });
    }

    /// Begins to fetch the newest version, if there is a newer one than the one here. The transfer under way goes on, and only
    /// gives way to one that has less left: with changes in quick succession none would end else.
    fn begin(&mut self, now: Time, out: &mut Vec<ConfigSyncOutput>) {
        if self.kind == ProcessKind::Keeper {
            return;
        }
        let version = self.newest(now);
        let latest = self.transfers.last().map_or(0, |t| t.version);
        if version <= self.version().max(self.unreadable).max(latest) {
            return;
        }
        let Some(source) = self.best(now, version) else {
            return;
        };
        let first = if self.news.0 == version {
            self.news.1
        } else {
            now
        };
        let mut transfer = Transfer::new(version, source, first, now);
        out.push(ConfigSyncOutput::Event(ConfigSyncEvent::DocumentBegun {
            version,
            source,
        }));
        transfer.ask(now, self.window, out);
        self.transfers.truncate(1);
        self.transfers.push(transfer);
    }

    /// A piece that was not waited for any more counts too, whoever sent it.
    fn piece(
        &mut self,
        now: Time,
        from: InstanceId,
        piece: Chunk,
        out: &mut Vec<ConfigSyncOutput>,
    ) {
        let Some(at) = self.transfers.iter().position(|t| t.lacks(&piece)) else {
            return;
        };
        match self.transfers[at].take(now, piece) {
            Taken::More => {
                self.silent.remove(&from);
                self.proceed(now, out);
            }
            Taken::Whole => {
                self.silent.remove(&from);
                self.finish(now, at, out);
            }
            Taken::Bad(reason) => {
                self.silent.insert(from, now);
                self.drop_transfer(at, from, reason, out);
                self.proceed(now, out);
            }
        }
    }

    /// Asks for what comes next: of the older transfer, unless less is left of the newer one. What is left only falls by that, so
    /// some version is whole in the end, however often newer ones come.
    fn proceed(&mut self, now: Time, out: &mut Vec<ConfigSyncOutput>) {
        if let [older, newer] = &self.transfers[..]
            && let Some(left) = newer.left()
            && older.left().is_none_or(|older| left < older)
        {
            self.drop_transfer(0, self.transfers[0].source, "overtaken", out);
        }
        if !self.transfers.is_empty() {
            self.choose_source(now, 0, false, out);
            self.transfers[0].ask(now, self.window, out);
        }
    }

    fn finish(&mut self, now: Time, at: usize, out: &mut Vec<ConfigSyncOutput>) {
        let transfer = self.transfers.remove(at);
        let took = now.since(transfer.first).as_millis();
        out.push(ConfigSyncOutput::Event(ConfigSyncEvent::DocumentWhole {
            version: transfer.version,
            bytes: transfer.offset(),
            took: u32::try_from(took).unwrap_or(u32::MAX),
            sources: transfer.sources(),
        }));
        out.push(ConfigSyncOutput::Fetched(transfer.into_held()));
    }

    /// Pieces under way do not come.
    fn miss(&mut self, now: Time, out: &mut Vec<ConfigSyncOutput>) {
        for at in (0..self.transfers.len()).rev() {
            if self.transfers[at].is_overdue(now) {
                self.missed(now, at, out);
            }
        }
    }

    fn missed(&mut self, now: Time, at: usize, out: &mut Vec<ConfigSyncOutput>) {
        let newest = self.newest(now);
        let transfer = &mut self.transfers[at];
        let source = transfer.source;
        let misses = transfer.miss(now);
        let version = transfer.version;
        self.silent.insert(source, now);
        // A version that nobody has any more, as its only source was lost, would else keep from the one below it.
        if misses >= MISSES && newest != version {
            let reason = if newest > version {
                "overtaken"
            } else {
                "nobody has it"
            };
            self.drop_transfer(at, source, reason, out);
            self.proceed(now, out);
        } else {
            self.choose_source(now, at, true, out);
            self.transfers[at].ask_again(now, self.window, out);
        }
    }

    /// Chooses who is asked for the next pieces.
    fn choose_source(
        &mut self,
        now: Time,
        at: usize,
        silent: bool,
        out: &mut Vec<ConfigSyncOutput>,
    ) {
        let version = self.transfers[at].version;
        let best = self.best(now, version);
        let transfer = &mut self.transfers[at];
        // Without any, the one before is asked again; it may be heard by then.
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

    fn drop_transfer(
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

    fn alive(&self, now: Time) -> impl Iterator<Item = &PeerStatus> {
        let heard = self.heard.values();
        heard
            .filter(move |(_, at)| now.since(*at) <= HEARD)
            .map(|(status, _)| status)
    }

    fn newest(&self, now: Time) -> u64 {
        let versions = self.alive(now).map(|status| status.version);
        versions.max().unwrap_or(0)
    }

    /// Who is asked for a version: one that answers, a keeper first, of this data centre first. Among those
    /// alike the hash spreads the entries over them.
    fn best(&self, now: Time, version: u64) -> Option<InstanceId> {
        let sources = self.alive(now).filter(|status| status.version >= version);
        let rank = |status: &&PeerStatus| {
            let silent = self.silent.get(&status.instance).copied();
            let other = (status.kind != ProcessKind::Keeper, status.dc != self.dc);
            let score = score(self.me.0.into(), status.instance.0.into());
            (silent, other, Reverse(score))
        };
        sources.min_by_key(rank).map(|status| status.instance)
    }
}

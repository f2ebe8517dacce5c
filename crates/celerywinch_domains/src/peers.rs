//! What is known of the other processes.

use std::collections::BTreeMap;
use std::time::Duration;

use celerywinch_types::{FleetHeartbeat, InstanceId, Process, ProcessKind, Stage, Time};

/// One that was not heard for this long is forgotten, and for as long as two of its windows: among 1,000 processes most
/// hear each other once in 50 s. Long enough for a cut to heal.
const FORGET: Duration = Duration::from_secs(60);

/// A process has just started for this long. Machines that lose power together are back within tens of ms
/// of each other.
const NEW: Time = Time(1_000_000);

/// A process that is heard rarely and was asked for an answer at once counts as lost without one after this
/// time: two messages between data centres take 3 ms, and a process with an eighth of a core stands still for
/// tens of ms when much comes at once.
const PROBE_WAIT: Duration = Duration::from_millis(250);
/// A process that is waited for no longer than this is heard often.
const CLOSE_WINDOW: Duration = Duration::from_millis(500);

/// Another process.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// Which life of it.
    pub process: Process,
    /// Its last heartbeat.
    pub heartbeat: FleetHeartbeat,
    /// When that arrived.
    pub last_contact: Time,
    /// It counts as lost when it was not heard for this long.
    pub timeout: Duration,
    /// Its machine said that no process listens there, and nothing was heard since.
    pub refused: bool,
    /// When it was asked for an answer at once, if nothing was heard since.
    pub probed_at: Option<Time>,
}

impl PeerView {
    /// Whether it was heard lately.
    #[must_use]
    pub fn alive(&self, now: Time) -> bool {
        let silent = |probed: Time| now.since(probed) > PROBE_WAIT;
        !self.refused
            && now.since(self.last_contact) <= self.timeout
            && !self.probed_at.is_some_and(silent)
    }

    /// Whether it had just started when it was heard last.
    #[must_use]
    pub fn just_started(&self) -> bool {
        self.heartbeat.sent < NEW
    }

    /// Whether its heartbeats come often enough that a silence of a moment tells something.
    #[must_use]
    pub fn has_short_timeout(&self) -> bool {
        self.timeout <= CLOSE_WINDOW
    }
}

/// The other processes.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    views: BTreeMap<InstanceId, PeerView>,
}

impl Peers {
    /// Takes a heartbeat after which the next is waited for as long as `window`; false if it is older than the last one of
    /// its sender, as it would bring back what that held then.
    ///
    /// Another incarnation than before has replaced that one: links drop what comes on an earlier stream.
    pub fn record_heartbeat(
        &mut self,
        now: Time,
        from: Process,
        beat: FleetHeartbeat,
        window: Duration,
    ) -> bool {
        let known = self.views.get(&from.instance);
        if known.is_some_and(|view| view.process == from && view.heartbeat.sent > beat.sent) {
            return false;
        }
        let view = PeerView {
            process: from,
            heartbeat: beat,
            last_contact: now,
            timeout: window,
            refused: false,
            probed_at: None,
        };
        self.views.insert(from.instance, view);
        true
    }

    /// No process listens at a peer.
    pub fn record_refusal(&mut self, peer: InstanceId) {
        if let Some(view) = self.views.get_mut(&peer) {
            view.refused = true;
        }
    }

    /// A peer was asked for an answer at once.
    pub fn record_probe(&mut self, now: Time, peer: InstanceId) {
        if let Some(view) = self.views.get_mut(&peer) {
            view.probed_at.get_or_insert(now);
        }
    }

    /// Drops those that were not heard for long, and names them.
    pub fn remove_expired(&mut self, now: Time) -> Vec<InstanceId> {
        let old = |view: &PeerView| now.since(view.last_contact) > FORGET.max(view.timeout * 2);
        let views = self.views.iter();
        let gone: Vec<_> = views.filter(|(_, v)| old(v)).map(|(id, _)| *id).collect();
        self.views.retain(|_, view| !old(view));
        gone
    }

    /// How many are known.
    #[must_use]
    pub fn count(&self) -> usize {
        self.views.len()
    }

    /// One of them.
    #[must_use]
    pub fn get(&self, peer: InstanceId) -> Option<&PeerView> {
        self.views.get(&peer)
    }

    /// All that are known.
    pub fn all(&self) -> impl Iterator<Item = (InstanceId, &PeerView)> {
        self.views.iter().map(|(id, view)| (*id, view))
    }

    /// Those that were heard lately.
    pub fn alive(&self, now: Time) -> impl Iterator<Item = (InstanceId, &PeerView)> {
        self.all().filter(move |(_, view)| view.alive(now))
    }

    /// Whether some are heard, and all of them have just started: after the loss of all processes at once
    /// nobody is left to listen for, and callers are waiting already. On the users' days that is 250 ms
    /// of refusals less after each such loss.
    #[must_use]
    pub fn all_just_started(&self, now: Time) -> bool {
        let mut alive = self.alive(now).peekable();
        alive.peek().is_some() && alive.all(|(_, view)| view.just_started())
    }

    /// Whether at least one entry is alive, and all entries that are alive are ready.
    #[must_use]
    pub fn all_entries_ready(&self, now: Time) -> bool {
        let alive = self.alive(now).map(|(_, view)| &view.heartbeat);
        let mut entries = alive
            .filter(|beat| beat.kind == ProcessKind::Entry)
            .peekable();
        entries.peek().is_some() && entries.all(|beat| beat.stage == Stage::Ready)
    }

    /// The keepers, heard lately or not.
    pub fn keepers(&self) -> impl Iterator<Item = InstanceId> + '_ {
        let keepers = self.all();
        keepers
            .filter(|(_, view)| view.heartbeat.kind == ProcessKind::Keeper)
            .map(|(id, _)| id)
    }
}

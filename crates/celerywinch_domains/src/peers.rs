//! The last heartbeat and the liveness of every other process.

use std::collections::BTreeMap;
use std::time::Duration;

use celerywinch_types::{
    DataCentreId, FleetHeartbeat, InstanceId, Process, ProcessKind, Stage, Time,
};

/// A silent process is removed after this time, or after twice its timeout if that is longer: among 1,000 processes most
/// hear each other once in 50 s. A short partition heals within this time.
const RETENTION: Duration = Duration::from_secs(60);

/// A process counts as just started for this long. Machines that lose power together are back within tens of ms
/// of each other.
const STARTUP_PERIOD: Time = Time(1_000_000);

/// A process that sends heartbeats rarely counts as lost if it does not answer a probe within this time. Two messages
/// between data centres take 3 ms, and a process with an eighth of a core pauses for tens of ms under a burst of
/// messages.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// The longest timeout of a process that sends heartbeats often.
const SHORT_TIMEOUT: Duration = Duration::from_millis(500);

/// What is known of another process.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// The instance and its incarnation.
    pub process: Process,
    /// Its last heartbeat.
    pub heartbeat: FleetHeartbeat,
    /// When its last heartbeat arrived.
    pub last_contact: Time,
    /// The process counts as lost after this time without a heartbeat.
    pub timeout: Duration,
    /// Whether its machine refused a connection, as no process listens there, since the last heartbeat.
    pub refused: bool,
    /// When the first probe since the last heartbeat was sent.
    pub probed_at: Option<Time>,
}

impl PeerView {
    /// Whether the process counts as alive: neither its timeout nor a probe has expired, and no connection was refused.
    #[must_use]
    pub fn alive(&self, now: Time) -> bool {
        let silent = |probed: Time| now.since(probed) > PROBE_TIMEOUT;
        !self.refused
            && now.since(self.last_contact) <= self.timeout
            && !self.probed_at.is_some_and(silent)
    }

    /// Whether the process had just started when it sent its last heartbeat.
    #[must_use]
    pub fn just_started(&self) -> bool {
        self.heartbeat.sent < STARTUP_PERIOD
    }

    /// Whether heartbeats arrive so often that a short silence indicates a fault.
    #[must_use]
    pub fn has_short_timeout(&self) -> bool {
        self.timeout <= SHORT_TIMEOUT
    }
}

/// What is known of all other processes.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    views: BTreeMap<InstanceId, PeerView>,
}

impl Peers {
    /// Records a heartbeat, after which the sender counts as lost in `timeout`. Returns false for one that is older than
    /// the last one of the same process, as it would restore domains that the sender owned earlier.
    ///
    /// A different incarnation always replaces the previous one: links drop messages of earlier streams.
    pub fn record_heartbeat(
        &mut self,
        now: Time,
        from: Process,
        heartbeat: FleetHeartbeat,
        timeout: Duration,
    ) -> bool {
        let known = self.views.get(&from.instance);
        if known.is_some_and(|view| view.process == from && view.heartbeat.sent > heartbeat.sent) {
            return false;
        }
        let view = PeerView {
            process: from,
            heartbeat,
            last_contact: now,
            timeout,
            refused: false,
            probed_at: None,
        };
        self.views.insert(from.instance, view);
        true
    }

    /// Records that no process listens at a peer's address.
    pub fn record_refusal(&mut self, peer: InstanceId) {
        if let Some(view) = self.views.get_mut(&peer) {
            view.refused = true;
        }
    }

    /// Records that a probe was sent to a peer, which answers probes at once.
    pub fn record_probe(&mut self, now: Time, peer: InstanceId) {
        if let Some(view) = self.views.get_mut(&peer) {
            view.probed_at.get_or_insert(now);
        }
    }

    /// Removes the processes that have been silent for long, and returns their instances.
    pub fn remove_expired(&mut self, now: Time) -> Vec<InstanceId> {
        let is_expired =
            |view: &PeerView| now.since(view.last_contact) > RETENTION.max(view.timeout * 2);
        let views = self.views.iter();
        let expired: Vec<_> = views
            .filter(|(_, v)| is_expired(v))
            .map(|(id, _)| *id)
            .collect();
        self.views.retain(|_, view| !is_expired(view));
        expired
    }

    /// Returns the number of known processes.
    #[must_use]
    pub fn count(&self) -> usize {
        self.views.len()
    }

    /// Returns what is known of a peer.
    #[must_use]
    pub fn get(&self, peer: InstanceId) -> Option<&PeerView> {
        self.views.get(&peer)
    }

    /// Returns all known processes.
    pub fn all(&self) -> impl Iterator<Item = (InstanceId, &PeerView)> {
        self.views.iter().map(|(id, view)| (*id, view))
    }

    /// Returns the processes that count as alive.
    pub fn alive(&self, now: Time) -> impl Iterator<Item = (InstanceId, &PeerView)> {
        self.all().filter(move |(_, view)| view.alive(now))
    }

    /// Whether some processes are alive and all of them have just started. After a loss of all processes at once there
    /// is no owner to listen for, and callers are waiting already: with this check each such loss causes
    /// 250 ms less of refusals on the users' days of traffic.
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
            .filter(|heartbeat| heartbeat.kind == ProcessKind::Entry)
            .peekable();
        entries.peek().is_some() && entries.all(|heartbeat| heartbeat.stage == Stage::Ready)
    }

    /// Returns the keepers, alive or not.
    pub fn keepers(&self) -> impl Iterator<Item = (InstanceId, DataCentreId)> + '_ {
        let keepers = self.all();
        keepers
            .filter(|(_, view)| view.heartbeat.kind == ProcessKind::Keeper)
            .map(|(id, view)| (id, view.heartbeat.dc))
    }
}

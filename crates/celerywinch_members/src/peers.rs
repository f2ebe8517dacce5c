//! The failure detector: liveness of the other instances.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use celerywinch_types::{DataCentreId, Heartbeat, Incarnation, InstanceId, Time, WallMs};

/// Intervals and limits of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DetectorConfig {
    /// The time between heartbeats to an instance of the same data centre.
    pub local_interval: Duration,
    /// The time between heartbeats to an instance of another data centre.
    pub remote_interval: Duration,
    /// The number of heartbeats that may be missing before the peer is suspected.
    pub max_missed: u32,
    /// How long a probe on a new connection may take.
    pub probe_timeout: Duration,
}

impl Default for DetectorConfig {
    fn default() -> Self {
        Self {
            local_interval: Duration::from_millis(200),
            remote_interval: Duration::from_millis(500),
            max_missed: 3,
            probe_timeout: Duration::from_millis(400),
        }
    }
}

/// The number of earlier incarnations of a peer that are remembered.
const MAX_FORMER: usize = 16;

/// The state of a peer in the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// No message of it has been received yet.
    Unknown,
    /// A message of it was received recently.
    Alive,
    /// Silent; a probe on a new connection has been in flight since this time.
    Suspect(Time),
    /// Neither its connection nor a new one answers.
    Dead,
}

/// What is known of one other instance.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its data centre.
    pub dc: DataCentreId,
    /// Its state in the failure detector.
    pub state: PeerState,
    /// The incarnation of the last message; 0 before the first one.
    pub incarnation: Incarnation,
    /// The incarnations before it, the latest at the end. Their numbers may be greater: an entry without a disk takes its
    /// own from a clock that may be set back.
    former: VecDeque<Incarnation>,
    /// When its last message was received.
    pub last_contact: Time,
    /// Whether it receives messages of this instance; false indicates a one-way loss.
    pub receives: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// The version of the catalogue in force there.
    pub catalogue: u64,
    /// The version of the catalogue that it has received and will put in force.
    pub pending_catalogue: u64,
    /// Whether it may serve by the catalogue in force there.
    pub current: bool,
    /// Whether a heartbeat of its current incarnation was received.
    pub has_heartbeat: bool,
    /// The number of tasks that wait there for a slot.
    pub queued: u32,
    /// Its wall clock minus the local one, in milliseconds, at the last heartbeat.
    pub clock_skew: i64,
    /// The last round-trip time.
    pub round_trip: Option<Duration>,
    /// When the last heartbeat was sent to it.
    sent: Time,
    /// The sequence number of its last heartbeat.
    sequence: u64,
    /// The send time of its last heartbeat, by its own clock, to be echoed.
    echo: Option<Time>,
}

/// A change in the state of a peer, or an action that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerChange {
    /// A peer is alive, for the first time or again.
    Up(InstanceId),
    /// A peer is silent: the host opens a new connection, and replaces the old one by it if the peer answers.
    Probe(InstanceId),
    /// A peer is dead.
    Down(InstanceId),
    /// A peer has a new incarnation: the state of the earlier one is lost.
    Restarted(InstanceId, Incarnation),
    /// A heartbeat to this peer is due.
    HeartbeatDue(InstanceId),
}

/// The failure detector of one instance, over all others.
#[derive(Debug)]
pub struct Peers {
    dc: DataCentreId,
    config: DetectorConfig,
    peers: BTreeMap<InstanceId, Peer>,
}

impl Peers {
    /// Returns a failure detector for the instances that the settings list.
    #[must_use]
    pub fn new(
        dc: DataCentreId,
        config: DetectorConfig,
        others: impl IntoIterator<Item = (InstanceId, DataCentreId)>,
    ) -> Self {
        let peers = others.into_iter().map(|(id, dc)| (id, Peer::new(dc)));
        Self {
            dc,
            config,
            peers: peers.collect(),
        }
    }

    /// Returns what is known of a peer.
    #[must_use]
    pub fn get(&self, id: InstanceId) -> Option<&Peer> {
        self.peers.get(&id)
    }

    /// Returns all peers.
    pub fn iter(&self) -> impl Iterator<Item = (InstanceId, &Peer)> {
        self.peers.iter().map(|(id, peer)| (*id, peer))
    }

    /// Returns the reachable peers of the local data centre, including those that are stopping.
    pub fn local(&self) -> impl Iterator<Item = (InstanceId, &Peer)> {
        self.iter()
            .filter(|(_, peer)| peer.dc == self.dc && peer.is_reachable())
    }

    /// Whether requests can be sent to a peer: it is alive or suspected.
    #[must_use]
    pub fn is_reachable(&self, id: InstanceId) -> bool {
        self.peers.get(&id).is_some_and(Peer::is_reachable)
    }

    /// Whether an incarnation of a peer has ended, as far as is known.
    #[must_use]
    pub fn has_ended(&self, id: InstanceId, incarnation: Incarnation) -> bool {
        self.peers.get(&id).is_some_and(|peer| {
            peer.state == PeerState::Dead
                || peer.incarnation > incarnation
                || peer.former.contains(&incarnation)
        })
    }

    /// Records a message of any kind, which shows that the sender's incarnation is alive.
    ///
    /// A different incarnation always replaces the previous one: links drop messages of earlier streams.
    pub fn record_contact(
        &mut self,
        now: Time,
        from: InstanceId,
        incarnation: Incarnation,
        changes: &mut Vec<PeerChange>,
    ) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        if incarnation != peer.incarnation {
            let first = peer.incarnation == Incarnation(0);
            if !first {
                peer.retire();
            }
            peer.incarnation = incarnation;
            peer.former.retain(|former| *former != incarnation);
            peer.stopping = false;
            peer.sequence = 0;
            peer.has_heartbeat = false;
            if !first {
                changes.push(PeerChange::Restarted(from, incarnation));
            }
        }
        peer.last_contact = now;
        if peer.state != PeerState::Alive {
            peer.state = PeerState::Alive;
            changes.push(PeerChange::Up(from));
        }
    }

    /// Records a heartbeat, after `record_contact` was called for the same message.
    pub fn record_heartbeat(
        &mut self,
        now: Time,
        wall: WallMs,
        from: InstanceId,
        heartbeat: &Heartbeat,
    ) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        if heartbeat.sequence <= peer.sequence {
            return;
        }
        peer.sequence = heartbeat.sequence;
        peer.receives = heartbeat.receives;
        peer.stopping = heartbeat.stopping;
        peer.catalogue = heartbeat.catalogue;
        peer.pending_catalogue = heartbeat.pending_catalogue;
        peer.current = heartbeat.current;
        peer.has_heartbeat = true;
        peer.queued = heartbeat.queued;
        peer.clock_skew = clock_skew_ms(heartbeat.wall, wall);
        peer.round_trip = heartbeat.echo.map(|sent| now.since(sent));
        peer.echo = Some(heartbeat.sent);
    }

    /// Records that a peer is stopping.
    pub fn record_leave(&mut self, from: InstanceId) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.stopping = true;
        }
    }

    /// Records that no process listens at the peer's address, so that the peer is dead.
    pub fn record_refusal(&mut self, id: InstanceId, changes: &mut Vec<PeerChange>) {
        if let Some(peer) = self.peers.get_mut(&id)
            && peer.state != PeerState::Dead
        {
            peer.state = PeerState::Dead;
            changes.push(PeerChange::Down(id));
        }
    }

    /// Advances time: reports heartbeats that are due, suspects silent peers and ends probes that have timed out.
    pub fn tick(&mut self, now: Time, changes: &mut Vec<PeerChange>) {
        for (id, peer) in &mut self.peers {
            let interval = interval(self.config, self.dc, peer.dc);
            if now.since(peer.sent) >= interval || peer.sent == Time::default() {
                peer.sent = now;
                changes.push(PeerChange::HeartbeatDue(*id));
            }
            match peer.state {
                PeerState::Alive
                    if now.since(peer.last_contact) > interval * self.config.max_missed =>
                {
                    peer.state = PeerState::Suspect(now);
                    changes.push(PeerChange::Probe(*id));
                }
                PeerState::Suspect(since) if now.since(since) > self.config.probe_timeout => {
                    peer.state = PeerState::Dead;
                    changes.push(PeerChange::Down(*id));
                }
                // An instance that has not answered since this one started counts as dead.
                PeerState::Unknown
                    if now.since(Time(0)) > interval * self.config.max_missed * 2 =>
                {
                    peer.state = PeerState::Dead;
                    changes.push(PeerChange::Down(*id));
                }
                _ => {}
            }
        }
    }

    /// Returns the fields of a heartbeat to `id` that depend on what is known of it: the echo of its last heartbeat, whether
    /// this instance receives its messages, and its incarnation.
    #[must_use]
    pub fn heartbeat_fields(
        &self,
        now: Time,
        id: InstanceId,
    ) -> Option<(Option<Time>, bool, Incarnation)> {
        let peer = self.peers.get(&id)?;
        let interval = interval(self.config, self.dc, peer.dc);
        let receives = now.since(peer.last_contact) <= interval * self.config.max_missed;
        Some((
            peer.echo,
            receives && peer.last_contact != Time::default(),
            peer.incarnation,
        ))
    }
}

impl Peer {
    fn new(dc: DataCentreId) -> Self {
        Self {
            dc,
            state: PeerState::Unknown,
            incarnation: Incarnation(0),
            former: VecDeque::new(),
            last_contact: Time::default(),
            receives: false,
            stopping: false,
            catalogue: 0,
            pending_catalogue: 0,
            current: false,
            has_heartbeat: false,
            queued: 0,
            clock_skew: 0,
            round_trip: None,
            sent: Time::default(),
            sequence: 0,
            echo: None,
        }
    }

    /// Moves the current incarnation to the former ones, before another one replaces it.
    fn retire(&mut self) {
        self.former.push_back(self.incarnation);
        if self.former.len() > MAX_FORMER {
            self.former.pop_front();
        }
    }

    fn is_reachable(&self) -> bool {
        matches!(self.state, PeerState::Alive | PeerState::Suspect(_))
    }
}

fn interval(config: DetectorConfig, own: DataCentreId, other: DataCentreId) -> Duration {
    if own == other {
        config.local_interval
    } else {
        config.remote_interval
    }
}

fn clock_skew_ms(theirs: WallMs, ours: WallMs) -> i64 {
    let theirs = i64::try_from(theirs.0).unwrap_or(i64::MAX);
    let ours = i64::try_from(ours.0).unwrap_or(i64::MAX);
    theirs.saturating_sub(ours)
}

//! Liveness of the other instances.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use celerywinch_types::{DataCentreId, Heartbeat, Incarnation, InstanceId, Time, WallMs};

/// Spans of the failure detector.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DetectorConfig {
    /// Between heartbeats to an instance of the same data centre.
    pub local_interval: Duration,
    /// Between heartbeats to an instance of another data centre.
    pub remote_interval: Duration,
    /// How many heartbeats may be missing before the peer is suspected.
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

/// So many earlier incarnations of a peer are remembered.
const MOST_FORMER: usize = 16;

/// What is believed of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// Never heard from.
    Unknown,
    /// Heard from lately.
    Alive,
    /// Silent; a probe on a new connection is under way since then.
    Suspect(Time),
    /// Neither its connection nor a new one answers.
    Dead,
}

/// One other instance.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its data centre.
    pub dc: DataCentreId,
    /// What is believed of it.
    pub state: PeerState,
    /// The present incarnation, as far as it was heard.
    pub incarnation: Incarnation,
    /// Those before it, the last one at the end. Their numbers may be greater: an entry without a disk reads its own from a
    /// clock that may be set back.
    former: VecDeque<Incarnation>,
    /// When it was last heard from.
    pub last_contact: Time,
    /// Whether it hears this instance: false tells of a one-way loss.
    pub receives: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Version of the catalogue in force there.
    pub catalogue: u64,
    /// Version of the catalogue that it holds and will put in force.
    pub pending_catalogue: u64,
    /// Whether it may serve by what it has in force.
    pub current: bool,
    /// Whether a heartbeat of its present life was heard.
    pub has_heartbeat: bool,
    /// Tasks waiting there for a slot.
    pub queued: u32,
    /// Its wall clock minus ours, in milliseconds, at the last heartbeat.
    pub clock_skew: i64,
    /// The last round trip.
    pub round_trip: Option<Duration>,
    sent: Time,
    sequence: u64,
    echo: Option<Time>,
}

/// What changed in the view of the peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerChange {
    /// A peer answers (again).
    Up(InstanceId),
    /// A peer is silent: open a new connection and replace the old one if it answers.
    Probe(InstanceId),
    /// A peer is gone.
    Down(InstanceId),
    /// A peer has a new life: what its earlier life held is lost.
    Restarted(InstanceId, Incarnation),
    /// A heartbeat to this peer is due.
    HeartbeatDue(InstanceId),
}

/// The other instances.
#[derive(Debug)]
pub struct Peers {
    dc: DataCentreId,
    timing: DetectorConfig,
    peers: BTreeMap<InstanceId, Peer>,
}

impl Peers {
    /// Starts with the instances named in the settings.
    #[must_use]
    pub fn new(
        dc: DataCentreId,
        timing: DetectorConfig,
        others: impl IntoIterator<Item = (InstanceId, DataCentreId)>,
    ) -> Self {
        let peers = others.into_iter().map(|(id, dc)| (id, Peer::new(dc)));
        Self {
            dc,
            timing,
            peers: peers.collect(),
        }
    }

    /// One peer.
    #[must_use]
    pub fn get(&self, id: InstanceId) -> Option<&Peer> {
        self.peers.get(&id)
    }

    /// All peers.
    pub fn iter(&self) -> impl Iterator<Item = (InstanceId, &Peer)> {
        self.peers.iter().map(|(id, peer)| (*id, peer))
    }

    /// Peers of the own data centre that are alive, stopping ones included.
    pub fn local(&self) -> impl Iterator<Item = (InstanceId, &Peer)> {
        self.iter()
            .filter(|(_, peer)| peer.dc == self.dc && peer.is_reachable())
    }

    /// Whether a peer can be asked for something.
    #[must_use]
    pub fn is_reachable(&self, id: InstanceId) -> bool {
        self.peers.get(&id).is_some_and(Peer::is_reachable)
    }

    /// Whether a certain life of a peer is over, as far as is known.
    #[must_use]
    pub fn has_ended(&self, id: InstanceId, incarnation: Incarnation) -> bool {
        self.peers.get(&id).is_some_and(|peer| {
            peer.state == PeerState::Dead
                || peer.incarnation > incarnation
                || peer.former.contains(&incarnation)
        })
    }

    /// Takes any message as a sign of life of the sender's incarnation.
    ///
    /// Another incarnation than before has replaced that one: links drop what comes on an earlier stream.
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

    /// Takes a heartbeat; `heard` was called for the same message before.
    pub fn record_heartbeat(
        &mut self,
        now: Time,
        wall: WallMs,
        from: InstanceId,
        beat: &Heartbeat,
    ) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        if beat.sequence <= peer.sequence {
            return;
        }
        peer.sequence = beat.sequence;
        peer.receives = beat.receives;
        peer.stopping = beat.stopping;
        peer.catalogue = beat.catalogue;
        peer.pending_catalogue = beat.pending_catalogue;
        peer.current = beat.current;
        peer.has_heartbeat = true;
        peer.queued = beat.queued;
        peer.clock_skew = wall_difference(beat.wall, wall);
        peer.round_trip = beat.echo.map(|sent| now.since(sent));
        peer.echo = Some(beat.sent);
    }

    /// A peer said that it stops.
    pub fn record_leave(&mut self, from: InstanceId) {
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.stopping = true;
        }
    }

    /// The host found that nothing listens at the peer's address: the process is gone.
    pub fn record_refusal(&mut self, id: InstanceId, changes: &mut Vec<PeerChange>) {
        if let Some(peer) = self.peers.get_mut(&id)
            && peer.state != PeerState::Dead
        {
            peer.state = PeerState::Dead;
            changes.push(PeerChange::Down(id));
        }
    }

    /// Lets time pass: heartbeats that are due, silent peers, probes that ran out.
    pub fn tick(&mut self, now: Time, changes: &mut Vec<PeerChange>) {
        for (id, peer) in &mut self.peers {
            let interval = interval(self.timing, self.dc, peer.dc);
            if now.since(peer.sent) >= interval || peer.sent == Time::default() {
                peer.sent = now;
                changes.push(PeerChange::HeartbeatDue(*id));
            }
            match peer.state {
                PeerState::Alive
                    if now.since(peer.last_contact) > interval * self.timing.max_missed =>
                {
                    peer.state = PeerState::Suspect(now);
                    changes.push(PeerChange::Probe(*id));
                }
                PeerState::Suspect(since) if now.since(since) > self.timing.probe_timeout => {
                    peer.state = PeerState::Dead;
                    changes.push(PeerChange::Down(*id));
                }
                // An instance that never answered since this one started counts as gone.
                PeerState::Unknown
                    if now.since(Time(0)) > interval * self.timing.max_missed * 2 =>
                {
                    peer.state = PeerState::Dead;
                    changes.push(PeerChange::Down(*id));
                }
                _ => {}
            }
        }
    }

    /// The part of a heartbeat to `id` that follows from what is known of it.
    #[must_use]
    pub fn heartbeat_fields(
        &self,
        now: Time,
        id: InstanceId,
    ) -> Option<(Option<Time>, bool, Incarnation)> {
        let peer = self.peers.get(&id)?;
        let interval = interval(self.timing, self.dc, peer.dc);
        let hears = now.since(peer.last_contact) <= interval * self.timing.max_missed;
        Some((
            peer.echo,
            hears && peer.last_contact != Time::default(),
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

    /// Another incarnation takes the place of the present one.
    fn retire(&mut self) {
        self.former.push_back(self.incarnation);
        if self.former.len() > MOST_FORMER {
            self.former.pop_front();
        }
    }

    fn is_reachable(&self) -> bool {
        matches!(self.state, PeerState::Alive | PeerState::Suspect(_))
    }
}

fn interval(timing: DetectorConfig, own: DataCentreId, other: DataCentreId) -> Duration {
    if own == other {
        timing.local_interval
    } else {
        timing.remote_interval
    }
}

fn wall_difference(theirs: WallMs, ours: WallMs) -> i64 {
    let theirs = i64::try_from(theirs.0).unwrap_or(i64::MAX);
    let ours = i64::try_from(ours.0).unwrap_or(i64::MAX);
    theirs.saturating_sub(ours)
}

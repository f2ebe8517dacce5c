//! Processes and links with a rate, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use celerywinch_fleet::{ConfigSync, ConfigSyncInput, ConfigSyncOutput, PeerStatus};
use celerywinch_registry::VersionedDocument;
use celerywinch_types::{ConfigMsg, DataCentreId, InstanceId, ProcessKind, Time};

/// Processes of the simulated deployment.
const KEEPERS: u32 = 6;
const ENTRIES: u32 = 28;
/// Their data centres.
const DCS: u32 = 3;
/// Bytes that a link carries in a ms: 1,000 Mbit/s of a keeper, 25 Mbit/s of an entry.
const KEEPER_RATE: u64 = 125_000;
const ENTRY_RATE: u64 = 3_125;
/// One way, in us: within a data centre, and between two.
const NEAR: u64 = 100;
const FAR: u64 = 1_400;
/// Between two heartbeats, and between two ticks, in us.
const BEAT: u64 = 500_000;
const TICK: u64 = 20_000;
/// When the first change comes: heartbeats of all have been heard by then.
const START: u64 = 2_000_000;
/// The other keepers hear that a change is accepted with the leader's next heartbeat, in us.
const COMMIT: u64 = 60_000;
/// Bytes of a heartbeat, and of a message around a document or a part of one.
const SMALL: u64 = 100;

/// A change of the configuration: ms after the first one, bytes of the document.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Change {
    pub(crate) at: u64,
    pub(crate) bytes: usize,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    None,
    /// Keepers tell of the change, and answer nothing from some ms after it on.
    Mute {
        first: u32,
        last: u32,
        at: u64,
    },
    /// Keepers stop, some ms after the change.
    Stop {
        first: u32,
        last: u32,
        at: u64,
    },
    /// One data centre is cut off from all others; one entry there got the change just before.
    CutOff,
}

#[derive(Clone, Debug)]
enum Packet {
    Beat(u64),
    Config(ConfigMsg),
}

impl Packet {
    fn bytes(&self) -> u64 {
        let body = match self {
            Self::Beat(_) | Self::Config(ConfigMsg::Request { .. }) => 0,
            Self::Config(ConfigMsg::Chunk(piece)) => piece.bytes.len(),
        };
        SMALL + body as u64
    }
}

#[derive(Debug)]
enum Event {
    Tick(u32),
    Beat(u32),
    Accept(u32, u64, usize),
    /// A message is at the receiver's link.
    Arrive(Sent),
    /// It has been received.
    Take(Sent),
}

#[derive(Debug)]
struct Sent {
    from: u32,
    to: u32,
    at: u64,
    packet: Packet,
}

struct Node {
    sync: ConfigSync,
    kind: ProcessKind,
    dc: u32,
    /// When its link is free again, towards the others and from them.
    up: u64,
    down: u64,
    received: u64,
    /// Versions in force, and since when.
    in_force: Vec<(u64, u64)>,
    heard: Option<u64>,
}

pub(crate) struct Net {
    now: u64,
    count: u64,
    nodes: BTreeMap<u32, Node>,
    events: BTreeMap<(u64, u64), Event>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    fault: Fault,
    changes: Vec<Change>,
    /// The longest that a heartbeat took beyond its way, in us.
    waited: u64,
}

fn document(version: u64, bytes: usize) -> VersionedDocument {
    let byte = |at: usize| (at as u64 ^ version.wrapping_mul(0x9e37)) as u8;
    VersionedDocument {
        version,
        document: (0..bytes).map(byte).collect(),
    }
}

impl Net {
    pub(crate) fn new(fault: Fault) -> Self {
        let mut net = Self {
            now: 0,
            count: 0,
            nodes: BTreeMap::new(),
            events: BTreeMap::new(),
            queue: BinaryHeap::new(),
            fault,
            changes: Vec::new(),
            waited: 0,
        };
        for id in 1..=KEEPERS + ENTRIES {
            let kind = if id <= KEEPERS {
                ProcessKind::Keeper
            } else {
                ProcessKind::Entry
            };
            net.add(id, kind);
            net.give(id, document(1, 1_000));
        }
        net
    }

    fn add(&mut self, id: u32, kind: ProcessKind) {
        let dc = match kind {
            ProcessKind::Keeper => (id - 1) / 2,
            ProcessKind::Entry => id % DCS,
        };
        let sync = ConfigSync::new(InstanceId(id), kind, DataCentreId(dc as u8));
        let sync = sync.with_link_rate(Some(ENTRY_RATE as f64 * 1e3));
        let node = Node {
            sync,
            kind,
            dc,
            up: 0,
            down: 0,
            received: 0,
            in_force: Vec::new(),
            heard: None,
        };
        self.nodes.insert(id, node);
        // Spread over the time between two.
        self.at(self.now + 1 + u64::from(id) * 7_919 % TICK, Event::Tick(id));
        self.at(
            self.now + 1 + u64::from(id) * 104_729 % BEAT,
            Event::Beat(id),
        );
    }

    fn at(&mut self, when: u64, event: Event) {
        self.count += 1;
        self.events.insert((when, self.count), event);
        self.queue.push(Reverse((when, self.count)));
    }

    /// Plays the changes, and so many ms from the first one on.
    pub(crate) fn play(&mut self, changes: &[Change], ms: u64) {
        self.changes = changes.to_vec();
        for (n, change) in changes.iter().enumerate() {
            let version = n as u64 + 2;
            let at = START + change.at * 1_000;
            if self.fault == Fault::CutOff {
                let source = (KEEPERS + 1..).find(|id| self.nodes[id].dc == 0);
                self.at(at, Event::Accept(source.unwrap(), version, change.bytes));
            }
            self.at(at, Event::Accept(1, version, change.bytes));
            for keeper in 2..=KEEPERS {
                self.at(at + COMMIT, Event::Accept(keeper, version, change.bytes));
            }
        }
        self.run(START + ms * 1_000);
    }

    /// Starts one more entry and plays so many ms; ms from its first heartbeat to the configuration in force.
    pub(crate) fn join(&mut self, ms: u64) -> u64 {
        let id = KEEPERS + ENTRIES + 1;
        self.add(id, ProcessKind::Entry);
        self.run(self.now + ms * 1_000);
        let node = &self.nodes[&id];
        let in_force = node.in_force.first().expect("in force");
        (in_force.1 - node.heard.expect("heard")) / 1_000
    }

    fn run(&mut self, end: u64) {
        while let Some(Reverse(key)) = self.queue.peek().copied()
            && key.0 <= end
        {
            self.queue.pop();
            self.now = key.0;
            let event = self.events.remove(&key).expect("an event");
            self.event(event);
        }
        self.now = end;
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Tick(id) => {
                self.handle(id, ConfigSyncInput::Tick);
                self.at(self.now + TICK, Event::Tick(id));
            }
            Event::Beat(id) => {
                let all: Vec<_> = self.nodes.keys().copied().collect();
                for to in all.into_iter().filter(|to| *to != id) {
                    self.beat(id, to);
                }
                self.at(self.now + BEAT, Event::Beat(id));
            }
            Event::Accept(id, version, bytes) => self.give(id, document(version, bytes)),
            Event::Arrive(sent) => {
                let bytes = sent.packet.bytes();
                let node = self.nodes.get_mut(&sent.to).expect("a process");
                node.down = node.down.max(self.now) + bytes * 1_000 / rate(node.kind);
                let when = node.down;
                if matches!(sent.packet, Packet::Config(_)) {
                    node.received += bytes;
                }
                self.at(when, Event::Take(sent));
            }
            Event::Take(sent) => self.take(sent),
        }
    }

    fn take(&mut self, sent: Sent) {
        let Sent {
            from,
            to,
            at,
            packet,
        } = sent;
        match packet {
            Packet::Beat(version) => {
                let way = self.latency(from, to) + 2 * SMALL * 1_000 / ENTRY_RATE;
                self.waited = self.waited.max((self.now - at).saturating_sub(way));
                let other = &self.nodes[&from];
                let status = PeerStatus {
                    instance: InstanceId(from),
                    kind: other.kind,
                    dc: DataCentreId(other.dc as u8),
                    version,
                };
                let node = self.nodes.get_mut(&to).expect("a process");
                node.heard = node.heard.or(Some(self.now));
                self.handle(to, ConfigSyncInput::Heartbeat(status));
            }
            Packet::Config(msg) => {
                if !self.is_mute(to) {
                    self.handle(to, ConfigSyncInput::Message(InstanceId(from), msg));
                }
            }
        }
    }

    fn handle(&mut self, id: u32, input: ConfigSyncInput) {
        let mut out = Vec::new();
        let now = Time(self.now);
        let node = self.nodes.get_mut(&id).expect("a process");
        node.sync.handle(now, input, &mut out);
        for output in out {
            match output {
                ConfigSyncOutput::Send(to, msg) => {
                    if !self.is_mute(id) {
                        self.send(id, to.0, Packet::Config(msg));
                    }
                }
                ConfigSyncOutput::SendHeartbeats(others) => {
                    for other in others {
                        self.beat(id, other.0);
                    }
                }
                ConfigSyncOutput::Fetched(held) => self.give(id, held),
                ConfigSyncOutput::Event(_) => {}
            }
        }
    }

    /// Puts a document in force, as the host does.
    fn give(&mut self, id: u32, held: VersionedDocument) {
        let node = self.nodes.get_mut(&id).expect("a process");
        let version = held.version;
        if version <= node.sync.version() {
            return;
        }
        if let Some(change) = self.changes.get((version as usize).wrapping_sub(2)) {
            assert_eq!(held, document(version, change.bytes));
        }
        node.in_force.push((version, self.now));
        self.handle(id, ConfigSyncInput::InForce(held));
    }

    fn beat(&mut self, from: u32, to: u32) {
        let version = self.nodes[&from].sync.version();
        self.send(from, to, Packet::Beat(version));
    }

    fn send(&mut self, from: u32, to: u32, packet: Packet) {
        if self.is_stopped(from) || self.is_stopped(to) || self.is_cut(from, to) {
            return;
        }
        let latency = self.latency(from, to);
        let node = self.nodes.get_mut(&from).expect("a process");
        node.up = node.up.max(self.now) + packet.bytes() * 1_000 / rate(node.kind);
        let (when, at) = (node.up + latency, self.now);
        let sent = Sent {
            from,
            to,
            at,
            packet,
        };
        self.at(when, Event::Arrive(sent));
    }

    fn latency(&self, from: u32, to: u32) -> u64 {
        if self.nodes[&from].dc == self.nodes[&to].dc {
            NEAR
        } else {
            FAR
        }
    }

    fn is_mute(&self, id: u32) -> bool {
        matches!(self.fault, Fault::Mute { first, last, at }
            if (first..=last).contains(&id) && self.now >= START + at * 1_000)
    }

    fn is_stopped(&self, id: u32) -> bool {
        matches!(self.fault, Fault::Stop { first, last, at }
            if (first..=last).contains(&id) && self.now >= START + at * 1_000)
    }

    fn is_cut(&self, a: u32, b: u32) -> bool {
        let inside =
            |id: u32| self.nodes[&id].kind == ProcessKind::Entry && self.nodes[&id].dc == 0;
        self.fault == Fault::CutOff && self.now >= START && inside(a) != inside(b)
    }

    fn entries(&self) -> impl Iterator<Item = (u32, &Node)> {
        let entries = self.nodes.iter();
        entries
            .filter(|(_, node)| node.kind == ProcessKind::Entry)
            .map(|(id, node)| (*id, node))
    }

    /// The most that an entry received of documents, in hundredths of all of them.
    pub(crate) fn received(&self) -> u64 {
        let all: usize = self.changes.iter().map(|change| change.bytes).sum();
        let most = self.entries().map(|(_, node)| node.received).max();
        most.unwrap_or(0) * 100 / all as u64
    }

    /// The longest that a heartbeat waited behind other messages, in ms.
    pub(crate) fn waited(&self) -> u64 {
        self.waited / 1_000
    }

    /// Entries that do not have the last version so many ms after it was accepted, and when they had it.
    pub(crate) fn late(&self, within: u64) -> Vec<(u32, Option<u64>)> {
        let last = self.changes.len() as u64 + 1;
        let accepted = START + self.changes.last().expect("a change").at * 1_000;
        let took = |node: &Node| {
            let had = node.in_force.iter().find(|(version, _)| *version == last);
            had.map(|(_, at)| (at - accepted) / 1_000)
        };
        let took = self.entries().map(|(id, node)| (id, took(node)));
        took.filter(|(_, took)| took.is_none_or(|took| took > within))
            .collect()
    }

    /// The longest that an entry had no newer version between the first change and the last one, in ms.
    pub(crate) fn longest_gap(&self) -> u64 {
        let end = START + self.changes.last().expect("a change").at * 1_000;
        let gap = |node: &Node| {
            let mut times: Vec<_> = node
                .in_force
                .iter()
                .map(|(_, at)| (*at).clamp(START, end))
                .collect();
            times.push(end);
            times.windows(2).map(|two| two[1] - two[0]).max()
        };
        let gaps = self.entries().filter_map(|(_, node)| gap(node));
        gaps.max().unwrap_or(0) / 1_000
    }
}

fn rate(kind: ProcessKind) -> u64 {
    match kind {
        ProcessKind::Keeper => KEEPER_RATE,
        ProcessKind::Entry => ENTRY_RATE,
    }
}

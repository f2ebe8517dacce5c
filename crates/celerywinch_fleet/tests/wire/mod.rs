//! Simulated processes and links of limited rate, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use celerywinch_fleet::{ConfigSync, ConfigSyncInput, ConfigSyncOutput, PeerStatus};
use celerywinch_registry::VersionedDocument;
use celerywinch_types::{ConfigMsg, DataCentreId, InstanceId, ProcessKind, Time};

/// Numbers of processes.
const KEEPERS: u32 = 6;
const ENTRIES: u32 = 28;
/// Number of data centres.
const DCS: u32 = 3;
/// Rates of links, in bytes per ms: 1,000 Mbit/s for a keeper, 25 Mbit/s for an entry.
const KEEPER_RATE: u64 = 125_000;
const ENTRY_RATE: u64 = 3_125;
/// One-way latencies within a data centre and between two, in us.
const LOCAL_LATENCY: u64 = 100;
const REMOTE_LATENCY: u64 = 1_400;
/// Intervals of heartbeats and ticks, in us.
const HEARTBEAT_INTERVAL: u64 = 500_000;
const TICK_INTERVAL: u64 = 20_000;
/// Time of the first change, in us. All processes have received each other's heartbeats by then.
const FIRST_CHANGE: u64 = 2_000_000;
/// Time until the other keepers learn that a change was accepted, by the leader's next heartbeat, in us.
const COMMIT_DELAY: u64 = 60_000;
/// Size of a heartbeat, and of a message without the bytes of its chunk.
const MESSAGE_OVERHEAD: u64 = 100;

/// A change of the configuration: its time in ms after the first one, and the size of its document in bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Change {
    pub(crate) at_ms: u64,
    pub(crate) bytes: usize,
}

/// An injected fault. Times are in ms after the first change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    None,
    /// Keepers send heartbeats that report the change, but answer no requests from this time on.
    Unresponsive {
        first: u32,
        last: u32,
        at_ms: u64,
    },
    /// Keepers stop at this time.
    Stop {
        first: u32,
        last: u32,
        at_ms: u64,
    },
    /// The entries of one data centre cannot reach other processes; one of them has received the change just before.
    CutOff,
}

#[derive(Clone, Debug)]
enum Packet {
    Heartbeat(u64),
    Config(ConfigMsg),
}

impl Packet {
    fn bytes(&self) -> u64 {
        let body = match self {
            Self::Heartbeat(_) | Self::Config(ConfigMsg::Request { .. }) => 0,
            Self::Config(ConfigMsg::Chunk(chunk)) => chunk.bytes.len(),
        };
        MESSAGE_OVERHEAD + body as u64
    }
}

#[derive(Debug)]
enum Event {
    Tick(u32),
    SendHeartbeats(u32),
    Accept(u32, u64, usize),
    /// A message arrives at the receiver's link.
    Arrive(Message),
    /// A message has been received completely.
    Deliver(Message),
}

#[derive(Debug)]
struct Message {
    from: u32,
    to: u32,
    /// When it was sent, in us.
    sent_at: u64,
    packet: Packet,
}

struct Node {
    sync: ConfigSync,
    kind: ProcessKind,
    dc: u32,
    /// When its link is free again, in each direction.
    uplink_free: u64,
    downlink_free: u64,
    received: u64,
    /// The versions put in force, and when.
    in_force: Vec<(u64, u64)>,
    first_heartbeat: Option<u64>,
}

pub(crate) struct Network {
    now: u64,
    event_count: u64,
    nodes: BTreeMap<u32, Node>,
    events: BTreeMap<(u64, u64), Event>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    fault: Fault,
    changes: Vec<Change>,
    /// Maximum time that a heartbeat took in addition to its transit time, in us.
    max_wait: u64,
}

fn document(version: u64, bytes: usize) -> VersionedDocument {
    let byte = |at: usize| (at as u64 ^ version.wrapping_mul(0x9e37)) as u8;
    VersionedDocument {
        version,
        document: (0..bytes).map(byte).collect(),
    }
}

impl Network {
    pub(crate) fn new(fault: Fault) -> Self {
        let mut network = Self {
            now: 0,
            event_count: 0,
            nodes: BTreeMap::new(),
            events: BTreeMap::new(),
            queue: BinaryHeap::new(),
            fault,
            changes: Vec::new(),
            max_wait: 0,
        };
        for id in 1..=KEEPERS + ENTRIES {
            let kind = if id <= KEEPERS {
                ProcessKind::Keeper
            } else {
                ProcessKind::Entry
            };
            network.add(id, kind);
            network.put_in_force(id, document(1, 1_000));
        }
        network
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
            uplink_free: 0,
            downlink_free: 0,
            received: 0,
            in_force: Vec::new(),
            first_heartbeat: None,
        };
        self.nodes.insert(id, node);
        // Offsets by the id distribute the processes over the interval.
        self.schedule(
            self.now + 1 + u64::from(id) * 7_919 % TICK_INTERVAL,
            Event::Tick(id),
        );
        self.schedule(
            self.now + 1 + u64::from(id) * 104_729 % HEARTBEAT_INTERVAL,
            Event::SendHeartbeats(id),
        );
    }

    fn schedule(&mut self, when: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((when, self.event_count), event);
        self.queue.push(Reverse((when, self.event_count)));
    }

    /// Runs the changes, until `ms` after the first one.
    pub(crate) fn run_changes(&mut self, changes: &[Change], ms: u64) {
        self.changes = changes.to_vec();
        for (n, change) in changes.iter().enumerate() {
            let version = n as u64 + 2;
            let at = FIRST_CHANGE + change.at_ms * 1_000;
            if self.fault == Fault::CutOff {
                let source = (KEEPERS + 1..).find(|id| self.nodes[id].dc == 0);
                self.schedule(at, Event::Accept(source.unwrap(), version, change.bytes));
            }
            self.schedule(at, Event::Accept(1, version, change.bytes));
            for keeper in 2..=KEEPERS {
                self.schedule(
                    at + COMMIT_DELAY,
                    Event::Accept(keeper, version, change.bytes),
                );
            }
        }
        self.run(FIRST_CHANGE + ms * 1_000);
    }

    /// Starts another entry and runs for `ms`. Returns the time from the first heartbeat that it received until the
    /// configuration was in force there, in ms.
    pub(crate) fn join(&mut self, ms: u64) -> u64 {
        let id = KEEPERS + ENTRIES + 1;
        self.add(id, ProcessKind::Entry);
        self.run(self.now + ms * 1_000);
        let node = &self.nodes[&id];
        let in_force = node.in_force.first().expect("no version is in force");
        (in_force.1 - node.first_heartbeat.expect("no heartbeat was received")) / 1_000
    }

    fn run(&mut self, end: u64) {
        while let Some(Reverse(key)) = self.queue.peek().copied()
            && key.0 <= end
        {
            self.queue.pop();
            self.now = key.0;
            let event = self.events.remove(&key).expect("a queued event");
            self.handle_event(event);
        }
        self.now = end;
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick(id) => {
                self.handle(id, ConfigSyncInput::Tick);
                self.schedule(self.now + TICK_INTERVAL, Event::Tick(id));
            }
            Event::SendHeartbeats(id) => {
                let all: Vec<_> = self.nodes.keys().copied().collect();
                for to in all.into_iter().filter(|to| *to != id) {
                    self.send_heartbeat(id, to);
                }
                self.schedule(self.now + HEARTBEAT_INTERVAL, Event::SendHeartbeats(id));
            }
            Event::Accept(id, version, bytes) => self.put_in_force(id, document(version, bytes)),
            Event::Arrive(message) => {
                let bytes = message.packet.bytes();
                let node = self.nodes.get_mut(&message.to).expect("a process");
                node.downlink_free =
                    node.downlink_free.max(self.now) + bytes * 1_000 / rate(node.kind);
                let when = node.downlink_free;
                if matches!(message.packet, Packet::Config(_)) {
                    node.received += bytes;
                }
                self.schedule(when, Event::Deliver(message));
            }
            Event::Deliver(message) => self.deliver(message),
        }
    }

    fn deliver(&mut self, message: Message) {
        let Message {
            from,
            to,
            sent_at,
            packet,
        } = message;
        match packet {
            Packet::Heartbeat(version) => {
                let transit = self.latency(from, to) + 2 * MESSAGE_OVERHEAD * 1_000 / ENTRY_RATE;
                self.max_wait = self
                    .max_wait
                    .max((self.now - sent_at).saturating_sub(transit));
                let sender = &self.nodes[&from];
                let status = PeerStatus {
                    instance: InstanceId(from),
                    kind: sender.kind,
                    dc: DataCentreId(sender.dc as u8),
                    version,
                };
                let node = self.nodes.get_mut(&to).expect("a process");
                node.first_heartbeat = node.first_heartbeat.or(Some(self.now));
                self.handle(to, ConfigSyncInput::Heartbeat(status));
            }
            Packet::Config(msg) => {
                if !self.is_unresponsive(to) {
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
                    if !self.is_unresponsive(id) {
                        self.send(id, to.0, Packet::Config(msg));
                    }
                }
                ConfigSyncOutput::SendHeartbeats(others) => {
                    for other in others {
                        self.send_heartbeat(id, other.0);
                    }
                }
                ConfigSyncOutput::Fetched(document) => self.put_in_force(id, document),
                ConfigSyncOutput::Event(_) => {}
            }
        }
    }

    /// Puts a document in force if it is newer, as the host does.
    fn put_in_force(&mut self, id: u32, fetched: VersionedDocument) {
        let node = self.nodes.get_mut(&id).expect("a process");
        let version = fetched.version;
        if version <= node.sync.version() {
            return;
        }
        if let Some(change) = self.changes.get((version as usize).wrapping_sub(2)) {
            assert_eq!(fetched, document(version, change.bytes));
        }
        node.in_force.push((version, self.now));
        self.handle(id, ConfigSyncInput::InForce(fetched));
    }

    fn send_heartbeat(&mut self, from: u32, to: u32) {
        let version = self.nodes[&from].sync.version();
        self.send(from, to, Packet::Heartbeat(version));
    }

    fn send(&mut self, from: u32, to: u32, packet: Packet) {
        if self.is_stopped(from) || self.is_stopped(to) || self.is_cut(from, to) {
            return;
        }
        let latency = self.latency(from, to);
        let node = self.nodes.get_mut(&from).expect("a process");
        node.uplink_free =
            node.uplink_free.max(self.now) + packet.bytes() * 1_000 / rate(node.kind);
        let (when, sent_at) = (node.uplink_free + latency, self.now);
        let message = Message {
            from,
            to,
            sent_at,
            packet,
        };
        self.schedule(when, Event::Arrive(message));
    }

    fn latency(&self, from: u32, to: u32) -> u64 {
        if self.nodes[&from].dc == self.nodes[&to].dc {
            LOCAL_LATENCY
        } else {
            REMOTE_LATENCY
        }
    }

    fn is_unresponsive(&self, id: u32) -> bool {
        matches!(self.fault, Fault::Unresponsive { first, last, at_ms }
            if (first..=last).contains(&id) && self.now >= FIRST_CHANGE + at_ms * 1_000)
    }

    fn is_stopped(&self, id: u32) -> bool {
        matches!(self.fault, Fault::Stop { first, last, at_ms }
            if (first..=last).contains(&id) && self.now >= FIRST_CHANGE + at_ms * 1_000)
    }

    fn is_cut(&self, a: u32, b: u32) -> bool {
        let inside =
            |id: u32| self.nodes[&id].kind == ProcessKind::Entry && self.nodes[&id].dc == 0;
        self.fault == Fault::CutOff && self.now >= FIRST_CHANGE && inside(a) != inside(b)
    }

    fn entries(&self) -> impl Iterator<Item = (u32, &Node)> {
        let entries = self.nodes.iter();
        entries
            .filter(|(_, node)| node.kind == ProcessKind::Entry)
            .map(|(id, node)| (*id, node))
    }

    /// Returns the maximum number of bytes of documents that an entry received, in percent of all documents.
    pub(crate) fn max_received(&self) -> u64 {
        let all: usize = self.changes.iter().map(|change| change.bytes).sum();
        let most = self.entries().map(|(_, node)| node.received).max();
        most.unwrap_or(0) * 100 / all as u64
    }

    /// Returns the maximum time that a heartbeat waited behind other messages, in ms.
    pub(crate) fn max_wait(&self) -> u64 {
        self.max_wait / 1_000
    }

    /// Returns the entries that put the last version in force later than `deadline_ms` after it was accepted, or never,
    /// and how long it took, in ms.
    pub(crate) fn late_entries(&self, deadline_ms: u64) -> Vec<(u32, Option<u64>)> {
        let last = self.changes.len() as u64 + 1;
        let accepted = FIRST_CHANGE + self.changes.last().expect("a change").at_ms * 1_000;
        let took = |node: &Node| {
            let had = node.in_force.iter().find(|(version, _)| *version == last);
            had.map(|(_, at)| (at - accepted) / 1_000)
        };
        let took = self.entries().map(|(id, node)| (id, took(node)));
        took.filter(|(_, took)| took.is_none_or(|took| took > deadline_ms))
            .collect()
    }

    /// Returns the maximum time that an entry put no newer version in force between the first and the last change, in ms.
    pub(crate) fn max_gap(&self) -> u64 {
        let end = FIRST_CHANGE + self.changes.last().expect("a change").at_ms * 1_000;
        let gap = |node: &Node| {
            let mut times: Vec<_> = node
                .in_force
                .iter()
                .map(|(_, at)| (*at).clamp(FIRST_CHANGE, end))
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

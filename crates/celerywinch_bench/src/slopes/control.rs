//! Heartbeats, announcements, and the spreading of a catalogue, by size.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context;
use celerywinch_catalogue::{Catalogue, Document, TeamEntry};
use celerywinch_entry::{ConfigBuilder, Entry, Event, Input, Output};
use celerywinch_types::{
    DataCentreId, EndpointAnnouncement, EndpointState, Incarnation, InstanceId, PeerMsg, Process,
    Time, WallMs,
};

use super::Row;
use crate::deployment::CONDOR;

/// How long the cluster runs before anything is counted.
const WARM_UP: Duration = Duration::from_secs(4);
/// The same for the spreading of a catalogue: every instance must have met every other.
const SPREAD_WARM_UP: Duration = Duration::from_millis(1200);
const SPREAD_COUNTED: Duration = Duration::from_millis(400);
/// How long is counted.
const COUNTED: Duration = Duration::from_secs(10);
/// One way between instances of one data centre, and of two.
const NEAR: Duration = Duration::from_micros(300);
const FAR: Duration = Duration::from_micros(1500);
/// Bytes that a message has besides its body: length, stamp, and its share of a frame.
const FRAME: usize = 20;
/// Between two looks at the timers.
const TICK: Duration = Duration::from_millis(20);

/// A layout to measure.
#[derive(Clone, Copy, Debug)]
struct Size {
    dcs: usize,
    entries: usize,
    /// Endpoints of each data centre.
    endpoints: usize,
    teams: usize,
}

impl Size {
    fn text(&self) -> String {
        format!(
            "{} entries, {} data centres, {} endpoints",
            self.dcs * self.entries,
            self.dcs,
            self.dcs * self.endpoints
        )
    }
}

struct Sim {
    now: Time,
    nodes: Vec<Entry>,
    dcs: Vec<usize>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, (usize, Input)>,
    serial: u64,
    messages: Vec<u64>,
    bytes: Vec<u64>,
    busy: Duration,
    in_force: BTreeMap<usize, Time>,
    version: u64,
}

pub(super) fn measure() -> anyhow::Result<Vec<Row>> {
    let mut rows = Vec::new();
    let sizes = [
        (1, 7, 0),
        (4, 2, 0),
        (8, 1, 0),
        (8, 3, 0),
        (8, 5, 0),
        (8, 8, 0),
        (8, 3, 24),
        (8, 3, 48),
        (8, 3, 95),
    ];
    for (dcs, entries, endpoints) in sizes {
        let size = Size {
            dcs,
            entries,
            endpoints,
            teams: 270,
        };
        rows.extend(steady(size)?);
    }
    for (dcs, entries) in [(3, 3), (8, 3), (10, 10), (20, 50)] {
        let size = Size {
            dcs,
            entries,
            endpoints: 0,
            teams: 270,
        };
        rows.extend(spread(size)?);
    }
    Ok(rows)
}

fn steady(size: Size) -> anyhow::Result<Vec<Row>> {
    let mut sim = Sim::new(size)?;
    sim.run(WARM_UP, size);
    sim.reset();
    sim.run(COUNTED, size);
    let nodes = sim.nodes.len() as f64;
    let seconds = COUNTED.as_secs_f64();
    let per_node = |values: &[u64]| {
        let most = values.iter().max().copied().unwrap_or(0);
        most as f64 / seconds
    };
    let busy = sim.busy.as_secs_f64() / nodes / seconds;
    Ok(vec![
        Row::new(
            "control messages sent, busiest node",
            size.text(),
            per_node(&sim.messages),
            "1/s",
        ),
        Row::new(
            "control bytes sent, busiest node",
            size.text(),
            per_node(&sim.bytes) / 1000.0,
            "KB/s",
        ),
        Row::new(
            "control decisions, processor",
            size.text(),
            busy * 100.0,
            "% of a core",
        ),
    ])
}

/// Time from the commit at the leader until a version is in force everywhere.
fn spread(size: Size) -> anyhow::Result<Vec<Row>> {
    let mut sim = Sim::new(size)?;
    sim.run(SPREAD_WARM_UP, size);
    sim.reset();
    let began = sim.now;
    sim.version += 1;
    let catalogue = catalogue(sim.version, size.teams)?;
    sim.input(0, Input::CatalogueCommitted(catalogue, true));
    sim.run(SPREAD_COUNTED, size);
    let mut times: Vec<_> = sim
        .in_force
        .values()
        .map(|at| at.since(began).as_secs_f64() * 1000.0)
        .collect();
    times.sort_by(f64::total_cmp);
    anyhow::ensure!(times.len() == sim.nodes.len(), "not in force everywhere");
    let last = times.last().copied().context("there are nodes")?;
    let p99 = times[(times.len() * 99 / 100).min(times.len() - 1)];
    let leader = sim.bytes[0] as f64 / 1000.0;
    Ok(vec![
        Row::new(
            "commit to in force, p99 of instances",
            size.text(),
            p99,
            "ms",
        ),
        Row::new("commit to in force, last instance", size.text(), last, "ms"),
        Row::new(
            "bytes sent by the leader for one change",
            size.text(),
            leader,
            "KB",
        ),
    ])
}

fn catalogue(version: u64, teams: usize) -> anyhow::Result<Arc<Catalogue>> {
    let mut document: Document = CONDOR.document()?;
    for team in 0..teams {
        let name = format!("team-{team}");
        document.teams.insert(name, TeamEntry { quota: 10 });
    }
    let catalogue = Catalogue::check(version, document);
    let catalogue = catalogue.map_err(|problems| anyhow::anyhow!("{problems:?}"))?;
    Ok(Arc::new(catalogue))
}

impl Sim {
    fn new(size: Size) -> anyhow::Result<Self> {
        let count = size.dcs * size.entries;
        let dcs: Vec<_> = (0..count).map(|node| node % size.dcs).collect();
        let mut instances = Vec::new();
        for (node, dc) in dcs.iter().enumerate() {
            let id = InstanceId(u32::try_from(node + 1)?);
            instances.push((id, DataCentreId(u8::try_from(dc + 1)?), format!("dc-{dc}")));
        }
        let mut sim = Self {
            now: Time(1_000_000),
            nodes: Vec::new(),
            dcs,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            serial: 0,
            messages: vec![0; count],
            bytes: vec![0; count],
            busy: Duration::ZERO,
            in_force: BTreeMap::new(),
            version: 1,
        };
        let first = catalogue(1, size.teams)?;
        for (id, dc, _) in &instances {
            let me = Process {
                instance: *id,
                incarnation: Incarnation(1),
            };
            let wall = WallMs(1_700_000_000_000);
            let builder = ConfigBuilder::new(me, *dc, wall, instances.clone());
            // Starts are spread out, as in life: else all heartbeats would fall on one moment.
            let offset = Duration::from_micros(u64::from(id.0) * 7919 % 200_000);
            sim.nodes
                .push(Entry::new(builder.build(), sim.now + offset));
        }
        for node in 0..count {
            sim.schedule(Duration::ZERO, node, Input::InitialCatalogue(first.clone()));
            sim.schedule(TICK, node, Input::Tick);
        }
        Ok(sim)
    }

    fn reset(&mut self) {
        self.messages.fill(0);
        self.bytes.fill(0);
        self.busy = Duration::ZERO;
        self.in_force.clear();
    }

    fn schedule(&mut self, after: Duration, node: usize, input: Input) {
        self.serial += 1;
        self.queue.push(Reverse((self.now + after, self.serial)));
        self.events.insert(self.serial, (node, input));
    }

    fn run(&mut self, span: Duration, size: Size) {
        let end = self.now + span;
        self.announce(span, size);
        while let Some(Reverse((at, serial))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some((node, input)) = self.events.remove(&serial) {
                if matches!(input, Input::Tick) {
                    self.schedule(TICK, node, Input::Tick);
                }
                self.input(node, input);
            }
        }
        self.now = end;
    }

    /// Every endpoint announces itself once a second, to the entries of its data centre in turn.
    fn announce(&mut self, span: Duration, size: Size) {
        let base = self.now.0 / 1_000_000;
        for second in 0..span.as_secs() {
            for endpoint in 0..size.dcs * size.endpoints {
                let dc = endpoint % size.dcs;
                let turn = (endpoint / size.dcs + second as usize) % size.entries;
                let node = dc + turn * size.dcs;
                let spread = Duration::from_micros(endpoint as u64 * 997 % 1_000_000);
                let note = note(endpoint, dc, base + second + 1);
                let at = Duration::from_secs(second) + spread;
                self.schedule(at, node, Input::Announce(note));
            }
        }
    }

    fn input(&mut self, node: usize, input: Input) {
        let mut out = Vec::new();
        let began = Instant::now();
        self.nodes[node].handle(self.now, input, &mut out);
        self.busy += began.elapsed();
        for output in out {
            match output {
                Output::Send(to, msg) => self.send(node, to, msg),
                Output::Event(Event::Catalogue { .. }) => {
                    self.in_force.insert(node, self.now);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, node: usize, to: InstanceId, msg: PeerMsg) {
        let target = to.0 as usize - 1;
        let size = bincode::serde::encode_to_vec(&msg, bincode::config::standard());
        let size = size.map_or(0, |bytes| bytes.len()) + FRAME;
        self.messages[node] += 1;
        self.bytes[node] += size as u64;
        let near = self.dcs[node] == self.dcs[target];
        let from = Process {
            instance: InstanceId(u32::try_from(node + 1).unwrap_or(u32::MAX)),
            incarnation: Incarnation(1),
        };
        let delay = if near { NEAR } else { FAR };
        self.schedule(delay, target, Input::PeerMessage(from, msg));
    }
}

fn note(endpoint: usize, dc: usize, sequence: u64) -> EndpointAnnouncement {
    let port = u16::try_from(10_000 + endpoint).unwrap_or(u16::MAX);
    EndpointAnnouncement {
        addr: SocketAddr::from(([127, 0, 0, 1], port)),
        incarnation: 1_700_000_000_000,
        sequence,
        dc: DataCentreId(u8::try_from(dc + 1).unwrap_or(u8::MAX)),
        rack: format!("rack-{}", endpoint / 8).into(),
        kinds: ["price-check", "scan-match", "stock-hold"]
            .map(Into::into)
            .to_vec(),
        slots: 8,
        connections: 64,
        state: EndpointState::Serving,
        age_ms: 0,
    }
}

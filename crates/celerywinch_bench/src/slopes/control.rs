//! Measures the cost of heartbeats and announcements, and the time of catalogue propagation, by size of the deployment.

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

/// Simulated time before the steady state is measured.
const WARM_UP: Duration = Duration::from_secs(4);
/// Simulated time before a catalogue is committed; in this time every instance must have met every other.
const PROPAGATION_WARM_UP: Duration = Duration::from_millis(1200);
/// Simulated time in which a committed catalogue must reach all instances.
const PROPAGATION_TIME: Duration = Duration::from_millis(400);
/// Simulated time in which the steady state is measured.
const MEASURE_TIME: Duration = Duration::from_secs(10);
/// One-way latency between instances of the same data centre, and of different ones.
const LOCAL_LATENCY: Duration = Duration::from_micros(300);
const REMOTE_LATENCY: Duration = Duration::from_micros(1500);
/// Bytes of a message beyond its body: length, stamp, and its share of a frame.
const MESSAGE_OVERHEAD: usize = 20;
/// Interval at which instances check their timers.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The size of a deployment.
#[derive(Clone, Copy, Debug)]
struct Layout {
    dcs: usize,
    entries: usize,
    /// Number of endpoints of each data centre.
    endpoints: usize,
    teams: usize,
}

impl Layout {
    fn describe(&self) -> String {
        format!(
            "{} entries, {} data centres, {} endpoints",
            self.dcs * self.entries,
            self.dcs,
            self.dcs * self.endpoints
        )
    }
}

struct Simulation {
    now: Time,
    nodes: Vec<Entry>,
    dcs: Vec<usize>,
    /// Scheduled inputs by time and serial number.
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    /// The node and the input of each entry of `queue`, by serial number.
    events: HashMap<u64, (usize, Input)>,
    serial: u64,
    /// Messages sent by each node.
    messages: Vec<u64>,
    /// Bytes sent by each node.
    bytes: Vec<u64>,
    /// Time that the state machines of all nodes have taken.
    cpu_time: Duration,
    /// Time at which a node put the latest catalogue in force.
    applied_at: BTreeMap<usize, Time>,
    version: u64,
}

pub(super) fn measure() -> anyhow::Result<Vec<Row>> {
    let mut rows = Vec::new();
    let layouts = [
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
    for (dcs, entries, endpoints) in layouts {
        let layout = Layout {
            dcs,
            entries,
            endpoints,
            teams: 270,
        };
        rows.extend(measure_steady_state(layout)?);
    }
    for (dcs, entries) in [(3, 3), (8, 3), (10, 10), (20, 50)] {
        let layout = Layout {
            dcs,
            entries,
            endpoints: 0,
            teams: 270,
        };
        rows.extend(measure_propagation(layout)?);
    }
    Ok(rows)
}

fn measure_steady_state(layout: Layout) -> anyhow::Result<Vec<Row>> {
    let mut simulation = Simulation::new(layout)?;
    simulation.run(WARM_UP, layout);
    simulation.reset();
    simulation.run(MEASURE_TIME, layout);
    let nodes = simulation.nodes.len() as f64;
    let seconds = MEASURE_TIME.as_secs_f64();
    let per_node = |values: &[u64]| {
        let max = values.iter().max().copied().unwrap_or(0);
        max as f64 / seconds
    };
    let cpu_share = simulation.cpu_time.as_secs_f64() / nodes / seconds;
    Ok(vec![
        Row::new(
            "control messages sent, busiest node",
            layout.describe(),
            per_node(&simulation.messages),
            "1/s",
        ),
        Row::new(
            "control bytes sent, busiest node",
            layout.describe(),
            per_node(&simulation.bytes) / 1000.0,
            "KB/s",
        ),
        Row::new(
            "control decisions, processor",
            layout.describe(),
            cpu_share * 100.0,
            "% of a core",
        ),
    ])
}

/// Measures the time from the commit at the leader until a version is in force at every instance.
fn measure_propagation(layout: Layout) -> anyhow::Result<Vec<Row>> {
    let mut simulation = Simulation::new(layout)?;
    simulation.run(PROPAGATION_WARM_UP, layout);
    simulation.reset();
    let started_at = simulation.now;
    simulation.version += 1;
    let catalogue = catalogue(simulation.version, layout.teams)?;
    simulation.handle_input(0, Input::CatalogueCommitted(catalogue, true));
    simulation.run(PROPAGATION_TIME, layout);
    let mut times: Vec<_> = simulation
        .applied_at
        .values()
        .map(|at| at.since(started_at).as_secs_f64() * 1000.0)
        .collect();
    times.sort_by(f64::total_cmp);
    anyhow::ensure!(
        times.len() == simulation.nodes.len(),
        "the catalogue is not in force at every instance"
    );
    let last = times.last().copied().context("there are no instances")?;
    let p99 = times[(times.len() * 99 / 100).min(times.len() - 1)];
    let leader_kb = simulation.bytes[0] as f64 / 1000.0;
    Ok(vec![
        Row::new(
            "commit to in force, p99 of instances",
            layout.describe(),
            p99,
            "ms",
        ),
        Row::new(
            "commit to in force, last instance",
            layout.describe(),
            last,
            "ms",
        ),
        Row::new(
            "bytes sent by the leader for one change",
            layout.describe(),
            leader_kb,
            "KB",
        ),
    ])
}

/// Returns a catalogue of the `condor` deployment with additional teams.
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

impl Simulation {
    fn new(layout: Layout) -> anyhow::Result<Self> {
        let count = layout.dcs * layout.entries;
        let dcs: Vec<_> = (0..count).map(|node| node % layout.dcs).collect();
        let mut instances = Vec::new();
        for (node, dc) in dcs.iter().enumerate() {
            let id = InstanceId(u32::try_from(node + 1)?);
            instances.push((id, DataCentreId(u8::try_from(dc + 1)?), format!("dc-{dc}")));
        }
        let mut simulation = Self {
            now: Time(1_000_000),
            nodes: Vec::new(),
            dcs,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            serial: 0,
            messages: vec![0; count],
            bytes: vec![0; count],
            cpu_time: Duration::ZERO,
            applied_at: BTreeMap::new(),
            version: 1,
        };
        let first = catalogue(1, layout.teams)?;
        for (id, dc, _) in &instances {
            let me = Process {
                instance: *id,
                incarnation: Incarnation(1),
            };
            let wall = WallMs(1_700_000_000_000);
            let builder = ConfigBuilder::new(me, *dc, wall, instances.clone());
            // Instances start at different times, as in production; otherwise all heartbeats would coincide.
            let offset = Duration::from_micros(u64::from(id.0) * 7919 % 200_000);
            simulation
                .nodes
                .push(Entry::new(builder.build(), simulation.now + offset));
        }
        for node in 0..count {
            simulation.schedule(Duration::ZERO, node, Input::InitialCatalogue(first.clone()));
            simulation.schedule(TICK_INTERVAL, node, Input::Tick);
        }
        Ok(simulation)
    }

    /// Resets all counters.
    fn reset(&mut self) {
        self.messages.fill(0);
        self.bytes.fill(0);
        self.cpu_time = Duration::ZERO;
        self.applied_at.clear();
    }

    fn schedule(&mut self, delay: Duration, node: usize, input: Input) {
        self.serial += 1;
        self.queue.push(Reverse((self.now + delay, self.serial)));
        self.events.insert(self.serial, (node, input));
    }

    fn run(&mut self, duration: Duration, layout: Layout) {
        let end = self.now + duration;
        self.schedule_announcements(duration, layout);
        while let Some(Reverse((at, serial))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some((node, input)) = self.events.remove(&serial) {
                if matches!(input, Input::Tick) {
                    self.schedule(TICK_INTERVAL, node, Input::Tick);
                }
                self.handle_input(node, input);
            }
        }
        self.now = end;
    }

    /// Schedules the announcements of all endpoints: one per second each, to the entries of its data centre in turn.
    fn schedule_announcements(&mut self, duration: Duration, layout: Layout) {
        let base = self.now.0 / 1_000_000;
        for second in 0..duration.as_secs() {
            for endpoint in 0..layout.dcs * layout.endpoints {
                let dc = endpoint % layout.dcs;
                let entry = (endpoint / layout.dcs + second as usize) % layout.entries;
                let node = dc + entry * layout.dcs;
                let offset = Duration::from_micros(endpoint as u64 * 997 % 1_000_000);
                let announcement = announcement(endpoint, dc, base + second + 1);
                let at = Duration::from_secs(second) + offset;
                self.schedule(at, node, Input::Announce(announcement));
            }
        }
    }

    fn handle_input(&mut self, node: usize, input: Input) {
        let mut outputs = Vec::new();
        let started_at = Instant::now();
        self.nodes[node].handle(self.now, input, &mut outputs);
        self.cpu_time += started_at.elapsed();
        for output in outputs {
            match output {
                Output::Send(to, msg) => self.send(node, to, msg),
                Output::Event(Event::Catalogue { .. }) => {
                    self.applied_at.insert(node, self.now);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, node: usize, to: InstanceId, msg: PeerMsg) {
        let target = to.0 as usize - 1;
        let size = bincode::serde::encode_to_vec(&msg, bincode::config::standard());
        let size = size.map_or(0, |bytes| bytes.len()) + MESSAGE_OVERHEAD;
        self.messages[node] += 1;
        self.bytes[node] += size as u64;
        let is_local = self.dcs[node] == self.dcs[target];
        let from = Process {
            instance: InstanceId(u32::try_from(node + 1).unwrap_or(u32::MAX)),
            incarnation: Incarnation(1),
        };
        let delay = if is_local {
            LOCAL_LATENCY
        } else {
            REMOTE_LATENCY
        };
        self.schedule(delay, target, Input::PeerMessage(from, msg));
    }
}

fn announcement(endpoint: usize, dc: usize, sequence: u64) -> EndpointAnnouncement {
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

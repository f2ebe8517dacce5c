//! Long randomised runs of the keepers: operators race, keepers crash at any point of their work,
//! disks are lost, and the history of changes is checked.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::time::Duration;

use celerywinch_catalogue::{Applied, ApplyError, Document, Edit, TeamEntry};
use celerywinch_keeper::{Keeper, KeeperOutput, ProposalId, Proposer, ProposerOutput, StoreMsg};
use celerywinch_store::{
    Entry, Input, KeeperId, Output, PersistedState, RaftConfig, RaftMsg, Snapshot,
};
use celerywinch_types::{InstanceId, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::network::Network;
use super::{Report, SoakOptions};

/// Keepers of the run.
const KEEPERS: usize = 3;
/// Operators, each at an instance of its own that is no keeper.
const OPERATORS: usize = 3;
/// How long the run goes on without faults at its end, so that everything can settle.
const CALM_END: Duration = Duration::from_secs(20);
/// Entries after which a snapshot is made: few, so that there are many snapshots.
const COMPACT_AFTER: usize = 16;

#[derive(Debug)]
enum Event {
    Deliver(usize, InstanceId, Box<StoreMsg>),
    Tick(usize, u64),
    Start(usize),
    Edit(usize),
    Fault,
}

/// What a keeper's disk holds.
#[derive(Clone, Debug, Default)]
struct FakeDisk {
    identity: u64,
    vote: (u64, Option<KeeperId>),
    snapshot: Snapshot,
    entries: Vec<Entry>,
}

#[derive(Debug, Default)]
struct Node {
    life: u64,
    keeper: Option<Keeper>,
    proposer: Option<Proposer>,
    disk: FakeDisk,
    /// The highest version that it put in force, over all lives with the same disk.
    in_force: u64,
}

/// An operator's change that waits.
#[derive(Debug)]
struct Waiting {
    edit: Edit,
    resend: bool,
}

struct Store {
    now: Time,
    random: ChaCha8Rng,
    events: BinaryHeap<Reverse<(Time, u64)>>,
    bodies: HashMap<u64, Event>,
    serial: u64,
    nodes: Vec<Node>,
    network: Network,
    waiting: HashMap<(usize, ProposalId), Waiting>,
    /// The version that each operator believes to be the latest.
    seen: Vec<u64>,
    /// First answers by change.
    answers: BTreeMap<String, Result<Applied, ApplyError>>,
    bases: BTreeMap<String, u64>,
    documents: BTreeMap<u64, Document>,
    accepted: BTreeMap<u64, String>,
    changes: u64,
    report: Report,
    faults_until: Time,
    /// No further changes are made: the keepers are to agree on those there are.
    ending: bool,
}

/// Runs and checks.
#[must_use]
pub fn run_store(options: &SoakOptions) -> Report {
    let mut store = Store::new(options);
    while store.report.steps < options.steps && store.step() {}
    store.finish()
}

impl Store {
    fn new(options: &SoakOptions) -> Self {
        let faults_until = if options.faults { Time::NEVER } else { Time(0) };
        let mut store = Self {
            now: Time(1_000_000),
            random: ChaCha8Rng::seed_from_u64(options.seed),
            events: BinaryHeap::new(),
            bodies: HashMap::new(),
            serial: 0,
            nodes: (0..KEEPERS + OPERATORS).map(|_| Node::default()).collect(),
            network: Network::new(),
            waiting: HashMap::new(),
            seen: vec![0; KEEPERS + OPERATORS],
            answers: BTreeMap::new(),
            bases: BTreeMap::new(),
            documents: BTreeMap::new(),
            accepted: BTreeMap::new(),
            changes: 0,
            report: Report::default(),
            faults_until,
            ending: false,
        };
        for node in 0..store.nodes.len() {
            store.start(node);
            if node >= KEEPERS {
                store.after(Duration::from_secs(2), Event::Edit(node));
            }
        }
        store.after(Duration::from_secs(4), Event::Fault);
        store
    }

    fn after(&mut self, span: Duration, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((self.now + span, self.serial)));
        self.bodies.insert(self.serial, event);
    }

    fn step(&mut self) -> bool {
        let Some(Reverse((at, serial))) = self.events.pop() else {
            return false;
        };
        self.now = at;
        self.report.steps += 1;
        match self.bodies.remove(&serial) {
            Some(Event::Deliver(node, from, msg)) => self.deliver(node, from, *msg),
            Some(Event::Tick(node, life)) => self.tick(node, life),
            Some(Event::Start(node)) => self.start(node),
            Some(Event::Edit(node)) => self.edit(node),
            Some(Event::Fault) => self.fault(),
            None => {}
        }
        true
    }

    fn id(node: usize) -> InstanceId {
        InstanceId(u32::try_from(node + 1).unwrap_or(u32::MAX))
    }

    fn start(&mut self, index: usize) {
        self.nodes[index].life += 1;
        let life = self.nodes[index].life;
        let seed = self.random.random();
        let keepers: Vec<_> = (0..KEEPERS).map(Self::id).collect();
        self.nodes[index].proposer = Some(Proposer::new(keepers.clone(), seed));
        if index < KEEPERS {
            self.start_keeper(index, keepers, seed);
        }
        self.after(Duration::from_millis(1), Event::Tick(index, life));
    }

    fn start_keeper(&mut self, index: usize, instances: Vec<InstanceId>, seed: u64) {
        let fresh = self.random.random();
        let disk = &mut self.nodes[index].disk;
        if disk.identity == 0 {
            disk.identity = fresh;
        }
        let config = RaftConfig {
            me: KeeperId {
                instance: Self::id(index),
                disk: disk.identity,
            },
            instances,
            bootstrap: true,
            max_voters: usize::MAX,
            heartbeat_interval: Duration::from_millis(75),
            election_timeout: Duration::from_millis(300),
            compact_after: COMPACT_AFTER,
            seed,
        };
        let loaded = PersistedState {
            vote: disk.vote,
            snapshot: disk.snapshot.clone(),
            entries: disk.entries.clone(),
            torn_bytes: 0,
        };
        match Keeper::new(config, self.now, loaded) {
            Ok(keeper) => self.nodes[index].keeper = Some(keeper),
            Err(error) => self.report.violations.push(format!("{error:#}")),
        }
    }

    fn tick(&mut self, index: usize, life: u64) {
        if self.nodes[index].life != life || self.nodes[index].proposer.is_none() {
            return;
        }
        self.after(Duration::from_millis(10), Event::Tick(index, life));
        self.input(index, Input::Tick);
        let mut out = Vec::new();
        if let Some(proposer) = &mut self.nodes[index].proposer {
            proposer.tick(self.now, &mut out);
        }
        self.proposer_outputs(index, out);
    }

    fn input(&mut self, index: usize, input: Input) {
        let mut out = Vec::new();
        if let Some(keeper) = &mut self.nodes[index].keeper {
            keeper.handle(self.now, input, &mut out);
        }
        self.keeper_outputs(index, out);
    }

    /// Carries outputs out in order; the process may die before any of them.
    fn keeper_outputs(&mut self, index: usize, out: Vec<KeeperOutput>) {
        let doomed = self.now < self.faults_until && self.random.random_bool(0.0005);
        let survives = if doomed {
            self.random.random_range(0..=out.len())
        } else {
            usize::MAX
        };
        let mut writes = 0;
        for (done, output) in out.into_iter().enumerate() {
            if done >= survives {
                self.crash(index);
                return;
            }
            writes += usize::from(self.keeper_output(index, output));
        }
        if writes > 0 {
            self.input(index, Input::Synced(writes));
        }
    }

    /// Carries out one output; whether it was a write to the disk.
    fn keeper_output(&mut self, index: usize, output: KeeperOutput) -> bool {
        let disk = &mut self.nodes[index].disk;
        match output {
            KeeperOutput::Log(Output::PersistVote { term, vote }) => disk.vote = (term, vote),
            KeeperOutput::Log(Output::Truncate(from)) => {
                disk.entries.retain(|entry| entry.index < from);
            }
            KeeperOutput::Log(Output::PersistEntries(entries)) => {
                disk.entries.extend(entries);
            }
            KeeperOutput::Log(Output::PersistSnapshot(snapshot)) => {
                let keep = |entry: &Entry| entry.index > snapshot.index;
                disk.entries.retain(keep);
                disk.snapshot = snapshot;
            }
            KeeperOutput::Log(Output::Send(to, to_disk, msg)) => {
                self.send_log(index, to, to_disk, msg);
                return false;
            }
            KeeperOutput::Log(_) => return false,
            KeeperOutput::Answer(to, id, answer) => {
                self.send(index, to, StoreMsg::ProposalAnswer { id, answer });
                return false;
            }
            KeeperOutput::Committed {
                version, document, ..
            } => {
                self.committed(index, version, document);
                return false;
            }
        }
        true
    }

    fn send_log(&mut self, index: usize, to: InstanceId, disk: Option<u64>, msg: RaftMsg) {
        let Some(keeper) = &self.nodes[index].keeper else {
            return;
        };
        match keeper.encode_message(to, disk, msg) {
            Ok(msg) => self.send(index, to, msg),
            Err(error) => self.report.violations.push(format!("{error:#}")),
        }
    }

    fn committed(&mut self, index: usize, version: u64, document: Document) {
        let known = self.documents.entry(version).or_insert(document.clone());
        if *known != document {
            let line = format!("version {version} differs at keeper {index}");
            self.report.violations.push(line);
        }
        self.nodes[index].in_force = self.nodes[index].in_force.max(version);
    }

    fn send(&mut self, from: usize, to: InstanceId, msg: StoreMsg) {
        let target = to.0 as usize - 1;
        if target == from {
            self.after(
                Duration::from_micros(1),
                Event::Deliver(from, to, Box::new(msg)),
            );
            return;
        }
        for delay in self.network.deliveries(from, target, &mut self.random) {
            let msg = Box::new(msg.clone());
            self.after(delay, Event::Deliver(target, Self::id(from), msg));
        }
    }

    fn deliver(&mut self, index: usize, from: InstanceId, msg: StoreMsg) {
        let now = self.now;
        let mut out = Vec::new();
        match msg {
            StoreMsg::Log(bytes) => {
                if let Some(keeper) = &mut self.nodes[index].keeper
                    && let Err(error) = keeper.handle_encoded(now, &bytes, &mut out)
                {
                    self.report.violations.push(format!("{error:#}"));
                }
            }
            StoreMsg::Propose { id, edit } => {
                if let Some(keeper) = &mut self.nodes[index].keeper {
                    keeper.propose(now, from, id, edit, &mut out);
                }
            }
            StoreMsg::ProposalAnswer { id, answer } => {
                let mut done = Vec::new();
                if let Some(proposer) = &mut self.nodes[index].proposer {
                    proposer.handle_answer(now, from, id, answer, &mut done);
                }
                self.proposer_outputs(index, done);
            }
        }
        self.keeper_outputs(index, out);
    }

    /// An operator makes a change, sometimes from an old version, sometimes one sent before.
    fn edit(&mut self, index: usize) {
        if self.ending {
            return;
        }
        let pause = Duration::from_millis(self.random.random_range(5..400));
        self.after(pause, Event::Edit(index));
        self.changes += 1;
        let team = format!("team-{}", self.changes);
        let mut document = Document::default();
        document.teams.insert(team, TeamEntry { quota: 1 });
        let edit = Edit {
            change_id: format!("change-{}", self.changes),
            base: self.seen.iter().copied().max().unwrap_or(0),
            document,
        };
        self.bases.insert(edit.change_id.clone(), edit.base);
        self.propose(index, edit, false);
    }

    fn propose(&mut self, index: usize, edit: Edit, resend: bool) {
        let mut out = Vec::new();
        let Some(proposer) = &mut self.nodes[index].proposer else {
            return;
        };
        match proposer.propose(self.now, &edit, &mut out) {
            Ok(id) => {
                self.waiting.insert((index, id), Waiting { edit, resend });
            }
            Err(error) => self.report.violations.push(format!("{error:#}")),
        }
        self.proposer_outputs(index, out);
    }

    fn proposer_outputs(&mut self, index: usize, out: Vec<ProposerOutput>) {
        for output in out {
            match output {
                ProposerOutput::Send(to, msg) => self.send(index, to, msg),
                ProposerOutput::Done(id, answer) => self.done(index, id, answer),
            }
        }
    }

    fn done(&mut self, index: usize, id: ProposalId, answer: Option<Result<Applied, ApplyError>>) {
        let Some(waiting) = self.waiting.remove(&(index, id)) else {
            return;
        };
        let Some(answer) = answer else {
            *self.report.replies.entry("unsure".into()).or_default() += 1;
            self.propose(index, waiting.edit, true);
            return;
        };
        let name = if answer.is_ok() {
            "accepted"
        } else {
            "conflict"
        };
        *self.report.replies.entry(name.into()).or_default() += 1;
        self.check_answer(index, &waiting.edit, &answer);
        if !self.ending && !waiting.resend && self.random.random_bool(0.1) {
            // The answer was lost on the way to the operator, who sends the change again.
            self.propose(index, waiting.edit, true);
        }
    }

    fn check_answer(&mut self, index: usize, edit: &Edit, answer: &Result<Applied, ApplyError>) {
        let first = self
            .answers
            .entry(edit.change_id.clone())
            .or_insert(answer.clone());
        if first != answer {
            let line = format!("{}: first {first:?}, then {answer:?}", edit.change_id);
            self.report.violations.push(line);
        }
        match answer {
            Ok(applied) => {
                self.seen[index] = self.seen[index].max(applied.version);
                let winner = self
                    .accepted
                    .entry(applied.version)
                    .or_insert(edit.change_id.clone());
                if *winner != edit.change_id || applied.version != edit.base + 1 {
                    let line = format!("{} and {winner} both made {applied:?}", edit.change_id);
                    self.report.violations.push(line);
                }
            }
            Err(ApplyError::Conflict { base, current, .. }) => {
                self.seen[index] = self.seen[index].max(*current);
                if current == base {
                    let line = format!("{}: a false conflict at {current}", edit.change_id);
                    self.report.violations.push(line);
                }
            }
            Err(ApplyError::Invalid(problems)) => {
                self.report
                    .violations
                    .push(format!("{}: {problems:?}", edit.change_id));
            }
        }
    }

    fn crash(&mut self, index: usize) {
        self.nodes[index].keeper = None;
        self.nodes[index].proposer = None;
        self.nodes[index].life += 1;
        let orphans = self.waiting.extract_if(|(node, _), _| *node == index);
        drop(orphans.collect::<Vec<_>>());
        let pause = Duration::from_millis(self.random.random_range(20..2_500));
        self.after(pause, Event::Start(index));
    }

    fn fault(&mut self) {
        if self.now >= self.faults_until {
            return;
        }
        let pause = Duration::from_millis(self.random.random_range(200..3_000));
        self.after(pause, Event::Fault);
        let one = self.random.random_range(0..KEEPERS);
        match self.random.random_range(0..8) {
            0 | 1 if self.nodes[one].keeper.is_some() => self.crash(one),
            2 => self.lose_disk(one),
            3 | 4 => {
                for other in (0..self.nodes.len()).filter(|other| *other != one) {
                    self.network.cut(one, other);
                    self.network.cut(other, one);
                }
            }
            5 => {
                let other = self.random.random_range(0..KEEPERS);
                self.network.cut(one, other);
            }
            _ => self.network.heal(),
        }
    }

    /// A disk is lost only while all keepers count: two lost disks of three lose the log, whatever
    /// the protocol. A second loss may follow as soon as the first is repaired.
    fn lose_disk(&mut self, index: usize) {
        let whole = self.nodes[..KEEPERS].iter().all(|node| {
            let status = node.keeper.as_ref().map(Keeper::status);
            status.is_some_and(|s| s.voters.len() == KEEPERS && s.role != "blank")
        });
        let current = self.current_voters();
        if !whole || !current {
            return;
        }
        *self.report.replies.entry("lost disks".into()).or_default() += 1;
        self.nodes[index].disk = FakeDisk::default();
        self.nodes[index].in_force = 0;
        self.crash(index);
    }

    /// Whether some leader's committed group names exactly the disks that there are.
    fn current_voters(&self) -> bool {
        self.nodes[..KEEPERS].iter().any(|node| {
            let status = node.keeper.as_ref().map(Keeper::status);
            status.is_some_and(|s| s.role == "leader" && s.learners.is_empty())
        })
    }

    fn finish(mut self) -> Report {
        self.settle();
        let newest = self.accepted.keys().max().copied().unwrap_or(0);
        for index in 0..KEEPERS {
            let version = self.nodes[index].keeper.as_ref().map(|k| k.catalogue().0);
            if version.is_none_or(|version| version < newest) {
                let line = format!("keeper {index} ends at {version:?}, {newest} was accepted");
                self.report.violations.push(line);
            }
        }
        let gaps = (1..=newest).filter(|version| !self.documents.contains_key(version));
        let gaps: Vec<_> = gaps.collect();
        if !gaps.is_empty() {
            self.report
                .violations
                .push(format!("versions that no keeper had: {gaps:?}"));
        }
        self.report.starts = newest;
        self.report
    }

    /// Heals everything and lets the keepers agree.
    fn settle(&mut self) {
        self.faults_until = Time(0);
        self.ending = true;
        self.network.heal();
        let end = self.now + CALM_END;
        while self.now < end && self.step() {}
    }
}

//! Randomised simulation of the keepers: operators make concurrent changes, keepers crash between any
//! two of their outputs, disks are lost, and the history of changes is checked.

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

/// Number of keepers.
const KEEPERS: usize = 3;
/// Number of operators, each at an instance of its own that is no keeper.
const OPERATORS: usize = 3;
/// Simulated time without faults at the end of a run, in which the keepers must agree.
const SETTLE_TIME: Duration = Duration::from_secs(20);
/// Number of log entries after which a snapshot is made; low, so that a run makes many snapshots.
const COMPACT_AFTER_ENTRIES: usize = 16;

#[derive(Debug)]
enum Event {
    Deliver(usize, InstanceId, Box<StoreMsg>),
    Tick(usize, u64),
    Start(usize),
    Edit(usize),
    Fault,
}

/// The data on a keeper's disk.
#[derive(Clone, Debug, Default)]
struct FakeDisk {
    identity: u64,
    vote: (u64, Option<KeeperId>),
    snapshot: Snapshot,
    entries: Vec<Entry>,
}

#[derive(Debug, Default)]
struct Node {
    incarnation: u64,
    keeper: Option<Keeper>,
    proposer: Option<Proposer>,
    disk: FakeDisk,
    /// The highest version that this node has committed, over all incarnations with the same disk.
    committed_version: u64,
}

/// An operator's change that has been proposed and not answered.
#[derive(Debug)]
struct PendingEdit {
    edit: Edit,
    is_resend: bool,
}

struct StoreSimulation {
    now: Time,
    random: ChaCha8Rng,
    /// Scheduled events by time and serial number.
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    /// The events of `queue` by serial number.
    events: HashMap<u64, Event>,
    serial: u64,
    nodes: Vec<Node>,
    network: Network,
    pending: HashMap<(usize, ProposalId), PendingEdit>,
    /// The highest version that the answers to each operator have named.
    known_versions: Vec<u64>,
    /// The first answer to each change, by the change's ID.
    first_answers: BTreeMap<String, Result<Applied, ApplyError>>,
    edit_bases: BTreeMap<String, u64>,
    committed_documents: BTreeMap<u64, Document>,
    /// The accepted change by the version that it made.
    accepted_changes: BTreeMap<u64, String>,
    change_count: u64,
    report: Report,
    faults_until: Time,
    /// Whether the run is ending: operators make no further changes, and the keepers must agree on the existing ones.
    is_ending: bool,
}

/// Simulates keepers and operators, and checks the history of changes.
#[must_use]
pub fn run_store(options: &SoakOptions) -> Report {
    let mut simulation = StoreSimulation::new(options);
    while simulation.report.steps < options.steps && simulation.step() {}
    simulation.finish()
}

impl StoreSimulation {
    fn new(options: &SoakOptions) -> Self {
        let faults_until = if options.faults { Time::NEVER } else { Time(0) };
        let mut simulation = Self {
            now: Time(1_000_000),
            random: ChaCha8Rng::seed_from_u64(options.seed),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            serial: 0,
            nodes: (0..KEEPERS + OPERATORS).map(|_| Node::default()).collect(),
            network: Network::new(),
            pending: HashMap::new(),
            known_versions: vec![0; KEEPERS + OPERATORS],
            first_answers: BTreeMap::new(),
            edit_bases: BTreeMap::new(),
            committed_documents: BTreeMap::new(),
            accepted_changes: BTreeMap::new(),
            change_count: 0,
            report: Report::default(),
            faults_until,
            is_ending: false,
        };
        for node in 0..simulation.nodes.len() {
            simulation.start(node);
            if node >= KEEPERS {
                simulation.schedule(Duration::from_secs(2), Event::Edit(node));
            }
        }
        simulation.schedule(Duration::from_secs(4), Event::Fault);
        simulation
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse((self.now + delay, self.serial)));
        self.events.insert(self.serial, event);
    }

    fn step(&mut self) -> bool {
        let Some(Reverse((at, serial))) = self.queue.pop() else {
            return false;
        };
        self.now = at;
        self.report.steps += 1;
        match self.events.remove(&serial) {
            Some(Event::Deliver(node, from, msg)) => self.handle_message(node, from, *msg),
            Some(Event::Tick(node, incarnation)) => self.tick(node, incarnation),
            Some(Event::Start(node)) => self.start(node),
            Some(Event::Edit(node)) => self.submit_edit(node),
            Some(Event::Fault) => self.inject_fault(),
            None => {}
        }
        true
    }

    fn id(node: usize) -> InstanceId {
        InstanceId(u32::try_from(node + 1).unwrap_or(u32::MAX))
    }

    fn start(&mut self, index: usize) {
        self.nodes[index].incarnation += 1;
        let incarnation = self.nodes[index].incarnation;
        let seed = self.random.random();
        let keepers: Vec<_> = (0..KEEPERS).map(Self::id).collect();
        self.nodes[index].proposer = Some(Proposer::new(keepers.clone(), seed));
        if index < KEEPERS {
            self.start_keeper(index, keepers, seed);
        }
        self.schedule(Duration::from_millis(1), Event::Tick(index, incarnation));
    }

    fn start_keeper(&mut self, index: usize, instances: Vec<InstanceId>, seed: u64) {
        let new_identity = self.random.random();
        let disk = &mut self.nodes[index].disk;
        if disk.identity == 0 {
            disk.identity = new_identity;
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
            compact_after: COMPACT_AFTER_ENTRIES,
            seed,
        };
        let persisted = PersistedState {
            vote: disk.vote,
            snapshot: disk.snapshot.clone(),
            entries: disk.entries.clone(),
            torn_bytes: 0,
        };
        match Keeper::new(config, self.now, persisted) {
            Ok(keeper) => self.nodes[index].keeper = Some(keeper),
            Err(error) => self.report.violations.push(format!("{error:#}")),
        }
    }

    fn tick(&mut self, index: usize, incarnation: u64) {
        if self.nodes[index].incarnation != incarnation || self.nodes[index].proposer.is_none() {
            return;
        }
        self.schedule(Duration::from_millis(10), Event::Tick(index, incarnation));
        self.handle_input(index, Input::Tick);
        let mut outputs = Vec::new();
        if let Some(proposer) = &mut self.nodes[index].proposer {
            proposer.tick(self.now, &mut outputs);
        }
        self.execute_proposer_outputs(index, outputs);
    }

    fn handle_input(&mut self, index: usize, input: Input) {
        let mut outputs = Vec::new();
        if let Some(keeper) = &mut self.nodes[index].keeper {
            keeper.handle(self.now, input, &mut outputs);
        }
        self.execute_keeper_outputs(index, outputs);
    }

    /// Executes outputs in order. The process may crash before any of them.
    fn execute_keeper_outputs(&mut self, index: usize, outputs: Vec<KeeperOutput>) {
        let crashes = self.now < self.faults_until && self.random.random_bool(0.0005);
        let crash_at = if crashes {
            self.random.random_range(0..=outputs.len())
        } else {
            usize::MAX
        };
        let mut writes = 0;
        for (done, output) in outputs.into_iter().enumerate() {
            if done >= crash_at {
                self.crash(index);
                return;
            }
            writes += usize::from(self.execute_keeper_output(index, output));
        }
        if writes > 0 {
            self.handle_input(index, Input::Synced(writes));
        }
    }

    /// Executes one output and returns whether it was a write to the disk.
    fn execute_keeper_output(&mut self, index: usize, output: KeeperOutput) -> bool {
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
                self.record_commit(index, version, document);
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

    /// Records a committed version and checks that all keepers commit the same document for it.
    fn record_commit(&mut self, index: usize, version: u64, document: Document) {
        let known = self
            .committed_documents
            .entry(version)
            .or_insert(document.clone());
        if *known != document {
            let line = format!("version {version} differs at keeper {index}");
            self.report.violations.push(line);
        }
        self.nodes[index].committed_version = self.nodes[index].committed_version.max(version);
    }

    fn send(&mut self, from: usize, to: InstanceId, msg: StoreMsg) {
        let target = to.0 as usize - 1;
        if target == from {
            self.schedule(
                Duration::from_micros(1),
                Event::Deliver(from, to, Box::new(msg)),
            );
            return;
        }
        for delay in self.network.deliveries(from, target, &mut self.random) {
            let msg = Box::new(msg.clone());
            self.schedule(delay, Event::Deliver(target, Self::id(from), msg));
        }
    }

    fn handle_message(&mut self, index: usize, from: InstanceId, msg: StoreMsg) {
        let now = self.now;
        let mut outputs = Vec::new();
        match msg {
            StoreMsg::Log(bytes) => {
                if let Some(keeper) = &mut self.nodes[index].keeper
                    && let Err(error) = keeper.handle_encoded(now, &bytes, &mut outputs)
                {
                    self.report.violations.push(format!("{error:#}"));
                }
            }
            StoreMsg::Propose { id, edit } => {
                if let Some(keeper) = &mut self.nodes[index].keeper {
                    keeper.propose(now, from, id, edit, &mut outputs);
                }
            }
            StoreMsg::ProposalAnswer { id, answer } => {
                let mut done = Vec::new();
                if let Some(proposer) = &mut self.nodes[index].proposer {
                    proposer.handle_answer(now, from, id, answer, &mut done);
                }
                self.execute_proposer_outputs(index, done);
            }
        }
        self.execute_keeper_outputs(index, outputs);
    }

    /// Proposes a new change of an operator, based on the highest version that any operator knows. That version is
    /// outdated if another change has been committed since.
    fn submit_edit(&mut self, index: usize) {
        if self.is_ending {
            return;
        }
        let pause = Duration::from_millis(self.random.random_range(5..400));
        self.schedule(pause, Event::Edit(index));
        self.change_count += 1;
        let team = format!("team-{}", self.change_count);
        let mut document = Document::default();
        document.teams.insert(team, TeamEntry { quota: 1 });
        let edit = Edit {
            change_id: format!("change-{}", self.change_count),
            base: self.known_versions.iter().copied().max().unwrap_or(0),
            document,
        };
        self.edit_bases.insert(edit.change_id.clone(), edit.base);
        self.propose(index, edit, false);
    }

    fn propose(&mut self, index: usize, edit: Edit, is_resend: bool) {
        let mut outputs = Vec::new();
        let Some(proposer) = &mut self.nodes[index].proposer else {
            return;
        };
        match proposer.propose(self.now, &edit, &mut outputs) {
            Ok(id) => {
                self.pending
                    .insert((index, id), PendingEdit { edit, is_resend });
            }
            Err(error) => self.report.violations.push(format!("{error:#}")),
        }
        self.execute_proposer_outputs(index, outputs);
    }

    fn execute_proposer_outputs(&mut self, index: usize, outputs: Vec<ProposerOutput>) {
        for output in outputs {
            match output {
                ProposerOutput::Send(to, msg) => self.send(index, to, msg),
                ProposerOutput::Done(id, answer) => self.handle_proposal_end(index, id, answer),
            }
        }
    }

    fn handle_proposal_end(
        &mut self,
        index: usize,
        id: ProposalId,
        answer: Option<Result<Applied, ApplyError>>,
    ) {
        let Some(pending) = self.pending.remove(&(index, id)) else {
            return;
        };
        let Some(answer) = answer else {
            *self.report.replies.entry("unsure".into()).or_default() += 1;
            self.propose(index, pending.edit, true);
            return;
        };
        let name = if answer.is_ok() {
            "accepted"
        } else {
            "conflict"
        };
        *self.report.replies.entry(name.into()).or_default() += 1;
        self.check_answer(index, &pending.edit, &answer);
        if !self.is_ending && !pending.is_resend && self.random.random_bool(0.1) {
            // The operator has not received the answer and sends the same change again.
            self.propose(index, pending.edit, true);
        }
    }

    /// Checks an answer against the earlier answers to this change and to others.
    fn check_answer(&mut self, index: usize, edit: &Edit, answer: &Result<Applied, ApplyError>) {
        let first = self
            .first_answers
            .entry(edit.change_id.clone())
            .or_insert(answer.clone());
        if first != answer {
            let line = format!("{}: first {first:?}, then {answer:?}", edit.change_id);
            self.report.violations.push(line);
        }
        match answer {
            Ok(applied) => {
                self.known_versions[index] = self.known_versions[index].max(applied.version);
                let accepted_change = self
                    .accepted_changes
                    .entry(applied.version)
                    .or_insert(edit.change_id.clone());
                if *accepted_change != edit.change_id || applied.version != edit.base + 1 {
                    let line = format!(
                        "{} and {accepted_change} both made {applied:?}",
                        edit.change_id
                    );
                    self.report.violations.push(line);
                }
            }
            Err(ApplyError::Conflict { base, current, .. }) => {
                self.known_versions[index] = self.known_versions[index].max(*current);
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
        self.nodes[index].incarnation += 1;
        let lost_edits = self.pending.extract_if(|(node, _), _| *node == index);
        drop(lost_edits.collect::<Vec<_>>());
        let pause = Duration::from_millis(self.random.random_range(20..2_500));
        self.schedule(pause, Event::Start(index));
    }

    fn inject_fault(&mut self) {
        if self.now >= self.faults_until {
            return;
        }
        let pause = Duration::from_millis(self.random.random_range(200..3_000));
        self.schedule(pause, Event::Fault);
        let keeper = self.random.random_range(0..KEEPERS);
        match self.random.random_range(0..8) {
            0 | 1 if self.nodes[keeper].keeper.is_some() => self.crash(keeper),
            2 => self.wipe_disk(keeper),
            3 | 4 => {
                for other in (0..self.nodes.len()).filter(|other| *other != keeper) {
                    self.network.block(keeper, other);
                    self.network.block(other, keeper);
                }
            }
            5 => {
                let other = self.random.random_range(0..KEEPERS);
                self.network.block(keeper, other);
            }
            _ => self.network.heal(),
        }
    }

    /// Replaces a keeper's disk by an empty one, but only while all keepers are voters: no protocol can keep
    /// the log when two of three disks are lost. The next disk may be lost as soon as this one has been repaired.
    fn wipe_disk(&mut self, index: usize) {
        let all_voting = self.nodes[..KEEPERS].iter().all(|node| {
            let status = node.keeper.as_ref().map(Keeper::status);
            status.is_some_and(|s| s.voters.len() == KEEPERS && s.role != "blank")
        });
        let current = self.voters_are_current();
        if !all_voting || !current {
            return;
        }
        *self.report.replies.entry("lost disks".into()).or_default() += 1;
        self.nodes[index].disk = FakeDisk::default();
        self.nodes[index].committed_version = 0;
        self.crash(index);
    }

    /// Returns whether some leader's committed group consists of exactly the current disks.
    fn voters_are_current(&self) -> bool {
        self.nodes[..KEEPERS].iter().any(|node| {
            let status = node.keeper.as_ref().map(Keeper::status);
            status.is_some_and(|s| s.role == "leader" && s.learners.is_empty())
        })
    }

    fn finish(mut self) -> Report {
        self.settle();
        let newest = self.accepted_changes.keys().max().copied().unwrap_or(0);
        for index in 0..KEEPERS {
            let version = self.nodes[index].keeper.as_ref().map(|k| k.catalogue().0);
            if version.is_none_or(|version| version < newest) {
                let line = format!("keeper {index} ends at {version:?}, {newest} was accepted");
                self.report.violations.push(line);
            }
        }
        let gaps = (1..=newest).filter(|version| !self.committed_documents.contains_key(version));
        let gaps: Vec<_> = gaps.collect();
        if !gaps.is_empty() {
            self.report
                .violations
                .push(format!("versions that no keeper had: {gaps:?}"));
        }
        self.report.starts = newest;
        self.report
    }

    /// Ends all faults and lets the keepers agree.
    fn settle(&mut self) {
        self.faults_until = Time(0);
        self.is_ending = true;
        self.network.heal();
        let end = self.now + SETTLE_TIME;
        while self.now < end && self.step() {}
    }
}

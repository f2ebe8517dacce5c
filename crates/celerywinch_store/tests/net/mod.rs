//! Keepers in virtual time, with delays of messages and disks, that are killed, lose their disks and are replaced.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use celerywinch_store::{
    Entry, Input, KeeperId, Membership, Output, Raft, RaftConfig, RaftMsg, Role, Snapshot,
};
use celerywinch_types::{DataCentreId, InstanceId, Time};

const TICK: Duration = Duration::from_millis(25);
const MESSAGE_DELAY: Duration = Duration::from_millis(1);
const SYNC_TIME: Duration = Duration::from_millis(9);
/// How long a keeper that stops as planned waits to be replaced.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The time after which an operator sends a request again.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// How a keeper is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Loss {
    /// It stops as planned, and does not come back.
    Stopped,
    /// It is killed, and does not come back.
    Removed,
    /// It is killed, and comes back with an empty disk.
    Disk,
    /// It is killed, and comes back with its disk.
    Restart,
}

#[derive(Clone, Debug)]
enum Write {
    Vote(u64, Option<KeeperId>),
    Truncate(u64),
    Entries(Vec<Entry>),
    Snapshot(Snapshot),
}

enum Event {
    Tick,
    Input(Input),
    Written(Write),
}

#[derive(Clone, Default)]
struct Disk {
    identity: u64,
    vote: (u64, Option<KeeperId>),
    snapshot: Snapshot,
    entries: Vec<Entry>,
}

impl Disk {
    fn apply(&mut self, write: Write) {
        match write {
            Write::Vote(term, vote) => self.vote = (term, vote),
            Write::Truncate(index) => self.entries.retain(|entry| entry.index < index),
            Write::Entries(entries) => self.entries.extend(entries),
            Write::Snapshot(snapshot) => {
                self.entries.retain(|entry| entry.index > snapshot.index);
                self.snapshot = snapshot;
            }
        }
    }
}

struct Node {
    instance: InstanceId,
    dc: DataCentreId,
    disk: Disk,
    busy_until: Time,
    /// `None` while it is down.
    raft: Option<Raft>,
    /// Counts its starts.
    epoch: u64,
    /// The committed commands.
    applied: Vec<u8>,
    reads: Vec<u64>,
}

/// Keepers and the events that are due.
pub(crate) struct Net {
    nodes: Vec<Node>,
    queue: BTreeMap<(Time, u64), (usize, u64, Event)>,
    pub(crate) now: Time,
    count: u64,
    max_voters: usize,
    seed: u64,
    /// The commands that were acknowledged.
    pub(crate) acknowledged: Vec<u8>,
    next_read: u64,
}

impl Net {
    /// Starts a deployment with `per_dc` keepers in each of `dcs` data centres that bears `losses`.
    pub(crate) fn start(dcs: u8, per_dc: u8, losses: usize, seed: u64) -> Self {
        let keepers: Vec<_> = (0..dcs * per_dc).map(|index| index % dcs).collect();
        Self::start_in(&keepers, losses, seed)
    }

    /// Starts a deployment with one keeper in each of `keepers`, which are data centres; the first three keepers form the group.
    pub(crate) fn start_in(keepers: &[u8], losses: usize, seed: u64) -> Self {
        let mut net = Self {
            nodes: Vec::new(),
            queue: BTreeMap::new(),
            now: Time(10_000_000),
            count: 0,
            max_voters: losses * 2 + 1,
            seed,
            acknowledged: Vec::new(),
            next_read: 0,
        };
        for dc in keepers {
            net.add(*dc, true);
        }
        net.run(Duration::from_secs(5));
        net
    }

    /// Starts a keeper of a new instance with an empty disk, and returns its number.
    pub(crate) fn add(&mut self, dc: u8, bootstrap: bool) -> usize {
        let index = self.nodes.len();
        self.nodes.push(Node {
            instance: InstanceId(index as u32 + 1),
            dc: DataCentreId(dc),
            disk: Disk::default(),
            busy_until: self.now,
            raft: None,
            epoch: 0,
            applied: Vec::new(),
            reads: Vec::new(),
        });
        self.boot(index, bootstrap);
        index
    }

    fn boot(&mut self, index: usize, bootstrap: bool) {
        self.count += 1;
        let count = self.count;
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.disk.identity == 0 {
            node.disk.identity = count << 8 | 1;
        }
        let config = RaftConfig {
            me: KeeperId {
                instance: node.instance,
                disk: node.disk.identity,
            },
            instances: (1..=3).map(InstanceId).collect(),
            bootstrap,
            max_voters: self.max_voters,
            heartbeat_interval: Duration::from_millis(100),
            election_timeout: Duration::from_millis(400),
            compact_after: 16,
            seed: self.seed << 16 | count,
        };
        node.epoch += 1;
        node.busy_until = now;
        node.applied = node.disk.snapshot.state.clone();
        let disk = node.disk.clone();
        node.raft = Some(Raft::new(
            config,
            now,
            disk.vote,
            disk.snapshot,
            disk.entries,
        ));
        self.set_contacts();
        self.schedule(self.now + TICK, index, Event::Tick);
    }

    fn set_contacts(&mut self) {
        let dcs: BTreeMap<_, _> = self.nodes.iter().map(|n| (n.instance, n.dc)).collect();
        for raft in self.nodes.iter_mut().filter_map(|node| node.raft.as_mut()) {
            raft.set_contacts(dcs.keys().copied().collect());
            raft.set_data_centres(dcs.clone());
        }
    }

    fn schedule(&mut self, due: Time, index: usize, event: Event) {
        self.count += 1;
        let epoch = self.nodes[index].epoch;
        self.queue.insert((due, self.count), (index, epoch, event));
    }

    /// Runs until a condition holds, at most for `limit`; returns whether it does.
    fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + limit;
        loop {
            if done(self) {
                return true;
            }
            match self.queue.first_key_value() {
                Some(((due, _), _)) if *due <= end => {}
                _ => break,
            }
            let ((due, _), (index, epoch, event)) = self.queue.pop_first().expect("an event");
            self.now = due;
            self.step(index, epoch, event);
        }
        self.now = end;
        done(self)
    }

    pub(crate) fn run(&mut self, span: Duration) {
        self.run_until(span, |_| false);
    }

    fn step(&mut self, index: usize, epoch: u64, event: Event) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.epoch != epoch || node.raft.is_none() {
            return;
        }
        let input = match event {
            Event::Tick => {
                self.schedule(now + TICK, index, Event::Tick);
                Input::Tick
            }
            Event::Input(input) => input,
            Event::Written(write) => {
                node.disk.apply(write);
                Input::Synced(1)
            }
        };
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let mut out = Vec::new();
            let raft = self.nodes[index].raft.as_mut().expect("it is up");
            raft.handle(now, input, &mut out);
            for output in out {
                self.output(index, output, &mut inputs);
            }
        }
    }

    fn output(&mut self, index: usize, output: Output, inputs: &mut VecDeque<Input>) {
        let node = &mut self.nodes[index];
        let write = match output {
            Output::PersistVote { term, vote } => Write::Vote(term, vote),
            Output::Truncate(at) => Write::Truncate(at),
            Output::PersistEntries(entries) => Write::Entries(entries),
            Output::PersistSnapshot(snapshot) => Write::Snapshot(snapshot),
            Output::Send(to, disk, msg) => return self.send(index, to, disk, msg),
            Output::Apply(entry) => {
                if let celerywinch_store::Payload::Command(command) = entry.payload {
                    node.applied.extend(command);
                }
                return;
            }
            Output::Restore(snapshot) => return node.applied = snapshot.state,
            Output::TakeSnapshot(at) => {
                let state = node.applied.clone();
                return inputs.push_back(Input::SnapshotState { index: at, state });
            }
            Output::ReadReady(id) => return node.reads.push(id),
            Output::RoleChanged(_) => return,
        };
        node.busy_until = node.busy_until.max(self.now) + SYNC_TIME;
        let due = node.busy_until;
        self.schedule(due, index, Event::Written(write));
    }

    fn send(&mut self, from: usize, to: InstanceId, disk: Option<u64>, msg: RaftMsg) {
        let index = to.0 as usize - 1;
        let up = self.nodes.get(index).is_some_and(|node| {
            node.raft.is_some() && disk.is_none_or(|disk| disk == node.disk.identity)
        });
        if up {
            let sender = &self.nodes[from];
            let sender = KeeperId {
                instance: sender.instance,
                disk: sender.disk.identity,
            };
            let event = Event::Input(Input::Message(sender, msg));
            self.schedule(self.now + MESSAGE_DELAY, index, event);
        }
    }

    /// Returns the keepers that are up.
    pub(crate) fn up(&self) -> Vec<usize> {
        let nodes = 0..self.nodes.len();
        nodes.filter(|n| self.nodes[*n].raft.is_some()).collect()
    }

    fn raft(&self, index: usize) -> &Raft {
        self.nodes[index].raft.as_ref().expect("it is up")
    }

    /// Returns the leader with the highest term.
    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = |index: &usize| self.raft(*index).role() == Role::Leader;
        let leaders = self.up().into_iter().filter(leads);
        leaders.max_by_key(|index| self.raft(*index).term())
    }

    /// Returns the membership as the leader has it.
    pub(crate) fn membership(&self) -> Membership {
        self.raft(self.leader().expect("a leader")).membership()
    }

    /// Returns the voters of the leader's membership, by number.
    pub(crate) fn voters(&self) -> Vec<usize> {
        let voters = self.membership().voters;
        voters.iter().map(|v| v.instance.0 as usize - 1).collect()
    }

    pub(crate) fn dc(&self, index: usize) -> u8 {
        self.nodes[index].dc.0
    }

    fn kill(&mut self, index: usize) {
        self.nodes[index].raft = None;
        self.nodes[index].epoch += 1;
    }

    /// Loses a keeper; those that come back are down until [`Net::restore`].
    pub(crate) fn lose(&mut self, index: usize, loss: Loss) {
        if loss == Loss::Stopped {
            self.schedule(self.now, index, Event::Input(Input::Leave));
            self.run_until(TICK, |_| false);
            self.run_until(LEAVE_TIMEOUT, |net| net.raft(index).may_leave());
        }
        self.kill(index);
        if loss == Loss::Disk {
            self.nodes[index].disk = Disk::default();
        }
    }

    /// Starts a keeper again that was lost.
    pub(crate) fn restore(&mut self, index: usize) {
        self.boot(index, false);
    }

    /// Sends a command until it is acknowledged; returns whether it was in time.
    pub(crate) fn put(&mut self, command: u8, limit: Duration) -> bool {
        let end = self.now + limit;
        while self.now < end {
            let is_applied = |net: &Self| {
                net.leader()
                    .is_some_and(|leader| net.nodes[leader].applied.contains(&command))
            };
            let Some(leader) = self.leader() else {
                self.run(TICK);
                continue;
            };
            let input = Event::Input(Input::Propose(vec![command]));
            self.schedule(self.now, leader, input);
            if self.run_until(RETRY_INTERVAL, is_applied) {
                self.acknowledged.push(command);
                return true;
            }
        }
        false
    }

    /// Reads the committed commands; returns `None` if that is not confirmed in time.
    pub(crate) fn read(&mut self, limit: Duration) -> Option<Vec<u8>> {
        let end = self.now + limit;
        while self.now < end {
            let Some(leader) = self.leader() else {
                self.run(TICK);
                continue;
            };
            self.next_read += 1;
            let read = self.next_read;
            self.schedule(self.now, leader, Event::Input(Input::Read(read)));
            let ready = |net: &Self| net.nodes[leader].reads.contains(&read);
            if self.run_until(RETRY_INTERVAL, ready) {
                return Some(self.nodes[leader].applied.clone());
            }
        }
        None
    }
}

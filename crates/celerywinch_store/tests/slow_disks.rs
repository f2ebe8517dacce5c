//! Keepers that keep running while their disks write, and lose the writes that were not synced when they crash.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use celerywinch_store::{
    Entry, Input, KeeperId, Output, Raft, RaftConfig, RaftMsg, Role, Snapshot,
};
use celerywinch_types::{InstanceId, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const KEEPERS: usize = 3;
const TICK: Duration = Duration::from_millis(25);
/// How long crashes are injected.
const FAULT_PERIOD: Duration = Duration::from_secs(60);
/// How long the run continues without crashes.
const CALM_PERIOD: Duration = Duration::from_secs(40);

fn id(index: usize) -> KeeperId {
    KeeperId {
        instance: InstanceId(index as u32 + 1),
        disk: index as u64 + 100,
    }
}

/// The synced state of a disk, which is kept over a crash.
#[derive(Clone, Default)]
struct Saved {
    vote: (u64, Option<KeeperId>),
    snapshot: Snapshot,
    entries: Vec<Entry>,
}

impl Saved {
    fn write(&mut self, output: Output) {
        match output {
            Output::PersistVote { term, vote } => self.vote = (term, vote),
            Output::Truncate(index) => self.entries.retain(|entry| entry.index < index),
            Output::PersistEntries(entries) => self.entries.extend(entries),
            Output::PersistSnapshot(snapshot) => {
                let same = |entry: &&Entry| entry.index == snapshot.index;
                let agrees = self.entries.iter().find(same);
                let agrees = agrees.is_some_and(|entry| entry.term == snapshot.term);
                self.entries
                    .retain(|entry| agrees && entry.index > snapshot.index);
                self.snapshot = snapshot;
            }
            other => panic!("{other:?} is not a write"),
        }
    }

    fn has(&self, entry: &Entry) -> bool {
        self.snapshot.index >= entry.index || self.entries.contains(entry)
    }
}

#[derive(Default)]
struct Keeper {
    raft: Option<Raft>,
    saved: Saved,
    writes: VecDeque<Output>,
    /// The number of the oldest writes that the disk has in progress.
    in_progress: usize,
    incarnation: u64,
}

enum Event {
    Tick(usize, u64),
    Message(usize, KeeperId, RaftMsg),
    Synced(usize, u64),
    Start(usize),
    Crash,
    Propose,
}

/// The minimum and maximum duration of a write, in ms.
type Sync = (u64, u64);

struct World {
    now: Time,
    end: Time,
    sync: Sync,
    random: ChaCha8Rng,
    keepers: Vec<Keeper>,
    events: BTreeMap<(Time, u64), Event>,
    count: u64,
    applied: BTreeMap<u64, Entry>,
    leaders: BTreeMap<u64, KeeperId>,
    proposed: u64,
}

impl World {
    fn new(seed: u64, sync: Sync) -> Self {
        let now = Time(10_000_000);
        let mut world = Self {
            now,
            end: now + FAULT_PERIOD,
            sync,
            random: ChaCha8Rng::seed_from_u64(seed),
            keepers: (0..KEEPERS).map(|_| Keeper::default()).collect(),
            events: BTreeMap::new(),
            count: 0,
            applied: BTreeMap::new(),
            leaders: BTreeMap::new(),
            proposed: 0,
        };
        for index in 0..KEEPERS {
            world.after(Duration::ZERO, Event::Start(index));
        }
        world.after(Duration::from_secs(5), Event::Crash);
        world.after(Duration::from_secs(1), Event::Propose);
        world
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.count += 1;
        self.events.insert((self.now + delay, self.count), event);
    }

    fn ms(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.random.random_range(from..=to))
    }

    fn run(&mut self, until: Time) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((due, _), event) = entry.remove_entry();
            self.now = due;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Start(index) => self.start(index),
            Event::Tick(index, incarnation) => {
                if self.keepers[index].incarnation == incarnation {
                    self.after(TICK, Event::Tick(index, incarnation));
                    self.input(index, Input::Tick);
                }
            }
            Event::Message(index, from, msg) => self.input(index, Input::Message(from, msg)),
            Event::Synced(index, incarnation) => {
                if self.keepers[index].incarnation == incarnation {
                    self.finish_writes(index);
                }
            }
            Event::Crash => {
                let index = self.random.random_range(0..KEEPERS);
                self.crash(index);
                let pause = self.ms(300, 6_000);
                if self.now + pause < self.end {
                    self.after(pause, Event::Crash);
                }
            }
            Event::Propose => {
                self.proposed += 1;
                let command = self.proposed.to_le_bytes().to_vec();
                for index in 0..KEEPERS {
                    self.input(index, Input::Propose(command.clone()));
                }
                let pause = self.ms(50, 1_000);
                self.after(pause, Event::Propose);
            }
        }
    }

    fn start(&mut self, index: usize) {
        let config = RaftConfig {
            me: id(index),
            instances: (1..=KEEPERS as u32).map(InstanceId).collect(),
            bootstrap: true,
            max_voters: KEEPERS,
            heartbeat_interval: Duration::from_millis(100),
            election_timeout: Duration::from_millis(400),
            compact_after: 8,
            seed: self.random.random(),
        };
        let keeper = &mut self.keepers[index];
        let saved = keeper.saved.clone();
        let raft = Raft::new(config, self.now, saved.vote, saved.snapshot, saved.entries);
        keeper.raft = Some(raft);
        let incarnation = keeper.incarnation;
        self.after(TICK, Event::Tick(index, incarnation));
    }

    /// Crashes a keeper. Some of the writes in progress, the oldest ones, are kept.
    fn crash(&mut self, index: usize) {
        let kept = self
            .random
            .random_range(0..=self.keepers[index].in_progress);
        let keeper = &mut self.keepers[index];
        if keeper.raft.take().is_none() {
            return;
        }
        for write in keeper.writes.drain(..kept) {
            keeper.saved.write(write);
        }
        keeper.writes.clear();
        keeper.in_progress = 0;
        keeper.incarnation += 1;
        let pause = self.ms(100, 1_500);
        self.after(pause, Event::Start(index));
    }

    fn finish_writes(&mut self, index: usize) {
        let keeper = &mut self.keepers[index];
        let count = std::mem::take(&mut keeper.in_progress);
        for write in keeper.writes.drain(..count) {
            keeper.saved.write(write);
        }
        self.input(index, Input::Synced(count));
    }

    fn input(&mut self, index: usize, input: Input) {
        let mut out = Vec::new();
        let Some(raft) = &mut self.keepers[index].raft else {
            return;
        };
        raft.handle(self.now, input, &mut out);
        for output in out {
            self.output(index, output);
        }
        self.start_writes(index);
    }

    fn output(&mut self, index: usize, output: Output) {
        match output {
            Output::PersistVote { .. }
            | Output::Truncate(_)
            | Output::PersistEntries(_)
            | Output::PersistSnapshot(_) => self.keepers[index].writes.push_back(output),
            Output::Send(to, _, msg) => {
                if !self.random.random_bool(0.02) {
                    let delay = self.ms(1, 8);
                    self.after(delay, Event::Message(to.0 as usize - 1, id(index), msg));
                }
            }
            Output::Apply(entry) => self.apply(entry),
            Output::TakeSnapshot(at) => {
                let state = at.to_le_bytes().to_vec();
                self.input(index, Input::SnapshotState { index: at, state });
            }
            Output::RoleChanged(Role::Leader) => {
                let raft = self.keepers[index]
                    .raft
                    .as_ref()
                    .expect("the keeper is running");
                let known = self.leaders.entry(raft.term()).or_insert(id(index));
                assert_eq!(*known, id(index), "two leaders in term {}", raft.term());
            }
            Output::Restore(_) | Output::ReadReady(_) | Output::RoleChanged(_) => {}
        }
    }

    fn apply(&mut self, entry: Entry) {
        let synced = self.keepers.iter().filter(|k| k.saved.has(&entry)).count();
        assert!(
            synced > KEEPERS / 2,
            "entry {} is committed, but synced by only {synced} keepers",
            entry.index
        );
        let known = self.applied.entry(entry.index).or_insert(entry.clone());
        assert_eq!(*known, entry, "two entries committed at one index");
    }

    /// Starts the queued writes together once the disk is idle.
    fn start_writes(&mut self, index: usize) {
        let keeper = &mut self.keepers[index];
        if keeper.in_progress == 0 && !keeper.writes.is_empty() {
            keeper.in_progress = keeper.writes.len();
            let incarnation = keeper.incarnation;
            let duration = self.ms(self.sync.0, self.sync.1);
            self.after(duration, Event::Synced(index, incarnation));
        }
    }
}

/// Guards against acknowledgements of writes that are not yet synced: a crash loses a vote, or an entry that counts as
/// committed. Also guards against a group that commits nothing while writes take longer than its timeouts.
#[rstest]
#[case::fast((1, 9))]
#[case::as_long_as_a_timeout((300, 600))]
#[case::longer_than_all_timeouts((900, 2_000))]
#[case::mixed((1, 2_000))]
fn committed_entries_are_synced_at_a_majority(#[case] sync: Sync) {
    for seed in 0..30 {
        let mut world = World::new(seed, sync);
        world.run(world.end);
        let before = world.applied.len();
        world.run(world.end + CALM_PERIOD);
        let after = world.applied.len();
        assert!(
            after > before,
            "seed {seed}: no commit after the faults have ended"
        );
    }
}

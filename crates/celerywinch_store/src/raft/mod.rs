//! The state machine of a keeper.

mod append;
mod election;
mod membership;
mod read;
mod write;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use celerywinch_types::{InstanceId, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::log::Log;
use crate::{Entry, KeeperId, Membership, Payload, RaftMsg, Snapshot};

/// What a keeper is told at its start.
#[derive(Clone, Debug)]
pub struct RaftConfig {
    /// This keeper.
    pub me: KeeperId,
    /// The instances that are keepers by the settings; all of them form the group at first.
    pub instances: Vec<InstanceId>,
    /// Whether the first group may be formed; false for one that joins a group.
    pub bootstrap: bool,
    /// The most keepers that count for majorities; the others learn, and replace those that are
    /// lost.
    pub max_voters: usize,
    /// Between two heartbeats of the leader.
    pub heartbeat_interval: Duration,
    /// The shortest time without a leader before an election; the longest is twice that.
    pub election_timeout: Duration,
    /// Entries after which a snapshot is made.
    pub compact_after: usize,
    /// Seed of the random source.
    pub seed: u64,
}

/// What happened outside.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message of another keeper.
    Message(KeeperId, RaftMsg),
    /// A command to be agreed on; only a leader takes it.
    Propose(Vec<u8>),
    /// A read of the state machine that must not be stale, by a number of the host's; only a leader takes it. Answered by
    /// [`Output::ReadReady`], unless the keeper ceases to lead.
    Read(u64),
    /// As many of the oldest writes as this have been synced, beside those that were reported before. Each
    /// [`Output::PersistVote`], [`Output::Truncate`], [`Output::PersistEntries`] and [`Output::PersistSnapshot`] is one.
    Synced(usize),
    /// The state machine's state after the entry `index`, asked for by [`Output::TakeSnapshot`].
    SnapshotState {
        /// The last entry applied to it.
        index: u64,
        /// The state.
        state: Vec<u8>,
    },
    /// Time passed.
    Tick,
}

/// What the host is to do.
///
/// Writes are carried out one after the other, in this order, and reported by [`Input::Synced`]. The other outputs do
/// not wait for them: a message that rests on a write is only sent once that is reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Write and sync the term and the vote.
    PersistVote {
        /// The term.
        term: u64,
        /// Who has the vote in it.
        vote: Option<KeeperId>,
    },
    /// Drop the entries from this index on; may be synced with what follows.
    Truncate(u64),
    /// Write and sync entries.
    PersistEntries(Vec<Entry>),
    /// Write and sync a snapshot, and drop the entries that it includes.
    PersistSnapshot(Snapshot),
    /// Send a message; the keeper's disk is none while it is not known.
    Send(InstanceId, Option<u64>, RaftMsg),
    /// Apply a committed entry to the state machine.
    Apply(Entry),
    /// Replace the state machine's state.
    Restore(Snapshot),
    /// Hand over the state machine's state by [`Input::SnapshotState`].
    TakeSnapshot(u64),
    /// The state machine has all that was committed when this read began.
    ReadReady(u64),
    /// The role changed.
    RoleChanged(Role),
}

/// What a keeper does at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Has an empty disk and belongs to no group.
    Blank,
    /// Follows a leader, if one is known.
    Follower(Option<KeeperId>),
    /// Asks whether an election would be of use.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
}

/// What a leader knows of another keeper.
#[derive(Clone, Copy, Debug)]
struct Progress {
    next_index: u64,
    match_index: u64,
    last_contact: Time,
    /// A snapshot was sent then; another is not sent until it is overdue.
    snapshot_sent: Time,
}

/// The state machine of a keeper.
#[derive(Debug)]
pub struct Raft {
    config: RaftConfig,
    term: u64,
    voted_for: Option<KeeperId>,
    log: Log,
    /// What this keeper has synced.
    synced_index: u64,
    /// How far the log is known to be that of the leader of this term.
    match_index: u64,
    /// Writes that are not reported yet and when they began, oldest first.
    pending_writes: VecDeque<(Time, write::PendingWrite)>,
    /// How long the last write took.
    write_time: Duration,
    /// Who was last told that its election would be of use, and when.
    pre_voted: Option<(KeeperId, Time)>,
    commit_index: u64,
    applied_index: u64,
    role: Role,
    /// The last input.
    last_input: Time,
    /// When the leader was last heard, or the role last changed.
    last_contact: Time,
    timeout: Duration,
    last_sent: Time,
    votes: Vec<KeeperId>,
    progress: BTreeMap<KeeperId, Progress>,
    /// Keepers with empty disks that were heard of, by instance.
    blanks: BTreeMap<InstanceId, membership::BlankKeeper>,
    /// Keepers with a log that hear no leader, and when they said so.
    rejoining: BTreeMap<KeeperId, Time>,
    /// Where a group is looked for, beside the instances of the settings.
    contacts: Vec<InstanceId>,
    snapshot_pending: bool,
    reads: read::ReadQueue,
    random: ChaCha8Rng,
}

/// The most entries in one message.
const MAX_APPEND_ENTRIES: usize = 64;

impl Raft {
    /// Starts from what the disk holds.
    #[must_use]
    pub fn new(
        config: RaftConfig,
        now: Time,
        vote: (u64, Option<KeeperId>),
        snapshot: Snapshot,
        entries: Vec<Entry>,
    ) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(config.seed);
        let base = snapshot.index;
        let log = Log::new(snapshot, entries);
        let blank = log.last_index() == 0;
        let timeout = config
            .election_timeout
            .mul_f64(random.random_range(1.0..2.0));
        Self {
            term: vote.0,
            voted_for: vote.1,
            synced_index: log.last_index(),
            match_index: 0,
            pending_writes: VecDeque::new(),
            write_time: Duration::ZERO,
            pre_voted: None,
            commit_index: base,
            applied_index: base,
            role: if blank {
                Role::Blank
            } else {
                Role::Follower(None)
            },
            last_input: now,
            last_contact: now,
            timeout,
            last_sent: Time::default(),
            votes: Vec::new(),
            progress: BTreeMap::new(),
            blanks: BTreeMap::new(),
            rejoining: BTreeMap::new(),
            contacts: Vec::new(),
            snapshot_pending: false,
            reads: read::ReadQueue::default(),
            log,
            random,
            config,
        }
    }

    /// Takes an input and appends what the host is to do.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.compensate_pause(now);
        match input {
            Input::Message(from, msg) => self.message(now, from, msg, out),
            Input::Propose(command) => self.propose(now, Payload::Command(command), out),
            Input::Read(id) => self.read(id, out),
            Input::Synced(count) => self.handle_synced(now, count, out),
            Input::SnapshotState { index, state } => self.compact(now, index, state, out),
            Input::Tick => self.tick(now, out),
        }
    }

    /// While this keeper's process stood still it heard nobody, and that is nobody's silence. Each pause would else be
    /// followed by an election, and nothing be committed any more.
    fn compensate_pause(&mut self, now: Time) {
        let pause = now.since(self.last_input);
        self.last_input = now;
        if pause <= self.config.heartbeat_interval {
            return;
        }
        self.last_contact = self.last_contact + pause;
        for progress in self.progress.values_mut() {
            progress.last_contact = progress.last_contact + pause;
        }
    }

    /// Other instances at which a group is looked for; they may change at any time.
    pub fn set_contacts(&mut self, contacts: Vec<InstanceId>) {
        self.contacts = contacts;
    }

    /// What this keeper does at present.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// The term.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.term
    }

    /// How far the log is committed, as far as this keeper knows.
    #[must_use]
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// The command of an entry of this term that is not committed, where this keeper leads.
    #[must_use]
    pub fn uncommitted_command(&self, index: u64) -> Option<&[u8]> {
        let entry = self.log.get(index)?;
        let open =
            self.role == Role::Leader && index > self.commit_index && entry.term == self.term;
        match &entry.payload {
            Payload::Command(command) if open => Some(command),
            _ => None,
        }
    }

    /// The keepers, by the last entry that names them.
    #[must_use]
    pub fn membership(&self) -> Membership {
        self.log.membership()
    }

    /// The leader, if one is known.
    #[must_use]
    pub fn leader(&self) -> Option<KeeperId> {
        match self.role {
            Role::Leader => Some(self.config.me),
            Role::Follower(leader) => leader,
            Role::Blank | Role::PreCandidate | Role::Candidate => None,
        }
    }

    fn message(&mut self, now: Time, from: KeeperId, msg: RaftMsg, out: &mut Vec<Output>) {
        match msg {
            RaftMsg::Hello { in_group } => self.handle_hello(now, from, in_group, out),
            RaftMsg::PreVote { term, last_log } => {
                self.handle_pre_vote(now, from, term, last_log, out)
            }
            RaftMsg::PreVoteReply { term, granted } => {
                self.handle_pre_vote_reply(now, from, term, granted, out);
            }
            RaftMsg::Vote { term, last_log } => self.handle_vote(now, from, term, last_log, out),
            RaftMsg::VoteReply { term, granted } => {
                self.handle_vote_reply(now, from, term, granted, out)
            }
            RaftMsg::Append {
                term,
                previous,
                entries,
                commit,
            } => self.handle_append(now, from, (term, previous, commit), entries, out),
            RaftMsg::AppendReply {
                term,
                index,
                accepted,
            } => {
                self.handle_append_reply(now, from, (term, index, accepted), out);
            }
            RaftMsg::InstallSnapshot { term, snapshot } => {
                self.handle_snapshot(now, from, term, snapshot, out)
            }
            RaftMsg::ConfirmLeader { term, round } => {
                self.handle_confirm(now, from, term, round, out)
            }
            RaftMsg::ConfirmLeaderReply { term, round } => {
                self.handle_confirm_reply(now, from, term, round, out);
            }
            RaftMsg::Rejoin => {
                self.rejoining.insert(from, now);
            }
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        match self.role {
            Role::Blank => self.discover_group(now, out),
            Role::Leader => self.tick_leader(now, out),
            Role::Follower(_) | Role::PreCandidate | Role::Candidate => {
                self.check_election_timeout(now, out);
            }
        }
    }

    fn send(&self, to: KeeperId, msg: RaftMsg, out: &mut Vec<Output>) {
        out.push(Output::Send(to.instance, Some(to.disk), msg));
    }

    fn other_keepers(&self) -> Vec<KeeperId> {
        let me = self.config.me;
        self.log
            .membership()
            .all()
            .filter(|keeper| *keeper != me)
            .collect()
    }

    fn is_voter(&self) -> bool {
        self.log.membership().voters.contains(&self.config.me)
    }

    fn set_role(&mut self, now: Time, role: Role, out: &mut Vec<Output>) {
        if self.role == role {
            return;
        }
        self.role = role;
        self.last_contact = now;
        self.votes.clear();
        self.reads = read::ReadQueue::default();
        let factor = self.random.random_range(1.0..2.0);
        self.timeout = self.config.election_timeout.mul_f64(factor);
        out.push(Output::RoleChanged(role));
    }

    /// A message shows a later term: follow whoever leads it.
    fn observe_term(
        &mut self,
        now: Time,
        term: u64,
        leader: Option<KeeperId>,
        out: &mut Vec<Output>,
    ) {
        if term > self.term {
            self.enter_term(now, term, None, out);
            self.set_role(now, Role::Follower(leader), out);
        }
    }

    fn apply(&mut self, out: &mut Vec<Output>) {
        while self.applied_index < self.commit_index {
            let Some(entry) = self.log.get(self.applied_index + 1).cloned() else {
                return;
            };
            self.applied_index += 1;
            out.push(Output::Apply(entry));
        }
        self.release_reads(out);
        if self.log.len() > self.config.compact_after && !self.snapshot_pending {
            self.snapshot_pending = true;
            out.push(Output::TakeSnapshot(self.applied_index));
        }
    }

    fn compact(&mut self, now: Time, index: u64, state: Vec<u8>, out: &mut Vec<Output>) {
        self.snapshot_pending = false;
        let Some(term) = self.log.term(index) else {
            return;
        };
        if index <= self.log.snapshot.index || index > self.applied_index {
            return;
        }
        let snapshot = Snapshot {
            index,
            term,
            membership: self.membership_at(index),
            state,
        };
        self.log.compact(snapshot.clone());
        self.persist_snapshot(now, snapshot, out);
    }

    /// The keepers as of an entry that is still in the log.
    fn membership_at(&self, index: u64) -> Membership {
        let first = self.log.snapshot.index + 1;
        let mut membership = self.log.snapshot.membership.clone();
        for at in first..=index {
            if let Some(Payload::Membership(named)) = self.log.get(at).map(|entry| &entry.payload) {
                membership = named.clone();
            }
        }
        membership
    }
}

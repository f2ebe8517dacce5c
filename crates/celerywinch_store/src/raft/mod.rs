//! The Raft state machine of a keeper.

mod append;
mod election;
mod membership;
mod read;
mod voters;
mod write;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use celerywinch_types::{DataCentreId, InstanceId, Time};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::log::Log;
use crate::{Entry, KeeperId, Membership, Payload, RaftMsg, Snapshot};

/// Settings of a keeper.
#[derive(Clone, Debug)]
pub struct RaftConfig {
    /// This keeper.
    pub me: KeeperId,
    /// The instances that the settings name as keepers; together they form the first group.
    pub instances: Vec<InstanceId>,
    /// Whether this keeper may form the first group; false for one that joins an existing group.
    pub bootstrap: bool,
    /// The number of voters that bears the losses of the settings. Further keepers are learners, and replace voters that are lost;
    /// two more vote if there are enough keepers.
    pub max_voters: usize,
    /// The interval between two heartbeats of the leader.
    pub heartbeat_interval: Duration,
    /// The minimum time without contact with a leader before an election. Each keeper waits a random time
    /// between this and twice this.
    pub election_timeout: Duration,
    /// The number of log entries above which a snapshot is taken.
    pub compact_after: usize,
    /// The seed of the random number generator.
    pub seed: u64,
}

/// An event that the host reports.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message from another keeper.
    Message(KeeperId, RaftMsg),
    /// A command to append to the log; ignored unless this keeper leads.
    Propose(Vec<u8>),
    /// A linearizable read of the state machine, with an id chosen by the host; ignored unless this keeper leads. Answered
    /// by [`Output::ReadReady`], unless the keeper loses leadership first.
    Read(u64),
    /// The number of writes that have been synced since the last report, oldest first. Each [`Output::PersistVote`],
    /// [`Output::Truncate`], [`Output::PersistEntries`] and [`Output::PersistSnapshot`] is one write.
    Synced(usize),
    /// The state of the state machine after entry `index`, as requested by [`Output::TakeSnapshot`].
    SnapshotState {
        /// The index of the last entry applied to the state.
        index: u64,
        /// The encoded state.
        state: Vec<u8>,
    },
    /// This keeper stops as planned. It serves on until the host stops it.
    Leave,
    /// Time has passed.
    Tick,
}

/// An action for the host to carry out.
///
/// The host carries out writes one after the other, in the order given, and reports them by [`Input::Synced`]. The other
/// outputs need not wait for them: a message that depends on a write is output only after the write was reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Write and sync the current term and vote.
    PersistVote {
        /// The current term.
        term: u64,
        /// The keeper that received the vote in this term, if any.
        vote: Option<KeeperId>,
    },
    /// Remove the entries from this index on; may be synced together with the next write.
    Truncate(u64),
    /// Write and sync entries.
    PersistEntries(Vec<Entry>),
    /// Write and sync a snapshot, and remove the entries that it includes.
    PersistSnapshot(Snapshot),
    /// Send a message to an instance. The disk of the receiving keeper is `None` while it is not known.
    Send(InstanceId, Option<u64>, RaftMsg),
    /// Apply a committed entry to the state machine.
    Apply(Entry),
    /// Replace the state of the state machine by that of a snapshot.
    Restore(Snapshot),
    /// Provide the state of the state machine after the entry with this index, by [`Input::SnapshotState`].
    TakeSnapshot(u64),
    /// The read with this id may proceed: all entries committed before it arrived have been applied.
    ReadReady(u64),
    /// The role of this keeper changed.
    RoleChanged(Role),
}

/// The current role of a keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The keeper has an empty disk and belongs to no group.
    Blank,
    /// The keeper follows a leader, if one is known.
    Follower(Option<KeeperId>),
    /// The keeper asks whether it would be elected, before it starts an election.
    PreCandidate,
    /// The keeper asks for votes.
    Candidate,
    /// The keeper is the leader.
    Leader,
}

/// The replication progress of another keeper, as tracked by the leader.
#[derive(Clone, Copy, Debug)]
struct Progress {
    /// The index of the next entry to send.
    next_index: u64,
    /// The last index that the keeper has acknowledged as synced.
    match_index: u64,
    last_contact: Time,
    /// When a snapshot was last sent; 0 if none is outstanding. It is sent again only after a timeout.
    snapshot_sent: Time,
}

/// The Raft state machine of a keeper.
#[derive(Debug)]
pub struct Raft {
    config: RaftConfig,
    term: u64,
    voted_for: Option<KeeperId>,
    log: Log,
    /// The last index that this keeper has synced.
    synced_index: u64,
    /// The last index up to which the log is known to agree with that of the leader of this term.
    match_index: u64,
    /// Writes that are not yet reported as synced, with the time at which they were output, oldest first.
    pending_writes: VecDeque<(Time, write::PendingWrite)>,
    /// How long the last reported write took.
    write_time: Duration,
    /// The keeper that was last granted a pre-vote, and when.
    pre_voted: Option<(KeeperId, Time)>,
    commit_index: u64,
    applied_index: u64,
    role: Role,
    /// The time of the last input.
    last_input: Time,
    /// When the election timer was last reset: by contact with the leader, by a change of role, by granting a vote or while
    /// a vote is being written.
    last_contact: Time,
    /// The randomized election timeout.
    timeout: Duration,
    /// When this keeper last sent heartbeats, or hellos while it is blank.
    last_sent: Time,
    /// The keepers that have granted their vote or pre-vote in the current election.
    votes: Vec<KeeperId>,
    progress: BTreeMap<KeeperId, Progress>,
    /// Keepers with empty disks that have sent hellos, by instance.
    blanks: BTreeMap<InstanceId, membership::BlankKeeper>,
    /// Keepers that have a log but no leader, and when they last asked to rejoin.
    rejoining: BTreeMap<KeeperId, Time>,
    /// Keepers that stop as planned, and when they last said so.
    leaving: BTreeMap<KeeperId, Time>,
    /// Whether this keeper stops as planned.
    is_leaving: bool,
    /// The keepers that this one has admitted as leader, in order, except instances that had lost their disks.
    admitted: BTreeMap<KeeperId, u64>,
    /// Instances whose keepers this one has removed as leader, because they came back with empty disks.
    returned: BTreeSet<InstanceId>,
    /// The last leader of another keeper, and the last contact with it.
    former_leader: Option<(KeeperId, Time)>,
    /// The data centres of the known instances.
    data_centres: BTreeMap<InstanceId, DataCentreId>,
    /// Instances at which to look for the group, in addition to those of the settings.
    contacts: Vec<InstanceId>,
    /// Whether a snapshot was requested from the host and not yet provided.
    snapshot_pending: bool,
    reads: read::ReadQueue,
    random: ChaCha8Rng,
}

/// The maximum number of entries in one message.
const MAX_APPEND_ENTRIES: usize = 64;

impl Raft {
    /// Creates a keeper from the state on its disk.
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
            leaving: BTreeMap::new(),
            is_leaving: false,
            admitted: BTreeMap::new(),
            returned: BTreeSet::new(),
            former_leader: None,
            data_centres: BTreeMap::new(),
            contacts: Vec::new(),
            snapshot_pending: false,
            reads: read::ReadQueue::default(),
            log,
            random,
            config,
        }
    }

    /// Handles an input and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.compensate_pause(now);
        match input {
            Input::Message(from, msg) => self.handle_message(now, from, msg, out),
            Input::Propose(command) => self.propose(now, Payload::Command(command), out),
            Input::Read(id) => self.read(id, out),
            Input::Synced(count) => self.handle_synced(now, count, out),
            Input::SnapshotState { index, state } => self.compact(now, index, state, out),
            Input::Leave => self.is_leaving = true,
            Input::Tick => self.tick(now, out),
        }
    }

    /// Extends the timeouts by a pause of this process, as it received no messages meanwhile. Otherwise each pause would be
    /// followed by an election, and nothing would be committed any more.
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
        if let Some((_, last_contact)) = &mut self.former_leader {
            *last_contact = *last_contact + pause;
        }
    }

    /// Sets the instances at which to look for the group, in addition to those of the settings. May be called at any time.
    pub fn set_contacts(&mut self, contacts: Vec<InstanceId>) {
        self.contacts = contacts;
    }

    /// Sets the data centres of the known instances. May be called at any time.
    pub fn set_data_centres(&mut self, data_centres: BTreeMap<InstanceId, DataCentreId>) {
        self.data_centres = data_centres;
    }

    /// Returns whether this keeper can end without a loss to the group: it does not vote, or no other keeper could take its
    /// place.
    #[must_use]
    pub fn may_leave(&self) -> bool {
        let membership = self.log.membership();
        let is_committed = self.log.membership_index() <= self.commit_index;
        let is_changing = !is_committed || membership.voters.len() > self.config.max_voters;
        let has_left = !self.is_voter() && is_committed;
        let is_irreplaceable = membership.learners.is_empty() && !is_changing;
        self.role != Role::Leader && (has_left || is_irreplaceable)
    }

    /// Returns the current role of this keeper.
    #[must_use]
    pub fn role(&self) -> Role {
        self.role
    }

    /// Returns the current term.
    #[must_use]
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the highest index that this keeper knows to be committed.
    #[must_use]
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Returns the command at `index` if this keeper leads and the entry is of the current term and not yet committed.
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

    /// Returns the membership given by the last entry that changes it, committed or not.
    #[must_use]
    pub fn membership(&self) -> Membership {
        self.log.membership()
    }

    /// Returns the leader, if one is known.
    #[must_use]
    pub fn leader(&self) -> Option<KeeperId> {
        match self.role {
            Role::Leader => Some(self.config.me),
            Role::Follower(leader) => leader,
            Role::Blank | Role::PreCandidate | Role::Candidate => None,
        }
    }

    fn handle_message(&mut self, now: Time, from: KeeperId, msg: RaftMsg, out: &mut Vec<Output>) {
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
            RaftMsg::Leave => {
                self.leaving.insert(from, now);
            }
            RaftMsg::Resign { term, successor } => {
                self.handle_resign(now, from, (term, successor), out);
            }
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        match self.role {
            Role::Blank => self.discover_group(now, out),
            Role::Leader => self.tick_leader(now, out),
            Role::Follower(_) | Role::PreCandidate | Role::Candidate => {
                if self.is_leaving {
                    self.announce_leave(now, out);
                }
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

    /// Enters the term of a message if it is later than the current one, as a follower of its leader.
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

    fn apply_committed(&mut self, out: &mut Vec<Output>) {
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

    /// Returns the membership as of an entry that is still in the log.
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

//! A keeper: the log's state machine with the catalogue on top.

use std::collections::BTreeMap;

use anyhow::Context;
use celerywinch_catalogue::{CatalogueState, Document, Version};
use celerywinch_store::{
    Entry, Input, KeeperId, Output, Payload, PersistedState, Raft, RaftConfig, Role, Snapshot,
};
use celerywinch_types::{InstanceId, Time};
use serde::Serialize;

use crate::message::decode_edit;
use crate::{ProposalAnswer, ProposalId, StoreMsg};

/// What the host is to do, strictly in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeeperOutput {
    /// An output of the log: writing, syncing, sending. `Apply`, `Restore` and `TakeSnapshot` are dealt
    /// with here and never come out.
    Log(Output),
    /// Answer a change, to the instance that sent it.
    Answer(InstanceId, ProposalId, ProposalAnswer),
    /// A version was committed.
    Committed {
        /// The version.
        version: Version,
        /// The catalogue.
        document: Document,
        /// Whether this keeper leads, and so is the one to spread it.
        is_leader: bool,
    },
}

/// Figures of a keeper, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KeeperStatus {
    /// The term.
    pub term: u64,
    /// What it does.
    pub role: String,
    /// The leader, if one is known.
    pub leader: Option<InstanceId>,
    /// How far the log is committed.
    pub commit: u64,
    /// Instances that count for majorities.
    pub voters: Vec<InstanceId>,
    /// Instances that are catching up.
    pub learners: Vec<InstanceId>,
    /// The version of the catalogue.
    pub version: Version,
}

/// A change that waits for its entry to be committed.
#[derive(Clone, Copy, Debug)]
struct Pending {
    term: u64,
    from: InstanceId,
    id: ProposalId,
}

/// The state machine of a keeper.
#[derive(Debug)]
pub struct Keeper {
    me: KeeperId,
    raft: Raft,
    ledger: CatalogueState,
    pending: BTreeMap<u64, Pending>,
    /// The index that the next proposed entry gets.
    last_proposed: u64,
}

impl Keeper {
    /// Starts from what the disk holds.
    ///
    /// # Errors
    ///
    /// The snapshot's state cannot be read.
    pub fn new(config: RaftConfig, now: Time, loaded: PersistedState) -> anyhow::Result<Self> {
        let me = config.me;
        let ledger = decode_state(&loaded.snapshot)?;
        let last_proposed = loaded
            .entries
            .last()
            .map_or(loaded.snapshot.index, |entry| entry.index);
        Ok(Self {
            me,
            raft: Raft::new(config, now, loaded.vote, loaded.snapshot, loaded.entries),
            ledger,
            pending: BTreeMap::new(),
            last_proposed,
        })
    }

    /// The version and the catalogue of the snapshot that it started from.
    #[must_use]
    pub fn catalogue(&self) -> (Version, &Document) {
        (self.ledger.version(), self.ledger.document())
    }

    /// Takes an input of the log.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<KeeperOutput>) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut outputs = Vec::new();
            self.raft.handle(now, input, &mut outputs);
            for output in outputs {
                self.output(output, &mut inputs, out);
            }
        }
    }

    fn output(&mut self, output: Output, inputs: &mut Vec<Input>, out: &mut Vec<KeeperOutput>) {
        match output {
            Output::Apply(entry) => self.apply(entry, out),
            Output::Restore(snapshot) => self.restore(&snapshot, out),
            Output::TakeSnapshot(index) => {
                let state = serde_json::to_vec(&self.ledger).unwrap_or_default();
                inputs.push(Input::SnapshotState { index, state });
            }
            Output::RoleChanged(role) => {
                if role != Role::Leader {
                    self.fail_pending(out);
                }
                out.push(KeeperOutput::Log(Output::RoleChanged(role)));
            }
            Output::PersistEntries(entries) => {
                self.last_proposed = entries
                    .last()
                    .map_or(self.last_proposed, |entry| entry.index);
                out.push(KeeperOutput::Log(Output::PersistEntries(entries)));
            }
            other => out.push(KeeperOutput::Log(other)),
        }
    }

    /// Takes a change from an instance.
    pub fn propose(
        &mut self,
        now: Time,
        from: InstanceId,
        id: ProposalId,
        edit: Vec<u8>,
        out: &mut Vec<KeeperOutput>,
    ) {
        if self.raft.role() != Role::Leader {
            let leader = self.raft.leader().map(|keeper| keeper.instance);
            let answer = ProposalAnswer::NotLeader(leader);
            out.push(KeeperOutput::Answer(from, id, answer));
            return;
        }
        // One sent again after its answer was lost needs no second entry.
        if let Some(answer) = self.recorded_answer(&edit) {
            out.push(KeeperOutput::Answer(from, id, answer));
            return;
        }
        let term = self.raft.term();
        self.handle(now, Input::Propose(edit), out);
        let pending = Pending { term, from, id };
        self.pending.insert(self.last_proposed, pending);
        // A group of one commits at once, when the host has synced; nothing is answered before.
    }

    fn recorded_answer(&self, edit: &[u8]) -> Option<ProposalAnswer> {
        let edit = decode_edit(edit).ok()?;
        self.ledger
            .answer(&edit.change_id)
            .cloned()
            .map(ProposalAnswer::Done)
    }

    fn apply(&mut self, entry: Entry, out: &mut Vec<KeeperOutput>) {
        let Payload::Command(command) = &entry.payload else {
            return;
        };
        let before = self.ledger.version();
        let Ok(edit) = decode_edit(command) else {
            return;
        };
        let answer = self.ledger.apply(edit);
        if self.ledger.version() > before {
            out.push(KeeperOutput::Committed {
                version: self.ledger.version(),
                document: self.ledger.document().clone(),
                is_leader: self.raft.role() == Role::Leader,
            });
        }
        if let Some(pending) = self.pending.remove(&entry.index) {
            let answer = if pending.term == entry.term {
                ProposalAnswer::Done(answer)
            } else {
                ProposalAnswer::Unknown
            };
            out.push(KeeperOutput::Answer(pending.from, pending.id, answer));
        }
    }

    fn restore(&mut self, snapshot: &Snapshot, out: &mut Vec<KeeperOutput>) {
        let Ok(ledger) = decode_state(snapshot) else {
            return;
        };
        let is_newer = ledger.version() > self.ledger.version();
        self.ledger = ledger;
        if is_newer {
            out.push(KeeperOutput::Committed {
                version: self.ledger.version(),
                document: self.ledger.document().clone(),
                is_leader: false,
            });
        }
    }

    fn fail_pending(&mut self, out: &mut Vec<KeeperOutput>) {
        for (_, pending) in std::mem::take(&mut self.pending) {
            out.push(KeeperOutput::Answer(
                pending.from,
                pending.id,
                ProposalAnswer::Unknown,
            ));
        }
    }

    /// Wraps a message of the log for another instance.
    ///
    /// # Errors
    ///
    /// The message is too large.
    pub fn encode_message(
        &self,
        to: InstanceId,
        disk: Option<u64>,
        msg: celerywinch_store::RaftMsg,
    ) -> anyhow::Result<StoreMsg> {
        let to = disk.map(|disk| KeeperId { instance: to, disk });
        Ok(StoreMsg::Log(celerywinch_store::encode(self.me, to, msg)?))
    }

    /// Takes a wrapped message; one for an earlier disk of this instance is dropped.
    ///
    /// # Errors
    ///
    /// The bytes are no message.
    pub fn handle_encoded(
        &mut self,
        now: Time,
        bytes: &[u8],
        out: &mut Vec<KeeperOutput>,
    ) -> anyhow::Result<()> {
        if let Some((from, msg)) = celerywinch_store::decode(bytes, self.me)? {
            self.handle(now, Input::Message(from, msg), out);
        }
        Ok(())
    }

    /// Figures for operators.
    #[must_use]
    pub fn status(&self) -> KeeperStatus {
        let membership = self.raft.membership();
        let instances = |keepers: &[KeeperId]| keepers.iter().map(|k| k.instance).collect();
        KeeperStatus {
            term: self.raft.term(),
            role: role_name(self.raft.role()).into(),
            leader: self.raft.leader().map(|keeper| keeper.instance),
            commit: self.raft.commit_index(),
            voters: instances(&membership.voters),
            learners: instances(&membership.learners),
            version: self.ledger.version(),
        }
    }
}

fn decode_state(snapshot: &Snapshot) -> anyhow::Result<CatalogueState> {
    if snapshot.state.is_empty() {
        return Ok(CatalogueState::default());
    }
    serde_json::from_slice(&snapshot.state).context("store: cannot read the snapshot's state")
}

fn role_name(role: Role) -> &'static str {
    match role {
        Role::Blank => "blank",
        Role::Follower(_) => "follower",
        Role::PreCandidate => "pre_candidate",
        Role::Candidate => "candidate",
        Role::Leader => "leader",
    }
}

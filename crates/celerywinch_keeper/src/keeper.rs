//! A keeper: the Raft state machine with the catalogue as replicated state.

use std::collections::BTreeMap;

use anyhow::Context;
use celerywinch_catalogue::{Document, ReplicatedCatalogue, Version};
use celerywinch_store::{
    Entry, Input, KeeperId, Output, Payload, PersistedState, Raft, RaftConfig, Role, Snapshot,
};
use celerywinch_types::{InstanceId, Time};
use serde::Serialize;

use crate::message::decode_edit;
use crate::{ProposalAnswer, ProposalId, StoreMsg};

/// An action for the host, which carries out all actions strictly in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeeperOutput {
    /// An output of the log, such as a write or a message. `Apply`, `Restore` and `TakeSnapshot` are handled by the keeper
    /// and never passed on.
    Log(Output),
    /// Send the answer to a proposal to the instance that made it.
    Answer(InstanceId, ProposalId, ProposalAnswer),
    /// A new version of the catalogue was committed.
    Committed {
        /// The version.
        version: Version,
        /// The catalogue.
        document: Document,
        /// Whether this keeper is the leader, which distributes the catalogue.
        is_leader: bool,
    },
}

/// The status of a keeper, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KeeperStatus {
    /// The current term.
    pub term: u64,
    /// The role, in snake case.
    pub role: String,
    /// The leader, if one is known.
    pub leader: Option<InstanceId>,
    /// The highest index that this keeper knows to be committed.
    pub commit: u64,
    /// The instances that count towards majorities.
    pub voters: Vec<InstanceId>,
    /// The instances that receive the log but do not count towards majorities.
    pub learners: Vec<InstanceId>,
    /// The version of the catalogue that this keeper has applied.
    pub version: Version,
}

/// A proposal whose entry is not yet committed.
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
    catalogue: ReplicatedCatalogue,
    /// Proposals by the index of their entry.
    pending: BTreeMap<u64, Pending>,
    /// The index of the last entry written to the log.
    last_proposed: u64,
}

impl Keeper {
    /// Creates a keeper from the state on its disk.
    ///
    /// # Errors
    ///
    /// The state in the snapshot cannot be decoded.
    pub fn new(config: RaftConfig, now: Time, loaded: PersistedState) -> anyhow::Result<Self> {
        let me = config.me;
        let catalogue = decode_state(&loaded.snapshot)?;
        let last_proposed = loaded
            .entries
            .last()
            .map_or(loaded.snapshot.index, |entry| entry.index);
        Ok(Self {
            me,
            raft: Raft::new(config, now, loaded.vote, loaded.snapshot, loaded.entries),
            catalogue,
            pending: BTreeMap::new(),
            last_proposed,
        })
    }

    /// Returns the version and the catalogue that this keeper has applied.
    #[must_use]
    pub fn catalogue(&self) -> (Version, &Document) {
        (self.catalogue.version(), self.catalogue.document())
    }

    /// Handles an input of the log.
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
                let state = serde_json::to_vec(&self.catalogue).unwrap_or_default();
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

    /// Handles the proposal of a change from an instance.
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
        // A proposal that is sent again because its answer was lost needs no second entry.
        if let Some(answer) = self.recorded_answer(&edit) {
            out.push(KeeperOutput::Answer(from, id, answer));
            return;
        }
        let term = self.raft.term();
        self.handle(now, Input::Propose(edit), out);
        let pending = Pending { term, from, id };
        self.pending.insert(self.last_proposed, pending);
        // The answer follows when the entry is committed, in a group of one as soon as the host has synced it.
    }

    fn recorded_answer(&self, edit: &[u8]) -> Option<ProposalAnswer> {
        let edit = decode_edit(edit).ok()?;
        self.catalogue
            .answer(&edit.change_id)
            .cloned()
            .map(ProposalAnswer::Done)
    }

    fn apply(&mut self, entry: Entry, out: &mut Vec<KeeperOutput>) {
        let Payload::Command(command) = &entry.payload else {
            return;
        };
        let before = self.catalogue.version();
        let Ok(edit) = decode_edit(command) else {
            return;
        };
        let answer = self.catalogue.apply(edit);
        if self.catalogue.version() > before {
            out.push(KeeperOutput::Committed {
                version: self.catalogue.version(),
                document: self.catalogue.document().clone(),
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
        let Ok(catalogue) = decode_state(snapshot) else {
            return;
        };
        let is_newer = catalogue.version() > self.catalogue.version();
        self.catalogue = catalogue;
        if is_newer {
            out.push(KeeperOutput::Committed {
                version: self.catalogue.version(),
                document: self.catalogue.document().clone(),
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

    /// Encodes a message of the log for another instance.
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

    /// Decodes and handles a message of the log; one for an earlier disk of this instance is dropped.
    ///
    /// # Errors
    ///
    /// The bytes cannot be decoded.
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

    /// Returns the status of this keeper, for operators.
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
            version: self.catalogue.version(),
        }
    }
}

fn decode_state(snapshot: &Snapshot) -> anyhow::Result<ReplicatedCatalogue> {
    if snapshot.state.is_empty() {
        return Ok(ReplicatedCatalogue::default());
    }
    serde_json::from_slice(&snapshot.state)
        .context("store: cannot decode the state in the snapshot")
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

//! The state machine of the registry.

use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::Context;
use bincode::config::standard;
use celerywinch_store::{
    Entry, Input, KeeperId, Output, Payload, PersistedState, Raft, RaftConfig, RaftMsg, Role,
    Snapshot,
};
use celerywinch_types::{
    DataCentreId, EvacuationOrder, Evacuations, InstanceId, KeeperRequest, KeeperState, Time,
    domain,
};

domain! {
    /// A document and its version.
    #[derive(Default)]
    pub struct VersionedDocument {
        /// Its version; 0 before the first document.
        pub version: u64,
        /// Its bytes, as sent by the operator.
        pub document: Vec<u8>,
    }

    /// A request of an operator.
    pub struct Request {
        /// The instance that waits for the answer.
        pub from: InstanceId,
        /// The id of the request at that instance.
        pub id: u64,
        /// The operation.
        pub request: KeeperRequest,
    }

    /// A command in the replicated log. `Read` and `PutDocument` are encoded like `None` and `Some` of
    /// the optional document that releases without evacuations write, so their logs stay readable.
    enum Command {
        Read,
        PutDocument(u64, Vec<u8>),
        Evacuate(EvacuationOrder),
    }
}

/// An output that the host carries out, strictly in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryOutput {
    /// An output of the log, except `Apply`, `Restore` and `TakeSnapshot`, which are handled here.
    Log(Output),
    /// Answer a request; `None` if its outcome is not known.
    Answer(InstanceId, u64, Option<KeeperState>),
    /// Forward a request to the leader's instance.
    Forward(InstanceId, Request),
    /// A document with a higher version was committed.
    Committed(VersionedDocument),
    /// A higher revision of the evacuations was applied.
    EvacuationsChanged(Evacuations),
}

/// The status of a keeper, for operators and logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryStatus {
    /// The current term.
    pub term: u64,
    /// The role of this keeper.
    pub role: Role,
    /// The index of the last committed entry.
    pub commit: u64,
    /// The number of keepers that count for majorities.
    pub voters: usize,
    /// The instances of these keepers.
    pub voting: Vec<InstanceId>,
    /// The number of keepers that are still learning the log.
    pub learners: usize,
    /// The version of the stored document.
    pub version: u64,
}

/// Time limit of a request: callers of the keepers give up after a second and try another keeper.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(850);

/// A request whose log entry or read is not complete yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    term: u64,
    from: InstanceId,
    id: u64,
    received: Time,
    /// Whether the answer has to contain the document.
    wants_document: bool,
}

/// The replicated configuration and evacuations of one keeper.
#[derive(Debug)]
pub struct Registry {
    me: KeeperId,
    raft: Raft,
    document: VersionedDocument,
    evacuations: Evacuations,
    /// Requests by the index of the log entry that they wait for.
    pending: BTreeMap<u64, Vec<Pending>>,
    /// Reads that wait for the confirmation of a majority, by read number.
    pending_reads: BTreeMap<u64, Pending>,
    next_read: u64,
    /// The index of the last entry proposed here.
    last_proposed: u64,
    /// Orders to be proposed once more.
    reproposals: Vec<EvacuationOrder>,
}

impl Registry {
    /// Restores the state from the disk.
    ///
    /// # Errors
    ///
    /// The snapshot cannot be read.
    pub fn new(config: RaftConfig, now: Time, loaded: PersistedState) -> anyhow::Result<Self> {
        let (document, evacuations) = decode_state(&loaded.snapshot)?;
        let last = loaded.entries.last();
        let last_proposed = last.map_or(loaded.snapshot.index, |entry| entry.index);
        Ok(Self {
            me: config.me,
            raft: Raft::new(config, now, loaded.vote, loaded.snapshot, loaded.entries),
            document,
            evacuations,
            pending: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            next_read: 0,
            last_proposed,
            reproposals: Vec::new(),
        })
    }

    /// Returns the document applied by this keeper; others may have a higher version.
    #[must_use]
    pub fn document(&self) -> &VersionedDocument {
        &self.document
    }

    /// Returns the evacuations applied by this keeper; others may have a higher revision.
    #[must_use]
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Sets other instances at which the group may be found.
    pub fn set_contacts(&mut self, contacts: BTreeMap<InstanceId, DataCentreId>) {
        self.raft.set_contacts(contacts.keys().copied().collect());
        self.raft.set_data_centres(contacts);
    }

    /// Returns whether a keeper that stops as planned can end without a loss to the group.
    #[must_use]
    pub fn may_leave(&self) -> bool {
        self.raft.may_leave()
    }

    /// Returns the status of this keeper, for operators and logs.
    #[must_use]
    pub fn status(&self) -> RegistryStatus {
        let membership = self.raft.membership();
        RegistryStatus {
            term: self.raft.term(),
            role: self.raft.role(),
            commit: self.raft.commit_index(),
            voters: membership.voters.len(),
            voting: membership.voters.iter().map(|v| v.instance).collect(),
            learners: membership.learners.len(),
            version: self.document.version,
        }
    }

    /// Handles an input of the log.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<RegistryOutput>) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut outputs = Vec::new();
            self.raft.handle(now, input, &mut outputs);
            for output in outputs {
                self.output(now, output, &mut inputs, out);
            }
        }
        for order in std::mem::take(&mut self.reproposals) {
            let index = self.propose(now, &Command::Evacuate(order), out);
            // Requests that are sent again find the entry here.
            self.pending.entry(index).or_default();
        }
    }

    fn output(
        &mut self,
        now: Time,
        output: Output,
        inputs: &mut Vec<Input>,
        out: &mut Vec<RegistryOutput>,
    ) {
        match output {
            Output::Apply(entry) => self.apply(now, entry, out),
            Output::Restore(snapshot) => self.restore(&snapshot, out),
            Output::TakeSnapshot(index) => {
                let state = (&self.document, &self.evacuations);
                let state = bincode::serde::encode_to_vec(state, standard());
                let state = state.expect("plain data encodes");
                inputs.push(Input::SnapshotState { index, state });
            }
            Output::ReadReady(read) => {
                if let Some(pending) = self.pending_reads.remove(&read) {
                    let state = Some(self.state(pending.wants_document));
                    out.push(RegistryOutput::Answer(pending.from, pending.id, state));
                }
            }
            Output::RoleChanged(role) => {
                if role != Role::Leader {
                    self.fail_pending(out);
                }
                out.push(RegistryOutput::Log(Output::RoleChanged(role)));
            }
            Output::PersistEntries(entries) => {
                self.last_proposed = entries
                    .last()
                    .map_or(self.last_proposed, |entry| entry.index);
                out.push(RegistryOutput::Log(Output::PersistEntries(entries)));
            }
            other => out.push(RegistryOutput::Log(other)),
        }
    }

    /// Handles a request. A keeper that is not the leader forwards the requests of its own instance to the leader,
    /// if it knows one, and answers all others with an unknown outcome.
    pub fn request(&mut self, now: Time, request: Request, out: &mut Vec<RegistryOutput>) {
        if self.raft.role() != Role::Leader {
            let leader = self.raft.leader().map(|keeper| keeper.instance);
            match leader {
                Some(leader) if request.from == self.me.instance => {
                    out.push(RegistryOutput::Forward(leader, request));
                }
                _ => out.push(RegistryOutput::Answer(request.from, request.id, None)),
            }
            return;
        }
        let pending = Pending {
            term: self.raft.term(),
            from: request.from,
            id: request.id,
            received: now,
            wants_document: request.request == KeeperRequest::ReadDocument,
        };
        let command = match request.request {
            KeeperRequest::ReadDocument | KeeperRequest::ReadEvacuations => {
                self.read(now, pending, out);
                return;
            }
            // Has no effect, so it is answered like a read. If it was sent again because its commit took
            // longer than its caller waits, a commit of its own would take as long.
            KeeperRequest::PutDocument(version, _) if version <= self.document.version => {
                self.read(now, pending, out);
                return;
            }
            KeeperRequest::PutDocument(version, document) => {
                Command::PutDocument(version, document)
            }
            KeeperRequest::Evacuate(order) => Command::Evacuate(order),
        };
        let index = self.propose(now, &command, out);
        self.pending.entry(index).or_default().push(pending);
    }

    /// Answers a request with the current state, once a majority has confirmed that this keeper is the leader.
    fn read(&mut self, now: Time, pending: Pending, out: &mut Vec<RegistryOutput>) {
        self.next_read += 1;
        self.pending_reads.insert(self.next_read, pending);
        self.handle(now, Input::Read(self.next_read), out);
    }

    /// Proposes a command and returns the index of its entry.
    ///
    /// A request that is sent again, because its commit takes longer than its caller waits, shares the entry
    /// of the first one: with an entry of its own it would wait as long again, and might never be answered.
    fn propose(&mut self, now: Time, command: &Command, out: &mut Vec<RegistryOutput>) -> u64 {
        let command = bincode::serde::encode_to_vec(command, standard());
        let command = command.expect("plain data encodes");
        let mut pending = self.pending.keys().rev().copied();
        let same = pending.find(|index| self.raft.uncommitted_command(*index) == Some(&command));
        same.unwrap_or_else(|| {
            self.handle(now, Input::Propose(command), out);
            self.last_proposed
        })
    }

    fn apply(&mut self, now: Time, entry: Entry, out: &mut Vec<RegistryOutput>) {
        let Payload::Command(command) = &entry.payload else {
            return;
        };
        let waiting = self.pending.remove(&entry.index).unwrap_or_default();
        match bincode::serde::decode_from_slice(command, standard()) {
            Ok((Command::PutDocument(version, document), _)) => {
                self.apply_document(version, document, out)
            }
            Ok((Command::Evacuate(order), _)) => {
                if self.apply_order(order, out) {
                    self.repropose_if_late(now, order, &waiting);
                }
            }
            Ok((Command::Read, _)) => {}
            Err(error) => log::error!(
                "registry: Cannot decode the command of entry {}: {error}.",
                entry.index
            ),
        }
        for pending in waiting {
            let state = (pending.term == entry.term).then(|| self.state(pending.wants_document));
            out.push(RegistryOutput::Answer(pending.from, pending.id, state));
        }
    }

    /// Proposes an applied order once more if all its callers have given up before the commit.
    ///
    /// The caller sends it again, based on the revision that this order has led to, and that order needs a
    /// commit of its own: if each commit takes longer than its caller waits, no order would ever be
    /// acknowledged. The commit of the one proposed here is in progress by then.
    fn repropose_if_late(&mut self, now: Time, order: EvacuationOrder, waiting: &[Pending]) {
        let late = |pending: &Pending| now.since(pending.received) >= REQUEST_TIMEOUT;
        let is_leader = self.raft.role() == Role::Leader;
        if is_leader && !waiting.is_empty() && waiting.iter().all(late) {
            let base = self.evacuations.revision;
            self.reproposals.push(EvacuationOrder { base, ..order });
        }
    }

    fn state(&self, with_document: bool) -> KeeperState {
        let document = if with_document {
            self.document.document.clone()
        } else {
            Vec::new()
        };
        KeeperState {
            version: self.document.version,
            document,
            evacuations: self.evacuations.clone(),
        }
    }

    /// Stores a document if its version is higher than the stored one. So a change that was sent again or
    /// overtaken has no effect, and neither has other content with the same version.
    fn apply_document(&mut self, version: u64, document: Vec<u8>, out: &mut Vec<RegistryOutput>) {
        if version > self.document.version {
            self.document = VersionedDocument { version, document };
            out.push(RegistryOutput::Committed(self.document.clone()));
        }
    }

    /// Applies an order if it is based on the current revision; returns false if it is void.
    ///
    /// Orders are resent through other keepers, and a delayed copy may be committed after a later order was
    /// acknowledged. Each applied order raises the revision, even if it changes nothing else, which voids all
    /// orders based on an earlier revision.
    fn apply_order(&mut self, order: EvacuationOrder, out: &mut Vec<RegistryOutput>) -> bool {
        if order.base != self.evacuations.revision {
            return false;
        }
        self.evacuations.revision += 1;
        if order.evacuated {
            self.evacuations.dcs.insert(order.dc);
        } else {
            self.evacuations.dcs.remove(&order.dc);
        }
        out.push(RegistryOutput::EvacuationsChanged(self.evacuations.clone()));
        true
    }

    fn restore(&mut self, snapshot: &Snapshot, out: &mut Vec<RegistryOutput>) {
        match decode_state(snapshot) {
            Ok((document, evacuations)) => {
                // Evacuations come before the document, so that the evacuations known to a process are
                // never older than its configuration.
                let changed = evacuations.revision > self.evacuations.revision;
                self.evacuations = evacuations;
                if changed {
                    out.push(RegistryOutput::EvacuationsChanged(self.evacuations.clone()));
                }
                let higher = document.version > self.document.version;
                self.document = document;
                if higher {
                    out.push(RegistryOutput::Committed(self.document.clone()));
                }
            }
            Err(error) => log::error!("registry: Ignored an unreadable snapshot: {error:#}."),
        }
    }

    fn fail_pending(&mut self, out: &mut Vec<RegistryOutput>) {
        let pending = std::mem::take(&mut self.pending).into_values().flatten();
        let reads = std::mem::take(&mut self.pending_reads).into_values();
        for pending in pending.chain(reads) {
            out.push(RegistryOutput::Answer(pending.from, pending.id, None));
        }
    }

    /// Encodes a message of the log for another keeper.
    ///
    /// # Errors
    ///
    /// The message is too large.
    pub fn encode_message(
        &self,
        to: InstanceId,
        disk: Option<u64>,
        msg: RaftMsg,
    ) -> anyhow::Result<Vec<u8>> {
        let to = disk.map(|disk| KeeperId { instance: to, disk });
        celerywinch_store::encode(self.me, to, msg)
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
        out: &mut Vec<RegistryOutput>,
    ) -> anyhow::Result<()> {
        if let Some((from, msg)) = celerywinch_store::decode(bytes, self.me)? {
            self.handle(now, Input::Message(from, msg), out);
        }
        Ok(())
    }
}

/// Decodes a snapshot. Snapshots of releases without evacuations end after the document.
fn decode_state(snapshot: &Snapshot) -> anyhow::Result<(VersionedDocument, Evacuations)> {
    let state = &snapshot.state;
    if state.is_empty() {
        return Ok(Default::default());
    }
    let decoded = bincode::serde::decode_from_slice(state, standard());
    let (document, length) = decoded.context("registry: cannot read the snapshot's document")?;
    if length == state.len() {
        return Ok((document, Evacuations::default()));
    }
    let decoded = bincode::serde::decode_from_slice(&state[length..], standard());
    let (evacuations, _) = decoded.context("registry: cannot read the snapshot's evacuations")?;
    Ok((document, evacuations))
}

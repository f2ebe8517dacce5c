//! The state machine.

use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::Context;
use bincode::config::standard;
use celerywinch_store::{
    Entry, Input, KeeperId, Loaded, Output, Payload, Raft, RaftConfig, RaftMsg, Role, Snapshot,
};
use celerywinch_types::{
    EvacuationOrder, Evacuations, InstanceId, KeeperRequest, KeeperState, Time, domain,
};

domain! {
    /// What is held: the document with the highest version.
    #[derive(Default)]
    pub struct VersionedDocument {
        /// The version; 0 before the first document.
        pub version: u64,
        /// As the operator sent it.
        pub document: Vec<u8>,
    }

    /// A request of an operator.
    pub struct Request {
        /// Who waits for the answer.
        pub from: InstanceId,
        /// Names the request there.
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

/// What the host is to do, strictly in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryOutput {
    /// An output of the log; `Apply`, `Restore` and `Compact` never come out.
    Log(Output),
    /// Answer a request; none if it is not known what became of it.
    Answer(InstanceId, u64, Option<KeeperState>),
    /// Pass a request to the instance that leads.
    Forward(InstanceId, Request),
    /// A higher version is held.
    Committed(VersionedDocument),
    /// A higher revision of the evacuations is held.
    EvacuationsChanged(Evacuations),
}

/// RegistryStatus for operators and logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegistryStatus {
    /// The term.
    pub term: u64,
    /// What this keeper does.
    pub role: Role,
    /// How far the log is committed.
    pub commit: u64,
    /// How many keepers count for majorities.
    pub voters: usize,
    /// How many are learning.
    pub learners: usize,
    /// The version held.
    pub version: u64,
}

/// How long a request is waited for: callers of the keepers move on after a second, and try another one.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(850);

/// A request whose entry is not committed yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    term: u64,
    from: InstanceId,
    id: u64,
    asked: Time,
    /// Whether the document is asked for.
    read: bool,
}

/// A keeper of the configuration.
#[derive(Debug)]
pub struct Registry {
    me: KeeperId,
    raft: Raft,
    document: VersionedDocument,
    evacuations: Evacuations,
    /// Requests by the entry that they wait for.
    pending: BTreeMap<u64, Vec<Pending>>,
    /// Reads that wait for the log, by their numbers there.
    reads: BTreeMap<u64, Pending>,
    next_read: u64,
    /// The index of the last entry that was proposed here.
    proposed: u64,
    /// Orders to propose once more.
    repeats: Vec<EvacuationOrder>,
}

impl Registry {
    /// Starts from what the disk holds.
    ///
    /// # Errors
    ///
    /// The snapshot cannot be read.
    pub fn new(config: RaftConfig, now: Time, loaded: Loaded) -> anyhow::Result<Self> {
        let (document, evacuations) = read_state(&loaded.snapshot)?;
        let last = loaded.entries.last();
        let proposed = last.map_or(loaded.snapshot.index, |entry| entry.index);
        Ok(Self {
            me: config.me,
            raft: Raft::new(config, now, loaded.vote, loaded.snapshot, loaded.entries),
            document,
            evacuations,
            pending: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_read: 0,
            proposed,
            repeats: Vec::new(),
        })
    }

    /// What is held, as far as this keeper knows; others may hold a higher version.
    #[must_use]
    pub fn document(&self) -> &VersionedDocument {
        &self.document
    }

    /// The evacuations applied by this keeper; others may hold a higher revision.
    #[must_use]
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Other instances at which the group may be found.
    pub fn set_contacts(&mut self, contacts: Vec<InstanceId>) {
        self.raft.set_contacts(contacts);
    }

    /// RegistryStatus for operators and logs.
    #[must_use]
    pub fn status(&self) -> RegistryStatus {
        let group = self.raft.group();
        RegistryStatus {
            term: self.raft.term(),
            role: self.raft.role(),
            commit: self.raft.commit(),
            voters: group.voters.len(),
            learners: group.learners.len(),
            version: self.document.version,
        }
    }

    /// Takes an input of the log.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<RegistryOutput>) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut outputs = Vec::new();
            self.raft.handle(now, input, &mut outputs);
            for output in outputs {
                self.output(now, output, &mut inputs, out);
            }
        }
        for order in std::mem::take(&mut self.repeats) {
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
            Output::Compact(index) => {
                let state = (&self.document, &self.evacuations);
                let state = bincode::serde::encode_to_vec(state, standard());
                let state = state.expect("plain data encodes");
                inputs.push(Input::State { index, state });
            }
            Output::Readable(read) => {
                if let Some(pending) = self.reads.remove(&read) {
                    let state = Some(self.state(pending.read));
                    out.push(RegistryOutput::Answer(pending.from, pending.id, state));
                }
            }
            Output::Role(role) => {
                if role != Role::Leader {
                    self.lose_pending(out);
                }
                out.push(RegistryOutput::Log(Output::Role(role)));
            }
            Output::Persist(entries) => {
                self.proposed = entries.last().map_or(self.proposed, |entry| entry.index);
                out.push(RegistryOutput::Log(Output::Persist(entries)));
            }
            other => out.push(RegistryOutput::Log(other)),
        }
    }

    /// Takes a request; a keeper that does not lead passes its own on, and refuses others'.
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
            asked: now,
            read: request.request == KeeperRequest::ReadDocument,
        };
        let command = match request.request {
            KeeperRequest::ReadDocument | KeeperRequest::ReadEvacuations => {
                self.read(now, pending, out);
                return;
            }
            // Changes nothing. Where it was sent again, as its commit took longer than its caller waits, a commit of its own
            // would take as long.
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

    /// Answers with what is held, once a majority has confirmed that this keeper leads.
    fn read(&mut self, now: Time, pending: Pending, out: &mut Vec<RegistryOutput>) {
        self.next_read += 1;
        self.reads.insert(self.next_read, pending);
        self.handle(now, Input::Read(self.next_read), out);
    }

    /// Proposes a command; the index of its entry.
    ///
    /// A request that is sent again, as its commit takes longer than its caller waits, shares the entry of the first one: each
    /// with an entry of its own would wait as long again, and none might ever be answered.
    fn propose(&mut self, now: Time, command: &Command, out: &mut Vec<RegistryOutput>) -> u64 {
        let command = bincode::serde::encode_to_vec(command, standard());
        let command = command.expect("plain data encodes");
        let mut open = self.pending.keys().rev().copied();
        let same = open.find(|index| self.raft.open_command(*index) == Some(&command));
        same.unwrap_or_else(|| {
            self.handle(now, Input::Propose(command), out);
            self.proposed
        })
    }

    fn apply(&mut self, now: Time, entry: Entry, out: &mut Vec<RegistryOutput>) {
        let Payload::Command(command) = &entry.payload else {
            return;
        };
        let waiting = self.pending.remove(&entry.index).unwrap_or_default();
        match bincode::serde::decode_from_slice(command, standard()) {
            Ok((Command::PutDocument(version, document), _)) => self.hold(version, document, out),
            Ok((Command::Evacuate(order), _)) => {
                if self.evacuate(order, out) {
                    self.repeat(now, order, &waiting);
                }
            }
            Ok((Command::Read, _)) => {}
            Err(error) => log::error!("registry: Entry {} is no command: {error}.", entry.index),
        }
        for pending in waiting {
            let state = (pending.term == entry.term).then(|| self.state(pending.read));
            out.push(RegistryOutput::Answer(pending.from, pending.id, state));
        }
    }

    /// Proposes an order that was applied once more if nobody waits for its commit any more.
    ///
    /// Its caller sends it again. That order rests on the revision which this one has led to, and needs a commit of its own:
    /// where each takes longer than its caller waits, none would ever be acknowledged. This one is under way by then.
    fn repeat(&mut self, now: Time, order: EvacuationOrder, waiting: &[Pending]) {
        let late = |pending: &Pending| now.since(pending.asked) >= REQUEST_TIMEOUT;
        let leads = self.raft.role() == Role::Leader;
        if leads && !waiting.is_empty() && waiting.iter().all(late) {
            let base = self.evacuations.revision;
            self.repeats.push(EvacuationOrder { base, ..order });
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

    /// Only a higher version replaces what is held, so a change sent again or overtaken has no
    /// effect, and other content under the version held is never obeyed.
    fn hold(&mut self, version: u64, document: Vec<u8>, out: &mut Vec<RegistryOutput>) {
        if version > self.document.version {
            self.document = VersionedDocument { version, document };
            out.push(RegistryOutput::Committed(self.document.clone()));
        }
    }

    /// Applies an order if it is based on the current revision; false if it is void.
    ///
    /// Orders are resent through other keepers, and a delayed copy may be committed after a later
    /// order was acknowledged. Each applied order raises the revision, even if it changes nothing
    /// else, which voids all orders based on an earlier revision.
    fn evacuate(&mut self, order: EvacuationOrder, out: &mut Vec<RegistryOutput>) -> bool {
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
        match read_state(snapshot) {
            Ok((held, evacuations)) => {
                // Evacuations come before the document, so that the evacuations known to a process are
                // never older than its configuration.
                let changed = evacuations.revision > self.evacuations.revision;
                self.evacuations = evacuations;
                if changed {
                    out.push(RegistryOutput::EvacuationsChanged(self.evacuations.clone()));
                }
                let higher = held.version > self.document.version;
                self.document = held;
                if higher {
                    out.push(RegistryOutput::Committed(self.document.clone()));
                }
            }
            Err(error) => log::error!("registry: A snapshot was dropped: {error:#}."),
        }
    }

    fn lose_pending(&mut self, out: &mut Vec<RegistryOutput>) {
        let pending = std::mem::take(&mut self.pending).into_values().flatten();
        let reads = std::mem::take(&mut self.reads).into_values();
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

    /// Takes an encoded message; one for an earlier disk of this instance is dropped.
    ///
    /// # Errors
    ///
    /// The bytes are no message.
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

/// Decodes a snapshot. Those of releases without evacuations end after the document.
fn read_state(snapshot: &Snapshot) -> anyhow::Result<(VersionedDocument, Evacuations)> {
    let state = &snapshot.state;
    if state.is_empty() {
        return Ok(Default::default());
    }
    let decoded = bincode::serde::decode_from_slice(state, standard());
    let (held, length) = decoded.context("registry: cannot read the snapshot's document")?;
    if length == state.len() {
        return Ok((held, Evacuations::default()));
    }
    let decoded = bincode::serde::decode_from_slice(&state[length..], standard());
    let (evacuations, _) = decoded.context("registry: cannot read the snapshot's evacuations")?;
    Ok((held, evacuations))
}

//! The store thread: drives the keeper's state machine, writes its disk, and proposes operators' changes.
//!
//! It is the only thread that blocks on disk I/O, so that callers' requests never wait for a disk.

use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::thread;
use std::time::Duration;

use anyhow::Context;
use celerywinch_catalogue::{Applied, ApplyError, Catalogue, Document, Edit, Version};
use celerywinch_entry::Input as EntryInput;
use celerywinch_keeper::{
    Keeper, KeeperOutput, KeeperStatus, ProposalId, Proposer, ProposerOutput, StoreMsg,
};
use celerywinch_store::{Disk, Input, KeeperId, Output, RaftConfig, Record, load_file, save_file};
use celerywinch_types::{InstanceId, PeerMsg, Process, Time};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::Clock;
use crate::shared::CoreMsg;

/// Interval between ticks of the state machines.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between the leader's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time without contact to a leader before an election starts.
const MIN_ELECTION_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of log entries after which the log is compacted into a snapshot.
const COMPACT_AFTER_ENTRIES: usize = 128;
/// Delay before a disk that failed is opened again.
const REOPEN_DELAY: Duration = Duration::from_secs(2);
/// The keeper's folder within the data folder.
const KEEPER_FOLDER: &str = "keeper";
/// The file within the data folder that holds the catalogue in force.
const CATALOGUE_FILE: &str = "catalogue";
/// The id of the change that installs the first catalogue.
const FIRST_CHANGE_ID: &str = "first-catalogue";

/// The result of an operator's change; `None` if it is not known whether the change was accepted.
pub(crate) type EditResult = Option<Result<Applied, ApplyError>>;

/// An input of the store thread.
#[derive(Debug)]
pub(crate) enum StoreInput {
    /// An encoded [`StoreMsg`] from another instance.
    Peer(InstanceId, Vec<u8>),
    /// An operator's change to propose.
    Edit(Edit, oneshot::Sender<EditResult>),
    /// A catalogue in force to write to the data folder.
    Save(Arc<Catalogue>),
    /// A query for the keeper's status; the answer is `None` if no keeper runs here.
    Status(oneshot::Sender<Option<KeeperStatus>>),
}

/// The configuration of the store thread.
pub(crate) struct StoreOptions {
    pub(crate) me: Process,
    /// All instances that are keepers.
    pub(crate) keepers: Vec<InstanceId>,
    pub(crate) data_folder: Option<PathBuf>,
    /// The catalogue that a keeper proposes while the log has none.
    pub(crate) first_catalogue: Option<Document>,
    pub(crate) clock: Arc<Clock>,
    pub(crate) core: UnboundedSender<CoreMsg>,
}

/// Opens the store and starts its thread.
pub(crate) fn start(options: StoreOptions, inbox: Receiver<StoreInput>) -> anyhow::Result<()> {
    let mut store = Store::open(options)?;
    let builder = thread::Builder::new().name("store".into());
    builder
        .spawn(move || store.run(&inbox))
        .context("store: cannot start the store thread")?;
    Ok(())
}

struct Store {
    options: StoreOptions,
    proposer: Proposer,
    keeper: Option<Keeper>,
    disk: Option<Disk>,
    /// When a disk that failed is opened again; [`Time::NEVER`] while the disk works.
    reopen_at: Time,
    /// Operators that wait for the result of a proposal.
    waiters: HashMap<ProposalId, oneshot::Sender<EditResult>>,
}

impl Store {
    fn open(options: StoreOptions) -> anyhow::Result<Self> {
        let seed = options.me.incarnation.0 ^ u64::from(options.me.instance.0) << 48;
        let mut store = Self {
            proposer: Proposer::new(options.keepers.clone(), seed),
            keeper: None,
            disk: None,
            reopen_at: Time::NEVER,
            waiters: HashMap::new(),
            options,
        };
        if store.is_keeper() {
            store.open_keeper()?;
        }
        store.restore_catalogue()?;
        Ok(store)
    }

    fn is_keeper(&self) -> bool {
        self.options.keepers.contains(&self.options.me.instance)
    }

    fn open_keeper(&mut self) -> anyhow::Result<()> {
        let folder = self.options.data_folder.as_deref();
        let folder = folder.context("store: a keeper needs a data folder")?;
        let me = self.options.me;
        // The identity for a new disk: different for every incarnation of every instance.
        let new_identity = me.incarnation.0 << 16 | u64::from(me.instance.0);
        let (disk, identity, loaded) = Disk::open(&folder.join(KEEPER_FOLDER), new_identity)?;
        if loaded.torn_bytes > 0 {
            log::warn!(
                "store: Truncated an incomplete record of {} bytes at the end of the log.",
                loaded.torn_bytes
            );
        }
        let config = RaftConfig {
            me: KeeperId {
                instance: me.instance,
                disk: identity,
            },
            instances: self.options.keepers.clone(),
            bootstrap: true,
            max_voters: usize::MAX,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            election_timeout: MIN_ELECTION_TIMEOUT,
            compact_after: COMPACT_AFTER_ENTRIES,
            seed: new_identity,
        };
        let now = self.options.clock.now();
        self.keeper = Some(Keeper::new(config, now, loaded)?);
        self.disk = Some(disk);
        Ok(())
    }

    /// Sends the core the saved catalogue, which was in force before this process started.
    fn restore_catalogue(&self) -> anyhow::Result<()> {
        let Some(folder) = &self.options.data_folder else {
            return Ok(());
        };
        let saved: Option<(Version, Vec<u8>)> = load_file(folder, CATALOGUE_FILE)?;
        let Some((version, document)) = saved else {
            return Ok(());
        };
        let document: Document = serde_json::from_slice(&document)?;
        if let Ok(catalogue) = Catalogue::check(version, document) {
            self.send_to_core(EntryInput::InitialCatalogue(Arc::new(catalogue)));
        }
        Ok(())
    }

    fn send_to_core(&self, input: EntryInput) {
        // Sending fails only while the process ends: until then the core is alive.
        let _ = self.options.core.send(CoreMsg::Input(input));
    }

    fn run(&mut self, inbox: &Receiver<StoreInput>) {
        loop {
            match inbox.recv_timeout(TICK_INTERVAL) {
                Ok(msg) => self.handle(msg),
                Err(RecvTimeoutError::Timeout) => self.tick(),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn handle(&mut self, msg: StoreInput) {
        let now = self.options.clock.now();
        match msg {
            StoreInput::Peer(from, bytes) => match StoreMsg::decode(&bytes) {
                Ok(msg) => self.handle_message(now, from, msg),
                Err(error) => log::warn!("store: Dropped a message from {from}: {error:#}."),
            },
            StoreInput::Edit(edit, answer) => self.propose(now, &edit, Some(answer)),
            StoreInput::Save(catalogue) => self.save_catalogue(&catalogue),
            StoreInput::Status(answer) => {
                let _ = answer.send(self.keeper.as_ref().map(Keeper::status));
            }
        }
    }

    fn tick(&mut self) {
        let now = self.options.clock.now();
        if self.reopen_at <= now {
            self.reopen_at = Time::NEVER;
            if let Err(error) = self.open_keeper() {
                self.close_keeper(now, &error);
            }
        }
        self.drive_keeper(now, Input::Tick);
        let mut out = Vec::new();
        self.proposer.tick(now, &mut out);
        self.execute_proposer_outputs(now, out);
    }

    fn drive_keeper(&mut self, now: Time, input: Input) {
        let mut out = Vec::new();
        if let Some(keeper) = &mut self.keeper {
            keeper.handle(now, input, &mut out);
        }
        self.execute_keeper_outputs(now, out);
    }

    fn handle_message(&mut self, now: Time, from: InstanceId, msg: StoreMsg) {
        let mut out = Vec::new();
        match msg {
            StoreMsg::Log(bytes) => {
                if let Some(keeper) = &mut self.keeper
                    && let Err(error) = keeper.handle_encoded(now, &bytes, &mut out)
                {
                    log::warn!("store: Dropped a message from {from}: {error:#}.");
                }
            }
            StoreMsg::Propose { id, edit } => {
                if let Some(keeper) = &mut self.keeper {
                    keeper.propose(now, from, id, edit, &mut out);
                }
            }
            StoreMsg::ProposalAnswer { id, answer } => {
                let mut done = Vec::new();
                self.proposer
                    .handle_answer(now, from, id, answer, &mut done);
                self.execute_proposer_outputs(now, done);
            }
        }
        self.execute_keeper_outputs(now, out);
    }

    fn propose(&mut self, now: Time, edit: &Edit, answer: Option<oneshot::Sender<EditResult>>) {
        let mut out = Vec::new();
        match self.proposer.propose(now, edit, &mut out) {
            Ok(id) => {
                if let Some(answer) = answer {
                    self.waiters.insert(id, answer);
                }
            }
            Err(error) => log::error!("store: Cannot propose a change: {error:#}."),
        }
        self.execute_proposer_outputs(now, out);
    }

    fn execute_proposer_outputs(&mut self, now: Time, out: Vec<ProposerOutput>) {
        for output in out {
            match output {
                ProposerOutput::Send(to, msg) => self.send(now, to, &msg),
                ProposerOutput::Done(id, answer) => {
                    if let Some(waiter) = self.waiters.remove(&id) {
                        let _ = waiter.send(answer);
                    }
                }
            }
        }
    }

    fn send(&mut self, now: Time, to: InstanceId, msg: &StoreMsg) {
        if to == self.options.me.instance {
            self.handle_message(now, to, msg.clone());
            return;
        }
        match msg.encode() {
            Ok(bytes) => {
                let msg = CoreMsg::Send(to, PeerMsg::Store(bytes));
                let _ = self.options.core.send(msg);
            }
            Err(error) => log::error!("store: Cannot encode a message: {error:#}."),
        }
    }

    /// Executes outputs strictly in order. At the first failure the keeper is closed, so that no message is
    /// sent that depends on data missing from the disk.
    fn execute_keeper_outputs(&mut self, now: Time, out: Vec<KeeperOutput>) {
        let mut writes = 0;
        for output in out {
            match self.execute_keeper_output(now, output) {
                Ok(written) => writes += usize::from(written),
                Err(error) => {
                    self.close_keeper(now, &error);
                    return;
                }
            }
        }
        if writes > 0 {
            self.drive_keeper(now, Input::Synced(writes));
        }
    }

    /// Closes the keeper after a disk error, such as a full disk, until the disk can be opened again. Meanwhile the
    /// keeper accepts no changes, and the process continues to serve callers.
    fn close_keeper(&mut self, now: Time, error: &anyhow::Error) {
        log::error!("store: The disk cannot be used, changes are refused: {error:#}.");
        self.keeper = None;
        self.disk = None;
        self.reopen_at = now + REOPEN_DELAY;
    }

    /// Executes one output; returns whether it was a write to the log on disk.
    fn execute_keeper_output(&mut self, now: Time, output: KeeperOutput) -> anyhow::Result<bool> {
        match output {
            KeeperOutput::Log(output) => return self.execute_log_output(now, output),
            KeeperOutput::Answer(to, id, answer) => {
                self.send(now, to, &StoreMsg::ProposalAnswer { id, answer });
            }
            KeeperOutput::Committed {
                version,
                document,
                is_leader,
            } => {
                let catalogue = Catalogue::check(version, document).map_err(|problems| {
                    anyhow::anyhow!("store: the committed catalogue is invalid: {problems:?}")
                })?;
                self.send_to_core(EntryInput::CatalogueCommitted(
                    Arc::new(catalogue),
                    is_leader,
                ));
            }
        }
        Ok(false)
    }

    /// Executes one output of the log; returns whether it was a write to the disk.
    fn execute_log_output(&mut self, now: Time, output: Output) -> anyhow::Result<bool> {
        let disk = self.disk.as_mut().context("store: no disk is open")?;
        match output {
            Output::PersistVote { term, vote } => disk.append(&[Record::Vote { term, vote }])?,
            Output::Truncate(index) => disk.append(&[Record::Truncate(index)])?,
            Output::PersistEntries(entries) => {
                let records: Vec<_> = entries.into_iter().map(Record::Entry).collect();
                disk.append(&records)?;
            }
            Output::PersistSnapshot(snapshot) => disk.compact(&snapshot)?,
            Output::Send(to, to_disk, msg) => {
                let keeper = self.keeper.as_ref().context("store: no keeper")?;
                let msg = keeper.encode_message(to, to_disk, msg)?;
                self.send(now, to, &msg);
                return Ok(false);
            }
            Output::RoleChanged(role) => {
                log::info!("store: This keeper is now {role:?}.");
                self.propose_first_catalogue(now);
                return Ok(false);
            }
            // Handled by the keeper's state machine.
            Output::Apply(_)
            | Output::Restore(_)
            | Output::TakeSnapshot(_)
            | Output::ReadReady(_) => {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Proposes the first catalogue if the log has none. All keepers propose it under the same change id, so
    /// that it is applied once.
    fn propose_first_catalogue(&mut self, now: Time) {
        let empty = self.keeper.as_ref().is_some_and(|k| k.catalogue().0 == 0);
        if !empty {
            return;
        }
        if let Some(document) = self.options.first_catalogue.take() {
            let edit = Edit {
                change_id: FIRST_CHANGE_ID.into(),
                base: 0,
                document,
            };
            self.propose(now, &edit, None);
        }
    }

    fn save_catalogue(&self, catalogue: &Catalogue) {
        let Some(folder) = &self.options.data_folder else {
            return;
        };
        match write_catalogue(folder, catalogue) {
            Ok(()) => self.send_to_core(EntryInput::CatalogueSaved(catalogue.version())),
            Err(error) => log::error!("store: Cannot save the catalogue: {error:#}."),
        }
    }
}

fn write_catalogue(folder: &Path, catalogue: &Catalogue) -> anyhow::Result<()> {
    let document = serde_json::to_vec(catalogue.document())?;
    save_file(folder, CATALOGUE_FILE, &(catalogue.version(), document))?;
    Ok(())
}

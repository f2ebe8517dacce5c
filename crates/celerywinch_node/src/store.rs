//! The store's thread: the keeper's state machine and its disk, and the way of operators' changes.
//!
//! It is the only thread that waits for a disk; requests of callers never do.

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

/// Between two ticks of the state machines.
const TICK: Duration = Duration::from_millis(10);
/// Between two heartbeats of the leader.
const HEARTBEAT: Duration = Duration::from_millis(100);
/// The shortest time without a leader before an election.
const ELECTION: Duration = Duration::from_millis(400);
/// Entries after which a snapshot is made.
const COMPACT_AFTER: usize = 128;
/// Between two attempts to use a disk that failed.
const REOPEN: Duration = Duration::from_secs(2);
/// The folder of the keeper within the data folder.
const KEEPER_FOLDER: &str = "keeper";
/// The file with the catalogue in force within the data folder.
const CATALOGUE_FILE: &str = "catalogue";
/// The change that puts in the first catalogue.
const FIRST_CHANGE: &str = "first-catalogue";

/// The answer to an operator; none means that it is not known whether the change was accepted.
pub(crate) type EditAnswer = Option<Result<Applied, ApplyError>>;

/// What the thread is asked.
#[derive(Debug)]
pub(crate) enum StoreIn {
    Peer(InstanceId, Vec<u8>),
    Edit(Edit, oneshot::Sender<EditAnswer>),
    Save(Arc<Catalogue>),
    Status(oneshot::Sender<Option<KeeperStatus>>),
}

/// What the thread is told at its start.
pub(crate) struct StoreOptions {
    pub(crate) me: Process,
    pub(crate) keepers: Vec<InstanceId>,
    pub(crate) data_folder: Option<PathBuf>,
    pub(crate) first_catalogue: Option<Document>,
    pub(crate) clock: Arc<Clock>,
    pub(crate) core: UnboundedSender<CoreMsg>,
}

/// Starts the thread.
pub(crate) fn start(options: StoreOptions, inbox: Receiver<StoreIn>) -> anyhow::Result<()> {
    let mut store = Store::open(options)?;
    let builder = thread::Builder::new().name("store".into());
    builder
        .spawn(move || store.run(&inbox))
        .context("store: cannot start its thread")?;
    Ok(())
}

struct Store {
    options: StoreOptions,
    proposer: Proposer,
    keeper: Option<Keeper>,
    disk: Option<Disk>,
    reopen_at: Time,
    waiting: HashMap<ProposalId, oneshot::Sender<EditAnswer>>,
}

impl Store {
    fn open(options: StoreOptions) -> anyhow::Result<Self> {
        let seed = options.me.incarnation.0 ^ u64::from(options.me.instance.0) << 48;
        let mut store = Self {
            proposer: Proposer::new(options.keepers.clone(), seed),
            keeper: None,
            disk: None,
            reopen_at: Time::NEVER,
            waiting: HashMap::new(),
            options,
        };
        if store.is_keeper() {
            store.open_keeper()?;
        }
        store.load_catalogue()?;
        Ok(store)
    }

    fn is_keeper(&self) -> bool {
        self.options.keepers.contains(&self.options.me.instance)
    }

    fn open_keeper(&mut self) -> anyhow::Result<()> {
        let folder = self.options.data_folder.as_deref();
        let folder = folder.context("store: a keeper needs a data folder")?;
        let me = self.options.me;
        // The identity of a new disk: no two lives of any instance share it.
        let fresh = me.incarnation.0 << 16 | u64::from(me.instance.0);
        let (disk, identity, loaded) = Disk::open(&folder.join(KEEPER_FOLDER), fresh)?;
        if loaded.torn_bytes > 0 {
            log::warn!(
                "store: Cut off an unfinished record of {} bytes.",
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
            heartbeat_interval: HEARTBEAT,
            election_timeout: ELECTION,
            compact_after: COMPACT_AFTER,
            seed: fresh,
        };
        let now = self.options.clock.now();
        self.keeper = Some(Keeper::new(config, now, loaded)?);
        self.disk = Some(disk);
        Ok(())
    }

    /// Hands over what was in force before this process started.
    fn load_catalogue(&self) -> anyhow::Result<()> {
        let Some(folder) = &self.options.data_folder else {
            return Ok(());
        };
        let saved: Option<(Version, Vec<u8>)> = load_file(folder, CATALOGUE_FILE)?;
        let Some((version, document)) = saved else {
            return Ok(());
        };
        let document: Document = serde_json::from_slice(&document)?;
        if let Ok(catalogue) = Catalogue::check(version, document) {
            self.tell(EntryInput::InitialCatalogue(Arc::new(catalogue)));
        }
        Ok(())
    }

    fn tell(&self, input: EntryInput) {
        // The core ends before this thread only when the process does.
        let _ = self.options.core.send(CoreMsg::Input(input));
    }

    fn run(&mut self, inbox: &Receiver<StoreIn>) {
        loop {
            match inbox.recv_timeout(TICK) {
                Ok(msg) => self.take(msg),
                Err(RecvTimeoutError::Timeout) => self.tick(),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn take(&mut self, msg: StoreIn) {
        let now = self.options.clock.now();
        match msg {
            StoreIn::Peer(from, bytes) => match StoreMsg::decode(&bytes) {
                Ok(msg) => self.message(now, from, msg),
                Err(error) => log::warn!("store: Dropped a message of {from}: {error:#}."),
            },
            StoreIn::Edit(edit, answer) => self.edit(now, &edit, Some(answer)),
            StoreIn::Save(catalogue) => self.save(&catalogue),
            StoreIn::Status(answer) => {
                let _ = answer.send(self.keeper.as_ref().map(Keeper::status));
            }
        }
    }

    fn tick(&mut self) {
        let now = self.options.clock.now();
        if self.reopen_at <= now {
            self.reopen_at = Time::NEVER;
            if let Err(error) = self.open_keeper() {
                self.fail(now, &error);
            }
        }
        self.input(now, Input::Tick);
        let mut out = Vec::new();
        self.proposer.tick(now, &mut out);
        self.proposer_outputs(now, out);
    }

    fn input(&mut self, now: Time, input: Input) {
        let mut out = Vec::new();
        if let Some(keeper) = &mut self.keeper {
            keeper.handle(now, input, &mut out);
        }
        self.keeper_outputs(now, out);
    }

    fn message(&mut self, now: Time, from: InstanceId, msg: StoreMsg) {
        let mut out = Vec::new();
        match msg {
            StoreMsg::Log(bytes) => {
                if let Some(keeper) = &mut self.keeper
                    && let Err(error) = keeper.handle_encoded(now, &bytes, &mut out)
                {
                    log::warn!("store: Dropped a message of {from}: {error:#}.");
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
                self.proposer_outputs(now, done);
            }
        }
        self.keeper_outputs(now, out);
    }

    fn edit(&mut self, now: Time, edit: &Edit, answer: Option<oneshot::Sender<EditAnswer>>) {
        let mut out = Vec::new();
        match self.proposer.propose(now, edit, &mut out) {
            Ok(id) => {
                if let Some(answer) = answer {
                    self.waiting.insert(id, answer);
                }
            }
            Err(error) => log::error!("store: A change cannot be sent: {error:#}."),
        }
        self.proposer_outputs(now, out);
    }

    fn proposer_outputs(&mut self, now: Time, out: Vec<ProposerOutput>) {
        for output in out {
            match output {
                ProposerOutput::Send(to, msg) => self.send(now, to, &msg),
                ProposerOutput::Done(id, answer) => {
                    if let Some(waiting) = self.waiting.remove(&id) {
                        let _ = waiting.send(answer);
                    }
                }
            }
        }
    }

    fn send(&mut self, now: Time, to: InstanceId, msg: &StoreMsg) {
        if to == self.options.me.instance {
            self.message(now, to, msg.clone());
            return;
        }
        match msg.encode() {
            Ok(bytes) => {
                let msg = CoreMsg::Send(to, PeerMsg::Store(bytes));
                let _ = self.options.core.send(msg);
            }
            Err(error) => log::error!("store: A message cannot be sent: {error:#}."),
        }
    }

    /// Carries outputs out strictly in order; the first that fails ends the keeper's life, so that
    /// nothing leaves that rests on what is not on the disk.
    fn keeper_outputs(&mut self, now: Time, out: Vec<KeeperOutput>) {
        let mut writes = 0;
        for output in out {
            match self.keeper_output(now, output) {
                Ok(written) => writes += usize::from(written),
                Err(error) => {
                    self.fail(now, &error);
                    return;
                }
            }
        }
        if writes > 0 {
            self.input(now, Input::Synced(writes));
        }
    }

    /// A full or broken disk refuses changes; the process goes on to serve callers.
    fn fail(&mut self, now: Time, error: &anyhow::Error) {
        log::error!("store: The disk cannot be used, changes are refused: {error:#}.");
        self.keeper = None;
        self.disk = None;
        self.reopen_at = now + REOPEN;
    }

    /// Whether the output was a write to the log's disk.
    fn keeper_output(&mut self, now: Time, output: KeeperOutput) -> anyhow::Result<bool> {
        match output {
            KeeperOutput::Log(output) => return self.log_output(now, output),
            KeeperOutput::Answer(to, id, answer) => {
                self.send(now, to, &StoreMsg::ProposalAnswer { id, answer });
            }
            KeeperOutput::Committed {
                version,
                document,
                is_leader,
            } => {
                let catalogue = Catalogue::check(version, document)
                    .map_err(|problems| anyhow::anyhow!("store: committed {problems:?}"))?;
                self.tell(EntryInput::CatalogueCommitted(
                    Arc::new(catalogue),
                    is_leader,
                ));
            }
        }
        Ok(false)
    }

    fn log_output(&mut self, now: Time, output: Output) -> anyhow::Result<bool> {
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
                self.offer_first(now);
                return Ok(false);
            }
            // Dealt with by the keeper's state machine.
            Output::Apply(_)
            | Output::Restore(_)
            | Output::TakeSnapshot(_)
            | Output::ReadReady(_) => {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// A log without any catalogue gets the first one; all keepers offer it as the same change.
    fn offer_first(&mut self, now: Time) {
        let empty = self.keeper.as_ref().is_some_and(|k| k.catalogue().0 == 0);
        if !empty {
            return;
        }
        if let Some(document) = self.options.first_catalogue.take() {
            let edit = Edit {
                change_id: FIRST_CHANGE.into(),
                base: 0,
                document,
            };
            self.edit(now, &edit, None);
        }
    }

    fn save(&self, catalogue: &Catalogue) {
        let Some(folder) = &self.options.data_folder else {
            return;
        };
        match save_catalogue(folder, catalogue) {
            Ok(()) => self.tell(EntryInput::CatalogueSaved(catalogue.version())),
            Err(error) => log::error!("store: The catalogue cannot be saved: {error:#}."),
        }
    }
}

fn save_catalogue(folder: &Path, catalogue: &Catalogue) -> anyhow::Result<()> {
    let document = serde_json::to_vec(catalogue.document())?;
    save_file(folder, CATALOGUE_FILE, &(catalogue.version(), document))?;
    Ok(())
}

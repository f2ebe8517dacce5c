//! The thread of a keeper that runs the replicated log of the configuration. Nothing that serves a caller waits for it. It
//! does not wait for writes to its disk, which have a thread of their own.

mod writer;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use anyhow::Context;
use celerywinch_registry::{Registry, RegistryOutput, RegistryStatus, Request, VersionedDocument};
use celerywinch_store::{Disk, Input, KeeperId, Output, RaftConfig, Record, load_file};
use celerywinch_types::{
    DataCentreId, Evacuations, FleetMsg, InstanceId, KeeperMsg, KeeperState, Time,
    WorkerAnnouncement,
};
use crossbeam_channel::{Receiver, Sender, never, select, unbounded};
use tokio::sync::mpsc::UnboundedSender;

use crate::core::CoreMsg;
use crate::{Clock, FleetConfig};
use writer::{Write, WriteResult, Writer};

/// Interval of the log's ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Interval of the leader's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time without a leader before an election.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of entries after which the log is compacted to a snapshot. Each entry holds a whole configuration, up to 100 KB
/// with several hundred routes, and the log is kept in memory as well.
const COMPACT_AFTER: usize = 16;
/// Delay before a failed disk is opened again.
const REOPEN_DELAY: Duration = Duration::from_secs(1);
/// Folder of the log in the data folder.
const LOG_FOLDER: &str = "registry";
/// Stack size of the thread, in bytes. Its calls are not deeply nested.
const STACK_SIZE: usize = 256 << 10;

/// A message to the thread.
#[derive(Debug)]
pub(crate) enum StoreInput {
    Log(InstanceId, Vec<u8>),
    Request(Request),
    /// The known keepers and their data centres.
    Contacts(BTreeMap<InstanceId, DataCentreId>),
    /// The process stops as planned.
    Leave,
    /// The known workers, to be stored for the next start.
    Workers(Vec<WorkerAnnouncement>),
}

/// A message from the thread to the core.
#[derive(Debug)]
pub(crate) enum StoreOutput {
    Send(InstanceId, FleetMsg),
    Answer(u64, Option<KeeperState>),
    Committed(VersionedDocument),
    EvacuationsChanged(Evacuations),
    Role(RegistryStatus),
    /// The workers that were known before the restart.
    Workers(Vec<WorkerAnnouncement>),
    /// The process may end without a loss to the group of keepers.
    MayEnd,
}

struct Store {
    me: InstanceId,
    dc: DataCentreId,
    seeds: Vec<InstanceId>,
    bootstrap: bool,
    voters: usize,
    folder: PathBuf,
    clock: Clock,
    core: UnboundedSender<CoreMsg>,
    open: Option<(Registry, Writer)>,
    /// Results of writes to the open disk.
    results: Receiver<WriteResult>,
    reopen_at: Time,
    /// The known keepers and their data centres, with this one.
    contacts: BTreeMap<InstanceId, DataCentreId>,
    is_leaving: bool,
    /// The instances that were last reported to vote.
    voting: Vec<InstanceId>,
}

/// Starts the thread.
pub(crate) fn start(
    config: &FleetConfig,
    clock: Clock,
    core: UnboundedSender<CoreMsg>,
) -> anyhow::Result<Sender<StoreInput>> {
    let folder = config.data_dir.clone();
    let mut store = Store {
        me: config.instance,
        dc: config.dc,
        seeds: config.seeds.clone(),
        bootstrap: config.bootstrap,
        voters: config.fault_tolerance * 2 + 1,
        folder: folder.context("store: a keeper needs a data folder")?,
        clock,
        core,
        open: None,
        results: never(),
        reopen_at: Time::NEVER,
        contacts: BTreeMap::from([(config.instance, config.dc)]),
        is_leaving: false,
        voting: Vec::new(),
    };
    store.load_workers();
    store.open()?;
    let (sender, inbox) = unbounded();
    thread::Builder::new()
        .name("store".into())
        .stack_size(STACK_SIZE)
        .spawn(move || store.run(&inbox))
        .context("store: cannot start its thread")?;
    Ok(sender)
}

impl Store {
    fn open(&mut self) -> anyhow::Result<()> {
        let (disk, identity, loaded) = Disk::open(&self.folder.join(LOG_FOLDER), rand::random())?;
        if loaded.torn_bytes > 0 {
            log::warn!(
                "store: Truncated {} bytes of an incomplete record.",
                loaded.torn_bytes
            );
        }
        let config = RaftConfig {
            me: KeeperId {
                instance: self.me,
                disk: identity,
            },
            instances: self.seeds.clone(),
            bootstrap: self.bootstrap,
            max_voters: self.voters,
            heartbeat_interval: HEARTBEAT_INTERVAL,
            election_timeout: ELECTION_TIMEOUT,
            compact_after: COMPACT_AFTER,
            seed: rand::random(),
        };
        let now = self.clock.now();
        let mut registry = Registry::new(config, now, loaded)?;
        registry.set_contacts(self.contacts.clone());
        if self.is_leaving {
            registry.handle(now, Input::Leave, &mut Vec::new());
        }
        if registry.evacuations().revision > 0 {
            self.notify_core(StoreOutput::EvacuationsChanged(
                registry.evacuations().clone(),
            ));
        }
        if registry.document().version > 0 {
            self.notify_core(StoreOutput::Committed(registry.document().clone()));
        }
        let (writer, results) = Writer::start(disk, &self.folder)?;
        self.open = Some((registry, writer));
        self.results = results;
        Ok(())
    }

    fn notify_core(&self, out: StoreOutput) {
        // Fails only if the core has ended, which it does only with the process.
        let _ = self.core.send(CoreMsg::Store(out));
    }

    fn run(&mut self, inbox: &Receiver<StoreInput>) {
        let mut last_tick = self.clock.now();
        loop {
            let results = self.results.clone();
            select! {
                recv(inbox) -> msg => match msg {
                    Ok(msg) => self.handle(msg),
                    Err(_) => return,
                },
                recv(results) -> result => match result {
                    Ok(result) => self.handle_written(result),
                    Err(_) => self.results = never(),
                },
                default(TICK_INTERVAL) => {}
            }
            let now = self.clock.now();
            if now.since(last_tick) >= TICK_INTERVAL {
                last_tick = now;
                self.tick(now);
            }
        }
    }

    fn tick(&mut self, now: Time) {
        if self.reopen_at <= now {
            self.reopen_at = Time::NEVER;
            if let Err(error) = self.open() {
                self.close_disk(now, &error);
            }
        }
        self.update_registry(now, |registry, out| registry.handle(now, Input::Tick, out));
        let registry = self.open.as_ref().map(|(registry, _)| registry);
        if let Some(status) = registry.map(Registry::status)
            && status.voting != self.voting
        {
            self.voting = status.voting.clone();
            self.notify_core(StoreOutput::Role(status));
        }
        let registry = self.open.as_ref().map(|(registry, _)| registry);
        if self.is_leaving && registry.is_none_or(Registry::may_leave) {
            self.notify_core(StoreOutput::MayEnd);
        }
    }

    fn handle(&mut self, msg: StoreInput) {
        let now = self.clock.now();
        match msg {
            StoreInput::Log(from, bytes) => self.update_registry(now, |registry, out| {
                if let Err(error) = registry.handle_encoded(now, &bytes, out) {
                    log::warn!("store: Dropped a message from {from}: {error:#}.");
                }
            }),
            StoreInput::Request(request) => {
                if self.open.is_none() {
                    self.answer(request.from, request.id, None);
                }
                self.update_registry(now, |registry, out| registry.request(now, request, out));
            }
            StoreInput::Workers(workers) => {
                if let Some((_, writer)) = &self.open {
                    writer.write(Write::Workers(workers));
                }
            }
            StoreInput::Contacts(contacts) => {
                self.contacts = contacts;
                self.contacts.insert(self.me, self.dc);
                if let Some((registry, _)) = &mut self.open {
                    registry.set_contacts(self.contacts.clone());
                }
            }
            StoreInput::Leave => {
                self.is_leaving = true;
                self.update_registry(now, |registry, out| registry.handle(now, Input::Leave, out));
            }
        }
    }

    /// Sends the stored workers to the core. Workers announce themselves every 1.5 s. After the loss of all processes, a
    /// dispatcher that waits for the announcements would refuse jobs for lack of workers. With the list it polls them at
    /// once, and those that are gone do not answer.
    fn load_workers(&self) {
        match load_file(&self.folder, writer::WORKERS_FILE) {
            Ok(workers) => self.notify_core(StoreOutput::Workers(workers.unwrap_or_default())),
            Err(error) => log::warn!("store: Cannot read the stored workers: {error:#}."),
        }
    }

    fn update_registry(
        &mut self,
        now: Time,
        update: impl FnOnce(&mut Registry, &mut Vec<RegistryOutput>),
    ) {
        let mut out = Vec::new();
        if let Some((registry, _)) = &mut self.open {
            update(registry, &mut out);
        }
        self.handle_outputs(now, out);
    }

    fn handle_outputs(&mut self, now: Time, out: Vec<RegistryOutput>) {
        for output in out {
            if let Err(error) = self.handle_output(output) {
                self.close_disk(now, &error);
                return;
            }
        }
    }

    /// Passes a result of a write to the log. The first failed write closes the log, so that no message is sent that depends
    /// on data which is not on the disk.
    fn handle_written(&mut self, result: WriteResult) {
        let now = self.clock.now();
        match result {
            Ok(count) => {
                let input = Input::Synced(count);
                self.update_registry(now, |registry, out| registry.handle(now, input, out));
            }
            Err(error) => self.close_disk(now, &error.into()),
        }
    }

    /// Closes the log after an error of the disk, until it is opened again. Meanwhile changes are refused, and the
    /// configuration in force stays in force.
    fn close_disk(&mut self, now: Time, error: &anyhow::Error) {
        log::error!("store: The disk cannot be used, changes are refused: {error:#}.");
        self.open = None;
        self.results = never();
        self.reopen_at = now + REOPEN_DELAY;
    }

    fn handle_output(&mut self, output: RegistryOutput) -> anyhow::Result<()> {
        match output {
            RegistryOutput::Log(output) => self.handle_log_output(output)?,
            RegistryOutput::Answer(to, id, state) => self.answer(to, id, state),
            RegistryOutput::Forward(to, request) => {
                let msg = KeeperMsg::Propose {
                    id: request.id,
                    request: request.request,
                };
                self.notify_core(StoreOutput::Send(to, FleetMsg::Keeper(msg)));
            }
            RegistryOutput::Committed(document) => {
                self.notify_core(StoreOutput::Committed(document))
            }
            RegistryOutput::EvacuationsChanged(evacuations) => {
                self.notify_core(StoreOutput::EvacuationsChanged(evacuations))
            }
        }
        Ok(())
    }

    fn answer(&self, to: InstanceId, id: u64, state: Option<KeeperState>) {
        if to == self.me {
            self.notify_core(StoreOutput::Answer(id, state));
            return;
        }
        let msg = FleetMsg::Keeper(KeeperMsg::Answer { id, state });
        self.notify_core(StoreOutput::Send(to, msg));
    }

    fn handle_log_output(&self, output: Output) -> anyhow::Result<()> {
        let (registry, writer) = self.open.as_ref().context("store: no disk is open")?;
        match output {
            Output::PersistVote { term, vote } => {
                writer.write(Write::Record(Record::Vote { term, vote }));
            }
            Output::Truncate(index) => writer.write(Write::Record(Record::Truncate(index))),
            Output::PersistEntries(entries) => {
                let records = entries.into_iter().map(Record::Entry).collect();
                writer.write(Write::Records(records));
            }
            Output::PersistSnapshot(snapshot) => writer.write(Write::Snapshot(snapshot)),
            Output::Send(to, to_disk, msg) => {
                let bytes = registry.encode_message(to, to_disk, msg)?;
                self.notify_core(StoreOutput::Send(to, FleetMsg::Log(bytes)));
            }
            Output::RoleChanged(_) => {
                let status = registry.status();
                self.notify_core(StoreOutput::Role(status));
            }
            // Handled by the state machine of the registry.
            Output::Apply(_)
            | Output::Restore(_)
            | Output::TakeSnapshot(_)
            | Output::ReadReady(_) => {}
        }
        Ok(())
    }
}

//! The keeper's thread: the configuration's log. Nothing that serves a caller waits for it, and it does not wait for its
//! disk, which has a thread of its own.

mod writer;

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use anyhow::Context;
use celerywinch_registry::{Registry, RegistryOutput, RegistryStatus, Request, VersionedDocument};
use celerywinch_store::{Disk, Input, KeeperId, Output, RaftConfig, Record, load_file};
use celerywinch_types::{
    Evacuations, FleetMsg, InstanceId, KeeperMsg, KeeperState, Time, WorkerAnnouncement,
};
use crossbeam_channel::{Receiver, Sender, never, select, unbounded};
use tokio::sync::mpsc::UnboundedSender;

use crate::core::CoreMsg;
use crate::{Clock, FleetConfig};
use writer::{Write, Writer, Written};

/// Between two ticks of the log.
const TICK: Duration = Duration::from_millis(25);
/// Between two heartbeats of the leader.
const HEARTBEAT: Duration = Duration::from_millis(100);
/// The shortest time without a leader before an election.
const ELECTION: Duration = Duration::from_millis(400);
/// Entries after which a snapshot is made. Each holds a whole configuration, up to 100 KB with
/// several hundred routes, and the log is in memory too.
const COMPACT_AFTER: usize = 16;
/// Between two attempts to use a disk that failed.
const REOPEN: Duration = Duration::from_secs(1);
/// The folder of the log within the data folder.
const FOLDER: &str = "registry";
/// The thread's stack, in bytes; it calls nothing deep.
const STACK: usize = 256 << 10;

/// What the thread is told.
#[derive(Debug)]
pub(crate) enum StoreInput {
    Log(InstanceId, Vec<u8>),
    Request(Request),
    Contacts(Vec<InstanceId>),
    /// The workers that are known, to be there again after a restart.
    Workers(Vec<WorkerAnnouncement>),
}

/// What the thread tells the core.
#[derive(Debug)]
pub(crate) enum StoreOutput {
    Send(InstanceId, FleetMsg),
    Answer(u64, Option<KeeperState>),
    Committed(VersionedDocument),
    EvacuationsChanged(Evacuations),
    Role(RegistryStatus),
    /// The workers that were known before a restart.
    Workers(Vec<WorkerAnnouncement>),
}

struct Store {
    me: InstanceId,
    seeds: Vec<InstanceId>,
    bootstrap: bool,
    voters: usize,
    folder: PathBuf,
    clock: Clock,
    core: UnboundedSender<CoreMsg>,
    open: Option<(Registry, Writer)>,
    /// What became of writes to the disk that is open.
    written: Receiver<Written>,
    reopen_at: Time,
    contacts: Vec<InstanceId>,
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
        seeds: config.seeds.clone(),
        bootstrap: config.bootstrap,
        voters: config.fault_tolerance * 2 + 1,
        folder: folder.context("store: a keeper needs a data folder")?,
        clock,
        core,
        open: None,
        written: never(),
        reopen_at: Time::NEVER,
        contacts: Vec::new(),
    };
    store.load_workers();
    store.open()?;
    let (sender, inbox) = unbounded();
    thread::Builder::new()
        .name("store".into())
        .stack_size(STACK)
        .spawn(move || store.run(&inbox))
        .context("store: cannot start its thread")?;
    Ok(sender)
}

impl Store {
    fn open(&mut self) -> anyhow::Result<()> {
        let (disk, identity, loaded) = Disk::open(&self.folder.join(FOLDER), rand::random())?;
        if loaded.torn_bytes > 0 {
            log::warn!(
                "store: Cut off {} bytes of an unfinished record.",
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
            heartbeat_interval: HEARTBEAT,
            election_timeout: ELECTION,
            compact_after: COMPACT_AFTER,
            seed: rand::random(),
        };
        let now = self.clock.now();
        let mut registry = Registry::new(config, now, loaded)?;
        registry.set_contacts(self.contacts.clone());
        if registry.evacuations().revision > 0 {
            self.tell(StoreOutput::EvacuationsChanged(
                registry.evacuations().clone(),
            ));
        }
        if registry.document().version > 0 {
            self.tell(StoreOutput::Committed(registry.document().clone()));
        }
        let (writer, written) = Writer::start(disk, &self.folder)?;
        self.open = Some((registry, writer));
        self.written = written;
        Ok(())
    }

    fn tell(&self, out: StoreOutput) {
        // The core ends before this thread only when the process does.
        let _ = self.core.send(CoreMsg::Store(out));
    }

    fn run(&mut self, inbox: &Receiver<StoreInput>) {
        let mut ticked = self.clock.now();
        loop {
            let written = self.written.clone();
            select! {
                recv(inbox) -> msg => match msg {
                    Ok(msg) => self.handle(msg),
                    Err(_) => return,
                },
                recv(written) -> result => match result {
                    Ok(result) => self.wrote(result),
                    Err(_) => self.written = never(),
                },
                default(TICK) => {}
            }
            let now = self.clock.now();
            if now.since(ticked) >= TICK {
                ticked = now;
                self.tick(now);
            }
        }
    }

    fn tick(&mut self, now: Time) {
        if self.reopen_at <= now {
            self.reopen_at = Time::NEVER;
            if let Err(error) = self.open() {
                self.fail(now, &error);
            }
        }
        self.with(now, |registry, out| registry.handle(now, Input::Tick, out));
    }

    fn handle(&mut self, msg: StoreInput) {
        let now = self.clock.now();
        match msg {
            StoreInput::Log(from, bytes) => self.with(now, |registry, out| {
                if let Err(error) = registry.handle_encoded(now, &bytes, out) {
                    log::warn!("store: Dropped a message of {from}: {error:#}.");
                }
            }),
            StoreInput::Request(request) => {
                if self.open.is_none() {
                    self.answer(request.from, request.id, None);
                }
                self.with(now, |registry, out| registry.request(now, request, out));
            }
            StoreInput::Workers(workers) => {
                if let Some((_, writer)) = &self.open {
                    writer.write(Write::Workers(workers));
                }
            }
            StoreInput::Contacts(contacts) => {
                self.contacts = contacts.clone();
                if let Some((registry, _)) = &mut self.open {
                    registry.set_contacts(contacts);
                }
            }
        }
    }

    /// Workers announce themselves every 1.5 s. After the loss of all processes at once a dispatcher that
    /// waits for that refuses callers for want of workers which are there; with the list it looks at
    /// them at once, and what has gone meanwhile does not answer.
    fn load_workers(&self) {
        match load_file(&self.folder, writer::WORKERS) {
            Ok(workers) => self.tell(StoreOutput::Workers(workers.unwrap_or_default())),
            Err(error) => log::warn!("store: The workers known before cannot be read: {error:#}."),
        }
    }

    fn with(&mut self, now: Time, act: impl FnOnce(&mut Registry, &mut Vec<RegistryOutput>)) {
        let mut out = Vec::new();
        if let Some((registry, _)) = &mut self.open {
            act(registry, &mut out);
        }
        self.carry_out(now, out);
    }

    fn carry_out(&mut self, now: Time, out: Vec<RegistryOutput>) {
        for output in out {
            if let Err(error) = self.output(output) {
                self.fail(now, &error);
                return;
            }
        }
    }

    /// The first write that fails ends the keeper's life, so that nothing leaves that rests on what is not on the disk.
    fn wrote(&mut self, written: Written) {
        let now = self.clock.now();
        match written {
            Ok(count) => {
                let input = Input::Synced(count);
                self.with(now, |registry, out| registry.handle(now, input, out));
            }
            Err(error) => self.fail(now, &error.into()),
        }
    }

    /// A full or broken disk refuses changes; what is in force stays in force.
    fn fail(&mut self, now: Time, error: &anyhow::Error) {
        log::error!("store: The disk cannot be used, changes are refused: {error:#}.");
        self.open = None;
        self.written = never();
        self.reopen_at = now + REOPEN;
    }

    fn output(&mut self, output: RegistryOutput) -> anyhow::Result<()> {
        match output {
            RegistryOutput::Log(output) => self.log_output(output)?,
            RegistryOutput::Answer(to, id, state) => self.answer(to, id, state),
            RegistryOutput::Forward(to, request) => {
                let msg = KeeperMsg::Propose {
                    id: request.id,
                    request: request.request,
                };
                self.tell(StoreOutput::Send(to, FleetMsg::Keeper(msg)));
            }
            RegistryOutput::Committed(held) => self.tell(StoreOutput::Committed(held)),
            RegistryOutput::EvacuationsChanged(evacuations) => {
                self.tell(StoreOutput::EvacuationsChanged(evacuations))
            }
        }
        Ok(())
    }

    fn answer(&self, to: InstanceId, id: u64, state: Option<KeeperState>) {
        if to == self.me {
            self.tell(StoreOutput::Answer(id, state));
            return;
        }
        let msg = FleetMsg::Keeper(KeeperMsg::Answer { id, state });
        self.tell(StoreOutput::Send(to, msg));
    }

    fn log_output(&self, output: Output) -> anyhow::Result<()> {
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
                self.tell(StoreOutput::Send(to, FleetMsg::Log(bytes)));
            }
            Output::RoleChanged(_) => {
                let figures = registry.status();
                self.tell(StoreOutput::Role(figures));
            }
            // Dealt with by the registry's state machine.
            Output::Apply(_)
            | Output::Restore(_)
            | Output::TakeSnapshot(_)
            | Output::ReadReady(_) => {}
        }
        Ok(())
    }
}

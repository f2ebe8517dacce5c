//! The core of a process: it drives the state machines and carries out their outputs.

mod keepers;
mod members;
mod work;

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use anyhow::Context;
use celerywinch_links::LinkEvent;
use celerywinch_member::{Input, Member, MemberConfig};
use celerywinch_origin::{CallerId, NewJob};
use celerywinch_pool::{Answer, CallKey, PoolConfig};
use celerywinch_types::{
    AnnouncementVersion, DataCentreId, EvacuationOrder, Evacuations, FleetMsg, Incarnation,
    InstanceId, JobEnd, KeeperRequest, KeeperState, Process, ProcessKind, Time, WorkerAnnouncement,
    WorkerStage,
};
use crossbeam_channel::Sender;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;

use crate::config_sync::{ConfigSync, ConfigSyncInput, PeerStatus};
use crate::directory::{AnnounceOutcome, WorkerDirectory};
use crate::handle::Snapshot;
use crate::journal::{EventClass, Journal};
use crate::links::{self, LinkHost, Links};
use crate::metrics::Metrics;
use crate::store::{self, StoreInput, StoreOutput};
use crate::{Clock, Fleet, FleetConfig, Port};

/// Interval of ticks while tasks are dispatched here, for time-outs of tens of ms.
const BUSY_TICK: Duration = Duration::from_millis(10);
/// Interval of ticks while callers wait here but nothing is dispatched: a quarter of the heartbeat interval.
const CALLERS_TICK: Duration = Duration::from_millis(25);
/// Interval of ticks while no caller waits and nothing is dispatched here.
const IDLE_TICK: Duration = Duration::from_millis(40);
/// Time without being scheduled after which other processes may count this one as lost.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(300);
/// Number of workers that a dispatcher can serve per core: 48 workers with 500 starts a second took 0.05 of a core, and
/// this should use at most a third of the process's share, as callers' requests arrive in bursts.
const WORKERS_PER_CORE: f64 = 320.0;
/// Link rate per worker, in bytes per second: at the users' sites a worker gets four starts of 1.4 KB and eight polls of
/// 0.4 KB a second, and bursts take half as much again.
const LINK_RATE_PER_WORKER: f64 = 15_000.0;
/// Minimum size of a shard by cores: fewer workers leave too little choice where to place a wide job.
const MIN_SHARD: usize = 32;
/// Minimum size of a shard by the link rate. It is lower, as too little choice is better than an overloaded link.
const MIN_LINK_SHARD: usize = 12;
/// Maximum size of a shard. More workers get several dispatchers even if one could serve them, as the loss of a dispatcher
/// affects its whole shard.
const MAX_SHARD: usize = 160;
/// Interval of log lines on the messages sent.
const TRAFFIC_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of messages handled before the member is flushed, which sends the resulting messages.
const MAX_BATCH: usize = 64;

/// A message to the core.
#[derive(Debug)]
pub(crate) enum CoreMsg {
    Peer(Process, FleetMsg),
    Accepted(Process),
    /// A stream from the first process was rejected, as the second is the current process of the same instance.
    Rejected(Process, Process),
    Link(InstanceId, LinkEvent),
    Submit(CallerId, NewJob, oneshot::Sender<JobEnd>),
    CallerGone(CallerId),
    Answered(CallKey, Answer),
    /// A worker answered after its call had timed out. The duration excludes the time for which the worker may hold the call.
    AnsweredLate(Duration),
    Announce(WorkerAnnouncement, oneshot::Sender<bool>),
    WorkerLeft(String, Option<Incarnation>, oneshot::Sender<bool>),
    KeeperRequest(KeeperRequest, oneshot::Sender<Option<KeeperState>>),
    Store(StoreOutput),
    Seeds(Vec<InstanceId>),
    Stop,
}

/// A change of this process's state, as one structured log line.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum CoreEvent {
    Started {
        seeds: usize,
        bootstrap: bool,
    },
    Stopping {
        jobs: usize,
    },
    /// The process was not scheduled for a while.
    Paused {
        #[serde(rename = "stood")]
        paused_ms: u32,
    },
    InForce {
        version: u64,
        queues: usize,
    },
    BadDocument {
        version: u64,
        error: String,
    },
    Seeds {
        seeds: Vec<InstanceId>,
    },
    /// A stream of a peer was rejected, as another process counts as the current one of that instance.
    StreamRejected {
        peer: InstanceId,
        incarnation: Incarnation,
        current: Incarnation,
    },
    Announced {
        worker: String,
        #[serde(rename = "said")]
        version: AnnouncementVersion,
        stage: WorkerStage,
        /// Number of workers that were known before.
        known: usize,
    },
    /// An announcement was not applied, as a later one of that worker is known.
    NotTaken {
        worker: String,
        #[serde(rename = "said")]
        version: AnnouncementVersion,
        stage: WorkerStage,
        #[serde(rename = "heard")]
        outcome: AnnounceOutcome,
    },
    Keeper {
        role: String,
        term: u64,
        voters: usize,
        voting: Vec<InstanceId>,
        learners: usize,
        version: u64,
    },
    /// The number of messages sent to other processes so far, and of their bytes, by kind.
    Sent {
        kinds: BTreeMap<String, (u64, u64)>,
    },
    /// The keepers answered the proposal of a document. `current` is `None` if its outcome is unknown.
    Proposed {
        version: u64,
        #[serde(rename = "held")]
        current: Option<u64>,
    },
    /// The keepers answered an evacuation order. `current` is `None` if its outcome is unknown.
    EvacuationProposed {
        order: EvacuationOrder,
        #[serde(rename = "held")]
        current: Option<Evacuations>,
    },
}

/// The kind of an outstanding request to the keepers.
#[derive(Clone, Copy, Debug)]
enum RequestKind {
    Read,
    PutDocument(u64),
    Evacuate(EvacuationOrder),
}

/// The state of the core.
pub(crate) struct Core {
    config: FleetConfig,
    me: Process,
    clock: Clock,
    port: Rc<dyn Port>,
    sender: UnboundedSender<CoreMsg>,
    snapshot: Arc<Snapshot>,
    journal: Journal,
    metrics: Metrics,
    links: Links,
    member: Member,
    last_tick: Time,
    /// When the messages sent were last logged.
    traffic_logged: Time,
    /// When heartbeats were last sent to seeds that have never sent one.
    seeds_contacted: Time,
    callers: HashMap<CallerId, oneshot::Sender<JobEnd>>,
    config_sync: ConfigSync,
    directory: WorkerDirectory,
    /// Announcements to be sent to the entries at the next tick.
    unsent_workers: Vec<WorkerAnnouncement>,
    store: Option<Sender<StoreInput>>,
    keeper_requests: HashMap<u64, (RequestKind, oneshot::Sender<Option<KeeperState>>)>,
    next_request: u64,
    /// The known keepers and their data centres.
    contacts: BTreeMap<InstanceId, DataCentreId>,
}

/// The arguments of [`Core::new`].
struct Parts {
    config: FleetConfig,
    me: Process,
    clock: Clock,
    port: Rc<dyn Port>,
    sender: UnboundedSender<CoreMsg>,
    snapshot: Arc<Snapshot>,
    store: Option<Sender<StoreInput>>,
    host: LinkHost,
    metrics: Metrics,
}

/// Starts the process. It has to be called within an `ntex` system.
///
/// # Errors
///
/// Returns an error if the address for links cannot be bound, or the disk, a thread or the metrics cannot be set up.
pub async fn start(config: FleetConfig, port: Rc<dyn Port>) -> anyhow::Result<Fleet> {
    let clock = Clock::new(config.clock_offset);
    let me = Process {
        instance: config.instance,
        incarnation: draw_incarnation(),
    };
    let (sender, inbox) = unbounded_channel();
    let listener = TcpListener::bind(config.link_addr)
        .await
        .with_context(|| format!("links: cannot listen on {}", config.link_addr))?;
    let metrics = Metrics::new().context("metrics: cannot be set up")?;
    let host = LinkHost {
        core: sender.clone(),
        metrics: metrics.clone(),
    };
    ntex::rt::spawn(celerywinch_links::listen(
        listener,
        host.clone(),
        links::config(me, config.link_limits.clone()),
    ));
    let store = match config.kind {
        ProcessKind::Keeper => Some(store::start(&config, clock, sender.clone())?),
        ProcessKind::Entry => None,
    };
    let snapshot = Arc::new(Snapshot::default());
    let core = Core::new(Parts {
        config,
        me,
        clock,
        port,
        sender: sender.clone(),
        snapshot: snapshot.clone(),
        store,
        host,
        metrics: metrics.clone(),
    })?;
    ntex::rt::spawn(core.run(inbox));
    Ok(Fleet {
        core: sender,
        clock,
        snapshot,
        metrics,
        next_caller: Arc::new(AtomicU64::new(1)),
    })
}

/// Draws a number that no earlier process of this instance had. The time of day would be unique only if no clock was ever
/// set back, and an entry has no disk to store a counter. The number has 53 bits, which every reader of JSON represents
/// exactly.
fn draw_incarnation() -> Incarnation {
    Incarnation(rand::random::<u64>() >> 11)
}

/// Returns the maximum number of workers per dispatcher, by its cores and by the rate of its link in bytes per second.
fn max_shard_size(cores: f64, link_rate: Option<f64>) -> usize {
    let by_cores = ((cores * WORKERS_PER_CORE) as usize).clamp(MIN_SHARD, MAX_SHARD);
    let by_link = link_rate.map_or(MAX_SHARD, |rate| (rate / LINK_RATE_PER_WORKER) as usize);
    by_cores.min(by_link.max(MIN_LINK_SHARD))
}

impl Core {
    fn new(parts: Parts) -> anyhow::Result<Self> {
        let Parts {
            config,
            me,
            clock,
            port,
            sender,
            snapshot,
            store,
            host,
            metrics,
        } = parts;
        let now = clock.now();
        let shard_size = max_shard_size(config.cores, config.link_rate);
        metrics.capacity.set(shard_size as i64);
        let member = MemberConfig {
            me,
            kind: config.kind,
            dc: config.dc,
            dcs: config.dcs.clone(),
            shard_size,
            pool: PoolConfig {
                disabled: config.disabled,
                ..PoolConfig::default()
            },
        };
        let mut core = Self {
            member: Member::new(member, now, clock.wall()),
            journal: Journal::start(me, clock)?,
            metrics,
            links: Links::new(host, links::config(me, config.link_limits.clone())),
            snapshot,
            last_tick: now,
            traffic_logged: now,
            seeds_contacted: Time::default(),
            callers: HashMap::new(),
            config_sync: ConfigSync::new(me.instance, config.kind, config.dc)
                .with_link_rate(config.link_rate),
            directory: WorkerDirectory::default(),
            unsent_workers: Vec::new(),
            keeper_requests: HashMap::new(),
            next_request: rand::random::<u32>().into(),
            contacts: BTreeMap::new(),
            config,
            me,
            clock,
            port,
            sender,
            store,
        };
        let seeds = core.config.seeds.clone();
        core.log_event(&CoreEvent::Started {
            seeds: seeds.len(),
            bootstrap: core.config.bootstrap,
        });
        core.open_links(&seeds);
        Ok(core)
    }

    /// Handles messages and ticks until all senders are dropped.
    async fn run(mut self, mut inbox: UnboundedReceiver<CoreMsg>) {
        loop {
            let timeout = self.until_tick();
            match tokio::time::timeout(timeout, inbox.recv()).await {
                Ok(None) => return,
                Ok(Some(first)) => {
                    self.check_pause();
                    self.handle(first);
                    for _ in 1..MAX_BATCH {
                        let Ok(msg) = inbox.try_recv() else {
                            break;
                        };
                        self.handle(msg);
                    }
                    if self.member.needs_flush() {
                        self.input(self.clock.now(), Input::Flush);
                    }
                }
                Err(_) => self.check_pause(),
            }
            let now = self.clock.now();
            if now.since(self.last_tick) >= self.tick_interval() {
                self.tick(now);
            }
        }
    }

    fn tick_interval(&self) -> Duration {
        if !self.member.pool().is_idle() {
            BUSY_TICK
        } else if self.member.open_jobs() > 0 {
            CALLERS_TICK
        } else {
            IDLE_TICK
        }
    }

    fn until_tick(&self) -> Duration {
        let due = self.last_tick + self.tick_interval();
        due.since(self.clock.now())
    }

    /// Reports a pause to the member. A process that was paused must not act on its earlier state: its leases have expired,
    /// and others may dispatch in its place.
    fn check_pause(&mut self) {
        let now = self.clock.now();
        let paused = now.since(self.last_tick);
        if paused < PAUSE_THRESHOLD + IDLE_TICK {
            return;
        }
        self.last_tick = now;
        self.log_event(&CoreEvent::Paused {
            paused_ms: paused.as_millis() as u32,
        });
        self.input(now, Input::Paused);
    }

    fn tick(&mut self, now: Time) {
        self.last_tick = now;
        self.input(now, Input::Tick);
        self.sync_config(now, ConfigSyncInput::Tick);
        self.contact_seeds(now);
        self.directory.remove_expired(now);
        self.announce_workers(now);
        self.save_workers(now);
        self.update_gauges(now);
        if now.since(self.traffic_logged) >= TRAFFIC_LOG_INTERVAL {
            self.traffic_logged = now;
            let kinds = self.metrics.traffic();
            self.log_event(&CoreEvent::Sent { kinds });
        }
    }

    fn handle(&mut self, msg: CoreMsg) {
        let now = self.clock.now();
        match msg {
            CoreMsg::Peer(from, msg) => self.handle_message(now, from, msg),
            CoreMsg::Accepted(from) => self.handle_accepted(now, from),
            CoreMsg::Rejected(from, current) => self.log_event(&CoreEvent::StreamRejected {
                peer: from.instance,
                incarnation: from.incarnation,
                current: current.incarnation,
            }),
            CoreMsg::Link(peer, event) => self.handle_link_event(now, peer, event),
            CoreMsg::Submit(caller, job, answer) => {
                self.callers.insert(caller, answer);
                self.input(now, Input::Submit(caller, job));
            }
            CoreMsg::CallerGone(caller) => {
                self.callers.remove(&caller);
                self.input(now, Input::CallerGone(caller));
            }
            CoreMsg::Answered(key, answer) => {
                self.input(now, Input::Answered(key, answer));
            }
            CoreMsg::AnsweredLate(took) => {
                self.metrics.late_answers.inc();
                self.input(now, Input::AnsweredLate(took));
            }
            CoreMsg::Announce(announcement, answer) => {
                let _ = answer.send(self.handle_announcement(now, announcement));
            }
            CoreMsg::WorkerLeft(worker, incarnation, answer) => {
                let _ = answer.send(self.worker_left(now, &worker, incarnation));
            }
            CoreMsg::KeeperRequest(request, answer) => self.request_keepers(request, answer),
            CoreMsg::Store(out) => self.handle_store_output(now, out),
            CoreMsg::Seeds(seeds) => {
                self.log_event(&CoreEvent::Seeds {
                    seeds: seeds.clone(),
                });
                self.open_links(&seeds);
            }
            CoreMsg::Stop => self.stop(now),
        }
    }

    fn handle_message(&mut self, now: Time, from: Process, msg: FleetMsg) {
        match msg {
            FleetMsg::Heartbeat(heartbeat) => {
                let input = ConfigSyncInput::Heartbeat(PeerStatus {
                    instance: from.instance,
                    kind: heartbeat.kind,
                    dc: heartbeat.dc,
                    version: heartbeat.version,
                });
                self.input(now, Input::Heartbeat(from, heartbeat));
                self.sync_config(now, input);
            }
            FleetMsg::Contacts(contacts) => {
                let instances: Vec<_> = contacts.iter().map(|c| c.instance).collect();
                self.open_links(&instances);
            }
            FleetMsg::Log(bytes) => self.to_store(StoreInput::Log(from.instance, bytes)),
            FleetMsg::Keeper(msg) => self.handle_keeper_message(from.instance, msg),
            FleetMsg::Workers(announcements) => self.input(now, Input::Workers(announcements)),
            FleetMsg::Config(msg) => {
                self.sync_config(now, ConfigSyncInput::Message(from.instance, msg))
            }
            FleetMsg::Work(msg) => self.input(now, Input::Work(from, msg)),
            FleetMsg::Learned(learned) => self.input(now, Input::Learned(learned)),
            FleetMsg::Crashes(crashes) => self.input(now, Input::Crashes(crashes)),
            FleetMsg::ProbeQueues(queues) => self.input(now, Input::ProbeQueues(queues)),
        }
    }

    fn stop(&mut self, now: Time) {
        self.log_event(&CoreEvent::Stopping {
            jobs: self.member.open_jobs(),
        });
        self.input(now, Input::Stop);
        self.to_store(StoreInput::Leave);
    }

    fn log_event(&mut self, event: &CoreEvent) {
        let now = self.clock.now();
        self.journal.write(now, "core", EventClass::Notable, event);
    }
}

//! The core: drives the state machines and carries out what they decide.

mod keepers;
mod members;
mod work;

use std::collections::{BTreeMap, BTreeSet, HashMap};
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
    AnnouncementVersion, EvacuationOrder, Evacuations, FleetMsg, Incarnation, InstanceId, JobEnd,
    KeeperRequest, KeeperState, Process, ProcessKind, Time, WorkerAnnouncement, WorkerStage,
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

/// Between two ticks while tasks are dispatched here: time-outs of tens of ms need them; ...
const BUSY_TICK: Duration = Duration::from_millis(10);
/// ... while only callers wait here: four of them are a heartbeat's time; ...
const CALLERS_TICK: Duration = Duration::from_millis(25);
/// ... and while nothing is open.
const IDLE_TICK: Duration = Duration::from_millis(40);
/// A process that was not scheduled for this long may have been taken for lost.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(300);
const WORKERS_PER_CORE: f64 = 320.0;
/// Bytes a second of a link for each worker: at the users' sites a worker gets four starts a second of 1.4 KB, and eight
/// looks of 0.4 KB, and half as much again comes in bursts.
const LINK_RATE_PER_WORKER: f64 = 15_000.0;
/// Fewer workers leave too little choice where to place a wide job, ...
const MIN_SHARD: usize = 32;
/// ... which is better than a link that cannot carry their orders.
const MIN_LINK_SHARD: usize = 12;
/// More are served by several dispatchers also where one could do it: it is lost with all of them.
const MAX_SHARD: usize = 160;
/// Between two lines in the log on what was sent.
const TRAFFIC_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// The most messages handled before what they led to is sent.
const MAX_BATCH: usize = 64;

/// What the core is told.
#[derive(Debug)]
pub(crate) enum CoreMsg {
    Peer(Process, FleetMsg),
    Accepted(Process),
    /// A stream of the first was rejected, as the second is the current process of its instance.
    Rejected(Process, Process),
    Link(InstanceId, LinkEvent),
    Submit(CallerId, NewJob, oneshot::Sender<JobEnd>),
    CallerGone(CallerId),
    Answered(CallKey, Answer),
    AnsweredLate(Duration),
    Announce(WorkerAnnouncement, oneshot::Sender<bool>),
    WorkerLeft(String, Option<Incarnation>, oneshot::Sender<bool>),
    KeeperRequest(KeeperRequest, oneshot::Sender<Option<KeeperState>>),
    Store(StoreOutput),
    Seeds(Vec<InstanceId>),
    Stop,
}

/// A change of what this process believes, for the logs.
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
    Paused {
        stood: u32,
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
    /// A stream of a peer was rejected, as another one counts as its latest.
    StreamRejected {
        peer: InstanceId,
        incarnation: Incarnation,
        current: Incarnation,
    },
    Announced {
        worker: String,
        said: AnnouncementVersion,
        stage: WorkerStage,
        known: usize,
    },
    /// An announcement that changes nothing here, as the worker has said something later.
    NotTaken {
        worker: String,
        said: AnnouncementVersion,
        stage: WorkerStage,
        heard: AnnounceOutcome,
    },
    Keeper {
        role: String,
        term: u64,
        voters: usize,
        learners: usize,
        version: u64,
    },
    /// Messages to other processes and their bytes so far, by kind.
    Sent {
        kinds: BTreeMap<String, (u64, u64)>,
    },
    Proposed {
        version: u64,
        held: Option<u64>,
    },
    EvacuationProposed {
        order: EvacuationOrder,
        held: Option<Evacuations>,
    },
}

/// The kind of a request to the keepers that awaits its answer.
#[derive(Clone, Copy, Debug)]
enum RequestKind {
    Read,
    PutDocument(u64),
    Evacuate(EvacuationOrder),
}

/// Everything the core owns.
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
    /// When the log was last told what was sent.
    traffic_logged: Time,
    /// When seeds that are not heard got the last heartbeat.
    seeds_contacted: Time,
    callers: HashMap<CallerId, oneshot::Sender<JobEnd>>,
    config_sync: ConfigSync,
    directory: WorkerDirectory,
    /// Workers that the entries have to hear of with the next tick.
    unsent_workers: Vec<WorkerAnnouncement>,
    store: Option<Sender<StoreInput>>,
    keeper_requests: HashMap<u64, (RequestKind, oneshot::Sender<Option<KeeperState>>)>,
    next_request: u64,
    contacts: BTreeSet<InstanceId>,
}

/// What a core is made of.
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

/// Starts the process; called within an `ntex` system.
///
/// # Errors
///
/// The address for links cannot be bound, or a disk cannot be used.
pub async fn start(config: FleetConfig, port: Rc<dyn Port>) -> anyhow::Result<Fleet> {
    let clock = Clock::new(config.clock_offset);
    let me = Process {
        instance: config.instance,
        incarnation: draw_incarnation(),
    };
    let (sender, inbox) = unbounded_channel();
    let listener = TcpListener::bind(config.link_addr)
        .await
        .with_context(|| format!("links: cannot listen at {}", config.link_addr))?;
    let metrics = Metrics::new().context("metrics: cannot be set up")?;
    let host = LinkHost {
        core: sender.clone(),
        metrics: metrics.clone(),
    };
    ntex::rt::spawn(celerywinch_links::listen(
        listener,
        host.clone(),
        links::config(me),
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

/// A number that no earlier process of this instance had. The time of day would be one only while no clock is set back, and an
/// entry has no disk to count on. 53 bits, which all readers of JSON hold.
fn draw_incarnation() -> Incarnation {
    Incarnation(rand::random::<u64>() >> 11)
}

/// How many workers a dispatcher can take, by the cores that it has: 48 workers with 500 starts a
/// second took a twentieth of a core, measured on the platform; a process should use a third at most of
/// what it has for that, as callers' requests come in bursts. `link` is what its link carries, in bytes a second.
fn max_workers(cores: f64, link: Option<f64>) -> usize {
    let by_cores = ((cores * WORKERS_PER_CORE) as usize).clamp(MIN_SHARD, MAX_SHARD);
    let by_link = link.map_or(MAX_SHARD, |link| (link / LINK_RATE_PER_WORKER) as usize);
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
        let member = MemberConfig {
            me,
            kind: config.kind,
            dc: config.dc,
            dcs: config.dcs.clone(),
            shard_size: max_workers(config.cores, config.link_rate),
            pool: PoolConfig {
                disabled: config.disabled,
                ..PoolConfig::default()
            },
        };
        let mut core = Self {
            member: Member::new(member, now, clock.wall()),
            journal: Journal::start(me, clock)?,
            metrics,
            links: Links::new(host, links::config(me)),
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
            contacts: BTreeSet::new(),
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

    /// Runs until the process ends.
    async fn run(mut self, mut inbox: UnboundedReceiver<CoreMsg>) {
        loop {
            let sleep = self.sleep();
            match tokio::time::timeout(sleep, inbox.recv()).await {
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
            if now.since(self.last_tick) >= self.interval() {
                self.tick(now);
            }
        }
    }

    fn interval(&self) -> Duration {
        if !self.member.pool().is_idle() {
            BUSY_TICK
        } else if self.member.open_jobs() > 0 {
            CALLERS_TICK
        } else {
            IDLE_TICK
        }
    }

    fn sleep(&self) -> Duration {
        let due = self.last_tick + self.interval();
        due.since(self.clock.now())
    }

    /// A process that stood still must not act on what it knew before: its leases are over, and
    /// others may dispatch in its place.
    fn check_pause(&mut self) {
        let now = self.clock.now();
        let stood = now.since(self.last_tick);
        if stood < PAUSE_THRESHOLD + IDLE_TICK {
            return;
        }
        self.last_tick = now;
        self.log_event(&CoreEvent::Paused {
            stood: stood.as_millis() as u32,
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
            CoreMsg::Announce(note, answer) => {
                let _ = answer.send(self.handle_announcement(now, note));
            }
            CoreMsg::WorkerLeft(worker, life, answer) => {
                let _ = answer.send(self.worker_left(now, &worker, life));
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
            FleetMsg::Heartbeat(beat) => {
                let input = ConfigSyncInput::Heartbeat(PeerStatus {
                    instance: from.instance,
                    kind: beat.kind,
                    dc: beat.dc,
                    version: beat.version,
                });
                self.input(now, Input::Heartbeat(from, beat));
                self.sync_config(now, input);
            }
            FleetMsg::Contacts(contacts) => {
                let instances: Vec<_> = contacts.iter().map(|c| c.instance).collect();
                self.open_links(&instances);
            }
            FleetMsg::Log(bytes) => self.to_store(StoreInput::Log(from.instance, bytes)),
            FleetMsg::Keeper(msg) => self.handle_keeper_message(from.instance, msg),
            FleetMsg::Workers(notes) => self.input(now, Input::Workers(notes)),
            FleetMsg::Config(msg) => {
                self.sync_config(now, ConfigSyncInput::Message(from.instance, msg))
            }
            FleetMsg::Work(msg) => self.input(now, Input::Work(from, msg)),
            FleetMsg::Learned(learned) => self.input(now, Input::Learned(learned)),
            FleetMsg::Crashes(told) => self.input(now, Input::Crashes(told)),
            FleetMsg::ProbeQueues(queues) => self.input(now, Input::ProbeQueues(queues)),
        }
    }

    fn stop(&mut self, now: Time) {
        self.log_event(&CoreEvent::Stopping {
            jobs: self.member.open_jobs(),
        });
        self.input(now, Input::Stop);
    }

    fn log_event(&mut self, note: &CoreEvent) {
        let now = self.clock.now();
        self.journal.write(now, "core", EventClass::Notable, note);
    }
}

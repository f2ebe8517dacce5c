//! The core: drives the state machines and carries out what they decide.

mod keeping;
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
use crate::journal::{Journal, Kind};
use crate::links::{self, LinkHost, Links};
use crate::metrics::Metrics;
use crate::store::{self, StoreIn, StoreOut};
use crate::{Clock, Fleet, FleetConfig, Port};

/// Between two ticks while tasks are dispatched here: time-outs of tens of ms need them; ...
const BUSY_TICK: Duration = Duration::from_millis(10);
/// ... while only callers wait here: four of them are a heartbeat's time; ...
const CALLERS_TICK: Duration = Duration::from_millis(25);
/// ... and while nothing is open.
const IDLE_TICK: Duration = Duration::from_millis(40);
/// A process that was not scheduled for this long may have been taken for lost.
const PAUSE: Duration = Duration::from_millis(300);
const WORKERS_PER_CORE: f64 = 320.0;
/// Bytes a second of a link for each worker: at the users' sites a worker gets four starts a second of 1.4 KB, and eight
/// looks of 0.4 KB, and half as much again comes in bursts.
const LINK_PER_WORKER: f64 = 15_000.0;
/// Fewer workers leave too little choice where to place a wide job, ...
const LEAST_SHARD: usize = 32;
/// ... which is better than a link that cannot carry their orders.
const LEAST_LINK_SHARD: usize = 12;
/// More are served by several dispatchers also where one could do it: it is lost with all of them.
const MOST_SHARD: usize = 160;
/// Between two lines in the log on what was sent.
const TALLY: Duration = Duration::from_secs(10);
/// The most messages handled before what they led to is sent.
const BATCH: usize = 64;

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
    Keep(KeeperRequest, oneshot::Sender<Option<KeeperState>>),
    Store(StoreOut),
    Seeds(Vec<InstanceId>),
    Stop,
}

/// A change of what this process believes, for the logs.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum CoreNote {
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
    ticked: Time,
    /// When the log was last told what was sent.
    tallied: Time,
    /// When seeds that are not heard got the last heartbeat.
    beaten: Time,
    waiting: HashMap<CallerId, oneshot::Sender<JobEnd>>,
    config_sync: ConfigSync,
    directory: WorkerDirectory,
    /// Workers that the entries have to hear of with the next tick.
    untold: Vec<WorkerAnnouncement>,
    store: Option<Sender<StoreIn>>,
    keeping: HashMap<u64, (RequestKind, oneshot::Sender<Option<KeeperState>>)>,
    next_keep: u64,
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
    store: Option<Sender<StoreIn>>,
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
        callers: Arc::new(AtomicU64::new(1)),
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
fn shard(cores: f64, link: Option<f64>) -> usize {
    let by_cores = ((cores * WORKERS_PER_CORE) as usize).clamp(LEAST_SHARD, MOST_SHARD);
    let by_link = link.map_or(MOST_SHARD, |link| (link / LINK_PER_WORKER) as usize);
    by_cores.min(by_link.max(LEAST_LINK_SHARD))
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
            part: config.kind,
            dc: config.dc,
            dcs: config.dcs.clone(),
            shard_size: shard(config.cores, config.link_rate),
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
            ticked: now,
            tallied: now,
            beaten: Time::default(),
            waiting: HashMap::new(),
            config_sync: ConfigSync::new(me.instance, config.kind, config.dc)
                .with_link_rate(config.link_rate),
            directory: WorkerDirectory::default(),
            untold: Vec::new(),
            keeping: HashMap::new(),
            next_keep: rand::random::<u32>().into(),
            contacts: BTreeSet::new(),
            config,
            me,
            clock,
            port,
            sender,
            store,
        };
        let seeds = core.config.seeds.clone();
        core.note(&CoreNote::Started {
            seeds: seeds.len(),
            bootstrap: core.config.bootstrap,
        });
        core.learn(&seeds);
        Ok(core)
    }

    /// Runs until the process ends.
    async fn run(mut self, mut inbox: UnboundedReceiver<CoreMsg>) {
        loop {
            let sleep = self.sleep();
            match tokio::time::timeout(sleep, inbox.recv()).await {
                Ok(None) => return,
                Ok(Some(first)) => {
                    self.notice_pause();
                    self.take(first);
                    for _ in 1..BATCH {
                        let Ok(msg) = inbox.try_recv() else {
                            break;
                        };
                        self.take(msg);
                    }
                    if self.member.needs_flush() {
                        self.input(self.clock.now(), Input::Flush);
                    }
                }
                Err(_) => self.notice_pause(),
            }
            let now = self.clock.now();
            if now.since(self.ticked) >= self.interval() {
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
        let due = self.ticked + self.interval();
        due.since(self.clock.now())
    }

    /// A process that stood still must not act on what it knew before: its leases are over, and
    /// others may dispatch in its place.
    fn notice_pause(&mut self) {
        let now = self.clock.now();
        let stood = now.since(self.ticked);
        if stood < PAUSE + IDLE_TICK {
            return;
        }
        self.ticked = now;
        self.note(&CoreNote::Paused {
            stood: stood.as_millis() as u32,
        });
        self.input(now, Input::Paused);
    }

    fn tick(&mut self, now: Time) {
        self.ticked = now;
        self.input(now, Input::Tick);
        self.sync_config(now, ConfigSyncInput::Tick);
        self.beat_seeds(now);
        self.directory.remove_expired(now);
        self.tell_workers(now);
        self.save_workers(now);
        self.measure(now);
        if now.since(self.tallied) >= TALLY {
            self.tallied = now;
            let kinds = self.metrics.sent();
            self.note(&CoreNote::Sent { kinds });
        }
    }

    fn take(&mut self, msg: CoreMsg) {
        let now = self.clock.now();
        match msg {
            CoreMsg::Peer(from, msg) => self.peer(now, from, msg),
            CoreMsg::Accepted(from) => self.accepted(now, from),
            CoreMsg::Rejected(from, current) => self.note(&CoreNote::StreamRejected {
                peer: from.instance,
                incarnation: from.incarnation,
                current: current.incarnation,
            }),
            CoreMsg::Link(peer, event) => self.link(now, peer, event),
            CoreMsg::Submit(caller, job, answer) => {
                self.waiting.insert(caller, answer);
                self.input(now, Input::Submit(caller, job));
            }
            CoreMsg::CallerGone(caller) => {
                self.waiting.remove(&caller);
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
                let _ = answer.send(self.announced(now, note));
            }
            CoreMsg::WorkerLeft(worker, life, answer) => {
                let _ = answer.send(self.worker_left(now, &worker, life));
            }
            CoreMsg::Keep(request, answer) => self.keep(request, answer),
            CoreMsg::Store(out) => self.stored(now, out),
            CoreMsg::Seeds(seeds) => {
                self.note(&CoreNote::Seeds {
                    seeds: seeds.clone(),
                });
                self.learn(&seeds);
            }
            CoreMsg::Stop => self.stop(now),
        }
    }

    fn peer(&mut self, now: Time, from: Process, msg: FleetMsg) {
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
                self.learn(&instances);
            }
            FleetMsg::Log(bytes) => self.to_store(StoreIn::Log(from.instance, bytes)),
            FleetMsg::Keeper(msg) => self.keep_msg(from.instance, msg),
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
        self.note(&CoreNote::Stopping {
            jobs: self.member.open_jobs(),
        });
        self.input(now, Input::Stop);
    }

    fn note(&mut self, note: &CoreNote) {
        let now = self.clock.now();
        self.journal.write(now, "core", Kind::Telling, note);
    }
}

//! Messages between the processes of a deployment whose callers wait for jobs of tasks.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{
    Crashes, DataCentreId, Fence, Incarnation, InstanceId, JobId, Resources, RunNumber, TaskId,
    Time, WorkerAnnouncement, domain, identifier,
};

identifier! {
    /// A span in which an origin counts a dispatcher as alive without a break. It rises each time that
    /// the origin has taken the dispatcher for lost, and may have its tasks done elsewhere.
    #[derive(Default)]
    pub struct Session(pub u32);
}

domain! {
    /// What a process does.
    #[derive(Copy)]
    pub enum ProcessKind {
        /// Serves callers, and may dispatch.
        Entry,
        /// Keeps the configuration, and hears the workers' announcements.
        Keeper,
    }

    /// How far a process is in its life.
    #[derive(Copy)]
    pub enum Stage {
        /// Does not know enough yet to serve.
        Joining,
        /// Serves.
        Ready,
        /// Finishes what it has, and ends.
        Leaving,
    }

    /// The room of a data centre, as its dispatcher sees it.
    #[derive(Copy, Default)]
    pub struct Load {
        /// How many more tasks of the usual size could start at once.
        pub free: u32,
        /// Ms until a task that came now would start, by priority 0, 1, and 2 or more.
        pub wait: [u32; 3],
    }

    /// Workers that have one dispatcher: a share of those of a data centre.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct Domain {
        /// The data centre.
        pub dc: DataCentreId,
        /// Which share; 0 where all workers have one dispatcher.
        pub shard: u8,
    }

    /// A domain that a process dispatches for.
    #[derive(Copy)]
    pub struct OwnedDomain {
        /// The domain.
        pub domain: Domain,
        /// The fencing token it dispatches under.
        pub fence: Fence,
        /// Its room.
        pub load: Load,
    }

    /// The set of data centres whose workers get no new tasks.
    #[derive(Default)]
    pub struct Evacuations {
        /// Rises with each order that takes effect.
        pub revision: u64,
        /// The evacuated data centres.
        pub dcs: BTreeSet<DataCentreId>,
    }

    /// An operator's order to start or end the evacuation of a data centre.
    #[derive(Copy)]
    pub struct EvacuationOrder {
        /// The data centre.
        pub dc: DataCentreId,
        /// True to start the evacuation, false to end it.
        pub evacuated: bool,
        /// The revision that the order is based on; it is void if another one is held when it is applied.
        pub base: u64,
    }

    /// What the sender of a heartbeat has last heard of its receiver.
    ///
    /// By this the receiver knows, on its own clock and however late the heartbeat arrives, until when
    /// the sender surely counts it as alive.
    #[derive(Copy)]
    pub struct Echo {
        /// The life of the receiver that was heard.
        pub incarnation: Incarnation,
        /// When that life sent what was heard, by its own clock.
        pub sent: Time,
        /// The session of the receiver as dispatcher of the sender's jobs.
        pub session: Session,
    }

    /// A heartbeat.
    pub struct FleetHeartbeat {
        /// What the sender does.
        pub kind: ProcessKind,
        /// Its data centre.
        pub dc: DataCentreId,
        /// How far it is in its life.
        pub stage: Stage,
        /// What it dispatches for.
        pub owned_domains: Vec<OwnedDomain>,
        /// The highest fencing token it knows of.
        pub fence: Fence,
        /// The version of the configuration it has in force.
        pub version: u64,
        /// The evacuations it knows of; never older than the configuration in `version`.
        pub evacuations: Evacuations,
        /// In how many shards the workers are divided, as far as it knows; it never falls.
        pub shards: u8,
        /// When it was sent, by the sender's clock; for the receiver to send back.
        pub sent: Time,
        /// What the sender has heard of the receiver, if it hands work to it; none if it does not, or does not
        /// count it as alive.
        pub echo: Option<Echo>,
        /// Ms until the next heartbeat to this receiver, at most.
        pub interval_ms: u32,
        /// Whether the sender needs the receiver's heartbeats often: it hands work to it, or would dispatch in
        /// its place.
        pub wants_frequent: bool,
        /// Whether the receiver is to answer at once: all that the sender hears often in the receiver's data
        /// centre have fallen silent.
        pub probe: bool,
    }

    /// A process that the sender has heard of.
    #[derive(Copy)]
    pub struct Contact {
        /// Where it runs.
        pub instance: InstanceId,
        /// What it does.
        pub kind: ProcessKind,
    }

    /// A task that is handed to a dispatcher.
    #[derive(Copy)]
    pub struct TaskOrder {
        /// The task within its step.
        pub index: u16,
        /// How often it failed.
        pub failures: u32,
        /// The highest run number that may have been used for it.
        pub run: RunNumber,
        /// Workers that have ended under it.
        pub crashes: Crashes,
        /// Whether it may be running.
        pub prior_runs: PriorRuns,
        /// Names this time that the task was handed in; rises over all that its origin hands in.
        pub submission: u32,
        /// The first of those at this dispatcher, since when it should have the task.
        pub first_submission: u32,
    }

    /// What became of a task that was handed to a dispatcher.
    #[derive(Copy)]
    pub struct TaskReport {
        /// The task.
        pub task: TaskId,
        /// Which of the times that it was handed in.
        pub submission: u32,
        /// What became of it.
        pub end: TaskEnd,
    }

    /// Whether a task that is handed in may be running under an earlier dispatcher.
    #[derive(Copy)]
    pub enum PriorRuns {
        /// It is not.
        None,
        /// Its last run may be; there is no later one, so what is found of that run settles it.
        Last,
        /// Runs may have been started that its origin did not hear of. Only one found at work, or
        /// done, settles it.
        Unknown,
    }

    /// Tasks of one step of a job.
    pub struct StepOrder {
        /// The session of the dispatcher at the origin. Under an earlier one than the origin's
        /// heartbeats tell the order was held up on its way, and its tasks may be elsewhere.
        pub session: Session,
        /// The job.
        pub job: JobId,
        /// The step.
        pub step: u16,
        /// Handed to every task.
        pub spec: String,
        /// The queue.
        pub queue: String,
        /// The service whose workers run it.
        pub service: String,
        /// 0 comes first.
        pub priority: u8,
        /// A task that failed so often fails its job.
        pub attempts: u32,
        /// What each task needs.
        pub need: Resources,
        /// The caller's guess of a task's run time, in ms.
        pub estimate: u32,
        /// The label that a worker must have.
        pub label: Option<String>,
        /// The rack near the data.
        pub rack: Option<String>,
        /// At most this many tasks on one worker.
        pub spread: Option<u16>,
        /// Ms since the job arrived.
        pub age: u32,
        /// The job's slack: thousandths of its chain of work, ...
        pub slack: u32,
        /// ... and so many ms.
        pub target: u32,
        /// Ms of the longest chain of work, by the estimates.
        pub critical_path: u32,
        /// Whether the job may still be refused as "not run".
        pub refusable: bool,
        /// Whether tasks that find no room at once are to be given back, since another dispatcher
        /// may have some; else they wait here.
        pub no_wait: bool,
        /// The tasks.
        pub tasks: Vec<TaskOrder>,
    }

    /// How a task ended for its origin.
    #[derive(Copy)]
    pub enum TaskEnd {
        /// Done.
        Done,
        /// Failed for good.
        Failed,
        /// Not started again because workers crashed while running it; its queue's limit of failed runs
        /// was not reached.
        GivenUp,
        /// Not started here, or ended without a result; to be handed in again.
        Returned {
            /// Where its last run may still be at work.
            at: Option<Domain>,
            /// How often it failed.
            failures: u32,
            /// The highest run number that may have been used for it.
            run: RunNumber,
        },
        /// Not started: there is no room at present, and another dispatcher was to be tried.
        Full,
        /// Given back as it came, in doubt: whether it runs was not found out.
        Undetermined,
        /// Will not be served, and nothing of its job has run here; worth a try after so many ms.
        Refused(u32),
        /// Its caller has sent the job again to another origin, which gets what becomes of it.
        Superseded,
        /// Not started as no worker may take it at present; something of its job may have run.
        Unplaced,
    }

    /// Between the origins of jobs and the dispatchers of data centres.
    pub enum WorkMsg {
        /// Tasks to run.
        Submit(StepOrder),
        /// Nothing of the job is wanted any more.
        Cancel {
            /// The job.
            job: JobId,
            /// The origin's last hand-in so far. The message may be held up, and what was handed in later is
            /// wanted.
            last_submission: u32,
        },
        /// These tasks are not wanted here any more; their origin has them done elsewhere.
        Drop {
            /// The tasks.
            tasks: Vec<TaskId>,
            /// As in `Cancel`.
            last_submission: u32,
        },
        /// Ends of tasks.
        Ended(Vec<TaskReport>),
        /// A worker has ended under a task: what is known by now. Its origin keeps it, as the dispatcher may be lost.
        Crashed(TaskId, Crashes),
        /// What was sent before may be lost: hand in again what is open here. The number is
        /// repeated in the answer.
        Resync(u64),
        /// Answers `Resync`, after all that is wanted was handed in again: whatever else is here of
        /// this origin is not wanted.
        ResyncDone {
            /// The number of the question.
            request: u64,
            /// Tasks that may be handed in again yet: their origin took this dispatcher for lost.
            unsure: Vec<TaskId>,
        },
    }

    /// How the configuration spreads from the keepers to the entries.
    pub enum ConfigMsg {
        /// Asks for a piece of the configuration.
        Request {
            /// The version.
            version: u64,
            /// The first byte.
            offset: u64,
        },
        /// Answers `Want`.
        Chunk(Chunk),
    }

    /// A piece of the configuration.
    pub struct Chunk {
        /// The version.
        pub version: u64,
        /// Bytes of the whole document.
        pub total: u64,
        /// The hash of the whole document. After the loss of all disks a version may come again with another one.
        pub digest: u64,
        /// The first byte.
        pub offset: u64,
        /// The bytes, as the operator sent them.
        pub bytes: Vec<u8>,
    }

    /// A request to the keepers.
    pub enum KeeperRequest {
        /// Read the newest document.
        ReadDocument,
        /// Read the newest evacuations.
        ReadEvacuations,
        /// Put a document in force under its version, if it is higher than the version held.
        PutDocument(u64, Vec<u8>),
        /// Start or end an evacuation, if the order is based on the current revision.
        Evacuate(EvacuationOrder),
    }

    /// The state of the keepers after a request.
    #[derive(Default)]
    pub struct KeeperState {
        /// The version; 0 before the first document.
        pub version: u64,
        /// The document; empty unless the request was `ReadDocument`.
        pub document: Vec<u8>,
        /// The evacuations.
        pub evacuations: Evacuations,
    }

    /// Messages between keepers: operators' requests forwarded to the leader, and their answers.
    pub enum KeeperMsg {
        /// Forwards a request to the leader.
        Propose {
            /// Names the request at its sender.
            id: u64,
            /// The operation.
            request: KeeperRequest,
        },
        /// Answers `Propose`.
        Answer {
            /// The request.
            id: u64,
            /// The state after it; `None` if the outcome is unknown.
            state: Option<KeeperState>,
        },
    }
}

impl TaskReport {
    /// Whether it tells that the task goes back to its origin. Such news of an earlier time that it
    /// was handed in must not count: the dispatcher may have it again.
    #[must_use]
    pub fn returns_task(&self) -> bool {
        match self.end {
            TaskEnd::Full | TaskEnd::Returned { .. } | TaskEnd::Undetermined => true,
            TaskEnd::Done
            | TaskEnd::Failed
            | TaskEnd::GivenUp
            | TaskEnd::Unplaced
            | TaskEnd::Refused(_)
            | TaskEnd::Superseded => false,
        }
    }
}

/// The run times of a queue's tasks, as logarithms of ms.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedQueue {
    /// The queue.
    pub name: String,
    /// How many tasks have ended.
    pub count: f32,
    /// What they took on a usual worker.
    pub run_time: f32,
    /// That over what callers had guessed.
    pub bias: f32,
}

/// What a dispatcher has learned; a successor that starts without it mistakes the usual for the
/// slow.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Learned {
    /// By queue.
    pub queues: Vec<LearnedQueue>,
    /// How much longer than usual work takes, by worker.
    pub slowdowns: Vec<(String, f32)>,
}

/// A message between processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetMsg {
    /// A heartbeat.
    Heartbeat(FleetHeartbeat),
    /// Processes that the sender has heard of.
    Contacts(Vec<Contact>),
    /// A message of the keepers' log.
    Log(Vec<u8>),
    /// A request to the keepers.
    Keeper(KeeperMsg),
    /// What workers said of themselves.
    Workers(Vec<WorkerAnnouncement>),
    /// How the configuration spreads.
    Config(ConfigMsg),
    /// Work.
    Work(WorkMsg),
    /// What a dispatcher has learned.
    Learned(Learned),
    /// Workers that ended under tasks, as a dispatcher knows by now.
    Crashes(Vec<(TaskId, Crashes)>),
    /// Queues whose steps are to be started with care.
    ProbeQueues(Vec<String>),
}

//! Messages between the processes of a deployment that runs jobs of tasks on workers.

use std::collections::BTreeSet;
use std::num::{NonZeroU16, NonZeroU64};

use serde::{Deserialize, Serialize};

use crate::{
    Crashes, DataCentreId, Fence, Incarnation, InstanceId, JobId, Resources, RunNumber, SizedRoom,
    TaskId, Time, WorkerAnnouncement, domain, identifier,
};

identifier! {
    /// The number of a period in which an origin counts a dispatcher as alive without a break. It rises each time
    /// that the origin declares the dispatcher lost, after which its tasks may run elsewhere.
    #[derive(Default)]
    pub struct Session(pub u32);

    /// The number of a submission of tasks to a dispatcher. It rises over all submissions of an origin.
    ///
    /// There is no zero and no default, so a report cannot leave out which submission it answers.
    pub struct SubmissionNumber(NonZeroU64);

    /// The number of a message of an origin about its reservations. It rises over all of them, so a dispatcher knows
    /// which of two messages about a step is the later one.
    #[derive(Default)]
    pub struct ReservationNumber(pub u64);

    /// What an entry can carry as a dispatcher, in workers.
    pub struct Capacity(NonZeroU16);
}

impl SubmissionNumber {
    /// The lowest number.
    pub const FIRST: Self = Self(NonZeroU64::MIN);
    /// The highest number; it covers all submissions.
    pub const LAST: Self = Self(NonZeroU64::MAX);

    /// Returns a number, or none if it is zero.
    #[must_use]
    pub fn new(number: u64) -> Option<Self> {
        NonZeroU64::new(number).map(Self)
    }

    /// Returns the number of the next submission.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl Capacity {
    /// The capacity that counts for a process that reports none: that of a tenth of a core.
    pub const USUAL: Self = Self(NonZeroU16::new(32).unwrap());

    /// Returns the capacity for a number of workers, at least 1.
    #[must_use]
    pub fn new(workers: usize) -> Self {
        let workers = u16::try_from(workers).unwrap_or(u16::MAX);
        Self(NonZeroU16::new(workers).unwrap_or(NonZeroU16::MIN))
    }

    /// Returns the number of workers.
    #[must_use]
    pub fn workers(self) -> usize {
        self.0.get().into()
    }
}

domain! {
    /// The kind of a process.
    #[derive(Copy)]
    pub enum ProcessKind {
        /// Serves callers, and may dispatch.
        Entry,
        /// Stores the configuration, and receives the workers' announcements.
        Keeper,
    }

    /// The stage of a process between its start and its end.
    #[derive(Copy)]
    pub enum Stage {
        /// Does not know enough to serve yet.
        Joining,
        /// Serves.
        Ready,
        /// Finishes its work, and ends.
        Leaving,
    }

    /// The free capacity of a domain and its waiting times, as its dispatcher sees them.
    #[derive(Copy, Default)]
    pub struct Load {
        /// The number of tasks of the usual size that could start at once.
        pub free: u32,
        /// The time until a task that arrived now would start, in ms, for priority 0, 1, and 2 or more.
        pub wait: [u32; 3],
        /// The number of tasks of some recent sizes that could start at once, smallest size first; all zero if the dispatcher
        /// reports none.
        pub sizes: [SizedRoom; 4],
    }

    /// A set of workers that share one dispatcher: one shard of the workers of a data centre.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct Domain {
        /// The data centre.
        pub dc: DataCentreId,
        /// The shard; 0 where all workers of the data centre share one dispatcher.
        pub shard: u8,
    }

    /// A domain that a process owns: it dispatches for the domain.
    #[derive(Copy)]
    pub struct OwnedDomain {
        /// The domain.
        pub domain: Domain,
        /// The fencing token of the process for this domain.
        pub fence: Fence,
        /// The load of the domain.
        pub load: Load,
    }

    /// The set of data centres whose workers get no new tasks.
    #[derive(Default)]
    pub struct Evacuations {
        /// The revision, which rises with each order that takes effect.
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
        /// The revision that the order is based on. The order has no effect if another one is current when it is applied.
        pub base: u64,
    }

    /// The last heartbeat that the sender of the echo received from the receiver of the echo.
    ///
    /// From it the receiver knows, on its own clock and however late the echo arrives, until when the sender certainly
    /// counts it as alive.
    #[derive(Copy)]
    pub struct Echo {
        /// The incarnation of the receiver that sent it.
        pub incarnation: Incarnation,
        /// When it was sent, by the receiver's clock.
        pub sent: Time,
        /// The session of the receiver as a dispatcher of the sender's jobs.
        pub session: Session,
    }

    /// A heartbeat between the processes of a deployment.
    pub struct FleetHeartbeat {
        /// The kind of the sender.
        pub kind: ProcessKind,
        /// Its data centre.
        pub dc: DataCentreId,
        /// Its stage.
        pub stage: Stage,
        /// The domains that it owns.
        pub owned_domains: Vec<OwnedDomain>,
        /// The highest fencing token that it knows of.
        pub fence: Fence,
        /// The version of the configuration that it has in force.
        pub version: u64,
        /// The evacuations that it knows of; never older than the configuration in `version`.
        pub evacuations: Evacuations,
        /// The number of shards into which the workers are divided, as far as it knows; it never falls.
        pub shards: u8,
        /// What it can carry; none if its entries rank without regard to that.
        pub capacity: Option<Capacity>,
        /// When the heartbeat was sent, by the sender's clock, for the receiver to echo.
        pub sent: Time,
        /// The last heartbeat of the receiver, if the sender submits work to it and counts it as alive.
        pub echo: Option<Echo>,
        /// The longest time until the next heartbeat to this receiver, in ms.
        pub interval_ms: u32,
        /// Whether the sender needs frequent heartbeats of the receiver: it submits work to it, or would succeed it
        /// as a dispatcher.
        pub wants_frequent: bool,
        /// Whether the receiver is to answer at once, as all processes of its data centre that send frequent heartbeats to
        /// the sender have fallen silent.
        pub probe: bool,
    }

    /// A process that the sender knows of.
    #[derive(Copy)]
    pub struct Contact {
        /// Its instance.
        pub instance: InstanceId,
        /// Its kind.
        pub kind: ProcessKind,
    }

    /// A task that is submitted to a dispatcher.
    #[derive(Copy)]
    pub struct TaskOrder {
        /// The index of the task within its step.
        pub index: u16,
        /// How often it has failed.
        pub failures: u32,
        /// The highest run number that may have been used for it.
        pub run: RunNumber,
        /// The workers that were lost while they ran it.
        pub crashes: Crashes,
        /// Whether it may be running.
        pub prior_runs: PriorRuns,
        /// The number of this submission, which rises over all submissions of its origin.
        pub submission: SubmissionNumber,
        /// The number of its first submission to this dispatcher, which should have the task since then.
        pub first_submission: SubmissionNumber,
    }

    /// How a task that was submitted to a dispatcher ended.
    #[derive(Copy)]
    pub struct TaskReport {
        /// The task.
        pub task: TaskId,
        /// The submission that the end answers.
        pub submission: SubmissionNumber,
        /// The end.
        pub end: TaskEnd,
    }

    /// Whether a submitted task may be running under an earlier dispatcher.
    #[derive(Copy)]
    pub enum PriorRuns {
        /// It is not running.
        None,
        /// Its last run may be in progress. There is no later one, so the state of that run settles the task.
        Last,
        /// Runs may have been started that were not reported to its origin. Only a run that is found in progress or
        /// done settles the task.
        Unknown,
    }

    /// Tasks of one step of a job, submitted to a dispatcher.
    pub struct StepOrder {
        /// The session of the dispatcher at the origin. If it is earlier than the one in the origin's heartbeats, the
        /// submission was delayed on its way, and its tasks may have been submitted elsewhere.
        pub session: Session,
        /// The job.
        pub job: JobId,
        /// The step.
        pub step: u16,
        /// The specification that is passed to every task.
        pub spec: String,
        /// The queue.
        pub queue: String,
        /// The service whose workers run the tasks.
        pub service: String,
        /// The priority; 0 is the highest.
        pub priority: u8,
        /// The number of failures of one task that fails the job.
        pub attempts: u32,
        /// The resources that each task needs.
        pub need: Resources,
        /// The caller's estimate of a task's run time, in ms.
        pub estimate: u32,
        /// The label that a worker must have.
        pub label: Option<String>,
        /// The rack near the data.
        pub rack: Option<String>,
        /// The largest number of tasks on one worker.
        pub spread: Option<u16>,
        /// The time since the job arrived, in ms.
        pub age: u32,
        /// The part of the job's latency target that is proportional to its critical path, in thousandths of it.
        pub slack: u32,
        /// The constant part of the job's latency target, in ms.
        pub target: u32,
        /// The length of the job's critical path by the estimates, in ms.
        pub critical_path: u32,
        /// Whether the job may still be refused as "not run".
        pub refusable: bool,
        /// Whether tasks that cannot start at once are returned, as another dispatcher may have capacity. Otherwise they
        /// wait here.
        pub no_wait: bool,
        /// The tasks.
        pub tasks: Vec<TaskOrder>,
    }

    /// How a submission of a task ended.
    #[derive(Copy)]
    pub enum TaskEnd {
        /// The task is done.
        Done,
        /// The task failed as often as its queue allows.
        Failed,
        /// Not started again because workers crashed while running it; its queue's limit of failed runs
        /// was not reached.
        GivenUp,
        /// Not started here, or ended without a result; to be submitted again.
        Returned {
            /// The domain in which its last run may still be in progress.
            at: Option<Domain>,
            /// How often it has failed.
            failures: u32,
            /// The highest run number that may have been used for it.
            run: RunNumber,
        },
        /// Not started: there is no capacity at present, and the submission asked not to wait.
        Full,
        /// Returned with the [`PriorRuns`] of its submission: whether it is running could not be determined.
        Undetermined,
        /// Refused, and nothing of its job has run here; worth another try after this many ms.
        Refused(u32),
        /// Its caller has sent the job again to another origin, which gets the further reports.
        Superseded,
        /// Not started: no worker of this dispatcher may take it at present, however long it waits. Another
        /// dispatcher may have one.
        Unplaced {
            /// How often it has failed.
            failures: u32,
            /// The highest run number that may have been used for it.
            run: RunNumber,
            /// Whether something of its job may have run here.
            started: bool,
        },
    }

    /// A place in the queue of a dispatcher for tasks that are still with their origin. The same tasks may have places
    /// in the queues of several dispatchers; the first that has capacity for them gets them.
    pub struct Reservation {
        /// The step, without its specification and tasks.
        pub order: StepOrder,
        /// The number of this message.
        pub number: ReservationNumber,
        /// The number of tasks that are pending.
        pub tasks: u16,
        /// The number of places that each of them has, at the receiver and at other dispatchers.
        pub copies: u16,
    }

    /// The reservations of a step up to a number.
    #[derive(Copy)]
    pub struct ReservedStep {
        /// The job.
        pub job: JobId,
        /// The step.
        pub step: u16,
        /// The highest number.
        pub number: ReservationNumber,
    }

    /// Capacity that a dispatcher holds for a moment.
    #[derive(Copy)]
    pub struct Offer {
        /// The step for which it is held.
        pub step: ReservedStep,
        /// The number of tasks for which it suffices, beside those of earlier offers.
        pub tasks: u16,
    }

    /// A reservation that a dispatcher does not keep.
    #[derive(Copy)]
    pub struct Declined {
        /// The step.
        pub step: ReservedStep,
        /// Why it is declined.
        pub reason: DeclineReason,
    }

    /// Why a dispatcher declines a reservation.
    #[derive(Copy)]
    pub enum DeclineReason {
        /// The job cannot end within its objective here; worth another try after this many ms.
        Late(u32),
        /// No worker of this dispatcher may take its tasks at present.
        Unplaced,
        /// The dispatcher owns no domain.
        NotOwner,
    }

    /// Messages between the origins of jobs and the dispatchers of data centres.
    pub enum WorkMsg {
        /// Tasks to run.
        Submit(StepOrder),
        /// Cancels all tasks of a job.
        Cancel {
            /// The job.
            job: JobId,
            /// The number of the origin's last submission so far. The message may be delayed; later submissions are
            /// not cancelled.
            last_submission: SubmissionNumber,
        },
        /// Drops tasks that their origin has submitted elsewhere.
        Drop {
            /// The tasks.
            tasks: Vec<TaskId>,
            /// As in `Cancel`.
            last_submission: SubmissionNumber,
        },
        /// Ends of tasks.
        Ended(Vec<TaskReport>),
        /// Reports the workers lost so far while they ran a task. The origin stores it, as the dispatcher may be lost.
        Crashed(TaskId, Crashes),
        /// Asks the origin to submit all open tasks of this dispatcher again, as earlier messages may be lost. The
        /// number is repeated in the answer.
        Resync(u64),
        /// Answers `Resync`, after all open tasks were submitted again: the dispatcher drops every other task of this
        /// origin.
        ResyncDone {
            /// The number of the `Resync`.
            request: u64,
            /// Tasks that may still be submitted again, as their origin had declared this dispatcher lost.
            unsure: Vec<TaskId>,
        },
        /// Reserves a place in the queue for tasks that found no capacity.
        Reserve(Reservation),
        /// Capacity that is held for reservations until the tasks are submitted or the reservations released.
        Offer(Vec<Offer>),
        /// Ends reservations: their tasks were placed, or their caller has left.
        Release(Vec<ReservedStep>),
        /// Reservations that the dispatcher does not keep.
        Decline(Vec<Declined>),
    }

    /// Messages that distribute the configuration from the keepers to the entries.
    pub enum ConfigMsg {
        /// Asks for a chunk of the configuration.
        Request {
            /// The version.
            version: u64,
            /// The first byte.
            offset: u64,
        },
        /// Answers `Request`.
        Chunk(Chunk),
    }

    /// A chunk of the configuration.
    pub struct Chunk {
        /// The version.
        pub version: u64,
        /// The size of the whole document, in bytes.
        pub total: u64,
        /// The hash of the whole document. After the loss of all disks a version may be reused for another document.
        pub digest: u64,
        /// The first byte.
        pub offset: u64,
        /// The bytes, as the operator sent them.
        pub bytes: Vec<u8>,
    }

    /// A request to the keepers.
    pub enum KeeperRequest {
        /// Reads the newest document.
        ReadDocument,
        /// Reads the newest evacuations.
        ReadEvacuations,
        /// Puts a document in force under its version, if that is higher than the stored one.
        PutDocument(u64, Vec<u8>),
        /// Starts or ends an evacuation, if the order is based on the current revision.
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
            /// The number of the request at its sender.
            id: u64,
            /// The request.
            request: KeeperRequest,
        },
        /// Answers `Propose`.
        Answer {
            /// The number of the request.
            id: u64,
            /// The state after it; `None` if the outcome is unknown.
            state: Option<KeeperState>,
        },
    }
}

impl TaskReport {
    /// Whether the task returns to its origin.
    #[must_use]
    pub fn returns_task(&self) -> bool {
        match self.end {
            TaskEnd::Full
            | TaskEnd::Returned { .. }
            | TaskEnd::Undetermined
            | TaskEnd::Unplaced { .. } => true,
            TaskEnd::Done
            | TaskEnd::Failed
            | TaskEnd::GivenUp
            | TaskEnd::Refused(_)
            | TaskEnd::Superseded => false,
        }
    }

    /// Whether the end settles the task even if its origin has submitted it again since. Any other end of an earlier
    /// submission must be ignored: the dispatcher answers the later one too, and may accept it.
    #[must_use]
    pub fn covers_later_submissions(&self) -> bool {
        match self.end {
            TaskEnd::Done | TaskEnd::Failed | TaskEnd::GivenUp | TaskEnd::Superseded => true,
            TaskEnd::Full
            | TaskEnd::Returned { .. }
            | TaskEnd::Undetermined
            | TaskEnd::Refused(_)
            | TaskEnd::Unplaced { .. } => false,
        }
    }
}

/// What is learned of the run times of a queue's tasks, as logarithms of ms.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedQueue {
    /// The queue.
    pub name: String,
    /// The number of tasks that have ended.
    pub count: f32,
    /// Their run time on a usual worker.
    pub run_time: f32,
    /// The ratio of their run time to the callers' estimates.
    pub bias: f32,
    /// How much longer than the usual task of its step a task may take, if some take much longer.
    pub tail: Option<LearnedTail>,
}

/// The distribution of the run times of a queue's tasks, as ratios to the median of their steps.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedTail {
    /// The mean.
    pub mean: f32,
    /// For each of [`LearnedTail::WIDTHS`], the quantile that the longest of so many tasks reaches on average.
    pub quantiles: [f32; 7],
}

impl LearnedTail {
    /// The numbers of tasks for which quantiles are kept: powers of two.
    pub const WIDTHS: [u16; 7] = [1, 2, 4, 8, 16, 32, 64];
}

/// The run times that a dispatcher has learned. A successor without them mistakes tasks of usual length for slow ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Learned {
    /// Run times by queue.
    pub queues: Vec<LearnedQueue>,
    /// By worker, how much longer than usual its work takes.
    pub slowdowns: Vec<(String, f32)>,
}

/// A message between processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetMsg {
    /// A heartbeat.
    Heartbeat(FleetHeartbeat),
    /// Processes that the sender knows of.
    Contacts(Vec<Contact>),
    /// A message of the keepers' replicated log.
    Log(Vec<u8>),
    /// A request to the keepers, or its answer.
    Keeper(KeeperMsg),
    /// Announcements of workers.
    Workers(Vec<WorkerAnnouncement>),
    /// Distribution of the configuration.
    Config(ConfigMsg),
    /// Tasks and their ends.
    Work(WorkMsg),
    /// Run times that a dispatcher has learned.
    Learned(Learned),
    /// The workers lost so far while they ran these tasks, as a dispatcher knows.
    Crashes(Vec<(TaskId, Crashes)>),
    /// Queues whose steps are started with a probe, as workers crashed while running their tasks.
    ProbeQueues(Vec<String>),
}

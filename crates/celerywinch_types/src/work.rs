//! Jobs of tasks that run on workers with capacities.

use crate::{domain, identifier};

identifier! {
    /// A job, numbered by its caller; one sent again has the same number.
    pub struct JobId(pub u64);

    /// Counts the starts of a task; a worker obeys only a higher one than it has seen.
    pub struct RunNumber(pub u64);

    /// Fencing token of the dispatcher of a data centre; a worker obeys the highest it has seen.
    #[derive(Default)]
    pub struct Fence(pub u64);

    /// Milliseconds on a worker's own steady clock.
    #[derive(Default)]
    pub struct WorkerClock(pub u64);
}

domain! {
    /// A task of a job.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct TaskId {
        /// The job.
        pub job: JobId,
        /// The step, from 0.
        pub step: u16,
        /// The task within the step, from 0.
        pub index: u16,
    }

    /// What a task needs of a worker, or what a worker has.
    #[derive(Copy, Default)]
    pub struct Resources {
        /// Thousandths of a core.
        pub cpu: u32,
        /// MiB.
        pub memory: u32,
        /// Accelerators.
        pub accelerators: u32,
    }

    /// One step of a job: tasks that are alike and independent of each other.
    pub struct StepPlan {
        /// How many tasks.
        pub count: u16,
        /// What each needs.
        pub need: Resources,
        /// The caller's guess of a task's run time, in ms; often far off.
        pub estimate: u32,
        /// Steps whose tasks must all be done first.
        pub after: Vec<u16>,
        /// The label that a worker must have.
        pub label: Option<String>,
        /// The rack near the data; elsewhere the work takes longer.
        pub rack: Option<String>,
        /// At most this many tasks of the step on one worker.
        pub spread: Option<u16>,
    }

    /// A job whose caller waits for its end.
    pub struct JobPlan {
        /// Handed to every task.
        pub spec: String,
        /// The steps.
        pub steps: Vec<StepPlan>,
    }

    /// How a job ended.
    #[derive(Copy)]
    pub enum JobEnd {
        /// All tasks are done.
        Completed,
        /// A task failed as often as its queue allows.
        Failed,
        /// Not run, and it never will; worth another try after so many ms.
        Refused(u32),
        /// Its tasks may have run in part; the caller may send it again.
        Unsure,
    }

    /// Whether a worker takes work.
    #[derive(Copy)]
    pub enum WorkerStage {
        /// Takes work.
        Ready,
        /// Finishes what it has, and leaves.
        Draining,
        /// Has left.
        Gone,
    }

    /// Orders the announcements of a worker. Numbers of one life say nothing of those of another: a worker that starts
    /// again counts from the beginning, so the life comes first.
    #[derive(Copy, Default, PartialOrd, Ord)]
    pub struct AnnouncementVersion {
        /// The life that speaks: ms since 1970 at its start, by the worker's clock; 0 where it does not say.
        pub incarnation: crate::Incarnation,
        /// Rises with each announcement of a life.
        pub sequence: u64,
    }

    /// What a worker says of itself.
    pub struct WorkerAnnouncement {
        /// Its name, which it keeps when it starts again.
        pub id: String,
        /// The service whose tasks it runs.
        pub service: String,
        /// Where it takes orders.
        pub addr: std::net::SocketAddr,
        /// The number of its data centre.
        pub dc: crate::DataCentreId,
        /// What it has.
        pub capacity: Resources,
        /// Its kind and its rack.
        pub labels: Vec<String>,
        /// Whether it takes work.
        pub stage: WorkerStage,
        /// Which of its announcements this is.
        pub version: AnnouncementVersion,
    }
}

impl Resources {
    /// Whether `need` fits in.
    #[must_use]
    pub fn fits(self, need: Self) -> bool {
        self.cpu >= need.cpu && self.memory >= need.memory && self.accelerators >= need.accelerators
    }

    /// What is left after `need` was taken; zero where it has less.
    #[must_use]
    pub fn saturating_sub(self, need: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(need.cpu),
            memory: self.memory.saturating_sub(need.memory),
            accelerators: self.accelerators.saturating_sub(need.accelerators),
        }
    }

    /// Both together.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}

/// Low bits of a fencing token that are left for the lives of a worker.
const LIFE_BITS: u32 = 5;
/// So many later lives of a worker can be told apart under one token of its domain.
pub const MAX_INCARNATIONS: u64 = (1 << LIFE_BITS) - 1;

impl Fence {
    /// The token of a change of hands: a later epoch is higher; `holder` keeps apart those who take the same one.
    #[must_use]
    pub fn new(epoch: u64, holder: u16) -> Self {
        let epoch = epoch << u16::BITS;
        Self((epoch | u64::from(holder)) << LIFE_BITS)
    }

    /// The epoch it was made of.
    #[must_use]
    pub fn epoch(self) -> u64 {
        self.0 >> (u16::BITS + LIFE_BITS)
    }

    /// The token for a worker that has started again so often since the change of hands.
    ///
    /// A worker that starts again has seen no token, and would obey an order that was sent to the life before and held up on its
    /// way, while the task runs elsewhere. Once it has seen this one it refuses that order.
    #[must_use]
    pub fn for_incarnation(self, lives: u64) -> Self {
        Self(self.0 + lives.min(MAX_INCARNATIONS))
    }
}

/// How far a task's run number rises when its dispatcher starts it without knowing what an earlier one did.
/// No task is started so often in the time that it waits before.
const UNHEARD_RUNS: u64 = 1_000;
/// The same when its origin has lost a dispatcher: that may have done so several times.
const LOST_RUNS: u64 = 64 * UNHEARD_RUNS;

impl RunNumber {
    /// A number past all that an earlier dispatcher may have used without this one having heard of them.
    /// An end found of one of those would else be taken for the end of a later run with the same
    /// number, and the task be started again beside it.
    #[must_use]
    pub fn past_unreported(self) -> Self {
        Self(self.0 + UNHEARD_RUNS)
    }

    /// A number past all that a lost dispatcher may have used, also after it has itself gone past what it had
    /// not heard of.
    #[must_use]
    pub fn past_lost(self) -> Self {
        Self(self.0 + LOST_RUNS)
    }
}

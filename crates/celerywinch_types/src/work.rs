//! Jobs of tasks, and the workers with limited resources that run them.

use crate::{domain, identifier};

identifier! {
    /// The number of a job, chosen by its caller. A job that is sent again has the same number.
    pub struct JobId(pub u64);

    /// The number of a run of a task. A worker obeys only a higher number than the ones it has seen.
    pub struct RunNumber(pub u64);

    /// The fencing token of a dispatcher for a domain. A worker obeys only the highest token that it has seen.
    #[derive(Default)]
    pub struct Fence(pub u64);

    /// Milliseconds on a worker's monotonic clock.
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

    /// The resources that a task needs, or that a worker has.
    #[derive(Copy, Default)]
    pub struct Resources {
        /// CPU, in thousandths of a core.
        pub cpu: u32,
        /// Memory, in MiB.
        pub memory: u32,
        /// The number of accelerators.
        pub accelerators: u32,
    }

    /// One step of a job: similar tasks that are independent of each other.
    pub struct StepPlan {
        /// The number of tasks.
        pub count: u16,
        /// The resources that each task needs.
        pub need: Resources,
        /// The caller's estimate of a task's run time, in ms; often far off.
        pub estimate: u32,
        /// The steps whose tasks must all be done first.
        pub after: Vec<u16>,
        /// The label that a worker must have.
        pub label: Option<String>,
        /// The rack near the data; on other racks tasks take longer.
        pub rack: Option<String>,
        /// The largest number of tasks of the step on one worker.
        pub spread: Option<u16>,
    }

    /// A job whose caller waits for its end.
    pub struct JobPlan {
        /// The specification that is passed to every task.
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
        /// The job did not run and never will; worth another try after this many ms.
        Refused(u32),
        /// Some of its tasks may have run; the caller may send the job again.
        Unsure,
    }

    /// Whether a worker takes work.
    #[derive(Copy)]
    pub enum WorkerStage {
        /// Takes work.
        Ready,
        /// Finishes its runs, and leaves.
        Draining,
        /// Has left.
        Gone,
    }

    /// Orders the announcements of a worker: by incarnation first, as a worker that restarts counts its announcements
    /// from the beginning again.
    #[derive(Copy, Default, PartialOrd, Ord)]
    pub struct AnnouncementVersion {
        /// The incarnation of the worker: its start in ms since the Unix epoch, by its own clock; 0 if it sends none.
        pub incarnation: crate::Incarnation,
        /// The number of the announcement within its incarnation.
        pub sequence: u64,
    }

    /// An announcement of a worker.
    pub struct WorkerAnnouncement {
        /// Its name, which stays the same when it restarts.
        pub id: String,
        /// The service whose tasks it runs.
        pub service: String,
        /// The address at which it accepts requests.
        pub addr: std::net::SocketAddr,
        /// Its data centre.
        pub dc: crate::DataCentreId,
        /// All its resources, free or in use.
        pub capacity: Resources,
        /// Its kind and its rack.
        pub labels: Vec<String>,
        /// Whether it takes work.
        pub stage: WorkerStage,
        /// The version of the announcement.
        pub version: AnnouncementVersion,
    }
}

impl WorkerAnnouncement {
    /// Returns whether two announcements are of the same incarnation of a worker, as far as they tell: its service, address and
    /// data centre do not change.
    #[must_use]
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.id == other.id
            && self.version.incarnation == other.version.incarnation
            && self.service == other.service
            && self.addr == other.addr
            && self.dc == other.dc
    }
}

impl Resources {
    /// Whether `need` fits into these resources.
    #[must_use]
    pub fn fits(self, need: Self) -> bool {
        self.cpu >= need.cpu && self.memory >= need.memory && self.accelerators >= need.accelerators
    }

    /// Returns what is left after subtracting `need`; zero where `need` is larger.
    #[must_use]
    pub fn saturating_sub(self, need: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(need.cpu),
            memory: self.memory.saturating_sub(need.memory),
            accelerators: self.accelerators.saturating_sub(need.accelerators),
        }
    }

    /// Returns the sum of both, limited to the largest number.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}

/// The number of low bits of a fencing token that count the restarts of a worker.
const INCARNATION_BITS: u32 = 5;
/// The number of later incarnations of a worker that can be distinguished under one token of its domain.
pub const MAX_INCARNATIONS: u64 = (1 << INCARNATION_BITS) - 1;

impl Fence {
    /// Returns the token of a new owner. A later epoch gives a higher token; `holder` distinguishes owners that use the
    /// same epoch.
    #[must_use]
    pub fn new(epoch: u64, holder: u16) -> Self {
        let epoch = epoch << u16::BITS;
        Self((epoch | u64::from(holder)) << INCARNATION_BITS)
    }

    /// Returns the epoch of the token.
    #[must_use]
    pub fn epoch(self) -> u64 {
        self.0 >> (u16::BITS + INCARNATION_BITS)
    }

    /// Returns the token for a worker that has restarted this often since the domain was acquired.
    ///
    /// A worker that has restarted has seen no token. It would obey a request that was sent to its earlier incarnation and
    /// delayed on its way, while the task runs elsewhere. Once it has seen this token it refuses that request.
    #[must_use]
    pub fn for_incarnation(self, restarts: u64) -> Self {
        Self(self.0 + restarts.min(MAX_INCARNATIONS))
    }
}

/// How far a task's run number rises when a dispatcher starts it without knowing the runs of an earlier dispatcher.
/// An earlier dispatcher cannot have started the task that often in the time for which this one waits first.
const UNREPORTED_RUNS: u64 = 1_000;
/// How far the run number rises when the origin has lost a dispatcher, which may itself have skipped unreported runs several
/// times.
const LOST_DISPATCHER_RUNS: u64 = 64 * UNREPORTED_RUNS;

impl RunNumber {
    /// Returns a number past all that an earlier dispatcher may have used without reporting them to this one. Otherwise
    /// the end of such a run could be mistaken for the end of a later run with the same number, and the task would be
    /// started again while that run is in progress.
    #[must_use]
    pub fn past_unreported(self) -> Self {
        Self(self.0 + UNREPORTED_RUNS)
    }

    /// Returns a number past all that a lost dispatcher may have used, including those after it has itself skipped
    /// unreported runs.
    #[must_use]
    pub fn past_lost(self) -> Self {
        Self(self.0 + LOST_DISPATCHER_RUNS)
    }
}

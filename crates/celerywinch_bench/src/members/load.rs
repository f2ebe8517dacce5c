//! Simulated loads, and statistics of how they were served.

use std::f64::consts::TAU;
use std::iter::repeat_n;

use celerywinch_types::Time;

/// Class of jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassPlan {
    /// Name of the queue.
    pub name: &'static str,
    /// Priority of the queue; 0 is the highest.
    pub priority: u8,
    /// Jobs per second, over all entries.
    pub rate: f64,
    /// Mean number of tasks of a job.
    pub mean_tasks: u16,
    /// Mean run time of a task, in ms.
    pub task_ms: u32,
    /// Time after which a caller stops waiting, in ms.
    pub timeout_ms: u32,
}

/// Load of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadPlan {
    /// Classes of jobs.
    pub classes: Vec<ClassPlan>,
    /// Mean CPU of a task, in thousandths of a core. Workers of size 1 have 32,000.
    pub cpu: u32,
    /// Relative variation of the CPU of a task around its mean; all tasks of a job need the same.
    pub cpu_spread: f64,
    /// Long tail of the run times, if any.
    pub tail: Option<Tail>,
    /// Start and end of a burst, in ms, and the factor by which the load is higher in it.
    pub burst: Option<(u64, u64, f64)>,
    /// Bursts of single classes, in addition to `burst`.
    pub class_bursts: Vec<ClassBurst>,
    /// Periods of low load, if any.
    pub lull: Option<Lull>,
    /// Periodic swing of the load of each data centre, if any.
    pub swing: Option<Swing>,
}

impl Default for LoadPlan {
    /// Returns the load of the reference catalogue service.
    fn default() -> Self {
        Self {
            classes: reference_classes(),
            cpu: REFERENCE_CPU,
            cpu_spread: 0.2,
            tail: None,
            burst: None,
            class_bursts: Vec::new(),
            lull: None,
            swing: None,
        }
    }
}

/// Long tail of run times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tail {
    /// Share of the tasks in the tail, 0 to 1.
    pub share: f64,
    /// Factor by which they take longer. Estimates do not include it.
    pub factor: f64,
}

/// Burst of a single class of jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassBurst {
    /// Index of the class in the plan.
    pub class: usize,
    /// Start, in ms.
    pub start_ms: u64,
    /// End, in ms.
    pub end_ms: u64,
    /// Factor to the usual load of the class.
    pub factor: f64,
}

/// Load that rises and falls as a sine wave, at different times in each data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct Swing {
    /// Amplitude as a share of the mean load, 0 to 1.
    pub amplitude: f64,
    /// Length of a period, in ms.
    pub period_ms: u64,
    /// Phase of each data centre, as a share of the period.
    pub phases: Vec<f64>,
}

impl Swing {
    /// Returns the factor of the load of a data centre at a time to its mean; 1 where no phase is given.
    pub(crate) fn factor(&self, now: Time, dc: u8) -> f64 {
        let Some(phase) = self.phases.get(usize::from(dc)) else {
            return 1.0;
        };
        let periods = now.0 as f64 / (self.period_ms * 1_000) as f64;
        1.0 + self.amplitude * (TAU * (periods + phase)).sin()
    }

    /// Returns the mean factor over all data centres.
    fn mean_factor(&self, now: Time) -> f64 {
        let dcs = 0..self.phases.len() as u8;
        let sum: f64 = dcs.map(|dc| self.factor(now, dc)).sum();
        sum / self.phases.len() as f64
    }
}

/// Speeds and sizes of workers. Worker number `n` has the value at position `n` of each list, which repeats.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerKinds {
    /// Speeds; a task takes its run time divided by the speed.
    pub speeds: Vec<f64>,
    /// Factors of the CPU to that of the usual worker.
    pub sizes: Vec<f64>,
}

impl Default for WorkerKinds {
    /// Returns workers of the same speed, of which every third one has 50% more CPU.
    fn default() -> Self {
        Self {
            speeds: vec![1.0],
            sizes: vec![1.0, 1.0, 1.5],
        }
    }
}

impl WorkerKinds {
    /// Returns workers of all speeds in all sizes, and each combination in each of `dcs` data centres. Workers alternate
    /// between the data centres.
    #[must_use]
    pub fn combine(dcs: u8, speeds: &[f64], sizes: &[f64]) -> Self {
        let repeat = |values: &[f64], times: usize| {
            let values = values.iter();
            values.flat_map(|value| repeat_n(*value, times)).collect()
        };
        let dcs = usize::from(dcs);
        Self {
            speeds: repeat(speeds, dcs),
            sizes: repeat(sizes, dcs * speeds.len()),
        }
    }

    /// Returns the speed of a worker.
    pub(crate) fn speed(&self, worker: usize) -> f64 {
        self.speeds[worker % self.speeds.len()]
    }

    /// Returns the CPU of a worker, in thousandths of a core.
    pub(crate) fn cpu(&self, worker: usize) -> u32 {
        (f64::from(WORKER_CPU) * self.sizes[worker % self.sizes.len()]) as u32
    }
}

/// Recurring low load, at the end of each period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lull {
    /// Length of a period, in ms.
    pub period_ms: u64,
    /// Length of the low load in each period, in ms.
    pub length_ms: u64,
    /// Factor of the low load to the usual load.
    pub factor: f64,
    /// Time from the start of the low load in which no fault is injected, in ms. A change of ownership or congestion makes
    /// dispatchers poll workers, so that none would be idle for long.
    pub calm_ms: u64,
}

impl Lull {
    /// Returns for how long the load has been low, in ms, or `None` if it is not low.
    fn age(&self, now: Time) -> Option<u64> {
        (now.0 / 1_000 % self.period_ms).checked_sub(self.period_ms - self.length_ms)
    }
}

/// Returns the three classes of jobs of the reference catalogue service: price checks (many short tasks), stock holds
/// and scan matching (few long tasks). Their rates keep 48 workers of the reference size about 75% busy, as on an
/// ordinary day.
#[must_use]
pub fn reference_classes() -> Vec<ClassPlan> {
    let class = |name, priority, rate, mean_tasks, task_ms| ClassPlan {
        name,
        priority,
        rate,
        mean_tasks,
        task_ms,
        timeout_ms: 1_500,
    };
    vec![
        class("price", 0, 34.4, 8, 60),
        class("hold", 1, 100.0, 2, 200),
        class("scan", 2, 6.25, 4, 900),
    ]
}

/// Mean CPU of a task in the reference catalogue service, in thousandths of a core. Two or three tasks fit on a worker.
pub const REFERENCE_CPU: u32 = 14_000;

/// CPU of a worker of size 1, in thousandths of a core.
const WORKER_CPU: u32 = 32_000;
/// Mean CPU of a task that needs half of a worker of size 1. With its variation, two of three pairs of tasks do not fit.
const HALF_WORKER_CPU: u32 = WORKER_CPU / 2;
/// Timeout of callers that wait beyond the objectives of their longest jobs, in ms.
const PATIENT_TIMEOUT_MS: u32 = 8_000;

/// Returns classes of the given names, priorities, rates, mean numbers of tasks and run times.
fn patient_classes(classes: Vec<(&'static str, u8, f64, u16, u32)>) -> Vec<ClassPlan> {
    let classes = classes.into_iter();
    let plan = |(name, priority, rate, mean_tasks, task_ms)| ClassPlan {
        name,
        priority,
        rate,
        mean_tasks,
        task_ms,
        timeout_ms: PATIENT_TIMEOUT_MS,
    };
    classes.map(plan).collect()
}

/// Returns a load of tasks that need about half of a worker: wide jobs of short tasks, jobs of a few long tasks, and many
/// jobs of two tasks. It takes 58% of the CPU of 350 workers, every third of which has 50% more.
#[must_use]
pub fn half_worker_load() -> LoadPlan {
    LoadPlan {
        classes: patient_classes(vec![
            ("wide", 0, 206.0, 8, 60),
            ("long", 2, 37.5, 4, 900),
            ("narrow", 1, 600.0, 2, 200),
        ]),
        cpu: HALF_WORKER_CPU,
        ..LoadPlan::default()
    }
}

/// Returns a load like [`half_worker_load`] whose run times have a long tail and which swings by data centre, of which
/// there are three. Its workers are [`uneven_workers`].
#[must_use]
pub fn uneven_load() -> LoadPlan {
    LoadPlan {
        classes: patient_classes(vec![
            ("wide", 0, 181.0, 8, 51),
            ("long", 2, 33.0, 4, 760),
            ("narrow", 1, 528.0, 2, 170),
        ]),
        cpu: HALF_WORKER_CPU,
        tail: Some(Tail {
            share: 0.03,
            factor: 7.0,
        }),
        swing: Some(Swing {
            amplitude: 0.55,
            period_ms: 13_000,
            phases: vec![0.1, 0.18, 0.26],
        }),
        ..LoadPlan::default()
    }
}

/// Returns workers in three data centres that are 0.6 to 1.6 times as fast as the usual one, every third with 50% more CPU.
#[must_use]
pub fn uneven_workers() -> WorkerKinds {
    WorkerKinds::combine(3, &[0.6, 1.0, 1.6], &[1.0, 1.0, 1.5])
}

impl LoadPlan {
    /// Returns the factor of the load of a class at a time to its usual load.
    pub(crate) fn factor(&self, now: Time, class: usize) -> f64 {
        let lull = self.lull.filter(|lull| lull.age(now).is_some());
        let low = lull.map_or(1.0, |lull| lull.factor);
        let swing = self.swing.as_ref();
        let usual = low * swing.map_or(1.0, |swing| swing.mean_factor(now));
        let bursts = self.class_bursts.iter().filter(|burst| {
            burst.class == class && (burst.start_ms * 1_000..burst.end_ms * 1_000).contains(&now.0)
        });
        let usual = bursts.fold(usual, |load, burst| load * burst.factor);
        match self.burst {
            Some((from, to, factor)) if (from * 1000..to * 1000).contains(&now.0) => factor * usual,
            _ => usual,
        }
    }

    /// Returns whether no fault may be injected.
    pub(crate) fn is_calm(&self, now: Time) -> bool {
        let lull = self.lull.as_ref();
        lull.is_some_and(|lull| lull.age(now).is_some_and(|age| age < lull.calm_ms))
    }
}

/// Statistics of a class of jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassStats {
    /// Jobs submitted.
    pub submitted: usize,
    /// Jobs completed within their objectives.
    pub on_time: usize,
    /// Jobs completed later.
    pub late: usize,
    /// Jobs refused as not run.
    pub refused: usize,
    /// Jobs without a known result: abandoned by the caller or answered as undetermined.
    pub lost: usize,
    /// Jobs answered as failed.
    pub failed: usize,
    /// Longest time from a request to its refusal, in ms.
    pub max_refusal_ms: u32,
    /// Jobs refused within 10 ms of the request.
    pub prompt_refusals: usize,
    /// Time from a request to its refusal that 95% of the refusals do not exceed, in ms.
    pub refusal_p95_ms: u32,
    /// Sum of the run times of jobs completed within their objectives, in ms.
    pub timely_work: f64,
    /// Jobs among the tenth with the longest sums of run times.
    pub large_jobs: usize,
    /// Of these, jobs completed within their objectives.
    pub large_timely: usize,
}

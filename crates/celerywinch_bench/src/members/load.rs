//! Simulated loads, and statistics of how they were served.

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
    /// Mean CPU of a task, in thousandths of a core. Workers have 32,000, every third one 50% more.
    pub cpu: u32,
    /// Start and end of a burst, in ms, and the factor by which the load is higher in it.
    pub burst: Option<(u64, u64, f64)>,
    /// Periods of low load, if any.
    pub lull: Option<Lull>,
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

impl LoadPlan {
    /// Returns the factor of the load at a time to the usual load.
    pub(crate) fn factor(&self, now: Time) -> f64 {
        let lull = self.lull.filter(|lull| lull.age(now).is_some());
        let low = lull.map_or(1.0, |lull| lull.factor);
        match self.burst {
            Some((from, to, factor)) if (from * 1000..to * 1000).contains(&now.0) => factor * low,
            _ => low,
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
    /// Longest time to a refusal, in ms.
    pub max_refusal_ms: u32,
}

//! Loads and how they were served.

use celerywinch_types::Time;

/// One kind of job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassPlan {
    /// The queue's name.
    pub name: &'static str,
    /// 0 comes first.
    pub priority: u8,
    /// Jobs a second, over all entries.
    pub rate: f64,
    /// Tasks of a job, on average.
    pub mean_tasks: u16,
    /// Ms of a task, on average.
    pub task_ms: u32,
    /// What callers wait at most, in ms.
    pub timeout_ms: u32,
}

/// A load.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadPlan {
    /// The kinds of jobs.
    pub classes: Vec<ClassPlan>,
    /// What a task needs on average, in thousandths of a core; workers have 32,000, every third one
    /// half as much again.
    pub cpu: u32,
    /// From when to when, in ms, the load is that many times as high.
    pub burst: Option<(u64, u64, f64)>,
    /// Spells of low load, if any.
    pub lull: Option<Lull>,
}

/// Spells of low load, one at the end of each period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lull {
    /// The period, in ms.
    pub period_ms: u64,
    /// How long the load is low in each, in ms.
    pub length_ms: u64,
    /// That many times the usual load there is then.
    pub factor: f64,
    /// For how long from its start no fault strikes, in ms: any change of hands, and any congestion, has
    /// workers asked, and none would be idle for long.
    pub calm_ms: u64,
}

impl Lull {
    /// For how long it has lasted, in ms.
    fn age(&self, now: Time) -> Option<u64> {
        (now.0 / 1_000 % self.period_ms).checked_sub(self.period_ms - self.length_ms)
    }
}

/// The three kinds of jobs of the brief's catalogue service: price checks (many short tasks), scan
/// matching (few long ones), stock holds; at rates that keep 48 workers of its size about 75% busy,
/// as on an ordinary day.
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

/// What a task needs on average in the brief's catalogue service: two or three fit on a worker.
pub const REFERENCE_CPU: u32 = 14_000;

impl LoadPlan {
    /// How many times the usual load there is at a moment.
    pub(crate) fn factor(&self, now: Time) -> f64 {
        let lull = self.lull.filter(|lull| lull.age(now).is_some());
        let low = lull.map_or(1.0, |lull| lull.factor);
        match self.burst {
            Some((from, to, factor)) if (from * 1000..to * 1000).contains(&now.0) => factor * low,
            _ => low,
        }
    }

    /// Whether no fault is to strike.
    pub(crate) fn is_calm(&self, now: Time) -> bool {
        let lull = self.lull.as_ref();
        lull.is_some_and(|lull| lull.age(now).is_some_and(|age| age < lull.calm_ms))
    }
}

/// How a kind of job was served.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassStats {
    /// Jobs.
    pub submitted: usize,
    /// Answered within the objective.
    pub on_time: usize,
    /// Answered later.
    pub late: usize,
    /// Refused as not run.
    pub refused: usize,
    /// Given up by the caller, or told that it is not known.
    pub lost: usize,
    /// Jobs that were told to have failed.
    pub failed: usize,
    /// The longest time to a refusal, in ms.
    pub max_refusal_ms: u32,
}

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
    pub width: u16,
    /// Ms of a task, on average.
    pub takes: u32,
    /// What callers wait at most, in ms.
    pub timeout: u32,
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
}

/// The three kinds of jobs of the brief's catalogue service: price checks (many short tasks), scan
/// matching (few long ones), stock holds; at rates that keep 48 workers of its size about 75% busy,
/// as on an ordinary day.
#[must_use]
pub fn brief_classes() -> Vec<ClassPlan> {
    let class = |name, priority, rate, width, takes| ClassPlan {
        name,
        priority,
        rate,
        width,
        takes,
        timeout: 1_500,
    };
    vec![
        class("price", 0, 34.4, 8, 60),
        class("hold", 1, 100.0, 2, 200),
        class("scan", 2, 6.25, 4, 900),
    ]
}

/// What a task needs on average in the brief's catalogue service: two or three fit on a worker.
pub const BRIEF_CPU: u32 = 14_000;

impl LoadPlan {
    /// How many times the usual load there is at a moment.
    pub(crate) fn factor(&self, now: Time) -> f64 {
        match self.burst {
            Some((from, to, factor)) if (from * 1000..to * 1000).contains(&now.0) => factor,
            _ => 1.0,
        }
    }
}

/// How a kind of job was served.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassFigures {
    /// Jobs.
    pub asked: usize,
    /// Answered within the objective.
    pub in_aim: usize,
    /// Answered later.
    pub late: usize,
    /// Refused as not run.
    pub refused: usize,
    /// Given up by the caller, or told that it is not known.
    pub lost: usize,
    /// Jobs that were told to have failed.
    pub failed: usize,
    /// The longest time to a refusal, in ms.
    pub slowest_refusal: u32,
}

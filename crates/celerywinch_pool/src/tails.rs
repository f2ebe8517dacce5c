//! How much longer than the usual task of a step its longest one takes.
//!
//! A step ends with its longest task, and its objective is a multiple of the time of the same task. Both follow from the
//! quantile that the longest of n tasks reaches on average, n / (n + 1).

use std::collections::BTreeMap;

use celerywinch_types::LearnedTail;
use hdrhistogram::Histogram;

/// Bounds of the ratios that a histogram distinguishes, in thousandths.
const RATIO_BOUNDS: (u64, u64) = (16, 32_000);
/// Number of tasks after which a window replaces the previous one.
const WINDOW_TASKS: u64 = 500;
/// Number of tasks from which on their distribution is used.
const MIN_TASKS: u64 = 100;
/// Number of tasks after which the quantiles are computed again.
const REFRESH_TASKS: u64 = 25;
/// A distribution whose highest quantile is at least this multiple of its median has a long tail. With a shorter one, steps
/// are expected to end with their usual tasks: the constant part of their objectives covers the difference.
const TAIL_RATIO: f32 = 2.0;

/// Factors between the usual task of a step and the whole step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Stretch {
    /// Ratio of the mean run time to the usual one: the work of many tasks is a sum.
    pub(crate) work: f64,
    /// Ratio of the run time of the longest task to the usual one.
    pub(crate) longest: f64,
}

impl Stretch {
    /// The factors of tasks of equal length.
    pub(crate) const NONE: Self = Self {
        work: 1.0,
        longest: 1.0,
    };
}

/// Two windows of run times of a queue, as ratios to the usual task of their step.
#[derive(Clone, Debug)]
struct QueueTails {
    recent: Histogram<u16>,
    previous: Histogram<u16>,
    /// Number of tasks since the quantiles were computed.
    fresh: u64,
    /// The tail, if it is long.
    tail: Option<LearnedTail>,
}

impl QueueTails {
    fn new() -> Self {
        let (low, high) = RATIO_BOUNDS;
        let empty = Histogram::new_with_bounds(low, high, 2).expect("the bounds are constants");
        Self {
            recent: empty.clone(),
            previous: empty,
            fresh: 0,
            tail: None,
        }
    }

    fn record(&mut self, ratio: f64) {
        let (low, high) = RATIO_BOUNDS;
        let millis = (ratio * 1e3) as u64;
        self.recent.saturating_record(millis.clamp(low, high));
        self.fresh += 1;
        if self.recent.len() >= WINDOW_TASKS {
            std::mem::swap(&mut self.recent, &mut self.previous);
            self.recent.reset();
        }
    }

    fn refresh(&mut self) {
        if self.fresh < REFRESH_TASKS || self.recent.len() + self.previous.len() < MIN_TASKS {
            return;
        }
        self.fresh = 0;
        let mut all = self.previous.clone();
        if all.add(&self.recent).is_err() {
            return;
        }
        let median = all.value_at_quantile(0.5).max(1) as f64;
        let quantile = |width: u16| {
            let reached = f64::from(width) / (f64::from(width) + 1.0);
            (all.value_at_quantile(reached) as f64 / median) as f32
        };
        let tail = LearnedTail {
            mean: (all.mean() / median) as f32,
            quantiles: LearnedTail::WIDTHS.map(quantile),
        };
        let highest = tail.quantiles.last().copied().unwrap_or(1.0);
        self.tail = (highest >= TAIL_RATIO).then_some(tail);
    }
}

/// Distributions of the run times of all queues.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tails {
    queues: BTreeMap<String, QueueTails>,
}

impl Tails {
    /// Records the run times of the tasks of an ended step, as ratios to the expected one.
    ///
    /// They are compared with their median, as what all tasks of a job have in common says nothing about the longest of
    /// them. A task without siblings is compared with what was expected.
    pub(crate) fn learn(&mut self, queue: &str, mut ratios: Vec<f64>) {
        ratios.sort_by(f64::total_cmp);
        let usual = match ratios.len() {
            0 => return,
            1 => 1.0,
            count => ratios[(count - 1) / 2].max(f64::MIN_POSITIVE),
        };
        let tails = self.queues.entry(queue.to_owned());
        let tails = tails.or_insert_with(QueueTails::new);
        for ratio in ratios {
            tails.record(ratio / usual);
        }
        tails.refresh();
    }

    /// Returns the factors of a step with this number of tasks.
    pub(crate) fn stretch(&self, queue: &str, tasks: usize) -> Stretch {
        let tail = self.tail(queue);
        tail.map_or(Stretch::NONE, |tail| Stretch {
            work: f64::from(tail.mean),
            longest: longest(&tail, tasks),
        })
    }

    /// Returns the tail of a queue, if it is long.
    pub(crate) fn tail(&self, queue: &str) -> Option<LearnedTail> {
        self.queues.get(queue)?.tail
    }

    /// Replaces the tail of a queue by what another dispatcher has learned.
    pub(crate) fn learn_from(&mut self, queue: &str, tail: Option<LearnedTail>) {
        if tail.is_some() || self.queues.contains_key(queue) {
            let tails = self.queues.entry(queue.to_owned());
            tails.or_insert_with(QueueTails::new).tail = tail;
        }
    }
}

/// Returns the ratio of the longest of `tasks` tasks to the usual one, interpolated between the known widths.
fn longest(tail: &LearnedTail, tasks: usize) -> f64 {
    let position = (tasks.max(1) as f64).log2();
    let last = tail.quantiles.len() - 1;
    let below = (position.floor() as usize).min(last);
    let above = (below + 1).min(last);
    let share = (position - below as f64).min(1.0);
    let quantile = |index: usize| f64::from(tail.quantiles[index]);
    quantile(below) + (quantile(above) - quantile(below)) * share
}

#[cfg(test)]
#[path = "tails_tests.rs"]
mod tests;

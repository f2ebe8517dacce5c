//! Estimates of run times, learned from completed tasks.

use std::collections::BTreeMap;
use std::time::Duration;

use celerywinch_types::LearnedQueue;

use crate::tails::Tails;

/// Weight of a new measurement in the moving mean: about the last forty tasks count.
const UPDATE_WEIGHT: f64 = 0.05;
/// Number of tasks below which the plain mean of all measurements is used.
const WARMUP_TASKS: f64 = 20.0;

/// Run times of one queue, as logarithms of ms.
#[derive(Clone, Copy, Debug, Default)]
struct QueueTimes {
    count: f64,
    /// Mean run time on a worker of average speed.
    took: f64,
    /// Mean ratio of run time to the callers' estimates.
    bias: f64,
}

/// Run times of all queues.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTimes {
    queues: BTreeMap<String, QueueTimes>,
}

impl RunTimes {
    /// Returns the expected run time of a task on a worker of average speed, given its caller's estimate in ms.
    ///
    /// An estimate is off by a factor that varies from job to job, and the run times of jobs vary as much. The geometric mean
    /// of the corrected estimate and the learned run time has half the variance of either.
    pub(crate) fn expected(&self, queue: &str, estimate: u32) -> Duration {
        let estimate = f64::from(estimate.max(1));
        let millis = match self.queues.get(queue) {
            Some(times) if times.count > 0.0 => {
                ((times.took + estimate.ln() + times.bias) / 2.0).exp()
            }
            _ => estimate,
        };
        Duration::from_secs_f64(millis / 1e3)
    }

    /// Returns whether enough tasks of a queue have ended for tasks of later steps to be compared with the expected time.
    pub(crate) fn is_settled(&self, queue: &str) -> bool {
        let times = self.queues.get(queue);
        times.is_some_and(|times| times.count >= 2.0 * WARMUP_TASKS)
    }

    /// Exports the learned run times and `tails`, for a successor.
    pub(crate) fn learned(&self, tails: &Tails) -> Vec<LearnedQueue> {
        let queues = self.queues.iter();
        let learned = queues.map(|(name, times)| LearnedQueue {
            name: name.clone(),
            count: times.count as f32,
            run_time: times.took as f32,
            bias: times.bias as f32,
            tail: tails.tail(name),
        });
        learned.collect()
    }

    /// Replaces run times by those that another dispatcher has learned.
    pub(crate) fn learn_from(&mut self, queues: Vec<LearnedQueue>) {
        for queue in queues {
            let times = QueueTimes {
                count: queue.count.into(),
                took: queue.run_time.into(),
                bias: queue.bias.into(),
            };
            self.queues.insert(queue.name, times);
        }
    }

    /// Records a run time, already divided by the pace of its worker.
    pub(crate) fn learn(&mut self, queue: &str, estimate: u32, took: Duration) {
        let times = self.queues.entry(queue.to_owned()).or_default();
        times.count += 1.0;
        let weight = if times.count < WARMUP_TASKS {
            1.0 / times.count
        } else {
            UPDATE_WEIGHT
        };
        let took = (took.as_secs_f64() * 1e3).max(1.0).ln();
        let estimate = f64::from(estimate.max(1)).ln();
        times.took += (took - times.took) * weight;
        times.bias += (took - estimate - times.bias) * weight;
    }
}

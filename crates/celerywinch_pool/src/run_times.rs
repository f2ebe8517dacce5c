//! Run times, learned from what tasks took.

use std::collections::BTreeMap;
use std::time::Duration;

use celerywinch_types::LearnedQueue;

/// How much a new measurement counts; about the last forty tasks decide.
const WEIGHT: f64 = 0.05;
/// Until so many tasks have ended, the mean counts their number.
const FEW: f64 = 20.0;

/// The run times of one queue, as logarithms of ms.
#[derive(Clone, Copy, Debug, Default)]
struct QueueTimes {
    count: f64,
    /// Of what tasks took on a usual worker.
    took: f64,
    /// Of that over what callers had guessed.
    bias: f64,
}

/// The run times of all queues.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTimes {
    queues: BTreeMap<String, QueueTimes>,
}

impl RunTimes {
    /// What a task should take on a usual worker.
    ///
    /// Guesses differ from the truth by a factor that differs from job to job, and jobs differ from
    /// each other by as much; the geometric mean of both sources halves the variance of either.
    pub(crate) fn expected(&self, queue: &str, guess: u32) -> Duration {
        let guess = f64::from(guess.max(1));
        let millis = match self.queues.get(queue) {
            Some(times) if times.count > 0.0 => {
                ((times.took + guess.ln() + times.bias) / 2.0).exp()
            }
            _ => guess,
        };
        Duration::from_secs_f64(millis / 1e3)
    }

    pub(crate) fn learned(&self) -> Vec<LearnedQueue> {
        let queues = self.queues.iter();
        let learned = queues.map(|(name, times)| LearnedQueue {
            name: name.clone(),
            count: times.count as f32,
            run_time: times.took as f32,
            bias: times.bias as f32,
        });
        learned.collect()
    }

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

    /// A task took so long, divided by its worker's pace.
    pub(crate) fn learn(&mut self, queue: &str, guess: u32, took: Duration) {
        let times = self.queues.entry(queue.to_owned()).or_default();
        times.count += 1.0;
        let weight = if times.count < FEW {
            1.0 / times.count
        } else {
            WEIGHT
        };
        let took = (took.as_secs_f64() * 1e3).max(1.0).ln();
        let guess = f64::from(guess.max(1)).ln();
        times.took += (took - times.took) * weight;
        times.bias += (took - guess - times.bias) * weight;
    }
}

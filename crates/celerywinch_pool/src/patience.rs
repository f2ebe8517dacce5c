//! How long the answer to an order is waited for.
//!
//! An order without an answer holds up its task, which may have a few tens of ms to spare. Workers answer
//! within 2 to 4 ms, but a dispatcher with an eighth of a core reads answers tens of ms late when
//! several requests come at once. So the wait follows what answers took, by the estimator that TCP uses
//! for its retransmission timer: the mean and four times the mean deviation.

use std::time::Duration;

/// How much a new answer counts in the mean and in the mean deviation, as in TCP.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
const DEVIATIONS: f64 = 4.0;
/// The least wait. To ask too early costs a look at the worker; 20 ms are five times what an answer takes
/// between data centres.
const LEAST: Duration = Duration::from_millis(20);

/// What the answers of a worker took.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Patience {
    /// Mean and mean deviation, in seconds; none before the first answer.
    known: Option<(f64, f64)>,
}

impl Patience {
    /// An answer took so long.
    pub(crate) fn learn(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let (mean, deviation) = match self.known {
            None => (took, took / 2.0),
            Some((mean, deviation)) => {
                let off = (took - mean).abs() - deviation;
                let mean = mean + (took - mean) * MEAN_WEIGHT;
                (mean, deviation + off * DEVIATION_WEIGHT)
            }
        };
        self.known = Some((mean, deviation));
    }

    /// How long to wait for the next one, `most` at the most and before anything is known.
    pub(crate) fn wait(&self, most: Duration) -> Duration {
        let Some((mean, deviation)) = self.known else {
            return most;
        };
        let wait = Duration::from_secs_f64(mean + DEVIATIONS * deviation);
        wait.max(LEAST).min(most)
    }
}

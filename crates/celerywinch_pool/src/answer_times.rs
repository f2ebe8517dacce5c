//! How long the answer to an order is waited for.
//!
//! An order without an answer holds up its task, which may have a few tens of ms to spare. Workers answer
//! within 2 to 4 ms, but a dispatcher with an eighth of a core reads answers tens of ms late when
//! several requests come at once. So the wait follows what answers took, by the estimator that TCP uses
//! for its retransmission timer: the mean, and here eight times the mean deviation, as a process that is
//! short of time reads many answers late at once: with four, one call in nine was given up at size.
//!
//! Where the path of the dispatcher itself is slow, all answers are late, also those of workers that were not called
//! lately. A wait that ends too early then feeds what makes it end too early: the order is asked after, stopped and
//! sent elsewhere, on new connections. With links of 2 Mbit/s that never ended, and 3% of the callers were
//! served. So the answers of all workers are counted together too, and those that come after their time
//! lengthen the wait for the next ones; those that never come do not.

use std::time::Duration;

/// How much a new answer counts in the mean and in the mean deviation, as in TCP.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
const DEVIATIONS: f64 = 8.0;
/// The least wait. A call that is given up too early costs its connection, and the worker gets nothing until
/// it has answered a look. With 20 ms (and 5 for what is not read yet) processes with an eighth of a
/// core gave up so many that their peak memory rose from 9 to 17 MB.
const MIN_TIMEOUT: Duration = Duration::from_millis(40);

/// What the answers of a worker took, or of all.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerTimes {
    /// Mean and mean deviation, in seconds; none before the first answer.
    known: Option<(f64, f64)>,
}

impl AnswerTimes {
    /// One that counts on quick answers before anything is known.
    pub(crate) fn zeroed() -> Self {
        Self {
            known: Some((0.0, 0.0)),
        }
    }

    /// An answer took so long.
    pub(crate) fn record(&mut self, took: Duration) {
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
    pub(crate) fn timeout(&self, most: Duration) -> Duration {
        let Some((mean, deviation)) = self.known else {
            return most;
        };
        let wait = Duration::from_secs_f64(mean + DEVIATIONS * deviation);
        wait.max(MIN_TIMEOUT).min(most)
    }
}

//! Timeouts of worker calls, derived from measured answer times.
//!
//! A start request without an answer delays its task, which may have only a few tens of ms to spare. Workers answer
//! within 2 to 4 ms, but a dispatcher with an eighth of a core reads answers tens of ms late when several requests come
//! at once. So the timeout follows the measured answer times, by the estimator that TCP uses for its retransmission
//! timer: the mean plus a multiple of the mean deviation. The multiple is eight here, since a process that is short of
//! CPU time reads many answers late at once: with four, one call in nine timed out at full size.
//!
//! If the network path of the dispatcher itself is slow, all answers are late, including those of workers that were not
//! called recently. A timeout that is too short then makes the congestion worse: the request is followed by a poll and
//! a stop and sent elsewhere, over new connections. With links of 2 Mbit/s the system did not recover, and 3% of the
//! callers were served. So the answer times of all workers are also recorded together, and answers that come after
//! their timeout lengthen the next timeouts. Answers that never come do not.

use std::time::Duration;

/// The weights of a new answer in the mean and in the mean deviation, as in TCP.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
const DEVIATIONS: f64 = 8.0;
/// The minimum timeout. A call that times out too early costs its connection, and the worker gets no tasks until it has
/// answered a poll. With 20 ms (and 5 ms for unread answers) processes with an eighth of a core timed out so many calls
/// that their peak memory rose from 9 to 17 MB.
const MIN_TIMEOUT: Duration = Duration::from_millis(40);

/// The answer times of one worker, or of all workers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerTimes {
    /// The mean and the mean deviation, in seconds; none before the first answer.
    known: Option<(f64, f64)>,
}

impl AnswerTimes {
    /// Returns an estimate that assumes immediate answers until one is recorded.
    pub(crate) fn zeroed() -> Self {
        Self {
            known: Some((0.0, 0.0)),
        }
    }

    /// Records the time that an answer took.
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

    /// Returns the timeout of the next call: at most `most`, which also applies before the first answer.
    pub(crate) fn timeout(&self, most: Duration) -> Duration {
        let Some((mean, deviation)) = self.known else {
            return most;
        };
        let wait = Duration::from_secs_f64(mean + DEVIATIONS * deviation);
        wait.max(MIN_TIMEOUT).min(most)
    }
}

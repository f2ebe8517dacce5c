//! Learned run times of a kind; declared ones are only a start, they are often far off.

use std::time::Duration;

use celerywinch_types::Time;
use hdrhistogram::Histogram;

/// How long a generation of measurements is collected before it replaces the one before.
const GENERATION: Duration = Duration::from_secs(10);
/// How many measurements outweigh the declared run time.
const ENOUGH: u64 = 20;
/// Run times from 0.1 ms to 60 s are told apart, in microseconds.
const LOW: u64 = 100;
const HIGH: u64 = 60_000_000;
/// The shortest run time that is believed while nothing is learned, against the declared one.
const DECLARED_FLOOR: u32 = 10;

/// The distribution of a kind's run times over the last seconds.
#[derive(Debug)]
pub struct Estimate {
    declared: Duration,
    recent: Histogram<u32>,
    before: Histogram<u32>,
    since: Time,
}

impl Estimate {
    /// Starts from the declared run time.
    #[must_use]
    pub fn new(declared: Duration) -> Self {
        let empty = || Histogram::new_with_bounds(LOW, HIGH, 2).expect("the bounds are constants");
        Self {
            declared,
            recent: empty(),
            before: empty(),
            since: Time::default(),
        }
    }

    /// Takes a measured run time.
    pub fn record(&mut self, now: Time, run: Duration) {
        if now.since(self.since) > GENERATION && self.recent.len() >= ENOUGH {
            std::mem::swap(&mut self.recent, &mut self.before);
            self.recent.reset();
            self.since = now;
        }
        let micros = u64::try_from(run.as_micros()).unwrap_or(HIGH);
        self.recent.saturating_record(micros.clamp(LOW, HIGH));
    }

    /// The run time that a share `q` of the tasks stays below.
    #[must_use]
    pub fn quantile(&self, q: f64) -> Duration {
        match self.learned() {
            Some(histogram) => Duration::from_micros(histogram.value_at_quantile(q)),
            None if q < 0.5 => self.declared / DECLARED_FLOOR,
            None => self.declared,
        }
    }

    /// The mean run time.
    #[must_use]
    pub fn mean(&self) -> Duration {
        match self.learned() {
            Some(histogram) => Duration::from_secs_f64(histogram.mean() / 1e6),
            None => self.declared,
        }
    }

    fn learned(&self) -> Option<&Histogram<u32>> {
        let generations = [&self.before, &self.recent];
        generations.into_iter().find(|h| h.len() >= ENOUGH)
    }
}

//! Measured run times of a kind. Declared run times are often far off and are used only until enough runs are measured.

use std::time::Duration;

use celerywinch_types::Time;
use hdrhistogram::Histogram;

/// How long a generation of measurements is collected, at least, before it replaces the previous one.
const GENERATION_LENGTH: Duration = Duration::from_secs(10);
/// Number of measurements from which on they replace the declared run time.
const MIN_SAMPLES: u64 = 20;
/// Bounds of the run times that the histogram distinguishes, in microseconds: 0.1 ms to 60 s.
const MIN_RUN_US: u64 = 100;
const MAX_RUN_US: u64 = 60_000_000;
/// Divisor of the declared run time for low quantiles, as long as there are too few measurements.
const DECLARED_DIVISOR: u32 = 10;

/// The distribution of a kind's recent run times.
#[derive(Debug)]
pub struct Estimate {
    declared: Duration,
    recent: Histogram<u32>,
    previous: Histogram<u32>,
    /// When the recent generation began.
    started: Time,
}

impl Estimate {
    /// Creates an estimate from the declared run time.
    #[must_use]
    pub fn new(declared: Duration) -> Self {
        let empty = || {
            Histogram::new_with_bounds(MIN_RUN_US, MAX_RUN_US, 2).expect("the bounds are constants")
        };
        Self {
            declared,
            recent: empty(),
            previous: empty(),
            started: Time::default(),
        }
    }

    /// Records a measured run time.
    pub fn record(&mut self, now: Time, run: Duration) {
        if now.since(self.started) > GENERATION_LENGTH && self.recent.len() >= MIN_SAMPLES {
            std::mem::swap(&mut self.recent, &mut self.previous);
            self.recent.reset();
            self.started = now;
        }
        let micros = u64::try_from(run.as_micros()).unwrap_or(MAX_RUN_US);
        self.recent
            .saturating_record(micros.clamp(MIN_RUN_US, MAX_RUN_US));
    }

    /// Returns the quantile `q` of the run times.
    #[must_use]
    pub fn quantile(&self, q: f64) -> Duration {
        match self.learned() {
            Some(histogram) => Duration::from_micros(histogram.value_at_quantile(q)),
            None if q < 0.5 => self.declared / DECLARED_DIVISOR,
            None => self.declared,
        }
    }

    /// Returns the mean run time.
    #[must_use]
    pub fn mean(&self) -> Duration {
        match self.learned() {
            Some(histogram) => Duration::from_secs_f64(histogram.mean() / 1e6),
            None => self.declared,
        }
    }

    fn learned(&self) -> Option<&Histogram<u32>> {
        let generations = [&self.previous, &self.recent];
        generations.into_iter().find(|h| h.len() >= MIN_SAMPLES)
    }
}

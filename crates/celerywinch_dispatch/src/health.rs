//! Which endpoints are set aside because they fail, or used less because they are slow.

use std::time::Duration;

use celerywinch_types::Time;

/// How long an endpoint is set aside after a failure; each further time doubles it.
///
/// An endpoint that fails every task at once looks the least loaded and draws all the work, and
/// every task that it fails costs a whole job, so one failure is enough: what the task itself is to
/// blame for does not come here, nor does what fails everywhere. One that failed by chance is back
/// after a moment.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// The longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(30);
/// Successes after which an endpoint on probation is trusted again.
const SUCCESSES: u32 = 3;
/// Weight of a new measurement of slowness.
const SLOW_WEIGHT: f64 = 0.2;
/// After this span without a run, an endpoint's slowness is forgotten by half.
const SLOW_HALF_LIFE: Duration = Duration::from_secs(10);
/// From this factor over its peers on, an endpoint counts as slow.
pub(crate) const SLOW: f64 = 2.5;

/// What happened to an endpoint's standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// It gets no work until its pause is over.
    Quarantined,
    /// It is trusted again.
    Restored,
}

/// The life cycle of trust in an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trust {
    Good,
    Quarantined { until: Time },
    Probation { successes: u32 },
}

/// The standing of one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    trust: Trust,
    failures: u32,
    pauses: u32,
    slowness: f64,
    measured: Time,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            trust: Trust::Good,
            failures: 0,
            pauses: 0,
            slowness: 1.0,
            measured: Time::default(),
        }
    }
}

impl Health {
    /// Takes a success; `ratio` is its run time over the median of its kind.
    pub fn success(&mut self, now: Time, ratio: f64) -> Option<HealthChange> {
        self.failures = 0;
        self.end_pause(now);
        self.slow(now, ratio);
        match self.trust {
            Trust::Probation { successes } if successes + 1 >= SUCCESSES => {
                self.trust = Trust::Good;
                self.pauses = 0;
                Some(HealthChange::Restored)
            }
            Trust::Probation { successes } => {
                self.trust = Trust::Probation {
                    successes: successes + 1,
                };
                None
            }
            Trust::Good | Trust::Quarantined { .. } => None,
        }
    }

    /// Takes a run time over the median of its kind.
    pub fn slow(&mut self, now: Time, ratio: f64) {
        self.slowness = self.slowness(now) * (1.0 - SLOW_WEIGHT) + ratio * SLOW_WEIGHT;
        self.measured = now;
    }

    /// Takes a failure. `blame` is false where the whole kind or too many endpoints fail: setting
    /// yet another aside would only drown the rest.
    pub fn failure(&mut self, now: Time, blame: bool) -> Option<HealthChange> {
        self.failures += 1;
        self.end_pause(now);
        if !blame || matches!(self.trust, Trust::Quarantined { .. }) {
            return None;
        }
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(self.pauses.min(8));
        self.trust = Trust::Quarantined {
            until: now + pause.min(LONGEST_PAUSE),
        };
        self.pauses += 1;
        Some(HealthChange::Quarantined)
    }

    /// How many tasks the endpoint may have at once, of `share`.
    ///
    /// After its pause it is probed with one real task at a time.
    #[must_use]
    pub fn allowance(&self, now: Time, share: u16) -> u16 {
        match self.trust {
            Trust::Good => share,
            Trust::Quarantined { until } if until > now => 0,
            Trust::Quarantined { .. } | Trust::Probation { .. } => share.min(1),
        }
    }

    fn end_pause(&mut self, now: Time) {
        if matches!(self.trust, Trust::Quarantined { until } if until <= now) {
            self.trust = Trust::Probation { successes: 0 };
        }
    }

    /// Whether it is set aside or on probation.
    #[must_use]
    pub fn suspended(&self) -> bool {
        self.trust != Trust::Good
    }

    /// The last tasks failed, so others go first.
    #[must_use]
    pub fn doubtful(&self) -> bool {
        self.failures > 0 || self.suspended()
    }

    /// Its run times over its peers', forgotten by half every ten seconds without a run.
    #[must_use]
    pub fn slowness(&self, now: Time) -> f64 {
        let idle = now.since(self.measured).as_secs_f64() / SLOW_HALF_LIFE.as_secs_f64();
        1.0 + (self.slowness - 1.0) * 0.5_f64.powf(idle.floor())
    }
}

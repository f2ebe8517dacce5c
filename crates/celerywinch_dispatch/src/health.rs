//! Endpoint health: failing endpoints are quarantined, slow ones are used less.

use std::time::Duration;

use celerywinch_types::Time;

/// How long an endpoint is quarantined after a failure; doubled each further time.
///
/// An endpoint that fails every task at once looks the least loaded and attracts all the work, and each failed task costs
/// a whole job, so one failure is enough. Failures caused by the task itself, or seen at all endpoints, are not attributed
/// to the endpoint. An endpoint that failed by chance is back after this short time.
const MIN_QUARANTINE: Duration = Duration::from_millis(500);
/// The longest quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(30);
/// Number of successes after which an endpoint on probation is healthy again.
const PROBATION_SUCCESSES: u32 = 3;
/// Weight of a new run in the moving average of the slowness.
const SLOWNESS_WEIGHT: f64 = 0.2;
/// Time without a run after which the slowness of an endpoint is halved.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(10);
/// Slowness from which on an endpoint counts as slow: its run times over the median of their kinds.
pub(crate) const SLOW_FACTOR: f64 = 2.5;

/// A change of an endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// It gets no work until its quarantine is over.
    Quarantined,
    /// It is healthy again.
    Restored,
}

/// The health states of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Healthy,
    Quarantined { until: Time },
    Probation { successes: u32 },
}

/// The health of one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    state: State,
    failures: u32,
    quarantines: u32,
    slowness: f64,
    updated: Time,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            state: State::Healthy,
            failures: 0,
            quarantines: 0,
            slowness: 1.0,
            updated: Time::default(),
        }
    }
}

impl Health {
    /// Records a success; `ratio` is its run time over the median of its kind.
    pub fn record_success(&mut self, now: Time, ratio: f64) -> Option<HealthChange> {
        self.failures = 0;
        self.start_probation(now);
        self.record_slowness(now, ratio);
        match self.state {
            State::Probation { successes } if successes + 1 >= PROBATION_SUCCESSES => {
                self.state = State::Healthy;
                self.quarantines = 0;
                Some(HealthChange::Restored)
            }
            State::Probation { successes } => {
                self.state = State::Probation {
                    successes: successes + 1,
                };
                None
            }
            State::Healthy | State::Quarantined { .. } => None,
        }
    }

    /// Records a run time, as its ratio to the median of its kind.
    pub fn record_slowness(&mut self, now: Time, ratio: f64) {
        self.slowness = self.slowness(now) * (1.0 - SLOWNESS_WEIGHT) + ratio * SLOWNESS_WEIGHT;
        self.updated = now;
    }

    /// Records a failure. `may_quarantine` is false if the whole kind or too many endpoints fail: another quarantine would only
    /// overload the remaining endpoints.
    pub fn record_failure(&mut self, now: Time, may_quarantine: bool) -> Option<HealthChange> {
        self.failures += 1;
        self.start_probation(now);
        if !may_quarantine || matches!(self.state, State::Quarantined { .. }) {
            return None;
        }
        let quarantine = MIN_QUARANTINE * 2_u32.saturating_pow(self.quarantines.min(8));
        self.state = State::Quarantined {
            until: now + quarantine.min(MAX_QUARANTINE),
        };
        self.quarantines += 1;
        Some(HealthChange::Quarantined)
    }

    /// Returns how many of `share` slots may be in use at once.
    ///
    /// After its quarantine an endpoint gets one task at a time until it is healthy again.
    #[must_use]
    pub fn allowance(&self, now: Time, share: u16) -> u16 {
        match self.state {
            State::Healthy => share,
            State::Quarantined { until } if until > now => 0,
            State::Quarantined { .. } | State::Probation { .. } => share.min(1),
        }
    }

    fn start_probation(&mut self, now: Time) {
        if matches!(self.state, State::Quarantined { until } if until <= now) {
            self.state = State::Probation { successes: 0 };
        }
    }

    /// Whether it is quarantined or on probation.
    #[must_use]
    pub fn is_suspended(&self) -> bool {
        self.state != State::Healthy
    }

    /// Whether its last task failed or it is suspended; other endpoints are preferred to it.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.failures > 0 || self.is_suspended()
    }

    /// Returns its run times over the median of their kinds, as a moving average; the part above 1 is halved for every
    /// ten seconds without a run.
    #[must_use]
    pub fn slowness(&self, now: Time) -> f64 {
        let idle = now.since(self.updated).as_secs_f64() / SLOWNESS_HALF_LIFE.as_secs_f64();
        1.0 + (self.slowness - 1.0) * 0.5_f64.powf(idle.floor())
    }
}

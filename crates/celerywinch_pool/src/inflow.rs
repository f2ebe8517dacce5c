//! The rate at which work arrives, by priority.
//!
//! A job waits for the work ahead of it and for all work of higher priority that arrives meanwhile. An admission
//! that counts only the work ahead accepts jobs of low priority in a burst and gives up most of them a second later, after
//! their callers have waited in vain.

use std::time::Duration;

use celerywinch_types::Time;

/// Time constant of the exponential decay: shorter than a burst, longer than the gaps between jobs.
const DECAY_TIME: Duration = Duration::from_millis(500);
/// Number of priorities that are counted separately.
const PRIORITIES: usize = 4;

/// A sum of accepted work that decays exponentially, in thousandths of a core times ms.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSum {
    work: f64,
    at: Time,
}

impl DecayingSum {
    fn decayed(&self, now: Time) -> f64 {
        let age = now.since(self.at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        self.work * (-age).exp()
    }
}

/// Arrival rates of work by priority.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Inflow {
    accepted: [DecayingSum; PRIORITIES],
}

impl Inflow {
    /// Records accepted work, in thousandths of a core times ms.
    pub(crate) fn add(&mut self, now: Time, priority: u8, work: f64) {
        let sum = &mut self.accepted[usize::from(priority).min(PRIORITIES - 1)];
        sum.work = sum.decayed(now) + work;
        sum.at = now;
    }

    /// Returns the current arrival rate of work of higher priority, in thousandths of a core.
    pub(crate) fn rate_above(&self, now: Time, priority: u8) -> f64 {
        let higher = self.accepted.iter().take(usize::from(priority));
        let work: f64 = higher.map(|sum| sum.decayed(now)).sum();
        work / (DECAY_TIME.as_secs_f64() * 1e3)
    }
}

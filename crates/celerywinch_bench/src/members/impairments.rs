//! Impairments of a share of the workers for some time.

use std::time::Duration;

use celerywinch_standin::Health;
use celerywinch_types::Time;

use super::world::{Event, World};

/// How workers are impaired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Impairment {
    /// Their tasks take this many times as long.
    Slow(u32),
    /// They crash and start again by turns; the time that they are down, and up, in ms.
    Flapping(u64),
}

/// An impairment of some workers for some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ImpairmentPlan {
    /// Start, in ms.
    pub start_ms: u64,
    /// End, in ms.
    pub end_ms: u64,
    /// The workers in a hundred that are impaired.
    pub percent: u32,
    /// How they are impaired.
    pub kind: Impairment,
}

impl ImpairmentPlan {
    fn end(&self) -> Time {
        Time(self.end_ms * 1_000)
    }
}

impl World {
    /// Schedules the start of an impairment.
    pub(crate) fn plan_impairment(&mut self, plan: ImpairmentPlan) {
        let percent = plan.percent as usize;
        for index in 0..self.workers.len() {
            // Spreads the impaired workers over all.
            if index * percent % 100 < percent {
                self.schedule(Time(plan.start_ms * 1_000), Event::Impair(index, plan));
            }
        }
    }

    pub(crate) fn impair(&mut self, index: usize, plan: ImpairmentPlan) {
        match plan.kind {
            Impairment::Slow(factor) => {
                let lasts = plan.end().since(self.now);
                self.set_health(index, Health::Healthy(factor.into()), lasts);
            }
            Impairment::Flapping(half_ms) => {
                let half = Duration::from_millis(half_ms);
                self.crash_worker(index, half);
                let next = self.now + half * 2;
                if next < plan.end() {
                    self.schedule(next, Event::Impair(index, plan));
                }
            }
        }
    }
}

//! The share of the workers' processors that placement fills: what remains of a worker may be too small for any task.

use std::time::Duration;

use celerywinch_types::{Mechanism, Time};

use crate::job::Batch;
use crate::pool::Pool;
use crate::queue::Entry;
use crate::worker::{Ownership, Worker};

/// The share that is assumed before any is observed.
const INITIAL_SHARE: f64 = 0.85;
/// Range of the learned share. Below it, tasks wait for something else than processors; above it, any rest of a worker would
/// have to be used.
const SHARE_RANGE: (f64, f64) = (0.5, 0.95);
/// Time constant of the exponential decay: many run times of the longest tasks.
const DECAY_TIME: Duration = Duration::from_secs(5);
/// The longest time for which an observation counts. The next one comes with the next input, at the latest with a tick.
const MAX_SPAN: Duration = Duration::from_millis(100);

/// Mean share of the processors in use while tasks wait for some.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Packing {
    share: f64,
    /// The last observation, if tasks waited.
    observed: Option<(Time, f64)>,
}

impl Default for Packing {
    fn default() -> Self {
        Self {
            share: INITIAL_SHARE,
            observed: None,
        }
    }
}

impl Packing {
    /// Records the share in use from now on, or that no task waits for processors.
    pub(crate) fn observe(&mut self, now: Time, used: Option<f64>) {
        if let Some((since, used)) = self.observed {
            let span = now.since(since).min(MAX_SPAN);
            let weight = 1.0 - (-span.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
            self.share += (used - self.share) * weight;
        }
        self.observed = used.map(|used| (now, used.clamp(SHARE_RANGE.0, SHARE_RANGE.1)));
    }

    /// Returns the mean share.
    pub(crate) fn share(&self) -> f64 {
        self.share
    }
}

impl Pool {
    /// Returns the share of the processors of usable workers that placement can fill, 0 to 1.
    #[must_use]
    pub fn packing_share(&self) -> f64 {
        if self.config.disabled.contains(Mechanism::Efficiency) {
            INITIAL_SHARE
        } else {
            self.packing.share()
        }
    }

    /// Observes the use of the workers after placement. `blocked` is a step whose tasks found no worker.
    pub(crate) fn observe_packing(&mut self, now: Time, blocked: Option<Entry>) {
        let batch = blocked.map(|entry| self.batch_of(entry));
        // A step that may use some workers only says nothing about the use of the others.
        let batch = batch.filter(|b| b.order.label.is_none() && b.order.spread.is_none());
        let used = batch.and_then(|batch| self.share_in_use(now, batch));
        self.packing.observe(now, used);
    }

    /// Returns the share in use of the workers that may take tasks of a batch. None while workers are being taken over, do not
    /// answer or are evacuated: what is free then shows nothing about placement.
    fn share_in_use(&self, now: Time, batch: &Batch) -> Option<f64> {
        let mine = |worker: &&Worker| self.owned.contains_key(&worker.domain);
        let changing = |worker: &Worker| {
            worker.ownership == Ownership::Acquiring
                || worker.missed_calls > 0
                || worker.foreign_runs > 0
                || self.evacuated.contains(&worker.announcement.dc)
        };
        if self.workers.values().filter(mine).any(changing) {
            return None;
        }
        let usable = self.workers.values().filter(|worker| {
            self.accepts_tasks(now, worker) && batch.is_offered_by(&worker.announcement)
        });
        let (used, total) = usable.fold((0.0, 0.0), |(used, total), worker| {
            let speed = 1.0 / worker.pace.max(1.0);
            let capacity = worker.announcement.capacity.cpu;
            (
                used + f64::from(capacity - worker.free().cpu.min(capacity)) * speed,
                total + f64::from(capacity) * speed,
            )
        });
        (total > 0.0).then(|| used / total)
    }
}

#[cfg(test)]
#[path = "packing_tests.rs"]
mod tests;

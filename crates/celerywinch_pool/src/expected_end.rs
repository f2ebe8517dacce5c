//! Placement on workers of different speed: by the expected end of a task, and by what is left for others.

use std::time::Duration;

use celerywinch_types::{Mechanism, Time};

use crate::job::Batch;
use crate::pool::Pool;
use crate::worker::{Ownership, Worker, WorkerKey};

/// Workers differ in speed if the quartiles of their paces, as logarithms, differ by this much. The variation of run times
/// makes the learned paces of equal workers differ by less.
const MIN_PACE_RANGE: f64 = 0.4;
/// The number of results from which a worker's pace counts as known.
const KNOWN_RESULTS: u32 = 4;
/// The number of workers of known pace without which their spread is not known.
const KNOWN_WORKERS: usize = 3;
/// The share by which a worker without results is assumed to be slower than its pace; it falls with each result.
const UNKNOWN_SLOWER: f64 = 0.5;
/// A task ends in time for certain if it does even if its worker is slower by this factor: learned paces are off by a tenth,
/// and a step ends with the slowest of its tasks.
const PACE_MARGIN: f64 = 1.25;
/// Time for the messages of a task.
const MESSAGE_TIME: Duration = Duration::from_millis(20);
/// Cost of the speed of a worker, in shares of a worker left empty: tasks that end in time anywhere leave fast workers to
/// those that do not.
const SPEED_COST: f64 = 0.5;
/// Cost of a worker on which a task may end too late, and of one on which it does, in shares of a worker left empty.
const RISK_COST: f64 = 4.0;
const LATE_COST: f64 = 10.0;
/// Cost of a worker per unit of its pace for tasks that are late or nearly so, in shares of a worker left empty.
const PACE_COST: f64 = 2.0;
/// Waiting for a faster worker must be worth it even if it takes this many times as long as expected.
const WAIT_MARGIN: u32 = 2;
/// The least time that a run is expected to take yet, as a share of its run time.
const MIN_REMAINING: f64 = 0.1;

/// When a task would end, compared with its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    InTime,
    Risky,
    Late,
}

impl Pool {
    /// Updates whether the workers differ in speed.
    pub(crate) fn compare_paces(&mut self) {
        let known = |worker: &&Worker| {
            worker.ownership == Ownership::Owned && worker.results >= KNOWN_RESULTS
        };
        let workers = self.workers.values().filter(known);
        let mut paces: Vec<f64> = workers.map(|worker| worker.pace.ln()).collect();
        paces.sort_by(f64::total_cmp);
        // Quartiles, as the few workers that turn slow for some time do not make a deployment uneven.
        let quartile = |number: usize| paces.get(paces.len() * number / 4);
        let range = quartile(3).zip(quartile(1)).map_or(0.0, |(q3, q1)| q3 - q1);
        let disabled = self.config.disabled.contains(Mechanism::ExpectedEnd);
        let differ = paces.len() >= KNOWN_WORKERS && range >= MIN_PACE_RANGE;
        self.uneven = !disabled && differ;
    }

    /// Returns when a task that starts after `wait` is expected to end on a worker, compared with its objective.
    fn end_on(&self, now: Time, batch: &Batch, worker: &Worker, wait: Duration) -> End {
        let run_time = expected_on(batch, worker);
        let end = |run_time| now + wait + MESSAGE_TIME + run_time;
        if end(run_time.mul_f64(PACE_MARGIN)) <= batch.due {
            End::InTime
        } else if end(run_time) <= batch.due {
            End::Risky
        } else {
            End::Late
        }
    }

    /// Returns the cost of a worker for a task by its expected end. `empty` is the share of the worker that is left empty.
    pub(crate) fn expected_end_cost(
        &self,
        now: Time,
        batch: &Batch,
        worker: &Worker,
        empty: f64,
    ) -> f64 {
        let pace = cautious_pace(worker);
        match self.end_on(now, batch, worker, Duration::ZERO) {
            End::InTime => empty + SPEED_COST / pace,
            End::Risky => empty + RISK_COST + PACE_COST * pace,
            End::Late => empty + LATE_COST + PACE_COST * pace,
        }
    }

    /// Returns whether a task that would be late on the best free worker waits for a faster one, on which it is expected to
    /// end in time. It never waits past its objective.
    pub(crate) fn awaits_faster(&self, now: Time, batch: &Batch, best: WorkerKey) -> bool {
        let here = &self.workers[best];
        if !self.uneven || self.end_on(now, batch, here, Duration::ZERO) != End::Late {
            return false;
        }
        self.workers.iter().any(|(key, worker)| {
            key != best
                && cautious_pace(worker) < cautious_pace(here)
                && self.accepts_tasks(now, worker)
                && batch.is_offered_by(&worker.announcement)
                && self.free_after(now, batch, worker).is_some_and(|wait| {
                    self.end_on(now, batch, worker, wait * WAIT_MARGIN) != End::Late
                })
        })
    }

    /// Returns the time until a worker is expected to have room for a task of the batch.
    fn free_after(&self, now: Time, batch: &Batch, worker: &Worker) -> Option<Duration> {
        let mut free = worker.free();
        let runs = worker.runs.iter().map(|run| &self.runs[*run]);
        let mut ends: Vec<_> = runs
            .map(|run| {
                let remaining = (run.started + run.expected).since(now);
                (remaining.max(run.expected.mul_f64(MIN_REMAINING)), run.need)
            })
            .collect();
        ends.sort_by_key(|(remaining, _)| *remaining);
        let mut wait = Duration::ZERO;
        for (remaining, need) in ends {
            if free.fits(batch.order.need) {
                break;
            }
            free = free.saturating_add(need);
            wait = remaining;
        }
        free.fits(batch.order.need).then_some(wait)
    }
}

/// Returns the pace of a worker, raised while it rests on few results.
fn cautious_pace(worker: &Worker) -> f64 {
    worker.pace * (1.0 + UNKNOWN_SLOWER / f64::from(worker.results + 1))
}

/// Returns the expected run time of a task of the batch on a worker.
fn expected_on(batch: &Batch, worker: &Worker) -> Duration {
    let factor = crate::place::rack_factor(batch, worker);
    batch.expected.mul_f64(cautious_pace(worker) * factor)
}

//! Refusing at once what cannot end in time.

use std::time::Duration;

use celerywinch_types::{Domain, Load, Mechanism, TaskEnd, TaskReport, Time};

use crate::PoolEvent;
use crate::job::{Batch, BatchKey, TaskState};
use crate::pool::{Output, Pool};

/// The share of the processors that placement can fill: what remains on a worker is often too
/// small for one more task.
const PACKING: f64 = 0.85;
/// The share of the processors that is counted on for work of low priority however much comes above
/// it: what runs out at that moment.
const LEFT_FOR_LOW: f64 = 0.1;
/// A caller is told to come back when the work ahead of it is done, at least after this, ms.
const LEAST_RETRY_MS: u32 = 100;
/// Retry delay given to callers while all workers of a service are in evacuated data centres, ms.
const EVACUATED_RETRY_MS: u32 = 1_000;
/// Priorities that are told apart in the load that is told to others.
const PRIORITIES: u8 = 3;
/// Thousandths of a core of a usual task, before any was seen.
const USUAL_CPU: u32 = 8_000;

impl Pool {
    /// Thousandths of a core that work can be placed on. Includes workers that are being taken over, so
    /// that jobs are not refused before the first of them has answered.
    fn capacity(&self, now: Time) -> f64 {
        let workers = self.workers.values();
        let sound =
            workers.filter(|w| self.accepts_tasks(now, w) || self.accepts_after_takeover(w));
        let speed = |w: &crate::worker::Worker| f64::from(w.note.capacity.cpu) / w.pace.max(1.0);
        sound.map(speed).sum::<f64>() * PACKING
    }

    /// Ms until all that is ahead, and `own` work, could be done, if `coming` work comes before it
    /// each ms.
    fn wait_ms(
        &self,
        now: Time,
        ahead: impl Iterator<Item = BatchKey>,
        own: f64,
        coming: f64,
    ) -> u32 {
        let ahead: f64 = ahead.map(|key| self.batches[key].waiting_work()).sum();
        let whole = self.capacity(now);
        let capacity = (whole - coming).max(whole * LEFT_FOR_LOW);
        if ahead + own <= 0.0 {
            return 0;
        }
        if capacity <= 0.0 {
            return self.config.lease.as_millis() as u32;
        }
        ((ahead + own) / capacity) as u32
    }

    /// Whether a service has workers and all of them are in evacuated data centres.
    fn all_evacuated(&self, service: &str) -> bool {
        if self.evacuated.is_empty() {
            return false;
        }
        let workers = self.workers.values();
        let mut workers = workers.filter(|w| w.note.service == service).peekable();
        workers.peek().is_some() && workers.all(|w| self.evacuated.contains(&w.note.dc))
    }

    /// How many tasks could start at once.
    fn places(&self, now: Time, batch: &Batch) -> usize {
        let workers = self
            .workers
            .iter()
            .filter(|(_, w)| self.accepts_tasks(now, w));
        let fitting = workers.filter(|(key, worker)| self.suits(batch, *key, worker));
        let cpu = batch.order.need.cpu.max(1);
        fitting.map(|(_, w)| (w.free().cpu / cpu) as usize).sum()
    }

    /// Refuses a new job that could not end within its objective because of the work ahead of it.
    /// What has room is never refused.
    pub(crate) fn refuse_new(
        &mut self,
        now: Time,
        batch: &Batch,
        tasks: usize,
        out: &mut Vec<Output>,
    ) -> bool {
        let without = self.config.disabled;
        let room = self.queue.is_empty() && self.places(now, batch) >= tasks;
        if room || without.contains(Mechanism::Admission) {
            return false;
        }
        if self.all_evacuated(&batch.order.service) {
            self.refuse(now, batch, EVACUATED_RETRY_MS, out);
            return true;
        }
        let rank = self.rank(BatchKey::default(), batch);
        let coming = if without.contains(Mechanism::Inflow) {
            0.0
        } else {
            self.inflow.above(now, batch.order.priority)
        };
        let own = batch.work_of(tasks);
        let wait = self.wait_ms(now, self.queue.ahead(rank), own, coming);
        if fits(now, batch, wait) {
            out.push(Output::Event(PoolEvent::Queued {
                job: batch.order.job,
                origin: batch.origin,
                tasks,
                wait,
            }));
            return false;
        }
        self.refuse(now, batch, wait, out);
        true
    }

    fn refuse(&mut self, now: Time, batch: &Batch, wait: u32, out: &mut Vec<Output>) {
        let later = if self.config.disabled.contains(Mechanism::RetryTime) {
            LEAST_RETRY_MS
        } else {
            wait.max(LEAST_RETRY_MS)
        };
        out.push(Output::Event(PoolEvent::Refused {
            job: batch.order.job,
            wait,
            expected: batch.expected.as_millis() as u32,
            left: batch.due.since(now).as_millis() as u32,
        }));
        let news = TaskReport {
            task: batch.task_id(0),
            submission: 0,
            end: TaskEnd::Refused(later),
        };
        out.push(Output::Send(
            batch.origin,
            celerywinch_types::WorkMsg::Ended(vec![news]),
        ));
    }

    /// Refuses jobs of which nothing has run and which can no longer end in time. Their callers are
    /// told at once, and the room goes to those that can. While all workers of a service are in evacuated data
    /// centres, its waiting jobs that may have run are given up as well, as unsure.
    pub(crate) fn shed(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.config.disabled.contains(Mechanism::Shedding) {
            return;
        }
        for key in self.queue.keys() {
            let batch = &self.batches[key];
            let untouched = batch.tasks.values().all(|t| t.state == TaskState::Waiting);
            if !untouched {
                continue;
            }
            let evacuated = self.all_evacuated(&batch.order.service);
            if batch.started {
                if evacuated {
                    self.give_up_unplaced(now, key);
                }
                continue;
            }
            let wait = if evacuated {
                EVACUATED_RETRY_MS
            } else if fits(now, batch, 0) {
                continue;
            } else {
                self.wait_ms(now, self.queue.ahead(self.rank(key, batch)), 0.0, 0.0)
            };
            let batch = batch.clone();
            self.refuse(now, &batch, wait, out);
            self.drop_batch(now, key, out);
        }
    }

    /// Gives up the waiting tasks of a job that may have run.
    fn give_up_unplaced(&mut self, now: Time, key: BatchKey) {
        self.dequeue(key);
        let indices: Vec<u16> = self.batches[key].tasks.keys().copied().collect();
        for index in indices {
            self.finish_task(now, key, index, TaskEnd::Unplaced);
        }
    }

    /// The room of a domain, for others to choose where to hand work in.
    #[must_use]
    pub fn load(&self, now: Time, domain: Domain) -> Load {
        let cpu = self.usual_cpu();
        let workers = self.workers.values().filter(|w| w.domain == domain);
        let free = workers
            .filter(|worker| self.accepts_tasks(now, worker))
            .map(|worker| worker.free().cpu / cpu)
            .sum();
        let mut wait = [0; PRIORITIES as usize];
        for (priority, wait) in (0..PRIORITIES).zip(&mut wait) {
            *wait = self.wait_ms(now, self.queue.up_to(priority), 0.0, 0.0);
        }
        Load { free, wait }
    }

    fn usual_cpu(&self) -> u32 {
        let runs = self.runs.values().map(|run| run.need.cpu);
        let (sum, count) = runs.fold((0u64, 0u64), |(s, c), cpu| (s + u64::from(cpu), c + 1));
        let mean = sum.checked_div(count).unwrap_or(u64::from(USUAL_CPU));
        u32::try_from(mean).unwrap_or(USUAL_CPU).max(1)
    }
}

/// Whether a batch that starts after `wait` ms ends within its objective.
fn fits(now: Time, batch: &Batch, wait: u32) -> bool {
    let end = now + Duration::from_millis(wait.into()) + batch.expected;
    end <= batch.due
}

//! Admission control: refuses jobs that cannot end within their objective.

use std::time::Duration;

use celerywinch_types::{
    Domain, Load, Mechanism, SubmissionNumber, TaskEnd, TaskOrder, TaskReport, Time, WorkMsg,
};

use crate::PoolEvent;
use crate::job::{Batch, BatchKey, TaskState};
use crate::pool::{Output, Pool};
use crate::queue::Entry;

/// The share of the processors that counts as available to work of low priority, however much work of higher priority
/// arrives: the capacity that ending runs free at that moment.
const MIN_LOW_SHARE: f64 = 0.1;
/// The shortest retry delay that a refused caller gets, in ms. Otherwise it gets the time until the work ahead is done.
const MIN_RETRY_MS: u32 = 100;
/// Number of priorities that are reported separately in the load of a domain.
pub(crate) const PRIORITIES: u8 = 3;
/// The assumed need of a task while nothing runs, in thousandths of a core.
const DEFAULT_MILLICORES: u32 = 8_000;

impl Pool {
    /// Returns the capacity on which work can be placed, in thousandths of a core. It includes workers that are being taken
    /// over, so that jobs are not refused before the first of them has answered.
    fn capacity(&self, now: Time) -> f64 {
        let workers = self.workers.values();
        let usable =
            workers.filter(|w| self.accepts_tasks(now, w) || self.accepts_after_takeover(w));
        let speed =
            |w: &crate::worker::Worker| f64::from(w.announcement.capacity.cpu) / w.pace.max(1.0);
        usable.map(speed).sum::<f64>() * self.packing_share()
    }

    /// Estimates the time in ms until the waiting work of the entries `ahead` and `new_work` is done, while `inflow_rate` work
    /// of higher priority arrives each ms.
    pub(crate) fn wait_ms(
        &self,
        now: Time,
        ahead: impl Iterator<Item = Entry>,
        new_work: f64,
        inflow_rate: f64,
    ) -> u32 {
        let ahead: f64 = ahead.map(|entry| self.waiting_work(entry)).sum();
        let total = self.capacity(now);
        let capacity = (total - inflow_rate).max(total * MIN_LOW_SHARE);
        // Without a worker nothing is done, however little waits: origins must not take that for a short wait.
        if capacity <= 0.0 {
            return self.config.lease.as_millis() as u32;
        }
        if ahead + new_work <= 0.0 {
            return 0;
        }
        ((ahead + new_work) / capacity) as u32
    }

    /// Returns how many tasks of a batch could start now.
    pub(crate) fn free_slots(&self, now: Time, batch: &Batch) -> usize {
        let workers = self
            .workers
            .iter()
            .filter(|(_, w)| self.accepts_tasks(now, w));
        let fitting = workers.filter(|(key, worker)| self.can_run(batch, *key, worker));
        let cpu = batch.order.need.cpu.max(1);
        fitting.map(|(_, w)| (w.free().cpu / cpu) as usize).sum()
    }

    /// Refuses a new job that could not end within its objective because of the work ahead of it, and returns whether it did.
    /// A job whose tasks can all start now is never refused. One that no worker here may take is returned for another
    /// dispatcher.
    pub(crate) fn refuse_new(
        &mut self,
        now: Time,
        batch: &Batch,
        tasks: &[TaskOrder],
        out: &mut Vec<Output>,
    ) -> bool {
        let disabled = self.config.disabled;
        let fits_now = self.queue.is_empty() && self.free_slots(now, batch) >= tasks.len();
        if fits_now || disabled.contains(Mechanism::Admission) {
            return false;
        }
        if self.is_unplaceable(now, batch) {
            self.return_unplaced(now, batch, tasks, out);
            return true;
        }
        let submitted = tasks.iter().map(|task| (task.index, task.submission));
        let rank = self.rank(BatchKey::default(), batch);
        let inflow_rate = self.inflow_above(now, batch.order.priority);
        let new_work = batch.work_of(tasks.len());
        let wait = self.wait_ms(now, self.queue.ahead(rank), new_work, inflow_rate);
        if meets_objective(now, batch, wait) {
            out.push(Output::Event(PoolEvent::Queued {
                job: batch.order.job,
                origin: batch.origin,
                tasks: tasks.len(),
                wait,
            }));
            return false;
        }
        self.refuse(now, batch, submitted, wait, out);
        true
    }

    /// Returns the rate at which work of a higher priority is expected to arrive, in thousandths of a core.
    pub(crate) fn inflow_above(&self, now: Time, priority: u8) -> f64 {
        if self.config.disabled.contains(Mechanism::Inflow) {
            0.0
        } else {
            self.inflow.rate_above(now, priority)
        }
    }

    /// Returns the retry delay of a caller that is refused because of a wait, in ms.
    pub(crate) fn retry_ms(&self, wait: u32) -> u32 {
        if self.config.disabled.contains(Mechanism::RetryTime) {
            MIN_RETRY_MS
        } else {
            wait.max(MIN_RETRY_MS)
        }
    }

    /// Refuses a job. `submitted` are the tasks of the step with the numbers of the submissions that are refused.
    fn refuse(
        &mut self,
        now: Time,
        batch: &Batch,
        submitted: impl Iterator<Item = (u16, SubmissionNumber)>,
        wait: u32,
        out: &mut Vec<Output>,
    ) {
        let retry_ms = self.retry_ms(wait);
        let reports = submitted.map(|(index, submission)| TaskReport {
            task: batch.task_id(index),
            submission,
            end: TaskEnd::Refused(retry_ms),
        });
        let reports: Vec<_> = reports.collect();
        for report in &reports {
            self.record_sent_end(now, batch.origin, *report);
        }
        // One report refuses the whole job.
        let Some(first) = reports.first().copied() else {
            return;
        };
        out.push(Output::Event(PoolEvent::Refused {
            job: batch.order.job,
            submission: first.submission,
            wait,
            expected: batch.expected.as_millis() as u32,
            longest: batch.longest().as_millis() as u32,
            left: batch.stretched_due().since(now).as_millis() as u32,
        }));
        out.push(Output::Send(batch.origin, WorkMsg::Ended(vec![first])));
    }

    /// Returns the waiting tasks that no worker here may take, and refuses queued jobs of which nothing has run and which
    /// can no longer end in time: their callers learn it at once, and their capacity goes to jobs that can.
    pub(crate) fn shed(&mut self, now: Time, out: &mut Vec<Output>) {
        for entry in self.queue.entries() {
            let key = match entry {
                Entry::Batch(key) => key,
                Entry::Reservation(key) => {
                    self.shed_reservation(now, key, out);
                    continue;
                }
            };
            if self.is_unplaceable(now, &self.batches[key]) {
                self.return_unplaced_batch(now, key, out);
                continue;
            }
            let batch = &self.batches[key];
            let all_waiting = batch.tasks.values().all(|t| t.state == TaskState::Waiting);
            let disabled = self.config.disabled.contains(Mechanism::Shedding);
            if batch.started || !all_waiting || disabled || meets_objective(now, batch, 0) {
                continue;
            }
            let wait = self.wait_ms(now, self.queue.ahead(self.rank(key, batch)), 0.0, 0.0);
            let batch = batch.clone();
            let submitted = batch.tasks.iter();
            let submitted = submitted.map(|(index, task)| (*index, task.submission));
            self.refuse(now, &batch, submitted, wait, out);
            self.drop_batch(now, key, out);
        }
    }

    /// Returns the load of a domain, by which other processes choose a dispatcher.
    #[must_use]
    pub fn load(&self, now: Time, domain: Domain) -> Load {
        let cpu = self.mean_cpu();
        let workers = self.workers.values().filter(|w| w.domain == domain);
        let free = workers
            .filter(|worker| self.accepts_tasks(now, worker))
            .map(|worker| worker.free().cpu / cpu)
            .sum();
        let mut wait = [0; PRIORITIES as usize];
        for (priority, wait) in (0..PRIORITIES).zip(&mut wait) {
            *wait = self.wait_ms(now, self.queue.up_to(priority), 0.0, 0.0);
        }
        Load {
            free,
            wait,
            sizes: self.sized_room(now, domain),
        }
    }

    /// Returns the mean need of the current runs, in thousandths of a core.
    fn mean_cpu(&self) -> u32 {
        let runs = self.runs.values().map(|run| run.need.cpu);
        let (sum, count) = runs.fold((0u64, 0u64), |(s, c), cpu| (s + u64::from(cpu), c + 1));
        let mean = sum
            .checked_div(count)
            .unwrap_or(u64::from(DEFAULT_MILLICORES));
        u32::try_from(mean).unwrap_or(DEFAULT_MILLICORES).max(1)
    }
}

/// Returns whether a batch that starts after `wait` ms ends within its objective.
pub(crate) fn meets_objective(now: Time, batch: &Batch, wait: u32) -> bool {
    let end = now + Duration::from_millis(wait.into()) + batch.longest();
    end <= batch.stretched_due()
}

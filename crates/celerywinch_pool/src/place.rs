//! Placement: which waiting task starts on which worker.

use celerywinch_types::{Mechanism, RunNumber, Time};

use crate::PoolEvent;
use crate::call::{CallPurpose, Request};
use crate::job::{Batch, BatchKey, Task, TaskState};
use crate::overstay::suspicion_cost;
use crate::pool::{Output, Pool};
use crate::progress::Progress;
use crate::queue::Entry;
use crate::run::{Phase, Run};
use crate::worker::{Worker, WorkerKey};

/// Assumed factor by which a task takes longer on another rack than the one near its data.
const REMOTE_RACK_FACTOR: f64 = 1.5;
/// Cost of a worker per unit of its pace, in shares of a worker left empty, like all costs of a placement. A slow worker
/// is chosen only if any other placement would leave more capacity unused than that.
const PACE_COST: f64 = 2.0;
/// Cost of a worker in another data centre than the dispatcher's, in shares of a worker left empty: less than that of
/// data on another rack, and more than the differences that packing makes.
const REMOTE_DC_COST: f64 = 0.6;
/// Cost of each run that would be lost with the worker if a probe task crashes it, in shares of a worker left empty.
const PROBE_COST: f64 = 0.5;
/// Cost of the worker on which the task failed last, in shares of a worker left empty.
const FAILED_ON_COST: f64 = 50.0;

/// Whether tasks may wait for a faster worker although one is free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Patience {
    MayWait,
    /// That was decided as the capacity was held.
    None,
}

impl Pool {
    /// Starts the waiting tasks that fit, in queue order. A batch that finds no free capacity does not block smaller ones
    /// behind it.
    pub(crate) fn place_tasks(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.queue.is_empty() {
            self.observe_packing(now, None);
            return;
        }
        let mut blocked = None;
        let mut smallest_refused = u32::MAX;
        for entry in self.queue.entries() {
            let order = &self.batch_of(entry).order;
            let need = order.need.cpu;
            // A batch that needs at least as much as one that found no worker is skipped, as it would find none either; one
            // that could use other workers is then placed after the end of a run. Batches with a label are always tried.
            if need >= smallest_refused && order.label.is_none() {
                continue;
            }
            let placed = match entry {
                Entry::Batch(key) => self.place_batch(now, key, out),
                Entry::Reservation(key) => self.hold_capacity(now, key, out),
            };
            if !placed {
                smallest_refused = smallest_refused.min(need);
                blocked.get_or_insert(entry);
            }
        }
        self.observe_packing(now, blocked);
    }

    /// Returns the step of an entry of the queue.
    pub(crate) fn batch_of(&self, entry: Entry) -> &Batch {
        match entry {
            Entry::Batch(key) => &self.batches[key],
            Entry::Reservation(key) => &self.reservations.waiting[key].batch,
        }
    }

    /// Starts the waiting tasks of a batch. Returns false if one of them found no worker.
    fn place_batch(&mut self, now: Time, key: BatchKey, out: &mut Vec<Output>) -> bool {
        self.start_waiting(now, key, Patience::MayWait, out)
    }

    /// Starts the waiting tasks of a batch for which capacity was held. Returns false if one of them found no worker.
    pub(crate) fn place_held(&mut self, now: Time, key: BatchKey, out: &mut Vec<Output>) -> bool {
        self.start_waiting(now, key, Patience::None, out)
    }

    fn start_waiting(
        &mut self,
        now: Time,
        key: BatchKey,
        patience: Patience,
        out: &mut Vec<Output>,
    ) -> bool {
        self.dequeue(key);
        let batch = &self.batches[key];
        let startable = |task: &Task| {
            task.state == TaskState::Waiting && self.may_start(now, batch.origin, task)
        };
        let tasks = batch.tasks.iter().filter(|(_, task)| startable(task));
        let mut waiting: Vec<u16> = tasks.map(|(index, _)| *index).collect();
        let mut placed_all = true;
        if self.needs_probe(batch) {
            let running = |task: &Task| matches!(task.state, TaskState::Running(_));
            let none_running = !batch.tasks.values().any(running);
            waiting.truncate(usize::from(none_running));
        }
        for index in waiting {
            let batch = &self.batches[key];
            let Some(worker) = self.choose_worker(now, batch, batch.tasks.get(&index)) else {
                placed_all = false;
                break;
            };
            // The free capacity is left to the batches behind it.
            if patience == Patience::MayWait && self.awaits_faster(now, &self.batches[key], worker)
            {
                break;
            }
            if !self.start_run(now, key, index, worker, out) {
                placed_all = false;
                break;
            }
        }
        self.requeue(key);
        placed_all
    }

    /// Returns the worker with the lowest cost for a task of a batch, if any can take it. The task is not known if it is
    /// still with its origin.
    pub(crate) fn choose_worker(
        &self,
        now: Time,
        batch: &Batch,
        task: Option<&Task>,
    ) -> Option<WorkerKey> {
        let crashes = task.map(|task| task.crashes).unwrap_or_default();
        let failed_on = task.and_then(|task| task.failed_on);
        let workers = self.workers.iter();
        let fitting = workers.filter(|(key, worker)| {
            self.accepts_tasks(now, worker)
                && self.can_run(batch, *key, worker)
                && !self.has_suspended_run(now, worker)
                && !self.shares_with_suspect(crashes, worker)
                && self.is_trusted_with(now, batch, worker)
        });
        let packs = !self.config.disabled.contains(Mechanism::Packing);
        let probing = self.needs_probe(batch);
        let cost = |key: WorkerKey, worker: &Worker| {
            let shared = PROBE_COST * self.probe_exposure(worker, probing) as f64;
            self.placement_cost(now, batch, worker, packs)
                + failed_on_cost(failed_on, key)
                + shared
                + self.locality_cost(worker, probing)
                + suspicion_cost(worker)
        };
        fitting
            .min_by(|a, b| cost(a.0, a.1).total_cmp(&cost(b.0, b.1)))
            .map(|(key, _)| key)
    }

    /// Returns the cost of a task on a worker: the share of the worker left empty, and its pace or, where workers differ in
    /// speed, the expected end.
    fn placement_cost(&self, now: Time, batch: &Batch, worker: &Worker, packs: bool) -> f64 {
        let remaining = worker.free().saturating_sub(batch.order.need).cpu;
        let empty = if packs {
            f64::from(remaining) / f64::from(worker.announcement.capacity.cpu.max(1))
        } else {
            0.0
        };
        if self.uneven {
            return self.expected_end_cost(now, batch, worker, empty);
        }
        let pace = worker.pace * rack_factor(batch, worker);
        empty + PACE_COST * pace
    }

    /// Returns the cost of running a task in another data centre than the dispatcher's.
    ///
    /// A job whose tasks are spread over several data centres loses tasks with each data centre that fails; a local one
    /// is affected by its own only. The cost is zero for the single dispatcher of all workers, whose load belongs to no
    /// data centre, and for probe tasks, which may crash their worker and are better kept away from other runs.
    fn locality_cost(&self, worker: &Worker, probing: bool) -> f64 {
        let prefers_local =
            self.shards > 1 && !probing && !self.config.disabled.contains(Mechanism::Locality);
        let elsewhere = self
            .config
            .dc
            .is_some_and(|dc| dc != worker.announcement.dc);
        if prefers_local && elsewhere {
            REMOTE_DC_COST
        } else {
            0.0
        }
    }

    /// Returns how many runs would share the worker with a probe task: all of its runs if the new task is a probe
    /// (`probing`), else its unconfirmed probe runs.
    fn probe_exposure(&self, worker: &Worker, probing: bool) -> usize {
        let mut runs = worker.runs.iter().map(|run| &self.runs[*run]);
        if probing {
            return runs.len();
        }
        let unconfirmed = |run: &&Run| {
            let batch = run.batch.and_then(|key| self.batches.get(key));
            run.probe && batch.is_none_or(|batch| !batch.probe_passed)
        };
        runs.by_ref().filter(unconfirmed).count()
    }

    /// Returns whether a worker offers the service, the label and the free capacity that a task of the batch needs.
    pub(crate) fn can_run(&self, batch: &Batch, key: WorkerKey, worker: &Worker) -> bool {
        batch.is_offered_by(&worker.announcement)
            && worker.free().fits(batch.order.need)
            && self.within_spread(batch, key, worker)
    }

    /// Returns whether a worker runs fewer tasks of the step than the job allows on one worker.
    fn within_spread(&self, batch: &Batch, key: WorkerKey, worker: &Worker) -> bool {
        let Some(most) = batch.order.spread else {
            return true;
        };
        let (job, step) = (batch.order.job, batch.order.step);
        let runs_of_step = worker.runs.iter().filter(|run| {
            let task = self.runs[**run].task;
            (task.job, task.step) == (job, step)
        });
        runs_of_step.count() + self.holds_of_step(key, job, step) < usize::from(most)
    }

    /// Starts a task on a worker. Returns false if no lease can be given, as the worker's clock was never read.
    fn start_run(
        &mut self,
        now: Time,
        key: BatchKey,
        index: u16,
        worker_key: WorkerKey,
        out: &mut Vec<Output>,
    ) -> bool {
        let lease = self.config.lease;
        let granted = {
            let batch = &self.batches[key];
            self.may_start(now, batch.origin, &batch.tasks[&index])
        };
        assert!(granted, "a task is started only under its origin's grant");
        let evacuated = self
            .evacuated
            .contains(&self.workers[worker_key].announcement.dc);
        assert!(!evacuated, "no task is started in an evacuated data centre");
        let worker = &mut self.workers[worker_key];
        let Some(deadline) = worker.deadline(now, lease) else {
            return false;
        };
        worker.lease = worker.lease.max(worker.lease_bound(now, lease));
        let pace = worker.pace * rack_factor(&self.batches[key], worker);
        let batch = &self.batches[key];
        let task = batch.tasks[&index];
        let run = Run {
            task: batch.task_id(index),
            batch: Some(key),
            worker: worker_key,
            number: RunNumber(task.run.0 + 1),
            need: batch.order.need,
            started: now,
            expected: batch.expected.mul_f64(pace),
            phase: Phase::Sent,
            suspect: task.crashes.is_suspect(),
            probe: self.needs_probe(batch),
            adopted: false,
            stopping: false,
            stop_accepted: false,
            progress: Progress::default(),
        };
        let request = Request::Start {
            task: run.task,
            run: run.number,
            spec: batch.order.spec.clone(),
            deadline,
        };
        out.push(Output::Event(PoolEvent::Started {
            task: run.task,
            run: run.number,
            worker: self.workers[worker_key].announcement.id.clone(),
            expected: run.expected.as_millis() as u32,
        }));
        let number = run.number;
        let run_key = self.add_run(run);
        let batch = &mut self.batches[key];
        batch.started = true;
        if let Some(task) = batch.tasks.get_mut(&index) {
            task.state = TaskState::Running(run_key);
            task.run = number;
        }
        self.call(worker_key, CallPurpose::Start(run_key), request, out);
        self.poll(now, worker_key, out);
        true
    }
}

/// Returns the factor by which tasks of a batch take longer on a worker because of their distance to the data.
pub(crate) fn rack_factor(batch: &Batch, worker: &Worker) -> f64 {
    match &batch.order.rack {
        Some(rack) if !worker.is_in_rack(rack) => REMOTE_RACK_FACTOR,
        _ => 1.0,
    }
}

/// Returns the cost of the worker on which a task failed last.
fn failed_on_cost(failed_on: Option<WorkerKey>, key: WorkerKey) -> f64 {
    if failed_on == Some(key) {
        FAILED_ON_COST
    } else {
        0.0
    }
}

//! Which waiting task goes to which worker.

use celerywinch_types::{Mechanism, RunNumber, Time};

use crate::PoolEvent;
use crate::call::{CallPurpose, Request};
use crate::job::{Batch, BatchKey, Task, TaskState};
use crate::pool::{Output, Pool};
use crate::run::{Phase, Run};
use crate::worker::{Worker, WorkerKey};

/// How much longer work takes on another rack than the one near its data, where nothing else is
/// known.
const REMOTE_FACTOR: f64 = 1.5;
/// What a pace of one more costs in the choice, in shares of a worker left empty: a slow worker is
/// taken when packing elsewhere would waste more than that.
const PACE_COST: f64 = 2.0;
/// Cost of a worker in another data centre than the dispatcher's, in shares of a worker left empty: less than that of
/// data on another rack, and more than any gap that packing leaves.
const AWAY_COST: f64 = 0.6;
/// Cost of each run that may end with the worker of a task that may end it.
const PROBE_COST: f64 = 0.5;
/// Cost of the worker that has just failed the task.
const AVOID_COST: f64 = 50.0;

impl Pool {
    /// Starts what fits, in the order of the queue. A batch that finds no room does not hold up
    /// smaller ones behind it.
    pub(crate) fn place_tasks(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.queue.is_empty() {
            return;
        }
        let mut smallest_refused = u32::MAX;
        for key in self.queue.keys() {
            let need = self.batches[key].order.need.cpu;
            // What is as large as something that found no room finds none either, unless it asks
            // for another kind of worker; then it is found at the next end.
            if need >= smallest_refused && self.batches[key].order.label.is_none() {
                continue;
            }
            if !self.place_batch(now, key, out) {
                smallest_refused = smallest_refused.min(need);
            }
        }
    }

    /// Starts the waiting tasks of a batch; false if there was no room for one.
    fn place_batch(&mut self, now: Time, key: BatchKey, out: &mut Vec<Output>) -> bool {
        self.dequeue(key);
        let batch = &self.batches[key];
        let ready = |task: &Task| {
            task.state == TaskState::Waiting && self.may_start(now, batch.origin, task)
        };
        let tasks = batch.tasks.iter().filter(|(_, task)| ready(task));
        let mut waiting: Vec<u16> = tasks.map(|(index, _)| *index).collect();
        let mut all = true;
        if self.needs_probe(batch) {
            let running = |task: &Task| matches!(task.state, TaskState::Running(_));
            let first = !batch.tasks.values().any(running);
            waiting.truncate(usize::from(first));
        }
        for index in waiting {
            let Some(worker) = self.choose(now, &self.batches[key], index) else {
                all = false;
                break;
            };
            if !self.start(now, key, index, worker, out) {
                all = false;
                break;
            }
        }
        self.requeue(key);
        all
    }

    fn choose(&self, now: Time, batch: &Batch, index: u16) -> Option<WorkerKey> {
        let task = &batch.tasks[&index];
        let workers = self.workers.iter();
        let fitting = workers.filter(|(key, worker)| {
            self.accepts_tasks(now, worker)
                && self.suits(batch, *key, worker)
                && !self.has_suspended(now, worker)
                && !self.shares_with_suspect(task.crashes, worker)
        });
        let packs = !self.config.disabled.contains(Mechanism::Packing);
        let careful = self.needs_probe(batch);
        let cost = |key: WorkerKey, worker: &Worker| {
            let shared = PROBE_COST * self.shared_with_probes(worker, careful) as f64;
            cost(batch, task, key, worker, packs) + shared + self.away(worker, careful)
        };
        fitting
            .min_by(|a, b| cost(a.0, a.1).total_cmp(&cost(b.0, b.1)))
            .map(|(key, _)| key)
    }

    /// A job whose tasks are spread over data centres is lost in part with each of them; one that stays where its dispatcher
    /// is, with that only. A dispatcher of all workers has no part of the load that would stay, and what may end its worker
    /// is better kept away from the rest.
    fn away(&self, worker: &Worker, careful: bool) -> f64 {
        let stays =
            self.shards > 1 && !careful && !self.config.disabled.contains(Mechanism::Locality);
        let elsewhere = self.config.dc.is_some_and(|dc| dc != worker.note.dc);
        if stays && elsewhere { AWAY_COST } else { 0.0 }
    }

    /// How many runs a task would meet on a worker that may be ended by one of them.
    fn shared_with_probes(&self, worker: &Worker, careful: bool) -> usize {
        let mut runs = worker.runs.iter().map(|run| &self.runs[*run]);
        if careful {
            return runs.len();
        }
        let unproved = |run: &&Run| {
            let batch = run.batch.and_then(|key| self.batches.get(key));
            run.probe && batch.is_none_or(|batch| !batch.probe_passed)
        };
        runs.by_ref().filter(unproved).count()
    }

    pub(crate) fn suits(&self, batch: &Batch, key: WorkerKey, worker: &Worker) -> bool {
        let order = &batch.order;
        let service = worker.note.service == order.service;
        let label = order.label.as_ref();
        let labelled = label.is_none_or(|label| worker.note.labels.contains(label));
        service && labelled && worker.free().fits(order.need) && self.spreads(batch, key, worker)
    }

    fn spreads(&self, batch: &Batch, _key: WorkerKey, worker: &Worker) -> bool {
        let Some(most) = batch.order.spread else {
            return true;
        };
        let (job, step) = (batch.order.job, batch.order.step);
        let here = worker.runs.iter().filter(|run| {
            let task = self.runs[**run].task;
            (task.job, task.step) == (job, step)
        });
        here.count() < usize::from(most)
    }

    fn start(
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
        let evacuated = self.evacuated.contains(&self.workers[worker_key].note.dc);
        assert!(!evacuated, "no task is started in an evacuated data centre");
        let worker = &mut self.workers[worker_key];
        let Some(deadline) = worker.deadline(now, lease) else {
            return false;
        };
        worker.lease = worker.lease.max(worker.lease_bound(now, lease));
        let pace = worker.pace * distance(&self.batches[key], worker);
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
            worker: self.workers[worker_key].note.id.clone(),
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

fn distance(batch: &Batch, worker: &Worker) -> f64 {
    match &batch.order.rack {
        Some(rack) if !worker.is_in_rack(rack) => REMOTE_FACTOR,
        _ => 1.0,
    }
}

/// Less is better: what is left empty on the worker, and how long the task would take there.
fn cost(batch: &Batch, task: &Task, key: WorkerKey, worker: &Worker, packs: bool) -> f64 {
    let left = worker.free().saturating_sub(batch.order.need).cpu;
    let empty = if packs {
        f64::from(left) / f64::from(worker.note.capacity.cpu.max(1))
    } else {
        0.0
    };
    let pace = worker.pace * distance(batch, worker);
    let avoid = if task.failed_on == Some(key) {
        AVOID_COST
    } else {
        0.0
    };
    empty + PACE_COST * pace + avoid
}

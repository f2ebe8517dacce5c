//! Takes workers over from another dispatcher, and hands them over to a successor.

use std::collections::{BTreeMap, BTreeSet};

use celerywinch_types::{Domain, Fence, Mechanism, PriorRuns, RunNumber, TaskEnd, TaskId, Time};

use crate::PoolEvent;
use crate::call::{CallPurpose, EndedRow, Request, RunEnd, RunningRow};
use crate::job::{BatchKey, TaskState};
use crate::pool::{Output, Pool};
use crate::progress::Progress;
use crate::run::{Phase, Run};
use crate::worker::{Ownership, Worker, WorkerKey};

/// How long ends found during a takeover are retained for origins that have not resubmitted their tasks yet.
const END_RETENTION: std::time::Duration = std::time::Duration::from_secs(3);

/// A run that another dispatcher started, or that started late.
#[derive(Clone, Copy, Debug)]
struct ForeignRun {
    worker: WorkerKey,
    run: RunNumber,
    found: Time,
    stopped: bool,
}

/// Runs and ends that were found on workers and are not matched to a batch yet.
#[derive(Debug, Default)]
pub(crate) struct Takeover {
    foreign_runs: BTreeMap<TaskId, ForeignRun>,
    ends: BTreeMap<TaskId, (Time, RunEnd, RunNumber)>,
}

impl Takeover {
    pub(crate) fn remove_worker(&mut self, worker: WorkerKey) {
        self.foreign_runs
            .retain(|_, foreign| foreign.worker != worker);
    }
}

impl Pool {
    /// Becomes the dispatcher of a domain and takes over its workers.
    pub(crate) fn acquire(
        &mut self,
        now: Time,
        domain: Domain,
        fence: Fence,
        out: &mut Vec<Output>,
    ) {
        self.owned.insert(domain, fence);
        let in_domain = |worker: &Worker| worker.domain == domain;
        let workers = self.workers.iter().filter(|(_, w)| in_domain(w));
        let keys: Vec<_> = workers.map(|(key, _)| key).collect();
        out.push(Output::Event(PoolEvent::Acquired {
            domain,
            workers: keys.len(),
        }));
        for key in keys {
            self.workers[key].restarts = 0;
            self.take_over_worker(now, key, out);
        }
    }

    /// Takes a worker over. The first poll presents the fencing token and does not extend the lease, since no origin
    /// may want what runs there.
    pub(crate) fn take_over_worker(&mut self, now: Time, key: WorkerKey, out: &mut Vec<Output>) {
        let worker = &mut self.workers[key];
        worker.ownership = Ownership::Acquiring;
        worker.next_poll = now;
        self.poll(now, key, out);
    }

    /// Applies the list with which a worker accepted the fencing token. The runs in it that this dispatcher did not start
    /// wait until an origin claims them or `PoolConfig::adopt_timeout` expires.
    pub(crate) fn worker_taken_over(
        &mut self,
        now: Time,
        key: WorkerKey,
        running: &[RunningRow],
        out: &mut Vec<Output>,
    ) {
        self.settle_inherited_runs(now, key, running, out);
        let own: BTreeSet<_> = self.workers[key]
            .runs
            .iter()
            .map(|run| self.runs[*run].task)
            .collect();
        let running: Vec<_> = running
            .iter()
            .filter(|row| !own.contains(&row.task))
            .copied()
            .collect();
        for row in &running {
            let foreign = ForeignRun {
                worker: key,
                run: row.run,
                found: now,
                stopped: false,
            };
            let known = self.takeover.foreign_runs.get(&row.task);
            if known.is_none_or(|known| known.run <= row.run) {
                self.takeover.foreign_runs.insert(row.task, foreign);
            }
        }
        let worker = &mut self.workers[key];
        worker.ownership = Ownership::Owned;
        // The previous dispatcher may have extended the lease just before. Without this bound, adopted runs would be
        // considered ended as soon as the worker misses a call.
        if !running.is_empty() || !own.is_empty() {
            worker.lease = worker
                .lease
                .max(Worker::foreign_lease_bound(now, self.config.lease));
        }
        worker.foreign_runs = running.len();
        worker.next_poll = now + self.config.ack_delay;
        out.push(Output::Event(PoolEvent::WorkerHeld {
            worker: worker.announcement.id.clone(),
            found: running.len(),
        }));
        // Tasks that origins resubmitted before this poll was answered wait for its result.
        for row in &running {
            if let Some(batch) = self.batch_keys.get(&(row.task.job, row.task.step)).copied() {
                self.settle(now, batch, row.task.index);
            }
        }
    }

    /// Settles a task that may already have run: adopts its run, applies its end, or holds the task back until any
    /// earlier run must have ended.
    pub(crate) fn settle(&mut self, now: Time, key: BatchKey, index: u16) {
        let batch = &self.batches[key];
        let id = batch.task_id(index);
        let Some(task) = batch.tasks.get(&index).copied() else {
            return;
        };
        if matches!(task.state, TaskState::Running(_)) {
            return;
        }
        if let Some((_, end, run)) = self.takeover.ends.get(&id).copied()
            && self.settle_by_end(now, key, index, end, run)
        {
            self.takeover.ends.remove(&id);
            return;
        }
        let runs_unknown = task.prior_runs == PriorRuns::Unknown;
        match self.takeover.foreign_runs.get(&id).copied() {
            Some(foreign)
                if !foreign.stopped
                    && (runs_unknown || foreign.run == task.run)
                    && !self.config.disabled.contains(Mechanism::Adoption) =>
            {
                self.takeover.foreign_runs.remove(&id);
                self.adopt_run(now, key, index, foreign);
            }
            _ => self.set_task(
                key,
                index,
                TaskState::MaybeRunning(now + self.config.doubt_timeout),
            ),
        }
    }

    /// Settles a task by an end that was found, and returns whether it did. A result settles it always, any other end
    /// only if it belongs to the last run that can exist: the interruption of an older run does not say whether a later
    /// one exists.
    fn settle_by_end(
        &mut self,
        now: Time,
        key: BatchKey,
        index: u16,
        end: RunEnd,
        run: RunNumber,
    ) -> bool {
        let no_shortcuts = self.config.disabled.contains(Mechanism::Shortcuts);
        let Some(task) = self.batches[key].tasks.get_mut(&index) else {
            return false;
        };
        let last = task.prior_runs == PriorRuns::Last && run == task.run && !no_shortcuts;
        match end {
            RunEnd::Done => self.finish_task(now, key, index, TaskEnd::Done),
            RunEnd::Failed | RunEnd::Interrupted if last => {
                task.failures += u32::from(end == RunEnd::Failed);
                self.requeue_task(key, index, run);
            }
            RunEnd::Failed | RunEnd::Interrupted => return false,
        }
        true
    }

    /// Assigns a task the run that another dispatcher started.
    fn adopt_run(&mut self, now: Time, key: BatchKey, index: u16, foreign: ForeignRun) {
        let batch = &self.batches[key];
        let run = Run {
            task: batch.task_id(index),
            batch: Some(key),
            worker: foreign.worker,
            number: foreign.run,
            need: batch.order.need,
            started: now,
            expected: batch.expected,
            phase: Phase::Running(self.input_count),
            suspect: batch.tasks[&index].crashes.is_suspect(),
            probe: false,
            adopted: true,
            stopping: false,
            stop_accepted: false,
            progress: Progress::default(),
        };
        let run_key = self.add_run(run);
        self.batches[key].started = true;
        self.set_task(key, index, TaskState::Running(run_key));
        if let Some(task) = self.batches[key].tasks.get_mut(&index) {
            task.run = task.run.max(foreign.run);
        }
        let worker = &mut self.workers[foreign.worker];
        worker.foreign_runs = worker.foreign_runs.saturating_sub(1);
        worker.next_poll = now;
    }

    pub(crate) fn set_task(&mut self, key: BatchKey, index: u16, state: TaskState) {
        self.dequeue(key);
        if let Some(task) = self.batches[key].tasks.get_mut(&index) {
            task.state = state;
        }
        self.requeue(key);
    }

    /// Handles the end of a run that this dispatcher did not start. If it does not settle its task, it is retained for
    /// [`END_RETENTION`].
    pub(crate) fn foreign_run_ended(&mut self, now: Time, key: WorkerKey, row: &EndedRow) {
        // An earlier run of the task may have ended on another worker; only the end of this run removes it.
        let this_run = |foreign: &ForeignRun| foreign.worker == key && foreign.run == row.run;
        if self
            .takeover
            .foreign_runs
            .get(&row.task)
            .is_some_and(this_run)
        {
            self.takeover.foreign_runs.remove(&row.task);
            let worker = &mut self.workers[key];
            worker.foreign_runs = worker.foreign_runs.saturating_sub(1);
        }
        let batch = self.batch_keys.get(&(row.task.job, row.task.step)).copied();
        let maybe_running = batch.is_some_and(|batch| {
            let task = self.batches[batch].tasks.get(&row.task.index);
            task.is_some_and(|task| matches!(task.state, TaskState::MaybeRunning(_)))
        });
        let settled = match batch {
            Some(batch) if maybe_running => {
                self.settle_by_end(now, batch, row.task.index, row.end, row.run)
            }
            _ => false,
        };
        if !settled {
            let ends = &mut self.takeover.ends;
            let known = ends.get(&row.task).map(|(_, _, run)| *run);
            if known.is_none_or(|known| known <= row.run) {
                ends.insert(row.task, (now, row.end, row.run));
            }
        }
    }

    /// Updates the foreign runs of a worker from its list. Runs that are no longer listed have ended or are tracked on
    /// another worker by now. A listed run that is not known was started late or by another dispatcher; if no origin
    /// claims it, it is stopped.
    pub(crate) fn update_foreign_runs(
        &mut self,
        now: Time,
        key: WorkerKey,
        running: &[RunningRow],
    ) {
        let listed = |task: &TaskId| running.iter().any(|row| row.task == *task);
        let foreign_runs = &mut self.takeover.foreign_runs;
        foreign_runs.retain(|task, foreign| foreign.worker != key || listed(task));
        let own = self.workers[key].runs.iter();
        let own: BTreeSet<_> = own.map(|run| self.runs[*run].task).collect();
        for row in running.iter().filter(|row| !own.contains(&row.task)) {
            foreign_runs.entry(row.task).or_insert(ForeignRun {
                worker: key,
                run: row.run,
                found: now,
                stopped: false,
            });
        }
        let count = foreign_runs
            .values()
            .filter(|foreign| foreign.worker == key)
            .count();
        self.workers[key].foreign_runs = count;
    }

    /// Stops foreign runs that no origin has claimed, and releases tasks whose earlier runs must have ended by now.
    pub(crate) fn tick_takeover(&mut self, now: Time, out: &mut Vec<Output>) {
        let ends = &mut self.takeover.ends;
        ends.retain(|_, (at, _, _)| now.since(*at) <= END_RETENTION);
        self.stop_foreign_runs(now, out);
        self.release_maybe_running(now);
    }

    fn stop_foreign_runs(&mut self, now: Time, out: &mut Vec<Output>) {
        let adopt = self.config.adopt_timeout;
        let mut unwanted = Vec::new();
        for (task, foreign) in &mut self.takeover.foreign_runs {
            if !foreign.stopped && now.since(foreign.found) >= adopt {
                foreign.stopped = true;
                unwanted.push((*task, *foreign));
            }
        }
        for (task, foreign) in unwanted {
            let request = Request::Stop {
                task,
                run: foreign.run,
            };
            self.call(
                foreign.worker,
                CallPurpose::StopForeign(foreign.worker),
                request,
                out,
            );
        }
    }

    fn release_maybe_running(&mut self, now: Time) {
        let keys: Vec<_> = self.batches.keys().collect();
        for key in keys {
            let is_due =
                |state: &TaskState| matches!(state, TaskState::MaybeRunning(t) if *t <= now);
            let batch = &self.batches[key];
            let tasks = batch.tasks.iter().filter(|(_, task)| is_due(&task.state));
            let due: Vec<u16> = tasks.map(|(index, _)| *index).collect();
            for index in due {
                if let Some(task) = self.batches[key].tasks.get_mut(&index) {
                    task.run = task.run.past_unreported();
                }
                self.set_task(key, index, TaskState::Waiting);
            }
        }
    }

    /// Resigns a domain. Tasks that may be running there are returned to their origins as unsure. Waiting tasks are
    /// returned too if no domain is owned any more.
    pub(crate) fn resign(&mut self, now: Time, domain: Domain, out: &mut Vec<Output>) {
        self.owned.remove(&domain);
        let in_domain = |worker: &Worker| worker.domain == domain;
        let workers = self.workers.iter().filter(|(_, w)| in_domain(w));
        let keys: Vec<_> = workers.map(|(key, _)| key).collect();
        let mut returned = 0;
        for key in keys {
            for run in self.workers[key].runs.clone() {
                if let Some(run) = self.runs.remove(run)
                    && let Some(batch) = run.batch
                {
                    returned += 1;
                    self.return_task(now, batch, run.task.index, Some(domain));
                }
            }
            self.takeover.remove_worker(key);
            self.workers[key].reset();
        }
        if self.owned.is_empty() {
            returned += self.return_queue(now);
            self.decline_all(out);
        }
        out.push(Output::Event(PoolEvent::Resigned {
            domain,
            tasks: returned,
        }));
    }

    fn return_task(&mut self, now: Time, key: BatchKey, index: u16, at: Option<Domain>) {
        let task = self.batches.get(key).and_then(|b| b.tasks.get(&index));
        let Some(task) = task.copied() else {
            return;
        };
        let end = TaskEnd::Returned {
            at,
            failures: task.failures,
            run: task.run,
        };
        self.finish_task(now, key, index, end);
    }

    fn return_unknown_run(&mut self, now: Time, key: BatchKey, index: u16) {
        self.finish_task(now, key, index, TaskEnd::Undetermined);
    }

    fn return_queue(&mut self, now: Time) -> usize {
        let mut returned = 0;
        let keys: Vec<_> = self.batches.keys().collect();
        for key in keys {
            let Some(batch) = self.batches.get(key) else {
                continue;
            };
            self.queue.remove(self.rank(key, batch));
            let tasks: Vec<_> = batch.tasks.iter().map(|(i, t)| (*i, t.state)).collect();
            for (index, state) in tasks {
                returned += 1;
                match state {
                    TaskState::Waiting => self.return_task(now, key, index, None),
                    // The task may still be running somewhere, as when it was submitted; its origin knows since when.
                    TaskState::MaybeRunning(_) | TaskState::Running(_) => {
                        self.return_unknown_run(now, key, index);
                    }
                }
            }
        }
        returned
    }
}

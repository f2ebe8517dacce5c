//! Tasks that end the workers which start them.
//!
//! A worker that is gone ends all that was there, and one task of these may have ended it. Which one shows by where they start
//! next: never two of them on one worker. A task is given up after a few; until a queue has been without such tasks for some
//! seconds, its steps start with one task, and the others follow when that has been at work for a moment. So a step whose tasks all
//! end their workers takes one at a time, and is not started again. That a worker is gone need not be certain for that: its
//! silence bounds what else is started there, its lease only when a task may be started elsewhere. What one dispatcher knows the others are told, as the caller sends the job again to another
//! origin, which may hand it to another dispatcher.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celerywinch_types::{Crashes, Incarnation, TaskEnd, TaskId, Time, WorkMsg};

use crate::PoolEvent;
use crate::job::{Batch, BatchKey, TaskState};
use crate::pool::{Output, Pool};
use crate::results::SILENT_AFTER;
use crate::run::Run;
use crate::worker::{Worker, WorkerKey};

/// What ended under a task is remembered for so long: its caller sends the job again, also to another origin.
const REMEMBER: Duration = Duration::from_secs(30);
/// A queue is started with care for so long after one of its tasks has ended several workers.
const CAREFUL: Duration = Duration::from_secs(5);
/// A first task that is at work for this long does not end its worker by being started.
const AT_WORK: Duration = Duration::from_millis(50);

/// So many silent workers of one step are no coincidence.
const SEVERAL: usize = 2;

/// A worker that fell silent with tasks.
#[derive(Clone, Debug)]
struct Silenced {
    life: Incarnation,
    tasks: Vec<TaskId>,
    at: Time,
}

/// What is remembered of workers that ended under tasks.
#[derive(Debug, Default)]
pub(crate) struct CrashHistory {
    tasks: BTreeMap<TaskId, (Crashes, Time)>,
    silenced: BTreeMap<String, Silenced>,
    /// Queues that are started with care, and until when.
    careful: BTreeMap<String, Time>,
}

impl CrashHistory {
    pub(crate) fn of(&self, task: TaskId) -> Crashes {
        let known = self.tasks.get(&task);
        known.map_or_else(Crashes::default, |(crashes, _)| *crashes)
    }

    fn forget(&mut self, now: Time) {
        self.tasks.retain(|_, (_, at)| now.since(*at) <= REMEMBER);
        self.silenced.retain(|_, s| now.since(s.at) <= REMEMBER);
        self.careful.retain(|_, until| *until > now);
    }
}

impl Pool {
    pub(crate) fn tick_crashes(&mut self, now: Time, out: &mut Vec<Output>) {
        self.crashes.forget(now);
        self.poll_probes(now, out);
    }

    /// Asks whether first tasks are at work, as soon as that shows something: the others of their steps wait for it, and the look
    /// that is under way may wait for an end.
    fn poll_probes(&mut self, now: Time, out: &mut Vec<Output>) {
        let due = |run: &&Run| run.probe && now.since(run.started) >= AT_WORK;
        let unproved = |run: &&Run| {
            let batch = run.batch.and_then(|key| self.batches.get(key));
            batch.is_some_and(|batch| !batch.probe_passed)
        };
        let runs = self.runs.values().filter(due).filter(unproved);
        let workers: BTreeSet<_> = runs.map(|run| run.worker).collect();
        for worker in workers {
            self.short_poll(worker, out);
        }
    }

    /// A worker fell silent until its lease was over, with this run.
    pub(crate) fn lease_expired_with(&mut self, now: Time, run: &Run, out: &mut Vec<Output>) {
        let note = &self.workers[run.worker].note;
        let life = note.version.incarnation;
        let silenced = self.crashes.silenced.entry(note.id.clone());
        let silenced = silenced.or_insert_with(|| Silenced {
            life,
            tasks: Vec::new(),
            at: now,
        });
        if silenced.life != life {
            silenced.tasks.clear();
            silenced.life = life;
        }
        silenced.at = now;
        silenced.tasks.push(run.task);
        self.count_crash(now, run.task, out, Crashes::record_suspected);
    }

    /// A life of a worker has ended: the tasks that were there when it fell silent may have ended it.
    pub(crate) fn incarnation_ended(&mut self, now: Time, worker: &Worker, out: &mut Vec<Output>) {
        let Some(silenced) = self.crashes.silenced.remove(&worker.note.id) else {
            return;
        };
        if silenced.life != worker.note.version.incarnation {
            return;
        }
        for task in silenced.tasks {
            self.count_crash(now, task, out, |crashes| crashes.record_confirmed(true));
        }
    }

    /// A run was there as the life of its worker ended.
    pub(crate) fn crashed_with(&mut self, now: Time, run: &Run, out: &mut Vec<Output>) {
        if !run.stop_accepted {
            self.count_crash(now, run.task, out, |crashes| {
                crashes.record_confirmed(false)
            });
        }
    }

    /// Another dispatcher knows of workers that ended under a task.
    pub(crate) fn merge_crashes(
        &mut self,
        now: Time,
        told: Vec<(TaskId, Crashes)>,
        out: &mut Vec<Output>,
    ) {
        for (task, crashes) in told {
            let known = self.crashes.tasks.entry(task).or_default();
            let together = known.0.merge(crashes);
            *known = (together, now);
            self.apply_crashes(now, task, together, out);
        }
    }

    fn count_crash(
        &mut self,
        now: Time,
        task: TaskId,
        out: &mut Vec<Output>,
        count: impl FnOnce(&mut Crashes),
    ) {
        let known = self.crashes.tasks.entry(task).or_default();
        count(&mut known.0);
        known.1 = now;
        let crashes = known.0;
        out.push(Output::Event(PoolEvent::Crashed { task, crashes }));
        out.push(Output::Crashed(task, crashes));
        self.apply_crashes(now, task, crashes, out);
    }

    /// Acts on what is known of a task by now.
    fn apply_crashes(&mut self, now: Time, task: TaskId, crashes: Crashes, out: &mut Vec<Output>) {
        let batch = self.batch_keys.get(&(task.job, task.step)).copied();
        let Some(key) = batch else {
            return;
        };
        let batch = &mut self.batches[key];
        let mut waits = false;
        if let Some(task) = batch.tasks.get_mut(&task.index) {
            task.crashes = task.crashes.merge(crashes);
            waits = task.state == TaskState::Waiting;
        }
        let queue = batch.order.queue.clone();
        let origin = batch.origin;
        if crashes.is_likely_cause() {
            self.require_probe(now, queue, out);
        }
        out.push(Output::Send(origin, WorkMsg::Crashed(task, crashes)));
        if waits {
            self.give_up(now, key, task.index, out);
        }
    }

    /// A worker has fallen silent: what was started there last may have ended it. A step that seems to is given up. It may have
    /// run, and its caller is told so.
    pub(crate) fn suspect_runs(&mut self, now: Time, key: WorkerKey, out: &mut Vec<Output>) {
        let runs = self.workers[key].runs.iter();
        let batches: BTreeSet<_> = runs.filter_map(|run| self.runs[*run].batch).collect();
        for batch in batches {
            if self.is_suspect(batch) {
                self.give_up_suspect_batch(now, batch, out);
            }
        }
    }

    /// Whether a step seems to end its workers: its first task was started with care and its worker is silent, or all of several
    /// that have its tasks are.
    fn is_suspect(&self, key: BatchKey) -> bool {
        let Some(batch) = self.batches.get(key).filter(|batch| !batch.probe_passed) else {
            return false;
        };
        let runs = batch.tasks.values().filter_map(|task| match task.state {
            TaskState::Running(run) => Some(&self.runs[run]),
            TaskState::Waiting | TaskState::MaybeRunning(_) => None,
        });
        let silent = |run: &Run| self.workers[run.worker].missed_calls >= SILENT_AFTER;
        let (silent, others): (Vec<&Run>, Vec<&Run>) = runs.partition(|run| silent(run));
        let workers: BTreeSet<_> = silent.iter().map(|run| run.worker).collect();
        let probe = silent.iter().any(|run| run.probe);
        probe || (others.is_empty() && workers.len() >= SEVERAL)
    }

    fn give_up_suspect_batch(&mut self, now: Time, key: BatchKey, out: &mut Vec<Output>) {
        let batch = &self.batches[key];
        let queue = batch.order.queue.clone();
        let tasks: Vec<_> = batch
            .tasks
            .keys()
            .map(|index| batch.task_id(*index))
            .collect();
        self.require_probe(now, queue, out);
        for task in tasks {
            self.count_crash(now, task, out, Crashes::raise_to_limit);
        }
        self.give_up_batch(now, key, out);
    }

    fn require_probe(&mut self, now: Time, queue: String, out: &mut Vec<Output>) {
        out.push(Output::ProbeQueue(queue.clone()));
        self.crashes.careful.insert(queue, now + CAREFUL);
    }

    pub(crate) fn merge_careful(&mut self, now: Time, queues: Vec<String>) {
        let queues = queues.into_iter().map(|queue| (queue, now + CAREFUL));
        self.crashes.careful.extend(queues);
    }

    /// Gives up all tasks of a batch, and stops its runs.
    fn give_up_batch(&mut self, now: Time, key: BatchKey, out: &mut Vec<Output>) {
        self.dequeue(key);
        let tasks = self.batches[key].tasks.iter();
        let tasks: Vec<_> = tasks.map(|(index, task)| (*index, *task)).collect();
        for (index, task) in tasks {
            let id = self.batches[key].task_id(index);
            let crashes = task.crashes;
            out.push(Output::Event(PoolEvent::GivenUp { task: id, crashes }));
            self.finish_task(now, key, index, TaskEnd::GivenUp);
            if let TaskState::Running(run_key) = task.state
                && let Some(run) = self.runs.get_mut(run_key)
            {
                run.batch = None;
                self.stop_run(now, run_key, out);
            }
        }
    }

    /// Gives up a task under which enough workers have ended, unless it has a run; whether it did.
    pub(crate) fn give_up(
        &mut self,
        now: Time,
        key: BatchKey,
        index: u16,
        out: &mut Vec<Output>,
    ) -> bool {
        let batch = &self.batches[key];
        let id = batch.task_id(index);
        let Some(task) = batch.tasks.get(&index) else {
            return false;
        };
        let crashes = task.crashes;
        if !crashes.reaches_limit() {
            return false;
        }
        out.push(Output::Event(PoolEvent::GivenUp { task: id, crashes }));
        self.dequeue(key);
        self.finish_task(now, key, index, TaskEnd::GivenUp);
        self.requeue(key);
        true
    }

    /// Whether the tasks of a batch are to be started one first.
    pub(crate) fn needs_probe(&self, batch: &Batch) -> bool {
        !batch.probe_passed && self.crashes.careful.contains_key(&batch.order.queue)
    }

    /// Whether a task that may have ended a worker would share one with another such task.
    pub(crate) fn shares_with_suspect(&self, crashes: Crashes, worker: &Worker) -> bool {
        let mut runs = worker.runs.iter().map(|run| &self.runs[*run]);
        crashes.is_suspect() && runs.any(|run| run.suspect)
    }

    /// A run is listed as at work.
    pub(crate) fn seen_running(&mut self, now: Time, run: &Run) {
        if now.since(run.started) >= AT_WORK {
            self.mark_probe_passed(run.batch);
        }
    }

    /// A task of a batch is done, or goes on: the others may follow.
    pub(crate) fn mark_probe_passed(&mut self, batch: Option<BatchKey>) {
        let Some(key) = batch else {
            return;
        };
        let careful = self
            .batches
            .get(key)
            .is_some_and(|batch| self.needs_probe(batch));
        if let Some(batch) = self.batches.get_mut(key) {
            batch.probe_passed = true;
            let passes = careful && batch.order.no_wait;
            self.passing.extend(passes.then_some(key));
        }
    }
}

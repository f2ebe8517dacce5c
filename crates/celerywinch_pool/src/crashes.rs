//! Tasks that crash the workers on which they run.
//!
//! When a worker crashes, all its runs end, and any one of their tasks may be the cause. To find the cause,
//! no two of these tasks run on one worker at the same time afterwards. A task is given up after a few crashes. Until a
//! queue has been free of such tasks for some seconds, each of its steps starts with one task as a probe, and the others
//! follow when the probe has been running for a moment. So a step whose tasks all crash their workers takes one worker
//! at a time, and is not started again. These limits apply as soon as a worker does not answer, before it is known to
//! have crashed. Its lease only decides when its tasks may be started elsewhere.
//!
//! Dispatchers share what they know of crashes, since the caller sends the job again to another origin, which may
//! submit it to another dispatcher.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celerywinch_types::{Crashes, Incarnation, TaskEnd, TaskId, Time, WorkMsg};

use crate::PoolEvent;
use crate::job::{Batch, BatchKey, TaskState};
use crate::pool::{Output, Pool};
use crate::results::SILENT_AFTER_MISSES;
use crate::run::Run;
use crate::worker::{Worker, WorkerKey};

/// How long the crashes of a task are retained: its caller sends the job again, also to another origin.
const RETENTION: Duration = Duration::from_secs(30);
/// How long the steps of a queue start with a probe after one of its tasks has crashed several workers.
const PROBE_PERIOD: Duration = Duration::from_secs(5);
/// A probe that has been running for this long has not crashed its worker by starting.
const MIN_PROBE_TIME: Duration = Duration::from_millis(50);

/// This many silent workers with tasks of one step are considered more than a coincidence.
const MIN_SILENT_WORKERS: usize = 2;

/// A worker whose lease expired without an answer, and the tasks that it had.
#[derive(Clone, Debug)]
struct SilentWorker {
    incarnation: Incarnation,
    tasks: Vec<TaskId>,
    at: Time,
}

/// The crashes of workers, by the tasks that were running on them.
#[derive(Debug, Default)]
pub(crate) struct CrashHistory {
    tasks: BTreeMap<TaskId, (Crashes, Time)>,
    silent_workers: BTreeMap<String, SilentWorker>,
    /// Queues whose steps start with a probe, and until when.
    probe_until: BTreeMap<String, Time>,
}

impl CrashHistory {
    pub(crate) fn of(&self, task: TaskId) -> Crashes {
        let known = self.tasks.get(&task);
        known.map_or_else(Crashes::default, |(crashes, _)| *crashes)
    }

    fn expire(&mut self, now: Time) {
        self.tasks.retain(|_, (_, at)| now.since(*at) <= RETENTION);
        self.silent_workers
            .retain(|_, s| now.since(s.at) <= RETENTION);
        self.probe_until.retain(|_, until| *until > now);
    }
}

impl Pool {
    pub(crate) fn tick_crashes(&mut self, now: Time, out: &mut Vec<Output>) {
        self.crashes.expire(now);
        self.poll_probes(now, out);
    }

    /// Polls the workers of probes once these have run for long enough to pass: the other tasks of their steps wait for
    /// that, and the outstanding long poll may wait for an end.
    fn poll_probes(&mut self, now: Time, out: &mut Vec<Output>) {
        let due = |run: &&Run| run.probe && now.since(run.started) >= MIN_PROBE_TIME;
        let not_passed = |run: &&Run| {
            let batch = run.batch.and_then(|key| self.batches.get(key));
            batch.is_some_and(|batch| !batch.probe_passed)
        };
        let runs = self.runs.values().filter(due).filter(not_passed);
        let workers: BTreeSet<_> = runs.map(|run| run.worker).collect();
        for worker in workers {
            self.short_poll(worker, out);
        }
    }

    /// Records a suspected crash of a worker that did not answer until the lease of a run expired.
    pub(crate) fn record_lease_expiry(&mut self, now: Time, run: &Run, out: &mut Vec<Output>) {
        let announcement = &self.workers[run.worker].announcement;
        let incarnation = announcement.version.incarnation;
        let silent = self.crashes.silent_workers.entry(announcement.id.clone());
        let silent = silent.or_insert_with(|| SilentWorker {
            incarnation,
            tasks: Vec::new(),
            at: now,
        });
        if silent.incarnation != incarnation {
            silent.tasks.clear();
            silent.incarnation = incarnation;
        }
        silent.at = now;
        silent.tasks.push(run.task);
        self.count_crash(now, run.task, out, Crashes::record_suspected);
    }

    /// Records that an incarnation of a worker has ended: the tasks that it had when it stopped answering may have
    /// crashed it.
    pub(crate) fn incarnation_ended(&mut self, now: Time, worker: &Worker, out: &mut Vec<Output>) {
        let Some(silent) = self.crashes.silent_workers.remove(&worker.announcement.id) else {
            return;
        };
        if silent.incarnation != worker.announcement.version.incarnation {
            return;
        }
        for task in silent.tasks {
            self.count_crash(now, task, out, |crashes| crashes.record_confirmed(true));
        }
    }

    /// Records that the worker of a run has crashed, since its incarnation ended, unless it had accepted a stop of the run.
    pub(crate) fn record_crash(&mut self, now: Time, run: &Run, out: &mut Vec<Output>) {
        if !run.stop_accepted {
            self.count_crash(now, run.task, out, |crashes| {
                crashes.record_confirmed(false)
            });
        }
    }

    /// Merges crashes that another dispatcher has reported.
    pub(crate) fn merge_crashes(
        &mut self,
        now: Time,
        reported: Vec<(TaskId, Crashes)>,
        out: &mut Vec<Output>,
    ) {
        for (task, crashes) in reported {
            let known = self.crashes.tasks.entry(task).or_default();
            let merged = known.0.merge(crashes);
            *known = (merged, now);
            self.apply_crashes(now, task, merged, out);
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

    /// Acts on the known crashes of a task.
    fn apply_crashes(&mut self, now: Time, task: TaskId, crashes: Crashes, out: &mut Vec<Output>) {
        let batch = self.batch_keys.get(&(task.job, task.step)).copied();
        let Some(key) = batch else {
            return;
        };
        let batch = &mut self.batches[key];
        let mut waiting = false;
        if let Some(task) = batch.tasks.get_mut(&task.index) {
            task.crashes = task.crashes.merge(crashes);
            waiting = task.state == TaskState::Waiting;
        }
        let queue = batch.order.queue.clone();
        let origin = batch.origin;
        if crashes.is_likely_cause() {
            self.require_probe(now, queue, out);
        }
        out.push(Output::Send(origin, WorkMsg::Crashed(task, crashes)));
        if waiting {
            self.give_up(now, key, task.index, out);
        }
    }

    /// Gives up the steps that seem to have crashed a worker which does not answer any more. Their callers learn that the
    /// tasks may have run.
    pub(crate) fn suspect_runs(&mut self, now: Time, key: WorkerKey, out: &mut Vec<Output>) {
        let runs = self.workers[key].runs.iter();
        let batches: BTreeSet<_> = runs.filter_map(|run| self.runs[*run].batch).collect();
        for batch in batches {
            if self.is_suspect(batch) {
                self.give_up_suspect_batch(now, batch, out);
            }
        }
    }

    /// Returns whether a step seems to crash its workers: the worker of its probe is silent, or all workers that have
    /// its tasks are silent and there are several of them.
    fn is_suspect(&self, key: BatchKey) -> bool {
        let Some(batch) = self.batches.get(key).filter(|batch| !batch.probe_passed) else {
            return false;
        };
        let runs = batch.tasks.values().filter_map(|task| match task.state {
            TaskState::Running(run) => Some(&self.runs[run]),
            TaskState::Waiting | TaskState::MaybeRunning(_) => None,
        });
        let silent = |run: &Run| self.workers[run.worker].missed_calls >= SILENT_AFTER_MISSES;
        let (silent, others): (Vec<&Run>, Vec<&Run>) = runs.partition(|run| silent(run));
        let workers: BTreeSet<_> = silent.iter().map(|run| run.worker).collect();
        let probe = silent.iter().any(|run| run.probe);
        probe || (others.is_empty() && workers.len() >= MIN_SILENT_WORKERS)
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
        self.crashes.probe_until.insert(queue, now + PROBE_PERIOD);
    }

    /// Merges the queues whose steps another dispatcher starts with a probe.
    pub(crate) fn merge_probe_queues(&mut self, now: Time, queues: Vec<String>) {
        let queues = queues.into_iter().map(|queue| (queue, now + PROBE_PERIOD));
        self.crashes.probe_until.extend(queues);
    }

    /// Gives up all tasks of a batch and stops its runs.
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

    /// Gives up a task that has crashed enough workers, unless it has a run. Returns whether it did.
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

    /// Returns whether a batch is to start with a probe.
    pub(crate) fn needs_probe(&self, batch: &Batch) -> bool {
        !batch.probe_passed && self.crashes.probe_until.contains_key(&batch.order.queue)
    }

    /// Returns whether a task that may have crashed a worker would share `worker` with another such task.
    pub(crate) fn shares_with_suspect(&self, crashes: Crashes, worker: &Worker) -> bool {
        let mut runs = worker.runs.iter().map(|run| &self.runs[*run]);
        crashes.is_suspect() && runs.any(|run| run.suspect)
    }

    /// Records that a worker has listed a run as active.
    pub(crate) fn seen_running(&mut self, now: Time, run: &Run) {
        if now.since(run.started) >= MIN_PROBE_TIME {
            self.mark_probe_passed(run.batch);
        }
    }

    /// Marks the probe of a batch as passed, since one of its tasks is done or keeps running: the other tasks may
    /// start.
    pub(crate) fn mark_probe_passed(&mut self, batch: Option<BatchKey>) {
        let Some(key) = batch else {
            return;
        };
        let needs_probe = self
            .batches
            .get(key)
            .is_some_and(|batch| self.needs_probe(batch));
        if let Some(batch) = self.batches.get_mut(key) {
            batch.probe_passed = true;
            let passes = needs_probe && batch.order.no_wait;
            if passes {
                let tasks = batch.tasks.keys().copied().collect();
                self.passing.push((key, tasks));
            }
        }
    }
}

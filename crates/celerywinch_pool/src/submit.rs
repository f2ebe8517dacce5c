//! Submissions of tasks by origins.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celerywinch_types::{
    InstanceId, Mechanism, PriorRuns, Session, StepOrder, SubmissionNumber, TaskEnd, TaskId,
    TaskOrder, TaskReport, Time,
};

use crate::PoolEvent;
use crate::job::{Batch, BatchKey, Task, TaskState};
use crate::pool::{Output, Pool};
use crate::run::Run;
use crate::tails::Stretch;

/// Within this time a caller whose connection broke while it sent a job sends the job again. A caller whose connection
/// breaks while it waits for the answer retries only after 1.3 s, when nothing of the first attempt is left.
const RESEND_WINDOW: Duration = Duration::from_millis(300);

impl Pool {
    /// Accepts the submitted tasks of a new or known step, unless the job is refused.
    pub(crate) fn submit(
        &mut self,
        now: Time,
        from: InstanceId,
        mut order: StepOrder,
        out: &mut Vec<Output>,
    ) {
        if !self.is_current(from, order.session, order.job, out) {
            return;
        }
        let session = order.session;
        let no_wait = order.no_wait;
        let reserved = (from, order.job, order.step);
        let tasks = std::mem::take(&mut order.tasks);
        if self.owned.is_empty() {
            self.return_tasks(from, &order, &tasks);
            return;
        }
        let known = self.batch_keys.get(&(order.job, order.step)).copied();
        let key = match known {
            Some(key) => {
                if !self.resubmit_batch(now, key, from, &order, &tasks) {
                    return;
                }
                key
            }
            None => {
                self.sizes.record(order.need.cpu);
                let batch = self.new_batch(now, from, order, tasks.len());
                let refusable = batch.order.refusable;
                if refusable && !no_wait && self.refuse_new(now, &batch, &tasks, out) {
                    return;
                }
                if !no_wait {
                    let work = batch.work_of(tasks.len());
                    self.inflow.add(now, batch.order.priority, work);
                }
                let name = (batch.order.job, batch.order.step);
                let key = self.batches.insert(batch);
                self.batch_keys.insert(name, key);
                key
            }
        };
        self.dequeue(key);
        let count = u16::try_from(tasks.len()).unwrap_or(u16::MAX);
        let mut added = BTreeSet::new();
        for task in tasks {
            let index = task.index;
            if !self.batches[key].tasks.contains_key(&index) {
                added.insert(index);
            }
            self.add_task(now, key, session, task, out);
        }
        self.requeue(key);
        self.shrunk.push(key);
        if no_wait && (known.is_none() || !self.config.disabled.contains(Mechanism::LateBinding)) {
            // Its capacity was held in the order of the queue.
            if self.take_holds(now, reserved, count, out) {
                self.place_held(now, key, out);
            }
            self.passing.push((key, added));
        }
    }

    /// Handles the repeated submission of a known step, perhaps by another origin. Tasks that the submission does not name
    /// may be at another dispatcher. Part of the job may have run before, unless the submission is marked as refusable.
    /// Returns false if the submission is superseded.
    ///
    /// A caller that got no answer sends its job to another entry, while the first one may still have it and submits it
    /// again after each broken link. If the job's ends went to the origin that submitted it last, the caller at the other one
    /// would wait until its deadline. So the origin at which the job arrived last keeps it, and the other one is
    /// notified.
    fn resubmit_batch(
        &mut self,
        now: Time,
        key: BatchKey,
        from: InstanceId,
        order: &StepOrder,
        tasks: &[TaskOrder],
    ) -> bool {
        let batch = &mut self.batches[key];
        if batch.origin != from {
            let arrived = now - Duration::from_millis(order.age.into());
            if (arrived, from) < (batch.arrived, batch.origin) {
                let submitted = tasks.iter().map(|task| (task.index, task.submission));
                self.supersede(from, key, submitted.collect());
                return false;
            }
            let submitted = batch.tasks.iter();
            let submitted = submitted.map(|(index, task)| (*index, task.submission));
            let submitted = submitted.collect();
            let earlier = std::mem::replace(&mut batch.origin, from);
            batch.arrived = arrived;
            batch
                .tasks
                .values_mut()
                .for_each(|task| task.session = None);
            self.supersede(earlier, key, submitted);
        }
        let batch = &mut self.batches[key];
        let earlier = |task: &Task| task.session != Some(order.session);
        batch.started |= !order.refusable && batch.tasks.values().any(earlier);
        true
    }

    /// Reports to an origin that another one has taken over the job of a batch, for the tasks that it has submitted.
    fn supersede(
        &mut self,
        origin: InstanceId,
        key: BatchKey,
        submitted: Vec<(u16, SubmissionNumber)>,
    ) {
        let batch = &self.batches[key];
        let reports = submitted.into_iter().map(|(index, submission)| TaskReport {
            task: batch.task_id(index),
            submission,
            end: TaskEnd::Superseded,
        });
        self.unsent_ends.entry(origin).or_default().extend(reports);
    }

    /// Returns those of the newly submitted tasks of a batch that found no free capacity, for another dispatcher to start.
    /// Tasks that were here before have perhaps run, and wait here.
    pub(crate) fn pass_on(
        &mut self,
        now: Time,
        key: BatchKey,
        submitted: &BTreeSet<u16>,
        out: &mut Vec<Output>,
    ) {
        let Some(batch) = self.batches.get(key) else {
            return;
        };
        let tasks = batch.tasks.iter();
        let tasks = tasks.filter(|(index, _)| submitted.contains(index));
        let (waiting, placed): (Vec<_>, Vec<_>) =
            tasks.partition(|(_, task)| task.state == TaskState::Waiting);
        let waiting: Vec<u16> = waiting.into_iter().map(|(index, _)| *index).collect();
        let started = placed.len();
        if batch.tasks.len() > waiting.len() && self.needs_probe(batch) {
            // The other tasks wait for the probe task, not for free capacity.
            return;
        }
        self.inflow
            .add(now, batch.order.priority, batch.work_of(started));
        if !waiting.is_empty() {
            out.push(Output::Event(PoolEvent::Passed {
                job: batch.order.job,
                origin: batch.origin,
                tasks: waiting.len(),
                started,
                queued: self.queue.len(),
            }));
        }
        self.dequeue(key);
        for index in waiting {
            self.finish_task(now, key, index, TaskEnd::Full);
        }
        self.remove_empty();
    }

    /// Returns submitted tasks because no domain is owned here. Tasks that may be running elsewhere are
    /// returned as undetermined; their origin keeps them until a heartbeat names the dispatcher.
    pub(crate) fn return_tasks(&mut self, to: InstanceId, order: &StepOrder, tasks: &[TaskOrder]) {
        for task in tasks {
            let id = TaskId {
                job: order.job,
                step: order.step,
                index: task.index,
            };
            let end = match task.prior_runs {
                PriorRuns::None => TaskEnd::Returned {
                    at: None,
                    failures: task.failures,
                    run: task.run,
                },
                PriorRuns::Last | PriorRuns::Unknown => TaskEnd::Undetermined,
            };
            let report = TaskReport {
                task: id,
                submission: task.submission,
                end,
            };
            self.unsent_ends.entry(to).or_default().push(report);
        }
    }

    pub(crate) fn new_batch(
        &self,
        now: Time,
        origin: InstanceId,
        order: StepOrder,
        tasks: usize,
    ) -> Batch {
        let stretch = if self.config.disabled.contains(Mechanism::Quantiles) {
            Stretch::NONE
        } else {
            self.tails.stretch(&order.queue, tasks)
        };
        let ms = Duration::from_millis;
        let expected = self.run_times.expected(&order.queue, order.estimate);
        let chain = self.run_times.expected(&order.queue, order.critical_path);
        let objective = chain.mul_f64(f64::from(order.slack) / 1e3) + ms(order.target.into());
        let age = ms(order.age.into());
        Batch {
            origin,
            arrived: now - age,
            due: now + objective - age,
            expected,
            stretch,
            ratios: Vec::new(),
            tasks: BTreeMap::new(),
            started: !order.refusable,
            // Another dispatcher passed the rest of the step on after it had started a part of it.
            probe_passed: order.no_wait && !order.refusable,
            order,
        }
    }

    fn add_task(
        &mut self,
        now: Time,
        key: BatchKey,
        session: Session,
        order: TaskOrder,
        out: &mut Vec<Output>,
    ) {
        let batch = &mut self.batches[key];
        let id = batch.task_id(order.index);
        if let Some(task) = batch.tasks.get_mut(&order.index) {
            let resubmitted = task.session == Some(session);
            task.submission = if resubmitted {
                task.submission.max(order.submission)
            } else {
                order.submission
            };
            task.session = Some(session);
            task.unconfirmed = false;
            return;
        }
        if let Some(sent) = self.sent_ends.get(&id)
            && sent.answers_resubmission(batch.origin, &order)
        {
            let report = TaskReport {
                submission: order.submission,
                ..sent.report
            };
            self.report_end(key, report);
            return;
        }
        let task = Task {
            state: TaskState::Waiting,
            failures: order.failures,
            crashes: order.crashes.merge(self.crashes.of(id)),
            run: order.run,
            prior_runs: order.prior_runs,
            submission: order.submission,
            session: Some(session),
            unconfirmed: false,
            failed_on: None,
            overstayed: false,
        };
        self.batches[key].tasks.insert(order.index, task);
        // A task that may run elsewhere waits for the end of the longest lease, and so for the end of any run here.
        if order.prior_runs != PriorRuns::None {
            self.settle(now, key, order.index);
        } else if self.may_run_elsewhere(now, key, id) {
            let until = now + self.config.doubt_timeout;
            self.set_task(key, order.index, TaskState::MaybeRunning(until));
        } else if !self.reclaim_stopping_run(key, order.index) {
            self.give_up(now, key, order.index, out);
        }
    }

    /// Assigns a task the run that it still has here and that is being stopped, and returns whether there is one. This
    /// happens when a caller whose connection broke sends its job again before the worker has carried out the stop.
    /// The task is started again when the run has ended.
    fn reclaim_stopping_run(&mut self, key: BatchKey, index: u16) -> bool {
        let id = self.batches[key].task_id(index);
        let unwanted = |run: &Run| run.task == id && run.batch.is_none();
        let runs = self.runs.iter().filter(|(_, run)| unwanted(run));
        let Some((run, number)) = runs
            .map(|(run_key, run)| (run_key, run.number))
            .max_by_key(|(_, number)| *number)
        else {
            return false;
        };
        self.runs[run].batch = Some(key);
        let batch = &mut self.batches[key];
        batch.started = true;
        if let Some(task) = batch.tasks.get_mut(&index) {
            task.state = TaskState::Running(run);
            task.run = task.run.max(number);
        }
        true
    }

    /// Returns whether a task was recently returned to another origin, which may have it run elsewhere. The caller has
    /// sent the job to both origins; which of them it has left is not known here until the cancellation arrives.
    fn may_run_elsewhere(&self, now: Time, key: BatchKey, id: TaskId) -> bool {
        let origin = self.batches[key].origin;
        self.sent_ends.get(&id).is_some_and(|sent| {
            let recent = now.since(sent.sent_at) <= RESEND_WINDOW;
            recent && sent.origin != origin && sent.report.returns_task()
        })
    }
}

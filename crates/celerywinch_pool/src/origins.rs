//! Removal of tasks that their origins no longer want, and resyncs with origins after lost messages.

use std::collections::BTreeSet;

use celerywinch_types::{InstanceId, JobId, SubmissionNumber, TaskId, Time, WorkMsg};

use crate::job::{Batch, BatchKey, TaskState};
use crate::pool::{Output, Pool};
use crate::sent_ends::SentEnd;

impl Pool {
    /// Asks an origin which tasks it wants here.
    ///
    /// A broken connection may have lost the cancellation of a job whose caller has left. Its tasks would continue,
    /// and run a second time when the caller sends the job again elsewhere. So whenever messages may have been lost,
    /// the origin names the tasks that it wants, and all others are stopped.
    pub(crate) fn request_resync(&mut self, origin: InstanceId, out: &mut Vec<Output>) {
        self.resync_count += 1;
        self.resyncs.insert(origin, self.resync_count);
        let batches = self.batches.values_mut();
        for batch in batches.filter(|batch| batch.origin == origin) {
            batch.tasks.values_mut().for_each(|t| t.unconfirmed = true);
        }
        out.push(Output::Send(origin, WorkMsg::Resync(self.resync_count)));
    }

    /// Returns whether tasks of an origin are here.
    #[must_use]
    pub fn has_work_of(&self, origin: InstanceId) -> bool {
        self.batches.values().any(|batch| batch.origin == origin)
    }

    /// Drops the tasks that an origin has not named in its answer to a resync request. Tasks in `unsure` are kept, as
    /// the origin may still want them.
    pub(crate) fn drop_unnamed(
        &mut self,
        now: Time,
        origin: InstanceId,
        request: u64,
        unsure: &[TaskId],
        out: &mut Vec<Output>,
    ) {
        // This answers an earlier request, which does not cover tasks submitted after it.
        if self.resyncs.get(&origin) != Some(&request) {
            return;
        }
        self.resyncs.remove(&origin);
        let unsure: BTreeSet<_> = unsure.iter().copied().collect();
        let mut unnamed_tasks = Vec::new();
        for batch in self.batches.values().filter(|b| b.origin == origin) {
            let unnamed = batch.tasks.iter().filter(|(_, task)| task.unconfirmed);
            unnamed_tasks.extend(unnamed.map(|(index, _)| batch.task_id(*index)));
        }
        unnamed_tasks.retain(|task| !unsure.contains(task));
        self.drop_tasks(now, origin, &unnamed_tasks, SubmissionNumber::LAST, out);
    }

    /// Drops tasks that their origin does not want here any more and stops their runs, unless they were submitted after
    /// `last`, the latest submission that the origin knew of when it sent the message.
    pub(crate) fn drop_tasks(
        &mut self,
        now: Time,
        origin: InstanceId,
        tasks: &[TaskId],
        last: SubmissionNumber,
        out: &mut Vec<Output>,
    ) {
        for task in tasks {
            let known = self.batch_keys.get(&(task.job, task.step)).copied();
            let Some(key) = known.filter(|key| self.batches[*key].origin == origin) else {
                continue;
            };
            let current = self.batches[key].tasks.get(&task.index);
            if current.is_some_and(|current| current.submission <= last) {
                self.drop_task(now, key, task.index, out);
            }
        }
    }

    fn drop_task(&mut self, now: Time, key: BatchKey, index: u16, out: &mut Vec<Output>) {
        self.dequeue(key);
        let task = self.batches[key].tasks.remove(&index);
        self.requeue(key);
        self.shrunk.push(key);
        if let Some(TaskState::Running(run)) = task.map(|task| task.state) {
            self.runs[run].batch = None;
            self.stop_run(now, run, out);
        }
    }

    /// Drops the steps of a job, except those with a task that was submitted after `last`.
    pub(crate) fn cancel(
        &mut self,
        now: Time,
        from: InstanceId,
        job: JobId,
        last: SubmissionNumber,
        out: &mut Vec<Output>,
    ) {
        let is_cancelled = |batch: &Batch| {
            let before = batch.tasks.values().all(|task| task.submission <= last);
            batch.order.job == job && batch.origin == from && before
        };
        let batches = self.batches.iter().filter(|(_, batch)| is_cancelled(batch));
        let keys: Vec<_> = batches.map(|(key, _)| key).collect();
        for key in keys {
            self.drop_batch(now, key, out);
        }
    }

    /// Drops all tasks of a lost origin.
    pub(crate) fn drop_origin(&mut self, now: Time, origin: InstanceId, out: &mut Vec<Output>) {
        // The next incarnation of the origin numbers its submissions from the beginning.
        let of_submission =
            |sent: &SentEnd| sent.origin == origin && !sent.report.covers_later_submissions();
        self.sent_ends.retain(|_, sent| !of_submission(sent));
        let keys: Vec<_> = self
            .batches
            .iter()
            .filter(|(_, batch)| batch.origin == origin)
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            self.drop_batch(now, key, out);
        }
        self.drop_reservations_of(origin);
    }

    /// Removes a batch that is not wanted any more and stops its runs.
    pub(crate) fn drop_batch(&mut self, now: Time, key: BatchKey, out: &mut Vec<Output>) {
        self.dequeue(key);
        let Some(batch) = self.batches.remove(key) else {
            return;
        };
        self.batch_keys.remove(&(batch.order.job, batch.order.step));
        for task in batch.tasks.values() {
            if let TaskState::Running(run) = task.state {
                self.runs[run].batch = None;
                self.stop_run(now, run, out);
            }
        }
    }
}

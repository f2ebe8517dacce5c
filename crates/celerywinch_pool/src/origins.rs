//! Tasks that their origins want no more, or may not.

use std::collections::BTreeSet;

use celerywinch_types::{InstanceId, JobId, TaskId, Time, WorkMsg};

use crate::job::{Batch, BatchKey, TaskState};
use crate::pool::{Output, Pool};
use crate::sent_ends::SentEnd;

impl Pool {
    /// Asks an origin what it wants done here.
    ///
    /// A link that broke may have swallowed the message that a caller has left. Its tasks would go on,
    /// and run a second time beside them when the caller sends the job again elsewhere. So each time
    /// that messages may be lost the origin names what it wants, and all else is stopped.
    pub(crate) fn request_resync(&mut self, origin: InstanceId, out: &mut Vec<Output>) {
        self.resync_count += 1;
        self.resyncs.insert(origin, self.resync_count);
        let batches = self.batches.values_mut();
        for batch in batches.filter(|batch| batch.origin == origin) {
            batch.tasks.values_mut().for_each(|t| t.unconfirmed = true);
        }
        out.push(Output::Send(origin, WorkMsg::Resync(self.resync_count)));
    }

    /// Whether work of an origin is here.
    #[must_use]
    pub fn has_work_of(&self, origin: InstanceId) -> bool {
        self.batches.values().any(|batch| batch.origin == origin)
    }

    /// An origin has named all that it wants, or may want yet.
    pub(crate) fn drop_unnamed(
        &mut self,
        now: Time,
        origin: InstanceId,
        ask: u64,
        unsure: &[TaskId],
        out: &mut Vec<Output>,
    ) {
        // An earlier question was answered; what was handed in between is not marked by it.
        if self.resyncs.get(&origin) != Some(&ask) {
            return;
        }
        self.resyncs.remove(&origin);
        let unsure: BTreeSet<_> = unsure.iter().copied().collect();
        let mut left = Vec::new();
        for batch in self.batches.values().filter(|b| b.origin == origin) {
            let unnamed = batch.tasks.iter().filter(|(_, task)| task.unconfirmed);
            left.extend(unnamed.map(|(index, _)| batch.task_id(*index)));
        }
        left.retain(|task| !unsure.contains(task));
        self.drop_tasks(now, origin, &left, u32::MAX, out);
    }

    /// These tasks are not wanted here any more, unless they were handed in after the `last` time that
    /// their origin knew of as it said so; their runs are stopped.
    pub(crate) fn drop_tasks(
        &mut self,
        now: Time,
        origin: InstanceId,
        tasks: &[TaskId],
        last: u32,
        out: &mut Vec<Output>,
    ) {
        for task in tasks {
            let known = self.batch_keys.get(&(task.job, task.step)).copied();
            let Some(key) = known.filter(|key| self.batches[*key].origin == origin) else {
                continue;
            };
            let here = self.batches[key].tasks.get(&task.index);
            if here.is_some_and(|here| here.submission <= last) {
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

    pub(crate) fn cancel(
        &mut self,
        now: Time,
        from: InstanceId,
        job: JobId,
        last: u32,
        out: &mut Vec<Output>,
    ) {
        let meant = |batch: &Batch| {
            let before = batch.tasks.values().all(|task| task.submission <= last);
            batch.order.job == job && batch.origin == from && before
        };
        let batches = self.batches.iter().filter(|(_, batch)| meant(batch));
        let keys: Vec<_> = batches.map(|(key, _)| key).collect();
        for key in keys {
            self.drop_batch(now, key, out);
        }
    }

    pub(crate) fn drop_origin(&mut self, now: Time, origin: InstanceId, out: &mut Vec<Output>) {
        // Its next life counts from the beginning.
        let gives_back = |told: &SentEnd| told.origin == origin && told.news.returns_task();
        self.sent_ends.retain(|_, told| !gives_back(told));
        let keys: Vec<_> = self
            .batches
            .iter()
            .filter(|(_, batch)| batch.origin == origin)
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            self.drop_batch(now, key, out);
        }
    }

    /// Nobody wants the batch any more: its runs are stopped.
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

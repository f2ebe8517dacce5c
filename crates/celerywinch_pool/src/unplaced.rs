//! Tasks that no worker of this dispatcher may take, however long they wait.
//!
//! Other dispatchers may have workers that can: in data centres that are not evacuated, of the service, with the label, large
//! enough. A task that stayed here would wait until its caller gives up.

use std::time::Duration;

use celerywinch_types::{TaskEnd, TaskOrder, TaskReport, Time, WorkMsg, WorkerStage};

use crate::PoolEvent;
use crate::job::{Batch, BatchKey, TaskState};
use crate::pool::{Output, Pool};
use crate::worker::{Ownership, Worker};

/// Time after the start of this process in which workers of a service may not have been announced here yet: two intervals
/// of announcements.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(3);

impl Pool {
    /// Returns whether no worker of this dispatcher may take tasks of a batch at present, even once nothing runs there.
    pub(crate) fn is_unplaceable(&self, now: Time, batch: &Batch) -> bool {
        let owned = |worker: &&Worker| worker.ownership != Ownership::None;
        let workers = || self.workers.values().filter(owned);
        if workers().any(|worker| self.may_take(batch, worker)) {
            return false;
        }
        let service = &batch.order.service;
        let announced = workers().any(|worker| worker.announcement.service == *service);
        let started = self.first_input.unwrap_or(now);
        announced || now.since(started) >= ANNOUNCEMENT_TIMEOUT
    }

    /// Returns whether a worker may take tasks of a batch, now or when it has room.
    fn may_take(&self, batch: &Batch, worker: &Worker) -> bool {
        let announcement = &worker.announcement;
        announcement.stage == WorkerStage::Ready
            && !self.evacuated.contains(&announcement.dc)
            && batch.is_offered_by(announcement)
            && announcement.capacity.fits(batch.order.need)
    }

    /// Returns the tasks of a new job of which nothing has run.
    pub(crate) fn return_unplaced(
        &mut self,
        now: Time,
        batch: &Batch,
        tasks: &[TaskOrder],
        out: &mut Vec<Output>,
    ) {
        let reports = tasks.iter().map(|task| TaskReport {
            task: batch.task_id(task.index),
            submission: task.submission,
            end: TaskEnd::Unplaced {
                failures: task.failures,
                run: task.run,
                started: false,
            },
        });
        let reports: Vec<_> = reports.collect();
        for report in &reports {
            self.record_sent_end(now, batch.origin, *report);
        }
        out.push(unplaced_event(batch, reports.len()));
        out.push(Output::Send(batch.origin, WorkMsg::Ended(reports)));
    }

    /// Returns the waiting tasks of a queued batch. Its other tasks may be running, and end here.
    pub(crate) fn return_unplaced_batch(
        &mut self,
        now: Time,
        key: BatchKey,
        out: &mut Vec<Output>,
    ) {
        self.dequeue(key);
        let batch = &self.batches[key];
        let started = batch.started;
        let tasks = batch.tasks.iter();
        let waiting = tasks.filter(|(_, task)| task.state == TaskState::Waiting);
        let waiting: Vec<_> = waiting.map(|(index, task)| (*index, *task)).collect();
        out.push(unplaced_event(batch, waiting.len()));
        for (index, task) in waiting {
            let end = TaskEnd::Unplaced {
                failures: task.failures,
                run: task.run,
                started,
            };
            self.finish_task(now, key, index, end);
        }
    }
}

fn unplaced_event(batch: &Batch, tasks: usize) -> Output {
    Output::Event(PoolEvent::Unplaced {
        job: batch.order.job,
        origin: batch.origin,
        tasks,
    })
}

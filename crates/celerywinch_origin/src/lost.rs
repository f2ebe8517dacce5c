//! Dispatchers that may be lost, and messages to them.

use std::collections::BTreeMap;
use std::time::Duration;

use celerywinch_types::{Doubt, InstanceId, JobEnd, JobId, TaskId, Time, WorkMsg};

use crate::JobEvent;
use crate::job::{PossibleRun, TaskState};
use crate::origin::{Origin, Output, RETRY_AFTER_MS};

/// A task that may run at a lost dispatcher has ended by then: the time for which the dispatcher may
/// start it without hearing its origin (500 ms), and the longest lease with its errors (931 ms).
pub(crate) const LOST_RUN_TIMEOUT: Duration = Duration::from_millis(1_450);

/// Tasks that dispatchers may have which were taken for lost, and are not to start any more.
///
/// One that was silent for a moment has its tasks still. It would start them at any time, beside
/// the one that they have gone to meanwhile: it is told to drop them before they go there. If it does
/// not hear that, it does not hear its origin either, and drops all that is of it.
#[derive(Debug, Default)]
pub(crate) struct Withdrawals {
    tasks: BTreeMap<InstanceId, Vec<TaskId>>,
}

impl Withdrawals {
    /// Notes a task that does not go back to where it was.
    pub(crate) fn add(&mut self, run: &mut PossibleRun, job: JobId, step: u16, index: u16) {
        if let Some(at) = run.dispatcher.take() {
            let task = TaskId { job, step, index };
            self.tasks.entry(at).or_default().push(task);
        }
    }

    pub(crate) fn send(self, last: u32, out: &mut Vec<Output>) {
        for (at, tasks) in self.tasks {
            out.push(Output::Send(at, WorkMsg::Drop { tasks, last }));
        }
    }
}

impl Origin {
    /// What a dispatcher has is named to it again, for messages either way may be lost. It takes
    /// only what it does not know.
    pub(crate) fn resubmit(&mut self, now: Time, peer: InstanceId, out: &mut Vec<Output>) {
        let session = self.session(peer);
        for job in self.jobs.values_mut() {
            let mut steps: Vec<u16> = Vec::new();
            for ((step, _), task) in &job.tasks {
                if matches!(task.state, TaskState::Submitted(at, _) if at == peer)
                    && !steps.contains(step)
                {
                    steps.push(*step);
                }
            }
            for step in steps {
                let tasks = job.tasks.range_mut((step, 0)..=(step, u16::MAX));
                let here = tasks
                    .filter(|(_, t)| matches!(t.state, TaskState::Submitted(at, _) if at == peer));
                self.submissions += 1;
                let submission = self.submissions;
                let orders = here.map(|((_, index), task)| {
                    task.submission = submission;
                    task.order(*index, Doubt::Open)
                });
                let orders = orders.collect();
                let mut order = job.order(now, step, orders);
                order.session = session;
                out.push(Output::Send(peer, WorkMsg::Submit(order)));
            }
        }
    }

    /// Tasks that a dispatcher had when it was last taken for lost.
    pub(crate) fn lost_tasks(&self, dispatcher: InstanceId) -> Vec<TaskId> {
        let mut found = Vec::new();
        for job in self.jobs.values() {
            let there = |state: &TaskState| matches!(state, TaskState::MaybeRunning(t) if t.dispatcher == Some(dispatcher));
            let tasks = job.tasks.iter().filter(|(_, task)| there(&task.state));
            found.extend(tasks.map(|((step, index), _)| TaskId {
                job: job.id,
                step: *step,
                index: *index,
            }));
        }
        found
    }

    /// What a lost dispatcher had may go on running, and goes to its successor.
    pub(crate) fn peer_lost(&mut self, now: Time, peer: InstanceId, out: &mut Vec<Output>) {
        self.holders.retain(|holder| holder.instance != peer);
        self.sessions.entry(peer).or_default().0 += 1;
        let run = PossibleRun {
            domains: self.owned.get(&peer).cloned().unwrap_or_default(),
            doubt: Doubt::Open,
            since: now,
            dispatcher: Some(peer),
        };
        for job in self.jobs.values_mut() {
            let mut lost = false;
            for task in job.tasks.values_mut() {
                if let TaskState::Submitted(at, _) = task.state
                    && at == peer
                {
                    task.state = TaskState::MaybeRunning(run.clone());
                    task.run = task.run.past_lost();
                    lost = true;
                }
            }
            if lost {
                job.doubtful = true;
                self.pending.insert(job.id);
                let note = JobEvent::DispatcherLost {
                    job: job.id,
                    dispatcher: peer,
                };
                out.push(Output::Event(note));
            }
        }
    }

    /// Dispatchers have dropped what a process had that stood still; its callers may have gone to
    /// other entries with the same jobs.
    pub(crate) fn end_all(&mut self, now: Time, out: &mut Vec<Output>) {
        let jobs = self
            .jobs
            .values()
            .map(|job| (job.id, job.may_have_started()));
        for (id, begun) in jobs.collect::<Vec<_>>() {
            let end = if begun {
                JobEnd::Unsure
            } else {
                JobEnd::Refused(RETRY_AFTER_MS)
            };
            self.answer(now, id, end, out);
        }
    }

    /// A dispatcher that was taken for lost is heard again, but no longer dispatches where the tasks may
    /// be running, so they do not go back to it. It is told to drop them, and only a whole wait after
    /// that it surely has.
    pub(crate) fn drop_at_recovered(
        &mut self,
        now: Time,
        id: JobId,
        step: u16,
        out: &mut Vec<Output>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let mut withdrawals = Withdrawals::default();
        for ((_, index), task) in job.tasks.range_mut((step, 0)..=(step, u16::MAX)) {
            let heard = |at| self.holders.iter().any(|holder| holder.instance == at);
            if let TaskState::MaybeRunning(run) = &mut task.state
                && run.dispatcher.is_some_and(heard)
            {
                run.since = now;
                withdrawals.add(run, id, step, *index);
            }
        }
        withdrawals.send(self.submissions, out);
    }

    /// A task that can no longer be running is handed in like a new one.
    pub(crate) fn release_ended(&mut self, now: Time, id: JobId, step: u16, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let mut withdrawals = Withdrawals::default();
        for ((_, index), task) in job.tasks.range_mut((step, 0)..=(step, u16::MAX)) {
            if let TaskState::MaybeRunning(run) = &mut task.state
                && now.since(run.since) >= LOST_RUN_TIMEOUT
            {
                withdrawals.add(run, id, step, *index);
                task.run = task.run.past_lost();
                task.state = TaskState::Pending;
            }
        }
        withdrawals.send(self.submissions, out);
    }
}

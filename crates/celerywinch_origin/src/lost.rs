//! Handling of lost dispatchers, and of lost messages to and from dispatchers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use celerywinch_types::{InstanceId, JobEnd, JobId, PriorRuns, TaskId, Time, WorkMsg};

use crate::JobEvent;
use crate::job::{Job, PossibleRun, Task, TaskState};
use crate::origin::{Origin, Output, RETRY_AFTER_MS};

/// Time after which a task of a lost dispatcher can no longer be running: a dispatcher starts tasks for at most 500 ms
/// after the last contact with their origin, and the longest lease, with clock errors, is 931 ms.
pub(crate) const LOST_RUN_TIMEOUT: Duration = Duration::from_millis(1_450);

/// How long tasks are with a dispatcher before they are submitted to it again. Most tasks take less than a second.
const RESUBMIT_INTERVAL: Duration = Duration::from_secs(3);

/// Tasks that dispatchers reported as lost may still have and must not start, by dispatcher.
///
/// A dispatcher that was unreachable for a moment still has its tasks, and could start one that another dispatcher has
/// got since. It is told to drop them before they are submitted elsewhere. If that message does not arrive, the
/// dispatcher has no contact with this origin either, and drops all of the origin's tasks.
#[derive(Debug, Default)]
pub(crate) struct Withdrawals {
    tasks: BTreeMap<InstanceId, Vec<TaskId>>,
}

impl Withdrawals {
    /// Withdraws one task.
    pub(crate) fn of(dispatcher: InstanceId, task: TaskId) -> Self {
        Self {
            tasks: BTreeMap::from([(dispatcher, vec![task])]),
        }
    }

    /// Records a task that is not submitted to its earlier dispatcher again.
    pub(crate) fn add(&mut self, run: &mut PossibleRun, job: JobId, step: u16, index: u16) {
        if let Some(at) = run.dispatcher.take() {
            let task = TaskId { job, step, index };
            self.tasks.entry(at).or_default().push(task);
        }
    }
}

/// How long a message that takes tasks back is sent again after resets of its link. A submission that was sent before it
/// arrives within this time or not at all, as a link that does not answer is replaced within a second.
const CANCEL_RETENTION: Duration = Duration::from_secs(3);

/// A message that took tasks back from a dispatcher.
#[derive(Clone, Debug)]
struct SentCancel {
    sent_at: Time,
    dispatcher: InstanceId,
    msg: WorkMsg,
}

/// The messages that took tasks back lately.
///
/// A reset of the link may lose such a message while an earlier submission is still on its way. The dispatcher would run
/// those tasks although no caller waits for them.
#[derive(Debug, Default)]
pub(crate) struct SentCancels {
    sent: VecDeque<SentCancel>,
}

impl SentCancels {
    fn record(&mut self, now: Time, dispatcher: InstanceId, msg: WorkMsg) {
        self.sent.push_back(SentCancel {
            sent_at: now,
            dispatcher,
            msg,
        });
    }

    /// Returns the messages to a dispatcher that may have been lost.
    fn to(&self, now: Time, dispatcher: InstanceId) -> impl Iterator<Item = WorkMsg> {
        let recent = move |sent: &&SentCancel| {
            sent.dispatcher == dispatcher && now.since(sent.sent_at) <= CANCEL_RETENTION
        };
        self.sent.iter().filter(recent).map(|sent| sent.msg.clone())
    }

    /// Removes the messages that are not sent again any more.
    pub(crate) fn expire(&mut self, now: Time) {
        let expired = |sent: &SentCancel| now.since(sent.sent_at) > CANCEL_RETENTION;
        while self.sent.front().is_some_and(expired) {
            self.sent.pop_front();
        }
    }
}

impl Origin {
    /// Cancels all tasks of a job at a dispatcher.
    pub(crate) fn cancel(
        &mut self,
        now: Time,
        dispatcher: InstanceId,
        job: JobId,
        out: &mut Vec<Output>,
    ) {
        let cancel = WorkMsg::Cancel {
            job,
            last_submission: self.last_submission,
        };
        self.take_back(now, dispatcher, cancel, out);
    }

    /// Has dispatchers drop the tasks that they may still have and must not start.
    pub(crate) fn withdraw(&mut self, now: Time, withdrawals: Withdrawals, out: &mut Vec<Output>) {
        let last_submission = self.last_submission;
        for (dispatcher, tasks) in withdrawals.tasks {
            let drop = WorkMsg::Drop {
                tasks,
                last_submission,
            };
            self.take_back(now, dispatcher, drop, out);
        }
    }

    fn take_back(&mut self, now: Time, to: InstanceId, msg: WorkMsg, out: &mut Vec<Output>) {
        self.sent_cancels.record(now, to, msg.clone());
        out.push(Output::Send(to, msg));
    }

    /// Handles the reset of the link to a dispatcher: what was submitted and what was taken back may not have arrived.
    pub(crate) fn link_reset(&mut self, now: Time, peer: InstanceId, out: &mut Vec<Output>) {
        self.resubmit(now, peer, out);
        self.doubt_reservations(peer);
        let cancels = self.sent_cancels.to(now, peer);
        out.extend(cancels.map(|msg| Output::Send(peer, msg)));
    }

    /// Submits all tasks of a dispatcher to it again, since messages in either direction may have been lost. The
    /// dispatcher accepts only those that it does not have.
    pub(crate) fn resubmit(&mut self, now: Time, peer: InstanceId, out: &mut Vec<Output>) {
        let jobs: Vec<_> = self.jobs.keys().copied().collect();
        for job in jobs {
            self.resubmit_job(now, job, peer, out);
        }
    }

    /// Submits the tasks of jobs again that have been with their dispatchers for [`RESUBMIT_INTERVAL`].
    ///
    /// Resets of links and losses of dispatchers are noticed sooner. This bounds the wait for a task of which the dispatcher
    /// has lost track for any other reason.
    pub(crate) fn resubmit_overdue(&mut self, now: Time, out: &mut Vec<Output>) {
        let overdue = |job: &&Job| now.since(job.submitted_at) >= RESUBMIT_INTERVAL;
        let jobs = self.jobs.values().filter(overdue);
        let jobs: Vec<_> = jobs.map(|job| (job.id, job.submitted_to())).collect();
        for (job, dispatchers) in jobs {
            for dispatcher in dispatchers {
                self.resubmit_job(now, job, dispatcher, out);
            }
        }
    }

    fn resubmit_job(&mut self, now: Time, id: JobId, peer: InstanceId, out: &mut Vec<Output>) {
        let session = self.session(peer);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let is_there =
            |task: &Task| matches!(task.state, TaskState::Submitted(at, _) if at == peer);
        let there = job.tasks.iter().filter(|(_, task)| is_there(task));
        let steps: BTreeSet<u16> = there.map(|((step, _), _)| *step).collect();
        for step in steps {
            let number = self.last_submission.next();
            self.last_submission = number;
            let tasks = job.tasks.range_mut((step, 0)..=(step, u16::MAX));
            let orders = tasks
                .filter(|(_, task)| is_there(task))
                .map(|((_, index), task)| task.submit(*index, PriorRuns::Unknown, number, true));
            let orders: Vec<_> = orders.collect();
            out.push(Output::Event(JobEvent::Resubmitted {
                job: id,
                to: peer,
                tasks: orders.len(),
            }));
            job.submitted_at = now;
            let mut order = job.order(now, step, orders);
            order.session = session;
            out.push(Output::Send(peer, WorkMsg::Submit(order)));
        }
    }

    /// Returns the tasks that a dispatcher had when it was last reported as lost.
    pub(crate) fn lost_tasks(&self, peer: InstanceId) -> Vec<TaskId> {
        let mut found = Vec::new();
        for job in self.jobs.values() {
            let was_lost = |state: &TaskState| matches!(state, TaskState::MaybeRunning(run) if run.dispatcher == Some(peer));
            let tasks = job.tasks.iter().filter(|(_, task)| was_lost(&task.state));
            found.extend(tasks.map(|((step, index), _)| TaskId {
                job: job.id,
                step: *step,
                index: *index,
            }));
        }
        found
    }

    /// Marks the tasks of a lost dispatcher as possibly running; they are submitted to its successor.
    pub(crate) fn peer_lost(&mut self, now: Time, peer: InstanceId, out: &mut Vec<Output>) {
        self.holders.retain(|holder| holder.instance != peer);
        self.sessions.entry(peer).or_default().0 += 1;
        self.forget_reservations(|dispatcher| dispatcher == peer);
        let run = PossibleRun {
            domains: self.owned.get(&peer).cloned().unwrap_or_default(),
            prior_runs: PriorRuns::Unknown,
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
                job.maybe_ran = true;
                self.pending.insert(job.id);
                let event = JobEvent::DispatcherLost {
                    job: job.id,
                    dispatcher: peer,
                };
                out.push(Output::Event(event));
            }
        }
    }

    /// Answers all callers after a suspension of this process. Dispatchers have dropped its tasks meanwhile, and its
    /// callers may have submitted the same jobs to other entries.
    pub(crate) fn end_all(&mut self, now: Time, out: &mut Vec<Output>) {
        let jobs = self
            .jobs
            .values()
            .map(|job| (job.id, job.may_have_started()));
        for (id, may_have_started) in jobs.collect::<Vec<_>>() {
            let end = if may_have_started {
                JobEnd::Unsure
            } else {
                JobEnd::Refused(RETRY_AFTER_MS)
            };
            self.answer(now, id, end, out);
        }
    }

    /// Tells dispatchers that were lost and are reachable again to drop the tasks that they cannot continue, because
    /// they no longer own the domains where the tasks may be running. The wait for the end of these tasks starts anew:
    /// only [`LOST_RUN_TIMEOUT`] after this message is it certain that the dispatcher does not start them.
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
            let reachable = |at| self.holders.iter().any(|holder| holder.instance == at);
            if let TaskState::MaybeRunning(run) = &mut task.state
                && run.dispatcher.is_some_and(reachable)
            {
                run.since = now;
                withdrawals.add(run, id, step, *index);
            }
        }
        self.withdraw(now, withdrawals, out);
    }

    /// Makes tasks that can no longer be running pending, to be submitted like new ones.
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
        self.withdraw(now, withdrawals, out);
    }
}

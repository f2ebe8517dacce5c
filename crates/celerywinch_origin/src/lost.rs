//! Dispatchers that may be lost, and messages to them.

use std::collections::BTreeMap;
use std::time::Duration;

use celerywinch_types::{InstanceId, JobEnd, JobId, PriorRuns, TaskId, Time, WorkMsg};

use crate::JobEvent;
use crate::job::{Place, Trace};
use crate::origin::{COME_BACK_MS, Origin, Output};

/// A task that may run at a lost dispatcher has ended by then: the time for which the dispatcher may
/// start it without hearing its origin (500 ms), and the longest lease with its errors (931 ms).
pub(crate) const SURELY_ENDED: Duration = Duration::from_millis(1_450);

/// Tasks that dispatchers may have which were taken for lost, and are not to start any more.
///
/// One that was silent for a moment has its tasks still. It would start them at any time, beside
/// the one that they have gone to meanwhile: it is told to drop them before they go there. If it does
/// not hear that, it does not hear its origin either, and drops all that is of it.
#[derive(Debug, Default)]
pub(crate) struct Left {
    tasks: BTreeMap<InstanceId, Vec<TaskId>>,
}

impl Left {
    /// Notes a task that does not go back to where it was.
    pub(crate) fn take(&mut self, trace: &mut Trace, job: JobId, step: u16, index: u16) {
        if let Some(at) = trace.at.take() {
            let task = TaskId { job, step, index };
            self.tasks.entry(at).or_default().push(task);
        }
    }

    pub(crate) fn tell(self, last: u32, out: &mut Vec<Output>) {
        for (at, tasks) in self.tasks {
            out.push(Output::Send(
                at,
                WorkMsg::Drop {
                    tasks,
                    last_submission: last,
                },
            ));
        }
    }
}

impl Origin {
    /// What a dispatcher has is named to it again, for messages either way may be lost. It takes
    /// only what it does not know.
    pub(crate) fn hand_in_again(&mut self, now: Time, peer: InstanceId, out: &mut Vec<Output>) {
        let session = self.session(peer);
        for job in self.jobs.values_mut() {
            let mut steps: Vec<u16> = Vec::new();
            for ((step, _), task) in &job.tasks {
                if matches!(task.place, Place::Out(at, _) if at == peer) && !steps.contains(step) {
                    steps.push(*step);
                }
            }
            for step in steps {
                let tasks = job.tasks.range_mut((step, 0)..=(step, u16::MAX));
                let here =
                    tasks.filter(|(_, t)| matches!(t.place, Place::Out(at, _) if at == peer));
                self.hands += 1;
                let hand = self.hands;
                let orders = here.map(|((_, index), task)| {
                    task.hand = hand;
                    task.order(*index, PriorRuns::Unknown)
                });
                let orders = orders.collect();
                let mut order = job.order(now, step, orders);
                order.session = session;
                out.push(Output::Send(peer, WorkMsg::Submit(order)));
            }
        }
    }

    /// Tasks that a dispatcher had when it was last taken for lost.
    pub(crate) fn unsure_at(&self, dispatcher: InstanceId) -> Vec<TaskId> {
        let mut found = Vec::new();
        for job in self.jobs.values() {
            let there =
                |place: &Place| matches!(place, Place::Unsure(t) if t.at == Some(dispatcher));
            let tasks = job.tasks.iter().filter(|(_, task)| there(&task.place));
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
        let trace = Trace {
            domains: self.held.get(&peer).cloned().unwrap_or_default(),
            doubt: PriorRuns::Unknown,
            since: now,
            at: Some(peer),
        };
        for job in self.jobs.values_mut() {
            let mut lost = false;
            for task in job.tasks.values_mut() {
                if let Place::Out(at, _) = task.place
                    && at == peer
                {
                    task.place = Place::Unsure(trace.clone());
                    task.run = task.run.past_lost();
                    lost = true;
                }
            }
            if lost {
                job.doubtful = true;
                self.open.insert(job.id);
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
    pub(crate) fn give_up_all(&mut self, now: Time, out: &mut Vec<Output>) {
        let jobs = self.jobs.values().map(|job| (job.id, job.begun()));
        for (id, begun) in jobs.collect::<Vec<_>>() {
            let end = if begun {
                JobEnd::Unsure
            } else {
                JobEnd::Refused(COME_BACK_MS)
            };
            self.answer(now, id, end, out);
        }
    }

    /// A dispatcher that was taken for lost is heard again, but no longer dispatches where the tasks may
    /// be running, so they do not go back to it. It is told to drop them, and only a whole wait after
    /// that it surely has.
    pub(crate) fn leave_behind(&mut self, now: Time, id: JobId, step: u16, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let mut left = Left::default();
        for ((_, index), task) in job.tasks.range_mut((step, 0)..=(step, u16::MAX)) {
            let heard = |at| self.holders.iter().any(|holder| holder.instance == at);
            if let Place::Unsure(trace) = &mut task.place
                && trace.at.is_some_and(heard)
            {
                trace.since = now;
                left.take(trace, id, step, *index);
            }
        }
        left.tell(self.hands, out);
    }

    /// A task that can no longer be running is handed in like a new one.
    pub(crate) fn settle_unsure(&mut self, now: Time, id: JobId, step: u16, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let mut left = Left::default();
        for ((_, index), task) in job.tasks.range_mut((step, 0)..=(step, u16::MAX)) {
            if let Place::Unsure(trace) = &mut task.place
                && now.since(trace.since) >= SURELY_ENDED
            {
                left.take(trace, id, step, *index);
                task.run = task.run.past_lost();
                task.place = Place::Todo;
            }
        }
        left.tell(self.hands, out);
    }
}

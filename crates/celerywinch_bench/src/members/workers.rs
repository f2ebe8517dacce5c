//! Workers, and the calls to them.

use std::time::Duration;

use celerywinch_pool::{Answer, Call, Request};
use celerywinch_standin::{Health, LeasedWorker, Ran};
use celerywinch_types::{Resources, TaskId, Time};
use rand::Rng;

use super::lifecycle::AnnouncedState;
use super::links::{answer_size, call_size};
use super::world::{Event, World};

/// An answer that is late is listened for so much longer (`celerywinch_fleet`).
const LATE_ANSWER_WINDOW: Duration = Duration::from_millis(600);
/// Between two looks whether a waiting call can be answered.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A share of the calls to all workers, orders and looks, that get no answer and are carried out seconds
/// later.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UnansweredCalls {
    /// From when, in ms.
    pub start_ms: u64,
    /// Until when, in ms.
    pub end_ms: u64,
    /// How many of the orders, 0 to 1.
    pub share: f64,
}

impl UnansweredCalls {
    fn share_at(self, now: Time) -> Option<f64> {
        let there = self.start_ms * 1_000..self.end_ms * 1_000;
        there.contains(&now.0).then_some(self.share)
    }
}

/// A worker and the path to it.
#[derive(Debug)]
pub(crate) struct WorkerHost {
    pub(crate) worker: LeasedWorker,
    pub(crate) dc: u8,
    pub(crate) up: bool,
    pub(crate) restarts: u32,
    /// When this life began, and whether a call that was sent since then was carried out in it.
    pub(crate) started_at: Time,
    pub(crate) received_call: bool,
    /// Calls are lost until then.
    pub(crate) drop_until: Time,
    /// Orders are carried out late, and not answered, until then.
    pub(crate) late_until: Time,
    /// Its answers are lost until then.
    pub(crate) mute_until: Time,
    /// Calls are refused until then.
    pub(crate) refuse_until: Time,
    pub(crate) announced: AnnouncedState,
    /// How fast its clock runs.
    pub(crate) clock_rate: f64,
}

impl WorkerHost {
    /// A moment by the worker's clock.
    pub(crate) fn local(&self, now: Time) -> Time {
        Time((now.0 as f64 * self.clock_rate) as u64)
    }

    /// What ended there, by the true time.
    pub(crate) fn history(&self) -> impl Iterator<Item = Ran> {
        let real = |at: Time| Time((at.0 as f64 / self.clock_rate) as u64);
        self.worker.history.iter().map(move |ran| Ran {
            from: real(ran.from),
            to: real(ran.to),
            ..*ran
        })
    }
}

/// A call on its way.
#[derive(Clone, Debug)]
pub(crate) struct CallInFlight {
    pub(crate) member: usize,
    pub(crate) incarnation: u64,
    pub(crate) call: Call,
    pub(crate) issued_at: Time,
    /// When it had left the member.
    pub(crate) sent_at: Time,
}

impl World {
    pub(crate) fn call(&mut self, from: usize, call: Call) {
        let incarnation = self.members[from].incarnation();
        let timeout = Event::Answer(from, incarnation, call.key, Answer::NoAnswer);
        self.schedule(self.now + call.timeout, timeout);
        let index = usize::from(call.addr.port()) - 1;
        self.check_evacuated_start(index, &call);
        let delay = self.link_delay(self.members[from].dc, self.workers[index].dc);
        let sent_at = self.enqueue_outgoing(from, call_size(&call.request));
        let in_flight = CallInFlight {
            member: from,
            incarnation,
            call,
            issued_at: self.now,
            sent_at,
        };
        self.schedule(sent_at + delay, Event::ReceiveCall(index, in_flight));
    }

    /// A call arrives at a worker.
    pub(crate) fn receive_call(&mut self, index: usize, in_flight: CallInFlight) {
        let host = &self.workers[index];
        let cut = self.is_cut(self.members[in_flight.member].dc, host.dc);
        if cut || host.drop_until > self.now {
            return;
        }
        if self.is_refused(index) {
            self.reply(index, &in_flight, Answer::ConnectionRefused);
            return;
        }
        if !host.up {
            return;
        }
        if host.worker.id != in_flight.call.worker {
            self.reply(index, &in_flight, Answer::OtherIncarnation);
            return;
        }
        let order = matches!(
            in_flight.call.request,
            Request::Start { .. } | Request::Stop { .. }
        );
        let delay = self.link_delay(self.members[in_flight.member].dc, self.workers[index].dc);
        let arrives = self.now <= in_flight.sent_at + delay;
        if (order && self.draw_late(index)) || (arrives && self.draw_unanswered()) {
            let late = Duration::from_millis(self.random.random_range(2_000..6_000));
            self.schedule(self.now + late, Event::ExecuteLate(index, in_flight));
            return;
        }
        if let Request::Poll { cursor, wait, .. } = in_flight.call.request {
            let local = self.workers[index].local(self.now);
            self.workers[index].worker.advance(local);
            let until = in_flight.sent_at + Duration::from_millis(wait.into());
            if self.now < until && !self.workers[index].worker.has_news(cursor) {
                self.extend_lease(index, &in_flight);
                self.schedule(
                    self.now + POLL_INTERVAL,
                    Event::ReceiveCall(index, in_flight),
                );
                return;
            }
        }
        let answer = self.execute_call(index, &in_flight);
        self.reply(index, &in_flight, answer);
    }

    /// Whether an order is to be carried out late.
    fn draw_late(&mut self, index: usize) -> bool {
        if self.workers[index].late_until > self.now {
            return self.random.random_bool(0.5);
        }
        false
    }

    fn draw_unanswered(&mut self) -> bool {
        let all = self.options.unanswered;
        let share = all.and_then(|all| all.share_at(self.now));
        share.is_some_and(|share| self.random.random_bool(share))
    }

    /// The lease counts from the arrival of a look that then waits.
    fn extend_lease(&mut self, index: usize, in_flight: &CallInFlight) {
        let mut call = in_flight.call.clone();
        if let Request::Poll { cursor, .. } = &mut call.request {
            *cursor = 0;
        }
        let in_flight = CallInFlight {
            call,
            ..in_flight.clone()
        };
        self.execute_call(index, &in_flight);
    }

    pub(crate) fn execute(&mut self, index: usize, call: &Call) -> Answer {
        let (need, run_time) = match &call.request {
            Request::Start { task, .. } => self.work_for(*task),
            Request::Stop { .. } | Request::Poll { .. } => (Resources::default(), Duration::ZERO),
        };
        let now = self.workers[index].local(self.now);
        let worker = &mut self.workers[index].worker;
        if worker.id != call.worker {
            return Answer::OtherIncarnation;
        }
        let before = worker.started;
        let answer = worker.order(now, call.fence, &call.request, need, run_time);
        if let Request::Start { task, .. } = &call.request
            && worker.started > before
        {
            self.check_start(index, *task);
        }
        answer
    }

    /// Carries a call out, and remembers if it was sent to this life.
    pub(crate) fn execute_call(&mut self, index: usize, in_flight: &CallInFlight) -> Answer {
        let host = &mut self.workers[index];
        host.received_call |= in_flight.issued_at >= host.started_at;
        self.execute(index, &in_flight.call)
    }

    fn work_for(&self, task: TaskId) -> (Resources, Duration) {
        let job = self.jobs.iter().rev().find(|job| job.id == task.job);
        let job = job.expect("a task of a job");
        let run_time = job.task_times[usize::from(task.index)];
        (job.plan.steps[0].need, run_time)
    }

    fn reply(&mut self, index: usize, in_flight: &CallInFlight, answer: Answer) {
        if self.workers[index].mute_until > self.now {
            return;
        }
        let delay = self.link_delay(self.members[in_flight.member].dc, self.workers[index].dc);
        let bytes = answer_size(&answer);
        let event = Event::Answer(
            in_flight.member,
            in_flight.incarnation,
            in_flight.call.key,
            answer,
        );
        let due = self.enqueue_incoming(in_flight.member, self.now + delay, bytes);
        let due = self.after_backlog(in_flight.member, due);
        let late = due.since(in_flight.issued_at + in_flight.call.timeout);
        self.schedule(due, event);
        if !late.is_zero() && late <= LATE_ANSWER_WINDOW {
            let took = due
                .since(in_flight.issued_at)
                .saturating_sub(in_flight.call.request.max_wait());
            self.schedule(
                due,
                Event::LateAnswer(in_flight.member, in_flight.incarnation, took),
            );
        }
    }

    pub(crate) fn pick_worker(&mut self) -> usize {
        self.random.random_range(0..self.workers.len())
    }

    pub(crate) fn impair_worker(&mut self, health: Health, duration: Duration) {
        let index = self.pick_worker();
        let now = self.now;
        let local = self.workers[index].local(now);
        let worker = &mut self.workers[index].worker;
        worker.advance(local);
        worker.health = health;
        self.schedule(now + duration, Event::RestoreHealth(index));
    }

    pub(crate) fn restore_health(&mut self, index: usize) {
        let local = self.workers[index].local(self.now);
        let worker = &mut self.workers[index].worker;
        worker.advance(local);
        worker.health = Health::Sound(1.0);
    }

    pub(crate) fn lose_calls(&mut self, duration: Duration) {
        let index = self.pick_worker();
        self.workers[index].drop_until = self.now + duration;
    }

    pub(crate) fn lose_answers(&mut self, duration: Duration) {
        let index = self.pick_worker();
        self.workers[index].mute_until = self.now + duration;
        self.trace(|| format!("worker-{index} loses answers"));
    }

    pub(crate) fn refuse_calls(&mut self, duration: Duration) {
        let index = self.pick_worker();
        self.workers[index].refuse_until = self.now + duration;
    }

    /// Whether nobody listens at a worker's address, or nobody can connect to it.
    fn is_refused(&self, index: usize) -> bool {
        let host = &self.workers[index];
        let plan = self.options.faults;
        plan.is_some_and(|plan| plan.refused) && (!host.up || host.refuse_until > self.now)
    }

    pub(crate) fn delay_requests(&mut self, duration: Duration) {
        let index = self.pick_worker();
        self.workers[index].late_until = self.now + duration;
    }
}

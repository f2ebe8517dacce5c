//! Simulated workers, and the calls of members to them.

use std::time::Duration;

use celerywinch_pool::{Answer, Call, Request};
use celerywinch_standin::{Health, LeasedWorker, Ran};
use celerywinch_types::{Resources, TaskId, Time};
use rand::Rng;

use super::lifecycle::AnnouncedState;
use super::links::{answer_size, call_size};
use super::world::{Event, World};

/// Time after a call's timeout in which a late answer is still received, as in `celerywinch_fleet`.
const LATE_ANSWER_WINDOW: Duration = Duration::from_millis(600);
/// Interval at which a waiting long poll is checked for an answer.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Share of the calls to all workers, polls included, that get no answer and are executed 2 to 6 s later.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UnansweredCalls {
    /// Start, in ms.
    pub start_ms: u64,
    /// End, in ms.
    pub end_ms: u64,
    /// Share of the calls, 0 to 1.
    pub share: f64,
}

impl UnansweredCalls {
    /// Returns the share at a time, or `None` outside of the interval.
    fn share_at(self, now: Time) -> Option<f64> {
        let interval = self.start_ms * 1_000..self.end_ms * 1_000;
        interval.contains(&now.0).then_some(self.share)
    }
}

/// Simulated worker and the faults of the path to it.
#[derive(Debug)]
pub(crate) struct WorkerHost {
    pub(crate) worker: LeasedWorker,
    pub(crate) dc: u8,
    pub(crate) up: bool,
    pub(crate) restarts: u32,
    /// Start of the present incarnation.
    pub(crate) started_at: Time,
    /// Whether the present incarnation has executed a call that was issued since its start.
    pub(crate) received_call: bool,
    /// Calls to the worker are lost until then.
    pub(crate) drop_until: Time,
    /// Until then, half of the starts and stops are executed late and not answered.
    pub(crate) late_until: Time,
    /// Answers of the worker are lost until then.
    pub(crate) mute_until: Time,
    /// Connections to the worker are refused until then.
    pub(crate) refuse_until: Time,
    pub(crate) announced: AnnouncedState,
    /// Rate of the worker's clock, 1 if it is exact.
    pub(crate) clock_rate: f64,
}

impl WorkerHost {
    /// Converts a time to the worker's clock.
    pub(crate) fn local(&self, now: Time) -> Time {
        Time((now.0 as f64 * self.clock_rate) as u64)
    }

    /// Returns the runs that have ended in this incarnation, with times converted from the worker's clock.
    pub(crate) fn history(&self) -> impl Iterator<Item = Ran> {
        let real = |at: Time| Time((at.0 as f64 / self.clock_rate) as u64);
        self.worker.history.iter().map(move |ran| Ran {
            from: real(ran.from),
            to: real(ran.to),
            ..*ran
        })
    }
}

/// Call of a member to a worker.
#[derive(Clone, Debug)]
pub(crate) struct CallInFlight {
    pub(crate) member: usize,
    pub(crate) incarnation: u64,
    pub(crate) call: Call,
    /// Time at which the member issued the call.
    pub(crate) issued_at: Time,
    /// Time at which the call had left the member's outgoing link.
    pub(crate) sent_at: Time,
}

impl World {
    /// Sends a call to a worker and schedules its timeout.
    pub(crate) fn call(&mut self, from: usize, call: Call) {
        let incarnation = self.members[from].incarnation();
        let timeout = Event::Answer(from, incarnation, call.key, Answer::NoAnswer);
        self.schedule(self.now + call.timeout, timeout);
        let index = usize::from(call.addr.port()) - 1;
        self.check_evacuated_start(from, index, &call);
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

    /// Handles a call at a worker: it is lost, refused, delayed, answered at once, or kept waiting if it is a long poll
    /// and no run has ended.
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
        let changes_run = matches!(
            in_flight.call.request,
            Request::Start { .. } | Request::Stop { .. }
        );
        let delay = self.link_delay(self.members[in_flight.member].dc, self.workers[index].dc);
        let first_arrival = self.now <= in_flight.sent_at + delay;
        if (changes_run && self.draw_late(index)) || (first_arrival && self.draw_unanswered()) {
            let late = Duration::from_millis(self.random.random_range(2_000..6_000));
            self.schedule(self.now + late, Event::ExecuteLate(index, in_flight));
            return;
        }
        if let Request::Poll { cursor, wait, .. } = in_flight.call.request {
            let local = self.workers[index].local(self.now);
            self.workers[index].worker.advance(local);
            let until = in_flight.sent_at + Duration::from_millis(wait.into());
            if self.now < until && !self.workers[index].worker.has_ends_after(cursor) {
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

    /// Draws whether a start or stop is executed late.
    fn draw_late(&mut self, index: usize) -> bool {
        if self.workers[index].late_until > self.now {
            return self.random.random_bool(0.5);
        }
        false
    }

    /// Draws whether a call gets no answer.
    fn draw_unanswered(&mut self) -> bool {
        let plan = self.options.unanswered;
        let share = plan.and_then(|plan| plan.share_at(self.now));
        share.is_some_and(|share| self.random.random_bool(share))
    }

    /// Extends the worker's lease for a long poll that waits: the lease counts from the arrival of the poll.
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

    /// Executes a call at a worker, and checks a start that the worker accepts.
    pub(crate) fn execute(&mut self, index: usize, call: &Call) -> Answer {
        let (need, run_time) = match &call.request {
            Request::Start { task, .. } => self.work_for(*task, index),
            Request::Stop { .. } | Request::Poll { .. } => (Resources::default(), Duration::ZERO),
        };
        let now = self.workers[index].local(self.now);
        let worker = &mut self.workers[index].worker;
        if worker.id != call.worker {
            return Answer::OtherIncarnation;
        }
        let started_before = worker.started;
        let answer = worker.handle_request(now, call.fence, &call.request, need, run_time);
        if let Request::Start { task, .. } = &call.request
            && worker.started > started_before
        {
            self.check_start(index, *task);
        }
        answer
    }

    /// Executes a call, and records whether it was issued since the present incarnation started.
    pub(crate) fn execute_call(&mut self, index: usize, in_flight: &CallInFlight) -> Answer {
        let host = &mut self.workers[index];
        host.received_call |= in_flight.issued_at >= host.started_at;
        self.execute(index, &in_flight.call)
    }

    /// Returns the resources of a task and its run time on a worker.
    fn work_for(&self, task: TaskId, worker: usize) -> (Resources, Duration) {
        let job = self.jobs.iter().rev().find(|job| job.id == task.job);
        let job = job.expect("a task of a job");
        let run_time = job.task_times[usize::from(task.index)];
        let run_time = run_time.div_f64(self.options.kinds.speed(worker));
        (job.plan.steps[0].need, run_time)
    }

    /// Sends an answer back to the member.
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
        let delay = due.since(in_flight.issued_at + in_flight.call.timeout);
        self.schedule(due, event);
        if !delay.is_zero() && delay <= LATE_ANSWER_WINDOW {
            let answer_time = due
                .since(in_flight.issued_at)
                .saturating_sub(in_flight.call.request.max_wait());
            self.schedule(
                due,
                Event::LateAnswer(in_flight.member, in_flight.incarnation, answer_time),
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
        worker.health = Health::Healthy(1.0);
    }

    pub(crate) fn lose_calls(&mut self, duration: Duration) {
        let index = self.pick_worker();
        self.workers[index].drop_until = self.now + duration;
    }

    pub(crate) fn lose_answers(&mut self, duration: Duration) {
        let index = self.pick_worker();
        self.workers[index].mute_until = self.now + duration;
        self.trace(|| format!("worker-{index}: answers are lost"));
    }

    pub(crate) fn refuse_calls(&mut self, duration: Duration) {
        let index = self.pick_worker();
        self.workers[index].refuse_until = self.now + duration;
    }

    /// Returns whether connections to a worker are refused: no process listens at its address, or a fault refuses them.
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

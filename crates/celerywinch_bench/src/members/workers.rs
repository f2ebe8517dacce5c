//! Workers, and the calls to them.

use std::time::Duration;

use celerywinch_pool::{Answer, Call, Request};
use celerywinch_standin::{Health, LeasedWorker, Ran};
use celerywinch_types::{Resources, TaskId, Time};
use rand::Rng;

use super::lives::Word;
use super::wire::{size_of_answer, size_of_order};
use super::world::{Event, World};

/// An answer that is late is listened for so much longer (`celerywinch_fleet`).
const LISTENED: Duration = Duration::from_millis(600);
/// Between two looks whether a waiting call can be answered.
const POLL: Duration = Duration::from_millis(1);

/// A share of the calls to all workers, orders and looks, that get no answer and are carried out seconds
/// later.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Unanswered {
    /// From when, in ms.
    pub from: u64,
    /// Until when, in ms.
    pub to: u64,
    /// How many of the orders, 0 to 1.
    pub share: f64,
}

impl Unanswered {
    fn share_at(self, now: Time) -> Option<f64> {
        let there = self.from * 1_000..self.to * 1_000;
        there.contains(&now.0).then_some(self.share)
    }
}

/// A worker and the path to it.
#[derive(Debug)]
pub(crate) struct WorkerHost {
    pub(crate) worker: LeasedWorker,
    pub(crate) dc: u8,
    pub(crate) up: bool,
    pub(crate) lives: u32,
    /// When this life began, and whether a call that was sent since then was carried out in it.
    pub(crate) since: Time,
    pub(crate) called: bool,
    /// Calls are lost until then.
    pub(crate) loses: Time,
    /// Orders are carried out late, and not answered, until then.
    pub(crate) late: Time,
    /// Its answers are lost until then.
    pub(crate) mute: Time,
    /// Calls are refused until then.
    pub(crate) refuses: Time,
    pub(crate) word: Word,
    /// How fast its clock runs.
    pub(crate) rate: f64,
}

impl WorkerHost {
    /// A moment by the worker's clock.
    pub(crate) fn local(&self, now: Time) -> Time {
        Time((now.0 as f64 * self.rate) as u64)
    }

    /// What ended there, by the true time.
    pub(crate) fn history(&self) -> impl Iterator<Item = Ran> {
        let real = |at: Time| Time((at.0 as f64 / self.rate) as u64);
        self.worker.history.iter().map(move |ran| Ran {
            from: real(ran.from),
            to: real(ran.to),
            ..*ran
        })
    }
}

/// A call on its way.
#[derive(Clone, Debug)]
pub(crate) struct OnWay {
    pub(crate) from: usize,
    pub(crate) life: u64,
    pub(crate) call: Call,
    pub(crate) since: Time,
    /// When it had left the member.
    pub(crate) sent: Time,
}

impl World {
    pub(crate) fn call(&mut self, from: usize, call: Call) {
        let life = self.members[from].life();
        let timeout = Event::Answer(from, life, call.key, Answer::NoAnswer);
        self.at(self.now + call.timeout, timeout);
        let index = usize::from(call.addr.port()) - 1;
        self.judge_evacuated_start(index, &call);
        let delay = self.delay(self.members[from].dc, self.workers[index].dc);
        let sent = self.leave(from, size_of_order(&call.request));
        let way = OnWay {
            from,
            life,
            call,
            since: self.now,
            sent,
        };
        self.at(sent + delay, Event::Order(index, way));
    }

    /// A call arrives at a worker.
    pub(crate) fn ordered(&mut self, index: usize, way: OnWay) {
        let host = &self.workers[index];
        let cut = self.is_cut(self.members[way.from].dc, host.dc);
        if cut || host.loses > self.now {
            return;
        }
        if self.is_refused(index) {
            self.reply(index, &way, Answer::ConnectionRefused);
            return;
        }
        if !host.up {
            return;
        }
        if host.worker.id != way.call.worker {
            self.reply(index, &way, Answer::OtherIncarnation);
            return;
        }
        let order = matches!(
            way.call.request,
            Request::Start { .. } | Request::Stop { .. }
        );
        let delay = self.delay(self.members[way.from].dc, self.workers[index].dc);
        let arrives = self.now <= way.sent + delay;
        if (order && self.is_late(index)) || (arrives && self.is_unanswered()) {
            let late = Duration::from_millis(self.random.random_range(2_000..6_000));
            self.at(self.now + late, Event::LateOrder(index, way));
            return;
        }
        if let Request::Poll { cursor, wait, .. } = way.call.request {
            let local = self.workers[index].local(self.now);
            self.workers[index].worker.advance(local);
            let until = way.sent + Duration::from_millis(wait.into());
            if self.now < until && !self.workers[index].worker.has_ends_after(cursor) {
                self.extend(index, &way);
                self.at(self.now + POLL, Event::Order(index, way));
                return;
            }
        }
        let answer = self.carry_out_sent(index, &way);
        self.reply(index, &way, answer);
    }

    /// Whether an order is to be carried out late.
    fn is_late(&mut self, index: usize) -> bool {
        if self.workers[index].late > self.now {
            return self.random.random_bool(0.5);
        }
        false
    }

    fn is_unanswered(&mut self) -> bool {
        let all = self.options.unanswered;
        let share = all.and_then(|all| all.share_at(self.now));
        share.is_some_and(|share| self.random.random_bool(share))
    }

    /// The lease counts from the arrival of a look that then waits.
    fn extend(&mut self, index: usize, way: &OnWay) {
        let mut call = way.call.clone();
        if let Request::Poll { cursor, .. } = &mut call.request {
            *cursor = 0;
        }
        let way = OnWay {
            call,
            ..way.clone()
        };
        self.carry_out_sent(index, &way);
    }

    pub(crate) fn carry_out(&mut self, index: usize, call: &Call) -> Answer {
        let (need, takes) = match &call.request {
            Request::Start { task, .. } => self.work_of(*task),
            Request::Stop { .. } | Request::Poll { .. } => (Resources::default(), Duration::ZERO),
        };
        let now = self.workers[index].local(self.now);
        let worker = &mut self.workers[index].worker;
        if worker.id != call.worker {
            return Answer::OtherIncarnation;
        }
        let before = worker.started;
        let answer = worker.handle_request(now, call.fence, &call.request, need, takes);
        if let Request::Start { task, .. } = &call.request
            && worker.started > before
        {
            self.started(index, *task);
        }
        answer
    }

    /// Carries a call out, and remembers if it was sent to this life.
    pub(crate) fn carry_out_sent(&mut self, index: usize, way: &OnWay) -> Answer {
        let host = &mut self.workers[index];
        host.called |= way.since >= host.since;
        self.carry_out(index, &way.call)
    }

    fn work_of(&self, task: TaskId) -> (Resources, Duration) {
        let job = self.jobs.iter().rev().find(|job| job.id == task.job);
        let job = job.expect("a task of a job");
        let takes = job.takes[usize::from(task.index)];
        (job.plan.steps[0].need, takes)
    }

    fn reply(&mut self, index: usize, way: &OnWay, answer: Answer) {
        if self.workers[index].mute > self.now {
            return;
        }
        let delay = self.delay(self.members[way.from].dc, self.workers[index].dc);
        let bytes = size_of_answer(&answer);
        let event = Event::Answer(way.from, way.life, way.call.key, answer);
        let due = self.reach(way.from, self.now + delay, bytes);
        let due = self.arrival(way.from, due);
        let late = due.since(way.since + way.call.timeout);
        self.at(due, event);
        if !late.is_zero() && late <= LISTENED {
            let took = due
                .since(way.since)
                .saturating_sub(way.call.request.max_wait());
            self.at(due, Event::LateAnswer(way.from, way.life, took));
        }
    }

    pub(crate) fn pick_worker(&mut self) -> usize {
        self.random.random_range(0..self.workers.len())
    }

    pub(crate) fn weaken(&mut self, health: Health, lasts: Duration) {
        let index = self.pick_worker();
        let now = self.now;
        let local = self.workers[index].local(now);
        let worker = &mut self.workers[index].worker;
        worker.advance(local);
        worker.health = health;
        self.at(now + lasts, Event::Heal(index));
    }

    pub(crate) fn heal(&mut self, index: usize) {
        let local = self.workers[index].local(self.now);
        let worker = &mut self.workers[index].worker;
        worker.advance(local);
        worker.health = Health::Healthy(1.0);
    }

    pub(crate) fn lose_calls(&mut self, lasts: Duration) {
        let index = self.pick_worker();
        self.workers[index].loses = self.now + lasts;
    }

    pub(crate) fn lose_answers(&mut self, lasts: Duration) {
        let index = self.pick_worker();
        self.workers[index].mute = self.now + lasts;
        self.say(|| format!("worker-{index} loses answers"));
    }

    pub(crate) fn refuse_calls(&mut self, lasts: Duration) {
        let index = self.pick_worker();
        self.workers[index].refuses = self.now + lasts;
    }

    /// Whether nobody listens at a worker's address, or nobody can connect to it.
    fn is_refused(&self, index: usize) -> bool {
        let host = &self.workers[index];
        let plan = self.options.faults;
        plan.is_some_and(|plan| plan.refused) && (!host.up || host.refuses > self.now)
    }

    pub(crate) fn late_orders(&mut self, lasts: Duration) {
        let index = self.pick_worker();
        self.workers[index].late = self.now + lasts;
    }
}

//! Lives of workers: crashes, returns under the same name, leaves, and rooms that shrink.

use std::time::Duration;

use celerywinch_pool::{Call, Request};
use celerywinch_standin::LeasedWorker;
use celerywinch_types::{
    AnnouncementVersion, FleetMsg, Incarnation, Resources, TaskId, Time, WorkerAnnouncement,
    WorkerStage,
};
use rand::Rng;

use super::history::Violation;
use super::world::{EPOCH_MS, Event, SKEW_MS, World};

/// How long a new worker takes to announce itself.
const ANNOUNCE: Duration = Duration::from_millis(300);
/// A worker that has said that it leaves serves on for so long; from then on nothing may be started there.
const DRAIN: Duration = Duration::from_secs(2);
/// Then it ends, ...
const LINGER: Duration = Duration::from_millis(300);
/// ... and so long it takes until dispatchers whose incoming paths are congested have heard of anything.
const CONGESTED: Duration = Duration::from_secs(2);
/// A room that shrinks counts so long after its worker has said so.
const SHRUNK: Duration = Duration::from_secs(1);
/// What a life that is over has said arrives up to so many ms after the next one has begun.
const STALE_MS: u64 = 3_000;
/// The share of jobs whose tasks end their workers, where there are such jobs.
const ENDING_JOBS: f64 = 0.02;
/// How long after its start such a task ends its worker, in ms, and how long that is down.
const ENDS_AFTER_MS: std::ops::Range<u64> = 5..40;
const DOWN_MS: std::ops::Range<u64> = 500..3_000;

/// What a worker has said of itself in its present life.
#[derive(Clone, Debug)]
pub(crate) struct Word {
    pub(crate) stage: WorkerStage,
    pub(crate) sequence: u64,
    /// When it said that it leaves.
    pub(crate) notice: Option<Time>,
    /// Since when it has the room that it has.
    pub(crate) room_since: Time,
    /// What it has where nothing is taken from it.
    pub(crate) whole: Resources,
}

impl Word {
    pub(crate) fn new(whole: Resources) -> Self {
        Self {
            stage: WorkerStage::Ready,
            sequence: 1,
            notice: None,
            room_since: Time(0),
            whole,
        }
    }
}

impl World {
    fn keeps_names(&self) -> bool {
        self.options.faults.is_some_and(|plan| plan.reborn)
    }

    /// What a worker says of itself.
    pub(crate) fn note(&self, index: usize) -> WorkerAnnouncement {
        let host = &self.workers[index];
        let life = host.worker.incarnation;
        WorkerAnnouncement {
            id: host.worker.id.clone(),
            service: "catalogue".to_owned(),
            addr: ([127, 0, 0, 1], 1 + index as u16).into(),
            dc: celerywinch_types::DataCentreId(host.dc),
            capacity: host.worker.capacity,
            labels: Vec::new(),
            stage: host.word.stage,
            version: AnnouncementVersion {
                incarnation: life.unwrap_or(Incarnation(host.lives.into())),
                sequence: host.word.sequence,
            },
        }
    }

    /// All members hear of a worker, as by the keepers.
    pub(crate) fn announce(&mut self, index: usize) {
        self.tell_all(&self.note(index));
    }

    pub(crate) fn tell_all(&mut self, note: &WorkerAnnouncement) {
        for member in 0..self.members.len() {
            if self.members[member].is_up() {
                let msg = FleetMsg::Workers(vec![note.clone()]);
                self.deliver(member, member, msg);
            }
        }
    }

    fn say_again(&mut self, index: usize) {
        self.workers[index].word.sequence += 1;
        self.announce(index);
    }

    /// A worker is down for a while, and comes back as another life.
    pub(crate) fn crash_worker(&mut self, lasts: Duration) {
        let index = self.pick_worker();
        self.end_worker(index, lasts);
    }

    fn end_worker(&mut self, index: usize, lasts: Duration) {
        let now = self.now;
        let host = &mut self.workers[index];
        if !host.up {
            return;
        }
        host.worker.crash(host.local(now));
        host.up = false;
        self.at(now + lasts, Event::WorkerBack(index));
    }

    pub(crate) fn worker_back(&mut self, index: usize) {
        let now = self.now;
        let keeps = self.keeps_names();
        let last_word = self.note(index);
        let life = keeps.then(|| self.born());
        let host = &mut self.workers[index];
        host.lives += 1;
        host.up = true;
        (host.since, host.called) = (now, false);
        let id = if keeps {
            host.worker.id.clone()
        } else {
            format!("worker-{index}-{}", host.lives)
        };
        let mut next = LeasedWorker::new(host.local(now), &id, host.word.whole);
        next.checks_capacity = host.worker.checks_capacity;
        next.incarnation = life;
        host.word = Word::new(host.word.whole);
        self.history.extend(host.history());
        host.worker = next;
        self.at(now + ANNOUNCE, Event::Announce(index));
        if keeps {
            let late = Duration::from_millis(self.random.random_range(0..STALE_MS));
            self.at(now + late, Event::Stale(last_word));
        }
    }

    /// What a worker that starts now says of when it did; its clock may have been set back since the last time.
    fn born(&mut self) -> Incarnation {
        let right = EPOCH_MS + self.now.0 / 1_000;
        let wrong = self.options.faults.is_some_and(|plan| plan.clocks);
        let skew = if wrong {
            self.random.random_range(0..2 * SKEW_MS)
        } else {
            SKEW_MS
        };
        Incarnation(right + skew - SKEW_MS)
    }

    /// A worker says that it leaves, serves on for a while, ends, and is back later.
    pub(crate) fn drain_worker(&mut self) {
        let index = self.pick_worker();
        let now = self.now;
        let host = &mut self.workers[index];
        if !host.up || host.word.stage != WorkerStage::Ready {
            return;
        }
        host.word.stage = WorkerStage::Draining;
        host.word.notice = Some(now);
        let lives = host.lives;
        self.say_again(index);
        self.at(now + DRAIN + LINGER, Event::WorkerLeaves(index, lives));
    }

    pub(crate) fn worker_leaves(&mut self, index: usize, lives: u32) {
        let host = &mut self.workers[index];
        if !host.up || host.lives != lives {
            return;
        }
        host.word.stage = WorkerStage::Gone;
        self.announce(index);
        let lasts = Duration::from_millis(self.random.random_range(DOWN_MS));
        self.end_worker(index, lasts);
    }

    /// A worker has less room for a while, and does not end what is there.
    pub(crate) fn shrink_worker(&mut self, lasts: Duration) {
        let index = self.pick_worker();
        let share = self.random.random_range(0.2..0.9);
        let host = &self.workers[index];
        let cpu = (f64::from(host.word.whole.cpu) * share) as u32;
        let lives = host.lives;
        self.set_room(index, cpu);
        self.at(self.now + lasts, Event::Grow(index, lives));
    }

    pub(crate) fn grow_worker(&mut self, index: usize, lives: u32) {
        if self.workers[index].lives == lives {
            self.set_room(index, self.workers[index].word.whole.cpu);
        }
    }

    fn set_room(&mut self, index: usize, cpu: u32) {
        let now = self.now;
        let host = &mut self.workers[index];
        if !host.up {
            return;
        }
        host.worker.capacity.cpu = cpu;
        host.word.room_since = now;
        self.say_again(index);
    }

    /// Whether an order reaches a later life than it was sent to, to which no call that was sent since it began has come yet.
    /// Nothing at a dispatcher can keep that life from obeying it.
    pub(crate) fn beats_the_first_call(&self, index: usize, call: &Call) -> bool {
        let host = &self.workers[index];
        self.keeps_names() && !host.called && matches!(call.request, Request::Start { .. })
    }

    /// A start was carried out: whether it should have been, and what it does to the worker.
    pub(crate) fn started(&mut self, index: usize, task: TaskId) {
        let now = self.now;
        let plan = self.options.faults.unwrap_or_default();
        let host = &self.workers[index];
        let hears_late = if plan.congested {
            CONGESTED
        } else {
            Duration::ZERO
        };
        let notice = host.word.notice;
        if notice.is_some_and(|notice| now.since(notice) > DRAIN + hears_late) {
            let late = Violation::AfterNotice(task, host.worker.id.clone());
            self.broken.push(late);
        }
        let host = &self.workers[index];
        let over = !host.worker.capacity.fits(host.worker.reserved());
        if over && now.since(host.word.room_since) > SHRUNK + hears_late {
            let over = Violation::OverRoom(task, host.worker.id.clone());
            self.broken.push(over);
        }
        if self.ends_workers(task) {
            let after = Duration::from_millis(self.random.random_range(ENDS_AFTER_MS));
            let lives = self.workers[index].lives;
            self.at(now + after, Event::EndedBy(index, lives, task));
        }
    }

    /// Whether the next job ends its workers.
    pub(crate) fn draw_ending(&mut self) -> bool {
        let ends = self.options.faults.is_some_and(|plan| plan.crashing);
        ends && self.random.random_bool(ENDING_JOBS)
    }

    fn ends_workers(&self, task: TaskId) -> bool {
        let plan = self.options.faults;
        let job = self.jobs.iter().rev().find(|job| job.id == task.job);
        plan.is_some_and(|plan| plan.crashing) && job.is_some_and(|job| job.ending)
    }

    /// A task ends its worker, if it is still there.
    pub(crate) fn ended_by(&mut self, index: usize, lives: u32, task: TaskId) {
        let now = self.now;
        let host = &mut self.workers[index];
        host.worker.advance(host.local(now));
        let there = host.up && host.lives == lives && host.worker.has_task(task);
        if there {
            self.ended_workers.entry(task).or_default().push(now);
            let lasts = Duration::from_millis(self.random.random_range(DOWN_MS));
            self.end_worker(index, lasts);
        }
    }
}

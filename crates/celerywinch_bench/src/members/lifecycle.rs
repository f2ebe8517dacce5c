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
use super::world::{Event, MAX_SKEW_MS, START_WALL_MS, World};

/// How long a new worker takes to announce itself.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(300);
/// A worker that has said that it leaves serves on for so long; from then on nothing may be started there.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Then it ends, ...
const DRAIN_END: Duration = Duration::from_millis(300);
/// ... and so long it takes until dispatchers whose incoming paths are congested have heard of anything.
const CONGESTION_DELAY: Duration = Duration::from_secs(2);
/// A room that shrinks counts so long after its worker has said so.
const SHRINK_GRACE: Duration = Duration::from_secs(1);
/// What a life that is over has said arrives up to so many ms after the next one has begun.
const MAX_STALE_MS: u64 = 3_000;
/// The share of jobs whose tasks end their workers, where there are such jobs.
const CRASHING_JOB_SHARE: f64 = 0.02;
/// How long after its start such a task ends its worker, in ms, and how long that is down.
const CRASH_DELAY_MS: std::ops::Range<u64> = 5..40;
const DOWN_MS: std::ops::Range<u64> = 500..3_000;

/// What a worker has said of itself in its present life.
#[derive(Clone, Debug)]
pub(crate) struct AnnouncedState {
    pub(crate) stage: WorkerStage,
    pub(crate) sequence: u64,
    /// When it said that it leaves.
    pub(crate) leaving_since: Option<Time>,
    /// Since when it has the room that it has.
    pub(crate) capacity_since: Time,
    /// What it has where nothing is taken from it.
    pub(crate) full_capacity: Resources,
}

impl AnnouncedState {
    pub(crate) fn new(full_capacity: Resources) -> Self {
        Self {
            stage: WorkerStage::Ready,
            sequence: 1,
            leaving_since: None,
            capacity_since: Time(0),
            full_capacity,
        }
    }
}

impl World {
    fn reuses_names(&self) -> bool {
        self.options.faults.is_some_and(|plan| plan.reused_names)
    }

    /// What a worker says of itself.
    pub(crate) fn announcement(&self, index: usize) -> WorkerAnnouncement {
        let host = &self.workers[index];
        let incarnation = host.worker.incarnation;
        WorkerAnnouncement {
            id: host.worker.id.clone(),
            service: "catalogue".to_owned(),
            addr: ([127, 0, 0, 1], 1 + index as u16).into(),
            dc: celerywinch_types::DataCentreId(host.dc),
            capacity: host.worker.room,
            labels: Vec::new(),
            stage: host.announced.stage,
            version: AnnouncementVersion {
                incarnation: incarnation.unwrap_or(Incarnation(host.restarts.into())),
                sequence: host.announced.sequence,
            },
        }
    }

    /// All members hear of a worker, as by the keepers.
    pub(crate) fn announce(&mut self, index: usize) {
        self.announce_to_all(&self.announcement(index));
    }

    pub(crate) fn announce_to_all(&mut self, announcement: &WorkerAnnouncement) {
        for member in 0..self.members.len() {
            if self.members[member].is_up() {
                let msg = FleetMsg::Workers(vec![announcement.clone()]);
                self.deliver(member, member, msg);
            }
        }
    }

    fn announce_change(&mut self, index: usize) {
        self.workers[index].announced.sequence += 1;
        self.announce(index);
    }

    /// A worker is down for a while, and comes back as another life.
    pub(crate) fn crash_random_worker(&mut self, duration: Duration) {
        let index = self.pick_worker();
        self.crash_worker(index, duration);
    }

    fn crash_worker(&mut self, index: usize, duration: Duration) {
        let now = self.now;
        let host = &mut self.workers[index];
        if !host.up {
            return;
        }
        host.worker.crash(host.local(now));
        host.up = false;
        self.schedule(now + duration, Event::RestartWorker(index));
    }

    pub(crate) fn restart_worker(&mut self, index: usize) {
        let now = self.now;
        let reuses = self.reuses_names();
        let last_announcement = self.announcement(index);
        let incarnation = reuses.then(|| self.draw_incarnation());
        let host = &mut self.workers[index];
        host.restarts += 1;
        host.up = true;
        (host.started_at, host.received_call) = (now, false);
        let id = if reuses {
            host.worker.id.clone()
        } else {
            format!("worker-{index}-{}", host.restarts)
        };
        let mut next = LeasedWorker::new(host.local(now), &id, host.announced.full_capacity);
        next.guards = host.worker.guards;
        next.incarnation = incarnation;
        host.announced = AnnouncedState::new(host.announced.full_capacity);
        self.history.extend(host.history());
        host.worker = next;
        self.schedule(now + ANNOUNCE_DELAY, Event::Announce(index));
        if reuses {
            let late = Duration::from_millis(self.random.random_range(0..MAX_STALE_MS));
            self.schedule(now + late, Event::StaleAnnouncement(last_announcement));
        }
    }

    /// What a worker that starts now says of when it did; its clock may have been set back since the last time.
    fn draw_incarnation(&mut self) -> Incarnation {
        let right = START_WALL_MS + self.now.0 / 1_000;
        let wrong = self.options.faults.is_some_and(|plan| plan.clock_skew);
        let skew = if wrong {
            self.random.random_range(0..2 * MAX_SKEW_MS)
        } else {
            MAX_SKEW_MS
        };
        Incarnation(right + skew - MAX_SKEW_MS)
    }

    /// A worker says that it leaves, serves on for a while, ends, and is back later.
    pub(crate) fn drain_worker(&mut self) {
        let index = self.pick_worker();
        let now = self.now;
        let host = &mut self.workers[index];
        if !host.up || host.announced.stage != WorkerStage::Ready {
            return;
        }
        host.announced.stage = WorkerStage::Draining;
        host.announced.leaving_since = Some(now);
        let restarts = host.restarts;
        self.announce_change(index);
        self.schedule(
            now + DRAIN_TIME + DRAIN_END,
            Event::FinishDraining(index, restarts),
        );
    }

    pub(crate) fn finish_draining(&mut self, index: usize, restarts: u32) {
        let host = &mut self.workers[index];
        if !host.up || host.restarts != restarts {
            return;
        }
        host.announced.stage = WorkerStage::Gone;
        self.announce(index);
        let duration = Duration::from_millis(self.random.random_range(DOWN_MS));
        self.crash_worker(index, duration);
    }

    /// A worker has less room for a while, and does not end what is there.
    pub(crate) fn shrink_worker(&mut self, duration: Duration) {
        let index = self.pick_worker();
        let share = self.random.random_range(0.2..0.9);
        let host = &self.workers[index];
        let cpu = (f64::from(host.announced.full_capacity.cpu) * share) as u32;
        let restarts = host.restarts;
        self.set_cpu(index, cpu);
        self.schedule(self.now + duration, Event::RestoreCapacity(index, restarts));
    }

    pub(crate) fn restore_capacity(&mut self, index: usize, restarts: u32) {
        if self.workers[index].restarts == restarts {
            self.set_cpu(index, self.workers[index].announced.full_capacity.cpu);
        }
    }

    fn set_cpu(&mut self, index: usize, cpu: u32) {
        let now = self.now;
        let host = &mut self.workers[index];
        if !host.up {
            return;
        }
        host.worker.room.cpu = cpu;
        host.announced.capacity_since = now;
        self.announce_change(index);
    }

    /// Whether an order reaches a later life than it was sent to, to which no call that was sent since it began has come yet.
    /// Nothing at a dispatcher can keep that life from obeying it.
    pub(crate) fn precedes_first_call(&self, index: usize, call: &Call) -> bool {
        let host = &self.workers[index];
        self.reuses_names() && !host.received_call && matches!(call.request, Request::Start { .. })
    }

    /// A start was carried out: whether it should have been, and what it does to the worker.
    pub(crate) fn check_start(&mut self, index: usize, task: TaskId) {
        let now = self.now;
        let plan = self.options.faults.unwrap_or_default();
        let host = &self.workers[index];
        let extra_delay = if plan.congested {
            CONGESTION_DELAY
        } else {
            Duration::ZERO
        };
        let leaving_since = host.announced.leaving_since;
        if leaving_since
            .is_some_and(|leaving_since| now.since(leaving_since) > DRAIN_TIME + extra_delay)
        {
            let late = Violation::AfterNotice(task, host.worker.id.clone());
            self.violations.push(late);
        }
        let host = &self.workers[index];
        let over = !host.worker.room.fits(host.worker.taken());
        if over && now.since(host.announced.capacity_since) > SHRINK_GRACE + extra_delay {
            let over = Violation::OverRoom(task, host.worker.id.clone());
            self.violations.push(over);
        }
        if self.crashes_workers(task) {
            let after = Duration::from_millis(self.random.random_range(CRASH_DELAY_MS));
            let restarts = self.workers[index].restarts;
            self.schedule(now + after, Event::CrashByTask(index, restarts, task));
        }
    }

    /// Whether the next job ends its workers.
    pub(crate) fn draw_crashing_job(&mut self) -> bool {
        let ends = self.options.faults.is_some_and(|plan| plan.crashing);
        ends && self.random.random_bool(CRASHING_JOB_SHARE)
    }

    fn crashes_workers(&self, task: TaskId) -> bool {
        let plan = self.options.faults;
        let job = self.jobs.iter().rev().find(|job| job.id == task.job);
        plan.is_some_and(|plan| plan.crashing) && job.is_some_and(|job| job.crashes_workers)
    }

    /// A task ends its worker, if it is still there.
    pub(crate) fn crash_by_task(&mut self, index: usize, restarts: u32, task: TaskId) {
        let now = self.now;
        let host = &mut self.workers[index];
        host.worker.advance(host.local(now));
        let there = host.up && host.restarts == restarts && host.worker.has(task);
        if there {
            self.worker_crashes.entry(task).or_default().push(now);
            let duration = Duration::from_millis(self.random.random_range(DOWN_MS));
            self.crash_worker(index, duration);
        }
    }
}

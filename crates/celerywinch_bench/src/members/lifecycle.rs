//! Lifecycle of simulated workers: crashes, restarts under the same name, draining, and capacity that shrinks.

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

/// Delay until a worker that has started announces itself.
const ANNOUNCE_DELAY: Duration = Duration::from_millis(300);
/// Time that a worker serves on after it has announced that it drains. Afterwards no task may be started on it.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time from the end of the draining period until the worker stops.
const STOP_DELAY: Duration = Duration::from_millis(300);
/// Maximum delay until announcements reach dispatchers whose incoming paths are congested.
const CONGESTION_DELAY: Duration = Duration::from_secs(2);
/// Time after an announcement of less capacity from which on the capacity may not be exceeded by new tasks.
const SHRINK_GRACE: Duration = Duration::from_secs(1);
/// Maximum delay, in ms, after the start of an incarnation at which an announcement of the previous one arrives.
const MAX_STALE_MS: u64 = 3_000;
/// Share of jobs whose tasks crash their workers, in runs with such jobs.
const CRASHING_JOB_SHARE: f64 = 0.02;
/// Time from the start of such a task until it crashes its worker, in ms.
const CRASH_DELAY_MS: std::ops::Range<u64> = 5..40;
/// Time that a worker is down after such a crash or after it has drained, in ms.
const DOWN_MS: std::ops::Range<u64> = 500..3_000;

/// State that a worker has announced in its present incarnation.
#[derive(Clone, Debug)]
pub(crate) struct AnnouncedState {
    pub(crate) stage: WorkerStage,
    pub(crate) sequence: u64,
    /// Time at which it announced that it drains.
    pub(crate) leaving_since: Option<Time>,
    /// Time since which its capacity is unchanged.
    pub(crate) capacity_since: Time,
    /// Capacity when it is not reduced by a fault.
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
    /// Returns whether workers keep their names when they start again.
    fn reuses_names(&self) -> bool {
        self.options.faults.is_some_and(|plan| plan.reused_names)
    }

    /// Returns the present announcement of a worker.
    pub(crate) fn announcement(&self, index: usize) -> WorkerAnnouncement {
        let host = &self.workers[index];
        let incarnation = host.worker.incarnation;
        WorkerAnnouncement {
            id: host.worker.id.clone(),
            service: "catalogue".to_owned(),
            addr: ([127, 0, 0, 1], 1 + index as u16).into(),
            dc: celerywinch_types::DataCentreId(host.dc),
            capacity: host.worker.capacity,
            labels: Vec::new(),
            stage: host.announced.stage,
            version: AnnouncementVersion {
                incarnation: incarnation.unwrap_or(Incarnation(host.restarts.into())),
                sequence: host.announced.sequence,
            },
        }
    }

    /// Sends the announcement of a worker to all members, as keepers do.
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

    /// Announces a worker under the next sequence number.
    fn announce_change(&mut self, index: usize) {
        self.workers[index].announced.sequence += 1;
        self.announce(index);
    }

    /// Crashes a random worker, which restarts as another incarnation after `duration`.
    pub(crate) fn crash_random_worker(&mut self, duration: Duration) {
        let index = self.pick_worker();
        self.crash_worker(index, duration);
    }

    pub(crate) fn crash_worker(&mut self, index: usize, duration: Duration) {
        let now = self.now;
        let host = &mut self.workers[index];
        if !host.up {
            return;
        }
        host.worker.crash(host.local(now));
        host.up = false;
        self.schedule(now + duration, Event::RestartWorker(index));
    }

    /// Starts a worker again. In runs with reused names a late announcement of the previous incarnation follows.
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
        next.checks_capacity = host.worker.checks_capacity;
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

    /// Draws the incarnation of a worker that starts now, which it takes from its wall clock. With clock skew the clock may
    /// have been set back since the previous start.
    fn draw_incarnation(&mut self) -> Incarnation {
        let exact = START_WALL_MS + self.now.0 / 1_000;
        let skewed = self.options.faults.is_some_and(|plan| plan.clock_skew);
        let skew = if skewed {
            self.random.random_range(0..2 * MAX_SKEW_MS)
        } else {
            MAX_SKEW_MS
        };
        Incarnation(exact + skew - MAX_SKEW_MS)
    }

    /// Drains a random worker: it announces that it leaves, serves on for a while, stops, and restarts later.
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
            now + DRAIN_TIME + STOP_DELAY,
            Event::FinishDraining(index, restarts),
        );
    }

    /// Stops a worker that has drained, unless it has restarted meanwhile.
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

    /// Reduces the capacity of a random worker for `duration`. Tasks that are running go on.
    pub(crate) fn shrink_worker(&mut self, duration: Duration) {
        let index = self.pick_worker();
        let share = self.random.random_range(0.2..0.9);
        let host = &self.workers[index];
        let cpu = (f64::from(host.announced.full_capacity.cpu) * share) as u32;
        let restarts = host.restarts;
        self.set_cpu(index, cpu);
        self.schedule(self.now + duration, Event::RestoreCapacity(index, restarts));
    }

    /// Restores the full capacity of a worker, unless it has restarted meanwhile.
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
        host.worker.capacity.cpu = cpu;
        host.announced.capacity_since = now;
        self.announce_change(index);
    }

    /// Returns whether a late start reaches an incarnation that has not executed any call issued since its own start. The
    /// start may have been meant for an earlier incarnation, and no dispatcher can prevent this one from executing it.
    pub(crate) fn precedes_first_call(&self, index: usize, call: &Call) -> bool {
        let host = &self.workers[index];
        self.reuses_names() && !host.received_call && matches!(call.request, Request::Start { .. })
    }

    /// Checks a start that was executed against the announcements of the worker, and schedules the crash if the task
    /// crashes its worker.
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
            let violation = Violation::AfterNotice(task, host.worker.id.clone());
            self.violations.push(violation);
        }
        let host = &self.workers[index];
        let exceeded = !host.worker.capacity.fits(host.worker.reserved());
        if exceeded && now.since(host.announced.capacity_since) > SHRINK_GRACE + extra_delay {
            let violation = Violation::OverRoom(task, host.worker.id.clone());
            self.violations.push(violation);
        }
        if self.crashes_workers(task) {
            let after = Duration::from_millis(self.random.random_range(CRASH_DELAY_MS));
            let restarts = self.workers[index].restarts;
            self.schedule(now + after, Event::CrashByTask(index, restarts, task));
        }
    }

    /// Draws whether the tasks of the next job crash their workers.
    pub(crate) fn draw_crashing_job(&mut self) -> bool {
        let enabled = self.options.faults.is_some_and(|plan| plan.crashing);
        enabled && self.random.random_bool(CRASHING_JOB_SHARE)
    }

    /// Returns whether a task crashes its worker.
    fn crashes_workers(&self, task: TaskId) -> bool {
        let plan = self.options.faults;
        let job = self.jobs.iter().rev().find(|job| job.id == task.job);
        plan.is_some_and(|plan| plan.crashing) && job.is_some_and(|job| job.crashes_workers)
    }

    /// Crashes a worker by a task, if the task is still running there.
    pub(crate) fn crash_by_task(&mut self, index: usize, restarts: u32, task: TaskId) {
        let now = self.now;
        let host = &mut self.workers[index];
        host.worker.advance(host.local(now));
        let is_running = host.up && host.restarts == restarts && host.worker.has_task(task);
        if is_running {
            self.worker_crashes.entry(task).or_default().push(now);
            let duration = Duration::from_millis(self.random.random_range(DOWN_MS));
            self.crash_worker(index, duration);
        }
    }
}

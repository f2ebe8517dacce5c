//! A fake worker that implements the typed worker protocol (capacity check, leases, fencing, run numbers
//! and the list of ended runs) as a state machine; the caller passes the current time.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use celerywinch_pool::{Answer, EndedRow, Rejection, Request, RunEnd, RunningRow};
use celerywinch_types::{Fence, Incarnation, Resources, RunNumber, TaskId, Time, WorkerClock};

/// Time from an accepted stop request to the end of the task.
const STOP_DELAY: Duration = Duration::from_millis(50);

/// How a worker processes its tasks at present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// Tasks succeed, slowed down by this factor (1.0: normal speed).
    Healthy(f64),
    /// Tasks make no progress.
    Hung,
    /// Every task that completes fails.
    Failing,
}

/// A task that occupies capacity, also while it is being stopped.
#[derive(Clone, Debug)]
struct RunningTask {
    run: RunNumber,
    need: Resources,
    started: Time,
    /// Remaining run time at normal speed.
    remaining: Duration,
    /// Total run time at normal speed.
    total: Duration,
    /// When the task ends because of a stop request.
    stop_at: Option<Time>,
}

/// A run as the worker recorded it, for checks of histories.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ran {
    /// The task.
    pub task: TaskId,
    /// The run number.
    pub run: RunNumber,
    /// When the run started.
    pub from: Time,
    /// When the run ended.
    pub to: Time,
    /// How the run ended.
    pub how: RunEnd,
}

/// A fake worker with a capacity limit and a lease.
#[derive(Clone, Debug)]
pub struct LeasedWorker {
    /// Worker ID; a later incarnation may have the same one.
    pub id: String,
    /// Incarnation of the worker; none if it reports none.
    pub incarnation: Option<Incarnation>,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Whether the worker rejects tasks that exceed its free capacity.
    pub checks_capacity: bool,
    /// How the worker processes its tasks.
    pub health: Health,
    /// Number of runs started in this incarnation.
    pub started: usize,
    /// All runs that ended on this worker.
    pub history: Vec<Ran>,
    started_at: Time,
    /// The time up to which progress of the tasks has been computed.
    advanced_to: Time,
    /// The highest fencing token seen.
    fence: Fence,
    /// End of the lease; tasks that run then are interrupted.
    lease_end: Time,
    tasks: BTreeMap<TaskId, RunningTask>,
    /// The highest run number of each task that was stopped or ended here; starts up to it are rejected.
    finished: HashMap<TaskId, RunNumber>,
    /// Ended runs that the dispatcher has not acknowledged.
    ended: Vec<EndedRow>,
    /// Serial of the last ended run.
    serial: u64,
}

impl LeasedWorker {
    /// Creates a worker that starts at `now`.
    #[must_use]
    pub fn new(now: Time, id: &str, capacity: Resources) -> Self {
        Self {
            id: id.to_owned(),
            incarnation: None,
            capacity,
            checks_capacity: true,
            started: 0,
            health: Health::Healthy(1.0),
            history: Vec::new(),
            started_at: now,
            advanced_to: now,
            fence: Fence(0),
            lease_end: now,
            tasks: BTreeMap::new(),
            finished: HashMap::new(),
            ended: Vec::new(),
            serial: 0,
        }
    }

    /// Converts a time to the steady clock of the worker, which starts at zero with the worker.
    fn clock(&self, now: Time) -> WorkerClock {
        WorkerClock(u64::try_from(now.since(self.started_at).as_millis()).unwrap_or(u64::MAX))
    }

    /// Converts a reading of the steady clock of the worker to a time.
    fn time_of(&self, clock: WorkerClock) -> Time {
        self.started_at + Duration::from_millis(clock.0)
    }

    /// Returns the free capacity.
    #[must_use]
    pub fn free(&self) -> Resources {
        let tasks = self.tasks.values();
        tasks.fold(self.capacity, |free, task| free.saturating_sub(task.need))
    }

    /// Returns the resources that all tasks need, including those being stopped.
    #[must_use]
    pub fn reserved(&self) -> Resources {
        let tasks = self.tasks.values();
        tasks.fold(Resources::default(), |sum, task| {
            sum.saturating_add(task.need)
        })
    }

    /// Returns whether a task is running or being stopped here.
    #[must_use]
    pub fn has_task(&self, task: TaskId) -> bool {
        self.tasks.contains_key(&task)
    }

    /// Returns the number of tasks that are running or being stopped.
    #[must_use]
    pub fn running(&self) -> usize {
        self.tasks.len()
    }

    /// Advances all tasks to `now` and ends those that are over by then.
    pub fn advance(&mut self, now: Time) {
        let start = self.advanced_to;
        self.advanced_to = now;
        let tasks: Vec<_> = self.tasks.keys().copied().collect();
        for task in tasks {
            self.advance_task(task, start, now);
        }
    }

    /// Computes the progress of a task from `start` to `now`, and ends it by the first of completion, stop and lease end.
    fn advance_task(&mut self, task: TaskId, start: Time, now: Time) {
        let running = self.tasks.get_mut(&task).expect("a task that is running");
        let slowdown = match self.health {
            Health::Healthy(slowdown) => Some(slowdown),
            Health::Failing => Some(1.0),
            Health::Hung => None,
        };
        let from = start.max(running.started);
        let done = slowdown.map(|slowdown| from + running.remaining.mul_f64(slowdown));
        let ends = [
            done.map(|at| (at, RunEnd::Done)),
            running.stop_at.map(|at| (at, RunEnd::Interrupted)),
            Some((self.lease_end, RunEnd::Interrupted)),
        ];
        let first = ends.into_iter().flatten().min_by_key(|(at, _)| *at);
        match first {
            Some((at, end)) if at <= now => {
                let fails = self.health == Health::Failing && end == RunEnd::Done;
                let end = if fails { RunEnd::Failed } else { end };
                self.end_task(task, at, end);
            }
            _ => {
                if let Some(slowdown) = slowdown {
                    let progress = now.since(from).div_f64(slowdown);
                    running.remaining = running.remaining.saturating_sub(progress);
                }
            }
        }
    }

    fn end_task(&mut self, task: TaskId, at: Time, end: RunEnd) {
        let running = self.tasks.remove(&task).expect("a task that is running");
        self.serial += 1;
        let latest = self.finished.entry(task).or_insert(running.run);
        *latest = running.run.max(*latest);
        self.ended.push(EndedRow {
            serial: self.serial,
            task,
            run: running.run,
            end,
        });
        self.history.push(Ran {
            task,
            run: running.run,
            from: running.started,
            to: at,
            how: end,
        });
    }

    /// Ends the worker at `now`; all its tasks are interrupted.
    pub fn crash(&mut self, now: Time) {
        self.advance(now);
        for task in self.tasks.keys().copied().collect::<Vec<_>>() {
            self.end_task(task, now, RunEnd::Interrupted);
        }
    }

    /// Returns whether a poll with this cursor would be answered at once because there are ended runs to report.
    #[must_use]
    pub fn has_ends_after(&self, cursor: u64) -> bool {
        self.ended.iter().any(|row| row.serial > cursor)
    }

    /// Handles a request of a dispatcher; for a start, `need` and `run_time` are those of the task.
    pub fn handle_request(
        &mut self,
        now: Time,
        fence: Fence,
        request: &Request,
        need: Resources,
        run_time: Duration,
    ) -> Answer {
        self.advance(now);
        let clock = self.clock(now);
        if fence < self.fence {
            return Answer::Rejected(Rejection::StaleFence, Some(clock));
        }
        self.fence = fence;
        match request {
            Request::Start {
                task,
                run,
                deadline,
                ..
            } => self.start(now, (*task, *run), *deadline, need, run_time),
            Request::Stop { task, run } => {
                let latest = self.finished.entry(*task).or_insert(*run);
                *latest = (*latest).max(*run);
                if let Some(running) = self.tasks.get_mut(task)
                    && running.run <= *run
                {
                    running.stop_at = running.stop_at.or(Some(now + STOP_DELAY));
                }
                Answer::Accepted(clock)
            }
            Request::Poll {
                deadline, cursor, ..
            } => {
                if let Some(deadline) = deadline {
                    self.lease_end = self.lease_end.max(self.time_of(*deadline));
                }
                self.ended.retain(|row| row.serial > *cursor);
                Answer::Lists {
                    incarnation: self.incarnation,
                    clock,
                    running: self.running_rows(),
                    ended: self.ended.clone(),
                }
            }
        }
    }

    fn running_rows(&self) -> Vec<RunningRow> {
        let rows = self.tasks.iter().map(|(task, running)| {
            let remaining = running.remaining.as_secs_f64() / running.total.as_secs_f64().max(1e-6);
            RunningRow {
                task: *task,
                run: running.run,
                percent: ((1.0 - remaining) * 100.0) as u8,
            }
        });
        rows.collect()
    }

    fn start(
        &mut self,
        now: Time,
        run: (TaskId, RunNumber),
        deadline: WorkerClock,
        need: Resources,
        run_time: Duration,
    ) -> Answer {
        let (task, run) = run;
        let clock = self.clock(now);
        if self
            .tasks
            .get(&task)
            .is_some_and(|running| running.run == run)
        {
            return Answer::Accepted(clock);
        }
        if self.time_of(deadline) <= now {
            return Answer::Rejected(Rejection::LeaseExpired, Some(clock));
        }
        self.lease_end = self.lease_end.max(self.time_of(deadline));
        if self
            .finished
            .get(&task)
            .is_some_and(|latest| *latest >= run)
            || self.tasks.contains_key(&task)
        {
            return Answer::Rejected(Rejection::StaleRun, Some(clock));
        }
        if self.checks_capacity && !self.free().fits(need) {
            return Answer::Rejected(Rejection::NoCapacity, Some(clock));
        }
        let running = RunningTask {
            run,
            need,
            started: now,
            remaining: run_time,
            total: run_time,
            stop_at: None,
        };
        self.tasks.insert(task, running);
        self.started += 1;
        Answer::Accepted(clock)
    }
}

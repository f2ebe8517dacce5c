//! A worker that speaks the typed worker protocol: capacity check, leases, fencing, run numbers and
//! the list of ends, as a state machine with the time handed in.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use celerywinch_pool::{Answer, EndedRow, Rejection, Request, RunEnd, RunningRow};
use celerywinch_types::{Fence, Incarnation, Resources, RunNumber, TaskId, Time, WorkerClock};

/// How long a stop takes.
const STOP: Duration = Duration::from_millis(50);

/// How the work on a worker goes at present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Health {
    /// As it should, this much slower than usual.
    Healthy(f64),
    /// Work stands still.
    Hung,
    /// All work fails.
    Failing,
}

/// A task at work.
#[derive(Clone, Debug)]
struct Work {
    run: RunNumber,
    need: Resources,
    started: Time,
    /// What is left, of sound work.
    left: Duration,
    whole: Duration,
    stops: Option<Time>,
}

/// A run as the worker saw it, for checks of histories.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ran {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunNumber,
    /// When it started.
    pub from: Time,
    /// When it ended.
    pub to: Time,
    /// How.
    pub how: RunEnd,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct LeasedWorker {
    /// Its name, which a later life may have too.
    pub id: String,
    /// Which of its lives this is; none where it does not say.
    pub incarnation: Option<Incarnation>,
    /// What it has.
    pub capacity: Resources,
    /// Whether it refuses what it has no room for.
    pub checks_capacity: bool,
    /// How its work goes.
    pub health: Health,
    /// How many tasks were started in this life.
    pub started: usize,
    /// Every run that ended here.
    pub history: Vec<Ran>,
    born: Time,
    advanced: Time,
    fence: Fence,
    deadline: Time,
    work: BTreeMap<TaskId, Work>,
    /// The highest run of each task that was stopped or ended here.
    over: HashMap<TaskId, RunNumber>,
    ended: Vec<EndedRow>,
    serial: u64,
}

impl LeasedWorker {
    /// A worker that starts now.
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
            born: now,
            advanced: now,
            fence: Fence(0),
            deadline: now,
            work: BTreeMap::new(),
            over: HashMap::new(),
            ended: Vec::new(),
            serial: 0,
        }
    }

    fn clock(&self, now: Time) -> WorkerClock {
        WorkerClock(u64::try_from(now.since(self.born).as_millis()).unwrap_or(u64::MAX))
    }

    fn at(&self, clock: WorkerClock) -> Time {
        self.born + Duration::from_millis(clock.0)
    }

    /// What is free.
    #[must_use]
    pub fn free(&self) -> Resources {
        let reserved = self.work.values();
        reserved.fold(self.capacity, |free, work| free.saturating_sub(work.need))
    }

    /// What all that is there needs, also what is being stopped.
    #[must_use]
    pub fn reserved(&self) -> Resources {
        let work = self.work.values();
        work.fold(Resources::default(), |sum, work| {
            sum.saturating_add(work.need)
        })
    }

    /// Whether a task is there.
    #[must_use]
    pub fn has_task(&self, task: TaskId) -> bool {
        self.work.contains_key(&task)
    }

    /// How many tasks are at work.
    #[must_use]
    pub fn running(&self) -> usize {
        self.work.len()
    }

    /// Brings the work up to a moment.
    pub fn advance(&mut self, now: Time) {
        let start = self.advanced;
        self.advanced = now;
        let tasks: Vec<_> = self.work.keys().copied().collect();
        for task in tasks {
            self.advance_task(task, start, now);
        }
    }

    fn advance_task(&mut self, task: TaskId, start: Time, now: Time) {
        let work = self.work.get_mut(&task).expect("a task at work");
        let slower = match self.health {
            Health::Healthy(slower) => Some(slower),
            Health::Failing => Some(1.0),
            Health::Hung => None,
        };
        let from = start.max(work.started);
        let done = slower.map(|slower| from + work.left.mul_f64(slower));
        let ends = [
            done.map(|at| (at, RunEnd::Done)),
            work.stops.map(|at| (at, RunEnd::Interrupted)),
            Some((self.deadline, RunEnd::Interrupted)),
        ];
        let first = ends.into_iter().flatten().min_by_key(|(at, _)| *at);
        match first {
            Some((at, how)) if at <= now => {
                let fails = self.health == Health::Failing && how == RunEnd::Done;
                let how = if fails { RunEnd::Failed } else { how };
                self.end(task, at, how);
            }
            _ => {
                if let Some(slower) = slower {
                    let worked = now.since(from).div_f64(slower);
                    work.left = work.left.saturating_sub(worked);
                }
            }
        }
    }

    fn end(&mut self, task: TaskId, at: Time, how: RunEnd) {
        let work = self.work.remove(&task).expect("a task at work");
        self.serial += 1;
        let over = self.over.entry(task).or_insert(work.run);
        *over = work.run.max(*over);
        self.ended.push(EndedRow {
            serial: self.serial,
            task,
            run: work.run,
            end: how,
        });
        self.history.push(Ran {
            task,
            run: work.run,
            from: work.started,
            to: at,
            how,
        });
    }

    /// The worker ends now, with all that runs on it.
    pub fn crash(&mut self, now: Time) {
        self.advance(now);
        for task in self.work.keys().copied().collect::<Vec<_>>() {
            self.end(task, now, RunEnd::Interrupted);
        }
    }

    /// Whether a look would be answered at once, as there are ends to tell.
    #[must_use]
    pub fn has_ends_after(&self, cursor: u64) -> bool {
        self.ended.iter().any(|row| row.serial > cursor)
    }

    /// Carries an order out; `need` and `takes` are those of the task to start.
    pub fn handle_request(
        &mut self,
        now: Time,
        fence: Fence,
        order: &Request,
        need: Resources,
        takes: Duration,
    ) -> Answer {
        self.advance(now);
        let clock = self.clock(now);
        if fence < self.fence {
            return Answer::Rejected(Rejection::StaleFence, Some(clock));
        }
        self.fence = fence;
        match order {
            Request::Start {
                task,
                run,
                deadline,
                ..
            } => self.start(now, (*task, *run), *deadline, need, takes),
            Request::Stop { task, run } => {
                let over = self.over.entry(*task).or_insert(*run);
                *over = (*over).max(*run);
                if let Some(work) = self.work.get_mut(task)
                    && work.run <= *run
                {
                    work.stops = work.stops.or(Some(now + STOP));
                }
                Answer::Accepted(clock)
            }
            Request::Poll {
                deadline, cursor, ..
            } => {
                if let Some(deadline) = deadline {
                    self.deadline = self.deadline.max(self.at(*deadline));
                }
                self.ended.retain(|row| row.serial > *cursor);
                Answer::Lists {
                    incarnation: self.incarnation,
                    clock,
                    running: self.rows(),
                    ended: self.ended.clone(),
                }
            }
        }
    }

    fn rows(&self) -> Vec<RunningRow> {
        let rows = self.work.iter().map(|(task, work)| {
            let left = work.left.as_secs_f64() / work.whole.as_secs_f64().max(1e-6);
            RunningRow {
                task: *task,
                run: work.run,
                percent: ((1.0 - left) * 100.0) as u8,
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
        takes: Duration,
    ) -> Answer {
        let (task, run) = run;
        let clock = self.clock(now);
        if self.work.get(&task).is_some_and(|work| work.run == run) {
            return Answer::Accepted(clock);
        }
        if self.at(deadline) <= now {
            return Answer::Rejected(Rejection::LeaseExpired, Some(clock));
        }
        self.deadline = self.deadline.max(self.at(deadline));
        if self.over.get(&task).is_some_and(|over| *over >= run) || self.work.contains_key(&task) {
            return Answer::Rejected(Rejection::StaleRun, Some(clock));
        }
        if self.checks_capacity && !self.free().fits(need) {
            return Answer::Rejected(Rejection::NoCapacity, Some(clock));
        }
        let work = Work {
            run,
            need,
            started: now,
            left: takes,
            whole: takes,
            stops: None,
        };
        self.work.insert(task, work);
        self.started += 1;
        Answer::Accepted(clock)
    }
}

//! A dispatcher with fake workers that differ in speed, and tasks that differ in length.

use std::collections::BTreeMap;
use std::time::Duration;

use celerywinch_pool::{Answer, Call, EndedRow, Input, PoolConfig, Request, RunEnd, RunningRow};
use celerywinch_types::{
    Fence, JobId, PriorRuns, RunNumber, SubmissionNumber, TaskId, Time, WorkMsg, WorkerClock,
};

use super::{DOMAIN, ORIGIN, Rig, step, worker_announcement};

/// A task; each is a job of its own.
#[derive(Clone, Copy)]
pub(crate) struct Work {
    /// The run time that its caller expects, in ms.
    pub(crate) usual: u32,
    /// How many times longer it takes by itself.
    pub(crate) length: f64,
}

pub(crate) const fn ordinary(usual: u32) -> Work {
    Work { usual, length: 1.0 }
}

pub(crate) const fn long(usual: u32) -> Work {
    Work { usual, length: 7.0 }
}

/// A run on a fake worker.
pub(crate) struct Running {
    pub(crate) run: RunNumber,
    pub(crate) work: Work,
    /// Done so far, in ms at the usual speed.
    pub(crate) done: f64,
    pub(crate) stopped: bool,
}

/// A fake worker.
#[derive(Default)]
pub(crate) struct FakeWorker {
    pub(crate) slowness: f64,
    pub(crate) reports: bool,
    pub(crate) running: BTreeMap<TaskId, Running>,
    pub(crate) ended: Vec<EndedRow>,
    pub(crate) serial: u64,
}

impl FakeWorker {
    pub(crate) fn advance(&mut self, ms: f64) {
        let slowness = self.slowness;
        let mut over = Vec::new();
        for (task, running) in &mut self.running {
            running.done += ms / slowness / running.work.length;
            let end = if running.stopped {
                Some(RunEnd::Interrupted)
            } else {
                (running.done >= running.work.usual.into()).then_some(RunEnd::Done)
            };
            over.extend(end.map(|end| (*task, running.run, end)));
        }
        for (task, run, end) in over {
            self.running.remove(&task);
            self.serial += 1;
            let serial = self.serial;
            self.ended.push(EndedRow {
                serial,
                task,
                run,
                end,
            });
        }
    }

    pub(crate) fn rows(&self) -> Vec<RunningRow> {
        let rows = self.running.iter().map(|(task, running)| {
            let percent = running.done / f64::from(running.work.usual) * 100.0;
            RunningRow {
                task: *task,
                run: running.run,
                percent: if self.reports { percent as u8 } else { 0 },
            }
        });
        rows.collect()
    }
}

/// A dispatcher with fake workers, which answer at once, polls after their wait.
pub(crate) struct Scene {
    pub(crate) rig: Rig,
    pub(crate) workers: BTreeMap<String, FakeWorker>,
    pub(crate) work: BTreeMap<JobId, Work>,
    pub(crate) seen: usize,
    pub(crate) polls: Vec<(Time, Call)>,
    /// The starts and stops of each job, with their workers and times in ms.
    pub(crate) starts: Vec<(JobId, String, u64)>,
    pub(crate) stops: Vec<(JobId, String, u64)>,
    pub(crate) began: Time,
}

impl Scene {
    pub(crate) fn new(config: PoolConfig) -> Self {
        let mut rig = Rig::empty(config);
        rig.handle(Input::Acquire(DOMAIN, Fence(5 << 5)));
        Self {
            began: rig.now,
            rig,
            workers: BTreeMap::new(),
            work: BTreeMap::new(),
            seen: 0,
            polls: Vec::new(),
            starts: Vec::new(),
            stops: Vec::new(),
        }
    }

    pub(crate) fn add_worker(&mut self, id: &str, slowness: f64, reports: bool) {
        let worker = FakeWorker {
            slowness,
            reports,
            ..FakeWorker::default()
        };
        let port = self.workers.len() as u16 + 1;
        self.workers.insert(id.to_owned(), worker);
        let announcement = worker_announcement(id, port);
        self.rig.handle(Input::Workers(vec![announcement]));
        self.exchange();
    }

    pub(crate) fn submit(&mut self, job: u64, work: Work) {
        let job = JobId(job);
        let mut order = step(PriorRuns::None, 0);
        (order.job, order.estimate, order.critical_path) = (job, work.usual, work.usual);
        order.queue = format!("{} ms", work.usual);
        self.work.insert(job, work);
        self.rig.submit(order);
        self.exchange();
    }

    pub(crate) fn elapsed(&self) -> u64 {
        self.rig.now.since(self.began).as_millis() as u64
    }

    pub(crate) fn clock(&self) -> WorkerClock {
        WorkerClock(5_000 + self.elapsed())
    }

    /// Answers the calls that are due.
    pub(crate) fn exchange(&mut self) {
        loop {
            let new = self.rig.calls[self.seen..].to_vec();
            self.seen += new.len();
            let due = |(at, call): &(Time, Call), now: Time, workers: &BTreeMap<_, FakeWorker>| {
                let Request::Poll { cursor, .. } = call.request else {
                    return false;
                };
                let ended = &workers[&call.worker].ended;
                *at <= now || ended.iter().any(|row| row.serial > cursor)
            };
            let now = self.rig.now;
            let (polls, others): (Vec<_>, Vec<_>) = new
                .into_iter()
                .partition(|call| matches!(call.request, Request::Poll { .. }));
            let polls = polls
                .into_iter()
                .map(|call| (now + call.request.max_wait(), call));
            self.polls.extend(polls);
            let (ready, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.polls)
                .into_iter()
                .partition(|poll| due(poll, now, &self.workers));
            self.polls = waiting;
            if ready.is_empty() && others.is_empty() {
                return;
            }
            for call in others.iter().chain(ready.iter().map(|(_, call)| call)) {
                let answer = self.answer(call);
                self.rig.answer(call, answer);
            }
        }
    }

    pub(crate) fn answer(&mut self, call: &Call) -> Answer {
        let (clock, elapsed) = (self.clock(), self.elapsed());
        let worker = self.workers.get_mut(&call.worker).expect("a known worker");
        match &call.request {
            Request::Start { task, run, .. } => {
                let work = self.work[&task.job];
                let (run, done, stopped) = (*run, 0.0, false);
                let running = Running {
                    run,
                    work,
                    done,
                    stopped,
                };
                worker.running.insert(*task, running);
                self.starts.push((task.job, call.worker.clone(), elapsed));
                Answer::Accepted(clock)
            }
            Request::Stop { task, .. } => {
                if let Some(running) = worker.running.get_mut(task) {
                    running.stopped = true;
                }
                self.stops.push((task.job, call.worker.clone(), elapsed));
                Answer::Accepted(clock)
            }
            Request::Poll { cursor, .. } => {
                worker.ended.retain(|row| row.serial > *cursor);
                Answer::Lists {
                    incarnation: None,
                    clock,
                    running: worker.rows(),
                    ended: worker.ended.clone(),
                }
            }
        }
    }

    pub(crate) fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.rig.now = self.rig.now + Duration::from_millis(10);
            for worker in self.workers.values_mut() {
                worker.advance(10.0);
            }
            self.rig.handle(Input::Tick);
            self.exchange();
        }
    }

    /// Has the caller of a job leave.
    pub(crate) fn cancel(&mut self, job: u64) {
        let msg = WorkMsg::Cancel {
            job: JobId(job),
            last_submission: SubmissionNumber::FIRST,
        };
        self.rig.handle(Input::Work(ORIGIN, msg));
        self.exchange();
    }

    /// Returns when a job was first moved away from a worker, in ms.
    pub(crate) fn moved_at(&self, job: u64) -> Option<u64> {
        let mut stops = self.stops.iter();
        stops.find(|(id, ..)| *id == JobId(job)).map(|(.., at)| *at)
    }

    /// Returns the worker on which a job was last started.
    pub(crate) fn last_worker(&self, job: u64) -> Option<&str> {
        let mut starts = self.starts.iter().rev();
        let start = starts.find(|(id, ..)| *id == JobId(job));
        start.map(|(_, worker, _)| worker.as_str())
    }
}

//! Workers that turn slow, and tasks that are long by themselves.

mod rig;

use std::collections::BTreeMap;
use std::time::Duration;

use celerywinch_pool::{Answer, Call, EndedRow, Input, PoolConfig, Request, RunEnd, RunningRow};
use celerywinch_types::{Fence, JobId, Mechanism, PriorRuns, RunNumber, TaskId, Time, WorkerClock};
use rig::{DOMAIN, Rig, step, worker_announcement};
use rstest::rstest;

/// A task; each is a job of its own.
#[derive(Clone, Copy)]
struct Work {
    /// The run time that its caller expects, in ms.
    usual: u32,
    /// How many times longer it takes by itself.
    length: f64,
}

const fn ordinary(usual: u32) -> Work {
    Work { usual, length: 1.0 }
}

const fn long(usual: u32) -> Work {
    Work { usual, length: 7.0 }
}

/// A run on a fake worker.
struct Running {
    run: RunNumber,
    work: Work,
    /// Done so far, in ms at the usual speed.
    done: f64,
    stopped: bool,
}

/// A fake worker.
#[derive(Default)]
struct FakeWorker {
    slowness: f64,
    reports: bool,
    running: BTreeMap<TaskId, Running>,
    ended: Vec<EndedRow>,
    serial: u64,
}

impl FakeWorker {
    fn advance(&mut self, ms: f64) {
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

    fn rows(&self) -> Vec<RunningRow> {
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
struct Scene {
    rig: Rig,
    workers: BTreeMap<String, FakeWorker>,
    work: BTreeMap<JobId, Work>,
    seen: usize,
    polls: Vec<(Time, Call)>,
    /// The starts and stops of each job, with their workers and times in ms.
    starts: Vec<(JobId, String, u64)>,
    stops: Vec<(JobId, String, u64)>,
    began: Time,
}

impl Scene {
    fn new(config: PoolConfig) -> Self {
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

    fn add_worker(&mut self, id: &str, slowness: f64, reports: bool) {
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

    fn submit(&mut self, job: u64, work: Work) {
        let job = JobId(job);
        let mut order = step(PriorRuns::None, 0);
        (order.job, order.estimate, order.critical_path) = (job, work.usual, work.usual);
        order.queue = format!("{} ms", work.usual);
        self.work.insert(job, work);
        self.rig.submit(order);
        self.exchange();
    }

    fn elapsed(&self) -> u64 {
        self.rig.now.since(self.began).as_millis() as u64
    }

    fn clock(&self) -> WorkerClock {
        WorkerClock(5_000 + self.elapsed())
    }

    /// Answers the calls that are due.
    fn exchange(&mut self) {
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

    fn answer(&mut self, call: &Call) -> Answer {
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

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.rig.now = self.rig.now + Duration::from_millis(10);
            for worker in self.workers.values_mut() {
                worker.advance(10.0);
            }
            self.rig.handle(Input::Tick);
            self.exchange();
        }
    }

    /// Returns when a job was first moved away from a worker, in ms.
    fn moved_at(&self, job: u64) -> Option<u64> {
        let mut stops = self.stops.iter();
        stops.find(|(id, ..)| *id == JobId(job)).map(|(.., at)| *at)
    }

    /// Returns the worker on which a job was last started.
    fn last_worker(&self, job: u64) -> Option<&str> {
        let mut starts = self.starts.iter().rev();
        let start = starts.find(|(id, ..)| *id == JobId(job));
        start.map(|(_, worker, _)| worker.as_str())
    }
}

/// Tasks that start together on one worker, and what becomes of them while two others are idle.
struct Case {
    slowness: f64,
    reports: bool,
    tasks: Vec<Work>,
    /// For each task, the time in ms by which it must be moved, if it must; otherwise it must not be moved.
    moved: Vec<Option<u64>>,
    /// Whether the worker is suspected after 200 ms.
    suspected: bool,
}

/// Guards against jobs that are answered after three times their objective, as their worker has turned eight times slower; and
/// against work that is thrown away, as tasks that are long by themselves make a good worker look slow.
#[rstest]
// Both tell of the worker within the first poll, long before a run is late by the clock.
#[case::slow(Case {
    slowness: 8.0, reports: true, tasks: vec![ordinary(200), ordinary(900)],
    moved: vec![Some(200), Some(200)], suspected: true,
})]
// A single slow run may be a long task: it is moved as late as it can still end in time elsewhere.
#[case::slow_alone(Case {
    slowness: 8.0, reports: true, tasks: vec![ordinary(900)], moved: vec![Some(550)], suspected: true,
})]
// The other task proves that the worker is good.
#[case::long_task(Case {
    slowness: 1.0, reports: true, tasks: vec![long(900), ordinary(900)],
    moved: vec![Some(550), None], suspected: false,
})]
#[case::good(Case {
    slowness: 1.0, reports: true, tasks: vec![ordinary(200), ordinary(900)],
    moved: vec![None, None], suspected: false,
})]
// Slower than usual, but within the objectives.
#[case::slightly_slow(Case {
    slowness: 1.4, reports: true, tasks: vec![ordinary(200), ordinary(900)],
    moved: vec![None, None], suspected: false,
})]
// Without reports of progress, only the time since the start tells.
#[case::no_reports(Case {
    slowness: 1.0, reports: false, tasks: vec![ordinary(200), ordinary(900)],
    moved: vec![None, None], suspected: false,
})]
fn slow_runs(#[case] case: Case) {
    let mut scene = Scene::new(PoolConfig::default());
    scene.add_worker("w1", case.slowness, case.reports);
    for (job, work) in (1..).zip(&case.tasks) {
        scene.submit(job, *work);
    }
    scene.add_worker("w2", 1.0, true);
    scene.add_worker("w3", 1.0, true);
    scene.advance(200);
    assert_eq!(scene.rig.pool.suspected_workers() > 0, case.suspected);
    scene.advance(9_000);
    for (job, wanted) in (1..).zip(&case.moved) {
        let moved = scene.moved_at(job);
        assert_eq!(moved.is_some(), wanted.is_some(), "job {job}: {moved:?}");
        assert!(moved <= *wanted, "job {job}: {moved:?} after {wanted:?}");
    }
    assert_eq!(scene.rig.ends.len(), case.tasks.len());
}

/// Guards against tasks that are long by themselves being moved from worker to worker: each move discards their work.
#[test]
fn long_task_is_moved_once() {
    let mut scene = Scene::new(PoolConfig::default());
    for id in ["w1", "w2", "w3"] {
        scene.add_worker(id, 1.0, true);
    }
    scene.submit(1, long(900));
    scene.advance(8_000);
    assert_eq!((scene.stops.len(), scene.rig.ends.len()), (1, 1));
    assert_eq!(scene.rig.pool.suspected_workers(), 0);
}

/// Guards against good workers that are suspected after a stall of the dispatcher, during which it received no answers.
#[test]
fn stall_of_the_dispatcher_suspects_nobody() {
    let mut scene = Scene::new(PoolConfig::default());
    scene.add_worker("w1", 1.0, true);
    scene.submit(1, ordinary(2_000));
    scene.submit(2, ordinary(2_000));
    scene.advance(300);
    let poll = scene.polls.pop().expect("a poll that waits").1;
    let list = scene.answer(&poll);
    scene.rig.now = scene.rig.now + Duration::from_millis(600);
    scene.rig.answer(&poll, list);
    assert_eq!(scene.rig.pool.suspected_workers(), 0);
}

/// Guards against long tasks on workers that are known to be slow, and against slow workers that are never tried again.
#[test]
fn slow_worker_proves_itself_by_a_short_task() {
    let mut scene = Scene::new(PoolConfig::default());
    scene.add_worker("w1", 8.0, true);
    scene.submit(1, ordinary(200));
    scene.submit(2, ordinary(900));
    scene.add_worker("w2", 1.0, true);
    scene.add_worker("w3", 1.0, true);
    scene.advance(2_000);
    assert_eq!(scene.rig.pool.suspected_workers(), 1);
    scene.workers.get_mut("w1").expect("a worker").slowness = 1.0;
    // The others take new tasks while they have room.
    for job in 3..7 {
        scene.submit(job, ordinary(900));
        assert_ne!(scene.last_worker(job), Some("w1"));
    }
    scene.submit(7, ordinary(900));
    assert_eq!(scene.last_worker(7), None);
    scene.submit(8, ordinary(60));
    assert_eq!(scene.last_worker(8), Some("w1"));
    scene.advance(150);
    assert_eq!(scene.rig.pool.suspected_workers(), 0);
    assert_eq!(scene.last_worker(7), Some("w1"));
}

/// Guards against decisions that differ without the mechanism being called for: a worker that reports good progress gets the
/// same calls with it and without it.
#[test]
fn good_workers_get_the_same_calls() {
    let calls = |config: PoolConfig| {
        let mut scene = Scene::new(config);
        for id in ["w1", "w2", "w3"] {
            scene.add_worker(id, 1.0, true);
        }
        for job in 1..40 {
            scene.submit(job, ordinary([60, 200, 900][job as usize % 3]));
            scene.advance(50);
        }
        scene.advance(2_000);
        scene.rig.calls
    };
    let mut without = PoolConfig::default();
    without.disabled = without.disabled.with(Mechanism::Overstay);
    assert_eq!(calls(PoolConfig::default()), calls(without));
}

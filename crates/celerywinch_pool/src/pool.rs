//! The dispatcher's state and its inputs.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use celerywinch_types::{
    Crashes, DataCentreId, Domain, Fence, Incarnation, InstanceId, JobId, Learned, Mechanism,
    RunNumber, TaskEnd, TaskId, TaskReport, Time, WorkMsg, WorkerAnnouncement, WorkerStage,
};
use slotmap::SlotMap;

use crate::call::{Answer, Call, CallKey, Order, Pending, Question, Sent};
use crate::crashes::CrashLog;
use crate::grants::{Grant, Grants};
use crate::inflow::Inflow;
use crate::job::{Batch, BatchKey, TaskState};
use crate::patience::Patience;
use crate::queue::{Queue, Rank};
use crate::run::{Phase, Run, RunKey};
use crate::takeover::Takeover;
use crate::times::Times;
use crate::told::Told;
use crate::worker::{Grip, Worker, WorkerKey, domain_of};
use crate::{Departure, Note, PoolConfig};

/// A worker that has left is remembered for so long: a keeper that did not hear of it may tell of it as ready for
/// 20 s after its last announcement there, and a dispatcher that starts work there would break its leave.
const REMEMBER_LEFT: Duration = Duration::from_secs(30);

/// A worker that has left.
#[derive(Clone, Copy, Debug)]
struct Left {
    /// The last of its lives that did.
    life: Incarnation,
    heard: Time,
}

/// What happened outside.
#[derive(Clone, Debug)]
pub enum Input {
    /// Dispatch for a domain under this fencing token.
    Acquire(Domain, Fence),
    /// Do so no more; what is open is given back to its origins.
    Resign(Domain),
    /// What workers said of themselves.
    Workers(Vec<WorkerAnnouncement>),
    /// Replaces the set of evacuated data centres: their workers get no new tasks, and running tasks
    /// continue.
    EvacuatedDataCentres(BTreeSet<DataCentreId>),
    /// A message of an origin of jobs.
    Work(InstanceId, WorkMsg),
    /// An origin counts this dispatcher as alive.
    Granted(InstanceId, Grant),
    /// Messages from an origin may be lost: it is asked what it wants.
    AskOrigin(InstanceId),
    /// An origin is lost: its callers' connections broke, or it cannot be told of ends.
    OriginLost(InstanceId),
    /// What came of a call.
    Answered(CallKey, Answer),
    /// An answer came after its time, so long after the call, without the time that the worker was to wait.
    AnsweredLate(Duration),
    /// What other dispatchers know of workers that ended under tasks.
    Crashes(Vec<(TaskId, Crashes)>),
    /// Queues whose steps another dispatcher starts with care.
    Careful(Vec<String>),
    /// Whether any worker of a domain that is held can be reached: one that has nothing to do is
    /// asked, unless one has answered lately.
    Ask(Domain),
    /// Time passed.
    Tick,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Call a worker.
    Call(Call),
    /// Tell an origin.
    Send(InstanceId, WorkMsg),
    /// A worker of this domain has seen a higher fencing token.
    Outbid(Domain),
    /// The fencing token of this domain is used up by a worker that has started again so often.
    UsedUp(Domain),
    /// Workers have ended under a task; other dispatchers are to know.
    Crashed(TaskId, Crashes),
    /// Steps of this queue are started with care; other dispatchers are to know.
    Careful(String),
    /// A decision for the logs.
    Note(Note),
}

/// The dispatcher.
#[derive(Debug)]
pub struct Pool {
    pub(crate) config: PoolConfig,
    pub(crate) held: BTreeMap<Domain, Fence>,
    pub(crate) shards: u8,
    pub(crate) evacuated: BTreeSet<DataCentreId>,
    pub(crate) workers: SlotMap<WorkerKey, Worker>,
    pub(crate) names: BTreeMap<String, WorkerKey>,
    /// Workers that have left.
    left: BTreeMap<String, Left>,
    /// How often workers that were forgotten had started again, and when that was.
    pub(crate) forgotten: BTreeMap<String, (u64, Time)>,
    /// How many lives of workers are known at each address.
    pub(crate) addrs: BTreeMap<SocketAddr, usize>,
    pub(crate) batches: SlotMap<BatchKey, Batch>,
    pub(crate) jobs: BTreeMap<(JobId, u16), BatchKey>,
    pub(crate) runs: SlotMap<RunKey, Run>,
    pub(crate) calls: SlotMap<CallKey, Sent>,
    pub(crate) queue: Queue,
    pub(crate) times: Times,
    /// What the answers of all workers took.
    pub(crate) answers: Patience,
    pub(crate) inflow: Inflow,
    /// Workers that ended under tasks.
    pub(crate) crashes: CrashLog,
    pub(crate) takeover: Takeover,
    pub(crate) grants: Grants,
    /// What origins were told of tasks that are here no more.
    pub(crate) told: BTreeMap<TaskId, Told>,
    pub(crate) news: BTreeMap<InstanceId, Vec<TaskReport>>,
    /// Batches that lost a task during the current input; the empty ones are dropped after it.
    pub(crate) touched: Vec<BatchKey>,
    /// The last question to each origin, and how many there were.
    pub(crate) asked: BTreeMap<InstanceId, u64>,
    pub(crate) asks: u64,
    /// Counts the inputs: what was sent during one of them was sent after all that was heard before.
    pub(crate) inputs: u64,
    /// Batches of which what finds no room in the current input is to be given back.
    pub(crate) passing: Vec<BatchKey>,
}

impl Pool {
    /// Dispatches for nothing yet.
    #[must_use]
    pub fn new(config: PoolConfig) -> Self {
        Self {
            config,
            held: BTreeMap::new(),
            shards: 1,
            evacuated: BTreeSet::new(),
            workers: SlotMap::with_key(),
            names: BTreeMap::new(),
            left: BTreeMap::new(),
            forgotten: BTreeMap::new(),
            addrs: BTreeMap::new(),
            batches: SlotMap::with_key(),
            jobs: BTreeMap::new(),
            runs: SlotMap::with_key(),
            calls: SlotMap::with_key(),
            queue: Queue::default(),
            times: Times::default(),
            answers: Patience::quick(),
            inflow: Inflow::default(),
            crashes: CrashLog::default(),
            takeover: Takeover::default(),
            grants: Grants::default(),
            told: BTreeMap::new(),
            news: BTreeMap::new(),
            touched: Vec::new(),
            asked: BTreeMap::new(),
            asks: 0,
            inputs: 0,
            passing: Vec::new(),
        }
    }

    /// How many workers are known, by their addresses.
    #[must_use]
    pub fn known_workers(&self) -> usize {
        self.addrs.len()
    }

    /// Divides the workers in shards; only while none is held.
    pub fn set_shards(&mut self, shards: u8) {
        self.shards = shards;
        for worker in self.workers.values_mut() {
            worker.domain = domain_of(&worker.note, shards);
        }
    }

    /// Whether a worker of a domain answered within `span`.
    #[must_use]
    pub fn reaches(&self, now: Time, domain: Domain, span: Duration) -> bool {
        let mut there = self.workers.values().filter(|w| w.domain == domain);
        there.any(|w| w.grip == Grip::Held && w.silent == 0 && now.since(w.heard) <= span)
    }

    /// What was learned of run times, and of the paces of the workers that obey, for a successor. Those of others are
    /// as old as the last change of hands.
    #[must_use]
    pub fn learned(&self) -> Learned {
        let held = self.workers.values().filter(|w| w.grip == Grip::Held);
        let paces = held.map(|w| (w.note.id.clone(), w.pace as f32));
        Learned {
            queues: self.times.learned(),
            slowdowns: paces.collect(),
        }
    }

    /// Takes over what another dispatcher has learned; one that dispatches itself keeps its own run
    /// times.
    pub fn learn_from(&mut self, learned: Learned) {
        if self.held.is_empty() {
            self.times.learn_from(learned.queues);
        }
        for (id, pace) in learned.slowdowns {
            if let Some(key) = self.names.get(&id)
                && self.workers[*key].grip == Grip::None
            {
                self.workers[*key].pace = pace.into();
            }
        }
    }

    /// Whether nothing is open here: no runs, waiting tasks, or calls but looks at workers with nothing to do.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let settled = self.runs.is_empty() && self.batches.is_empty();
        settled
            && self
                .calls
                .values()
                .all(|call| self.is_routine(call.pending))
    }

    /// Whether a call only asks an idle worker for a sign of life.
    fn is_routine(&self, call: Pending) -> bool {
        match call {
            Pending::Look(worker, Question::Ends, _) => {
                self.workers.get(worker).is_some_and(Worker::is_settled)
            }
            Pending::Look(_, Question::Order, _)
            | Pending::Start(_)
            | Pending::Stop(_)
            | Pending::StopAlien(_) => false,
        }
    }

    /// How many steps of jobs and runs are open, and how many workers obey.
    #[must_use]
    pub fn counts(&self) -> (usize, usize, usize) {
        let held = self.workers.values().filter(|w| w.grip == Grip::Held);
        (self.batches.len(), self.runs.len(), held.count())
    }

    /// One line for each open step of a job: its origin, and how its tasks stand. For logs and checks.
    #[must_use]
    pub fn open_steps(&self, now: Time) -> Vec<String> {
        let line = |batch: &Batch| {
            let states: Vec<_> = batch.tasks.values().map(|task| task.state).collect();
            let unnamed = batch.tasks.values().filter(|task| task.unnamed).count();
            let granted = batch.tasks.values();
            let granted = granted.filter(|task| self.may_start(now, batch.origin, task));
            format!(
                "job {} of {}: {states:?}, {unnamed} unnamed, {} granted",
                batch.order.job.0,
                batch.origin,
                granted.count()
            )
        };
        self.batches.values().map(line).collect()
    }

    /// The number of this dispatcher's runs on workers in evacuated data centres.
    #[must_use]
    pub fn evacuated_runs(&self) -> usize {
        let workers = self.workers.values();
        let evacuated = workers.filter(|w| self.evacuated.contains(&w.note.dc));
        evacuated.map(|worker| worker.runs.len()).sum()
    }

    /// Takes an input and appends what the host is to do.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.inputs += 1;
        match input {
            Input::Acquire(domain, fence) => self.acquire(now, domain, fence, out),
            Input::Resign(domain) => self.resign(now, domain, out),
            Input::Workers(notes) => {
                for note in notes {
                    self.worker(now, note, out);
                }
            }
            Input::EvacuatedDataCentres(dcs) => self.evacuated = dcs,
            Input::Work(from, msg) => self.work(now, from, msg, out),
            Input::Granted(origin, grant) => self.granted(now, origin, grant, out),
            Input::AskOrigin(origin) => self.ask_origin(origin, out),
            Input::OriginLost(origin) => self.drop_origin(now, origin, out),
            Input::Answered(key, answer) => self.answered(now, key, answer, out),
            Input::AnsweredLate(took) => self.answers.learn(took),
            Input::Crashes(told) => self.learn_crashes(now, told, out),
            Input::Careful(queues) => self.learn_careful(now, queues),
            Input::Ask(domain) => self.ask(now, domain, out),
            Input::Tick => self.tick(now, out),
        }
        self.drop_empty();
        self.place(now, out);
        for key in std::mem::take(&mut self.passing) {
            self.pass_on(now, key, out);
        }
        self.tell(out);
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        self.tend_workers(now, out);
        self.tend_grants(now, out);
        self.tend_takeover(now, out);
        self.tend_runs(now, out);
        self.shed(now, out);
        self.tend_crashes(now, out);
        self.told.retain(|_, told| told.is_kept(now));
        self.left
            .retain(|_, left| now.since(left.heard) <= REMEMBER_LEFT);
        self.forgotten
            .retain(|_, (_, at)| now.since(*at) <= REMEMBER_LEFT);
    }

    fn work(&mut self, now: Time, from: InstanceId, msg: WorkMsg, out: &mut Vec<Output>) {
        match msg {
            WorkMsg::Submit(order) => self.submit(now, from, order, out),
            WorkMsg::Cancel {
                job,
                last_submission: last,
            } => self.cancel(now, from, job, last, out),
            WorkMsg::Drop {
                tasks,
                last_submission: last,
            } => self.drop_tasks(now, from, &tasks, last, out),
            WorkMsg::ResyncDone {
                request: ask,
                unsure,
            } => self.sweep(now, from, ask, &unsure, out),
            // For origins, not for dispatchers.
            WorkMsg::Ended(_) | WorkMsg::Crashed(..) | WorkMsg::Resync(_) => {}
        }
    }

    fn worker(&mut self, now: Time, note: WorkerAnnouncement, out: &mut Vec<Output>) {
        let gone = note.stage == WorkerStage::Gone;
        if gone {
            self.remember_left(now, &note);
        }
        let Some(key) = self.names.get(&note.id).copied() else {
            let left = self.left.get(&note.id);
            let has_left = left.is_some_and(|left| note.version.incarnation <= left.life);
            if !gone && !has_left {
                self.add_unknown(now, note, out);
            }
            return;
        };
        let known = self.workers[key].note.version;
        match note.version.incarnation.cmp(&known.incarnation) {
            Ordering::Less if gone => {}
            Ordering::Less => self.other_life_speaks(key, note, out),
            Ordering::Equal if gone => self.worker_leaves(now, key, out),
            // A late announcement must not bring an earlier state back.
            Ordering::Equal if note.version <= known => {}
            Ordering::Equal => self.update_worker(key, note),
            Ordering::Greater => self.replace_worker(now, key, note, out),
        }
    }

    /// Whether a worker takes new tasks and its data centre is not evacuated.
    pub(crate) fn takes(&self, now: Time, worker: &Worker) -> bool {
        worker.takes(now) && !self.evacuated.contains(&worker.note.dc)
    }

    /// Whether a worker is being taken over and is expected to take new tasks once it has answered the first
    /// look. False once a look has timed out.
    pub(crate) fn takes_after_takeover(&self, worker: &Worker) -> bool {
        let sound = worker.grip == Grip::Taking && worker.silent == 0;
        sound
            && worker.note.stage == WorkerStage::Ready
            && !self.evacuated.contains(&worker.note.dc)
    }

    fn remember_left(&mut self, now: Time, note: &WorkerAnnouncement) {
        let life = note.version.incarnation;
        let left = Left { life, heard: now };
        let known = self.left.entry(note.id.clone()).or_insert(left);
        known.life = known.life.max(life);
        known.heard = now;
    }

    /// A worker has said something new of the life that is known.
    fn update_worker(&mut self, key: WorkerKey, note: WorkerAnnouncement) {
        let worker = &mut self.workers[key];
        let addr = std::mem::replace(&mut worker.note, note).addr;
        let new = worker.note.addr;
        if addr != new {
            self.forget_addr(addr);
            *self.addrs.entry(new).or_default() += 1;
        }
    }

    /// A worker says that it leaves.
    ///
    /// If the acknowledgement is lost, it goes on for seconds, and a task started elsewhere would run twice.
    /// So it stays known, without new work, until it lists the ends of its runs or the lease is over.
    fn worker_leaves(&mut self, now: Time, key: WorkerKey, out: &mut Vec<Output>) {
        self.workers[key].note.stage = WorkerStage::Gone;
        self.forget_if_left(now, key, out);
    }

    /// Forgets a worker that has left, once nothing runs there; whether it did.
    pub(crate) fn forget_if_left(
        &mut self,
        now: Time,
        key: WorkerKey,
        out: &mut Vec<Output>,
    ) -> bool {
        let worker = &self.workers[key];
        let over = worker.note.stage == WorkerStage::Gone && worker.runs.is_empty();
        if over {
            self.forget_worker(now, key, Departure::Left, out);
        }
        over
    }

    pub(crate) fn forget_addr(&mut self, addr: SocketAddr) {
        if let Some(lives) = self.addrs.get_mut(&addr) {
            *lives -= 1;
            if *lives == 0 {
                self.addrs.remove(&addr);
            }
        }
    }

    pub(crate) fn add_worker(
        &mut self,
        now: Time,
        note: WorkerAnnouncement,
        lives: u64,
        out: &mut Vec<Output>,
    ) -> WorkerKey {
        let id = note.id.clone();
        *self.addrs.entry(note.addr).or_default() += 1;
        let mut worker = Worker::new(now, note, self.shards);
        worker.lives = lives;
        let domain = worker.domain;
        let key = self.workers.insert(worker);
        self.names.insert(id, key);
        if self.held.contains_key(&domain) {
            self.take_worker(now, key, out);
        }
        key
    }

    /// Not before the end of an input: what works on a batch must not lose it on the way.
    pub(crate) fn drop_empty(&mut self) {
        for key in std::mem::take(&mut self.touched) {
            let empty = self.batches.get(key).is_some_and(|b| b.tasks.is_empty());
            if empty && let Some(batch) = self.batches.remove(key) {
                self.queue.remove(self.rank(key, &batch));
                self.jobs.remove(&(batch.order.job, batch.order.step));
            }
        }
    }

    /// Where a batch stands in the queue.
    pub(crate) fn rank(&self, key: BatchKey, batch: &Batch) -> Rank {
        Rank::new(key, batch, self.config.without)
    }

    pub(crate) fn unqueue(&mut self, key: BatchKey) {
        if let Some(batch) = self.batches.get(key) {
            let rank = self.rank(key, batch);
            self.queue.remove(rank);
        }
    }

    pub(crate) fn requeue(&mut self, key: BatchKey) {
        if let Some(batch) = self.batches.get(key)
            && batch.waiting() > 0
        {
            let rank = self.rank(key, batch);
            self.queue.insert(rank);
        }
    }

    /// Tells an origin of the end of a task, and takes the task out of its batch.
    pub(crate) fn finish(&mut self, now: Time, key: BatchKey, index: u16, end: TaskEnd) {
        let Some(batch) = self.batches.get_mut(key) else {
            return;
        };
        let id = batch.id(index);
        let task = batch.tasks.remove(&index);
        let news = TaskReport {
            task: id,
            submission: task.map_or(0, |task| task.hand),
            end,
        };
        let told = Told {
            at: now,
            origin: batch.origin,
            news,
        };
        self.told.insert(id, told);
        self.report(key, news);
        self.touched.push(key);
    }

    pub(crate) fn report(&mut self, key: BatchKey, news: TaskReport) {
        if let Some(batch) = self.batches.get(key) {
            self.news.entry(batch.origin).or_default().push(news);
        }
    }

    fn tell(&mut self, out: &mut Vec<Output>) {
        for (origin, ends) in std::mem::take(&mut self.news) {
            out.push(Output::Send(origin, WorkMsg::Ended(ends)));
        }
    }

    /// Sends a call to a worker; none if its data centre is not held.
    pub(crate) fn call(
        &mut self,
        worker: WorkerKey,
        pending: Pending,
        order: Order,
        out: &mut Vec<Output>,
    ) -> Option<CallKey> {
        let callee = &self.workers[worker];
        let fence = self.held.get(&callee.domain)?.for_incarnation(callee.lives);
        let slow = self.answers.wait(self.config.slow);
        let wait = match order {
            Order::Look { .. } => order.waits() + self.config.answer.max(slow),
            Order::Start { .. } | Order::Stop { .. }
                if self.config.without.contains(Mechanism::Patience) =>
            {
                self.config.order
            }
            Order::Start { .. } | Order::Stop { .. } => {
                let wait = self.workers[worker].patience.wait(self.config.order);
                wait.max(slow)
            }
        };
        let callee = &self.workers[worker].note;
        let key = self.calls.insert(Sent { worker, pending });
        out.push(Output::Call(Call {
            key,
            worker: callee.id.clone(),
            addr: callee.addr,
            fence,
            order,
            timeout: wait,
        }));
        Some(key)
    }

    /// Tells a worker to stop a run whose result is not wanted, or which is to run elsewhere.
    pub(crate) fn stop_run(&mut self, _now: Time, key: RunKey, out: &mut Vec<Output>) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if run.stopping {
            return;
        }
        run.stopping = true;
        let order = Order::Stop {
            task: run.task,
            run: run.number,
        };
        let worker = run.worker;
        self.call(worker, Pending::Stop(key), order, out);
    }

    /// A run is over, or surely never was: its room is free.
    pub(crate) fn release(&mut self, key: RunKey) -> Option<Run> {
        let run = self.runs.remove(key)?;
        if let Some(worker) = self.workers.get_mut(run.worker) {
            worker.runs.retain(|other| *other != key);
            worker.used = worker.used.saturating_sub(run.need);
        }
        Some(run)
    }

    /// Makes a run; its room is taken.
    pub(crate) fn occupy(&mut self, run: Run) -> RunKey {
        let worker = run.worker;
        let need = run.need;
        let key = self.runs.insert(run);
        let worker = &mut self.workers[worker];
        worker.runs.push(key);
        worker.used = worker.used.saturating_add(need);
        key
    }

    /// The task waits for room again, and its next run gets a higher number.
    pub(crate) fn back_to_queue(&mut self, key: BatchKey, index: u16, number: RunNumber) {
        self.unqueue(key);
        if let Some(batch) = self.batches.get_mut(key)
            && let Some(task) = batch.tasks.get_mut(&index)
        {
            task.state = TaskState::Waiting;
            task.run = task.run.max(number);
        }
        self.requeue(key);
    }

    pub(crate) fn set_phase(&mut self, key: RunKey, phase: Phase) {
        if let Some(run) = self.runs.get_mut(key) {
            run.phase = phase;
        }
    }
}

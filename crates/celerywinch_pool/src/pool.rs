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

use crate::answer_times::AnswerTimes;
use crate::call::{Answer, Call, CallKey, CallPurpose, PendingCall, PollKind, Request};
use crate::crashes::CrashHistory;
use crate::grants::{Grant, Grants};
use crate::inflow::Inflow;
use crate::job::{Batch, BatchKey, TaskState};
use crate::queue::{Queue, Rank};
use crate::run::{Phase, Run, RunKey};
use crate::run_times::RunTimes;
use crate::sent_ends::SentEnd;
use crate::takeover::Takeover;
use crate::worker::{Ownership, Worker, WorkerKey, domain_of};
use crate::{Departure, PoolConfig, PoolEvent};

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
    ResyncOrigin(InstanceId),
    /// An origin is lost: its callers' connections broke, or it cannot be told of ends.
    OriginLost(InstanceId),
    /// What came of a call.
    Answered(CallKey, Answer),
    /// An answer came after its time, so long after the call, without the time that the worker was to wait.
    AnsweredLate(Duration),
    /// What other dispatchers know of workers that ended under tasks.
    Crashes(Vec<(TaskId, Crashes)>),
    /// Queues whose steps another dispatcher starts with care.
    ProbeQueues(Vec<String>),
    /// Whether any worker of a domain that is held can be reached: one that has nothing to do is
    /// asked, unless one has answered lately.
    CheckReachable(Domain),
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
    Fenced(Domain),
    /// The fencing token of this domain is used up by a worker that has started again so often.
    TokenExhausted(Domain),
    /// Workers have ended under a task; other dispatchers are to know.
    Crashed(TaskId, Crashes),
    /// Steps of this queue are started with care; other dispatchers are to know.
    ProbeQueue(String),
    /// A decision for the logs.
    Event(PoolEvent),
}

/// The dispatcher.
#[derive(Debug)]
pub struct Pool {
    pub(crate) config: PoolConfig,
    pub(crate) owned: BTreeMap<Domain, Fence>,
    pub(crate) shards: u8,
    pub(crate) evacuated: BTreeSet<DataCentreId>,
    pub(crate) workers: SlotMap<WorkerKey, Worker>,
    pub(crate) worker_ids: BTreeMap<String, WorkerKey>,
    /// Workers that have left.
    departed: BTreeMap<String, Left>,
    /// How often workers that were forgotten had started again, and when that was.
    pub(crate) removed: BTreeMap<String, (u64, Time)>,
    /// How many lives of workers are known at each address.
    pub(crate) addr_counts: BTreeMap<SocketAddr, usize>,
    pub(crate) batches: SlotMap<BatchKey, Batch>,
    pub(crate) batch_keys: BTreeMap<(JobId, u16), BatchKey>,
    pub(crate) runs: SlotMap<RunKey, Run>,
    pub(crate) calls: SlotMap<CallKey, PendingCall>,
    pub(crate) queue: Queue,
    pub(crate) run_times: RunTimes,
    /// What the answers of all workers took.
    pub(crate) answer_times: AnswerTimes,
    pub(crate) inflow: Inflow,
    /// Workers that ended under tasks.
    pub(crate) crashes: CrashHistory,
    pub(crate) takeover: Takeover,
    pub(crate) grants: Grants,
    /// What origins were told of tasks that are here no more.
    pub(crate) sent_ends: BTreeMap<TaskId, SentEnd>,
    pub(crate) unsent_ends: BTreeMap<InstanceId, Vec<TaskReport>>,
    /// Batches that lost a task during the current input; the empty ones are dropped after it.
    pub(crate) shrunk: Vec<BatchKey>,
    /// The last question to each origin, and how many there were.
    pub(crate) resyncs: BTreeMap<InstanceId, u64>,
    pub(crate) resync_count: u64,
    /// Counts the inputs: what was sent during one of them was sent after all that was heard before.
    pub(crate) input_count: u64,
    /// Batches of which what finds no room in the current input is to be given back.
    pub(crate) passing: Vec<BatchKey>,
}

impl Pool {
    /// Dispatches for nothing yet.
    #[must_use]
    pub fn new(config: PoolConfig) -> Self {
        Self {
            config,
            owned: BTreeMap::new(),
            shards: 1,
            evacuated: BTreeSet::new(),
            workers: SlotMap::with_key(),
            worker_ids: BTreeMap::new(),
            departed: BTreeMap::new(),
            removed: BTreeMap::new(),
            addr_counts: BTreeMap::new(),
            batches: SlotMap::with_key(),
            batch_keys: BTreeMap::new(),
            runs: SlotMap::with_key(),
            calls: SlotMap::with_key(),
            queue: Queue::default(),
            run_times: RunTimes::default(),
            answer_times: AnswerTimes::zeroed(),
            inflow: Inflow::default(),
            crashes: CrashHistory::default(),
            takeover: Takeover::default(),
            grants: Grants::default(),
            sent_ends: BTreeMap::new(),
            unsent_ends: BTreeMap::new(),
            shrunk: Vec::new(),
            resyncs: BTreeMap::new(),
            resync_count: 0,
            input_count: 0,
            passing: Vec::new(),
        }
    }

    /// How many workers are known, by their addresses.
    #[must_use]
    pub fn known_workers(&self) -> usize {
        self.addr_counts.len()
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
    pub fn is_reachable(&self, now: Time, domain: Domain, span: Duration) -> bool {
        let mut there = self.workers.values().filter(|w| w.domain == domain);
        there.any(|w| {
            w.ownership == Ownership::Owned
                && w.missed_calls == 0
                && now.since(w.last_contact) <= span
        })
    }

    /// What was learned of run times, and of the paces of the workers that obey, for a successor. Those of others are
    /// as old as the last change of hands.
    #[must_use]
    pub fn learned(&self) -> Learned {
        let held = self
            .workers
            .values()
            .filter(|w| w.ownership == Ownership::Owned);
        let paces = held.map(|w| (w.note.id.clone(), w.pace as f32));
        Learned {
            queues: self.run_times.learned(),
            slowdowns: paces.collect(),
        }
    }

    /// Takes over what another dispatcher has learned; one that dispatches itself keeps its own run
    /// times.
    pub fn learn_from(&mut self, learned: Learned) {
        if self.owned.is_empty() {
            self.run_times.learn_from(learned.queues);
        }
        for (id, pace) in learned.slowdowns {
            if let Some(key) = self.worker_ids.get(&id)
                && self.workers[*key].ownership == Ownership::None
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
                .all(|call| self.is_routine(call.purpose))
    }

    /// Whether a call only asks an idle worker for a sign of life.
    fn is_routine(&self, call: CallPurpose) -> bool {
        match call {
            CallPurpose::Poll(worker, PollKind::Long, _) => {
                self.workers.get(worker).is_some_and(Worker::is_settled)
            }
            CallPurpose::Poll(_, PollKind::Short, _)
            | CallPurpose::Start(_)
            | CallPurpose::Stop(_)
            | CallPurpose::StopForeign(_) => false,
        }
    }

    /// How many steps of jobs and runs are open, and how many workers obey.
    #[must_use]
    pub fn counts(&self) -> (usize, usize, usize) {
        let held = self
            .workers
            .values()
            .filter(|w| w.ownership == Ownership::Owned);
        (self.batches.len(), self.runs.len(), held.count())
    }

    /// One line for each open step of a job: its origin, and how its tasks stand. For logs and checks.
    #[must_use]
    pub fn open_steps(&self, now: Time) -> Vec<String> {
        let line = |batch: &Batch| {
            let states: Vec<_> = batch.tasks.values().map(|task| task.state).collect();
            let unnamed = batch.tasks.values().filter(|task| task.unconfirmed).count();
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
        self.input_count += 1;
        match input {
            Input::Acquire(domain, fence) => self.acquire(now, domain, fence, out),
            Input::Resign(domain) => self.resign(now, domain, out),
            Input::Workers(notes) => {
                for note in notes {
                    self.worker_announced(now, note, out);
                }
            }
            Input::EvacuatedDataCentres(dcs) => self.evacuated = dcs,
            Input::Work(from, msg) => self.handle_message(now, from, msg, out),
            Input::Granted(origin, grant) => self.granted(now, origin, grant, out),
            Input::ResyncOrigin(origin) => self.request_resync(origin, out),
            Input::OriginLost(origin) => self.drop_origin(now, origin, out),
            Input::Answered(key, answer) => self.answered(now, key, answer, out),
            Input::AnsweredLate(took) => self.answer_times.record(took),
            Input::Crashes(told) => self.merge_crashes(now, told, out),
            Input::ProbeQueues(queues) => self.merge_careful(now, queues),
            Input::CheckReachable(domain) => self.check_reachable(now, domain, out),
            Input::Tick => self.tick(now, out),
        }
        self.remove_empty();
        self.place_tasks(now, out);
        for key in std::mem::take(&mut self.passing) {
            self.pass_on(now, key, out);
        }
        self.send_ends(out);
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        self.tick_workers(now, out);
        self.tick_grants(now, out);
        self.tick_takeover(now, out);
        self.stop_unconfirmed_runs(now, out);
        self.shed(now, out);
        self.tick_crashes(now, out);
        self.sent_ends.retain(|_, told| told.is_retained(now));
        self.departed
            .retain(|_, left| now.since(left.heard) <= REMEMBER_LEFT);
        self.removed
            .retain(|_, (_, at)| now.since(*at) <= REMEMBER_LEFT);
    }

    fn handle_message(&mut self, now: Time, from: InstanceId, msg: WorkMsg, out: &mut Vec<Output>) {
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
            } => self.drop_unnamed(now, from, ask, &unsure, out),
            // For origins, not for dispatchers.
            WorkMsg::Ended(_) | WorkMsg::Crashed(..) | WorkMsg::Resync(_) => {}
        }
    }

    fn worker_announced(&mut self, now: Time, note: WorkerAnnouncement, out: &mut Vec<Output>) {
        let gone = note.stage == WorkerStage::Gone;
        if gone {
            self.record_departure(now, &note);
        }
        let Some(key) = self.worker_ids.get(&note.id).copied() else {
            let left = self.departed.get(&note.id);
            let has_left = left.is_some_and(|left| note.version.incarnation <= left.life);
            if !gone && !has_left {
                self.add_unknown(now, note, out);
            }
            return;
        };
        let known = self.workers[key].note.version;
        match note.version.incarnation.cmp(&known.incarnation) {
            Ordering::Less if gone => {}
            Ordering::Less => self.earlier_incarnation_announced(key, note, out),
            Ordering::Equal if gone => self.worker_left(now, key, out),
            // A late announcement must not bring an earlier state back.
            Ordering::Equal if note.version <= known => {}
            Ordering::Equal => self.update_worker(key, note),
            Ordering::Greater => self.replace_worker(now, key, note, out),
        }
    }

    /// Whether a worker takes new tasks and its data centre is not evacuated.
    pub(crate) fn accepts_tasks(&self, now: Time, worker: &Worker) -> bool {
        worker.accepts_tasks(now) && !self.evacuated.contains(&worker.note.dc)
    }

    /// Whether a worker is being taken over and is expected to take new tasks once it has answered the first
    /// look. False once a look has timed out.
    pub(crate) fn accepts_after_takeover(&self, worker: &Worker) -> bool {
        let sound = worker.ownership == Ownership::Acquiring && worker.missed_calls == 0;
        sound
            && worker.note.stage == WorkerStage::Ready
            && !self.evacuated.contains(&worker.note.dc)
    }

    fn record_departure(&mut self, now: Time, note: &WorkerAnnouncement) {
        let life = note.version.incarnation;
        let left = Left { life, heard: now };
        let known = self.departed.entry(note.id.clone()).or_insert(left);
        known.life = known.life.max(life);
        known.heard = now;
    }

    /// A worker has said something new of the life that is known.
    fn update_worker(&mut self, key: WorkerKey, note: WorkerAnnouncement) {
        let worker = &mut self.workers[key];
        let addr = std::mem::replace(&mut worker.note, note).addr;
        let new = worker.note.addr;
        if addr != new {
            self.remove_addr(addr);
            *self.addr_counts.entry(new).or_default() += 1;
        }
    }

    /// A worker says that it leaves.
    ///
    /// If the acknowledgement is lost, it goes on for seconds, and a task started elsewhere would run twice.
    /// So it stays known, without new work, until it lists the ends of its runs or the lease is over.
    fn worker_left(&mut self, now: Time, key: WorkerKey, out: &mut Vec<Output>) {
        self.workers[key].note.stage = WorkerStage::Gone;
        self.remove_if_left(now, key, out);
    }

    /// Forgets a worker that has left, once nothing runs there; whether it did.
    pub(crate) fn remove_if_left(
        &mut self,
        now: Time,
        key: WorkerKey,
        out: &mut Vec<Output>,
    ) -> bool {
        let worker = &self.workers[key];
        let over = worker.note.stage == WorkerStage::Gone && worker.runs.is_empty();
        if over {
            self.remove_worker(now, key, Departure::Left, out);
        }
        over
    }

    pub(crate) fn remove_addr(&mut self, addr: SocketAddr) {
        if let Some(lives) = self.addr_counts.get_mut(&addr) {
            *lives -= 1;
            if *lives == 0 {
                self.addr_counts.remove(&addr);
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
        *self.addr_counts.entry(note.addr).or_default() += 1;
        let mut worker = Worker::new(now, note, self.shards);
        worker.restarts = lives;
        let domain = worker.domain;
        let key = self.workers.insert(worker);
        self.worker_ids.insert(id, key);
        if self.owned.contains_key(&domain) {
            self.take_over_worker(now, key, out);
        }
        key
    }

    /// Not before the end of an input: what works on a batch must not lose it on the way.
    pub(crate) fn remove_empty(&mut self) {
        for key in std::mem::take(&mut self.shrunk) {
            let empty = self.batches.get(key).is_some_and(|b| b.tasks.is_empty());
            if empty && let Some(batch) = self.batches.remove(key) {
                self.queue.remove(self.rank(key, &batch));
                self.batch_keys.remove(&(batch.order.job, batch.order.step));
            }
        }
    }

    /// Where a batch stands in the queue.
    pub(crate) fn rank(&self, key: BatchKey, batch: &Batch) -> Rank {
        Rank::new(key, batch, self.config.disabled)
    }

    pub(crate) fn dequeue(&mut self, key: BatchKey) {
        if let Some(batch) = self.batches.get(key) {
            let rank = self.rank(key, batch);
            self.queue.remove(rank);
        }
    }

    pub(crate) fn requeue(&mut self, key: BatchKey) {
        if let Some(batch) = self.batches.get(key)
            && batch.waiting_count() > 0
        {
            let rank = self.rank(key, batch);
            self.queue.insert(rank);
        }
    }

    /// Tells an origin of the end of a task, and takes the task out of its batch.
    pub(crate) fn finish_task(&mut self, now: Time, key: BatchKey, index: u16, end: TaskEnd) {
        let Some(batch) = self.batches.get_mut(key) else {
            return;
        };
        let id = batch.task_id(index);
        let task = batch.tasks.remove(&index);
        let news = TaskReport {
            task: id,
            submission: task.map_or(0, |task| task.submission),
            end,
        };
        let told = SentEnd {
            sent_at: now,
            origin: batch.origin,
            news,
        };
        self.sent_ends.insert(id, told);
        self.report_end(key, news);
        self.shrunk.push(key);
    }

    pub(crate) fn report_end(&mut self, key: BatchKey, news: TaskReport) {
        if let Some(batch) = self.batches.get(key) {
            self.unsent_ends.entry(batch.origin).or_default().push(news);
        }
    }

    fn send_ends(&mut self, out: &mut Vec<Output>) {
        for (origin, ends) in std::mem::take(&mut self.unsent_ends) {
            out.push(Output::Send(origin, WorkMsg::Ended(ends)));
        }
    }

    /// Sends a call to a worker; none if its data centre is not held.
    pub(crate) fn call(
        &mut self,
        worker: WorkerKey,
        purpose: CallPurpose,
        request: Request,
        out: &mut Vec<Output>,
    ) -> Option<CallKey> {
        let callee = &self.workers[worker];
        let fence = self
            .owned
            .get(&callee.domain)?
            .for_incarnation(callee.restarts);
        let slow = self.answer_times.timeout(self.config.max_timeout);
        let wait = match request {
            Request::Poll { .. } => request.max_wait() + self.config.answer_timeout.max(slow),
            Request::Start { .. } | Request::Stop { .. }
                if self.config.disabled.contains(Mechanism::Patience) =>
            {
                self.config.order_timeout
            }
            Request::Start { .. } | Request::Stop { .. } => {
                let wait = self.workers[worker]
                    .answer_times
                    .timeout(self.config.order_timeout);
                wait.max(slow)
            }
        };
        let callee = &self.workers[worker].note;
        let key = self.calls.insert(PendingCall { worker, purpose });
        out.push(Output::Call(Call {
            key,
            worker: callee.id.clone(),
            addr: callee.addr,
            fence,
            request,
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
        let request = Request::Stop {
            task: run.task,
            run: run.number,
        };
        let worker = run.worker;
        self.call(worker, CallPurpose::Stop(key), request, out);
    }

    /// A run is over, or surely never was: its room is free.
    pub(crate) fn remove_run(&mut self, key: RunKey) -> Option<Run> {
        let run = self.runs.remove(key)?;
        if let Some(worker) = self.workers.get_mut(run.worker) {
            worker.runs.retain(|other| *other != key);
            worker.used = worker.used.saturating_sub(run.need);
        }
        Some(run)
    }

    /// Makes a run; its room is taken.
    pub(crate) fn add_run(&mut self, run: Run) -> RunKey {
        let worker = run.worker;
        let need = run.need;
        let key = self.runs.insert(run);
        let worker = &mut self.workers[worker];
        worker.runs.push(key);
        worker.used = worker.used.saturating_add(need);
        key
    }

    /// The task waits for room again, and its next run gets a higher number.
    pub(crate) fn requeue_task(&mut self, key: BatchKey, index: u16, number: RunNumber) {
        self.dequeue(key);
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

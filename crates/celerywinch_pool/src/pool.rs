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
use crate::claims::Claims;
use crate::crashes::CrashHistory;
use crate::grants::{Grant, Grants};
use crate::inflow::Inflow;
use crate::job::{Batch, BatchKey, TaskState};
use crate::packing::Packing;
use crate::queue::{Entry, Queue, Rank};
use crate::reservations::Reservations;
use crate::run::{Phase, Run, RunKey};
use crate::run_times::RunTimes;
use crate::sent_ends::SentEnd;
use crate::sizes::Sizes;
use crate::tails::Tails;
use crate::takeover::Takeover;
use crate::worker::{Ownership, Worker, WorkerKey, domain_of};
use crate::{Departure, PoolConfig, PoolEvent};

/// How long a worker that has left is remembered. A keeper that did not receive its last announcement may report it as
/// ready until 20 s after the announcement before that, and a dispatcher that started tasks there would disturb its shutdown.
const DEPARTED_RETENTION: Duration = Duration::from_secs(30);

/// A worker that has left.
#[derive(Clone, Copy, Debug)]
struct Departed {
    /// The last incarnation that has left.
    incarnation: Incarnation,
    last_contact: Time,
}

/// An input of the pool.
#[derive(Clone, Debug)]
pub enum Input {
    /// Become the dispatcher of a domain, with this fencing token.
    Acquire(Domain, Fence),
    /// Stop being the dispatcher of a domain; its open tasks are returned to their origins.
    Resign(Domain),
    /// Announcements of workers.
    Workers(Vec<WorkerAnnouncement>),
    /// Replaces the set of evacuated data centres: their workers get no new tasks, and running tasks
    /// continue.
    EvacuatedDataCentres(BTreeSet<DataCentreId>),
    /// A message from an origin of jobs.
    Work(InstanceId, WorkMsg),
    /// An origin counts this dispatcher as alive and lets it start its tasks.
    Granted(InstanceId, Grant),
    /// Messages from an origin may be lost: ask it which tasks it still wants.
    ResyncOrigin(InstanceId),
    /// An origin is lost: the connections of its callers broke, or the ends of its tasks cannot be reported to it.
    OriginLost(InstanceId),
    /// The answer to a call, or the lack of one.
    Answered(CallKey, Answer),
    /// A call was answered after its timeout. The duration is the time from the call to the answer, less the wait that the
    /// call asked for.
    AnsweredLate(Duration),
    /// What other dispatchers know of crashes of workers under tasks.
    Crashes(Vec<(TaskId, Crashes)>),
    /// Queues whose steps another dispatcher starts with a single probe task.
    ProbeQueues(Vec<String>),
    /// Check whether any worker of an owned domain can be reached: polls an idle worker, unless one has answered recently.
    CheckReachable(Domain),
    /// Time has passed.
    Tick,
}

/// An action for the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Call a worker.
    Call(Call),
    /// Send a message to an origin.
    Send(InstanceId, WorkMsg),
    /// A worker of this domain has seen a higher fencing token: another dispatcher has taken over.
    Fenced(Domain),
    /// A worker has restarted so often that the fencing token of this domain cannot tell its incarnations apart any more.
    TokenExhausted(Domain),
    /// Workers have crashed under a task; inform the other dispatchers.
    Crashed(TaskId, Crashes),
    /// Steps of this queue are started with a single probe task; inform the other dispatchers.
    ProbeQueue(String),
    /// Log a decision.
    Event(PoolEvent),
}

/// The dispatcher of the workers of one or more domains.
#[derive(Debug)]
pub struct Pool {
    pub(crate) config: PoolConfig,
    pub(crate) owned: BTreeMap<Domain, Fence>,
    pub(crate) shards: u8,
    pub(crate) evacuated: BTreeSet<DataCentreId>,
    pub(crate) workers: SlotMap<WorkerKey, Worker>,
    pub(crate) worker_ids: BTreeMap<String, WorkerKey>,
    /// Announced incarnations of these workers at other addresses.
    pub(crate) claims: Claims,
    /// Workers that have left, by name.
    departed: BTreeMap<String, Departed>,
    /// For each removed worker, how often it had restarted and when it was removed.
    pub(crate) removed: BTreeMap<String, (u64, Time)>,
    /// Number of known workers at each address.
    pub(crate) addr_counts: BTreeMap<SocketAddr, usize>,
    pub(crate) batches: SlotMap<BatchKey, Batch>,
    pub(crate) batch_keys: BTreeMap<(JobId, u16), BatchKey>,
    pub(crate) runs: SlotMap<RunKey, Run>,
    pub(crate) calls: SlotMap<CallKey, PendingCall>,
    pub(crate) queue: Queue,
    pub(crate) run_times: RunTimes,
    pub(crate) tails: Tails,
    /// Response times of all workers.
    pub(crate) answer_times: AnswerTimes,
    pub(crate) inflow: Inflow,
    pub(crate) packing: Packing,
    pub(crate) sizes: Sizes,
    /// Crashes of workers under tasks.
    pub(crate) crashes: CrashHistory,
    pub(crate) takeover: Takeover,
    pub(crate) grants: Grants,
    /// The ends reported to origins, of tasks that are no longer here.
    pub(crate) sent_ends: BTreeMap<TaskId, SentEnd>,
    /// Ends that are sent to each origin after the current input.
    pub(crate) unsent_ends: BTreeMap<InstanceId, Vec<TaskReport>>,
    /// Batches that lost a task during the current input; the empty ones are removed after it.
    pub(crate) shrunk: Vec<BatchKey>,
    /// Number of the resync that is pending with each origin, and of the last one sent to any.
    pub(crate) resyncs: BTreeMap<InstanceId, u64>,
    pub(crate) resync_count: u64,
    /// The time of the first input.
    pub(crate) first_input: Option<Time>,
    /// Number of inputs so far: a call sent during an input was sent after everything received in earlier ones.
    pub(crate) input_count: u64,
    /// Batches with the tasks that are returned if they find no free capacity during the current input.
    pub(crate) passing: Vec<(BatchKey, BTreeSet<u16>)>,
    /// Reservations for tasks that are with their origins.
    pub(crate) reservations: Reservations,
    /// Whether the workers differ in speed.
    pub(crate) uneven: bool,
}

impl Pool {
    /// Creates a pool that owns no domain.
    #[must_use]
    pub fn new(config: PoolConfig) -> Self {
        Self {
            config,
            owned: BTreeMap::new(),
            shards: 1,
            evacuated: BTreeSet::new(),
            workers: SlotMap::with_key(),
            worker_ids: BTreeMap::new(),
            claims: Claims::default(),
            departed: BTreeMap::new(),
            removed: BTreeMap::new(),
            addr_counts: BTreeMap::new(),
            batches: SlotMap::with_key(),
            batch_keys: BTreeMap::new(),
            runs: SlotMap::with_key(),
            calls: SlotMap::with_key(),
            queue: Queue::default(),
            run_times: RunTimes::default(),
            tails: Tails::default(),
            answer_times: AnswerTimes::zeroed(),
            inflow: Inflow::default(),
            packing: Packing::default(),
            sizes: Sizes::default(),
            crashes: CrashHistory::default(),
            takeover: Takeover::default(),
            grants: Grants::default(),
            sent_ends: BTreeMap::new(),
            unsent_ends: BTreeMap::new(),
            shrunk: Vec::new(),
            resyncs: BTreeMap::new(),
            resync_count: 0,
            first_input: None,
            input_count: 0,
            passing: Vec::new(),
            reservations: Reservations::default(),
            uneven: false,
        }
    }

    /// Returns the number of known workers, counted by address.
    #[must_use]
    pub fn known_workers(&self) -> usize {
        self.addr_counts.len()
    }

    /// Divides the workers into shards. Must be called only while no domain is owned.
    pub fn set_shards(&mut self, shards: u8) {
        self.shards = shards;
        for worker in self.workers.values_mut() {
            worker.domain = domain_of(&worker.announcement, shards);
        }
    }

    /// Returns whether a worker of a domain answered within the last `span` and has missed no call since.
    #[must_use]
    pub fn is_reachable(&self, now: Time, domain: Domain, span: Duration) -> bool {
        let mut workers = self.workers.values().filter(|w| w.domain == domain);
        workers.any(|w| {
            w.ownership == Ownership::Owned
                && w.missed_calls == 0
                && now.since(w.last_contact) <= span
        })
    }

    /// Returns the learned run times and the paces of the workers that this dispatcher controls, for a successor. The paces of
    /// other workers are left out, as they date from the last change of dispatcher.
    #[must_use]
    pub fn learned(&self) -> Learned {
        let owned = self
            .workers
            .values()
            .filter(|w| w.ownership == Ownership::Owned);
        let paces = owned.map(|w| (w.announcement.id.clone(), w.pace as f32));
        Learned {
            queues: self.run_times.learned(&self.tails),
            slowdowns: paces.collect(),
        }
    }

    /// Adopts what another dispatcher has learned. A pool that owns a domain keeps its own run times.
    pub fn learn_from(&mut self, learned: Learned) {
        if self.owned.is_empty() {
            for queue in &learned.queues {
                self.tails.learn_from(&queue.name, queue.tail);
            }
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

    /// Returns whether nothing is open: no run, no task, and no call other than polls of idle workers.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let no_work = self.runs.is_empty() && self.batches.is_empty();
        no_work
            && self.reservations.is_empty()
            && self
                .calls
                .values()
                .all(|call| self.is_idle_poll(call.purpose))
    }

    /// Returns whether a call is a poll of an idle worker, or of an incarnation that has not answered yet.
    fn is_idle_poll(&self, call: CallPurpose) -> bool {
        match call {
            CallPurpose::Poll(worker, PollKind::Long, _) => {
                self.workers.get(worker).is_some_and(Worker::is_settled)
            }
            CallPurpose::Poll(_, PollKind::Short, _)
            | CallPurpose::Start(_)
            | CallPurpose::Stop(_)
            | CallPurpose::StopForeign(_) => false,
            CallPurpose::Claim(_) => true,
        }
    }

    /// Returns the numbers of open steps of jobs, of open runs and of workers that this dispatcher controls.
    #[must_use]
    pub fn counts(&self) -> (usize, usize, usize) {
        let owned = self
            .workers
            .values()
            .filter(|w| w.ownership == Ownership::Owned);
        (self.batches.len(), self.runs.len(), owned.count())
    }

    /// Describes each open step of a job in one line, with its origin and the states of its tasks, for logs and checks.
    #[must_use]
    pub fn open_steps(&self, now: Time) -> Vec<String> {
        let line = |batch: &Batch| {
            let states: Vec<_> = batch.tasks.values().map(|task| task.state).collect();
            let unconfirmed = batch.tasks.values().filter(|task| task.unconfirmed).count();
            let granted = batch.tasks.values();
            let granted = granted.filter(|task| self.may_start(now, batch.origin, task));
            format!(
                "job {} of {}: {states:?}, {unconfirmed} unconfirmed, {} granted",
                batch.order.job.0,
                batch.origin,
                granted.count()
            )
        };
        self.batches.values().map(line).collect()
    }

    /// Returns the number of this dispatcher's runs on workers in evacuated data centres.
    #[must_use]
    pub fn evacuated_runs(&self) -> usize {
        let workers = self.workers.values();
        let evacuated = workers.filter(|w| self.evacuated.contains(&w.announcement.dc));
        evacuated.map(|worker| worker.runs.len()).sum()
    }

    /// Handles an input and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        self.input_count += 1;
        self.first_input.get_or_insert(now);
        match input {
            Input::Acquire(domain, fence) => self.acquire(now, domain, fence, out),
            Input::Resign(domain) => self.resign(now, domain, out),
            Input::Workers(announcements) => {
                for announcement in announcements {
                    self.handle_announcement(now, announcement, out);
                }
            }
            Input::EvacuatedDataCentres(dcs) => self.evacuated = dcs,
            Input::Work(from, msg) => self.handle_message(now, from, msg, out),
            Input::Granted(origin, grant) => self.handle_grant(now, origin, grant, out),
            Input::ResyncOrigin(origin) => self.request_resync(origin, out),
            Input::OriginLost(origin) => self.drop_origin(now, origin, out),
            Input::Answered(key, answer) => self.handle_answer(now, key, answer, out),
            Input::AnsweredLate(took) => self.answer_times.record(took),
            Input::Crashes(crashes) => self.merge_crashes(now, crashes, out),
            Input::ProbeQueues(queues) => self.merge_probe_queues(now, queues),
            Input::CheckReachable(domain) => self.check_reachable(now, domain, out),
            Input::Tick => self.tick(now, out),
        }
        self.remove_empty();
        self.free_void_holds(now, out);
        self.place_tasks(now, out);
        for (key, tasks) in std::mem::take(&mut self.passing) {
            self.pass_on(now, key, &tasks, out);
        }
        self.send_ends(out);
        self.send_reservation_messages(out);
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        self.tick_workers(now, out);
        self.tick_claims(now, out);
        self.expire_suspicions(now);
        self.compare_paces();
        self.tick_grants(now, out);
        self.tick_takeover(now, out);
        self.stop_unconfirmed_runs(now, out);
        self.shed(now, out);
        self.tick_crashes(now, out);
        self.sent_ends.retain(|_, sent| sent.is_retained(now));
        self.departed
            .retain(|_, departed| now.since(departed.last_contact) <= DEPARTED_RETENTION);
        self.removed
            .retain(|_, (_, at)| now.since(*at) <= DEPARTED_RETENTION);
    }

    fn handle_message(&mut self, now: Time, from: InstanceId, msg: WorkMsg, out: &mut Vec<Output>) {
        match msg {
            WorkMsg::Submit(order) => self.submit(now, from, order, out),
            WorkMsg::Cancel {
                job,
                last_submission,
            } => self.cancel(now, from, job, last_submission, out),
            WorkMsg::Drop {
                tasks,
                last_submission,
            } => self.drop_tasks(now, from, &tasks, last_submission, out),
            WorkMsg::ResyncDone { request, unsure } => {
                self.drop_unnamed(now, from, request, &unsure, out);
            }
            WorkMsg::Reserve(reservation) => self.reserve(now, from, reservation, out),
            WorkMsg::Release(steps) => self.release(from, &steps, out),
            // Addressed to origins, not to dispatchers.
            WorkMsg::Ended(_)
            | WorkMsg::Crashed(..)
            | WorkMsg::Resync(_)
            | WorkMsg::Offer(_)
            | WorkMsg::Decline(_) => {}
        }
    }

    fn handle_announcement(
        &mut self,
        now: Time,
        announcement: WorkerAnnouncement,
        out: &mut Vec<Output>,
    ) {
        let gone = announcement.stage == WorkerStage::Gone;
        if gone {
            self.record_departure(now, &announcement);
        }
        let Some(key) = self.worker_ids.get(&announcement.id).copied() else {
            if !gone && !self.has_left(&announcement) {
                self.add_unknown(now, announcement, out);
            }
            return;
        };
        let incarnation = announcement.version.incarnation;
        let known = &self.workers[key].announcement;
        let moved = announcement.addr != known.addr;
        let order = incarnation.cmp(&known.version.incarnation);
        match order {
            Ordering::Equal if gone => self.worker_left(now, key, out),
            Ordering::Less | Ordering::Greater if gone && (moved || order.is_lt()) => {
                self.claim_left(&announcement.id, incarnation);
            }
            _ if moved => self.record_claim(now, announcement, out),
            // One address is in one data centre. A call under the token of another one could depose the worker's dispatcher.
            _ if announcement.dc != known.dc => {}
            Ordering::Less => self.earlier_incarnation_announced(key, announcement, out),
            Ordering::Greater => self.replace_worker(now, key, announcement, out),
            Ordering::Equal if !self.workers[key].is_announced => {
                self.workers[key].announcement = announcement;
                self.workers[key].is_announced = true;
            }
            Ordering::Equal if !known.is_same_incarnation(&announcement) => {}
            // A delayed announcement must not restore an earlier state.
            Ordering::Equal if announcement.version <= known.version => {}
            Ordering::Equal => self.workers[key].announcement = announcement,
        }
    }

    /// Returns whether the incarnation of an announcement, or a later one, has left.
    pub(crate) fn has_left(&self, announcement: &WorkerAnnouncement) -> bool {
        let departed = self.departed.get(&announcement.id);
        departed.is_some_and(|left| announcement.version.incarnation <= left.incarnation)
    }

    /// Returns whether a worker takes new tasks and its data centre is not evacuated.
    pub(crate) fn accepts_tasks(&self, now: Time, worker: &Worker) -> bool {
        worker.accepts_tasks(now) && !self.evacuated.contains(&worker.announcement.dc)
    }

    /// Returns whether a worker is being taken over and is expected to take new tasks once it has answered the first
    /// poll. False once a poll has timed out.
    pub(crate) fn accepts_after_takeover(&self, worker: &Worker) -> bool {
        let answering = worker.ownership == Ownership::Acquiring && worker.missed_calls == 0;
        answering
            && worker.is_announced
            && worker.announcement.stage == WorkerStage::Ready
            && !self.evacuated.contains(&worker.announcement.dc)
    }

    fn record_departure(&mut self, now: Time, announcement: &WorkerAnnouncement) {
        let incarnation = announcement.version.incarnation;
        let departed = Departed {
            incarnation,
            last_contact: now,
        };
        let known = self
            .departed
            .entry(announcement.id.clone())
            .or_insert(departed);
        known.incarnation = known.incarnation.max(incarnation);
        known.last_contact = now;
    }

    /// Handles the announcement with which a worker leaves.
    ///
    /// If the acknowledgement is lost, the worker keeps running for seconds, and a task started elsewhere would run
    /// twice. So it stays known, without new tasks, until it has listed the ends of its runs or its lease has expired.
    fn worker_left(&mut self, now: Time, key: WorkerKey, out: &mut Vec<Output>) {
        self.workers[key].announcement.stage = WorkerStage::Gone;
        self.remove_if_left(now, key, out);
    }

    /// Removes a worker that has left once nothing runs there, and returns whether it did.
    pub(crate) fn remove_if_left(
        &mut self,
        now: Time,
        key: WorkerKey,
        out: &mut Vec<Output>,
    ) -> bool {
        let worker = &self.workers[key];
        let has_left = worker.announcement.stage == WorkerStage::Gone && worker.runs.is_empty();
        if has_left {
            self.remove_incarnation(now, key, Departure::Left, out);
        }
        has_left
    }

    pub(crate) fn remove_addr(&mut self, addr: SocketAddr) {
        if let Some(count) = self.addr_counts.get_mut(&addr) {
            *count -= 1;
            if *count == 0 {
                self.addr_counts.remove(&addr);
            }
        }
    }

    pub(crate) fn add_worker(
        &mut self,
        now: Time,
        announcement: WorkerAnnouncement,
        restarts: u64,
        out: &mut Vec<Output>,
    ) -> WorkerKey {
        let id = announcement.id.clone();
        *self.addr_counts.entry(announcement.addr).or_default() += 1;
        let mut worker = Worker::new(now, announcement, self.shards);
        worker.restarts = restarts;
        let domain = worker.domain;
        let key = self.workers.insert(worker);
        self.worker_ids.insert(id, key);
        if self.owned.contains_key(&domain) {
            self.take_over_worker(now, key, out);
        }
        key
    }

    /// Removes empty batches. Called at the end of an input, so that no batch disappears while it is being processed.
    pub(crate) fn remove_empty(&mut self) {
        for key in std::mem::take(&mut self.shrunk) {
            let empty = self.batches.get(key).is_some_and(|b| b.tasks.is_empty());
            if empty && let Some(mut batch) = self.batches.remove(key) {
                let ratios = std::mem::take(&mut batch.ratios);
                self.tails.learn(&batch.order.queue, ratios);
                self.queue.remove(self.rank(key, &batch));
                self.batch_keys.remove(&(batch.order.job, batch.order.step));
            }
        }
    }

    /// Returns the rank of a batch in the queue.
    pub(crate) fn rank(&self, key: BatchKey, batch: &Batch) -> Rank {
        Rank::new(Entry::Batch(key), batch, self.config.disabled)
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

    /// Removes a task from its batch and reports its end to the origin.
    pub(crate) fn finish_task(&mut self, now: Time, key: BatchKey, index: u16, end: TaskEnd) {
        let Some(batch) = self.batches.get_mut(key) else {
            return;
        };
        let Some(task) = batch.tasks.remove(&index) else {
            return;
        };
        let report = TaskReport {
            task: batch.task_id(index),
            submission: task.submission,
            end,
        };
        let origin = batch.origin;
        self.record_sent_end(now, origin, report);
        self.report_end(key, report);
        self.shrunk.push(key);
    }

    /// Retains an end, as its origin may submit the task again before it receives it.
    pub(crate) fn record_sent_end(&mut self, now: Time, origin: InstanceId, report: TaskReport) {
        let sent = SentEnd {
            sent_at: now,
            origin,
            report,
        };
        self.sent_ends.insert(report.task, sent);
    }

    pub(crate) fn report_end(&mut self, key: BatchKey, report: TaskReport) {
        if let Some(batch) = self.batches.get(key) {
            self.unsent_ends
                .entry(batch.origin)
                .or_default()
                .push(report);
        }
    }

    fn send_ends(&mut self, out: &mut Vec<Output>) {
        for (origin, ends) in std::mem::take(&mut self.unsent_ends) {
            out.push(Output::Send(origin, WorkMsg::Ended(ends)));
        }
    }

    /// Sends a call to a worker. Returns `None` if its domain is not owned.
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
        let shared = self.answer_times.timeout(self.config.max_timeout);
        let timeout = match request {
            Request::Poll { .. } => request.max_wait() + self.config.answer_timeout.max(shared),
            Request::Start { .. } | Request::Stop { .. }
                if self.config.disabled.contains(Mechanism::Patience) =>
            {
                self.config.request_timeout
            }
            Request::Start { .. } | Request::Stop { .. } => {
                let wait = self.workers[worker]
                    .answer_times
                    .timeout(self.config.request_timeout);
                wait.max(shared)
            }
        };
        let callee = &self.workers[worker].announcement;
        let key = self.calls.insert(PendingCall {
            worker: Some(worker),
            purpose,
        });
        out.push(Output::Call(Call {
            key,
            worker: callee.id.clone(),
            addr: callee.addr,
            fence,
            request,
            timeout,
        }));
        Some(key)
    }

    /// Stops a run whose result is not wanted, or whose task is to run elsewhere.
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

    /// Removes a run that has ended or certainly never started, and frees its capacity.
    pub(crate) fn remove_run(&mut self, key: RunKey) -> Option<Run> {
        let run = self.runs.remove(key)?;
        if let Some(worker) = self.workers.get_mut(run.worker) {
            worker.runs.retain(|other| *other != key);
            worker.used = worker.used.saturating_sub(run.need);
        }
        Some(run)
    }

    /// Adds a run and reserves its capacity.
    pub(crate) fn add_run(&mut self, run: Run) -> RunKey {
        let worker = run.worker;
        let need = run.need;
        let key = self.runs.insert(run);
        let worker = &mut self.workers[worker];
        worker.runs.push(key);
        worker.used = worker.used.saturating_add(need);
        key
    }

    /// Returns a task to the queue; its next run gets a number above `number`.
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

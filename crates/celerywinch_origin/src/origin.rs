//! The state machine.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use celerywinch_types::{
    DataCentreId, DisabledMechanisms, Domain, InstanceId, JobEnd, JobId, JobPlan, Mechanism,
    OwnedDomain, PriorRuns, Queue, RunNumber, Session, TaskEnd, TaskReport, Time, WorkMsg, domain,
    identifier,
};

use crate::choice::{Choice, Wanted, choose};
use crate::job::{Job, Place, Trace};
use crate::lost::{Left, SURELY_ENDED};
use crate::{Holder, JobEvent};

/// How long a new job waits for a dispatcher, where none is known. A change of hands takes up to
/// 500 ms; most objectives are over by then, and the caller is told when to come back.
const NO_DISPATCHER: Duration = Duration::from_millis(200);
/// When it is told to come back, in ms: after a change of hands.
pub(crate) const COME_BACK_MS: u32 = 500;
/// A change of hands takes up to 500 ms.
const CHANGE_OF_HANDS: Duration = Duration::from_millis(600);
/// A job that is older is answered as unsure: no caller waits for longer.
const OLDEST: Duration = Duration::from_secs(30);

identifier! {
    /// A caller that waits.
    pub struct CallerId(pub u64);
}

domain! {
    /// A job of a caller.
    pub struct NewJob {
        /// Its number.
        pub id: JobId,
        /// Its queue.
        pub queue: Queue,
        /// What it consists of.
        pub plan: JobPlan,
        /// Run numbers start above this one; higher for a job that is sent again.
        pub first_run: RunNumber,
    }
}

/// What happened outside.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller submits a job.
    Submit(CallerId, NewJob),
    /// A caller waits no more.
    CallerGone(CallerId),
    /// A dispatcher tells of ends.
    Work(InstanceId, WorkMsg),
    /// Who dispatches, and how much room there is.
    Holders(Vec<Holder>),
    /// The room of a dispatcher, where it dispatches for the same domains as before.
    Loads(InstanceId, Vec<OwnedDomain>),
    /// Messages to this dispatcher may be lost.
    LinkReset(InstanceId),
    /// A process is not heard any more.
    PeerLost(InstanceId),
    /// This process stood still: what it knows is of the past.
    Paused,
    /// Time passed.
    Tick,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Tell a dispatcher.
    Send(InstanceId, WorkMsg),
    /// Answer a caller.
    Answer(CallerId, JobEnd),
    /// A decision for the logs.
    Event(JobEvent),
}

/// The jobs of the callers of one entry.
#[derive(Debug)]
pub struct Origin {
    dc: DataCentreId,
    without: DisabledMechanisms,
    pub(crate) holders: Vec<Holder>,
    holders_incomplete: bool,
    /// The domains that a process was last known to dispatch for.
    pub(crate) held: BTreeMap<InstanceId, Arc<BTreeSet<Domain>>>,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    callers: BTreeMap<CallerId, JobId>,
    /// Jobs with tasks to hand in.
    pub(crate) open: BTreeSet<JobId>,
    /// Since when no dispatcher is known.
    alone: Option<Time>,
    /// How often anything was handed in. A job that comes again gets numbers of its own, or what was
    /// told of the first one would be taken for an answer.
    pub(crate) hands: u32,
    /// How often each dispatcher was taken for lost.
    pub(crate) sessions: BTreeMap<InstanceId, Session>,
}

impl Origin {
    /// No jobs yet.
    #[must_use]
    pub fn new(dc: DataCentreId, without: DisabledMechanisms) -> Self {
        Self {
            dc,
            without,
            holders: Vec::new(),
            holders_incomplete: false,
            held: BTreeMap::new(),
            jobs: BTreeMap::new(),
            callers: BTreeMap::new(),
            open: BTreeSet::new(),
            alone: None,
            hands: 0,
            sessions: BTreeMap::new(),
        }
    }

    /// The session of a dispatcher: what it was handed under an earlier one may be elsewhere.
    #[must_use]
    pub fn session(&self, dispatcher: InstanceId) -> Session {
        self.sessions.get(&dispatcher).copied().unwrap_or_default()
    }

    /// How many jobs are open.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// One line for each open job: how many callers wait, and where its tasks are. For logs and checks.
    #[must_use]
    pub fn describe_jobs(&self) -> Vec<String> {
        let line = |job: &Job| {
            let places: Vec<_> = job.tasks.values().map(|task| &task.place).collect();
            format!(
                "job {}: {} callers, {places:?}",
                job.id.0,
                job.callers.len()
            )
        };
        self.jobs.values().map(line).collect()
    }

    /// Whether a dispatcher is known, or was until lately: a change of hands is over by then.
    #[must_use]
    pub fn has_dispatcher(&self, now: Time) -> bool {
        let alone = self.alone.map_or(Duration::ZERO, |since| now.since(since));
        alone < CHANGE_OF_HANDS
    }

    /// Takes an input and appends what the host is to do.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Submit(caller, new) => self.submit(now, caller, new, out),
            Input::CallerGone(caller) => self.caller_gone(now, caller, out),
            Input::Work(from, msg) => self.work(now, from, msg, out),
            Input::Holders(holders) => self.set_holders(holders),
            Input::Loads(dispatcher, holdings) => self.set_loads(dispatcher, &holdings),
            Input::LinkReset(peer) => self.hand_in_again(now, peer, out),
            Input::PeerLost(peer) => self.peer_lost(now, peer, out),
            Input::Paused => self.give_up_all(now, out),
            Input::Tick => self.tick(now, out),
        }
        self.hand_in(now, out);
    }

    fn set_holders(&mut self, holders: Vec<Holder>) {
        let mut held: BTreeMap<InstanceId, BTreeSet<Domain>> = BTreeMap::new();
        for holder in &holders {
            let domains = held.entry(holder.instance).or_default();
            domains.insert(holder.domain);
        }
        for (instance, domains) in held {
            let known = self.held.get(&instance);
            if known.is_none_or(|known| **known != domains) {
                self.held.insert(instance, Arc::new(domains));
            }
        }
        self.holders = holders;
        self.holders_incomplete = false;
    }

    fn set_loads(&mut self, dispatcher: InstanceId, holdings: &[OwnedDomain]) {
        let holders = self.holders.iter_mut();
        for holder in holders.filter(|holder| holder.instance == dispatcher) {
            let told = holdings.iter().find(|h| h.domain == holder.domain);
            if let Some(told) = told {
                holder.load = told.load;
            }
        }
    }

    /// Whether a dispatcher was left out since the holders were told last: it gave work back, and may dispatch on
    /// for other domains.
    #[must_use]
    pub fn holders_incomplete(&self) -> bool {
        self.holders_incomplete
    }

    /// Dispatchers that have work of this origin, or may have.
    #[must_use]
    pub fn dispatchers(&self) -> BTreeSet<InstanceId> {
        self.jobs.values().flat_map(Job::dispatchers).collect()
    }

    fn submit(&mut self, now: Time, caller: CallerId, new: NewJob, out: &mut Vec<Output>) {
        self.callers.insert(caller, new.id);
        if let Some(job) = self.jobs.get_mut(&new.id) {
            // Sent again while the first is at work: one job, and both get its answer.
            job.callers.push(caller);
            return;
        }
        let id = new.id;
        let job = Job::new(now, id, caller, new.queue, new.plan, new.first_run);
        out.push(Output::Event(JobEvent::Submitted {
            job: id,
            queue: job.queue.name.clone(),
            tasks: job.tasks.len(),
        }));
        self.jobs.insert(id, job);
        self.open.insert(id);
        self.finish_if_done(now, id, out);
    }

    fn caller_gone(&mut self, now: Time, caller: CallerId, out: &mut Vec<Output>) {
        let Some(id) = self.callers.remove(&caller) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.callers.retain(|other| *other != caller);
        if !job.callers.is_empty() {
            return;
        }
        let took = now.since(job.arrived).as_millis() as u32;
        out.push(Output::Event(JobEvent::CallerLeft { job: id, took }));
        self.drop_job(id, out);
    }

    /// Forgets a job; what still runs of it is stopped.
    fn drop_job(&mut self, id: JobId, out: &mut Vec<Output>) -> Option<Job> {
        self.open.remove(&id);
        let job = self.jobs.remove(&id)?;
        for dispatcher in job.dispatchers() {
            let cancel = WorkMsg::Cancel {
                job: id,
                last_submission: self.hands,
            };
            out.push(Output::Send(dispatcher, cancel));
        }
        Some(job)
    }

    pub(crate) fn answer(&mut self, now: Time, id: JobId, end: JobEnd, out: &mut Vec<Output>) {
        let Some(job) = self.drop_job(id, out) else {
            return;
        };
        out.push(Output::Event(JobEvent::Answered {
            job: id,
            end,
            took: now.since(job.arrived).as_millis() as u32,
        }));
        for caller in job.callers {
            self.callers.remove(&caller);
            out.push(Output::Answer(caller, end));
        }
    }

    fn work(&mut self, now: Time, from: InstanceId, msg: WorkMsg, out: &mut Vec<Output>) {
        match msg {
            WorkMsg::Ended(news) => {
                for news in news {
                    self.ended(now, from, news, out);
                }
            }
            WorkMsg::Crashed(task, crashes) => {
                let job = self.jobs.get_mut(&task.job);
                let task = job.and_then(|job| job.tasks.get_mut(&(task.step, task.index)));
                if let Some(task) = task {
                    task.crashes = task.crashes.merge(crashes);
                }
            }
            WorkMsg::Resync(ask) => {
                self.hand_in_again(now, from, out);
                let unsure = self.unsure_at(from);
                out.push(Output::Send(
                    from,
                    WorkMsg::ResyncDone {
                        request: ask,
                        unsure,
                    },
                ));
            }
            // For dispatchers, not for origins.
            WorkMsg::Submit(_)
            | WorkMsg::Cancel { .. }
            | WorkMsg::Drop { .. }
            | WorkMsg::ResyncDone { .. } => {}
        }
    }

    fn ended(&mut self, now: Time, from: InstanceId, news: TaskReport, out: &mut Vec<Output>) {
        let TaskReport {
            task: id,
            submission: hand,
            end,
        } = news;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(task) = job.tasks.get_mut(&(id.step, id.index)) else {
            return;
        };
        let Place::Out(at, trace) = task.place.clone() else {
            return;
        };
        if at != from || (news.returns_task() && hand != task.hand) {
            return;
        }
        match end {
            TaskEnd::Done => {
                task.place = Place::Done;
                if hand != task.hand {
                    // The result was held up, and the dispatcher may have taken the task again since: it would
                    // run it once more, as a task that is done is named in no cancellation of its job.
                    let drop = WorkMsg::Drop {
                        tasks: vec![id],
                        last_submission: self.hands,
                    };
                    out.push(Output::Send(from, drop));
                }
                self.open.insert(id.job);
                self.finish_if_done(now, id.job, out);
            }
            TaskEnd::Failed => self.answer(now, id.job, JobEnd::Failed, out),
            // A task given up after crashes of its workers has not used up its failed runs, so its job
            // is not reported as failed.
            TaskEnd::GivenUp | TaskEnd::Superseded | TaskEnd::Unplaced => {
                self.answer(now, id.job, JobEnd::Unsure, out);
            }
            // Refused by one that does not know all: something of the job may have run elsewhere.
            TaskEnd::Refused(_) if job.doubtful => self.answer(now, id.job, JobEnd::Unsure, out),
            TaskEnd::Refused(later) => self.answer(now, id.job, JobEnd::Refused(later), out),
            TaskEnd::Full => {
                task.place = Place::Todo;
                if !job.full.contains(&from) {
                    job.full.push(from);
                }
                self.open.insert(id.job);
                self.believe_full(from);
            }
            TaskEnd::Returned { at, failures, run } => {
                job.doubtful = true;
                task.failures = failures;
                task.run = task.run.max(run);
                task.place = at.map_or(Place::Todo, |at| Place::Unsure(last_run(now, at)));
                self.wait_for_holder(id.job, from);
            }
            TaskEnd::Undetermined => {
                job.doubtful = true;
                let again = task.hand != task.first;
                let as_it_came = trace.clone().filter(|_| !again);
                let reach = self.held.get(&from).cloned().unwrap_or_default();
                let trace = as_it_came.unwrap_or_else(|| {
                    task.run = task.run.past_lost();
                    named_again(now, &reach, trace.as_ref())
                });
                task.place = Place::Unsure(trace);
                self.wait_for_holder(id.job, from);
            }
        }
    }

    /// Until the next heartbeat tells.
    fn believe_full(&mut self, dispatcher: InstanceId) {
        let holders = self.holders.iter_mut();
        for holder in holders.filter(|holder| holder.instance == dispatcher) {
            holder.load.free = 0;
        }
    }

    /// A dispatcher gave work back: it holds its data centre no more, and the next heartbeat tells
    /// who does. Until then work would go back and forth.
    fn wait_for_holder(&mut self, job: JobId, from: InstanceId) {
        self.open.insert(job);
        self.holders.retain(|holder| holder.instance != from);
        self.holders_incomplete = true;
    }

    fn finish_if_done(&mut self, now: Time, id: JobId, out: &mut Vec<Output>) {
        if self.jobs.get(&id).is_some_and(Job::done) {
            self.answer(now, id, JobEnd::Completed, out);
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.holders.is_empty() {
            self.alone.get_or_insert(now);
        } else {
            self.alone = None;
        }
        let given_up = self
            .alone
            .is_some_and(|since| now.since(since) >= SURELY_ENDED);
        for id in self.open.clone() {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let age = now.since(job.arrived);
            if !job.begun() && age >= NO_DISPATCHER {
                self.answer(now, id, JobEnd::Refused(COME_BACK_MS), out);
            } else if age >= OLDEST || given_up {
                self.answer(now, id, JobEnd::Unsure, out);
            }
        }
    }

    /// Hands in what is to be handed in.
    fn hand_in(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.open.is_empty() || self.holders.is_empty() {
            return;
        }
        for id in std::mem::take(&mut self.open) {
            let left = self.hand_in_job(now, id, out);
            if left {
                self.open.insert(id);
            }
        }
    }

    /// Hands in a job's open steps; true if something is left to hand in.
    fn hand_in_job(&mut self, now: Time, id: JobId, out: &mut Vec<Output>) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let mut left = false;
        for step in job.open_steps() {
            left |= self.hand_in_step(now, id, step, out);
        }
        left
    }

    fn hand_in_step(&mut self, now: Time, id: JobId, step: u16, out: &mut Vec<Output>) -> bool {
        let mut left = false;
        self.settle_unsure(now, id, step, out);
        for holder in self.holders.clone() {
            let reach = self.held.get(&holder.instance).cloned().unwrap_or_default();
            let finds =
                |trace: &Trace| !trace.domains.is_empty() && trace.domains.is_subset(&reach);
            let here = |place: &Place| matches!(place, Place::Unsure(trace) if finds(trace));
            let choice = Choice {
                holder,
                pass: false,
            };
            self.send_tasks(now, id, step, choice, here, out);
        }
        self.leave_behind(now, id, step, out);
        let job = &self.jobs[&id];
        let tasks = job.tasks.range((step, 0)..=(step, u16::MAX));
        let todo = tasks
            .clone()
            .filter(|(_, t)| t.place == Place::Todo)
            .count();
        left |= tasks
            .clone()
            .any(|(_, t)| matches!(t.place, Place::Unsure(..)));
        if todo == 0 {
            return left;
        }
        let count = u32::try_from(todo).unwrap_or(u32::MAX);
        let wanted = Wanted {
            dc: self.dc,
            job: id,
            priority: job.queue.priority,
            tasks: count,
            full: &job.full,
        };
        match choose(&self.holders, &wanted) {
            Some(choice) => {
                self.send_tasks(now, id, step, choice, |place| *place == Place::Todo, out);
            }
            None => left = true,
        }
        left
    }

    fn send_tasks(
        &mut self,
        now: Time,
        id: JobId,
        step: u16,
        choice: Choice,
        wanted: impl Fn(&Place) -> bool,
        out: &mut Vec<Output>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let holder = choice.holder;
        let fresh = !job.begun();
        self.hands += 1;
        let mut orders = Vec::new();
        let mut left = Left::default();
        for ((_, index), task) in job.tasks.range_mut((step, 0)..=(step, u16::MAX)) {
            if wanted(&task.place) {
                let trace = match &mut task.place {
                    Place::Unsure(trace) => {
                        if trace.at != Some(holder.instance) {
                            left.take(trace, id, step, *index);
                        }
                        Some(trace.clone())
                    }
                    Place::Todo | Place::Out(..) | Place::Done => None,
                };
                task.hand = self.hands;
                task.first = self.hands;
                let doubt = trace.as_ref().map_or(PriorRuns::None, |trace| trace.doubt);
                orders.push(task.order(*index, doubt));
                task.place = Place::Out(holder.instance, trace);
            }
        }
        if orders.is_empty() {
            return;
        }
        left.tell(self.hands, out);
        let count = orders.len();
        out.push(Output::Event(JobEvent::HandedIn {
            job: id,
            domain: holder.domain,
            to: holder.instance,
            tasks: count,
            unsure: orders
                .iter()
                .filter(|order| order.prior_runs != PriorRuns::None)
                .count(),
            free: holder.load.free,
        }));
        let session = self.sessions.get(&holder.instance);
        let mut order = job.order(now, step, orders);
        order.session = session.copied().unwrap_or_default();
        order.refusable = fresh;
        order.no_wait = choice.pass && !self.without.contains(Mechanism::Passing);
        out.push(Output::Send(holder.instance, WorkMsg::Submit(order)));
        // Until the next heartbeat tells, the room is believed to be taken.
        let mut taken = u32::try_from(count).unwrap_or(u32::MAX);
        let known = self.holders.iter_mut();
        for known in known.filter(|known| known.instance == holder.instance) {
            let here = taken.min(known.load.free);
            known.load.free -= here;
            taken -= here;
        }
    }
}

/// The last run of a task may be at work in a domain that its dispatcher gave up.
fn last_run(now: Time, domain: Domain) -> Trace {
    Trace {
        domains: Arc::new(BTreeSet::from([domain])),
        doubt: PriorRuns::Last,
        since: now,
        at: None,
    }
}

/// A dispatcher has given a task back that was named to it again, as messages may be lost: it may have started
/// it after the first time, and have told so in what was lost. To take it for as sure as it came
/// would let its next dispatcher find an end before that run, and start it a second time.
fn named_again(now: Time, reach: &BTreeSet<Domain>, came: Option<&Trace>) -> Trace {
    let before = came.iter().flat_map(|trace| trace.domains.iter());
    Trace {
        domains: Arc::new(before.chain(reach).copied().collect()),
        doubt: PriorRuns::Unknown,
        since: now,
        at: None,
    }
}

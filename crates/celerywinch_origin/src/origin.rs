//! The state machine of the jobs whose callers are connected to this entry.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use celerywinch_types::{
    DataCentreId, DisabledMechanisms, Domain, InstanceId, JobEnd, JobId, JobPlan, Mechanism,
    OwnedDomain, PriorRuns, Queue, ReservationNumber, RunNumber, Session, SubmissionNumber,
    TaskEnd, TaskReport, Time, WorkMsg, domain, identifier,
};

use crate::choice::{Choice, Request, Route, choose};
use crate::job::{Job, PossibleRun, TaskState};
use crate::lost::{LOST_RUN_TIMEOUT, SentCancels, Withdrawals};
use crate::reservations::{Outlook, Releases};
use crate::{Holder, JobEvent};

/// How long a new job waits while no dispatcher is known. A handoff takes up to 500 ms, by which time most latency
/// targets have been missed, so the job is refused earlier, with a retry delay.
const DISPATCHER_TIMEOUT: Duration = Duration::from_millis(200);
/// Retry delay given to such a caller, in ms: the longest duration of a handoff.
pub(crate) const RETRY_AFTER_MS: u32 = 500;
/// Retry delay that callers get while no worker may take their tasks, in ms.
const UNPLACED_RETRY_MS: u32 = 1_000;
/// How long a handoff may leave this entry without a dispatcher. A handoff takes up to 500 ms.
const HANDOFF_TIMEOUT: Duration = Duration::from_millis(600);
/// Jobs with tasks still to be submitted at this age are answered as unsure: no caller waits longer.
const MAX_JOB_AGE: Duration = Duration::from_secs(30);

identifier! {
    /// A caller waiting for the end of a job.
    pub struct CallerId(pub u64);
}

domain! {
    /// A job as submitted by a caller.
    pub struct NewJob {
        /// The job's number.
        pub id: JobId,
        /// The queue it was submitted to.
        pub queue: Queue,
        /// Its steps and what their tasks need.
        pub plan: JobPlan,
        /// Run numbers start above this one; it is higher for a job that is submitted again.
        pub first_run: RunNumber,
    }
}

/// An event for the state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller submits a job.
    Submit(CallerId, NewJob),
    /// A caller has disconnected.
    CallerGone(CallerId),
    /// A message from a dispatcher.
    Work(InstanceId, WorkMsg),
    /// The current dispatchers of all domains and their free capacity.
    Holders(Vec<Holder>),
    /// New load figures of a dispatcher whose domains have not changed.
    Loads(InstanceId, Vec<OwnedDomain>),
    /// The link to this dispatcher was reset; messages in either direction may be lost.
    LinkReset(InstanceId),
    /// The failure detector reports this process as lost.
    PeerLost(InstanceId),
    /// This process was suspended, and its state is out of date.
    Paused,
    /// Time has passed.
    Tick,
}

/// An action for the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a dispatcher.
    Send(InstanceId, WorkMsg),
    /// Answer a caller.
    Answer(CallerId, JobEnd),
    /// Log an event.
    Event(JobEvent),
}

/// The jobs of the callers connected to one entry.
#[derive(Debug)]
pub struct Origin {
    pub(crate) dc: DataCentreId,
    pub(crate) disabled: DisabledMechanisms,
    pub(crate) holders: Vec<Holder>,
    holders_incomplete: bool,
    /// The domains that each dispatcher was last known to own.
    pub(crate) owned: BTreeMap<InstanceId, Arc<BTreeSet<Domain>>>,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    callers: BTreeMap<CallerId, JobId>,
    /// Jobs with tasks to submit.
    pub(crate) pending: BTreeSet<JobId>,
    /// Since when no dispatcher is known.
    unserved_since: Option<Time>,
    /// Number of the last submission. It rises over all jobs, so that a job submitted again by its caller gets numbers
    /// of its own; else a late reply about the first one would be taken for its answer.
    pub(crate) last_submission: SubmissionNumber,
    pub(crate) sent_cancels: SentCancels,
    /// How often each dispatcher was reported as lost.
    pub(crate) sessions: BTreeMap<InstanceId, Session>,
    /// Number of the last reservation.
    pub(crate) last_reservation: ReservationNumber,
    pub(crate) releases: Releases,
}

impl Origin {
    /// Creates an origin without jobs, in data centre `dc`.
    #[must_use]
    pub fn new(dc: DataCentreId, disabled: DisabledMechanisms) -> Self {
        Self {
            dc,
            disabled,
            holders: Vec::new(),
            holders_incomplete: false,
            owned: BTreeMap::new(),
            jobs: BTreeMap::new(),
            callers: BTreeMap::new(),
            pending: BTreeSet::new(),
            unserved_since: None,
            last_submission: SubmissionNumber::FIRST,
            sent_cancels: SentCancels::default(),
            sessions: BTreeMap::new(),
            last_reservation: ReservationNumber::default(),
            releases: Releases::default(),
        }
    }

    /// Returns the current session of a dispatcher. Tasks submitted under an earlier session may be elsewhere by now.
    #[must_use]
    pub fn session(&self, dispatcher: InstanceId) -> Session {
        self.sessions.get(&dispatcher).copied().unwrap_or_default()
    }

    /// Returns the number of open jobs.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns one line for each open job, with the number of waiting callers and the states of its tasks, for logs and
    /// checks.
    #[must_use]
    pub fn describe_jobs(&self) -> Vec<String> {
        let line = |job: &Job| {
            let states: Vec<_> = job.tasks.values().map(|task| &task.state).collect();
            format!(
                "job {}: {} callers, {states:?}",
                job.id.0,
                job.callers.len()
            )
        };
        self.jobs.values().map(line).collect()
    }

    /// Whether a dispatcher is known, or was within the time that a handoff takes.
    #[must_use]
    pub fn has_dispatcher(&self, now: Time) -> bool {
        let unserved = self
            .unserved_since
            .map_or(Duration::ZERO, |since| now.since(since));
        unserved < HANDOFF_TIMEOUT
    }

    /// Handles an input and appends the actions for the host to `out`.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Submit(caller, new) => self.submit(now, caller, new, out),
            Input::CallerGone(caller) => self.handle_caller_gone(now, caller, out),
            Input::Work(from, msg) => self.handle_work(now, from, msg, out),
            Input::Holders(holders) => self.set_holders(holders),
            Input::Loads(dispatcher, owned_domains) => self.set_loads(dispatcher, &owned_domains),
            Input::LinkReset(peer) => self.link_reset(now, peer, out),
            Input::PeerLost(peer) => self.peer_lost(now, peer, out),
            Input::Paused => self.end_all(now, out),
            Input::Tick => self.tick(now, out),
        }
        self.submit_pending(now, out);
        self.send_releases(out);
    }

    fn set_holders(&mut self, holders: Vec<Holder>) {
        let mut owned: BTreeMap<InstanceId, BTreeSet<Domain>> = BTreeMap::new();
        for holder in &holders {
            let domains = owned.entry(holder.instance).or_default();
            domains.insert(holder.domain);
        }
        for (instance, domains) in owned {
            let known = self.owned.get(&instance);
            if known.is_none_or(|known| **known != domains) {
                self.owned.insert(instance, Arc::new(domains));
            }
        }
        self.holders = holders;
        self.holders_incomplete = false;
        let present: BTreeSet<_> = self.holders.iter().map(|holder| holder.instance).collect();
        self.forget_reservations(|dispatcher| !present.contains(&dispatcher));
    }

    fn set_loads(&mut self, dispatcher: InstanceId, owned_domains: &[OwnedDomain]) {
        let holders = self.holders.iter_mut();
        for holder in holders.filter(|holder| holder.instance == dispatcher) {
            let reported = owned_domains.iter().find(|h| h.domain == holder.domain);
            if let Some(reported) = reported {
                holder.load = reported.load;
            }
        }
    }

    /// Whether a dispatcher was removed since the last [`Input::Holders`] because it returned tasks. It may still own
    /// other domains.
    #[must_use]
    pub fn holders_incomplete(&self) -> bool {
        self.holders_incomplete
    }

    /// Returns the dispatchers that have tasks or reservations of this origin, or may have tasks.
    #[must_use]
    pub fn dispatchers(&self) -> BTreeSet<InstanceId> {
        let jobs = self.jobs.values();
        jobs.flat_map(|job| job.dispatchers().into_iter().chain(job.reserved_at()))
            .collect()
    }

    fn submit(&mut self, now: Time, caller: CallerId, new: NewJob, out: &mut Vec<Output>) {
        self.callers.insert(caller, new.id);
        if let Some(job) = self.jobs.get_mut(&new.id) {
            // Submitted again while the job is open: there is one job, and all its callers get its answer.
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
        self.pending.insert(id);
        self.finish_if_done(now, id, out);
    }

    fn handle_caller_gone(&mut self, now: Time, caller: CallerId, out: &mut Vec<Output>) {
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
        self.drop_job(now, id, out);
    }

    /// Removes a job and cancels its tasks at their dispatchers.
    fn drop_job(&mut self, now: Time, id: JobId, out: &mut Vec<Output>) -> Option<Job> {
        self.pending.remove(&id);
        let job = self.jobs.remove(&id)?;
        self.release_job(now, &job, out);
        for dispatcher in job.dispatchers() {
            self.cancel(now, dispatcher, id, out);
        }
        Some(job)
    }

    pub(crate) fn answer(&mut self, now: Time, id: JobId, end: JobEnd, out: &mut Vec<Output>) {
        let Some(job) = self.drop_job(now, id, out) else {
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

    fn handle_work(&mut self, now: Time, from: InstanceId, msg: WorkMsg, out: &mut Vec<Output>) {
        match msg {
            WorkMsg::Ended(reports) => {
                for report in reports {
                    self.handle_end(now, from, report, out);
                }
            }
            WorkMsg::Crashed(task, crashes) => {
                let job = self.jobs.get_mut(&task.job);
                let task = job.and_then(|job| job.tasks.get_mut(&(task.step, task.index)));
                if let Some(task) = task {
                    task.crashes = task.crashes.merge(crashes);
                }
            }
            WorkMsg::Resync(request) => {
                self.resubmit(now, from, out);
                self.doubt_reservations(from);
                let unsure = self.lost_tasks(from);
                out.push(Output::Send(from, WorkMsg::ResyncDone { request, unsure }));
            }
            WorkMsg::Offer(offers) => self.handle_offers(now, from, &offers, out),
            WorkMsg::Decline(declined) => self.handle_declined(from, &declined, out),
            // Sent to dispatchers, never to origins.
            WorkMsg::Submit(_)
            | WorkMsg::Cancel { .. }
            | WorkMsg::Drop { .. }
            | WorkMsg::ResyncDone { .. }
            | WorkMsg::Reserve(_)
            | WorkMsg::Release(_) => {}
        }
    }

    fn handle_end(
        &mut self,
        now: Time,
        from: InstanceId,
        report: TaskReport,
        out: &mut Vec<Output>,
    ) {
        let TaskReport {
            task: id,
            submission,
            end,
        } = report;
        let Some(job) = self.jobs.get_mut(&id.job) else {
            return;
        };
        let Some(task) = job.tasks.get_mut(&(id.step, id.index)) else {
            return;
        };
        let TaskState::Submitted(at, run) = task.state.clone() else {
            return;
        };
        let is_latest = task.submitted.is_some_and(|known| known.last == submission);
        if at != from || !(is_latest || report.covers_later_submissions()) {
            return;
        }
        match end {
            TaskEnd::Done => {
                task.state = TaskState::Done;
                if !is_latest {
                    // The result was delayed, and the dispatcher may have accepted the task again since. It would run
                    // it once more: the cancellation of a job does not go to dispatchers of completed tasks.
                    self.withdraw(now, Withdrawals::of(from, id), out);
                }
                self.forget_full(id.job, id.step);
                self.pending.insert(id.job);
                self.finish_if_done(now, id.job, out);
            }
            TaskEnd::Failed => self.answer(now, id.job, JobEnd::Failed, out),
            // A task given up after crashes of its workers has not reached the queue's limit of failed runs, so its job
            // is not reported as failed.
            TaskEnd::GivenUp | TaskEnd::Superseded => {
                self.answer(now, id.job, JobEnd::Unsure, out);
            }
            TaskEnd::Refused(later) => {
                let end = if job.is_refused_by(from, submission) {
                    JobEnd::Refused(later)
                } else {
                    JobEnd::Unsure
                };
                self.answer(now, id.job, end, out);
            }
            TaskEnd::Full => {
                task.state = TaskState::Pending;
                if !job.full.is_empty() {
                    let missed = job.missed_offers.entry(from).or_default();
                    missed.insert(submission);
                }
                if !job.full.contains(&from) {
                    job.full.push(from);
                }
                self.pending.insert(id.job);
                self.doubt_reservation(id.job, id.step, from);
                self.mark_full(from);
            }
            TaskEnd::Unplaced {
                failures,
                run,
                started,
            } => {
                job.maybe_ran |= started;
                task.failures = failures;
                task.run = task.run.max(run);
                task.state = TaskState::Pending;
                job.unplaced.insert((id.step, from));
                self.pending.insert(id.job);
            }
            TaskEnd::Returned { at, failures, run } => {
                job.maybe_ran = true;
                task.failures = failures;
                task.run = task.run.max(run);
                task.state = at.map_or(TaskState::Pending, |at| {
                    TaskState::MaybeRunning(run_at(now, at))
                });
                self.await_holder(id.job, from);
            }
            TaskEnd::Undetermined => {
                job.maybe_ran = true;
                let resubmitted = task
                    .submitted
                    .is_some_and(|known| known.first != known.last);
                let unchanged = run.clone().filter(|_| !resubmitted);
                let owned = self.owned.get(&from).cloned().unwrap_or_default();
                let run = unchanged.unwrap_or_else(|| {
                    task.run = task.run.past_lost();
                    run_after_resubmission(now, &owned, run.as_ref())
                });
                task.state = TaskState::MaybeRunning(run);
                self.await_holder(id.job, from);
            }
        }
    }

    /// Assumes that a dispatcher has no room until its next heartbeat reports its load.
    fn mark_full(&mut self, dispatcher: InstanceId) {
        let holders = self.holders.iter_mut();
        for holder in holders.filter(|holder| holder.instance == dispatcher) {
            holder.load.take_all();
        }
    }

    /// Removes a dispatcher that returned tasks from the list of holders until the next heartbeat reports the owner of its
    /// domain. It no longer owns the domain, and until then would get the tasks and return them over and over.
    pub(crate) fn await_holder(&mut self, job: JobId, from: InstanceId) {
        self.pending.insert(job);
        self.holders.retain(|holder| holder.instance != from);
        self.holders_incomplete = true;
    }

    fn finish_if_done(&mut self, now: Time, id: JobId, out: &mut Vec<Output>) {
        if self.jobs.get(&id).is_some_and(Job::is_done) {
            self.answer(now, id, JobEnd::Completed, out);
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        self.sent_cancels.expire(now);
        self.resubmit_overdue(now, out);
        if self.holders.is_empty() {
            self.unserved_since.get_or_insert(now);
        } else {
            self.unserved_since = None;
        }
        let expired = self
            .unserved_since
            .is_some_and(|since| now.since(since) >= LOST_RUN_TIMEOUT);
        for id in self.pending.clone() {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let age = now.since(job.arrived);
            if !job.may_have_started() && age >= DISPATCHER_TIMEOUT {
                self.answer(now, id, JobEnd::Refused(RETRY_AFTER_MS), out);
            } else if age >= MAX_JOB_AGE || expired {
                self.answer(now, id, JobEnd::Unsure, out);
            }
        }
        self.renew_reservations(now, out);
    }

    /// Submits all pending tasks.
    fn submit_pending(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.pending.is_empty() || self.holders.is_empty() {
            return;
        }
        for id in std::mem::take(&mut self.pending) {
            let remaining = self.submit_job(now, id, out);
            if remaining {
                self.pending.insert(id);
            }
        }
    }

    /// Submits a job's open steps; returns true if some of its tasks could not be submitted.
    fn submit_job(&mut self, now: Time, id: JobId, out: &mut Vec<Output>) -> bool {
        let Some(job) = self.jobs.get(&id) else {
            return false;
        };
        let mut remaining = false;
        for step in job.open_steps() {
            remaining |= self.submit_step(now, id, step, out);
        }
        remaining
    }

    /// Submits the tasks of a step; returns true if some of them could not be submitted.
    fn submit_step(&mut self, now: Time, id: JobId, step: u16, out: &mut Vec<Output>) -> bool {
        if !self.jobs.contains_key(&id) {
            return false;
        }
        let mut remaining = false;
        self.release_ended(now, id, step, out);
        for holder in self.holders.clone() {
            let owned = self
                .owned
                .get(&holder.instance)
                .cloned()
                .unwrap_or_default();
            let owns_all =
                |run: &PossibleRun| !run.domains.is_empty() && run.domains.is_subset(&owned);
            let resumable =
                |state: &TaskState| matches!(state, TaskState::MaybeRunning(run) if owns_all(run));
            let choice = Choice {
                holder,
                no_wait: false,
                most: usize::MAX,
            };
            self.send_tasks(now, id, step, choice, resumable, out);
        }
        self.drop_at_recovered(now, id, step, out);
        let job = &self.jobs[&id];
        let tasks = job.tasks.range((step, 0)..=(step, u16::MAX));
        let pending = tasks
            .clone()
            .filter(|(_, t)| t.state == TaskState::Pending)
            .count();
        remaining |= tasks
            .clone()
            .any(|(_, t)| matches!(t.state, TaskState::MaybeRunning(..)));
        if pending == 0 {
            self.release_step(now, id, step, out);
            return remaining;
        }
        match self.outlook(now, id, step, out) {
            Outlook::Unreserved => {}
            Outlook::Waiting => return remaining,
            Outlook::Declined(shortest) => {
                self.refuse_declined(now, id, shortest, out);
                return false;
            }
        }
        let job = &self.jobs[&id];
        let request = Request {
            tasks: u32::try_from(pending).unwrap_or(u32::MAX),
            reservable: self.binds_late()
                && job.may_reserve(step)
                && !self.targets(job, step).is_empty(),
            ..Request::new(self.dc, job, step)
        };
        match choose(&self.holders, &request) {
            Some(Route::Submit(choice)) => {
                let is_pending = |state: &TaskState| *state == TaskState::Pending;
                self.send_tasks(now, id, step, choice, is_pending, out);
            }
            Some(Route::Reserve) => self.reserve_step(now, id, step, out),
            // The owner of some domain is about to be determined.
            None if self.holders_incomplete => remaining = true,
            None => {
                self.answer_unplaced(now, id, out);
                return false;
            }
        }
        remaining
    }

    /// Answers a job with tasks that no worker of any dispatcher may take.
    fn answer_unplaced(&mut self, now: Time, id: JobId, out: &mut Vec<Output>) {
        let started = self.jobs.get(&id).is_none_or(Job::may_have_started);
        let end = if started {
            JobEnd::Unsure
        } else {
            JobEnd::Refused(UNPLACED_RETRY_MS)
        };
        self.answer(now, id, end, out);
    }

    /// Submits those of the tasks of a step that are in a wanted state.
    pub(crate) fn send_tasks(
        &mut self,
        now: Time,
        id: JobId,
        step: u16,
        choice: Choice,
        wanted: impl Fn(&TaskState) -> bool,
        out: &mut Vec<Output>,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let holder = choice.holder;
        let refusable = !job.may_have_started();
        let number = self.last_submission.next();
        self.last_submission = number;
        let mut orders = Vec::new();
        let mut withdrawals = Withdrawals::default();
        for ((_, index), task) in job.tasks.range_mut((step, 0)..=(step, u16::MAX)) {
            if orders.len() < choice.most && wanted(&task.state) {
                let run = match &mut task.state {
                    TaskState::MaybeRunning(run) => {
                        if run.dispatcher != Some(holder.instance) {
                            withdrawals.add(run, id, step, *index);
                        }
                        Some(run.clone())
                    }
                    TaskState::Pending | TaskState::Submitted(..) | TaskState::Done => None,
                };
                let prior_runs = run.as_ref().map_or(PriorRuns::None, |run| run.prior_runs);
                orders.push(task.submit(*index, prior_runs, number, false));
                task.state = TaskState::Submitted(holder.instance, run);
            }
        }
        if orders.is_empty() {
            return;
        }
        job.submitted_at = now;
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
        order.refusable = refusable;
        order.no_wait = choice.no_wait && !self.disabled.contains(Mechanism::Passing);
        self.withdraw(now, withdrawals, out);
        out.push(Output::Send(holder.instance, WorkMsg::Submit(order)));
        // Counts the room as taken until the next heartbeat reports the load.
        let mut taken = u32::try_from(count).unwrap_or(u32::MAX);
        let known = self.holders.iter_mut();
        for known in known.filter(|known| known.instance == holder.instance) {
            taken = known.load.take(taken);
        }
    }
}

/// Returns the state of a task whose last run may go on in a domain that its dispatcher no longer owns.
fn run_at(now: Time, domain: Domain) -> PossibleRun {
    PossibleRun {
        domains: Arc::new(BTreeSet::from([domain])),
        prior_runs: PriorRuns::Last,
        since: now,
        dispatcher: None,
    }
}

/// Returns the state of a task that a dispatcher returned as undetermined after it was submitted to it again.
///
/// The dispatcher may have started a run after the first submission and reported it in a lost message. If the state
/// of the first submission were kept, the next dispatcher could take the end of an earlier run for the end of the last
/// one and start the task a second time.
fn run_after_resubmission(
    now: Time,
    owned: &BTreeSet<Domain>,
    earlier: Option<&PossibleRun>,
) -> PossibleRun {
    let before = earlier.iter().flat_map(|run| run.domains.iter());
    PossibleRun {
        domains: Arc::new(before.chain(owned).copied().collect()),
        prior_runs: PriorRuns::Unknown,
        since: now,
        dispatcher: None,
    }
}

//! The tasks of the jobs whose claim this process holds: their start, their end and the deadline.

use std::time::Duration;

use celerywinch_dispatch::{CallEnd as HealthEnd, EndpointId, HealthChange, JobId, Start, TaskRef};
use celerywinch_types::{EndpointState, Outcome, Ran, Refusal, RefusalReason, Step, Time};

use crate::entry::Timer;
use crate::job::{Job, Phase, TaskState};
use crate::{Call, CallEnd, CallId, Entry, Event, Invariant, Output};

/// Number of refusals by endpoints that a job may have per task. The limit keeps refusals from multiplying the load.
const REFUSALS_PER_TASK: u32 = 4;
/// How long after its last contact with a majority of the replicas a holder still starts tasks.
///
/// Other entries settle the keys of a holder that is silent for longer. Tasks that it starts after that would not run
/// twice, because no other entry starts them, but would be wasted work, because no caller can get their results.
const HOLDER_LEASE: Duration = Duration::from_millis(1500);
/// Retry delay for a caller whose tasks were refused by endpoints or were not started before the deadline, in ms.
const ENDPOINT_RETRY_MS: u32 = 200;
/// How long a job whose proposed outcome is not yet accepted by a majority is kept after its deadline.
const UNDECIDED_RETENTION: Duration = Duration::from_secs(20);

/// A call in flight.
#[derive(Debug)]
pub(crate) struct PendingCall {
    pub(crate) task: TaskRef,
    pub(crate) endpoint: EndpointId,
    pub(crate) sent_at: Time,
    pub(crate) aborted: bool,
    kind: celerywinch_types::KindName,
    team: std::sync::Arc<str>,
}

impl Entry {
    /// Admits a job whose claim is won, and queues its tasks.
    pub(crate) fn admit_job(&mut self, now: Time, id: JobId, out: &mut Vec<Output>) {
        let job = &self.jobs[id];
        if job.cancelled {
            let outcome = cancelled_outcome(job);
            self.propose(now, id, outcome, out);
            return;
        }
        let tasks = job.tasks.len();
        let work = job.work.clone();
        match self.dispatch.admit(now, &work, tasks) {
            Ok(()) => {
                let tasks = u32::try_from(tasks).unwrap_or(u32::MAX);
                self.dispatch.enqueue(id, work, tasks);
            }
            Err(refusal) => self.propose(now, id, Outcome::Refusal(refusal), out),
        }
    }

    /// Starts all queued tasks that can start now.
    pub(crate) fn start_queued(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.dispatch.queued() == 0 || !self.holds_lease(now) {
            return;
        }
        while let Some(start) = self.dispatch.next_start(now) {
            self.start_task(now, &start, out);
        }
    }

    /// Whether a majority of the replicas was in contact within [`HOLDER_LEASE`].
    fn holds_lease(&self, now: Time) -> bool {
        let Some(group) = self.homes.group(self.config.dc) else {
            return false;
        };
        let me = self.me();
        let in_contact = |id| {
            let peer = self.peers.get(id);
            peer.is_some_and(|peer| now.since(peer.last_contact) < HOLDER_LEASE)
        };
        let members = group.members().iter();
        members.filter(|r| **r == me || in_contact(**r)).count() >= group.majority()
    }

    fn start_task(&mut self, now: Time, start: &Start, out: &mut Vec<Output>) {
        let TaskRef { job: id, index } = start.task;
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let slot = index as usize;
        let key = job.key.clone();
        let queued = job.tasks.get(slot) == Some(&TaskState::Queued);
        let claimed = matches!(job.phase, Phase::Running(_));
        let serving = self
            .dispatch
            .announcement(start.endpoint)
            .is_some_and(|announcement| announcement.state == EndpointState::Serving);
        let detail = || format!("task {index} of key {key}");
        self.assert(queued, Invariant::SingleStart, detail, out);
        self.assert(claimed, Invariant::ClaimedStart, detail, out);
        self.assert(serving, Invariant::LeavingQuiet, detail, out);
        if !queued || !claimed {
            return;
        }
        self.next_call += 1;
        let call = CallId(self.next_call);
        let job = &mut self.jobs[id];
        job.tasks[slot] = TaskState::Running(call, start.endpoint);
        self.calls.insert(
            call,
            PendingCall {
                task: start.task,
                endpoint: start.endpoint,
                sent_at: now,
                aborted: false,
                kind: job.work.kind.clone(),
                team: job.team().clone(),
            },
        );
        out.push(Output::Event(Event::Sent {
            key: key.clone(),
            index,
            endpoint: start.addr,
        }));
        out.push(Output::Start(Call {
            id: call,
            endpoint: start.endpoint,
            addr: start.addr,
            key,
            index,
            kind: job.work.kind.clone(),
            body: job.bodies[slot].clone(),
            remaining: job.work.deadline.since(now),
        }));
    }

    /// Records the end of a call for the health of its endpoint, and applies it to the job unless the job has ended.
    pub(crate) fn call_ended(
        &mut self,
        now: Time,
        id: CallId,
        end: CallEnd,
        out: &mut Vec<Output>,
    ) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.record_health(now, &call, &end, out);
        let TaskRef { job, index } = call.task;
        let slot = index as usize;
        let state = self.jobs.get(job).and_then(|job| job.tasks.get(slot));
        if state != Some(&TaskState::Running(id, call.endpoint)) {
            return;
        }
        match end {
            CallEnd::Done(body) => {
                self.push_result(&call, out);
                let job_state = &mut self.jobs[job];
                job_state.tasks[slot] = TaskState::Done(body);
                if job_state.finished() {
                    self.propose_answer(now, job, out);
                }
            }
            CallEnd::TaskFailed { detail, .. } => {
                self.task_lost(now, &call, Ran::Yes, detail, out);
            }
            CallEnd::Lost(detail) => self.task_lost(now, &call, Ran::Maybe, detail, out),
            CallEnd::NotRun { detail, .. } => self.task_not_run(now, &call, detail, out),
        }
    }

    fn record_health(
        &mut self,
        now: Time,
        call: &PendingCall,
        end: &CallEnd,
        out: &mut Vec<Output>,
    ) {
        let end = match end {
            _ if call.aborted => HealthEnd::Cancelled,
            CallEnd::Done(_) => HealthEnd::Done(now.since(call.sent_at)),
            CallEnd::NotRun { refused: true, .. } => HealthEnd::Refused,
            CallEnd::TaskFailed {
                task_fault: true, ..
            } => HealthEnd::Cancelled,
            CallEnd::TaskFailed { .. } | CallEnd::Lost(_) | CallEnd::NotRun { .. } => {
                HealthEnd::Failed
            }
        };
        let endpoint = self.endpoint_addr(call.endpoint);
        let work = (&call.kind, &call.team);
        let change = self
            .dispatch
            .finish(now, call.endpoint, call.sent_at, work, end);
        if let Some(change) = change {
            let state = match change {
                HealthChange::Quarantined => "set_aside",
                HealthChange::Restored => "restored",
            };
            out.push(Output::Event(Event::Health {
                endpoint,
                state: state.into(),
            }));
        }
    }

    fn push_result(&self, call: &PendingCall, out: &mut Vec<Output>) {
        out.push(Output::Event(Event::Result {
            key: self.jobs[call.task.job].key.clone(),
            index: call.task.index,
            endpoint: self.endpoint_addr(call.endpoint),
        }));
    }

    fn endpoint_addr(&self, endpoint: EndpointId) -> std::net::SocketAddr {
        let unknown = std::net::SocketAddr::from(([0, 0, 0, 0], 0));
        self.dispatch
            .announcement(endpoint)
            .map_or(unknown, |announcement| announcement.addr)
    }

    fn propose_answer(&mut self, now: Time, id: JobId, out: &mut Vec<Output>) {
        if let Some(answer) = self.jobs[id].answer() {
            self.propose(now, id, answer, out);
        }
    }

    /// Queues a task that did not run, so that it may be sent to another endpoint, or ends the job if its budget of
    /// refusals is exhausted.
    fn task_not_run(
        &mut self,
        now: Time,
        call: &PendingCall,
        detail: String,
        out: &mut Vec<Output>,
    ) {
        let TaskRef { job: id, index } = call.task;
        let endpoint = self.endpoint_addr(call.endpoint);
        let job = &mut self.jobs[id];
        job.tasks[index as usize] = TaskState::Queued;
        job.refusals += 1;
        let tasks = u32::try_from(job.tasks.len()).unwrap_or(u32::MAX);
        let budget = REFUSALS_PER_TASK.saturating_mul(tasks);
        let exhausted = job.refusals > budget;
        out.push(Output::Event(Event::NotRun {
            key: job.key.clone(),
            index,
            endpoint,
            detail: detail.clone(),
        }));
        if !matches!(job.phase, Phase::Running(_)) {
            return;
        }
        if !exhausted {
            self.dispatch.requeue(call.task);
            return;
        }
        let outcome = if job.started() {
            Outcome::failure(Ran::Yes, Step::Connect, &endpoint, &detail)
        } else {
            let detail = "the endpoints refused the tasks repeatedly; no task ran";
            Outcome::refusal(RefusalReason::NoEndpoint, Some(ENDPOINT_RETRY_MS), detail)
        };
        self.end_job(now, id, outcome, out);
    }

    /// Fails the job of a task that failed or may have run. Such a task is never started again.
    fn task_lost(
        &mut self,
        now: Time,
        call: &PendingCall,
        ran: Ran,
        detail: String,
        out: &mut Vec<Output>,
    ) {
        let TaskRef { job: id, index } = call.task;
        let endpoint = self.endpoint_addr(call.endpoint);
        let job = &mut self.jobs[id];
        job.tasks[index as usize] = TaskState::Failed;
        out.push(Output::Event(Event::TaskLost {
            key: job.key.clone(),
            index,
            endpoint,
            ran,
            detail: detail.clone(),
        }));
        let outcome = Outcome::failure(ran, Step::Run, &endpoint, &detail);
        self.end_job(now, id, outcome, out);
    }

    /// Ends a running job: aborts its calls in flight and proposes the outcome without waiting for their end.
    pub(crate) fn end_job(
        &mut self,
        now: Time,
        id: JobId,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if !matches!(job.phase, Phase::Running(_)) {
            return;
        }
        for call in job.calls() {
            if let Some(open) = self.calls.get_mut(&call) {
                open.aborted = true;
                out.push(Output::Abort(call));
            }
        }
        self.propose(now, id, outcome, out);
    }

    /// Ends a job with a queued task that can no longer end before the deadline.
    pub(crate) fn end_infeasible(&mut self, now: Time, id: JobId, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get(id) else {
            self.dispatch.drop_job(id);
            return;
        };
        let outcome = timeout_outcome(job, "no slot came free in time");
        self.end_job(now, id, outcome, out);
    }

    /// Ends a running job at its deadline. In any other phase, replies to the waiters that no outcome is known.
    pub(crate) fn deadline_passed(&mut self, now: Time, id: JobId, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        match &job.phase {
            Phase::Running(_) => {
                let outcome = timeout_outcome(job, "the deadline passed");
                self.end_job(now, id, outcome, out);
            }
            Phase::Deciding(_) if !job.undecided_sent => {
                let detail = "the replicas did not agree on the outcome before the deadline";
                self.reply_undecided(id, detail, out);
                self.timers
                    .subscribe(now + UNDECIDED_RETENTION, Timer::Deadline(id));
            }
            Phase::Deciding(_) => self.discard(id),
            _ => {
                let detail = "no outcome was known before the deadline";
                self.reply_undecided(id, detail, out);
            }
        }
    }
}

/// Returns the outcome of a cancelled job.
pub(crate) fn cancelled_outcome(job: &Job) -> Outcome {
    if job.started() {
        let detail = "cancelled after tasks were started";
        return Outcome::failure(Ran::Maybe, Step::Run, &"caller", detail);
    }
    let detail = "cancelled before any task was started";
    Outcome::refusal(RefusalReason::Cancelled, None, detail)
}

/// Returns the outcome of a job that did not end before its deadline, or no longer can.
fn timeout_outcome(job: &Job, detail: &str) -> Outcome {
    if !job.started() {
        return Outcome::Refusal(Refusal {
            reason: RefusalReason::Deadline,
            retry_ms: Some(ENDPOINT_RETRY_MS),
            detail: format!("{detail}; no task was started"),
        });
    }
    let all_ended = job.calls().is_empty();
    let ran = if all_ended { Ran::Yes } else { Ran::Maybe };
    let detail = format!("{detail}; some tasks were started");
    Outcome::failure(ran, Step::Queue, &"queue", &detail)
}

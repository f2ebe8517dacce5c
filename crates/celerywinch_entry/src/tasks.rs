//! The tasks of a job that this process holds: starts, ends, deadlines.

use std::time::Duration;

use celerywinch_dispatch::{CallEnd as HealthEnd, EndpointId, HealthChange, JobId, Start, TaskRef};
use celerywinch_types::{EndpointState, Outcome, Ran, Refusal, RefusalReason, Step, Time};

use crate::entry::Timer;
use crate::job::{Job, Phase, TaskState};
use crate::{Call, CallEnd, CallId, Entry, Event, Invariant, Output};

/// How often the tasks of one job may be refused by endpoints, per task: a budget, so that refusals
/// cannot multiply the load.
const REFUSALS_PER_TASK: u32 = 4;
/// How long a holder may have heard from no majority and still start tasks.
///
/// Others settle the keys of a holder that is silent for longer. Starting tasks then would be no
/// second start, for nobody else starts them, but wasted work whose answer nobody can get.
const HOLDER_LEASE: Duration = Duration::from_millis(1500);
/// When a caller that met a lack of endpoints should come back.
const ENDPOINT_RETRY_MS: u32 = 200;
/// How long a decided job that cannot be agreed on is kept after its deadline.
const AFTER_DEADLINE: Duration = Duration::from_secs(20);

/// A call that is under way.
#[derive(Debug)]
pub(crate) struct OpenCall {
    pub(crate) task: TaskRef,
    pub(crate) endpoint: EndpointId,
    pub(crate) sent: Time,
    pub(crate) aborted: bool,
    kind: celerywinch_types::KindName,
    team: std::sync::Arc<str>,
}

impl Entry {
    /// The claim is won: admits the job and queues its tasks.
    pub(crate) fn start_work(&mut self, now: Time, id: JobId, out: &mut Vec<Output>) {
        let job = &self.jobs[id];
        if job.cancelled {
            let outcome = cancelled(job);
            self.decide(now, id, outcome, out);
            return;
        }
        let tasks = job.tasks.len();
        let work = job.work.clone();
        match self.dispatch.admit(now, &work, tasks) {
            Ok(()) => {
                let tasks = u32::try_from(tasks).unwrap_or(u32::MAX);
                self.dispatch.enqueue(id, work, tasks);
            }
            Err(refusal) => self.decide(now, id, Outcome::Refusal(refusal), out),
        }
    }

    /// Starts whatever can be started.
    pub(crate) fn pump(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.dispatch.queued() == 0 || !self.holds_lease(now) {
            return;
        }
        while let Some(start) = self.dispatch.next_start(now) {
            self.start(now, &start, out);
        }
    }

    fn holds_lease(&self, now: Time) -> bool {
        let Some(group) = self.homes.group(self.config.dc) else {
            return false;
        };
        let me = self.me();
        let heard = |id| {
            let peer = self.peers.get(id);
            peer.is_some_and(|peer| now.since(peer.last_contact) < HOLDER_LEASE)
        };
        let members = group.members().iter();
        members.filter(|r| **r == me || heard(**r)).count() >= group.majority()
    }

    fn start(&mut self, now: Time, start: &Start, out: &mut Vec<Output>) {
        let TaskRef { job: id, index } = start.task;
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let slot = index as usize;
        let key = job.key.clone();
        let queued = job.tasks.get(slot) == Some(&TaskState::Queued);
        let held = matches!(job.phase, Phase::Running(_));
        let serving = self
            .dispatch
            .announcement(start.endpoint)
            .is_some_and(|note| note.state == EndpointState::Serving);
        let detail = || format!("task {index} of key {key}");
        self.assert(queued, Invariant::SingleStart, detail, out);
        self.assert(held, Invariant::ClaimedStart, detail, out);
        self.assert(serving, Invariant::LeavingQuiet, detail, out);
        if !queued || !held {
            return;
        }
        self.next_call += 1;
        let call = CallId(self.next_call);
        let job = &mut self.jobs[id];
        job.tasks[slot] = TaskState::Running(call, start.endpoint);
        self.calls.insert(
            call,
            OpenCall {
                task: start.task,
                endpoint: start.endpoint,
                sent: now,
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
        self.note_health(now, &call, &end, out);
        let TaskRef { job, index } = call.task;
        let slot = index as usize;
        let state = self.jobs.get(job).and_then(|job| job.tasks.get(slot));
        if state != Some(&TaskState::Running(id, call.endpoint)) {
            return;
        }
        match end {
            CallEnd::Done(body) => {
                self.event_result(&call, out);
                let job_state = &mut self.jobs[job];
                job_state.tasks[slot] = TaskState::Done(body);
                if job_state.finished() {
                    self.all_done(now, job, out);
                }
            }
            CallEnd::TaskFailed { detail, .. } => {
                self.task_lost(now, &call, Ran::Yes, detail, out);
            }
            CallEnd::Lost(detail) => self.task_lost(now, &call, Ran::Maybe, detail, out),
            CallEnd::NotRun { detail, .. } => self.task_not_run(now, &call, detail, out),
        }
    }

    fn note_health(&mut self, now: Time, call: &OpenCall, end: &CallEnd, out: &mut Vec<Output>) {
        let end = match end {
            _ if call.aborted => HealthEnd::Cancelled,
            CallEnd::Done(_) => HealthEnd::Done(now.since(call.sent)),
            CallEnd::NotRun { refused: true, .. } => HealthEnd::Refused,
            CallEnd::TaskFailed {
                task_fault: true, ..
            } => HealthEnd::Cancelled,
            CallEnd::TaskFailed { .. } | CallEnd::Lost(_) | CallEnd::NotRun { .. } => {
                HealthEnd::Failed
            }
        };
        let endpoint = self.addr_of(call.endpoint);
        let work = (&call.kind, &call.team);
        let change = self
            .dispatch
            .finish(now, call.endpoint, call.sent, work, end);
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

    fn event_result(&self, call: &OpenCall, out: &mut Vec<Output>) {
        out.push(Output::Event(Event::Result {
            key: self.jobs[call.task.job].key.clone(),
            index: call.task.index,
            endpoint: self.addr_of(call.endpoint),
        }));
    }

    fn addr_of(&self, endpoint: EndpointId) -> std::net::SocketAddr {
        let unknown = std::net::SocketAddr::from(([0, 0, 0, 0], 0));
        self.dispatch
            .announcement(endpoint)
            .map_or(unknown, |note| note.addr)
    }

    fn all_done(&mut self, now: Time, id: JobId, out: &mut Vec<Output>) {
        if let Some(answer) = self.jobs[id].answer() {
            self.decide(now, id, answer, out);
        }
    }

    /// The task did not run, so it may be sent elsewhere.
    fn task_not_run(&mut self, now: Time, call: &OpenCall, detail: String, out: &mut Vec<Output>) {
        let TaskRef { job: id, index } = call.task;
        let endpoint = self.addr_of(call.endpoint);
        let job = &mut self.jobs[id];
        job.tasks[index as usize] = TaskState::Queued;
        job.refusals += 1;
        let tasks = u32::try_from(job.tasks.len()).unwrap_or(u32::MAX);
        let budget = REFUSALS_PER_TASK.saturating_mul(tasks);
        let spent = job.refusals > budget;
        out.push(Output::Event(Event::NotRun {
            key: job.key.clone(),
            index,
            endpoint,
            detail: detail.clone(),
        }));
        if !matches!(job.phase, Phase::Running(_)) {
            return;
        }
        if !spent {
            self.dispatch.requeue(call.task);
            return;
        }
        let outcome = if job.started() {
            Outcome::failure(Ran::Yes, Step::Connect, &endpoint, &detail)
        } else {
            let detail = "endpoints kept refusing the tasks; none ran";
            Outcome::refusal(RefusalReason::NoEndpoint, Some(ENDPOINT_RETRY_MS), detail)
        };
        self.end_job(now, id, outcome, out);
    }

    /// The task ran and failed, or may have run: it is never started again, so the job fails.
    fn task_lost(
        &mut self,
        now: Time,
        call: &OpenCall,
        ran: Ran,
        detail: String,
        out: &mut Vec<Output>,
    ) {
        let TaskRef { job: id, index } = call.task;
        let endpoint = self.addr_of(call.endpoint);
        let job = &mut self.jobs[id];
        job.tasks[index as usize] = TaskState::Ended;
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

    /// Ends a running job: stops what is under way and proposes the outcome at once.
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
        self.decide(now, id, outcome, out);
    }

    /// A queued task can no longer end in time.
    pub(crate) fn give_up(&mut self, now: Time, id: JobId, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get(id) else {
            self.dispatch.drop_job(id);
            return;
        };
        let outcome = out_of_time(job, "no slot came free in time");
        self.end_job(now, id, outcome, out);
    }

    pub(crate) fn deadline(&mut self, now: Time, id: JobId, out: &mut Vec<Output>) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        match &job.phase {
            Phase::Running(_) => {
                let outcome = out_of_time(job, "the deadline passed");
                self.end_job(now, id, outcome, out);
            }
            Phase::Deciding(_) if !job.told => {
                let detail = "the replicas did not agree on the outcome before the deadline";
                self.undecided(id, detail, out);
                self.timers
                    .subscribe(now + AFTER_DEADLINE, Timer::Deadline(id));
            }
            Phase::Deciding(_) => self.forget(id),
            _ => {
                let detail = "the outcome is not known before the deadline";
                self.undecided(id, detail, out);
            }
        }
    }
}

/// The outcome of a job that was cancelled.
pub(crate) fn cancelled(job: &Job) -> Outcome {
    if job.started() {
        let detail = "cancelled after tasks were started";
        return Outcome::failure(Ran::Maybe, Step::Run, &"caller", detail);
    }
    let detail = "cancelled before any task was started";
    Outcome::refusal(RefusalReason::Cancelled, None, detail)
}

fn out_of_time(job: &Job, detail: &str) -> Outcome {
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

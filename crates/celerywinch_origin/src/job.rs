//! A job and the states of its tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use celerywinch_types::{
    Crashes, Domain, InstanceId, JobId, JobPlan, PriorRuns, Queue, RunNumber, Session, StepOrder,
    SubmissionNumber, TaskOrder, Time,
};

use crate::CallerId;
use crate::reservations::StepReservations;

/// What is known of a run of a task that may still be going on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PossibleRun {
    /// The domains of the workers that may have it.
    pub(crate) domains: Arc<BTreeSet<Domain>>,
    /// Whether later runs may have been started.
    pub(crate) prior_runs: PriorRuns,
    /// Since when its lease is not renewed, as far as this origin knows.
    pub(crate) since: Time,
    /// The dispatcher that had the task when it was reported as lost; it may still have it.
    pub(crate) dispatcher: Option<InstanceId>,
}

/// The state of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// To be submitted to any dispatcher.
    Pending,
    /// To be submitted to the owner of the domains where it may be running.
    MaybeRunning(PossibleRun),
    /// Submitted to a dispatcher, with the run that may have been going on at that time.
    Submitted(InstanceId, Option<PossibleRun>),
    /// Done.
    Done,
}

/// One task of a job.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) state: TaskState,
    pub(crate) failures: u32,
    /// Crashes of workers while they ran it.
    pub(crate) crashes: Crashes,
    pub(crate) run: RunNumber,
    /// Its last submission, and the first one to the same dispatcher; none before the first.
    pub(crate) submitted: Option<Submitted>,
}

/// The submissions of a task to its current dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Submitted {
    pub(crate) first: SubmissionNumber,
    pub(crate) last: SubmissionNumber,
}

impl Task {
    /// Records the submission with this number, and returns the part of it that concerns this task. `again` states that
    /// the same dispatcher should have the task already.
    pub(crate) fn submit(
        &mut self,
        index: u16,
        prior_runs: PriorRuns,
        number: SubmissionNumber,
        again: bool,
    ) -> TaskOrder {
        let first = self.submitted.filter(|_| again);
        let first = first.map_or(number, |submitted| submitted.first);
        self.submitted = Some(Submitted {
            first,
            last: number,
        });
        TaskOrder {
            index,
            failures: self.failures,
            crashes: self.crashes,
            run: self.run,
            prior_runs,
            submission: number,
            first_submission: first,
        }
    }
}

/// An open job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) callers: Vec<CallerId>,
    pub(crate) queue: Queue,
    pub(crate) plan: JobPlan,
    pub(crate) arrived: Time,
    pub(crate) tasks: BTreeMap<(u16, u16), Task>,
    /// When tasks of it were last submitted.
    pub(crate) submitted_at: Time,
    /// Whether one of its tasks was returned or lost and may have run.
    pub(crate) maybe_ran: bool,
    /// Dispatchers that returned its tasks because they had no room.
    pub(crate) full: Vec<InstanceId>,
    /// Dispatchers of which no worker may take the tasks of a step.
    pub(crate) unplaced: BTreeSet<(u16, InstanceId)>,
    /// Submissions that dispatchers returned although they had offered capacity for them.
    pub(crate) missed_offers: BTreeMap<InstanceId, BTreeSet<SubmissionNumber>>,
    /// Reservations by step.
    pub(crate) reservations: BTreeMap<u16, StepReservations>,
}

impl Job {
    pub(crate) fn new(
        now: Time,
        id: JobId,
        caller: CallerId,
        queue: Queue,
        plan: JobPlan,
        first_run: RunNumber,
    ) -> Self {
        let mut tasks = BTreeMap::new();
        for (step, number) in plan.steps.iter().zip(0u16..) {
            for index in 0..step.count {
                let task = Task {
                    state: TaskState::Pending,
                    failures: 0,
                    crashes: Crashes::default(),
                    run: first_run,
                    submitted: None,
                };
                tasks.insert((number, index), task);
            }
        }
        Self {
            id,
            callers: vec![caller],
            queue,
            plan,
            arrived: now,
            tasks,
            submitted_at: now,
            maybe_ran: false,
            full: Vec::new(),
            unplaced: BTreeSet::new(),
            missed_offers: BTreeMap::new(),
            reservations: BTreeMap::new(),
        }
    }

    pub(crate) fn is_step_done(&self, step: u16) -> bool {
        let mut tasks = self.tasks.range((step, 0)..=(step, u16::MAX));
        tasks.all(|(_, task)| task.state == TaskState::Done)
    }

    pub(crate) fn is_done(&self) -> bool {
        self.tasks
            .values()
            .all(|task| task.state == TaskState::Done)
    }

    /// Whether any of its tasks may have run. Tasks that a dispatcher returned for lack of room have not.
    pub(crate) fn may_have_started(&self) -> bool {
        self.maybe_ran
            || self
                .tasks
                .values()
                .any(|task| task.state != TaskState::Pending)
    }

    /// Whether the refusal of a submission by a dispatcher shows that nothing of the job has run: all of its tasks were
    /// part of that submission, or are with no dispatcher. A dispatcher does not know of the tasks that others have.
    pub(crate) fn is_refused_by(&self, dispatcher: InstanceId, number: SubmissionNumber) -> bool {
        let refused = |task: &Task| match &task.state {
            TaskState::Pending => true,
            TaskState::Submitted(at, _) => {
                *at == dispatcher && task.submitted.is_some_and(|known| known.last == number)
            }
            TaskState::MaybeRunning(_) | TaskState::Done => false,
        };
        !self.maybe_ran && self.tasks.values().all(refused)
    }

    /// Returns the steps that have tasks to submit and whose preceding steps are done.
    pub(crate) fn open_steps(&self) -> Vec<u16> {
        let open = |step: &u16| {
            let plan = &self.plan.steps[usize::from(*step)];
            let mut tasks = self.tasks.range((*step, 0)..=(*step, u16::MAX));
            let unassigned = |state: &TaskState| {
                matches!(state, TaskState::Pending | TaskState::MaybeRunning(_))
            };
            tasks.any(|(_, task)| unassigned(&task.state))
                && plan.after.iter().all(|s| self.is_step_done(*s))
        };
        let count = u16::try_from(self.plan.steps.len()).unwrap_or(u16::MAX);
        (0..count).filter(open).collect()
    }

    /// Returns the length of the critical path, in ms, by the caller's estimates of run times.
    fn critical_path(&self) -> u32 {
        let mut ends: Vec<u32> = Vec::new();
        for step in &self.plan.steps {
            let before = step.after.iter().filter_map(|s| ends.get(usize::from(*s)));
            let start = before.copied().max().unwrap_or(0);
            ends.push(start + step.estimate);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    pub(crate) fn order(&self, now: Time, step: u16, tasks: Vec<TaskOrder>) -> StepOrder {
        let plan = &self.plan.steps[usize::from(step)];
        let age = now.since(self.arrived).as_millis();
        StepOrder {
            session: Session::default(),
            job: self.id,
            step,
            spec: self.plan.spec.clone(),
            queue: self.queue.name.clone(),
            service: self.queue.service.clone(),
            priority: self.queue.priority,
            attempts: self.queue.attempts,
            need: plan.need,
            estimate: plan.estimate,
            label: plan.label.clone(),
            rack: plan.rack.clone(),
            spread: plan.spread,
            age: u32::try_from(age).unwrap_or(u32::MAX),
            slack: self.queue.slack,
            target: self.queue.target,
            critical_path: self.critical_path(),
            refusable: false,
            no_wait: false,
            tasks,
        }
    }

    /// Returns the dispatchers that have tasks of the job, or may have.
    pub(crate) fn dispatchers(&self) -> BTreeSet<InstanceId> {
        let out = self.tasks.values().filter_map(|task| match &task.state {
            TaskState::Submitted(instance, _) => Some(*instance),
            TaskState::MaybeRunning(run) => run.dispatcher,
            TaskState::Pending | TaskState::Done => None,
        });
        out.collect()
    }

    /// Returns the dispatchers that its tasks are submitted to.
    pub(crate) fn submitted_to(&self) -> BTreeSet<InstanceId> {
        let out = self.tasks.values().filter_map(|task| match &task.state {
            TaskState::Submitted(instance, _) => Some(*instance),
            TaskState::MaybeRunning(_) | TaskState::Pending | TaskState::Done => None,
        });
        out.collect()
    }
}

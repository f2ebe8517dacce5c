//! A job and where its tasks are.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use celerywinch_types::{
    Crashes, Domain, InstanceId, JobId, JobPlan, PriorRuns, Queue, RunNumber, Session, StepOrder,
    TaskOrder, Time,
};

use crate::CallerId;

/// What is known of a run that may be at work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Trace {
    /// The domains where it may be.
    pub(crate) domains: Arc<BTreeSet<Domain>>,
    /// Whether later runs may have been started.
    pub(crate) doubt: PriorRuns,
    /// Since when nobody extends its lease, as far as is known.
    pub(crate) since: Time,
    /// The dispatcher that had it and was thought to be lost; it may have it still.
    pub(crate) at: Option<InstanceId>,
}

/// Where a task is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Place {
    /// To be handed in.
    Todo,
    /// To be handed in to whoever dispatches where it may be running.
    Unsure(Trace),
    /// At a dispatcher, which got it with this doubt.
    Out(InstanceId, Option<Trace>),
    /// Done.
    Done,
}

/// A task.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) place: Place,
    pub(crate) failures: u32,
    /// Workers that have ended under it.
    pub(crate) crashes: Crashes,
    pub(crate) run: RunNumber,
    /// The last time that it was handed in.
    pub(crate) hand: u32,
    /// The first of those times at the dispatcher that has it.
    pub(crate) first: u32,
}

impl Task {
    /// What a dispatcher is told of it.
    pub(crate) fn order(&self, index: u16, doubt: PriorRuns) -> TaskOrder {
        TaskOrder {
            index,
            failures: self.failures,
            crashes: self.crashes,
            run: self.run,
            prior_runs: doubt,
            submission: self.hand,
            first_submission: self.first,
        }
    }
}

/// A job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) callers: Vec<CallerId>,
    pub(crate) queue: Queue,
    pub(crate) plan: JobPlan,
    pub(crate) arrived: Time,
    pub(crate) tasks: BTreeMap<(u16, u16), Task>,
    /// Whether a task came back that may have run.
    pub(crate) doubtful: bool,
    /// Dispatchers that had no room for its tasks.
    pub(crate) full: Vec<InstanceId>,
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
                    place: Place::Todo,
                    failures: 0,
                    crashes: Crashes::default(),
                    run: first_run,
                    hand: 0,
                    first: 0,
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
            doubtful: false,
            full: Vec::new(),
        }
    }

    fn step_done(&self, step: u16) -> bool {
        let mut tasks = self.tasks.range((step, 0)..=(step, u16::MAX));
        tasks.all(|(_, task)| task.place == Place::Done)
    }

    pub(crate) fn done(&self) -> bool {
        self.tasks.values().all(|task| task.place == Place::Done)
    }

    /// Whether anything of it may have run. What a dispatcher gave back for want of room has not.
    pub(crate) fn begun(&self) -> bool {
        self.doubtful || self.tasks.values().any(|task| task.place != Place::Todo)
    }

    /// Steps whose turn has come and which have tasks to hand in.
    pub(crate) fn open_steps(&self) -> Vec<u16> {
        let open = |step: &u16| {
            let plan = &self.plan.steps[usize::from(*step)];
            let mut tasks = self.tasks.range((*step, 0)..=(*step, u16::MAX));
            let todo = |place: &Place| matches!(place, Place::Todo | Place::Unsure(_));
            tasks.any(|(_, task)| todo(&task.place))
                && plan.after.iter().all(|s| self.step_done(*s))
        };
        let count = u16::try_from(self.plan.steps.len()).unwrap_or(u16::MAX);
        (0..count).filter(open).collect()
    }

    /// Ms of the longest chain of steps, by the caller's guesses.
    fn chain(&self) -> u32 {
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
            critical_path: self.chain(),
            refusable: false,
            no_wait: false,
            tasks,
        }
    }

    /// Dispatchers that have tasks of the job, or may have.
    pub(crate) fn dispatchers(&self) -> Vec<InstanceId> {
        let out = self.tasks.values().filter_map(|task| match &task.place {
            Place::Out(instance, _) => Some(*instance),
            Place::Unsure(trace) => trace.at,
            Place::Todo | Place::Done => None,
        });
        let mut out: Vec<_> = out.collect();
        out.sort_unstable();
        out.dedup();
        out
    }
}

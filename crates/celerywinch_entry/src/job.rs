//! Jobs: the state of open submissions and lookups.

use std::sync::Arc;

use celerywinch_claims::{Claim, Deciding, Held, Settling, Voting};
use celerywinch_dispatch::{EndpointId, Work};
use celerywinch_types::{DataCentreId, Holder, InstanceId, Key, Outcome, TaskBody, Time};

use crate::{CallId, WaiterId};

/// A caller or peer that waits for the outcome of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Waiter {
    Caller(WaiterId),
    Peer(InstanceId),
}

/// The phase of a job. Tasks are in flight only in `Running`.
#[derive(Debug)]
pub(crate) enum Phase {
    /// Waits for the votes on its claim.
    Voting(Claim<Voting>),
    /// This process holds the claim and runs the tasks.
    Running(Claim<Held>),
    /// Waits for the outcome from the process that holds the claim.
    Watching(Holder),
    /// Looks up what the replicas know of the key; lists those that know nothing.
    Inspecting(Vec<InstanceId>),
    /// Learns or decides the outcome of a key whose holder is gone.
    Settling(Claim<Settling>),
    /// Waits for the replicas to accept the outcome.
    Deciding(Claim<Deciding>),
    /// Relayed to the key's home data centre.
    Relayed(Relay),
    /// Placeholder within a function that replaces the phase; no job keeps it.
    Transition,
}

/// The entry to which a submission or lookup was relayed.
#[derive(Clone, Debug)]
pub(crate) struct Relay {
    pub(crate) home: DataCentreId,
    pub(crate) via: InstanceId,
    pub(crate) lookup: bool,
}

/// The state of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// It waits for a slot and has provably not run.
    Queued,
    /// It was sent to an endpoint.
    Running(CallId, EndpointId),
    /// It returned its result.
    Done(TaskBody),
    /// It failed, or its call was lost.
    Failed,
}

/// An open submission or lookup.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) key: Key,
    pub(crate) digest: u64,
    pub(crate) work: Work,
    pub(crate) bodies: Vec<TaskBody>,
    pub(crate) tasks: Vec<TaskState>,
    pub(crate) refusals: u32,
    pub(crate) waiters: Vec<Waiter>,
    pub(crate) phase: Phase,
    pub(crate) cancelled: bool,
    /// When the messages of the phase are sent again.
    pub(crate) resend_at: Time,
    /// Whether the waiters got the reply that no outcome is agreed on yet.
    pub(crate) undecided_sent: bool,
}

impl Job {
    /// Whether any task was sent, or may have been.
    pub(crate) fn started(&self) -> bool {
        self.tasks.iter().any(|task| *task != TaskState::Queued)
    }

    /// Whether all tasks have returned their results.
    pub(crate) fn finished(&self) -> bool {
        self.tasks
            .iter()
            .all(|task| matches!(task, TaskState::Done(_)))
    }

    /// Returns the calls in flight.
    pub(crate) fn calls(&self) -> Vec<CallId> {
        let running = self.tasks.iter().filter_map(|task| match task {
            TaskState::Running(call, _) => Some(*call),
            TaskState::Queued | TaskState::Done(_) | TaskState::Failed => None,
        });
        running.collect()
    }

    /// Returns the answer once every task has returned its result.
    pub(crate) fn answer(&self) -> Option<Outcome> {
        let results = self.tasks.iter().map(|task| match task {
            TaskState::Done(body) => Some(body.clone()),
            TaskState::Queued | TaskState::Running(..) | TaskState::Failed => None,
        });
        results.collect::<Option<Vec<_>>>().map(Outcome::Answer)
    }

    pub(crate) fn add_waiter(&mut self, waiter: Waiter) {
        if !self.waiters.contains(&waiter) {
            self.waiters.push(waiter);
        }
    }

    pub(crate) fn team(&self) -> &Arc<str> {
        &self.work.team
    }
}

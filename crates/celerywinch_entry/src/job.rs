//! A submission on its way to its outcome.

use std::sync::Arc;

use celerywinch_claims::{Claim, Deciding, Held, Settling, Voting};
use celerywinch_dispatch::{EndpointId, Work};
use celerywinch_types::{DataCentreId, Holder, InstanceId, Key, Outcome, TaskBody, Time};

use crate::{CallId, WaiterId};

/// Who waits for the outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Waiter {
    Caller(WaiterId),
    Peer(InstanceId),
}

/// Where a job stands. Only `Running` has tasks under way.
#[derive(Debug)]
pub(crate) enum Phase {
    /// Asking for votes.
    Voting(Claim<Voting>),
    /// This process holds the claim and runs the tasks.
    Running(Claim<Held>),
    /// Another process holds the claim; this one waits for its outcome.
    Watching(Holder),
    /// Asking the replicas what is known, for a lookup.
    Inspecting(Vec<InstanceId>),
    /// Finding out, or ending, what a holder that is gone has left.
    Settling(Claim<Settling>),
    /// Asking the replicas to accept the outcome.
    Deciding(Claim<Deciding>),
    /// Passed to its home data centre.
    Relayed(Relay),
    /// Between two phases, never seen from outside a function.
    Transition,
}

/// Where a submission was passed to.
#[derive(Clone, Debug)]
pub(crate) struct Relay {
    pub(crate) home: DataCentreId,
    pub(crate) via: InstanceId,
    pub(crate) lookup: bool,
}

/// Where a task stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// Waits for a slot; it has provably not run.
    Queued,
    /// Was sent to an endpoint.
    Running(CallId, EndpointId),
    /// Gave its result.
    Done(TaskBody),
    /// Failed or was lost.
    Failed,
}

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
    /// When the pending messages are sent again.
    pub(crate) resend_at: Time,
    /// The waiters were told that there is no outcome yet.
    pub(crate) undecided_sent: bool,
}

impl Job {
    /// Whether some task was sent, or may have been.
    pub(crate) fn started(&self) -> bool {
        self.tasks.iter().any(|task| *task != TaskState::Queued)
    }

    pub(crate) fn finished(&self) -> bool {
        self.tasks
            .iter()
            .all(|task| matches!(task, TaskState::Done(_)))
    }

    /// The calls that are under way.
    pub(crate) fn calls(&self) -> Vec<CallId> {
        let running = self.tasks.iter().filter_map(|task| match task {
            TaskState::Running(call, _) => Some(*call),
            TaskState::Queued | TaskState::Done(_) | TaskState::Failed => None,
        });
        running.collect()
    }

    /// The whole answer, once every task has given its result.
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

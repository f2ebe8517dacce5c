//! The three outcomes of a submission, and whether its work ran.

use std::fmt;

use crate::domain;

domain! {
    /// Whether work ran. `No` is used only where it is certain.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum Ran {
        /// It provably never started.
        No,
        /// It may have started.
        Maybe,
        /// It started.
        Yes,
    }

    /// The step of a submission at which it failed.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum Step {
        /// Agreement on which entry starts the tasks.
        Claim,
        /// Waiting for a free slot.
        Queue,
        /// Opening a connection to an endpoint.
        Connect,
        /// A task at an endpoint.
        Run,
    }

    /// Why a submission was refused.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum RefusalReason {
        /// The time left is too short for the queue and the run.
        Overload,
        /// No endpoint of the data centre serves the kind.
        NoEndpoint,
        /// The job is larger than the data centre can ever run.
        TooLarge,
        /// The deadline passed before anything started.
        Deadline,
        /// The caller cancelled the submission before anything started.
        Cancelled,
        /// The claim was lost before anything started.
        Unclaimed,
    }

    /// The outcome of a submission whose work started, or may have, without a complete answer.
    pub struct Failure {
        /// Whether any task ran.
        pub ran: Ran,
        /// The step that failed.
        pub step: Step,
        /// The instance or endpoint involved.
        pub peer: String,
        /// A sentence that explains the failure to the caller.
        pub detail: String,
    }

    /// The outcome of a submission of which nothing ran or will ever run.
    pub struct Refusal {
        /// The reason.
        pub reason: RefusalReason,
        /// The time after which a new submission is worth a try, in ms.
        pub retry_ms: Option<u32>,
        /// A sentence that explains the refusal to the caller.
        pub detail: String,
    }

    /// The outcome of a submission, which has exactly one.
    #[serde(rename_all = "snake_case")]
    pub enum Outcome {
        /// The results of all tasks, in the order of submission.
        Answer(Vec<crate::TaskBody>),
        /// No complete answer; work may have run.
        Failure(Failure),
        /// Nothing ran.
        Refusal(Refusal),
    }
}

impl Outcome {
    /// Returns a short name, for logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Answer(_) => "answer",
            Self::Failure(_) => "failure",
            Self::Refusal(_) => "refusal",
        }
    }

    /// Returns a failure.
    #[must_use]
    pub fn failure(ran: Ran, step: Step, peer: &dyn fmt::Display, detail: &str) -> Self {
        Self::Failure(Failure {
            ran,
            step,
            peer: peer.to_string(),
            detail: detail.into(),
        })
    }

    /// Returns a refusal.
    #[must_use]
    pub fn refusal(reason: RefusalReason, retry_ms: Option<u32>, detail: &str) -> Self {
        Self::Refusal(Refusal {
            reason,
            retry_ms,
            detail: detail.into(),
        })
    }
}

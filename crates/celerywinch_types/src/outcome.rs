//! The three outcomes of a submission, and whether its work ran.

use std::fmt;

use crate::domain;

domain! {
    /// Whether work ran. `No` is said only where it is certain.
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

    /// Where in the life of a submission something went wrong.
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
        /// The time left does not suffice for the queue and the run.
        Overload,
        /// No endpoint of the data centre serves the kind.
        NoEndpoint,
        /// The job is larger than the data centre can ever run.
        TooLarge,
        /// The deadline passed before anything started.
        Deadline,
        /// The caller cancelled it before anything started.
        Cancelled,
        /// The claim was lost before anything started.
        Unclaimed,
    }

    /// Work started, or may have, and there is no whole answer.
    pub struct Failure {
        /// Whether any task ran.
        pub ran: Ran,
        /// Where it went wrong.
        pub step: Step,
        /// The instance or endpoint involved.
        pub peer: String,
        /// One sentence for the caller.
        pub detail: String,
    }

    /// Nothing of the submission ran or ever will.
    pub struct Refusal {
        /// Why.
        pub reason: RefusalReason,
        /// When a new submission is worth a try, in milliseconds from now.
        pub retry_ms: Option<u32>,
        /// One sentence for the caller.
        pub detail: String,
    }

    /// The one outcome of a submission.
    #[serde(rename_all = "snake_case")]
    pub enum Outcome {
        /// Every task's result, in the order submitted.
        Answer(Vec<crate::TaskBody>),
        /// No whole answer; work may have run.
        Failure(Failure),
        /// Nothing ran.
        Refusal(Refusal),
    }
}

impl Outcome {
    /// A short name, for logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Answer(_) => "answer",
            Self::Failure(_) => "failure",
            Self::Refusal(_) => "refusal",
        }
    }

    /// A failure, in one call.
    #[must_use]
    pub fn failure(ran: Ran, step: Step, peer: &dyn fmt::Display, detail: &str) -> Self {
        Self::Failure(Failure {
            ran,
            step,
            peer: peer.to_string(),
            detail: detail.into(),
        })
    }

    /// A refusal, in one call.
    #[must_use]
    pub fn refusal(reason: RefusalReason, retry_ms: Option<u32>, detail: &str) -> Self {
        Self::Refusal(Refusal {
            reason,
            retry_ms,
            detail: detail.into(),
        })
    }
}

//! The chain of filters that validates a submission before it is sent to the state machine.
//!
//! The first filter that rejects the submission ends the chain with a problem that names the field. No state has
//! changed by then.

mod body;
mod content_type;
mod deadline;
mod key;
mod kind;
mod tasks;
mod team;

use std::sync::Arc;
use std::time::Duration;

use celerywinch_catalogue::{Catalogue, Kind};
use celerywinch_types::{Key, Submission, TaskBody, stable_hash};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::http::Problem;

/// One filter of the chain.
#[derive(Clone, Copy)]
pub struct Filter {
    /// The name, also used as a label of the metrics.
    pub name: &'static str,
    /// What the filter does.
    pub description: &'static str,
    /// Why the filter exists.
    pub reason: &'static str,
    /// An example of what the filter rejects.
    pub rejected_example: &'static str,
    apply: fn(&mut SubmissionDraft, &FilterContext) -> Result<(), Problem>,
}

/// All filters, in the order in which they are applied.
pub const FILTERS: &[Filter] = &[
    content_type::FILTER,
    key::FILTER,
    body::FILTER,
    kind::FILTER,
    team::FILTER,
    deadline::FILTER,
    tasks::FILTER,
];

/// The data that filters validate a submission against.
pub(crate) struct FilterContext {
    pub(crate) catalogue: Arc<Catalogue>,
}

/// A submission while it is validated; filters fill in what they have parsed.
#[derive(Default)]
pub(crate) struct SubmissionDraft {
    content_type: Option<String>,
    key_header: Option<String>,
    body: Vec<u8>,
    key: Option<Key>,
    request: Option<SubmitRequest>,
    kind: Option<Kind>,
}

/// The body of a submission.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SubmitRequest {
    kind: String,
    #[serde(default)]
    team: String,
    deadline_ms: u64,
    tasks: Vec<Box<RawValue>>,
}

/// Runs all filters on a draft; an error comes with the name of the filter that rejected it.
pub(crate) fn check(
    mut draft: SubmissionDraft,
    context: &FilterContext,
) -> Result<Submission, (&str, Problem)> {
    for filter in FILTERS {
        (filter.apply)(&mut draft, context).map_err(|problem| (filter.name, problem))?;
    }
    draft.finish().ok_or(("chain", Problem::internal()))
}

impl SubmissionDraft {
    pub(crate) fn new(
        content_type: Option<String>,
        key_header: Option<String>,
        body: Vec<u8>,
    ) -> Self {
        Self {
            content_type,
            key_header,
            body,
            ..Self::default()
        }
    }

    fn finish(self) -> Option<Submission> {
        let (request, kind) = (self.request?, self.kind?);
        let tasks: Vec<_> = request
            .tasks
            .iter()
            .map(|body| TaskBody(body.get().into()))
            .collect();
        Some(Submission {
            key: self.key?,
            digest: submission_digest(&request),
            kind: kind.name,
            team: request.team.into(),
            remaining: Duration::from_millis(request.deadline_ms),
            tasks,
        })
    }
}

/// Returns a hash of kind, team and task bodies; never zero, which means "unknown".
fn submission_digest(request: &SubmitRequest) -> u64 {
    let mut text = format!("{}\n{}\n", request.kind, request.team);
    for body in &request.tasks {
        text.push_str(body.get());
        text.push('\n');
    }
    stable_hash(text.as_bytes()).max(1)
}

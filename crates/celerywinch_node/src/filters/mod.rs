//! The chain of filters that a submission passes, in order, before the state machine sees it.
//!
//! A filter that finds something wrong ends the chain with a problem that names the field; nothing
//! has been changed by then.

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

/// One step of the chain.
#[derive(Clone, Copy)]
pub struct Filter {
    /// Its name, as in the metrics.
    pub name: &'static str,
    /// What it does.
    pub what: &'static str,
    /// Why it is there.
    pub why: &'static str,
    /// An example of what it rejects.
    pub example: &'static str,
    apply: fn(&mut Draft, &Rules) -> Result<(), Problem>,
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

/// What filters judge by.
pub(crate) struct Rules {
    pub(crate) catalogue: Arc<Catalogue>,
}

/// A submission on its way through the chain.
#[derive(Default)]
pub(crate) struct Draft {
    content_type: Option<String>,
    key_text: Option<String>,
    body: Vec<u8>,
    key: Option<Key>,
    form: Option<Form>,
    kind: Option<Kind>,
}

/// The body of a submission.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Form {
    kind: String,
    #[serde(default)]
    team: String,
    deadline_ms: u64,
    tasks: Vec<Box<RawValue>>,
}

/// Passes a draft through the chain.
pub(crate) fn check(mut draft: Draft, rules: &Rules) -> Result<Submission, (&str, Problem)> {
    for filter in FILTERS {
        (filter.apply)(&mut draft, rules).map_err(|problem| (filter.name, problem))?;
    }
    draft.finish().ok_or(("chain", Problem::internal()))
}

impl Draft {
    pub(crate) fn new(
        content_type: Option<String>,
        key_text: Option<String>,
        body: Vec<u8>,
    ) -> Self {
        Self {
            content_type,
            key_text,
            body,
            ..Self::default()
        }
    }

    fn finish(self) -> Option<Submission> {
        let (form, kind) = (self.form?, self.kind?);
        let tasks: Vec<_> = form
            .tasks
            .iter()
            .map(|body| TaskBody(body.get().into()))
            .collect();
        Some(Submission {
            key: self.key?,
            digest: digest(&form),
            kind: kind.name,
            team: form.team.into(),
            remaining: Duration::from_millis(form.deadline_ms),
            tasks,
        })
    }
}

/// A hash of kind, team and bodies; never zero, which stands for "not known".
fn digest(form: &Form) -> u64 {
    let mut text = format!("{}\n{}\n", form.kind, form.team);
    for body in &form.tasks {
        text.push_str(body.get());
        text.push('\n');
    }
    stable_hash(text.as_bytes()).max(1)
}

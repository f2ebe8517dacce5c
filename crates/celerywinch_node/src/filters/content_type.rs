//! The filter that checks the content type.

use super::{Filter, FilterContext, SubmissionDraft};
use crate::http::Problem;

/// Accepts JSON only.
pub(super) const FILTER: Filter = Filter {
    name: "content_type",
    description: "Accepts bodies of type application/json only.",
    reason: "A form or a file would fail later with an error that does not name the cause.",
    rejected_example: "content-type: text/plain",
    apply,
};

fn apply(draft: &mut SubmissionDraft, _: &FilterContext) -> Result<(), Problem> {
    let found = draft.content_type.as_deref().unwrap_or("none");
    let essence = found.split(';').next().unwrap_or("").trim();
    if essence.eq_ignore_ascii_case("application/json") {
        return Ok(());
    }
    Err(Problem::new(415, "content-type", "wrong content type")
        .field("content-type")
        .detail(&format!("found {found}, wanted application/json")))
}

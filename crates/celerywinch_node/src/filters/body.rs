//! The filter that parses the body.

use super::{Filter, FilterContext, SubmissionDraft, SubmitRequest};
use crate::http::Problem;

/// Requires a body with all mandatory fields and no unknown ones.
pub(super) const FILTER: Filter = Filter {
    name: "body",
    description: "Parses the body; unknown and missing fields are errors.",
    reason: "If a misspelt field were ignored, the job would run with another meaning.",
    rejected_example: r#"{"kind": "price-check", "deadline": 500, "tasks": [1]}"#,
    apply,
};

fn apply(draft: &mut SubmissionDraft, _: &FilterContext) -> Result<(), Problem> {
    match serde_json::from_slice::<SubmitRequest>(&draft.body) {
        Ok(request) => {
            draft.request = Some(request);
            Ok(())
        }
        Err(error) => Err(Problem::new(400, "body", "bad body")
            .field("body")
            .detail(&error.to_string())),
    }
}

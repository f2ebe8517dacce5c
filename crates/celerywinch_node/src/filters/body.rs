//! The filter of the body.

use super::{Draft, Filter, Form, Rules};
use crate::http::Problem;

/// Wants the known fields and no others.
pub(super) const FILTER: Filter = Filter {
    name: "body",
    what: "Parses the body; unknown and missing fields are errors.",
    why: "A misspelt field that is passed over would run the job with another meaning.",
    example: r#"{"kind": "price-check", "deadline": 500, "tasks": [1]}"#,
    apply,
};

fn apply(draft: &mut Draft, _: &Rules) -> Result<(), Problem> {
    match serde_json::from_slice::<Form>(&draft.body) {
        Ok(form) => {
            draft.form = Some(form);
            Ok(())
        }
        Err(error) => Err(Problem::new(400, "body", "bad body")
            .field("body")
            .detail(&error.to_string())),
    }
}

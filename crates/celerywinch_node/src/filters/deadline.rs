//! The filter that checks the deadline.

use std::time::Duration;

use super::{Filter, FilterContext, SubmissionDraft};
use crate::http::Problem;

/// Requires a deadline within the kind's bounds.
pub(super) const FILTER: Filter = Filter {
    name: "deadline",
    description: "Requires a deadline within the bounds of the kind.",
    reason: "Work with too short a deadline is refused; too long a deadline occupies slots and memory.",
    rejected_example: r#""deadline_ms": 0"#,
    apply,
};

fn apply(draft: &mut SubmissionDraft, _: &FilterContext) -> Result<(), Problem> {
    let (Some(request), Some(kind)) = (&draft.request, &draft.kind) else {
        return Err(Problem::internal());
    };
    let deadline = Duration::from_millis(request.deadline_ms);
    if kind.min_deadline <= deadline && deadline <= kind.max_deadline {
        return Ok(());
    }
    Err(Problem::new(400, "deadline", "bad deadline")
        .field("deadline_ms")
        .detail(&format!(
            "found {}, wanted {} to {}",
            request.deadline_ms,
            kind.min_deadline.as_millis(),
            kind.max_deadline.as_millis()
        )))
}

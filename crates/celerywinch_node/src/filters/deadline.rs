//! The filter of the deadline.

use std::time::Duration;

use super::{Draft, Filter, Rules};
use crate::http::Problem;

/// Wants a deadline within the kind's bounds.
pub(super) const FILTER: Filter = Filter {
    name: "deadline",
    what: "Wants a deadline within the bounds of the kind.",
    why: "One that is too short is refused work, one that is too long holds slots and memory.",
    example: r#""deadline_ms": 0"#,
    apply,
};

fn apply(draft: &mut Draft, _: &Rules) -> Result<(), Problem> {
    let (Some(form), Some(kind)) = (&draft.form, &draft.kind) else {
        return Err(Problem::internal());
    };
    let deadline = Duration::from_millis(form.deadline_ms);
    if kind.min_deadline <= deadline && deadline <= kind.max_deadline {
        return Ok(());
    }
    Err(Problem::new(400, "deadline", "bad deadline")
        .field("deadline_ms")
        .detail(&format!(
            "found {}, wanted {} to {}",
            form.deadline_ms,
            kind.min_deadline.as_millis(),
            kind.max_deadline.as_millis()
        )))
}

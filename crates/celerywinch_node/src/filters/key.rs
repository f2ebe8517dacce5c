//! The filter that checks the idempotency key.

use celerywinch_types::Key;

use super::{Filter, FilterContext, SubmissionDraft};
use crate::http::Problem;

/// Requires a key that contains its creation time.
pub(super) const FILTER: Filter = Filter {
    name: "key",
    description: "Requires an `Idempotency-Key` that is a UUIDv7 or ends in `@` and Unix milliseconds.",
    reason: "The key makes a resubmission harmless, and its time limits how long it is recorded.",
    rejected_example: "Idempotency-Key: order-17",
    apply,
};

fn apply(draft: &mut SubmissionDraft, _: &FilterContext) -> Result<(), Problem> {
    let text = draft.key_header.as_deref().unwrap_or("");
    // The draft standard of the header specifies a quoted string; the bare form is equally common.
    let bare = text.trim().trim_matches('"');
    match Key::parse(bare) {
        Ok(key) => {
            draft.key = Some(key);
            Ok(())
        }
        Err(error) => Err(Problem::new(400, "key", "bad idempotency key")
            .field("Idempotency-Key")
            .detail(&error.to_string())),
    }
}

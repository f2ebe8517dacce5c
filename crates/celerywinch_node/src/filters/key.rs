//! The filter of the idempotency key.

use celerywinch_types::Key;

use super::{Draft, Filter, Rules};
use crate::http::Problem;

/// Wants a key that carries its time.
pub(super) const FILTER: Filter = Filter {
    name: "key",
    what: "Wants an `Idempotency-Key` that is a UUIDv7 or ends in `@` and Unix milliseconds.",
    why: "The key makes a resubmission harmless, and its time bounds how long it is remembered.",
    example: "Idempotency-Key: order-17",
    apply,
};

fn apply(draft: &mut Draft, _: &Rules) -> Result<(), Problem> {
    let text = draft.key_text.as_deref().unwrap_or("");
    // The draft of the header writes the key as a quoted string; the bare form is as common.
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

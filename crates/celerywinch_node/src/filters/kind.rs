//! The filter that checks the kind.

use super::{Filter, FilterContext, SubmissionDraft};
use crate::http::Problem;

/// Requires a kind that is in the catalogue.
pub(super) const FILTER: Filter = Filter {
    name: "kind",
    description: "Requires a kind that is in the catalogue.",
    reason: "The catalogue defines the class, the limits and whether the work is idempotent.",
    rejected_example: r#""kind": "price-chekc""#,
    apply,
};

fn apply(draft: &mut SubmissionDraft, context: &FilterContext) -> Result<(), Problem> {
    let name = draft.request.as_ref().map_or("", |request| &request.kind);
    match context.catalogue.kind(name) {
        Some(kind) => {
            draft.kind = Some(kind.clone());
            Ok(())
        }
        None => Err(Problem::new(404, "kind", "unknown kind")
            .field("kind")
            .detail(&format!(
                "found {name:?}, which is not in version {} of the catalogue",
                context.catalogue.version()
            ))),
    }
}

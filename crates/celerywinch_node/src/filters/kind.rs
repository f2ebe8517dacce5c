//! The filter of the kind.

use super::{Draft, Filter, Rules};
use crate::http::Problem;

/// Wants a kind of the catalogue.
pub(super) const FILTER: Filter = Filter {
    name: "kind",
    what: "Wants a kind that is in the catalogue.",
    why: "Class, limits and whether the work is idempotent come from there.",
    example: r#""kind": "price-chekc""#,
    apply,
};

fn apply(draft: &mut Draft, rules: &Rules) -> Result<(), Problem> {
    let name = draft.form.as_ref().map_or("", |form| &form.kind);
    match rules.catalogue.kind(name) {
        Some(kind) => {
            draft.kind = Some(kind.clone());
            Ok(())
        }
        None => Err(Problem::new(404, "kind", "unknown kind")
            .field("kind")
            .detail(&format!(
                "found {name:?}, which is not in version {} of the catalogue",
                rules.catalogue.version()
            ))),
    }
}

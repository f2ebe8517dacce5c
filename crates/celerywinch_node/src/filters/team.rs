//! The filter of the team.

use super::{Draft, Filter, Rules};
use crate::http::Problem;

/// Wants a team of the catalogue, or none.
pub(super) const FILTER: Filter = Filter {
    name: "team",
    what: "Wants a team that is in the catalogue, or none; without one there is no quota.",
    why: "A misspelt team would be served last, as one without a quota, and nobody would know why.",
    example: r#""team": "daelers""#,
    apply,
};

fn apply(draft: &mut Draft, rules: &Rules) -> Result<(), Problem> {
    let name = draft.form.as_ref().map_or("", |form| &form.team);
    if name.is_empty() || rules.catalogue.team(name).is_some() {
        return Ok(());
    }
    Err(Problem::new(404, "team", "unknown team")
        .field("team")
        .detail(&format!("found {name:?}, which is not in the catalogue")))
}

//! The filter that checks the team.

use super::{Filter, FilterContext, SubmissionDraft};
use crate::http::Problem;

/// Requires a team that is in the catalogue, or none.
pub(super) const FILTER: Filter = Filter {
    name: "team",
    description: "Requires a team that is in the catalogue, or none; without a team there is no quota.",
    reason: "Jobs of a misspelt team would be served last, like those without a quota, for no visible reason.",
    rejected_example: r#""team": "daelers""#,
    apply,
};

fn apply(draft: &mut SubmissionDraft, context: &FilterContext) -> Result<(), Problem> {
    let name = draft.request.as_ref().map_or("", |request| &request.team);
    if name.is_empty() || context.catalogue.team(name).is_some() {
        return Ok(());
    }
    Err(Problem::new(404, "team", "unknown team")
        .field("team")
        .detail(&format!("found {name:?}, which is not in the catalogue")))
}

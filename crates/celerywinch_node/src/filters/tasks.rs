//! The filter that checks the tasks.

use super::{Filter, FilterContext, SubmissionDraft};
use crate::http::Problem;

/// Requires that the number of tasks and their sizes are within the kind's limits.
pub(super) const FILTER: Filter = Filter {
    name: "tasks",
    description: "Requires 1 to `max_tasks` tasks, each of at most `max_body` bytes.",
    reason: "A single job of a million tasks would delay the jobs of all other callers.",
    rejected_example: r#""tasks": []"#,
    apply,
};

fn apply(draft: &mut SubmissionDraft, _: &FilterContext) -> Result<(), Problem> {
    let (Some(request), Some(kind)) = (&draft.request, &draft.kind) else {
        return Err(Problem::internal());
    };
    let problem = |detail: String| {
        let problem = Problem::new(400, "tasks", "bad tasks").field("tasks");
        Err(problem.detail(&detail))
    };
    let count = request.tasks.len();
    if count == 0 || count > kind.max_tasks {
        return problem(format!(
            "found {count} tasks, wanted 1 to {}",
            kind.max_tasks
        ));
    }
    let longest = request.tasks.iter().map(|task| task.get().len()).max();
    let longest = longest.unwrap_or(0);
    if longest > kind.max_body {
        return problem(format!(
            "found a task of {longest} bytes, wanted at most {}",
            kind.max_body
        ));
    }
    Ok(())
}

//! The filter of the tasks.

use super::{Draft, Filter, Rules};
use crate::http::Problem;

/// Wants as many tasks, and as long ones, as the kind allows.
pub(super) const FILTER: Filter = Filter {
    name: "tasks",
    what: "Wants 1 to `max_tasks` tasks, each of at most `max_body` bytes.",
    why: "One job of a million tasks would hold up everyone else's.",
    example: r#""tasks": []"#,
    apply,
};

fn apply(draft: &mut Draft, _: &Rules) -> Result<(), Problem> {
    let (Some(form), Some(kind)) = (&draft.form, &draft.kind) else {
        return Err(Problem::internal());
    };
    let problem = |detail: String| {
        let problem = Problem::new(400, "tasks", "bad tasks").field("tasks");
        Err(problem.detail(&detail))
    };
    let count = form.tasks.len();
    if count == 0 || count > kind.max_tasks {
        return problem(format!(
            "found {count} tasks, wanted 1 to {}",
            kind.max_tasks
        ));
    }
    let longest = form.tasks.iter().map(|task| task.get().len()).max();
    let longest = longest.unwrap_or(0);
    if longest > kind.max_body {
        return problem(format!(
            "found a task of {longest} bytes, wanted at most {}",
            kind.max_body
        ));
    }
    Ok(())
}

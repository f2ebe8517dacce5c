//! Refusals, and submissions that are repeated because a link was reset.

mod rig;

use celerywinch_pool::{Answer, RunEnd};
use celerywinch_types::{JobId, PriorRuns, StepOrder, TaskEnd};
use rig::{JOB, Rig, clock, ended_row, is_poll, is_start, lists, step, submission};
use rstest::rstest;

/// Time since the arrival of a job that cannot end in time unless it starts at once, in ms.
const LATE_AGE: u32 = 350;

/// A dispatcher without free capacity.
fn busy() -> Rig {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    let mut full = step(PriorRuns::None, 0);
    full.need = rig::CAPACITY;
    full.job = JobId(1);
    rig.submit(full);
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::Accepted(clock()));
    rig
}

/// Returns the first submission of a job that is refused unless it can start at once.
fn first_submission() -> StepOrder {
    let mut order = step(PriorRuns::None, 0);
    order.age = LATE_AGE;
    order.tasks[0].submission = submission(4);
    order.tasks[0].first_submission = submission(4);
    order
}

/// Returns the same tasks as they are submitted again after a reset of the link.
fn repeated_submission(first: u64) -> StepOrder {
    let mut order = first_submission();
    order.refusable = false;
    order.tasks[0].prior_runs = PriorRuns::Unknown;
    order.tasks[0].submission = submission(7);
    order.tasks[0].first_submission = submission(first);
    order
}

struct Repeated {
    /// Number of the first of the consecutive submissions to this dispatcher.
    first: u64,
    /// The submissions that are refused.
    refused: &'static [u64],
}

/// Guards against a false refusal ("not run"): a job whose refusal may have been lost is submitted again, and runs although
/// its caller gets the refusal. If no other dispatcher had it in between, the second submission is refused as well.
#[rstest]
#[case::only_here(Repeated { first: 4, refused: &[4, 7] })]
#[case::elsewhere_meanwhile(Repeated { first: 6, refused: &[4] })]
fn refusal_names_its_submission(#[case] case: Repeated) {
    let mut rig = busy();
    rig.submit(first_submission());
    rig.submit(repeated_submission(case.first));
    let refused = rig.ends.iter().zip(&rig.answered);
    let refused =
        refused.filter(|((task, end), _)| task.job == JOB && matches!(end, TaskEnd::Refused(_)));
    let refused: Vec<_> = refused.map(|(_, number)| *number).collect();
    let expected: Vec<_> = case.refused.iter().map(|n| submission(*n)).collect();
    assert_eq!(refused, expected);
}

/// Guards against a caller that waits until its deadline: the first submission arrives after the second one, and the end
/// of the task would be reported for a submission that its origin does not wait for any more.
#[rstest]
#[case::in_order([first_submission(), repeated_submission(4)])]
#[case::reversed([repeated_submission(4), first_submission()])]
fn end_answers_the_latest_submission(#[case] submissions: [StepOrder; 2]) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    for order in submissions {
        rig.submit(order);
    }
    // A task in doubt is started once any earlier run must have ended.
    rig.advance(1_500);
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::Accepted(clock()));
    let celerywinch_pool::Request::Start { task, run, .. } = start.request else {
        panic!("expected a start");
    };
    let poll = rig.last_call(is_poll);
    let mut end = ended_row(1, RunEnd::Done);
    (end.task, end.run) = (task, run);
    rig.answer(&poll, lists(Vec::new(), vec![end]));
    assert_eq!(rig.ends, [(task, TaskEnd::Done)]);
    assert_eq!(rig.answered, [submission(7)]);
}

//! Tests of jobs that are submitted while a dispatcher takes its workers over.

mod rig;

use celerywinch_pool::{Answer, Input};
use celerywinch_types::{Fence, PriorRuns};
use rig::{DOMAIN, Rig, is_poll, is_start, lists, step, worker_announcement};
use rstest::rstest;

/// Guards against refusing jobs after a restart of all processes although all workers are idle: workers that have not
/// answered the new dispatcher yet must count as capacity.
#[rstest]
#[case::worker_answers(lists(Vec::new(), Vec::new()), 1)]
#[case::worker_does_not_answer(Answer::NoAnswer, 0)]
fn job_waits_for_workers_being_taken_over(#[case] answer: Answer, #[case] starts: usize) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.handle(Input::Resign(DOMAIN));
    rig.handle(Input::Workers(vec![worker_announcement("w1", 1)]));
    rig.handle(Input::Acquire(DOMAIN, Fence(7 << 5)));
    rig.submit(step(PriorRuns::None, 0));
    assert_eq!(rig.ends, [], "job ended before the worker answered");
    let poll = rig.last_call(is_poll);
    rig.answer(&poll, answer);
    rig.advance(20);
    assert_eq!(rig.count_calls(is_start), starts);
}

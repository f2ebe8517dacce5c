//! Workers that start again under the name that they had.

mod rig;

use celerywinch_pool::{Answer, EndedRow, Input, Rejection, RunEnd, RunningRow};
use celerywinch_types::{
    AnnouncementVersion, Incarnation, JobId, PriorRuns, TaskEnd, TaskId, WorkerAnnouncement,
    WorkerStage,
};
use rig::{
    LATER_FENCE, Rig, clock, ended_row, is_look, is_start, lists, lists_of, running_row, step,
    task, worker_note,
};
use rstest::rstest;

const LATER_JOB: JobId = JobId(78);

/// The second life of the worker that the rig has.
fn second_life() -> WorkerAnnouncement {
    WorkerAnnouncement {
        version: AnnouncementVersion {
            incarnation: Incarnation(2),
            sequence: 1,
        },
        ..worker_note("w1", 1)
    }
}

/// A caller's task is done, and done again, up to six times: a worker crashes and starts again under its name. The numbers
/// of its ends start anew, and its dispatcher skips all that are not higher than the last one it has read. The run is
/// not listed as at work either, so it counts as cut, and the task is started again.
#[test]
fn ends_of_a_later_life_are_counted_anew() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::Accepted(clock()));
    let look = rig.last_call(is_look);
    rig.answer(&look, lists(Vec::new(), vec![ended_row(1, RunEnd::Done)]));
    assert_eq!(rig.ends, [(task(0), TaskEnd::Done)]);
    rig.handle(Input::Workers(vec![second_life()]));
    let look = rig.last_call(is_look);
    rig.answer(&look, lists(Vec::new(), Vec::new()));
    let mut order = step(PriorRuns::None, 0);
    order.job = LATER_JOB;
    rig.submit(order);
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::Accepted(clock()));
    let later = TaskId {
        job: LATER_JOB,
        ..task(0)
    };
    let first_end = EndedRow {
        task: later,
        ..ended_row(1, RunEnd::Done)
    };
    let starts = rig.count_calls(is_start);
    for _ in 0..10 {
        let look = rig.last_call(is_look);
        rig.answer(&look, lists(Vec::new(), vec![first_end]));
        rig.advance(20);
    }
    assert_eq!(rig.ends.last(), Some(&(later, TaskEnd::Done)));
    assert_eq!(rig.count_calls(is_start), starts, "it is not started again");
}

/// A caller's task waits for 0.9 s though its worker has ended and is back: what was at work in the earlier life is over as soon
/// as the later one lists what it has, not when a lease of the earlier one would be.
#[test]
fn runs_of_an_earlier_life_are_over_with_it() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::Accepted(clock()));
    let look = rig.last_call(is_look);
    rig.answer(&look, lists(vec![running_row(1)], Vec::new()));
    rig.handle(Input::Workers(vec![second_life()]));
    let look = rig.last_call(is_look);
    rig.answer(&look, lists(Vec::new(), Vec::new()));
    rig.advance(20);
    assert_eq!(rig.count_calls(is_start), 2, "started again at once");
}

/// An announcement and what the dispatcher heard before it.
struct Case {
    /// Life and number of what was heard first: that the worker is ready.
    first: (u64, u64),
    /// Life, number and stage of what is heard then.
    then: (u64, u64, WorkerStage),
    /// Whether the worker gets a task afterwards.
    works: bool,
}

fn said(incarnation: u64, sequence: u64, stage: WorkerStage) -> WorkerAnnouncement {
    WorkerAnnouncement {
        version: AnnouncementVersion {
            incarnation: Incarnation(incarnation),
            sequence,
        },
        stage,
        ..worker_note("w1", 1)
    }
}

/// A caller's task reaches a worker that has said that it leaves, as the dispatcher compares numbers of two lives of it; or
/// a worker that is back gets none, as what an earlier life has said counts against it.
#[rstest]
#[case::leaves(Case { first: (1, 20), then: (1, 21, WorkerStage::Draining), works: false })]
#[case::later_life_leaves(Case { first: (1, 20), then: (2, 3, WorkerStage::Draining), works: false })]
#[case::late_word_of_the_same_life(Case { first: (1, 20), then: (1, 3, WorkerStage::Draining), works: true })]
#[case::late_word_of_an_earlier_life(Case { first: (2, 3), then: (1, 20, WorkerStage::Draining), works: true })]
#[case::earlier_life_has_left(Case { first: (2, 3), then: (1, 20, WorkerStage::Gone), works: true })]
#[case::later_life_has_left(Case { first: (1, 20), then: (2, 3, WorkerStage::Gone), works: false })]
fn words_of_lives_are_told_apart(#[case] case: Case) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.handle(Input::Workers(vec![said(
        case.first.0,
        case.first.1,
        WorkerStage::Ready,
    )]));
    let (incarnation, sequence, stage) = case.then;
    rig.handle(Input::Workers(vec![said(incarnation, sequence, stage)]));
    let look = rig.last_call(is_look);
    rig.answer(&look, lists(Vec::new(), Vec::new()));
    rig.submit(step(PriorRuns::None, 0));
    assert_eq!(rig.count_calls(is_start) == 1, case.works);
}

/// A worker that has left and starts again gets no work for 30 s, though it serves and callers are refused.
#[test]
fn worker_that_has_left_may_come_back() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.handle(Input::Workers(vec![said(1, 9, WorkerStage::Gone)]));
    rig.handle(Input::Workers(vec![said(1, 8, WorkerStage::Ready)]));
    assert_eq!(
        rig.pool.known_workers(),
        0,
        "late word of the life that has left"
    );
    rig.handle(Input::Workers(vec![second_life()]));
    assert_eq!(rig.pool.known_workers(), 1);
}

/// A caller's task is given up though it is at work, or waits for a lease that cannot matter: a worker has started again, and its
/// dispatcher hears that first by an answer, before any announcement. The list is of the later life, so it says what is at work,
/// once it is asked under that life's own key.
#[rstest]
#[case::over(Vec::new(), 2)]
#[case::order_reached_the_later_life(vec![running_row(1)], 1)]
fn answer_tells_of_a_later_life(#[case] running: Vec<RunningRow>, #[case] starts: usize) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::Accepted(clock()));
    let looks = rig.count_calls(is_look);
    let look = rig.last_call(is_look);
    rig.answer(&look, lists_of(2, running.clone(), Vec::new()));
    assert_eq!(rig.count_calls(is_look), looks + 1, "asked anew");
    let look = rig.last_call(is_look);
    rig.answer(&look, lists_of(2, running, Vec::new()));
    rig.advance(20);
    assert_eq!(rig.count_calls(is_start), starts);
}

/// A caller's task reaches a worker that has said that it leaves, as the worker's clock was set back between two starts: the life
/// that leaves counts as the earlier one. What the worker itself answers shows which life is there.
#[rstest]
#[case::clock_set_back(1, 0)]
#[case::held_up_on_its_way(2, 1)]
fn worker_shows_which_life_is_there(#[case] answers: u64, #[case] starts: usize) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.handle(Input::Workers(vec![said(2, 20, WorkerStage::Ready)]));
    let look = rig.last_call(is_look);
    rig.answer(&look, lists_of(2, Vec::new(), Vec::new()));
    rig.handle(Input::Workers(vec![said(1, 3, WorkerStage::Draining)]));
    for _ in 0..2 {
        let look = rig.last_call(is_look);
        rig.answer(&look, lists_of(answers, Vec::new(), Vec::new()));
    }
    // Another keeper tells of all that it knows.
    rig.handle(Input::Workers(vec![said(2, 19, WorkerStage::Ready)]));
    for _ in 0..2 {
        let look = rig.last_call(is_look);
        rig.answer(&look, lists_of(answers, Vec::new(), Vec::new()));
    }
    rig.submit(step(PriorRuns::None, 0));
    assert_eq!(rig.count_calls(is_start), starts);
}

/// A caller's task runs twice: an answer to an order of the earlier life comes late, and its clock counts as the later one's.
#[test]
fn answers_of_an_earlier_life_count_for_nothing() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let start = rig.last_call(is_start);
    rig.handle(Input::Workers(vec![second_life()]));
    rig.answer(&start, Answer::Rejected(Rejection::StaleFence, None));
    assert_eq!(rig.fenced, 0, "nobody has taken the domain over");
    assert_eq!(
        rig.count_calls(is_start),
        1,
        "not before the later life has shown its list"
    );
    let look = rig.last_call(is_look);
    rig.answer(&look, lists_of(2, Vec::new(), Vec::new()));
    rig.advance(20);
    assert_eq!(rig.count_calls(is_start), 2);
}

/// A caller's task runs twice: an order gets no answer, its worker crashes and starts again, the task is started elsewhere, and
/// seconds later the order reaches the later life, which has seen no fencing token and obeys. So a life is looked at under a
/// higher token than any that an earlier one was called under.
#[test]
fn orders_of_an_earlier_life_are_fenced_off() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let mut highest = rig.last_call(is_start).fence;
    for life in 2..8 {
        rig.handle(Input::Workers(vec![said(life, 1, WorkerStage::Ready)]));
        let look = rig.last_call(is_look);
        assert!(look.fence > highest, "life {life}");
        rig.answer(&look, lists_of(life, Vec::new(), Vec::new()));
        rig.advance(20);
        highest = rig.last_call(is_start).fence;
    }
    assert!(
        highest < LATER_FENCE.for_incarnation(0),
        "a successor's token is higher"
    );
}

/// A caller's task reaches a worker that leaves: its clock was set back, so the life that is there counts as an earlier one, and what
/// a life that is long over had said comes late and takes the place of its notice.
#[test]
fn words_of_several_lives_are_kept_apart() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.handle(Input::Workers(vec![said(9, 20, WorkerStage::Ready)]));
    rig.handle(Input::Workers(vec![said(2, 3, WorkerStage::Draining)]));
    rig.handle(Input::Workers(vec![said(5, 30, WorkerStage::Ready)]));
    // Each list is of another life than the one that is known by then.
    for life in [5, 9, 2, 2] {
        let look = rig.last_call(is_look);
        rig.answer(&look, lists_of(life, Vec::new(), Vec::new()));
    }
    rig.submit(step(PriorRuns::None, 0));
    assert_eq!(rig.count_calls(is_start), 0);
}

/// A caller's task runs twice, or a worker is overloaded: a worker leaves with an order on its way that got no answer, and starts again
/// under its name. Its dispatcher had forgotten it with the life that left, and calls the later one under the token of before, so
/// that it obeys the order.
#[test]
fn orders_of_a_life_that_has_left_are_fenced_off() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::Accepted(clock()));
    let look = rig.last_call(is_look);
    rig.answer(&look, lists(Vec::new(), vec![ended_row(1, RunEnd::Done)]));
    rig.handle(Input::Workers(vec![said(1, 9, WorkerStage::Gone)]));
    assert_eq!(rig.pool.known_workers(), 0);
    rig.handle(Input::Workers(vec![second_life()]));
    assert!(rig.last_call(is_look).fence > start.fence);
}

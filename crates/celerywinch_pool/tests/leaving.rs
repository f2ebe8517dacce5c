//! Tests of tasks on workers that announce that they leave.

mod rig;

use celerywinch_pool::{Answer, Input, RunEnd};
use celerywinch_types::{PriorRuns, WorkerAnnouncement, WorkerStage};
use rig::{
    Rig, clock, ended_row, is_poll, is_start, lists, running_row, step, worker_announcement,
};
use rstest::rstest;

/// What a worker does after it has announced that it leaves.
#[derive(Clone, Copy)]
enum AfterNotice {
    /// It keeps running, since the acknowledgement was lost.
    KeepsRunning,
    /// It stops answering.
    StopsAnswering,
    /// It ends its runs first and lists their ends.
    ListsEnds,
}

impl AfterNotice {
    fn answer(self) -> Answer {
        match self {
            Self::KeepsRunning => lists(vec![running_row(1)], Vec::new()),
            Self::StopsAnswering => Answer::NoAnswer,
            Self::ListsEnds => lists(Vec::new(), vec![ended_row(1, RunEnd::Interrupted)]),
        }
    }
}

struct Case {
    then: AfterNotice,
    /// The number of starts of the task 400 ms and 900 ms after the worker's announcement.
    starts: [usize; 2],
}

fn gone(id: &str, port: u16) -> WorkerAnnouncement {
    WorkerAnnouncement {
        stage: WorkerStage::Gone,
        ..worker_announcement(id, port)
    }
}

/// Lets `ms` milliseconds pass and answers the polls of the leaving worker.
fn pass(rig: &mut Rig, then: AfterNotice, ms: u64) {
    let mut answered = Vec::new();
    for _ in 0..ms / 20 {
        let polls = rig.calls.iter();
        let open = polls.filter(|call| call.worker == "w1" && is_poll(&call.request));
        let open: Vec<_> = open.cloned().collect();
        for poll in open {
            if !answered.contains(&poll.key) {
                answered.push(poll.key);
                rig.answer(&poll, then.answer());
            }
        }
        rig.advance(20);
    }
}

/// Guards against running a task twice: a worker announces that it leaves, the acknowledgement is lost, and the worker
/// runs for seconds more, while its dispatcher starts the task elsewhere at once. The announcement does not show that
/// the runs have ended: only the worker's list or the end of its lease does.
#[rstest]
#[case::acknowledgement_lost(Case { then: AfterNotice::KeepsRunning, starts: [1, 1] })]
#[case::silent(Case { then: AfterNotice::StopsAnswering, starts: [1, 2] })]
#[case::ended_before(Case { then: AfterNotice::ListsEnds, starts: [2, 2] })]
fn task_of_a_leaving_worker_waits_for_the_end_of_its_run(#[case] case: Case) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::Accepted(clock()));
    rig.handle(Input::Workers(vec![worker_announcement("w2", 2)]));
    let other = rig.last_call(is_poll);
    rig.answer(&other, lists(Vec::new(), Vec::new()));
    rig.handle(Input::Workers(vec![gone("w1", 1)]));
    pass(&mut rig, case.then, 400);
    let early = rig.count_calls(is_start);
    pass(&mut rig, case.then, 500);
    assert_eq!([early, rig.count_calls(is_start)], case.starts);
}

/// Guards against workers that stay in the list for ever after they have left, and count among the workers
/// that are divided into shards.
#[rstest]
#[case::idle(false)]
#[case::busy(true)]
fn worker_that_has_left_is_removed(#[case] busy: bool) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    if busy {
        rig.submit(step(PriorRuns::None, 0));
        let start = rig.last_call(is_start);
        rig.answer(&start, Answer::Accepted(clock()));
    }
    rig.handle(Input::Workers(vec![gone("w1", 1)]));
    pass(&mut rig, AfterNotice::StopsAnswering, 900);
    assert_eq!(rig.pool.known_workers(), 0);
}

/// Guards against sending tasks to a worker that has left. One keeper has reported that it left, and another one, which
/// last heard of it while it was ready, sends all that it knows when its connection is opened again. If the worker
/// still runs, it would get tasks; if not, it would be called for 20 s without an answer.
#[rstest]
#[case::known_before(true)]
#[case::first_announced_as_gone(false)]
fn worker_that_has_left_is_not_added_again(#[case] known: bool) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    if known {
        rig.handle(Input::Workers(vec![worker_announcement("w2", 2)]));
        let poll = rig.last_call(is_poll);
        rig.answer(&poll, lists(Vec::new(), Vec::new()));
    }
    rig.handle(Input::Workers(vec![gone("w2", 2)]));
    rig.advance(15_000);
    rig.handle(Input::Workers(vec![worker_announcement("w2", 2)]));
    assert_eq!(rig.pool.known_workers(), 1, "only w1 is known");
}

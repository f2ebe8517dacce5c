//! Tasks of workers that say that they leave.

mod rig;

use celerywinch_pool::{Answer, Input, RunEnd};
use celerywinch_types::{PriorRuns, WorkerAnnouncement, WorkerStage};
use rig::{Rig, clock, ended_row, is_look, is_start, lists, running_row, step, worker_note};
use rstest::rstest;

/// What a worker does after it has said that it leaves.
#[derive(Clone, Copy)]
enum Then {
    /// It goes on: the acknowledgement was lost.
    Works,
    /// It ends.
    Silent,
    /// It ends its runs first, and lists them.
    Ends,
}

impl Then {
    fn answer(self) -> Answer {
        match self {
            Self::Works => lists(vec![running_row(1)], Vec::new()),
            Self::Silent => Answer::NoAnswer,
            Self::Ends => lists(Vec::new(), vec![ended_row(1, RunEnd::Interrupted)]),
        }
    }
}

struct Case {
    then: Then,
    /// How often the task was started 400 ms and 900 ms after the worker's last word.
    starts: [usize; 2],
}

fn gone(id: &str, port: u16) -> WorkerAnnouncement {
    WorkerAnnouncement {
        stage: WorkerStage::Gone,
        ..worker_note(id, port)
    }
}

/// Answers the looks at the worker that leaves, for so many ms.
fn pass(rig: &mut Rig, then: Then, ms: u64) {
    let mut answered = Vec::new();
    for _ in 0..ms / 20 {
        let looks = rig.calls.iter();
        let open = looks.filter(|call| call.worker == "w1" && is_look(&call.request));
        let open: Vec<_> = open.cloned().collect();
        for look in open {
            if !answered.contains(&look.key) {
                answered.push(look.key);
                rig.answer(&look, then.answer());
            }
        }
        rig.advance(20);
    }
}

/// A caller's task runs twice: a worker says that it leaves, the acknowledgement is lost on its way back, and the
/// worker goes on for seconds, while its dispatcher has heard of it and starts the task elsewhere at once.
/// That a worker leaves does not show that it has ended what it runs: its list does, or the end of its lease.
#[rstest]
#[case::acknowledgement_lost(Case { then: Then::Works, starts: [1, 1] })]
#[case::silent(Case { then: Then::Silent, starts: [1, 2] })]
#[case::ended_before(Case { then: Then::Ends, starts: [2, 2] })]
fn task_of_a_worker_that_leaves_waits_for_its_end(#[case] case: Case) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::Accepted(clock()));
    rig.handle(Input::Workers(vec![worker_note("w2", 2)]));
    let other = rig.last_call(is_look);
    rig.answer(&other, lists(Vec::new(), Vec::new()));
    rig.handle(Input::Workers(vec![gone("w1", 1)]));
    pass(&mut rig, case.then, 400);
    let early = rig.count_calls(is_start);
    pass(&mut rig, case.then, 500);
    assert_eq!([early, rig.count_calls(is_start)], case.starts);
}

/// A worker that has left stays in the list for ever, and counts among those that are divided.
#[rstest]
#[case::idle(false)]
#[case::at_work(true)]
fn worker_that_has_left_is_forgotten(#[case] busy: bool) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    if busy {
        rig.submit(step(PriorRuns::None, 0));
        let start = rig.last_call(is_start);
        rig.answer(&start, Answer::Accepted(clock()));
    }
    rig.handle(Input::Workers(vec![gone("w1", 1)]));
    pass(&mut rig, Then::Silent, 900);
    assert_eq!(rig.pool.known_workers(), 0);
}

/// A worker that drains gets work again: it has left by what one keeper was told, and another one, which heard it last
/// while it was ready, tells of all that it knows when its link is opened anew. If the worker still serves, it
/// is used; if not, it is called for 20 s in vain.
#[rstest]
#[case::known_before(true)]
#[case::first_heard_of_as_gone(false)]
fn worker_that_has_left_is_not_brought_back(#[case] known: bool) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    if known {
        rig.handle(Input::Workers(vec![worker_note("w2", 2)]));
        let look = rig.last_call(is_look);
        rig.answer(&look, lists(Vec::new(), Vec::new()));
    }
    rig.handle(Input::Workers(vec![gone("w2", 2)]));
    rig.advance(15_000);
    rig.handle(Input::Workers(vec![worker_note("w2", 2)]));
    assert_eq!(rig.pool.known_workers(), 1, "w1 alone");
}

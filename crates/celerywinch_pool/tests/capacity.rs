//! Workers whose capacity shrinks and grows while they run.

mod rig;

use celerywinch_pool::{Answer, Input, RunEnd};
use celerywinch_types::{AnnouncementVersion, JobId, PriorRuns, Resources, WorkerAnnouncement};
use rig::{
    DOMAIN, Rig, clock, ended_row, is_look, is_start, is_stop, lists, running_row, step,
    worker_note,
};
use rstest::rstest;

/// Room for one of the rig's tasks, and for two.
const ONE: Resources = Resources {
    cpu: 16_000,
    memory: 65_536,
    accelerators: 0,
};
const TWO: Resources = Resources { cpu: 32_000, ..ONE };
const NONE: Resources = Resources { cpu: 4_000, ..ONE };

struct Case {
    /// What the worker says that it has, one after the other; two tasks fit at first.
    rooms: &'static [Resources],
    /// How many of three tasks are started then, with none at work before, and with one.
    starts: [usize; 2],
}

fn says(rig: &mut Rig, number: u64, room: Resources) {
    let first = worker_note("w1", 1);
    let said = AnnouncementVersion {
        sequence: first.version.sequence + number,
        ..first.version
    };
    rig.handle(Input::Workers(vec![WorkerAnnouncement {
        version: said,
        capacity: room,
        ..first
    }]));
}

fn submit(rig: &mut Rig, jobs: std::ops::Range<u64>) {
    for job in jobs {
        let mut order = step(PriorRuns::None, 0);
        order.job = JobId(job);
        // Something of it has run, so it waits where it finds no room.
        order.refusable = false;
        rig.submit(order);
    }
}

/// A worker that does not guard its room is overloaded, and all that runs there with it: its room has shrunk while it ran, and
/// the dispatcher goes on counting from the one it had at first. What is at work and what is being stopped counts; when the room
/// grows again it is used.
#[rstest]
#[case::same(Case { rooms: &[TWO], starts: [2, 2] })]
#[case::shrinks(Case { rooms: &[ONE], starts: [1, 1] })]
#[case::shrinks_below_what_is_at_work(Case { rooms: &[NONE], starts: [0, 1] })]
#[case::shrinks_and_grows(Case { rooms: &[NONE, TWO], starts: [2, 2] })]
fn room_that_a_worker_tells_of_bounds_what_is_sent(
    #[case] case: Case,
    #[values(false, true)] busy: bool,
) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    if busy {
        submit(&mut rig, 77..78);
        let start = rig.last_call(is_start);
        rig.answer(&start, Answer::Accepted(clock()));
    }
    for (room, number) in case.rooms.iter().zip(1..) {
        says(&mut rig, number, *room);
    }
    submit(&mut rig, 78..81);
    assert_eq!(rig.count_calls(is_start), case.starts[usize::from(busy)]);
    assert_eq!(rig.count_calls(is_stop), 0, "nothing is ended for it");
}

/// Room comes back within one announcement, and the task that waited is started without another cause.
#[test]
fn room_that_grows_is_used_at_once() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    says(&mut rig, 1, NONE);
    assert_eq!(rig.pool.load(rig.now, DOMAIN).free, 0, "nothing is offered");
    submit(&mut rig, 77..78);
    assert_eq!(rig.count_calls(is_start), 0);
    says(&mut rig, 2, ONE);
    assert_eq!(rig.count_calls(is_start), 1);
}

/// A run that is being stopped holds its room until its end is listed, also after the room has shrunk: the sums stay right.
#[test]
fn what_is_being_stopped_counts() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::Accepted(clock()));
    says(&mut rig, 1, ONE);
    let look = rig.last_call(is_look);
    let cancel = celerywinch_types::WorkMsg::Cancel {
        job: rig::JOB,
        last_submission: u32::MAX,
    };
    rig.handle(Input::Work(rig::ORIGIN, cancel));
    assert_eq!(rig.count_calls(is_stop), 1);
    // From here on only its room keeps others away.
    let stop = rig.last_call(is_stop);
    rig.answer(&stop, Answer::Accepted(clock()));
    submit(&mut rig, 80..81);
    assert_eq!(rig.count_calls(is_start), 1, "the first one is still there");
    rig.answer(&look, lists(vec![running_row(1)], Vec::new()));
    assert_eq!(rig.count_calls(is_start), 1);
    let look = rig.last_call(is_look);
    rig.answer(
        &look,
        lists(Vec::new(), vec![ended_row(1, RunEnd::Interrupted)]),
    );
    assert_eq!(rig.count_calls(is_start), 2);
    submit(&mut rig, 81..82);
    assert_eq!(rig.count_calls(is_start), 2, "one fits, and one is there");
}

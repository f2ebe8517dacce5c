//! Workers whose capacity changes while they run tasks.

mod rig;

use celerywinch_pool::{Answer, Input, RunEnd};
use celerywinch_types::{
    AnnouncementVersion, JobId, PriorRuns, Resources, SubmissionNumber, WorkerAnnouncement,
};
use rig::{
    DOMAIN, Rig, clock, ended_row, is_poll, is_start, is_stop, lists, running_row, step,
    worker_announcement,
};
use rstest::rstest;

/// Capacity for one of the rig's tasks; `TWO` has capacity for two, `NONE` for none.
const ONE: Resources = Resources {
    cpu: 16_000,
    memory: 65_536,
    accelerators: 0,
};
const TWO: Resources = Resources { cpu: 32_000, ..ONE };
const NONE: Resources = Resources { cpu: 4_000, ..ONE };

struct Case {
    /// The capacities that the worker announces in turn; two tasks fit at first.
    capacities: &'static [Resources],
    /// Number of tasks started in all: with no task running before the three that are submitted, and with one.
    starts: [usize; 2],
}

fn announce(rig: &mut Rig, sequence: u64, capacity: Resources) {
    let first = worker_announcement("w1", 1);
    let version = AnnouncementVersion {
        sequence: first.version.sequence + sequence,
        ..first.version
    };
    rig.handle(Input::Workers(vec![WorkerAnnouncement {
        version,
        capacity,
        ..first
    }]));
}

fn submit(rig: &mut Rig, jobs: std::ops::Range<u64>) {
    for job in jobs {
        let mut order = step(PriorRuns::None, 0);
        order.job = JobId(job);
        // Part of the job may have run, so it waits instead of being refused.
        order.refusable = false;
        rig.submit(order);
    }
}

/// Guards against overloading a worker whose capacity has shrunk: the dispatcher kept counting from the first announced capacity,
/// and a worker that does not enforce its capacity was overloaded with all of its runs. Running tasks and those being stopped
/// count; capacity that grows again is used.
#[rstest]
#[case::same(Case { capacities: &[TWO], starts: [2, 2] })]
#[case::shrinks(Case { capacities: &[ONE], starts: [1, 1] })]
#[case::shrinks_below_running_tasks(Case { capacities: &[NONE], starts: [0, 1] })]
#[case::shrinks_and_grows(Case { capacities: &[NONE, TWO], starts: [2, 2] })]
fn announced_capacity_bounds_the_started_tasks(
    #[case] case: Case,
    #[values(false, true)] busy: bool,
) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    if busy {
        submit(&mut rig, 77..78);
        let start = rig.last_call(is_start);
        rig.answer(&start, Answer::Accepted(clock()));
    }
    for (capacity, sequence) in case.capacities.iter().zip(1..) {
        announce(&mut rig, sequence, *capacity);
    }
    submit(&mut rig, 78..81);
    assert_eq!(rig.count_calls(is_start), case.starts[usize::from(busy)]);
    assert_eq!(rig.count_calls(is_stop), 0, "no run is stopped for it");
}

/// Guards against leaving announced capacity unused: a waiting task starts with the announcement, without any other input.
#[test]
fn grown_capacity_is_used_at_once() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    announce(&mut rig, 1, NONE);
    assert_eq!(
        rig.pool.load(rig.now, DOMAIN).free,
        0,
        "no free capacity is reported"
    );
    submit(&mut rig, 77..78);
    assert_eq!(rig.count_calls(is_start), 0);
    announce(&mut rig, 2, ONE);
    assert_eq!(rig.count_calls(is_start), 1);
}

/// Guards against freeing the capacity of a run that is being stopped before its end is listed, also after the worker's capacity
/// has shrunk.
#[test]
fn run_that_is_being_stopped_holds_its_capacity() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::Accepted(clock()));
    announce(&mut rig, 1, ONE);
    let poll = rig.last_call(is_poll);
    let cancel = celerywinch_types::WorkMsg::Cancel {
        job: rig::JOB,
        last_submission: SubmissionNumber::LAST,
    };
    rig.handle(Input::Work(rig::ORIGIN, cancel));
    assert_eq!(rig.count_calls(is_stop), 1);
    // From here on, only its reserved capacity prevents other starts.
    let stop = rig.last_call(is_stop);
    rig.answer(&stop, Answer::Accepted(clock()));
    submit(&mut rig, 80..81);
    assert_eq!(rig.count_calls(is_start), 1, "the first run has not ended");
    rig.answer(&poll, lists(vec![running_row(1)], Vec::new()));
    assert_eq!(rig.count_calls(is_start), 1);
    let poll = rig.last_call(is_poll);
    rig.answer(
        &poll,
        lists(Vec::new(), vec![ended_row(1, RunEnd::Interrupted)]),
    );
    assert_eq!(rig.count_calls(is_start), 2);
    submit(&mut rig, 81..82);
    assert_eq!(rig.count_calls(is_start), 2, "one fits, and one is running");
}

//! When a successor starts what a lost dispatcher may have started last.

mod rig;

use std::time::Duration;

use celerywinch_pool::{Grant, Input, Request};
use celerywinch_types::{Incarnation, InstanceId, PriorRuns, Session, WorkMsg};
use rig::{Rig, clock, is_start, step};
use rstest::rstest;

const REMOTE: InstanceId = InstanceId(5);
/// A grant ends so many ms after the last heartbeat that its origin has heard, as heartbeats are read.
const GRANT: u64 = 500;
/// A silent dispatcher counts as lost so many ms after that at the earliest.
const SILENCE: u64 = 350;
/// So many ms before the last heartbeat the clock of a worker was read at the earliest; the dispatcher starts nothing
/// on one whose clock was read longer ago.
const OLDEST: u64 = 4_000;
/// How fast the slowest clock of a worker runs.
const SLOWEST: f64 = 0.98;

struct Case {
    /// How long before the last heartbeat the clock of the worker was read, in ms.
    idle: u64,
    /// When the origin hands the task in to the successor, in ms after that heartbeat.
    lost: u64,
}

/// Ms after the last heartbeat at which a run is over that is started as late as the grant allows.
fn last_end(idle: u64) -> f64 {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    let read = rig.now;
    rig.advance(idle);
    let until = rig.now + Duration::from_millis(GRANT);
    let grant = Grant {
        incarnation: Incarnation(1),
        session: Session(0),
        until,
    };
    rig.handle(Input::Granted(REMOTE, grant));
    let late = GRANT - 10;
    rig.advance(late);
    let mut order = step(PriorRuns::None, 0);
    order.refusable = false;
    rig.handle(Input::Work(REMOTE, WorkMsg::Submit(order)));
    let Request::Start { deadline, .. } = rig.last_call(is_start).request else {
        panic!("a start");
    };
    let passed = rig.now.since(read).as_secs_f64() * 1e3;
    let worker = clock().0 as f64 + passed * SLOWEST;
    let lease = deadline.0 as f64 - worker;
    late as f64 + lease / SLOWEST
}

/// Ms after it was handed in at which a successor starts a task of which it finds nothing.
fn first_start() -> u64 {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::Unknown, 7));
    let mut ms = 0;
    while rig.count_calls(is_start) == 0 {
        rig.advance(10);
        ms += 10;
    }
    ms
}

/// A task runs twice: its dispatcher is cut off from the origin and from the successor, but not from a worker that
/// the successor does not reach, and starts the task there as the grant is about to end. The successor has to
/// wait for the end of that lease: also where the worker's clock was read long ago and is slow, so that the
/// lease is longer than asked for, and where the cut refuses connections, so that the origin waits for no silence.
#[rstest]
#[case::silent(Case { idle: 0, lost: SILENCE })]
#[case::silent_and_the_clock_read_long_ago(Case { idle: OLDEST, lost: SILENCE })]
#[case::refused(Case { idle: 0, lost: 0 })]
#[case::refused_and_the_clock_read_long_ago(Case { idle: OLDEST, lost: 0 })]
fn successor_waits_for_the_end_of_the_last_run(#[case] case: Case) {
    let end = last_end(case.idle);
    let start = case.lost + first_start();
    assert!(
        start as f64 >= end,
        "started at {start}, over at {end:.0} ms"
    );
}

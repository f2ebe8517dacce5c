//! When a successor starts a task that a lost dispatcher may have started.

mod rig;

use std::time::Duration;

use celerywinch_pool::{Grant, Input, Request};
use celerywinch_types::{Incarnation, InstanceId, PriorRuns, Session, WorkMsg};
use rig::{Rig, clock, is_start, step};
use rstest::rstest;

const REMOTE: InstanceId = InstanceId(5);
/// A grant expires this many ms after the last heartbeat that its origin has received.
const GRANT_MS: u64 = 500;
/// A silent dispatcher counts as lost this many ms after that heartbeat at the earliest.
const SILENCE_MS: u64 = 350;
/// The earliest reading of a worker's clock, in ms before the last heartbeat. The dispatcher starts nothing on a worker
/// whose clock was read longer ago.
const MAX_READING_AGE_MS: u64 = 4_000;
/// Rate of the slowest worker clock.
const SLOWEST_CLOCK_RATE: f64 = 0.98;

struct Case {
    /// Time from the reading of the worker's clock to the last heartbeat, in ms.
    idle_ms: u64,
    /// Time from that heartbeat to the submission of the task to the successor, in ms.
    lost_ms: u64,
}

/// Returns the time from the last heartbeat to the end of the lease of a run that starts as late as the grant allows, in ms.
fn last_lease_end(idle_ms: u64) -> f64 {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    let read = rig.now;
    rig.advance(idle_ms);
    let until = rig.now + Duration::from_millis(GRANT_MS);
    let grant = Grant {
        incarnation: Incarnation(1),
        session: Session(0),
        until,
    };
    rig.handle(Input::Granted(REMOTE, grant));
    let late = GRANT_MS - 10;
    rig.advance(late);
    let mut order = step(PriorRuns::None, 0);
    order.refusable = false;
    rig.handle(Input::Work(REMOTE, WorkMsg::Submit(order)));
    let Request::Start { deadline, .. } = rig.last_call(is_start).request else {
        panic!("a start");
    };
    let passed = rig.now.since(read).as_secs_f64() * 1e3;
    let worker = clock().0 as f64 + passed * SLOWEST_CLOCK_RATE;
    let lease = deadline.0 as f64 - worker;
    late as f64 + lease / SLOWEST_CLOCK_RATE
}

/// Returns the time from the submission of a task to its start by a successor that finds no run of it, in ms.
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

/// Guards against a second run of a task. Its dispatcher is cut off from the origin and the successor, but not from a worker that
/// the successor cannot reach, and starts the task there just before the grant expires. The successor must wait until
/// that lease ends, also where the worker's clock is slow and was read long ago, so that the lease lasts longer than
/// requested, and where the network cut refuses connections, so that the origin does not wait for a silence.
#[rstest]
#[case::silent(Case { idle_ms: 0, lost_ms: SILENCE_MS })]
#[case::silent_and_the_clock_read_long_ago(Case { idle_ms: MAX_READING_AGE_MS, lost_ms: SILENCE_MS })]
#[case::refused(Case { idle_ms: 0, lost_ms: 0 })]
#[case::refused_and_the_clock_read_long_ago(Case { idle_ms: MAX_READING_AGE_MS, lost_ms: 0 })]
fn successor_waits_for_the_end_of_the_last_run(#[case] case: Case) {
    let end = last_lease_end(case.idle_ms);
    let start = case.lost_ms + first_start();
    assert!(
        start as f64 >= end,
        "started at {start} ms, lease ends at {end:.0} ms"
    );
}

//! Tests of workers that do not answer after a long idle time.

mod rig;

use std::time::Duration;

use celerywinch_pool::{Answer, Input};
use celerywinch_types::{Fence, PriorRuns};
use rig::{DOMAIN, Rig, is_poll, is_start, lists, step, worker_announcement};
use rstest::rstest;

/// The longest duration of a lease of 800 ms on a worker that was polled recently, plus 20 ms for the tick, in ms.
const LEASE_EXPIRED_MS: u64 = 970;

/// An id that no worker has.
const NO_WORKER: &str = "";

/// Returns a dispatcher with two workers.
fn two_workers() -> Rig {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.handle(Input::Workers(vec![worker_announcement("w2", 2)]));
    let poll = rig.last_call(is_poll);
    rig.answer(&poll, lists(Vec::new(), Vec::new()));
    rig
}

/// Answers all polls sent so far. No call to the worker `silent` gets an answer.
fn answer_all(rig: &mut Rig, silent: &str) {
    for call in rig.calls.clone() {
        if call.worker == silent {
            rig.answer(&call, Answer::NoAnswer);
        } else if is_poll(&call.request) {
            rig.answer(&call, lists(Vec::new(), Vec::new()));
        }
    }
}

/// Lets `ms` milliseconds pass while the worker `silent` does not answer.
fn pass(rig: &mut Rig, ms: u64, silent: &str) {
    for _ in 0..ms / 10 {
        rig.advance(10);
        answer_all(rig, silent);
    }
}

/// Starts a task after an idle time and lets its worker miss all calls for `missed_ms` after that.
fn start_and_miss(rig: &mut Rig, idle_ms: u64, missed_ms: u64) {
    pass(rig, idle_ms, NO_WORKER);
    rig.submit(step(PriorRuns::None, 0));
    let worker = rig.last_call(is_start).worker;
    rig.advance(60);
    pass(rig, missed_ms - 60, &worker);
}

/// Guards against running a task twice: a worker was idle for longer than unresponsive workers are kept. It gets a task
/// and starts it, but its answer is late because the dispatcher's connection is congested. A dispatcher that counted
/// from the last contact removed the worker with its run and started the task elsewhere 60 ms after the first start.
/// Only the end of the lease shows that the first run is over.
#[rstest]
#[case::recent_contact(0)]
#[case::idle_for_less_than_the_removal_time(15_000)]
#[case::idle_for_longer(25_000)]
#[case::idle_for_minutes(200_000)]
fn run_on_a_silent_worker_counts_as_active_until_its_lease_expires(#[case] idle_ms: u64) {
    let mut rig = two_workers();
    start_and_miss(&mut rig, idle_ms, 760);
    assert_eq!(rig.count_calls(is_start), 1, "the first run may be active");
}

/// Guards against a lease that is assumed to last 4 s longer: the worker of a task was idle for minutes and crashes,
/// and its clock may have lost 2% of the time since the last reading, from which the lease was counted. Meanwhile the
/// caller waits, and no other dispatcher may start the task either: the time that they wait for the leases of a lost
/// dispatcher would not suffice.
#[rstest]
#[case::recent_contact(0)]
#[case::idle_for_some_seconds(15_000)]
#[case::idle_for_minutes(200_000)]
fn lease_on_an_idle_worker_expires_no_later_than_others(#[case] idle_ms: u64) {
    let mut rig = two_workers();
    start_and_miss(&mut rig, idle_ms, LEASE_EXPIRED_MS);
    assert_eq!(rig.count_calls(is_start), 2, "its lease has expired");
}

/// Guards against refusing callers while workers are idle: a dispatcher takes over workers that it has known for a long
/// time and never called. If each whose first answer is late were removed, it would never learn of it again, since
/// workers announce only changes.
#[rstest]
#[case::known_briefly(0)]
#[case::known_for_long(25_000)]
fn worker_whose_first_answer_is_missed_is_polled_again(#[case] known_ms: u64) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.handle(Input::Resign(DOMAIN));
    rig.advance(known_ms);
    rig.handle(Input::Acquire(DOMAIN, Fence(7 << 5)));
    pass(&mut rig, 100, "w1");
    pass(&mut rig, 400, NO_WORKER);
    rig.submit(step(PriorRuns::None, 0));
    assert_eq!(rig.count_calls(is_start), 1);
}

/// Guards against refusing callers while all workers are idle: they were taken over at the same time and are polled
/// again after the same interval. A process with an eighth of a core that stalls for 100 ms at that moment would
/// consider all of them silent at once. So polls of idle workers are spread over time.
#[test]
fn polls_of_idle_workers_are_spread_over_time() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.handle(Input::Resign(DOMAIN));
    let others = (2..=40).map(|port| worker_announcement(&format!("w{port}"), port));
    rig.handle(Input::Workers(others.collect()));
    rig.handle(Input::Acquire(DOMAIN, Fence(7 << 5)));
    pass(&mut rig, 1_000, NO_WORKER);
    let mut most = 0;
    for _ in 0..90 {
        let before = rig.count_calls(is_poll);
        pass(&mut rig, 100, NO_WORKER);
        most = most.max(rig.count_calls(is_poll) - before);
    }
    assert!(most <= 10, "{most} of 40 within 100 ms");
    assert!(
        rig.count_calls(is_poll) >= 80 + 40,
        "each worker is polled twice"
    );
}

/// Guards against a list of workers that grows without limit: a worker that never answers again, and that nobody
/// reports as gone, is removed in the end.
#[test]
fn worker_that_stays_silent_is_removed() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    for (ms, known) in [(15_000, 1), (10_000, 0)] {
        pass(&mut rig, ms, "w1");
        assert_eq!(rig.pool.known_workers(), known);
    }
}

/// Guards against running a task twice: the clock of its worker was read long ago and is slow, so the lease lasts
/// longer than the dispatcher assumed. Then the dispatcher is lost, and its successor starts the task when the lease
/// should have ended. No task may be started on such a worker before its clock has been read again.
#[rstest]
#[case::read_recently(4_000, 1)]
#[case::read_long_ago(10_000, 0)]
fn no_lease_is_counted_from_an_old_reading(#[case] age_ms: u64, #[case] starts: usize) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.now = rig.now + Duration::from_millis(age_ms);
    let mut order = step(PriorRuns::None, 0);
    // A refusable step would be refused for lack of workers.
    order.refusable = false;
    rig.submit(order);
    assert_eq!(rig.count_calls(is_start), starts);
    pass(&mut rig, 100, NO_WORKER);
    assert_eq!(rig.count_calls(is_start), 1);
}

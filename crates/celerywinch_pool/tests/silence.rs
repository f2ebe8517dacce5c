//! Workers that miss an answer after they had nothing to do for long.

mod rig;

use std::time::Duration;

use celerywinch_pool::{Answer, Input};
use celerywinch_types::{Fence, PriorRuns};
use rig::{DOMAIN, Rig, is_look, is_start, lists, step, worker_note};
use rstest::rstest;

/// What a lease of 800 ms lasts at most on a worker that was asked lately, in ms, and 20 ms for the tick.
const LEASE_OVER: u64 = 970;

/// No worker has this name.
const NOBODY: &str = "";

/// A dispatcher with two workers.
fn two_workers() -> Rig {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.handle(Input::Workers(vec![worker_note("w2", 2)]));
    let look = rig.last_call(is_look);
    rig.answer(&look, lists(Vec::new(), Vec::new()));
    rig
}

/// Answers all looks that were sent so far, but those to a worker of this name get no answer, like all else
/// that it is sent.
fn answer_all(rig: &mut Rig, silent: &str) {
    for call in rig.calls.clone() {
        if call.worker == silent {
            rig.answer(&call, Answer::NoAnswer);
        } else if is_look(&call.request) {
            rig.answer(&call, lists(Vec::new(), Vec::new()));
        }
    }
}

/// Lets time pass in which a worker gives no answers.
fn pass(rig: &mut Rig, ms: u64, silent: &str) {
    for _ in 0..ms / 10 {
        rig.advance(10);
        answer_all(rig, silent);
    }
}

/// A task is started after so long, and its worker gives no answer until so long after that.
fn start_and_miss(rig: &mut Rig, idle_ms: u64, missed_ms: u64) {
    pass(rig, idle_ms, NOBODY);
    rig.submit(step(PriorRuns::None, 0));
    let worker = rig.last_call(is_start).worker;
    rig.advance(60);
    pass(rig, missed_ms - 60, &worker);
}

/// A caller's task runs twice: a worker had nothing to do for longer than silent workers are remembered. It
/// gets a task and begins it, but its answer is late, as the dispatcher's link is full. The dispatcher, which
/// counts from when the worker was heard last, forgets it with its run, and starts the task elsewhere 60 ms
/// after the first time. Only the end of the lease shows that the first run is over.
#[rstest]
#[case::just_heard(0)]
#[case::idle_for_less_than_silent_ones_are_remembered(15_000)]
#[case::idle_for_longer(25_000)]
#[case::idle_for_minutes(200_000)]
fn run_of_a_worker_that_misses_an_answer_goes_on_until_its_lease_is_over(#[case] idle_ms: u64) {
    let mut rig = two_workers();
    start_and_miss(&mut rig, idle_ms, 760);
    assert_eq!(rig.count_calls(is_start), 1, "the first run may be at work");
}

/// A caller waits for seconds: its task's worker was idle for minutes and dies. Since the dispatcher read the
/// worker's clock, that may have lost 2% of the time, and a lease that is counted from there is believed to
/// last so much longer, here by 4 s. As long as it lasts, no other dispatcher may start the task either: what they
/// wait for a lost dispatcher's leases would not suffice.
#[rstest]
#[case::just_heard(0)]
#[case::idle_for_some_seconds(15_000)]
#[case::idle_for_minutes(200_000)]
fn lease_of_a_worker_that_was_idle_is_over_as_soon_as_others(#[case] idle_ms: u64) {
    let mut rig = two_workers();
    start_and_miss(&mut rig, idle_ms, LEASE_OVER);
    assert_eq!(rig.count_calls(is_start), 2, "its lease is over");
}

/// Callers are refused though workers are idle: a dispatcher takes workers over that it has known for long and
/// never called. Each whose first answer is late is forgotten, and as they announce only changes to it,
/// it never hears of them again.
#[rstest]
#[case::known_for_a_moment(0)]
#[case::known_for_long(25_000)]
fn worker_whose_first_answer_is_missed_is_asked_again(#[case] known_ms: u64) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.handle(Input::Resign(DOMAIN));
    rig.advance(known_ms);
    rig.handle(Input::Acquire(DOMAIN, Fence(7 << 5)));
    pass(&mut rig, 100, "w1");
    pass(&mut rig, 400, NOBODY);
    rig.submit(step(PriorRuns::None, 0));
    assert_eq!(rig.count_calls(is_start), 1);
}

/// Callers are refused though all workers are free: they were taken over at one moment, and each is looked at again
/// after the same time. A process with an eighth of a core that stands still for 100 ms right then takes all of
/// them for silent at once. So looks at idle workers are spread over time.
#[test]
fn idle_workers_are_not_looked_at_all_at_once() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.handle(Input::Resign(DOMAIN));
    let others = (2..=40).map(|port| worker_note(&format!("w{port}"), port));
    rig.handle(Input::Workers(others.collect()));
    rig.handle(Input::Acquire(DOMAIN, Fence(7 << 5)));
    pass(&mut rig, 1_000, NOBODY);
    let mut most = 0;
    for _ in 0..90 {
        let before = rig.count_calls(is_look);
        pass(&mut rig, 100, NOBODY);
        most = most.max(rig.count_calls(is_look) - before);
    }
    assert!(most <= 10, "{most} of 40 within 100 ms");
    assert!(
        rig.count_calls(is_look) >= 80 + 40,
        "each is looked at twice"
    );
}

/// A list of workers would grow for as long as the dispatcher lives: a worker that never answers again, and
/// that nobody says has left, is forgotten in the end.
#[test]
fn worker_that_stays_silent_is_forgotten() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    for (ms, known) in [(15_000, 1), (10_000, 0)] {
        pass(&mut rig, ms, "w1");
        assert_eq!(rig.pool.known_workers(), known);
    }
}

/// A caller's task runs twice: its worker's clock was read long ago and is slow, so its lease lasts longer than the
/// dispatcher said. Then the dispatcher is lost, and its successor starts the task when the lease should be
/// over. Nothing is started on such a worker before its clock has been read again.
#[rstest]
#[case::read_lately(4_000, 1)]
#[case::read_long_ago(10_000, 0)]
fn no_lease_is_counted_from_an_old_reading(#[case] age_ms: u64, #[case] starts: usize) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.now = rig.now + Duration::from_millis(age_ms);
    let mut order = step(PriorRuns::None, 0);
    // Else it would be refused for want of workers.
    order.refusable = false;
    rig.submit(order);
    assert_eq!(rig.count_calls(is_start), starts);
    pass(&mut rig, 100, NOBODY);
    assert_eq!(rig.count_calls(is_start), 1);
}

//! Workers that turn slow, and tasks that are long by themselves.

mod rig;

use std::time::Duration;

use celerywinch_pool::PoolConfig;
use celerywinch_types::Mechanism;
use rig::scene::{Scene, Work, long, ordinary};
use rstest::rstest;

/// Tasks that start together on one worker, and what becomes of them while two others are idle.
struct Case {
    slowness: f64,
    reports: bool,
    tasks: Vec<Work>,
    /// For each task, the time in ms by which it must be moved, if it must; otherwise it must not be moved.
    moved: Vec<Option<u64>>,
    /// Whether the worker is suspected after 200 ms.
    suspected: bool,
}

/// Guards against jobs that are answered after three times their objective, as their worker has turned eight times slower; and
/// against work that is thrown away, as tasks that are long by themselves make a good worker look slow.
#[rstest]
// Both tell of the worker within the first poll, long before a run is late by the clock.
#[case::slow(Case {
    slowness: 8.0, reports: true, tasks: vec![ordinary(200), ordinary(900)],
    moved: vec![Some(200), Some(200)], suspected: true,
})]
// A single slow run may be a long task: it is moved as late as it can still end in time elsewhere.
#[case::slow_alone(Case {
    slowness: 8.0, reports: true, tasks: vec![ordinary(900)], moved: vec![Some(550)], suspected: true,
})]
// The other task proves that the worker is good.
#[case::long_task(Case {
    slowness: 1.0, reports: true, tasks: vec![long(900), ordinary(900)],
    moved: vec![Some(550), None], suspected: false,
})]
#[case::good(Case {
    slowness: 1.0, reports: true, tasks: vec![ordinary(200), ordinary(900)],
    moved: vec![None, None], suspected: false,
})]
// Slower than usual, but within the objectives.
#[case::slightly_slow(Case {
    slowness: 1.4, reports: true, tasks: vec![ordinary(200), ordinary(900)],
    moved: vec![None, None], suspected: false,
})]
// Without reports of progress, only the time since the start tells.
#[case::no_reports(Case {
    slowness: 1.0, reports: false, tasks: vec![ordinary(200), ordinary(900)],
    moved: vec![None, None], suspected: false,
})]
fn slow_runs(#[case] case: Case) {
    let mut scene = Scene::new(PoolConfig::default());
    scene.add_worker("w1", case.slowness, case.reports);
    for (job, work) in (1..).zip(&case.tasks) {
        scene.submit(job, *work);
    }
    scene.add_worker("w2", 1.0, true);
    scene.add_worker("w3", 1.0, true);
    scene.advance(200);
    assert_eq!(scene.rig.pool.suspected_workers() > 0, case.suspected);
    scene.advance(9_000);
    for (job, wanted) in (1..).zip(&case.moved) {
        let moved = scene.moved_at(job);
        assert_eq!(moved.is_some(), wanted.is_some(), "job {job}: {moved:?}");
        assert!(moved <= *wanted, "job {job}: {moved:?} after {wanted:?}");
    }
    assert_eq!(scene.rig.ends.len(), case.tasks.len());
}

/// Guards against tasks that are long by themselves being moved from worker to worker: each move discards their work.
#[test]
fn long_task_is_moved_once() {
    let mut scene = Scene::new(PoolConfig::default());
    for id in ["w1", "w2", "w3"] {
        scene.add_worker(id, 1.0, true);
    }
    scene.submit(1, long(900));
    scene.advance(8_000);
    assert_eq!((scene.stops.len(), scene.rig.ends.len()), (1, 1));
    assert_eq!(scene.rig.pool.suspected_workers(), 0);
}

/// Guards against good workers that are suspected after a stall of the dispatcher, during which it received no answers.
#[test]
fn stall_of_the_dispatcher_suspects_nobody() {
    let mut scene = Scene::new(PoolConfig::default());
    scene.add_worker("w1", 1.0, true);
    scene.submit(1, ordinary(2_000));
    scene.submit(2, ordinary(2_000));
    scene.advance(300);
    let poll = scene.polls.pop().expect("a poll that waits").1;
    let list = scene.answer(&poll);
    scene.rig.now = scene.rig.now + Duration::from_millis(600);
    scene.rig.answer(&poll, list);
    assert_eq!(scene.rig.pool.suspected_workers(), 0);
}

/// Guards against long tasks on workers that are known to be slow, and against slow workers that are never tried again.
#[test]
fn slow_worker_proves_itself_by_a_short_task() {
    let mut scene = Scene::new(PoolConfig::default());
    scene.add_worker("w1", 8.0, true);
    scene.submit(1, ordinary(200));
    scene.submit(2, ordinary(900));
    scene.add_worker("w2", 1.0, true);
    scene.add_worker("w3", 1.0, true);
    scene.advance(2_000);
    assert_eq!(scene.rig.pool.suspected_workers(), 1);
    scene.workers.get_mut("w1").expect("a worker").slowness = 1.0;
    // The others take new tasks while they have room.
    for job in 3..7 {
        scene.submit(job, ordinary(900));
        assert_ne!(scene.last_worker(job), Some("w1"));
    }
    scene.submit(7, ordinary(900));
    assert_eq!(scene.last_worker(7), None);
    scene.submit(8, ordinary(60));
    assert_eq!(scene.last_worker(8), Some("w1"));
    scene.advance(150);
    assert_eq!(scene.rig.pool.suspected_workers(), 0);
    assert_eq!(scene.last_worker(7), Some("w1"));
}

/// Guards against decisions that differ without the mechanism being called for: a worker that reports good progress gets the
/// same calls with it and without it.
#[test]
fn good_workers_get_the_same_calls() {
    let calls = |config: PoolConfig| {
        let mut scene = Scene::new(config);
        for id in ["w1", "w2", "w3"] {
            scene.add_worker(id, 1.0, true);
        }
        for job in 1..40 {
            scene.submit(job, ordinary([60, 200, 900][job as usize % 3]));
            scene.advance(50);
        }
        scene.advance(2_000);
        scene.rig.calls
    };
    let mut without = PoolConfig::default();
    without.disabled = without.disabled.with(Mechanism::Overstay);
    assert_eq!(calls(PoolConfig::default()), calls(without));
}

//! Placement on workers of different speed.

mod rig;

use celerywinch_pool::{Input, PoolConfig};
use celerywinch_types::{JobId, Mechanism, PriorRuns, Reservation, ReservationNumber, WorkMsg};
use rig::scene::{Scene, Work, ordinary};
use rig::{ORIGIN, step};
use rstest::rstest;

fn without() -> PoolConfig {
    let config = PoolConfig::default();
    PoolConfig {
        disabled: config.disabled.with(Mechanism::ExpectedEnd),
        ..config
    }
}

/// Creates a dispatcher of a slow, a usual and a fast worker, which has learned their paces from twelve tasks each.
fn trained(config: PoolConfig) -> Scene {
    let mut scene = Scene::new(config);
    for (id, speed) in [("slow", 0.6), ("usual", 1.0), ("fast", 1.6)] {
        scene.add_worker(id, 1.0 / speed, true);
    }
    for round in 0..6 {
        for job in 0..6 {
            scene.submit(1_000 + round * 6 + job, ordinary(200));
        }
        scene.advance(800);
    }
    scene
}

/// Takes all room on the usual and the fast worker by tasks of this run time, in ms.
fn occupy(scene: &mut Scene, usual: u32) {
    // Two fit on each worker; the callers of those on the slow one leave.
    for job in 1..=6 {
        scene.submit(job, ordinary(usual));
    }
    for job in 1..=6 {
        if scene.last_worker(job) == Some("slow") {
            scene.cancel(job);
        }
    }
    scene.advance(30);
}

/// A task that arrives while others run.
struct Case {
    config: PoolConfig,
    /// The run times of the tasks that take all room on the usual and the fast worker, in ms.
    running: Option<u32>,
    usual: u32,
    /// The worker on which it starts at once, or none if it waits.
    starts: Option<&'static str>,
    /// The workers that it may be on after 300 ms.
    later: &'static [&'static str],
}

/// Guards against short tasks that take the fast workers while long tasks are late on slow ones.
#[rstest]
#[case::short_task_leaves_fast_workers(Case {
    config: PoolConfig::default(), running: None, usual: 60, starts: Some("slow"), later: &["slow"],
})]
#[case::short_task_without(Case {
    config: without(), running: None, usual: 60, starts: Some("fast"), later: &["fast"],
})]
#[case::long_task(Case {
    config: PoolConfig::default(), running: None, usual: 900, starts: Some("usual"), later: &["usual"],
})]
#[case::long_task_waits(Case {
    config: PoolConfig::default(), running: Some(200), usual: 900, starts: None, later: &["usual", "fast"],
})]
#[case::long_task_without(Case {
    config: without(), running: Some(200), usual: 900, starts: Some("slow"), later: &["slow"],
})]
// Waiting could not meet the objective either.
#[case::long_task_does_not_starve(Case {
    config: PoolConfig::default(), running: Some(5_000), usual: 900, starts: Some("slow"), later: &["slow"],
})]
fn placements(#[case] case: Case) {
    let mut scene = trained(case.config);
    if let Some(usual) = case.running {
        occupy(&mut scene, usual);
    }
    scene.submit(99, ordinary(case.usual));
    assert_eq!(scene.last_worker(99), case.starts);
    scene.advance(300);
    let later = scene.last_worker(99).expect("a start");
    assert!(case.later.contains(&later), "on {later}");
}

/// Guards against placements that change where workers do not differ: equal workers, tasks of three lengths that vary by 40%,
/// two thirds of the room taken, with and without the mechanism.
#[test]
fn equal_workers_get_the_same_tasks() {
    let calls = |config: PoolConfig| {
        let mut scene = Scene::new(config);
        for id in ["w1", "w2", "w3", "w4", "w5"] {
            scene.add_worker(id, 1.0, true);
        }
        for job in 1..400_u64 {
            let usual = [60, 200, 900][job as usize % 3];
            let length = 0.6 + (job * 37 % 81) as f64 / 100.0;
            scene.submit(job, Work { usual, length });
            scene.advance(60);
        }
        scene.advance(2_000);
        scene.rig.calls
    };
    let with = calls(PoolConfig::default());
    assert!(with.len() > 1_000, "{} calls", with.len());
    assert_eq!(with, calls(without()));
}

/// Guards against offers of capacity on a slow worker that the submitted task would not take: it would be returned, reserved
/// and offered the same capacity again.
#[rstest]
#[case::long_task_waits(PoolConfig::default(), 0)]
#[case::without(without(), 1)]
fn offers_follow_placement(#[case] config: PoolConfig, #[case] offers: usize) {
    let mut scene = trained(config);
    occupy(&mut scene, 200);
    let mut order = step(PriorRuns::None, 0);
    (order.job, order.estimate, order.critical_path) = (JobId(99), 900, 900);
    order.queue = "900 ms".to_owned();
    order.tasks.clear();
    let reservation = Reservation {
        order,
        number: ReservationNumber(1),
        tasks: 1,
        copies: 2,
    };
    let msg = WorkMsg::Reserve(reservation);
    scene.rig.handle(Input::Work(ORIGIN, msg));
    assert_eq!(scene.rig.offers.len(), offers);
}

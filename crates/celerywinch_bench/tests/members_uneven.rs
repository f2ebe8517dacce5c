//! Simulated workers of different speeds and sizes, whose tasks need about half a worker.

use celerywinch_bench::members::{
    ClassPlan, ClassStats, LoadPlan, MembersOptions, MembersReport, Violation, half_worker_load,
    run, uneven_load, uneven_workers,
};
use celerywinch_types::{DisabledMechanisms, Mechanism};

/// Workers of the reference load, and of these tests.
const REFERENCE_WORKERS: f64 = 350.0;
const WORKERS: u32 = 81;

struct Case {
    /// The load, as a multiple of the usual one.
    load: f64,
    /// The largest number of workers of one dispatcher.
    shard_size: usize,
    seed: u64,
}

fn without() -> DisabledMechanisms {
    DisabledMechanisms::default().with(Mechanism::ExpectedEnd)
}

fn options(case: &Case, disabled: DisabledMechanisms) -> MembersOptions {
    let mut classes = uneven_load().classes;
    for class in &mut classes {
        class.rate *= case.load * f64::from(WORKERS) / REFERENCE_WORKERS;
    }
    MembersOptions {
        seed: case.seed,
        entries: 12,
        workers: WORKERS,
        kinds: uneven_workers(),
        shard_size: case.shard_size,
        disabled,
        load_ms: 7_000,
        load: LoadPlan {
            classes,
            ..half_worker_load()
        },
        ..MembersOptions::default()
    }
}

/// Returns the share of the tasks' work whose jobs were completed within their objectives.
fn work_in_aim(report: &MembersReport, classes: &[ClassPlan]) -> f64 {
    let work = |jobs: fn(&ClassStats) -> usize| -> f64 {
        let classes = report.classes.iter().zip(classes);
        let work = classes.map(|(stats, plan)| {
            f64::from(plan.task_ms * u32::from(plan.mean_tasks)) * jobs(stats) as f64
        });
        work.sum()
    };
    work(|stats| stats.on_time) / work(|stats| stats.submitted)
}

/// Guards against long tasks that are late on slow workers while short ones take the fast ones: 81 workers of 0.6 to 1.6 times
/// the usual speed at 1.5 times the usual load, with one dispatcher.
#[test]
fn long_tasks_leave_slow_workers() {
    let case = Case {
        load: 1.5,
        shard_size: 100,
        seed: 1,
    };
    let with = run(options(&case, DisabledMechanisms::default()));
    let without = run(options(&case, without()));
    assert_eq!(with.violations, Vec::<Violation>::new());
    let classes = uneven_load().classes;
    let (gain, before) = (
        work_in_aim(&with, &classes),
        work_in_aim(&without, &classes),
    );
    assert!(
        gain > before,
        "{:?}, without {:?}",
        with.classes,
        without.classes
    );
}

/// Guards against placements that change where workers do not differ: 48 workers of equal speed.
#[test]
fn equal_workers_serve_the_same() {
    let options = |disabled| MembersOptions {
        disabled,
        load_ms: 5_000,
        ..MembersOptions::default()
    };
    let with = run(options(DisabledMechanisms::default()));
    assert_eq!(with, run(options(without())));
}

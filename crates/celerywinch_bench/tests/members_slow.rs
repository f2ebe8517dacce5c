//! Simulated members and workers of which some turn slow, or go down and up by turns.

use celerywinch_bench::members::{
    FaultPlan, Impairment, ImpairmentPlan, LoadPlan, MembersOptions, MembersReport, Tail,
    Violation, run,
};
use celerywinch_types::{DisabledMechanisms, Mechanism};
use rstest::rstest;

struct Case {
    /// The workers in a hundred that are impaired from 4 s to 10 s.
    percent: u32,
    kind: Impairment,
    shard_size: usize,
    seed: u64,
}

fn options(case: &Case, disabled: DisabledMechanisms) -> MembersOptions {
    let impaired = ImpairmentPlan {
        start_ms: 4_000,
        end_ms: 10_000,
        percent: case.percent,
        kind: case.kind,
    };
    MembersOptions {
        seed: case.seed,
        shard_size: case.shard_size,
        disabled,
        load_ms: 13_000,
        faults: Some(FaultPlan {
            interval_ms: 1_000,
            impaired: Some(impaired),
            ..FaultPlan::default()
        }),
        ..MembersOptions::default()
    }
}

/// Returns the share of the jobs that did not end within their objectives.
fn missed(report: &MembersReport) -> f64 {
    let submitted: usize = report.classes.iter().map(|class| class.submitted).sum();
    let on_time: usize = report.classes.iter().map(|class| class.on_time).sum();
    1.0 - on_time as f64 / submitted as f64
}

/// Returns the share of the jobs whose callers got no answer in time, or that failed.
fn unserved(report: &MembersReport) -> f64 {
    let submitted: usize = report.classes.iter().map(|class| class.submitted).sum();
    let classes = report.classes.iter();
    let unserved: usize = classes.map(|class| class.lost + class.failed).sum();
    unserved as f64 / submitted as f64
}

/// Guards against jobs that wait for workers that have turned eight times slower: 48 workers about 75% busy, of which 15% are
/// slow for 6 s, with one dispatcher and with six. Callers may see one job in 200 unanswered.
#[rstest]
#[case(Case { percent: 15, kind: Impairment::Slow(8), shard_size: 80, seed: 1 })]
#[case(Case { percent: 15, kind: Impairment::Slow(8), shard_size: 8, seed: 2 })]
fn slow_workers(#[case] case: Case) {
    let with = run(options(&case, DisabledMechanisms::default()));
    let disabled = DisabledMechanisms::default().with(Mechanism::Overstay);
    let without = run(options(&case, disabled));
    assert_eq!(with.violations, Vec::<Violation>::new());
    assert!(unserved(&with) < 0.005, "{:?}", with.classes);
    assert!(
        missed(&with) < missed(&without),
        "{:?}, without {:?}",
        with.classes,
        without.classes
    );
}

/// Guards against good workers that look slow, and work that is thrown away, as 3 of 100 tasks take seven times as long by
/// themselves: 48 workers about half busy.
#[rstest]
fn long_tasks_do_not_make_workers_look_slow(#[values(1, 2)] seed: u64) {
    let mut load = LoadPlan {
        tail: Some(Tail {
            share: 0.03,
            factor: 7.0,
        }),
        ..LoadPlan::default()
    };
    for class in &mut load.classes {
        class.rate *= 0.7;
        class.timeout_ms = 8_000;
    }
    let with_disabled = |disabled| {
        run(MembersOptions {
            seed,
            disabled,
            load: load.clone(),
            load_ms: 7_000,
            ..MembersOptions::default()
        })
    };
    let with = with_disabled(DisabledMechanisms::default());
    let without = with_disabled(DisabledMechanisms::default().with(Mechanism::Overstay));
    assert_eq!(with.violations, Vec::<Violation>::new());
    assert!(missed(&with) <= missed(&without), "{:?}", with.classes);
    let (interrupted, before) = (with.runs.1, without.runs.1);
    assert!(
        interrupted <= before,
        "{interrupted} interrupted runs, without {before}"
    );
}

/// Guards against a task with two runs while 10% of 48 workers go down and up by turns, 700 ms each, for 6 s.
#[test]
fn flapping_workers() {
    let case = Case {
        percent: 10,
        kind: Impairment::Flapping(700),
        shard_size: 80,
        seed: 3,
    };
    let with = run(options(&case, DisabledMechanisms::default()));
    let disabled = DisabledMechanisms::default().with(Mechanism::Overstay);
    let without = run(options(&case, disabled));
    assert_eq!(with.violations, Vec::<Violation>::new());
    assert!(missed(&with) <= missed(&without), "{:?}", with.classes);
}

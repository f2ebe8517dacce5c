//! Simulated members and workers of which some turn slow, or go down and up by turns.

use celerywinch_bench::members::{
    FaultPlan, Impairment, ImpairmentPlan, MembersOptions, MembersReport, Violation, run,
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

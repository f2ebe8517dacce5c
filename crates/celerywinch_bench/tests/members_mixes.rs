//! Mixes of faults that broke a guarantee once, and mixes drawn by the seed.

use celerywinch_bench::members::{Switch, Switches, Violation, run};
use rstest::rstest;

struct Case {
    switches: &'static [Switch],
    seed: u64,
}

/// Guards against a false refusal ("not run"): the refusal of a submission that was delayed arrives after the tasks were
/// submitted again because of a reset, and the second submission is accepted and runs.
#[rstest]
#[case(Case { switches: &[Switch::Congested, Switch::Resets], seed: 16_827_103 })]
#[case(Case { switches: &[Switch::Congested, Switch::Resets], seed: 5_007_055 })]
#[case(Case { switches: &[Switch::Congested, Switch::Resets, Switch::Reborn], seed: 50_144_001 })]
#[case(Case { switches: &[Switch::Congested, Switch::Resets, Switch::Refused], seed: 50_162_003 })]
fn delayed_refusals_are_true(#[case] case: Case) {
    let switches: Switches = case.switches.iter().copied().collect();
    let report = run(switches.options(case.seed));
    assert_eq!(report.violations, Vec::<Violation>::new());
}

/// A short run of mixes drawn by the seed; `celerywinch soak --members --mixed` makes longer ones.
#[rstest]
fn drawn_mixes_hold(#[values(1, 2, 3, 4)] seed: u64) {
    let switches = Switches::draw(seed);
    println!("seed {seed} with {switches}");
    let report = run(switches.options(seed));
    assert_eq!(report.violations, Vec::<Violation>::new());
}

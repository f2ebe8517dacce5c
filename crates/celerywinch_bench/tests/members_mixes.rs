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

const EVACUATED: &[Switch] = &[
    Switch::Evacuated,
    Switch::Held,
    Switch::Refused,
    Switch::Drift,
];

/// Guards against a job that waits for ever: no worker that obeys its dispatcher may take its tasks, as all are in evacuated data
/// centres, or the dispatcher has dropped its submission without asking for it again (50107002).
#[rstest]
#[case(Case { switches: EVACUATED, seed: 25_811_023 })]
#[case(Case { switches: EVACUATED, seed: 5_807_023 })]
#[case(Case { switches: EVACUATED, seed: 13_219_025 })]
#[case(Case { switches: EVACUATED, seed: 2_766_007 })]
#[case(Case { switches: &[Switch::Refused, Switch::Evacuated, Switch::Congested, Switch::Reborn], seed: 50_109_002 })]
#[case(Case {
    switches: &[Switch::Held, Switch::Crashing, Switch::Congested, Switch::Many, Switch::Evacuated],
    seed: 50_107_002,
})]
fn no_job_waits_for_ever(#[case] case: Case) {
    let switches: Switches = case.switches.iter().copied().collect();
    let report = run(switches.options(case.seed));
    assert_eq!(report.violations, Vec::<Violation>::new());
}

/// Guards against two dispatchers of one domain, and domains without one, where entries of different capacity rank for them
/// while members are killed, stopped, frozen and partitioned.
#[rstest]
#[case(Case { switches: &[Switch::Uneven, Switch::Many, Switch::Held], seed: 87_001 })]
#[case(Case { switches: &[Switch::Uneven, Switch::Refused], seed: 87_002 })]
fn uneven_entries_hold(#[case] case: Case) {
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

/// Guards against tasks that run twice, and answers that are wrong or missing, while tasks wait at several dispatchers and
/// jobs are refused.
#[rstest]
#[case(Case { switches: &[Switch::Overloaded], seed: 1 })]
#[case(Case { switches: &[Switch::Overloaded, Switch::Resets, Switch::Many], seed: 2 })]
#[case(Case { switches: &[Switch::Overloaded, Switch::Held, Switch::Shrinking], seed: 3 })]
fn overloaded_mixes_hold(#[case] case: Case) {
    let switches: Switches = case.switches.iter().copied().collect();
    let report = run(switches.options(case.seed));
    assert_eq!(report.violations, Vec::<Violation>::new());
}

//! Workers that leave calls unanswered, in simulated time.

use celerywinch_bench::members::{
    LoadPlan, MembersOptions, REFERENCE_CPU, UnansweredCalls, Violation, reference_classes, run,
};
use celerywinch_types::DisabledMechanisms;
use rstest::rstest;

/// The usual load of the brief's catalogue service; for 4.6 s of 12 one call in eighteen gets no answer, as
/// on the users' days, and is carried out 2 to 6 s later.
fn options(seed: u64) -> MembersOptions {
    MembersOptions {
        seed,
        dcs: 3,
        entries: 7,
        workers: 48,
        shard_size: 80,
        disabled: DisabledMechanisms::default(),
        link_rate: None,
        load_ms: 12_000,
        load: LoadPlan {
            classes: reference_classes(),
            cpu: REFERENCE_CPU,
            burst: None,
            lull: None,
        },
        unanswered: Some(UnansweredCalls {
            start_ms: 4_000,
            end_ms: 8_600,
            share: 0.055,
        }),
        faults: None,
        follow: None,
    }
}

/// Callers get their answers late: an order has no answer, and is given up after 100 ms, stopped, and started
/// elsewhere when the next look shows that it was not there; or a look has none, and all that ends on its worker is
/// not known for 250 ms. A price check has 96 ms to spare. Asked at once what it has, after a wait that
/// follows what its answers took, a worker costs less: 946, 948 and 952 of 1,000 jobs are in aim, 882 to 893 before
/// (872 to 894 over six seeds). Waits of 20 ms, for looks too, gave 988 to 992, and lost more than that at size, where
/// answers are read tens of ms late.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn unanswered_calls_cost_little(#[case] seed: u64) {
    let report = run(options(seed));
    assert_eq!(report.violations, Vec::<Violation>::new());
    let submitted: usize = report.classes.iter().map(|class| class.submitted).sum();
    let on_time: usize = report.classes.iter().map(|class| class.on_time).sum();
    let share = on_time * 1_000 / submitted;
    assert!(share >= 940, "{share} of 1000: {:?}", report.classes);
}

//! Simulated workers that leave calls unanswered.

use celerywinch_bench::members::{
    LoadPlan, MembersOptions, REFERENCE_CPU, UnansweredCalls, Violation, reference_classes, run,
};
use celerywinch_types::DisabledMechanisms;
use rstest::rstest;

/// Returns the usual load of the reference catalogue service. For 4.6 s of 12, one call in eighteen gets no answer, as in
/// the users' standard workloads, and is executed 2 to 6 s later.
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
            ..LoadPlan::default()
        },
        unanswered: Some(UnansweredCalls {
            start_ms: 4_000,
            end_ms: 8_600,
            share: 0.055,
        }),
        ..MembersOptions::default()
    }
}

/// Guards against late jobs: a start without an answer timed out after 100 ms, was stopped, and was started elsewhere when
/// the next poll showed that it was not there; or a poll had no answer, and all ends on its worker were unknown for
/// 250 ms. A price check has 96 ms to spare. With a timeout that follows measured answer times and a poll right after it,
/// 946, 948 and 952 of 1,000 jobs meet their objectives, compared with 882 to 893 before (872 to 894 over six seeds).
/// Timeouts of 20 ms, also for polls, gave 988 to 992, but cost more than that in large deployments, where answers are
/// read tens of ms late.
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
    assert!(
        share >= 940,
        "{share} of 1000 jobs met their objectives: {:?}",
        report.classes
    );
}

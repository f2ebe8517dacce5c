//! Short randomised runs of the state machines; `celerywinch soak` makes longer ones.

use celerywinch_bench::soak::{SoakOptions, run};
use rstest::rstest;

/// Regression seeds. 1 and 2: tasks were started twice and different outcomes reported. A process that had completed a key
/// got the votes for a resubmission again before its replicas had learned that the outcome was decided, since the votes
/// were its own.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn history_holds(#[case] seed: u64) {
    let options = SoakOptions {
        seed,
        steps: 150_000,
        faults: true,
        follow: None,
    };
    let report = run(options).expect("the shipped catalogue is valid");
    assert_eq!(
        report.violations,
        Vec::<String>::new(),
        "{:#?}",
        report.last_events
    );
    assert!(
        report.starts > 1000,
        "expected more than 1000 starts: {}",
        report.starts
    );
}

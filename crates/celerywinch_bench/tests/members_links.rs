//! Simulated members whose links have little bandwidth.

use celerywinch_bench::members::{
    ClassPlan, LoadPlan, MembersOptions, MembersReport, Violation, reference_classes, run,
};
use celerywinch_types::{DisabledMechanisms, Mechanism};
use rstest::rstest;

/// Bytes per second in one Mbit/s.
const MBIT: u64 = 125_000;

/// Returns a small part of a deployment of hundreds of machines: 17 entries, 120 workers and their share of the jobs, with
/// a burst of 1.2 times the load for 4 s.
fn options(seed: u64, mbits: u64, shard_size: usize) -> MembersOptions {
    let scaled = |class: ClassPlan| ClassPlan {
        rate: class.rate * 0.56,
        ..class
    };
    MembersOptions {
        seed,
        dcs: 5,
        entries: 17,
        workers: 120,
        shard_size,
        disabled: DisabledMechanisms::default(),
        link_rate: Some(mbits * MBIT),
        load_ms: 14_000,
        load: LoadPlan {
            classes: reference_classes().into_iter().map(scaled).collect(),
            cpu: 16_000,
            burst: Some((4_000, 8_000, 1.2)),
            ..LoadPlan::default()
        },
        ..MembersOptions::default()
    }
}

/// Returns the share of jobs that are completed, in time or late, in thousandths.
fn served(report: &MembersReport) -> usize {
    let submitted: usize = report.classes.iter().map(|class| class.submitted).sum();
    let classes = report.classes.iter();
    let served: usize = classes.map(|class| class.on_time + class.late).sum();
    served * 1_000 / submitted
}

/// Guards against jobs that are never completed although there is no fault: the eight calls of a price check take 45 ms of
/// a link of 2 Mbit/s, so answers to the calls of several jobs arrive after their timeouts. The task of each such call is
/// polled for, stopped and sent again, which fills the link and makes the next answers late for as long as callers come.
#[rstest]
#[case::very_narrow(2, 16)]
#[case::narrow(6, 38)]
#[case::wide(25, 38)]
fn service_holds_on_narrow_links(#[case] mbits: u64, #[case] shard_size: usize) {
    for seed in [1, 2] {
        let report = run(options(seed, mbits, shard_size));
        assert_eq!(report.violations, Vec::<Violation>::new());
        let served = served(&report);
        assert!(
            served >= 950,
            "seed {seed}: {served} of 1000 jobs are completed"
        );
    }
}

/// Checks that the load is not served with fixed timeouts, so that it is the timeouts adapted to measured answer times
/// that keep the service up.
#[test]
fn fixed_timeouts_do_not_serve_narrow_links() {
    let mut options = options(1, 2, 38);
    options.disabled = DisabledMechanisms::default().with(Mechanism::Patience);
    let served = served(&run(options));
    assert!(served < 800, "{served} of 1000 jobs are completed");
}

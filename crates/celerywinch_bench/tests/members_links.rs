//! Members whose links are narrow, in simulated time.

use celerywinch_bench::members::{
    ClassPlan, LoadPlan, MembersOptions, MembersReport, Violation, reference_classes, run,
};
use celerywinch_types::{DisabledMechanisms, Mechanism};
use rstest::rstest;

/// Bytes a second of a megabit.
const MBIT: u64 = 125_000;

/// A small part of a deployment of hundreds of machines: 17 entries, 120 workers, and the jobs that belong to them, with
/// a burst of 1.2 times the load for 4 s.
fn options(seed: u64, mbits: u64, shard_size: usize) -> MembersOptions {
    let thin = |class: ClassPlan| ClassPlan {
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
            classes: reference_classes().into_iter().map(thin).collect(),
            cpu: 16_000,
            burst: Some((4_000, 8_000, 1.2)),
            lull: None,
        },
        unanswered: None,
        faults: None,
        follow: None,
    }
}

/// The share of jobs that are served at all, in thousandths.
fn served(report: &MembersReport) -> usize {
    let submitted: usize = report.classes.iter().map(|class| class.submitted).sum();
    let classes = report.classes.iter();
    let served: usize = classes.map(|class| class.on_time + class.late).sum();
    served * 1_000 / submitted
}

/// Callers wait in vain on a day without any fault: the eight orders of a price check take 45 ms of a link of 2 Mbit/s,
/// so the answers to orders of several jobs come after the time for them. Each such order is asked after, stopped and
/// sent again, which fills the link, and makes the next answers late, for as long as callers come.
#[rstest]
#[case::very_narrow(2, 16)]
#[case::narrow(6, 38)]
#[case::wide(25, 38)]
fn service_holds_on_narrow_links(#[case] mbits: u64, #[case] shard_size: usize) {
    for seed in [1, 2] {
        let report = run(options(seed, mbits, shard_size));
        assert_eq!(report.violations, Vec::<Violation>::new());
        let served = served(&report);
        assert!(served >= 950, "seed {seed}: {served} of 1000 are served");
    }
}

/// The same where the time for an answer does not follow what answers take: what keeps the service up is that.
#[test]
fn fixed_times_for_answers_feed_the_overload() {
    let mut options = options(1, 2, 38);
    options.disabled = DisabledMechanisms::default().with(Mechanism::Patience);
    let served = served(&run(options));
    assert!(served < 800, "{served} of 1000 are served");
}

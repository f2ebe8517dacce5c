//! Simulated workers that restart under their names, drain, shrink, or are crashed by tasks.

use celerywinch_bench::members::{
    FaultPlan, LoadPlan, MembersOptions, MembersReport, REFERENCE_CPU, Violation,
    reference_classes, run,
};
use celerywinch_types::DisabledMechanisms;
use rstest::rstest;

/// Time that callers wait where messages are delayed, in ms.
const LONG_TIMEOUT_MS: u32 = 8_000;

fn simulate(seed: u64, shard_size: usize, faults: FaultPlan) -> MembersReport {
    let mut classes = reference_classes();
    if faults.partitioned {
        classes
            .iter_mut()
            .for_each(|class| class.timeout_ms = LONG_TIMEOUT_MS);
    }
    run(MembersOptions {
        seed,
        dcs: 3,
        entries: 7,
        workers: 48,
        shard_size,
        disabled: DisabledMechanisms::default(),
        link_rate: None,
        load_ms: 15_000,
        load: LoadPlan {
            classes,
            cpu: REFERENCE_CPU,
            ..LoadPlan::default()
        },
        faults: Some(faults),
        ..MembersOptions::default()
    })
}

const REUSED_NAMES: FaultPlan = FaultPlan {
    interval_ms: 150,
    members: true,
    clock_skew: true,
    workers: true,
    partitioned: false,
    congested: false,
    refused: false,
    reused_names: true,
    shrinking: false,
    crashing: false,
    evacuated: false,
    resets: false,
    drift: false,
    impaired: None,
    uneven: false,
};

const ALL: FaultPlan = FaultPlan {
    shrinking: true,
    crashing: true,
    ..REUSED_NAMES
};

/// Guards against tasks that reach draining workers, run twice, overload a worker that does not check its capacity, or crash
/// one worker after the other. Workers crash, drain and restart under their names, with clocks set back; announcements of
/// earlier incarnations arrive late; capacities shrink and grow; and tasks of some jobs crash their workers. Meanwhile
/// members are killed, stopped, frozen and partitioned.
#[rstest]
#[case::reused_names(REUSED_NAMES, 1, 80)]
#[case::reused_names_divided(REUSED_NAMES, 2, 8)]
#[case::shrinking(FaultPlan { shrinking: true, reused_names: false, ..REUSED_NAMES }, 3, 80)]
#[case::crashing(FaultPlan { crashing: true, reused_names: false, ..REUSED_NAMES }, 4, 16)]
#[case::all(ALL, 5, 80)]
#[case::all_divided(ALL, 6, 16)]
fn history_holds(#[case] faults: FaultPlan, #[case] seed: u64, #[case] shard_size: usize) {
    let report = simulate(seed, shard_size, faults);
    assert_eq!(report.violations, Vec::<Violation>::new());
    assert!(
        report.runs.0 > 1_000,
        "expected more than 1000 runs: {report:?}"
    );
}

/// Regression seeds. Clocks of workers were set back, so that the present incarnation counted as earlier than one that had
/// ended, and an announcement of a third one replaced its notice to drain (20194, 30053) or its capacity (20063). A worker
/// left, was removed, and restarted to execute a call that was meant for the incarnation that had left (61058).
#[rstest]
#[case(20063, ALL)]
#[case(20194, ALL)]
#[case(61058, ALL)]
#[case(15000058, ALL)]
#[case(30053, FaultPlan { partitioned: true, refused: true, drift: true, ..ALL })]
fn seeds_that_failed_once(#[case] seed: u64, #[case] faults: FaultPlan) {
    let faults = FaultPlan {
        interval_ms: [900, 500, 300, 150][(seed % 4) as usize],
        clock_skew: seed % 5 >= 3,
        ..faults
    };
    let shard_size = [80, 8, 16][(seed % 3) as usize];
    assert_eq!(
        simulate(seed, shard_size, faults).violations,
        Vec::<Violation>::new()
    );
}

/// Guards against jobs that miss their objectives because the tasks of other jobs crash one worker after the other: one job
/// in 50 has tasks that crash their workers, up to 16 at once, which are down for up to 3 s each. There are no other faults.
#[rstest]
#[case::one_dispatcher(80)]
#[case::several(16)]
fn jobs_that_end_workers_leave_room_for_the_others(#[case] shard_size: usize) {
    let no_faults = FaultPlan {
        interval_ms: 1_000_000,
        ..FaultPlan::default()
    };
    let crashing = FaultPlan {
        crashing: true,
        ..no_faults
    };
    let share_on_time = |faults: FaultPlan| {
        let report = simulate(7, shard_size, faults);
        assert_eq!(report.violations, Vec::<Violation>::new());
        let submitted: usize = report.classes.iter().map(|class| class.submitted).sum();
        let on_time: usize = report.classes.iter().map(|class| class.on_time).sum();
        println!("{:?}", report.classes);
        on_time as f64 / submitted as f64
    };
    let (without, with) = (share_on_time(no_faults), share_on_time(crashing));
    // The job in 50 that crashes workers cannot be completed itself.
    assert!(
        with / 0.98 >= 0.95 * without,
        "share of jobs in time: {without} without crashes, {with} with crashes"
    );
}

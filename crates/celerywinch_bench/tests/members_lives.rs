//! Workers that come back under their names, leave, shrink, or are ended by tasks, in simulated time.

use celerywinch_bench::members::{
    FaultPlan, LoadPlan, MembersOptions, MembersReport, REFERENCE_CPU, Violation,
    reference_classes, run,
};
use celerywinch_types::DisabledMechanisms;
use rstest::rstest;

/// What callers wait where messages are held up, in ms.
const PATIENT: u32 = 8_000;

fn play(seed: u64, shard_size: usize, faults: FaultPlan) -> MembersReport {
    let mut classes = reference_classes();
    if faults.partitioned {
        classes
            .iter_mut()
            .for_each(|class| class.timeout_ms = PATIENT);
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
            burst: None,
            lull: None,
        },
        unanswered: None,
        faults: Some(faults),
        follow: None,
    })
}

const REBORN: FaultPlan = FaultPlan {
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
};

const ALL: FaultPlan = FaultPlan {
    shrinking: true,
    crashing: true,
    ..REBORN
};

/// Callers' tasks reach workers that leave, run twice, overload a worker that does not guard its room, or end one worker after the
/// other: workers crash, leave and come back under their names, with clocks set back, what earlier lives said is heard late, rooms
/// shrink and grow, and tasks of some jobs end their workers; while members are killed, stopped, frozen and cut off.
#[rstest]
#[case::reused_names(REBORN, 1, 80)]
#[case::reborn_divided(REBORN, 2, 8)]
#[case::shrinking(FaultPlan { shrinking: true, reused_names: false, ..REBORN }, 3, 80)]
#[case::crashing(FaultPlan { crashing: true, reused_names: false, ..REBORN }, 4, 16)]
#[case::all(ALL, 5, 80)]
#[case::all_divided(ALL, 6, 16)]
fn history_holds(#[case] faults: FaultPlan, #[case] seed: u64, #[case] shard_size: usize) {
    let report = play(seed, shard_size, faults);
    assert_eq!(report.violations, Vec::<Violation>::new());
    assert!(report.runs.0 > 1_000, "the run did too little: {report:?}");
}

/// Seeds that once broke a promise. Clocks of workers were set back, so that the life that was there counted as earlier than one that
/// had ended, and a word of a third one took the place of its notice (20194, 30053) or of its room (20063). A worker left, was forgotten, and came back to
/// obey an order that was meant for the life that had left (61058).
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
        play(seed, shard_size, faults).violations,
        Vec::<Violation>::new()
    );
}

/// Callers of jobs that are sound get no answer in time, as workers are down one after the other: one job in 50 has tasks that end
/// their workers, up to 16 at once, for up to 3 s each. Nothing else is wrong.
#[rstest]
#[case::one_dispatcher(80)]
#[case::several(16)]
fn jobs_that_end_workers_leave_room_for_the_others(#[case] shard_size: usize) {
    let calm = FaultPlan {
        interval_ms: 1_000_000,
        ..FaultPlan::default()
    };
    let ending = FaultPlan {
        crashing: true,
        ..calm
    };
    let served = |faults: FaultPlan| {
        let report = play(7, shard_size, faults);
        assert_eq!(report.violations, Vec::<Violation>::new());
        let submitted: usize = report.classes.iter().map(|class| class.submitted).sum();
        let on_time: usize = report.classes.iter().map(|class| class.on_time).sum();
        println!("{:?}", report.classes);
        on_time as f64 / submitted as f64
    };
    let (without, with) = (served(calm), served(ending));
    // One job in 50 cannot be served itself.
    assert!(
        with / 0.98 >= 0.95 * without,
        "{without} without, {with} with"
    );
}

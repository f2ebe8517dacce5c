//! Workers that come back under their names, leave, shrink, or are ended by tasks, in simulated time.

use celerywinch_bench::members::{
    BRIEF_CPU, FaultPlan, LoadPlan, MembersOptions, MembersReport, Violation, brief_classes, run,
};
use celerywinch_types::Without;
use rstest::rstest;

fn play(seed: u64, shard: usize, faults: FaultPlan) -> MembersReport {
    run(MembersOptions {
        seed,
        dcs: 3,
        entries: 7,
        workers: 48,
        shard,
        without: Without::default(),
        link: None,
        length: 15_000,
        load: LoadPlan {
            classes: brief_classes(),
            cpu: BRIEF_CPU,
            burst: None,
            lull: None,
        },
        unanswered: None,
        faults: Some(faults),
        follow: None,
    })
}

const REBORN: FaultPlan = FaultPlan {
    every: 150,
    members: true,
    clocks: true,
    workers: true,
    held: false,
    congested: false,
    refused: false,
    reborn: true,
    shrinking: false,
    crashing: false,
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
#[case::reborn(REBORN, 1, 80)]
#[case::reborn_divided(REBORN, 2, 8)]
#[case::shrinking(FaultPlan { shrinking: true, reborn: false, ..REBORN }, 3, 80)]
#[case::crashing(FaultPlan { crashing: true, reborn: false, ..REBORN }, 4, 16)]
#[case::all(ALL, 5, 80)]
#[case::all_divided(ALL, 6, 16)]
fn history_holds(#[case] faults: FaultPlan, #[case] seed: u64, #[case] shard: usize) {
    let report = play(seed, shard, faults);
    assert_eq!(report.violations, Vec::<Violation>::new());
    assert!(report.runs.0 > 1_000, "the run did too little: {report:?}");
}

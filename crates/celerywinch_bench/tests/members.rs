//! Members and workers in simulated time: histories under faults, and service under load.

use celerywinch_bench::members::{
    FaultPlan, LoadPlan, Lull, MembersOptions, MembersReport, REFERENCE_CPU, Violation,
    reference_classes, run,
};
use celerywinch_types::DisabledMechanisms;
use rstest::rstest;

fn options(seed: u64, load_ms: u64) -> MembersOptions {
    MembersOptions {
        seed,
        dcs: 3,
        entries: 7,
        workers: 48,
        shard_size: 80,
        disabled: DisabledMechanisms::default(),
        link_rate: None,
        load_ms,
        load: LoadPlan {
            classes: reference_classes(),
            cpu: REFERENCE_CPU,
            burst: None,
            lull: None,
        },
        unanswered: None,
        faults: None,
        follow: None,
    }
}

fn share_in_aim(report: &MembersReport) -> f64 {
    let submitted: usize = report.classes.iter().map(|class| class.submitted).sum();
    let on_time: usize = report.classes.iter().map(|class| class.on_time).sum();
    on_time as f64 / submitted as f64
}

/// An ordinary day: 48 workers about 75% busy, no faults. One queue over all data centres serves
/// (nearly) everything within its objective.
#[test]
fn ordinary_load_is_served_in_aim() {
    let report = run(options(1, 12_000));
    assert_eq!(report.violations, Vec::<Violation>::new());
    assert!(share_in_aim(&report) > 0.97, "{:?}", report.classes);
}

/// Members are killed, told to stop, frozen and cut off while workers crash, hang, fail, slow down,
/// lose calls and carry orders out late. No task may have two runs at once, an answer of
/// completion or refusal must be true, and every caller at a living entry gets one.
#[rstest]
#[case::members(FaultPlan { interval_ms: 700, members: true, workers: false, ..FaultPlan::default() }, 1)]
#[case::members_again(FaultPlan { interval_ms: 500, members: true, workers: false, ..FaultPlan::default() }, 2)]
#[case::workers(FaultPlan { interval_ms: 150, members: false, workers: true, ..FaultPlan::default() }, 3)]
#[case::both(FaultPlan { interval_ms: 300, members: true, workers: true, ..FaultPlan::default() }, 4)]
#[case::both_again(FaultPlan { interval_ms: 400, members: true, workers: true, ..FaultPlan::default() }, 5)]
#[case::evacuated(FaultPlan { interval_ms: 300, members: true, workers: true, evacuated: true, ..FaultPlan::default() }, 6)]
fn history_holds(#[case] faults: FaultPlan, #[case] seed: u64) {
    let mut options = options(seed, 15_000);
    options.faults = Some(faults);
    let report = run(options);
    assert_eq!(report.violations, Vec::<Violation>::new());
    assert!(report.runs.0 > 1_000, "the run did too little: {report:?}");
}

/// Seeds that once broke a promise: 3 and 229 left runs that nobody would ever settle, since a stop was
/// answered before the start's answer was lost; 109 started a job of an origin that had died while
/// the job was on its way; 31 took a task that was given back in doubt for one that had not run;
/// 43 extended, with the lease of runs that were adopted after a cut, that of one of the other side.
#[rstest]
#[case(3, 150)]
#[case(109, 500)]
#[case(229, 500)]
#[case(31, 150)]
#[case(43, 150)]
fn seeds_that_failed_once(#[case] seed: u64, #[case] interval_ms: u64) {
    let mut options = options(seed, 15_000);
    options.faults = Some(FaultPlan {
        interval_ms,
        members: true,
        workers: true,
        clock_skew: false,
        partitioned: false,
        ..FaultPlan::default()
    });
    assert_eq!(run(options).violations, Vec::<Violation>::new());
}

/// Seeds that once broke a promise where workers are divided or wall clocks are wrong: with 39 the end of an
/// earlier attempt, whose entry had a clock ahead, was taken for that of a run at work; with 94 a
/// dispatcher that was heard again, but had lost the workers in question, started what its origin had
/// meanwhile handed to another.
#[rstest]
#[case(39, 150, 80)]
#[case(94, 300, 8)]
fn seeds_with_wrong_clocks_that_failed_once(
    #[case] seed: u64,
    #[case] interval_ms: u64,
    #[case] shard_size: usize,
) {
    let mut options = options(seed, 15_000);
    options.shard_size = shard_size;
    options.faults = Some(FaultPlan {
        interval_ms,
        members: true,
        workers: true,
        clock_skew: true,
        partitioned: false,
        ..FaultPlan::default()
    });
    assert_eq!(run(options).violations, Vec::<Violation>::new());
}

/// Seeds that once broke a promise where many entries are cut off at once and what was sent as the cut began
/// arrives after it has healed: a hand-in was obeyed though its task had gone elsewhere (7, 33, 95), or the
/// next dispatcher used the run numbers of one that was lost (2, 82, 154, 199), or took a task for as sure as
/// it had come to one before it (74, 185); the end of an earlier run hid a later one at work (158); two
/// entries had one job, and the one whose caller waits got no answer (277); a message that took tasks back arrived
/// after they had been handed in again (10482).
#[rstest]
#[case(7)]
#[case(33)]
#[case(95)]
#[case(2)]
#[case(82)]
#[case(154)]
#[case(199)]
#[case(74)]
#[case(185)]
#[case(158)]
#[case(277)]
#[case(10_482)]
fn seeds_with_messages_held_up_that_failed_once(#[case] seed: u64) {
    let mut options = options(seed, 15_000);
    options.shard_size = [80, 8, 16][(seed % 3) as usize];
    let classes = &mut options.load.classes;
    classes
        .iter_mut()
        .for_each(|class| class.timeout_ms = 8_000);
    options.faults = Some(FaultPlan {
        interval_ms: [900, 500, 300, 150][(seed % 4) as usize],
        members: true,
        workers: true,
        clock_skew: seed % 5 >= 3,
        partitioned: true,
        ..FaultPlan::default()
    });
    assert_eq!(run(options).violations, Vec::<Violation>::new());
}

/// Seeds that once left work open. Where all data centres are evacuated, callers whose jobs may have run waited until their
/// deadlines (54014, 51031); a result that was held up ended a job whose task the dispatcher had again by then, and would have
/// run once more (72006, 72011).
#[rstest]
#[case(54_014, false)]
#[case(51_031, true)]
#[case(72_006, true)]
#[case(72_011, true)]
fn seeds_with_evacuations_that_failed_once(#[case] seed: u64, #[case] partitioned: bool) {
    let mut options = options(seed, 15_000);
    options.shard_size = [80, 8, 16][(seed % 3) as usize];
    let classes = &mut options.load.classes;
    classes
        .iter_mut()
        .for_each(|class| class.timeout_ms = 8_000);
    options.faults = Some(FaultPlan {
        interval_ms: [900, 500, 300, 150][(seed % 4) as usize],
        members: true,
        workers: true,
        clock_skew: seed % 5 >= 3,
        partitioned,
        refused: true,
        drift: partitioned,
        evacuated: true,
        ..FaultPlan::default()
    });
    assert_eq!(run(options).violations, Vec::<Violation>::new());
}

/// Callers see one task at work on two workers: workers idle for over 20 s get a task while what is sent to
/// their dispatcher is late. The start is carried out, its answer comes after the time for it, and the
/// worker, last heard when its last task ended, was forgotten at that first miss and its runs started
/// elsewhere at once: where one dispatcher has all workers (9) and where they are divided (10, 44, where 226 ms late
/// sufficed); and where answers of that worker alone are lost (96).
#[rstest]
#[case::one_dispatcher(9)]
#[case::eight_dispatchers(10)]
#[case::barely_late(44)]
#[case::answers_lost(96)]
fn seeds_with_late_answers_that_failed_once(#[case] seed: u64) {
    let mut options = options(seed, 64_000);
    options.shard_size = [80, 8, 16][(seed % 3) as usize];
    let classes = &mut options.load.classes;
    classes
        .iter_mut()
        .for_each(|class| class.timeout_ms = 8_000);
    options.load.lull = Some(Lull {
        period_ms: 30_000,
        length_ms: 26_000,
        factor: [0.05, 0.4, 0.1, 0.2][(seed / 4 % 4) as usize],
        calm_ms: 22_000,
    });
    options.faults = Some(FaultPlan {
        interval_ms: [900, 500, 300, 150][(seed % 4) as usize],
        members: true,
        workers: true,
        clock_skew: seed % 5 >= 3,
        congested: true,
        ..FaultPlan::default()
    });
    assert_eq!(run(options).violations, Vec::<Violation>::new());
}

/// A burst of 1.8 times the ordinary load for 6 s, as the users' standard days have it: about a third
/// more than the workers can do. Work is refused by its priority and at once, and what is taken ends
/// within its objective: little of it is late, and short jobs are served (nearly) all.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn burst_is_met_by_early_refusals(#[case] seed: u64) {
    let mut options = options(seed, 14_000);
    options.load.burst = Some((4_000, 10_000, 1.8));
    let report = run(options);
    assert_eq!(report.violations, Vec::<Violation>::new());
    let [price, hold, scan] = report.classes[..] else {
        panic!("three kinds of jobs");
    };
    assert!(share_in_aim(&report) > 0.945, "{:?}", report.classes);
    assert!(price.on_time * 100 >= price.submitted * 99, "{price:?}");
    assert!(hold.on_time * 100 >= hold.submitted * 94, "{hold:?}");
    // Without counting what comes in above them, 10 to 19 of these were given up by their callers.
    assert!(scan.lost <= 3 && scan.late <= 3, "{scan:?}");
}

/// A caller waits until its deadline for a job that nobody has: its entry and its dispatcher did not hear each other for a moment, and
/// neither noticed. So many entries that most hear each other rarely, with all that holds messages up.
#[test]
fn seed_that_left_a_job_behind() {
    let seed = 7_310_047;
    let mut classes = reference_classes();
    classes
        .iter_mut()
        .for_each(|class| class.timeout_ms = 8_000);
    let mut options = options(seed, 64_000);
    options.entries = 24;
    options.shard_size = [6, 6, 12][(seed % 3) as usize];
    options.load.classes = classes;
    options.load.lull = Some(Lull {
        period_ms: 30_000,
        length_ms: 26_000,
        calm_ms: 22_000,
        factor: [0.05, 0.4, 0.1, 0.2][(seed / 4 % 4) as usize],
    });
    options.faults = Some(FaultPlan {
        interval_ms: [900, 500, 300, 150][(seed % 4) as usize],
        members: true,
        workers: true,
        clock_skew: seed % 5 >= 3,
        partitioned: true,
        congested: true,
        refused: true,
        drift: true,
        ..FaultPlan::default()
    });
    assert_eq!(run(options).violations, Vec::<Violation>::new());
}

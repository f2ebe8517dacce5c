//! Simulated deployment with many dispatchers, whose callers compete for room that is free somewhere at times.

use celerywinch_bench::members::{
    ClassStats, FaultPlan, LoadPlan, MembersOptions, MembersReport, Violation, WorkerKinds,
    half_worker_load, run, uneven_load, uneven_workers,
};
use celerywinch_types::{DisabledMechanisms, Mechanism};
use rstest::rstest;

/// Returns 350 workers under 16 dispatchers of 22 workers each, and 28 entries in three data centres.
fn options(seed: u64, load_ms: u64, load: LoadPlan, workers: WorkerKinds) -> MembersOptions {
    MembersOptions {
        seed,
        dcs: 3,
        entries: 28,
        workers: 350,
        kinds: workers,
        shard_size: 32,
        disabled: DisabledMechanisms::default(),
        link_rate: None,
        load_ms,
        load,
        unanswered: None,
        faults: None,
        ..MembersOptions::default()
    }
}

/// Returns the share of jobs that miss their objectives, in thousandths.
fn missed(classes: &[ClassStats]) -> usize {
    let submitted: usize = classes.iter().map(|class| class.submitted).sum();
    let on_time: usize = classes.iter().map(|class| class.on_time).sum();
    (submitted - on_time) * 1_000 / submitted
}

fn run_all(options: Vec<MembersOptions>) -> Vec<MembersReport> {
    let threads: Vec<_> = options
        .into_iter()
        .map(|options| std::thread::spawn(move || run(options)))
        .collect();
    let reports = threads
        .into_iter()
        .map(|thread| thread.join().expect("the simulation does not panic"));
    reports.collect()
}

/// Returns the number of refused jobs.
fn refused(classes: &[ClassStats]) -> usize {
    classes.iter().map(|class| class.refused).sum()
}

struct Burst {
    load: LoadPlan,
    workers: WorkerKinds,
    /// What late binding at least halves.
    measure: fn(&[ClassStats]) -> usize,
}

/// Guards against callers that miss their objectives because their tasks wait at one dispatcher while another one has
/// room. Bursts are such that the work fits on the workers, but tasks of half a worker fit only some holes. Late binding halves
/// at least the number of jobs that miss their objectives; on workers of different speeds, where jobs also miss them by tasks
/// on slow workers, the number of refused jobs.
#[rstest]
#[case::half_workers(Burst { load: half_worker_load(), workers: WorkerKinds::default(), measure: missed })]
#[case::uneven_workers(Burst { load: uneven_load(), workers: uneven_workers(), measure: refused })]
fn waiting_tasks_use_the_first_room(#[case] case: Burst) {
    let simulate = |disabled: DisabledMechanisms| {
        let all = [1, 2].map(|seed| {
            let mut options = options(seed, 5_000, case.load.clone(), case.workers.clone());
            options.load.burst = Some((2_500, 5_000, 1.5));
            options.disabled = disabled;
            options
        });
        let reports = run_all(all.into());
        let sum = |measure: fn(&[ClassStats]) -> usize| -> usize {
            reports.iter().map(|report| measure(&report.classes)).sum()
        };
        for report in &reports {
            assert_eq!(report.violations, Vec::<Violation>::new());
        }
        (sum(missed), sum(case.measure))
    };
    let without = simulate(DisabledMechanisms::default().with(Mechanism::LateBinding));
    let with = simulate(DisabledMechanisms::default());
    assert!(
        with.0 <= without.0 && with.1 * 2 <= without.1,
        "{with:?} with late binding, {without:?} without"
    );
}

/// A deployment with a single dispatcher decides the same with and without late binding, also under faults.
#[test]
fn single_dispatcher_is_not_affected() {
    let simulate = |disabled| {
        let mut options = options(3, 6_000, LoadPlan::default(), WorkerKinds::default());
        options.entries = 5;
        options.workers = 48;
        options.shard_size = 1_000;
        options.load.burst = Some((3_000, 5_000, 2.0));
        options.disabled = disabled;
        options.faults = Some(FaultPlan {
            interval_ms: 400,
            members: true,
            resets: true,
            ..FaultPlan::default()
        });
        options
    };
    let without = DisabledMechanisms::default().with(Mechanism::LateBinding);
    let reports = run_all(vec![
        simulate(DisabledMechanisms::default()),
        simulate(without),
    ]);
    assert!(refused(&reports[0].classes) > 0, "there is a queue");
    assert_eq!(reports[0], reports[1]);
}

/// Guards against two runs of one task at once, false refusals and lost callers where reservations, offers and their answers
/// are lost, late or doubled, and dispatchers, origins and data centres fail during a burst.
#[rstest]
#[case::resets(FaultPlan { interval_ms: 300, resets: true, ..FaultPlan::default() })]
#[case::members_and_cuts(FaultPlan { interval_ms: 400, members: true, clock_skew: true, ..FaultPlan::default() })]
#[case::workers(FaultPlan { interval_ms: 100, workers: true, ..FaultPlan::default() })]
fn history_holds_under_faults_in_a_burst(#[case] faults: FaultPlan) {
    let all = [1, 2].map(|seed| {
        let mut options = options(seed, 5_000, half_worker_load(), WorkerKinds::default());
        options.load.burst = Some((2_500, 5_000, 1.5));
        options.faults = Some(faults);
        options
    });
    for report in run_all(all.into()) {
        assert_eq!(report.violations, Vec::<Violation>::new());
        assert!(report.runs.0 > 1_000, "{report:?}");
    }
}

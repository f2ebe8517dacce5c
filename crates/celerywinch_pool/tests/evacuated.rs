//! Dispatching while data centres are evacuated.

mod rig;

use std::collections::BTreeSet;

use celerywinch_pool::{Answer, Input, RunEnd};
use celerywinch_types::{
    DataCentreId, Domain, Fence, JobId, PriorRuns, RunNumber, TaskEnd, WorkerAnnouncement,
    WorkerStage,
};
use rig::{
    DC, Rig, clock, ended_row, is_poll, is_start, is_stop, lists, running_row, step,
    worker_announcement,
};
use rstest::rstest;

const OTHER: DataCentreId = DataCentreId(1);

/// A dispatcher with one worker in each of two data centres.
fn two_dcs() -> Rig {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    let far = WorkerAnnouncement {
        dc: OTHER,
        ..worker_announcement("w2", 2)
    };
    rig.handle(Input::Workers(vec![far]));
    let domain = Domain {
        dc: OTHER,
        shard: 0,
    };
    rig.handle(Input::Acquire(domain, Fence(5 << 5)));
    let poll = rig.last_call(is_poll);
    assert_eq!(poll.worker, "w2");
    rig.answer(&poll, lists(Vec::new(), Vec::new()));
    rig
}

fn evacuate(rig: &mut Rig, dcs: &[DataCentreId]) {
    let dcs: BTreeSet<_> = dcs.iter().copied().collect();
    rig.handle(Input::EvacuatedDataCentres(dcs));
}

/// Submits jobs of one task each that are queued if there is no free capacity.
fn submit(rig: &mut Rig, jobs: std::ops::Range<u64>) {
    for job in jobs {
        let mut order = step(PriorRuns::None, 0);
        order.job = JobId(job);
        order.refusable = false;
        rig.submit(order);
    }
}

fn started_at(rig: &Rig) -> BTreeSet<&str> {
    let starts = rig.calls.iter().filter(|call| is_start(&call.request));
    starts.map(|call| call.worker.as_str()).collect()
}

/// The end of a task that has not run, of a job that may have.
const UNPLACED_AFTER_START: TaskEnd = TaskEnd::Unplaced {
    failures: 0,
    run: RunNumber(0),
    started: true,
};
/// The end of a task of a job of which nothing has run.
const UNPLACED: TaskEnd = TaskEnd::Unplaced {
    failures: 0,
    run: RunNumber(0),
    started: false,
};

struct Case {
    evacuated: &'static [DataCentreId],
    /// The workers on which tasks are started.
    workers: &'static [&'static str],
    /// How many of six tasks are started; each worker has capacity for two.
    starts: usize,
}

/// Guards against starting tasks in evacuated data centres, and against reporting their free capacity.
#[rstest]
#[case::none(Case { evacuated: &[], workers: &["w1", "w2"], starts: 4 })]
#[case::one(Case { evacuated: &[DC], workers: &["w2"], starts: 2 })]
#[case::all(Case { evacuated: &[DC, OTHER], workers: &[], starts: 0 })]
fn evacuated_workers_get_no_tasks(#[case] case: Case) {
    let mut rig = two_dcs();
    evacuate(&mut rig, case.evacuated);
    submit(&mut rig, 1..7);
    rig.advance(50);
    assert_eq!(started_at(&rig), case.workers.iter().copied().collect());
    assert_eq!(rig.count_calls(is_start), case.starts);
    let free: u32 = [DC, OTHER]
        .map(|dc| rig.pool.load(rig.now, Domain { dc, shard: 0 }).free)
        .iter()
        .sum();
    assert_eq!(free, 0, "no free capacity is reported");
}

/// Guards against stopping running tasks at an evacuation, and against not using the workers after its end.
#[rstest]
fn evacuation_leaves_running_tasks_alone() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::Accepted(clock()));
    evacuate(&mut rig, &[DC]);
    for _ in 0..5 {
        let poll = rig.last_call(is_poll);
        rig.answer(&poll, lists(vec![running_row(1)], Vec::new()));
        rig.advance(50);
    }
    assert_eq!(rig.count_calls(is_stop), 0);
    let poll = rig.last_call(is_poll);
    rig.answer(&poll, lists(Vec::new(), vec![ended_row(1, RunEnd::Done)]));
    assert_eq!(rig.ends.last().map(|(_, end)| *end), Some(TaskEnd::Done));
    submit(&mut rig, 1..2);
    assert_eq!(rig.count_calls(is_start), 1, "not started while evacuated");
    evacuate(&mut rig, &[]);
    assert_eq!(
        rig.count_calls(is_start),
        2,
        "started at once after the end"
    );
}

/// Guards against callers waiting until their deadline while all workers of a dispatcher are in evacuated data centres: their
/// jobs may have run, so they cannot be refused as not run, but another dispatcher may have a worker.
#[rstest]
#[case::no_longer_placeable(true)]
#[case::placeable(false)]
fn waiting_jobs_that_may_have_run_are_returned(#[case] evacuated: bool) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    let mut full = step(PriorRuns::None, 0);
    full.need = rig::CAPACITY;
    full.job = JobId(1);
    rig.submit(full);
    submit(&mut rig, 2..3);
    if evacuated {
        evacuate(&mut rig, &[DC]);
    }
    rig.advance(10);
    let reported: Vec<_> = rig
        .ends
        .iter()
        .map(|(task, end)| (task.job, *end))
        .collect();
    let given_up: &[_] = if evacuated {
        &[(JobId(2), UNPLACED_AFTER_START)]
    } else {
        &[]
    };
    assert_eq!(reported, given_up);
}

/// Guards against callers waiting until their deadline where another dispatcher may have a worker, or else they should get
/// a refusal with a retry delay.
#[rstest]
#[case::new_job(true)]
#[case::queued_job(false)]
fn jobs_are_returned_while_all_data_centres_are_evacuated(#[case] new: bool) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    let mut full = step(PriorRuns::None, 0);
    full.need = rig::CAPACITY;
    full.job = JobId(1);
    rig.submit(full);
    if new {
        evacuate(&mut rig, &[DC]);
    }
    let mut waiting = step(PriorRuns::None, 0);
    waiting.target = 5_000;
    rig.submit(waiting);
    if !new {
        assert!(rig.ends.is_empty(), "queued behind the first job");
        evacuate(&mut rig, &[DC]);
        rig.advance(10);
    }
    let returned = rig.ends.last().map(|(_, end)| *end);
    assert_eq!(returned, Some(UNPLACED));
}

/// A worker of the data centre that is not evacuated, which belongs to another dispatcher.
fn foreign_worker() -> WorkerAnnouncement {
    WorkerAnnouncement {
        dc: OTHER,
        ..worker_announcement("w2", 2)
    }
}

/// What a dispatcher knows of workers.
struct Workers {
    /// Changes its only worker.
    change: fn(&mut WorkerAnnouncement),
    evacuated: bool,
    /// Whether the task is returned.
    returned: bool,
}

/// Guards against a job that waits for ever: none of the workers that obey its dispatcher may take its tasks, while a worker of
/// another dispatcher could.
#[rstest]
#[case::may_take_it(Workers { change: |_| {}, evacuated: false, returned: false })]
#[case::evacuated(Workers { change: |_| {}, evacuated: true, returned: true })]
#[case::draining(Workers { change: |w| w.stage = WorkerStage::Draining, evacuated: false, returned: true })]
#[case::too_small(Workers { change: |w| w.capacity.cpu = 4_000, evacuated: false, returned: true })]
#[case::without_label(Workers { change: |w| w.labels.clear(), evacuated: false, returned: true })]
fn tasks_are_returned_if_no_own_worker_may_take_them(
    #[case] case: Workers,
    #[values(false, true)] started: bool,
) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    let mut own = worker_announcement("w1", 1);
    own.version.sequence += 1;
    own.labels.push("ssd".to_owned());
    let mut changed = own.clone();
    changed.version.sequence += 1;
    (case.change)(&mut changed);
    rig.handle(Input::Workers(vec![foreign_worker(), own]));
    let mut full = step(PriorRuns::None, 0);
    full.need = rig::CAPACITY;
    full.job = JobId(1);
    rig.submit(full);
    let mut order = step(PriorRuns::None, 0);
    order.label = Some("ssd".to_owned());
    order.refusable = !started;
    rig.submit(order);
    rig.handle(Input::Workers(vec![changed]));
    evacuate(&mut rig, if case.evacuated { &[DC] } else { &[] });
    rig.advance(10);
    let expected = if started {
        UNPLACED_AFTER_START
    } else {
        UNPLACED
    };
    let expected = case.returned.then_some((rig::task(0), expected));
    assert_eq!(rig.ends, expected.into_iter().collect::<Vec<_>>());
}

/// Guards against callers that are turned away after a start of all processes, before the workers have announced themselves, and
/// against jobs that wait for ever for a service without workers.
#[rstest]
#[case::may_be_announced_yet(2_500, 0)]
#[case::will_not_be(3_100, 1)]
fn service_without_workers_is_waited_for_at_the_start(#[case] after: u64, #[case] ends: usize) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    let mut order = step(PriorRuns::None, 0);
    order.service = "other".to_owned();
    order.refusable = false;
    rig.submit(order);
    rig.advance(after);
    assert_eq!(rig.ends.len(), ends, "{:?}", rig.ends);
}

/// Guards against a dispatcher that reports the shortest wait of all because it has no worker that takes tasks.
#[test]
fn dispatcher_without_usable_workers_reports_a_wait() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    evacuate(&mut rig, &[DC]);
    let load = rig.pool.load(rig.now, rig::DOMAIN);
    assert_eq!((load.free, load.wait), (0, [800; 3]));
}

//! Dispatching while data centres are evacuated.

mod rig;

use std::collections::BTreeSet;

use celerywinch_pool::{Answer, Input, RunEnd};
use celerywinch_types::{
    DataCentreId, Domain, Fence, JobId, PriorRuns, TaskEnd, WorkerAnnouncement,
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

/// Guards against callers waiting until their deadline while all data centres are evacuated, where their job may have run
/// and so cannot be refused as not run.
#[rstest]
#[case::no_longer_placeable(true)]
#[case::placeable(false)]
fn waiting_jobs_that_may_have_run_are_given_up(#[case] evacuated: bool) {
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
        &[(JobId(2), TaskEnd::Unplaced)]
    } else {
        &[]
    };
    assert_eq!(reported, given_up);
}

/// Guards against callers waiting until their deadline where they should get a refusal with a retry delay.
#[rstest]
#[case::new_job(true)]
#[case::queued_job(false)]
fn jobs_are_refused_while_all_data_centres_are_evacuated(#[case] new: bool) {
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
    let refused = rig.ends.last().map(|(_, end)| *end);
    assert_eq!(refused, Some(TaskEnd::Refused(1_000)));
}

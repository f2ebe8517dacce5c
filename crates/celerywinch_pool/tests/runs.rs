//! Failed, lost and late calls to workers, and their effect on runs.

mod rig;

use celerywinch_pool::{Answer, EndedRow, Input, Rejection, Request, RunEnd, RunningRow};
use celerywinch_types::{JobId, PriorRuns, RunNumber, SubmissionNumber, TaskEnd, WorkMsg};
use rig::{
    JOB, ORIGIN, Rig, clock, ended_row, is_poll, is_start, is_stop, lists, running_row, step,
    submission, task, worker_announcement,
};
use rstest::rstest;

/// The answer to a start and its expected consequences.
struct Case {
    answer: Answer,
    /// Whether the worker is polled at once and, as it lists nothing, a stop is sent.
    stops: bool,
    /// Whether the task is started again at once.
    again: bool,
}

fn is_short_poll(request: &Request) -> bool {
    matches!(
        request,
        Request::Poll {
            deadline: None,
            wait: 0,
            ..
        }
    )
}

/// Guards against a second run of a task after a start without an answer. The start may have been carried out or may be later;
/// only a refusal is certain. The worker is polled, and a run that it does not list is stopped, before the task is started
/// again.
#[rstest]
#[case::accepted(Case { answer: Answer::Accepted(clock()), stops: false, again: false })]
#[case::no_answer(Case { answer: Answer::NoAnswer, stops: true, again: false })]
#[case::lease_expired(Case {
    answer: Answer::Rejected(Rejection::LeaseExpired, Some(clock())), stops: false, again: true,
})]
#[case::stale_run(Case {
    answer: Answer::Rejected(Rejection::StaleRun, Some(clock())), stops: false, again: true,
})]
#[case::unhealthy(Case {
    answer: Answer::Rejected(Rejection::Unhealthy, None), stops: false, again: false,
})]
fn answer_to_a_start(#[case] case: Case) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let start = rig.last_call(is_start);
    let before = rig.count_calls(is_short_poll);
    rig.answer(&start, case.answer);
    assert_eq!(rig.count_calls(is_short_poll) > before, case.stops);
    if case.stops {
        let check = rig.last_call(is_short_poll);
        rig.answer(&check, lists(Vec::new(), Vec::new()));
    }
    rig.handle(Input::Tick);
    assert_eq!(rig.count_calls(is_stop) > 0, case.stops);
    assert_eq!(rig.count_calls(is_start) > 1, case.again);
}

/// Guards against stopping a run when only the answer to its start was lost: the worker lists the run, and it continues. If the
/// worker does not answer the poll either, the run is stopped.
#[rstest]
#[case::running(lists(vec![running_row(1)], Vec::new()), 0)]
#[case::no_answer(Answer::NoAnswer, 1)]
fn start_without_an_answer_is_settled_by_what_the_worker_has(
    #[case] answer: Answer,
    #[case] stops: usize,
) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::NoAnswer);
    let check = rig.last_call(is_short_poll);
    rig.answer(&check, answer);
    rig.handle(Input::Tick);
    assert_eq!(
        (rig.count_calls(is_stop), rig.count_calls(is_start)),
        (stops, 1)
    );
}

/// Guards against a worker that counts as busy forever: a caller leaves, the stop of its task is answered before the start, and
/// then the answer to the start is lost. The accepted stop must settle the run, whatever follows.
#[test]
fn accepted_stop_settles_a_start_without_an_answer() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let start = rig.last_call(is_start);
    rig.handle(Input::Work(
        ORIGIN,
        WorkMsg::Cancel {
            job: JOB,
            last_submission: SubmissionNumber::FIRST,
        },
    ));
    let stop = rig.last_call(is_stop);
    rig.answer(&stop, Answer::Accepted(clock()));
    rig.answer(&start, Answer::NoAnswer);
    for _ in 0..6 {
        rig.advance(60);
        let poll = rig.last_call(is_poll);
        rig.answer(&poll, lists(Vec::new(), Vec::new()));
    }
    assert_eq!(rig.pool.counts().1, 0, "no run is left");
}

/// What a successor finds of a task that its origin submitted as in doubt.
struct Found {
    prior_runs: PriorRuns,
    running: Option<u64>,
    ended: Option<(u64, RunEnd)>,
    /// Whether it is started again at once.
    starts: bool,
    /// The end that is reported to the origin.
    reported: Option<TaskEnd>,
}

/// Guards against a second run of a task: the successor of a lost dispatcher finds the end of an earlier, interrupted
/// run, takes it for the end of the last one, and starts the task while a later run is still running on a worker that
/// it has not reached.
#[rstest]
#[case::running(Found {
    prior_runs: PriorRuns::Unknown, running: Some(7), ended: None, starts: false, reported: None,
})]
#[case::done(Found {
    prior_runs: PriorRuns::Unknown, running: None, ended: Some((7, RunEnd::Done)), starts: false,
    reported: Some(TaskEnd::Done),
})]
#[case::interrupted_and_no_later_run(Found {
    prior_runs: PriorRuns::Last, running: None, ended: Some((7, RunEnd::Interrupted)), starts: true, reported: None,
})]
#[case::interrupted_and_a_later_run(Found {
    prior_runs: PriorRuns::Last, running: None, ended: Some((6, RunEnd::Interrupted)), starts: false, reported: None,
})]
#[case::interrupted_and_perhaps_a_later_run(Found {
    prior_runs: PriorRuns::Unknown, running: None, ended: Some((7, RunEnd::Interrupted)), starts: false, reported: None,
})]
#[case::nothing(Found {
    prior_runs: PriorRuns::Unknown, running: None, ended: None, starts: false, reported: None,
})]
fn successor_settles_a_task_in_doubt(#[case] case: Found) {
    let running = case.running.map(|run| RunningRow {
        task: task(0),
        run: RunNumber(run),
        percent: 20,
    });
    let ended = case.ended.map(|(run, end)| EndedRow {
        serial: 1,
        task: task(0),
        run: RunNumber(run),
        end,
    });
    let (running, ended) = (running.into_iter().collect(), ended.into_iter().collect());
    let mut rig = Rig::new(running, ended);
    rig.submit(step(case.prior_runs, 7));
    rig.handle(Input::Tick);
    assert_eq!(rig.count_calls(is_start) > 0, case.starts);
    let reported = rig.ends.iter().map(|(_, end)| *end).next();
    assert_eq!(reported, case.reported);
    // A task in doubt is started when every lease must have ended, and not before.
    if !case.starts && case.reported.is_none() && case.running.is_none() {
        rig.advance(1_430);
        assert_eq!(rig.count_calls(is_start), 0, "a lease may not have ended");
        rig.advance(100);
        assert_eq!(rig.count_calls(is_start), 1);
    }
}

/// Guards against a second run of a task whose worker has fallen silent: the run may continue until its lease ends, so
/// the task is started elsewhere only after that.
#[test]
fn task_of_a_silent_worker_waits_for_the_end_of_its_lease() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::Accepted(clock()));
    rig.handle(Input::Workers(vec![worker_announcement("w2", 2)]));
    let other = rig.last_call(is_poll);
    assert_eq!(other.worker, "w2");
    rig.answer(&other, lists(Vec::new(), Vec::new()));
    for _ in 0..20 {
        let polls: Vec<_> = rig
            .calls
            .iter()
            .filter(|c| c.worker == "w1" && is_poll(&c.request))
            .cloned()
            .collect();
        for poll in polls {
            rig.answer(&poll, Answer::NoAnswer);
        }
        rig.advance(20);
    }
    assert_eq!(
        rig.count_calls(is_start),
        1,
        "its lease may not have ended after 400 ms"
    );
    rig.advance(500);
    assert_eq!(rig.count_calls(is_start), 2);
    assert_eq!(rig.last_call(is_start).worker, "w2");
}

/// Guards against queueing jobs that cannot meet their objective behind the queued work: they are refused at once with a retry
/// delay. Jobs that fit into the free capacity are never refused.
#[test]
fn job_that_cannot_end_in_time_is_refused_at_once() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    for job in 0..40 {
        let mut order = step(PriorRuns::None, 0);
        order.job = JobId(job);
        rig.submit(order);
    }
    let refused = rig.ends.iter().filter_map(|(id, end)| match end {
        TaskEnd::Refused(later) => Some((id.job.0, *later)),
        _ => None,
    });
    let refused: Vec<_> = refused.collect();
    assert_eq!(rig.count_calls(is_start), 2, "two fit on the worker");
    assert!(
        refused
            .iter()
            .all(|(job, later)| *job >= 2 && *later >= 100)
    );
    assert!(refused.len() > 30, "{refused:?}");
}

/// Guards against a second run of a task: a lost dispatcher had started a run unknown to the origin, the successor
/// gives its own run the same number, and the end of the first run, found later, is taken for the end of the second. A
/// task that was in doubt gets a run number above all such runs.
#[test]
fn run_after_doubt_has_a_new_number() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::Unknown, 7));
    rig.advance(1_600);
    let start = rig.last_call(is_start);
    let Request::Start { run, .. } = start.request else {
        panic!("{start:?}");
    };
    assert!(run > RunNumber(100), "{run:?}");
}

/// Guards against a second run of a task: after a network cut, a dispatcher takes over a worker, adopts one of its two runs and
/// extends the lease of both. The dispatcher of the other run, which is cut off from the worker, starts that task
/// elsewhere when the lease that it gave has ended.
#[test]
fn lease_is_not_extended_while_runs_of_others_are_left() {
    let row = |index| RunningRow {
        task: task(index),
        run: RunNumber(7),
        percent: 20,
    };
    let mut rig = Rig::new(vec![row(0), row(1)], Vec::new());
    rig.submit(step(PriorRuns::Unknown, 7));
    for _ in 0..10 {
        rig.advance(20);
        let poll = rig.last_call(is_poll);
        let Request::Poll { deadline, .. } = poll.request else {
            panic!("{poll:?}");
        };
        assert_eq!(
            deadline, None,
            "the run of task 1 belongs to another dispatcher"
        );
        rig.answer(&poll, lists(vec![row(0), row(1)], Vec::new()));
    }
    assert_eq!(rig.count_calls(is_stop), 1, "no origin wants task 1");
    rig.advance(60);
    let poll = rig.last_call(is_poll);
    rig.answer(&poll, lists(vec![row(0)], Vec::new()));
    let Request::Poll { deadline, .. } = rig.last_call(is_poll).request else {
        panic!("a poll");
    };
    assert!(deadline.is_some());
}

/// Guards against a second run of a task: a successor adopts a run, the worker then misses a call, and the run counts
/// as ended because the successor has not extended its lease yet. The earlier dispatcher may have just extended it,
/// from a reading of the worker's clock that was 4.5 s old, so that the lease lasts up to 931 ms.
#[test]
fn adopted_run_has_the_lease_that_another_may_have_given() {
    let row = |index| RunningRow {
        task: task(index),
        run: RunNumber(7),
        percent: 20,
    };
    let mut rig = Rig::new(vec![row(0), row(1)], Vec::new());
    rig.handle(Input::Workers(vec![worker_announcement("w2", 2)]));
    let other = rig.last_call(is_poll);
    rig.answer(&other, lists(Vec::new(), Vec::new()));
    rig.submit(step(PriorRuns::Unknown, 7));
    let mut polls = rig
        .calls
        .iter()
        .filter(|call| call.worker == "w1" && is_poll(&call.request));
    let poll = polls.next_back().expect("a poll").clone();
    rig.answer(&poll, Answer::NoAnswer);
    rig.advance(930);
    assert_eq!(rig.count_calls(is_start), 0, "its lease may not have ended");
    rig.advance(100);
    assert_eq!(rig.count_calls(is_start), 1);
}

/// Where a task was after a dispatcher had returned it.
struct Resubmitted {
    /// Number of the first of its consecutive submissions to this dispatcher.
    first: u64,
    /// The end that is reported to the origin.
    reported: Option<TaskEnd>,
}

/// Guards against a second run of a task and against a needless wait of a second. There was no free capacity for the task, the
/// message that says so is lost with its link, and the task is submitted to the dispatcher again. If no other dispatcher had
/// it meanwhile, the same end is reported again. Otherwise it may be running elsewhere, and waits until such a run
/// must have ended.
#[rstest]
#[case::only_here(Resubmitted { first: 1, reported: Some(TaskEnd::Full) })]
#[case::elsewhere_meanwhile(Resubmitted { first: 3, reported: None })]
fn task_without_capacity_is_submitted_again(#[case] case: Resubmitted) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    for job in 1..=2 {
        let mut order = step(PriorRuns::None, 10);
        order.job = JobId(job);
        rig.submit(order);
    }
    let mut order = step(PriorRuns::None, 10);
    order.no_wait = true;
    rig.submit(order);
    assert_eq!(rig.ends, [(task(0), TaskEnd::Full)]);
    rig.ends.clear();
    let mut again = step(PriorRuns::Unknown, 10);
    again.tasks[0].first_submission = submission(case.first);
    again.tasks[0].submission = submission(4);
    rig.submit(again);
    let reported = rig.ends.first().map(|(_, end)| *end);
    assert_eq!(reported, case.reported);
    let starts = rig
        .count_calls(|request| matches!(request, Request::Start { task, .. } if task.job == JOB));
    assert_eq!(starts, 0);
}

/// What an origin states of a task when its dispatcher resyncs.
struct Resynced {
    /// Whether it is submitted again.
    again: bool,
    /// Whether it may still be submitted again.
    unsure: bool,
    /// Whether the answer belongs to the last resync.
    last: bool,
    /// Whether the run is stopped.
    stopped: bool,
}

/// Guards against running a job twice, for two entries: the caller's connection to the first entry broke, and the
/// message that the caller has left was lost with the link to the dispatcher, where the job continues. The dispatcher
/// resyncs after the break and stops the tasks that the origin does not name.
#[rstest]
#[case::wanted(Resynced { again: true, unsure: false, last: true, stopped: false })]
#[case::perhaps(Resynced { again: false, unsure: true, last: true, stopped: false })]
#[case::left(Resynced { again: false, unsure: false, last: true, stopped: true })]
#[case::earlier_answer(Resynced { again: false, unsure: false, last: false, stopped: false })]
fn unnamed_task_is_stopped_after_a_resync(#[case] case: Resynced) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 10));
    rig.handle(Input::ResyncOrigin(ORIGIN));
    if !case.last {
        rig.handle(Input::ResyncOrigin(ORIGIN));
    }
    if case.again {
        rig.submit(step(PriorRuns::Unknown, 10));
    }
    let unsure = case.unsure.then_some(task(0)).into_iter().collect();
    let named = WorkMsg::ResyncDone { request: 1, unsure };
    rig.handle(Input::Work(ORIGIN, named));
    let stops = rig.count_calls(|request| matches!(request, Request::Stop { .. }));
    assert_eq!(stops, usize::from(case.stopped));
}

/// Guards against a second run of a task: its dispatcher was lost, and the successor finds it running on one worker and
/// the end of an earlier run on another. That end says nothing about the current run, which is adopted.
#[rstest]
#[case::of_an_earlier_run(6, 0)]
#[case::of_the_run_itself(7, 1)]
fn end_on_another_worker_leaves_a_run_running(#[case] run: u64, #[case] serial: u64) {
    let mut rig = Rig::new(vec![running_row(7)], Vec::new());
    rig.handle(Input::Workers(vec![worker_announcement("w2", 2)]));
    let poll = rig.last_call(is_poll);
    assert_eq!(poll.worker, "w2");
    let end = EndedRow {
        serial: serial + 1,
        ..ended_row(run, RunEnd::Interrupted)
    };
    rig.answer(&poll, lists(Vec::new(), vec![end]));
    rig.submit(step(PriorRuns::Unknown, 7));
    rig.advance(1_700);
    assert_eq!(rig.count_calls(is_start), 0, "it is running on w1");
}

/// Guards against runs that no origin waits for: a worker carries out a start seconds after the dispatcher gave up on
/// it, after the job was cancelled or after its dispatcher was lost. A listed run that no origin wants is stopped.
#[test]
fn unknown_run_is_stopped() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.advance(500);
    rig.handle(Input::CheckReachable(rig::DOMAIN));
    let poll = rig.last_call(is_poll);
    rig.answer(&poll, lists(vec![running_row(3)], Vec::new()));
    rig.advance(200);
    let stop = rig.last_call(is_stop);
    let wanted = Request::Stop {
        task: task(0),
        run: RunNumber(3),
    };
    assert_eq!(stop.request, wanted);
}

/// Guards against the loss of a result: a domain is resigned while a poll of its worker is in flight, and acquired
/// again. The late answer to that poll lists an end; recording it would hide the end from the poll of the takeover.
#[test]
fn late_answer_after_resignation_is_ignored() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::Accepted(clock()));
    let late = rig.last_call(is_poll);
    rig.handle(Input::Resign(rig::DOMAIN));
    rig.handle(Input::Acquire(rig::DOMAIN, rig::LATER_FENCE));
    let poll = rig.last_call(is_poll);
    assert_ne!(poll.key, late.key);
    rig.answer(&late, lists(Vec::new(), vec![ended_row(1, RunEnd::Done)]));
    rig.answer(&poll, lists(Vec::new(), vec![ended_row(1, RunEnd::Done)]));
    rig.submit(step(PriorRuns::Last, 1));
    let last = rig.ends.last().map(|(_, end)| *end);
    assert_eq!(last, Some(TaskEnd::Done));
}

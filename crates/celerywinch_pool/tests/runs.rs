//! What the dispatcher does when orders and their answers go wrong.

mod rig;

use celerywinch_pool::{Answer, EndedRow, Input, Rejection, Request, RunEnd, RunningRow};
use celerywinch_types::{JobId, PriorRuns, RunNumber, TaskEnd, WorkMsg};
use rig::{
    JOB, ORIGIN, Rig, clock, ended_row, is_look, is_start, is_stop, lists, running_row, step, task,
    worker_note,
};
use rstest::rstest;

/// The answer to a start, and what follows.
struct Case {
    answer: Answer,
    /// Whether the worker is asked at once, and then shows nothing, so that a stop is sent.
    stops: bool,
    /// Whether the task is started again at once.
    again: bool,
}

fn is_check(order: &Request) -> bool {
    matches!(
        order,
        Request::Poll {
            deadline: None,
            wait: 0,
            ..
        }
    )
}

/// A caller's task runs twice: an order without an answer is taken for one that had no effect. It may
/// be carried out, or be later; only a refusal is certain. The worker is asked, and what it does not list is
/// stopped, before the task is started again.
#[rstest]
#[case::taken(Case { answer: Answer::Accepted(clock()), stops: false, again: false })]
#[case::silent(Case { answer: Answer::NoAnswer, stops: true, again: false })]
#[case::late(Case {
    answer: Answer::Rejected(Rejection::LeaseExpired, Some(clock())), stops: false, again: true,
})]
#[case::old(Case {
    answer: Answer::Rejected(Rejection::StaleRun, Some(clock())), stops: false, again: true,
})]
#[case::unwell(Case {
    answer: Answer::Rejected(Rejection::Unhealthy, None), stops: false, again: false,
})]
fn answer_to_a_start(#[case] case: Case) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let start = rig.last_call(is_start);
    let before = rig.count_calls(is_check);
    rig.answer(&start, case.answer);
    assert_eq!(rig.count_calls(is_check) > before, case.stops);
    if case.stops {
        let check = rig.last_call(is_check);
        rig.answer(&check, lists(Vec::new(), Vec::new()));
    }
    rig.handle(Input::Tick);
    assert_eq!(rig.count_calls(is_stop) > 0, case.stops);
    assert_eq!(rig.count_calls(is_start) > 1, case.again);
}

/// Work is thrown away of which only the answer to its order was lost: the worker lists it, and it goes on. Where the
/// worker does not answer that either, the run is stopped.
#[rstest]
#[case::at_work(lists(vec![running_row(1)], Vec::new()), 0)]
#[case::no_answer(Answer::NoAnswer, 1)]
fn order_without_an_answer_is_settled_by_what_the_worker_has(
    #[case] answer: Answer,
    #[case] stops: usize,
) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::NoAnswer);
    let check = rig.last_call(is_check);
    rig.answer(&check, answer);
    rig.handle(Input::Tick);
    assert_eq!(
        (rig.count_calls(is_stop), rig.count_calls(is_start)),
        (stops, 1)
    );
}

/// A worker is taken for busy for ever: a caller leaves, the stop of its task is answered before the
/// start is, and the start's answer is then lost. The stop settles the run, whatever comes after.
#[test]
fn stop_that_was_taken_settles_a_start_without_an_answer() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let start = rig.last_call(is_start);
    rig.handle(Input::Work(
        ORIGIN,
        WorkMsg::Cancel {
            job: JOB,
            last_submission: 1,
        },
    ));
    let stop = rig.last_call(is_stop);
    rig.answer(&stop, Answer::Accepted(clock()));
    rig.answer(&start, Answer::NoAnswer);
    for _ in 0..6 {
        rig.advance(60);
        let look = rig.last_call(is_look);
        rig.answer(&look, lists(Vec::new(), Vec::new()));
    }
    assert_eq!(rig.pool.counts().1, 0, "no run is left");
}

/// What a successor finds of a task that its origin handed in with doubt.
struct Found {
    doubt: PriorRuns,
    running: Option<u64>,
    ended: Option<(u64, RunEnd)>,
    /// Whether it is started anew at once.
    starts: bool,
    /// What the origin is told.
    told: Option<TaskEnd>,
}

/// Two runs of one task: a dispatcher is lost, its successor finds an earlier run of the task that was
/// stopped, takes it for the end of all, and starts the task while a later run is still at work on a
/// worker that it has not reached.
#[rstest]
#[case::at_work(Found {
    doubt: PriorRuns::Unknown, running: Some(7), ended: None, starts: false, told: None,
})]
#[case::done(Found {
    doubt: PriorRuns::Unknown, running: None, ended: Some((7, RunEnd::Done)), starts: false,
    told: Some(TaskEnd::Done),
})]
#[case::cut_and_no_later_run(Found {
    doubt: PriorRuns::Last, running: None, ended: Some((7, RunEnd::Interrupted)), starts: true, told: None,
})]
#[case::cut_and_a_later_run(Found {
    doubt: PriorRuns::Last, running: None, ended: Some((6, RunEnd::Interrupted)), starts: false, told: None,
})]
#[case::cut_and_perhaps_a_later_run(Found {
    doubt: PriorRuns::Unknown, running: None, ended: Some((7, RunEnd::Interrupted)), starts: false, told: None,
})]
#[case::nothing(Found {
    doubt: PriorRuns::Unknown, running: None, ended: None, starts: false, told: None,
})]
fn successor_settles_a_task_in_doubt(#[case] case: Found) {
    let running = case.running.map(|run| RunningRow {
        task: task(0),
        run: RunNumber(run),
        percent: 20,
    });
    let ended = case.ended.map(|(run, how)| EndedRow {
        serial: 1,
        task: task(0),
        run: RunNumber(run),
        end: how,
    });
    let (running, ended) = (running.into_iter().collect(), ended.into_iter().collect());
    let mut rig = Rig::new(running, ended);
    rig.submit(step(case.doubt, 7));
    rig.handle(Input::Tick);
    assert_eq!(rig.count_calls(is_start) > 0, case.starts);
    let told = rig.ends.iter().map(|(_, end)| *end).next();
    assert_eq!(told, case.told);
    // Whatever was in doubt is started once no lease can last, and not before.
    if !case.starts && case.told.is_none() && case.running.is_none() {
        rig.advance(1_430);
        assert_eq!(rig.count_calls(is_start), 0, "a lease may last");
        rig.advance(100);
        assert_eq!(rig.count_calls(is_start), 1);
    }
}

/// A worker falls silent with a task at work. The task may run until its lease is over, and is
/// started elsewhere only after that.
#[test]
fn task_of_a_silent_worker_waits_for_the_end_of_its_lease() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::Accepted(clock()));
    rig.handle(Input::Workers(vec![worker_note("w2", 2)]));
    let other = rig.last_call(is_look);
    assert_eq!(other.worker, "w2");
    rig.answer(&other, lists(Vec::new(), Vec::new()));
    for _ in 0..20 {
        let looks: Vec<_> = rig
            .calls
            .iter()
            .filter(|c| c.worker == "w1" && is_look(&c.request))
            .cloned()
            .collect();
        for look in looks {
            rig.answer(&look, Answer::NoAnswer);
        }
        rig.advance(20);
    }
    assert_eq!(rig.count_calls(is_start), 1, "400 ms: its lease may last");
    rig.advance(500);
    assert_eq!(rig.count_calls(is_start), 2);
    assert_eq!(rig.last_call(is_start).worker, "w2");
}

/// A job whose objective cannot be kept behind the work that is queued is refused at once, and told
/// when to come back; with room it never is.
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

/// Two runs of one task: a lost dispatcher had started a run that its origin did not hear of, the
/// successor gives its own run the same number, and the end of the former, which it finds later, is
/// taken for the end of the latter. A task that leaves limbo gets a number above all such runs.
#[test]
fn run_after_limbo_has_a_number_of_its_own() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::Unknown, 7));
    rig.advance(1_600);
    let start = rig.last_call(is_start);
    let Request::Start { run, .. } = start.request else {
        panic!("{start:?}");
    };
    assert!(run > RunNumber(100), "{run:?}");
}

/// Two runs of one task: after a cut, a dispatcher takes a worker over, adopts one of its two runs, and
/// extends the lease for both. The dispatcher of the other run, cut off from the worker, starts that
/// task elsewhere when the lease it gave is over.
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
        let look = rig.last_call(is_look);
        let Request::Poll { deadline, .. } = look.request else {
            panic!("{look:?}");
        };
        assert_eq!(deadline, None, "run 1 belongs to somebody else");
        rig.answer(&look, lists(vec![row(0), row(1)], Vec::new()));
    }
    assert_eq!(rig.count_calls(is_stop), 1, "nobody wants run 1");
    rig.advance(60);
    let look = rig.last_call(is_look);
    rig.answer(&look, lists(vec![row(0)], Vec::new()));
    let Request::Poll { deadline, .. } = rig.last_call(is_look).request else {
        panic!("a look");
    };
    assert!(deadline.is_some());
}

/// Two runs of one task: a successor adopts a run, the worker misses a call at that moment, and the run
/// is taken for ended, since the successor itself has not extended its lease yet. The dispatcher
/// before it may have done so just now, by a reading of the worker's clock that was 4.5 s old, so that the lease
/// lasts up to 931 ms.
#[test]
fn adopted_run_has_the_lease_that_another_may_have_given() {
    let row = |index| RunningRow {
        task: task(index),
        run: RunNumber(7),
        percent: 20,
    };
    let mut rig = Rig::new(vec![row(0), row(1)], Vec::new());
    rig.handle(Input::Workers(vec![worker_note("w2", 2)]));
    let other = rig.last_call(is_look);
    rig.answer(&other, lists(Vec::new(), Vec::new()));
    rig.submit(step(PriorRuns::Unknown, 7));
    let mut looks = rig
        .calls
        .iter()
        .filter(|call| call.worker == "w1" && is_look(&call.request));
    let look = looks.next_back().expect("a look").clone();
    rig.answer(&look, Answer::NoAnswer);
    rig.advance(930);
    assert_eq!(rig.count_calls(is_start), 0, "its lease may last");
    rig.advance(100);
    assert_eq!(rig.count_calls(is_start), 1);
}

/// Where a task was since a dispatcher gave it back.
struct NamedAgain {
    /// The first time that it was handed in here, for the present stay.
    first: u32,
    /// What the origin is told.
    told: Option<TaskEnd>,
}

/// A task runs twice, or waits a second for nothing: there was no room for it, the message that says so
/// is lost with its link, and the task is named to the dispatcher again. If it was here all the while,
/// the dispatcher says the same again. If another had it meanwhile, it may be running there, and
/// waits until that must have ended.
#[rstest]
#[case::here_all_the_while(NamedAgain { first: 1, told: Some(TaskEnd::Full) })]
#[case::elsewhere_meanwhile(NamedAgain { first: 3, told: None })]
fn task_without_room_is_named_again(#[case] case: NamedAgain) {
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
    again.tasks[0].first_submission = case.first;
    again.tasks[0].submission = 4;
    rig.submit(again);
    let told = rig.ends.first().map(|(_, end)| *end);
    assert_eq!(told, case.told);
    let starts =
        rig.count_calls(|order| matches!(order, Request::Start { task, .. } if task.job == JOB));
    assert_eq!(starts, 0);
}

/// What an origin says of a task after its dispatcher has asked.
struct Named {
    /// It is handed in again.
    again: bool,
    /// It may be handed in again yet.
    unsure: bool,
    /// The answer is that to the last question.
    last: bool,
    /// Whether the run is stopped.
    stopped: bool,
}

/// A job runs twice, at two entries: its caller's connection to the first one broke, and the message that
/// it has left was lost with the link to the dispatcher, where the job goes on. The dispatcher asks after
/// the break, and stops what its origin does not name.
#[rstest]
#[case::wanted(Named { again: true, unsure: false, last: true, stopped: false })]
#[case::perhaps(Named { again: false, unsure: true, last: true, stopped: false })]
#[case::left(Named { again: false, unsure: false, last: true, stopped: true })]
#[case::earlier_answer(Named { again: false, unsure: false, last: false, stopped: false })]
fn what_its_origin_does_not_name_is_stopped(#[case] case: Named) {
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
    let stops = rig.count_calls(|order| matches!(order, Request::Stop { .. }));
    assert_eq!(stops, usize::from(case.stopped));
}

/// Two runs of one task: its dispatcher was lost, and the successor finds it at work on one worker, and the end
/// of an earlier run of it on another. That end says nothing of the run at work, which is adopted.
#[rstest]
#[case::of_an_earlier_run(6, 0)]
#[case::of_the_run_itself(7, 1)]
fn end_on_another_worker_leaves_a_run_at_work(#[case] run: u64, #[case] serial: u64) {
    let mut rig = Rig::new(vec![running_row(7)], Vec::new());
    rig.handle(Input::Workers(vec![worker_note("w2", 2)]));
    let look = rig.last_call(is_look);
    assert_eq!(look.worker, "w2");
    let end = EndedRow {
        serial: serial + 1,
        ..ended_row(run, RunEnd::Interrupted)
    };
    rig.answer(&look, lists(Vec::new(), vec![end]));
    rig.submit(step(PriorRuns::Unknown, 7));
    rig.advance(1_700);
    assert_eq!(rig.count_calls(is_start), 0, "it is at work on w1");
}

/// Work runs for nobody: a worker carries an order out seconds after it was given up, when its job is
/// cancelled, or after its dispatcher was lost. What a worker lists and nobody waits for is stopped.
#[test]
fn run_that_nobody_knows_is_stopped() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.advance(500);
    rig.handle(Input::CheckReachable(rig::DOMAIN));
    let look = rig.last_call(is_look);
    rig.answer(&look, lists(vec![running_row(3)], Vec::new()));
    rig.advance(200);
    let stop = rig.last_call(is_stop);
    let wanted = Request::Stop {
        task: task(0),
        run: RunNumber(3),
    };
    assert_eq!(stop.request, wanted);
}

/// A result is lost: a worker is given up while a look at it is under way, and taken over again. The late answer
/// to that look lists an end; to take note of it would hide the end from the look that takes over.
#[test]
fn answer_of_a_worker_that_was_given_up_is_not_taken() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::Accepted(clock()));
    let late = rig.last_call(is_look);
    rig.handle(Input::Resign(rig::DOMAIN));
    rig.handle(Input::Acquire(rig::DOMAIN, rig::LATER_FENCE));
    let look = rig.last_call(is_look);
    assert_ne!(look.key, late.key);
    rig.answer(&late, lists(Vec::new(), vec![ended_row(1, RunEnd::Done)]));
    rig.answer(&look, lists(Vec::new(), vec![ended_row(1, RunEnd::Done)]));
    rig.submit(step(PriorRuns::Last, 1));
    let last = rig.ends.last().map(|(_, end)| *end);
    assert_eq!(last, Some(TaskEnd::Done));
}

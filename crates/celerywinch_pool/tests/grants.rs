//! Tasks that their origin may have done elsewhere.

mod rig;

use std::time::Duration;

use celerywinch_pool::{Answer, Grant, Input, Rejection, Request, RunEnd};
use celerywinch_types::{Incarnation, InstanceId, JobId, PriorRuns, Session, TaskEnd, WorkMsg};
use rig::{ORIGIN, Rig, clock, ended_row, is_look, is_start, is_stop, lists, running_row, step};
use rstest::rstest;

const REMOTE: InstanceId = InstanceId(5);

/// A dispatcher with one worker that an origin in another process hands tasks to.
struct Remote {
    rig: Rig,
}

impl Remote {
    fn new() -> Self {
        let mut remote = Self {
            rig: Rig::new(Vec::new(), Vec::new()),
        };
        remote.grant(0, 500);
        remote
    }

    /// A heartbeat tells that the origin counts the dispatcher as alive for so many ms more.
    fn grant(&mut self, session: u32, ms: u64) {
        let until = self.rig.now + Duration::from_millis(ms);
        let grant = Grant {
            incarnation: Incarnation(1),
            session: Session(session),
            until,
        };
        self.rig.handle(Input::Granted(REMOTE, grant));
    }

    fn hand_in(&mut self, session: u32, doubt: PriorRuns) {
        let mut order = step(doubt, 0);
        order.session = Session(session);
        // Else it would be refused while it waits.
        order.refusable = false;
        self.rig.handle(Input::Work(REMOTE, WorkMsg::Submit(order)));
    }

    fn starts(&self) -> usize {
        self.rig.count_calls(is_start)
    }

    /// Whether the last look extends the lease.
    fn extends(&self) -> bool {
        let look = self.rig.last_call(is_look);
        matches!(
            look.request,
            Request::Poll {
                deadline: Some(_),
                ..
            }
        )
    }
}

/// What arrived before a hand-in.
struct Case {
    session: u32,
    /// For how long the last heartbeat granted the right to start, in ms.
    granted: u64,
    /// The session of the hand-in.
    of: u32,
    starts: usize,
}

/// A task runs twice: its hand-in is held up in a cut, its origin takes the dispatcher for lost and has the
/// task done elsewhere; seconds later, when the cut has healed, the hand-in arrives and is obeyed.
#[rstest]
#[case::as_usual(Case { session: 0, granted: 500, of: 0, starts: 1 })]
#[case::of_an_earlier_session(Case { session: 1, granted: 500, of: 0, starts: 0 })]
#[case::of_a_session_not_heard_of(Case { session: 0, granted: 500, of: 1, starts: 0 })]
#[case::with_heartbeats_held_up_like_it(Case { session: 0, granted: 0, of: 0, starts: 0 })]
fn hand_in_is_obeyed_under_its_grant(#[case] case: Case) {
    let mut remote = Remote {
        rig: Rig::new(Vec::new(), Vec::new()),
    };
    remote.grant(case.session, case.granted);
    remote.hand_in(case.of, PriorRuns::None);
    assert_eq!(remote.starts(), case.starts);
}

/// A task runs twice: it waits for room at a dispatcher that hears nothing of its origin any more, which
/// has it done elsewhere; then a run ends, and the room goes to the task. A grant that was renewed
/// meanwhile lets it start, unless the origin had taken the dispatcher for lost before.
#[rstest]
#[case::over(None, 0)]
#[case::renewed(Some(0), 1)]
#[case::renewed_in_another_session(Some(1), 0)]
fn waiting_task_is_started_under_its_grant(#[case] renewed: Option<u32>, #[case] starts: usize) {
    let mut remote = Remote::new();
    // Two fill the worker.
    for job in 0..2 {
        let mut order = step(PriorRuns::None, 0);
        order.job = JobId(job);
        remote.rig.submit(order);
    }
    remote.hand_in(0, PriorRuns::None);
    assert_eq!(remote.starts(), 2);
    remote.rig.advance(400);
    if let Some(session) = renewed {
        remote.grant(session, 500);
    }
    remote.rig.advance(150);
    let first = remote.rig.last_call(is_start);
    let rejected = Answer::Rejected(Rejection::Malformed, Some(clock()));
    remote.rig.answer(&first, rejected);
    assert_eq!(remote.starts(), 2 + starts);
}

/// A task runs twice: its origin waits for the end of the lease of a run, while the dispatcher, which
/// does not know that it was given up, goes on extending it. Without a grant nothing extends a lease where the
/// run is, and after 300 ms more the run is stopped.
#[test]
fn lease_is_not_extended_beside_a_task_without_a_grant() {
    let mut remote = Remote::new();
    remote.hand_in(0, PriorRuns::None);
    let start = remote.rig.last_call(is_start);
    remote.rig.answer(&start, Answer::Accepted(clock()));
    let look = remote.rig.last_call(is_look);
    remote
        .rig
        .answer(&look, lists(vec![running_row(1)], Vec::new()));
    assert!(remote.extends());
    remote.rig.advance(510);
    let look = remote.rig.last_call(is_look);
    remote
        .rig
        .answer(&look, lists(vec![running_row(1)], Vec::new()));
    assert!(!remote.extends());
    assert_eq!(remote.rig.count_calls(is_stop), 0);
    remote.rig.advance(300);
    assert_eq!(remote.rig.count_calls(is_stop), 1);
}

/// How a task is taken back from a dispatcher.
enum TakenBack {
    /// Its caller has left.
    Cancelled,
    /// Its origin has it done elsewhere.
    Dropped,
    /// The grant of its origin is over for good.
    WithoutGrant,
}

/// A task runs twice: its origin takes it back and waits for the end of its lease before it has it done
/// elsewhere, but the stop of its run is lost, or is carried out seconds later, while looks at the worker are
/// answered. Each of them would extend the lease, and nothing would bound the run until a stop gets through.
#[rstest]
#[case::cancelled(TakenBack::Cancelled)]
#[case::dropped(TakenBack::Dropped)]
#[case::without_a_grant(TakenBack::WithoutGrant)]
fn lease_is_not_extended_beside_a_run_that_is_not_stopped_yet(#[case] how: TakenBack) {
    let mut remote = Remote::new();
    remote.hand_in(0, PriorRuns::None);
    let start = remote.rig.last_call(is_start);
    remote.rig.answer(&start, Answer::Accepted(clock()));
    let look = remote.rig.last_call(is_look);
    remote
        .rig
        .answer(&look, lists(vec![running_row(1)], Vec::new()));
    let last = 1;
    match how {
        TakenBack::Cancelled => {
            let job = rig::JOB;
            let cancel = WorkMsg::Cancel {
                job,
                last_submission: last,
            };
            remote.rig.handle(Input::Work(REMOTE, cancel));
        }
        TakenBack::Dropped => {
            let tasks = vec![rig::task(0)];
            let drop = WorkMsg::Drop {
                tasks,
                last_submission: last,
            };
            remote.rig.handle(Input::Work(REMOTE, drop));
        }
        TakenBack::WithoutGrant => remote.rig.advance(810),
    }
    let before = remote.rig.calls.len();
    let mut answered = Vec::new();
    for _ in 0..100 {
        let calls = remote.rig.calls.clone();
        let open = calls.iter().filter(|call| !answered.contains(&call.key));
        let open: Vec<_> = open.cloned().collect();
        for call in open {
            answered.push(call.key);
            let answer = match call.request {
                Request::Poll { .. } => lists(vec![running_row(1)], Vec::new()),
                Request::Start { .. } | Request::Stop { .. } => Answer::NoAnswer,
            };
            remote.rig.answer(&call, answer);
        }
        remote.rig.advance(10);
    }
    let calls = &remote.rig.calls[before..];
    let extends = |order: &Request| {
        matches!(
            order,
            Request::Poll {
                deadline: Some(_),
                ..
            }
        )
    };
    let extended = calls.iter().filter(|call| extends(&call.request)).count();
    assert_eq!(extended, 0, "of {} calls", calls.len());
}

/// A worker that stops a run that is not wanted gets no other work until it has taken the stop: a start would
/// extend the lease of all that runs there. After that it does.
#[rstest]
#[case::not_taken(None, 0)]
#[case::taken(Some(Answer::Accepted(clock())), 1)]
fn worker_is_used_again_once_a_stop_is_taken(#[case] stop: Option<Answer>, #[case] more: usize) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::Accepted(clock()));
    let cancel = WorkMsg::Cancel {
        job: rig::JOB,
        last_submission: 1,
    };
    rig.handle(Input::Work(ORIGIN, cancel));
    if let Some(answer) = stop {
        let call = rig.last_call(is_stop);
        rig.answer(&call, answer);
    }
    let mut other = step(PriorRuns::None, 0);
    other.job = JobId(78);
    rig.submit(other);
    assert_eq!(rig.count_calls(is_start), 1 + more);
}

/// A caller waits until its deadline: it sent its job to another entry, and the first one, which has it
/// still, names it again after a break of its link; what becomes of the job is told to the first one
/// alone. The entry that got the job last keeps it, and the other gives its caller a final answer.
#[rstest]
#[case::later(5, 300, REMOTE, ORIGIN)]
#[case::earlier(300, 5, ORIGIN, REMOTE)]
fn job_belongs_to_the_origin_that_got_it_last(
    #[case] first_age: u32,
    #[case] second_age: u32,
    #[case] superseded: InstanceId,
    #[case] keeps: InstanceId,
) {
    let mut remote = Remote::new();
    for (from, age) in [(ORIGIN, first_age), (REMOTE, second_age)] {
        let mut order = step(PriorRuns::None, 0);
        order.age = age;
        remote.rig.handle(Input::Work(from, WorkMsg::Submit(order)));
    }
    let start = remote.rig.last_call(is_start);
    remote.rig.answer(&start, Answer::Accepted(clock()));
    let look = remote.rig.last_call(is_look);
    remote
        .rig
        .answer(&look, lists(Vec::new(), vec![ended_row(1, RunEnd::Done)]));
    let news = remote
        .rig
        .ends_by_origin
        .iter()
        .map(|(to, end)| (*to, *end));
    let news: Vec<_> = news.collect();
    assert_eq!(
        news,
        [(superseded, TaskEnd::Superseded), (keeps, TaskEnd::Done)]
    );
}

/// A caller waits until its deadline: the dispatcher of its job was taken for lost and told to drop it, the job
/// goes back to it after the cut, and then that message arrives, which was held up. It takes back only
/// what was handed in before it was sent.
#[rstest]
#[case::cancelled(WorkMsg::Cancel { job: rig::JOB, last_submission: 0 }, 0)]
#[case::dropped(WorkMsg::Drop { tasks: vec![rig::task(0)], last_submission: 0 }, 0)]
#[case::cancelled_in_time(WorkMsg::Cancel { job: rig::JOB, last_submission: 1 }, 1)]
#[case::dropped_in_time(WorkMsg::Drop { tasks: vec![rig::task(0)], last_submission: 1 }, 1)]
fn message_that_was_held_up_takes_nothing_back(#[case] msg: WorkMsg, #[case] stops: usize) {
    let mut remote = Remote::new();
    remote.hand_in(0, PriorRuns::None);
    remote.rig.handle(Input::Work(REMOTE, msg));
    remote.rig.handle(Input::Tick);
    assert_eq!(
        (remote.starts(), remote.rig.count_calls(is_stop)),
        (1, stops)
    );
}

/// Guards against two runs of one task at once: a caller sends its job again to another entry before the worker has carried out
/// the stop of the first run.
#[rstest]
#[case::cut(RunEnd::Interrupted)]
#[case::done(RunEnd::Done)]
fn task_waits_for_the_end_of_a_run_that_is_being_stopped(#[case] how: RunEnd) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::Accepted(clock()));
    let cancel = WorkMsg::Cancel {
        job: rig::JOB,
        last_submission: 1,
    };
    rig.handle(Input::Work(ORIGIN, cancel));
    let stop = rig.last_call(is_stop);
    rig.submit(step(PriorRuns::None, 0));
    assert_eq!(rig.count_calls(is_start), 1, "the first run is there yet");
    rig.answer(&stop, Answer::Accepted(clock()));
    let look = rig.last_call(is_look);
    rig.answer(&look, lists(Vec::new(), vec![ended_row(1, how)]));
    let told: &[_] = if how == RunEnd::Done {
        &[TaskEnd::Done]
    } else {
        &[]
    };
    assert_eq!(
        rig.ends.iter().map(|(_, end)| *end).collect::<Vec<_>>(),
        told
    );
    let starts = 1 + usize::from(how == RunEnd::Interrupted);
    assert_eq!(rig.count_calls(is_start), starts);
}

struct SentAgain {
    /// Ms from what the first origin was told to the second hand-in.
    after: u64,
    /// Whether the second hand-in is of another origin.
    other: bool,
    starts: usize,
}

/// Guards against two runs of one task at once: a dispatcher without room gives a task back, its origin has it done elsewhere, and
/// the hand-in of another origin, whose caller is gone, comes when there is room.
#[rstest]
#[case::at_once(SentAgain { after: 20, other: true, starts: 1 })]
#[case::later(SentAgain { after: 1_300, other: true, starts: 2 })]
#[case::same_origin(SentAgain { after: 20, other: false, starts: 2 })]
fn task_that_went_elsewhere_a_moment_ago_is_not_started(#[case] case: SentAgain) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    let mut full = step(PriorRuns::None, 0);
    full.need = rig::ROOM;
    full.job = JobId(1);
    rig.submit(full);
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::Accepted(clock()));
    let mut passed = step(PriorRuns::None, 0);
    passed.no_wait = true;
    rig.submit(passed);
    assert_eq!(rig.ends.last().map(|(_, end)| *end), Some(TaskEnd::Full));
    let cancel = WorkMsg::Cancel {
        job: JobId(1),
        last_submission: 1,
    };
    rig.handle(Input::Work(ORIGIN, cancel));
    let stop = rig.last_call(is_stop);
    rig.answer(&stop, Answer::Accepted(clock()));
    let look = rig.last_call(is_look);
    let mut over = ended_row(1, RunEnd::Interrupted);
    over.task.job = JobId(1);
    rig.answer(&look, lists(Vec::new(), vec![over]));
    rig.advance(case.after);
    let mut remote = Remote { rig };
    remote.grant(0, 500);
    let mut again = step(PriorRuns::None, 0);
    again.tasks[0].submission = 2;
    again.tasks[0].first_submission = 2;
    let origin = if case.other { REMOTE } else { ORIGIN };
    remote
        .rig
        .handle(Input::Work(origin, WorkMsg::Submit(again)));
    assert_eq!(remote.starts(), case.starts);
}

/// Guards against two runs of one task at once: a task that may run under a lost dispatcher is handed in where an earlier run of it is
/// being stopped, and the end of that run says nothing of the other one.
#[test]
fn task_in_doubt_waits_beyond_the_end_of_a_run_that_is_being_stopped() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::Accepted(clock()));
    let cancel = WorkMsg::Cancel {
        job: rig::JOB,
        last_submission: 1,
    };
    rig.handle(Input::Work(ORIGIN, cancel));
    let stop = rig.last_call(is_stop);
    rig.submit(step(PriorRuns::Unknown, 0));
    rig.answer(&stop, Answer::Accepted(clock()));
    let look = rig.last_call(is_look);
    rig.answer(
        &look,
        lists(Vec::new(), vec![ended_row(1, RunEnd::Interrupted)]),
    );
    rig.advance(100);
    assert_eq!(rig.count_calls(is_start), 1, "it may run elsewhere");
}

//! Tests of tasks that their origin may have run elsewhere.

mod rig;

use std::time::Duration;

use celerywinch_pool::{Answer, Grant, Input, Rejection, Request, RunEnd};
use celerywinch_types::{
    Incarnation, InstanceId, JobId, PriorRuns, Session, SubmissionNumber, TaskEnd, WorkMsg,
};
use rig::{
    ORIGIN, Rig, clock, ended_row, is_poll, is_start, is_stop, lists, running_row, step, submission,
};
use rstest::rstest;

const REMOTE: InstanceId = InstanceId(5);

/// A dispatcher with one worker, to which an origin in another process submits tasks.
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

    /// Delivers a heartbeat that extends the origin's grant by `ms` milliseconds.
    fn grant(&mut self, session: u32, ms: u64) {
        let until = self.rig.now + Duration::from_millis(ms);
        let grant = Grant {
            incarnation: Incarnation(1),
            session: Session(session),
            until,
        };
        self.rig.handle(Input::Granted(REMOTE, grant));
    }

    fn submit(&mut self, session: u32, prior_runs: PriorRuns) {
        let mut order = step(prior_runs, 0);
        order.session = Session(session);
        // A refusable step would be refused while it waits.
        order.refusable = false;
        self.rig.handle(Input::Work(REMOTE, WorkMsg::Submit(order)));
    }

    fn starts(&self) -> usize {
        self.rig.count_calls(is_start)
    }

    /// Returns whether the last poll extends the lease.
    fn extends_lease(&self) -> bool {
        let poll = self.rig.last_call(is_poll);
        matches!(
            poll.request,
            Request::Poll {
                deadline: Some(_),
                ..
            }
        )
    }
}

/// What arrived before a submission.
struct Case {
    session: u32,
    /// How long the last heartbeat granted the right to start tasks, in ms.
    granted: u64,
    /// The session of the submission.
    submitted: u32,
    starts: usize,
}

/// Guards against running a task twice: its submission is delayed by a network partition, its origin considers the
/// dispatcher lost and has the task run elsewhere; seconds later, when the partition has healed, the submission arrives
/// and is accepted.
#[rstest]
#[case::current_session(Case { session: 0, granted: 500, submitted: 0, starts: 1 })]
#[case::earlier_session(Case { session: 1, granted: 500, submitted: 0, starts: 0 })]
#[case::unknown_session(Case { session: 0, granted: 500, submitted: 1, starts: 0 })]
#[case::delayed_heartbeats(Case { session: 0, granted: 0, submitted: 0, starts: 0 })]
fn submission_is_accepted_under_its_grant(#[case] case: Case) {
    let mut remote = Remote {
        rig: Rig::new(Vec::new(), Vec::new()),
    };
    remote.grant(case.session, case.granted);
    remote.submit(case.submitted, PriorRuns::None);
    assert_eq!(remote.starts(), case.starts);
}

/// Guards against running a task twice: it waits for capacity at a dispatcher that gets no heartbeats from its origin
/// any more, and the origin has it run elsewhere. Then a run ends, and its capacity goes to the task. A grant that was
/// renewed in the meantime lets the task start, unless the origin had considered the dispatcher lost before.
#[rstest]
#[case::expired(None, 0)]
#[case::renewed(Some(0), 1)]
#[case::renewed_in_another_session(Some(1), 0)]
fn waiting_task_is_started_under_its_grant(#[case] renewed: Option<u32>, #[case] starts: usize) {
    let mut remote = Remote::new();
    // Two tasks use the whole capacity of the worker.
    for job in 0..2 {
        let mut order = step(PriorRuns::None, 0);
        order.job = JobId(job);
        remote.rig.submit(order);
    }
    remote.submit(0, PriorRuns::None);
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

/// Guards against running a task twice: its origin waits for the end of the lease of a run, while the dispatcher, which
/// does not know that, keeps extending it. Without a grant the lease of the run's worker must not be extended, and
/// after 300 ms more the run is stopped.
#[test]
fn lease_is_not_extended_for_a_task_without_a_grant() {
    let mut remote = Remote::new();
    remote.submit(0, PriorRuns::None);
    let start = remote.rig.last_call(is_start);
    remote.rig.answer(&start, Answer::Accepted(clock()));
    let poll = remote.rig.last_call(is_poll);
    remote
        .rig
        .answer(&poll, lists(vec![running_row(1)], Vec::new()));
    assert!(remote.extends_lease());
    remote.rig.advance(510);
    let poll = remote.rig.last_call(is_poll);
    remote
        .rig
        .answer(&poll, lists(vec![running_row(1)], Vec::new()));
    assert!(!remote.extends_lease());
    assert_eq!(remote.rig.count_calls(is_stop), 0);
    remote.rig.advance(300);
    assert_eq!(remote.rig.count_calls(is_stop), 1);
}

/// How a task is taken back from a dispatcher.
enum Withdrawal {
    /// The caller has left.
    Cancelled,
    /// The origin has the task run elsewhere.
    Dropped,
    /// The grant of the origin has expired, and the time to renew it has passed.
    GrantExpired,
}

/// Guards against running a task twice: its origin takes it back and waits for the end of its lease before it has it
/// run elsewhere, but the stop of its run is lost or is carried out seconds later, while polls of the worker are
/// answered. If each of them extended the lease, nothing would bound the run until a stop gets through.
#[rstest]
#[case::cancelled(Withdrawal::Cancelled)]
#[case::dropped(Withdrawal::Dropped)]
#[case::grant_expired(Withdrawal::GrantExpired)]
fn lease_is_not_extended_while_a_stop_is_outstanding(#[case] withdrawal: Withdrawal) {
    let mut remote = Remote::new();
    remote.submit(0, PriorRuns::None);
    let start = remote.rig.last_call(is_start);
    remote.rig.answer(&start, Answer::Accepted(clock()));
    let poll = remote.rig.last_call(is_poll);
    remote
        .rig
        .answer(&poll, lists(vec![running_row(1)], Vec::new()));
    let last = SubmissionNumber::FIRST;
    match withdrawal {
        Withdrawal::Cancelled => {
            let job = rig::JOB;
            let cancel = WorkMsg::Cancel {
                job,
                last_submission: last,
            };
            remote.rig.handle(Input::Work(REMOTE, cancel));
        }
        Withdrawal::Dropped => {
            let tasks = vec![rig::task(0)];
            let drop = WorkMsg::Drop {
                tasks,
                last_submission: last,
            };
            remote.rig.handle(Input::Work(REMOTE, drop));
        }
        Withdrawal::GrantExpired => remote.rig.advance(810),
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
    let extends = |request: &Request| {
        matches!(
            request,
            Request::Poll {
                deadline: Some(_),
                ..
            }
        )
    };
    let extended = calls.iter().filter(|call| extends(&call.request)).count();
    assert_eq!(extended, 0, "of {} calls", calls.len());
}

/// Checks that a worker with a run to be stopped gets no other task until it has accepted the stop, since a start would
/// extend the lease of all its runs, and that it does get one after that.
#[rstest]
#[case::not_accepted(None, 0)]
#[case::accepted(Some(Answer::Accepted(clock())), 1)]
fn worker_gets_tasks_again_once_it_accepts_a_stop(
    #[case] stop: Option<Answer>,
    #[case] more: usize,
) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::Accepted(clock()));
    let cancel = WorkMsg::Cancel {
        job: rig::JOB,
        last_submission: SubmissionNumber::FIRST,
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

/// Guards against a caller that gets no answer until its deadline: it sent its job to another entry, and the first one,
/// which still has it, names it again after its connection broke; then only the first one would learn how the job
/// ends. The entry that got the job last keeps it, and the other one gives its caller a final answer.
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
    let poll = remote.rig.last_call(is_poll);
    remote
        .rig
        .answer(&poll, lists(Vec::new(), vec![ended_row(1, RunEnd::Done)]));
    let ends = remote
        .rig
        .ends_by_origin
        .iter()
        .map(|(to, end)| (*to, *end));
    let ends: Vec<_> = ends.collect();
    assert_eq!(
        ends,
        [(superseded, TaskEnd::Superseded), (keeps, TaskEnd::Done)]
    );
}

/// Guards against a caller that gets no answer until its deadline: the dispatcher of its job was considered lost and
/// told to drop it, the job goes back to it after the network partition, and then the delayed message arrives. It must
/// take back only what was submitted before it was sent.
#[rstest]
#[case::cancelled(WorkMsg::Cancel { job: rig::JOB, last_submission: submission(1) }, 0)]
#[case::dropped(WorkMsg::Drop { tasks: vec![rig::task(0)], last_submission: submission(1) }, 0)]
#[case::cancelled_in_time(WorkMsg::Cancel { job: rig::JOB, last_submission: submission(2) }, 1)]
#[case::dropped_in_time(WorkMsg::Drop { tasks: vec![rig::task(0)], last_submission: submission(2) }, 1)]
fn delayed_message_takes_back_only_earlier_submissions(#[case] msg: WorkMsg, #[case] stops: usize) {
    let mut remote = Remote::new();
    let mut order = step(PriorRuns::None, 0);
    order.tasks[0].submission = submission(2);
    order.tasks[0].first_submission = submission(2);
    remote
        .rig
        .handle(Input::Work(REMOTE, WorkMsg::Submit(order)));
    remote.rig.handle(Input::Work(REMOTE, msg));
    remote.rig.handle(Input::Tick);
    assert_eq!(
        (remote.starts(), remote.rig.count_calls(is_stop)),
        (1, stops)
    );
}

/// Guards against two concurrent runs of one task: a caller sends its job again to another entry before the worker has
/// carried out the stop of the first run.
#[rstest]
#[case::interrupted(RunEnd::Interrupted)]
#[case::done(RunEnd::Done)]
fn task_waits_for_the_end_of_a_run_that_is_being_stopped(#[case] end: RunEnd) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::Accepted(clock()));
    let cancel = WorkMsg::Cancel {
        job: rig::JOB,
        last_submission: SubmissionNumber::FIRST,
    };
    rig.handle(Input::Work(ORIGIN, cancel));
    let stop = rig.last_call(is_stop);
    rig.submit(step(PriorRuns::None, 0));
    assert_eq!(
        rig.count_calls(is_start),
        1,
        "the first run has not ended yet"
    );
    rig.answer(&stop, Answer::Accepted(clock()));
    let poll = rig.last_call(is_poll);
    rig.answer(&poll, lists(Vec::new(), vec![ended_row(1, end)]));
    let expected: &[_] = if end == RunEnd::Done {
        &[TaskEnd::Done]
    } else {
        &[]
    };
    assert_eq!(
        rig.ends.iter().map(|(_, end)| *end).collect::<Vec<_>>(),
        expected
    );
    let starts = 1 + usize::from(end == RunEnd::Interrupted);
    assert_eq!(rig.count_calls(is_start), starts);
}

struct Resubmission {
    /// The time from the end sent to the first origin to the second submission, in ms.
    after: u64,
    /// Whether another origin makes the second submission.
    other: bool,
    starts: usize,
}

/// Guards against two concurrent runs of one task: a dispatcher without free capacity returns a task, its origin has it
/// run elsewhere, and another origin, whose caller is gone, submits it when there is capacity.
#[rstest]
#[case::at_once(Resubmission { after: 20, other: true, starts: 1 })]
#[case::later(Resubmission { after: 1_300, other: true, starts: 2 })]
#[case::same_origin(Resubmission { after: 20, other: false, starts: 2 })]
fn task_that_was_just_returned_is_not_started_for_another_origin(#[case] case: Resubmission) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    let mut full = step(PriorRuns::None, 0);
    full.need = rig::CAPACITY;
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
        last_submission: SubmissionNumber::FIRST,
    };
    rig.handle(Input::Work(ORIGIN, cancel));
    let stop = rig.last_call(is_stop);
    rig.answer(&stop, Answer::Accepted(clock()));
    let poll = rig.last_call(is_poll);
    let mut over = ended_row(1, RunEnd::Interrupted);
    over.task.job = JobId(1);
    rig.answer(&poll, lists(Vec::new(), vec![over]));
    rig.advance(case.after);
    let mut remote = Remote { rig };
    remote.grant(0, 500);
    let mut again = step(PriorRuns::None, 0);
    again.tasks[0].submission = submission(2);
    again.tasks[0].first_submission = submission(2);
    let origin = if case.other { REMOTE } else { ORIGIN };
    remote
        .rig
        .handle(Input::Work(origin, WorkMsg::Submit(again)));
    assert_eq!(remote.starts(), case.starts);
}

/// Guards against two concurrent runs of one task: a task that may be running under a lost dispatcher is submitted
/// where an earlier run of it is being stopped. The end of that run says nothing about the other one.
#[test]
fn task_that_may_run_elsewhere_outwaits_a_run_that_is_being_stopped() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.submit(step(PriorRuns::None, 0));
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::Accepted(clock()));
    let cancel = WorkMsg::Cancel {
        job: rig::JOB,
        last_submission: SubmissionNumber::FIRST,
    };
    rig.handle(Input::Work(ORIGIN, cancel));
    let stop = rig.last_call(is_stop);
    rig.submit(step(PriorRuns::Unknown, 0));
    rig.answer(&stop, Answer::Accepted(clock()));
    let poll = rig.last_call(is_poll);
    rig.answer(
        &poll,
        lists(Vec::new(), vec![ended_row(1, RunEnd::Interrupted)]),
    );
    rig.advance(100);
    assert_eq!(
        rig.count_calls(is_start),
        1,
        "the task may be running elsewhere"
    );
}

/// Guards against a caller that waits until its deadline: its job is submitted to a dispatcher that does not know the
/// session yet and drops it, and then owns no domain any more when the grant of that session arrives.
#[rstest]
#[case::dropped_before(1, &[REMOTE])]
#[case::returned_at_once(0, &[])]
fn dropped_submission_is_requested_without_a_domain(
    #[case] submitted: u32,
    #[case] asked: &[InstanceId],
) {
    let rig = Rig::empty(celerywinch_pool::PoolConfig::default());
    let mut remote = Remote { rig };
    remote.grant(0, 500);
    remote.submit(submitted, PriorRuns::None);
    remote.grant(1, 500);
    assert_eq!(remote.rig.resyncs, asked);
    assert_eq!(remote.rig.ends.len(), usize::from(asked.is_empty()));
    remote.submit(1, PriorRuns::None);
    let returned = |end: &TaskEnd| matches!(end, TaskEnd::Returned { at: None, .. });
    assert!(
        remote.rig.ends.iter().all(|(_, end)| returned(end)),
        "{:?}",
        remote.rig.ends
    );
    assert!(!remote.rig.ends.is_empty());
}

//! Reservations for tasks that are still with their origins, and the capacity that is held for them.

mod rig;

use std::collections::BTreeSet;
use std::time::Duration;

use celerywinch_pool::{Answer, Grant, Input, PoolConfig, RunEnd};
use celerywinch_types::{
    DeclineReason, Fence, Incarnation, InstanceId, JobId, PriorRuns, Reservation,
    ReservationNumber, ReservedStep, Session, StepOrder, TaskEnd, TaskOrder, WorkMsg,
};
use rig::{
    CAPACITY, DC, DOMAIN, ORIGIN, Rig, clock, is_poll, is_start, lists, step, submission,
    worker_announcement,
};
use rstest::rstest;

/// A job that uses the whole capacity of the worker.
const BLOCKER: JobId = JobId(1);
const REMOTE: InstanceId = InstanceId(5);
/// For how long capacity is held, in ms.
const HOLD_MS: u64 = 40;

/// Returns a step whose tasks need half of the worker each.
fn half(job: u64, tasks: u16) -> StepOrder {
    let mut order = step(PriorRuns::None, 0);
    order.job = JobId(job);
    let first = order.tasks[0];
    order.tasks = (0..tasks)
        .map(|index| TaskOrder { index, ..first })
        .collect();
    order
}

fn reservation(mut order: StepOrder, number: u64) -> Reservation {
    let tasks = order.tasks.len() as u16;
    order.tasks.clear();
    Reservation {
        order,
        number: ReservationNumber(number),
        tasks,
        copies: 3,
    }
}

fn reserve(rig: &mut Rig, from: InstanceId, reservation: Reservation) {
    rig.handle(Input::Work(from, WorkMsg::Reserve(reservation)));
}

fn release(rig: &mut Rig, job: u64, number: u64) {
    let released = ReservedStep {
        job: JobId(job),
        step: 0,
        number: ReservationNumber(number),
    };
    rig.handle(Input::Work(ORIGIN, WorkMsg::Release(vec![released])));
}

/// Submits tasks as an origin does that was offered capacity.
fn submit(rig: &mut Rig, mut order: StepOrder, first: u64) {
    order.no_wait = true;
    for task in &mut order.tasks {
        task.submission = submission(first);
        task.first_submission = submission(first);
    }
    rig.submit(order);
}

/// Returns a dispatcher whose only worker is full.
fn busy() -> Rig {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    let mut full = step(PriorRuns::None, 0);
    full.job = BLOCKER;
    full.need = CAPACITY;
    rig.submit(full);
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::Accepted(clock()));
    rig
}

/// The run that fills the worker ends.
fn free(rig: &mut Rig) {
    let poll = rig.last_call(is_poll);
    let mut end = rig::ended_row(1, RunEnd::Done);
    end.task.job = BLOCKER;
    rig.answer(&poll, lists(Vec::new(), vec![end]));
}

/// Returns the jobs and numbers of tasks that were offered capacity.
fn offers(rig: &Rig) -> Vec<(u64, u16)> {
    let offers = rig.offers.iter();
    offers
        .map(|(_, offer)| (offer.step.job.0, offer.tasks))
        .collect()
}

fn reasons(rig: &Rig) -> Vec<DeclineReason> {
    rig.declined
        .iter()
        .map(|(_, declined)| declined.reason)
        .collect()
}

fn free_places(rig: &Rig) -> u32 {
    rig.pool.load(rig.now, DOMAIN).free
}

fn starts(rig: &Rig) -> usize {
    rig.count_calls(is_start) - 1
}

/// What waits when two tasks of half a worker become possible: job, priority and number of tasks.
struct Waiting {
    reserved: &'static [(u64, u8, u16)],
    offers: &'static [(u64, u16)],
}

/// Guards against holes that go to the wrong job: capacity is offered by priority, and one that does not fit does not block
/// smaller ones.
#[rstest]
#[case::one(Waiting { reserved: &[(77, 0, 1)], offers: &[(77, 1)] })]
#[case::more_than_fit(Waiting { reserved: &[(77, 0, 5)], offers: &[(77, 2)] })]
#[case::by_priority(Waiting { reserved: &[(77, 2, 1), (78, 0, 1), (79, 1, 1)], offers: &[(78, 1), (79, 1)] })]
fn capacity_is_offered_in_the_order_of_the_queue(#[case] case: Waiting) {
    let mut rig = busy();
    for (job, priority, tasks) in case.reserved {
        let mut order = half(*job, *tasks);
        order.priority = *priority;
        order.refusable = false;
        reserve(&mut rig, ORIGIN, reservation(order, *job));
    }
    assert_eq!(offers(&rig), [], "there is no room");
    free(&mut rig);
    assert_eq!(offers(&rig), case.offers);
    assert_eq!(starts(&rig), 0, "a reservation starts nothing");
}

/// Guards against a step with a spread limit that gets an offer beyond it.
#[test]
fn held_capacity_counts_for_the_spread() {
    let mut rig = busy();
    let mut order = half(77, 2);
    order.spread = Some(1);
    reserve(&mut rig, ORIGIN, reservation(order, 1));
    free(&mut rig);
    assert_eq!(offers(&rig), [(77, 1)]);
}

/// Guards against losing held capacity to tasks that arrive between the offer and its answer, also of higher priority.
#[test]
fn submitted_tasks_start_on_the_held_capacity() {
    let mut rig = busy();
    let mut order = half(77, 2);
    order.priority = 2;
    reserve(&mut rig, ORIGIN, reservation(order.clone(), 1));
    free(&mut rig);
    assert_eq!(free_places(&rig), 0, "held capacity is not free");
    submit(&mut rig, half(78, 2), 5);
    assert_eq!(starts(&rig), 0);
    assert_eq!(rig.ends.last().map(|(_, end)| *end), Some(TaskEnd::Full));
    submit(&mut rig, order, 6);
    assert_eq!(starts(&rig), 2);
    assert_eq!(rig.pool.waiting_reservations(), [0, 0, 0]);
}

/// What happens to a reservation of two tasks for which capacity is held.
enum After {
    Wait(u64),
    /// The reservation arrives again with this number.
    Reserved(u64),
    /// It is released up to this number.
    Released(u64),
    OriginLost,
    Resigned,
    Evacuated,
    WorkerLeft,
}

struct Outcome {
    after: After,
    /// Number of reservations that are left.
    left: usize,
    /// Whether the capacity is still held.
    held: bool,
}

/// Guards against capacity that stays held, and against a reservation that is lost or kept by a message that does not
/// concern it.
#[rstest]
#[case::shortly_after(Outcome { after: After::Wait(HOLD_MS - 10), left: 1, held: true })]
#[case::no_answer(Outcome { after: After::Wait(HOLD_MS), left: 1, held: false })]
#[case::doubled(Outcome { after: After::Reserved(7), left: 1, held: true })]
#[case::earlier_number(Outcome { after: After::Reserved(6), left: 1, held: true })]
#[case::later_number(Outcome { after: After::Reserved(8), left: 1, held: true })]
#[case::released(Outcome { after: After::Released(7), left: 0, held: false })]
#[case::released_later(Outcome { after: After::Released(9), left: 0, held: false })]
#[case::released_before(Outcome { after: After::Released(6), left: 1, held: true })]
#[case::origin_lost(Outcome { after: After::OriginLost, left: 0, held: false })]
#[case::resigned(Outcome { after: After::Resigned, left: 0, held: false })]
#[case::evacuated(Outcome { after: After::Evacuated, left: 1, held: false })]
#[case::worker_left(Outcome { after: After::WorkerLeft, left: 1, held: false })]
fn reservation_and_held_capacity_after(#[case] case: Outcome) {
    let mut rig = busy();
    let order = half(77, 2);
    reserve(&mut rig, ORIGIN, reservation(order.clone(), 7));
    free(&mut rig);
    assert_eq!(offers(&rig), [(77, 2)]);
    match case.after {
        After::Wait(ms) => rig.advance(ms),
        After::Reserved(number) => reserve(&mut rig, ORIGIN, reservation(order.clone(), number)),
        After::Released(number) => release(&mut rig, 77, number),
        After::OriginLost => rig.handle(Input::OriginLost(ORIGIN)),
        After::Resigned => {
            rig.handle(Input::Resign(DOMAIN));
            assert_eq!(reasons(&rig), [DeclineReason::NotOwner]);
        }
        After::Evacuated => {
            rig.handle(Input::EvacuatedDataCentres(BTreeSet::from([DC])));
        }
        After::WorkerLeft => {
            let mut gone = worker_announcement("w1", 1);
            gone.stage = celerywinch_types::WorkerStage::Gone;
            rig.handle(Input::Workers(vec![gone]));
        }
    }
    assert_eq!(offers(&rig), [(77, 2)], "nothing more is offered");
    assert_eq!(rig.pool.waiting_reservations(), [case.left, 0, 0]);
    submit(&mut rig, order, 5);
    let usable = case.held || matches!(case.after, After::Wait(_) | After::Released(_));
    let lost_origin = matches!(case.after, After::OriginLost);
    let expected = if usable || lost_origin { 2 } else { 0 };
    assert_eq!(starts(&rig), expected, "what is not held is free");
    let returned = match case.after {
        After::Resigned => TaskEnd::Returned {
            at: None,
            failures: 0,
            run: celerywinch_types::RunNumber(0),
        },
        _ => TaskEnd::Full,
    };
    let returned = rig.ends.iter().filter(|(_, end)| *end == returned);
    assert_eq!(returned.count(), 2 - expected);
}

/// Guards against a lost offer: the capacity is offered again, but not before other work could use it.
#[test]
fn capacity_is_offered_again_after_a_lost_offer() {
    let mut rig = busy();
    reserve(&mut rig, ORIGIN, reservation(half(77, 2), 1));
    free(&mut rig);
    rig.advance(HOLD_MS + 60);
    assert_eq!(free_places(&rig), 4, "of the assumed size");
    assert_eq!(offers(&rig), [(77, 2)]);
    rig.advance(60);
    assert_eq!(offers(&rig), [(77, 2), (77, 2)]);
}

/// Guards against a task that is bound to a dispatcher whose capacity is gone: what arrives after the hold is returned, also
/// where another part of the step runs here.
#[rstest]
#[case::first_part(false)]
#[case::later_part(true)]
fn tasks_that_arrive_too_late_are_returned(#[case] runs_here: bool) {
    let mut rig = busy();
    reserve(&mut rig, ORIGIN, reservation(half(77, 3), 1));
    free(&mut rig);
    if runs_here {
        submit(&mut rig, half(77, 1), 5);
    }
    rig.advance(HOLD_MS);
    submit(&mut rig, half(78, 2), 6);
    let before = starts(&rig);
    let mut late = half(77, 3);
    late.tasks.remove(0);
    submit(&mut rig, late, 7);
    assert_eq!(starts(&rig), before);
    let full = rig.ends.iter().rev().take(2);
    let full: Vec<_> = full.map(|(task, end)| (task.job.0, *end)).collect();
    assert_eq!(full, [(77, TaskEnd::Full); 2]);
    assert_eq!(
        rig.pool.waiting_reservations(),
        [usize::from(!runs_here), 0, 0]
    );
}

/// The state of the grant of a remote origin when capacity becomes free.
struct Granted {
    /// Time from the grant to the free capacity, in ms.
    age: u64,
    /// The session of the grant; none for an origin that has granted nothing.
    session: Option<u32>,
    reserved: u32,
    offered: bool,
    /// Number of reservations that are left a second later.
    left: usize,
}

/// Guards against offers to an origin that counts this dispatcher as lost, and against reservations that outlast it.
#[rstest]
#[case::current(Granted { age: 0, session: Some(1), reserved: 1, offered: true, left: 0 })]
#[case::expired(Granted { age: 600, session: Some(1), reserved: 1, offered: false, left: 0 })]
#[case::no_grant(Granted { age: 0, session: None, reserved: 1, offered: false, left: 0 })]
#[case::earlier_session(Granted { age: 0, session: Some(1), reserved: 0, offered: false, left: 0 })]
#[case::before_the_heartbeat(Granted { age: 0, session: Some(1), reserved: 2, offered: false, left: 0 })]
fn capacity_is_offered_under_a_grant(#[case] case: Granted) {
    let mut rig = busy();
    if let Some(session) = case.session {
        let until = rig.now + Duration::from_millis(500);
        let grant = Grant {
            incarnation: Incarnation(1),
            session: Session(session),
            until,
        };
        rig.handle(Input::Granted(REMOTE, grant));
    }
    let mut order = half(77, 1);
    order.refusable = false;
    order.session = Session(case.reserved);
    reserve(&mut rig, REMOTE, reservation(order, 1));
    rig.advance(case.age);
    free(&mut rig);
    assert_eq!(!rig.offers.is_empty(), case.offered);
    rig.advance(1_100);
    assert_eq!(rig.pool.waiting_reservations(), [case.left, 0, 0]);
}

/// A reservation at a dispatcher without room.
struct Declining {
    /// Time since the arrival of the job, in ms; its objective is 380 ms, and a task runs for 200 ms.
    age: u32,
    refusable: bool,
    label: Option<&'static str>,
    /// How long it waits, in ms.
    wait: u64,
    reason: Option<DeclineReason>,
}

/// Guards against callers that wait for what is known to be impossible, and against a false refusal of a job that may have
/// started elsewhere.
#[rstest]
#[case::in_time(Declining { age: 0, refusable: true, label: None, wait: 0, reason: None })]
#[case::late(Declining { age: 300, refusable: true, label: None, wait: 0, reason: Some(DeclineReason::Late(100)) })]
#[case::late_and_started(Declining { age: 300, refusable: false, label: None, wait: 0, reason: None })]
#[case::late_after_a_while(Declining { age: 0, refusable: true, label: None, wait: 300, reason: Some(DeclineReason::Late(100)) })]
#[case::no_such_worker(Declining { age: 0, refusable: false, label: Some("x"), wait: 0, reason: Some(DeclineReason::Unplaced) })]
fn reservations_without_prospect_are_declined(#[case] case: Declining) {
    let mut rig = busy();
    let mut order = half(77, 1);
    order.age = case.age;
    order.refusable = case.refusable;
    order.label = case.label.map(str::to_owned);
    reserve(&mut rig, ORIGIN, reservation(order, 4));
    rig.advance(case.wait);
    assert_eq!(reasons(&rig), case.reason.into_iter().collect::<Vec<_>>());
    for (to, declined) in &rig.declined {
        assert_eq!((*to, declined.step.number), (ORIGIN, ReservationNumber(4)));
    }
    let left = usize::from(case.reason.is_none());
    assert_eq!(rig.pool.waiting_reservations(), [left, 0, 0]);
}

/// Guards against a dispatcher that keeps reservations although it owns no domain.
#[test]
fn dispatcher_without_a_domain_declines() {
    let mut rig = Rig::empty(PoolConfig::default());
    reserve(&mut rig, ORIGIN, reservation(half(77, 1), 1));
    assert_eq!(reasons(&rig), [DeclineReason::NotOwner]);
    assert!(rig.pool.is_idle());
}

/// Guards against counting waiting work once for each dispatcher that has its reservation.
#[test]
fn reserved_work_is_counted_in_shares() {
    let wait = |copies| {
        let mut rig = busy();
        let mut order = half(77, 6);
        order.refusable = false;
        let mut reservation = reservation(order, 1);
        reservation.copies = copies;
        reserve(&mut rig, ORIGIN, reservation);
        rig.pool.load(rig.now, DOMAIN).wait[0]
    };
    assert!(wait(1) > 500);
    assert!(wait(3).abs_diff(wait(1) / 3) <= 1);
}

/// Guards against a task that starts twice because a reservation is taken for a submission: another dispatcher has the same
/// reservation, and only the submission starts the task.
#[test]
fn two_dispatchers_start_a_task_once() {
    let mut rigs = [busy(), busy()];
    for rig in &mut rigs {
        reserve(rig, ORIGIN, reservation(half(77, 1), 1));
        free(rig);
        assert_eq!(offers(rig), [(77, 1)]);
    }
    submit(&mut rigs[0], half(77, 1), 5);
    release(&mut rigs[1], 77, 1);
    for rig in &mut rigs {
        rig.advance(1_000);
    }
    assert_eq!(rigs.each_ref().map(starts), [1, 0]);
}

/// Guards against capacity that stays held after a domain was resigned and acquired again.
#[test]
fn change_of_hands_ends_what_is_held() {
    let mut rig = busy();
    reserve(&mut rig, ORIGIN, reservation(half(77, 2), 1));
    free(&mut rig);
    rig.handle(Input::Resign(DOMAIN));
    rig.handle(Input::Acquire(DOMAIN, Fence(7 << 5)));
    let poll = rig.last_call(is_poll);
    rig.answer(&poll, lists(Vec::new(), Vec::new()));
    assert_eq!(free_places(&rig), 4, "of the assumed size");
}

//! Reservations for tasks that found no free capacity.

use std::collections::BTreeSet;
use std::time::Duration;

use celerywinch_origin::{CallerId, Holder, Input, NewJob, Origin, Output};
use celerywinch_types::{
    DataCentreId, DeclineReason, Declined, DisabledMechanisms, Domain, InstanceId, JobEnd, JobId,
    JobPlan, Load, Mechanism, Offer, Queue, Reservation, ReservationNumber, ReservedStep,
    Resources, RunNumber, StepOrder, StepPlan, TaskEnd, TaskId, TaskReport, Time, WorkMsg,
};
use rstest::rstest;

const DC: DataCentreId = DataCentreId(0);
const JOB: JobId = JobId(77);
const CALLER: CallerId = CallerId(5);
const ALL: [u32; 3] = [1, 2, 3];

fn holder(instance: u32, free: u32) -> Holder {
    Holder {
        domain: Domain {
            dc: DC,
            shard: instance as u8,
        },
        instance: InstanceId(instance),
        load: Load {
            free,
            ..Load::default()
        },
        preferred: true,
        local: true,
    }
}

fn job(tasks: u16) -> NewJob {
    NewJob {
        id: JOB,
        queue: Queue {
            name: "q".to_owned(),
            host: "h".to_owned(),
            prefix: "/q/".to_owned(),
            service: "s".to_owned(),
            priority: 0,
            attempts: 3,
            slack: 1_600,
            target: 60,
            timeout: 1_500,
            advised: false,
        },
        plan: JobPlan {
            spec: "spec".to_owned(),
            steps: vec![StepPlan {
                count: tasks,
                need: Resources::default(),
                estimate: 200,
                after: Vec::new(),
                label: None,
                rack: None,
                spread: None,
            }],
        },
        first_run: RunNumber(1_000),
    }
}

/// An origin and its outputs.
struct Harness {
    origin: Origin,
    now: Time,
    submitted: Vec<(InstanceId, StepOrder)>,
    reserved: Vec<(InstanceId, Reservation)>,
    released: Vec<(InstanceId, ReservedStep)>,
    answers: Vec<JobEnd>,
}

impl Harness {
    /// Creates an origin with a job of so many tasks, and dispatchers with these numbers of free places.
    fn new(tasks: u16, free_places: &[u32], disabled: DisabledMechanisms) -> Self {
        let mut harness = Self {
            origin: Origin::new(DC, disabled),
            now: Time(1_000_000),
            submitted: Vec::new(),
            reserved: Vec::new(),
            released: Vec::new(),
            answers: Vec::new(),
        };
        let holders = (1..).zip(free_places);
        let holders = holders.map(|(instance, free)| holder(instance, *free));
        harness.handle(Input::Holders(holders.collect()));
        harness.handle(Input::Submit(CALLER, job(tasks)));
        harness
    }

    /// Creates an origin with a job of so many tasks that is reserved at three dispatchers.
    fn reserved(tasks: u16) -> Self {
        let harness = Self::new(tasks, &[0, 0, 0], DisabledMechanisms::default());
        assert_eq!(harness.reserved_at(), ids(&ALL));
        harness
    }

    fn handle(&mut self, input: Input) {
        let mut out = Vec::new();
        self.now = self.now + Duration::from_millis(1);
        self.origin.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Send(to, WorkMsg::Submit(order)) => self.submitted.push((to, order)),
                Output::Send(to, WorkMsg::Reserve(reservation)) => {
                    self.reserved.push((to, reservation));
                }
                Output::Send(to, WorkMsg::Release(steps)) => {
                    self.released
                        .extend(steps.into_iter().map(|step| (to, step)));
                }
                Output::Answer(_, end) => self.answers.push(end),
                Output::Send(..) | Output::Event(_) => {}
            }
        }
    }

    /// Takes the dispatchers that were sent a reservation.
    fn reserved_at(&self) -> BTreeSet<InstanceId> {
        self.reserved.iter().map(|(to, _)| *to).collect()
    }

    fn take_reserved(&mut self) -> BTreeSet<InstanceId> {
        let reserved = self.reserved_at();
        self.reserved.clear();
        reserved
    }

    fn released_at(&self) -> BTreeSet<InstanceId> {
        self.released.iter().map(|(to, _)| *to).collect()
    }

    fn number(&self, dispatcher: u32) -> ReservationNumber {
        let reserved = self.reserved.iter().rev();
        let mut at = reserved.filter(|(to, _)| *to == InstanceId(dispatcher));
        at.next().expect("a reservation").1.number
    }

    fn offer(&mut self, from: u32, tasks: u16) {
        let step = step(ReservationNumber(u64::MAX));
        let offer = WorkMsg::Offer(vec![Offer { step, tasks }]);
        self.handle(Input::Work(InstanceId(from), offer));
    }

    fn decline(&mut self, from: u32, number: ReservationNumber, reason: DeclineReason) {
        let declined = Declined {
            step: step(number),
            reason,
        };
        let msg = WorkMsg::Decline(vec![declined]);
        self.handle(Input::Work(InstanceId(from), msg));
    }

    /// A dispatcher reports an end for all tasks of an order.
    fn reply(&mut self, from: InstanceId, order: &StepOrder, end: TaskEnd) {
        let reports = order.tasks.iter().map(|task| TaskReport {
            task: TaskId {
                job: JOB,
                step: 0,
                index: task.index,
            },
            submission: task.submission,
            end,
        });
        let reports = reports.collect();
        self.handle(Input::Work(from, WorkMsg::Ended(reports)));
    }
}

fn ids(instances: &[u32]) -> BTreeSet<InstanceId> {
    instances
        .iter()
        .map(|instance| InstanceId(*instance))
        .collect()
}

fn step(number: ReservationNumber) -> ReservedStep {
    ReservedStep {
        job: JOB,
        step: 0,
        number,
    }
}

/// Guards against a task that waits at one dispatcher while another one gets room: tasks that the first one has no room for
/// are reserved at all.
#[rstest]
#[case::no_reported_room(&[0, 0, 0], false)]
#[case::room_is_gone(&[0, 2, 0], true)]
fn tasks_without_room_are_reserved(#[case] free_places: &[u32], #[case] passed: bool) {
    let mut harness = Harness::new(2, free_places, DisabledMechanisms::default());
    if passed {
        let (to, order) = harness.submitted[0].clone();
        assert!(order.no_wait);
        harness.reply(to, &order, TaskEnd::Full);
    }
    assert_eq!(harness.reserved_at(), ids(&ALL));
    assert_eq!(harness.submitted.len(), usize::from(passed));
    let numbers: BTreeSet<_> = harness.reserved.iter().map(|(_, r)| r.number).collect();
    assert_eq!(numbers.len(), 3, "each message has a number of its own");
    for (_, reservation) in &harness.reserved {
        assert_eq!((reservation.tasks, reservation.copies), (2, 3));
        assert!(reservation.order.refusable);
        assert!(reservation.order.spec.is_empty() && reservation.order.tasks.is_empty());
    }
}

/// Late binding changes nothing where it cannot help or is disabled.
#[rstest]
#[case::single_dispatcher(&[0], DisabledMechanisms::default())]
#[case::disabled(&[0, 0, 0], DisabledMechanisms::default().with(Mechanism::LateBinding))]
fn tasks_wait_at_their_dispatcher(#[case] free: &[u32], #[case] disabled: DisabledMechanisms) {
    let mut harness = Harness::new(2, free, disabled);
    assert!(!harness.submitted[0].1.no_wait);
    harness.handle(Input::CallerGone(CALLER));
    assert!(harness.reserved.is_empty() && harness.released.is_empty());
}

struct Offered {
    /// Dispatchers that offer capacity, with the number of tasks that it suffices for.
    offers: &'static [(u32, u16)],
    /// Number of tasks that are submitted to each of them.
    submitted: &'static [usize],
    /// Dispatchers whose reservations are released.
    released: &'static [u32],
}

/// Guards against starting a task at two dispatchers, and against capacity that stays held: of two tasks each is submitted
/// once, and offers that are not needed are answered.
#[rstest]
#[case::all_at_once(Offered { offers: &[(2, 2)], submitted: &[2], released: &[1, 3] })]
#[case::one_by_one(Offered { offers: &[(2, 1), (2, 1)], submitted: &[1, 1], released: &[1, 3] })]
#[case::a_part(Offered { offers: &[(2, 1)], submitted: &[1], released: &[] })]
#[case::in_parts(Offered { offers: &[(2, 1), (1, 2)], submitted: &[1, 1], released: &[1, 2, 3] })]
#[case::two_at_once(Offered { offers: &[(2, 2), (1, 2)], submitted: &[2, 0], released: &[1, 3] })]
#[case::doubled(Offered { offers: &[(2, 2), (2, 2)], submitted: &[2, 0], released: &[1, 2, 3] })]
#[case::not_reserved(Offered { offers: &[(9, 2)], submitted: &[0], released: &[9] })]
fn first_offers_get_the_tasks(#[case] case: Offered) {
    let mut harness = Harness::reserved(2);
    let mut indices = Vec::new();
    for ((from, tasks), expected) in case.offers.iter().zip(case.submitted) {
        let before = harness.submitted.len();
        harness.offer(*from, *tasks);
        let sent = &harness.submitted[before..];
        assert!(
            sent.iter()
                .all(|(to, order)| to.0 == *from && order.no_wait)
        );
        let tasks = sent.iter().flat_map(|(_, order)| order.tasks.iter());
        let new: Vec<_> = tasks.map(|task| task.index).collect();
        assert_eq!(new.len(), *expected);
        indices.extend(new);
    }
    let distinct: BTreeSet<_> = indices.iter().collect();
    assert_eq!(distinct.len(), indices.len());
    assert_eq!(harness.released_at(), ids(case.released));
    let last = harness.reserved.iter().map(|(_, r)| r.number).max();
    let numbers = harness.released.iter().map(|(_, step)| Some(step.number));
    assert!(numbers.into_iter().all(|number| number >= last));
}

/// Guards against tasks that wait for nothing: the capacity that was offered is gone when they arrive.
#[test]
fn task_returned_under_a_reservation_is_reserved_again() {
    let mut harness = Harness::reserved(2);
    let before = harness.number(2);
    harness.offer(2, 1);
    let (to, order) = harness.submitted[0].clone();
    harness.take_reserved();
    harness.reply(to, &order, TaskEnd::Full);
    assert_eq!(harness.reserved_at(), ids(&[2]));
    assert!(harness.number(2) > before);
    assert_eq!(harness.reserved[0].1.tasks, 2);
    harness.offer(3, 2);
    assert_eq!(harness.submitted.len(), 2);
    assert_eq!(harness.submitted[1].1.tasks.len(), 2);
}

/// Guards against reservations that outlast their callers.
#[rstest]
#[case::caller_left(Input::CallerGone(CALLER))]
#[case::suspended(Input::Paused)]
fn reservations_end_with_the_job(#[case] end: Input) {
    let mut harness = Harness::reserved(2);
    harness.handle(end);
    assert_eq!(harness.released_at(), ids(&ALL));
    harness.offer(1, 2);
    assert_eq!(harness.released.len(), 3, "the release frees what it holds");
    harness.now = harness.now + Duration::from_millis(50);
    harness.offer(1, 2);
    assert_eq!(harness.released.len(), 4, "the release was lost");
    assert!(harness.submitted.is_empty());
}

/// What each dispatcher answers to its reservation.
struct Answers {
    reasons: [Option<DeclineReason>; 3],
    /// Whether one task was submitted to the first dispatcher before.
    started: bool,
    /// Whether the numbers in the messages are those of earlier reservations.
    outdated: bool,
    /// The range of the retry delay, in ms, if the job is refused.
    refused: Option<std::ops::RangeInclusive<u32>>,
}

const LATE: Option<DeclineReason> = Some(DeclineReason::Late(400));
const LATER: Option<DeclineReason> = Some(DeclineReason::Late(900));
const UNPLACED: Option<DeclineReason> = Some(DeclineReason::Unplaced);

/// Guards against false refusals ("not run"), and against callers that wait for what is known to be impossible.
#[rstest]
#[case::all_late(Answers { reasons: [LATER, LATE, LATER], started: false, outdated: false, refused: Some(400..=600) })]
#[case::one_silent(Answers { reasons: [LATER, LATE, None], started: false, outdated: false, refused: None })]
#[case::late_or_unable(Answers { reasons: [UNPLACED, LATE, UNPLACED], started: false, outdated: false, refused: Some(400..=600) })]
#[case::all_unable(Answers { reasons: [UNPLACED; 3], started: false, outdated: false, refused: Some(1_000..=1_000) })]
#[case::started(Answers { reasons: [LATE; 3], started: true, outdated: false, refused: None })]
#[case::outdated(Answers { reasons: [LATE; 3], started: false, outdated: true, refused: None })]
fn job_is_refused_once_all_dispatchers_have_declined(#[case] case: Answers) {
    let mut harness = Harness::reserved(2);
    if case.started {
        harness.offer(1, 1);
    }
    for (from, reason) in (1..).zip(case.reasons) {
        assert_eq!(harness.answers, []);
        if let Some(reason) = reason {
            let number = harness.number(from);
            let number = if case.outdated {
                ReservationNumber(number.0 - 1)
            } else {
                number
            };
            harness.decline(from, number, reason);
        }
    }
    match (case.refused, harness.answers.as_slice()) {
        (Some(range), [JobEnd::Refused(retry_ms)]) => {
            assert!(range.contains(retry_ms), "{retry_ms}");
        }
        (None, []) => {}
        (_, answers) => panic!("{answers:?}"),
    }
    if case.started {
        let (_, again) = harness.reserved.last().expect("a reservation");
        assert!(!again.order.refusable, "reserved again: {again:?}");
    }
}

/// Guards against callers that are refused together and return together.
#[test]
fn retry_delays_are_spread() {
    let delays = (0..20).map(|id| {
        let mut harness = Harness::new(0, &[0, 0], DisabledMechanisms::default());
        let new = NewJob {
            id: JobId(id),
            ..job(1)
        };
        harness.handle(Input::Submit(CallerId(6), new));
        for from in [1, 2] {
            let declined = Declined {
                step: ReservedStep {
                    job: JobId(id),
                    ..step(harness.number(from))
                },
                reason: DeclineReason::Late(1_000),
            };
            let msg = WorkMsg::Decline(vec![declined]);
            harness.handle(Input::Work(InstanceId(from), msg));
        }
        match harness.answers.last() {
            Some(JobEnd::Refused(retry_ms)) => *retry_ms,
            other => panic!("{other:?}"),
        }
    });
    let delays: BTreeSet<_> = delays.collect();
    assert!(delays.len() > 10, "{delays:?}");
}

struct Lost {
    inputs: fn() -> Vec<Input>,
    /// Dispatchers that get the reservation again, or for the first time.
    reserved: &'static [u32],
}

/// Guards against tasks that nobody knows of: messages, dispatchers or domains are lost while the tasks are reserved at
/// dispatchers 1 to 3.
#[rstest]
#[case::link_reset(Lost { inputs: || vec![Input::LinkReset(InstanceId(2))], reserved: &[2] })]
#[case::grant_was_over(Lost { inputs: || vec![Input::Work(InstanceId(2), WorkMsg::Resync(4))], reserved: &[2] })]
#[case::one_lost(Lost { inputs: || vec![Input::PeerLost(InstanceId(2))], reserved: &[] })]
#[case::all_lost(Lost {
    inputs: || {
        let lost = ALL.iter().map(|id| Input::PeerLost(InstanceId(*id)));
        lost.chain([Input::Holders(vec![holder(4, 0), holder(5, 0)])]).collect()
    },
    reserved: &[4, 5],
})]
#[case::domains_changed_hands(Lost {
    inputs: || vec![Input::Holders(vec![holder(4, 0), holder(5, 0)])],
    reserved: &[4, 5],
})]
fn lost_reservations_are_sent_again(#[case] case: Lost) {
    let mut harness = Harness::reserved(2);
    let last = harness.reserved.iter().map(|(_, r)| r.number).max();
    harness.take_reserved();
    for input in (case.inputs)() {
        harness.handle(input);
    }
    assert_eq!(harness.reserved_at(), ids(case.reserved));
    assert!(harness.reserved.iter().all(|(_, r)| Some(r.number) > last));
    assert_eq!(harness.answers, []);
}

/// Guards against reservations that are lost without notice: those without an offer are sent again after a second, those with
/// offers are not.
#[rstest]
#[case::nothing_offered(false, &ALL)]
#[case::offered(true, &[])]
fn reservations_without_an_offer_are_renewed(#[case] offered: bool, #[case] renewed: &[u32]) {
    let mut harness = Harness::reserved(3);
    harness.now = harness.now + Duration::from_millis(900);
    if offered {
        harness.offer(1, 1);
    }
    harness.take_reserved();
    harness.now = harness.now + Duration::from_millis(200);
    harness.handle(Input::Tick);
    assert_eq!(harness.reserved_at(), ids(renewed));
}

/// Guards against a refusal while domains change hands: a dispatcher that owns nothing any more declines, and the
/// successors get the reservations once they are known.
#[test]
fn reservations_follow_a_change_of_hands() {
    let mut harness = Harness::reserved(2);
    for from in ALL {
        let number = harness.number(from);
        harness.decline(from, number, DeclineReason::NotOwner);
    }
    assert_eq!(harness.answers, []);
    assert!(harness.origin.holders_incomplete());
    harness.take_reserved();
    harness.handle(Input::Holders(vec![holder(4, 0), holder(5, 0)]));
    assert_eq!(harness.reserved_at(), ids(&[4, 5]));
}

/// A single dispatcher gets the same messages, and callers the same answers, with and without late binding.
#[test]
fn single_dispatcher_gets_the_same_messages() {
    let record = |disabled| {
        let mut origin = Origin::new(DC, disabled);
        let mut out = Vec::new();
        let mut now = Time(1_000_000);
        let mut handle = |input| {
            now = now + Duration::from_millis(30);
            let from = out.len();
            origin.handle(now, input, &mut out);
            out[from..].to_vec()
        };
        let reply = |order: &StepOrder, end| {
            let reports = order.tasks.iter().map(|task| TaskReport {
                task: TaskId {
                    job: order.job,
                    step: order.step,
                    index: task.index,
                },
                submission: task.submission,
                end,
            });
            Input::Work(InstanceId(1), WorkMsg::Ended(reports.collect()))
        };
        let returned = TaskEnd::Returned {
            at: None,
            failures: 0,
            run: RunNumber(1_001),
        };
        let ends = [
            TaskEnd::Done,
            TaskEnd::Full,
            TaskEnd::Refused(300),
            returned,
            TaskEnd::Undetermined,
            TaskEnd::GivenUp,
        ];
        for (id, end) in (0..).zip(ends) {
            handle(Input::Holders(vec![holder(1, id as u32 % 2)]));
            let new = NewJob {
                id: JobId(id),
                ..job(2)
            };
            let sent = handle(Input::Submit(CallerId(id), new));
            for output in sent {
                if let Output::Send(_, WorkMsg::Submit(order)) = output {
                    handle(reply(&order, end));
                }
            }
            handle(Input::Tick);
            handle(Input::LinkReset(InstanceId(1)));
            handle(Input::Work(InstanceId(1), WorkMsg::Resync(id)));
        }
        handle(Input::CallerGone(CallerId(1)));
        handle(Input::PeerLost(InstanceId(1)));
        handle(Input::Paused);
        out
    };
    let without = record(DisabledMechanisms::default().with(Mechanism::LateBinding));
    assert!(without.len() > 40);
    assert_eq!(record(DisabledMechanisms::default()), without);
}

/// Guards against an endless exchange of offers and returned tasks: dispatchers offer capacity that the tasks cannot use, at
/// once and again. In the end one dispatcher keeps them.
#[rstest]
#[case::one_dispatcher(&[2], false)]
#[case::all_dispatchers(&[1, 2, 3], true)]
fn unusable_offers_end(#[case] unusable: &[u32], #[case] kept: bool) {
    const ROUNDS: usize = 50;
    let mut harness = Harness::new(2, &[0, 2, 0], DisabledMechanisms::default());
    let (to, order) = harness.submitted[0].clone();
    harness.reply(to, &order, TaskEnd::Full);
    let mut rounds = 0;
    while rounds < ROUNDS {
        let offering = harness.take_reserved();
        let offering = offering.intersection(&ids(unusable)).next().copied();
        let Some(from) = offering else {
            break;
        };
        let before = harness.submitted.len();
        harness.offer(from.0, 2);
        if let Some((to, order)) = harness.submitted.get(before).cloned() {
            harness.reply(to, &order, TaskEnd::Full);
        }
        rounds += 1;
    }
    assert!(rounds < ROUNDS, "{:?}", harness.submitted);
    let last = harness.submitted.last().expect("a submission");
    assert_eq!(!last.1.no_wait, kept);
}

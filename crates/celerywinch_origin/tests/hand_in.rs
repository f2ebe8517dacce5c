//! Handing tasks in at several dispatchers.

use std::time::Duration;

use celerywinch_origin::{CallerId, Holder, Input, NewJob, Origin, Output};
use celerywinch_types::{
    DataCentreId, DisabledMechanisms, Domain, InstanceId, JobEnd, JobId, JobPlan, Load, PriorRuns,
    Queue, Resources, RunNumber, StepOrder, StepPlan, TaskEnd, TaskId, TaskReport, Time, WorkMsg,
};
use rstest::rstest;

const DC: DataCentreId = DataCentreId(0);
const JOB: JobId = JobId(77);
const CALLER: CallerId = CallerId(5);

fn holder(instance: u32, free: u32) -> Holder {
    Holder {
        domain: Domain {
            dc: DC,
            shard: instance as u8,
        },
        instance: InstanceId(instance),
        load: Load { free, wait: [0; 3] },
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
            spec: String::new(),
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

/// An origin and what it has said.
struct Rig {
    origin: Origin,
    now: Time,
    sent: Vec<(InstanceId, StepOrder)>,
    dropped: Vec<(InstanceId, Vec<TaskId>)>,
    named: Vec<WorkMsg>,
    answers: Vec<JobEnd>,
}

impl Rig {
    /// With a job of so many tasks, and dispatchers that have this much room each.
    fn new(tasks: u16, rooms: &[u32]) -> Self {
        let mut rig = Self {
            origin: Origin::new(DC, DisabledMechanisms::default()),
            now: Time(1_000_000),
            sent: Vec::new(),
            dropped: Vec::new(),
            named: Vec::new(),
            answers: Vec::new(),
        };
        let holders = (1..).zip(rooms);
        let holders = holders.map(|(instance, free)| holder(instance, *free));
        rig.take(Input::Holders(holders.collect()));
        rig.take(Input::Submit(CALLER, job(tasks)));
        rig
    }

    fn take(&mut self, input: Input) {
        let mut out = Vec::new();
        self.now = self.now + Duration::from_millis(1);
        self.origin.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Send(to, WorkMsg::Submit(order)) => self.sent.push((to, order)),
                Output::Send(to, WorkMsg::Drop { tasks, .. }) => self.dropped.push((to, tasks)),
                Output::Send(_, msg @ WorkMsg::ResyncDone { .. }) => self.named.push(msg),
                Output::Answer(_, end) => self.answers.push(end),
                Output::Send(..) | Output::Event(_) => {}
            }
        }
    }

    fn last(&self) -> (InstanceId, StepOrder) {
        self.sent.last().expect("an order").clone()
    }

    /// A dispatcher tells the same of these tasks.
    fn tell(&mut self, from: InstanceId, order: &StepOrder, indices: &[u16], end: TaskEnd) {
        let tasks = order.tasks.iter();
        let tasks = tasks.filter(|task| indices.contains(&task.index));
        let news = tasks.map(|task| TaskReport {
            task: TaskId {
                job: JOB,
                step: 0,
                index: task.index,
            },
            submission: task.submission,
            end,
        });
        let news = news.collect();
        self.take(Input::Work(from, WorkMsg::Ended(news)));
    }
}

/// A task runs twice, at two dispatchers: the first one has no room and gives it back; the link to
/// it is reset before that message arrives, so the task is named to it again; then the message
/// arrives, and the task goes to the second one, while the first one has it again.
#[rstest]
#[case::full(TaskEnd::Full)]
#[case::returned(TaskEnd::Returned { at: None, failures: 0, run: RunNumber(1_000) })]
#[case::doubtful(TaskEnd::Undetermined)]
fn what_was_given_back_before_it_was_named_again_stays(#[case] end: TaskEnd) {
    let mut rig = Rig::new(1, &[5, 5]);
    let (first, order) = rig.last();
    rig.take(Input::LinkReset(first));
    let (again, named) = rig.last();
    assert_eq!(
        (again, named.tasks[0].prior_runs),
        (first, PriorRuns::Unknown)
    );
    let sent = rig.sent.len();
    rig.tell(first, &order, &[0], end);
    assert_eq!(rig.sent.len(), sent, "{:?}", rig.last());
    // What answers the last naming counts.
    rig.tell(first, &named, &[0], TaskEnd::Full);
    let (other, order) = rig.last();
    assert_ne!(other, first);
    assert_eq!(order.tasks[0].prior_runs, PriorRuns::None);
}

/// A caller is refused though there is room: the dispatcher that its job went to had some when it
/// last told, and has none. What it gives back goes to the next, and the last one that is tried may
/// refuse it, as nothing of it has run.
#[test]
fn tasks_without_room_go_from_one_dispatcher_to_the_next() {
    let mut rig = Rig::new(2, &[5, 5, 5, 5, 5]);
    let mut tried = Vec::new();
    for _ in 0..3 {
        let (to, order) = rig.last();
        assert!(order.no_wait && order.refusable, "{order:?}");
        assert!(!tried.contains(&to));
        tried.push(to);
        rig.tell(to, &order, &[0, 1], TaskEnd::Full);
    }
    let (to, order) = rig.last();
    assert!(!order.no_wait && order.refusable, "{order:?}");
    rig.tell(to, &order, &[0], TaskEnd::Refused(100));
    assert_eq!(rig.answers, [JobEnd::Refused(100)]);
}

struct Nearness {
    /// Room of dispatchers in other data centres, and of the one in the origin's.
    rooms: (u32, u32),
    /// Whether that one is tried first.
    first: bool,
}

/// Guards against jobs that are lost with any data centre that is cut off: their dispatchers were drawn from all of them. Whoever has
/// no room there is not asked again.
#[rstest]
#[case::room_for_a_part(Nearness { rooms: (9, 1), first: true })]
#[case::no_room(Nearness { rooms: (9, 0), first: false })]
fn jobs_go_to_dispatchers_of_their_data_centre_first(#[case] case: Nearness) {
    let (far, local) = case.rooms;
    let mut rig = Rig::new(2, &[]);
    let mut holders: Vec<_> = (1..=5).map(|instance| holder(instance, far)).collect();
    for holder in &mut holders {
        holder.local = false;
    }
    holders.push(holder(6, local));
    rig.take(Input::Holders(holders));
    let (first, order) = rig.last();
    assert_eq!(first == InstanceId(6), case.first);
    rig.tell(first, &order, &[0, 1], TaskEnd::Full);
    let (second, _) = rig.last();
    assert!(second != first && second != InstanceId(6));
}

/// A refusal that says "not run" would be false: one task of the job runs at the first dispatcher, and
/// the other went on from there. No later one may refuse the job.
#[test]
fn job_of_which_a_task_runs_cannot_be_refused() {
    let mut rig = Rig::new(2, &[5, 5]);
    let (to, order) = rig.last();
    rig.tell(to, &order, &[1], TaskEnd::Full);
    let (other, order) = rig.last();
    assert_ne!(other, to);
    assert!(!order.refusable, "{order:?}");
    let indices: Vec<u16> = order.tasks.iter().map(|task| task.index).collect();
    assert_eq!(indices, [1]);
}

/// With one dispatcher there is nobody to hand on to: it keeps what finds no room.
#[test]
fn only_dispatcher_keeps_what_has_no_room() {
    let rig = Rig::new(2, &[5]);
    assert!(!rig.last().1.no_wait);
}

/// A task runs twice: its dispatcher was not heard for a moment and has it still, though it no longer
/// dispatches for the workers where the task may be running; when the wait for its end is over, the
/// origin hands the task to another, and both start it. So the first one is told to drop it as soon as
/// it is heard, and the whole wait begins then: 500 ms for which it may start the task without hearing its
/// origin, and the longest lease, 931 ms.
#[test]
fn dispatcher_that_is_heard_again_elsewhere_drops_the_task() {
    let mut rig = Rig::new(1, &[5]);
    let (lost, _) = rig.last();
    rig.take(Input::PeerLost(lost));
    rig.now = rig.now + Duration::from_millis(1_300);
    let elsewhere = Holder {
        instance: lost,
        ..holder(9, 5)
    };
    rig.take(Input::Holders(vec![elsewhere]));
    let task = TaskId {
        job: JOB,
        step: 0,
        index: 0,
    };
    assert_eq!(rig.dropped, [(lost, vec![task])]);
    let sent = rig.sent.len();
    rig.now = rig.now + Duration::from_millis(1_430);
    rig.take(Input::Tick);
    assert_eq!(rig.sent.len(), sent, "{:?}", rig.last());
    rig.now = rig.now + Duration::from_millis(80);
    rig.take(Input::Tick);
    assert_eq!(rig.sent.len(), sent + 1);
}

/// A task runs twice: its dispatcher was not heard for a moment and has it still, waiting for room, while
/// another has taken over the workers where it may be running, and gets it from the origin. Or nobody has
/// taken them over, and it goes to another when it must have ended. The first one is told to drop it before
/// the second one gets it.
#[rstest]
#[case::to_a_successor(0)]
#[case::after_the_wait(1_600)]
fn task_that_goes_elsewhere_is_dropped_where_it_was(#[case] wait: u64) {
    let mut rig = Rig::new(1, &[5]);
    let (lost, _) = rig.last();
    let sent = rig.sent.len();
    rig.take(Input::PeerLost(lost));
    rig.now = rig.now + Duration::from_millis(wait);
    let successor = Holder {
        instance: InstanceId(7),
        ..holder(if wait == 0 { 1 } else { 9 }, 5)
    };
    rig.take(Input::Holders(vec![successor]));
    assert_eq!(rig.sent.len(), sent + 1);
    assert_eq!(rig.last().0, InstanceId(7));
    let task = TaskId {
        job: JOB,
        step: 0,
        index: 0,
    };
    assert_eq!(rig.dropped, [(lost, vec![task])]);
}

/// Work goes on for nobody, beside the same job at another entry, when the message that its caller has
/// left is lost. A dispatcher asks after each such break, and is told of all that is wanted, also of
/// what may go back to it.
#[test]
fn dispatcher_is_told_what_is_wanted() {
    let mut rig = Rig::new(1, &[5]);
    let (to, _) = rig.last();
    rig.take(Input::Work(to, WorkMsg::Resync(7)));
    let named = |unsure| WorkMsg::ResyncDone { request: 7, unsure };
    assert_eq!(rig.sent.len(), 2);
    assert_eq!(rig.named, [named(Vec::new())]);
    rig.take(Input::PeerLost(to));
    rig.take(Input::Work(to, WorkMsg::Resync(7)));
    let task = TaskId {
        job: JOB,
        step: 0,
        index: 0,
    };
    assert_eq!(rig.named[1], named(vec![task]));
}

/// A task runs twice: its hand-in is held up in a cut, and obeyed when the cut has healed and the task is
/// at work elsewhere. Each time that a dispatcher is taken for lost what it was handed before is void: the
/// session rises, and heartbeats and later hand-ins tell it.
#[test]
fn session_rises_when_a_dispatcher_is_lost() {
    let mut rig = Rig::new(1, &[5]);
    let (lost, order) = rig.last();
    assert_eq!(order.session, rig.origin.session(lost));
    rig.take(Input::PeerLost(lost));
    assert!(rig.origin.session(lost) > order.session);
    rig.take(Input::Holders(vec![holder(lost.0, 5)]));
    let (to, again) = rig.last();
    assert_eq!(to, lost);
    assert_eq!(again.session, rig.origin.session(lost));
}

/// Two runs of one task: a dispatcher used numbers that the origin never heard of; the next one uses the same, and
/// takes the end of the first run for that of its own. Numbers go on past all that the lost one can have used.
#[rstest]
#[case::to_a_successor(0)]
#[case::after_the_wait(1_600)]
fn run_numbers_go_on_past_those_of_a_lost_dispatcher(#[case] wait: u64) {
    let mut rig = Rig::new(1, &[5]);
    let (lost, order) = rig.last();
    rig.take(Input::PeerLost(lost));
    rig.now = rig.now + Duration::from_millis(wait);
    let successor = Holder {
        instance: InstanceId(7),
        ..holder(if wait == 0 { 1 } else { 9 }, 5)
    };
    rig.take(Input::Holders(vec![successor]));
    let (_, again) = rig.last();
    // Its dispatcher left tasks in doubt alone, each time by a step that is not told.
    let used = order.tasks[0].run.past_unreported().past_unreported();
    assert!(again.tasks[0].run > used, "{again:?}");
}

/// Two runs of one task: a successor gets it with the number of its last run, finds that ended, starts the
/// next one, and gives the task back; the message is lost in a break of the link, and what answers the
/// second naming says only that it is in doubt. Taken for as sure as it came, it would be started again.
#[test]
fn task_in_doubt_that_was_named_again_may_have_run_meanwhile() {
    let mut rig = Rig::new(1, &[5]);
    let (first, order) = rig.last();
    let returned = TaskEnd::Returned {
        at: Some(holder(first.0, 0).domain),
        failures: 0,
        run: RunNumber(1_001),
    };
    rig.tell(first, &order, &[0], returned);
    let successor = Holder {
        instance: InstanceId(7),
        ..holder(first.0, 5)
    };
    rig.take(Input::Holders(vec![successor]));
    let (to, order) = rig.last();
    assert_eq!(
        (to, order.tasks[0].prior_runs),
        (InstanceId(7), PriorRuns::Last)
    );
    rig.take(Input::LinkReset(to));
    let (_, named) = rig.last();
    rig.tell(to, &named, &[0], TaskEnd::Undetermined);
    rig.take(Input::Holders(vec![holder(first.0, 5)]));
    let (_, order) = rig.last();
    assert_eq!(order.tasks[0].prior_runs, PriorRuns::Unknown);
    assert!(order.tasks[0].run > RunNumber(1_002));
}

/// A caller waits until its deadline for a job that another entry has got since.
#[test]
fn caller_of_a_superseded_job_is_answered() {
    let mut rig = Rig::new(1, &[5]);
    let (to, order) = rig.last();
    rig.tell(to, &order, &[0], TaskEnd::Superseded);
    assert_eq!(rig.answers, [JobEnd::Unsure]);
}

/// A refusal that says "not run" would be false: a dispatcher refuses a job from a hand-in of which it does not
/// know that another dispatcher had it before.
#[test]
fn refusal_of_a_job_in_doubt_is_not_told_as_not_run() {
    let mut rig = Rig::new(1, &[5]);
    let (lost, _) = rig.last();
    rig.take(Input::PeerLost(lost));
    rig.take(Input::Holders(vec![holder(lost.0, 5)]));
    let (to, order) = rig.last();
    rig.tell(to, &order, &[0], TaskEnd::Refused(100));
    assert_eq!(rig.answers, [JobEnd::Unsure]);
}

/// Guards against running a task again after its caller got the result: a result that was held up arrives when the
/// same dispatcher has been handed the task once more.
#[rstest]
#[case::late(true)]
#[case::in_time(false)]
fn task_whose_result_was_held_up_is_dropped_where_it_was_handed_in_again(#[case] late: bool) {
    let mut rig = Rig::new(1, &[5]);
    let (first, order) = rig.last();
    if late {
        rig.take(Input::PeerLost(first));
        rig.take(Input::Holders(vec![holder(first.0, 5)]));
        assert_eq!(rig.last().0, first, "it has the task again");
    }
    rig.tell(first, &order, &[0], TaskEnd::Done);
    assert_eq!(rig.answers, [JobEnd::Completed]);
    let task = TaskId {
        job: JOB,
        step: 0,
        index: 0,
    };
    let dropped: &[_] = if late { &[(first, vec![task])] } else { &[] };
    assert_eq!(rig.dropped, dropped);
}

/// Guards against reporting a job as failed after crashes of workers, though none of its tasks has failed.
#[rstest]
#[case::failed(TaskEnd::Failed, JobEnd::Failed)]
#[case::workers_crashed(TaskEnd::GivenUp, JobEnd::Unsure)]
#[case::no_worker_may_take_it(TaskEnd::Unplaced, JobEnd::Unsure)]
fn job_fails_only_by_failed_runs(#[case] end: TaskEnd, #[case] answer: JobEnd) {
    let mut rig = Rig::new(2, &[4]);
    let (to, order) = rig.last();
    rig.tell(to, &order, &[0], end);
    assert_eq!(rig.answers, [answer]);
}

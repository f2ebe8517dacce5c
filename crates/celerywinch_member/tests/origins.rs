//! Work of origins that are gone.

use std::collections::BTreeSet;
use std::time::Duration;

use celerywinch_member::{Input, Member, MemberConfig, Output};
use celerywinch_pool::{Answer, Call, EndedRow, PoolConfig, Request, RunEnd};
use celerywinch_types::{
    AnnouncementVersion, Crashes, DataCentreId, Echo, Evacuations, Fence, FleetHeartbeat, FleetMsg,
    Incarnation, InstanceId, JobId, PriorRuns, Process, ProcessKind, Resources, RunNumber, Session,
    Stage, StepOrder, TaskOrder, Time, WallMs, WorkMsg, WorkerAnnouncement, WorkerClock,
    WorkerStage,
};
use rstest::rstest;

const DC: DataCentreId = DataCentreId(0);

fn process(instance: u32, life: u64) -> Process {
    Process {
        instance: InstanceId(instance),
        incarnation: Incarnation(life),
    }
}

/// The process under test, in the one data centre.
fn member(now: Time, part: ProcessKind) -> Member {
    let config = MemberConfig {
        me: process(1, 1),
        part,
        dc: DC,
        dcs: BTreeSet::from([DC]),
        shard_size: 80,
        pool: PoolConfig::default(),
    };
    Member::new(config, now, WallMs(1_700_000_000_000))
}

/// Of a process that has heard the member under test just now.
fn beat(now: Time) -> FleetHeartbeat {
    FleetHeartbeat {
        kind: ProcessKind::Entry,
        dc: DC,
        // It does not dispatch itself, whatever its rank.
        stage: Stage::Joining,
        owned_domains: Vec::new(),
        fence: Fence(0),
        version: 1,
        evacuations: Evacuations::default(),
        shards: 1,
        sent: now,
        echo: Some(Echo {
            incarnation: Incarnation(1),
            sent: now,
            session: Session(0),
        }),
        interval_ms: 100,
        wants_frequent: true,
        probe: false,
    }
}

fn order() -> StepOrder {
    StepOrder {
        session: Session(0),
        job: JobId(7),
        step: 0,
        spec: String::new(),
        queue: "q".to_owned(),
        service: "s".to_owned(),
        priority: 0,
        attempts: 3,
        need: Resources::default(),
        estimate: 200,
        label: None,
        rack: None,
        spread: None,
        age: 0,
        slack: 1_600,
        target: 60,
        critical_path: 200,
        refusable: false,
        no_wait: false,
        tasks: vec![TaskOrder {
            index: 0,
            failures: 0,
            crashes: Crashes::default(),
            run: RunNumber(1),
            prior_runs: PriorRuns::None,
            submission: 1,
            first_submission: 1,
        }],
    }
}

/// What became of the origin before its message arrived.
#[derive(Clone, Copy)]
enum Origin {
    Alive,
    Refused,
    Silent,
    OtherLife,
}

/// A caller's job runs twice: its entry dies while a task is on its way to the dispatcher, the task is
/// started though nobody is left to stop it, and the caller has sent the job to another entry.
#[rstest]
#[case::alive(Origin::Alive, true)]
#[case::refused(Origin::Refused, false)]
#[case::silent(Origin::Silent, false)]
#[case::other_life(Origin::OtherLife, false)]
fn work_of_an_origin_that_is_gone_is_dropped(#[case] origin: Origin, #[case] taken: bool) {
    let mut now = Time(1_000_000);
    let mut member = member(now, ProcessKind::Entry);
    let mut out = Vec::new();
    member.handle(now, Input::ConfigVersion(1), &mut out);
    for _ in 0..60 {
        now = now + Duration::from_millis(10);
        member.handle(now, Input::Heartbeat(process(2, 1), beat(now)), &mut out);
        member.handle(now, Input::Tick, &mut out);
    }
    match origin {
        Origin::Alive => {}
        Origin::Refused => member.handle(now, Input::ConnectionRefused(InstanceId(2)), &mut out),
        Origin::Silent => now = now + Duration::from_millis(400),
        Origin::OtherLife => {
            member.handle(now, Input::Heartbeat(process(2, 2), beat(now)), &mut out);
        }
    }
    let msg = WorkMsg::Submit(order());
    member.handle(now, Input::Work(process(2, 1), msg), &mut out);
    assert_eq!(member.is_busy(), taken);
}

/// Work that was dropped since its origin was thought to be gone is asked for when it is heard again,
/// or the caller would wait for ever.
#[test]
fn origin_that_is_heard_again_is_asked_for_its_work() {
    let mut now = Time(1_000_000);
    let mut member = member(now, ProcessKind::Entry);
    let mut out = Vec::new();
    member.handle(now, Input::Heartbeat(process(2, 1), beat(now)), &mut out);
    member.handle(now, Input::ConnectionRefused(InstanceId(2)), &mut out);
    out.clear();
    now = now + Duration::from_millis(10);
    member.handle(now, Input::Heartbeat(process(2, 1), beat(now)), &mut out);
    let resync = Output::Send(InstanceId(2), FleetMsg::Work(WorkMsg::Resync(1)));
    assert!(out.contains(&resync), "{out:?}");
}

/// A caller waits until its deadline for a job that nobody has: its entry and its dispatcher do not hear each other for a moment, what
/// the dispatcher gives back is dropped as of one that is lost, and a heartbeat comes before the tick that would notice the silence. So
/// neither takes the other for lost, and nobody asks for what was dropped.
#[test]
fn silence_that_ends_between_two_ticks_is_noticed() {
    let mut now = Time(1_000_000);
    let mut member = member(now, ProcessKind::Entry);
    let mut out = Vec::new();
    member.handle(now, Input::Heartbeat(process(2, 1), beat(now)), &mut out);
    member.handle(now, Input::Tick, &mut out);
    now = now + Duration::from_millis(360);
    let msg = WorkMsg::Submit(order());
    member.handle(now, Input::Work(process(2, 1), msg), &mut out);
    assert!(!member.is_busy(), "dropped");
    out.clear();
    now = now + Duration::from_millis(1);
    member.handle(now, Input::Heartbeat(process(2, 1), beat(now)), &mut out);
    let asks =
        |output: &Output| matches!(output, Output::Send(_, FleetMsg::Work(WorkMsg::Resync(_))));
    assert!(out.iter().any(asks), "{out:?}");
}

/// Workers stay idle while callers are refused: a keeper tells each new worker to the entries that it
/// hears, and one whose heartbeat had not come yet, or that was silent for a moment, never learns of
/// them. So the host hears of each process that is heard, for the first time and again.
#[test]
fn host_hears_of_each_process_that_is_heard() {
    let now = Time(1_000_000);
    let mut member = member(now, ProcessKind::Keeper);
    let mut heard = Vec::new();
    for (ms, said) in [(0, true), (100, true), (460, false), (500, true)] {
        let now = now + Duration::from_millis(ms);
        let mut out = Vec::new();
        if said {
            member.handle(now, Input::Heartbeat(process(2, 1), beat(now)), &mut out);
        }
        member.handle(now, Input::Tick, &mut out);
        heard.push(out.contains(&Output::PeerAlive(InstanceId(2))));
    }
    assert_eq!(heard, [true, false, false, true]);
}

/// A dispatcher starts tasks of an origin that has taken it for lost, since old heartbeats, held up on a
/// connection that both have given up, come after newer ones. They are not taken.
#[test]
fn heartbeat_that_was_held_up_is_not_heard() {
    let now = Time(1_000_000);
    let mut member = member(now, ProcessKind::Entry);
    let mut out = Vec::new();
    let newer = FleetHeartbeat {
        version: 7,
        ..beat(now)
    };
    member.handle(now, Input::Heartbeat(process(2, 1), newer), &mut out);
    let older = FleetHeartbeat {
        sent: Time(900_000),
        ..beat(now)
    };
    member.handle(now, Input::Heartbeat(process(2, 1), older), &mut out);
    let view = member.peers().get(InstanceId(2));
    assert_eq!(view.map(|view| view.heartbeat.version), Some(7));
}

/// A heartbeat names what its sender has heard of the receiver, so that the receiver knows by its own clock
/// until when it may start the sender's tasks; nothing once the receiver counts as lost.
#[rstest]
#[case::heard(100, true)]
#[case::lost(400, false)]
fn heartbeat_echoes_the_last_one(#[case] ms: u64, #[case] echoed: bool) {
    let now = Time(1_000_000);
    let mut member = member(now, ProcessKind::Entry);
    let mut out = Vec::new();
    member.handle(now, Input::Heartbeat(process(2, 3), beat(now)), &mut out);
    let later = now + Duration::from_millis(ms);
    let echo = member.heartbeat_for(later, InstanceId(2)).echo;
    let wanted = Echo {
        incarnation: Incarnation(3),
        sent: now,
        session: Session(0),
    };
    assert_eq!(echo, echoed.then_some(wanted));
}

/// What a worker lists; no run is at work.
fn lists(ended: Vec<EndedRow>) -> Answer {
    Answer::Lists {
        incarnation: None,
        clock: WorkerClock(5_000),
        running: Vec::new(),
        ended,
    }
}

fn calls(out: &[Output]) -> Vec<Call> {
    let calls = out.iter().filter_map(|output| match output {
        Output::Call(call) => Some(call.clone()),
        _ => None,
    });
    calls.collect()
}

/// A caller's job runs twice: its entry is cut off from a dispatcher as the caller's connection to it breaks, and the
/// caller sends the job to another entry 1.3 s later. The dispatcher drops what it has of an origin that it does
/// not hear with its next tick; but it stands still for a moment, and the first thing that it does then is to start
/// a waiting task on the worker that has room. Its lease would end after the caller has come again.
#[rstest]
#[case::heard_lately(300, true)]
#[case::not_heard_for_as_long_as_the_living_are(360, false)]
fn nothing_is_started_for_an_origin_that_is_not_heard(#[case] silent: u64, #[case] starts: bool) {
    let mut now = Time(1_000_000);
    let mut member = member(now, ProcessKind::Entry);
    let cpu = 16_000;
    let room = Resources {
        cpu,
        ..Resources::default()
    };
    let worker = WorkerAnnouncement {
        id: "w1".to_owned(),
        service: "s".to_owned(),
        addr: ([127, 0, 0, 1], 1).into(),
        dc: DC,
        capacity: room,
        labels: Vec::new(),
        stage: WorkerStage::Ready,
        version: AnnouncementVersion {
            incarnation: Incarnation(1),
            sequence: 1,
        },
    };
    let mut out = Vec::new();
    member.handle(now, Input::ConfigVersion(1), &mut out);
    member.handle(now, Input::Workers(vec![worker]), &mut out);
    for _ in 0..100 {
        now = now + Duration::from_millis(10);
        out.clear();
        member.handle(now, Input::Heartbeat(process(2, 1), beat(now)), &mut out);
        member.handle(now, Input::Tick, &mut out);
        for call in calls(&out) {
            let answer = Input::Answered(call.key, lists(Vec::new()));
            member.handle(now, answer, &mut Vec::new());
        }
    }
    out.clear();
    // The first fills the worker, the second waits for it.
    for job in [7, 8] {
        let mut order = order();
        order.job = JobId(job);
        order.need = room;
        let msg = WorkMsg::Submit(order);
        member.handle(now, Input::Work(process(2, 1), msg), &mut out);
    }
    let sent = calls(&out);
    let start = sent.iter().find_map(|call| match &call.request {
        Request::Start { task, run, .. } => Some((call.key, *task, *run)),
        Request::Stop { .. } | Request::Poll { .. } => None,
    });
    let (key, task, run) = start.expect("the first is started");
    let taken = Input::Answered(key, Answer::Accepted(WorkerClock(5_000)));
    member.handle(now, taken, &mut out);
    let looks = calls(&out);
    let look = looks
        .iter()
        .rev()
        .find(|call| matches!(call.request, Request::Poll { .. }));
    let look = look.expect("a look").key;
    now = now + Duration::from_millis(silent);
    out.clear();
    let ended = EndedRow {
        serial: 1,
        task,
        run,
        end: RunEnd::Done,
    };
    member.handle(now, Input::Answered(look, lists(vec![ended])), &mut out);
    let started = calls(&out)
        .iter()
        .any(|call| matches!(call.request, Request::Start { .. }));
    assert_eq!(started, starts);
}

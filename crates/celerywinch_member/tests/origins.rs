//! Work of origins that are lost.

use std::collections::BTreeSet;
use std::time::Duration;

use celerywinch_member::{Input, Member, MemberConfig, Output};
use celerywinch_pool::{Answer, Call, EndedRow, PoolConfig, Request, RunEnd};
use celerywinch_types::{
    AnnouncementVersion, Crashes, DataCentreId, Echo, Evacuations, Fence, FleetHeartbeat, FleetMsg,
    Incarnation, InstanceId, JobId, PriorRuns, Process, ProcessKind, Resources, RunNumber, Session,
    Stage, StepOrder, SubmissionNumber, TaskOrder, Time, WallMs, WorkMsg, WorkerAnnouncement,
    WorkerClock, WorkerStage,
};
use rstest::rstest;

const DC: DataCentreId = DataCentreId(0);

fn process(instance: u32, incarnation: u64) -> Process {
    Process {
        instance: InstanceId(instance),
        incarnation: Incarnation(incarnation),
    }
}

/// Returns the member under test, in the only data centre.
fn member(now: Time, kind: ProcessKind) -> Member {
    let config = MemberConfig {
        me: process(1, 1),
        kind,
        dc: DC,
        dcs: BTreeSet::from([DC]),
        shard_size: 80,
        pool: PoolConfig::default(),
    };
    Member::new(config, now, WallMs(1_700_000_000_000))
}

/// Returns a heartbeat whose sender has just received one from the member under test.
fn heartbeat(now: Time) -> FleetHeartbeat {
    FleetHeartbeat {
        kind: ProcessKind::Entry,
        dc: DC,
        // This process does not dispatch, whatever its rank.
        stage: Stage::Joining,
        owned_domains: Vec::new(),
        fence: Fence(0),
        version: 1,
        evacuations: Evacuations::default(),
        shards: 1,
        capacity: None,
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
            submission: SubmissionNumber::FIRST,
            first_submission: SubmissionNumber::FIRST,
        }],
    }
}

/// The state of the origin when its message arrives.
#[derive(Clone, Copy)]
enum Origin {
    Alive,
    Refused,
    Silent,
    OtherIncarnation,
}

/// Guards against running a job twice: its entry dies while a task is in flight to the dispatcher, which
/// starts the task although nobody is left to stop it, and the caller has submitted the job to another entry.
#[rstest]
#[case::alive(Origin::Alive, true)]
#[case::refused(Origin::Refused, false)]
#[case::silent(Origin::Silent, false)]
#[case::other_incarnation(Origin::OtherIncarnation, false)]
fn work_of_a_lost_origin_is_dropped(#[case] origin: Origin, #[case] accepted: bool) {
    let mut now = Time(1_000_000);
    let mut member = member(now, ProcessKind::Entry);
    let mut out = Vec::new();
    member.handle(now, Input::ConfigVersion(1), &mut out);
    for _ in 0..60 {
        now = now + Duration::from_millis(10);
        member.handle(
            now,
            Input::Heartbeat(process(2, 1), heartbeat(now)),
            &mut out,
        );
        member.handle(now, Input::Tick, &mut out);
    }
    match origin {
        Origin::Alive => {}
        Origin::Refused => member.handle(now, Input::ConnectionRefused(InstanceId(2)), &mut out),
        Origin::Silent => now = now + Duration::from_millis(400),
        Origin::OtherIncarnation => {
            member.handle(
                now,
                Input::Heartbeat(process(2, 2), heartbeat(now)),
                &mut out,
            );
        }
    }
    let msg = WorkMsg::Submit(order());
    member.handle(now, Input::Work(process(2, 1), msg), &mut out);
    assert_eq!(member.is_busy(), accepted);
}

/// Guards against a caller that waits until its deadline: work is dropped while its origin counts as lost,
/// and has to be requested when the origin's next heartbeat arrives.
#[test]
fn origin_that_is_alive_again_is_asked_for_its_work() {
    let mut now = Time(1_000_000);
    let mut member = member(now, ProcessKind::Entry);
    let mut out = Vec::new();
    member.handle(
        now,
        Input::Heartbeat(process(2, 1), heartbeat(now)),
        &mut out,
    );
    member.handle(now, Input::ConnectionRefused(InstanceId(2)), &mut out);
    out.clear();
    now = now + Duration::from_millis(10);
    member.handle(
        now,
        Input::Heartbeat(process(2, 1), heartbeat(now)),
        &mut out,
    );
    let resync = Output::Send(InstanceId(2), FleetMsg::Work(WorkMsg::Resync(1)));
    assert!(out.contains(&resync), "{out:?}");
}

/// Guards against a caller that waits until its deadline for a job that nobody has. Its entry and its
/// dispatcher get no heartbeats of each other for a moment. What the dispatcher returns is dropped, as its
/// sender counts as lost, and a heartbeat arrives before the tick that would detect the silence. So neither
/// counts the other as lost, and nobody requests what was dropped.
#[test]
fn silence_that_ends_between_two_ticks_is_detected() {
    let mut now = Time(1_000_000);
    let mut member = member(now, ProcessKind::Entry);
    let mut out = Vec::new();
    member.handle(
        now,
        Input::Heartbeat(process(2, 1), heartbeat(now)),
        &mut out,
    );
    member.handle(now, Input::Tick, &mut out);
    now = now + Duration::from_millis(360);
    let msg = WorkMsg::Submit(order());
    member.handle(now, Input::Work(process(2, 1), msg), &mut out);
    assert!(!member.is_busy(), "dropped");
    out.clear();
    now = now + Duration::from_millis(1);
    member.handle(
        now,
        Input::Heartbeat(process(2, 1), heartbeat(now)),
        &mut out,
    );
    let is_resync =
        |output: &Output| matches!(output, Output::Send(_, FleetMsg::Work(WorkMsg::Resync(_))));
    assert!(out.iter().any(is_resync), "{out:?}");
}

/// Guards against idle workers while callers are refused. A keeper reports each new worker to the entries
/// that are alive; an entry whose first heartbeat has not arrived, or that is silent for a moment, never
/// learns of it. So the host is notified of each process that is alive for the first time or again.
#[test]
fn host_is_notified_of_each_process_that_is_alive() {
    let now = Time(1_000_000);
    let mut member = member(now, ProcessKind::Keeper);
    let mut notified = Vec::new();
    for (ms, arrived) in [(0, true), (100, true), (460, false), (500, true)] {
        let now = now + Duration::from_millis(ms);
        let mut out = Vec::new();
        if arrived {
            member.handle(
                now,
                Input::Heartbeat(process(2, 1), heartbeat(now)),
                &mut out,
            );
        }
        member.handle(now, Input::Tick, &mut out);
        notified.push(out.contains(&Output::PeerAlive(InstanceId(2))));
    }
    assert_eq!(notified, [true, false, false, true]);
}

/// Guards against a dispatcher that starts tasks of an origin that counts it as lost: old heartbeats, delayed
/// on a connection that both have closed, arrive after newer ones. They are dropped.
#[test]
fn delayed_heartbeat_is_dropped() {
    let now = Time(1_000_000);
    let mut member = member(now, ProcessKind::Entry);
    let mut out = Vec::new();
    let newer = FleetHeartbeat {
        version: 7,
        ..heartbeat(now)
    };
    member.handle(now, Input::Heartbeat(process(2, 1), newer), &mut out);
    let older = FleetHeartbeat {
        sent: Time(900_000),
        ..heartbeat(now)
    };
    member.handle(now, Input::Heartbeat(process(2, 1), older), &mut out);
    let view = member.peers().get(InstanceId(2));
    assert_eq!(view.map(|view| view.heartbeat.version), Some(7));
}

/// A heartbeat echoes the receiver's last one, so that the receiver knows by its own clock until when it may
/// start the sender's tasks. There is no echo once the receiver counts as lost.
#[rstest]
#[case::alive(100, true)]
#[case::lost(400, false)]
fn heartbeat_echoes_the_last_one(#[case] ms: u64, #[case] echoed: bool) {
    let now = Time(1_000_000);
    let mut member = member(now, ProcessKind::Entry);
    let mut out = Vec::new();
    member.handle(
        now,
        Input::Heartbeat(process(2, 3), heartbeat(now)),
        &mut out,
    );
    let later = now + Duration::from_millis(ms);
    let echo = member.heartbeat_for(later, InstanceId(2)).echo;
    let expected = Echo {
        incarnation: Incarnation(3),
        sent: now,
        session: Session(0),
    };
    assert_eq!(echo, echoed.then_some(expected));
}

/// Returns a worker's answer to a poll; nothing runs there.
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

/// Guards against running a job twice. Its entry is cut off from a dispatcher when the caller's connection to
/// the entry breaks, and the caller submits the job to another entry 1.3 s later. The dispatcher drops the
/// work of a silent origin at its next tick; but it is suspended for a moment, and its first action
/// afterwards is to start a waiting task on the worker that has free capacity. The lease of that task would end after
/// the caller's second submission.
#[rstest]
#[case::within_the_timeout(300, true)]
#[case::after_the_timeout(360, false)]
fn nothing_is_started_for_a_silent_origin(#[case] silent_ms: u64, #[case] starts: bool) {
    let mut now = Time(1_000_000);
    let mut member = member(now, ProcessKind::Entry);
    let cpu = 16_000;
    let capacity = Resources {
        cpu,
        ..Resources::default()
    };
    let worker = WorkerAnnouncement {
        id: "w1".to_owned(),
        service: "s".to_owned(),
        addr: ([127, 0, 0, 1], 1).into(),
        dc: DC,
        capacity,
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
        member.handle(
            now,
            Input::Heartbeat(process(2, 1), heartbeat(now)),
            &mut out,
        );
        member.handle(now, Input::Tick, &mut out);
        for call in calls(&out) {
            let answer = Input::Answered(call.key, lists(Vec::new()));
            member.handle(now, answer, &mut Vec::new());
        }
    }
    out.clear();
    // The first job fills the worker, the second waits for it.
    for job in [7, 8] {
        let mut order = order();
        order.job = JobId(job);
        order.need = capacity;
        let msg = WorkMsg::Submit(order);
        member.handle(now, Input::Work(process(2, 1), msg), &mut out);
    }
    let sent = calls(&out);
    let start = sent.iter().find_map(|call| match &call.request {
        Request::Start { task, run, .. } => Some((call.key, *task, *run)),
        Request::Stop { .. } | Request::Poll { .. } => None,
    });
    let (key, task, run) = start.expect("the first is started");
    let accepted = Input::Answered(key, Answer::Accepted(WorkerClock(5_000)));
    member.handle(now, accepted, &mut out);
    let polls = calls(&out);
    let poll = polls
        .iter()
        .rev()
        .find(|call| matches!(call.request, Request::Poll { .. }));
    let poll = poll.expect("a poll").key;
    now = now + Duration::from_millis(silent_ms);
    out.clear();
    let ended = EndedRow {
        serial: 1,
        task,
        run,
        end: RunEnd::Done,
    };
    member.handle(now, Input::Answered(poll, lists(vec![ended])), &mut out);
    let started = calls(&out)
        .iter()
        .any(|call| matches!(call.request, Request::Start { .. }));
    assert_eq!(started, starts);
}

//! How an entry of a large deployment notices that a data centre is cut off.

use std::collections::BTreeSet;
use std::time::Duration;

use celerywinch_member::{Input, Member, MemberConfig, Output};
use celerywinch_origin::{CallerId, NewJob};
use celerywinch_pool::PoolConfig;
use celerywinch_types::{
    DataCentreId, Domain, Evacuations, Fence, FleetHeartbeat, FleetMsg, Incarnation, InstanceId,
    JobId, JobPlan, Load, OwnedDomain, Process, ProcessKind, Queue, Resources, RunNumber, Stage,
    StepPlan, Time, WallMs, WorkMsg,
};
use rstest::rstest;

const HERE: DataCentreId = DataCentreId(0);
const THERE: DataCentreId = DataCentreId(1);
/// The two that dispatch, each in another data centre: the entry under test hears both often.
const DISPATCHERS: [u32; 2] = [2, 22];
/// Others in the other data centre, which it hears every half second.
const OTHERS: std::ops::RangeInclusive<u32> = 3..=21;
const STEP: Duration = Duration::from_millis(10);

fn process(instance: u32) -> Process {
    Process {
        instance: InstanceId(instance),
        incarnation: Incarnation(1),
    }
}

fn beat(now: Time, instance: u32) -> FleetHeartbeat {
    let dispatches = DISPATCHERS.contains(&instance);
    let dc = if instance <= *OTHERS.end() {
        THERE
    } else {
        HERE
    };
    let holding = OwnedDomain {
        domain: Domain { dc, shard: 0 },
        fence: Fence(5),
        load: Load::default(),
    };
    FleetHeartbeat {
        kind: ProcessKind::Entry,
        dc,
        stage: Stage::Ready,
        owned_domains: dispatches.then_some(holding).into_iter().collect(),
        fence: Fence(5),
        version: 1,
        evacuations: Evacuations::default(),
        shards: 1,
        sent: now,
        echo: None,
        interval_ms: if dispatches { 100 } else { 500 },
        wants_frequent: false,
        probe: false,
    }
}

/// The entry under test.
fn member(now: Time) -> Member {
    let config = MemberConfig {
        me: process(1),
        part: ProcessKind::Entry,
        dc: HERE,
        dcs: BTreeSet::from([HERE, THERE]),
        shard_size: 80,
        pool: PoolConfig::default(),
    };
    let mut member = Member::new(config, now, WallMs(1_700_000_000_000));
    member.handle(now, Input::ConfigVersion(1), &mut Vec::new());
    member
}

/// A job of two tasks.
fn job(id: u64) -> NewJob {
    NewJob {
        id: JobId(id),
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
                count: 2,
                need: Resources::default(),
                estimate: 200,
                after: Vec::new(),
                label: None,
                rack: None,
                spread: None,
            }],
        },
        first_run: RunNumber(0),
    }
}

/// Who speaks on after the first second, and what follows from that.
struct Case {
    /// Dispatchers that fall silent, by their place.
    silent: &'static [usize],
    /// Whether the others in the other data centre answer when they are asked.
    answer: bool,
    /// Whether those in the other data centre are asked.
    asked: bool,
    /// Whether they count as alive 600 ms after the silence began.
    alive: bool,
}

/// Callers of an entry that is cut off wait in vain, and so do those of a data centre whose dispatcher is cut off: entries
/// that hear each other rarely would take each other for alive for seconds. When all that is close in a data centre is
/// silent the others there are asked, and do not count without an answer.
#[rstest]
#[case::cut_off(Case { silent: &[0], answer: false, asked: true, alive: false })]
#[case::its_dispatcher_alone_is_lost(Case { silent: &[0], answer: true, asked: true, alive: true })]
#[case::another_data_centre(Case { silent: &[1], answer: false, asked: false, alive: true })]
#[case::nobody(Case { silent: &[], answer: false, asked: false, alive: true })]
fn others_are_asked_when_all_that_is_close_is_silent(#[case] case: Case) {
    let mut now = Time(1_000_000);
    let mut member = member(now);
    let cut = Time(2_000_000);
    let mut asked = BTreeSet::new();
    while now < cut + Duration::from_millis(600) {
        now = now + STEP;
        let mut out = Vec::new();
        for (place, dispatcher) in DISPATCHERS.into_iter().enumerate() {
            let speaks = now < cut || !case.silent.contains(&place);
            if speaks && now.0.is_multiple_of(100_000) {
                let beat = beat(now, dispatcher);
                member.handle(now, Input::Heartbeat(process(dispatcher), beat), &mut out);
            }
        }
        for other in OTHERS.chain(23..=24) {
            if now < cut && now.0.is_multiple_of(500_000) {
                member.handle(
                    now,
                    Input::Heartbeat(process(other), beat(now, other)),
                    &mut out,
                );
            }
        }
        member.handle(now, Input::Tick, &mut out);
        for output in out {
            if let Output::Send(to, FleetMsg::Heartbeat(sent)) = output
                && sent.probe
                && OTHERS.contains(&to.0)
            {
                asked.insert(to.0);
                if case.answer {
                    let beat = beat(now, to.0);
                    member.handle(now, Input::Heartbeat(process(to.0), beat), &mut Vec::new());
                }
            }
        }
    }
    let expected: BTreeSet<_> = OTHERS.filter(|_| case.asked).collect();
    assert_eq!(asked, expected);
    let mut others = OTHERS;
    let alive: BTreeSet<_> = member.peers().alive(now).map(|(id, _)| id.0).collect();
    assert!(
        others.all(|other| alive.contains(&other) == case.alive),
        "{alive:?}"
    );
}

/// Callers wait for seconds: their jobs go to a dispatcher that has been silent since it was heard last, as one that is
/// heard rarely is known to be lost only after several of its heartbeats. It gets work only once it has answered.
#[rstest]
#[case::first_answers(&[2], &[2])]
#[case::second_answers(&[22], &[22])]
#[case::both_answer_and_one_is_nearer(&[2, 22], &[22])]
fn work_goes_to_dispatchers_that_have_answered(#[case] answer: &[u32], #[case] gets: &[u32]) {
    let mut now = Time(1_000_000);
    let mut member = member(now);
    let mut heard = Vec::new();
    for instance in OTHERS.chain(DISPATCHERS) {
        let rarely = FleetHeartbeat {
            interval_ms: 500,
            ..beat(now, instance)
        };
        member.handle(now, Input::Heartbeat(process(instance), rarely), &mut heard);
    }
    let mut asked = BTreeSet::new();
    let mut handed = BTreeSet::new();
    for step in 0..40 {
        now = now + STEP;
        let mut out = std::mem::take(&mut heard);
        member.handle(now, Input::Tick, &mut out);
        if step >= 20 {
            let job = job(u64::from(step as u32));
            member.handle(now, Input::Submit(CallerId(job.id.0), job), &mut out);
            member.handle(now, Input::Flush, &mut out);
        }
        for output in out {
            let Output::Send(to, msg) = output else {
                continue;
            };
            if matches!(&msg, FleetMsg::Heartbeat(sent) if sent.probe) {
                asked.insert(to.0);
            }
            if matches!(msg, FleetMsg::Work(WorkMsg::Submit(_))) {
                handed.insert(to.0);
            }
        }
        for instance in answer.iter().filter(|instance| asked.contains(*instance)) {
            let beat = beat(now, *instance);
            member.handle(
                now,
                Input::Heartbeat(process(*instance), beat),
                &mut Vec::new(),
            );
        }
    }
    assert!(
        DISPATCHERS
            .iter()
            .all(|dispatcher| asked.contains(dispatcher))
    );
    assert_eq!(handed.into_iter().collect::<Vec<_>>(), gets);
    let still = DISPATCHERS.into_iter().filter(|dispatcher| {
        let view = member.peers().get(InstanceId(*dispatcher));
        view.is_some_and(|view| view.alive(now))
    });
    assert_eq!(still.collect::<Vec<_>>(), answer);
}

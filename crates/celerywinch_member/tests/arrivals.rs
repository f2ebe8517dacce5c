//! Jobs whose callers disconnect before the jobs are submitted.

use celerywinch_member::{Input, Member, MemberConfig, Output};
use celerywinch_origin::{CallerId, JobEvent, NewJob};
use celerywinch_pool::PoolConfig;
use celerywinch_types::{
    DataCentreId, Incarnation, InstanceId, JobId, JobPlan, Process, ProcessKind, Queue, Resources,
    RunNumber, StepPlan, Time, WallMs,
};
use rstest::rstest;

const CALLER: CallerId = CallerId(5);
const JOB: JobId = JobId(77);

fn member() -> Member {
    let config = MemberConfig {
        me: Process {
            instance: InstanceId(1),
            incarnation: Incarnation(1),
        },
        kind: ProcessKind::Entry,
        dc: DataCentreId(0),
        dcs: [DataCentreId(0)].into(),
        shard_size: 80,
        pool: PoolConfig::default(),
    };
    Member::new(config, Time(0), WallMs(1))
}

fn job() -> NewJob {
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
                count: 1,
                need: Resources::default(),
                estimate: 200,
                after: Vec::new(),
                label: None,
                rack: None,
                spread: None,
            }],
        },
        first_run: RunNumber(1),
    }
}

struct Case {
    /// Whether the caller disconnects before the flush.
    disconnected: bool,
    submitted: usize,
}

/// Guards against two concurrent runs of one task: a request is read together with the close of its
/// connection, and its caller has already submitted the job to another entry.
#[rstest]
#[case::disconnected(Case { disconnected: true, submitted: 0 })]
#[case::connected(Case { disconnected: false, submitted: 1 })]
fn job_of_a_disconnected_caller_is_not_submitted(#[case] case: Case) {
    let mut member = member();
    let mut out = Vec::new();
    member.handle(Time(1), Input::Submit(CALLER, job()), &mut out);
    assert!(member.needs_flush() && member.is_busy());
    if case.disconnected {
        member.handle(Time(2), Input::CallerGone(CALLER), &mut out);
    }
    member.handle(Time(3), Input::Flush, &mut out);
    let submitted = |output: &&Output| matches!(output, Output::Origin(JobEvent::Submitted { .. }));
    assert_eq!(out.iter().filter(submitted).count(), case.submitted);
    let left = Output::Origin(JobEvent::CallerLeft { job: JOB, took: 0 });
    assert_eq!(out.contains(&left), case.disconnected);
    assert_eq!(member.open_jobs(), case.submitted);
}

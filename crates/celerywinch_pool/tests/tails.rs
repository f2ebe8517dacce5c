//! Admission of jobs some of whose tasks take much longer than the others.

mod rig;

use celerywinch_pool::{Answer, Input, PoolConfig};
use celerywinch_types::{
    DisabledMechanisms, Fence, JobId, Learned, LearnedQueue, LearnedTail, Mechanism, PriorRuns,
    TaskEnd, TaskOrder,
};
use rig::{DOMAIN, JOB, Rig, clock, is_poll, is_start, lists, step, worker_announcement};
use rstest::rstest;

/// Three of a hundred tasks take seven times as long.
const LONG: LearnedTail = LearnedTail {
    mean: 1.2,
    quantiles: [1.0, 1.05, 1.1, 1.1, 1.15, 4.0, 7.0],
};

/// A dispatcher without free capacity that has learned a queue of tasks of 200 ms.
fn busy(tail: Option<LearnedTail>, disabled: DisabledMechanisms) -> Rig {
    let mut rig = Rig::empty(PoolConfig {
        disabled,
        ..PoolConfig::default()
    });
    let queue = LearnedQueue {
        name: "q".to_owned(),
        count: 1_000.0,
        run_time: 200f32.ln(),
        bias: 0.0,
        tail,
    };
    rig.pool.learn_from(Learned {
        queues: vec![queue],
        slowdowns: Vec::new(),
    });
    rig.handle(Input::Workers(vec![worker_announcement("w1", 1)]));
    rig.handle(Input::Acquire(DOMAIN, Fence(5 << 5)));
    let poll = rig.last_call(is_poll);
    rig.answer(&poll, lists(Vec::new(), Vec::new()));
    let mut full = step(PriorRuns::None, 0);
    full.need = rig::CAPACITY;
    full.job = JobId(1);
    rig.submit(full);
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::Accepted(clock()));
    rig
}

/// Returns whether a job of so many tasks is refused that arrived `age` ms ago; hardly any work is ahead of it.
fn is_refused(rig: &mut Rig, width: u16, age: u32) -> bool {
    let mut order = step(PriorRuns::None, 0);
    order.age = age;
    order.need.cpu = 1;
    let first = order.tasks[0];
    let tasks = (0..width).map(|index| TaskOrder { index, ..first });
    order.tasks = tasks.collect();
    rig.submit(order);
    let mut ends = rig.ends.iter();
    ends.any(|(task, end)| task.job == JOB && matches!(end, TaskEnd::Refused(_)))
}

struct Case {
    tail: Option<LearnedTail>,
    disabled: DisabledMechanisms,
    width: u16,
    /// The highest age at which a job is accepted, in ms: 60, and 0.6 of its longest task.
    accepted: u32,
}

/// Guards against refusing wide jobs whose objective is stretched by the long task that delays them, and against keeping
/// callers of few tasks waiting for it. Without a tail and without the mechanism, all are decided by the usual task.
#[rstest]
#[case::equal(Case { tail: None, disabled: DisabledMechanisms::default(), width: 64, accepted: 180 })]
#[case::tail_single(Case { tail: Some(LONG), disabled: DisabledMechanisms::default(), width: 1, accepted: 180 })]
#[case::tail_few(Case { tail: Some(LONG), disabled: DisabledMechanisms::default(), width: 4, accepted: 192 })]
#[case::tail_wide(Case { tail: Some(LONG), disabled: DisabledMechanisms::default(), width: 64, accepted: 900 })]
#[case::tail_very_wide(Case { tail: Some(LONG), disabled: DisabledMechanisms::default(), width: 200, accepted: 900 })]
#[case::disabled(Case {
    tail: Some(LONG),
    disabled: DisabledMechanisms::default().with(Mechanism::Quantiles),
    width: 64,
    accepted: 180,
})]
fn jobs_that_end_in_time_are_accepted(#[case] case: Case) {
    let refused = |age| is_refused(&mut busy(case.tail, case.disabled), case.width, age);
    assert!(!refused(case.accepted - 5), "{} ms", case.accepted - 5);
    assert!(refused(case.accepted + 5), "{} ms", case.accepted + 5);
}

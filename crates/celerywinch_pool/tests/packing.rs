//! What a dispatcher learns of the capacity that its tasks can use.

mod rig;

use std::collections::BTreeSet;

use celerywinch_pool::{Answer, Input, PoolConfig};
use celerywinch_types::{DisabledMechanisms, JobId, Mechanism, PriorRuns};
use rig::{DC, DOMAIN, Rig, clock, is_poll, is_start, lists, step, worker_announcement};
use rstest::rstest;

/// What happens to the worker while a task waits.
#[derive(Clone, Copy)]
enum State {
    Answers,
    Silent,
    Evacuated,
}

struct Case {
    /// Processors of a task, in thousandths of a core; the worker has 32,000.
    need: u32,
    /// Number of tasks; one of them fits.
    tasks: u64,
    state: State,
    disabled: DisabledMechanisms,
    /// Bounds of the learned share.
    share: (f64, f64),
}

/// Guards against accepting more work than fits: of tasks that need a little more than half of a worker each worker runs
/// one. Time in which no task waits, or in which workers cannot be used, is not counted.
#[rstest]
#[case::more_than_half(Case {
    need: 18_000, tasks: 2, state: State::Answers, disabled: DisabledMechanisms::default(), share: (0.5, 0.75),
})]
#[case::whole_worker(Case {
    need: 32_000, tasks: 2, state: State::Answers, disabled: DisabledMechanisms::default(), share: (0.86, 0.95),
})]
#[case::nothing_waits(Case {
    need: 18_000, tasks: 1, state: State::Answers, disabled: DisabledMechanisms::default(), share: (0.85, 0.85),
})]
#[case::silent(Case {
    need: 18_000, tasks: 2, state: State::Silent, disabled: DisabledMechanisms::default(), share: (0.83, 0.85),
})]
#[case::evacuated(Case {
    need: 18_000, tasks: 2, state: State::Evacuated, disabled: DisabledMechanisms::default(), share: (0.84, 0.85),
})]
#[case::disabled(Case {
    need: 18_000, tasks: 2, state: State::Answers,
    disabled: DisabledMechanisms::default().with(Mechanism::Efficiency), share: (0.85, 0.85),
})]
fn share_in_use_is_learned_while_tasks_wait(#[case] case: Case) {
    let mut rig = Rig::empty(PoolConfig {
        disabled: case.disabled,
        ..PoolConfig::default()
    });
    rig.handle(Input::Workers(vec![worker_announcement("w1", 1)]));
    rig.handle(Input::Acquire(DOMAIN, celerywinch_types::Fence(5 << 5)));
    let poll = rig.last_call(is_poll);
    rig.answer(&poll, lists(Vec::new(), Vec::new()));
    for job in 0..case.tasks {
        let mut order = step(PriorRuns::None, 0);
        order.job = JobId(100 + job);
        order.need.cpu = case.need;
        // A job of which something may have run waits instead of being refused.
        order.refusable = false;
        rig.submit(order);
    }
    let start = rig.last_call(is_start);
    rig.answer(&start, Answer::Accepted(clock()));
    match case.state {
        State::Answers => {}
        State::Silent => {
            let poll = rig.last_call(is_poll);
            rig.answer(&poll, Answer::NoAnswer);
        }
        State::Evacuated => rig.handle(Input::EvacuatedDataCentres(BTreeSet::from([DC]))),
    }
    rig.advance(4_000);
    let (low, high) = case.share;
    let share = rig.pool.packing_share();
    assert!((low..=high).contains(&share), "{share} in {low}..={high}");
}

//! Where a dispatcher with workers in several data centres starts tasks.

mod rig;

use celerywinch_pool::{Input, PoolConfig};
use celerywinch_types::{
    DataCentreId, DisabledMechanisms, Domain, Fence, JobId, Mechanism, PriorRuns, Resources,
    WorkerAnnouncement,
};
use rig::{CAPACITY, DC, Rig, is_poll, is_start, lists, step, worker_announcement};
use rstest::rstest;

const OTHER: DataCentreId = DataCentreId(1);

/// Creates a dispatcher with one worker in its own data centre, which has capacity for two tasks, and two workers elsewhere
/// that one task nearly fills.
fn rig(shards: u8, disabled: DisabledMechanisms) -> Rig {
    let mut rig = Rig::empty(PoolConfig {
        dc: Some(DC),
        disabled,
        ..PoolConfig::default()
    });
    rig.pool.set_shards(shards);
    let far = |id: &str, port: u16| WorkerAnnouncement {
        dc: OTHER,
        capacity: Resources {
            cpu: 16_000,
            ..CAPACITY
        },
        ..worker_announcement(id, port)
    };
    rig.handle(Input::Workers(vec![
        worker_announcement("near", 1),
        far("far-1", 2),
        far("far-2", 3),
    ]));
    for dc in [DC, OTHER] {
        for shard in 0..shards {
            rig.handle(Input::Acquire(Domain { dc, shard }, Fence(5 << 5)));
        }
    }
    for poll in rig
        .calls
        .clone()
        .iter()
        .filter(|call| is_poll(&call.request))
    {
        rig.answer(poll, lists(Vec::new(), Vec::new()));
    }
    rig
}

struct Case {
    shards: u8,
    disabled: DisabledMechanisms,
    jobs: u64,
    /// How many of them are started in the dispatcher's own data centre.
    near: usize,
}

/// Guards against jobs that lose tasks with each data centre that is cut off: tasks went wherever they left the least capacity
/// unused, so most jobs of eight tasks had one in each data centre.
#[rstest]
#[case::stay(Case { shards: 2, disabled: DisabledMechanisms::default(), jobs: 2, near: 2 })]
#[case::the_rest_goes_elsewhere(Case { shards: 2, disabled: DisabledMechanisms::default(), jobs: 4, near: 2 })]
#[case::one_dispatcher_for_all(Case { shards: 1, disabled: DisabledMechanisms::default(), jobs: 2, near: 0 })]
#[case::disabled(Case { shards: 2, disabled: DisabledMechanisms::default().with(Mechanism::Locality), jobs: 2, near: 0 })]
fn tasks_stay_in_the_data_centre_of_their_dispatcher(#[case] case: Case) {
    let mut rig = rig(case.shards, case.disabled);
    for job in 0..case.jobs {
        let mut order = step(PriorRuns::None, 0);
        order.job = JobId(job);
        rig.submit(order);
    }
    let starts = rig.calls.iter().filter(|call| is_start(&call.request));
    let workers: Vec<_> = starts.map(|call| call.worker.as_str()).collect();
    assert_eq!(workers.len() as u64, case.jobs, "{workers:?}");
    let near = workers.iter().filter(|worker| **worker == "near");
    assert_eq!(near.count(), case.near, "{workers:?}");
}

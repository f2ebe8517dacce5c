//! A dispatcher that owns an idle data centre.

use std::collections::BTreeSet;
use std::time::Duration;

use celerywinch_member::{Input, Member, MemberConfig, Output};
use celerywinch_pool::{Answer, PoolConfig, PoolEvent};
use celerywinch_types::{
    AnnouncementVersion, DataCentreId, Evacuations, Fence, FleetHeartbeat, Incarnation, InstanceId,
    Process, ProcessKind, Resources, Stage, Time, WallMs, WorkerAnnouncement, WorkerClock,
    WorkerStage,
};

const FAR: DataCentreId = DataCentreId(1);

fn process(instance: u32) -> Process {
    Process {
        instance: InstanceId(instance),
        incarnation: Incarnation(1),
    }
}

fn heartbeat(dc: u8) -> FleetHeartbeat {
    FleetHeartbeat {
        kind: ProcessKind::Keeper,
        dc: DataCentreId(dc),
        stage: Stage::Ready,
        owned_domains: Vec::new(),
        fence: Fence(0),
        evacuations: Evacuations::default(),
        version: 1,
        shards: 1,
        capacity: None,
        sent: Time(0),
        echo: None,
        interval_ms: 100,
        wants_frequent: true,
        probe: false,
    }
}

fn worker(index: u16) -> WorkerAnnouncement {
    WorkerAnnouncement {
        id: format!("w{index}"),
        service: "s".to_owned(),
        addr: ([127, 0, 0, 1], index).into(),
        dc: FAR,
        capacity: Resources::default(),
        labels: Vec::new(),
        stage: WorkerStage::Ready,
        version: AnnouncementVersion {
            incarnation: Incarnation(1),
            sequence: 1,
        },
    }
}

/// Simulates a member that dispatches for the workers of a remote data centre. All processes there fall
/// silent after `live_steps` steps of 10 ms, together with the first `dead` of its workers. Returns how often the
/// dispatcher resigned the data centre in the 5 s of the run.
fn count_resignations(live_steps: u64, dead: u16, workers: u16) -> usize {
    let config = MemberConfig {
        me: process(1),
        kind: ProcessKind::Entry,
        dc: DataCentreId(0),
        dcs: BTreeSet::from([DataCentreId(0), FAR]),
        shard_size: 80,
        pool: PoolConfig::default(),
    };
    let mut now = Time(1_000_000);
    let mut member = Member::new(config, now, WallMs(1_700_000_000_000));
    let announcements = (0..workers).map(worker).collect();
    let mut inputs = vec![Input::ConfigVersion(1), Input::Workers(announcements)];
    let mut resignations = 0;
    for step in 0..500 {
        now = now + Duration::from_millis(10);
        let silent = step >= live_steps;
        if !silent {
            inputs.push(Input::Heartbeat(process(3), heartbeat(1)));
        }
        inputs.push(Input::Heartbeat(process(2), heartbeat(0)));
        inputs.push(Input::Tick);
        for input in std::mem::take(&mut inputs) {
            let mut out = Vec::new();
            member.handle(now, input, &mut out);
            for output in out {
                match output {
                    Output::Call(call) => {
                        let lists = Answer::Lists {
                            incarnation: None,
                            clock: WorkerClock(step),
                            running: Vec::new(),
                            ended: Vec::new(),
                        };
                        let lost =
                            silent && (0..dead).any(|index| call.worker == format!("w{index}"));
                        let answer = if lost { Answer::NoAnswer } else { lists };
                        inputs.push(Input::Answered(call.key, answer));
                    }
                    Output::Dispatch(PoolEvent::Resigned { .. }) => resignations += 1,
                    _ => {}
                }
            }
        }
    }
    resignations
}

/// Guards against needless changes of the dispatcher, for which callers wait: the processes of a data centre
/// are silent and its workers answer, but none is called as there is no work. After 1 s the dispatcher would
/// consider the data centre unreachable, resign it, acquire it again 3 s later, and so on.
#[test]
fn idle_data_centre_is_kept_while_its_workers_answer() {
    assert_eq!(count_resignations(150, 0, 1), 0);
}

/// Guards against the same changes when some workers died with the processes: whichever worker is polled first,
/// one of the others answers within the second.
#[test]
fn idle_data_centre_is_kept_while_some_of_its_workers_answer() {
    assert_eq!(count_resignations(150, 3, 5), 0);
}

/// A data centre that is cut off as a whole is resigned, so that its own entries can dispatch there without being fenced
/// by a higher token.
#[test]
fn data_centre_is_resigned_when_nothing_there_answers() {
    assert!(count_resignations(150, 5, 5) >= 1);
}

/// Guards against the same changes when the workers have not been called for a long time before the processes
/// fall silent: a worker is polled before the data centre is resigned.
#[test]
fn long_idle_data_centre_is_kept_while_its_workers_answer() {
    assert_eq!(count_resignations(350, 0, 1), 0);
}

//! A dispatcher that has nothing to do.

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

fn beat(dc: u8) -> FleetHeartbeat {
    FleetHeartbeat {
        kind: ProcessKind::Keeper,
        dc: DataCentreId(dc),
        stage: Stage::Ready,
        owned_domains: Vec::new(),
        fence: Fence(0),
        evacuations: Evacuations::default(),
        version: 1,
        shards: 1,
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

/// A member far from a data centre that it dispatches for, and that data centre's workers. All
/// processes there fall silent after `heard` steps of 10 ms, and with them the first `dead` of its workers. The
/// answer is how often the dispatcher gave the data centre up in the 5 s of the run.
fn times_given_up(heard: u64, dead: u16, workers: u16) -> usize {
    let config = MemberConfig {
        me: process(1),
        part: ProcessKind::Entry,
        dc: DataCentreId(0),
        dcs: BTreeSet::from([DataCentreId(0), FAR]),
        shard_size: 80,
        pool: PoolConfig::default(),
    };
    let mut now = Time(1_000_000);
    let mut member = Member::new(config, now, WallMs(1_700_000_000_000));
    let notes = (0..workers).map(worker).collect();
    let mut inputs = vec![Input::ConfigVersion(1), Input::Workers(notes)];
    let mut given_up = 0;
    for step in 0..500 {
        now = now + Duration::from_millis(10);
        let cut = step >= heard;
        if !cut {
            inputs.push(Input::Heartbeat(process(3), beat(1)));
        }
        inputs.push(Input::Heartbeat(process(2), beat(0)));
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
                        let lost = cut && (0..dead).any(|index| call.worker == format!("w{index}"));
                        let answer = if lost { Answer::NoAnswer } else { lists };
                        inputs.push(Input::Answered(call.key, answer));
                    }
                    Output::Dispatch(PoolEvent::Resigned { .. }) => given_up += 1,
                    _ => {}
                }
            }
        }
    }
    given_up
}

/// Callers wait for a change of hands that nobody needs: all processes of a data centre are silent, its
/// workers answer, but there is no work, so none is called, and after 1 s the dispatcher takes the
/// data centre for cut off. It gives it up, tries it again 3 s later, and so on.
#[test]
fn idle_data_centre_is_kept_while_its_workers_answer() {
    assert_eq!(times_given_up(150, 0, 1), 0);
}

/// The same where some of its workers died with the processes: one of the others is found before the
/// second is over, whichever is asked first.
#[test]
fn idle_data_centre_is_kept_while_some_of_its_workers_answer() {
    assert_eq!(times_given_up(150, 3, 5), 0);
}

/// A data centre that is cut off as a whole is given up, so that its own entries dispatch there without
/// being outbid.
#[test]
fn data_centre_is_given_up_when_nothing_there_answers() {
    assert!(times_given_up(150, 5, 5) >= 1);
}

/// The same where nobody has called the workers for long when the processes fall silent: they are asked first.
#[test]
fn data_centre_that_was_idle_for_long_is_kept_while_its_workers_answer() {
    assert_eq!(times_given_up(350, 0, 1), 0);
}

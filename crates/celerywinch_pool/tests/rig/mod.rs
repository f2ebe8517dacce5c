//! A dispatcher, its workers and an origin, for the tests of this folder.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::time::Duration;

use celerywinch_pool::{
    Answer, Call, EndedRow, Grant, Input, Output, Pool, PoolConfig, Request, RunEnd, RunningRow,
};
use celerywinch_types::{
    Crashes, DataCentreId, Domain, Doubt, Fence, Incarnation, InstanceId, JobId, Room, RunNumber,
    Said, Session, StepOrder, TaskEnd, TaskId, TaskOrder, Time, WorkMsg, WorkerClock, WorkerNote,
    WorkerStage,
};

pub(crate) const DC: DataCentreId = DataCentreId(0);
pub(crate) const DOMAIN: Domain = Domain { dc: DC, shard: 0 };
/// An origin whose grant has no end.
pub(crate) const ORIGIN: InstanceId = InstanceId(9);
/// A fencing token above the one that the dispatcher begins with.
pub(crate) const LATER_FENCE: Fence = Fence(9 << 5);
pub(crate) const JOB: JobId = JobId(77);
pub(crate) const ROOM: Room = Room {
    cpu: 32_000,
    memory: 65_536,
    accelerators: 0,
};

pub(crate) fn task(index: u16) -> TaskId {
    TaskId {
        job: JOB,
        step: 0,
        index,
    }
}

pub(crate) fn note(id: &str, port: u16) -> WorkerNote {
    WorkerNote {
        id: id.to_owned(),
        service: "s".to_owned(),
        addr: ([127, 0, 0, 1], port).into(),
        dc: DC,
        room: ROOM,
        labels: Vec::new(),
        stage: WorkerStage::Ready,
        said: Said {
            incarnation: Incarnation(1),
            sequence: 1,
        },
    }
}

pub(crate) fn step(doubt: Doubt, run: u64) -> StepOrder {
    StepOrder {
        session: Session(0),
        job: JOB,
        step: 0,
        spec: String::new(),
        queue: "q".to_owned(),
        service: "s".to_owned(),
        priority: 0,
        attempts: 3,
        need: Room {
            cpu: 14_000,
            ..Room::default()
        },
        estimate: 200,
        label: None,
        rack: None,
        spread: None,
        age: 0,
        slack: 1_600,
        target: 60,
        chain: 200,
        fresh: doubt == Doubt::None,
        pass: false,
        tasks: vec![TaskOrder {
            index: 0,
            failures: 0,
            crashes: Crashes::default(),
            run: RunNumber(run),
            doubt,
            hand: 1,
            first: 1,
        }],
    }
}

/// A dispatcher and what it has said.
pub(crate) struct Rig {
    pub(crate) pool: Pool,
    pub(crate) now: Time,
    pub(crate) calls: Vec<Call>,
    pub(crate) told: Vec<(TaskId, TaskEnd)>,
    /// The same with whom it was told.
    pub(crate) news: Vec<(InstanceId, TaskEnd)>,
    /// How often a worker was found to obey another dispatcher.
    pub(crate) outbid: usize,
}

impl Rig {
    /// With one worker that was taken over with these lists.
    pub(crate) fn new(running: Vec<RunningRow>, ended: Vec<EndedRow>) -> Self {
        let mut rig = Self::empty(PoolConfig::default());
        rig.take(Input::Workers(vec![note("w1", 1)]));
        rig.take(Input::Acquire(DOMAIN, Fence(5 << 5)));
        let look = rig.last(|order| matches!(order, Request::Poll { .. }));
        rig.answer(&look, lists(running, ended));
        rig
    }

    /// Without workers.
    pub(crate) fn empty(config: PoolConfig) -> Self {
        let mut rig = Self {
            pool: Pool::new(config),
            now: Time(1_000_000),
            calls: Vec::new(),
            told: Vec::new(),
            news: Vec::new(),
            outbid: 0,
        };
        rig.pool
            .set_permanent_grant(ORIGIN, Grant::unlimited(Incarnation(1)));
        rig
    }

    pub(crate) fn take(&mut self, input: Input) {
        let mut out = Vec::new();
        self.pool.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Call(call) => self.calls.push(call),
                Output::Send(to, WorkMsg::Ended(news)) => {
                    self.news.extend(news.iter().map(|news| (to, news.end)));
                    self.told
                        .extend(news.iter().map(|news| (news.task, news.end)));
                }
                Output::Outbid(_) => self.outbid += 1,
                Output::Send(..)
                | Output::UsedUp(_)
                | Output::Crashed(..)
                | Output::Careful(_)
                | Output::Note(_) => {}
            }
        }
    }

    pub(crate) fn wait(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now = self.now + Duration::from_millis(10);
            self.take(Input::Tick);
        }
    }

    pub(crate) fn last(&self, wanted: impl Fn(&Request) -> bool) -> Call {
        let calls = self.calls.iter().rev();
        let mut fitting = calls.filter(|call| wanted(&call.request));
        fitting.next().expect("a call").clone()
    }

    pub(crate) fn count(&self, wanted: impl Fn(&Request) -> bool) -> usize {
        self.calls
            .iter()
            .filter(|call| wanted(&call.request))
            .count()
    }

    pub(crate) fn answer(&mut self, call: &Call, answer: Answer) {
        self.take(Input::Answered(call.key, answer));
    }

    pub(crate) fn submit(&mut self, order: StepOrder) {
        self.take(Input::Work(ORIGIN, WorkMsg::Submit(order)));
    }
}

pub(crate) fn clock() -> WorkerClock {
    WorkerClock(5_000)
}

pub(crate) fn lists(running: Vec<RunningRow>, ended: Vec<EndedRow>) -> Answer {
    Answer::Lists {
        incarnation: None,
        clock: clock(),
        running,
        ended,
    }
}

/// Lists of a life that says which one it is.
pub(crate) fn lists_of(life: u64, running: Vec<RunningRow>, ended: Vec<EndedRow>) -> Answer {
    Answer::Lists {
        incarnation: Some(Incarnation(life)),
        clock: clock(),
        running,
        ended,
    }
}

pub(crate) fn is_start(order: &Request) -> bool {
    matches!(order, Request::Start { .. })
}

pub(crate) fn is_stop(order: &Request) -> bool {
    matches!(order, Request::Stop { .. })
}

pub(crate) fn is_look(order: &Request) -> bool {
    matches!(order, Request::Poll { .. })
}

/// A run of the task that is at work.
pub(crate) fn row(run: u64) -> RunningRow {
    RunningRow {
        task: task(0),
        run: RunNumber(run),
        percent: 20,
    }
}

/// The first end that a worker lists.
pub(crate) fn ended(run: u64, end: RunEnd) -> EndedRow {
    EndedRow {
        serial: 1,
        task: task(0),
        run: RunNumber(run),
        end,
    }
}

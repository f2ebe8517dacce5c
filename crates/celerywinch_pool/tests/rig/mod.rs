//! A dispatcher, its workers and an origin, for the tests of this folder.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::time::Duration;

use celerywinch_pool::{
    Answer, Call, EndedRow, Grant, How, Input, Order, Output, Pool, PoolConfig, RunningRow,
};
use celerywinch_types::{
    AnnouncementVersion, Crashes, DataCentreId, Domain, Fence, Incarnation, InstanceId, JobId,
    PriorRuns, Resources, RunNumber, Session, StepOrder, TaskEnd, TaskId, TaskOrder, Time, WorkMsg,
    WorkerAnnouncement, WorkerClock, WorkerStage,
};

pub(crate) const DC: DataCentreId = DataCentreId(0);
pub(crate) const DOMAIN: Domain = Domain { dc: DC, shard: 0 };
/// An origin whose grant has no end.
pub(crate) const ORIGIN: InstanceId = InstanceId(9);
/// A fencing token above the one that the dispatcher begins with.
pub(crate) const LATER_FENCE: Fence = Fence(9 << 5);
pub(crate) const JOB: JobId = JobId(77);
pub(crate) const ROOM: Resources = Resources {
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

pub(crate) fn note(id: &str, port: u16) -> WorkerAnnouncement {
    WorkerAnnouncement {
        id: id.to_owned(),
        service: "s".to_owned(),
        addr: ([127, 0, 0, 1], port).into(),
        dc: DC,
        capacity: ROOM,
        labels: Vec::new(),
        stage: WorkerStage::Ready,
        version: AnnouncementVersion {
            incarnation: Incarnation(1),
            sequence: 1,
        },
    }
}

pub(crate) fn step(doubt: PriorRuns, run: u64) -> StepOrder {
    StepOrder {
        session: Session(0),
        job: JOB,
        step: 0,
        spec: String::new(),
        queue: "q".to_owned(),
        service: "s".to_owned(),
        priority: 0,
        attempts: 3,
        need: Resources {
            cpu: 14_000,
            ..Resources::default()
        },
        estimate: 200,
        label: None,
        rack: None,
        spread: None,
        age: 0,
        slack: 1_600,
        target: 60,
        critical_path: 200,
        refusable: doubt == PriorRuns::None,
        no_wait: false,
        tasks: vec![TaskOrder {
            index: 0,
            failures: 0,
            crashes: Crashes::default(),
            run: RunNumber(run),
            prior_runs: doubt,
            submission: 1,
            first_submission: 1,
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
        let look = rig.last(|order| matches!(order, Order::Look { .. }));
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
        rig.pool.trust(ORIGIN, Grant::without_end(Incarnation(1)));
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

    pub(crate) fn last(&self, wanted: impl Fn(&Order) -> bool) -> Call {
        let calls = self.calls.iter().rev();
        let mut fitting = calls.filter(|call| wanted(&call.order));
        fitting.next().expect("a call").clone()
    }

    pub(crate) fn count(&self, wanted: impl Fn(&Order) -> bool) -> usize {
        self.calls.iter().filter(|call| wanted(&call.order)).count()
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

pub(crate) fn is_start(order: &Order) -> bool {
    matches!(order, Order::Start { .. })
}

pub(crate) fn is_stop(order: &Order) -> bool {
    matches!(order, Order::Stop { .. })
}

pub(crate) fn is_look(order: &Order) -> bool {
    matches!(order, Order::Look { .. })
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
pub(crate) fn ended(run: u64, how: How) -> EndedRow {
    EndedRow {
        serial: 1,
        task: task(0),
        run: RunNumber(run),
        how,
    }
}

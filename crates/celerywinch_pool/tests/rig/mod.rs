//! Test rig shared by the tests in this folder: a dispatcher, its workers and an origin.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub(crate) mod scene;

use std::time::Duration;

use celerywinch_pool::{
    Answer, Call, EndedRow, Grant, Input, Output, Pool, PoolConfig, Request, RunEnd, RunningRow,
};
use celerywinch_types::{
    AnnouncementVersion, Crashes, DataCentreId, Declined, Domain, Fence, Incarnation, InstanceId,
    JobId, Offer, PriorRuns, Resources, RunNumber, Session, StepOrder, SubmissionNumber, TaskEnd,
    TaskId, TaskOrder, Time, WorkMsg, WorkerAnnouncement, WorkerClock, WorkerStage,
};

pub(crate) const DC: DataCentreId = DataCentreId(0);
pub(crate) const DOMAIN: Domain = Domain { dc: DC, shard: 0 };
/// An origin whose grant does not expire.
pub(crate) const ORIGIN: InstanceId = InstanceId(9);
/// A fencing token above the one that the dispatcher starts with.
pub(crate) const LATER_FENCE: Fence = Fence(9 << 5);
pub(crate) const JOB: JobId = JobId(77);
pub(crate) const CAPACITY: Resources = Resources {
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

pub(crate) fn submission(number: u64) -> SubmissionNumber {
    SubmissionNumber::new(number).expect("a number above zero")
}

pub(crate) fn worker_announcement(id: &str, port: u16) -> WorkerAnnouncement {
    WorkerAnnouncement {
        id: id.to_owned(),
        service: "s".to_owned(),
        addr: ([127, 0, 0, 1], port).into(),
        dc: DC,
        capacity: CAPACITY,
        labels: Vec::new(),
        stage: WorkerStage::Ready,
        version: AnnouncementVersion {
            incarnation: Incarnation(1),
            sequence: 1,
        },
    }
}

pub(crate) fn step(prior_runs: PriorRuns, run: u64) -> StepOrder {
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
        refusable: prior_runs == PriorRuns::None,
        no_wait: false,
        tasks: vec![TaskOrder {
            index: 0,
            failures: 0,
            crashes: Crashes::default(),
            run: RunNumber(run),
            prior_runs,
            submission: SubmissionNumber::FIRST,
            first_submission: SubmissionNumber::FIRST,
        }],
    }
}

/// A dispatcher and its recorded outputs.
pub(crate) struct Rig {
    pub(crate) pool: Pool,
    pub(crate) now: Time,
    pub(crate) calls: Vec<Call>,
    /// The ends reported to origins, in order.
    pub(crate) ends: Vec<(TaskId, TaskEnd)>,
    /// The same ends with the origin that each was sent to.
    pub(crate) ends_by_origin: Vec<(InstanceId, TaskEnd)>,
    /// The submissions that the same ends answer.
    pub(crate) answered: Vec<SubmissionNumber>,
    /// The origins that were asked which tasks they want.
    pub(crate) resyncs: Vec<InstanceId>,
    /// The offers, with the origins that they were sent to.
    pub(crate) offers: Vec<(InstanceId, Offer)>,
    /// The declined reservations, with the origins that were told.
    pub(crate) declined: Vec<(InstanceId, Declined)>,
    /// How often a worker was found to have seen a higher fencing token.
    pub(crate) fenced: usize,
}

impl Rig {
    /// Creates a dispatcher with one worker, which listed these runs at its takeover.
    pub(crate) fn new(running: Vec<RunningRow>, ended: Vec<EndedRow>) -> Self {
        let mut rig = Self::empty(PoolConfig::default());
        rig.handle(Input::Workers(vec![worker_announcement("w1", 1)]));
        rig.handle(Input::Acquire(DOMAIN, Fence(5 << 5)));
        let poll = rig.last_call(|request| matches!(request, Request::Poll { .. }));
        rig.answer(&poll, lists(running, ended));
        rig
    }

    /// Creates a dispatcher without workers.
    pub(crate) fn empty(config: PoolConfig) -> Self {
        let mut rig = Self {
            pool: Pool::new(config),
            now: Time(1_000_000),
            calls: Vec::new(),
            ends: Vec::new(),
            ends_by_origin: Vec::new(),
            answered: Vec::new(),
            resyncs: Vec::new(),
            offers: Vec::new(),
            declined: Vec::new(),
            fenced: 0,
        };
        rig.pool
            .set_permanent_grant(ORIGIN, Grant::unlimited(Incarnation(1)));
        rig
    }

    /// Passes an input to the pool and records the outputs.
    pub(crate) fn handle(&mut self, input: Input) {
        let mut out = Vec::new();
        self.pool.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Call(call) => self.calls.push(call),
                Output::Send(to, WorkMsg::Ended(reports)) => {
                    self.ends_by_origin
                        .extend(reports.iter().map(|report| (to, report.end)));
                    self.answered
                        .extend(reports.iter().map(|report| report.submission));
                    self.ends
                        .extend(reports.iter().map(|report| (report.task, report.end)));
                }
                Output::Send(to, WorkMsg::Resync(_)) => self.resyncs.push(to),
                Output::Send(to, WorkMsg::Offer(offers)) => {
                    self.offers
                        .extend(offers.into_iter().map(|offer| (to, offer)));
                }
                Output::Send(to, WorkMsg::Decline(declined)) => {
                    let declined = declined.into_iter();
                    self.declined
                        .extend(declined.map(|declined| (to, declined)));
                }
                Output::Fenced(_) => self.fenced += 1,
                Output::Send(..)
                | Output::TokenExhausted(_)
                | Output::Crashed(..)
                | Output::ProbeQueue(_)
                | Output::Event(_) => {}
            }
        }
    }

    /// Advances the time by `ms`, with a tick every 10 ms.
    pub(crate) fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.now = self.now + Duration::from_millis(10);
            self.handle(Input::Tick);
        }
    }

    /// Returns the last call that fits.
    pub(crate) fn last_call(&self, wanted: impl Fn(&Request) -> bool) -> Call {
        let calls = self.calls.iter().rev();
        let mut fitting = calls.filter(|call| wanted(&call.request));
        fitting.next().expect("a call").clone()
    }

    pub(crate) fn count_calls(&self, wanted: impl Fn(&Request) -> bool) -> usize {
        self.calls
            .iter()
            .filter(|call| wanted(&call.request))
            .count()
    }

    pub(crate) fn answer(&mut self, call: &Call, answer: Answer) {
        self.handle(Input::Answered(call.key, answer));
    }

    pub(crate) fn submit(&mut self, order: StepOrder) {
        self.handle(Input::Work(ORIGIN, WorkMsg::Submit(order)));
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

/// Lists of a worker that states its incarnation.
pub(crate) fn lists_of(incarnation: u64, running: Vec<RunningRow>, ended: Vec<EndedRow>) -> Answer {
    Answer::Lists {
        incarnation: Some(Incarnation(incarnation)),
        clock: clock(),
        running,
        ended,
    }
}

pub(crate) fn is_start(request: &Request) -> bool {
    matches!(request, Request::Start { .. })
}

pub(crate) fn is_stop(request: &Request) -> bool {
    matches!(request, Request::Stop { .. })
}

pub(crate) fn is_poll(request: &Request) -> bool {
    matches!(request, Request::Poll { .. })
}

/// A running run of task 0.
pub(crate) fn running_row(run: u64) -> RunningRow {
    RunningRow {
        task: task(0),
        run: RunNumber(run),
        percent: 20,
    }
}

/// The first end in the list of a worker, of a run of task 0.
pub(crate) fn ended_row(run: u64, end: RunEnd) -> EndedRow {
    EndedRow {
        serial: 1,
        task: task(0),
        run: RunNumber(run),
        end,
    }
}

//! Tests of announcements that contradict what is known of a worker.

mod rig;

use std::net::SocketAddr;

use celerywinch_pool::{Answer, Call, EndedRow, Input, Rejection, Request, RunEnd, RunningRow};
use celerywinch_types::{
    AnnouncementVersion, DataCentreId, Domain, Fence, Incarnation, JobId, PriorRuns, TaskEnd,
    WorkerAnnouncement, WorkerStage,
};
use rig::{
    Rig, ended_row, is_poll, is_start, lists_of, running_row, step, task, worker_announcement,
};
use rstest::rstest;

/// The incarnation that is running, and the port of its address.
const RUNNING: u64 = 5;
const PORT: u16 = 1;
/// A port at which nothing answers.
const SILENT_PORT: u16 = 2;
const LATER_JOB: JobId = JobId(78);

fn announcement(incarnation: u64, sequence: u64, port: u16) -> WorkerAnnouncement {
    WorkerAnnouncement {
        version: AnnouncementVersion {
            incarnation: Incarnation(incarnation),
            sequence,
        },
        ..worker_announcement("w1", port)
    }
}

fn addr(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// What answers at the addresses of a worker.
#[derive(Default)]
struct Site {
    running: Vec<RunningRow>,
    ended: Vec<EndedRow>,
    /// Whether the worker does not answer any more.
    lost: bool,
    /// How many calls of the rig have been answered.
    answered: usize,
}

impl Site {
    fn reply(&self, call: &Call) -> Answer {
        match &call.request {
            Request::Poll { .. } => lists_of(RUNNING, self.running.clone(), self.ended.clone()),
            Request::Start { .. } | Request::Stop { .. } => Answer::Accepted(rig::clock()),
        }
    }

    /// Advances the time, with an answer to each call within 10 ms.
    fn advance(&mut self, rig: &mut Rig, ms: u64) {
        for _ in 0..ms / 10 {
            rig.advance(10);
            self.answer_open(rig);
        }
    }

    /// Answers the calls that are open now, but not those that the answers lead to.
    fn answer_open(&mut self, rig: &mut Rig) {
        let open = rig.calls.len();
        while self.answered < open {
            let call = rig.calls[self.answered].clone();
            self.answered += 1;
            let answer = if call.addr == addr(PORT) && !self.lost {
                self.reply(&call)
            } else {
                Answer::NoAnswer
            };
            rig.answer(&call, answer);
        }
    }
}

/// Creates a dispatcher that owns the domain of a worker, of which it has heard by these announcements.
fn dispatcher(announcements: Vec<WorkerAnnouncement>) -> (Rig, Site) {
    let mut rig = Rig::empty(celerywinch_pool::PoolConfig::default());
    for announcement in announcements {
        rig.handle(Input::Workers(vec![announcement]));
    }
    rig.handle(Input::Acquire(rig::DOMAIN, Fence(5 << 5)));
    let mut site = Site::default();
    site.advance(&mut rig, 100);
    (rig, site)
}

fn elsewhere(incarnation: u64, sequence: u64) -> WorkerAnnouncement {
    WorkerAnnouncement {
        service: "other".to_owned(),
        ..announcement(incarnation, sequence, SILENT_PORT)
    }
}

fn same_address(incarnation: u64, sequence: u64) -> WorkerAnnouncement {
    WorkerAnnouncement {
        service: "other".to_owned(),
        ..announcement(incarnation, sequence, PORT)
    }
}

fn leaving(announcement: WorkerAnnouncement) -> WorkerAnnouncement {
    WorkerAnnouncement {
        stage: WorkerStage::Draining,
        ..announcement
    }
}

fn in_other_dc(announcement: WorkerAnnouncement) -> WorkerAnnouncement {
    WorkerAnnouncement {
        dc: DataCentreId(1),
        ..announcement
    }
}

/// Guards against a task that runs twice at the same time: somebody else's announcement has the ID of a worker at work, and
/// its runs are given up without asking it. The worker has to take tasks afterwards, too.
#[rstest]
#[case::later_incarnation_elsewhere(elsewhere(9, 1))]
#[case::earlier_incarnation_elsewhere(elsewhere(2, 1))]
#[case::same_incarnation_elsewhere(elsewhere(RUNNING, 1 << 40))]
#[case::no_incarnation_elsewhere(elsewhere(0, 1 << 40))]
#[case::later_incarnation_at_its_address(same_address(9, 1))]
#[case::same_incarnation_of_another_service(same_address(RUNNING, 1 << 40))]
#[case::leaves_elsewhere(leaving(elsewhere(9, 1)))]
#[case::same_incarnation_leaves_elsewhere(leaving(elsewhere(RUNNING, 1 << 40)))]
#[case::same_incarnation_of_another_service_leaves(leaving(same_address(RUNNING, 1 << 40)))]
#[case::no_incarnation_leaves(leaving(announcement(0, 1 << 40, PORT)))]
#[case::later_incarnation_in_another_data_centre(in_other_dc(same_address(9, 1)))]
#[case::same_incarnation_in_another_data_centre(in_other_dc(same_address(RUNNING, 1 << 40)))]
fn claim_of_another_writer_ends_no_run(
    #[case] claim: WorkerAnnouncement,
    #[values(false, true)] comes_first: bool,
) {
    let own = announcement(RUNNING, 3, PORT);
    let same_incarnation = claim.version.incarnation == own.version.incarnation;
    if comes_first && claim.addr == own.addr && (same_incarnation || claim.dc != own.dc) {
        // The worker's answers don't show which of the two is its own. Keepers hand on only what names a configured service.
        return;
    }
    let announced = if comes_first {
        vec![claim.clone(), own.clone()]
    } else {
        vec![own.clone()]
    };
    let (mut rig, mut site) = dispatcher(announced);
    rig.submit(step(PriorRuns::None, 0));
    site.running = vec![running_row(1)];
    site.advance(&mut rig, 50);
    assert_eq!(rig.count_calls(is_start), 1);
    for _ in 0..3 {
        rig.handle(Input::Workers(vec![claim.clone()]));
        site.advance(&mut rig, 50);
    }
    assert_eq!(rig.count_calls(is_start), 1, "the first run goes on");
    site.running.clear();
    site.ended = vec![ended_row(1, RunEnd::Done)];
    site.advance(&mut rig, 200);
    assert_eq!(rig.ends, [(task(0), TaskEnd::Done)]);
    let mut order = step(PriorRuns::None, 0);
    order.job = LATER_JOB;
    rig.submit(order);
    let start = rig.last_call(is_start);
    assert_eq!(rig.count_calls(is_start), 2, "the worker takes tasks");
    assert_eq!(start.addr, addr(PORT));
}

/// Guards against a task that waits for its lease, or a worker without tasks: a worker has crashed and restarted under its ID
/// at another address. Its own answer there shows that the earlier incarnation is over.
#[rstest]
#[case::later(9)]
#[case::clock_set_back(2)]
fn answer_elsewhere_ends_the_earlier_incarnation(#[case] incarnation: u64) {
    let (mut rig, mut site) = dispatcher(vec![announcement(RUNNING, 3, PORT)]);
    rig.submit(step(PriorRuns::None, 0));
    site.running = vec![running_row(1)];
    site.advance(&mut rig, 50);
    // The earlier incarnation answers no more.
    let polls = rig.calls.len();
    rig.handle(Input::Workers(vec![announcement(
        incarnation,
        1,
        SILENT_PORT,
    )]));
    assert_eq!(rig.calls.len(), polls + 1, "asked at once");
    assert_eq!(rig.count_calls(is_start), 1, "not before it has answered");
    let mut answered = site.answered;
    let limit = if incarnation > RUNNING { 50 } else { 1_500 };
    for _ in 0..limit / 10 {
        let open = rig.calls[answered..].to_vec();
        answered = rig.calls.len();
        for call in open {
            let answer = match (call.addr == addr(SILENT_PORT), &call.request) {
                (false, _) => Answer::NoAnswer,
                (true, Request::Poll { .. }) => lists_of(incarnation, Vec::new(), Vec::new()),
                (true, _) => Answer::Accepted(rig::clock()),
            };
            rig.answer(&call, answer);
        }
        if rig.count_calls(is_start) == 2 {
            break;
        }
        rig.advance(10);
    }
    assert_eq!(rig.count_calls(is_start), 2);
    assert_eq!(rig.last_call(is_start).addr, addr(SILENT_PORT));
}

/// Guards against a task that runs twice: a worker is said to be in the domain of another dispatcher, which this one cannot
/// ask. The task waits for the end of the lease.
#[test]
fn claim_in_the_domain_of_another_dispatcher_ends_no_run() {
    let (mut rig, mut site) = dispatcher(vec![announcement(RUNNING, 3, PORT)]);
    rig.submit(step(PriorRuns::None, 0));
    site.running = vec![running_row(1)];
    site.advance(&mut rig, 50);
    rig.handle(Input::Workers(vec![in_other_dc(elsewhere(9, 1))]));
    site.advance(&mut rig, 300);
    assert_eq!(rig.count_calls(is_start), 1);
    let asked = rig.calls.iter().any(|call| call.addr == addr(SILENT_PORT));
    assert!(!asked, "its fencing token would be of the wrong domain");
    // The domain of the announced address is taken over, and the worker does answer there.
    let other = Domain {
        dc: DataCentreId(1),
        shard: 0,
    };
    rig.handle(Input::Acquire(other, Fence(6 << 5)));
    rig.advance(10);
    let poll = rig.last_call(is_poll);
    assert_eq!(poll.addr, addr(SILENT_PORT));
    rig.answer(&poll, lists_of(9, Vec::new(), Vec::new()));
    let poll = rig.last_call(is_poll);
    rig.answer(&poll, lists_of(9, Vec::new(), Vec::new()));
    assert_eq!(rig.pool.known_workers(), 1);
}

/// Guards against a task that runs twice, or a domain that is resigned: the address in somebody else's announcement is that of
/// another worker, which rejects the call.
#[rstest]
#[case::other_worker(Answer::OtherIncarnation)]
#[case::higher_fencing_token(Answer::Rejected(Rejection::StaleFence, None))]
#[case::nothing_listens(Answer::ConnectionRefused)]
#[case::other_incarnation(lists_of(3, Vec::new(), Vec::new()))]
#[case::no_incarnation_stated(rig::lists(Vec::new(), Vec::new()))]
fn rejection_at_a_claimed_address_ends_no_run(#[case] answer: Answer) {
    let (mut rig, mut site) = dispatcher(vec![announcement(RUNNING, 3, PORT)]);
    rig.submit(step(PriorRuns::None, 0));
    site.running = vec![running_row(1)];
    site.advance(&mut rig, 50);
    rig.handle(Input::Workers(vec![elsewhere(9, 1)]));
    let call = rig.last_call(|_| true);
    assert_eq!(call.addr, addr(SILENT_PORT));
    site.answered = rig.calls.len();
    rig.answer(&call, answer);
    site.advance(&mut rig, 300);
    assert_eq!(rig.count_calls(is_start), 1);
    assert_eq!(rig.fenced, 0);
}

/// Guards against calls without end to an address at which nothing answers.
#[test]
fn claims_without_an_answer_are_dropped() {
    let (mut rig, mut site) = dispatcher(vec![announcement(RUNNING, 3, PORT)]);
    rig.handle(Input::Workers(vec![elsewhere(9, 1)]));
    site.advance(&mut rig, 30_000);
    let asked = |rig: &Rig| {
        let calls = rig.calls.iter();
        calls.filter(|call| call.addr == addr(SILENT_PORT)).count()
    };
    let calls = asked(&rig);
    assert!((2..30).contains(&calls), "{calls} calls");
    site.advance(&mut rig, 10_000);
    assert_eq!(asked(&rig), calls);
}

/// Guards against a worker that is lost for good: it has restarted at another address, in the domain of another dispatcher,
/// and what was known of it is removed for its silence.
#[test]
fn claim_replaces_a_worker_that_was_removed() {
    let (mut rig, mut site) = dispatcher(vec![announcement(RUNNING, 3, PORT)]);
    rig.handle(Input::Workers(vec![in_other_dc(elsewhere(9, 1))]));
    site.lost = true;
    site.advance(&mut rig, 30_000);
    assert_eq!(rig.pool.known_workers(), 1, "the claimed incarnation");
    rig.handle(Input::Workers(vec![announcement(RUNNING, 4, PORT)]));
    assert_eq!(rig.last_call(|_| true).addr, addr(PORT), "asked again");
}

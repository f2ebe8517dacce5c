//! Timeouts and intervals of the dispatcher.

use std::time::Duration;

use celerywinch_types::{DataCentreId, DisabledMechanisms};

/// The share of time by which a worker's steady clock may run slow. The user documentation states it.
pub const MAX_CLOCK_DRIFT: f64 = 0.02;
/// Added to the end of a lease, for the rounding of times to whole ms and for a message in flight.
pub(crate) const LEASE_MARGIN: Duration = Duration::from_millis(25);

/// The oldest reading of a worker's clock from which a lease may be counted: the interval between two polls of an idle worker,
/// plus the wait and the timeout of a poll, plus late ticks.
pub(crate) const MAX_READING_AGE: Duration = Duration::from_millis(4_500);

/// Settings of the dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct PoolConfig {
    /// How long a worker keeps its runs without hearing from the dispatcher. A shorter lease lets the work of a lost
    /// worker start elsewhere sooner. It must outlast a change of dispatcher (350 ms of silence, a call, and the time
    /// for adoption), or running work is lost. The user documentation allows 1,000 ms.
    pub lease: Duration,
    /// The longest time that a poll waits at a worker for a run to end. Two missed polls and their timeouts fit into a lease.
    pub poll_wait: Duration,
    /// The shortest wait of a poll while runs take longer than expected. A shorter wait costs more polls for late runs.
    pub min_wait: Duration,
    /// How much longer than its wait the answer to a poll may take.
    pub answer_timeout: Duration,
    /// How long the answer to a start or stop request may take. A start without an answer is resolved by a stop.
    pub request_timeout: Duration,
    /// The longest timeout of any call, beside the wait of a poll, where all answers are slow. Two such timeouts, with the
    /// allowance for answers that are not read yet, fit into a lease.
    pub max_timeout: Duration,
    /// How long the acknowledgement of ends to a worker without other work is delayed.
    pub ack_delay: Duration,
    /// How often an idle worker is polled. Its clock may lose 2% of the time since the last reading, so a lease that is counted
    /// from that reading may last up to 90 ms longer; the timeouts for lost dispatchers include this. The poll also
    /// finds a dead worker before a task is started there. 350 idle workers cost 88 polls/s, a thirtieth of the polls
    /// under load.
    pub idle_interval: Duration,
    /// A domain without an answer for this long has one of its workers polled when its dispatcher needs to know whether
    /// the workers can be reached. Several can be polled in turn, each for the timeout of a request, before the domain
    /// is given up after a second.
    pub reach_window: Duration,
    /// Delay between two attempts to reach a worker that does not answer.
    pub retry_delay: Duration,
    /// How long runs found at a takeover wait for their origin before they are stopped. Origins learn of a new dispatcher
    /// within a heartbeat interval.
    pub adopt_timeout: Duration,
    /// The longest time that a task which may be running somewhere waits before it is started: the time for which an origin's
    /// grant lets a dispatcher start its tasks (500 ms) plus the longest lease (931 ms). The silence after which a
    /// dispatcher counts as lost is not subtracted, as a network cut that refuses connections makes it count as lost at
    /// once.
    pub doubt_timeout: Duration,
    /// How long a worker that failed tasks gets no new ones.
    pub quarantine: Duration,
    /// How long a worker may leave calls unanswered before it is removed.
    pub remove_after: Duration,
    /// How long a worker may take to carry out a stop.
    pub stop_delay: Duration,
    /// The dispatcher's data centre; its workers are preferred.
    pub dc: Option<DataCentreId>,
    /// Mechanisms that are disabled.
    pub disabled: DisabledMechanisms,
}

impl Default for PoolConfig {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(800),
            poll_wait: Duration::from_millis(150),
            min_wait: Duration::from_millis(80),
            answer_timeout: Duration::from_millis(80),
            request_timeout: Duration::from_millis(80),
            max_timeout: Duration::from_millis(300),
            ack_delay: Duration::from_millis(400),
            idle_interval: Duration::from_secs(4),
            reach_window: Duration::from_millis(400),
            retry_delay: Duration::from_millis(250),
            adopt_timeout: Duration::from_millis(150),
            doubt_timeout: Duration::from_millis(1_450),
            quarantine: Duration::from_millis(1_500),
            remove_after: Duration::from_secs(20),
            stop_delay: Duration::from_millis(50),
            dc: None,
            disabled: DisabledMechanisms::default(),
        }
    }
}

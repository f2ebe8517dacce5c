//! Limits and intervals of the dispatcher.

use std::time::Duration;

use celerywinch_types::{DataCentreId, DisabledMechanisms};

/// How slow a worker's steady clock may be; by the users' page.
pub const MAX_CLOCK_DRIFT: f64 = 0.02;
/// Allowance for the rounding of times to whole ms and for a message under way, added to the end of
/// a lease.
pub(crate) const LEASE_MARGIN: Duration = Duration::from_millis(25);

/// No lease is counted from an older reading of a worker's clock: the time between two looks at an idle worker,
/// the wait and the time-out of a look, and ticks that are late.
pub(crate) const MAX_READING_AGE: Duration = Duration::from_millis(4_500);

/// What may be set.
#[derive(Clone, Copy, Debug)]
pub struct PoolConfig {
    /// How long a worker goes on without hearing from the dispatcher. Shorter, work of a lost
    /// worker is started elsewhere sooner; but it must outlast the change of hands (350 ms of
    /// silence, a call, and the time for adoption), or running work is thrown away. The users' page allows 1,000 ms.
    pub lease: Duration,
    /// How long a look at a worker waits there for an end. Two missed looks and their time-outs
    /// fit into a lease.
    pub poll_wait: Duration,
    /// The least wait of a look, while runs take longer than expected: shorter, late runs cost looks.
    pub min_wait: Duration,
    /// How much longer than its wait an answer may take.
    pub answer_timeout: Duration,
    /// The same for orders; one that takes longer is settled by a stop.
    pub order_timeout: Duration,
    /// The most that any answer is waited for, beside the wait of a look, where all of them are slow. With the wait for what
    /// is not read yet two of them fit into a lease.
    pub max_timeout: Duration,
    /// How long ends wait for being acknowledged to a worker that has nothing else to do.
    pub ack_delay: Duration,
    /// An idle worker is looked at this often. Its clock may lose 2% of the time since the last reading, and a lease
    /// that is counted from there lasts so much longer: 90 ms at most, which the waits for lost dispatchers count.
    /// And a task does not find out by its own start that a worker is dead. 350 idle workers cost 88 looks/s, a
    /// thirtieth of what they get under load.
    pub idle_interval: Duration,
    /// A domain whose workers said nothing for this long has one of them asked, when its
    /// dispatcher needs to know whether they can be reached. Several can be asked one after the
    /// other, each for the time of an order, before a second is over and the domain given up.
    pub reach_window: Duration,
    /// Between two attempts to reach a worker that does not answer.
    pub retry_delay: Duration,
    /// How long runs found at a takeover wait for their origin before they are stopped. Origins
    /// hear of a new dispatcher within a heartbeat.
    pub adopt_timeout: Duration,
    /// How long a task that may run somewhere waits at most before it is started: the time for which an origin
    /// lets a dispatcher start its tasks (500 ms), and the longest lease (931 ms). Not less by the silence after
    /// which a dispatcher counts as lost: a cut that refuses connections makes it count as lost at once.
    pub doubt_timeout: Duration,
    /// How long a worker that failed tasks gets none.
    pub quarantine: Duration,
    /// A worker that was asked in vain for this long is forgotten.
    pub remove_after: Duration,
    /// How long a stop may take on a worker.
    pub stop_delay: Duration,
    /// The dispatcher's data centre, whose workers it prefers.
    pub dc: Option<DataCentreId>,
    /// Mechanisms that are left out.
    pub disabled: DisabledMechanisms,
}

impl Default for PoolConfig {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(800),
            poll_wait: Duration::from_millis(150),
            min_wait: Duration::from_millis(80),
            answer_timeout: Duration::from_millis(80),
            order_timeout: Duration::from_millis(80),
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

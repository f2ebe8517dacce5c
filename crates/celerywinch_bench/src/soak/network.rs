//! The fake network, which decides when each message arrives, if at all.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Probabilities of faults, each between 0 and 1 for every message.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FaultRates {
    /// Probability that a message is lost.
    pub(crate) loss: f64,
    /// Probability that a message arrives twice.
    pub(crate) duplicated: f64,
    /// Probability that a copy of a message takes a delay of `LATE_DELAY_US`.
    pub(crate) late: f64,
}

/// The fake network between entries.
#[derive(Debug)]
pub(crate) struct Network {
    pub(crate) rates: FaultRates,
    /// Pairs (from, to) of nodes between which all messages are dropped.
    blocked: BTreeSet<(usize, usize)>,
}

/// Range of usual delays, in microseconds.
const NORMAL_DELAY_US: std::ops::Range<u64> = 100..2_000;
/// Range of the delays of late messages, in microseconds.
const LATE_DELAY_US: std::ops::Range<u64> = 20_000..4_000_000;

impl Network {
    pub(crate) fn new() -> Self {
        let rates = FaultRates {
            loss: 0.01,
            duplicated: 0.02,
            late: 0.01,
        };
        Self {
            rates,
            blocked: BTreeSet::new(),
        }
    }

    /// Draws the delay of each copy of a message; empty if the message is lost.
    pub(crate) fn deliveries(
        &self,
        from: usize,
        to: usize,
        random: &mut ChaCha8Rng,
    ) -> Vec<Duration> {
        if self.blocked.contains(&(from, to)) || random.random_bool(self.rates.loss) {
            return Vec::new();
        }
        let copies = 1 + usize::from(random.random_bool(self.rates.duplicated));
        (0..copies).map(|_| self.delay(random)).collect()
    }

    fn delay(&self, random: &mut ChaCha8Rng) -> Duration {
        let range = if random.random_bool(self.rates.late) {
            LATE_DELAY_US
        } else {
            NORMAL_DELAY_US
        };
        Duration::from_micros(random.random_range(range))
    }

    /// Drops all further messages from one node to another.
    pub(crate) fn block(&mut self, from: usize, to: usize) {
        self.blocked.insert((from, to));
    }

    /// Ends all partitions.
    pub(crate) fn heal(&mut self) {
        self.blocked.clear();
    }

    /// Returns whether no pair of nodes is partitioned.
    pub(crate) fn is_connected(&self) -> bool {
        self.blocked.is_empty()
    }
}

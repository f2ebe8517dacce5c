//! Refused connections between members that are both alive.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::seq::index::sample;

use super::world::{Event, World};

/// Maximum share of the members whose connections are refused at once, in tenths.
const MAX_REFUSED_TENTHS: usize = 4;
/// Interval at which a refused link is tried again, as in `celerywinch_links`.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Duration as a multiple of that of other faults. It lasts up to 5 s: longer than a lease and the wait for its end.
const DURATION_FACTOR: u32 = 2;

/// Pairs of members of which the first cannot connect to the second.
#[derive(Debug, Default)]
pub(crate) struct Refusals {
    pairs: BTreeSet<(usize, usize)>,
}

impl Refusals {
    pub(crate) fn contains(&self, from: usize, to: usize) -> bool {
        self.pairs.contains(&(from, to))
    }
}

impl World {
    /// Refuses the outgoing connections, the incoming ones, or both, of some random members.
    pub(crate) fn refuse_links(&mut self, duration: Duration) {
        if !self.refusals.pairs.is_empty() {
            return;
        }
        let all = self.members.len();
        let count = self
            .random
            .random_range(1..=(all * MAX_REFUSED_TENTHS).div_ceil(10));
        let (outgoing, incoming) = match self.random.random_range(0..3) {
            0 => (true, false),
            1 => (false, true),
            _ => (true, true),
        };
        for one in sample(&mut self.random, all, count) {
            self.trace(|| {
                format!(
                    "member {one}: connections refused: outgoing {outgoing}, incoming {incoming}"
                )
            });
            for other in (0..all).filter(|other| *other != one) {
                if outgoing {
                    self.refusals.pairs.insert((one, other));
                }
                if incoming {
                    self.refusals.pairs.insert((other, one));
                }
            }
        }
        self.retry_refused_links();
        self.schedule(self.now + duration * DURATION_FACTOR, Event::EndRefusals);
    }

    /// Reports each refused link to the member that tries to open it, and schedules the next try.
    pub(crate) fn retry_refused_links(&mut self) {
        if self.refusals.pairs.is_empty() {
            return;
        }
        for (from, to) in self.refusals.pairs.clone() {
            let incarnation = self.members[from].incarnation();
            self.schedule(self.now, Event::ConnectionRefused(from, incarnation, to));
        }
        self.schedule(self.now + RETRY_INTERVAL, Event::RetryRefusedLinks);
    }

    /// Ends the refusals and reopens the links.
    pub(crate) fn end_refusals(&mut self) {
        for (from, to) in std::mem::take(&mut self.refusals.pairs) {
            self.reset_link(from, to);
            self.reset_link(to, from);
        }
        self.announce_unknown_peers();
    }
}

//! Members whose incoming path is congested: what is sent to them queues before it, what they send goes
//! out in time.

use std::time::Duration;

use celerywinch_types::Time;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand::seq::index::sample;

use super::world::{Event, World};

/// The longest that a message waits, in ms: an incoming path of 25 Mbit/s with 6 MB to carry.
const BACKLOG_MS: std::ops::Range<u64> = 200..2_000;
/// Draining takes this many times the longest wait. With less than 1 messages would overtake others.
const DRAIN_FACTOR: std::ops::Range<f64> = 1.05..3.0;
/// A ping is answered within this time, or its link is replaced; and a new one opens within this time, or
/// is tried again (`celerywinch_links`).
const PING_TIMEOUT: Duration = Duration::from_millis(700);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Workers announce themselves, and keepers tell of them, that often.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_500);

/// How long what comes in at a moment waits: ever longer up to a peak, then ever shorter.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backlog {
    from: Time,
    peak: Time,
    end: Time,
    max_delay: Duration,
}

impl Backlog {
    fn at(&self, now: Time) -> Duration {
        if now <= self.from || now >= self.end {
            Duration::ZERO
        } else if now < self.peak {
            self.max_delay.mul_f64(share(now, self.from, self.peak))
        } else {
            self.max_delay
                .mul_f64(1.0 - share(now, self.peak, self.end))
        }
    }

    /// From when to when links are down: from the first ping that is answered too late, until the wait
    /// is short enough that a new link opens.
    fn outage(&self) -> Option<(Time, Time)> {
        let max_delay = self.max_delay.as_secs_f64();
        let reached = PING_TIMEOUT.as_secs_f64() / max_delay;
        let left = 1.0 - CONNECT_TIMEOUT.as_secs_f64() / max_delay;
        if reached >= 1.0 {
            return None;
        }
        let from = self.from + self.peak.since(self.from).mul_f64(reached) + PING_TIMEOUT;
        let to = self.peak + self.end.since(self.peak).mul_f64(left);
        (from < to).then_some((from, to))
    }
}

fn share(now: Time, from: Time, to: Time) -> f64 {
    now.since(from).as_secs_f64() / to.since(from).as_secs_f64()
}

impl World {
    /// When what comes in at a member at a moment has passed its backlog.
    pub(crate) fn after_backlog(&self, to: usize, due: Time) -> Time {
        due + self.members[to].backlog.at(due)
    }

    /// Whether the links of a member are down, since pings take too long.
    pub(crate) fn is_offline(&self, index: usize) -> bool {
        let outage = self.members[index].backlog.outage();
        outage.is_some_and(|(from, to)| (from..to).contains(&self.now))
    }

    /// Congests the incoming path of one member, of half of them, or of all.
    pub(crate) fn congest(&mut self, duration: Duration) {
        let all = self.members.len();
        let counts = [1, all.div_ceil(2), all];
        let count = *counts.choose(&mut self.random).expect("three counts");
        for index in sample(&mut self.random, all, count) {
            let max_delay = Duration::from_millis(self.random.random_range(BACKLOG_MS));
            let drain = max_delay.mul_f64(self.random.random_range(DRAIN_FACTOR));
            if self.members[index].backlog.end > self.now {
                continue;
            }
            let peak = self.now + duration;
            let backlog = Backlog {
                from: self.now,
                peak,
                end: peak + drain,
                max_delay,
            };
            self.members[index].backlog = backlog;
            self.trace(|| format!("member {index} gets all up to {max_delay:?} late"));
            if let Some((_, to)) = backlog.outage() {
                self.schedule(to, Event::ReopenLinks(index));
            }
        }
    }

    /// The links of a member open again.
    pub(crate) fn reopen_links(&mut self, index: usize) {
        for other in (0..self.members.len()).filter(|other| *other != index) {
            self.reset_link(index, other);
            self.reset_link(other, index);
        }
        self.announce_unknown_peers();
    }

    /// All workers are told of again: a dispatcher may have forgotten one that it did not hear.
    pub(crate) fn announce_all(&mut self) {
        for index in 0..self.workers.len() {
            if self.workers[index].up {
                self.announce(index);
            }
        }
        self.schedule(self.now + ANNOUNCE_INTERVAL, Event::AnnounceAll);
    }
}

//! Congestion on the incoming path of members: messages to such a member queue and arrive late, messages that it
//! sends are not delayed.

use std::time::Duration;

use celerywinch_types::Time;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand::seq::index::sample;

use super::world::{Event, World};

/// Range of the longest queueing delay, in ms. The upper bound is that of an incoming path of 25 Mbit/s with a
/// backlog of 6 MB.
const BACKLOG_MS: std::ops::Range<u64> = 200..2_000;
/// Time in which the backlog drains, as a multiple of the longest delay. Below 1, messages would overtake each other.
const DRAIN_FACTOR: std::ops::Range<f64> = 1.05..3.0;
/// A link whose ping is not answered within this time is replaced, as in `celerywinch_links`.
const PING_TIMEOUT: Duration = Duration::from_millis(700);
/// A link that does not open within this time is tried again, as in `celerywinch_links`.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which workers announce themselves and keepers pass the announcements on.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_500);

/// Queueing delay of an incoming path over time: it rises linearly to a peak and falls linearly to zero.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backlog {
    start: Time,
    peak: Time,
    end: Time,
    max_delay: Duration,
}

impl Backlog {
    /// Returns the delay of a message that arrives at the path at `now`.
    fn delay_at(&self, now: Time) -> Duration {
        if now <= self.start || now >= self.end {
            Duration::ZERO
        } else if now < self.peak {
            self.max_delay.mul_f64(share(now, self.start, self.peak))
        } else {
            self.max_delay
                .mul_f64(1.0 - share(now, self.peak, self.end))
        }
    }

    /// Returns the start and end of the time in which links are down: from the first ping that times out until the
    /// delay is short enough for a new link to open.
    fn outage(&self) -> Option<(Time, Time)> {
        let max_delay = self.max_delay.as_secs_f64();
        let reached = PING_TIMEOUT.as_secs_f64() / max_delay;
        let left = 1.0 - CONNECT_TIMEOUT.as_secs_f64() / max_delay;
        if reached >= 1.0 {
            return None;
        }
        let from = self.start + self.peak.since(self.start).mul_f64(reached) + PING_TIMEOUT;
        let to = self.peak + self.end.since(self.peak).mul_f64(left);
        (from < to).then_some((from, to))
    }
}

fn share(now: Time, from: Time, to: Time) -> f64 {
    now.since(from).as_secs_f64() / to.since(from).as_secs_f64()
}

impl World {
    /// Returns when a message that reaches the incoming path of a member at `due` has passed its backlog.
    pub(crate) fn after_backlog(&self, to: usize, due: Time) -> Time {
        due + self.members[to].backlog.delay_at(due)
    }

    /// Returns whether the links of a member are down because pings time out.
    pub(crate) fn is_offline(&self, index: usize) -> bool {
        let outage = self.members[index].backlog.outage();
        outage.is_some_and(|(from, to)| (from..to).contains(&self.now))
    }

    /// Congests the incoming path of one member, of half of the members, or of all.
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
                start: self.now,
                peak,
                end: peak + drain,
                max_delay,
            };
            self.members[index].backlog = backlog;
            self.trace(|| format!("member {index}: incoming path delayed by up to {max_delay:?}"));
            if let Some((_, to)) = backlog.outage() {
                self.schedule(to, Event::ReopenLinks(index));
            }
        }
    }

    /// Reopens the links of a member after an outage.
    pub(crate) fn reopen_links(&mut self, index: usize) {
        for other in (0..self.members.len()).filter(|other| *other != index) {
            self.reset_link(index, other);
            self.reset_link(other, index);
        }
        self.announce_unknown_peers();
    }

    /// Announces all workers again, since a dispatcher may have removed one that it had no contact with.
    pub(crate) fn announce_all(&mut self) {
        for index in 0..self.workers.len() {
            if self.workers[index].up {
                self.announce(index);
            }
        }
        self.schedule(self.now + ANNOUNCE_INTERVAL, Event::AnnounceAll);
    }
}

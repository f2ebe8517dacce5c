//! Resets of many connections at once, in series.

use std::collections::BTreeMap;
use std::time::Duration;

use celerywinch_member::Input;
use celerywinch_origin::CallerId;
use celerywinch_types::Time;
use rand::Rng;

use super::world::{Event, World};

/// The share of the connections that a reset breaks.
const BROKEN_SHARE: f64 = 0.5;
/// What waits at an entry as a reset strikes is read within this time, each request together with the break of its connection.
const READ_WINDOW: Duration = Duration::from_millis(50);
/// A link is open again after a time up to this.
const MAX_REOPEN_DELAY: Duration = Duration::from_millis(60);
/// A caller whose connection broke as it sent its job sends it again within this time.
const MAX_RESEND_DELAY: Duration = Duration::from_millis(25);

/// Connections that were reset.
#[derive(Debug, Default)]
pub(crate) struct Resets {
    /// Until when requests are read whose connections have broken.
    backlog: Time,
    /// Until when each link loses what is sent on it.
    links: BTreeMap<(usize, usize), Time>,
}

impl Resets {
    /// Whether a link loses what is sent on it now.
    pub(crate) fn loses(&self, now: Time, from: usize, to: usize) -> bool {
        let until = self.links.get(&(from, to));
        until.is_some_and(|until| now < *until)
    }
}

impl World {
    /// Breaks half of the links, and half of the connections of callers that are about to send.
    pub(crate) fn reset_connections(&mut self) {
        self.resets.backlog = self.now + READ_WINDOW;
        for from in 0..self.members.len() {
            for to in 0..self.members.len() {
                if from != to && self.random.random_bool(BROKEN_SHARE) {
                    let until =
                        self.now + self.random.random_range(Duration::ZERO..MAX_REOPEN_DELAY);
                    self.resets.links.insert((from, to), until);
                    self.schedule(until, Event::ReopenLink(from, to));
                }
            }
        }
    }

    /// A link is open again, unless it was reset once more meanwhile.
    pub(crate) fn reopen_link(&mut self, from: usize, to: usize) {
        if !self.resets.loses(self.now, from, to) {
            self.reset_link(from, to);
            self.reset_link(to, from);
        }
    }

    /// Whether the connection of a request that is read now has broken.
    pub(crate) fn is_broken_connection(&mut self) -> bool {
        self.now < self.resets.backlog && self.random.random_bool(BROKEN_SHARE)
    }

    /// The entry reads the break right after the request, and the caller sends its job again at once.
    pub(crate) fn break_connection(&mut self, index: usize, caller: CallerId) {
        let (entry, attempts) = (self.jobs[index].entry, self.jobs[index].attempts);
        self.input(entry, Input::CallerGone(caller));
        self.input(entry, Input::Flush);
        let due = self.now + self.random.random_range(Duration::ZERO..MAX_RESEND_DELAY);
        self.schedule(due, Event::Resubmit(index, attempts));
    }
}

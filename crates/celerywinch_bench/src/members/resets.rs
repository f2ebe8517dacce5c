//! Resets of many connections at once.

use std::collections::BTreeMap;
use std::time::Duration;

use celerywinch_member::Input;
use celerywinch_origin::CallerId;
use celerywinch_types::Time;
use rand::Rng;

use super::world::{Event, World};

/// Share of the connections that a reset breaks.
const BROKEN_SHARE: f64 = 0.5;
/// Time within which entries read the requests that were waiting at the time of the reset. The break of a connection is
/// read together with its request.
const READ_WINDOW: Duration = Duration::from_millis(50);
/// Maximum time until a link is open again.
const MAX_REOPEN_DELAY: Duration = Duration::from_millis(60);
/// Maximum time until a caller whose connection broke while it submitted its job submits it again.
const MAX_RESEND_DELAY: Duration = Duration::from_millis(25);

/// State of the connections that were reset.
#[derive(Debug, Default)]
pub(crate) struct Resets {
    /// Requests whose connections have broken are read until then.
    read_until: Time,
    /// Time until which each link loses its messages.
    links: BTreeMap<(usize, usize), Time>,
}

impl Resets {
    /// Returns whether a link loses a message that is sent on it now.
    pub(crate) fn loses(&self, now: Time, from: usize, to: usize) -> bool {
        let until = self.links.get(&(from, to));
        until.is_some_and(|until| now < *until)
    }
}

impl World {
    /// Breaks half of the links between members, and half of the connections of callers that are submitting jobs.
    pub(crate) fn reset_connections(&mut self) {
        self.resets.read_until = self.now + READ_WINDOW;
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

    /// Reopens a link, unless it was reset once more meanwhile.
    pub(crate) fn reopen_link(&mut self, from: usize, to: usize) {
        if !self.resets.loses(self.now, from, to) {
            self.reset_link(from, to);
            self.reset_link(to, from);
        }
    }

    /// Draws whether the connection of a request that is read now has broken.
    pub(crate) fn is_broken_connection(&mut self) -> bool {
        self.now < self.resets.read_until && self.random.random_bool(BROKEN_SHARE)
    }

    /// Breaks the connection of a caller: the entry reads the break right after the request, and the caller soon submits the
    /// job again.
    pub(crate) fn break_connection(&mut self, index: usize, caller: CallerId) {
        let (entry, attempts) = (self.jobs[index].entry, self.jobs[index].attempts);
        self.input(entry, Input::CallerGone(caller));
        self.input(entry, Input::Flush);
        let due = self.now + self.random.random_range(Duration::ZERO..MAX_RESEND_DELAY);
        self.schedule(due, Event::Resubmit(index, attempts));
    }
}

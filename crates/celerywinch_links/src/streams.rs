//! The latest stream of each instance.

use std::collections::BTreeMap;

use celerywinch_types::{InstanceId, Process, identifier};

identifier! {
    /// The number of a stream: how many streams its receiver had been asked for.
    pub struct Ticket(pub u64);
}

/// Tracks the latest stream of each instance.
///
/// A sender that gets no answers to its pings replaces the connection, and a process that ends may be
/// replaced by another one at its address. What was sent on the earlier stream may still arrive seconds
/// later. For example, a submission that arrives after the message that cancelled it would be run for nobody,
/// or twice. So messages from a stream other than the latest one are dropped; they count as lost, like all
/// messages on a broken connection.
///
/// The order does not depend on any counter of the sender: it keeps none over a restart, and its wall clock
/// may have been set back. The receiver answers each request with a ticket, and a stream counts once its
/// sender has returned that ticket. A sender opens its streams one after the other, and the processes at one
/// address follow each other, so a returned ticket was issued before its sender, or the sender's successor,
/// requested the next one.
#[derive(Debug, Default)]
pub struct LatestStreams {
    issued: u64,
    latest: BTreeMap<InstanceId, (Process, Ticket)>,
}

impl LatestStreams {
    /// Issues the ticket for a requested stream.
    pub fn issue(&mut self) -> Ticket {
        self.issued += 1;
        Ticket(self.issued)
    }

    /// Records that the sender of a stream has returned its ticket; returns false if a later stream of its
    /// instance is already confirmed.
    pub fn confirm(&mut self, from: Process, ticket: Ticket) -> bool {
        let latest = self.latest.entry(from.instance).or_insert((from, ticket));
        if latest.1 < ticket {
            *latest = (from, ticket);
        }
        *latest == (from, ticket)
    }

    /// Returns the process whose stream is the latest of its instance.
    #[must_use]
    pub fn current(&self, instance: InstanceId) -> Option<Process> {
        self.latest.get(&instance).map(|(process, _)| *process)
    }

    /// Whether a stream is the latest of its instance.
    #[must_use]
    pub fn is_latest(&self, from: Process, ticket: Ticket) -> bool {
        self.latest.get(&from.instance) == Some(&(from, ticket))
    }
}

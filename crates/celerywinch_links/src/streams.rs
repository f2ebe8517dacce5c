//! Which stream of an instance is its latest one.

use std::collections::BTreeMap;

use celerywinch_types::{InstanceId, Process, identifier};

identifier! {
    /// Numbers a stream, by its receiver's count of all that were asked for.
    pub struct Ticket(pub u64);
}

/// The latest stream of each instance.
///
/// A sender gives up a connection whose pings are not answered and goes on over a new one, or ends and is replaced
/// by another process at its address; what was sent on the earlier stream may still arrive, seconds later. A hand-in of
/// work after the message that cancelled it, say, would be done for nobody, or twice. So what comes on an
/// earlier stream than the latest is dropped. It counts as lost, as all on a broken connection does.
///
/// The order rests on nothing that the sender counts: it remembers no count over a restart, and its time of day may have been
/// set back. The receiver answers each request with a ticket, and a stream counts from the moment its sender has sent that back.
/// A sender opens one stream after the other, and processes at one address follow each other; so a ticket that
/// was sent back was issued before its sender, or its successor, asked for the next one.
#[derive(Debug, Default)]
pub struct LatestStreams {
    issued: u64,
    latest: BTreeMap<InstanceId, (Process, Ticket)>,
}

impl LatestStreams {
    /// A ticket for a stream that is asked for.
    pub fn issue(&mut self) -> Ticket {
        self.issued += 1;
        Ticket(self.issued)
    }

    /// The sender of a stream has sent its ticket back; false if a later stream of its instance counts.
    pub fn confirm(&mut self, from: Process, ticket: Ticket) -> bool {
        let latest = self.latest.entry(from.instance).or_insert((from, ticket));
        if latest.1 < ticket {
            *latest = (from, ticket);
        }
        *latest == (from, ticket)
    }

    /// The process whose stream is the latest of its instance.
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

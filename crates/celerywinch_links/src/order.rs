//! Which stream of a peer is its last one.

use std::collections::BTreeMap;

use celerywinch_types::{Incarnation, InstanceId, Process};

/// The last stream that each peer has opened.
///
/// A sender gives up a connection whose pings are not answered and goes on over a new one, but what it
/// had sent on the first may still arrive, seconds later: a hand-in of work after the message that
/// cancelled it, say, and the work would be done for nobody, or twice. So what comes on an earlier
/// stream than the last one is dropped. It counts as lost, as all on a broken connection does.
#[derive(Debug, Default)]
pub struct StreamOrder {
    last: BTreeMap<InstanceId, (Incarnation, u64)>,
}

impl StreamOrder {
    /// A peer opens a stream, by its own count; false if it has opened a later one.
    pub fn open(&mut self, from: Process, stream: u64) -> bool {
        let this = (from.incarnation, stream);
        let last = self.last.entry(from.instance).or_insert(this);
        *last = this.max(*last);
        *last == this
    }

    /// The process whose stream counts as the last one of an instance.
    #[must_use]
    pub fn current(&self, instance: InstanceId) -> Option<Process> {
        let (incarnation, _) = *self.last.get(&instance)?;
        Some(Process {
            instance,
            incarnation,
        })
    }

    /// Whether a stream is the last one of its peer.
    #[must_use]
    pub fn is_last(&self, from: Process, stream: u64) -> bool {
        self.last.get(&from.instance) == Some(&(from.incarnation, stream))
    }
}

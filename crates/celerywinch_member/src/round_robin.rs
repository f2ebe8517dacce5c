//! Going round many processes at a steady rate.

use std::time::Duration;

use celerywinch_types::{InstanceId, Time};

/// At most one process in so many is due at once, also after a pause; ticks are 10 to 40 ms apart.
const PARTS: usize = 20;

/// A round over processes, one after the other by their numbers. All at once would hold up what is urgent: the
/// processor for tens of ms on a small machine, and a narrow link likewise.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RoundRobin {
    at: Time,
    last: InstanceId,
}

impl RoundRobin {
    /// Begins anew: nothing is due for what went before.
    pub(crate) fn restart(&mut self, now: Time) {
        self.at = now;
    }

    /// Those of `all`, in rising order, whose turn it is if a whole round takes `span`.
    pub(crate) fn due(
        &mut self,
        now: Time,
        span: Duration,
        mut all: Vec<InstanceId>,
    ) -> Vec<InstanceId> {
        let passed = now.since(self.at).as_micros() * all.len() as u128;
        let most = all.len().div_ceil(PARTS);
        let due = usize::try_from(passed / span.as_micros()).unwrap_or(most);
        let due = due.min(most);
        if due == 0 {
            return Vec::new();
        }
        let next = all.partition_point(|instance| *instance <= self.last);
        all.rotate_left(next);
        all.truncate(due);
        self.at = now;
        self.last = all.last().copied().unwrap_or_default();
        all
    }
}

//! Round-robin selection of many processes at a steady rate.

use std::time::Duration;

use celerywinch_types::{InstanceId, Time};

/// A round takes at least this many batches, also after a pause; ticks are 10 to 40 ms apart.
const MIN_BATCHES: usize = 20;

/// A round-robin over processes in the order of their ids. All at once would delay urgent work: they take the
/// processor of a small machine for tens of ms, and fill a narrow link for as long.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RoundRobin {
    last_time: Time,
    last_id: InstanceId,
}

impl RoundRobin {
    /// Restarts the interval: nothing is due for the time before `now`.
    pub(crate) fn restart(&mut self, now: Time) {
        self.last_time = now;
    }

    /// Returns those of `all`, given in ascending order, that are due if a whole round takes `span`.
    pub(crate) fn due(
        &mut self,
        now: Time,
        span: Duration,
        mut all: Vec<InstanceId>,
    ) -> Vec<InstanceId> {
        let elapsed = now.since(self.last_time).as_micros() * all.len() as u128;
        let max = all.len().div_ceil(MIN_BATCHES);
        let due = usize::try_from(elapsed / span.as_micros()).unwrap_or(max);
        let due = due.min(max);
        if due == 0 {
            return Vec::new();
        }
        let next = all.partition_point(|instance| *instance <= self.last_id);
        all.rotate_left(next);
        all.truncate(due);
        self.last_time = now;
        self.last_id = all.last().copied().unwrap_or_default();
        all
    }
}

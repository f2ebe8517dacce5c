//! The clock of a process, which gives the state machines their time.

use std::time::{SystemTime, UNIX_EPOCH};

use celerywinch_types::{Time, WallMs};
use rustix::time::{ClockId, clock_gettime};

/// A monotonic clock that advances while the machine is suspended.
///
/// With a clock that stops during a suspension, a process would continue under a lease that has expired for all others.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Reading of the system clock when this one was created, in us.
    origin: u64,
    /// Offset added to the time of day, in ms.
    offset: i64,
}

impl Clock {
    /// Creates a clock that starts at 0 now and adds `offset` ms to the time of day.
    #[must_use]
    pub fn new(offset: i64) -> Self {
        Self {
            origin: micros(),
            offset,
        }
    }

    /// Returns the time since the clock was created.
    #[must_use]
    pub fn now(&self) -> Time {
        Time(micros().saturating_sub(self.origin))
    }

    /// Returns the time of day.
    #[must_use]
    pub fn wall(&self) -> WallMs {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let millis = since.map_or(0, |span| span.as_millis());
        let millis = u64::try_from(millis).unwrap_or(u64::MAX);
        WallMs(millis.saturating_add_signed(self.offset))
    }
}

fn micros() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(now.tv_nsec).unwrap_or(0);
    seconds * 1_000_000 + nanos / 1_000
}

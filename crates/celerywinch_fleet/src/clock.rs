//! The one place that reads clocks.

use std::time::{SystemTime, UNIX_EPOCH};

use celerywinch_types::{Time, WallMs};
use rustix::time::{ClockId, clock_gettime};

/// Monotonic time that goes on while the machine is suspended.
///
/// A lease is over after a suspension, though the process has seen no time pass; a clock that stands
/// still meanwhile would let it go on under a lease that others know to be over.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: u64,
    /// Added to the time of day, in ms.
    offset: i64,
}

impl Clock {
    /// A clock that starts now and whose time of day is off by `offset` ms.
    #[must_use]
    pub fn new(offset: i64) -> Self {
        Self {
            origin: micros(),
            offset,
        }
    }

    /// Time since the clock was made.
    #[must_use]
    pub fn now(&self) -> Time {
        Time(micros().saturating_sub(self.origin))
    }

    /// The time of day.
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

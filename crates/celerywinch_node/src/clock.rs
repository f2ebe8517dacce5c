//! The clocks of a process; only this module reads the system's clocks.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use celerywinch_types::{Time, WallMs};

/// Number of bits of a hybrid timestamp that count the events within a millisecond.
const COUNTER_BITS: u32 = 16;

/// A monotonic clock that starts at its creation, the wall clock, and a hybrid logical clock.
///
/// The hybrid clock orders the events of several processes: it follows the wall clock, never goes back, and is
/// advanced by the timestamps that other processes send.
#[derive(Debug)]
pub struct Clock {
    origin: Instant,
    hybrid: AtomicU64,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
            hybrid: AtomicU64::new(0),
        }
    }
}

impl Clock {
    /// Returns the monotonic time since the clock was created.
    #[must_use]
    pub fn now(&self) -> Time {
        let micros = self.origin.elapsed().as_micros();
        Time(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the time of the wall clock.
    #[must_use]
    pub fn wall() -> WallMs {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let millis = since.map_or(0, |span| span.as_millis());
        WallMs(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    /// Returns a timestamp later than all that this clock has returned or observed.
    pub fn stamp(&self) -> u64 {
        self.advance(Self::wall().0 << COUNTER_BITS)
    }

    /// Advances the hybrid clock past another process's timestamp.
    pub fn observe(&self, stamp: u64) {
        self.advance(stamp);
    }

    fn advance(&self, at_least: u64) -> u64 {
        let next = |last: u64| Some(at_least.max(last + 1));
        let update = self
            .hybrid
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, next);
        update.map_or(at_least, |last| at_least.max(last + 1))
    }
}

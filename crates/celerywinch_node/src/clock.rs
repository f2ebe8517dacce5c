//! The one place that reads clocks.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use celerywinch_types::{Time, WallMs};

/// Bits of a hybrid stamp that count events within a millisecond.
const COUNTER_BITS: u32 = 16;

/// Monotonic time since its creation, the wall clock, and a hybrid logical clock.
///
/// The hybrid clock orders the events of several processes: it follows the wall clock, never goes
/// back, and is raised by what other processes send.
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
    /// Monotonic time.
    #[must_use]
    pub fn now(&self) -> Time {
        let micros = self.origin.elapsed().as_micros();
        Time(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// The wall clock.
    #[must_use]
    pub fn wall() -> WallMs {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let millis = since.map_or(0, |span| span.as_millis());
        WallMs(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    /// A stamp later than all stamps given or seen before.
    pub fn stamp(&self) -> u64 {
        self.raise(Self::wall().0 << COUNTER_BITS)
    }

    /// Takes another process's stamp into account.
    pub fn observe(&self, stamp: u64) {
        self.raise(stamp);
    }

    fn raise(&self, at_least: u64) -> u64 {
        let next = |last: u64| Some(at_least.max(last + 1));
        let update = self
            .hybrid
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, next);
        update.map_or(at_least, |last| at_least.max(last + 1))
    }
}

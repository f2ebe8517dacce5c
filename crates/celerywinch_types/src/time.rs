//! Monotonic time for the state machines, and wall-clock time for the age of keys.

use std::ops::{Add, Sub};
use std::time::Duration;

use crate::identifier;

identifier! {
    /// Microseconds on a monotonic clock whose origin is the start of the process.
    ///
    /// It has no meaning for another process, which can only echo it ([`Echo`](crate::Echo)). Deadlines are
    /// therefore sent as remaining time.
    #[derive(Default)]
    pub struct Time(pub u64);

    /// Milliseconds since the Unix epoch.
    ///
    /// Used only to determine the age of a key; see `celerywinch_claims` for the limit on clock skew.
    #[derive(Default)]
    pub struct WallMs(pub u64);
}

impl Time {
    /// A time that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Time {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(micros))
    }
}

//! Monotonic time as the state machines see it, and wall-clock time for the age of keys.

use std::ops::{Add, Sub};
use std::time::Duration;

use crate::identifier;

identifier! {
    /// Microseconds on a monotonic clock whose origin is the start of the process.
    ///
    /// Means nothing to another process, which can only send it back ([`Echo`](crate::Echo)): deadlines
    /// travel as remaining time.
    #[derive(Default)]
    pub struct Time(pub u64);

    /// Milliseconds since the Unix epoch.
    ///
    /// Used only to judge the age of a key; see `celerywinch_claims` for the bound on skew.
    #[derive(Default)]
    pub struct WallMs(pub u64);
}

impl Time {
    /// A time that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// The span from `earlier` to `self`, zero if `earlier` is later.
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

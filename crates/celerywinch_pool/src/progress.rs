//! The speed of a run by the progress that its worker reports.

use std::time::Duration;

use celerywinch_types::WorkerClock;

/// The shortest time between two reports from which a speed is computed. Progress is reported in percent, and the reports of
/// shorter times are dominated by rounding.
const MIN_WINDOW: Duration = Duration::from_millis(50);
/// The shortest such time as a share of the usual run time, for the same reason.
const MIN_WINDOW_SHARE: f64 = 0.1;
/// A run is slow if it takes at least this many times the usual time, even if its progress was rounded down. Run times and
/// estimates of ordinary tasks differ by less.
pub(crate) const SLOW_FACTOR: f64 = 2.5;
/// A run proceeds well if it takes less than this many times the usual time.
const GOOD_FACTOR: f64 = 1.8;

/// How a run proceeds, compared with the usual time of its task on its worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Speed {
    /// About as usual.
    Good,
    /// Neither good nor slow for certain.
    Unclear,
    /// Slow, by this factor.
    Slow(f64),
}

/// A speed and when the time from which it was computed began.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Measured {
    pub(crate) from: WorkerClock,
    pub(crate) speed: Speed,
}

/// The reported progress of a run.
///
/// All times are read from the worker's clock, so that neither slow answers nor a stall of the dispatcher make a run look
/// slow.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Progress {
    /// When the run began; none if another dispatcher started it.
    pub(crate) began: Option<WorkerClock>,
    /// The report that began the present window.
    base: Option<(WorkerClock, u8)>,
    /// The speed in the last complete window.
    pub(crate) last: Option<Measured>,
}

impl Progress {
    /// Begins the first window with the start of the run.
    pub(crate) fn begin(&mut self, clock: WorkerClock) {
        self.began = Some(clock);
        self.base.get_or_insert((clock, 0));
    }

    /// Adds a report, and completes the window if it is long enough.
    pub(crate) fn report(&mut self, clock: WorkerClock, percent: u8, usual: Duration) {
        let Some((from, before)) = self.base else {
            self.base = Some((clock, percent));
            return;
        };
        let span = Duration::from_millis(clock.0.saturating_sub(from.0));
        if span < MIN_WINDOW.max(usual.mul_f64(MIN_WINDOW_SHARE)) {
            return;
        }
        let speed = speed(span, percent.saturating_sub(before), usual);
        // A window without progress goes on, as rounding hides the progress of a slow run at first.
        if percent > before {
            self.base = Some((clock, percent));
        }
        self.last = Some(Measured { from, speed });
    }

    /// Returns whether a run that has ended took about the usual time.
    pub(crate) fn is_usual(took: Duration, usual: Duration) -> bool {
        took <= usual.mul_f64(GOOD_FACTOR) + MIN_WINDOW
    }

    /// Returns the time to the end of the run at the speed of the last window.
    pub(crate) fn remaining(&self, percent: u8, usual: Duration) -> Duration {
        let factor = match self.last.map(|last| last.speed) {
            Some(Speed::Slow(factor)) => factor,
            Some(Speed::Good | Speed::Unclear) | None => 1.0,
        };
        usual.mul_f64(factor * f64::from(100 - percent.min(100)) / 100.0)
    }
}

/// Returns the speed of a run that has advanced by `percent` in `span`.
fn speed(span: Duration, percent: u8, usual: Duration) -> Speed {
    let times = span.as_secs_f64() / usual.as_secs_f64().max(1e-3) * 100.0;
    let percent = f64::from(percent);
    if times >= SLOW_FACTOR * (percent + 1.0) {
        Speed::Slow(times / (percent + 0.5))
    } else if times < GOOD_FACTOR * percent {
        Speed::Good
    } else {
        Speed::Unclear
    }
}

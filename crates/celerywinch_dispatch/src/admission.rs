//! Admission control: jobs that cannot be done in time are refused at once, with a retry delay.

use std::time::Duration;

use celerywinch_types::{Refusal, RefusalReason};

/// The shortest retry delay given to a refused caller.
const MIN_RETRY: Duration = Duration::from_millis(20);

/// The figures that admission depends on.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    /// Endpoints of the data centre that serve the kind.
    pub endpoints: usize,
    /// Slots this entry can use for the kind.
    pub slots: usize,
    /// Slots for the kind in the whole data centre.
    pub all_slots: usize,
    /// Tasks in flight on those slots.
    pub in_flight: usize,
    /// Queued tasks of the same or a more urgent class.
    pub ahead: usize,
    /// Tasks of the job.
    pub tasks: usize,
    /// Mean run time.
    pub mean: Duration,
    /// Expected run time of the longest of the job's tasks.
    pub longest: Duration,
    /// Time left until the deadline.
    pub remaining: Duration,
}

impl Admission {
    /// Refuses a job that can never run, and one that is expected to end after its deadline.
    ///
    /// The expected end is the time until its last task gets a slot, at the rate at which slots become free, plus the
    /// expected longest run of so many tasks. Without this refusal the queue would grow until every task starts too late
    /// to be of use, and goodput would fall while the endpoints are busy.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller.
    pub fn decide(&self) -> Result<(), Refusal> {
        if self.endpoints == 0 {
            return Err(Refusal {
                reason: RefusalReason::NoEndpoint,
                retry_ms: Some(1000),
                detail: "no endpoint of this data centre serves the kind at present".into(),
            });
        }
        let idle_wait = self.wait(self.tasks, self.all_slots) + self.longest;
        if idle_wait > self.remaining && self.wait(self.tasks, self.all_slots) > Duration::ZERO {
            return Err(Refusal {
                reason: RefusalReason::TooLarge,
                retry_ms: None,
                detail: "the job is too large for its deadline even on an idle data centre".into(),
            });
        }
        let busy = self.in_flight + self.ahead + self.tasks;
        let end = self.wait(busy, self.slots.max(1)) + self.longest;
        if end > self.remaining {
            let retry = (end - self.remaining).max(MIN_RETRY);
            return Err(Refusal {
                reason: RefusalReason::Overload,
                retry_ms: u32::try_from(retry.as_millis()).ok(),
                detail: "the work ahead leaves too little time before the deadline".into(),
            });
        }
        Ok(())
    }

    /// Returns the expected time until the last of `tasks` gets one of `slots`.
    fn wait(&self, tasks: usize, slots: usize) -> Duration {
        let excess = tasks.saturating_sub(slots);
        self.mean.mul_f64(excess as f64 / slots.max(1) as f64)
    }
}

//! What origins were told.

use std::time::Duration;

use celerywinch_types::{InstanceId, PriorRuns, TaskEnd, TaskOrder, TaskReport, Time};

/// Ends are kept for this long, for origins that did not hear of them.
const RETENTION: Duration = Duration::from_secs(3);

/// What an origin was told of a task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentEnd {
    pub(crate) sent_at: Time,
    pub(crate) origin: InstanceId,
    pub(crate) news: TaskReport,
}

impl SentEnd {
    /// Whether its origin may yet name the task again.
    pub(crate) fn is_retained(&self, now: Time) -> bool {
        now.since(self.sent_at) <= RETENTION
    }

    /// Whether it answers a task that is handed in again, since the message may be lost.
    ///
    /// A result does always. That there was no room does if the task was with this dispatcher all
    /// the while: it has not been started since. If another had it meanwhile, it may run there.
    pub(crate) fn answers_resubmission(&self, origin: InstanceId, order: &TaskOrder) -> bool {
        match self.news.end {
            TaskEnd::Done | TaskEnd::Failed | TaskEnd::GivenUp => {
                order.prior_runs != PriorRuns::None
            }
            TaskEnd::Full => {
                self.origin == origin && self.news.submission >= order.first_submission
            }
            TaskEnd::Returned { .. }
            | TaskEnd::Undetermined
            | TaskEnd::Refused(_)
            | TaskEnd::Superseded
            | TaskEnd::Unplaced => false,
        }
    }
}

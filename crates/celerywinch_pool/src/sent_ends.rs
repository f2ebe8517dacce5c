//! The ends of tasks that were sent to origins.

use std::time::Duration;

use celerywinch_types::{InstanceId, PriorRuns, TaskEnd, TaskOrder, TaskReport, Time};

/// How long ends are retained, for origins that did not receive them.
const RETENTION: Duration = Duration::from_secs(3);

/// The end of a task that was sent to its origin.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentEnd {
    pub(crate) sent_at: Time,
    pub(crate) origin: InstanceId,
    pub(crate) report: TaskReport,
}

impl SentEnd {
    /// Returns whether the end is still retained, since its origin may submit the task again.
    pub(crate) fn is_retained(&self, now: Time) -> bool {
        now.since(self.sent_at) <= RETENTION
    }

    /// Returns whether the end answers a task that is submitted again because the message may have been lost.
    ///
    /// A result always does. `Full` (no capacity), `Unplaced` and `Refused` do if the task was with this dispatcher all the
    /// time, so that it cannot have started since. If another dispatcher had it in between, it may be running there.
    pub(crate) fn answers_resubmission(&self, origin: InstanceId, order: &TaskOrder) -> bool {
        match self.report.end {
            TaskEnd::Done | TaskEnd::Failed | TaskEnd::GivenUp => {
                order.prior_runs != PriorRuns::None
            }
            TaskEnd::Full | TaskEnd::Unplaced { .. } | TaskEnd::Refused(_) => {
                self.origin == origin && self.report.submission >= order.first_submission
            }
            TaskEnd::Returned { .. } | TaskEnd::Undetermined | TaskEnd::Superseded => false,
        }
    }
}

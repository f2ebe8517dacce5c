//! Submissions of callers.

use std::sync::Arc;
use std::time::Duration;

use crate::{Key, KindName, domain};

domain! {
    /// The body of one task: JSON text that is passed to the endpoint without being parsed.
    #[serde(transparent)]
    pub struct TaskBody(pub Arc<str>);

    /// A request (one task) or a job (several tasks) that has passed the filters.
    pub struct Submission {
        /// The idempotency key; a resubmission has the same key.
        pub key: Key,
        /// The catalogue kind.
        pub kind: KindName,
        /// The team to which the submission is charged.
        pub team: Arc<str>,
        /// The hash of kind and bodies, which distinguishes a resubmission from a conflicting reuse of the key.
        pub digest: u64,
        /// The time left until the deadline when this value was created or received.
        pub remaining: Duration,
        /// The body of each task, in the caller's order.
        pub tasks: Vec<TaskBody>,
    }
}

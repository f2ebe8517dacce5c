//! What a caller submits.

use std::sync::Arc;
use std::time::Duration;

use crate::{Key, KindName, domain};

domain! {
    /// The body of one task: JSON text that is passed to the endpoint unread.
    #[serde(transparent)]
    pub struct TaskBody(pub Arc<str>);

    /// A request (one task) or a job (several), checked by the filters.
    pub struct Submission {
        /// Names the submission; a resubmission carries the same key.
        pub key: Key,
        /// The catalogue kind.
        pub kind: KindName,
        /// The team that is charged.
        pub team: Arc<str>,
        /// Hash of kind and bodies, to tell a resubmission from a conflicting reuse of the key.
        pub digest: u64,
        /// Time left until the deadline when this value was made or received.
        pub remaining: Duration,
        /// One body a task, in the caller's order.
        pub tasks: Vec<TaskBody>,
    }
}

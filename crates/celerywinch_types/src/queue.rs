//! The queues that operators configure, and the services whose workers run their tasks.

use crate::domain;

domain! {
    /// A queue of jobs.
    pub struct Queue {
        /// Its name.
        pub name: String,
        /// The host of the callers' requests.
        pub host: String,
        /// The prefix of the paths that belong to the queue.
        pub prefix: String,
        /// The service whose workers run its tasks.
        pub service: String,
        /// The priority; 0 is the highest.
        pub priority: u8,
        /// The number of failures of one task that fails its job.
        pub attempts: u32,
        /// The part of a job's latency target that is proportional to its critical path, in thousandths of it.
        pub slack: u32,
        /// The constant part of a job's latency target, in ms.
        pub target: u32,
        /// The longest time that callers wait, in ms.
        pub timeout: u32,
        /// Whether only an adviser determines which workers may run its steps.
        pub advised: bool,
    }

    /// A service.
    pub struct Service {
        /// Its name.
        pub name: String,
        /// Whether its workers reject tasks that exceed their free resources.
        pub guarded: bool,
        /// Whether its machines are switched off.
        pub standby: bool,
    }

    /// Limits on requests of callers.
    #[derive(Copy, Default)]
    pub struct Bounds {
        /// The largest size of a request's head, in bytes.
        pub head_bytes: u32,
        /// The largest size of a request's body, in bytes.
        pub body_bytes: u32,
        /// The time within which a request's head must arrive, in ms.
        pub head_timeout: u32,
        /// The time after which an idle connection is closed, in ms.
        pub idle_timeout: u32,
    }

    /// One version of the operators' configuration.
    #[derive(Default)]
    pub struct QueueConfig {
        /// The version; the highest is in force.
        pub version: u64,
        /// The queues.
        pub queues: Vec<Queue>,
        /// The services.
        pub services: Vec<Service>,
        /// The limits on requests of callers.
        pub bounds: Bounds,
    }
}

impl QueueConfig {
    /// Returns the queue of a request: among the queues of its host, the one with the longest matching prefix.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let queues = self.queues.iter();
        queues
            .filter(|queue| queue.host == host && path.starts_with(&queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }
}

//! The queues that operators configure, and the services whose workers run their tasks.

use crate::domain;

domain! {
    /// A queue of jobs.
    pub struct Queue {
        /// Its name.
        pub name: String,
        /// The host that callers name.
        pub host: String,
        /// How paths of the queue begin.
        pub prefix: String,
        /// The service whose workers run its tasks.
        pub service: String,
        /// 0 comes first.
        pub priority: u8,
        /// A task that failed so often fails its job.
        pub attempts: u32,
        /// A job is on time within its chain of work times this, in thousandths, ...
        pub slack: u32,
        /// ... and so many ms.
        pub target: u32,
        /// How long callers wait at most, in ms.
        pub timeout: u32,
        /// Whether only an adviser knows which workers may run its steps.
        pub advised: bool,
    }

    /// A service.
    pub struct Service {
        /// Its name.
        pub name: String,
        /// Whether its workers reject what does not fit.
        pub guarded: bool,
        /// Whether its machines are off.
        pub standby: bool,
    }

    /// Bounds on what callers send.
    #[derive(Copy, Default)]
    pub struct Bounds {
        /// Bytes of a request's head.
        pub head_bytes: u32,
        /// Bytes of a body.
        pub body_bytes: u32,
        /// Ms in which a head must arrive.
        pub head_timeout: u32,
        /// Ms after which an idle connection is closed.
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
        /// Bounds on what callers send.
        pub bounds: Bounds,
    }
}

impl QueueConfig {
    /// The queue of a request: of those of its host, the one with the longest matching prefix.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let queues = self.queues.iter();
        queues
            .filter(|queue| queue.host == host && path.starts_with(&queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }
}

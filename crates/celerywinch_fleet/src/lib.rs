//! The process that drives the state machines of a deployment whose callers wait for their jobs to end, and whose members
//! find each other by seeds.
//!
//! An entry runs an origin and a dispatcher, and determines who dispatches. A keeper runs the replicated log of the
//! configuration on a second thread and writes to its disk on a third, so that nothing else waits for the disk. Everything
//! else runs on one thread, as the machines give a process a fraction of a core. The protocols of callers, operators and
//! workers belong to the host: it provides a [`Port`], and controls the process by a [`Fleet`].

mod clock;
mod config;
mod config_sync;
mod core;
mod directory;
mod handle;
mod journal;
mod links;
mod metrics;
mod reads;
mod store;

pub use clock::Clock;
pub use config::{FleetConfig, Port};
pub use config_sync::{ConfigSync, ConfigSyncEvent, ConfigSyncInput, ConfigSyncOutput, PeerStatus};
pub use core::start;
pub use directory::{AnnounceOutcome, WorkerDirectory};
pub use handle::{Fleet, JobHandle, StopSchedule};
pub use reads::SharedReads;

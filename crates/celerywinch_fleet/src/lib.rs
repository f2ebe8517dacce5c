//! The process around the state machines of a deployment whose callers wait for jobs of tasks, and
//! whose members find each other by seeds.
//!
//! An entry runs an origin, a dispatcher and the choice of who dispatches; a keeper runs the
//! configuration's log on a thread of its own, the only one that waits for a disk. All else is one
//! thread: the machines give a process a fraction of one core. What callers, operators and workers
//! speak is not known here: the host brings a [`Port`], and talks to the process by a [`Fleet`].

mod clock;
mod config;
mod config_sync;
mod core;
mod directory;
mod handle;
mod journal;
mod links;
mod metrics;
mod store;

pub use clock::Clock;
pub use config::{FleetConfig, Port};
pub use config_sync::{ConfigSync, ConfigSyncEvent, ConfigSyncInput, ConfigSyncOutput, PeerStatus};
pub use core::start;
pub use directory::{AnnounceOutcome, WorkerDirectory};
pub use handle::{Fleet, JobHandle, StopSchedule};

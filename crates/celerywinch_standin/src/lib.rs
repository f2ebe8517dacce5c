//! Fake endpoints, callers, workers and network links of celerywinch, for tests, trials and benchmarks.
//!
//! - [`Fleet`]: endpoints that announce themselves and run tasks as the task bodies specify;
//! - [`Caller`]: submits, looks up and cancels over HTTP;
//! - [`LeasedWorker`]: a worker with a capacity limit and a lease, as a state machine;
//! - [`Relay`]: a TCP relay between two processes that can simulate partitions, lost bytes, resets and latency.

mod caller;
mod execution_log;
mod fleet;
mod leased;
mod relay;

pub use caller::{Caller, Response, generate_key};
pub use execution_log::ExecutionLog;
pub use fleet::{EndpointPlan, Fleet, FleetPlan, Mode};
pub use leased::{Health, LeasedWorker, Ran};
pub use relay::{Direction, Relay};

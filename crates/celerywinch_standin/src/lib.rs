//! Small fakes at the interfaces of celerywinch, for tests, trying and measuring.
//!
//! - [`Fleet`]: endpoints that announce themselves and run tasks as the task bodies say;
//! - [`Caller`]: submits, looks up and cancels over HTTP;
//! - [`LeasedWorker`]: a worker with capacity and leases, as a state machine;
//! - [`Relay`]: a TCP relay between two processes that can cut, stall and delay.

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

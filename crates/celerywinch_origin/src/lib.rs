//! Jobs whose callers wait for the end.
//!
//! [`Origin`] is the state machine of the entry that holds the caller's connection. It hands tasks
//! to the dispatchers of data centres, hands them in again when a dispatcher is lost or gives them
//! back, and answers the caller once. Nothing of it outlives the process: a caller whose
//! connection breaks sends its job again, to any entry.
//!
//! The host guarantees that time is monotonic and counts suspensions, and calls `Tick` at least
//! every 50 ms.

mod choice;
mod event;
mod job;
mod lost;
mod origin;

pub use choice::Holder;
pub use event::JobEvent;
pub use origin::{CallerId, Input, NewJob, Origin, Output};

//! Jobs whose callers wait for the end.
//!
//! [`Origin`] is the state machine of the entry that the caller is connected to. It submits tasks to
//! the dispatchers of data centres, submits them again when a dispatcher is lost or returns them,
//! and answers the caller once. Its state is in memory only: a caller whose connection breaks
//! submits its job again, to any entry.
//!
//! The host guarantees that time is monotonic and includes suspensions, and sends `Input::Tick` at
//! least every 50 ms.

mod choice;
mod event;
mod job;
mod lost;
mod origin;
mod reservations;

pub use choice::Holder;
pub use event::JobEvent;
pub use origin::{CallerId, Input, NewJob, Origin, Output};

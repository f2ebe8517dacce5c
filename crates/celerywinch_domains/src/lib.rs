//! Who dispatches for which data centre.
//!
//! [`Domains`] is the state machine of one entry: it hears the heartbeats of the other processes
//! and decides for which data centres this one dispatches, and under which fencing token. It needs
//! no keeper: entries that hear each other agree by ranking, and where they do not hear each other
//! the workers decide, for each obeys the highest fencing token that it has seen.
//!
//! The host guarantees that time is monotonic and counts suspensions, and calls `tick` at least
//! every 50 ms.

mod domains;
mod peers;
mod survey;

pub use domains::{Change, Domains, LocalEntry};
pub use peers::{PeerView, Peers};
pub use survey::Succession;

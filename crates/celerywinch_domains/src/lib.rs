//! Ownership of domains: which entry dispatches for which data centre.
//!
//! [`Domains`] is the state machine of one entry. From the heartbeats of the other processes it decides
//! for which domains this entry dispatches, and under which fencing token. It needs no keeper: entries
//! that receive each other's heartbeats agree by rank. Across a partition the workers decide, as each obeys
//! only the highest fencing token that it has seen.
//!
//! The host guarantees that time is monotonic and includes suspensions, and calls `tick` at least
//! every 50 ms.

mod cluster_view;
mod domains;
mod peers;

pub use cluster_view::Succession;
pub use domains::{Change, Domains, LocalEntry};
pub use peers::{PeerView, Peers};

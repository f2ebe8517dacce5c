//! Membership: which instances are alive, and which endpoints a data centre has.
//!
//! Both parts are state machines without a clock or a socket. [`Peers`] is the failure detector for the
//! other instances, from heartbeats and from what the host reports of connections. [`Endpoints`] keeps
//! the announcements that endpoints make to any entry of the data centre.

mod endpoints;
mod peers;

pub use endpoints::{Change, EndpointRecord, Endpoints, LEASE, RENEWAL_INTERVAL, Source};
pub use peers::{DetectorConfig, Peer, PeerChange, PeerState, Peers};

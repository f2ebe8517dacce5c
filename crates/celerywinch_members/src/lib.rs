//! Membership: which instances are alive, and which endpoints a data centre has.
//!
//! Both parts are state machines without a clock or a socket. [`Peers`] watches the other
//! instances by heartbeats and by what the host says of connections; [`Endpoints`] keeps the
//! announcements that endpoints make at any entry of the data centre.

mod endpoints;
mod peers;

pub use endpoints::{Change, EndpointRecord, Endpoints, LEASE, RENEWAL_INTERVAL, Source};
pub use peers::{DetectorConfig, Peer, PeerChange, PeerState, Peers};

//! What endpoints announce about themselves.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::{DataCentreId, domain};

/// The name of a catalogue kind.
pub type KindName = Arc<str>;

domain! {
    /// Whether an endpoint takes new work.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum EndpointState {
        /// Takes new work.
        Serving,
        /// Finishes what it has and takes nothing new.
        Leaving,
    }

    /// One announcement of an endpoint, as it spreads between the entries of a data centre.
    pub struct EndpointAnnouncement {
        /// Where it serves HTTP.
        pub addr: SocketAddr,
        /// Which life of the process behind the address; a later life is greater.
        pub incarnation: u64,
        /// Orders announcements of one life.
        pub sequence: u64,
        /// Its data centre.
        pub dc: DataCentreId,
        /// Its rack, for spreading the tasks of a job.
        pub rack: Arc<str>,
        /// The kinds it serves.
        pub kinds: Vec<KindName>,
        /// How many tasks it runs at once.
        pub slots: u16,
        /// How many connections it takes.
        pub connections: u16,
        /// Whether it takes new work.
        pub state: EndpointState,
        /// Age of the announcement in milliseconds when this message was sent.
        pub age_ms: u32,
    }
}

//! Announcements of endpoints.

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
        /// Finishes its running tasks and takes no new ones.
        Leaving,
    }

    /// One announcement of an endpoint, as the entries of a data centre exchange it.
    pub struct EndpointAnnouncement {
        /// The address at which it serves HTTP.
        pub addr: SocketAddr,
        /// The incarnation of the process behind the address; a later one is greater.
        pub incarnation: u64,
        /// Orders the announcements of one incarnation.
        pub sequence: u64,
        /// Its data centre.
        pub dc: DataCentreId,
        /// Its rack, for spreading the tasks of a job.
        pub rack: Arc<str>,
        /// The kinds it serves.
        pub kinds: Vec<KindName>,
        /// The number of tasks that it runs at once.
        pub slots: u16,
        /// The number of connections that it accepts.
        pub connections: u16,
        /// Whether it takes new work.
        pub state: EndpointState,
        /// The age of the announcement when this message was sent, in ms.
        pub age_ms: u32,
    }
}

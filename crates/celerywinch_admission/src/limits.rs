//! The limits of a process, and why a connection is closed because of them.

use std::time::Duration;

use celerywinch_types::identifier;

/// The memory of a machine if its settings do not state it, in bytes.
const DEFAULT_MEMORY: u64 = 256 << 20;
/// The descriptors of a machine if its settings do not state them.
const DEFAULT_FDS: usize = 4_096;
/// The descriptors that are not available to connections.
const FILE_FDS: usize = 200;
/// One in this many bytes of memory is for connections of clients. The rest is for the state of the process, the requests
/// that it is serving, and its links.
const MEMORY_DIVISOR: u64 = 3;
/// The available descriptors for each connection of the main listener. A connection has two descriptors, so half are for
/// others: other listeners, links, workers and files.
const MAIN_DIVISOR: usize = 4;
/// The same for a listener of peers.
const PEER_DIVISOR: usize = 8;
/// The same for a listener with few clients.
const MINOR_DIVISOR: usize = 32;
/// The largest number of connections of a listener with few clients.
const MAX_MINOR: usize = 32;
/// The default of `Timeouts::body`.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);
/// The default of `Timeouts::idle`, which is also the default of the operators' idle timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

identifier! {
    /// The index of a listener of the process.
    pub struct Listener(pub u8);
}

/// The limit on the connections of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerLimit {
    /// The name of the listener, for logs and metrics.
    pub name: &'static str,
    /// The largest number of open connections.
    pub connections: usize,
}

/// The limits of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    pub(crate) memory: u64,
    pub(crate) listeners: Vec<ListenerLimit>,
}

impl Limits {
    /// Returns the limit of a listener.
    #[must_use]
    pub fn listener(&self, listener: Listener) -> ListenerLimit {
        self.listeners[usize::from(listener.0)]
    }

    /// Returns the limits of all listeners, in the order of their indexes.
    #[must_use]
    pub fn listeners(&self) -> &[ListenerLimit] {
        &self.listeners
    }

    /// Returns the memory for connections of clients, in bytes.
    #[must_use]
    pub fn memory(&self) -> u64 {
        self.memory
    }
}

/// Derives the limits of a process from those of its machine.
#[derive(Clone, Copy, Debug)]
pub struct LimitsBuilder {
    memory: u64,
    fds: usize,
    memory_shares: u64,
    connection_shares: usize,
}

impl Default for LimitsBuilder {
    fn default() -> Self {
        Self {
            memory: DEFAULT_MEMORY,
            fds: DEFAULT_FDS,
            memory_shares: 1,
            connection_shares: 1,
        }
    }
}

impl LimitsBuilder {
    /// Sets the memory of the machine, in bytes.
    #[must_use]
    pub fn memory(mut self, bytes: Option<u64>) -> Self {
        self.memory = bytes.unwrap_or(self.memory);
        self
    }

    /// Sets the number of descriptors of the process.
    #[must_use]
    pub fn fds(mut self, fds: Option<usize>) -> Self {
        self.fds = fds.unwrap_or(self.fds);
        self
    }

    /// Divides the memory evenly, for a process whose threads admit connections independently.
    #[must_use]
    pub fn memory_shares(mut self, shares: usize) -> Self {
        self.memory_shares = shares.max(1) as u64;
        self
    }

    /// Divides the connections of each listener evenly, if several threads accept them.
    #[must_use]
    pub fn connection_shares(mut self, shares: usize) -> Self {
        self.connection_shares = shares.max(1);
        self
    }

    /// Returns the limits of listeners, whose indexes are their positions.
    #[must_use]
    pub fn build(self, listeners: &[(&'static str, Share)]) -> Limits {
        let available = self.fds.saturating_sub(FILE_FDS);
        let limit = |(name, share): &(&'static str, Share)| {
            let connections = match share {
                Share::Main => available / MAIN_DIVISOR,
                Share::Peers => available / PEER_DIVISOR,
                Share::Minor => (available / MINOR_DIVISOR).min(MAX_MINOR),
            };
            ListenerLimit {
                name,
                connections: (connections / self.connection_shares).max(1),
            }
        };
        Limits {
            memory: self.memory / MEMORY_DIVISOR / self.memory_shares,
            listeners: listeners.iter().map(limit).collect(),
        }
    }
}

/// The share of the descriptors that a listener may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Share {
    /// For the listener with the most clients.
    Main,
    /// For other instances, until they are identified, and for endpoints.
    Peers,
    /// For a listener with few clients.
    Minor,
}

/// How long a connection may wait for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Without receiving or sending anything.
    pub idle: Duration,
    /// From the head of a request to the end of its body.
    pub body: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            idle: IDLE_TIMEOUT,
            body: BODY_TIMEOUT,
        }
    }
}

/// Why a connection is closed or a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CloseReason {
    /// The listener has as many connections as it may have.
    Connections,
    /// The memory is needed by other connections, or there is none left.
    Memory,
    /// A head did not arrive completely in time, or is too large.
    Head,
    /// No part of a body arrived for the idle timeout.
    Stalled,
    /// A body did not arrive completely in time.
    Slow,
    /// No request arrived, or no answer was read, in time.
    Idle,
}

impl CloseReason {
    /// All reasons.
    pub const ALL: [Self; 6] = [
        Self::Connections,
        Self::Memory,
        Self::Head,
        Self::Stalled,
        Self::Slow,
        Self::Idle,
    ];

    /// Returns the name of the reason, for logs and metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Memory => "memory",
            Self::Head => "head",
            Self::Stalled => "stalled",
            Self::Slow => "slow",
            Self::Idle => "idle",
        }
    }
}

//! The interface between a process and its host.

use std::collections::BTreeSet;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::Pin;

use celerywinch_pool::{Answer, Call};
use celerywinch_types::{DataCentreId, DisabledMechanisms, InstanceId, ProcessKind, QueueConfig};

/// The validated settings of a process.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// The instance. Its number is the IPv4 address that other processes connect to.
    pub instance: InstanceId,
    /// The kind of the process.
    pub kind: ProcessKind,
    /// Its data centre.
    pub dc: DataCentreId,
    /// Number of cores that the process may use; may be a fraction.
    pub cores: f64,
    /// Rate of its network link in bytes per second, if known.
    pub link_rate: Option<f64>,
    /// All data centres.
    pub dcs: BTreeSet<DataCentreId>,
    /// Address on which it listens for other processes. All processes use the same port.
    pub link_addr: SocketAddr,
    /// Limits on incoming links whose senders are not identified yet.
    pub link_limits: celerywinch_links::Limits,
    /// Keepers that it contacts first.
    pub seeds: Vec<InstanceId>,
    /// Whether the deployment starts for the first time, with empty disks.
    pub bootstrap: bool,
    /// Number of keepers that may be lost at once, `f`. The log has `2f + 1` voters.
    pub fault_tolerance: usize,
    /// Folder for persistent data; required for keepers.
    pub data_dir: Option<PathBuf>,
    /// Offset added to the time of day, in ms; not 0 only in tests.
    pub clock_offset: i64,
    /// Disabled mechanisms of dispatching.
    pub disabled: DisabledMechanisms,
}

/// The operations that the host provides to the process.
pub trait Port: 'static {
    /// Sends a call to a worker. The future is polled for a while after the call's time-out, to tell late answers from missing
    /// ones, and is then dropped.
    fn call(&self, call: Call) -> Pin<Box<dyn Future<Output = Answer>>>;

    /// Parses a configuration document from the store, which an earlier release may have accepted.
    ///
    /// # Errors
    ///
    /// Returns an error if the document is invalid, which no accepted document is.
    fn parse_config(&self, document: &[u8]) -> anyhow::Result<QueueConfig>;
}

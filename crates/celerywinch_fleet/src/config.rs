//! What a host tells the process.

use std::collections::BTreeSet;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::Pin;

use celerywinch_pool::{Answer, Call};
use celerywinch_types::{DataCentreId, DisabledMechanisms, InstanceId, ProcessKind, QueueConfig};

/// The checked settings of a process.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// This instance; its number is its IPv4 address, by which the others reach it.
    pub instance: InstanceId,
    /// What it does.
    pub kind: ProcessKind,
    /// Its data centre.
    pub dc: DataCentreId,
    /// Cores that the process may use, or the fraction of one.
    pub cores: f64,
    /// Bytes a second that its link carries, if that is known.
    pub link_rate: Option<f64>,
    /// All data centres.
    pub dcs: BTreeSet<DataCentreId>,
    /// Where it listens for other processes; the port is the same for all.
    pub link_addr: SocketAddr,
    /// Keepers to ask first.
    pub seeds: Vec<InstanceId>,
    /// Whether the deployment starts for the first time, with empty disks.
    pub bootstrap: bool,
    /// How many keepers may be lost at once; twice as many and one count for majorities.
    pub fault_tolerance: usize,
    /// The folder for what must last; keepers need one.
    pub data_dir: Option<PathBuf>,
    /// Ms by which the time of day is off; other than 0 only in tests.
    pub clock_offset: i64,
    /// Mechanisms of dispatching that are left out.
    pub disabled: DisabledMechanisms,
}

/// What the host does for the process.
pub trait Port: 'static {
    /// Carries a call to a worker out. The future goes on for a while after the call's timeout, to see whether
    /// the answer is late or never comes, and is dropped then.
    fn call(&self, call: Call) -> Pin<Box<dyn Future<Output = Answer>>>;

    /// Reads a configuration document that an operator's request brought.
    ///
    /// # Errors
    ///
    /// The document is invalid; none that was accepted is.
    fn parse_config(&self, document: &[u8]) -> anyhow::Result<QueueConfig>;
}

//! Validated settings.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use celerywinch_claims::Limits;
use celerywinch_types::{DataCentreId, InstanceId};

/// Limits used by default.
pub(crate) const DEFAULT_LIMITS: Limits = Limits {
    window: Duration::from_secs(30),
    skew: Duration::from_millis(250),
    retention: Duration::from_secs(60),
};
/// Maximum size of the body of a submission by default, in bytes.
pub(crate) const DEFAULT_BODY_BYTES: usize = 4 << 20;
/// Number of threads that serve callers over HTTP by default.
const DEFAULT_HTTP_THREADS: usize = 2;

/// One instance of the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// The number of the instance.
    pub id: InstanceId,
    /// Its data centre.
    pub dc: DataCentreId,
    /// The name of its data centre.
    pub dc_name: String,
    /// The address on which it listens for other instances.
    pub peer_addr: SocketAddr,
    /// Whether it is a keeper.
    pub keeper: bool,
}

/// The validated settings of a process, read from a file or built with [`SettingsBuilder`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance.
    pub me: Instance,
    /// All instances, this one included.
    pub instances: Vec<Instance>,
    /// The address on which callers are served.
    pub callers: SocketAddr,
    /// The address on which endpoints announce themselves.
    pub endpoints: SocketAddr,
    /// The address on which operators are served.
    pub operators: SocketAddr,
    /// The secret that operators and other instances must send.
    pub secret: Secret,
    /// The folder for all data that must survive a restart.
    pub data_folder: Option<PathBuf>,
    /// The file for the time line.
    pub timeline_file: Option<PathBuf>,
    /// The file with the first catalogue, for a system that has none yet.
    pub first_catalogue: Option<PathBuf>,
    /// Number of threads that serve callers over HTTP.
    pub http_threads: usize,
    /// Limits on the age of keys.
    pub limits: Limits,
    /// Maximum size of the body of a submission, in bytes.
    pub body_bytes: usize,
}

/// A secret whose `Debug` form hides it, so that it never appears in a log.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret, without the white space around it.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.trim().to_owned())
    }

    /// Returns the secret itself; only for code that compares or sends it.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Settings {
    /// Returns all instances with their data centres; the placement of the claims' replicas follows from them.
    #[must_use]
    pub fn topology(&self) -> Vec<(InstanceId, DataCentreId, String)> {
        let instances = self.instances.iter();
        instances
            .map(|one| (one.id, one.dc, one.dc_name.clone()))
            .collect()
    }
}

/// Builds settings in code, for embedding and for tests.
#[derive(Clone, Debug)]
pub struct SettingsBuilder(Settings);

impl SettingsBuilder {
    /// Starts from this instance, all instances and the secret. By default, the process listens on ports of the
    /// loopback interface that the operating system selects.
    #[must_use]
    pub fn new(me: Instance, instances: Vec<Instance>, secret: Secret) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self(Settings {
            me,
            instances,
            callers: any_port,
            endpoints: any_port,
            operators: any_port,
            secret,
            data_folder: None,
            timeline_file: None,
            first_catalogue: None,
            http_threads: DEFAULT_HTTP_THREADS,
            limits: DEFAULT_LIMITS,
            body_bytes: DEFAULT_BODY_BYTES,
        })
    }

    /// Sets the addresses on which callers, endpoints and operators are served.
    #[must_use]
    pub fn listen(
        mut self,
        callers: SocketAddr,
        endpoints: SocketAddr,
        operators: SocketAddr,
    ) -> Self {
        self.0.callers = callers;
        self.0.endpoints = endpoints;
        self.0.operators = operators;
        self
    }

    /// Sets the folder for all data that must survive a restart.
    #[must_use]
    pub fn data_folder(mut self, folder: Option<PathBuf>) -> Self {
        self.0.data_folder = folder;
        self
    }

    /// Sets the file for the time line.
    #[must_use]
    pub fn timeline_file(mut self, file: Option<PathBuf>) -> Self {
        self.0.timeline_file = file;
        self
    }

    /// Sets the file with the first catalogue.
    #[must_use]
    pub fn first_catalogue(mut self, file: Option<PathBuf>) -> Self {
        self.0.first_catalogue = file;
        self
    }

    /// Sets the number of threads that serve callers over HTTP; `None` means the default.
    #[must_use]
    pub fn http_threads(mut self, threads: Option<usize>) -> Self {
        self.0.http_threads = threads.unwrap_or(DEFAULT_HTTP_THREADS);
        self
    }

    /// Sets the limits on the age of keys and on the size of the body of a submission, in bytes.
    #[must_use]
    pub fn limits(mut self, limits: Limits, body_bytes: usize) -> Self {
        self.0.limits = limits;
        self.0.body_bytes = body_bytes;
        self
    }

    /// Returns the settings.
    #[must_use]
    pub fn build(self) -> Settings {
        self.0
    }
}

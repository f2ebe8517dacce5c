//! Checked settings.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use celerywinch_claims::Limits;
use celerywinch_types::{DataCentreId, InstanceId};

/// Bounds used where the file names none.
pub(crate) const DEFAULT_LIMITS: Limits = Limits {
    window: Duration::from_secs(30),
    skew: Duration::from_millis(250),
    retention: Duration::from_secs(60),
};
/// The longest body of a submission where the file names none, in bytes.
pub(crate) const DEFAULT_BODY: usize = 4 << 20;
/// Threads that serve HTTP where the file names none.
const DEFAULT_HTTP_THREADS: usize = 2;

/// One instance of the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Its number.
    pub id: InstanceId,
    /// Its data centre.
    pub dc: DataCentreId,
    /// The name of its data centre.
    pub dc_name: String,
    /// Where it listens for other instances.
    pub peer_addr: SocketAddr,
    /// Whether it is a keeper.
    pub keeper: bool,
}

/// Checked settings of a process; made from a file or by [`SettingsBuilder`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance.
    pub me: Instance,
    /// All instances, this one included.
    pub instances: Vec<Instance>,
    /// Where callers are served.
    pub callers: SocketAddr,
    /// Where endpoints announce themselves.
    pub endpoints: SocketAddr,
    /// Where operators are served.
    pub operators: SocketAddr,
    /// What operators and other instances show.
    pub secret: Secret,
    /// The folder for everything that lasts.
    pub data_folder: Option<PathBuf>,
    /// A file for the time line.
    pub timeline_file: Option<PathBuf>,
    /// The first catalogue, for a system that has none yet.
    pub first_catalogue: Option<PathBuf>,
    /// Threads that serve HTTP.
    pub http_threads: usize,
    /// Bounds on the age of keys.
    pub limits: Limits,
    /// The longest body of a submission, in bytes.
    pub body_bytes: usize,
}

/// A secret that is not shown by `Debug`, so that it gets into no log.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.trim().to_owned())
    }

    /// The secret itself, for the one place that compares or sends it.
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
    /// Instances in the form the claims are laid out from.
    #[must_use]
    pub fn topology(&self) -> Vec<(InstanceId, DataCentreId, String)> {
        let instances = self.instances.iter();
        instances
            .map(|one| (one.id, one.dc, one.dc_name.clone()))
            .collect()
    }
}

/// Builds settings in code, for embedding and for trying.
#[derive(Clone, Debug)]
pub struct SettingsBuilder(Settings);

impl SettingsBuilder {
    /// Starts with this instance, all instances and the secret; listens on ports of the system's
    /// choosing unless told otherwise.
    #[must_use]
    pub fn new(me: Instance, instances: Vec<Instance>, secret: Secret) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self(Settings {
            me,
            instances,
            callers: any,
            endpoints: any,
            operators: any,
            secret,
            data_folder: None,
            timeline_file: None,
            first_catalogue: None,
            http_threads: DEFAULT_HTTP_THREADS,
            limits: DEFAULT_LIMITS,
            body_bytes: DEFAULT_BODY,
        })
    }

    /// Where callers, endpoints and operators are served.
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

    /// The folder for everything that lasts.
    #[must_use]
    pub fn data_folder(mut self, folder: Option<PathBuf>) -> Self {
        self.0.data_folder = folder;
        self
    }

    /// A file for the time line.
    #[must_use]
    pub fn timeline_file(mut self, file: Option<PathBuf>) -> Self {
        self.0.timeline_file = file;
        self
    }

    /// The first catalogue.
    #[must_use]
    pub fn first_catalogue(mut self, file: Option<PathBuf>) -> Self {
        self.0.first_catalogue = file;
        self
    }

    /// Threads that serve HTTP.
    #[must_use]
    pub fn http_threads(mut self, threads: Option<usize>) -> Self {
        self.0.http_threads = threads.unwrap_or(DEFAULT_HTTP_THREADS);
        self
    }

    /// Bounds.
    #[must_use]
    pub fn limits(mut self, limits: Limits, body_bytes: usize) -> Self {
        self.0.limits = limits;
        self.0.body_bytes = body_bytes;
        self
    }

    /// The settings.
    #[must_use]
    pub fn build(self) -> Settings {
        self.0
    }
}

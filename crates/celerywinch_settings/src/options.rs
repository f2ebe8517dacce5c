//! A settings file as it was written.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_saphyr::Spanned;

/// A role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts submissions and announcements.
    Entry,
    /// Stores a replica of the catalogue's log on disk.
    Keeper,
}

/// One instance of the system; the list must be the same for every process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceOptions {
    /// The number of the instance.
    pub instance: Spanned<u16>,
    /// The name of its data centre.
    pub data_centre: Spanned<String>,
    /// The address on which it listens for other instances.
    pub peers: Spanned<String>,
    /// Whether it is a keeper.
    #[serde(default)]
    pub keeper: bool,
}

/// Limits that must be the same for every process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[derive(Default)]
pub struct LimitOptions {
    /// Maximum age of a key in milliseconds; the work of an older key is never run.
    pub window_ms: Option<Spanned<u64>>,
    /// Maximum difference between the wall clocks, in milliseconds.
    pub skew_ms: Option<Spanned<u64>>,
    /// How long outcomes are kept after the window, in milliseconds.
    pub retention_ms: Option<Spanned<u64>>,
    /// Maximum size of the body of a submission, in bytes.
    pub body_bytes: Option<Spanned<usize>>,
}

/// A settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Options {
    /// The number of this instance.
    pub instance: Spanned<u16>,
    /// The roles of this process.
    pub roles: Vec<Role>,
    /// The address on which callers are served.
    pub callers: Spanned<String>,
    /// The address on which endpoints announce themselves.
    pub endpoints: Spanned<String>,
    /// The address on which operators are served.
    pub operators: Spanned<String>,
    /// The file with the secret that operators and other instances must send.
    pub secret_file: Spanned<String>,
    /// The folder for all data that must survive a restart.
    pub data_folder: Option<Spanned<String>>,
    /// The file for the time line; without it none is written.
    pub timeline_file: Option<Spanned<String>>,
    /// The file with the first catalogue, for a system that has none yet.
    pub first_catalogue: Option<Spanned<String>>,
    /// Number of threads that serve callers over HTTP.
    pub http_threads: Option<Spanned<usize>>,
    /// The numbers of the data centres, by name.
    pub data_centres: BTreeMap<String, Spanned<u8>>,
    /// All instances of the system.
    pub instances: Vec<InstanceOptions>,
    /// Limits that must be the same for every process.
    #[serde(default)]
    pub limits: LimitOptions,
}

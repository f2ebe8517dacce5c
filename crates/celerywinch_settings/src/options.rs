//! A settings file as it was written.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_saphyr::Spanned;

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes submissions and announcements.
    Entry,
    /// Keeps a replica of the catalogue's log on disk.
    Keeper,
}

/// One instance of the system; every process is given the same list.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceOptions {
    /// Its number.
    pub instance: Spanned<u16>,
    /// The name of its data centre.
    pub data_centre: Spanned<String>,
    /// Where it listens for other instances.
    pub peers: Spanned<String>,
    /// Whether it is a keeper.
    #[serde(default)]
    pub keeper: bool,
}

/// Bounds that every process must be given alike.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
#[derive(Default)]
pub struct LimitOptions {
    /// A key older than this is never run, in milliseconds.
    pub window_ms: Option<Spanned<u64>>,
    /// How far wall clocks may be apart, in milliseconds.
    pub skew_ms: Option<Spanned<u64>>,
    /// How long outcomes are kept after the window, in milliseconds.
    pub retention_ms: Option<Spanned<u64>>,
    /// The longest body of a submission, in bytes.
    pub body_bytes: Option<Spanned<usize>>,
}

/// A settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Options {
    /// The number of this instance.
    pub instance: Spanned<u16>,
    /// What this process does.
    pub roles: Vec<Role>,
    /// Where callers are served.
    pub callers: Spanned<String>,
    /// Where endpoints announce themselves.
    pub endpoints: Spanned<String>,
    /// Where operators are served.
    pub operators: Spanned<String>,
    /// A file with the secret that operators and other instances show.
    pub secret_file: Spanned<String>,
    /// The folder for everything that lasts.
    pub data_folder: Option<Spanned<String>>,
    /// A file for the time line; none is written without it.
    pub timeline_file: Option<Spanned<String>>,
    /// The first catalogue, for a system that has none yet.
    pub first_catalogue: Option<Spanned<String>>,
    /// Threads that serve HTTP.
    pub http_threads: Option<Spanned<usize>>,
    /// Data centres by name, with their numbers.
    pub data_centres: BTreeMap<String, Spanned<u8>>,
    /// All instances of the system.
    pub instances: Vec<InstanceOptions>,
    /// Bounds.
    #[serde(default)]
    pub limits: LimitOptions,
}

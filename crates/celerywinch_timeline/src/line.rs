//! One line of a time line.

use celerywinch_entry::Event;
use celerywinch_types::Process;
use serde::{Deserialize, Serialize};

/// When and where an event happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Hybrid logical time: milliseconds since the Unix epoch in the upper 48 bits, a count of
    /// events in the lower 16.
    pub hlc: u64,
    /// The process.
    pub at: Process,
}

impl Stamp {
    /// Milliseconds since the Unix epoch.
    #[must_use]
    pub fn millis(&self) -> u64 {
        self.hlc >> 16
    }
}

/// One line of a time line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// When and where.
    #[serde(flatten)]
    pub stamp: Stamp,
    /// What.
    #[serde(flatten)]
    pub event: Event,
}

//! One line of a time line.

use celerywinch_entry::Event;
use celerywinch_types::Process;
use serde::{Deserialize, Serialize};

/// When and where an event happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventStamp {
    /// Hybrid logical time: milliseconds since the Unix epoch in the upper 48 bits, a count of
    /// events in the lower 16.
    pub hlc: u64,
    /// The process.
    #[serde(rename = "at")]
    pub process: Process,
}

impl EventStamp {
    /// Milliseconds since the Unix epoch.
    #[must_use]
    pub fn millis(&self) -> u64 {
        self.hlc >> 16
    }
}

/// One line of a time line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineRecord {
    /// When and where.
    #[serde(flatten)]
    pub stamp: EventStamp,
    /// What.
    #[serde(flatten)]
    pub event: Event,
}

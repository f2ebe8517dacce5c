//! The records of a time line.

use celerywinch_entry::Event;
use celerywinch_types::Process;
use serde::{Deserialize, Serialize};

/// The time and the process of an event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventStamp {
    /// Hybrid logical time: milliseconds since the Unix epoch in the upper 48 bits, a count of events in the lower 16.
    pub hlc: u64,
    /// The process.
    #[serde(rename = "at")]
    pub process: Process,
}

impl EventStamp {
    /// Returns the milliseconds since the Unix epoch.
    #[must_use]
    pub fn millis(&self) -> u64 {
        self.hlc >> 16
    }
}

/// One record of a time line; written as a line of JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineRecord {
    /// The time and the process.
    #[serde(flatten)]
    pub stamp: EventStamp,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

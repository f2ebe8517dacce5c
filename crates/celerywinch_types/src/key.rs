//! Idempotency keys, which contain the time of their creation.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use uuid::Uuid;

use crate::{WallMs, stable_hash};

/// The length of the longest key that is accepted, in bytes.
pub const MAX_KEY_BYTES: usize = 160;

/// A caller's idempotency key: `[home:]UUIDv7` or `[home:]text@unix-milliseconds`.
///
/// The time in the key limits how long replicas must remember it. A key without a time could be
/// resubmitted after all replicas have removed it, and its tasks would start twice.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Key {
    text: Arc<str>,
    created_at: WallMs,
}

/// The reason why a text is not a valid key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The text is empty.
    #[error("the key is empty; send a UUIDv7 or `text@unix-milliseconds`")]
    Empty,
    /// The text is longer than [`MAX_KEY_BYTES`].
    #[error("the key is longer than {MAX_KEY_BYTES} bytes; send a shorter one")]
    TooLong,
    /// The text contains characters other than printable ASCII.
    #[error("the key holds characters other than printable ASCII; send a UUIDv7")]
    Characters,
    /// The text contains no creation time.
    #[error("the key holds no creation time; send a UUIDv7 or append `@` and Unix milliseconds")]
    NoTime,
}

impl Key {
    /// Parses a caller's text.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        if text.is_empty() {
            return Err(KeyError::Empty);
        }
        if text.len() > MAX_KEY_BYTES {
            return Err(KeyError::TooLong);
        }
        if !text.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(KeyError::Characters);
        }
        let created_at = creation_time(text).ok_or(KeyError::NoTime)?;
        Ok(Self {
            text: text.into(),
            created_at,
        })
    }

    /// Returns the whole text, as the caller sent it.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Returns the time at which the caller created the key.
    #[must_use]
    pub fn created_at(&self) -> WallMs {
        self.created_at
    }

    /// Returns the name of the home data centre, if the key begins with one.
    #[must_use]
    pub fn home_hint(&self) -> Option<&str> {
        self.text.split_once(':').map(|(home, _)| home)
    }

    /// Returns a hash of the key that is the same in every process.
    #[must_use]
    pub fn hash64(&self) -> u64 {
        stable_hash(self.text.as_bytes())
    }
}

fn creation_time(text: &str) -> Option<WallMs> {
    let without_home = text.split_once(':').map_or(text, |(_, rest)| rest);
    if let Some((_, millis)) = without_home.rsplit_once('@') {
        return millis.parse().ok().map(WallMs);
    }
    let uuid = Uuid::parse_str(without_home).ok()?;
    if uuid.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(WallMs(seconds * 1000 + u64::from(nanos) / 1_000_000))
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl From<Key> for String {
    fn from(key: Key) -> Self {
        key.text.as_ref().into()
    }
}

impl TryFrom<String> for Key {
    type Error = KeyError;

    fn try_from(text: String) -> Result<Self, KeyError> {
        Self::parse(&text)
    }
}

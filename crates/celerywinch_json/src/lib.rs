//! Decoding of JSON bodies from outside.
//!
//! `serde_json` skips the fields that a type does not have without decoding them: it accepts strings that are not UTF-8
//! and numbers out of range there. [`decode`] reads these too, so whether a body is accepted does not depend on the fields
//! that its reader uses.

mod readable;

use std::str::Utf8Error;

use serde::de::DeserializeOwned;
use thiserror::Error;

use readable::Readable;

/// Why a body was not decoded.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The body is not UTF-8.
    #[error("the body is not UTF-8")]
    Encoding(#[from] Utf8Error),
    /// The body is not JSON, contains a string or a number that cannot be represented, or does not match the type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// Decodes a body that is readable in full: UTF-8, and JSON in which each string is Unicode, each number fits a 64-bit
/// integer or float, and at most 127 arrays and objects are nested.
///
/// # Errors
///
/// Returns an error if the body is not readable in full, or does not match `T`.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, DecodeError> {
    let text = std::str::from_utf8(body)?;
    serde_json::from_str::<Readable>(text)?;
    Ok(serde_json::from_str(text)?)
}

//! The HTTP servers, with one listener each for callers, endpoints and operators.
//!
//! Separate listeners prevent callers from reaching the routes of operators and endpoints.

mod callers;
mod endpoints;
mod operators;
mod problem;

pub(crate) use callers::configure as callers;
pub(crate) use endpoints::configure as endpoints;
pub(crate) use operators::configure as operators;
pub(crate) use problem::Problem;

use ntex::util::BytesMut;
use ntex::web::types::Payload;

/// Reads a body of at most `limit` bytes.
async fn read_body(mut payload: Payload, limit: usize) -> Result<Vec<u8>, Problem> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|error| {
            Problem::new(400, "body", "the body was cut off").detail(&error.to_string())
        })?;
        if body.len() + chunk.len() > limit {
            return Err(Problem::new(413, "body", "the body is too long")
                .field("body")
                .detail(&format!("wanted at most {limit} bytes")));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.to_vec())
}

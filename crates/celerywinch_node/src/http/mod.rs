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

use celerywinch_http::{Body, BodyError, RequestHandle};
use ntex::web::HttpRequest;
use ntex::web::types::Payload;

/// The time after which a request for which there was no memory may be sent again, in ms.
const MEMORY_RETRY_MS: u32 = 1_000;

/// The number of copies of a body in the submission, in messages to other instances and in calls to endpoints.
const BODY_COPIES: usize = 3;

/// Reads a body of at most `limit` bytes.
async fn read_body(request: &HttpRequest, payload: Payload, limit: usize) -> Result<Body, Problem> {
    let handle = request.extensions().get::<RequestHandle>().cloned();
    // Absent if the connection was closed in the meantime.
    let handle = handle.ok_or_else(Problem::internal)?;
    let body = handle.read_payload(payload.into_inner(), limit).await;
    let body = body.and_then(|body| {
        let reserved = handle.reserve(BODY_COPIES * body.len());
        reserved.map_err(BodyError::Refused).map(|()| body)
    });
    body.map_err(|error| match error {
        BodyError::Incomplete => Problem::new(400, "body", "the body was cut off"),
        BodyError::TooLarge => Problem::new(413, "body", "the body is too long")
            .field("body")
            .detail(&format!("wanted at most {limit} bytes")),
        // An earlier submission under the same key may have run.
        BodyError::Refused(_) => Problem::new(503, "undecided", "the request was not read")
            .ran("maybe")
            .detail(&error.to_string())
            .retry(Some(MEMORY_RETRY_MS), "same"),
    })
}

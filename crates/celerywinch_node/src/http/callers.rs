//! The HTTP routes for callers: submission, lookup and cancellation, and the checks of the load balancer.

use std::sync::Arc;

use celerywinch_entry::Reply;
use celerywinch_types::{Failure, Key, Outcome, Ran, Refusal, RefusalReason, Step};
use ntex::web::types::{Path, Payload, State};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use serde::{Deserialize, Serialize};

use super::{Problem, read_body};
use crate::filters::{self, FilterContext, SubmissionDraft};
use crate::shared::{CoreMsg, Shared};

/// Maximum number of keys in one request to cancel.
const MAX_CANCEL_KEYS: usize = 10_000;

/// Adds the routes to an application.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config.service((
        web::resource("/v1/submit").route(web::post().to(submit)),
        web::resource("/v1/outcomes/{key}*").route(web::get().to(outcome)),
        web::resource("/v1/cancel").route(web::post().to(cancel)),
        web::resource("/healthz").route(web::get().to(healthz)),
        web::resource("/readyz").route(web::get().to(readyz)),
    ));
}

async fn submit(
    request: HttpRequest,
    payload: Payload,
    shared: State<Arc<Shared>>,
) -> HttpResponse {
    let header = |name: &str| {
        let value = request.headers().get(name)?;
        value.to_str().ok().map(ToOwned::to_owned)
    };
    let body = match read_body(&request, payload, shared.settings.body_bytes).await {
        Ok(body) => body,
        Err(problem) => return reject(&shared, "body", &problem),
    };
    let draft = SubmissionDraft::new(header("content-type"), header("idempotency-key"), body);
    let context = FilterContext {
        catalogue: shared.catalogue.load_full(),
    };
    let submission = match filters::check(draft, &context) {
        Ok(submission) => submission,
        Err((filter, problem)) => return reject(&shared, filter, &problem),
    };
    let key = submission.key.clone();
    let reply = shared
        .call_core(|sender| CoreMsg::Submit(submission, sender))
        .await;
    respond(&key, reply)
}

fn reject(shared: &Shared, filter: &str, problem: &Problem) -> HttpResponse {
    shared.metrics.rejected.with_label_values(&[filter]).inc();
    problem.response()
}

async fn outcome(path: Path<String>, shared: State<Arc<Shared>>) -> HttpResponse {
    let key = match Key::parse(&path) {
        Ok(key) => key,
        Err(error) => return bad_key(&error.to_string()),
    };
    let lookup_key = key.clone();
    let reply = shared
        .call_core(|sender| CoreMsg::Lookup(lookup_key, sender))
        .await;
    respond(&key, reply)
}

fn bad_key(detail: &str) -> HttpResponse {
    Problem::new(400, "key", "bad idempotency key")
        .field("key")
        .detail(detail)
        .response()
}

/// The body of a request to cancel.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct CancelRequest {
    keys: Vec<Key>,
}

/// The state of one cancelled key in the response.
#[derive(Serialize)]
struct CancelResult {
    key: Key,
    state: celerywinch_entry::CancelState,
}

async fn cancel(
    request: HttpRequest,
    payload: Payload,
    shared: State<Arc<Shared>>,
) -> HttpResponse {
    let body = match read_body(&request, payload, shared.settings.body_bytes).await {
        Ok(body) => body,
        Err(problem) => return problem.response(),
    };
    let cancel_request: CancelRequest = match serde_json::from_slice(&body) {
        Ok(cancel_request) => cancel_request,
        Err(error) => {
            let problem = Problem::new(400, "body", "bad body").field("keys");
            return problem.detail(&error.to_string()).response();
        }
    };
    if cancel_request.keys.len() > MAX_CANCEL_KEYS {
        let problem = Problem::new(400, "body", "too many keys").field("keys");
        let detail = format!(
            "found {}, wanted at most {MAX_CANCEL_KEYS}",
            cancel_request.keys.len()
        );
        return problem.detail(&detail).response();
    }
    let reply = shared
        .call_core(|sender| CoreMsg::Cancel(cancel_request.keys, sender))
        .await;
    let Some(Reply::Cancelled(states)) = reply else {
        return Problem::internal().response();
    };
    let results: Vec<_> = states
        .into_iter()
        .map(|(key, state)| CancelResult { key, state })
        .collect();
    HttpResponse::Ok().json(&serde_json::json!({ "cancelled": results }))
}

async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn readyz(shared: State<Arc<Shared>>) -> HttpResponse {
    if shared.ready() {
        return HttpResponse::Ok().body("ready\n");
    }
    HttpResponse::ServiceUnavailable().body("not ready\n")
}

fn respond(key: &Key, reply: Option<Reply>) -> HttpResponse {
    match reply {
        Some(Reply::Outcome(Outcome::Answer(results))) => {
            let results: Vec<_> = results.iter().map(|body| body.0.as_ref()).collect();
            let results = results.join(",");
            let key = serde_json::json!(key.as_str());
            let body = format!(r#"{{"outcome":"answer","key":{key},"results":[{results}]}}"#);
            HttpResponse::Ok()
                .content_type("application/json")
                .body(body)
        }
        Some(Reply::Outcome(Outcome::Failure(failure))) => failure_problem(&failure).response(),
        Some(Reply::Outcome(Outcome::Refusal(refusal))) => refusal_problem(&refusal).response(),
        Some(Reply::Conflict) => {
            Problem::new(422, "conflict", "the key was used with another body")
                .field("Idempotency-Key")
                .detail("send a new key for a new submission")
                .response()
        }
        Some(Reply::TooNew) => Problem::new(400, "key", "the key's time lies in the future")
            .field("Idempotency-Key")
            .detail("check the clock that makes the keys")
            .response(),
        Some(Reply::Undecided { retry_ms, detail }) => {
            undecided_problem(retry_ms, &detail).response()
        }
        Some(Reply::Unknown) => Problem::new(404, "unknown-key", "nothing is known of the key")
            .field("key")
            .response(),
        Some(Reply::Cancelled(_)) => Problem::internal().response(),
        None => {
            undecided_problem(1, "this entry is stopping; send the same key to another").response()
        }
    }
}

fn failure_problem(failure: &Failure) -> Problem {
    let expired = failure.step == Step::Queue;
    let status = if expired { 504 } else { 502 };
    let ran = match failure.ran {
        Ran::No => "no",
        Ran::Maybe => "maybe",
        Ran::Yes => "yes",
    };
    Problem::new(status, "failure", "there is no whole answer")
        .ran(ran)
        .at(serialized_name(&failure.step), &failure.peer)
        .detail(&failure.detail)
}

fn refusal_problem(refusal: &Refusal) -> Problem {
    let status = match refusal.reason {
        RefusalReason::TooLarge => 422,
        RefusalReason::Cancelled => 409,
        RefusalReason::Deadline => 504,
        RefusalReason::Overload | RefusalReason::NoEndpoint | RefusalReason::Unclaimed => 503,
    };
    Problem::new(status, "refusal", "not run")
        .ran("no")
        .reason(serialized_name(&refusal.reason))
        .detail(&refusal.detail)
        .retry(refusal.retry_ms, "new")
}

fn undecided_problem(retry_ms: u32, detail: &str) -> Problem {
    Problem::new(503, "undecided", "no outcome can be told now")
        .ran("maybe")
        .detail(detail)
        .retry(Some(retry_ms), "same")
}

/// Returns the serialized name of a variant without fields.
fn serialized_name<T: Serialize>(value: &T) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}

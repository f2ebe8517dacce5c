//! The HTTP routes for operators; all but the health check require the shared secret.

use std::sync::Arc;

use celerywinch_catalogue::{ApplyError, Edit};
use ntex::web::types::{Payload, State};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use subtle::ConstantTimeEq;
use tokio::sync::oneshot;

use super::{Problem, read_body};
use crate::shared::{CoreMsg, Shared};
use crate::store::{EditResult, StoreInput};

/// Maximum size of a change, in bytes.
const MAX_EDIT_BYTES: usize = 8 << 20;
/// Maximum length of a change id, in bytes.
const MAX_CHANGE_ID_BYTES: usize = 128;
/// Delay after which an operator should retry a change with an unknown result, in milliseconds.
const EDIT_RETRY_MS: u32 = 1000;

/// Adds the routes to an application.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config.service((
        web::resource("/v1/status").route(web::get().to(status)),
        web::resource("/v1/catalogue")
            .route(web::get().to(catalogue))
            .route(web::put().to(edit)),
        web::resource("/v1/catalogue/where").route(web::get().to(catalogue_versions)),
        web::resource("/v1/keeper").route(web::get().to(keeper)),
        web::resource("/metrics").route(web::get().to(metrics)),
        web::resource("/healthz").route(web::get().to(healthz)),
    ));
}

/// Returns whether a request carries the shared secret, compared in constant time.
fn authorised(request: &HttpRequest, shared: &Shared) -> bool {
    let Some(value) = request.headers().get("authorization") else {
        return false;
    };
    let expected = format!("Bearer {}", shared.settings.secret.expose());
    value.as_bytes().ct_eq(expected.as_bytes()).into()
}

fn unauthorised() -> HttpResponse {
    Problem::new(401, "unauthorised", "the secret is missing or wrong")
        .detail("send `Authorization: Bearer` and the text of the secret file")
        .response()
}

async fn status(request: HttpRequest, shared: State<Arc<Shared>>) -> HttpResponse {
    if !authorised(&request, &shared) {
        return unauthorised();
    }
    match shared.call_core(CoreMsg::Status).await {
        Some(page) => HttpResponse::Ok().json(&page),
        None => Problem::new(503, "stopping", "this entry is stopping").response(),
    }
}

async fn catalogue(request: HttpRequest, shared: State<Arc<Shared>>) -> HttpResponse {
    if !authorised(&request, &shared) {
        return unauthorised();
    }
    let catalogue = shared.catalogue.load_full();
    HttpResponse::Ok().json(&serde_json::json!({
        "version": catalogue.version(),
        "catalogue": catalogue.document(),
    }))
}

/// Proposes an operator's change of the catalogue.
async fn edit(request: HttpRequest, payload: Payload, shared: State<Arc<Shared>>) -> HttpResponse {
    if !authorised(&request, &shared) {
        return unauthorised();
    }
    let body = match read_body(&request, payload, MAX_EDIT_BYTES).await {
        Ok(body) => body,
        Err(problem) => return problem.response(),
    };
    let edit: Edit = match serde_json::from_slice(&body) {
        Ok(edit) => edit,
        Err(error) => {
            let problem = Problem::new(400, "body", "bad change").field("body");
            return problem.detail(&error.to_string()).response();
        }
    };
    if edit.change_id.is_empty() || edit.change_id.len() > MAX_CHANGE_ID_BYTES {
        let problem = Problem::new(400, "change", "bad change id").field("change");
        return problem.detail("wanted 1 to 128 bytes").response();
    }
    let (sender, receiver) = oneshot::channel();
    if shared.store.send(StoreInput::Edit(edit, sender)).is_err() {
        return Problem::internal().response();
    }
    edit_response(receiver.await.ok().flatten())
}

fn edit_response(result: EditResult) -> HttpResponse {
    match result {
        Some(Ok(applied)) => HttpResponse::Ok().json(&applied),
        Some(Err(error @ ApplyError::Conflict { .. })) => {
            Problem::new(409, "version-conflict", "another change came first")
                .detail(&error.to_string())
                .response()
        }
        Some(Err(error @ ApplyError::Invalid(_))) => {
            Problem::new(422, "catalogue", "the catalogue has problems")
                .detail(&error.to_string())
                .response()
        }
        None => Problem::new(
            503,
            "unsure",
            "it is not known whether the change was accepted",
        )
        .detail("send the same change, with the same change id, again")
        .retry(Some(EDIT_RETRY_MS), "same")
        .response(),
    }
}

/// Returns the version of the catalogue in force at each instance, as last reported by its heartbeats.
async fn catalogue_versions(request: HttpRequest, shared: State<Arc<Shared>>) -> HttpResponse {
    if !authorised(&request, &shared) {
        return unauthorised();
    }
    let Some(page) = shared.call_core(CoreMsg::Status).await else {
        return Problem::new(503, "stopping", "this entry is stopping").response();
    };
    let mut versions: Vec<_> = page
        .peers
        .iter()
        .map(|peer| {
            serde_json::json!({
                "instance": peer.instance,
                "state": peer.state,
                "version": peer.catalogue_version,
                "heard_ms_ago": peer.silent_ms,
            })
        })
        .collect();
    versions.push(serde_json::json!({
        "instance": page.process.instance,
        "state": "self",
        "version": page.entry.catalogue_version,
        "heard_ms_ago": 0,
    }));
    HttpResponse::Ok().json(&serde_json::json!({ "instances": versions }))
}

async fn keeper(request: HttpRequest, shared: State<Arc<Shared>>) -> HttpResponse {
    if !authorised(&request, &shared) {
        return unauthorised();
    }
    let (sender, receiver) = oneshot::channel();
    if shared.store.send(StoreInput::Status(sender)).is_err() {
        return Problem::internal().response();
    }
    match receiver.await {
        Ok(Some(status)) => HttpResponse::Ok().json(&status),
        _ => Problem::new(404, "no-keeper", "this instance is no working keeper").response(),
    }
}

async fn metrics(request: HttpRequest, shared: State<Arc<Shared>>) -> HttpResponse {
    if !authorised(&request, &shared) {
        return unauthorised();
    }
    let (sender, receiver) = oneshot::channel();
    if shared.core.send(CoreMsg::EntryStatus(sender)).is_err() {
        return Problem::internal().response();
    }
    let text = receiver
        .await
        .ok()
        .map(|status| shared.metrics.encode(&status));
    match text {
        Some(Ok(text)) => HttpResponse::Ok().content_type("text/plain").body(text),
        _ => Problem::internal().response(),
    }
}

async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

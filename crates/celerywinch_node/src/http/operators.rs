//! What operators are offered; every request shows the shared secret.

use std::sync::Arc;

use celerywinch_catalogue::{ApplyError, Edit};
use ntex::web::types::{Payload, State};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use subtle::ConstantTimeEq;
use tokio::sync::oneshot;

use super::{Problem, read_body};
use crate::shared::{CoreMsg, Shared};
use crate::store::{EditAnswer, StoreIn};

/// The longest change, in bytes.
const LONGEST_EDIT: usize = 8 << 20;
/// The longest change id, in bytes.
const LONGEST_CHANGE_ID: usize = 128;
/// When an operator whose change is unsure should send it again.
const EDIT_RETRY_MS: u32 = 1000;

/// Routes.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config.service((
        web::resource("/v1/status").route(web::get().to(status)),
        web::resource("/v1/catalogue")
            .route(web::get().to(catalogue))
            .route(web::put().to(edit)),
        web::resource("/v1/catalogue/where").route(web::get().to(whereabouts)),
        web::resource("/v1/keeper").route(web::get().to(keeper)),
        web::resource("/metrics").route(web::get().to(metrics)),
        web::resource("/healthz").route(web::get().to(healthz)),
    ));
}

/// Whether a request shows the secret; compared in constant time.
fn authorised(request: &HttpRequest, shared: &Shared) -> bool {
    let Some(value) = request.headers().get("authorization") else {
        return false;
    };
    let wanted = format!("Bearer {}", shared.settings.secret.expose());
    value.as_bytes().ct_eq(wanted.as_bytes()).into()
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
    match shared.ask(CoreMsg::Status).await {
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

/// A change, as operators send it.
async fn edit(request: HttpRequest, payload: Payload, shared: State<Arc<Shared>>) -> HttpResponse {
    if !authorised(&request, &shared) {
        return unauthorised();
    }
    let body = match read_body(payload, LONGEST_EDIT).await {
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
    if edit.change_id.is_empty() || edit.change_id.len() > LONGEST_CHANGE_ID {
        let problem = Problem::new(400, "change", "bad change id").field("change");
        return problem.detail("wanted 1 to 128 bytes").response();
    }
    let (sender, receiver) = oneshot::channel();
    if shared.store.send(StoreIn::Edit(edit, sender)).is_err() {
        return Problem::internal().response();
    }
    answer(receiver.await.ok().flatten())
}

fn answer(answer: EditAnswer) -> HttpResponse {
    match answer {
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

/// Which version is in force where, by the heartbeats that reached this instance.
async fn whereabouts(request: HttpRequest, shared: State<Arc<Shared>>) -> HttpResponse {
    if !authorised(&request, &shared) {
        return unauthorised();
    }
    let Some(page) = shared.ask(CoreMsg::Status).await else {
        return Problem::new(503, "stopping", "this entry is stopping").response();
    };
    let mut lines: Vec<_> = page
        .peers
        .iter()
        .map(|peer| {
            serde_json::json!({
                "instance": peer.instance,
                "state": peer.state,
                "version": peer.catalogue_version,
                "heard_ms_ago": peer.heard_ms_ago,
            })
        })
        .collect();
    lines.push(serde_json::json!({
        "instance": page.at.instance,
        "state": "self",
        "version": page.figures.catalogue_version,
        "heard_ms_ago": 0,
    }));
    HttpResponse::Ok().json(&serde_json::json!({ "instances": lines }))
}

async fn keeper(request: HttpRequest, shared: State<Arc<Shared>>) -> HttpResponse {
    if !authorised(&request, &shared) {
        return unauthorised();
    }
    let (sender, receiver) = oneshot::channel();
    if shared.store.send(StoreIn::Status(sender)).is_err() {
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
    if shared.core.send(CoreMsg::Figures(sender)).is_err() {
        return Problem::internal().response();
    }
    let text = receiver
        .await
        .ok()
        .map(|status| shared.metrics.text(&status));
    match text {
        Some(Ok(text)) => HttpResponse::Ok().content_type("text/plain").body(text),
        _ => Problem::internal().response(),
    }
}

async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

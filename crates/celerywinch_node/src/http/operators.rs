//! What operators are offered; every request shows the shared secret.

use std::sync::Arc;

use ntex::web::types::State;
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use subtle::ConstantTimeEq;

use super::Problem;
use crate::shared::{CoreMsg, Shared};

/// Routes.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config.service((
        web::resource("/v1/status").route(web::get().to(status)),
        web::resource("/v1/catalogue").route(web::get().to(catalogue)),
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

async fn metrics(request: HttpRequest, shared: State<Arc<Shared>>) -> HttpResponse {
    if !authorised(&request, &shared) {
        return unauthorised();
    }
    let (sender, receiver) = tokio::sync::oneshot::channel();
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

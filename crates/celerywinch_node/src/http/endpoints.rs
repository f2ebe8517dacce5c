//! The HTTP route on which endpoints announce themselves.

use std::net::SocketAddr;
use std::sync::Arc;

use celerywinch_entry::Input;
use celerywinch_members::{LEASE, RENEWAL_INTERVAL};
use celerywinch_types::{EndpointAnnouncement, EndpointState};
use ntex::web::types::{Payload, State};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use serde::Deserialize;

use super::{Problem, read_body};
use crate::shared::{CoreMsg, Shared};

/// Maximum size of an announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 64 << 10;

/// Adds the routes to an application.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config.service(web::resource("/v1/announce").route(web::post().to(announce)));
}

/// The body of an announcement; the protocol page describes the fields.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AnnounceRequest {
    addr: SocketAddr,
    data_centre: String,
    rack: String,
    kinds: Vec<String>,
    slots: u16,
    connections: u16,
    state: EndpointState,
    incarnation: u64,
    sequence: u64,
}

async fn announce(
    request: HttpRequest,
    payload: Payload,
    shared: State<Arc<Shared>>,
) -> HttpResponse {
    let body = match read_body(&request, payload, MAX_ANNOUNCEMENT_BYTES).await {
        Ok(body) => body,
        Err(problem) => return problem.response(),
    };
    let announcement = match check(&body, &shared) {
        Ok(announcement) => announcement,
        Err(problem) => return problem.response(),
    };
    if shared
        .core
        .send(CoreMsg::Input(Input::Announce(announcement)))
        .is_err()
    {
        return Problem::new(503, "stopping", "this entry is stopping").response();
    }
    HttpResponse::Ok().json(&serde_json::json!({
        "lease_ms": LEASE.as_millis(),
        "renew_ms": RENEWAL_INTERVAL.as_millis(),
    }))
}

fn check(body: &[u8], shared: &Shared) -> Result<EndpointAnnouncement, Problem> {
    let problem = |field: &str, detail: &str| {
        let problem = Problem::new(400, "announcement", "bad announcement");
        problem.field(field).detail(detail)
    };
    let request: AnnounceRequest =
        serde_json::from_slice(body).map_err(|error| problem("body", &error.to_string()))?;
    let me = &shared.settings.me;
    if request.data_centre != me.dc_name {
        let detail = format!(
            "found {:?}, wanted {:?}: announce to an entry of the own data centre",
            request.data_centre, me.dc_name
        );
        return Err(problem("data_centre", &detail));
    }
    if request.slots == 0 || request.connections < request.slots {
        let detail = "wanted at least one slot and as many connections as slots";
        return Err(problem("slots", detail));
    }
    if request.kinds.is_empty() {
        return Err(problem("kinds", "wanted at least one kind"));
    }
    Ok(EndpointAnnouncement {
        addr: request.addr,
        incarnation: request.incarnation,
        sequence: request.sequence,
        dc: me.dc,
        rack: request.rack.into(),
        kinds: request.kinds.into_iter().map(Into::into).collect(),
        slots: request.slots,
        connections: request.connections,
        state: request.state,
        age_ms: 0,
    })
}

//! Where endpoints announce themselves.

use std::net::SocketAddr;
use std::sync::Arc;

use celerywinch_entry::Input;
use celerywinch_members::{LEASE, RENEWAL_INTERVAL};
use celerywinch_types::{EndpointAnnouncement, EndpointState};
use ntex::web::types::{Payload, State};
use ntex::web::{self, HttpResponse, ServiceConfig};
use serde::Deserialize;

use super::{Problem, read_body};
use crate::shared::{CoreMsg, Shared};

/// The longest announcement, in bytes.
const LONGEST: usize = 64 << 10;

/// Routes.
pub(crate) fn configure(config: &mut ServiceConfig) {
    config.service(web::resource("/v1/announce").route(web::post().to(announce)));
}

/// An announcement, as the protocol page describes it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Announcement {
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

async fn announce(payload: Payload, shared: State<Arc<Shared>>) -> HttpResponse {
    let body = match read_body(payload, LONGEST).await {
        Ok(body) => body,
        Err(problem) => return problem.response(),
    };
    let note = match check(&body, &shared) {
        Ok(note) => note,
        Err(problem) => return problem.response(),
    };
    if shared
        .core
        .send(CoreMsg::Input(Input::Announce(note)))
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
    let form: Announcement =
        serde_json::from_slice(body).map_err(|error| problem("body", &error.to_string()))?;
    let me = &shared.settings.me;
    if form.data_centre != me.dc_name {
        let detail = format!(
            "found {:?}, wanted {:?}: announce to an entry of the own data centre",
            form.data_centre, me.dc_name
        );
        return Err(problem("data_centre", &detail));
    }
    if form.slots == 0 || form.connections < form.slots {
        let detail = "wanted at least one slot and as many connections as slots";
        return Err(problem("slots", detail));
    }
    if form.kinds.is_empty() {
        return Err(problem("kinds", "wanted at least one kind"));
    }
    Ok(EndpointAnnouncement {
        addr: form.addr,
        incarnation: form.incarnation,
        sequence: form.sequence,
        dc: me.dc,
        rack: form.rack.into(),
        kinds: form.kinds.into_iter().map(Into::into).collect(),
        slots: form.slots,
        connections: form.connections,
        state: form.state,
        age_ms: 0,
    })
}

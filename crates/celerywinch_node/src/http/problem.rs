//! Problem details as defined by RFC 9457.

use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use serde::Serialize;

/// The prefix of problem types.
const TYPE_PREFIX: &str = "urn:celerywinch:problem:";

/// A machine-readable description of an error.
#[derive(Clone, Debug, Serialize)]
#[serde(transparent)]
pub(crate) struct Problem(Box<Members>);

/// The members of the problem details object.
#[derive(Clone, Debug, Serialize)]
struct Members {
    #[serde(rename = "type")]
    kind: String,
    title: String,
    status: u16,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    field: Option<String>,
    /// Whether the work ran: `no`, `maybe` or `yes`.
    #[serde(skip_serializing_if = "Option::is_none")]
    ran: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    step: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    peer: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u32>,
    /// `new` if a retry must use a new key, `same` if it must use the same one.
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_key: Option<&'static str>,
}

impl Problem {
    pub(crate) fn new(status: u16, kind: &str, title: &str) -> Self {
        Self(Box::new(Members {
            kind: format!("{TYPE_PREFIX}{kind}"),
            title: title.into(),
            status,
            detail: None,
            field: None,
            ran: None,
            reason: None,
            step: None,
            peer: None,
            retry_after_ms: None,
            retry_key: None,
        }))
    }

    pub(crate) fn internal() -> Self {
        Self::new(500, "internal", "a fault of this program")
    }

    pub(crate) fn detail(mut self, detail: &str) -> Self {
        self.0.detail = Some(detail.into());
        self
    }

    pub(crate) fn field(mut self, field: &str) -> Self {
        self.0.field = Some(field.into());
        self
    }

    pub(crate) fn ran(mut self, ran: &str) -> Self {
        self.0.ran = Some(ran.into());
        self
    }

    pub(crate) fn reason(mut self, reason: String) -> Self {
        self.0.reason = Some(reason);
        self
    }

    pub(crate) fn at(mut self, step: String, peer: &str) -> Self {
        self.0.step = Some(step);
        self.0.peer = Some(peer.into());
        self
    }

    pub(crate) fn retry(mut self, after_ms: Option<u32>, key: &'static str) -> Self {
        self.0.retry_after_ms = after_ms;
        self.0.retry_key = after_ms.map(|_| key);
        self
    }

    pub(crate) fn response(&self) -> HttpResponse {
        let status =
            StatusCode::from_u16(self.0.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = HttpResponse::build(status);
        response.content_type("application/problem+json");
        if let Some(millis) = self.0.retry_after_ms {
            response.header("retry-after", millis.div_ceil(1000).to_string());
        }
        match serde_json::to_string(self) {
            Ok(body) => response.body(body),
            Err(_) => response.finish(),
        }
    }
}

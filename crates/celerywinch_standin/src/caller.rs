//! A stand-in caller, which also acts as operator.

use std::net::SocketAddr;
use std::time::Duration;

use celerywinch_client::{Client, read_response};
use ntex::http::Method;
use ntex::time::Millis;
use serde_json::{Value, json};
use uuid::Uuid;

/// How long a reply may be late before the caller stops to wait.
const PATIENCE_MS: u32 = 2000;

/// What a caller got.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body, null if it is not JSON.
    pub body: Value,
}

impl Response {
    /// `answer`, `failure`, `refusal`, `undecided`, or the type of another problem.
    #[must_use]
    pub fn outcome(&self) -> &str {
        if let Some(outcome) = self.body["outcome"].as_str() {
            return outcome;
        }
        let kind = self.body["type"].as_str().unwrap_or("unknown");
        kind.rsplit(':').next().unwrap_or(kind)
    }

    /// Whether the work ran, as far as the body says.
    #[must_use]
    pub fn ran(&self) -> &str {
        self.body["ran"].as_str().unwrap_or("")
    }
}

impl From<celerywinch_client::Response> for Response {
    fn from(response: celerywinch_client::Response) -> Self {
        Self {
            status: response.status,
            body: response.body,
        }
    }
}

/// Calls entries over HTTP.
#[derive(Clone)]
pub struct Caller {
    client: Client,
}

impl Caller {
    /// A caller with a connection pool of its own; called within an `ntex` system.
    ///
    /// # Errors
    ///
    /// The pool cannot be set up.
    pub async fn new() -> anyhow::Result<Self> {
        Ok(Self {
            client: Client::new(None).await?,
        })
    }

    /// Submits and waits for the reply.
    ///
    /// # Errors
    ///
    /// The connection was refused or lost, or the wait was over.
    pub async fn submit(
        &self,
        entry: SocketAddr,
        key: &str,
        kind: &str,
        deadline: Duration,
        tasks: &[Value],
    ) -> anyhow::Result<Response> {
        let body = json!({ "kind": kind, "deadline_ms": deadline.as_millis(), "tasks": tasks });
        self.post(entry, "/v1/submit", Some(key), &body, deadline)
            .await
    }

    /// Cancels keys.
    ///
    /// # Errors
    ///
    /// The connection was refused or lost.
    pub async fn cancel(&self, entry: SocketAddr, keys: &[String]) -> anyhow::Result<Response> {
        let body = json!({ "keys": keys });
        self.post(entry, "/v1/cancel", None, &body, Duration::from_secs(1))
            .await
    }

    /// Posts any body.
    ///
    /// # Errors
    ///
    /// The connection was refused or lost, or the wait was over.
    pub async fn post(
        &self,
        entry: SocketAddr,
        path: &str,
        key: Option<&str>,
        body: &Value,
        wait: Duration,
    ) -> anyhow::Result<Response> {
        let wait = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        let wait = Millis(wait.saturating_add(PATIENCE_MS));
        let mut request = self.client.request(Method::POST, entry, path).timeout(wait);
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        Ok(read_response(request.send_json(body).await).await?.into())
    }

    /// Puts a body, as an operator.
    ///
    /// # Errors
    ///
    /// The connection was refused or lost, or the wait was over.
    pub async fn put(
        &self,
        entry: SocketAddr,
        path: &str,
        secret: &str,
        body: &Value,
    ) -> anyhow::Result<Response> {
        let request = self.client.request(Method::PUT, entry, path);
        let request = request.header("authorization", format!("Bearer {secret}"));
        Ok(read_response(request.send_json(body).await).await?.into())
    }

    /// Gets a page, with the operators' secret if there is one.
    ///
    /// # Errors
    ///
    /// The connection was refused or lost.
    pub async fn get(
        &self,
        entry: SocketAddr,
        path: &str,
        secret: Option<&str>,
    ) -> anyhow::Result<Response> {
        Ok(self.page(entry, path, secret).await?.into())
    }

    /// Gets a page that is no JSON, as an operator.
    ///
    /// # Errors
    ///
    /// The connection was refused or lost.
    pub async fn get_text(
        &self,
        entry: SocketAddr,
        path: &str,
        secret: &str,
    ) -> anyhow::Result<String> {
        Ok(self.page(entry, path, Some(secret)).await?.text)
    }

    async fn page(
        &self,
        entry: SocketAddr,
        path: &str,
        secret: Option<&str>,
    ) -> anyhow::Result<celerywinch_client::Response> {
        let mut request = self.client.request(Method::GET, entry, path);
        if let Some(secret) = secret {
            request = request.header("authorization", format!("Bearer {secret}"));
        }
        read_response(request.send().await).await
    }
}

/// A new key, with a home data centre if one is named.
#[must_use]
pub fn generate_key(home: Option<&str>) -> String {
    let id = Uuid::now_v7();
    home.map_or_else(|| id.to_string(), |home| format!("{home}:{id}"))
}

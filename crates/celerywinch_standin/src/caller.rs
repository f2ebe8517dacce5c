//! A stand-in caller.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context;
use ntex::client::{Client, Connector};
use ntex::time::{Millis, Seconds};
use serde_json::{Value, json};
use uuid::Uuid;

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
        let client = Client::builder()
            .connector::<()>(Connector::default().limit(0).keep_alive(Seconds(4)))
            .disable_redirects()
            .disable_timeout()
            .response_payload_limit(16 << 20)
            .build(ntex::SharedCfg::new("CALLER"))
            .await
            .context("caller: cannot set up")?;
        Ok(Self { client })
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
        let wait = Millis(
            u32::try_from(wait.as_millis())
                .unwrap_or(u32::MAX)
                .saturating_add(2000),
        );
        let mut request = self
            .client
            .post(format!("http://{entry}{path}"))
            .timeout(wait);
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let response = request.send_json(body).await;
        read(response).await
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
        let request = self
            .client
            .put(format!("http://{entry}{path}"))
            .header("authorization", format!("Bearer {secret}"))
            .timeout(Millis(12_000));
        read(request.send_json(body).await).await
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
        let mut request = self
            .client
            .get(format!("http://{entry}{path}"))
            .timeout(Millis(40_000));
        if let Some(secret) = secret {
            request = request.header("authorization", format!("Bearer {secret}"));
        }
        read(request.send().await).await
    }
}

async fn read(
    response: Result<ntex::client::ClientResponse, ntex::client::error::ClientError>,
) -> anyhow::Result<Response> {
    let response = response.map_err(|error| anyhow::anyhow!("caller: {error}"))?;
    let status = response.status().as_u16();
    let body = response.body().limit(16 << 20).await;
    let body = body.map_err(|error| anyhow::anyhow!("caller: {error}"))?;
    Ok(Response {
        status,
        body: serde_json::from_slice(&body).unwrap_or(Value::Null),
    })
}

/// A new key, with a home data centre if one is named.
#[must_use]
pub fn fresh_key(home: Option<&str>) -> String {
    let id = Uuid::now_v7();
    home.map_or_else(|| id.to_string(), |home| format!("{home}:{id}"))
}

//! A fake caller that also sends requests as an operator.

use std::net::SocketAddr;
use std::time::Duration;

use celerywinch_client::{Client, read_response};
use ntex::http::Method;
use ntex::time::Millis;
use serde_json::{Value, json};
use uuid::Uuid;

/// Time added to the deadline of a request before the caller gives up on the reply, in ms.
const REPLY_GRACE_MS: u32 = 2000;

/// The response to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// The body; null if it is not JSON.
    pub body: Value,
}

impl Response {
    /// Returns `answer`, `failure`, `refusal`, `undecided`, or the type of another problem.
    #[must_use]
    pub fn outcome(&self) -> &str {
        if let Some(outcome) = self.body["outcome"].as_str() {
            return outcome;
        }
        let kind = self.body["type"].as_str().unwrap_or("unknown");
        kind.rsplit(':').next().unwrap_or(kind)
    }

    /// Returns the `ran` field of the body (whether the tasks ran); empty if it is missing.
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

/// An HTTP client of entries.
#[derive(Clone)]
pub struct Caller {
    client: Client,
}

impl Caller {
    /// Creates a caller with its own connection pool. Must be called within an `ntex` system.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection pool cannot be set up.
    pub async fn new() -> anyhow::Result<Self> {
        Ok(Self {
            client: Client::new(None).await?,
        })
    }

    /// Submits a job and waits for the reply.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection was refused or lost, or if no reply came in time.
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

    /// Cancels the jobs with these keys.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection was refused or lost.
    pub async fn cancel(&self, entry: SocketAddr, keys: &[String]) -> anyhow::Result<Response> {
        let body = json!({ "keys": keys });
        self.post(entry, "/v1/cancel", None, &body, Duration::from_secs(1))
            .await
    }

    /// Sends a POST request with a JSON body; waits for the reply for `wait` and a grace period.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection was refused or lost, or if no reply came in time.
    pub async fn post(
        &self,
        entry: SocketAddr,
        path: &str,
        key: Option<&str>,
        body: &Value,
        wait: Duration,
    ) -> anyhow::Result<Response> {
        let wait = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        let wait = Millis(wait.saturating_add(REPLY_GRACE_MS));
        let mut request = self.client.request(Method::POST, entry, path).timeout(wait);
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        Ok(read_response(request.send_json(body).await).await?.into())
    }

    /// Sends a PUT request with a JSON body and the operators' secret.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection was refused or lost, or if no reply came in time.
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

    /// Sends a GET request, with the operators' secret if one is given.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection was refused or lost.
    pub async fn get(
        &self,
        entry: SocketAddr,
        path: &str,
        secret: Option<&str>,
    ) -> anyhow::Result<Response> {
        Ok(self.send_get(entry, path, secret).await?.into())
    }

    /// Sends a GET request with the operators' secret and returns the body as text.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection was refused or lost.
    pub async fn get_text(
        &self,
        entry: SocketAddr,
        path: &str,
        secret: &str,
    ) -> anyhow::Result<String> {
        Ok(self.send_get(entry, path, Some(secret)).await?.text)
    }

    async fn send_get(
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

/// Generates a new key, with a home data centre if one is given.
#[must_use]
pub fn generate_key(home: Option<&str>) -> String {
    let id = Uuid::now_v7();
    home.map_or_else(|| id.to_string(), |home| format!("{home}:{id}"))
}

//! A small HTTP client for JSON, as operators' commands and the stand-in callers use it.

use std::net::SocketAddr;

use anyhow::Context;
use ntex::client::error::ClientError;
use ntex::client::{ClientRequest, ClientResponse, Connector};
use ntex::http::Method;
use ntex::time::{Millis, Seconds};
use serde_json::Value;

/// The longest body of a response, in bytes.
const LONGEST: usize = 16 << 20;
/// How long idle connections are kept.
const KEEP_IDLE: Seconds = Seconds(4);
/// More connections than there can be. Without a limit (0) the client never wakes a request that
/// waits while another opens a connection to the same address: it would hang for ever.
const MOST_CONNECTIONS: usize = 1 << 20;
/// How long a request may take where nothing else is said.
const TIMEOUT: Millis = Millis(40_000);

/// A response.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The body; null if it is not JSON.
    pub body: Value,
    /// The body as text.
    pub text: String,
}

impl Response {
    /// The problem that the body describes, in one line.
    #[must_use]
    pub fn problem(&self) -> String {
        let title = self.body["title"].as_str().unwrap_or("no JSON");
        let detail = self.body["detail"].as_str().unwrap_or("");
        format!("{} {title}: {detail}", self.status)
    }
}

/// A client with a connection pool of its own.
#[derive(Clone)]
pub struct Client {
    client: ntex::client::Client,
    secret: Option<String>,
}

impl Client {
    /// A client; called within an `ntex` system. A secret is shown with every request.
    ///
    /// # Errors
    ///
    /// The pool cannot be set up.
    pub async fn new(secret: Option<String>) -> anyhow::Result<Self> {
        let client = ntex::client::Client::builder()
            .connector::<()>(
                Connector::default()
                    .limit(MOST_CONNECTIONS)
                    .keep_alive(KEEP_IDLE),
            )
            .disable_redirects()
            .disable_timeout()
            .response_payload_limit(LONGEST)
            .build(ntex::SharedCfg::new("CLIENT"))
            .await
            .context("client: cannot set up")?;
        Ok(Self { client, secret })
    }

    /// A request, for those who add headers.
    #[must_use]
    pub fn request(&self, method: Method, addr: SocketAddr, path: &str) -> ClientRequest {
        let request = self
            .client
            .request(method, format!("http://{addr}{path}"))
            .timeout(TIMEOUT);
        match &self.secret {
            Some(secret) => request.header("authorization", format!("Bearer {secret}")),
            None => request,
        }
    }

    /// Gets a page.
    ///
    /// # Errors
    ///
    /// The connection was refused or lost, or the wait was over.
    pub async fn get(&self, addr: SocketAddr, path: &str) -> anyhow::Result<Response> {
        read_response(self.request(Method::GET, addr, path).send().await).await
    }

    /// Puts a body.
    ///
    /// # Errors
    ///
    /// The connection was refused or lost, or the wait was over.
    pub async fn put(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &Value,
    ) -> anyhow::Result<Response> {
        read_response(self.request(Method::PUT, addr, path).send_json(body).await).await
    }
}

/// Reads a response to its end, so that its connection can be used again.
///
/// # Errors
///
/// The connection was refused or lost.
pub async fn read_response(
    response: Result<ClientResponse, ClientError>,
) -> anyhow::Result<Response> {
    let response = response.map_err(|error| anyhow::anyhow!("client: {error}"))?;
    let status = response.status().as_u16();
    let body = response.body().limit(LONGEST).await;
    let body = body.map_err(|error| anyhow::anyhow!("client: {error}"))?;
    Ok(Response {
        status,
        body: serde_json::from_slice(&body).unwrap_or(Value::Null),
        text: String::from_utf8_lossy(&body).into_owned(),
    })
}

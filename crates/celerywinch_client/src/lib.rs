//! A small HTTP client for JSON, used by the operators' commands and the stand-in callers.

use std::net::SocketAddr;

use anyhow::Context;
use ntex::client::error::ClientError;
use ntex::client::{ClientRequest, ClientResponse, Connector};
use ntex::http::Method;
use ntex::time::{Millis, Seconds};
use serde_json::Value;

/// Maximum size of the body of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// How long an idle connection is kept open.
const IDLE_TIMEOUT: Seconds = Seconds(4);
/// Maximum number of connections; more than there can be. With no limit (0) the client never wakes a request
/// that waits while another opens a connection to the same address, so the request would hang forever.
const MAX_CONNECTIONS: usize = 1 << 20;
/// Timeout of a request by default.
const REQUEST_TIMEOUT: Millis = Millis(40_000);

/// An HTTP response.
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
    /// Returns the status, title and detail of the problem that the body describes, as one line.
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
    /// Creates a client; must be called within an `ntex` system. If there is a secret, every request carries it.
    ///
    /// # Errors
    ///
    /// The connection pool cannot be created.
    pub async fn new(secret: Option<String>) -> anyhow::Result<Self> {
        let client = ntex::client::Client::builder()
            .connector::<()>(
                Connector::default()
                    .limit(MAX_CONNECTIONS)
                    .keep_alive(IDLE_TIMEOUT),
            )
            .disable_redirects()
            .disable_timeout()
            .response_payload_limit(MAX_RESPONSE_BYTES)
            .build(ntex::SharedCfg::new("CLIENT"))
            .await
            .context("client: cannot create the connection pool")?;
        Ok(Self { client, secret })
    }

    /// Creates a request, to which the caller can add headers.
    #[must_use]
    pub fn request(&self, method: Method, addr: SocketAddr, path: &str) -> ClientRequest {
        let request = self
            .client
            .request(method, format!("http://{addr}{path}"))
            .timeout(REQUEST_TIMEOUT);
        match &self.secret {
            Some(secret) => request.header("authorization", format!("Bearer {secret}")),
            None => request,
        }
    }

    /// Sends a GET request and reads the response.
    ///
    /// # Errors
    ///
    /// The connection was refused or lost, or the request timed out.
    pub async fn get(&self, addr: SocketAddr, path: &str) -> anyhow::Result<Response> {
        read_response(self.request(Method::GET, addr, path).send().await).await
    }

    /// Sends a PUT request with a JSON body and reads the response.
    ///
    /// # Errors
    ///
    /// The connection was refused or lost, or the request timed out.
    pub async fn put(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &Value,
    ) -> anyhow::Result<Response> {
        read_response(self.request(Method::PUT, addr, path).send_json(body).await).await
    }
}

/// Reads a response to its end, so that its connection can be reused.
///
/// # Errors
///
/// The connection was refused or lost.
pub async fn read_response(
    response: Result<ClientResponse, ClientError>,
) -> anyhow::Result<Response> {
    let response = response.map_err(|error| anyhow::anyhow!("client: {error}"))?;
    let status = response.status().as_u16();
    let body = response.body().limit(MAX_RESPONSE_BYTES).await;
    let body = body.map_err(|error| anyhow::anyhow!("client: {error}"))?;
    Ok(Response {
        status,
        body: serde_json::from_slice(&body).unwrap_or(Value::Null),
        text: String::from_utf8_lossy(&body).into_owned(),
    })
}

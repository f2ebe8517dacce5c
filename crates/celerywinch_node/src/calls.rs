//! Calls to endpoints over HTTP.
//!
//! The end of a call distinguishes whether the task did not run, may have run, or ran. Only a connection that
//! was never established, or a response that says so, counts as "not run".

use std::collections::{BTreeMap, HashMap};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use celerywinch_entry::{Call, CallEnd, CallId, Input};
use celerywinch_types::{Key, TaskBody};
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientResponse, Connector};
use ntex::http::StatusCode;
use ntex::time::{Millis, Seconds};
use serde::Serialize;
use tokio::sync::mpsc::UnboundedSender;

use crate::metrics::Metrics;
use crate::shared::CoreMsg;

/// The response header with which an endpoint reports that it did not run a task.
pub(crate) const RAN_HEADER: &str = "celerywinch-ran";
/// How long an idle connection is kept open; endpoints must keep theirs longer, see the protocol page.
///
/// If an endpoint closes an idle connection just as a task is sent on it, the task counts as lost and its job
/// fails needlessly.
const IDLE_TIMEOUT: Seconds = Seconds(5);
/// Maximum number of connections; more than there can be. With no limit (0) the client never wakes a request
/// that waits while another opens a connection to the same endpoint, so the call would hang forever.
const MAX_CONNECTIONS: usize = 1 << 20;
/// How long after its deadline a call may still end, so that its slot is not reused too early.
const DEADLINE_GRACE: Duration = Duration::from_millis(250);
/// Maximum size of a task's result, in bytes.
const MAX_RESULT_BYTES: usize = 4 << 20;
/// Timeout for a request that cancels calls.
const CANCEL_TIMEOUT: Millis = Millis(1000);

/// The calls in flight.
pub(crate) struct Calls {
    client: Rc<Client>,
    core: UnboundedSender<CoreMsg>,
    metrics: Metrics,
    in_flight: HashMap<CallId, (SocketAddr, Key, u32)>,
    pending_aborts: BTreeMap<SocketAddr, Vec<CancelledTask>>,
}

/// A cancelled task in the body of a request to its endpoint.
#[derive(Debug, Serialize)]
struct CancelledTask {
    key: Key,
    task: u32,
}

impl Calls {
    pub(crate) async fn new(core: UnboundedSender<CoreMsg>, metrics: Metrics) -> Self {
        let client = Client::builder()
            .connector::<()>(
                Connector::default()
                    .limit(MAX_CONNECTIONS)
                    .keep_alive(IDLE_TIMEOUT),
            )
            // A redirect would send a task a second time.
            .disable_redirects()
            .disable_timeout()
            .response_payload_limit(MAX_RESULT_BYTES)
            .build(ntex::SharedCfg::new("ENDPOINTS"))
            .await
            .unwrap_or_else(|error| unreachable!("the connector has no options: {error}"));
        Self {
            client: Rc::new(client),
            core,
            metrics,
            in_flight: HashMap::new(),
            pending_aborts: BTreeMap::new(),
        }
    }

    /// Sends a task, only once, and reports the end of the call to the core.
    pub(crate) fn start(&mut self, call: Call) {
        self.metrics.endpoint_calls.inc();
        let target = (call.addr, call.key.clone(), call.index);
        self.in_flight.insert(call.id, target);
        let (client, core) = (self.client.clone(), self.core.clone());
        ntex::rt::spawn(async move {
            let id = call.id;
            let limit = call.remaining + DEADLINE_GRACE * 2;
            // The client's own timeout starts only when the connection is open.
            let end = tokio::time::timeout(limit, send_task(&client, call)).await;
            let end = end.unwrap_or_else(|_| CallEnd::Lost("no reply in time".into()));
            let _ = core.send(CoreMsg::Input(Input::CallEnded(id, end)));
        });
    }

    /// Queues the cancellation of a call; [`Self::send_aborts`] sends them in batches.
    pub(crate) fn abort(&mut self, id: CallId) {
        if let Some((addr, key, task)) = self.in_flight.remove(&id) {
            self.pending_aborts
                .entry(addr)
                .or_default()
                .push(CancelledTask { key, task });
        }
    }

    /// Removes a call that ended.
    pub(crate) fn remove(&mut self, id: CallId) {
        self.in_flight.remove(&id);
    }

    /// Sends every endpoint one request with all its cancelled calls.
    pub(crate) fn send_aborts(&mut self) {
        for (addr, cancelled) in std::mem::take(&mut self.pending_aborts) {
            let client = self.client.clone();
            ntex::rt::spawn(async move {
                let request = client.post(format!("http://{addr}/v1/cancel"));
                let sent = request.timeout(CANCEL_TIMEOUT).send_json(&cancelled).await;
                // The body is read so that the connection can be reused.
                if let Ok(response) = sent {
                    let _ = response.body().await;
                }
            });
        }
    }
}

async fn send_task(client: &Client, call: Call) -> CallEnd {
    let limit = call.remaining + DEADLINE_GRACE;
    let millis = u32::try_from(limit.as_millis()).unwrap_or(u32::MAX);
    let request = client
        .post(format!("http://{}/v1/run", call.addr))
        .header("content-type", "application/json")
        .header("celerywinch-key", call.key.as_str())
        .header("celerywinch-task", call.index.to_string())
        .header("celerywinch-kind", call.kind.as_ref())
        .header(
            "celerywinch-remaining-ms",
            call.remaining.as_millis().to_string(),
        )
        .timeout(Millis(millis));
    match request.send_body(call.body.0.to_string()).await {
        Ok(response) => read_response(response).await,
        Err(error) => classify_error(&error),
    }
}

async fn read_response(response: ClientResponse) -> CallEnd {
    let status = response.status();
    let not_run = response
        .header(RAN_HEADER)
        .is_some_and(|value| value.as_bytes() == b"no");
    let body = match response.body().await {
        Ok(body) => body,
        Err(error) if status == StatusCode::OK => {
            return CallEnd::Lost(format!("reading the result: {error}"));
        }
        Err(_) => ntex::util::Bytes::new(),
    };
    let text = String::from_utf8_lossy(&body).into_owned();
    if not_run {
        return CallEnd::NotRun {
            refused: true,
            detail: text,
        };
    }
    if status != StatusCode::OK {
        return CallEnd::TaskFailed {
            task_fault: status.is_client_error(),
            detail: format!("status {}: {text}", status.as_u16()),
        };
    }
    if serde_json::from_str::<serde::de::IgnoredAny>(&text).is_err() {
        return CallEnd::TaskFailed {
            task_fault: false,
            detail: "the result is not JSON".into(),
        };
    }
    CallEnd::Done(TaskBody(text.into()))
}

/// Returns the end of a call that failed with `error`: whether the task cannot have run or may have run.
///
/// The client reports a connection that was lost after the request was written with the same kind of error as
/// one that was never established. Only errors that an established connection cannot give count as "not run":
/// otherwise a task that ran could be sent to a second endpoint.
fn classify_error(error: &ClientError) -> CallEnd {
    let never_connected = match error {
        ClientError::Connect(ConnectError::Disconnected(Some(cause))) => {
            cause.kind() == ErrorKind::ConnectionRefused
        }
        ClientError::Connect(
            ConnectError::Timeout | ConnectError::Resolver(_) | ConnectError::NoRecords,
        )
        | ClientError::Url(_) => true,
        _ => false,
    };
    let detail = error.to_string();
    if never_connected {
        return CallEnd::NotRun {
            refused: false,
            detail,
        };
    }
    CallEnd::Lost(detail)
}

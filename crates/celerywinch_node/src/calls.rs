//! Calls to endpoints over HTTP.
//!
//! The one matter here is to tell apart what did not run, what may have run, and what ran. Only a
//! connection that was never made, and the endpoint's own word, count as "not run".

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

/// The header by which an endpoint says that it did not run a task.
pub(crate) const RAN_HEADER: &str = "celerywinch-ran";
/// How long an idle connection is kept; endpoints must keep theirs longer, see the protocol page.
///
/// If an endpoint closed an idle connection just as a task is sent on it, the task would count as
/// lost, and its job would fail for nothing.
const KEEP_IDLE: Seconds = Seconds(5);
/// More connections than there can be. Without a limit (0) the client never wakes a request that
/// waits while another opens a connection to the same endpoint: the call would hang for ever.
const MOST_CONNECTIONS: usize = 1 << 20;
/// How long past its deadline a call is waited for, so that its slot is not used too early.
const GRACE: Duration = Duration::from_millis(250);
/// The longest result of a task, in bytes.
const LONGEST_RESULT: usize = 4 << 20;
/// How long a message about cancelled calls may take.
const CANCEL_TIMEOUT: Millis = Millis(1000);

/// The calls under way.
pub(crate) struct Calls {
    client: Rc<Client>,
    core: UnboundedSender<CoreMsg>,
    metrics: Metrics,
    open: HashMap<CallId, (SocketAddr, Key, u32)>,
    aborts: BTreeMap<SocketAddr, Vec<Cancelled>>,
}

/// One cancelled task, as endpoints are told.
#[derive(Debug, Serialize)]
struct Cancelled {
    key: Key,
    task: u32,
}

impl Calls {
    pub(crate) async fn new(core: UnboundedSender<CoreMsg>, metrics: Metrics) -> Self {
        let client = Client::builder()
            .connector::<()>(
                Connector::default()
                    .limit(MOST_CONNECTIONS)
                    .keep_alive(KEEP_IDLE),
            )
            // A redirect would send a task a second time.
            .disable_redirects()
            .disable_timeout()
            .response_payload_limit(LONGEST_RESULT)
            .build(ntex::SharedCfg::new("ENDPOINTS"))
            .await
            .unwrap_or_else(|error| unreachable!("the connector has no options: {error}"));
        Self {
            client: Rc::new(client),
            core,
            metrics,
            open: HashMap::new(),
            aborts: BTreeMap::new(),
        }
    }

    /// Sends a task, once, and reports its end to the core.
    pub(crate) fn start(&mut self, call: Call) {
        self.metrics.endpoint_calls.inc();
        let entry = (call.addr, call.key.clone(), call.index);
        self.open.insert(call.id, entry);
        let (client, core) = (self.client.clone(), self.core.clone());
        ntex::rt::spawn(async move {
            let id = call.id;
            let limit = call.remaining + GRACE * 2;
            // The client's own limit begins only when the connection is open.
            let end = tokio::time::timeout(limit, run(&client, call)).await;
            let end = end.unwrap_or_else(|_| CallEnd::Lost("no reply in time".into()));
            let _ = core.send(CoreMsg::Input(Input::CallEnded(id, end)));
        });
    }

    /// Notes a cancelled call; endpoints are told in batches by [`Self::flush_aborts`].
    pub(crate) fn abort(&mut self, id: CallId) {
        if let Some((addr, key, task)) = self.open.remove(&id) {
            self.aborts
                .entry(addr)
                .or_default()
                .push(Cancelled { key, task });
        }
    }

    /// Forgets a call that ended.
    pub(crate) fn ended(&mut self, id: CallId) {
        self.open.remove(&id);
    }

    /// Tells every endpoint in one message which of its calls are cancelled.
    pub(crate) fn flush_aborts(&mut self) {
        for (addr, cancelled) in std::mem::take(&mut self.aborts) {
            let client = self.client.clone();
            ntex::rt::spawn(async move {
                let request = client.post(format!("http://{addr}/v1/cancel"));
                let sent = request.timeout(CANCEL_TIMEOUT).send_json(&cancelled).await;
                // The body is read so that the connection can be used again.
                if let Ok(response) = sent {
                    let _ = response.body().await;
                }
            });
        }
    }
}

async fn run(client: &Client, call: Call) -> CallEnd {
    let limit = call.remaining + GRACE;
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
        Ok(response) => read(response).await,
        Err(error) => lost(&error),
    }
}

async fn read(response: ClientResponse) -> CallEnd {
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

/// What an error says about whether the task ran.
///
/// The client reports a connection lost after the request was written as the same kind of error as
/// one that was never made. Only errors that an established connection cannot give count as not
/// run; with any other, a task that ran would be sent to a second endpoint.
fn lost(error: &ClientError) -> CallEnd {
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

//! The sending side of links.

use std::cell::Cell;
use std::io::ErrorKind;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use bytes::BytesMut;
use celerywinch_types::InstanceId;
use h2::client::{Connection, SendRequest};
use h2::{Ping, PingPong, SendStream};
use http::{Method, Request, Response};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::mpsc::error::TryRecvError;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{sleep, timeout};

use crate::{
    Host, INCARNATION_HEADER, INSTANCE_HEADER, LinkCommand, LinkConfig, LinkEvent, Message,
    SECRET_HEADER, TICKET_HEADER, Ticket, frame,
};

/// Time limit for connecting. A machine that is off or cut off answers nothing, and the kernel sends the SYN
/// again only after 1 s: an attempt that began before the machine is back has to be abandoned, or the peer is
/// found up to 1 s later than possible. Connecting takes 10 ms between data centres, and tens of ms on a
/// small machine that is busy.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit for the peer to accept a stream on a connection. Its machine has answered, so it is only busy;
/// if many processes start at once and none has time for all others, starting over only adds to the load.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay between two attempts to connect.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Minimum interval of pings on a link in use.
const MIN_PING_INTERVAL: Duration = Duration::from_millis(300);
/// The interval is also at least this time multiplied by the number of links of the process. With 150 links, a
/// third of them in use, that gives 70 pings a second and their answers, a tenth of the process's heartbeats.
const PING_INTERVAL_PER_LINK: Duration = Duration::from_millis(5);
/// A connection is replaced if a ping is not answered within this time.
const PING_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum number of messages in one write.
const MAX_BATCH: usize = 256;

/// The sending side of the link to one instance.
pub(super) struct Link<M, H> {
    host: H,
    config: LinkConfig,
    peer: InstanceId,
    addr: SocketAddr,
    /// The number of links of the process.
    link_count: Rc<Cell<u32>>,
    /// Why the last attempt to connect failed; empty after a successful one.
    failure: String,
    messages: PhantomData<M>,
}

/// A stream on a connection on which the peer has answered a ping.
struct OpenStream {
    stream: SendStream<bytes::Bytes>,
    broken: UnboundedReceiver<()>,
    /// Notified of each write.
    activity: Rc<Notify>,
}

impl<M: Message, H: Host<M>> Link<M, H> {
    pub(super) fn new(
        host: H,
        config: LinkConfig,
        count: Rc<Cell<u32>>,
        peer: InstanceId,
        addr: SocketAddr,
    ) -> Self {
        Self {
            host,
            config,
            peer,
            addr,
            link_count: count,
            failure: String::new(),
            messages: PhantomData,
        }
    }

    /// Keeps a connection open and sends the queued messages on it.
    pub(super) async fn run(mut self, mut inbox: UnboundedReceiver<LinkCommand<M>>) {
        loop {
            match self.open().await {
                Ok(open) => {
                    self.failure.clear();
                    if !drop_queued(&mut inbox) {
                        return;
                    }
                    self.event(LinkEvent::Opened);
                    let opened = Instant::now();
                    match self.send_messages(open, &mut inbox).await {
                        Ok(()) => return,
                        Err(error) => {
                            log::info!("link: Lost the link to {}: {error:#}.", self.peer);
                            self.event(LinkEvent::Lost);
                            // Without a delay, a peer that accepts and closes at once would cause a busy loop of attempts.
                            if opened.elapsed() < RETRY_DELAY
                                && !self.wait_before_retry(&mut inbox).await
                            {
                                return;
                            }
                        }
                    }
                }
                Err(error) => {
                    self.log_failure(&error);
                    self.report_refusal(&error);
                    if !self.wait_before_retry(&mut inbox).await {
                        return;
                    }
                }
            }
        }
    }

    /// Logs why the link cannot be opened, once for a series of equal reasons, as attempts are repeated
    /// without limit.
    fn log_failure(&mut self, error: &anyhow::Error) {
        let failure = format!("{error:#}");
        if failure != self.failure {
            log::info!("link: Cannot open the link to {}: {failure}.", self.peer);
            self.failure = failure;
        }
    }

    /// Reports a refused connection, which shows that the process is gone; any other error may be due to the
    /// network.
    fn report_refusal(&self, error: &anyhow::Error) {
        let cause = error.downcast_ref::<std::io::Error>();
        if cause.is_some_and(|cause| cause.kind() == ErrorKind::ConnectionRefused) {
            self.event(LinkEvent::Refused);
        }
    }

    async fn wait_before_retry(&self, inbox: &mut UnboundedReceiver<LinkCommand<M>>) -> bool {
        sleep(RETRY_DELAY).await;
        drop_queued(inbox)
    }

    async fn open(&self) -> anyhow::Result<OpenStream> {
        let socket = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr)).await;
        let socket = socket.context("link: connecting timed out")??;
        let open = timeout(ACCEPT_TIMEOUT, self.open_stream(socket)).await;
        open.context("link: opening a stream timed out")?
    }

    async fn open_stream(&self, socket: TcpStream) -> anyhow::Result<OpenStream> {
        socket.set_nodelay(true)?;
        let (sender, mut connection) = h2::client::Builder::new()
            .initial_window_size(self.config.window)
            .initial_connection_window_size(self.config.window)
            .handshake(socket)
            .await
            .context("link: the HTTP/2 handshake failed")?;
        let ping = connection
            .ping_pong()
            .context("link: the connection has no ping handle")?;
        let (broken_tx, broken) = unbounded_channel();
        ntex::rt::spawn(drive_connection(connection, broken_tx.clone()));
        let stream = self.request(sender).await?;
        // The handshake alone does not show that the peer is alive: a relay may accept for a suspended
        // process.
        let mut ping = ping;
        ping.ping(Ping::opaque()).await?;
        let activity = Rc::new(Notify::new());
        let links = self.link_count.get();
        ntex::rt::spawn(monitor(ping, links, activity.clone(), broken_tx));
        Ok(OpenStream {
            stream,
            broken,
            activity,
        })
    }

    async fn request(
        &self,
        mut sender: SendRequest<bytes::Bytes>,
    ) -> anyhow::Result<SendStream<bytes::Bytes>> {
        let me = self.config.me;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}/peer", self.addr))
            .header(SECRET_HEADER, &self.config.secret)
            .header(INSTANCE_HEADER, me.instance.0)
            .header(INCARNATION_HEADER, me.incarnation.0)
            .body(())?;
        std::future::poll_fn(|cx| sender.poll_ready(cx)).await?;
        let (response, mut stream) = sender.send_request(request, false)?;
        let response = response.await?;
        let status = response.status();
        if !status.is_success() {
            bail!("link: the peer answered {status}; do both processes use the same secret?");
        }
        let ticket = ticket(&response).context("link: the peer's response has no valid ticket")?;
        let mut buffer = BytesMut::new();
        frame::encode_ticket(&mut buffer, ticket);
        stream.send_data(buffer.freeze(), false)?;
        Ok(stream)
    }

    /// Sends messages until the connection breaks, or until the process ends (`Ok`).
    async fn send_messages(
        &self,
        mut open: OpenStream,
        inbox: &mut UnboundedReceiver<LinkCommand<M>>,
    ) -> anyhow::Result<()> {
        let mut buffer = BytesMut::new();
        loop {
            tokio::select! {
                msg = inbox.recv() => {
                    let Some(msg) = msg else {
                        return Ok(());
                    };
                    let mut probe = self.encode(&mut buffer, msg)?;
                    for _ in 1..MAX_BATCH {
                        let Ok(msg) = inbox.try_recv() else {
                            break;
                        };
                        probe |= self.encode(&mut buffer, msg)?;
                    }
                    self.flush(&mut open, &mut buffer)?;
                    if probe {
                        open = self.replace(open, inbox).await?;
                    }
                }
                _ = open.broken.recv() => bail!("connection closed, or ping not answered"),
            }
        }
    }

    /// Encodes a message; returns true for a command to probe the connection.
    fn encode(&self, buffer: &mut BytesMut, msg: LinkCommand<M>) -> anyhow::Result<bool> {
        match msg {
            LinkCommand::Probe => Ok(true),
            LinkCommand::Send(msg) => {
                let before = buffer.len();
                frame::encode(buffer, self.host.stamp(), &msg)?;
                self.host.sent(&msg, buffer.len() - before);
                Ok(false)
            }
        }
    }

    fn flush(&self, open: &mut OpenStream, buffer: &mut BytesMut) -> anyhow::Result<()> {
        if buffer.is_empty() {
            return Ok(());
        }
        let data = buffer.split().freeze();
        open.activity.notify_one();
        open.stream
            .send_data(data, false)
            .context("link: cannot send on the stream")
    }

    /// Opens a new connection while the old one is silent, and switches to it if it answers.
    async fn replace(
        &self,
        old: OpenStream,
        inbox: &mut UnboundedReceiver<LinkCommand<M>>,
    ) -> anyhow::Result<OpenStream> {
        match self.open().await {
            Ok(new) => {
                drop_queued(inbox);
                self.event(LinkEvent::Replaced);
                Ok(new)
            }
            Err(error) => {
                self.report_refusal(&error);
                Ok(old)
            }
        }
    }

    fn event(&self, event: LinkEvent) {
        self.host.event(self.peer, event);
    }
}

/// Drops the messages queued while a connection was being opened or retried; returns false if the queue is
/// closed. Peers send their state again after `Opened` or `Replaced`. If a queued request and its
/// cancellation were delivered together, the peer could run the request although the sender had already
/// reassigned it to another peer.
fn drop_queued<M>(inbox: &mut UnboundedReceiver<LinkCommand<M>>) -> bool {
    loop {
        match inbox.try_recv() {
            Ok(_) => {}
            Err(TryRecvError::Empty) => return true,
            Err(TryRecvError::Disconnected) => return false,
        }
    }
}

/// Returns the ticket that the stream has to begin with.
fn ticket<T>(response: &Response<T>) -> Option<Ticket> {
    let value = response.headers().get(TICKET_HEADER)?;
    value.to_str().ok()?.parse().ok().map(Ticket)
}

async fn drive_connection(
    connection: Connection<TcpStream, bytes::Bytes>,
    broken: UnboundedSender<()>,
) {
    let _ = connection.await;
    let _ = broken.send(());
}

/// Sends pings until one is not answered. The kernel may take minutes to report a connection that a device
/// between the two ends has dropped; until then all that is sent on it is lost. If nothing was sent since the
/// last ping, nothing can be lost: of a process's 151 links a tenth are in constant use, and pings on the
/// others would be 500 a second, with as many answers.
async fn monitor(
    mut ping: PingPong,
    links: u32,
    activity: Rc<Notify>,
    broken: UnboundedSender<()>,
) {
    let interval = MIN_PING_INTERVAL.max(PING_INTERVAL_PER_LINK * links);
    loop {
        activity.notified().await;
        sleep(interval).await;
        match timeout(PING_TIMEOUT, ping.ping(Ping::opaque())).await {
            Ok(Ok(_)) if !broken.is_closed() => {}
            _ => {
                let _ = broken.send(());
                return;
            }
        }
    }
}

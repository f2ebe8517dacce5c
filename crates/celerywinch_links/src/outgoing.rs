//! The sending side of a link.

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
    Host, INCARNATION_HEADER, INSTANCE_HEADER, LinkConfig, LinkEvent, LinkMsg, Message,
    SECRET_HEADER, TICKET_HEADER, Ticket, frame,
};

/// How long connecting may take. A machine without power, or behind a cut, answers nothing, and
/// the system sends the opening packet again only after 1 s: what was begun before the machine is
/// back must be given up, or a peer is found up to that time later than it could be. Connecting
/// takes 10 ms between data centres, and tens of ms on a small machine that is busy.
const CONNECT: Duration = Duration::from_millis(300);
/// How long the peer may take to accept a stream on a connection. Its machine has answered, so it is busy; where many processes
/// start at once and none has time for all, to begin anew only adds to that.
const ACCEPT: Duration = Duration::from_secs(1);
/// Between two attempts.
const PAUSE: Duration = Duration::from_millis(100);
/// Between two pings on a link in use, at least, ...
const PING_EVERY: Duration = Duration::from_millis(300);
/// ... and so much for each link of the process: with 150 links and a third of them in use, 70 pings a second and their
/// answers, a tenth of its heartbeats.
const PING_SHARE: Duration = Duration::from_millis(5);
/// A connection whose ping is not answered for this long is replaced.
const PING_TIMEOUT: Duration = Duration::from_millis(700);
/// The most messages in one piece.
const BATCH: usize = 256;

/// The sending side of the link to one instance.
pub(super) struct Link<M, H> {
    host: H,
    config: LinkConfig,
    peer: InstanceId,
    addr: SocketAddr,
    /// How many links the process has.
    count: Rc<Cell<u32>>,
    /// Why the last attempt to open the link failed; empty after one that succeeded.
    failure: String,
    messages: PhantomData<M>,
}

/// A connection that answered a ping.
struct Open {
    stream: SendStream<bytes::Bytes>,
    broken: UnboundedReceiver<()>,
    /// Told of each piece that is sent.
    used: Rc<Notify>,
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
            count,
            failure: String::new(),
            messages: PhantomData,
        }
    }

    /// Keeps a connection open and sends what comes.
    pub(super) async fn run(mut self, mut inbox: UnboundedReceiver<LinkMsg<M>>) {
        loop {
            match self.open().await {
                Ok(open) => {
                    self.failure.clear();
                    if !drop_queued(&mut inbox) {
                        return;
                    }
                    self.event(LinkEvent::Opened);
                    let opened = Instant::now();
                    match self.pump(open, &mut inbox).await {
                        Ok(()) => return,
                        Err(error) => {
                            log::info!("link: Lost the link to {}: {error:#}.", self.peer);
                            self.event(LinkEvent::Lost);
                            // A peer that accepts and closes would be called without end.
                            if opened.elapsed() < PAUSE && !self.pause(&mut inbox).await {
                                return;
                            }
                        }
                    }
                }
                Err(error) => {
                    self.log_failure(&error);
                    self.report(&error);
                    if !self.pause(&mut inbox).await {
                        return;
                    }
                }
            }
        }
    }

    /// Logs why the link cannot be opened, once for each reason in a row: attempts are repeated without end.
    fn log_failure(&mut self, error: &anyhow::Error) {
        let failure = format!("{error:#}");
        if failure != self.failure {
            log::info!("link: Cannot open the link to {}: {failure}.", self.peer);
            self.failure = failure;
        }
    }

    /// A refused connection shows that the process is gone; anything else may be the network.
    fn report(&self, error: &anyhow::Error) {
        let cause = error.downcast_ref::<std::io::Error>();
        if cause.is_some_and(|cause| cause.kind() == ErrorKind::ConnectionRefused) {
            self.event(LinkEvent::Refused);
        }
    }

    async fn pause(&self, inbox: &mut UnboundedReceiver<LinkMsg<M>>) -> bool {
        sleep(PAUSE).await;
        drop_queued(inbox)
    }

    async fn open(&self) -> anyhow::Result<Open> {
        let socket = timeout(CONNECT, TcpStream::connect(self.addr)).await;
        let socket = socket.context("link: no connection in time")??;
        let open = timeout(ACCEPT, self.open_stream(socket)).await;
        open.context("link: no stream in time")?
    }

    async fn open_stream(&self, socket: TcpStream) -> anyhow::Result<Open> {
        socket.set_nodelay(true)?;
        let (sender, mut connection) = h2::client::Builder::new()
            .initial_window_size(self.config.window)
            .initial_connection_window_size(self.config.window)
            .handshake(socket)
            .await
            .context("link: the HTTP/2 handshake failed")?;
        let ping = connection.ping_pong().context("link: no ping")?;
        let (broken_tx, broken) = unbounded_channel();
        ntex::rt::spawn(drive(connection, broken_tx.clone()));
        let stream = self.request(sender).await?;
        // The handshake alone proves nothing: a relay may accept for a process that is frozen.
        let mut ping = ping;
        ping.ping(Ping::opaque()).await?;
        let used = Rc::new(Notify::new());
        let links = self.count.get();
        ntex::rt::spawn(watch(ping, links, used.clone(), broken_tx));
        Ok(Open {
            stream,
            broken,
            used,
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
            bail!("link: the peer answers {status}; do both use the same secret?");
        }
        let ticket = ticket(&response).context("link: the peer's answer has no ticket")?;
        let mut buffer = BytesMut::new();
        frame::encode_ticket(&mut buffer, ticket);
        stream.send_data(buffer.freeze(), false)?;
        Ok(stream)
    }

    /// Sends until the connection breaks, or the process ends (`Ok`).
    async fn pump(
        &self,
        mut open: Open,
        inbox: &mut UnboundedReceiver<LinkMsg<M>>,
    ) -> anyhow::Result<()> {
        let mut buffer = BytesMut::new();
        loop {
            tokio::select! {
                msg = inbox.recv() => {
                    let Some(msg) = msg else {
                        return Ok(());
                    };
                    let mut probe = self.add(&mut buffer, msg)?;
                    for _ in 1..BATCH {
                        let Ok(msg) = inbox.try_recv() else {
                            break;
                        };
                        probe |= self.add(&mut buffer, msg)?;
                    }
                    self.flush(&mut open, &mut buffer)?;
                    if probe {
                        open = self.replace(open, inbox).await?;
                    }
                }
                _ = open.broken.recv() => bail!("no answer to a ping, or closed"),
            }
        }
    }

    /// Encodes a message; tells whether it asks for a probe.
    fn add(&self, buffer: &mut BytesMut, msg: LinkMsg<M>) -> anyhow::Result<bool> {
        match msg {
            LinkMsg::Probe => Ok(true),
            LinkMsg::Send(msg) => {
                let before = buffer.len();
                frame::encode(buffer, self.host.stamp(), &msg)?;
                self.host.sent(&msg, buffer.len() - before);
                Ok(false)
            }
        }
    }

    fn flush(&self, open: &mut Open, buffer: &mut BytesMut) -> anyhow::Result<()> {
        if buffer.is_empty() {
            return Ok(());
        }
        let data = buffer.split().freeze();
        open.used.notify_one();
        open.stream
            .send_data(data, false)
            .context("link: cannot send")
    }

    /// Opens a new connection while the old one is silent, and uses it if it answers.
    async fn replace(
        &self,
        old: Open,
        inbox: &mut UnboundedReceiver<LinkMsg<M>>,
    ) -> anyhow::Result<Open> {
        match self.open().await {
            Ok(new) => {
                drop_queued(inbox);
                self.event(LinkEvent::Replaced);
                Ok(new)
            }
            Err(error) => {
                self.report(&error);
                Ok(old)
            }
        }
    }

    fn event(&self, event: LinkEvent) {
        self.host.event(self.peer, event);
    }
}

/// Drops the messages queued while a connection was being opened or retried; returns false if the queue is closed.
/// Peers send their state again after `Opened` or `Replaced`. If a queued request and its cancellation were delivered
/// together, the peer could run the request although the sender had already reassigned it to another peer.
fn drop_queued<M>(inbox: &mut UnboundedReceiver<LinkMsg<M>>) -> bool {
    loop {
        match inbox.try_recv() {
            Ok(_) => {}
            Err(TryRecvError::Empty) => return true,
            Err(TryRecvError::Disconnected) => return false,
        }
    }
}

/// The ticket that a stream has to begin with.
fn ticket<T>(response: &Response<T>) -> Option<Ticket> {
    let value = response.headers().get(TICKET_HEADER)?;
    value.to_str().ok()?.parse().ok().map(Ticket)
}

async fn drive(connection: Connection<TcpStream, bytes::Bytes>, broken: UnboundedSender<()>) {
    let _ = connection.await;
    let _ = broken.send(());
}

/// Pings until no answer comes. The kernel may take minutes to report a connection that something
/// between the two ends has lost track of; until then all that is sent on it disappears. Where nothing was sent
/// since the last ping nothing can have: of 151 links of a process a tenth are in constant use, and pings on the
/// others would be 500 a second, and as many answers.
async fn watch(mut ping: PingPong, links: u32, used: Rc<Notify>, broken: UnboundedSender<()>) {
    let every = PING_EVERY.max(PING_SHARE * links);
    loop {
        used.notified().await;
        sleep(every).await;
        match timeout(PING_TIMEOUT, ping.ping(Ping::opaque())).await {
            Ok(Ok(_)) if !broken.is_closed() => {}
            _ => {
                let _ = broken.send(());
                return;
            }
        }
    }
}

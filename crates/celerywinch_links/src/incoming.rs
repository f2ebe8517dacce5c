//! The receiving side of links.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, bail, ensure};
use bytes::BytesMut;
use celerywinch_admission::{CloseReason, ConnectionKey};
use celerywinch_types::{Incarnation, InstanceId, Process};
use h2::RecvStream;
use h2::server::SendResponse;
use http::{HeaderMap, Request, Response, StatusCode};
use subtle::ConstantTimeEq;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::unidentified::Unidentified;
use crate::{
    Host, INCARNATION_HEADER, INSTANCE_HEADER, LatestStreams, LinkConfig, Message, SECRET_HEADER,
    TICKET_HEADER, Ticket, frame,
};

/// The time within which the sender of a connection has to be identified. Longer than a peer waits for its response.
const IDENTIFY_TIMEOUT: Duration = Duration::from_secs(10);
/// The largest size of the head of a request, in bytes.
const MAX_HEAD_BYTES: u32 = 8 << 10;
/// The largest number of open streams of a connection. A link uses one.
const MAX_STREAMS: u32 = 8;

/// The HTTP/2 connection of a link.
type Http2 = h2::server::Connection<TcpStream, bytes::Bytes>;

/// The latest streams of all instances; all links of a process run on one thread.
type Streams = Rc<RefCell<LatestStreams>>;

/// The sender of a stream, and the stream's ticket.
#[derive(Clone, Copy, Debug)]
struct Sender {
    process: Process,
    ticket: Ticket,
}

/// Accepts links until the process ends. Has to be called on the core thread.
pub async fn listen<M: Message, H: Host<M>>(listener: TcpListener, host: H, config: LinkConfig) {
    let unidentified = Rc::new(Unidentified::new(config.limits.clone()));
    let streams = Streams::default();
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let (admitted, closed) = unidentified.open();
                if closed > 0 {
                    (0..closed).for_each(|_| host.closed(CloseReason::Connections));
                    // Their tasks release the descriptors.
                    tokio::task::yield_now().await;
                }
                let Some(admitted) = admitted else {
                    continue;
                };
                let incoming = Incoming {
                    host: host.clone(),
                    config: config.clone(),
                    streams: streams.clone(),
                    unidentified: unidentified.clone(),
                    key: admitted.key,
                };
                ntex::rt::spawn(async move {
                    if let Err(error) = incoming.run(socket, admitted.closed).await {
                        log::debug!("link: Incoming connection ended: {error:#}.");
                    }
                });
            }
            Err(error) => {
                log::warn!("link: Cannot accept a connection: {error}.");
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}

/// An incoming connection.
struct Incoming<H> {
    host: H,
    config: LinkConfig,
    streams: Streams,
    unidentified: Rc<Unidentified>,
    key: ConnectionKey,
}

impl<H> Drop for Incoming<H> {
    fn drop(&mut self) {
        self.unidentified.release(self.key);
    }
}

impl<H> Incoming<H> {
    /// Serves a connection. Until its sender is identified, it ends when it takes too long or `closed` completes.
    async fn run<M: Message>(
        self,
        socket: TcpStream,
        closed: oneshot::Receiver<()>,
    ) -> anyhow::Result<()>
    where
        H: Host<M>,
    {
        let identified = tokio::select! {
            identified = timeout(IDENTIFY_TIMEOUT, self.identify_sender(socket)) => identified,
            _ = closed => bail!("link: closed, as others wait to be identified"),
        };
        let Ok(identified) = identified else {
            self.reject(CloseReason::Head);
            bail!("link: the sender was not identified in time");
        };
        let mut connection = identified?;
        self.unidentified.release(self.key);
        while let Some(accepted) = connection.accept().await {
            let (request, respond) = accepted?;
            match identify(&request, &self.config) {
                Some(process) => self.receive_stream(process, request, respond)?,
                None => reject_request(respond)?,
            }
        }
        Ok(())
    }

    /// Reads the first request of a connection, and begins to receive its stream.
    async fn identify_sender<M: Message>(&self, socket: TcpStream) -> anyhow::Result<Http2>
    where
        H: Host<M>,
    {
        socket.set_nodelay(true)?;
        let mut connection: Http2 = h2::server::Builder::new()
            .initial_window_size(self.config.window)
            .initial_connection_window_size(self.config.window)
            .max_header_list_size(MAX_HEAD_BYTES)
            .max_concurrent_streams(MAX_STREAMS)
            .handshake(socket)
            .await
            .context("link: the HTTP/2 handshake failed")?;
        let accepted = connection.accept().await;
        let (request, respond) = accepted.context("link: the connection has no request")??;
        let Some(process) = identify(&request, &self.config) else {
            reject_request(respond)?;
            connection.graceful_shutdown();
            // Sends the response. Further requests are not accepted.
            while let Some(accepted) = connection.accept().await {
                accepted?;
            }
            bail!("link: the sender presents another secret");
        };
        self.receive_stream(process, request, respond)?;
        Ok(connection)
    }

    fn receive_stream<M: Message>(
        &self,
        process: Process,
        request: Request<RecvStream>,
        mut respond: SendResponse<bytes::Bytes>,
    ) -> anyhow::Result<()>
    where
        H: Host<M>,
    {
        let ticket = self.streams.borrow_mut().issue();
        let response = Response::builder().header(TICKET_HEADER, ticket.0);
        let keep = respond.send_response(response.body(())?, false)?;
        let (host, streams) = (self.host.clone(), self.streams.clone());
        ntex::rt::spawn(async move {
            // Dropping the response would reset the stream.
            let _keep = keep;
            let from = Sender { process, ticket };
            if let Err(error) = receive(request.into_body(), from, &host, &streams).await {
                let peer = process.instance;
                log::debug!("link: Stream from {peer} ended: {error:#}.");
            }
        });
        Ok(())
    }

    fn reject<M: Message>(&self, reason: CloseReason)
    where
        H: Host<M>,
    {
        self.unidentified.count_closed(reason);
        self.host.closed(reason);
    }
}

fn reject_request(mut respond: SendResponse<bytes::Bytes>) -> anyhow::Result<()> {
    let response = Response::builder().status(StatusCode::UNAUTHORIZED);
    respond.send_response(response.body(())?, true)?;
    Ok(())
}

/// Returns the sender of a request if it presents the right secret.
fn identify(request: &Request<RecvStream>, config: &LinkConfig) -> Option<Process> {
    let headers = request.headers();
    let presented = headers.get(SECRET_HEADER)?.as_bytes();
    if !bool::from(presented.ct_eq(config.secret.as_bytes())) {
        log::warn!("link: Rejected a connection with a wrong secret.");
        return None;
    }
    Some(Process {
        instance: InstanceId(parse_header(headers, INSTANCE_HEADER)?),
        incarnation: Incarnation(parse_header(headers, INCARNATION_HEADER)?),
    })
}

fn parse_header<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

async fn receive<M: Message, H: Host<M>>(
    mut stream: RecvStream,
    from: Sender,
    host: &H,
    streams: &Streams,
) -> anyhow::Result<()> {
    let mut buffer = BytesMut::new();
    let mut confirmed = false;
    while let Some(data) = stream.data().await {
        let data = data?;
        buffer.extend_from_slice(&data);
        stream.flow_control().release_capacity(data.len())?;
        if !confirmed {
            let Some(ticket) = frame::decode_ticket(&mut buffer) else {
                continue;
            };
            confirm(ticket, from, host, streams)?;
            confirmed = true;
        }
        while let Some((stamp, msg)) = frame::decode(&mut buffer)? {
            if !streams.borrow().is_latest(from.process, from.ticket) {
                return reject(from, host, streams);
            }
            host.observe(stamp);
            host.received(from.process, msg)?;
        }
    }
    Ok(())
}

/// Confirms a stream whose sender has returned the ticket, and so has received the response.
fn confirm<M: Message, H: Host<M>>(
    ticket: Ticket,
    from: Sender,
    host: &H,
    streams: &Streams,
) -> anyhow::Result<()> {
    ensure!(
        ticket == from.ticket,
        "the stream begins with another ticket; do both processes run the same release?"
    );
    if !streams.borrow_mut().confirm(from.process, ticket) {
        return reject(from, host, streams);
    }
    host.accepted(from.process);
    Ok(())
}

/// Closes a stream that is not the latest one of its instance.
fn reject<M: Message, H: Host<M>>(from: Sender, host: &H, streams: &Streams) -> anyhow::Result<()> {
    if let Some(current) = streams.borrow().current(from.process.instance) {
        host.rejected(from.process, current);
    }
    bail!("a later stream of this instance is open")
}

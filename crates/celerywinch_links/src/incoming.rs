//! The receiving side of links.

use std::cell::RefCell;
use std::rc::Rc;

use anyhow::{Context, bail, ensure};
use bytes::BytesMut;
use celerywinch_types::{Incarnation, InstanceId, Process};
use h2::RecvStream;
use http::{HeaderMap, Request, Response, StatusCode};
use subtle::ConstantTimeEq;
use tokio::net::{TcpListener, TcpStream};

use crate::{
    Host, INCARNATION_HEADER, INSTANCE_HEADER, LatestStreams, LinkConfig, Message, SECRET_HEADER,
    TICKET_HEADER, Ticket, frame,
};

/// The latest streams of all instances; links live on one thread.
type Streams = Rc<RefCell<LatestStreams>>;

/// A stream and who sends on it.
#[derive(Clone, Copy, Debug)]
struct Sender {
    process: Process,
    ticket: Ticket,
}

/// Accepts links until the process ends; called on the core thread.
pub async fn listen<M: Message, H: Host<M>>(listener: TcpListener, host: H, config: LinkConfig) {
    let streams = Streams::default();
    loop {
        match listener.accept().await {
            Ok((socket, _)) => {
                let (host, config, streams) = (host.clone(), config.clone(), streams.clone());
                ntex::rt::spawn(async move {
                    if let Err(error) = serve(socket, host, &config, streams).await {
                        log::debug!("link: An incoming link ended: {error:#}.");
                    }
                });
            }
            Err(error) => {
                log::warn!("link: Cannot accept a link: {error}.");
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve<M: Message, H: Host<M>>(
    socket: TcpStream,
    host: H,
    config: &LinkConfig,
    streams: Streams,
) -> anyhow::Result<()> {
    socket.set_nodelay(true)?;
    let mut connection = h2::server::Builder::new()
        .initial_window_size(config.window)
        .initial_connection_window_size(config.window)
        .handshake::<_, bytes::Bytes>(socket)
        .await
        .context("link: the HTTP/2 handshake failed")?;
    while let Some(accepted) = connection.accept().await {
        let (request, mut respond) = accepted?;
        let Some(process) = identify(&request, config) else {
            let response = Response::builder().status(StatusCode::UNAUTHORIZED);
            respond.send_response(response.body(())?, true)?;
            continue;
        };
        let ticket = streams.borrow_mut().issue();
        let response = Response::builder().header(TICKET_HEADER, ticket.0);
        let keep = respond.send_response(response.body(())?, false)?;
        let (host, streams) = (host.clone(), streams.clone());
        ntex::rt::spawn(async move {
            // Dropping the response would reset the stream.
            let _keep = keep;
            let from = Sender { process, ticket };
            if let Err(error) = receive(request.into_body(), from, &host, &streams).await {
                let peer = process.instance;
                log::debug!("link: Receiving from {peer} ended: {error:#}.");
            }
        });
    }
    Ok(())
}

/// Who sends, if the secret is the right one.
fn identify(request: &Request<RecvStream>, config: &LinkConfig) -> Option<Process> {
    let headers = request.headers();
    let shown = headers.get(SECRET_HEADER)?.as_bytes();
    if !bool::from(shown.ct_eq(config.secret.as_bytes())) {
        log::warn!("link: Refused a link with a wrong secret.");
        return None;
    }
    Some(Process {
        instance: InstanceId(number(headers, INSTANCE_HEADER)?),
        incarnation: Incarnation(number(headers, INCARNATION_HEADER)?),
    })
}

fn number<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
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

/// The sender has sent its ticket back, so it is there now, and the stream counts.
fn confirm<M: Message, H: Host<M>>(
    ticket: Ticket,
    from: Sender,
    host: &H,
    streams: &Streams,
) -> anyhow::Result<()> {
    ensure!(
        ticket == from.ticket,
        "it begins with another ticket; do both run the same release?"
    );
    if !streams.borrow_mut().confirm(from.process, ticket) {
        return reject(from, host, streams);
    }
    host.accepted(from.process);
    Ok(())
}

/// Ends a stream that is not the latest of its instance.
fn reject<M: Message, H: Host<M>>(from: Sender, host: &H, streams: &Streams) -> anyhow::Result<()> {
    if let Some(current) = streams.borrow().current(from.process.instance) {
        host.rejected(from.process, current);
    }
    bail!("a later stream of this instance is open")
}

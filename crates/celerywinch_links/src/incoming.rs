//! The receiving side of links.

use std::cell::RefCell;
use std::rc::Rc;

use anyhow::{Context, bail};
use bytes::BytesMut;
use celerywinch_types::{Incarnation, InstanceId, Process};
use h2::RecvStream;
use http::{HeaderMap, Request, Response, StatusCode};
use subtle::ConstantTimeEq;
use tokio::net::{TcpListener, TcpStream};

use crate::{
    Host, INCARNATION_HEADER, INSTANCE_HEADER, LinkConfig, Message, SECRET_HEADER, STREAM_HEADER,
    StreamOrder, frame,
};

/// The last streams of all peers; links live on one thread.
type Streams = Rc<RefCell<StreamOrder>>;

/// A stream and who sends on it.
#[derive(Clone, Copy, Debug)]
struct Sender {
    process: Process,
    stream: u64,
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
        let sender = identify(&request, config);
        let opened = |from: &Sender| streams.borrow_mut().open(from.process, from.stream);
        let status = match sender {
            None => StatusCode::UNAUTHORIZED,
            Some(from) if opened(&from) => StatusCode::OK,
            Some(_) => StatusCode::CONFLICT,
        };
        if status == StatusCode::CONFLICT {
            reject(sender, &host, &streams);
        }
        let taken = sender.filter(|_| status.is_success());
        let response = Response::builder().status(status).body(())?;
        let keep = respond.send_response(response, taken.is_none())?;
        if let Some(from) = taken {
            let (host, streams) = (host.clone(), streams.clone());
            host.accepted(from.process);
            ntex::rt::spawn(async move {
                // Dropping the response would reset the stream.
                let _keep = keep;
                if let Err(error) = receive(request.into_body(), from, &host, &streams).await {
                    let peer = from.process.instance;
                    log::debug!("link: Receiving from {peer} ended: {error:#}.");
                }
            });
        }
    }
    Ok(())
}

/// Tells the host of a stream that is not its sender's last one.
fn reject<M: Message, H: Host<M>>(sender: Option<Sender>, host: &H, streams: &Streams) {
    let Some(from) = sender.map(|sender| sender.process) else {
        return;
    };
    if let Some(current) = streams.borrow().current(from.instance) {
        host.rejected(from, current);
    }
}

/// Who sends, if the secret is the right one.
fn identify(request: &Request<RecvStream>, config: &LinkConfig) -> Option<Sender> {
    let headers = request.headers();
    let shown = headers.get(SECRET_HEADER)?.as_bytes();
    if !bool::from(shown.ct_eq(config.secret.as_bytes())) {
        log::warn!("link: Refused a link with a wrong secret.");
        return None;
    }
    let process = Process {
        instance: InstanceId(number(headers, INSTANCE_HEADER)?),
        incarnation: Incarnation(number(headers, INCARNATION_HEADER)?),
    };
    Some(Sender {
        process,
        stream: number(headers, STREAM_HEADER)?,
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
    while let Some(data) = stream.data().await {
        let data = data?;
        buffer.extend_from_slice(&data);
        stream.flow_control().release_capacity(data.len())?;
        while let Some((stamp, msg)) = frame::decode(&mut buffer)? {
            if !streams.borrow().is_last(from.process, from.stream) {
                reject(Some(from), host, streams);
                bail!("its sender has opened a later stream");
            }
            host.observe(stamp);
            host.received(from.process, msg)?;
        }
    }
    Ok(())
}

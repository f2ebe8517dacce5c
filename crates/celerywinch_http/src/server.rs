//! A server on one thread.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::Context;
use celerywinch_admission::{CloseReason, Listener};
use ntex::http::body::{BodySize, MessageBody};
use ntex::http::error::DecodeError;
use ntex::http::h1::control::Reason;
use ntex::http::h1::{self, Control};
use ntex::http::{HttpService, HttpServiceConfig, Request, Response, ResponseError, StatusCode};
use ntex::io::{Base, Io};
use ntex::service::cfg::SharedCfg;
use ntex::service::{IntoServiceFactory, Pipeline, ServiceFactory, apply_fn_factory, fn_service};
use ntex::time::Seconds;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::{Limiter, RequestHandle};

/// The delay before the next accept after a failed one, such as when file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The interval between checks whether all requests are answered after a stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// The buffer of the operating system for bytes that have arrived, in bytes. Bytes that are not read count as memory.
const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;
/// The size of a request's head if operators set no limit, in bytes.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;
/// The time within which a head must arrive if operators set none.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a connection is kept open after an answer if the host sets nothing else.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(5);
/// The time for which a client may send or read nothing if operators set none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Limits on requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// The largest size of a head, in bytes.
    pub head_bytes: usize,
    /// The time within which a head must arrive.
    pub head_timeout: Duration,
    /// The time for which a client may send no part of a body, or not read an answer.
    pub idle_timeout: Duration,
    /// The time for which a connection is kept open after an answer.
    pub keep_alive: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            head_bytes: DEFAULT_HEAD_BYTES,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            keep_alive: DEFAULT_KEEP_ALIVE,
        }
    }
}

/// The error type of a service that cannot fail: errors are returned as responses.
#[derive(Debug)]
enum Never {}

impl std::fmt::Display for Never {
    fn fmt(&self, _: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match *self {}
    }
}

impl std::error::Error for Never {}

impl ResponseError for Never {}

/// Starts serving an address, and serves it until the process ends.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn serve<F, R>(
    addr: SocketAddr,
    limiter: Limiter,
    listener: Listener,
    handler: F,
) -> anyhow::Result<()>
where
    F: Fn(Request, RequestHandle) -> R + Clone + 'static,
    R: Future<Output = Response> + 'static,
{
    let socket = bind(addr).with_context(|| format!("cannot listen on {addr}"))?;
    let requests = limiter.clone();
    let service = fn_service(move |request: Request| {
        let (limiter, handler) = (requests.clone(), handler.clone());
        async move {
            // A connection that was closed in the meantime gets no answer.
            let Some(handle) = limiter.begin_request(&request) else {
                return Ok::<_, Never>(Response::new(StatusCode::SERVICE_UNAVAILABLE));
            };
            handle.wait_for_turn().await;
            let response = handler(request, handle.clone()).await;
            handle.answer(body_bytes(&response));
            Ok(response)
        }
    });
    let server = Server::new(socket, limiter, listener, service);
    ntex::rt::spawn(async move {
        if let Err(error) = server.run().await {
            log::error!("http: Cannot serve {addr}: {error:#}.");
        }
    });
    Ok(())
}

/// Serves an application until `stop` completes, and then until the requests that are being served are answered, for at
/// most `grace`. The application's requests have a [`RequestHandle`] among their extensions.
///
/// # Errors
///
/// Returns an error if the listener cannot be used or the HTTP service cannot be set up.
pub async fn serve_app<S, B>(
    socket: std::net::TcpListener,
    limiter: Limiter,
    app: impl IntoServiceFactory<S, Request, SharedCfg>,
    stop: impl Future<Output = ()>,
    grace: Duration,
) -> anyhow::Result<()>
where
    S: ServiceFactory<Request, SharedCfg> + 'static,
    S::Error: ResponseError,
    S::InitError: std::fmt::Debug,
    S::Response: Into<Response<B>>,
    B: MessageBody + 'static,
{
    let requests = limiter.clone();
    let app = apply_fn_factory(app, async move |request: Request, app| {
        let handle = requests.begin_request(&request);
        if let Some(handle) = handle.clone() {
            handle.wait_for_turn().await;
            request.head().extensions_mut().insert(handle);
        }
        let response: Response<B> = app.call(request).await?.into();
        if let Some(handle) = handle {
            handle.answer(body_bytes(&response));
        }
        Ok::<_, S::Error>(response)
    });
    socket.set_nonblocking(true)?;
    let socket = TcpListener::from_std(socket)?;
    let server = Server::new(socket, limiter.clone(), Listener(0), app);
    tokio::select! {
        served = server.run() => served?,
        () = stop => {}
    }
    let deadline = Instant::now() + grace;
    while limiter.is_serving() && Instant::now() < deadline {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
    Ok(())
}

/// Binds an address so that few bytes are buffered for a connection that is not read.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        log::debug!("http: Cannot limit the receive buffer on {addr}: {error}.");
    }
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// A listener and the factory of the services for its connections.
struct Server<F> {
    socket: TcpListener,
    limiter: Limiter,
    listener: Listener,
    factory: F,
}

impl Server<()> {
    /// Creates the server of a service for requests.
    fn new<S, B>(
        socket: TcpListener,
        limiter: Limiter,
        listener: Listener,
        service: impl IntoServiceFactory<S, Request, SharedCfg>,
    ) -> Server<impl ServiceFactory<Io, SharedCfg, Response = (), Service: 'static> + 'static>
    where
        S: ServiceFactory<Request, SharedCfg> + 'static,
        S::Error: ResponseError,
        S::InitError: std::fmt::Debug,
        S::Response: Into<Response<B>>,
        B: MessageBody + 'static,
    {
        let counts = limiter.clone();
        let factory = HttpService::h1(service).control(fn_service(
            move |message: Control<Base, S::Error>| {
                if is_refused_head(&message) {
                    counts.count_closed(listener, CloseReason::Head);
                }
                async move { Ok::<_, io::Error>(message.ack()) }
            },
        ));
        Server {
            socket,
            limiter,
            listener,
            factory,
        }
    }
}

impl<F> Server<F>
where
    F: ServiceFactory<Io, SharedCfg, Response = ()> + 'static,
    F::Service: 'static,
{
    /// Accepts connections. Ends only if the service cannot be set up.
    async fn run(self) -> anyhow::Result<()> {
        let mut limits = self.limiter.http_limits();
        let mut cfg = config(limits);
        let mut pipeline = self.pipeline(&cfg).await?;
        loop {
            self.limiter.settle().await;
            let (stream, socket) = accept(&self.socket).await;
            if self.limiter.http_limits() != limits {
                limits = self.limiter.http_limits();
                cfg = config(limits);
                pipeline = self.pipeline(&cfg).await?;
            }
            let io = match ntex::rt::from_tcp_stream(stream, cfg.clone()) {
                Ok(io) => io,
                Err(error) => {
                    log::warn!("http: Cannot serve an accepted connection: {error}.");
                    continue;
                }
            };
            // Without room the connection is closed, so the client knows that nothing was run.
            let Some(key) = self.limiter.open(self.listener, io.get_ref(), socket) else {
                continue;
            };
            let call = pipeline.call_static(io);
            let limiter = self.limiter.clone();
            ntex::rt::spawn(async move {
                // A broken connection is left to the client to handle.
                let _ = call.await;
                limiter.close(key);
            });
        }
    }

    async fn pipeline(&self, cfg: &SharedCfg) -> anyhow::Result<Pipeline<F::Service>> {
        let pipeline = self.factory.pipeline(cfg.clone()).await;
        pipeline.map_err(|_| anyhow::anyhow!("the HTTP service cannot be set up"))
    }
}

/// Accepts the next connection that can be set up. Returns two descriptors of it.
async fn accept(listener: &TcpListener) -> (std::net::TcpStream, std::net::TcpStream) {
    loop {
        let accepted = listener.accept().await;
        match accepted.and_then(|(stream, _)| prepare(stream)) {
            Ok(streams) => return streams,
            Err(error) => {
                log::warn!("http: Cannot accept a connection: {error}.");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn prepare(stream: TcpStream) -> io::Result<(std::net::TcpStream, std::net::TcpStream)> {
    let _ = stream.set_nodelay(true);
    let stream = stream.into_std()?;
    let socket = stream.try_clone()?;
    Ok((stream, socket))
}

/// Returns the configuration of a service with these limits.
fn config(limits: HttpLimits) -> SharedCfg {
    let seconds = |duration: Duration| {
        let seconds = duration.as_millis().div_ceil(1_000).max(1);
        Seconds(u16::try_from(seconds).unwrap_or(u16::MAX))
    };
    let config = HttpServiceConfig::new()
        .set_keepalive_timeout(seconds(limits.keep_alive))
        .set_client_timeout(seconds(limits.head_timeout))
        // A head of exactly the limit is complete before it is compared.
        .set_max_buf_size(limits.head_bytes + 1);
    SharedCfg::new("HTTP").add(config).into()
}

/// Returns whether a connection ends because a head did not arrive in time or is too large.
fn is_refused_head<E>(message: &Control<Base, E>) -> bool {
    let Control::Disconnect(Reason::ProtocolError(error)) = message else {
        return false;
    };
    matches!(
        error.err(),
        h1::ProtocolError::SlowRequestTimeout
            | h1::ProtocolError::Decode(DecodeError::TooLarge(_) | DecodeError::MaxHeaders)
    )
}

fn body_bytes<B: MessageBody>(response: &Response<B>) -> usize {
    match response.body().size() {
        BodySize::Sized(bytes) => usize::try_from(bytes).unwrap_or(usize::MAX),
        BodySize::None | BodySize::Empty | BodySize::Stream => 0,
    }
}

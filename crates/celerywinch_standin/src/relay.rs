//! A TCP relay between two processes that can simulate partitions, lost bytes, connection resets and latency.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use anyhow::Context;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Direction of bytes, as seen from the side that opened the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the opener to the target.
    Forward,
    /// From the target to the opener.
    Backward,
}

#[derive(Debug, Default)]
struct Control {
    /// New connections hang, and open connections forward nothing.
    partitioned: AtomicBool,
    /// Bytes from the opener to the target are dropped.
    drop_forward: AtomicBool,
    /// Bytes from the target to the opener are dropped.
    drop_backward: AtomicBool,
    /// Connections of earlier generations forward nothing any more; newer ones work.
    blackhole_before: AtomicU64,
    /// Number of connections accepted so far; each connection is a generation of its own.
    generation: AtomicU64,
    delay_us: AtomicU64,
    /// Changes when all open connections are to be reset.
    resets: watch::Sender<u64>,
}

/// A relay to one target.
#[derive(Clone, Debug)]
pub struct Relay {
    addr: SocketAddr,
    control: Arc<Control>,
}

impl Relay {
    /// Starts a relay to `target` on a port chosen by the operating system. Must be called within an `ntex` runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn start(target: SocketAddr) -> anyhow::Result<Self> {
        Self::bind(SocketAddr::from(([127, 0, 0, 1], 0)), target).await
    }

    /// Starts a relay to `target` that listens on `addr`. Must be called within an `ntex` runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use.
    pub async fn bind(addr: SocketAddr, target: SocketAddr) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(addr).await;
        let listener = listener.with_context(|| format!("relay: cannot listen on {addr}"))?;
        let addr = listener.local_addr()?;
        let control = Arc::new(Control::default());
        ntex::rt::spawn(accept(listener, target, control.clone()));
        Ok(Self { addr, control })
    }

    /// Returns the address on which the relay listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Starts or ends a partition: all bytes are dropped, and no connection is refused or closed.
    pub fn set_partitioned(&self, partitioned: bool) {
        self.control
            .partitioned
            .store(partitioned, Ordering::Release);
    }

    /// Starts or ends dropping all bytes in one direction.
    pub fn set_blackhole(&self, direction: Direction, dropping: bool) {
        let flag = match direction {
            Direction::Forward => &self.control.drop_forward,
            Direction::Backward => &self.control.drop_backward,
        };
        flag.store(dropping, Ordering::Release);
    }

    /// Drops all bytes of the open connections from now on; new connections work.
    pub fn blackhole_open(&self) {
        let generation = self.control.generation.load(Ordering::Acquire);
        self.control
            .blackhole_before
            .store(generation + 1, Ordering::Release);
    }

    /// Resets the open connections at both ends; new ones work.
    pub fn reset_open(&self) {
        self.control.resets.send_modify(|count| *count += 1);
    }

    /// Delays every forwarded chunk by `span`.
    pub fn set_delay(&self, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        self.control.delay_us.store(micros, Ordering::Release);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, control: Arc<Control>) {
    while let Ok((socket, _)) = listener.accept().await {
        ntex::rt::spawn(relay_connection(socket, target, control.clone()));
    }
}

/// Forwards bytes both ways until both ends have closed the connection or it is reset.
async fn relay_connection(mut socket: TcpStream, target: SocketAddr, control: Arc<Control>) {
    let mut resets = control.resets.subscribe();
    // A partition refuses no connection: it hangs until the partition ends.
    while control.partitioned.load(Ordering::Acquire) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let generation = control.generation.fetch_add(1, Ordering::AcqRel) + 1;
    let Ok(mut outgoing) = TcpStream::connect(target).await else {
        return;
    };
    let _ = socket.set_nodelay(true);
    let _ = outgoing.set_nodelay(true);
    let reset = {
        let (from_opener, to_opener) = socket.split();
        let (from_target, to_target) = outgoing.split();
        let forward = forward_bytes(
            from_opener,
            to_target,
            &control,
            Direction::Forward,
            generation,
        );
        let backward = forward_bytes(
            from_target,
            to_opener,
            &control,
            Direction::Backward,
            generation,
        );
        tokio::select! {
            _ = async { tokio::join!(forward, backward) } => false,
            changed = resets.changed() => changed.is_ok(),
        }
    };
    if reset {
        // With zero linger, closing sends a reset and discards undelivered bytes.
        let _ = socket.set_zero_linger();
        let _ = outgoing.set_zero_linger();
    }
}

async fn forward_bytes(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    control: &Control,
    direction: Direction,
    generation: u64,
) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 {
            break;
        }
        let delay = control.delay_us.load(Ordering::Acquire);
        if delay > 0 {
            tokio::time::sleep(Duration::from_micros(delay)).await;
        }
        if control.drops_bytes(direction, generation) {
            // A stream with missing bytes cannot be resumed, so this direction forwards nothing any more.
            discard(&mut from, &mut buffer).await;
            std::future::pending::<()>().await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}

/// Keeps reading and discards the bytes, so that the sender notices nothing.
async fn discard(from: &mut ReadHalf<'_>, buffer: &mut [u8]) {
    while from.read(buffer).await.is_ok_and(|count| count > 0) {}
}

impl Control {
    fn drops_bytes(&self, direction: Direction, generation: u64) -> bool {
        let dropping = match direction {
            Direction::Forward => &self.drop_forward,
            Direction::Backward => &self.drop_backward,
        };
        self.partitioned.load(Ordering::Acquire)
            || dropping.load(Ordering::Acquire)
            || generation < self.blackhole_before.load(Ordering::Acquire)
    }
}

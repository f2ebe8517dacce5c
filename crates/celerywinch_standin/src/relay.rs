//! A TCP relay between two processes that can cut, stall, reset and delay what passes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use anyhow::Context;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Which way bytes go, seen from the side that opened the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the opener to the target.
    Forward,
    /// Back.
    Backward,
}

#[derive(Debug, Default)]
struct Control {
    /// No connection is taken, and what is open passes nothing.
    cut: AtomicBool,
    /// Bytes of open connections disappear in this direction.
    forward_lost: AtomicBool,
    backward_lost: AtomicBool,
    /// Connections older than this generation pass nothing for good, while new ones work.
    silent_before: AtomicU64,
    generation: AtomicU64,
    delay_us: AtomicU64,
    /// Changes when all open connections are reset.
    resets: watch::Sender<u64>,
}

/// A relay to one target.
#[derive(Clone, Debug)]
pub struct Relay {
    addr: SocketAddr,
    control: Arc<Control>,
}

impl Relay {
    /// Starts a relay to `target` on a port of the system's choosing; called within a runtime.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub async fn start(target: SocketAddr) -> anyhow::Result<Self> {
        Self::bind(SocketAddr::from(([127, 0, 0, 1], 0)), target).await
    }

    /// Starts a relay to `target` at an address; called within a runtime.
    ///
    /// # Errors
    ///
    /// The address is taken.
    pub async fn bind(addr: SocketAddr, target: SocketAddr) -> anyhow::Result<Self> {
        let listener = TcpListener::bind(addr).await;
        let listener = listener.with_context(|| format!("relay: cannot listen at {addr}"))?;
        let addr = listener.local_addr()?;
        let control = Arc::new(Control::default());
        ntex::rt::spawn(accept(listener, target, control.clone()));
        Ok(Self { addr, control })
    }

    /// Where the relay listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Cuts everything, silently, as a partition does; or heals it.
    pub fn set_partitioned(&self, cut: bool) {
        self.control.cut.store(cut, Ordering::Release);
    }

    /// Loses what goes one way.
    pub fn set_blackhole(&self, direction: Direction, lost: bool) {
        let flag = match direction {
            Direction::Forward => &self.control.forward_lost,
            Direction::Backward => &self.control.backward_lost,
        };
        flag.store(lost, Ordering::Release);
    }

    /// Makes the open connections silent for good; new ones work.
    pub fn blackhole_open(&self) {
        let generation = self.control.generation.load(Ordering::Acquire);
        self.control
            .silent_before
            .store(generation + 1, Ordering::Release);
    }

    /// Resets the open connections at both ends; new ones work.
    pub fn reset_open(&self) {
        self.control.resets.send_modify(|count| *count += 1);
    }

    /// Delays every piece by `span`.
    pub fn set_delay(&self, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        self.control.delay_us.store(micros, Ordering::Release);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, control: Arc<Control>) {
    while let Ok((socket, _)) = listener.accept().await {
        ntex::rt::spawn(relay(socket, target, control.clone()));
    }
}

/// Passes what comes both ways until both ends have closed, or a reset.
async fn relay(mut socket: TcpStream, target: SocketAddr, control: Arc<Control>) {
    let mut resets = control.resets.subscribe();
    // A partition gives no refusal: the connection hangs until it heals.
    while control.cut.load(Ordering::Acquire) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let generation = control.generation.fetch_add(1, Ordering::AcqRel) + 1;
    let Ok(mut out) = TcpStream::connect(target).await else {
        return;
    };
    let _ = socket.set_nodelay(true);
    let _ = out.set_nodelay(true);
    let reset = {
        let (from_opener, to_opener) = socket.split();
        let (from_target, to_target) = out.split();
        let forward = pass(
            from_opener,
            to_target,
            &control,
            Direction::Forward,
            generation,
        );
        let backward = pass(
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
        // Closing sends a reset then, and what was not delivered is lost.
        let _ = socket.set_zero_linger();
        let _ = out.set_zero_linger();
    }
}

async fn pass(
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
        if control.drops(direction, generation) {
            // Half a stream cannot be resumed: from here on the connection is silent for good.
            silent(&mut from, &mut buffer).await;
            std::future::pending::<()>().await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}

/// Goes on reading, so that the sender notices nothing.
async fn silent(from: &mut ReadHalf<'_>, buffer: &mut [u8]) {
    while from.read(buffer).await.is_ok_and(|count| count > 0) {}
}

impl Control {
    fn drops(&self, direction: Direction, generation: u64) -> bool {
        let lost = match direction {
            Direction::Forward => &self.forward_lost,
            Direction::Backward => &self.backward_lost,
        };
        self.cut.load(Ordering::Acquire)
            || lost.load(Ordering::Acquire)
            || generation < self.silent_before.load(Ordering::Acquire)
    }
}

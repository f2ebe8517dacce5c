//! A TCP relay between two processes that can cut, stall and delay what passes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use anyhow::Context;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

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
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.context("relay: no port")?;
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
    pub fn cut(&self, cut: bool) {
        self.control.cut.store(cut, Ordering::Release);
    }

    /// Loses what goes one way.
    pub fn lose(&self, direction: Direction, lost: bool) {
        let flag = match direction {
            Direction::Forward => &self.control.forward_lost,
            Direction::Backward => &self.control.backward_lost,
        };
        flag.store(lost, Ordering::Release);
    }

    /// Makes the open connections silent for good; new ones work.
    pub fn silence_open(&self) {
        let generation = self.control.generation.load(Ordering::Acquire);
        self.control
            .silent_before
            .store(generation + 1, Ordering::Release);
    }

    /// Delays every piece by `span`.
    pub fn delay(&self, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        self.control.delay_us.store(micros, Ordering::Release);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, control: Arc<Control>) {
    while let Ok((socket, _)) = listener.accept().await {
        let control = control.clone();
        ntex::rt::spawn(async move {
            // A partition gives no refusal: the connection hangs until it heals.
            while control.cut.load(Ordering::Acquire) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            let generation = control.generation.fetch_add(1, Ordering::AcqRel) + 1;
            let Ok(out) = TcpStream::connect(target).await else {
                return;
            };
            let _ = socket.set_nodelay(true);
            let _ = out.set_nodelay(true);
            let (from_opener, to_opener) = socket.into_split();
            let (from_target, to_target) = out.into_split();
            let back = control.clone();
            ntex::rt::spawn(pass(
                from_opener,
                to_target,
                control,
                Direction::Forward,
                generation,
            ));
            ntex::rt::spawn(pass(
                from_target,
                to_opener,
                back,
                Direction::Backward,
                generation,
            ));
        });
    }
}

async fn pass(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    control: Arc<Control>,
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
async fn silent(from: &mut tokio::net::tcp::OwnedReadHalf, buffer: &mut [u8]) {
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

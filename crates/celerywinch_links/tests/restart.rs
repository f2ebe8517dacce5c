//! Links to a peer that restarts, or whose machine is busy.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use celerywinch_links::{Host, LimitsBuilder, LinkConfig, LinkEvent, Links, Share, listen};
use celerywinch_types::{Incarnation, InstanceId, Process};
use ntex::rt::{DefaultRuntime, System};
use rstest::rstest;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const PEER: InstanceId = InstanceId(4);
const RECEIVER: InstanceId = InstanceId(5);
/// Attempts to connect are repeated every 100 ms.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Records received messages and link events.
#[derive(Clone, Default)]
struct Recorder(
    Rc<RefCell<Vec<(Process, u32)>>>,
    Rc<RefCell<Vec<LinkEvent>>>,
);

impl Host<u32> for Recorder {
    fn received(&self, from: Process, msg: u32) -> anyhow::Result<()> {
        self.0.borrow_mut().push((from, msg));
        Ok(())
    }

    fn event(&self, _peer: InstanceId, event: LinkEvent) {
        self.1.borrow_mut().push(event);
    }

    fn stamp(&self) -> u64 {
        0
    }

    fn observe(&self, _stamp: u64) {}

    fn sent(&self, _msg: &u32, _bytes: usize) {}
}

fn config(instance: InstanceId, incarnation: u64) -> LinkConfig {
    LinkConfig {
        me: Process {
            instance,
            incarnation: Incarnation(incarnation),
        },
        secret: "secret".to_owned(),
        window: 1 << 16,
        limits: LimitsBuilder::default().build(&[("links", Share::Peers)]),
    }
}

/// Sends a message over new links until it arrives; returns false if it does not.
async fn delivers(from: LinkConfig, to: SocketAddr, msg: u32, receiver: &Recorder) -> bool {
    let expected = (from.me, msg);
    let mut links = Links::new(Recorder::default(), from);
    links.open(RECEIVER, to);
    let until = Instant::now() + TIMEOUT;
    while Instant::now() < until {
        links.send(RECEIVER, msg);
        sleep(Duration::from_millis(20)).await;
        if receiver.0.borrow().contains(&expected) {
            return true;
        }
    }
    false
}

struct Restart {
    before: u64,
    after: u64,
}

/// Guards against ignoring a peer that restarts after its clock was set back, for as long as the receiver
/// runs.
#[rstest]
#[case::clock_advances(Restart { before: 7, after: 9 })]
#[case::clock_set_back(Restart { before: 9, after: 7 })]
#[case::same_reading(Restart { before: 7, after: 7 })]
fn restarted_peer_is_accepted(#[case] case: Restart) {
    let system = System::build().name("restart").build(DefaultRuntime);
    system.block_on(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("its address");
        let receiver = Recorder::default();
        ntex::rt::spawn(listen(listener, receiver.clone(), config(RECEIVER, 1)));
        assert!(delivers(config(PEER, case.before), addr, 1, &receiver).await);
        assert!(delivers(config(PEER, case.after), addr, 2, &receiver).await);
    });
}

/// How long the relay delays each read; opening a stream takes two round trips.
const RELAY_DELAY: Duration = Duration::from_millis(150);

/// Guards against processes that start together on busy machines and never connect, because each abandons the
/// attempt that the other is about to answer, and starts over.
#[test]
fn busy_peer_is_waited_for() {
    let system = System::build().name("busy").build(DefaultRuntime);
    system.block_on(async {
        let (addr, receiver) = listen_behind_slow_relay().await;
        assert!(delivers(config(PEER, 7), addr, 1, &receiver).await);
    });
}

/// Guards against running a task twice when its request and cancellation are queued until the link opens.
#[test]
fn message_sent_before_the_link_opens_is_dropped() {
    let system = System::build().name("queued").build(DefaultRuntime);
    system.block_on(async {
        let (addr, receiver) = listen_behind_slow_relay().await;
        let sender = Recorder::default();
        let mut links = Links::new(sender.clone(), config(PEER, 7));
        links.open(RECEIVER, addr);
        links.send(RECEIVER, 1);
        let until = Instant::now() + TIMEOUT;
        while Instant::now() < until && !sender.1.borrow().contains(&LinkEvent::Opened) {
            sleep(Duration::from_millis(20)).await;
        }
        links.send(RECEIVER, 2);
        while Instant::now() < until && receiver.0.borrow().is_empty() {
            sleep(Duration::from_millis(20)).await;
        }
        sleep(RELAY_DELAY * 2).await;
        let received: Vec<_> = receiver.0.borrow().iter().map(|(_, msg)| *msg).collect();
        assert_eq!(received, [2]);
    });
}

/// Starts a receiver behind a relay that delays each read by [`RELAY_DELAY`]; returns the relay's address and the receiver.
async fn listen_behind_slow_relay() -> (SocketAddr, Recorder) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let target = listener.local_addr().expect("its address");
    let receiver = Recorder::default();
    ntex::rt::spawn(listen(listener, receiver.clone(), config(RECEIVER, 1)));
    let relay = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = relay.local_addr().expect("its address");
    ntex::rt::spawn(async move {
        while let Ok((socket, _)) = relay.accept().await {
            let peer = TcpStream::connect(target).await.expect("the peer");
            let (from_caller, to_caller) = socket.into_split();
            let (from_peer, to_peer) = peer.into_split();
            ntex::rt::spawn(relay_slowly(from_caller, to_peer));
            ntex::rt::spawn(relay_slowly(from_peer, to_caller));
        }
    });
    (addr, receiver)
}

async fn relay_slowly(mut from: impl AsyncRead + Unpin, mut to: impl AsyncWrite + Unpin) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(count) = from.read(&mut buffer).await {
        sleep(RELAY_DELAY).await;
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

//! The connection pool under many concurrent requests.

use std::time::Duration;

use celerywinch_client::Client;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Number of requests, sent in quick succession.
const REQUESTS: usize = 400;
/// Timeout for all requests; far longer than they take.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A request hangs forever: it starts while another one opens a connection to the same address, waits for that, and is
/// never woken, because a pool with no limit (0) considers itself full.
#[test]
fn no_request_hangs_forever() {
    let system = ntex::rt::System::build()
        .name("pool")
        .build(ntex::rt::DefaultRuntime);
    system.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let addr = listener.local_addr().expect("it is bound");
        ntex::rt::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                ntex::rt::spawn(serve(socket));
            }
        });
        let client = Client::new(None).await.expect("the pool has no options");
        let mut requests = Vec::new();
        for _ in 0..REQUESTS {
            let client = client.clone();
            requests.push(tokio::task::spawn_local(async move {
                client.get(addr, "/").await.map(|response| response.status)
            }));
            tokio::time::sleep(Duration::from_micros(1)).await;
        }
        let all = async {
            for request in requests {
                let status = request.await.expect("no panic").expect("an answer");
                assert_eq!(status, 200);
            }
        };
        let done = tokio::time::timeout(TEST_TIMEOUT, all).await;
        assert!(done.is_ok(), "a request was never sent");
    });
}

/// Answers every request after a delay, so that each needs a connection of its own.
async fn serve(mut socket: TcpStream) {
    let mut buffer = [0; 4096];
    while socket.read(&mut buffer).await.is_ok_and(|count| count > 0) {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
        if socket.write_all(answer).await.is_err() {
            return;
        }
    }
}

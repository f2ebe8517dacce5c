//! Tests that an instance stays within its resource limits, and answers ordinary requests, beside many clients that keep
//! connections open without completing requests or reading answers.

#[path = "../../../platform/tests/processes/crowd.rs"]
mod crowd;
mod harness;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use celerywinch_standin::generate_key;
use crowd::{
    Crowd, Sampler, Script, ask, chunked_head, encode_chunks, endless_head, http2, open_fds,
    request,
};
use harness::{Cluster, ClusterConfig, Process, ResourceLimits, SECRET, run_test, sleep};
use rstest::rstest;

/// How long an instance may take until it answers.
const TIMEOUT: Duration = Duration::from_secs(15);
/// The pause between two attempts, in ms.
const RETRY_PAUSE_MS: u64 = 100;
/// How often a crowd comes and goes.
const ROUNDS: usize = 2;
/// How long a crowd stays after all was sent, in ms.
const STAY_MS: u64 = 1_000;
/// The descriptors beyond those at the start that may be open when a crowd has left.
const SPARE_FDS: u64 = 16;
/// The limits of the instance that a crowd calls. The bodies of a crowd need more memory, its connections more descriptors.
const LIMITS: ResourceLimits = ResourceLimits {
    data_kb: 128 << 10,
    fds: 500,
};
/// The number of clients that send bodies, and of those that only take connections.
const SENDERS: usize = 100;
const HOLDERS: usize = 600;
/// The size of the bodies of a crowd, in bytes. The largest that is accepted by default has 4 MiB.
const BODY_BYTES: usize = 2 << 20;
/// The number of bytes that are missing at the end of most bodies.
const MISSING_BYTES: usize = 2;
/// One in this many clients completes its request.
const COMPLETE_INTERVAL: usize = 8;
const LARGE_CHUNK_BYTES: usize = 64 << 10;
const SMALL_CHUNK_BYTES: usize = 16;
const PIECE_BYTES: usize = 32 << 10;
const PIECE_PAUSE: Duration = Duration::from_millis(10);
/// The number of requests that are sent at once.
const PIPELINED: usize = 2_000;
const HOST: &str = "h.example";

/// Held by the test that runs, so that there is no other load.
static ALONE: Mutex<()> = Mutex::new(());

/// A listener of the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Surface {
    Callers,
    Endpoints,
    Operators,
    Peers,
}

/// What each client of a crowd does before it only keeps its connection open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    /// Sends a body at once, most without the end.
    Whole,
    /// Sends a body piece by piece, most without the end.
    Pieces,
    /// Sends a body in large chunks, most without the end.
    LargeChunks,
    /// Sends a body in very small chunks, most without the end.
    SmallChunks,
    /// Sends a head without an end.
    Head,
    /// Sends nothing.
    Silent,
    /// Sends many requests at once and reads no answer.
    Pipelined,
    /// Opens an HTTP/2 connection and sends no request.
    Preface,
}

struct Case {
    surface: Surface,
    behaviour: Behaviour,
}

const fn case(surface: Surface, behaviour: Behaviour) -> Case {
    Case { surface, behaviour }
}

/// Guards against an instance that runs out of memory or descriptors because of clients that stop just short of the end of
/// their requests, or that read nothing, and stay.
#[rstest]
#[case::whole_submissions(case(Surface::Callers, Behaviour::Whole))]
#[case::submissions_in_pieces(case(Surface::Callers, Behaviour::Pieces))]
#[case::submissions_in_large_chunks(case(Surface::Callers, Behaviour::LargeChunks))]
#[case::submissions_in_small_chunks(case(Surface::Callers, Behaviour::SmallChunks))]
#[case::heads_of_callers(case(Surface::Callers, Behaviour::Head))]
#[case::heads_of_endpoints(case(Surface::Endpoints, Behaviour::Head))]
#[case::heads_of_operators(case(Surface::Operators, Behaviour::Head))]
#[case::heads_of_peers(case(Surface::Peers, Behaviour::Head))]
#[case::silent_callers(case(Surface::Callers, Behaviour::Silent))]
#[case::silent_endpoints(case(Surface::Endpoints, Behaviour::Silent))]
#[case::silent_operators(case(Surface::Operators, Behaviour::Silent))]
#[case::silent_peers(case(Surface::Peers, Behaviour::Silent))]
#[case::pipelined_by_callers(case(Surface::Callers, Behaviour::Pipelined))]
#[case::pipelined_by_endpoints(case(Surface::Endpoints, Behaviour::Pipelined))]
#[case::pipelined_by_operators(case(Surface::Operators, Behaviour::Pipelined))]
#[case::pipelined_by_peers(case(Surface::Peers, Behaviour::Pipelined))]
#[case::peers_without_a_request(case(Surface::Peers, Behaviour::Preface))]
fn limits_hold_beside_crowd(#[case] case: Case) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    run_test(run(case));
}

async fn run(case: Case) -> anyhow::Result<()> {
    let mut cluster = Cluster::start(ClusterConfig {
        dcs: vec![("bog-1", 2)],
        limits: Some(LIMITS),
        ..ClusterConfig::default()
    })
    .await?;
    let target = &cluster.processes[0];
    let (pid, addr) = (target.pid(), surface_addr(target, case.surface));
    let calm_fds = open_fds(pid);
    let surfaces = [
        target.caller_addr,
        target.endpoint_addr,
        target.operator_addr,
        target.peer_addr,
    ];
    let sampler = Sampler::start(pid, BTreeSet::from(surfaces));
    let clients = match case.behaviour {
        Behaviour::Whole | Behaviour::Pieces | Behaviour::LargeChunks | Behaviour::SmallChunks => {
            SENDERS
        }
        Behaviour::Head | Behaviour::Silent | Behaviour::Pipelined | Behaviour::Preface => HOLDERS,
    };
    let mut answered = Vec::new();
    for _ in 0..ROUNDS {
        let scripts = (0..clients).map(|client| script(&case, client)).collect();
        let crowd = Crowd::gather(addr, scripts).await;
        sleep(STAY_MS).await;
        if open_fds(pid) == 0 {
            break;
        }
        answered.push(is_answered(addr, target, case.surface).await);
        drop(crowd);
        await_calm(pid, calm_fds).await;
        if case.surface == Surface::Callers {
            let key = generate_key(None);
            let body = submission(BODY_BYTES);
            answered.push(is_served(addr, &submit_request(&key, &body)).await);
        }
    }
    let most = sampler.finish();
    println!(
        "{:?} {:?}: {most:?}, {answered:?}",
        case.surface, case.behaviour
    );
    assert!(!cluster.processes[0].has_ended(), "the process has ended");
    assert!(
        most.memory <= LIMITS.data_kb << 10,
        "{} MiB of memory",
        most.memory >> 20
    );
    assert!(most.fds < LIMITS.fds, "{} descriptors", most.fds);
    assert!(answered.iter().all(|one| *one), "answered: {answered:?}");
    Ok(())
}

fn surface_addr(process: &Process, surface: Surface) -> SocketAddr {
    match surface {
        Surface::Callers => process.caller_addr,
        Surface::Endpoints => process.endpoint_addr,
        Surface::Operators => process.operator_addr,
        Surface::Peers => process.peer_addr,
    }
}

/// Sends an ordinary request until it is answered. Returns false if it isn't in time.
async fn is_answered(addr: SocketAddr, process: &Process, surface: Surface) -> bool {
    match surface {
        Surface::Callers | Surface::Peers => {
            let key = generate_key(None);
            is_served(process.caller_addr, &submit_request(&key, &submission(0))).await
        }
        Surface::Operators => is_served(addr, &operator_request("/v1/status")).await,
        // An announcement without a body is answered with the error.
        Surface::Endpoints => is_replied(addr, &request(HOST, "POST", "/v1/announce", b"")).await,
    }
}

async fn is_served(addr: SocketAddr, request: &[u8]) -> bool {
    retry(addr, request, |status| status == 200).await
}

async fn is_replied(addr: SocketAddr, request: &[u8]) -> bool {
    retry(addr, request, |status| status < 500).await
}

async fn retry(addr: SocketAddr, request: &[u8], wanted: impl Fn(u16) -> bool) -> bool {
    let deadline = Instant::now() + TIMEOUT;
    while Instant::now() < deadline {
        if ask(addr, request).await.is_some_and(&wanted) {
            return true;
        }
        sleep(RETRY_PAUSE_MS).await;
    }
    false
}

/// Waits until the connections of a crowd that has left are closed, or it takes too long.
async fn await_calm(pid: u32, calm_fds: u64) {
    let deadline = Instant::now() + TIMEOUT;
    while open_fds(pid) > calm_fds + SPARE_FDS && Instant::now() < deadline {
        sleep(RETRY_PAUSE_MS).await;
    }
}

/// Returns what a client of a crowd sends.
fn script(case: &Case, client: usize) -> Script {
    let peers = case.surface == Surface::Peers;
    match case.behaviour {
        Behaviour::Silent => Script::default(),
        Behaviour::Preface => Script::new(&http2::preface(), usize::MAX, Duration::ZERO),
        Behaviour::Head if peers => {
            Script::new(&http2::endless_head(), PIECE_BYTES, Duration::ZERO)
        }
        Behaviour::Pipelined if peers => {
            Script::new(&http2::requests(PIPELINED), usize::MAX, Duration::ZERO)
        }
        Behaviour::Head => Script {
            drip: Some(b'x'),
            ..Script::new(&endless_head(HOST, "/healthz"), PIECE_BYTES, Duration::ZERO)
        },
        Behaviour::Pipelined => {
            let request = match case.surface {
                Surface::Operators => operator_request("/metrics"),
                _ => request(HOST, "GET", "/healthz", b""),
            };
            Script::new(&request.repeat(PIPELINED), PIECE_BYTES, Duration::ZERO)
        }
        Behaviour::Whole | Behaviour::Pieces | Behaviour::LargeChunks | Behaviour::SmallChunks => {
            body_script(case.behaviour, client)
        }
    }
}

fn body_script(behaviour: Behaviour, client: usize) -> Script {
    let body = submission(BODY_BYTES);
    let key = generate_key(None);
    let chunk = match behaviour {
        Behaviour::LargeChunks => Some(LARGE_CHUNK_BYTES),
        Behaviour::SmallChunks => Some(SMALL_CHUNK_BYTES),
        _ => None,
    };
    let (mut bytes, end) = if let Some(length) = chunk {
        let headers = submit_headers(&key);
        let mut bytes = with_headers(chunked_head(HOST, "POST", "/v1/submit"), &headers);
        bytes.extend(encode_chunks(&body, length));
        (bytes, b"0\r\n\r\n".to_vec())
    } else {
        let mut bytes = submit_request(&key, &body);
        let end = bytes.split_off(bytes.len() - MISSING_BYTES);
        (bytes, end)
    };
    if client.is_multiple_of(COMPLETE_INTERVAL) {
        bytes.extend(end);
    }
    match behaviour {
        Behaviour::Pieces => Script::new(&bytes, PIECE_BYTES, PIECE_PAUSE),
        _ => Script::new(&bytes, usize::MAX, Duration::ZERO),
    }
}

/// Returns a submission of one task in at least `length` bytes.
fn submission(length: usize) -> Vec<u8> {
    let mut body = br#"{"kind":"price-check","deadline_ms":2000,"tasks":[{"run_ms":20}]"#.to_vec();
    body.resize(body.len().max(length.saturating_sub(1)), b' ');
    body.push(b'}');
    body
}

fn submit_headers(key: &str) -> String {
    format!("Content-Type: application/json\r\nIdempotency-Key: {key}\r\n")
}

fn submit_request(key: &str, body: &[u8]) -> Vec<u8> {
    with_headers(
        request(HOST, "POST", "/v1/submit", body),
        &submit_headers(key),
    )
}

fn operator_request(path: &str) -> Vec<u8> {
    let headers = format!("Authorization: Bearer {SECRET}\r\n");
    with_headers(request(HOST, "GET", path, b""), &headers)
}

/// Inserts header lines after the first line of a request.
fn with_headers(request: Vec<u8>, headers: &str) -> Vec<u8> {
    let line = request.windows(2).position(|end| end == b"\r\n");
    let at = line.expect("a head") + 2;
    [&request[..at], headers.as_bytes(), &request[at..]].concat()
}

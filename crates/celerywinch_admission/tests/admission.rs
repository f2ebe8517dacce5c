//! The connections that are closed when limits are reached.

use std::time::Duration;

use celerywinch_admission::{
    Action, Admission, CloseReason, ConnectionKey, Limits, LimitsBuilder, Listener, Share, Timeouts,
};
use celerywinch_types::Time;
use proptest::prelude::*;
use rstest::rstest;

const MAIN: Listener = Listener(0);
const MINOR: Listener = Listener(1);
/// One request body in the tests, in bytes.
const BODY: u64 = 256 << 10;

/// Limits of 8 connections of the main listener, and of memory for about 16 bodies.
fn limits() -> Limits {
    LimitsBuilder::default()
        .memory(Some(3 * 16 * BODY))
        .fds(Some(232))
        .build(&[("callers", Share::Main), ("metrics", Share::Minor)])
}

fn second(seconds: u64) -> Time {
    Time(0) + Duration::from_secs(seconds)
}

/// Opens connections at successive seconds.
fn open_all(admission: &mut Admission, count: u64) -> Vec<ConnectionKey> {
    let open = |at| admission.open(second(at), MAIN).expect("room");
    (0..count).map(open).collect()
}

struct Machine {
    memory_mb: u64,
    fds: usize,
    /// The threads that admit connections.
    threads: usize,
    /// The connections for each share, and the memory for all, in MiB.
    main: usize,
    peers: usize,
    minor: usize,
    clients_mb: u64,
}

/// Guards against limits that leave no descriptors or memory for peers, workers and files.
#[rstest]
#[case::entry(Machine { memory_mb: 160, fds: 4_100, threads: 1, main: 975, peers: 487, minor: 32, clients_mb: 53 })]
#[case::few_descriptors(Machine { memory_mb: 160, fds: 500, threads: 1, main: 75, peers: 37, minor: 9, clients_mb: 53 })]
#[case::two_threads(Machine { memory_mb: 256, fds: 1_024, threads: 2, main: 103, peers: 51, minor: 12, clients_mb: 42 })]
#[case::next_to_none(Machine { memory_mb: 8, fds: 100, threads: 1, main: 1, peers: 1, minor: 1, clients_mb: 2 })]
fn limits_follow_from_the_machine(#[case] case: Machine) {
    let limits = LimitsBuilder::default()
        .memory(Some(case.memory_mb << 20))
        .fds(Some(case.fds))
        .memory_shares(case.threads)
        .connection_shares(case.threads)
        .build(&[
            ("callers", Share::Main),
            ("links", Share::Peers),
            ("metrics", Share::Minor),
        ]);
    let connections = [0, 1, 2].map(|index| limits.listener(Listener(index)).connections);
    assert_eq!(connections, [case.main, case.peers, case.minor]);
    assert_eq!(limits.memory() >> 20, case.clients_mb);
}

/// What the connections of a full listener do, the first of them being the oldest.
#[derive(Clone, Copy)]
enum State {
    Idle,
    Body,
    Served,
}
use State::{Body, Idle, Served};

struct Full {
    /// The states of connections that were opened in this order.
    states: [State; 8],
    /// The index of the connection that is closed for a new one.
    closed: Option<usize>,
}

/// Guards against ordinary clients that are not admitted while others only hold connections open, and against closing a
/// connection whose request is being served.
#[rstest]
#[case::all_idle(Full { states: [Idle; 8], closed: Some(0) })]
#[case::all_send_bodies(Full { states: [Body; 8], closed: Some(0) })]
#[case::oldest_is_served(Full { states: [Served, Idle, Body, Idle, Idle, Idle, Idle, Idle], closed: Some(1) })]
#[case::oldest_sends_a_body(Full { states: [Served, Body, Idle, Idle, Idle, Idle, Idle, Idle], closed: Some(1) })]
#[case::all_served(Full { states: [Served; 8], closed: None })]
fn a_full_listener_closes_the_connection_that_waits_longest(#[case] case: Full) {
    let mut admission = Admission::new(limits());
    let keys = open_all(&mut admission, 8);
    for (index, (key, state)) in keys.iter().zip(case.states).enumerate() {
        let now = second(10 + index as u64);
        match state {
            Idle => admission.answer(now, *key, 0),
            Body => admission.begin_body(now, *key),
            Served => drop(admission.begin_request(now, *key)),
        }
    }
    let opened = admission.open(second(30), MAIN);
    match case.closed {
        Some(index) => {
            assert!(opened.is_ok());
            assert_eq!(admission.take_actions(), [Action::Close(keys[index])]);
        }
        None => assert_eq!(opened, Err(CloseReason::Connections)),
    }
    assert_eq!(admission.open_connections(MAIN), 8);
}

/// Guards against a listener whose clients take the connections of another one.
#[test]
fn listeners_have_connections_of_their_own() {
    let mut admission = Admission::new(limits());
    open_all(&mut admission, 8);
    admission.open(second(9), MINOR).expect("room");
    assert_eq!(admission.take_actions(), []);
}

/// Guards against bodies that take more than the memory together: the one that began first is refused.
#[test]
fn bodies_are_refused_in_the_order_in_which_they_began() {
    let mut admission = Admission::new(limits());
    let keys = open_all(&mut admission, 3);
    for (at, key) in (10..).zip([keys[1], keys[0], keys[2]]) {
        admission.begin_body(second(at), key);
    }
    let half = admission.limits().memory() / 2 - BODY;
    assert_eq!(admission.reserve(second(20), keys[0], half), Ok(()));
    assert_eq!(admission.reserve(second(20), keys[1], half), Ok(()));
    assert_eq!(admission.take_actions(), []);
    assert_eq!(admission.reserve(second(21), keys[2], 3 * BODY), Ok(()));
    let refused = Action::Refuse(keys[1], CloseReason::Memory);
    assert_eq!(admission.take_actions(), [refused]);
}

/// Guards against memory that stays accounted to a connection that has ended.
#[test]
fn freed_memory_is_available_again() {
    let mut admission = Admission::new(limits());
    for round in 0..100 {
        let key = admission.open(second(round), MAIN).expect("room");
        admission.begin_request(second(round), key);
        admission.begin_body(second(round), key);
        let most = admission.limits().memory() - admission.used_memory();
        assert_eq!(admission.reserve(second(round), key, most), Ok(()));
        admission.end_body(second(round), key);
        admission.close(key);
        assert_eq!(admission.used_memory(), 0);
    }
}

/// Guards against a request that waits for memory that only requests being served hold: it is refused at once.
#[test]
fn body_is_refused_if_all_memory_is_in_use() {
    let mut admission = Admission::new(limits());
    let keys = open_all(&mut admission, 2);
    admission.begin_request(second(3), keys[0]);
    let most = admission.limits().memory() - admission.used_memory();
    assert_eq!(admission.reserve(second(3), keys[0], most), Ok(()));
    admission.begin_body(second(4), keys[1]);
    let refused = admission.reserve(second(4), keys[1], 1);
    assert_eq!(refused, Err(CloseReason::Memory));
}

struct Wait {
    /// What the connection does, from second 0 on.
    state: State,
    /// When a part of its body arrives.
    part_at: Option<u64>,
    checked_at: u64,
    reason: Option<CloseReason>,
}

/// Guards against connections that wait for their clients for ever, and against closing one whose client is within the
/// limits.
#[rstest]
#[case::idle_client_closes_first(Wait { state: Idle, part_at: None, checked_at: 25, reason: None })]
#[case::idle(Wait { state: Idle, part_at: None, checked_at: 26, reason: Some(CloseReason::Idle) })]
#[case::body_within_the_idle_timeout(Wait { state: Body, part_at: None, checked_at: 15, reason: None })]
#[case::stalled_body(Wait { state: Body, part_at: None, checked_at: 16, reason: Some(CloseReason::Stalled) })]
#[case::body_that_arrives(Wait { state: Body, part_at: Some(50), checked_at: 60, reason: None })]
#[case::slow_body(Wait { state: Body, part_at: Some(60), checked_at: 61, reason: Some(CloseReason::Slow) })]
#[case::served(Wait { state: Served, part_at: None, checked_at: 1_000, reason: None })]
fn connections_wait_for_a_limited_time(#[case] case: Wait) {
    let mut admission = Admission::new(limits());
    admission.set_timeouts(Timeouts {
        idle: Duration::from_secs(15),
        body: Duration::from_secs(60),
    });
    let key = admission.open(second(0), MAIN).expect("room");
    match case.state {
        Idle => {}
        Body => admission.begin_body(second(0), key),
        Served => drop(admission.begin_request(second(0), key)),
    }
    if let Some(at) = case.part_at {
        admission.progress(second(at), key);
    }
    let expected: Vec<_> = match case.reason {
        Some(CloseReason::Idle) => vec![Action::Close(key)],
        Some(reason) => vec![Action::Refuse(key, reason)],
        None => Vec::new(),
    };
    admission.expire(second(case.checked_at));
    assert_eq!(admission.take_actions(), expected);
}

/// Guards against a log that clients fill: what was closed is reported in one line at most every 10 s.
#[test]
fn closed_connections_are_reported_at_a_limited_rate() {
    let mut admission = Admission::new(limits());
    let mut lines = 0;
    for at in 0..100 {
        admission.count_closed(MAIN, CloseReason::Memory);
        lines += usize::from(admission.report(second(at)).is_some());
    }
    assert_eq!(lines, 10);
}

proptest! {
    /// Guards against memory or connections beyond the limits, numbers that drift, and connections that are no longer
    /// counted and not closed, for any order of events.
    #[test]
    fn limits_hold_for_any_order_of_events(
        events in prop::collection::vec((0u8..7, 0usize..12, 0u64..2 * BODY), 1..300),
    ) {
        let mut admission = Admission::new(limits());
        let mut keys = Vec::new();
        for (at, (event, index, bytes)) in (0..).zip(events) {
            let now = second(at);
            let key = keys.get(index).copied().unwrap_or_default();
            match event {
                0 | 1 => keys.extend(admission.open(now, MAIN)),
                2 => drop(admission.begin_request(now, key)),
                3 => admission.begin_body(now, key),
                4 => drop(admission.reserve(now, key, bytes)),
                5 => admission.answer(now, key, 0),
                _ => {
                    admission.close(key);
                    keys.retain(|other| *other != key);
                }
            }
            for action in admission.take_actions() {
                if let Action::Close(closed) = action {
                    keys.retain(|key| *key != closed);
                }
            }
            prop_assert_eq!(admission.open_connections(MAIN), keys.len());
            prop_assert!(admission.open_connections(MAIN) <= 8);
            prop_assert!(admission.used_memory() <= admission.limits().memory());
        }
        keys.iter().for_each(|key| admission.close(*key));
        prop_assert_eq!((admission.open_connections(MAIN), admission.used_memory()), (0, 0));
    }
}

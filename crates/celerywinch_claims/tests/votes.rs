//! Votes of a replica: given only once, and not at all for keys that an earlier incarnation may have voted on.

use std::time::Duration;

use celerywinch_claims::{Limits, Replica};
use celerywinch_types::{
    Ballot, Grant, Holder, Incarnation, InstanceId, Key, Outcome, Process, Ran, Step, WallMs,
};
use rstest::rstest;

const START: WallMs = WallMs(1_000_000);
const LATER: WallMs = WallMs(1_010_000);
const LIMITS: Limits = Limits {
    window: Duration::from_secs(8),
    skew: Duration::from_millis(250),
    retention: Duration::from_secs(20),
};

fn holder(instance: u32, attempt: u64) -> Holder {
    Holder {
        process: Process {
            instance: InstanceId(instance),
            incarnation: Incarnation(1),
        },
        attempt,
    }
}

fn key(created: u64) -> Key {
    Key::parse(&format!("k@{created}")).expect("a well-formed key")
}

fn failure() -> Outcome {
    Outcome::failure(Ran::Maybe, Step::Claim, &"test", "test")
}

/// The history of a key, and the reply to a request for a vote.
struct Case {
    history: fn(&mut Replica, &Key),
    created: u64,
    expected: Option<Grant>,
}

fn no_history(_: &mut Replica, _: &Key) {}

fn voted_same(replica: &mut Replica, key: &Key) {
    replica.vote(LATER, key, 7, holder(1, 2));
}

/// Guards against running a caller's resubmission a second time: the process has finished the key, asks for the votes
/// again before the replicas have learned that the outcome is decided, and gets them, since they were its own. The
/// attempt number in the holder distinguishes the two requests.
fn voted_earlier_attempt(replica: &mut Replica, key: &Key) {
    replica.vote(LATER, key, 7, holder(1, 1));
}

fn voted_other(replica: &mut Replica, key: &Key) {
    replica.vote(LATER, key, 7, holder(2, 9));
}

fn voted_other_body(replica: &mut Replica, key: &Key) {
    replica.vote(LATER, key, 8, holder(2, 9));
}

fn promised(replica: &mut Replica, key: &Key) {
    let ballot = Ballot {
        round: 2,
        proposer: holder(3, 1).process,
    };
    replica.prepare(LATER, key, ballot).expect("a first ballot");
}

fn abandoned(replica: &mut Replica, key: &Key) {
    replica.vote(LATER, key, 7, holder(1, 2));
    replica.abandon(key, holder(1, 2));
}

fn decided(replica: &mut Replica, key: &Key) {
    let ballot = Ballot {
        round: 1,
        proposer: holder(2, 9).process,
    };
    replica
        .accept(LATER, key, 7, ballot, &failure())
        .expect("a first ballot");
    replica.learn(key, ballot);
}

#[rstest]
#[case::first(Case { history: no_history, created: 1_009_000, expected: Some(Grant::Granted) })]
#[case::same_again(Case { history: voted_same, created: 1_009_000, expected: Some(Grant::Granted) })]
#[case::earlier_attempt(Case {
    history: voted_earlier_attempt,
    created: 1_009_000,
    expected: Some(Grant::Taken(holder(1, 1))),
})]
#[case::other(Case {
    history: voted_other,
    created: 1_009_000,
    expected: Some(Grant::Taken(holder(2, 9))),
})]
#[case::other_body(Case {
    history: voted_other_body,
    created: 1_009_000,
    expected: Some(Grant::Conflict),
})]
#[case::promised(Case { history: promised, created: 1_009_000, expected: Some(Grant::Settling) })]
#[case::abandoned(Case { history: abandoned, created: 1_009_000, expected: Some(Grant::Settling) })]
#[case::decided(Case {
    history: decided,
    created: 1_009_000,
    expected: Some(Grant::Decided(failure())),
})]
#[case::created_before_start(Case { history: no_history, created: 999_000, expected: Some(Grant::TooOld) })]
#[case::too_new(Case { history: no_history, created: 1_010_251, expected: Some(Grant::TooNew) })]
fn vote_is_given_once(#[case] case: Case) {
    let mut replica = Replica::new(LIMITS, START);
    let key = key(case.created);
    (case.history)(&mut replica, &key);
    assert_eq!(replica.vote(LATER, &key, 7, holder(1, 2)), case.expected);
}

/// Guards against two entries that start the same tasks: a replica votes, restarts without its records, and votes for
/// another holder. It must abstain on every key that its earlier incarnation can have voted on.
#[rstest]
#[case::long_before(994_000, false)]
#[case::just_before(1_000_250, false)]
#[case::after(1_000_251, true)]
fn restarted_replica_abstains_on_keys_of_its_earlier_incarnation(
    #[case] created: u64,
    #[case] votes: bool,
) {
    let mut replica = Replica::new(LIMITS, START);
    let wall = WallMs(START.0 + 1_000);
    let vote = replica.vote(wall, &key(created), 7, holder(1, 1));
    assert_eq!(vote == Some(Grant::Granted), votes, "{vote:?}");
    let ballot = Ballot {
        round: 2,
        proposer: holder(3, 1).process,
    };
    let promise = replica.prepare(wall, &key(created), ballot);
    assert_eq!(promise.is_ok(), votes, "{promise:?}");
}

/// Guards against two entries that start the same tasks: a replica's clock is set back while it restarts, so that keys
/// that its earlier incarnation voted on look new. The heartbeat of a peer shows the difference of the clocks.
#[test]
fn clock_set_back_during_a_restart_is_detected_by_a_peers_clock() {
    let set_back = WallMs(START.0 - 60_000);
    let mut replica = Replica::new(LIMITS, set_back);
    replica.raise_start(Duration::from_secs(60));
    let old = key(START.0 - 1_000);
    assert_eq!(
        replica.vote(set_back, &old, 7, holder(1, 1)),
        Some(Grant::TooNew)
    );
    assert_eq!(
        replica.vote(START, &old, 7, holder(1, 1)),
        None,
        "it abstains"
    );
    let fresh = key(START.0 + 1_000);
    let later = WallMs(START.0 + 1_000);
    assert_eq!(
        replica.vote(later, &fresh, 7, holder(1, 1)),
        Some(Grant::Granted)
    );
}

/// Guards against an entry that reports all keys as undecided for ever: a peer's clock is slightly ahead, each of its
/// heartbeats moves the time up to which the replica abstains, and no key is ever new enough.
#[test]
fn peers_clock_ahead_does_not_keep_a_replica_from_voting() {
    let mut replica = Replica::new(LIMITS, START);
    let ahead = Duration::from_millis(150);
    for millis in (0..2_000).step_by(200) {
        replica.raise_start(ahead);
        let wall = WallMs(START.0 + millis);
        let vote = replica.vote(wall, &key(wall.0), 7, holder(1, 1));
        let expected = (millis > 400).then_some(Grant::Granted);
        assert_eq!(vote, expected, "{millis} ms after the start");
    }
}

/// Guards against different outcomes for two callers: a replica accepts the holder's outcome, misses the one that
/// others settled with a higher ballot, and then receives the message that the key is decided.
#[test]
fn replica_that_missed_the_decided_ballot_does_not_report_its_own_outcome() {
    let mut replica = Replica::new(LIMITS, START);
    let key = key(1_009_000);
    let ballot = |round| Ballot {
        round,
        proposer: holder(2, 9).process,
    };
    let accepted = replica.accept(LATER, &key, 7, ballot(1), &failure());
    accepted.expect("a first ballot");
    replica.learn(&key, ballot(2));
    assert_eq!(replica.decided(&key), None);
    replica.learn(&key, ballot(1));
    assert!(replica.decided(&key).is_some());
}

/// Guards against a promise that a restart loses unnoticed: the key was created further in the future than the allowed
/// clock skew, and looks new to the next incarnation of the replica.
#[test]
fn key_that_is_too_new_is_not_promised() {
    let mut replica = Replica::new(LIMITS, START);
    let ballot = Ballot {
        round: 2,
        proposer: holder(3, 1).process,
    };
    assert!(replica.prepare(LATER, &key(LATER.0 + 251), ballot).is_err());
    assert!(replica.prepare(LATER, &key(LATER.0 + 250), ballot).is_ok());
}

/// Guards against a false "not run" for a key whose tasks ran: its records have expired on all replicas, and a request
/// for a promise creates an empty record that looks as if no replica had ever voted.
#[test]
fn expired_key_is_not_promised() {
    let mut replica = Replica::new(LIMITS, START);
    let key = key(1_009_000);
    assert_eq!(
        replica.vote(LATER, &key, 7, holder(1, 1)),
        Some(Grant::Granted)
    );
    let much_later = WallMs(LATER.0 + 100_000);
    replica.expire(much_later, 10);
    assert!(replica.is_empty());
    let ballot = Ballot {
        round: 2,
        proposer: holder(3, 1).process,
    };
    assert!(replica.prepare(much_later, &key, ballot).is_err());
    assert!(replica.vote(much_later, &key, 7, holder(2, 1)) == Some(Grant::TooOld));
}

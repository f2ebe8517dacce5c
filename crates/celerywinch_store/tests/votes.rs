//! Votes and pre-votes: what has to be synced before a reply, and which keepers may vote.

use std::time::Duration;

use celerywinch_store::{
    Entry, Input, KeeperId, Membership, Output, Payload, Raft, RaftConfig, RaftMsg, Role, Snapshot,
};
use celerywinch_types::{InstanceId, Time};

fn keeper(instance: u32) -> KeeperId {
    KeeperId {
        instance: InstanceId(instance),
        disk: u64::from(instance) * 10,
    }
}

fn config(instance: u32) -> RaftConfig {
    RaftConfig {
        me: keeper(instance),
        instances: (1..=3).map(InstanceId).collect(),
        bootstrap: true,
        max_voters: usize::MAX,
        heartbeat_interval: Duration::from_millis(100),
        election_timeout: Duration::from_millis(400),
        compact_after: 128,
        seed: 1,
    }
}

fn first_entry() -> Vec<Entry> {
    let membership = Membership {
        voters: (1..=3).map(keeper).collect(),
        learners: Vec::new(),
    };
    vec![Entry {
        index: 1,
        term: 1,
        payload: Payload::Membership(membership),
    }]
}

/// Guards against two leaders in one term: a keeper votes, crashes before its vote is synced, and votes for another keeper
/// after the restart. So the reply is sent only once the vote is synced.
#[test]
fn vote_is_synced_before_the_reply() {
    let now = Time(10_000_000);
    let mut raft = Raft::new(
        config(1),
        now,
        (1, None),
        Snapshot::default(),
        first_entry(),
    );
    let request = |term| RaftMsg::Vote {
        term,
        last_log: (1, 1),
    };
    let mut out = Vec::new();
    raft.handle(now, Input::Message(keeper(2), request(5)), &mut out);
    let vote = Output::PersistVote {
        term: 5,
        vote: Some(keeper(2)),
    };
    assert!(out.contains(&vote), "{out:?}");
    let writes = out
        .iter()
        .filter(|output| !matches!(output, Output::Send(..)));
    let writes = writes
        .filter(|output| !matches!(output, Output::RoleChanged(_)))
        .count();
    let granted = RaftMsg::VoteReply {
        term: 5,
        granted: true,
    };
    let replied = |out: &[Output]| {
        let mut out = out.iter();
        out.any(|output| matches!(output, Output::Send(_, _, msg) if *msg == granted))
    };
    raft.handle(now, Input::Synced(writes - 1), &mut out);
    assert!(!replied(&out), "before it is synced: {out:?}");
    raft.handle(now, Input::Synced(1), &mut out);
    assert!(replied(&out), "{out:?}");
    // After a restart with the state that the disk held.
    let vote = (5, Some(keeper(2)));
    let mut restarted = Raft::new(config(1), now, vote, Snapshot::default(), first_entry());
    let mut out = Vec::new();
    restarted.handle(now, Input::Message(keeper(3), request(5)), &mut out);
    let granted = out.iter().any(|output| {
        matches!(
            output,
            Output::Send(_, _, RaftMsg::VoteReply { granted: true, .. })
        )
    });
    assert!(!granted, "{out:?}");
}

/// A keeper comes back with an empty disk. The entries that it had synced before are lost but may count as committed, so it
/// grants no vote and starts no election, however long it waits.
#[test]
fn empty_disk_neither_votes_nor_stands() {
    let now = Time(10_000_000);
    let mut raft = Raft::new(config(1), now, (0, None), Snapshot::default(), Vec::new());
    assert_eq!(raft.role(), Role::Blank);
    let mut out = Vec::new();
    for request in [
        RaftMsg::PreVote {
            term: 5,
            last_log: (1, 1),
        },
        RaftMsg::Vote {
            term: 5,
            last_log: (1, 1),
        },
    ] {
        raft.handle(now, Input::Message(keeper(2), request), &mut out);
    }
    for step in 1..100 {
        let later = now + Duration::from_millis(100 * step);
        raft.handle(later, Input::Tick, &mut out);
    }
    let only_hello = out.iter().all(|output| {
        matches!(
            output,
            Output::Send(_, None, RaftMsg::Hello { in_group: false })
        )
    });
    assert!(only_hello, "{out:?}");
}

/// A keeper that was cut off for long comes back and must not depose the leader that the others follow.
#[test]
fn follower_of_a_working_leader_grants_no_pre_vote() {
    let now = Time(10_000_000);
    let mut raft = Raft::new(
        config(1),
        now,
        (1, None),
        Snapshot::default(),
        first_entry(),
    );
    let mut out = Vec::new();
    let heartbeat = RaftMsg::Append {
        term: 2,
        previous: (1, 1),
        entries: Vec::new(),
        commit: 1,
    };
    raft.handle(now, Input::Message(keeper(2), heartbeat), &mut out);
    out.clear();
    let later = now + Duration::from_millis(300);
    let request = RaftMsg::PreVote {
        term: 9,
        last_log: (1, 9),
    };
    raft.handle(later, Input::Message(keeper(3), request), &mut out);
    let rejected = RaftMsg::PreVoteReply {
        term: 2,
        granted: false,
    };
    assert_eq!(out, vec![Output::Send(InstanceId(3), Some(30), rejected)]);
    let request = RaftMsg::Vote {
        term: 9,
        last_log: (1, 9),
    };
    out.clear();
    raft.handle(later, Input::Message(keeper(3), request), &mut out);
    assert_eq!((raft.term(), out), (2, Vec::new()));
}

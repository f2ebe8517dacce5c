//! Linearizable reads.

use std::time::Duration;

use celerywinch_store::{
    Entry, Input, KeeperId, Membership, Output, Payload, Raft, RaftConfig, RaftMsg, Role, Snapshot,
};
use celerywinch_types::{InstanceId, Time};
use rstest::rstest;

fn keeper(instance: u32) -> KeeperId {
    KeeperId {
        instance: InstanceId(instance),
        disk: u64::from(instance) * 10,
    }
}

/// Returns keeper 1 after it has won the election of term 2. The first entry of that term is the second of the log.
fn leader(now: Time) -> Raft {
    let config = RaftConfig {
        me: keeper(1),
        instances: (1..=3).map(InstanceId).collect(),
        bootstrap: true,
        max_voters: 3,
        heartbeat_interval: Duration::from_millis(100),
        election_timeout: Duration::from_millis(400),
        compact_after: 128,
        seed: 1,
    };
    let membership = Membership {
        voters: (1..=3).map(keeper).collect(),
        learners: Vec::new(),
    };
    let first = Entry {
        index: 1,
        term: 1,
        payload: Payload::Membership(membership),
    };
    let mut raft = Raft::new(config, now, (1, None), Snapshot::default(), vec![first]);
    let later = now + Duration::from_secs(1);
    let granted = true;
    handle(&mut raft, later, Input::Tick);
    handle(&mut raft, later, Input::Tick);
    let later = later + Duration::from_secs(1);
    handle(&mut raft, later, Input::Tick);
    for step in 0..20 {
        let now = later + Duration::from_millis(50 * step);
        handle(&mut raft, now, Input::Tick);
    }
    receive(&mut raft, 2, RaftMsg::PreVoteReply { term: 2, granted });
    handle(&mut raft, NOW, Input::Synced(1));
    receive(&mut raft, 2, RaftMsg::VoteReply { term: 2, granted });
    assert_eq!((raft.role(), raft.term()), (Role::Leader, 2));
    raft
}

const NOW: Time = Time(20_000_000);

fn handle(raft: &mut Raft, now: Time, input: Input) -> Vec<Output> {
    let mut out = Vec::new();
    raft.handle(now, input, &mut out);
    out
}

/// Handles a message from another keeper and returns the reads that it releases.
fn receive(raft: &mut Raft, instance: u32, msg: RaftMsg) -> Vec<u64> {
    let out = handle(raft, NOW, Input::Message(keeper(instance), msg));
    let readable = out.iter().filter_map(|output| match output {
        Output::ReadReady(id) => Some(*id),
        _ => None,
    });
    readable.collect()
}

fn commit_first_entry(raft: &mut Raft) {
    handle(raft, NOW, Input::Synced(1));
    let accepted = RaftMsg::AppendReply {
        term: 2,
        index: 2,
        accepted: true,
    };
    receive(raft, 2, accepted);
    assert_eq!(raft.commit_index(), 2);
}

struct Case {
    /// Whether an entry of the leader's term is committed before the read.
    committed: bool,
    /// The term and the round in the reply of keeper 2.
    reply: (u64, u64),
    released: bool,
}

/// Guards against stale reads: a leader that was deposed without noticing answers before a majority has confirmed it, or
/// before it knows the commit index.
#[rstest]
#[case::confirmed(Case { committed: true, reply: (2, 1), released: true })]
#[case::an_earlier_round(Case { committed: true, reply: (2, 0), released: false })]
#[case::an_earlier_term(Case { committed: true, reply: (1, 1), released: false })]
#[case::no_commit_in_its_term(Case { committed: false, reply: (2, 1), released: false })]
fn read_waits_for_a_majority(#[case] case: Case) {
    let mut raft = leader(Time(10_000_000));
    if case.committed {
        commit_first_entry(&mut raft);
    }
    let out = handle(&mut raft, NOW, Input::Read(7));
    let requests = out.iter().filter(|output| {
        let Output::Send(_, _, msg) = output else {
            return false;
        };
        *msg == RaftMsg::ConfirmLeader { term: 2, round: 1 }
    });
    assert_eq!(requests.count(), 2);
    assert!(!out.contains(&Output::ReadReady(7)));
    let (term, round) = case.reply;
    let released = receive(&mut raft, 2, RaftMsg::ConfirmLeaderReply { term, round });
    assert_eq!(released, if case.released { vec![7] } else { Vec::new() });
    if !case.committed {
        handle(&mut raft, NOW, Input::Synced(1));
        let accepted = RaftMsg::AppendReply {
            term: 2,
            index: 2,
            accepted: true,
        };
        assert_eq!(
            receive(&mut raft, 2, accepted),
            [7],
            "released once the entry is committed"
        );
    }
}

/// Guards against a stale read after a change of leaders: the leader learns of a later term before the confirmation arrives.
#[test]
fn read_of_a_deposed_leader_is_not_released() {
    let mut raft = leader(Time(10_000_000));
    commit_first_entry(&mut raft);
    handle(&mut raft, NOW, Input::Read(7));
    let later_term = RaftMsg::ConfirmLeader { term: 3, round: 1 };
    assert_eq!(receive(&mut raft, 3, later_term), Vec::<u64>::new());
    assert_eq!(raft.role(), Role::Follower(Some(keeper(3))));
    let delayed = RaftMsg::ConfirmLeaderReply { term: 2, round: 1 };
    assert_eq!(receive(&mut raft, 2, delayed), Vec::<u64>::new());
}

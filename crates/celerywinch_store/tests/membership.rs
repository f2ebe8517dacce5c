//! Learners beside a fixed number of voters: replacement of a lost voter, and its return.

use std::collections::BTreeSet;
use std::time::Duration;

use celerywinch_store::{
    Input, KeeperId, Membership, Output, Raft, RaftConfig, RaftMsg, Role, Snapshot,
};
use celerywinch_types::{InstanceId, Time};

const STEP: Duration = Duration::from_millis(25);

/// Keepers whose disks sync immediately, connected by a network without delay.
struct Net {
    keepers: Vec<Raft>,
    down: BTreeSet<usize>,
    now: Time,
}

fn id(index: usize) -> KeeperId {
    KeeperId {
        instance: InstanceId(index as u32 + 1),
        disk: index as u64 + 100,
    }
}

impl Net {
    /// Creates keepers with empty disks. The first three form the group; the others look for it.
    fn new(count: usize) -> Self {
        let now = Time(10_000_000);
        let keeper = |index: usize| {
            let config = RaftConfig {
                me: id(index),
                instances: (1..=3).map(InstanceId).collect(),
                bootstrap: true,
                max_voters: 3,
                heartbeat_interval: Duration::from_millis(100),
                election_timeout: Duration::from_millis(400),
                compact_after: 128,
                seed: index as u64,
            };
            Raft::new(config, now, (0, None), Snapshot::default(), Vec::new())
        };
        Self {
            keepers: (0..count).map(keeper).collect(),
            down: BTreeSet::new(),
            now,
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            for index in 0..self.keepers.len() {
                self.input(index, Input::Tick);
            }
        }
    }

    fn input(&mut self, index: usize, input: Input) {
        let mut inputs = vec![(index, input)];
        while let Some((index, input)) = inputs.pop() {
            if self.down.contains(&index) {
                continue;
            }
            let mut out = Vec::new();
            self.keepers[index].handle(self.now, input, &mut out);
            for output in out {
                match output {
                    Output::PersistVote { .. }
                    | Output::Truncate(_)
                    | Output::PersistEntries(_)
                    | Output::PersistSnapshot(_) => inputs.insert(0, (index, Input::Synced(1))),
                    Output::Send(to, _, msg) => {
                        let msg: RaftMsg = msg;
                        let from = Input::Message(id(index), msg);
                        inputs.insert(0, (to.0 as usize - 1, from));
                    }
                    _ => {}
                }
            }
        }
    }

    fn leader(&self) -> usize {
        let up = (0..self.keepers.len()).filter(|index| !self.down.contains(index));
        let mut leaders = up.filter(|index| self.keepers[*index].role() == Role::Leader);
        leaders.next().expect("a leader")
    }

    fn membership(&self) -> Membership {
        self.keepers[self.leader()].membership()
    }
}

/// With four keepers, three are voters and the fourth is a learner. Four voters would tolerate the loss of one keeper, no more
/// than three do, and the loss of two would stop all changes.
#[test]
fn fourth_keeper_is_a_learner() {
    let mut net = Net::new(4);
    net.run(Duration::from_secs(4));
    let membership = net.membership();
    assert_eq!(membership.voters, [id(0), id(1), id(2)]);
    assert_eq!(membership.learners, [id(3)]);
}

/// Guards against a permanent stop of changes: a voter is lost, the learner does not replace it within a second, and a second
/// voter is lost then. Also guards against a replaced voter that comes back with its old log, finds no leader and never answers a request.
#[test]
fn lost_voter_is_replaced_and_returns_as_learner() {
    let mut net = Net::new(4);
    net.run(Duration::from_secs(4));
    let lost = (0..3)
        .find(|index| *index != net.leader())
        .expect("a follower");
    net.down.insert(lost);
    net.run(Duration::from_millis(400));
    assert!(
        net.membership().voters.contains(&id(lost)),
        "a pause may take this long"
    );
    net.run(Duration::from_millis(600));
    let membership = net.membership();
    assert_eq!(membership.voters.len(), 3);
    assert!(
        membership.voters.contains(&id(3)) && !membership.voters.contains(&id(lost)),
        "{membership:?}"
    );
    net.down.remove(&lost);
    net.run(Duration::from_secs(6));
    let membership = net.membership();
    assert!(membership.learners.contains(&id(lost)), "{membership:?}");
    let commits = (
        net.keepers[lost].commit_index(),
        net.keepers[net.leader()].commit_index(),
    );
    assert_eq!(commits.0, commits.1, "it has the whole log");
}

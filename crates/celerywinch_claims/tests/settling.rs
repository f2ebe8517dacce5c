//! The outcome proposed for a key whose holder is gone.

use std::sync::Arc;

use celerywinch_claims::{Group, Promise, Promises};
use celerywinch_types::{
    Ballot, Holder, Incarnation, InstanceId, Outcome, Process, Ran, RefusalReason, Step, VoteState,
};
use rstest::rstest;

fn holder(instance: u32) -> Holder {
    Holder {
        process: Process {
            instance: InstanceId(instance),
            incarnation: Incarnation(1),
        },
        attempt: 1,
    }
}

fn promise(vote: VoteState) -> Promise {
    Promise {
        vote,
        digest: 7,
        accepted: None,
    }
}

/// The promises of replicas in a group of three.
struct Case {
    promises: &'static [(u32, Vote)],
    not_run: bool,
}

#[derive(Clone, Copy)]
enum Vote {
    None,
    For(u32),
    Void(u32),
}

impl Vote {
    fn state(self) -> VoteState {
        match self {
            Self::None => VoteState::None,
            Self::For(instance) => VoteState::For(holder(instance)),
            Self::Void(instance) => VoteState::Void(holder(instance)),
        }
    }
}

/// Guards against a false "not run": it is proposed only if no holder can have had a majority of the votes.
#[rstest]
#[case::nobody(Case { promises: &[(1, Vote::None), (2, Vote::None)], not_run: true })]
#[case::one_vote_and_one_missing(Case {
    promises: &[(1, Vote::For(9)), (2, Vote::None)],
    not_run: false,
})]
#[case::one_vote_and_all_promised(Case {
    promises: &[(1, Vote::For(9)), (2, Vote::None), (3, Vote::None)],
    not_run: true,
})]
#[case::majority(Case { promises: &[(1, Vote::For(9)), (2, Vote::For(9))], not_run: false })]
#[case::split_with_one_missing(Case {
    promises: &[(1, Vote::For(1)), (2, Vote::For(2))],
    not_run: false,
})]
#[case::split_and_void(Case {
    promises: &[(1, Vote::Void(1)), (2, Vote::Void(2))],
    not_run: true,
})]
#[case::void_by_its_holder(Case {
    promises: &[(1, Vote::Void(1)), (2, Vote::For(1))],
    not_run: true,
})]
fn not_run_is_proposed_only_if_it_is_certain(#[case] case: Case) {
    let group = Group::new((1..=3).map(InstanceId).collect());
    let mut promises = Promises::default();
    for (instance, vote) in case.promises {
        promises.add(InstanceId(*instance), promise(vote.state()));
    }
    let proposal = promises.proposal(&Arc::new(group));
    let not_run = matches!(
        &proposal,
        Outcome::Refusal(refusal) if refusal.reason == RefusalReason::Unclaimed
    );
    assert_eq!(not_run, case.not_run, "{proposal:?}");
}

/// Guards against different outcomes for two callers of one key: a majority accepted the holder's answer, the holder
/// crashed, and the instance that settles the key proposes a failure of its own.
#[test]
fn accepted_outcome_is_proposed_again() {
    let group = Group::new((1..=3).map(InstanceId).collect());
    let answer = Outcome::Answer(Vec::new());
    let other = Outcome::failure(Ran::Maybe, Step::Claim, &"x", "x");
    let at = |round, outcome: &Outcome| {
        let proposer = holder(9).process;
        Promise {
            accepted: Some((Ballot { round, proposer }, outcome.clone())),
            ..promise(VoteState::For(holder(9)))
        }
    };
    let mut promises = Promises::default();
    promises.add(InstanceId(1), at(1, &answer));
    promises.add(InstanceId(2), at(3, &other));
    assert_eq!(
        promises.proposal(&group),
        other,
        "the highest ballot counts"
    );
}

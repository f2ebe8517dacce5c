use std::time::Duration;

use celerywinch_types::{DataCentreId, InstanceId};
use rstest::rstest;

use super::{Change, Group, Member};
use crate::KeeperId;

const MAX_SILENCE: Duration = Duration::from_millis(600);

fn id(instance: u32) -> KeeperId {
    KeeperId {
        instance: InstanceId(instance),
        disk: 0,
    }
}

/// A keeper that answers and has the whole log.
fn member(instance: u32, dc: u8) -> Member {
    Member {
        keeper: id(instance),
        dc: Some(DataCentreId(dc)),
        silence: Duration::ZERO,
        has_log: true,
        caught_up: true,
        leaving: false,
        admitted: None,
    }
}

fn lost(member: Member) -> Member {
    Member {
        silence: MAX_SILENCE + Duration::from_millis(1),
        ..member
    }
}

fn leaving(member: Member) -> Member {
    Member {
        leaving: true,
        ..member
    }
}

fn joined(member: Member) -> Member {
    Member {
        admitted: Some(0),
        ..member
    }
}

fn behind(member: Member) -> Member {
    Member {
        caught_up: false,
        ..member
    }
}

/// A group of which keeper 1 is the leader, and its next change.
struct Case {
    voters: Vec<Member>,
    learners: Vec<Member>,
    change: Option<Change>,
}

/// Guards against a group that a loss which the settings allow leaves without a majority: a voter that is lost, stops, or has a
/// successor votes on beside a keeper that could take its place.
#[rstest]
#[case::nothing_to_change(Case {
    voters: vec![member(1, 1), member(2, 2), member(3, 3)],
    learners: vec![member(4, 3)],
    change: None,
})]
#[case::successor(Case {
    voters: vec![member(1, 1), member(2, 2), member(3, 3)],
    learners: vec![joined(member(4, 3))],
    change: Some(Change::Promote(id(4))),
})]
#[case::successor_is_behind(Case {
    voters: vec![member(1, 1), member(2, 2), member(3, 3)],
    learners: vec![joined(behind(member(4, 3)))],
    change: None,
})]
#[case::successor_votes(Case {
    voters: vec![member(1, 1), member(2, 2), member(3, 3), joined(member(4, 3))],
    learners: vec![],
    change: Some(Change::Demote(id(3))),
})]
#[case::successor_of_the_leader_votes(Case {
    voters: vec![member(1, 1), member(2, 2), member(3, 3), joined(member(4, 1))],
    learners: vec![],
    change: Some(Change::Demote(id(1))),
})]
#[case::successor_of_an_unknown_keeper(Case {
    voters: vec![member(1, 1), member(2, 2), member(3, 3)],
    learners: vec![joined(member(4, 4))],
    change: None,
})]
#[case::lost_voter(Case {
    voters: vec![member(1, 1), member(2, 2), lost(member(3, 3))],
    learners: vec![member(4, 4)],
    change: Some(Change::Promote(id(4))),
})]
#[case::lost_voter_is_replaced(Case {
    voters: vec![member(1, 1), member(2, 2), lost(member(3, 3)), member(4, 4)],
    learners: vec![],
    change: Some(Change::Remove(id(3))),
})]
#[case::lost_voter_without_another(Case {
    voters: vec![member(1, 1), member(2, 2), lost(member(3, 3))],
    learners: vec![lost(member(4, 4))],
    change: None,
})]
#[case::lost_voter_beside_a_keeper_that_made_way(Case {
    voters: vec![member(1, 1), lost(member(2, 2)), joined(member(4, 3))],
    learners: vec![member(3, 3)],
    change: Some(Change::Promote(id(3))),
})]
#[case::leaving_voter(Case {
    voters: vec![member(1, 1), leaving(member(2, 2)), member(3, 3)],
    learners: vec![member(4, 4)],
    change: Some(Change::Promote(id(4))),
})]
#[case::leaving_voter_is_replaced(Case {
    voters: vec![member(1, 1), leaving(member(2, 2)), member(3, 3), member(4, 4)],
    learners: vec![],
    change: Some(Change::Demote(id(2))),
})]
#[case::leaving_goes_before_making_way(Case {
    voters: vec![member(1, 1), leaving(member(2, 2)), member(3, 3), joined(member(4, 3))],
    learners: vec![],
    change: Some(Change::Demote(id(2))),
})]
#[case::leaving_voter_without_another(Case {
    voters: vec![member(1, 1), leaving(member(2, 2)), member(3, 3)],
    learners: vec![leaving(member(4, 4))],
    change: None,
})]
#[case::enough_keepers_for_a_spare(Case {
    voters: vec![member(1, 1), member(2, 2), member(3, 3)],
    learners: vec![member(4, 4), joined(member(5, 3))],
    change: Some(Change::Promote(id(4))),
})]
#[case::all_five_vote(Case {
    voters: (1..=5).map(|n| member(n, n as u8)).collect(),
    learners: vec![],
    change: None,
})]
#[case::spare_voter_is_lost(Case {
    voters: vec![member(1, 1), member(2, 2), member(3, 3), member(4, 4), lost(member(5, 5))],
    learners: vec![],
    change: Some(Change::Remove(id(5))),
})]
#[case::voters_of_one_data_centre(Case {
    voters: vec![member(1, 1), member(2, 1), member(3, 2)],
    learners: vec![member(4, 1), member(5, 2), member(6, 3)],
    change: Some(Change::Promote(id(6))),
})]
#[case::crowded_data_centre(Case {
    voters: vec![member(1, 1), member(2, 1), member(3, 2), member(6, 3)],
    learners: vec![],
    change: Some(Change::Demote(id(2))),
})]
#[case::five_voters_of_one_data_centre(Case {
    voters: (1..=5).map(|n| member(n, 1)).collect(),
    learners: vec![member(6, 2), member(7, 3)],
    change: Some(Change::Promote(id(6))),
})]
#[case::six_voters_of_two_data_centres(Case {
    voters: (1..=5).map(|n| member(n, 1)).chain([member(6, 2)]).collect(),
    learners: vec![member(7, 3)],
    change: Some(Change::Demote(id(5))),
})]
#[case::unknown_data_centre(Case {
    voters: (1..=5).map(|n| Member { dc: None, ..member(n, 1) }).collect(),
    learners: vec![member(6, 2)],
    change: None,
})]
#[case::four_voters_without_another(Case {
    voters: (1..=4).map(|n| member(n, n as u8)).collect(),
    learners: vec![],
    change: None,
})]
fn voters_are_changed_before_or_soon_after_a_loss(#[case] case: Case) {
    let group = Group {
        leader: id(1),
        voters: case.voters,
        learners: case.learners,
        max_voters: 3,
        max_silence: MAX_SILENCE,
    };
    assert_eq!(group.next_change(), case.change);
}

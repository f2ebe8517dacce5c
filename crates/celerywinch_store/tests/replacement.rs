//! Machines that are replaced, each followed by the losses that the settings allow.

mod net;

use std::time::Duration;

use net::{Loss, Net};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// How long a machine counts as lost after it is back, or has started.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Within this time after the last loss, requests are served again.
const RECOVERY: Duration = Duration::from_secs(12);
const DOWN: Duration = Duration::from_secs(1);
/// Time in which a change is acknowledged while nothing is lost.
const ACK: Duration = Duration::from_secs(4);

/// Checks that the acknowledged commands are read back, and that another one is acknowledged.
fn check(net: &mut Net, what: &str) {
    net.run(RECOVERY);
    let Some(read) = net.read(ACK) else {
        panic!("{what}: no read is confirmed");
    };
    let lost: Vec<_> = net
        .acknowledged
        .iter()
        .filter(|c| !read.contains(c))
        .collect();
    assert!(lost.is_empty(), "{what}: {lost:?} of {read:?} are lost");
    let command = net.acknowledged.len() as u8 + 1;
    assert!(net.put(command, ACK), "{what}: no change is acknowledged");
}

/// Replaces a keeper by one in data centre `dc`, which has caught up by then, and returns the new one.
fn replace(net: &mut Net, removed: usize, dc: u8, how: Loss) -> usize {
    let successor = net.add(dc, false);
    net.run(CATCH_UP);
    net.lose(removed, how);
    successor
}

/// Loses keepers at once and starts them again after [`DOWN`].
fn lose_and_restore(net: &mut Net, lost: &[usize], how: Loss) {
    for index in lost {
        net.lose(*index, how);
    }
    net.run(DOWN);
    for index in lost {
        net.restore(*index);
    }
}

/// Guards against a configuration that is never read back: a machine is replaced, and at the moment of its removal or later
/// another one loses its disk, which the settings allow. The removed one still counted towards the majority.
#[rstest]
fn loss_after_a_replacement_is_borne(
    #[values(0, 1, 2)] removed: usize,
    #[values(Loss::Stopped, Loss::Removed)] how: Loss,
    #[values(0, 100, 300, 600, 1_000, 4_200)] pause: u64,
    #[values(Loss::Disk, Loss::Restart)] loss: Loss,
) {
    for seed in 1..=3 {
        for lost in 0..3 {
            let mut net = Net::start(3, 1, 1, seed);
            assert!(net.put(1, ACK));
            let dc = net.dc(removed);
            let successor = replace(&mut net, removed, dc, how);
            let mut rest: Vec<_> = (0..3).filter(|index| *index != removed).collect();
            rest.push(successor);
            let lost = rest[lost];
            net.run(Duration::from_millis(pause));
            if pause >= 1_000 {
                assert!(net.put(2, ACK));
            }
            lose_and_restore(&mut net, &[lost], loss);
            check(&mut net, &format!("{lost} is lost, seed {seed}"));
        }
    }
}

/// The same with a successor in another data centre, which does not show whom it replaces: the group bears the next loss once
/// the removed machine was silent for long enough, or at once if it has said that it stops.
#[rstest]
fn loss_after_a_replacement_in_another_data_centre_is_borne(
    #[values(0, 1, 2)] removed: usize,
    #[values((Loss::Stopped, 0), (Loss::Stopped, 1_000), (Loss::Removed, 1_000), (Loss::Removed, 4_200))]
    how: (Loss, u64),
    #[values(Loss::Disk, Loss::Restart)] loss: Loss,
) {
    for seed in 1..=3 {
        for (lost, dc) in [(0, 1), (1, 1), (2, 1), (0, 2), (1, 2), (2, 2)] {
            let mut net = Net::start(3, 1, 1, seed);
            assert!(net.put(1, ACK));
            let dc = (net.dc(removed) + dc) % 3;
            let successor = replace(&mut net, removed, dc, how.0);
            let mut rest: Vec<_> = (0..3).filter(|index| *index != removed).collect();
            rest.push(successor);
            let lost = rest[lost];
            net.run(Duration::from_millis(how.1));
            lose_and_restore(&mut net, &[lost], loss);
            check(&mut net, &format!("{lost} is lost, seed {seed}"));
        }
    }
}

/// Guards against the same fault after two replacements one after the other, in each order.
#[rstest]
fn loss_after_two_replacements_is_borne(
    #[values(0, 1, 2)] first: usize,
    #[values(0, 1, 2, 3)] second: usize,
    #[values(Loss::Stopped, Loss::Removed)] how: Loss,
    #[values(0, 1_000)] pause: u64,
) {
    if first == second {
        return;
    }
    for lost in 0..3 {
        let mut net = Net::start(3, 1, 1, 7);
        assert!(net.put(1, ACK));
        let dc = net.dc(first);
        replace(&mut net, first, dc, how);
        net.run(Duration::from_millis(pause));
        let dc = net.dc(second);
        replace(&mut net, second, dc, how);
        net.run(Duration::from_millis(pause));
        let lost = net.up()[lost];
        lose_and_restore(&mut net, &[lost], Loss::Disk);
        check(&mut net, &format!("{lost} is lost"));
    }
}

/// Guards against the same fault when two successors start before either machine is removed, or the leader is replaced.
#[rstest]
fn loss_after_two_replacements_at_once_is_borne(
    #[values(0, 1, 2)] kept: usize,
    #[values(Loss::Stopped, Loss::Removed)] how: Loss,
    #[values(0, 1, 2)] lost: usize,
) {
    let mut net = Net::start(3, 1, 1, 3);
    assert!(net.put(1, ACK));
    let removed: Vec<_> = (0..3).filter(|index| *index != kept).collect();
    for index in &removed {
        let dc = net.dc(*index);
        net.add(dc, false);
    }
    net.run(CATCH_UP);
    for index in removed {
        net.lose(index, how);
        net.run(Duration::from_secs(1));
    }
    let lost = net.up()[lost];
    lose_and_restore(&mut net, &[lost], Loss::Disk);
    check(&mut net, &format!("{lost} is lost"));
}

/// The size of a deployment.
#[derive(Clone, Copy, Debug)]
struct Size {
    dcs: u8,
    per_dc: u8,
    losses: usize,
}

/// Guards against the same fault in larger deployments, where a machine is removed and as many others lose their disks at that
/// moment as the settings allow, among them other voters first.
#[rstest]
#[case::four_keepers(Size { dcs: 4, per_dc: 1, losses: 1 })]
#[case::two_in_each_of_three(Size { dcs: 3, per_dc: 2, losses: 2 })]
#[case::two_in_each_of_four(Size { dcs: 4, per_dc: 2, losses: 2 })]
#[case::five_in_each_of_five(Size { dcs: 5, per_dc: 5, losses: 2 })]
fn losses_at_the_moment_of_a_removal_are_borne(
    #[case] size: Size,
    #[values(Loss::Stopped, Loss::Removed)] how: Loss,
    #[values(0, 1_000)] pause: u64,
) {
    let net = Net::start(size.dcs, size.per_dc, size.losses, 5);
    let keepers = net.up().len();
    let voters = net.voters();
    drop(net);
    for removed in (0..keepers).filter(|k| voters.contains(k)) {
        let mut net = Net::start(size.dcs, size.per_dc, size.losses, 5);
        assert!(net.put(1, ACK));
        let dc = net.dc(removed);
        net.add(dc, false);
        net.run(CATCH_UP);
        let voters = net.voters();
        net.lose(removed, how);
        net.run(Duration::from_millis(pause));
        let mut others = net.up();
        others.sort_by_key(|index| !voters.contains(index));
        others.truncate(size.losses);
        lose_and_restore(&mut net, &others, Loss::Disk);
        check(
            &mut net,
            &format!("{removed} is removed, {others:?} are lost"),
        );
    }
}

/// Guards against any series of replacements and losses within what the settings allow after which the group does not serve, or
/// has lost what it acknowledged.
#[rstest]
#[case::three_keepers(Size { dcs: 3, per_dc: 1, losses: 1 })]
#[case::four_keepers(Size { dcs: 4, per_dc: 1, losses: 1 })]
#[case::two_in_each_of_three(Size { dcs: 3, per_dc: 2, losses: 2 })]
#[case::two_in_each_of_four(Size { dcs: 4, per_dc: 2, losses: 2 })]
fn series_of_replacements_and_losses_are_borne(#[case] size: Size) {
    for seed in 1..=60 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut net = Net::start(size.dcs, size.per_dc, size.losses, seed);
        let mut history = Vec::new();
        for _ in 0..6 {
            let command = net.acknowledged.len() as u8 + 1;
            assert!(net.put(command, ACK), "seed {seed}: {history:?}");
            if random.random_bool(0.5) {
                let removed = *net.up().choose(&mut random).expect("a keeper");
                let how = *[Loss::Stopped, Loss::Removed]
                    .choose(&mut random)
                    .expect("a loss");
                let same_dc = random.random_bool(0.7);
                let dc = if same_dc {
                    net.dc(removed)
                } else {
                    random.random_range(0..size.dcs)
                };
                history.push(format!("{how:?} {removed}, successor in {dc}"));
                replace(&mut net, removed, dc, how);
                // Only a successor in the same data centre shows whom it replaces before that one is silent.
                let least = if same_dc { 0 } else { 1_000 };
                net.run(Duration::from_millis(random.random_range(least..2_000)));
            } else {
                let count = random.random_range(1..=size.losses);
                let up = net.up();
                let lost: Vec<_> = up.choose_multiple(&mut random, count).copied().collect();
                let how = *[Loss::Disk, Loss::Restart]
                    .choose(&mut random)
                    .expect("a loss");
                history.push(format!("{how:?} {lost:?}"));
                lose_and_restore(&mut net, &lost, how);
                net.run(CATCH_UP);
            }
        }
        check(&mut net, &format!("seed {seed}: {history:?}"));
    }
}

/// Guards against a configuration that is neither read nor changed while a data centre is lost: it had a majority of the voters.
/// The second loss follows when those of the first are back.
#[rstest]
#[case::one_in_each_of_three(Size { dcs: 3, per_dc: 1, losses: 1 })]
#[case::one_in_each_of_four(Size { dcs: 4, per_dc: 1, losses: 1 })]
#[case::two_in_each_of_three(Size { dcs: 3, per_dc: 2, losses: 2 })]
#[case::two_in_each_of_four(Size { dcs: 4, per_dc: 2, losses: 2 })]
#[case::five_in_each_of_five(Size { dcs: 5, per_dc: 5, losses: 2 })]
fn loss_of_a_data_centre_is_borne(
    #[case] size: Size,
    #[values(false, true)] first_three_in_one: bool,
) {
    for first in 0..size.dcs {
        let mut keepers: Vec<_> = (0..size.dcs * size.per_dc).map(|k| k % size.dcs).collect();
        if first_three_in_one {
            keepers.sort_unstable();
        }
        let mut net = Net::start_in(&keepers, size.losses, 9);
        for dc in [first, (first + 1) % size.dcs] {
            let lost: Vec<_> = net.up().into_iter().filter(|k| net.dc(*k) == dc).collect();
            for keeper in &lost {
                net.lose(*keeper, Loss::Restart);
            }
            let command = net.acknowledged.len() as u8 + 1;
            assert!(net.put(command, ACK), "{dc} is lost");
            assert!(net.read(ACK).is_some(), "{dc} is lost");
            for keeper in lost {
                net.restore(keeper);
            }
            net.run(CATCH_UP);
        }
        check(&mut net, "all are back");
    }
}

/// Guards against the same fault where the keepers of one data centre are found first, or most others were lost for a while.
#[rstest]
#[case::two_in_each_of_three(Size { dcs: 3, per_dc: 2, losses: 2 })]
#[case::two_in_each_of_four(Size { dcs: 4, per_dc: 2, losses: 2 })]
#[case::five_in_each_of_five(Size { dcs: 5, per_dc: 5, losses: 2 })]
fn voters_are_spread_over_data_centres_found_later(
    #[case] size: Size,
    #[values(0, 1_000)] pause: u64,
) {
    let mut net = Net::start_in(&vec![0; usize::from(size.per_dc).max(3)], size.losses, 9);
    for dc in 1..size.dcs {
        for _ in 0..size.per_dc {
            net.add(dc, false);
        }
        net.run(Duration::from_millis(pause));
    }
    net.run(CATCH_UP);
    for dc in 0..size.dcs {
        let lost: Vec<_> = net.up().into_iter().filter(|k| net.dc(*k) == dc).collect();
        for keeper in &lost {
            net.lose(*keeper, Loss::Restart);
        }
        let command = net.acknowledged.len() as u8 + 1;
        assert!(net.put(command, ACK), "{dc} is lost");
        for keeper in lost {
            net.restore(keeper);
        }
        net.run(CATCH_UP);
    }
    check(&mut net, "all are back");
}

/// Guards against seconds without a leader when the leader stops as planned: it passes the leadership on.
#[test]
fn leader_that_stops_passes_the_leadership_on() {
    for seed in 1..=10 {
        let mut net = Net::start(3, 1, 1, seed);
        let leader = net.leader().expect("a leader");
        let began = net.now;
        net.lose(leader, Loss::Stopped);
        assert!(net.put(1, ACK));
        let took = net.now.since(began);
        assert!(took < Duration::from_millis(250), "{took:?}, seed {seed}");
    }
}

/// Guards against changes of the membership without end: once the keepers are known, they stay as they are.
#[rstest]
#[case(Size { dcs: 3, per_dc: 1, losses: 1 })]
#[case(Size { dcs: 4, per_dc: 1, losses: 1 })]
#[case(Size { dcs: 3, per_dc: 2, losses: 2 })]
#[case(Size { dcs: 5, per_dc: 5, losses: 2 })]
fn voters_are_stable(#[case] size: Size) {
    let mut net = Net::start(size.dcs, size.per_dc, size.losses, 1);
    let membership = net.membership();
    assert!(membership.voters.len() > size.losses * 2);
    net.run(Duration::from_secs(60));
    assert_eq!(net.membership(), membership);
    net.add(0, false);
    net.run(CATCH_UP);
    let membership = net.membership();
    net.run(Duration::from_secs(20));
    assert_eq!(net.membership(), membership);
}

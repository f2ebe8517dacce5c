//! The mean share in use, over time.

use rstest::rstest;

use super::*;

struct Case {
    /// Observations in turn, in steps of 20 ms: how many, and the share in use while tasks wait.
    observed: &'static [(u32, Option<f64>)],
    /// Bounds of the learned share.
    share: (f64, f64),
}

#[rstest]
#[case::nothing_waits(Case { observed: &[(1_000, None)], share: (0.85, 0.85) })]
#[case::halves_that_do_not_fit(Case { observed: &[(1_000, Some(0.66))], share: (0.66, 0.67) })]
#[case::a_moment(Case { observed: &[(5, Some(0.5))], share: (0.84, 0.85) })]
#[case::some_seconds(Case { observed: &[(250, Some(0.65))], share: (0.70, 0.75) })]
#[case::keeps_while_nothing_waits(Case { observed: &[(1_000, Some(0.7)), (5_000, None)], share: (0.70, 0.71) })]
#[case::recovers(Case { observed: &[(1_000, Some(0.6)), (1_000, Some(0.9))], share: (0.88, 0.90) })]
#[case::lower_bound(Case { observed: &[(3_000, Some(0.1))], share: (0.50, 0.51) })]
#[case::upper_bound(Case { observed: &[(3_000, Some(1.0))], share: (0.94, 0.95) })]
fn share_follows_what_is_observed(#[case] case: Case) {
    let mut packing = Packing::default();
    let mut now = Time(1_000_000);
    for (count, used) in case.observed {
        for _ in 0..*count {
            packing.observe(now, *used);
            now = now + Duration::from_millis(20);
        }
    }
    let (low, high) = case.share;
    let share = packing.share();
    assert!((low..=high).contains(&share), "{share} in {low}..={high}");
}

/// Guards against one observation that counts for all the time in which the process was suspended.
#[test]
fn long_gap_counts_little() {
    let mut packing = Packing::default();
    packing.observe(Time(1_000_000), Some(0.5));
    packing.observe(Time(60_000_000), None);
    assert!(packing.share() > 0.84, "{}", packing.share());
}

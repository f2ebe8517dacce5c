//! Sizes learned from recent needs.

use rstest::rstest;

use super::*;

struct Case {
    /// Needs in turn: how many steps, and their need.
    needs: &'static [(usize, u32)],
    quartiles: Option<[u32; 4]>,
}

#[rstest]
#[case::none(Case { needs: &[], quartiles: None })]
#[case::one(Case { needs: &[(1, 16_384)], quartiles: Some([16_384; 4]) })]
#[case::four(Case {
    needs: &[(1, 1_024), (1, 2_048), (1, 4_096), (1, 8_192), (1, 16_384)],
    quartiles: Some([2_048, 4_096, 8_192, 16_384]),
})]
#[case::rare_large_ones(Case {
    needs: &[(60, 1_024), (4, 16_384)], quartiles: Some([1_024, 1_024, 1_024, 16_384]),
})]
#[case::earlier_ones_are_forgotten(Case { needs: &[(64, 16_384), (64, 1_024)], quartiles: Some([1_024; 4]) })]
fn quartiles_of_recent_needs(#[case] case: Case) {
    let mut sizes = Sizes::default();
    for (count, cpu) in case.needs {
        for _ in 0..*count {
            sizes.record(*cpu);
        }
    }
    let quartiles = sizes.quartiles();
    assert_eq!(quartiles.map(|four| four.map(Size::cpu)), case.quartiles);
}

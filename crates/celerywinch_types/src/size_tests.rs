//! Sizes of tasks, and the capacity that is reported for them.

use rstest::rstest;

use super::*;

/// A size covers its need, and little more.
#[rstest]
#[case(1)]
#[case(16)]
#[case(17)]
#[case(1_000)]
#[case(12_800)]
#[case(16_000)]
#[case(19_200)]
#[case(900_000)]
fn size_covers_its_need(#[case] cpu: u32) {
    let covered = Size::covering(cpu).cpu();
    assert!(covered >= cpu, "{covered}");
    assert!(
        f64::from(covered) <= f64::from(cpu.max(16)) * 1.05 + 1.0,
        "{covered}"
    );
    assert_eq!(Size::covering(covered - 1).cpu(), covered);
}

fn load(sizes: [(u32, u8); 4]) -> Load {
    let sizes = sizes.map(|(cpu, free)| SizedRoom {
        size: if cpu == 0 {
            Size::default()
        } else {
            Size::covering(cpu)
        },
        free,
    });
    Load {
        free: 7,
        sizes,
        ..Load::default()
    }
}

struct Case {
    sizes: [(u32, u8); 4],
    cpu: u32,
    free: u32,
}

const QUARTILES: [(u32, u8); 4] = [(13_000, 9), (16_000, 4), (18_000, 2), (19_000, 0)];

#[rstest]
#[case::not_reported(Case { sizes: [(0, 0); 4], cpu: 16_000, free: 7 })]
#[case::smaller_than_all(Case { sizes: QUARTILES, cpu: 1_000, free: 9 })]
#[case::covered(Case { sizes: QUARTILES, cpu: 15_000, free: 4 })]
#[case::next_size(Case { sizes: QUARTILES, cpu: 17_500, free: 2 })]
#[case::largest(Case { sizes: QUARTILES, cpu: 19_000, free: 0 })]
#[case::larger_than_all(Case { sizes: [(13_000, 9), (13_000, 9), (16_000, 4), (18_000, 2)], cpu: 30_000, free: 2 })]
fn free_capacity_depends_on_the_need(#[case] case: Case) {
    assert_eq!(load(case.sizes).free_for(case.cpu), case.free);
}

#[rstest]
#[case::some(3, 4, 0, [6, 1, 0, 0])]
#[case::more_than_free(9, 0, 2, [0, 0, 0, 0])]
fn submitted_tasks_take_capacity_of_all_sizes(
    #[case] tasks: u32,
    #[case] free: u32,
    #[case] rest: u32,
    #[case] sizes: [u8; 4],
) {
    let mut load = load(QUARTILES);
    assert_eq!(load.take(tasks), rest);
    assert_eq!((load.free, load.sizes.map(|room| room.free)), (free, sizes));
}

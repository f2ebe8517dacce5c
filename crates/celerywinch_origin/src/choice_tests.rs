//! Choice among dispatchers that report their capacity by size.

use celerywinch_types::{Size, SizedRoom};
use rstest::rstest;

use super::*;

const DC: DataCentreId = DataCentreId(0);
/// Need of the job, in thousandths of a core.
const CPU: u32 = 18_000;

/// A dispatcher with room for `free` tasks of the usual size and, if it reports sizes, for `fitting` tasks of the job's.
fn holder(instance: u32, free: u32, fitting: Option<u8>) -> Holder {
    let mut load = Load {
        free,
        ..Load::default()
    };
    if let Some(fitting) = fitting {
        let size = Size::covering(CPU);
        load.sizes = [SizedRoom {
            size,
            free: fitting,
        }; 4];
    }
    Holder {
        domain: Domain {
            dc: DC,
            shard: instance as u8,
        },
        instance: InstanceId(instance),
        load,
        preferred: true,
        local: true,
    }
}

struct Case {
    holders: [(u32, Option<u8>); 2],
    /// The one that must be chosen for any job; none if both may be.
    chosen: Option<u32>,
}

/// Guards against jobs that are passed from one dispatcher to the next because their tasks fit no hole of those with the most free
/// capacity. If none reports a hole that fits, the free capacity decides as before.
#[rstest]
#[case::not_reported(Case { holders: [(9, None), (2, None)], chosen: Some(1) })]
#[case::only_one_fits(Case { holders: [(9, Some(0)), (2, Some(2))], chosen: Some(2) })]
#[case::more_fit(Case { holders: [(9, Some(1)), (2, Some(3))], chosen: Some(2) })]
#[case::none_fits(Case { holders: [(9, Some(0)), (2, Some(0))], chosen: Some(1) })]
#[case::one_reports_none(Case { holders: [(9, Some(0)), (2, None)], chosen: Some(2) })]
fn dispatcher_with_a_hole_that_fits(#[case] case: Case) {
    let holders: Vec<_> = (1..)
        .zip(case.holders)
        .map(|(instance, (free, fitting))| holder(instance, free, fitting))
        .collect();
    for job in 0..50 {
        let choice = choose(
            &holders,
            &Request {
                dc: DC,
                job: JobId(job),
                priority: 0,
                tasks: 4,
                cpu: CPU,
                full: &[],
                step: 0,
                unplaced: &BTreeSet::new(),
                reservable: false,
            },
        );
        let instance = choice.and_then(|route| match route {
            Route::Submit(choice) => Some(choice.holder.instance.0),
            Route::Reserve => None,
        });
        assert_eq!(instance, case.chosen, "job {job}");
    }
}

//! Messages of connections that were given up.

use celerywinch_links::{LatestStreams, Ticket};
use celerywinch_types::{Incarnation, InstanceId, Process};
use rstest::rstest;

/// The clock of the second was set back: its number is lower.
const FIRST: Process = process(9);
const SECOND: Process = process(1);

const fn process(incarnation: u64) -> Process {
    Process {
        instance: InstanceId(4),
        incarnation: Incarnation(incarnation),
    }
}

/// What happens to streams, in order; they are numbered as they are asked for, from 1 on.
#[derive(Clone, Copy)]
enum Step {
    Asked,
    Confirmed(Process, u64),
}
use Step::{Asked, Confirmed};

struct Case {
    steps: &'static [Step],
    latest: (Process, u64),
    dropped: &'static [(Process, u64)],
}

/// A task runs though its caller was told that it does not: the connection on which it was handed in
/// falls silent, its sender opens another one and cancels the task there, and then the first one
/// delivers what it held.
#[rstest]
#[case::one_stream(Case {
    steps: &[Asked, Confirmed(FIRST, 1)],
    latest: (FIRST, 1),
    dropped: &[],
})]
#[case::replaced(Case {
    steps: &[Asked, Confirmed(FIRST, 1), Asked, Confirmed(FIRST, 2)],
    latest: (FIRST, 2),
    dropped: &[(FIRST, 1)],
})]
#[case::given_up_before_its_answer(Case {
    steps: &[Asked, Asked, Confirmed(FIRST, 1)],
    latest: (FIRST, 1),
    dropped: &[(FIRST, 2)],
})]
#[case::confirmed_late(Case {
    steps: &[Asked, Asked, Confirmed(FIRST, 2), Confirmed(FIRST, 1)],
    latest: (FIRST, 2),
    dropped: &[(FIRST, 1)],
})]
#[case::restarted(Case {
    steps: &[Asked, Confirmed(FIRST, 1), Asked, Confirmed(SECOND, 2)],
    latest: (SECOND, 2),
    dropped: &[(FIRST, 1)],
})]
#[case::confirmed_late_by_a_process_that_is_gone(Case {
    steps: &[Asked, Asked, Confirmed(SECOND, 2), Confirmed(FIRST, 1)],
    latest: (SECOND, 2),
    dropped: &[(FIRST, 1)],
})]
#[case::asked_for_by_a_process_that_is_gone(Case {
    steps: &[Asked, Confirmed(SECOND, 1), Asked],
    latest: (SECOND, 1),
    dropped: &[(FIRST, 2)],
})]
fn only_the_latest_stream_counts(#[case] case: Case) {
    let mut latest = LatestStreams::default();
    for step in case.steps {
        match step {
            Asked => {
                latest.issue();
            }
            Confirmed(from, ticket) => {
                latest.confirm(*from, Ticket(*ticket));
            }
        }
    }
    let (process, ticket) = case.latest;
    assert!(latest.is_latest(process, Ticket(ticket)));
    assert_eq!(latest.current(process.instance), Some(process));
    for (process, ticket) in case.dropped {
        assert!(!latest.is_latest(*process, Ticket(*ticket)));
    }
}

/// A stream whose confirmation was held up is not told to the host as a new one.
#[test]
fn late_confirmation_is_refused() {
    let mut latest = LatestStreams::default();
    let (first, second) = (latest.issue(), latest.issue());
    assert!(latest.confirm(SECOND, second));
    assert!(!latest.confirm(FIRST, first));
}

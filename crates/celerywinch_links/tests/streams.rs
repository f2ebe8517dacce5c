//! Streams of connections that were replaced.

use celerywinch_links::{LatestStreams, Ticket};
use celerywinch_types::{Incarnation, InstanceId, Process};
use rstest::rstest;

/// `SECOND` restarted after its clock was set back, so its incarnation is lower.
const FIRST: Process = process(9);
const SECOND: Process = process(1);

const fn process(incarnation: u64) -> Process {
    Process {
        instance: InstanceId(4),
        incarnation: Incarnation(incarnation),
    }
}

/// An event of a stream. Streams are numbered from 1 in the order in which they are requested.
#[derive(Clone, Copy)]
enum Step {
    Requested,
    Confirmed(Process, u64),
}
use Step::{Confirmed, Requested};

struct Case {
    steps: &'static [Step],
    latest: (Process, u64),
    dropped: &'static [(Process, u64)],
}

/// Guards against running a task whose caller was told that it would not run: the connection that carries its
/// submission falls silent, the sender opens another connection and cancels the task there, and then the
/// first connection delivers the submission.
#[rstest]
#[case::one_stream(Case {
    steps: &[Requested, Confirmed(FIRST, 1)],
    latest: (FIRST, 1),
    dropped: &[],
})]
#[case::replaced(Case {
    steps: &[Requested, Confirmed(FIRST, 1), Requested, Confirmed(FIRST, 2)],
    latest: (FIRST, 2),
    dropped: &[(FIRST, 1)],
})]
#[case::abandoned_before_its_response(Case {
    steps: &[Requested, Requested, Confirmed(FIRST, 1)],
    latest: (FIRST, 1),
    dropped: &[(FIRST, 2)],
})]
#[case::confirmed_late(Case {
    steps: &[Requested, Requested, Confirmed(FIRST, 2), Confirmed(FIRST, 1)],
    latest: (FIRST, 2),
    dropped: &[(FIRST, 1)],
})]
#[case::restarted(Case {
    steps: &[Requested, Confirmed(FIRST, 1), Requested, Confirmed(SECOND, 2)],
    latest: (SECOND, 2),
    dropped: &[(FIRST, 1)],
})]
#[case::confirmed_late_by_an_ended_process(Case {
    steps: &[Requested, Requested, Confirmed(SECOND, 2), Confirmed(FIRST, 1)],
    latest: (SECOND, 2),
    dropped: &[(FIRST, 1)],
})]
#[case::requested_by_an_ended_process(Case {
    steps: &[Requested, Confirmed(SECOND, 1), Requested],
    latest: (SECOND, 1),
    dropped: &[(FIRST, 2)],
})]
fn only_the_latest_stream_counts(#[case] case: Case) {
    let mut latest = LatestStreams::default();
    for step in case.steps {
        match step {
            Requested => {
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

/// Guards against reporting a stream to the host as a new one when its confirmation was delayed.
#[test]
fn late_confirmation_is_rejected() {
    let mut latest = LatestStreams::default();
    let (first, second) = (latest.issue(), latest.issue());
    assert!(latest.confirm(SECOND, second));
    assert!(!latest.confirm(FIRST, first));
}

//! Messages of connections that were given up.

use celerywinch_links::StreamOrder;
use celerywinch_types::{Incarnation, InstanceId, Process};
use rstest::rstest;

const FIRST_LIFE: Process = process(1);
const SECOND_LIFE: Process = process(2);

const fn process(life: u64) -> Process {
    Process {
        instance: InstanceId(4),
        incarnation: Incarnation(life),
    }
}

/// A task runs though its caller was told that it does not: the connection on which it was handed in
/// falls silent, its sender opens another one and cancels the task there, and then the first one
/// delivers what it held. What comes on a stream is taken only while the sender has opened no later one.
#[rstest]
#[case::one_stream(&[(FIRST_LIFE, 1)], (FIRST_LIFE, 1), true)]
#[case::replaced(&[(FIRST_LIFE, 1), (FIRST_LIFE, 2)], (FIRST_LIFE, 1), false)]
#[case::replacement(&[(FIRST_LIFE, 1), (FIRST_LIFE, 2)], (FIRST_LIFE, 2), true)]
#[case::accepted_in_another_order(&[(FIRST_LIFE, 2), (FIRST_LIFE, 1)], (FIRST_LIFE, 2), true)]
#[case::earlier_life(&[(FIRST_LIFE, 9), (SECOND_LIFE, 1)], (FIRST_LIFE, 9), false)]
#[case::later_life(&[(FIRST_LIFE, 9), (SECOND_LIFE, 1)], (SECOND_LIFE, 1), true)]
fn only_the_last_stream_is_heard(
    #[case] opened: &[(Process, u64)],
    #[case] heard: (Process, u64),
    #[case] taken: bool,
) {
    let mut order = StreamOrder::default();
    for (from, stream) in opened {
        order.open(*from, *stream);
    }
    assert_eq!(order.is_last(heard.0, heard.1), taken);
}

/// An attempt to connect that was given up may be accepted after the one that replaced it.
#[test]
fn earlier_stream_is_not_opened_after_a_later_one() {
    let mut order = StreamOrder::default();
    assert!(order.open(FIRST_LIFE, 2));
    assert!(!order.open(FIRST_LIFE, 1));
}

//! Incarnation numbers increase even if the wall clock is set back.

use super::*;

/// An instance restarts after its clock was set back and gets a smaller number: the other instances ignore it,
/// because all its messages seem to come from an earlier incarnation.
#[test]
fn number_increases_when_the_clock_is_set_back() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let next = |wall| next(Some(folder.path()), WallMs(wall)).expect("space");
    assert_eq!(next(1000), Incarnation(1000));
    assert_eq!(next(400), Incarnation(1001));
    assert_eq!(next(400), Incarnation(1002));
    assert_eq!(next(2000), Incarnation(2000));
}

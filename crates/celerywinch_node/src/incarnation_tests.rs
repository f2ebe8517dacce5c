//! The numbers of lives grow, whatever the clock does.

use super::*;

/// An instance restarts after its clock was set back, and no other instance hears it: all its
/// messages seem to come from an earlier life.
#[test]
fn number_grows_though_the_clock_goes_back() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let next = |wall| next(Some(folder.path()), WallMs(wall)).expect("space");
    assert_eq!(next(1000), Incarnation(1000));
    assert_eq!(next(400), Incarnation(1001));
    assert_eq!(next(400), Incarnation(1002));
    assert_eq!(next(2000), Incarnation(2000));
}

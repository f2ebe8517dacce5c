//! The workers that a keeper knows, over its restarts.

use std::time::Duration;

use celerywinch_fleet::{AnnounceOutcome, WorkerDirectory};
use celerywinch_types::{
    AnnouncementVersion, DataCentreId, Incarnation, Resources, Time, WorkerAnnouncement,
    WorkerStage,
};
use rstest::rstest;

fn said(incarnation: u64, sequence: u64) -> AnnouncementVersion {
    AnnouncementVersion {
        incarnation: Incarnation(incarnation),
        sequence,
    }
}

fn note(id: &str, stage: WorkerStage, sequence: u64) -> WorkerAnnouncement {
    WorkerAnnouncement {
        id: id.to_owned(),
        service: "s".to_owned(),
        addr: ([127, 0, 0, 1], 1).into(),
        dc: DataCentreId(0),
        capacity: Resources::default(),
        labels: Vec::new(),
        stage,
        version: said(1, sequence),
    }
}

fn names(notes: Option<Vec<WorkerAnnouncement>>) -> Option<Vec<String>> {
    let mut names: Vec<_> = notes?.into_iter().map(|note| note.id).collect();
    names.sort();
    Some(names)
}

/// Callers are refused for want of workers that are there: all processes lose power at once, and each worker
/// announces itself to the new ones up to 1.5 s later. So those that serve are written to the disk when they
/// change, not with each announcement, and not those that leave.
#[test]
fn workers_that_serve_are_saved_when_they_change() {
    let now = Time(10_000_000);
    let mut directory = WorkerDirectory::default();
    assert_eq!(names(directory.take_unsaved(now)), None);
    directory.record_announcement(now, note("a", WorkerStage::Ready, 1));
    directory.record_announcement(now, note("b", WorkerStage::Ready, 1));
    assert_eq!(
        names(directory.take_unsaved(now)),
        Some(vec!["a".into(), "b".into()])
    );
    let soon = now + Duration::from_millis(500);
    directory.record_announcement(soon, note("b", WorkerStage::Draining, 2));
    assert_eq!(
        names(directory.take_unsaved(soon)),
        None,
        "too soon after the last"
    );
    let later = now + Duration::from_millis(2_500);
    assert_eq!(names(directory.take_unsaved(later)), Some(vec!["a".into()]));
    let last = now + Duration::from_millis(5_000);
    directory.record_announcement(last, note("a", WorkerStage::Ready, 2));
    assert_eq!(names(directory.take_unsaved(last)), None, "nothing changed");
}

/// A worker that drains gets work again: a list from the disk of a keeper that was down is older than what it has
/// said since. What counts is the number of its announcement.
#[test]
fn older_state_does_not_come_back() {
    let now = Time(10_000_000);
    let mut directory = WorkerDirectory::default();
    directory.record_announcement(now, note("a", WorkerStage::Draining, 7));
    let heard = directory.record_announcement(now, note("a", WorkerStage::Ready, 4));
    assert_eq!(heard, AnnounceOutcome::Stale(said(1, 7)));
    assert_eq!(directory.announcements()[0].stage, WorkerStage::Draining);
}

/// Callers' tasks reach a worker that has said that it leaves, for as long as it goes on: it has crashed before, and started
/// again under its name. Its announcements are counted anew; the notice has a lower number than those of the life before, and
/// is acknowledged as a late one of that, without being told to any dispatcher.
#[test]
fn notice_of_a_later_life_is_taken() {
    let now = Time(10_000_000);
    let mut directory = WorkerDirectory::default();
    directory.record_announcement(now, note("a", WorkerStage::Ready, 1));
    directory.record_announcement(now, note("a", WorkerStage::Ready, 20));
    let leaves = WorkerAnnouncement {
        version: said(2, 3),
        ..note("a", WorkerStage::Draining, 3)
    };
    assert_eq!(
        directory.record_announcement(now, leaves),
        AnnounceOutcome::Changed
    );
    assert_eq!(directory.announcements()[0].stage, WorkerStage::Draining);
}

/// A worker that has left, and starts again under its name, gets no work for as long as it announces itself: the keeper that
/// it told remembers that it has left.
#[test]
fn later_life_of_a_worker_that_has_left_is_taken() {
    let now = Time(10_000_000);
    let mut directory = WorkerDirectory::default();
    directory.record_announcement(now, note("a", WorkerStage::Ready, 7));
    directory.record_departure(now, "a", None);
    let again = WorkerAnnouncement {
        version: said(2, 1),
        ..note("a", WorkerStage::Ready, 1)
    };
    assert_eq!(
        directory.record_announcement(now, again),
        AnnounceOutcome::Changed
    );
}

/// A worker that serves gets no work for 20 s: that its earlier life has left was held up on its way, and is taken for a word of the
/// later one.
#[rstest]
#[case::earlier_life(Some(1), WorkerStage::Ready)]
#[case::same_life(Some(2), WorkerStage::Gone)]
#[case::life_not_heard_of(Some(3), WorkerStage::Gone)]
#[case::not_said(None, WorkerStage::Gone)]
fn leave_counts_for_its_own_life(#[case] life: Option<u64>, #[case] stage: WorkerStage) {
    let now = Time(10_000_000);
    let mut directory = WorkerDirectory::default();
    let second = WorkerAnnouncement {
        version: said(2, 1),
        ..note("a", WorkerStage::Ready, 1)
    };
    directory.record_announcement(now, second);
    directory.record_departure(now, "a", life.map(Incarnation));
    assert_eq!(directory.announcements()[0].stage, stage);
}

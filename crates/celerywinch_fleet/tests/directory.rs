//! The workers that a keeper knows, across restarts of workers and keepers.

use std::time::Duration;

use celerywinch_fleet::{AnnounceOutcome, WorkerDirectory};
use celerywinch_types::{
    AnnouncementVersion, DataCentreId, Incarnation, Resources, Time, WorkerAnnouncement,
    WorkerStage,
};
use rstest::rstest;

fn version(incarnation: u64, sequence: u64) -> AnnouncementVersion {
    AnnouncementVersion {
        incarnation: Incarnation(incarnation),
        sequence,
    }
}

fn announcement(id: &str, stage: WorkerStage, sequence: u64) -> WorkerAnnouncement {
    WorkerAnnouncement {
        id: id.to_owned(),
        service: "s".to_owned(),
        addr: ([127, 0, 0, 1], 1).into(),
        dc: DataCentreId(0),
        capacity: Resources::default(),
        labels: Vec::new(),
        stage,
        version: version(1, sequence),
    }
}

fn ids(announcements: Option<Vec<WorkerAnnouncement>>) -> Option<Vec<String>> {
    let mut ids: Vec<_> = announcements?
        .into_iter()
        .map(|announcement| announcement.id)
        .collect();
    ids.sort();
    Some(ids)
}

/// Guards against jobs that are refused for lack of workers after all processes have lost power: a worker announces itself
/// to the restarted ones up to 1.5 s later. So the serving workers are written to the disk, but only when workers change, not
/// with each announcement, and without those that leave.
#[test]
fn serving_workers_are_saved_when_they_change() {
    let now = Time(10_000_000);
    let mut directory = WorkerDirectory::default();
    assert_eq!(ids(directory.take_unsaved(now)), None);
    directory.record_announcement(now, announcement("a", WorkerStage::Ready, 1));
    directory.record_announcement(now, announcement("b", WorkerStage::Ready, 1));
    assert_eq!(
        ids(directory.take_unsaved(now)),
        Some(vec!["a".into(), "b".into()])
    );
    let soon = now + Duration::from_millis(500);
    directory.record_announcement(soon, announcement("b", WorkerStage::Draining, 2));
    assert_eq!(
        ids(directory.take_unsaved(soon)),
        None,
        "too soon after the last save"
    );
    let later = now + Duration::from_millis(2_500);
    assert_eq!(ids(directory.take_unsaved(later)), Some(vec!["a".into()]));
    let last = now + Duration::from_millis(5_000);
    directory.record_announcement(last, announcement("a", WorkerStage::Ready, 2));
    assert_eq!(ids(directory.take_unsaved(last)), None, "nothing changed");
}

/// Guards against a draining worker that gets tasks again: the list on the disk of a restarted keeper is older than the worker's
/// announcements since. The sequence number of an announcement decides.
#[test]
fn stale_announcement_is_rejected() {
    let now = Time(10_000_000);
    let mut directory = WorkerDirectory::default();
    directory.record_announcement(now, announcement("a", WorkerStage::Draining, 7));
    let outcome = directory.record_announcement(now, announcement("a", WorkerStage::Ready, 4));
    assert_eq!(outcome, AnnounceOutcome::Stale(version(1, 7)));
    assert_eq!(directory.announcements()[0].stage, WorkerStage::Draining);
}

/// Guards against tasks that are started on a leaving worker. It has crashed before and restarted under its id, so its
/// sequence numbers started again. Its notice has a lower number than announcements of the earlier incarnation, and was
/// acknowledged as a stale one of these without being sent to any dispatcher.
#[test]
fn notice_of_a_later_incarnation_is_accepted() {
    let now = Time(10_000_000);
    let mut directory = WorkerDirectory::default();
    directory.record_announcement(now, announcement("a", WorkerStage::Ready, 1));
    directory.record_announcement(now, announcement("a", WorkerStage::Ready, 20));
    let notice = WorkerAnnouncement {
        version: version(2, 3),
        ..announcement("a", WorkerStage::Draining, 3)
    };
    assert_eq!(
        directory.record_announcement(now, notice),
        AnnounceOutcome::Changed
    );
    assert_eq!(directory.announcements()[0].stage, WorkerStage::Draining);
}

/// Guards against a worker that left and restarted under its id, and gets no tasks for as long as it announces itself, as the
/// keeper keeps its departure.
#[test]
fn later_incarnation_of_a_departed_worker_is_accepted() {
    let now = Time(10_000_000);
    let mut directory = WorkerDirectory::default();
    directory.record_announcement(now, announcement("a", WorkerStage::Ready, 7));
    directory.record_departure(now, "a", None);
    let restarted = WorkerAnnouncement {
        version: version(2, 1),
        ..announcement("a", WorkerStage::Ready, 1)
    };
    assert_eq!(
        directory.record_announcement(now, restarted),
        AnnounceOutcome::Changed
    );
}

/// Guards against a serving worker that gets no tasks for 20 s, as the delayed departure of its earlier incarnation is applied
/// to the later one.
#[rstest]
#[case::earlier_incarnation(Some(1), WorkerStage::Ready)]
#[case::same_incarnation(Some(2), WorkerStage::Gone)]
#[case::unknown_incarnation(Some(3), WorkerStage::Gone)]
#[case::not_stated(None, WorkerStage::Gone)]
fn departure_applies_to_its_own_incarnation(
    #[case] incarnation: Option<u64>,
    #[case] stage: WorkerStage,
) {
    let now = Time(10_000_000);
    let mut directory = WorkerDirectory::default();
    let second = WorkerAnnouncement {
        version: version(2, 1),
        ..announcement("a", WorkerStage::Ready, 1)
    };
    directory.record_announcement(now, second);
    directory.record_departure(now, "a", incarnation.map(Incarnation));
    assert_eq!(directory.announcements()[0].stage, stage);
}

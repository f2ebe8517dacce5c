//! The workers that a keeper knows, across restarts of workers and keepers.

use std::collections::BTreeSet;
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

/// The service of the worker "a" whose announcements are its own.
const SERVICE: &str = "s";
const UNNAMED_SERVICE: &str = "t";

fn services(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// A directory with the third announcement of incarnation 2 of the worker "a".
fn directory_at(now: Time) -> WorkerDirectory {
    let mut directory = WorkerDirectory::default();
    directory.set_services(now, services(&[SERVICE]));
    directory.record_announcement(now, own(3, WorkerStage::Ready));
    directory
}

fn own(sequence: u64, stage: WorkerStage) -> WorkerAnnouncement {
    WorkerAnnouncement {
        version: version(2, sequence),
        ..announcement("a", stage, sequence)
    }
}

fn of_unnamed_service(incarnation: u64, sequence: u64) -> WorkerAnnouncement {
    WorkerAnnouncement {
        service: UNNAMED_SERVICE.to_owned(),
        version: version(incarnation, sequence),
        ..announcement("a", WorkerStage::Ready, sequence)
    }
}

fn elsewhere(announcement: WorkerAnnouncement) -> WorkerAnnouncement {
    WorkerAnnouncement {
        addr: ([127, 0, 0, 1], 2).into(),
        ..announcement
    }
}

fn leaving(announcement: WorkerAnnouncement) -> WorkerAnnouncement {
    WorkerAnnouncement {
        stage: WorkerStage::Draining,
        ..announcement
    }
}

/// Guards against a worker that gets no tasks, as dispatchers that start later are told of another process's announcement in
/// its place: it has the worker's ID and an unknown service, or states no incarnation. What the worker says next has to count.
#[rstest]
#[case::later_incarnation(of_unnamed_service(9, 1))]
#[case::later_incarnation_elsewhere(elsewhere(of_unnamed_service(9, 1)))]
#[case::same_incarnation(of_unnamed_service(2, 1 << 40))]
#[case::same_incarnation_elsewhere(elsewhere(of_unnamed_service(2, 1 << 40)))]
#[case::leaves(leaving(of_unnamed_service(2, 1 << 40)))]
#[case::leaves_elsewhere(leaving(elsewhere(of_unnamed_service(9, 1))))]
#[case::no_incarnation(WorkerAnnouncement { version: version(0, 1 << 40), ..own(3, WorkerStage::Draining) })]
#[case::same_incarnation_of_its_service_elsewhere(elsewhere(own(1 << 40, WorkerStage::Ready)))]
fn announcement_of_another_writer_replaces_nothing(#[case] other: WorkerAnnouncement) {
    let now = Time(10_000_000);
    let mut directory = directory_at(now);
    let outcome = directory.record_announcement(now, other.clone());
    assert!(
        matches!(
            outcome,
            AnnounceOutcome::Unnamed | AnnounceOutcome::Foreign(_)
        ),
        "{outcome:?}"
    );
    assert_eq!(directory.announcements(), [own(3, WorkerStage::Ready)]);
    assert!(!directory.accepts_notice(&other, outcome));
    let notice = own(4, WorkerStage::Draining);
    let outcome = directory.record_announcement(now, notice.clone());
    assert_eq!(outcome, AnnounceOutcome::Changed);
    assert!(directory.accepts_notice(&notice, outcome));
}

/// Guards against a worker that stays unknown, as somebody else's announcement under its ID arrived first, before any
/// configuration was known.
#[rstest]
#[case::later_incarnation(of_unnamed_service(9, 1 << 40))]
#[case::same_incarnation(of_unnamed_service(2, 1 << 40))]
fn configured_service_goes_before_an_unnamed_one(#[case] other: WorkerAnnouncement) {
    let now = Time(10_000_000);
    let mut directory = WorkerDirectory::default();
    directory.record_announcement(now, other);
    directory.set_services(now, services(&[SERVICE]));
    let outcome = directory.record_announcement(now, own(3, WorkerStage::Ready));
    assert_eq!(outcome, AnnounceOutcome::Changed);
    assert_eq!(directory.announcements(), [own(3, WorkerStage::Ready)]);
}

/// Guards against a worker without tasks for an interval of announcements: its service comes with a later configuration than its
/// announcement.
#[test]
fn workers_of_a_new_service_are_known_with_the_configuration() {
    let now = Time(10_000_000);
    let mut directory = WorkerDirectory::default();
    directory.set_services(now, services(&["u"]));
    for sequence in [1, 3, 2] {
        let outcome = directory.record_announcement(now, own(sequence, WorkerStage::Ready));
        assert_eq!(outcome, AnnounceOutcome::Unnamed);
    }
    assert!(directory.is_empty());
    let now = now + Duration::from_secs(1);
    let released = directory.set_services(now, services(&["u", SERVICE]));
    assert_eq!(released, [own(3, WorkerStage::Ready)]);
    assert_eq!(directory.announcements(), released);
    assert!(directory.set_services(now, services(&["u"])).is_empty());
}

/// Guards against a leaving worker that gets tasks: its service left with a configuration, and its own announcements still
/// count, as its runs go on.
#[test]
fn worker_stays_known_without_its_service() {
    let now = Time(10_000_000);
    let mut directory = directory_at(now);
    directory.set_services(now, services(&["u"]));
    let notice = own(4, WorkerStage::Draining);
    let outcome = directory.record_announcement(now, notice.clone());
    assert_eq!(outcome, AnnounceOutcome::Changed);
    assert_eq!(directory.announcements(), [notice]);
}

/// Guards against a list that grows without limit by announcements of services that are never configured.
#[test]
fn announcements_of_unnamed_services_expire() {
    let now = Time(10_000_000);
    let mut directory = directory_at(now);
    directory.record_announcement(now, of_unnamed_service(9, 1));
    let later = now + Duration::from_secs(30);
    directory.record_announcement(later, own(4, WorkerStage::Ready));
    directory.remove_expired(later);
    let released = directory.set_services(later, services(&[SERVICE, UNNAMED_SERVICE]));
    assert!(released.is_empty());
}

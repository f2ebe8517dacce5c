//! The workers that announce themselves to a process.

use std::collections::HashMap;
use std::time::Duration;

use celerywinch_types::{AnnouncementVersion, Incarnation, Time, WorkerAnnouncement, WorkerStage};
use serde::Serialize;

/// Time without an announcement after which a worker is removed. Dispatchers detect lost workers themselves; this only
/// bounds the list.
const EXPIRY: Duration = Duration::from_secs(20);
/// Time for which a worker that has left is kept, so that a delayed announcement does not bring it back.
const DEPARTED_RETENTION: Duration = Duration::from_secs(20);

/// Minimum interval between two writes of the list to the disk.
const SAVE_INTERVAL: Duration = Duration::from_secs(2);

/// The latest announcement of a worker.
#[derive(Clone, Debug)]
struct WorkerRecord {
    announcement: WorkerAnnouncement,
    last_contact: Time,
}

/// The result of recording an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnnounceOutcome {
    /// The worker is new or has changed; other processes have to be notified.
    #[serde(rename = "news")]
    Changed,
    /// The worker has not changed; only its last contact was updated.
    #[serde(rename = "nothing")]
    Unchanged,
    /// It was not recorded, as this later version of the same incarnation is known.
    #[serde(rename = "late")]
    Stale(AnnouncementVersion),
    /// It was not recorded, as it has a lower incarnation than this known version. Other processes are notified all the same:
    /// if the worker's clock was set back between two starts, the lower incarnation is the later one, which only the worker
    /// itself can tell.
    #[serde(rename = "other_life")]
    OtherIncarnation(AnnouncementVersion),
    /// It was not recorded, as this incarnation has left.
    Left,
}

/// The workers that announce themselves to this process, by id.
#[derive(Debug, Default)]
pub struct WorkerDirectory {
    workers: HashMap<String, WorkerRecord>,
    /// Whether a worker was added, changed or has left since the list was saved.
    unsaved: bool,
    last_save: Time,
}

impl WorkerDirectory {
    /// Records an announcement, unless a later one is known.
    pub fn record_announcement(
        &mut self,
        now: Time,
        announcement: WorkerAnnouncement,
    ) -> AnnounceOutcome {
        let Some(known) = self.workers.get_mut(&announcement.id) else {
            let id = announcement.id.clone();
            self.workers.insert(
                id,
                WorkerRecord {
                    announcement,
                    last_contact: now,
                },
            );
            self.unsaved = true;
            return AnnounceOutcome::Changed;
        };
        let known_version = known.announcement.version;
        if announcement.version.incarnation < known_version.incarnation {
            return AnnounceOutcome::OtherIncarnation(known_version);
        }
        let same_incarnation = announcement.version.incarnation == known_version.incarnation;
        if same_incarnation && known.announcement.stage == WorkerStage::Gone {
            return AnnounceOutcome::Left;
        }
        known.last_contact = now;
        if same_incarnation && announcement.version <= known_version {
            return AnnounceOutcome::Stale(known_version);
        }
        let changed = differs_beyond_sequence(&known.announcement, &announcement);
        self.unsaved |= changed;
        known.announcement = announcement;
        if changed {
            AnnounceOutcome::Changed
        } else {
            AnnounceOutcome::Unchanged
        }
    }

    /// Records that a worker has left and returns the announcement to be sent to other processes. `incarnation` is `None` if
    /// the worker did not state it. Returns `None` if the worker is unknown or a later incarnation is known: then the report was
    /// delayed, and a serving worker would get no tasks for as long as its departure is kept.
    pub fn record_departure(
        &mut self,
        now: Time,
        id: &str,
        incarnation: Option<Incarnation>,
    ) -> Option<WorkerAnnouncement> {
        let known = self.workers.get_mut(id)?;
        let version = &mut known.announcement.version;
        if incarnation.is_some_and(|incarnation| incarnation < version.incarnation) {
            return None;
        }
        version.incarnation = incarnation.unwrap_or(version.incarnation);
        known.last_contact = now;
        known.announcement.stage = WorkerStage::Gone;
        self.unsaved = true;
        Some(known.announcement.clone())
    }

    /// Returns whether a worker is known to be leaving or to have left.
    #[must_use]
    pub fn is_leaving(&self, id: &str) -> bool {
        let known = self.workers.get(id);
        known.is_some_and(|known| known.announcement.stage != WorkerStage::Ready)
    }

    /// Removes workers whose last contact is too long ago.
    pub fn remove_expired(&mut self, now: Time) {
        self.workers.retain(|_, known| {
            let retention = match known.announcement.stage {
                WorkerStage::Gone => DEPARTED_RETENTION,
                WorkerStage::Ready | WorkerStage::Draining => EXPIRY,
            };
            now.since(known.last_contact) <= retention
        });
    }

    /// Returns the announcements of all known workers, including those that have recently left.
    #[must_use]
    pub fn announcements(&self) -> Vec<WorkerAnnouncement> {
        let workers = self.workers.values();
        workers.map(|known| known.announcement.clone()).collect()
    }

    /// Returns the serving workers if any worker has changed since the last save, at most once per `SAVE_INTERVAL`, as each
    /// write of the list costs two syncs of the disk.
    pub fn take_unsaved(&mut self, now: Time) -> Option<Vec<WorkerAnnouncement>> {
        if !self.unsaved || now.since(self.last_save) < SAVE_INTERVAL {
            return None;
        }
        self.unsaved = false;
        self.last_save = now;
        let ready = |announcement: &WorkerAnnouncement| announcement.stage == WorkerStage::Ready;
        let announcements = self.announcements().into_iter().filter(ready);
        Some(announcements.collect())
    }

    /// Returns the number of known workers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Returns whether no worker is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }
}

/// Returns whether two announcements differ in more than their sequence numbers.
fn differs_beyond_sequence(a: &WorkerAnnouncement, b: &WorkerAnnouncement) -> bool {
    let version = AnnouncementVersion {
        sequence: a.version.sequence,
        ..b.version
    };
    *a != WorkerAnnouncement {
        version,
        ..b.clone()
    }
}

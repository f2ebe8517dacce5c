//! The workers that announce themselves to a process.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use celerywinch_types::{AnnouncementVersion, Incarnation, Time, WorkerAnnouncement, WorkerStage};
use serde::Serialize;

/// Time without an announcement after which a worker is removed. Dispatchers detect lost workers themselves; this only
/// bounds the list.
const EXPIRY: Duration = Duration::from_secs(20);
/// Time for which a worker that has left is kept, so that a delayed announcement does not bring it back.
const DEPARTED_RETENTION: Duration = Duration::from_secs(20);

/// How many announcements under one id are set aside for later configurations.
const MAX_UNNAMED: usize = 4;

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
    /// It was set aside until a configuration names its service.
    Unnamed,
    /// It was not recorded, as the worker cannot have sent it: its incarnation has another service, address or data centre,
    /// or the worker states its incarnation and this announcement does not.
    Foreign(AnnouncementVersion),
}

impl AnnounceOutcome {
    /// Returns whether other processes have to be notified.
    #[must_use]
    pub fn is_news(self) -> bool {
        matches!(self, Self::Changed | Self::OtherIncarnation(_))
    }
}

/// The workers that announce themselves to this process, by id.
///
/// Another process may send an announcement under the id of a worker. Such a one has a service that is not configured, or lacks a
/// field: it must not take the place of the worker's own.
#[derive(Debug, Default)]
pub struct WorkerDirectory {
    workers: HashMap<String, WorkerRecord>,
    /// The configured services; `None` before the first configuration.
    services: Option<BTreeSet<String>>,
    /// The latest announcements of services that are not configured, by worker.
    unnamed: HashMap<String, Vec<WorkerRecord>>,
    /// Whether a worker was added, changed or has left since the list was saved.
    unsaved: bool,
    last_save: Time,
}

impl WorkerDirectory {
    /// Sets the configured services, and records the announcements set aside for those that are new. Returns the announcements
    /// to be sent to other processes.
    pub fn set_services(
        &mut self,
        now: Time,
        services: BTreeSet<String>,
    ) -> Vec<WorkerAnnouncement> {
        self.services = Some(services);
        let mut released = Vec::new();
        for record in std::mem::take(&mut self.unnamed).into_values().flatten() {
            let announcement = record.announcement;
            let outcome = self.record_announcement(now, announcement.clone());
            if outcome.is_news() {
                released.push(announcement);
            }
        }
        released
    }

    /// Returns whether a service is configured, as far as that is known.
    fn is_named(&self, service: &str) -> bool {
        let services = self.services.as_ref();
        services.is_none_or(|services| services.contains(service))
    }

    /// Records an announcement, unless a later one is known or another process must have sent it.
    ///
    /// A known worker remains known when its service leaves the configuration, as its runs go on.
    pub fn record_announcement(
        &mut self,
        now: Time,
        announcement: WorkerAnnouncement,
    ) -> AnnounceOutcome {
        let known = self.workers.get(&announcement.id);
        let known = known.map(|known| &known.announcement);
        if known.is_none_or(|known| !known.is_same_incarnation(&announcement)) {
            if !self.is_named(&announcement.service) {
                self.set_aside(now, announcement);
                return AnnounceOutcome::Unnamed;
            }
            if known.is_some_and(|known| !self.is_named(&known.service)) {
                self.workers.remove(&announcement.id);
            } else if let Some(known) = known
                && is_foreign(known, &announcement)
            {
                return AnnounceOutcome::Foreign(known.version);
            }
        }
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

    /// Keeps an announcement for a later configuration.
    fn set_aside(&mut self, now: Time, announcement: WorkerAnnouncement) {
        let records = self.unnamed.entry(announcement.id.clone()).or_default();
        let known = records
            .iter_mut()
            .find(|known| known.announcement.is_same_incarnation(&announcement));
        if let Some(known) = known {
            known.last_contact = now;
            if known.announcement.version < announcement.version {
                known.announcement = announcement;
            }
            return;
        }
        if records.len() >= MAX_UNNAMED {
            records.remove(0);
        }
        records.push(WorkerRecord {
            announcement,
            last_contact: now,
        });
    }

    /// Returns whether a worker's notice that it leaves may be acknowledged: the notice was recorded before, or by this
    /// `outcome`, or no tasks are sent to the worker.
    #[must_use]
    pub fn accepts_notice(&self, notice: &WorkerAnnouncement, outcome: AnnounceOutcome) -> bool {
        match outcome {
            AnnounceOutcome::Changed | AnnounceOutcome::OtherIncarnation(_) => true,
            AnnounceOutcome::Unnamed => !self.workers.contains_key(&notice.id),
            AnnounceOutcome::Foreign(_) => false,
            AnnounceOutcome::Unchanged | AnnounceOutcome::Stale(_) | AnnounceOutcome::Left => {
                self.is_leaving(&notice.id)
            }
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
    fn is_leaving(&self, id: &str) -> bool {
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
        self.unnamed.retain(|_, records| {
            records.retain(|record| now.since(record.last_contact) <= EXPIRY);
            !records.is_empty()
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

/// Returns whether an announcement contradicts what a known worker says of itself: its incarnation has another service, address or
/// data centre, or it does not state its incarnation.
fn is_foreign(known: &WorkerAnnouncement, announcement: &WorkerAnnouncement) -> bool {
    let (known, incarnation) = (known.version.incarnation, announcement.version.incarnation);
    incarnation == known || incarnation == Incarnation::default()
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

//! The workers that a process has heard of.

use std::collections::HashMap;
use std::time::Duration;

use celerywinch_types::{AnnouncementVersion, Incarnation, Time, WorkerAnnouncement, WorkerStage};
use serde::Serialize;

/// A worker that did not announce itself for this long is forgotten by its keeper. Dispatchers find
/// out by themselves; this only bounds the list.
const FORGET: Duration = Duration::from_secs(20);
/// One that has left is remembered for this long: a late announcement must not bring it back.
const REMEMBER_GONE: Duration = Duration::from_secs(20);

/// Between two lists of workers that are written to the disk.
const SAVE: Duration = Duration::from_secs(2);

/// A worker and when it was heard last.
#[derive(Clone, Debug)]
struct Known {
    note: WorkerAnnouncement,
    heard: Time,
}

/// What an announcement changes here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnnounceOutcome {
    /// The others have to hear of it.
    #[serde(rename = "news")]
    Changed,
    /// Nothing but that the worker is there.
    #[serde(rename = "nothing")]
    Unchanged,
    /// It is not taken, as this later one is known.
    #[serde(rename = "late")]
    Stale(AnnouncementVersion),
    /// The same of a life that counts as an earlier one. The others hear of it all the same: if the worker's clock was set
    /// back between two starts it is the later one, which only the worker itself can show.
    #[serde(rename = "other_life")]
    OtherIncarnation(AnnouncementVersion),
    /// It is not taken, as this life has left.
    Left,
}

/// The workers that announce themselves here.
#[derive(Debug, Default)]
pub struct WorkerDirectory {
    workers: HashMap<String, Known>,
    /// Whether one has come, changed or gone since the list was saved.
    changed: bool,
    saved: Time,
}

impl WorkerDirectory {
    /// Takes an announcement.
    pub fn record_announcement(&mut self, now: Time, note: WorkerAnnouncement) -> AnnounceOutcome {
        let Some(known) = self.workers.get_mut(&note.id) else {
            let name = note.id.clone();
            self.workers.insert(name, Known { note, heard: now });
            self.changed = true;
            return AnnounceOutcome::Changed;
        };
        let last = known.note.version;
        if note.version.incarnation < last.incarnation {
            return AnnounceOutcome::OtherIncarnation(last);
        }
        let same_life = note.version.incarnation == last.incarnation;
        if same_life && known.note.stage == WorkerStage::Gone {
            return AnnounceOutcome::Left;
        }
        known.heard = now;
        if same_life && note.version <= last {
            return AnnounceOutcome::Stale(last);
        }
        let news = differs(&known.note, &note);
        self.changed |= news;
        known.note = note;
        if news {
            AnnounceOutcome::Changed
        } else {
            AnnounceOutcome::Unchanged
        }
    }

    /// A worker has left; `life` is none where it does not say which of its lives did. None if a later one is known: the word was
    /// held up, and a worker that serves would get no work for as long as that is remembered.
    pub fn record_departure(
        &mut self,
        now: Time,
        id: &str,
        life: Option<Incarnation>,
    ) -> Option<WorkerAnnouncement> {
        let known = self.workers.get_mut(id)?;
        let said = &mut known.note.version;
        if life.is_some_and(|life| life < said.incarnation) {
            return None;
        }
        said.incarnation = life.unwrap_or(said.incarnation);
        known.heard = now;
        known.note.stage = WorkerStage::Gone;
        self.changed = true;
        Some(known.note.clone())
    }

    /// Whether a worker is known to leave, or to have left.
    #[must_use]
    pub fn is_leaving(&self, id: &str) -> bool {
        let known = self.workers.get(id);
        known.is_some_and(|known| known.note.stage != WorkerStage::Ready)
    }

    /// Forgets those that were not heard for long.
    pub fn remove_expired(&mut self, now: Time) {
        self.workers.retain(|_, known| {
            let limit = match known.note.stage {
                WorkerStage::Gone => REMEMBER_GONE,
                WorkerStage::Ready | WorkerStage::Draining => FORGET,
            };
            now.since(known.heard) <= limit
        });
    }

    /// All that are known, also those that have left lately.
    #[must_use]
    pub fn announcements(&self) -> Vec<WorkerAnnouncement> {
        let workers = self.workers.values();
        workers.map(|known| known.note.clone()).collect()
    }

    /// Those that serve, if that has changed since the last time and `SAVE` is over: each list costs
    /// the disk two syncs.
    pub fn take_unsaved(&mut self, now: Time) -> Option<Vec<WorkerAnnouncement>> {
        if !self.changed || now.since(self.saved) < SAVE {
            return None;
        }
        self.changed = false;
        self.saved = now;
        let ready = |note: &WorkerAnnouncement| note.stage == WorkerStage::Ready;
        let notes = self.announcements().into_iter().filter(ready);
        Some(notes.collect())
    }

    /// How many are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Whether none is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }
}

/// Whether something changed but the count of announcements.
fn differs(a: &WorkerAnnouncement, b: &WorkerAnnouncement) -> bool {
    let said = AnnouncementVersion {
        sequence: a.version.sequence,
        ..b.version
    };
    *a != WorkerAnnouncement {
        version: said,
        ..b.clone()
    }
}

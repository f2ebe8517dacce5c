//! The workers that a process has heard of.

use std::collections::HashMap;
use std::time::Duration;

use celerywinch_types::{Time, WorkerNote, WorkerStage};
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
    note: WorkerNote,
    heard: Time,
}

/// What an announcement changes here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Heard {
    /// The others have to hear of it.
    News,
    /// Nothing but that the worker is there.
    Nothing,
    /// It is not taken, as a later one with this number is known.
    Late(u64),
    /// It is not taken, as the worker has left.
    Left,
}

/// The workers that announce themselves here.
#[derive(Debug, Default)]
pub struct Roster {
    workers: HashMap<String, Known>,
    /// Whether one has come, changed or gone since the list was saved.
    changed: bool,
    saved: Time,
}

impl Roster {
    /// Takes an announcement.
    pub fn heard(&mut self, now: Time, note: WorkerNote) -> Heard {
        let Some(known) = self.workers.get_mut(&note.id) else {
            let name = note.id.clone();
            self.workers.insert(name, Known { note, heard: now });
            self.changed = true;
            return Heard::News;
        };
        known.heard = now;
        if known.note.stage == WorkerStage::Gone {
            return Heard::Left;
        }
        if note.stage != WorkerStage::Gone && note.sequence <= known.note.sequence {
            return Heard::Late(known.note.sequence);
        }
        let news = differs(&known.note, &note);
        self.changed |= news;
        known.note = note;
        if news { Heard::News } else { Heard::Nothing }
    }

    /// A worker says that it leaves.
    pub fn left(&mut self, now: Time, id: &str) -> Option<WorkerNote> {
        let known = self.workers.get_mut(id)?;
        known.heard = now;
        known.note.stage = WorkerStage::Gone;
        self.changed = true;
        Some(known.note.clone())
    }

    /// Forgets those that were not heard for long.
    pub fn forget(&mut self, now: Time) {
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
    pub fn all(&self) -> Vec<WorkerNote> {
        let workers = self.workers.values();
        workers.map(|known| known.note.clone()).collect()
    }

    /// Those that serve, if that has changed since the last time and `SAVE` is over: each list costs
    /// the disk two syncs.
    pub fn to_save(&mut self, now: Time) -> Option<Vec<WorkerNote>> {
        if !self.changed || now.since(self.saved) < SAVE {
            return None;
        }
        self.changed = false;
        self.saved = now;
        let ready = |note: &WorkerNote| note.stage == WorkerStage::Ready;
        let notes = self.all().into_iter().filter(ready);
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
fn differs(a: &WorkerNote, b: &WorkerNote) -> bool {
    let same = WorkerNote {
        sequence: a.sequence,
        ..b.clone()
    };
    *a != same
}

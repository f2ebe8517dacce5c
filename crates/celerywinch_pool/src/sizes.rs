//! Free capacity by the size of recent needs.

use celerywinch_types::{Domain, Mechanism, Size, SizedRoom, Time};

use crate::pool::Pool;

/// Number of steps whose needs are kept: a second of a busy dispatcher.
const RECENT_STEPS: usize = 64;

/// Needs of recent steps, newest last.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sizes {
    recent: Vec<Size>,
    /// Position of the next one, once all are in use.
    next: usize,
}

impl Sizes {
    /// Records the need of a step, in thousandths of a core.
    pub(crate) fn record(&mut self, cpu: u32) {
        let size = Size::covering(cpu);
        if self.recent.len() < RECENT_STEPS {
            self.recent.push(size);
        } else {
            self.recent[self.next] = size;
        }
        self.next = (self.next + 1) % RECENT_STEPS;
    }

    /// Returns the quartiles of the recent needs, the largest last.
    pub(crate) fn quartiles(&self) -> Option<[Size; 4]> {
        let mut sorted = self.recent.clone();
        sorted.sort();
        let last = sorted.len().checked_sub(1)?;
        Some([1, 2, 3, 4].map(|quarter| sorted[last * quarter / 4]))
    }
}

impl Pool {
    /// Returns the room that a domain has for tasks of recent sizes. Nothing is reported by the single dispatcher of all workers,
    /// as there is no choice.
    pub(crate) fn sized_room(&self, now: Time, domain: Domain) -> [SizedRoom; 4] {
        let disabled = self.config.disabled.contains(Mechanism::SizeClasses);
        let sizes = self.sizes.quartiles();
        let Some(sizes) = sizes.filter(|_| self.shards > 1 && !disabled) else {
            return Default::default();
        };
        let workers = self.workers.values().filter(|w| w.domain == domain);
        let usable = workers.filter(|worker| self.accepts_tasks(now, worker));
        let free: Vec<u32> = usable.map(|worker| worker.free().cpu).collect();
        sizes.map(|size| {
            let fitting: u32 = free.iter().map(|free| free / size.cpu().max(1)).sum();
            SizedRoom {
                size,
                free: u8::try_from(fitting).unwrap_or(u8::MAX),
            }
        })
    }
}

#[cfg(test)]
#[path = "sizes_tests.rs"]
mod tests;

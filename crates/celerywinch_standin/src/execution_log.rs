//! What the endpoints of a fleet saw, for checking afterwards.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Starts by key and task, and counts of messages.
#[derive(Debug, Default)]
pub struct ExecutionLog {
    starts: Mutex<HashMap<(String, u32), u32>>,
    /// Tasks that were started.
    pub started: AtomicU64,
    /// Tasks that gave a result.
    pub finished: AtomicU64,
    /// Tasks that were refused, for all slots were in use.
    pub refused_full: AtomicU64,
    /// Tasks that were refused, for the endpoint is leaving.
    pub refused_leaving: AtomicU64,
    /// Tasks that were cancelled while they ran.
    pub cancelled: AtomicU64,
    /// Tasks whose result came after the deadline.
    pub late: AtomicU64,
}

impl ExecutionLog {
    /// Notes a start; returns how often this task was started so far.
    pub fn record_start(&self, key: &str, task: u32) -> u32 {
        self.started.fetch_add(1, Ordering::Relaxed);
        let mut starts = self.starts.lock().expect("no holder of the lock panics");
        let count = starts.entry((key.to_owned(), task)).or_default();
        *count += 1;
        *count
    }

    /// How often a task was started.
    #[must_use]
    pub fn task_starts(&self, key: &str, task: u32) -> u32 {
        let starts = self.starts.lock().expect("no holder of the lock panics");
        starts.get(&(key.to_owned(), task)).copied().unwrap_or(0)
    }

    /// How many starts a key had, over all its tasks.
    #[must_use]
    pub fn key_starts(&self, key: &str) -> u32 {
        let starts = self.starts.lock().expect("no holder of the lock panics");
        let of_key = starts.iter().filter(|((k, _), _)| k == key);
        of_key.map(|(_, count)| *count).sum()
    }

    /// Tasks that were started more than once.
    #[must_use]
    pub fn duplicate_starts(&self) -> Vec<(String, u32, u32)> {
        let starts = self.starts.lock().expect("no holder of the lock panics");
        let doubled = starts.iter().filter(|(_, count)| **count > 1);
        doubled
            .map(|((key, task), count)| (key.clone(), *task, *count))
            .collect()
    }
}

//! A record of the tasks that a fleet of fake endpoints started, for checks after a test.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Starts by key and task, and counts of task requests by result.
#[derive(Debug, Default)]
pub struct ExecutionLog {
    starts: Mutex<HashMap<(String, u32), u32>>,
    /// Number of task starts.
    pub started: AtomicU64,
    /// Number of tasks that returned a result.
    pub finished: AtomicU64,
    /// Number of tasks refused because all slots were in use.
    pub refused_full: AtomicU64,
    /// Number of tasks refused because the endpoint was leaving.
    pub refused_leaving: AtomicU64,
    /// Number of tasks cancelled while they ran.
    pub cancelled: AtomicU64,
    /// Number of tasks that ended after the deadline.
    pub late: AtomicU64,
}

impl ExecutionLog {
    /// Records a start and returns how often this task has been started so far.
    pub fn record_start(&self, key: &str, task: u32) -> u32 {
        self.started.fetch_add(1, Ordering::Relaxed);
        let mut starts = self.starts.lock().expect("no holder of the lock panics");
        let count = starts.entry((key.to_owned(), task)).or_default();
        *count += 1;
        *count
    }

    /// Returns how often a task was started.
    #[must_use]
    pub fn task_starts(&self, key: &str, task: u32) -> u32 {
        let starts = self.starts.lock().expect("no holder of the lock panics");
        starts.get(&(key.to_owned(), task)).copied().unwrap_or(0)
    }

    /// Returns the number of starts of all tasks of a key.
    #[must_use]
    pub fn key_starts(&self, key: &str) -> u32 {
        let starts = self.starts.lock().expect("no holder of the lock panics");
        let matching = starts.iter().filter(|((k, _), _)| k == key);
        matching.map(|(_, count)| *count).sum()
    }

    /// Returns the tasks that were started more than once, each as key, task and number of starts.
    #[must_use]
    pub fn duplicate_starts(&self) -> Vec<(String, u32, u32)> {
        let starts = self.starts.lock().expect("no holder of the lock panics");
        let duplicates = starts.iter().filter(|(_, count)| **count > 1);
        duplicates
            .map(|((key, task), count)| (key.clone(), *task, *count))
            .collect()
    }
}

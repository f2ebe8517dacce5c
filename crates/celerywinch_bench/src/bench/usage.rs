//! Processor time and memory of the process, read from `/proc`.

use std::fs;

/// Clock ticks per second of the processor times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4096;

/// Returns the processor time of all threads whose name starts with `prefix`, in seconds.
#[must_use]
pub fn thread_cpu_seconds(prefix: &str) -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    let paths = tasks.flatten().map(|task| task.path());
    paths
        .filter(|path| {
            let name = fs::read_to_string(path.join("comm")).unwrap_or_default();
            name.starts_with(prefix)
        })
        .map(|path| seconds(&fs::read_to_string(path.join("stat")).unwrap_or_default()))
        .sum()
}

/// Returns the user and system time of a thread from its `stat` file, in seconds.
fn seconds(stat: &str) -> f64 {
    // The thread name may contain spaces, so the fields are counted from its closing parenthesis.
    let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let numbers: Vec<f64> = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse().ok())
        .collect();
    numbers.iter().sum::<f64>() / TICKS_PER_SECOND
}

/// Returns the resident memory of the process, in bytes.
#[must_use]
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    let pages: u64 = pages.and_then(|field| field.parse().ok()).unwrap_or(0);
    pages * PAGE_BYTES
}

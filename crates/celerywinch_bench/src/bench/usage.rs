//! What the process used, as the system tells it.

use std::fs;

/// Clock ticks of processor time in a second, as the system counts them.
const TICKS: f64 = 100.0;
/// Bytes of a page of memory.
const PAGE: u64 = 4096;

/// Processor seconds of all threads whose name starts with `prefix`.
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

fn seconds(stat: &str) -> f64 {
    // The name may hold blanks; the fields after its closing bracket do not.
    let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let numbers: Vec<f64> = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse().ok())
        .collect();
    numbers.iter().sum::<f64>() / TICKS
}

/// Resident memory of the process, in bytes.
#[must_use]
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    let pages: u64 = pages.and_then(|field| field.parse().ok()).unwrap_or(0);
    pages * PAGE
}

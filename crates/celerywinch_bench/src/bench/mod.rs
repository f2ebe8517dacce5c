//! Load tests with real entries over loopback, stand-in endpoints and an open loop of callers.

mod drive;
mod ideal;
mod load;
mod scenario;
mod usage;

pub use drive::{BenchOptions, RunMetrics, RunResult, run, table};
pub use scenario::{SCENARIOS, Scenario};
pub use usage::{resident_bytes, thread_cpu_seconds};

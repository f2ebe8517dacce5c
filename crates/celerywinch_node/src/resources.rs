//! The limits that the operating system and the machine set for this process, and the clients that they admit.

use std::cell::RefCell;
use std::collections::BTreeMap;

use celerywinch_http::{CloseReason, LimiterMetrics, LimitsBuilder, ListenerLimit};
use rustix::process::{Resource, getrlimit};
use rustix::system::sysinfo;

use crate::metrics::Metrics;

/// Returns the limits by the number of descriptors and the memory for data that the process may use, and the memory of the
/// machine.
pub(crate) fn limits() -> LimitsBuilder {
    let fds = getrlimit(Resource::Nofile).current;
    let data = getrlimit(Resource::Data).current.unwrap_or(u64::MAX);
    LimitsBuilder::default()
        .memory(Some(data.min(machine_memory())))
        .fds(fds.and_then(|fds| usize::try_from(fds).ok()))
}

fn machine_memory() -> u64 {
    let info = sysinfo();
    info.totalram.saturating_mul(info.mem_unit.into())
}

/// Adds the numbers of the connections of one thread to the metrics of the process.
pub(crate) struct ClientMetrics {
    metrics: Metrics,
    published: RefCell<BTreeMap<&'static str, i64>>,
}

impl ClientMetrics {
    pub(crate) fn new(metrics: Metrics) -> Self {
        Self {
            metrics,
            published: RefCell::default(),
        }
    }

    /// Returns by how much a value has grown since the last call.
    fn growth(&self, name: &'static str, value: i64) -> i64 {
        let mut published = self.published.borrow_mut();
        let last = published.insert(name, value);
        value - last.unwrap_or(0)
    }
}

impl LimiterMetrics for ClientMetrics {
    fn connections(&self, limit: &ListenerLimit, open: usize) {
        let open = i64::try_from(open).unwrap_or(i64::MAX);
        let gauge = &self.metrics.client_connections;
        let gauge = gauge.with_label_values(&[limit.name]);
        gauge.add(self.growth(limit.name, open));
    }

    fn memory(&self, used: u64, _limit: u64) {
        let used = i64::try_from(used).unwrap_or(i64::MAX);
        self.metrics.client_memory.add(self.growth("memory", used));
    }

    fn closed(&self, reason: CloseReason, count: u64) {
        self.metrics.count_closed(reason, count);
    }
}

//! The theoretical optimum: one central queue with full knowledge and no overhead, served by all slots.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::load::Arrival;

/// Returns for each arrival its response time divided by the run time of its longest task, with a central queue
/// that serves the earliest arrival first.
pub(super) fn simulate_central_queue(arrivals: &[Arrival], slots: usize) -> Vec<f64> {
    // Times are whole microseconds, since `f64` has no total order.
    let mut free_at: BinaryHeap<Reverse<u64>> = (0..slots).map(|_| Reverse(0)).collect();
    let to_micros = |ms: f64| (ms * 1000.0) as u64;
    let mut ratios = Vec::with_capacity(arrivals.len());
    for arrival in arrivals {
        let at = u64::try_from(arrival.at.as_micros()).unwrap_or(u64::MAX);
        let mut end = at;
        for run in &arrival.run_ms {
            let Some(Reverse(slot)) = free_at.pop() else {
                break;
            };
            let done = slot.max(at) + to_micros(*run);
            end = end.max(done);
            free_at.push(Reverse(done));
        }
        let longest = arrival.run_ms.iter().copied().fold(0.0, f64::max);
        ratios.push((end - at) as f64 / 1000.0 / longest);
    }
    ratios
}

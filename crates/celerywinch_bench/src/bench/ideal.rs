//! The limit: one queue that knows everything at no cost, served by all slots.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::load::Arrival;

/// Response times over the longest task, computed for a central queue, earliest arrival first.
pub(super) fn central_queue(arrivals: &[Arrival], slots: usize) -> Vec<f64> {
    // Times in whole microseconds, for an order without surprises.
    let mut free: BinaryHeap<Reverse<u64>> = (0..slots).map(|_| Reverse(0)).collect();
    let micros = |ms: f64| (ms * 1000.0) as u64;
    let mut ratios = Vec::with_capacity(arrivals.len());
    for arrival in arrivals {
        let at = u64::try_from(arrival.at.as_micros()).unwrap_or(u64::MAX);
        let mut end = at;
        for run in &arrival.run_ms {
            let Some(Reverse(slot)) = free.pop() else {
                break;
            };
            let done = slot.max(at) + micros(*run);
            end = end.max(done);
            free.push(Reverse(done));
        }
        let longest = arrival.run_ms.iter().copied().fold(0.0, f64::max);
        ratios.push((end - at) as f64 / 1000.0 / longest);
    }
    ratios
}

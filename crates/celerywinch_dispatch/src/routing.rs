//! Choice of the endpoint for a task.

use std::time::Duration;

use celerywinch_types::Time;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::dispatch::{Endpoint, EndpointId};
use crate::health::SLOW_FACTOR;

/// Number of overdue calls of an endpoint that is not counted against it, as it may be due to chance.
const TOLERATED_OVERDUE: usize = 1;

/// How endpoints are chosen. All but the first are baselines for benchmarks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Own slots only; suspect and slow endpoints last, the least loaded first.
    #[default]
    Shares,
    /// Any endpoint at random.
    Random,
    /// Endpoints in turn.
    RoundRobin,
    /// The endpoint with the fewest tasks of this entry in flight, without shares of slots.
    LeastOutstanding,
}

/// An endpoint that may get a task.
pub(crate) struct Candidate<'a> {
    pub(crate) id: EndpointId,
    pub(crate) endpoint: &'a Endpoint,
}

/// The task to be placed, and the run times of its kind.
pub(crate) struct Placement {
    pub(crate) now: Time,
    pub(crate) remaining: Duration,
    pub(crate) median: Duration,
    /// Run time after which a call of the kind counts as overdue.
    pub(crate) overdue_after: Duration,
}

/// Chooses one of the endpoints of a kind; `None` means that the task waits.
pub(crate) fn choose<'a>(
    policy: Policy,
    place: &Placement,
    next_index: &mut usize,
    random: &mut ChaCha8Rng,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Option<EndpointId> {
    match policy {
        Policy::Shares => by_shares(place, random, candidates),
        Policy::Random => {
            let all: Vec<_> = candidates.map(|c| c.id).collect();
            (!all.is_empty()).then(|| all[random.random_range(0..all.len())])
        }
        Policy::RoundRobin => {
            let all: Vec<_> = candidates.map(|c| c.id).collect();
            *next_index = next_index.wrapping_add(1);
            (!all.is_empty()).then(|| all[*next_index % all.len()])
        }
        Policy::LeastOutstanding => candidates
            .min_by_key(|c| (c.endpoint.in_flight, random.random::<u32>()))
            .map(|c| c.id),
    }
}

fn by_shares<'a>(
    place: &Placement,
    random: &mut ChaCha8Rng,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Option<EndpointId> {
    let mut best = None;
    for Candidate { id, endpoint } in candidates {
        if endpoint.free(place.now) == 0 {
            continue;
        }
        let slowness = endpoint.health.slowness(place.now);
        // A slow endpoint gets only tasks that it can finish in time. Otherwise nearly every job would have a task that
        // runs as long as its slowest one.
        if slowness >= SLOW_FACTOR && place.median.mul_f64(slowness) > place.remaining {
            continue;
        }
        let slow = if slowness >= SLOW_FACTOR {
            slowness as u32
        } else {
            0
        };
        let load =
            u32::from(endpoint.in_flight) * 64 / u32::from(endpoint.announcement.slots.max(1));
        // A slow endpoint is recognised by its overdue calls long before their run times are known.
        let overdue = endpoint
            .overdue(place.now, place.overdue_after)
            .saturating_sub(TOLERATED_OVERDUE);
        let chance = random.random::<u32>();
        let rank = (endpoint.health.is_suspect(), slow, overdue, load, chance);
        if best.as_ref().is_none_or(|(least, _)| rank < *least) {
            best = Some((rank, id));
        }
    }
    best.map(|(_, id)| id)
}

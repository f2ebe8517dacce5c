//! Which endpoint a task goes to.

use std::time::Duration;

use celerywinch_types::Time;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::dispatch::{Endpoint, EndpointId};
use crate::health::SLOW;

/// Overdue calls of one endpoint that may be chance.
const TOLERATED: usize = 1;

/// How endpoints are chosen; all but the first are baselines to measure against.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Own slots only, doubtful and slow endpoints last, the least loaded first.
    #[default]
    Shares,
    /// Any endpoint at random.
    Random,
    /// Endpoints in turn.
    RoundRobin,
    /// The endpoint with the fewest tasks of this entry, without sharing out slots.
    LeastOutstanding,
}

/// One candidate for a task.
pub(crate) struct Candidate<'a> {
    pub(crate) id: EndpointId,
    pub(crate) endpoint: &'a Endpoint,
}

/// What is known of the task that is placed.
pub(crate) struct Placement {
    pub(crate) now: Time,
    pub(crate) remaining: Duration,
    pub(crate) median: Duration,
    /// A run time that few tasks of the kind exceed.
    pub(crate) long: Duration,
}

/// Chooses among the endpoints of a kind; `None` means that the task waits.
pub(crate) fn choose<'a>(
    policy: Policy,
    place: &Placement,
    turn: &mut usize,
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
            *turn = turn.wrapping_add(1);
            (!all.is_empty()).then(|| all[*turn % all.len()])
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
        // A slow endpoint gets only what it can still finish in time; it would make the slowest
        // task of a job the rule.
        if slowness >= SLOW && place.median.mul_f64(slowness) > place.remaining {
            continue;
        }
        let slow = if slowness >= SLOW { slowness as u32 } else { 0 };
        let load = u32::from(endpoint.in_flight) * 64 / u32::from(endpoint.note.slots.max(1));
        // A slow endpoint shows by calls that do not end long before their run times are known.
        let overdue = endpoint
            .overdue(place.now, place.long)
            .saturating_sub(TOLERATED);
        let chance = random.random::<u32>();
        let rank = (endpoint.health.doubtful(), slow, overdue, load, chance);
        if best.as_ref().is_none_or(|(least, _)| rank < *least) {
            best = Some((rank, id));
        }
    }
    best.map(|(_, id)| id)
}

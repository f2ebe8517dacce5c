//! What callers submit, and when: drawn before the run, so that every policy gets the same.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One submission.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    /// When, from the start of the run.
    pub(super) at: Duration,
    /// The entry it is sent to.
    pub(super) entry: usize,
    /// How long each task runs, in milliseconds.
    pub(super) run_ms: Vec<f64>,
    /// Time until the answer is due.
    pub(super) deadline: Duration,
    /// Index of the team.
    pub(super) team: usize,
}

/// How the load is laid out.
#[derive(Clone, Copy, Debug)]
pub(super) struct Plan {
    pub(super) seed: u64,
    pub(super) span: Duration,
    /// Entries of each data centre; the data centres have equal shares of the endpoints, and so of
    /// the callers.
    pub(super) dcs: &'static [(&'static str, usize)],
    pub(super) slots: usize,
    /// Offered load as a share of capacity, by time from 0 to 1 of the run.
    pub(super) load: fn(f64) -> f64,
}

/// Shortest and longest usual run time, in milliseconds.
const SHORTEST: f64 = 50.0;
const LONGEST: f64 = 1000.0;
/// Share of tasks that take several seconds.
const GIANTS: f64 = 0.002;
/// Mean run time that follows, in milliseconds; checked by a test.
pub(super) const MEAN_MS: f64 = 255.0;
/// Mean number of tasks that follows; checked by a test.
pub(super) const MEAN_TASKS: f64 = 5.15;
/// The least time that a caller grants beyond the longest task, in milliseconds.
const GRACE_MS: f64 = 500.0;

/// Draws all arrivals of a run.
pub(super) fn draw(plan: Plan) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
    let capacity = plan.slots as f64 * 1000.0 / MEAN_MS / MEAN_TASKS;
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    let span = plan.span.as_secs_f64();
    loop {
        let rate = capacity * (plan.load)(at / span);
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        at -= uniform.ln() / rate.max(0.001);
        if at >= span {
            return arrivals;
        }
        arrivals.push(arrival(&mut random, at, plan.dcs));
    }
}

fn arrival(random: &mut ChaCha8Rng, at: f64, dcs: &[(&str, usize)]) -> Arrival {
    let count = tasks(random);
    let run_ms: Vec<_> = (0..count).map(|_| run_time(random)).collect();
    let longest = run_ms.iter().copied().fold(0.0, f64::max);
    let deadline = (longest * 2.0).max(longest + GRACE_MS).min(9_900.0);
    Arrival {
        at: Duration::from_secs_f64(at),
        entry: entry(random, dcs),
        run_ms,
        deadline: Duration::from_secs_f64(deadline / 1000.0),
        team: random.random_range(0..3),
    }
}

/// Any data centre, then any entry of it.
fn entry(random: &mut ChaCha8Rng, dcs: &[(&str, usize)]) -> usize {
    let dc = random.random_range(0..dcs.len());
    let before: usize = dcs[..dc].iter().map(|(_, entries)| entries).sum();
    before + random.random_range(0..dcs[dc].1)
}

/// Most requests are small; a few jobs are large.
fn tasks(random: &mut ChaCha8Rng) -> usize {
    match random.random_range(0..1000) {
        0..500 => 1,
        500..800 => random.random_range(2..6),
        800..980 => random.random_range(6..24),
        980..998 => random.random_range(24..64),
        _ => random.random_range(64..120),
    }
}

/// A heavy tail: the logarithm is spread evenly, with the short end drawn more often.
fn run_time(random: &mut ChaCha8Rng) -> f64 {
    if random.random_bool(GIANTS) {
        return random.random_range(2000.0..4000.0);
    }
    let low: f64 = random.random();
    let skewed = low.powf(1.5);
    SHORTEST * (LONGEST / SHORTEST).powf(skewed)
}

#[cfg(test)]
#[path = "load_tests.rs"]
mod tests;

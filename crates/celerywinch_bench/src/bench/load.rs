//! The load: all submissions with their times, drawn before the run so that every policy gets the same load.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One submission.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    /// Time of the submission, from the start of the run.
    pub(super) at: Duration,
    /// The entry it is sent to.
    pub(super) entry: usize,
    /// Run time of each task, in milliseconds.
    pub(super) run_ms: Vec<f64>,
    /// Time from the submission until the answer is due.
    pub(super) deadline: Duration,
    /// Number of the team, taken modulo the number of teams.
    pub(super) team: usize,
}

/// The parameters from which the load is drawn.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadPlan {
    pub(super) seed: u64,
    pub(super) duration: Duration,
    /// Names of the data centres, each with its number of entries. The data centres have equal shares of
    /// the endpoints, and therefore of the callers.
    pub(super) dcs: &'static [(&'static str, usize)],
    pub(super) slots: usize,
    /// Offered load as a share of the capacity, by the elapsed share of the run (0 to 1).
    pub(super) load: fn(f64) -> f64,
}

/// Minimum and maximum of usual run times, in milliseconds.
const MIN_RUN_MS: f64 = 50.0;
const MAX_RUN_MS: f64 = 1000.0;
/// Share of tasks that run for several seconds.
const LONG_TASK_SHARE: f64 = 0.002;
/// Mean of the run times that are drawn, in milliseconds; a test checks that it matches.
pub(super) const MEAN_MS: f64 = 255.0;
/// Mean of the numbers of tasks that are drawn; a test checks that it matches.
pub(super) const MEAN_TASKS: f64 = 5.15;
/// Minimum time between the end of the longest task and the deadline, in milliseconds.
const MIN_SLACK_MS: f64 = 500.0;

/// Draws all arrivals of a run.
pub(super) fn draw_arrivals(plan: LoadPlan) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
    let capacity = plan.slots as f64 * 1000.0 / MEAN_MS / MEAN_TASKS;
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    let duration = plan.duration.as_secs_f64();
    loop {
        let rate = capacity * (plan.load)(at / duration);
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        at -= uniform.ln() / rate.max(0.001);
        if at >= duration {
            return arrivals;
        }
        arrivals.push(draw_arrival(&mut random, at, plan.dcs));
    }
}

fn draw_arrival(random: &mut ChaCha8Rng, at: f64, dcs: &[(&str, usize)]) -> Arrival {
    let count = draw_task_count(random);
    let run_ms: Vec<_> = (0..count).map(|_| draw_run_ms(random)).collect();
    let longest = run_ms.iter().copied().fold(0.0, f64::max);
    let deadline = (longest * 2.0).max(longest + MIN_SLACK_MS).min(9_900.0);
    Arrival {
        at: Duration::from_secs_f64(at),
        entry: draw_entry(random, dcs),
        run_ms,
        deadline: Duration::from_secs_f64(deadline / 1000.0),
        team: random.random_range(0..3),
    }
}

/// Draws a data centre and then one of its entries, so that each data centre gets an equal share.
fn draw_entry(random: &mut ChaCha8Rng, dcs: &[(&str, usize)]) -> usize {
    let dc = random.random_range(0..dcs.len());
    let before: usize = dcs[..dc].iter().map(|(_, entries)| entries).sum();
    before + random.random_range(0..dcs[dc].1)
}

/// Draws the number of tasks of a job: most jobs are small, a few are large.
fn draw_task_count(random: &mut ChaCha8Rng) -> usize {
    match random.random_range(0..1000) {
        0..500 => 1,
        500..800 => random.random_range(2..6),
        800..980 => random.random_range(6..24),
        980..998 => random.random_range(24..64),
        _ => random.random_range(64..120),
    }
}

/// Draws a run time in milliseconds from a heavy-tailed distribution: the logarithm is skewed towards short
/// run times.
fn draw_run_ms(random: &mut ChaCha8Rng) -> f64 {
    if random.random_bool(LONG_TASK_SHARE) {
        return random.random_range(2000.0..4000.0);
    }
    let uniform: f64 = random.random();
    let skewed = uniform.powf(1.5);
    MIN_RUN_MS * (MAX_RUN_MS / MIN_RUN_MS).powf(skewed)
}

#[cfg(test)]
#[path = "load_tests.rs"]
mod tests;

//! What is expected of the longest task of a step.

use rstest::rstest;

use super::*;

/// Part of a job's objective that grows with its longest task, beyond the time of that task.
const SLACK: f64 = 0.6;
/// Constant part of the objective, in units of the usual task.
const TARGET: f64 = 0.3;

/// Pseudo-random numbers between 0 and 1.
struct Random(u64);

impl Random {
    fn draw(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as f64 / (1u64 << 31) as f64
    }

    fn within(&mut self, spread: f64) -> f64 {
        1.0 + spread * (2.0 * self.draw() - 1.0)
    }
}

/// Run times of the tasks of a job.
#[derive(Clone, Copy)]
struct Shape {
    /// Relative variation between the tasks of a job.
    spread: f64,
    /// Share of the tasks that take seven times as long.
    tail: f64,
}

impl Shape {
    /// Draws the tasks of a job, as ratios to what was expected of it. Jobs vary by 40%.
    fn job(self, random: &mut Random, width: usize) -> Vec<f64> {
        let base = random.within(0.4);
        let tasks = (0..width).map(|_| {
            let long = if random.draw() < self.tail { 7.0 } else { 1.0 };
            base * long * random.within(self.spread)
        });
        tasks.collect()
    }
}

const NARROW: Shape = Shape {
    spread: 0.15,
    tail: 0.0,
};
const SPREAD: Shape = Shape {
    spread: 0.4,
    tail: 0.0,
};
const LONG: Shape = Shape {
    spread: 0.15,
    tail: 0.03,
};

struct Case {
    shape: Shape,
    width: usize,
    /// Bounds of the expected ratio of the longest task to the usual one.
    longest: (f64, f64),
    /// Bounds of the expected ratio of the mean to the usual task.
    work: (f64, f64),
    /// Bounds of the share of jobs in time that wait for as long as admission accepts.
    in_time: (f64, f64),
}

/// Guards against two errors of admission where a few tasks take much longer: callers of single tasks that are kept waiting
/// for a tail that does not come, and wide jobs that are refused although most of them have a long task, which stretches the
/// objective too. Without a tail, nothing changes.
#[rstest]
#[case::narrow(Case { shape: NARROW, width: 8, longest: (1.0, 1.0), work: (1.0, 1.0), in_time: (0.5, 0.75) })]
#[case::narrow_single(Case { shape: NARROW, width: 1, longest: (1.0, 1.0), work: (1.0, 1.0), in_time: (0.4, 0.6) })]
#[case::spread(Case { shape: SPREAD, width: 8, longest: (1.0, 1.0), work: (1.0, 1.0), in_time: (0.5, 0.9) })]
#[case::tail_single(Case { shape: LONG, width: 1, longest: (0.9, 1.1), work: (1.1, 1.35), in_time: (0.4, 0.6) })]
#[case::tail_few(Case { shape: LONG, width: 2, longest: (0.9, 1.2), work: (1.1, 1.35), in_time: (0.4, 0.65) })]
#[case::tail_usual_width(Case { shape: LONG, width: 8, longest: (1.0, 1.3), work: (1.1, 1.35), in_time: (0.4, 0.65) })]
#[case::tail_wide(Case { shape: LONG, width: 64, longest: (5.5, 8.0), work: (1.1, 1.35), in_time: (0.4, 0.75) })]
fn longest_task_by_distribution(#[case] case: Case) {
    let mut random = Random(7);
    let mut tails = Tails::default();
    for _ in 0..4_000 / case.width {
        tails.learn("q", case.shape.job(&mut random, case.width));
    }
    let stretch = tails.stretch("q", case.width);
    let longest_wait = SLACK * stretch.longest + TARGET;
    let in_time = (0..2_000).filter(|_| {
        let job = case.shape.job(&mut random, case.width);
        let longest = job.into_iter().fold(0.0, f64::max);
        longest_wait <= SLACK * longest + TARGET
    });
    let in_time = in_time.count() as f64 / 2_000.0;
    println!("{stretch:?}, {in_time} in time at the longest accepted wait");
    for (value, (low, high)) in [
        (stretch.longest, case.longest),
        (stretch.work, case.work),
        (in_time, case.in_time),
    ] {
        assert!((low..=high).contains(&value), "{value} in {low}..={high}");
    }
}

/// A successor expects what its predecessor has learned, until it has measured enough itself.
#[test]
fn tail_is_learned_from_another_dispatcher() {
    let mut random = Random(7);
    let mut first = Tails::default();
    for _ in 0..100 {
        first.learn("q", LONG.job(&mut random, 8));
    }
    let mut second = Tails::default();
    second.learn_from("q", first.tail("q"));
    second.learn("q", NARROW.job(&mut random, 8));
    assert_eq!(second.stretch("q", 40), first.stretch("q", 40));
    for _ in 0..100 {
        second.learn("q", NARROW.job(&mut random, 8));
    }
    assert_eq!(second.stretch("q", 40), Stretch::NONE);
}

/// A tail that has ended is forgotten.
#[test]
fn tail_is_forgotten() {
    let mut random = Random(7);
    let mut tails = Tails::default();
    for _ in 0..100 {
        tails.learn("q", LONG.job(&mut random, 8));
    }
    assert_ne!(tails.stretch("q", 64), Stretch::NONE);
    for _ in 0..2 * WINDOW_TASKS / 8 + 10 {
        tails.learn("q", NARROW.job(&mut random, 8));
    }
    assert_eq!(tails.stretch("q", 64), Stretch::NONE);
}

//! Domains whose workers are asked for a sign of life.

mod rig;

use std::time::Duration;

use celerywinch_pool::{Answer, CallKey, Input};
use celerywinch_types::Time;
use rig::{DOMAIN, Rig, lists, worker_note};
use rstest::rstest;

/// A call without an answer is given up after so many ms: the time of a look that waits for nothing, and what an
/// answer may lie unread.
const GIVEN_UP: Duration = Duration::from_millis(100);
/// A domain is given up if no worker of it has answered for this long.
const REACHED: Duration = Duration::from_secs(1);
/// A dispatcher asks a domain of which it hears no process once in so many ms.
const COMPARE: u64 = 40;

/// Calls that nobody answers, and when they are given up.
#[derive(Default)]
struct Open {
    seen: usize,
    calls: Vec<(Time, CallKey)>,
}

impl Open {
    /// Answers the calls to the first worker at once, and those to the others if they are alive.
    fn answer(&mut self, rig: &mut Rig, others: bool) {
        while let Some(call) = rig.calls.get(self.seen).cloned() {
            self.seen += 1;
            if others || call.worker == "w1" {
                rig.answer(&call, lists(Vec::new(), Vec::new()));
            } else {
                self.calls.push((rig.now + GIVEN_UP, call.key));
            }
        }
        let now = rig.now;
        let (due, later) = self.calls.iter().partition(|(at, _)| *at <= now);
        self.calls = later;
        let due: Vec<_> = due;
        for (_, key) in due {
            rig.handle(Input::Answered(key, Answer::NoAnswer));
        }
    }

    fn pass(&mut self, rig: &mut Rig, ms: u64, others: bool) {
        for _ in 0..ms / 10 {
            rig.advance(10);
            self.answer(rig, others);
        }
    }
}

/// Callers are refused though workers are free: all processes of a data centre are silent, and some of its idle workers
/// are dead. A dispatcher elsewhere asks for a sign of life, but not while any look there is under way, and the dead
/// ones are looked at again and again. So nobody asks those that would answer, and after a second without an
/// answer the data centre is given up with them.
#[rstest]
#[case::all_alive(0)]
#[case::one_dead(1)]
#[case::some_dead(12)]
fn worker_that_answers_is_asked_beside_dead_ones(#[case] dead: u16) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    let mut open = Open::default();
    open.answer(&mut rig, true);
    for port in 2..2 + dead {
        rig.handle(Input::Workers(vec![worker_note(&format!("w{port}"), port)]));
        open.answer(&mut rig, true);
        open.pass(&mut rig, 30, true);
    }
    open.pass(&mut rig, 1_000, true);
    // Idle looks find them dead.
    open.pass(&mut rig, 5_000, false);
    let mut unreached = 0;
    for _ in 0..2_000 / COMPARE {
        rig.handle(Input::CheckReachable(DOMAIN));
        open.answer(&mut rig, false);
        open.pass(&mut rig, COMPARE, false);
        unreached += u64::from(!rig.pool.is_reachable(rig.now, DOMAIN, REACHED));
    }
    assert_eq!(unreached, 0, "of {} comparisons", 2_000 / COMPARE);
}

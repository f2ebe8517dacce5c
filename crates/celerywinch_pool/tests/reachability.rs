//! Checks whether the workers of a domain can be reached.

mod rig;

use std::time::Duration;

use celerywinch_pool::{Answer, CallKey, Input};
use celerywinch_types::Time;
use rig::{DOMAIN, Rig, lists, worker_announcement};
use rstest::rstest;

/// Timeout of a call without an answer: that of a poll that does not wait, plus the time for which an answer may lie
/// unread.
const CALL_TIMEOUT: Duration = Duration::from_millis(100);
/// A domain is given up if none of its workers has answered for this long.
const UNREACHED_AFTER: Duration = Duration::from_secs(1);
/// Interval in ms at which a dispatcher checks a domain whose processes are all silent.
const CHECK_INTERVAL_MS: u64 = 40;

/// Unanswered calls with the times at which they time out.
#[derive(Default)]
struct OpenCalls {
    seen: usize,
    calls: Vec<(Time, CallKey)>,
}

impl OpenCalls {
    /// Answers the calls to the first worker at once, and those to the others only if `others` is set; expired calls get no
    /// answer.
    fn answer(&mut self, rig: &mut Rig, others: bool) {
        while let Some(call) = rig.calls.get(self.seen).cloned() {
            self.seen += 1;
            if others || call.worker == "w1" {
                rig.answer(&call, lists(Vec::new(), Vec::new()));
            } else {
                self.calls.push((rig.now + CALL_TIMEOUT, call.key));
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

    fn advance(&mut self, rig: &mut Rig, ms: u64, others: bool) {
        for _ in 0..ms / 10 {
            rig.advance(10);
            self.answer(rig, others);
        }
    }
}

/// Guards against giving up a data centre whose workers are free, so that callers are refused. All processes of the data centre
/// are silent, and some of its idle workers are dead. A dispatcher elsewhere checked whether the workers can be reached, but
/// not while any poll there was in flight, and the dead ones are polled again and again. So the live workers were never
/// polled, and the data centre was given up after a second without an answer.
#[rstest]
#[case::all_alive(0)]
#[case::one_dead(1)]
#[case::some_dead(12)]
fn worker_that_answers_is_polled_beside_dead_ones(#[case] dead: u16) {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    let mut open = OpenCalls::default();
    open.answer(&mut rig, true);
    for port in 2..2 + dead {
        rig.handle(Input::Workers(vec![worker_announcement(
            &format!("w{port}"),
            port,
        )]));
        open.answer(&mut rig, true);
        open.advance(&mut rig, 30, true);
    }
    open.advance(&mut rig, 1_000, true);
    // Idle polls find them dead.
    open.advance(&mut rig, 5_000, false);
    let mut unreached = 0;
    for _ in 0..2_000 / CHECK_INTERVAL_MS {
        rig.handle(Input::CheckReachable(DOMAIN));
        open.answer(&mut rig, false);
        open.advance(&mut rig, CHECK_INTERVAL_MS, false);
        unreached += u64::from(!rig.pool.is_reachable(rig.now, DOMAIN, UNREACHED_AFTER));
    }
    assert_eq!(unreached, 0, "of {} checks", 2_000 / CHECK_INTERVAL_MS);
}

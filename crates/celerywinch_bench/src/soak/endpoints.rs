//! Fake endpoints, which decide how each call with a task ends.

use std::net::SocketAddr;
use std::time::Duration;

use celerywinch_entry::CallEnd;
use celerywinch_types::{DataCentreId, EndpointAnnouncement, EndpointState, Key, TaskBody};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::history::result_text;

/// Number of slots of every fake endpoint.
const SLOTS: u16 = 3;

/// Time until the caller learns that a task was not run.
const REFUSAL_DELAY: Duration = Duration::from_micros(300);

/// One fake endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    addr: SocketAddr,
    pub(crate) dc: DataCentreId,
    sequence: u64,
    running: u16,
}

/// How a call with a task ends.
#[derive(Debug)]
pub(crate) struct CallResult {
    /// Whether the endpoint starts the task.
    pub(crate) started: bool,
    /// Time until the calling entry learns the end.
    pub(crate) delay: Duration,
    /// The end that the calling entry learns.
    pub(crate) end: CallEnd,
}

impl Endpoint {
    pub(crate) fn new(index: u16, dc: DataCentreId) -> Self {
        Self {
            addr: SocketAddr::from(([127, 0, 0, 1], 40_000 + index)),
            dc,
            sequence: 0,
            running: 0,
        }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the next announcement, for an endpoint that serves only `kind`.
    pub(crate) fn next_announcement(&mut self, kind: &str) -> EndpointAnnouncement {
        self.sequence += 1;
        EndpointAnnouncement {
            addr: self.addr,
            incarnation: 1,
            sequence: self.sequence,
            dc: self.dc,
            rack: "rack".into(),
            kinds: vec![kind.into()],
            slots: SLOTS,
            connections: 64,
            state: EndpointState::Serving,
            age_ms: 0,
        }
    }

    /// Draws how the call with `task` of `key` ends, and occupies a slot if the task starts.
    pub(crate) fn handle_task(
        &mut self,
        key: &Key,
        task: u32,
        random: &mut ChaCha8Rng,
    ) -> CallResult {
        let not_run = |refused: bool| CallResult {
            started: false,
            delay: REFUSAL_DELAY,
            end: CallEnd::NotRun {
                refused,
                detail: "not run".into(),
            },
        };
        if self.running >= SLOTS {
            return not_run(true);
        }
        let roll: f64 = random.random();
        if roll < 0.01 {
            return not_run(false);
        }
        let run = Duration::from_micros(random.random_range(5_000..120_000));
        if roll < 0.02 {
            // The connection broke before the task arrived. It never started, but the calling entry cannot know that.
            return CallResult {
                started: false,
                delay: run,
                end: CallEnd::Lost("lost on the way".into()),
            };
        }
        self.running += 1;
        let end = if roll < 0.03 {
            CallEnd::Lost("lost on the way back".into())
        } else if roll < 0.05 {
            CallEnd::TaskFailed {
                task_fault: roll < 0.04,
                detail: "failed".into(),
            }
        } else {
            CallEnd::Done(TaskBody(result_text(key, task).into()))
        };
        CallResult {
            started: true,
            delay: run,
            end,
        }
    }

    /// Frees the slot of a task that was started.
    pub(crate) fn finish_task(&mut self) {
        self.running = self.running.saturating_sub(1);
    }
}

//! Fake endpoints: what becomes of a task that was sent.

use std::net::SocketAddr;
use std::time::Duration;

use celerywinch_entry::CallEnd;
use celerywinch_types::{DataCentreId, EndpointAnnouncement, EndpointState, Key, TaskBody};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::history::result_text;

/// Slots of every fake endpoint.
const SLOTS: u16 = 3;

/// How long a refusal takes.
const REFUSAL: Duration = Duration::from_micros(300);

/// One fake endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    addr: SocketAddr,
    pub(crate) dc: DataCentreId,
    sequence: u64,
    running: u16,
}

/// What becomes of a task.
#[derive(Debug)]
pub(crate) struct Fate {
    /// Whether the endpoint starts it.
    pub(crate) starts: bool,
    /// How long until the caller of the endpoint learns the end.
    pub(crate) after: Duration,
    /// The end.
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

    pub(crate) fn announce(&mut self, kind: &str) -> EndpointAnnouncement {
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

    /// A task arrives.
    pub(crate) fn receive(&mut self, key: &Key, task: u32, random: &mut ChaCha8Rng) -> Fate {
        let not_run = |refused: bool| Fate {
            starts: false,
            after: REFUSAL,
            end: CallEnd::NotRun {
                refused,
                detail: "not run".into(),
            },
        };
        if self.running >= SLOTS {
            return not_run(true);
        }
        let dice: f64 = random.random();
        if dice < 0.01 {
            return not_run(false);
        }
        let run = Duration::from_micros(random.random_range(5_000..120_000));
        if dice < 0.02 {
            // The connection broke on the way: it never started, but nobody can know.
            return Fate {
                starts: false,
                after: run,
                end: CallEnd::Lost("lost on the way".into()),
            };
        }
        self.running += 1;
        let end = if dice < 0.03 {
            CallEnd::Lost("lost on the way back".into())
        } else if dice < 0.05 {
            CallEnd::TaskFailed {
                task_fault: dice < 0.04,
                detail: "failed".into(),
            }
        } else {
            CallEnd::Done(TaskBody(result_text(key, task).into()))
        };
        Fate {
            starts: true,
            after: run,
            end,
        }
    }

    pub(crate) fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }
}

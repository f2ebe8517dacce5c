//! Links of members that carry so many bytes a second, and what members send over them.

use std::time::Duration;

use celerywinch_pool::{Answer, Request};
use celerywinch_types::{FleetMsg, Time};

/// Headers of a message between members, by TCP, HTTP/2 and its frame.
const MESSAGE_OVERHEAD: usize = 60;
/// A call to a worker or its answer without what it is about: TCP, HTTP/1.1 and the JSON around it.
const CALL_OVERHEAD: usize = 350;
/// What a caller gives with a job is handed on with each start of a task; the mean of the brief's service.
const SPEC_BYTES: usize = 1_000;
/// A row of a worker's lists.
const ROW_BYTES: usize = 60;

/// One direction of a link.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LinkDirection {
    /// When all that was put on it has passed.
    busy_until: Time,
}

impl LinkDirection {
    /// When so many bytes that come at `at` have passed.
    pub(crate) fn transmit(&mut self, at: Time, bytes: usize, rate: Option<u64>) -> Time {
        let Some(rate) = rate else {
            return at;
        };
        let duration = Duration::from_secs_f64(bytes as f64 / rate as f64);
        self.busy_until = self.busy_until.max(at) + duration;
        self.busy_until
    }
}

/// What a member sends that is not callers' work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ControlTraffic {
    /// Messages.
    pub messages: usize,
    /// Their bytes.
    pub bytes: usize,
}

impl ControlTraffic {
    pub(crate) fn add(&mut self, msg: &FleetMsg, bytes: usize) {
        if !matches!(msg, FleetMsg::Work(_)) {
            self.messages += 1;
            self.bytes += bytes;
        }
    }
}

pub(crate) fn message_size(msg: &FleetMsg) -> usize {
    let encoded = bincode::serde::encode_to_vec(msg, bincode::config::standard());
    let spec = match msg {
        FleetMsg::Work(celerywinch_types::WorkMsg::Submit(_)) => SPEC_BYTES,
        _ => 0,
    };
    MESSAGE_OVERHEAD + spec + encoded.expect("plain data encodes").len()
}

pub(crate) fn call_size(order: &Request) -> usize {
    match order {
        Request::Start { .. } => CALL_OVERHEAD + SPEC_BYTES,
        Request::Stop { .. } | Request::Poll { .. } => CALL_OVERHEAD,
    }
}

pub(crate) fn answer_size(answer: &Answer) -> usize {
    match answer {
        Answer::Lists { running, ended, .. } => {
            CALL_OVERHEAD + ROW_BYTES * (running.len() + ended.len())
        }
        _ => CALL_OVERHEAD,
    }
}

//! Links of members with limited bandwidth, and the sizes of what members send over them.

use std::time::Duration;

use celerywinch_pool::{Answer, Request};
use celerywinch_types::{FleetMsg, Time};

/// Bytes of the headers of a message between members: TCP, HTTP/2 and its frame.
const MESSAGE_OVERHEAD: usize = 60;
/// Bytes of a call to a worker, or of its answer, without the payload: TCP, HTTP/1.1 and the JSON around it.
const CALL_OVERHEAD: usize = 350;
/// Bytes of the specification that a caller submits with a job, which is sent with each start of a task. Mean of the
/// reference service.
const SPEC_BYTES: usize = 1_000;
/// Bytes of a row in a worker's lists.
const ROW_BYTES: usize = 60;

/// One direction of a link, which transmits one message after the other.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LinkDirection {
    /// Time at which all bytes put on it so far have passed.
    busy_until: Time,
}

impl LinkDirection {
    /// Transmits bytes that arrive at `at` at `rate` bytes per second and returns when they have passed.
    pub(crate) fn transmit(&mut self, at: Time, bytes: usize, rate: Option<u64>) -> Time {
        let Some(rate) = rate else {
            return at;
        };
        let duration = Duration::from_secs_f64(bytes as f64 / rate as f64);
        self.busy_until = self.busy_until.max(at) + duration;
        self.busy_until
    }
}

/// Control traffic that a member sends: all messages but those about callers' tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ControlTraffic {
    /// Number of messages.
    pub messages: usize,
    /// Their size, in bytes.
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

/// Returns the size of a message between members, in bytes.
pub(crate) fn message_size(msg: &FleetMsg) -> usize {
    let encoded = bincode::serde::encode_to_vec(msg, bincode::config::standard());
    let spec = match msg {
        FleetMsg::Work(celerywinch_types::WorkMsg::Submit(_)) => SPEC_BYTES,
        _ => 0,
    };
    MESSAGE_OVERHEAD + spec + encoded.expect("plain data encodes").len()
}

/// Returns the size of a call to a worker, in bytes.
pub(crate) fn call_size(request: &Request) -> usize {
    match request {
        Request::Start { .. } => CALL_OVERHEAD + SPEC_BYTES,
        Request::Stop { .. } | Request::Poll { .. } => CALL_OVERHEAD,
    }
}

/// Returns the size of a worker's answer, in bytes.
pub(crate) fn answer_size(answer: &Answer) -> usize {
    match answer {
        Answer::Lists { running, ended, .. } => {
            CALL_OVERHEAD + ROW_BYTES * (running.len() + ended.len())
        }
        _ => CALL_OVERHEAD,
    }
}

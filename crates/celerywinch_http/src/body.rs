//! Bodies of requests, while they arrive.

use std::task::Waker;

use celerywinch_admission::CloseReason;
use thiserror::Error;

/// The smallest capacity of a body that is not empty, in bytes.
const MIN_CAPACITY: usize = 1 << 10;

/// A complete body. The memory stays reserved until the request is answered.
pub type Body = Vec<u8>;

/// Why a body was not read. The request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The client closed the connection or broke the protocol.
    #[error("the body is incomplete")]
    Incomplete,
    /// The body is larger than allowed.
    #[error("the body exceeds the size limit")]
    TooLarge,
    /// The body did not arrive in time, or its memory is needed by others.
    #[error("not run: {}", describe(*.0))]
    Refused(CloseReason),
}

fn describe(reason: CloseReason) -> &'static str {
    match reason {
        CloseReason::Memory | CloseReason::Connections => "this process is short of memory",
        CloseReason::Stalled | CloseReason::Slow | CloseReason::Head | CloseReason::Idle => {
            "the body did not arrive in time"
        }
    }
}

/// The part of a body that has arrived. It is kept by the limiter, which can discard it at any time.
#[derive(Debug, Default)]
pub(crate) struct Partial {
    pub(crate) bytes: Body,
    /// Why the body was discarded.
    pub(crate) refused: Option<CloseReason>,
    pub(crate) waker: Option<Waker>,
}

impl Partial {
    /// Returns by how many bytes the capacity has to grow for `length` further bytes.
    pub(crate) fn growth(&self, length: usize, limit: usize) -> usize {
        let capacity = self.bytes.capacity();
        let wanted = self.bytes.len() + length;
        if wanted <= capacity {
            return 0;
        }
        let doubled = (capacity * 2).clamp(MIN_CAPACITY, limit.max(MIN_CAPACITY));
        doubled.max(wanted) - capacity
    }

    /// Appends a part after room for it was reserved.
    pub(crate) fn append(&mut self, part: &[u8], growth: usize) {
        let spare = self.bytes.capacity() - self.bytes.len();
        self.bytes.reserve_exact(spare + growth);
        self.bytes.extend_from_slice(part);
    }

    /// Discards what has arrived, and wakes the reader.
    pub(crate) fn refuse(&mut self, reason: CloseReason) {
        self.bytes = Body::new();
        self.refused = Some(reason);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

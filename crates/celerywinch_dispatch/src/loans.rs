//! Idle slots lent to an entry that needs them.

use std::net::SocketAddr;
use std::time::Duration;

use celerywinch_types::{InstanceId, Time};

/// How long a loan lasts unless it is given back earlier.
///
/// The lender uses a lent slot again when the lease ends, even if the borrower is gone. A borrower
/// that still has a task there makes the endpoint refuse one task, which is sent elsewhere.
pub const LEASE: Duration = Duration::from_secs(5);

/// The borrower stops to use a loan this long before it ends.
pub(crate) const MARGIN: Duration = Duration::from_millis(500);

/// The borrower gives a loan back when it had no use for it this long.
pub(crate) const IDLE: Duration = Duration::from_millis(40);

/// One loan, at the lender's or the borrower's side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loan {
    /// Names it at the lender.
    pub id: u64,
    /// The other side.
    pub peer: InstanceId,
    /// Endpoint and number of slots.
    pub slots: Vec<(SocketAddr, u16)>,
    /// When it ends on this side's clock.
    pub until: Time,
    /// When it was last of use, at the borrower.
    pub used: Time,
}

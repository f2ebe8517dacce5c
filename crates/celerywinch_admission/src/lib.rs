//! Admission of connections, and of the memory that their requests take.
//!
//! All connections of a process share one budget of memory, and each listener has a limit on its connections. A
//! connection that waits for its client (for a request, the rest of a body, or the client to read an answer) can be
//! closed at any time; one whose request is being served cannot. When the budget or a limit is reached, the connections
//! that have waited for their clients the longest are closed first: an ordinary client sends a request and reads the
//! answer within milliseconds, so it is hardly ever among them.
//!
//! [`Admission`] is a state machine without clock or socket. The host reports what happens on its connections and
//! carries out the [`Action`]s that it takes from it.

mod admission;
mod limits;

pub use admission::{Action, Admission, ConnectionKey};
pub use limits::{CloseReason, Limits, LimitsBuilder, Listener, ListenerLimit, Share, Timeouts};

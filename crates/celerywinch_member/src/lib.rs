//! One member of a fleet as a state machine without clock, socket or thread: it hears the others'
//! heartbeats, decides for which data centres it dispatches, and runs the dispatcher and the origin
//! of its callers' jobs.
//!
//! The host guarantees that time is monotonic and counts suspensions, that `Tick` comes at least
//! every 40 ms and `Paused` before anything else after a pause, and that each
//! [`Output::Call`] is answered once.

mod beats;
mod member;
mod note;
mod round;

pub use member::{Input, Member, MemberConfig, Output};
pub use note::MemberNote;

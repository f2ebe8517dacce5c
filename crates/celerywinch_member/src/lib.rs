//! One member of a fleet as a state machine without clock, socket or thread. It tracks which
//! processes are alive by their heartbeats, decides for which data centres it dispatches, and runs
//! the dispatcher and the origin of its callers' jobs.
//!
//! The host guarantees that time is monotonic and includes suspensions, that [`Input::Tick`] comes
//! at least every 40 ms, that [`Input::Paused`] comes before any other input after a suspension, and
//! that each [`Output::Call`] is answered once.

mod event;
mod heartbeats;
mod member;
mod round_robin;

pub use event::MemberEvent;
pub use member::{Input, Member, MemberConfig, Output};

//! The state machine of an entry instance, which gives every submission exactly one outcome.
//!
//! [`Entry`] has no clock, socket, thread or global state: the host calls [`Entry::handle`] with the time and an
//! [`Input`], and carries out the [`Output`]s. The daemon, the tests and the randomised runs all drive the same code.
//!
//! The host guarantees that:
//!
//! - `now` never goes back, and one `Entry` stands for one incarnation;
//! - messages are attributed to the instance and incarnation that sent them; they may be lost, delayed, duplicated and
//!   reordered;
//! - the task of an [`Output::Start`] is sent to the endpoint at most once, and its end is reported as
//!   [`CallEnd::NotRun`] only if the endpoint provably did not get the task or has refused it;
//! - an [`Input::Tick`] comes at least every few milliseconds while there is work.

mod cancel;
mod catalogues;
mod claims;
mod config;
mod entry;
mod event;
mod io;
mod job;
mod lookup;
mod members;
mod relay;
mod settle;
mod slots;
mod submit;
mod tasks;

pub use config::{Config, ConfigBuilder};
pub use entry::{Entry, Status};
pub use event::{Event, Invariant};
pub use io::{Call, CallEnd, CallId, CancelState, Input, Output, Reply, WaiterId};

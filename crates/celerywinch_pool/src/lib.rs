//! The dispatcher of the workers of a data centre: a queue, placement by capacity, leases, fencing
//! tokens, run numbers, and the recovery of this state from the workers and the origins of jobs.
//!
//! [`Pool`] is a state machine without clock, socket or thread. It keeps no state that outlives the
//! process: a successor takes over the workers with a higher fencing token, learns from them which
//! runs are running or have ended, and gets the open tasks from their origins again.
//!
//! The host must guarantee the following: time is monotonic and includes suspensions of the machine;
//! every [`Output::Call`] is answered once by [`Input::Answered`], at the latest when its timeout
//! expires; `Tick` comes at least every 20 ms. The pool guarantees that a task has no second run
//! while an earlier one may still be running, as long as the clock of a worker is slow by at most
//! [`MAX_CLOCK_DRIFT`].

mod admission;
mod answer_times;
mod call;
mod claims;
mod config;
mod crashes;
mod event;
mod expected_end;
mod grants;
mod holds;
mod incarnations;
mod inflow;
mod job;
mod leases;
mod origins;
mod overstay;
mod packing;
mod place;
mod pool;
mod progress;
mod queue;
mod reservations;
mod results;
mod run;
mod run_times;
mod sent_ends;
mod sizes;
mod submit;
mod tails;
mod takeover;
mod unplaced;
mod worker;

pub use call::{Answer, Call, CallKey, EndedRow, Rejection, Request, RunEnd, RunningRow};
pub use config::{MAX_CLOCK_DRIFT, PoolConfig};
pub use event::{Departure, PoolEvent};
pub use grants::Grant;
pub use pool::{Input, Output, Pool};

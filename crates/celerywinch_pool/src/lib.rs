//! The dispatcher of the workers of a data centre: one queue, placement by capacity, leases and
//! fencing, run numbers, and the recovery of all that from the workers and the origins of jobs.
//!
//! [`Pool`] is a state machine without clock, socket or thread. It keeps nothing that outlives the
//! process: a successor takes the workers over with a higher fencing token, learns from them what
//! runs and what ended, and gets the open tasks from their origins again.
//!
//! What the host must guarantee: time is monotonic and counts suspensions; every [`Output::Call`]
//! is answered once by [`Input::Answered`], at the latest when its timeout is over; `Tick` comes at
//! least every 20 ms. What the pool guarantees: a task has no second run while a first one may
//! still be at work, as long as a worker's clock is at most [`MAX_CLOCK_DRIFT`] slow.

mod admission;
mod answer_times;
mod call;
mod config;
mod crashes;
mod event;
mod grants;
mod incarnations;
mod inflow;
mod job;
mod leases;
mod origins;
mod place;
mod pool;
mod queue;
mod results;
mod run;
mod run_times;
mod sent_ends;
mod submit;
mod takeover;
mod worker;

pub use call::{Answer, Call, CallKey, EndedRow, Rejection, Request, RunEnd, RunningRow};
pub use config::{MAX_CLOCK_DRIFT, PoolConfig};
pub use event::{Departure, PoolEvent};
pub use grants::Grant;
pub use pool::{Input, Output, Pool};

//! Admission, queueing and routing of the tasks of an entry.
//!
//! [`Dispatch`] is a state machine without clock or socket. It owns a share of the slots of every
//! endpoint of the data centre, so that entries stay within an endpoint's slots without a message
//! per task (module `shares`). Each of its modules decides one thing:
//!
//! | module | decides |
//! |---|---|
//! | `admission` | whether a job can be done in time, or is refused at once |
//! | `queue` | what starts next: class, then team share, then deadline |
//! | `routing` | which endpoint a task goes to |
//! | `shares` | which entry owns a slot |
//! | `loans` | which idle slots are lent to another entry |
//! | `health` | which endpoints are quarantined or used less |
//! | `estimate` | how long a task of a kind is expected to run |

mod admission;
mod dispatch;
mod estimate;
mod health;
mod loans;
mod queue;
mod routing;
mod shares;

pub use admission::Admission;
pub use dispatch::{CallEnd, Dispatch, EndpointId, JobId, Start, TaskRef, Work};
pub use estimate::Estimate;
pub use health::{Health, HealthChange};
pub use loans::{LEASE as LOAN_LEASE, Loan};
pub use routing::Policy;
pub use shares::share;

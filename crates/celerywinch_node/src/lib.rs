//! The process that runs the state machines: HTTP, links between instances, clock, time line, metrics.
//!
//! One thread, the core, owns the entry's state machine, the links and the calls to endpoints. Separate threads
//! serve HTTP: they validate requests against a snapshot of the catalogue and send them to the core by a channel.

mod calls;
mod clock;
mod core;
mod filters;
mod http;
mod incarnation;
mod links;
mod metrics;
mod node;
mod resources;
mod servers;
mod shared;
mod store;
mod timeline;

pub use clock::Clock;
pub use filters::FILTERS;
pub use node::{Node, NodeOptions};
pub use shared::ListenAddrs;

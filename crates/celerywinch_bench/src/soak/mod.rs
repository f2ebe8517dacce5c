//! Randomised simulations of the state machines of entries and keepers, with checks of their histories.
//!
//! The simulations drive the same state machines as the daemon, but with a virtual clock, a fake
//! network that loses, duplicates, delays and reorders messages, fake endpoints, and instances that
//! crash, freeze and restart without their memory. Runs are deterministic: a seed always gives the same run.

mod endpoints;
mod faults;
mod history;
mod network;
mod simulation;
mod store;

pub use simulation::{Report, SoakOptions, run};
pub use store::run_store;

//! Long randomised runs of the entries' state machines, and the check of their histories.
//!
//! The very code that the daemon drives is driven here with a virtual clock, a fake network that
//! loses, doubles, delays and reorders, fake endpoints, and instances that die, freeze and lose
//! their memory. One seed gives one run.

mod endpoints;
mod faults;
mod history;
mod network;
mod store;
mod world;

pub use store::run_store;
pub use world::{Report, SoakOptions, run};

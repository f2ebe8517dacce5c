//! Test rigs: a trial of the main job, randomised simulations (soaks), load tests and scaling measurements.

pub mod bench;
pub mod cluster;
pub mod deployment;
pub mod members;
pub mod report;
pub mod slopes;
pub mod soak;
pub mod trial;

pub use celerywinch_dispatch::Policy;

//! Trying, soaking and measuring.

pub mod cluster;
pub mod deployment;
pub mod soak;
pub mod trial;

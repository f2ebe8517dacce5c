//! Simulation of the members of a fleet and their workers, with a virtual clock and without a network: for randomised
//! runs under faults, whose histories are checked, and for loads, whose service is measured.

mod callers;
mod congestion;
mod evacuations;
mod faults;
mod history;
mod lifecycle;
mod links;
mod load;
mod partitions;
mod refusals;
mod report;
mod resets;
mod switches;
mod workers;
mod world;

pub use faults::FaultPlan;
pub use history::{Violation, overlaps};
pub use links::ControlTraffic;
pub use load::{
    ClassBurst, ClassPlan, ClassStats, LoadPlan, Lull, REFERENCE_CPU, Swing, Tail, WorkerKinds,
    half_worker_load, reference_classes, uneven_load, uneven_workers,
};
pub use switches::{Switch, Switches};
pub use workers::UnansweredCalls;
pub use world::{MembersOptions, MembersReport, run};

//! The catalogue: kinds of work with owner, class and limits, and the quotas of teams.
//!
//! [`Document`] is the catalogue as operators write it; [`Catalogue`] is a document that was validated as a whole.
//! Only a validated catalogue is proposed to the store or put in force.

mod check;
mod document;
mod edit;

pub use check::{Catalogue, Kind, Problem, Team};
pub use document::{Class, DeadlineBounds, Document, KindEntry, TeamEntry};
pub use edit::{Applied, ApplyError, Edit, ReplicatedCatalogue, Version};

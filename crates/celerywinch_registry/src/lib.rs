//! The operators' configuration and the evacuations on the replicated log. The configuration is a document
//! with a version, and the document with the highest version is stored. The set of evacuated data centres has
//! a revision.
//!
//! [`Registry`] is a state machine without clock, socket or disk, like the log below it. The host
//! carries out its outputs as those of the log, and guarantees that a document was validated before it
//! is proposed. Reads are confirmed by a majority of the keepers: an answer was current at some moment
//! after the request, even if the keeper was suspended or partitioned meanwhile.

mod registry;

pub use registry::{
    REQUEST_TIMEOUT, Registry, RegistryOutput, RegistryStatus, Request, VersionedDocument,
};

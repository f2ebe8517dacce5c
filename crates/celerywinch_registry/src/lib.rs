//! The operators' configuration and evacuations on the replicated log: a document with a version, of
//! which the highest is held, and the set of evacuated data centres with a revision.
//!
//! [`Registry`] is a state machine without clock, socket or disk, like the log under it. The host
//! carries out its outputs as those of the log, and guarantees that a document was checked before it
//! is proposed. A read is confirmed by a majority of the keepers: what it answers was the newest at some
//! moment after it was asked, also where the keeper was frozen or cut off meanwhile.

mod registry;

pub use registry::{
    REQUEST_TIMEOUT, Registry, RegistryOutput, RegistryStatus, Request, VersionedDocument,
};

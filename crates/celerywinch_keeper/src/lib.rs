//! The catalogue on the replicated log, and how operators' changes reach it.
//!
//! [`Keeper`] ties the log's state machine to the [`CatalogueState`](celerywinch_catalogue::CatalogueState), which
//! applies the same changes in the same order everywhere. [`Proposer`] runs at every instance: it
//! finds the leader for a change and tries again until there is an answer. Both are state machines
//! without clock, socket or disk.

mod keeper;
mod message;
mod proposer;

pub use keeper::{Keeper, KeeperOutput, KeeperStatus};
pub use message::{ProposalAnswer, ProposalId, StoreMsg};
pub use proposer::{Proposer, ProposerOutput};

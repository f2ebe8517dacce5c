//! The catalogue as a state machine on the replicated log, and the proposal of operators' changes to it.
//!
//! [`Keeper`] connects the Raft state machine to [`ReplicatedCatalogue`](celerywinch_catalogue::ReplicatedCatalogue),
//! which applies the same changes in the same order on all keepers. [`Proposer`] runs in every instance: it sends a
//! change to the leader, and retries until there is an answer or the time limit has passed. Both are state machines
//! without clock, socket or disk.

mod keeper;
mod message;
mod proposer;

pub use keeper::{Keeper, KeeperOutput, KeeperStatus};
pub use message::{ProposalAnswer, ProposalId, StoreMsg};
pub use proposer::{Proposer, ProposerOutput};

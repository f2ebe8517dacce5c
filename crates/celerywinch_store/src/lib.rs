//! A replicated log with majority commit, stored on the disks of a few instances, the keepers.
//!
//! [`Raft`] is the state machine of a keeper, without clock, socket or disk. The host carries out the writes among its
//! [`Output`]s in order and reports them; a message that depends on a write is output after that report. [`Disk`] stores
//! the log file and the snapshot of one keeper.
//!
//! The protocol is Raft with pre-vote, check-quorum, snapshots, and changes of the membership by one keeper at a time. A
//! keeper is identified by its instance and the identity of its disk ([`KeeperId`]): an instance that comes back with an
//! empty disk is another keeper, which does not vote until it has been admitted and has caught up.

mod disk;
mod log;
mod message;
mod raft;

pub use disk::{Disk, DiskError, PersistedState, Record, load_file, save_file};
pub use log::{Entry, KeeperId, Membership, Payload, Snapshot};
pub use message::{RaftMsg, decode, encode};
pub use raft::{Input, Output, Raft, RaftConfig, Role};

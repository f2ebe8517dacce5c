//! A replicated log with majority commit, kept on the disks of a few instances.
//!
//! [`Raft`] is the state machine: it has no clock, socket or disk. The host carries out the
//! writes among its [`Output`]s in order and reports them; a message that rests on a write comes out after that.
//! [`Disk`] is the log file and the snapshot of one keeper.
//!
//! The protocol is Raft with pre-vote, check-quorum, snapshots, and changes of the group by one
//! keeper at a time. A keeper is named by its instance and by the identity of its disk
//! ([`KeeperId`]): one whose disk came back empty is another keeper and does not vote until it was
//! admitted and has caught up.

mod disk;
mod log;
mod message;
mod raft;

pub use disk::{Disk, DiskError, PersistedState, Record, load_file, save_file};
pub use log::{Entry, KeeperId, Membership, Payload, Snapshot};
pub use message::{RaftMsg, decode, encode};
pub use raft::{Input, Output, Raft, RaftConfig, Role};

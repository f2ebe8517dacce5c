//! Agreement, per key, on who may start its tasks and on its one outcome.
//!
//! Every key has a home data centre, and the home a small group of replicas, in memory. Two
//! things are agreed on for a key, each by a majority of the group:
//!
//! 1. **The claim.** A replica votes once for a key, for the first holder that asks, and never
//!    changes its vote. Two majorities share a replica, so at most one holder ever has one, and
//!    only that holder starts tasks. One round trip, and no leader whose loss leaves a gap.
//! 2. **The outcome.** A single-decree Paxos register. Ballot 1 belongs to the holder of the claim,
//!    which may skip the prepare phase since nobody else uses that ballot. Anyone may settle a
//!    key whose holder is gone with a ballot of round 2 or more.
//!
//! Whoever settles a key may say "not run" only if no holder can have had a majority of the votes
//! ([`Promises::proposal`]); otherwise the outcome is a failure that says the work may have run.
//!
//! A replica keeps nothing on disk. After a restart it abstains on every key that is old enough to
//! have been voted on in an earlier life ([`Replica`]).
//!
//! What the host must guarantee: the wall clock of one instance does not go back, across a restart,
//! by more than [`Limits::skew`]; replies are attributed to the instance that sent them.

mod claim;
mod group;
mod replica;

pub use claim::{Claim, Deciding, Held, Progress, Promises, Settling, Verdict, Voting};
pub use group::{Group, Homes};
pub use replica::{Limits, Promise, Rejection, Replica};

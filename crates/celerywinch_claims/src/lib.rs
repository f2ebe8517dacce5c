//! Agreement, for each key, on which holder may start its tasks and on its single outcome.
//!
//! Every key has a home data centre with a small group of in-memory replicas. For each key a majority of the group agrees
//! on two things:
//!
//! 1. **The claim.** A replica votes once for a key, for the first holder that asks, and never
//!    changes its vote. Any two majorities have a replica in common, so at most one holder ever gets a majority, and
//!    only that holder starts tasks. This takes one round trip, and needs no leader whose loss would interrupt it.
//! 2. **The outcome.** A single-decree Paxos register. Ballot 1 belongs to the holder of the claim,
//!    which may skip the prepare phase since no other proposer uses that ballot. Any instance may settle a
//!    key whose holder is gone, with a ballot of round 2 or higher.
//!
//! A key may be settled as "not run" only if no holder can have had a majority of the votes
//! ([`Promises::proposal`]); otherwise the outcome is a failure which says that the tasks may have run.
//!
//! A replica stores nothing on disk. After a restart it abstains on every key that is old enough to
//! have been voted on by its earlier incarnation ([`Replica`]).
//!
//! The host guarantees that the wall clock of an instance does not go back across a restart by more than
//! [`Limits::skew`], and that replies are attributed to the instance that sent them.

mod claim;
mod group;
mod replica;

pub use claim::{Claim, Deciding, Held, Progress, Promises, Settling, Verdict, Voting};
pub use group::{Group, Homes};
pub use replica::{Limits, Promise, Rejection, Replica};

//! Messages between entries. Each may be lost, delayed, duplicated or reordered.

use std::time::Duration;

use crate::{
    EndpointAnnouncement, Holder, Incarnation, Key, Outcome, Process, Submission, Time, WallMs,
    domain,
};

domain! {
    /// A ballot of the consensus register that agrees on a key's outcome.
    ///
    /// Round 0 precedes every ballot, round 1 is reserved for the holder of the claim, and rounds
    /// from 2 on are for processes that settle a key whose holder is gone. The ballot includes the
    /// proposer's incarnation, so that a restarted process never reuses a ballot of an earlier one.
    #[derive(Copy, Hash, PartialOrd, Ord, Default)]
    pub struct Ballot {
        /// The round.
        pub round: u32,
        /// The process that proposes.
        pub proposer: Process,
    }

    /// The vote that a replica has recorded for the claim of a key.
    #[derive(Copy)]
    pub enum VoteState {
        /// No vote was given.
        None,
        /// The vote was given to this holder.
        For(Holder),
        /// The vote was given to this replica itself, which released the claim before it started anything.
        Void(Holder),
    }

    /// The answer of a replica to a request for its vote.
    pub enum Grant {
        /// The vote is given.
        Granted,
        /// The vote was given to another holder earlier.
        Taken(Holder),
        /// Another instance is settling the key.
        Settling,
        /// The outcome is already decided.
        Decided(Outcome),
        /// The key is too old for its tasks to be started.
        TooOld,
        /// The key was used with another body.
        Conflict,
        /// The creation time of the key lies in the future.
        TooNew,
    }

    /// Requests to a replica of a key's register.
    pub enum ClaimMsg {
        /// Asks for the vote.
        Vote {
            /// The key.
            key: Key,
            /// Hash of the body.
            digest: u64,
            /// The process and attempt that wants to start the tasks.
            holder: Holder,
        },
        /// Asks for a promise to accept no ballot below `ballot`.
        Prepare {
            /// The key.
            key: Key,
            /// The ballot.
            ballot: Ballot,
        },
        /// Asks to accept an outcome.
        Accept {
            /// The key.
            key: Key,
            /// Hash of the body.
            digest: u64,
            /// The ballot.
            ballot: Ballot,
            /// The outcome.
            outcome: Outcome,
        },
        /// Asks for the state of a key, without changing it.
        Inspect {
            /// The key.
            key: Key,
        },
        /// Notifies replicas of decided outcomes, so that each can answer without the others.
        Decided(Vec<(Key, Ballot)>),
        /// A reply.
        Reply(ClaimReply),
    }

    /// Replies of a replica.
    pub enum ClaimReply {
        /// To `Vote`.
        Voted {
            /// The key.
            key: Key,
            /// The holder for which the vote was requested.
            holder: Holder,
            /// The answer; `None` is an abstention.
            grant: Option<Grant>,
        },
        /// To `Prepare`: the promise was given.
        Promised {
            /// The key.
            key: Key,
            /// The ballot.
            ballot: Ballot,
            /// The recorded vote.
            vote: VoteState,
            /// Hash of the body, zero if the key is not known.
            digest: u64,
            /// The outcome that was accepted last, with its ballot.
            accepted: Option<(Ballot, Outcome)>,
        },
        /// To `Accept`: accepted.
        Accepted {
            /// The key.
            key: Key,
            /// The ballot.
            ballot: Ballot,
        },
        /// To `Prepare` or `Accept`: a higher ballot was promised.
        Preempted {
            /// The key.
            key: Key,
            /// The ballot that was refused.
            ballot: Ballot,
            /// The ballot that was promised.
            promised: Ballot,
        },
        /// To `Inspect`.
        Found {
            /// The key.
            key: Key,
            /// The recorded vote.
            vote: VoteState,
            /// Hash of the body, zero if the key is not known.
            digest: u64,
            /// The outcome, if it is known to be decided.
            decided: Option<Outcome>,
            /// Whether an outcome was accepted or is being settled.
            settling: bool,
        },
        /// To any request: the replica has lost its records of keys this old.
        Abstained {
            /// The key.
            key: Key,
        },
    }

    /// A heartbeat between entries, with the state of the sender.
    pub struct Heartbeat {
        /// The number of the heartbeat at its sender.
        pub sequence: u64,
        /// The sender's wall clock.
        pub wall: WallMs,
        /// The sender's monotonic clock, to be echoed.
        pub sent: Time,
        /// The receiver's clock in its last heartbeat that reached the sender, to measure the round trip.
        pub echo: Option<Time>,
        /// Whether the sender has recently received messages of the receiver; false indicates a one-way loss.
        pub receives: bool,
        /// The incarnation of the receiver that the sender knows.
        pub known_incarnation: Incarnation,
        /// The version of the catalogue in force at the sender.
        pub catalogue: u64,
        /// The version that the sender has received and will put in force.
        pub pending_catalogue: u64,
        /// Whether the sender may serve by the catalogue in force there.
        pub current: bool,
        /// Whether the sender is stopping.
        pub stopping: bool,
        /// The number of tasks that wait for a slot at the sender.
        pub queued: u32,
    }

    /// A renewal of an endpoint's lease, without the unchanged fields of the announcement.
    #[derive(Copy)]
    pub struct Renewal {
        /// The address at which the endpoint serves.
        pub addr: std::net::SocketAddr,
        /// Its incarnation.
        pub incarnation: u64,
        /// Orders the announcements of one incarnation.
        pub sequence: u64,
        /// The age of the announcement when this message was sent, in ms.
        pub age_ms: u32,
    }

    /// Messages about members, endpoints and the catalogue.
    pub enum MemberMsg {
        /// A heartbeat.
        Heartbeat(Heartbeat),
        /// New or changed announcements of endpoints.
        Endpoints(Vec<EndpointAnnouncement>),
        /// Renewals of endpoints that the receiver should know already.
        Renewals(Vec<Renewal>),
        /// Asks for all endpoints that the receiver knows.
        EndpointsWanted,
        /// Asks for the receiver's catalogue.
        CatalogueWanted,
        /// A catalogue, in JSON.
        Catalogue {
            /// Its version.
            version: u64,
            /// The document.
            document: Vec<u8>,
        },
        /// A stopping entry leaves: its claims are handed over or done.
        Leave,
    }

    /// Lending of endpoint slots between the entries of a data centre.
    pub enum SlotMsg {
        /// Asks for the use of idle slots of a kind's endpoints.
        Borrow {
            /// The kind.
            kind: crate::KindName,
            /// The number of slots.
            count: u16,
        },
        /// Lends slots until the lease expires or they are returned.
        Lend {
            /// The endpoints, with the number of slots at each.
            slots: Vec<(std::net::SocketAddr, u16)>,
            /// The length of the lease.
            lease: Duration,
            /// The number of the loan.
            loan: u64,
        },
        /// Returns a loan.
        Return {
            /// The number of the loan.
            loan: u64,
        },
    }

    /// Messages that relay submissions and their outcomes between entries.
    pub enum RelayMsg {
        /// Asks the receiver to process the submission until its outcome.
        Submit(Submission),
        /// Asks for the outcome of a key whose claim the receiver holds.
        Watch(Key),
        /// The outcome.
        Outcome {
            /// The key.
            key: Key,
            /// Hash of the body.
            digest: u64,
            /// The outcome.
            outcome: Outcome,
        },
        /// The receiver of `Watch` does not hold the claim of the key.
        NotHeld(Key),
        /// The receiver of `Submit` is processing the submission.
        Working(Key),
        /// The key was used with another body.
        Conflict(Key),
        /// Asks to cancel a key, whichever entry holds its claim.
        Cancel(Key),
        /// Asks for the outcome of a key of the receiver's data centre.
        Lookup(Key),
        /// The outcome cannot be agreed on at present; the same key may be tried again.
        Undecided(Key),
        /// Nothing is known of the key.
        Unknown(Key),
    }

    /// A message between entries.
    pub enum PeerMsg {
        /// Consensus on the claim and outcome of a key.
        Claim(ClaimMsg),
        /// Members, endpoints and the catalogue.
        Member(MemberMsg),
        /// Submissions and outcomes.
        Relay(RelayMsg),
        /// Loans of slots.
        Slot(SlotMsg),
        /// A message of the replicated store, encoded by `celerywinch_store`.
        Store(Vec<u8>),
    }
}

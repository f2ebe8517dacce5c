//! Messages between entry instances. Each may be lost, delayed, duplicated or reordered.

use std::time::Duration;

use crate::{
    EndpointAnnouncement, Holder, Incarnation, Key, Outcome, Process, Submission, Time, WallMs,
    domain,
};

domain! {
    /// A ballot of the register that agrees on a key's outcome.
    ///
    /// Round 0 is before any ballot, round 1 is reserved to the holder of the claim, and rounds
    /// from 2 on are for whoever settles a key whose holder is gone. The proposer's incarnation is
    /// part of it, so that a restarted process never uses a ballot of its earlier life again.
    #[derive(Copy, Hash, PartialOrd, Ord, Default)]
    pub struct Ballot {
        /// The round.
        pub round: u32,
        /// Whose ballot it is.
        pub proposer: Process,
    }

    /// What a replica has recorded about the claim of a key.
    #[derive(Copy)]
    pub enum VoteState {
        /// No vote was given.
        None,
        /// The vote was given to this holder.
        For(Holder),
        /// The vote was given, but its holder is this replica and gave the claim up unstarted.
        Void(Holder),
    }

    /// What a replica answers to a request for its vote.
    pub enum Grant {
        /// The vote is given.
        Granted,
        /// The vote was given to another holder earlier.
        Taken(Holder),
        /// Another instance is settling the key.
        Settling,
        /// The outcome is decided.
        Decided(Outcome),
        /// The key is older than may still be run.
        TooOld,
        /// The key was used with another body.
        Conflict,
        /// The key's time lies in the future.
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
            /// Who wants to start the tasks.
            holder: Holder,
        },
        /// Asks for a promise to accept nothing below `ballot`.
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
        /// Asks what is known of a key, without changing anything.
        Inspect {
            /// The key.
            key: Key,
        },
        /// Tells replicas which outcomes are decided, so that each can answer alone.
        Decided(Vec<(Key, Ballot)>),
        /// Any reply.
        Reply(ClaimReply),
    }

    /// Replies of a replica.
    pub enum ClaimReply {
        /// To `Vote`.
        Voted {
            /// The key.
            key: Key,
            /// For whom the vote was asked.
            holder: Holder,
            /// The answer; none is an abstention.
            grant: Option<Grant>,
        },
        /// To `Prepare`: the promise was given.
        Promised {
            /// The key.
            key: Key,
            /// The ballot.
            ballot: Ballot,
            /// The vote.
            vote: VoteState,
            /// Hash of the body, if the key is known.
            digest: u64,
            /// The outcome accepted last.
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
            /// The vote.
            vote: VoteState,
            /// Hash of the body, zero if the key is not known.
            digest: u64,
            /// The outcome, if it is known to be decided.
            decided: Option<Outcome>,
            /// Whether an outcome was accepted or is being settled.
            settling: bool,
        },
        /// To any request: the replica lost its memory of a key this old.
        Abstained {
            /// The key.
            key: Key,
        },
    }

    /// Liveness and what rides on it.
    pub struct Heartbeat {
        /// Counts the sender's heartbeats.
        pub sequence: u64,
        /// The sender's wall clock.
        pub wall: WallMs,
        /// The sender's monotonic clock, to be echoed.
        pub sent: Time,
        /// The receiver's last clock value that reached the sender, for the round trip.
        pub echo: Option<Time>,
        /// Whether the sender heard from the receiver lately: tells a one-way loss.
        pub receives: bool,
        /// Which incarnation of the receiver the sender knows.
        pub known_incarnation: Incarnation,
        /// Version of the catalogue in force at the sender.
        pub catalogue: u64,
        /// Version that the sender holds and will put in force.
        pub pending_catalogue: u64,
        /// Whether the sender may serve by what it has in force.
        pub current: bool,
        /// Whether the sender is stopping.
        pub stopping: bool,
        /// Tasks waiting for a slot at the sender.
        pub queued: u32,
    }

    /// A renewal of an endpoint's lease, without what cannot have changed.
    #[derive(Copy)]
    pub struct Renewal {
        /// Where the endpoint serves.
        pub addr: std::net::SocketAddr,
        /// Which life of it.
        pub incarnation: u64,
        /// Orders announcements of one life.
        pub sequence: u64,
        /// Age of the announcement in milliseconds when this message was sent.
        pub age_ms: u32,
    }

    /// Membership.
    pub enum MemberMsg {
        /// Liveness.
        Heartbeat(Heartbeat),
        /// New or changed announcements of endpoints.
        Endpoints(Vec<EndpointAnnouncement>),
        /// Renewals of endpoints that the receiver should know.
        Renewals(Vec<Renewal>),
        /// Asks for all endpoints the receiver knows.
        EndpointsWanted,
        /// Asks for the catalogue that the receiver holds.
        CatalogueWanted,
        /// A catalogue, in JSON.
        Catalogue {
            /// Its version.
            version: u64,
            /// The document.
            document: Vec<u8>,
        },
        /// A stopping entry takes its leave: its claims are handed over or done.
        Leave,
    }

    /// Lending of endpoint slots between the entries of a data centre.
    pub enum SlotMsg {
        /// Asks for the use of idle slots of a kind's endpoints.
        Borrow {
            /// The kind.
            kind: crate::KindName,
            /// How many.
            count: u16,
        },
        /// Lends slots until the lease ends or they are given back.
        Lend {
            /// Endpoint and number of slots.
            slots: Vec<(std::net::SocketAddr, u16)>,
            /// Length of the lease.
            lease: Duration,
            /// Names the loan.
            loan: u64,
        },
        /// Gives a loan back.
        Return {
            /// Names the loan.
            loan: u64,
        },
    }

    /// A submission passed between entries.
    pub enum RelayMsg {
        /// Asks the receiver to see the submission to its outcome.
        Submit(Submission),
        /// Asks for the outcome of a key that the receiver holds.
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
        /// The receiver of `Watch` does not hold the key.
        NotHeld(Key),
        /// The receiver of `Submit` is working on it.
        Working(Key),
        /// The key was used with another body.
        Conflict(Key),
        /// Asks to cancel a key wherever it is held.
        Cancel(Key),
        /// Asks for the outcome of a key of the receiver's data centre.
        Lookup(Key),
        /// The outcome cannot be agreed on at present; the same key may be tried again.
        Undecided(Key),
        /// Nothing is known of the key.
        Unknown(Key),
    }

    /// Everything that travels between entries.
    pub enum PeerMsg {
        /// The register of a key.
        Claim(ClaimMsg),
        /// Membership.
        Member(MemberMsg),
        /// Submissions.
        Relay(RelayMsg),
        /// Slots.
        Slot(SlotMsg),
        /// The replicated store, encoded by its own crate.
        Store(Vec<u8>),
    }
}

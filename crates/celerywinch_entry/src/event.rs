//! Typed events of the time line.

use std::net::SocketAddr;

use celerywinch_types::{Holder, InstanceId, Key, Ran, domain};

domain! {
    /// What must always hold; an assertion in the decision code checks each.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum Invariant {
        /// A task starts at most once.
        SingleStart,
        /// A task starts only under the claim.
        ClaimedStart,
        /// An answer has every task's result.
        WholeAnswer,
        /// "Not run" is said only if no task was started.
        TrueRefusal,
        /// A key has one outcome.
        SingleOutcome,
        /// A catalogue never goes back to an earlier version.
        NoRevert,
        /// A leaving endpoint gets no new work.
        LeavingQuiet,
    }

    /// One event at one process.
    #[expect(missing_docs, reason = "the fields are named for what they hold")]
    #[serde(tag = "event", rename_all = "snake_case")]
    pub enum Event {
        /// A submission was taken in.
        Accepted { key: Key, kind: String, tasks: u32 },
        /// This process holds the claim.
        Claimed { key: Key },
        /// Another process holds the claim.
        ClaimLost { key: Key, holder: Holder },
        /// A task was sent.
        Sent { key: Key, index: u32, endpoint: SocketAddr },
        /// A task gave its result.
        Result { key: Key, index: u32, endpoint: SocketAddr },
        /// A task did not run at an endpoint and waits again.
        NotRun { key: Key, index: u32, endpoint: SocketAddr, detail: String },
        /// A task failed or was lost.
        TaskLost { key: Key, index: u32, endpoint: SocketAddr, ran: Ran, detail: String },
        /// The outcome of a key is decided.
        Outcome { key: Key, outcome: String, detail: String },
        /// No outcome could be agreed on.
        Undecided { key: Key, detail: String },
        /// A submission was passed to its home.
        Relayed { key: Key, via: InstanceId },
        /// A key whose holder is gone is being settled.
        Settling { key: Key },
        /// A peer answers.
        PeerUp { peer: InstanceId },
        /// A peer is silent.
        PeerSuspect { peer: InstanceId },
        /// A peer is gone.
        PeerDown { peer: InstanceId },
        /// A peer has a new life.
        PeerRestarted { peer: InstanceId },
        /// An endpoint is new or changed.
        Endpoint { endpoint: SocketAddr, state: String },
        /// An endpoint is set aside or trusted again.
        Health { endpoint: SocketAddr, state: String },
        /// A catalogue is in force.
        Catalogue { version: u64 },
        /// A connection to a peer was opened, replaced or lost.
        Connection { peer: InstanceId, state: String },
        /// A planned stop began or ended.
        Stop { open: u32 },
        /// An assertion failed: a fault of the program.
        Violation { invariant: Invariant, detail: String },
    }
}

impl Event {
    /// The name of the event, as in the time line.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted { .. } => "accepted",
            Self::Claimed { .. } => "claimed",
            Self::ClaimLost { .. } => "claim_lost",
            Self::Sent { .. } => "sent",
            Self::Result { .. } => "result",
            Self::NotRun { .. } => "not_run",
            Self::TaskLost { .. } => "task_lost",
            Self::Outcome { .. } => "outcome",
            Self::Undecided { .. } => "undecided",
            Self::Relayed { .. } => "relayed",
            Self::Settling { .. } => "settling",
            Self::PeerUp { .. } => "peer_up",
            Self::PeerSuspect { .. } => "peer_suspect",
            Self::PeerDown { .. } => "peer_down",
            Self::PeerRestarted { .. } => "peer_restarted",
            Self::Endpoint { .. } => "endpoint",
            Self::Health { .. } => "health",
            Self::Catalogue { .. } => "catalogue",
            Self::Connection { .. } => "connection",
            Self::Stop { .. } => "stop",
            Self::Violation { .. } => "violation",
        }
    }
}

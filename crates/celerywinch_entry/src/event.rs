//! The events of the timeline.

use std::net::SocketAddr;

use celerywinch_types::{Holder, InstanceId, Key, Ran, domain};

domain! {
    /// An invariant of the state machine, checked by an assertion at run time.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum Invariant {
        /// A task is started at most once.
        SingleStart,
        /// A task is started only by the holder of the claim.
        ClaimedStart,
        /// An answer contains the result of every task.
        WholeAnswer,
        /// A submission is refused only if none of its tasks was started.
        TrueRefusal,
        /// A key has one outcome.
        SingleOutcome,
        /// The catalogue in force is never replaced by an earlier version.
        NoRevert,
        /// An endpoint that is leaving gets no new tasks.
        LeavingQuiet,
    }

    /// An event in one process.
    #[expect(missing_docs, reason = "the names of the fields describe them")]
    #[serde(tag = "event", rename_all = "snake_case")]
    pub enum Event {
        /// A submission was accepted for processing.
        Accepted { key: Key, kind: String, tasks: u32 },
        /// This process won the claim.
        Claimed { key: Key },
        /// Another process holds the claim.
        ClaimLost { key: Key, holder: Holder },
        /// A task was sent to an endpoint.
        Sent { key: Key, index: u32, endpoint: SocketAddr },
        /// A task returned its result.
        Result { key: Key, index: u32, endpoint: SocketAddr },
        /// A task did not run at an endpoint. It is queued again unless the job ends.
        NotRun { key: Key, index: u32, endpoint: SocketAddr, detail: String },
        /// A task failed or was lost.
        TaskLost { key: Key, index: u32, endpoint: SocketAddr, ran: Ran, detail: String },
        /// The outcome of a key is decided.
        Outcome { key: Key, outcome: String, detail: String },
        /// No outcome could be agreed on so far.
        Undecided { key: Key, detail: String },
        /// A submission or lookup was relayed to the key's home data centre.
        Relayed { key: Key, via: InstanceId },
        /// A key whose holder is gone is being settled.
        Settling { key: Key },
        /// A peer is alive, for the first time or again.
        PeerUp { peer: InstanceId },
        /// A peer is suspected, because it is silent.
        PeerSuspect { peer: InstanceId },
        /// A peer is dead.
        PeerDown { peer: InstanceId },
        /// A peer has a new incarnation.
        PeerRestarted { peer: InstanceId },
        /// An endpoint is new or has changed, or its lease has expired.
        Endpoint { endpoint: SocketAddr, state: String },
        /// An endpoint was quarantined or is healthy again.
        Health { endpoint: SocketAddr, state: String },
        /// A catalogue was put in force.
        Catalogue { version: u64 },
        /// A connection to a peer was opened, replaced or lost.
        Connection { peer: InstanceId, state: String },
        /// A planned stop began or ended.
        Stop { open: u32 },
        /// An assertion failed because of a bug in the program.
        Violation { invariant: Invariant, detail: String },
    }
}

impl Event {
    /// Returns the name of the event in the timeline.
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

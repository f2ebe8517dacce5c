//! Messages between keepers.

use anyhow::Context;
use bincode::config::standard;
use celerywinch_types::domain;

use crate::{Entry, KeeperId, Snapshot};

domain! {
    /// A message between keepers; it may be lost, delayed, doubled and reordered.
    pub enum RaftMsg {
        /// A keeper with an empty disk looks for its group; `formed` is false while the sender has
        /// no log either.
        Hello {
            /// Whether the sender belongs to a group already.
            in_group: bool,
        },
        /// Asks whether the receiver would vote for the sender.
        PreVote {
            /// The term the sender would stand in.
            term: u64,
            /// The end of its log.
            last_log: (u64, u64),
        },
        /// Answers `PreVote`.
        PreVoteReply {
            /// The term asked about, or the receiver's if it is later.
            term: u64,
            /// Whether it would.
            granted: bool,
        },
        /// Asks for the vote.
        Vote {
            /// The term.
            term: u64,
            /// The end of the sender's log: term, then index.
            last_log: (u64, u64),
        },
        /// Answers `Vote`.
        VoteReply {
            /// The receiver's term.
            term: u64,
            /// Whether the vote is given.
            granted: bool,
        },
        /// New entries, or none as a heartbeat.
        Append {
            /// The leader's term.
            term: u64,
            /// The entry before the first of `entries`: index, then term.
            previous: (u64, u64),
            /// The entries.
            entries: Vec<Entry>,
            /// How far the log is committed.
            commit: u64,
        },
        /// Answers `Append` and `InstallSnapshot`.
        AppendReply {
            /// The receiver's term.
            term: u64,
            /// The last index that agrees with the leader's log, if the entries were taken;
            /// otherwise where to try next.
            index: u64,
            /// Whether the entries were taken.
            accepted: bool,
        },
        /// A snapshot, for a keeper that lags behind the start of the log.
        InstallSnapshot {
            /// The leader's term.
            term: u64,
            /// The snapshot.
            snapshot: Snapshot,
        },
        /// The sender has a log and hears no leader; it may have been replaced while it was away.
        Rejoin,
        /// Asks whether the receiver follows the sender, which leads.
        ConfirmLeader {
            /// The leader's term.
            term: u64,
            /// Counts the leader's questions.
            round: u64,
        },
        /// Answers `ConfirmLeader`: the receiver follows the sender in that term.
        ConfirmLeaderReply {
            /// The term.
            term: u64,
            /// The round asked about.
            round: u64,
        },
    }

    /// A message with its sender and receiver.
    pub(crate) struct Envelope {
        pub(crate) from: KeeperId,
        /// None while the receiver's disk is not known.
        pub(crate) to: Option<KeeperId>,
        pub(crate) msg: RaftMsg,
    }
}

/// Encodes a message for another keeper.
///
/// # Errors
///
/// The message is too large to encode.
pub fn encode(from: KeeperId, to: Option<KeeperId>, msg: RaftMsg) -> anyhow::Result<Vec<u8>> {
    let envelope = Envelope { from, to, msg };
    bincode::serde::encode_to_vec(envelope, standard()).context("store: cannot encode a message")
}

/// Decodes a message; none if it is for an earlier disk of this instance.
///
/// # Errors
///
/// The bytes are no message.
pub fn decode(bytes: &[u8], me: KeeperId) -> anyhow::Result<Option<(KeeperId, RaftMsg)>> {
    let decoded = bincode::serde::decode_from_slice(bytes, standard());
    let (envelope, _): (Envelope, usize) = decoded.context("store: cannot decode a message")?;
    let mine = envelope.to.is_none_or(|to| to == me);
    Ok(mine.then_some((envelope.from, envelope.msg)))
}

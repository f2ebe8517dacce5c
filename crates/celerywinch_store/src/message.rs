//! Messages between keepers.

use anyhow::Context;
use bincode::config::standard;
use celerywinch_types::domain;

use crate::{Entry, KeeperId, Snapshot};

domain! {
    /// A message between keepers. Messages may be lost, delayed, duplicated and reordered.
    pub enum RaftMsg {
        /// Sent by a keeper with an empty disk to find its group, with `in_group` false, and by members of a group in reply.
        Hello {
            /// Whether the sender already belongs to a group.
            in_group: bool,
        },
        /// Asks whether the receiver would vote for the sender in a later term.
        PreVote {
            /// The term of the election that the sender would start.
            term: u64,
            /// The last entry of the sender's log: term, then index.
            last_log: (u64, u64),
        },
        /// The reply to `PreVote`.
        PreVoteReply {
            /// The requested term if granted, otherwise the current term of the voter.
            term: u64,
            /// Whether the voter would grant its vote.
            granted: bool,
        },
        /// Asks for the receiver's vote.
        Vote {
            /// The term of the election.
            term: u64,
            /// The last entry of the sender's log: term, then index.
            last_log: (u64, u64),
        },
        /// The reply to `Vote`.
        VoteReply {
            /// The current term of the voter.
            term: u64,
            /// Whether the vote is granted.
            granted: bool,
        },
        /// Entries of the leader's log; a heartbeat if there are none.
        Append {
            /// The leader's term.
            term: u64,
            /// The entry that precedes `entries`: index, then term.
            previous: (u64, u64),
            /// The entries, in order.
            entries: Vec<Entry>,
            /// The commit index of the leader.
            commit: u64,
        },
        /// The reply to `Append` and `InstallSnapshot`.
        AppendReply {
            /// The current term of the follower.
            term: u64,
            /// If accepted, the last index that agrees with the leader's log and is synced; otherwise the index of the entry
            /// that the leader tries next as the preceding one.
            index: u64,
            /// Whether the entries or the snapshot were accepted.
            accepted: bool,
        },
        /// A snapshot, for a keeper that needs entries from before the start of the leader's log.
        InstallSnapshot {
            /// The leader's term.
            term: u64,
            /// The snapshot.
            snapshot: Snapshot,
        },
        /// Sent by a keeper that has a log but no leader; it may have been replaced while it was away.
        Rejoin,
        /// Asks the receiver to confirm that it follows the sender as leader.
        ConfirmLeader {
            /// The leader's term.
            term: u64,
            /// The number of the round; the leader starts a new one with each read.
            round: u64,
        },
        /// The reply to `ConfirmLeader`: the receiver follows the leader in that term.
        ConfirmLeaderReply {
            /// The term of the leader.
            term: u64,
            /// The round that is confirmed.
            round: u64,
        },
        /// Sent to the leader by a keeper that stops as planned.
        Leave,
        /// Sent by a leader that resigns.
        Resign {
            /// Its term.
            term: u64,
            /// The voter that starts an election at once.
            successor: KeeperId,
        },
    }

    /// A message with its sender and receiver.
    pub(crate) struct Envelope {
        pub(crate) from: KeeperId,
        /// `None` while the disk of the receiver is not known.
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

/// Decodes a message; returns `None` if it is for another keeper, such as an earlier disk of this instance.
///
/// # Errors
///
/// The bytes cannot be decoded.
pub fn decode(bytes: &[u8], me: KeeperId) -> anyhow::Result<Option<(KeeperId, RaftMsg)>> {
    let decoded = bincode::serde::decode_from_slice(bytes, standard());
    let (envelope, _): (Envelope, usize) = decoded.context("store: cannot decode a message")?;
    let is_for_me = envelope.to.is_none_or(|to| to == me);
    Ok(is_for_me.then_some((envelope.from, envelope.msg)))
}

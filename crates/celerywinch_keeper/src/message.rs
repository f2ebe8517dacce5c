//! Messages about changes of the catalogue.

use anyhow::Context;
use bincode::config::standard;
use celerywinch_catalogue::{Applied, ApplyError, Edit};
use celerywinch_types::{InstanceId, domain};

domain! {
    /// Names a proposal at the instance that made it.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    #[serde(transparent)]
    pub struct ProposalId(pub u64);

    /// What became of a proposal.
    pub enum ProposalAnswer {
        /// The log agreed on it, and this came of it.
        Done(Result<Applied, ApplyError>),
        /// The receiver does not lead; this instance may.
        NotLeader(Option<InstanceId>),
        /// Leadership was lost meanwhile; the change may still be accepted. Sent again with the
        /// same change id, it gets its one answer.
        Unknown,
    }

    /// Everything that travels between instances about the store.
    pub enum StoreMsg {
        /// Between keepers, encoded by the log's crate.
        Log(Vec<u8>),
        /// A change, to a keeper. The edit is in JSON.
        Propose {
            /// Names it at the sender.
            id: ProposalId,
            /// The edit.
            edit: Vec<u8>,
        },
        /// What became of a change.
        ProposalAnswer {
            /// Names it at the receiver.
            id: ProposalId,
            /// What became of it.
            answer: ProposalAnswer,
        },
    }
}

impl StoreMsg {
    /// Encodes the message.
    ///
    /// # Errors
    ///
    /// The message is too large.
    pub fn encode(&self) -> anyhow::Result<Vec<u8>> {
        bincode::serde::encode_to_vec(self, standard()).context("store: cannot encode a message")
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// The bytes are no message.
    pub fn decode(bytes: &[u8]) -> anyhow::Result<Self> {
        let decoded = bincode::serde::decode_from_slice(bytes, standard());
        let (msg, _) = decoded.context("store: cannot decode a message")?;
        Ok(msg)
    }
}

pub(crate) fn encode_edit(edit: &Edit) -> anyhow::Result<Vec<u8>> {
    serde_json::to_vec(edit).context("store: cannot encode a change")
}

pub(crate) fn decode_edit(bytes: &[u8]) -> anyhow::Result<Edit> {
    serde_json::from_slice(bytes).context("store: cannot decode a change")
}

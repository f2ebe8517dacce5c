//! Messages between instances about the log and changes of the catalogue.

use anyhow::Context;
use bincode::config::standard;
use celerywinch_catalogue::{Applied, ApplyError, Edit};
use celerywinch_types::{InstanceId, domain};

domain! {
    /// The id of a proposal, unique at the instance that made it.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    #[serde(transparent)]
    pub struct ProposalId(pub u64);

    /// The answer to a proposal.
    pub enum ProposalAnswer {
        /// The change was committed to the log and applied, with this result.
        Done(Result<Applied, ApplyError>),
        /// The receiver of the proposal is not the leader; the given instance may be.
        NotLeader(Option<InstanceId>),
        /// The keeper lost leadership meanwhile, and the change may still be accepted. Sent again with the same change id, the
        /// change gets the result of its first application.
        Unknown,
    }

    /// A message between instances about the store.
    pub enum StoreMsg {
        /// A message between keepers, encoded by `celerywinch_store`.
        Log(Vec<u8>),
        /// Proposes a change to a keeper.
        Propose {
            /// The id of the proposal at the sender.
            id: ProposalId,
            /// The edit, in JSON.
            edit: Vec<u8>,
        },
        /// Answers a proposal.
        ProposalAnswer {
            /// The id of the proposal at the receiver of the answer.
            id: ProposalId,
            /// The answer.
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
    /// The bytes cannot be decoded.
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

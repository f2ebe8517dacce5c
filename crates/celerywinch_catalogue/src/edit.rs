//! Conditional changes of the catalogue, applied in the order of the replicated log.

use std::collections::VecDeque;

use celerywinch_types::domain;
use thiserror::Error;

use crate::{Catalogue, Document, Problem};

/// Maximum number of answers kept for changes that are sent again.
const MAX_ANSWERS: usize = 4096;

/// A version of the catalogue.
pub type Version = u64;

domain! {
    /// An operator's change: the whole new document, accepted only if the version that it is based on is current.
    pub struct Edit {
        /// Identifies the change; a change that is sent again after a lost answer has the same id.
        #[serde(rename = "change")]
        pub change_id: String,
        /// The version that the change is based on.
        pub base: Version,
        /// The new catalogue.
        pub document: Document,
    }

    /// The answer to a change that was accepted.
    #[derive(Copy)]
    pub struct Applied {
        /// The version that the change created.
        pub version: Version,
    }

    /// The answer to a change that was not accepted.
    #[derive(Error)]
    pub enum ApplyError {
        /// Another change was accepted first.
        #[error("the catalogue is at version {current}, made by change {current_change:?}, not at {base}")]
        Conflict {
            /// The version that the rejected change is based on.
            base: Version,
            /// The current version.
            current: Version,
            /// The id of the change that created the current version.
            #[serde(rename = "winner")]
            current_change: String,
        },
        /// The document has problems, one text each.
        #[error("the catalogue has problems: {0:?}")]
        Invalid(Vec<String>),
    }

    /// The replicated state: the catalogue, and the answers to recent changes.
    #[derive(Default)]
    pub struct ReplicatedCatalogue {
        version: Version,
        #[serde(rename = "winner")]
        current_change: String,
        document: Document,
        answers: VecDeque<(String, Result<Applied, ApplyError>)>,
    }
}

impl ReplicatedCatalogue {
    /// Returns the current version.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the current document.
    #[must_use]
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the first answer that was given to a change, if it is still kept.
    #[must_use]
    pub fn answer(&self, change_id: &str) -> Option<&Result<Applied, ApplyError>> {
        let mut answers = self.answers.iter().rev();
        answers
            .find(|(id, _)| id == change_id)
            .map(|(_, answer)| answer)
    }

    /// Applies a change, or returns the first answer again if the change was applied before.
    ///
    /// Every replica calls this with the same changes in the same order. Of several changes that are based on the same
    /// version exactly one is accepted.
    ///
    /// # Errors
    ///
    /// The change is based on another version, or its document has problems.
    pub fn apply(&mut self, edit: Edit) -> Result<Applied, ApplyError> {
        if let Some(answer) = self.answer(&edit.change_id) {
            return answer.clone();
        }
        let change_id = edit.change_id.clone();
        let answer = self.validate_and_apply(edit);
        self.answers.push_back((change_id, answer.clone()));
        if self.answers.len() > MAX_ANSWERS {
            self.answers.pop_front();
        }
        answer
    }

    fn validate_and_apply(&mut self, edit: Edit) -> Result<Applied, ApplyError> {
        if edit.base != self.version {
            return Err(ApplyError::Conflict {
                base: edit.base,
                current: self.version,
                current_change: self.current_change.clone(),
            });
        }
        let checked = Catalogue::check(self.version + 1, edit.document.clone());
        if let Err(problems) = checked {
            let problems = problems.iter().map(Problem::to_string).collect();
            return Err(ApplyError::Invalid(problems));
        }
        self.version += 1;
        self.current_change = edit.change_id;
        self.document = edit.document;
        Ok(Applied {
            version: self.version,
        })
    }
}

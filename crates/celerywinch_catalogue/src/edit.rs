//! Conditional edits of the catalogue, applied in the order the store agreed on.

use std::collections::VecDeque;

use celerywinch_types::domain;
use thiserror::Error;

use crate::{Catalogue, Document, Problem};

/// How many answers are kept for changes that are sent again.
const KEPT_ANSWERS: usize = 4096;

/// A version of the catalogue.
pub type Version = u64;

domain! {
    /// An operator's change: the whole new document, on the condition of the version it was made
    /// from.
    pub struct Edit {
        /// Names the change; one sent again after a lost answer carries the same name.
        #[serde(rename = "change")]
        pub change_id: String,
        /// The version the operator saw.
        pub base: Version,
        /// The new catalogue.
        pub document: Document,
    }

    /// The answer to a change that was accepted.
    #[derive(Copy)]
    pub struct Applied {
        /// The version that the change made.
        pub version: Version,
    }

    /// The answer to a change that was not accepted.
    #[derive(Error)]
    pub enum ApplyError {
        /// Another change came first.
        #[error("the catalogue is at version {current}, made by change {current_change:?}, not at {base}")]
        Conflict {
            /// The version the change was made from.
            base: Version,
            /// The version now.
            current: Version,
            /// The change that made it.
            #[serde(rename = "winner")]
            current_change: String,
        },
        /// The document has problems.
        #[error("the catalogue has problems: {0:?}")]
        Invalid(Vec<String>),
    }

    /// The replicated state: the catalogue and the answers given.
    #[derive(Default)]
    pub struct CatalogueState {
        version: Version,
        #[serde(rename = "winner")]
        current_change: String,
        document: Document,
        answers: VecDeque<(String, Result<Applied, ApplyError>)>,
    }
}

impl CatalogueState {
    /// The version now.
    #[must_use]
    pub fn version(&self) -> Version {
        self.version
    }

    /// The document now.
    #[must_use]
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// The first answer that was given to a change, if it is still remembered.
    #[must_use]
    pub fn answer(&self, change_id: &str) -> Option<&Result<Applied, ApplyError>> {
        let mut answers = self.answers.iter().rev();
        answers
            .find(|(id, _)| id == change_id)
            .map(|(_, answer)| answer)
    }

    /// Applies a change, or gives the first answer again if it was applied before.
    ///
    /// Every replica calls this with the same changes in the same order, so of changes that were
    /// made from the same version exactly one is accepted.
    ///
    /// # Errors
    ///
    /// The change was made from another version, or its document has problems.
    pub fn apply(&mut self, edit: Edit) -> Result<Applied, ApplyError> {
        if let Some(answer) = self.answer(&edit.change_id) {
            return answer.clone();
        }
        let change_id = edit.change_id.clone();
        let answer = self.decide(edit);
        self.answers.push_back((change_id, answer.clone()));
        if self.answers.len() > KEPT_ANSWERS {
            self.answers.pop_front();
        }
        answer
    }

    fn decide(&mut self, edit: Edit) -> Result<Applied, ApplyError> {
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

//! The catalogue as operators write it.

use std::collections::BTreeMap;

use celerywinch_types::domain;

domain! {
    /// Which work goes first when there is too much; the lowest class is shed first.
    #[derive(Copy, PartialOrd, Ord, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum Class {
        /// Served first.
        Critical,
        /// Served next.
        Normal,
        /// Served with what is left.
        Background,
    }

    /// The deadlines that submissions of a kind may ask for.
    #[derive(Copy)]
    #[serde(deny_unknown_fields)]
    pub struct DeadlineBounds {
        /// In milliseconds.
        pub min: u32,
        /// In milliseconds.
        pub max: u32,
    }

    /// One kind of work.
    #[serde(deny_unknown_fields)]
    pub struct KindEntry {
        /// Who answers for it.
        pub owner: String,
        /// Its class.
        pub class: Class,
        /// Whether running it again would do no harm. Celerywinch never runs a task twice either
        /// way; a kind that is not idempotent is also never hedged.
        pub idempotent: bool,
        /// Allowed deadlines.
        pub deadline_ms: DeadlineBounds,
        /// The declared run time of one task in milliseconds, used until run times are learned.
        pub run_ms: u32,
        /// The most tasks of one job.
        pub max_tasks: u32,
        /// The longest body of one task, in bytes.
        pub max_body: u32,
    }

    /// One team.
    #[serde(deny_unknown_fields)]
    pub struct TeamEntry {
        /// Slots in each data centre that are the team's when it wants them.
        pub quota: u32,
    }

    /// The whole catalogue.
    #[derive(Default)]
    #[serde(deny_unknown_fields)]
    pub struct Document {
        /// Kinds by name.
        pub kinds: BTreeMap<String, KindEntry>,
        /// Teams by name.
        #[serde(default)]
        pub teams: BTreeMap<String, TeamEntry>,
    }
}

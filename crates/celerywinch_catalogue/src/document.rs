//! The catalogue as operators write it.

use std::collections::BTreeMap;

use celerywinch_types::domain;

domain! {
    /// The priority of work under overload; the lowest class is shed first.
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

    /// The range of deadlines that submissions of a kind may have.
    #[derive(Copy)]
    #[serde(deny_unknown_fields)]
    pub struct DeadlineBounds {
        /// The shortest deadline, in milliseconds.
        pub min: u32,
        /// The longest deadline, in milliseconds.
        pub max: u32,
    }

    /// A kind of work.
    #[serde(deny_unknown_fields)]
    pub struct KindEntry {
        /// The name of whoever is responsible for the kind.
        pub owner: String,
        /// The class.
        pub class: Class,
        /// Whether a task of the kind can be run again without harm. Celerywinch never runs a task twice in either
        /// case; in addition, it never hedges a kind that is not idempotent.
        pub idempotent: bool,
        /// The deadlines that are allowed.
        pub deadline_ms: DeadlineBounds,
        /// The declared run time of one task in milliseconds, used until run times have been learned.
        pub run_ms: u32,
        /// Maximum number of tasks in one job.
        pub max_tasks: u32,
        /// Maximum size of the body of one task, in bytes.
        pub max_body: u32,
    }

    /// A team.
    #[serde(deny_unknown_fields)]
    pub struct TeamEntry {
        /// The number of slots in each data centre to which the team is entitled whenever it has work.
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

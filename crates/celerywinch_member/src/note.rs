//! Changes of what a member believes of the others, for the logs.

use std::collections::BTreeSet;

use celerywinch_types::{DataCentreId, Incarnation, InstanceId, Stage};
use serde::Serialize;

/// A change.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum MemberNote {
    /// This process is at another stage of its life.
    Stage {
        /// The stage.
        stage: Stage,
        /// The version of the configuration it has in force.
        version: u64,
    },
    /// A process, or another life of one, was heard for the first time.
    PeerHeard {
        /// The process.
        peer: InstanceId,
        /// Its life.
        life: Incarnation,
    },
    /// A higher revision of the evacuations was adopted.
    Evacuated {
        /// The adopted revision.
        revision: u64,
        /// The evacuated data centres.
        dcs: BTreeSet<DataCentreId>,
    },
    /// The workers are divided in more shards.
    Divided {
        /// How many.
        shards: u8,
    },
    /// A process is not heard any more.
    PeerLost {
        /// The process.
        peer: InstanceId,
        /// Ms since it was heard.
        silent: u32,
        /// Whether its machine said that nobody listens there.
        refused: bool,
    },
}

//! Changes in what a member knows of itself and of its peers, for the logs.

use std::collections::BTreeSet;

use celerywinch_types::{DataCentreId, Incarnation, InstanceId, Stage};
use serde::Serialize;

/// A change, as one structured log line.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum MemberEvent {
    /// This process entered another stage of its lifecycle.
    Stage {
        /// The new stage.
        stage: Stage,
        /// The version of the configuration in force.
        version: u64,
    },
    /// The first heartbeat of a process, or of a new incarnation of a known one, arrived.
    PeerHeard {
        /// The process.
        peer: InstanceId,
        /// Its incarnation.
        #[serde(rename = "life")]
        incarnation: Incarnation,
    },
    /// A higher revision of the evacuations was adopted.
    Evacuated {
        /// The adopted revision.
        revision: u64,
        /// The evacuated data centres.
        dcs: BTreeSet<DataCentreId>,
    },
    /// The workers are divided into more shards.
    Divided {
        /// The new number of shards.
        shards: u8,
    },
    /// A process counts as lost.
    PeerLost {
        /// The process.
        peer: InstanceId,
        /// Time since its last heartbeat, in ms.
        #[serde(rename = "silent")]
        silent_ms: u32,
        /// Whether its machine refused a connection because no process listens there.
        refused: bool,
    },
}

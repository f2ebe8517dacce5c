//! Types shared by all crates: keys, time, outcomes and the messages between processes.
//!
//! This crate contains no state machines, and depends on no other crate of the workspace.

mod crashes;
mod endpoint;
mod fleet;
mod hash;
mod id;
mod job;
mod key;
mod macros;
mod mechanism;
mod message;
mod outcome;
mod queue;
mod size;
mod status;
mod time;
mod timers;
mod work;

pub use crashes::Crashes;
pub use endpoint::{EndpointAnnouncement, EndpointState, KindName};
pub use fleet::{
    Capacity, Chunk, ConfigMsg, Contact, DeclineReason, Declined, Domain, Echo, EvacuationOrder,
    Evacuations, FleetHeartbeat, FleetMsg, KeeperMsg, KeeperRequest, KeeperState, Learned,
    LearnedQueue, LearnedTail, Load, Offer, OwnedDomain, PriorRuns, ProcessKind, Reservation,
    ReservationNumber, ReservedStep, Session, Stage, StepOrder, SubmissionNumber, TaskEnd,
    TaskOrder, TaskReport, WorkMsg,
};
pub use hash::{score, stable_hash};
pub use id::{DataCentreId, Holder, Incarnation, InstanceId, Process};
pub use job::{Submission, TaskBody};
pub use key::{Key, KeyError, MAX_KEY_BYTES};
pub use mechanism::{DisabledMechanisms, Mechanism, UnknownMechanism};
pub use message::{
    Ballot, ClaimMsg, ClaimReply, Grant, Heartbeat, MemberMsg, PeerMsg, RelayMsg, Renewal, SlotMsg,
    VoteState,
};
pub use outcome::{Failure, Outcome, Ran, Refusal, RefusalReason, Step};
pub use queue::{Bounds, Queue, QueueConfig, Service};
pub use size::{Size, SizedRoom};
pub use status::ExitStatus;
pub use time::{Time, WallMs};
pub use timers::{TimerId, TimerQueue};
pub use work::{
    AnnouncementVersion, Fence, JobEnd, JobId, JobPlan, MAX_INCARNATIONS, Resources, RunNumber,
    StepPlan, TaskId, WorkerAnnouncement, WorkerClock, WorkerStage,
};

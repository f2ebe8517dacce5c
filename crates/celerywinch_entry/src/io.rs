//! Inputs and outputs of the state machine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use celerywinch_catalogue::Catalogue;
use celerywinch_dispatch::EndpointId;
use celerywinch_types::{
    EndpointAnnouncement, InstanceId, Key, KindName, Outcome, PeerMsg, Process, Submission,
    TaskBody, domain,
};

use crate::Event;

/// The number of a waiting caller, chosen by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// The number of a call to an endpoint, never reused by the same [`crate::Entry`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// An event that the host reports.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller submits a request or job.
    Submit(WaiterId, Submission),
    /// A caller asks for the outcome of a key.
    Lookup(WaiterId, Key),
    /// A caller cancels keys.
    Cancel(WaiterId, Vec<Key>),
    /// A message of another instance arrived.
    PeerMessage(Process, PeerMsg),
    /// A connection to an instance was refused because no process listens at its address, so its process is gone.
    ConnectionRefused(InstanceId),
    /// An endpoint announced itself at this entry.
    Announce(EndpointAnnouncement),
    /// A call ended.
    CallEnded(CallId, CallEnd),
    /// A catalogue from the local disk, which was in force before, or one given at the start.
    InitialCatalogue(Arc<Catalogue>),
    /// The local store committed a catalogue. The flag tells whether this instance is the leader, which sends the
    /// catalogue to all others.
    CatalogueCommitted(Arc<Catalogue>, bool),
    /// The catalogue of this version, from [`Output::SaveCatalogue`], is on the disk.
    CatalogueSaved(u64),
    /// A planned stop begins: the entry accepts no new work and finishes its open jobs.
    Stop,
    /// Time passed.
    Tick,
}

/// How a call to an endpoint ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The task ran and returned this result.
    Done(TaskBody),
    /// The task ran and failed.
    TaskFailed {
        /// Whether the endpoint attributes the failure to the task; otherwise it is attributed to the endpoint.
        task_fault: bool,
        /// A sentence that explains the failure.
        detail: String,
    },
    /// The task did not run: no connection was made, or the endpoint refused the task.
    NotRun {
        /// Whether the endpoint refused the task; otherwise it could not be reached.
        refused: bool,
        /// A sentence that explains why.
        detail: String,
    },
    /// The connection was lost after the task was sent, so the task may have run.
    Lost(String),
}

/// A task to send to an endpoint.
#[derive(Clone, Debug)]
pub struct Call {
    /// The number of the call.
    pub id: CallId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub addr: SocketAddr,
    /// The key of the job.
    pub key: Key,
    /// The index of the task in the job.
    pub index: u32,
    /// The kind.
    pub kind: KindName,
    /// The body.
    pub body: TaskBody,
    /// The time left until the deadline.
    pub remaining: Duration,
}

domain! {
    /// The state of a key after a request to cancel it.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum CancelState {
        /// It is being cancelled; its outcome will tell whether it ran.
        Cancelling,
        /// Its outcome is already decided or being agreed on.
        Ended,
        /// It is not known to this entry.
        Unknown,
    }
}

/// A reply to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The outcome of the key.
    Outcome(Outcome),
    /// The key was used with another body.
    Conflict,
    /// The creation time of the key lies in the future.
    TooNew,
    /// No outcome can be agreed on or found at present. This entry starts nothing more for the submission. The caller
    /// may send the same key again to get its outcome.
    Undecided {
        /// The time after which another request is worth a try, in ms.
        retry_ms: u32,
        /// A sentence that explains why.
        detail: String,
    },
    /// Nothing is known of the key.
    Unknown,
    /// The states of the keys that were to be cancelled.
    Cancelled(Vec<(Key, CancelState)>),
}

/// An action for the host.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to another instance.
    Send(InstanceId, PeerMsg),
    /// Save a catalogue so that it outlives the process, and then report [`Input::CatalogueSaved`].
    SaveCatalogue(Arc<Catalogue>),
    /// Open a new connection to a silent instance, and replace the old one if the instance answers.
    Probe(InstanceId),
    /// Send a task to an endpoint, at most once.
    Start(Call),
    /// Tell the endpoint to cancel a call. The end of the call is still reported.
    Abort(CallId),
    /// Send a reply to a caller.
    Reply(WaiterId, Reply),
    /// Write an event to the timeline.
    Event(Event),
}

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

/// A caller that waits; chosen by the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(pub u64);

/// A call to an endpoint; never used twice by one [`crate::Entry`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What happened outside.
#[derive(Clone, Debug)]
pub enum Input {
    /// A caller submits a request or job.
    Submit(WaiterId, Submission),
    /// A caller asks for the outcome of a key.
    Lookup(WaiterId, Key),
    /// A caller cancels keys.
    Cancel(WaiterId, Vec<Key>),
    /// A message of another instance.
    PeerMessage(Process, PeerMsg),
    /// Nothing listens at an instance's address: its process is gone.
    ConnectionRefused(InstanceId),
    /// An endpoint announced itself here.
    Announce(EndpointAnnouncement),
    /// A call ended.
    CallEnded(CallId, CallEnd),
    /// A catalogue that was in force before, from the own disk, or one given at the start.
    InitialCatalogue(Arc<Catalogue>),
    /// The store here committed a catalogue; the flag tells whether this is the leader, and so the
    /// one to spread it.
    CatalogueCommitted(Arc<Catalogue>, bool),
    /// A catalogue of this version, asked for by [`Output::SaveCatalogue`], is on the disk.
    CatalogueSaved(u64),
    /// A planned stop: take no new work, finish what there is.
    Stop,
    /// Time passed.
    Tick,
}

/// How a call to an endpoint ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The task ran and gave this result.
    Done(TaskBody),
    /// The task ran and failed.
    TaskFailed {
        /// Whether the endpoint blames the task itself; otherwise the endpoint is suspected.
        task_fault: bool,
        /// One sentence.
        detail: String,
    },
    /// The task did not run: the connection was never made, or the endpoint said so.
    NotRun {
        /// Whether the endpoint itself said so; otherwise it could not be reached.
        refused: bool,
        /// One sentence.
        detail: String,
    },
    /// The connection was lost after the task was sent: it may have run.
    Lost(String),
}

/// A task to be sent to an endpoint.
#[derive(Clone, Debug)]
pub struct Call {
    /// Names the call.
    pub id: CallId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its address.
    pub addr: SocketAddr,
    /// The job.
    pub key: Key,
    /// The index of the task in it.
    pub index: u32,
    /// The kind.
    pub kind: KindName,
    /// The body.
    pub body: TaskBody,
    /// Time left until the deadline.
    pub remaining: Duration,
}

domain! {
    /// What became of one cancelled key.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum CancelState {
        /// It is being cancelled; its outcome tells whether it ran.
        Cancelling,
        /// It had its outcome before.
        Ended,
        /// Nothing is known of it here.
        Unknown,
    }
}

/// What a caller gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The outcome of the key.
    Outcome(Outcome),
    /// The key was used with another body.
    Conflict,
    /// The key's time lies in the future.
    TooNew,
    /// No outcome can be agreed on or found at present. Nothing more will be started for this
    /// submission here; the same key may be sent again, to learn or get its outcome.
    Undecided {
        /// When to come back, in milliseconds.
        retry_ms: u32,
        /// One sentence.
        detail: String,
    },
    /// Nothing is known of the key.
    Unknown,
    /// What became of cancelled keys.
    Cancelled(Vec<(Key, CancelState)>),
}

/// What the host is to do.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message.
    Send(InstanceId, PeerMsg),
    /// Save a catalogue so that it outlives the process, then say so by [`Input::CatalogueSaved`].
    SaveCatalogue(Arc<Catalogue>),
    /// Open a new connection to a silent instance and replace the old one if it answers.
    Probe(InstanceId),
    /// Send a task to an endpoint, once.
    Start(Call),
    /// Tell the endpoint to cancel a call; its end is still reported.
    Abort(CallId),
    /// Answer a caller.
    Reply(WaiterId, Reply),
    /// Write to the time line.
    Event(Event),
}

//! The configuration's keepers, and the workers' announcements.

use celerywinch_member::Input;
use celerywinch_registry::Request;
use celerywinch_types::{
    FleetMsg, Incarnation, InstanceId, KeeperMsg, KeeperRequest, KeeperState, Time,
    WorkerAnnouncement, WorkerStage,
};
use tokio::sync::oneshot;

use super::{Core, CoreEvent, RequestKind};
use crate::config_sync::{ConfigSyncInput, ConfigSyncOutput};
use crate::directory::AnnounceOutcome;
use crate::journal::EventClass;
use crate::store::{StoreInput, StoreOutput};

impl Core {
    pub(super) fn to_store(&self, msg: StoreInput) {
        if let Some(store) = &self.store {
            // The thread ends only with the process.
            let _ = store.send(msg);
        }
    }

    pub(super) fn handle_store_output(&mut self, now: Time, out: StoreOutput) {
        match out {
            StoreOutput::Send(to, msg) => self.links.send(to, msg),
            StoreOutput::Answer(id, state) => self.finish_request(id, state),
            StoreOutput::Committed(held) => self.put_in_force(now, held),
            StoreOutput::EvacuationsChanged(evacuations) => {
                self.input(now, Input::Evacuations(evacuations))
            }
            StoreOutput::Workers(notes) => {
                for note in notes {
                    self.handle_announcement(now, note);
                }
            }
            StoreOutput::Role(figures) => self.log_event(&CoreEvent::Keeper {
                role: format!("{:?}", figures.role),
                term: figures.term,
                voters: figures.voters,
                learners: figures.learners,
                version: figures.version,
            }),
        }
    }

    /// Carries out what the spread of the configuration wants.
    pub(super) fn sync_config(&mut self, now: Time, input: ConfigSyncInput) {
        let mut out = Vec::new();
        self.config_sync.handle(now, input, &mut out);
        for output in out {
            match output {
                ConfigSyncOutput::Send(to, msg) => {
                    self.metrics.config_sent(&msg);
                    self.links.send(to, FleetMsg::Config(msg));
                }
                ConfigSyncOutput::SendHeartbeats(entries) => {
                    for entry in entries {
                        let beat = self.member.heartbeat_for(now, entry);
                        self.links.send(entry, FleetMsg::Heartbeat(beat));
                    }
                }
                ConfigSyncOutput::Fetched(held) => self.put_in_force(now, held),
                ConfigSyncOutput::Event(note) => {
                    self.metrics.config_sync_event(&note);
                    self.journal.write(now, "core", EventClass::Notable, &note);
                }
            }
        }
    }

    pub(super) fn request_keepers(
        &mut self,
        request: KeeperRequest,
        answer: oneshot::Sender<Option<KeeperState>>,
    ) {
        if self.store.is_none() {
            let _ = answer.send(None);
            return;
        }
        self.keeper_requests
            .retain(|_, (_, waiting)| !waiting.is_closed());
        self.next_request += 1;
        let id = self.next_request;
        let kind = match &request {
            KeeperRequest::ReadDocument | KeeperRequest::ReadEvacuations => RequestKind::Read,
            KeeperRequest::PutDocument(version, _) => RequestKind::PutDocument(*version),
            KeeperRequest::Evacuate(order) => RequestKind::Evacuate(*order),
        };
        self.keeper_requests.insert(id, (kind, answer));
        let from = self.me.instance;
        self.to_store(StoreInput::Request(Request { from, id, request }));
    }

    pub(super) fn handle_keeper_message(&mut self, from: InstanceId, msg: KeeperMsg) {
        match msg {
            KeeperMsg::Propose { id, request } => {
                self.to_store(StoreInput::Request(Request { from, id, request }));
            }
            KeeperMsg::Answer { id, state } => self.finish_request(id, state),
        }
    }

    fn finish_request(&mut self, id: u64, state: Option<KeeperState>) {
        let Some((kind, waiting)) = self.keeper_requests.remove(&id) else {
            return;
        };
        match kind {
            RequestKind::Read => {}
            RequestKind::PutDocument(version) => {
                let held = state.as_ref().map(|state| state.version);
                self.log_event(&CoreEvent::Proposed { version, held });
            }
            RequestKind::Evacuate(order) => self.log_event(&CoreEvent::EvacuationProposed {
                order,
                held: state.as_ref().map(|state| state.evacuations.clone()),
            }),
        }
        // An operator that gave up asks again.
        let _ = waiting.send(state);
    }

    /// Takes a worker's announcement; false if it is not to be acknowledged.
    ///
    /// A worker that leaves goes on to serve until its notice is acknowledged, and then counts on it that nothing more is started
    /// there. So an acknowledgement says that the notice was taken, and that there are dispatchers which were told.
    pub(super) fn handle_announcement(&mut self, now: Time, note: WorkerAnnouncement) -> bool {
        let (worker, stage, said) = (note.id.clone(), note.stage, note.version);
        let known = self.directory.len();
        let heard = self.directory.record_announcement(now, note.clone());
        self.metrics.worker_announced(heard);
        let tells = matches!(
            heard,
            AnnounceOutcome::Changed | AnnounceOutcome::OtherIncarnation(_)
        );
        if tells {
            self.unsent_workers.push(note);
            if stage != WorkerStage::Ready {
                self.announce_workers(now);
            }
        }
        let taken = tells || self.directory.is_leaving(&worker);
        match heard {
            AnnounceOutcome::Changed => self.log_event(&CoreEvent::Announced {
                worker,
                said,
                stage,
                known,
            }),
            AnnounceOutcome::Unchanged => {}
            AnnounceOutcome::Stale(_)
            | AnnounceOutcome::OtherIncarnation(_)
            | AnnounceOutcome::Left => {
                self.log_event(&CoreEvent::NotTaken {
                    worker,
                    said,
                    stage,
                    heard,
                });
            }
        }
        stage == WorkerStage::Ready || (taken && !self.entries(now).is_empty())
    }

    /// Tells the entries of the workers that have come or changed since the last time. With one message for each, 1,100
    /// workers that start together were 160,000 messages to 147 entries.
    pub(super) fn announce_workers(&mut self, now: Time) {
        if self.unsent_workers.is_empty() {
            return;
        }
        let notes = std::mem::take(&mut self.unsent_workers);
        for entry in self.entries(now) {
            self.links.send(entry, FleetMsg::Workers(notes.clone()));
        }
    }

    /// Has the workers written to the disk, if that is due.
    pub(super) fn save_workers(&mut self, now: Time) {
        if self.store.is_some()
            && let Some(workers) = self.directory.take_unsaved(now)
        {
            self.to_store(StoreInput::Workers(workers));
        }
    }

    /// A worker has left; `life` is none where it does not say which of its lives did.
    pub(super) fn worker_left(
        &mut self,
        now: Time,
        worker: &str,
        life: Option<Incarnation>,
    ) -> bool {
        if let Some(note) = self.directory.record_departure(now, worker, life) {
            self.unsent_workers.push(note);
            self.announce_workers(now);
        }
        true
    }
}

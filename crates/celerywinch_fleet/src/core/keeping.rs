//! The configuration's keepers, and the workers' announcements.

use celerywinch_member::Input;
use celerywinch_registry::Request;
use celerywinch_types::{
    FleetMsg, Incarnation, InstanceId, KeeperMsg, KeeperRequest, KeeperState, Time,
    WorkerAnnouncement, WorkerStage,
};
use tokio::sync::oneshot;

use super::{Core, CoreNote, RequestKind};
use crate::config_sync::{ConfigSyncInput, ConfigSyncOutput};
use crate::directory::AnnounceOutcome;
use crate::journal::Kind;
use crate::store::{StoreIn, StoreOut};

impl Core {
    pub(super) fn to_store(&self, msg: StoreIn) {
        if let Some(store) = &self.store {
            // The thread ends only with the process.
            let _ = store.send(msg);
        }
    }

    pub(super) fn stored(&mut self, now: Time, out: StoreOut) {
        match out {
            StoreOut::Send(to, msg) => self.links.send(to, msg),
            StoreOut::Answer(id, state) => self.answer_keep(id, state),
            StoreOut::Committed(held) => self.put_in_force(now, held),
            StoreOut::EvacuationsChanged(evacuations) => {
                self.input(now, Input::Evacuations(evacuations))
            }
            StoreOut::Workers(notes) => {
                for note in notes {
                    self.announced(now, note);
                }
            }
            StoreOut::Role(figures) => self.note(&CoreNote::Keeper {
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
                    self.metrics.document_fetched(&note);
                    self.journal.write(now, "core", Kind::Telling, &note);
                }
            }
        }
    }

    pub(super) fn keep(
        &mut self,
        request: KeeperRequest,
        answer: oneshot::Sender<Option<KeeperState>>,
    ) {
        if self.store.is_none() {
            let _ = answer.send(None);
            return;
        }
        self.keeping.retain(|_, (_, waiting)| !waiting.is_closed());
        self.next_keep += 1;
        let id = self.next_keep;
        let kind = match &request {
            KeeperRequest::ReadDocument | KeeperRequest::ReadEvacuations => RequestKind::Read,
            KeeperRequest::PutDocument(version, _) => RequestKind::PutDocument(*version),
            KeeperRequest::Evacuate(order) => RequestKind::Evacuate(*order),
        };
        self.keeping.insert(id, (kind, answer));
        let from = self.me.instance;
        self.to_store(StoreIn::Request(Request { from, id, request }));
    }

    pub(super) fn keep_msg(&mut self, from: InstanceId, msg: KeeperMsg) {
        match msg {
            KeeperMsg::Propose { id, request } => {
                self.to_store(StoreIn::Request(Request { from, id, request }));
            }
            KeeperMsg::Answer { id, state } => self.answer_keep(id, state),
        }
    }

    fn answer_keep(&mut self, id: u64, state: Option<KeeperState>) {
        let Some((kind, waiting)) = self.keeping.remove(&id) else {
            return;
        };
        match kind {
            RequestKind::Read => {}
            RequestKind::PutDocument(version) => {
                let held = state.as_ref().map(|state| state.version);
                self.note(&CoreNote::Proposed { version, held });
            }
            RequestKind::Evacuate(order) => self.note(&CoreNote::EvacuationProposed {
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
    pub(super) fn announced(&mut self, now: Time, note: WorkerAnnouncement) -> bool {
        let (worker, stage, said) = (note.id.clone(), note.stage, note.version);
        let known = self.directory.len();
        let heard = self.directory.record_announcement(now, note.clone());
        self.metrics.announced(heard);
        let tells = matches!(
            heard,
            AnnounceOutcome::Changed | AnnounceOutcome::OtherIncarnation(_)
        );
        if tells {
            self.untold.push(note);
            if stage != WorkerStage::Ready {
                self.tell_workers(now);
            }
        }
        let taken = tells || self.directory.is_leaving(&worker);
        match heard {
            AnnounceOutcome::Changed => self.note(&CoreNote::Announced {
                worker,
                said,
                stage,
                known,
            }),
            AnnounceOutcome::Unchanged => {}
            AnnounceOutcome::Stale(_)
            | AnnounceOutcome::OtherIncarnation(_)
            | AnnounceOutcome::Left => {
                self.note(&CoreNote::NotTaken {
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
    pub(super) fn tell_workers(&mut self, now: Time) {
        if self.untold.is_empty() {
            return;
        }
        let notes = std::mem::take(&mut self.untold);
        for entry in self.entries(now) {
            self.links.send(entry, FleetMsg::Workers(notes.clone()));
        }
    }

    /// Has the workers written to the disk, if that is due.
    pub(super) fn save_workers(&mut self, now: Time) {
        if self.store.is_some()
            && let Some(workers) = self.directory.take_unsaved(now)
        {
            self.to_store(StoreIn::Workers(workers));
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
            self.untold.push(note);
            self.tell_workers(now);
        }
        true
    }
}

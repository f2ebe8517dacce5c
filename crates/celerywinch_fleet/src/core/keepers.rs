//! Requests to the keepers, distribution of the configuration, and announcements of workers.

use std::sync::atomic::Ordering;

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
            // Fails only if the store's thread has ended, which it does only with the process.
            let _ = store.send(msg);
        }
    }

    pub(super) fn handle_store_output(&mut self, now: Time, out: StoreOutput) {
        match out {
            StoreOutput::Send(to, msg) => self.links.send(to, msg),
            StoreOutput::Answer(id, state) => self.finish_request(id, state),
            StoreOutput::Committed(document) => self.put_in_force(now, document),
            StoreOutput::EvacuationsChanged(evacuations) => {
                self.input(now, Input::Evacuations(evacuations))
            }
            StoreOutput::Workers(announcements) => {
                for announcement in announcements {
                    self.handle_announcement(now, announcement);
                }
            }
            StoreOutput::MayEnd => self.snapshot.store_left.store(true, Ordering::Release),
            StoreOutput::Role(status) => self.log_event(&CoreEvent::Keeper {
                role: format!("{:?}", status.role),
                term: status.term,
                voters: status.voters,
                voting: status.voting,
                learners: status.learners,
                version: status.version,
            }),
        }
    }

    /// Passes an input to the distribution of the configuration and carries out its outputs.
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
                        let heartbeat = self.member.heartbeat_for(now, entry);
                        self.links.send(entry, FleetMsg::Heartbeat(heartbeat));
                    }
                }
                ConfigSyncOutput::Fetched(document) => self.put_in_force(now, document),
                ConfigSyncOutput::Event(event) => {
                    self.metrics.config_sync_event(&event);
                    self.journal.write(now, "core", EventClass::Notable, &event);
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
            .retain(|_, (_, answer)| !answer.is_closed());
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
        let Some((kind, answer)) = self.keeper_requests.remove(&id) else {
            return;
        };
        match kind {
            RequestKind::Read => {}
            RequestKind::PutDocument(version) => {
                let current = state.as_ref().map(|state| state.version);
                self.log_event(&CoreEvent::Proposed { version, current });
            }
            RequestKind::Evacuate(order) => self.log_event(&CoreEvent::EvacuationProposed {
                order,
                current: state.as_ref().map(|state| state.evacuations.clone()),
            }),
        }
        // Fails only if the requester has stopped waiting; the operator then retries.
        let _ = answer.send(state);
    }

    /// Handles a worker's announcement and returns whether it may be acknowledged.
    ///
    /// A worker that leaves continues to serve until its notice is acknowledged, and then relies on no more tasks being started
    /// there. So a notice is acknowledged only if it was accepted and there are live entries that were notified.
    pub(super) fn handle_announcement(
        &mut self,
        now: Time,
        announcement: WorkerAnnouncement,
    ) -> bool {
        let (worker, stage, version) = (
            announcement.id.clone(),
            announcement.stage,
            announcement.version,
        );
        let known = self.directory.len();
        let outcome = self
            .directory
            .record_announcement(now, announcement.clone());
        self.metrics.worker_announced(outcome);
        let accepted = self.directory.accepts_notice(&announcement, outcome);
        if outcome.is_news() {
            self.unsent_workers.push(announcement);
            if stage != WorkerStage::Ready {
                self.announce_workers(now);
            }
        }
        match outcome {
            AnnounceOutcome::Changed => self.log_event(&CoreEvent::Announced {
                worker,
                version,
                stage,
                known,
            }),
            AnnounceOutcome::Unchanged => {}
            AnnounceOutcome::Stale(_)
            | AnnounceOutcome::OtherIncarnation(_)
            | AnnounceOutcome::Left
            | AnnounceOutcome::Unnamed
            | AnnounceOutcome::Foreign(_) => {
                self.log_event(&CoreEvent::NotTaken {
                    worker,
                    version,
                    stage,
                    outcome,
                });
            }
        }
        stage == WorkerStage::Ready || (accepted && !self.entries(now).is_empty())
    }

    /// Sends the new and changed announcements to the entries in one batch. With one message for each, 1,100 workers that
    /// started together caused 160,000 messages to 147 entries.
    pub(super) fn announce_workers(&mut self, now: Time) {
        if self.unsent_workers.is_empty() {
            return;
        }
        let announcements = std::mem::take(&mut self.unsent_workers);
        for entry in self.entries(now) {
            self.links
                .send(entry, FleetMsg::Workers(announcements.clone()));
        }
    }

    /// Has the list of workers written to the disk, if that is due.
    pub(super) fn save_workers(&mut self, now: Time) {
        if self.store.is_some()
            && let Some(workers) = self.directory.take_unsaved(now)
        {
            self.to_store(StoreInput::Workers(workers));
        }
    }

    /// Records that a worker has left; `incarnation` is `None` if the worker did not state its incarnation.
    pub(super) fn worker_left(
        &mut self,
        now: Time,
        worker: &str,
        incarnation: Option<Incarnation>,
    ) -> bool {
        if let Some(announcement) = self.directory.record_departure(now, worker, incarnation) {
            self.unsent_workers.push(announcement);
            self.announce_workers(now);
        }
        true
    }
}

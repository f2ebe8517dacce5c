//! Inputs and outputs of the member.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use celerywinch_member::{Input, Output};
use celerywinch_pool::{Answer, Call};
use celerywinch_registry::VersionedDocument;
use celerywinch_types::Time;

use super::{Core, CoreEvent, CoreMsg};
use crate::config_sync::ConfigSyncInput;
use crate::journal::EventClass;

/// Time after the time-out of a call in which its answer still counts, as it may have arrived but not been read. A process
/// with an eighth of a core pauses for tens of ms when several requests arrive at once: without this, one answer in 40 was
/// counted as missing.
const READ_GRACE: Duration = Duration::from_millis(20);

/// Time for which an answer that missed its time-out is still observed. A late answer shows that the path is slow rather than
/// that answers are lost, and raises the time-outs of later calls.
const LATE_ANSWER_WINDOW: Duration = Duration::from_millis(600);

fn event_class(routine: bool) -> EventClass {
    if routine {
        EventClass::Routine
    } else {
        EventClass::Notable
    }
}

impl Core {
    pub(super) fn input(&mut self, now: Time, input: Input) {
        let mut out = Vec::new();
        self.member.handle(now, input, &mut out);
        for output in out {
            self.output(now, output);
        }
        let open = self.member.open_jobs() as u64;
        self.snapshot.open_jobs.store(open, Ordering::Release);
        let ready = self.member.is_ready(now);
        self.snapshot.ready.store(ready, Ordering::Release);
    }

    fn output(&mut self, now: Time, output: Output) {
        match output {
            Output::Call(call) => self.call(call),
            Output::Send(to, msg) => self.links.send(to, msg),
            Output::Answer(caller, end) => {
                if let Some(answer) = self.callers.remove(&caller) {
                    // Fails only if the caller has left.
                    let _ = answer.send(end);
                }
            }
            Output::NewPeer(peer) => self.add_peer(peer),
            Output::PeerAlive(peer) => self.send_workers(peer),
            Output::RemovePeer(peer) => self.remove_peer(peer),
            Output::Stage(_) => {}
            Output::Member(event) => self
                .journal
                .write(now, "member", EventClass::Notable, &event),
            Output::Dispatch(event) => {
                self.metrics.dispatch_event(&event);
                let class = event_class(event.is_routine());
                self.journal.write(now, "dispatch", class, &event);
            }
            Output::Origin(event) => {
                self.metrics.origin_event(&event);
                let class = event_class(event.is_routine());
                self.journal.write(now, "origin", class, &event);
            }
        }
    }

    /// Updates the gauges of the metrics.
    pub(super) fn update_gauges(&self, now: Time) {
        let peers = self.member.peers().alive(now).count();
        let (_, _, workers) = self.member.pool().counts();
        self.metrics.peers.set(peers as i64);
        self.metrics.workers.set(workers as i64);
        let packing = self.member.pool().packing_share();
        self.metrics.packing_permille.set((packing * 1e3) as i64);
        let suspected = self.member.pool().suspected_workers();
        self.metrics.suspected_workers.set(suspected as i64);
        self.metrics.open_jobs.set(self.member.open_jobs() as i64);
        self.metrics
            .evacuated_data_centres
            .set(self.member.evacuations().dcs.len() as i64);
        let reservations = self.member.pool().waiting_reservations();
        self.metrics.set_waiting_reservations(reservations);
        let runs = self.member.pool().evacuated_runs();
        self.metrics.evacuated_runs.set(runs as i64);
        let version = i64::try_from(self.config_sync.version()).unwrap_or(i64::MAX);
        self.metrics.version.set(version);
    }

    fn call(&self, call: Call) {
        let core = self.sender.clone();
        let key = call.key;
        let timeout = call.timeout;
        let max_wait = call.request.max_wait();
        self.metrics.worker_called(&call.request);
        let answer = self.port.call(call);
        ntex::rt::spawn(async move {
            let started = Instant::now();
            let mut answer = answer;
            let mut result = tokio::time::timeout(timeout, &mut answer).await;
            if result.is_err() {
                // The process itself may have been paused, with the answer waiting to be read.
                result = tokio::time::timeout(READ_GRACE, &mut answer).await;
            }
            let timed_out = result.is_err();
            let timely_answer = result.unwrap_or(Answer::NoAnswer);
            // Fails only if the core has ended, which it does only with the process.
            let _ = core.send(CoreMsg::Answered(key, timely_answer));
            if timed_out
                && let Ok(late) = tokio::time::timeout(LATE_ANSWER_WINDOW, &mut answer).await
                && late != Answer::NoAnswer
            {
                let took = started.elapsed().saturating_sub(max_wait);
                let _ = core.send(CoreMsg::AnsweredLate(took));
            }
        });
    }

    /// Puts a document in force if it is newer than the current one. Within an incarnation of the process the version never
    /// decreases.
    pub(super) fn put_in_force(&mut self, now: Time, document: VersionedDocument) {
        if document.version <= self.config_sync.version() {
            return;
        }
        match self.port.parse_config(&document.document) {
            Ok(config) => {
                self.log_event(&CoreEvent::InForce {
                    version: document.version,
                    queues: config.queues.len(),
                });
                let services = config.services.iter().map(|service| service.name.clone());
                let released = self.directory.set_services(now, services.collect());
                self.unsent_workers.extend(released);
                self.snapshot.queue_config.store(Some(Arc::new(config)));
                let version = document.version;
                self.input(now, Input::ConfigVersion(version));
                self.sync_config(now, ConfigSyncInput::InForce(document));
            }
            Err(error) => {
                self.log_event(&CoreEvent::BadDocument {
                    version: document.version,
                    error: format!("{error:#}"),
                });
                self.sync_config(now, ConfigSyncInput::Unreadable(document.version));
            }
        }
    }
}

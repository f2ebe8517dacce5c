//! Carrying out what the member decides.

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

/// How much longer an answer is waited for that may have arrived and was not read yet. A process with
/// an eighth of a core stands still for tens of ms when several requests come at once; without this,
/// one answer in forty was taken for missing.
const READ_GRACE: Duration = Duration::from_millis(20);

/// How much longer an answer is listened for that is not waited for any more. It shows that the path is slow, and not
/// that answers are lost: later ones are waited for longer.
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
                if let Some(waiting) = self.callers.remove(&caller) {
                    // A caller that has left needs no answer.
                    let _ = waiting.send(end);
                }
            }
            Output::NewPeer(peer) => self.add_peer(peer),
            Output::PeerAlive(peer) => self.send_workers(peer),
            Output::RemovePeer(peer) => self.remove_peer(peer),
            Output::Stage(_) => {}
            Output::Member(note) => self
                .journal
                .write(now, "member", EventClass::Notable, &note),
            Output::Dispatch(note) => {
                self.metrics.dispatch_event(&note);
                let class = event_class(note.is_routine());
                self.journal.write(now, "dispatch", class, &note);
            }
            Output::Origin(note) => {
                self.metrics.origin_event(&note);
                let class = event_class(note.is_routine());
                self.journal.write(now, "origin", class, &note);
            }
        }
    }

    /// Sets the gauges.
    pub(super) fn update_gauges(&self, now: Time) {
        let peers = self.member.peers().alive(now).count();
        let (_, _, workers) = self.member.pool().counts();
        self.metrics.peers.set(peers as i64);
        self.metrics.workers.set(workers as i64);
        self.metrics.open_jobs.set(self.member.open_jobs() as i64);
        self.metrics
            .evacuated_data_centres
            .set(self.member.evacuations().dcs.len() as i64);
        let runs = self.member.pool().evacuated_runs();
        self.metrics.evacuated_runs.set(runs as i64);
        let version = i64::try_from(self.config_sync.version()).unwrap_or(i64::MAX);
        self.metrics.version.set(version);
    }

    fn call(&self, call: Call) {
        let core = self.sender.clone();
        let key = call.key;
        let limit = call.timeout;
        let waits = call.request.max_wait();
        self.metrics.worker_called(&call.request);
        let answer = self.port.call(call);
        ntex::rt::spawn(async move {
            let began = Instant::now();
            let mut answer = answer;
            let mut got = tokio::time::timeout(limit, &mut answer).await;
            if got.is_err() {
                // The process may have stood still itself, with the answer waiting to be read.
                got = tokio::time::timeout(READ_GRACE, &mut answer).await;
            }
            let silent = got.is_err();
            let answer_in_time = got.unwrap_or(Answer::NoAnswer);
            // The core ends before its calls only when the process does.
            let _ = core.send(CoreMsg::Answered(key, answer_in_time));
            if silent
                && let Ok(late) = tokio::time::timeout(LATE_ANSWER_WINDOW, &mut answer).await
                && late != Answer::NoAnswer
            {
                let took = began.elapsed().saturating_sub(waits);
                let _ = core.send(CoreMsg::AnsweredLate(took));
            }
        });
    }

    /// Puts a document in force if it is newer than the one that is. Within one life of a process
    /// the version never falls.
    pub(super) fn put_in_force(&mut self, now: Time, held: VersionedDocument) {
        if held.version <= self.config_sync.version() {
            return;
        }
        match self.port.parse_config(&held.document) {
            Ok(config) => {
                self.log_event(&CoreEvent::InForce {
                    version: held.version,
                    queues: config.queues.len(),
                });
                self.snapshot.queue_config.store(Some(Arc::new(config)));
                let version = held.version;
                self.input(now, Input::ConfigVersion(version));
                self.sync_config(now, ConfigSyncInput::InForce(held));
            }
            Err(error) => {
                self.log_event(&CoreEvent::BadDocument {
                    version: held.version,
                    error: format!("{error:#}"),
                });
                self.sync_config(now, ConfigSyncInput::Unreadable(held.version));
            }
        }
    }
}

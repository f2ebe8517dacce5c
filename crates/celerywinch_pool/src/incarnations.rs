//! Workers that restart under the same id.
//!
//! Nothing known of one incarnation holds for another: its runs are over, and its clock, the serial numbers of its ends
//! and its highest fencing token start anew. So each incarnation has its own key, and answers to calls of an earlier
//! one are discarded.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use celerywinch_types::{
    AnnouncementVersion, Incarnation, MAX_INCARNATIONS, Time, WorkerAnnouncement, WorkerStage,
};

use crate::call::RunningRow;
use crate::leases::Loss;
use crate::pool::{Output, Pool};
use crate::run::{Phase, Run, RunKey};
use crate::worker::WorkerKey;
use crate::{Departure, PoolEvent};

/// How many incarnations of a worker are retained besides the known one.
const MAX_OTHER_INCARNATIONS: usize = 4;

/// The last announcements of a worker's incarnations other than the known one.
#[derive(Clone, Debug, Default)]
pub(crate) struct OtherIncarnations(BTreeMap<Incarnation, WorkerAnnouncement>);

impl OtherIncarnations {
    fn keep(&mut self, announcement: WorkerAnnouncement) {
        let incarnation = announcement.version.incarnation;
        let known = self.0.get(&incarnation);
        if known.is_none_or(|known| known.version < announcement.version) {
            self.0.insert(incarnation, announcement);
        }
        while self.0.len() > MAX_OTHER_INCARNATIONS {
            self.0.pop_first();
        }
    }

    fn at(&self, addr: SocketAddr, incarnation: Incarnation) -> Option<WorkerAnnouncement> {
        let known = self.0.get(&incarnation);
        known.filter(|known| known.addr == addr).cloned()
    }
}

impl Pool {
    /// Replaces a worker by another incarnation, which is announced at the same address or has answered at another one.
    ///
    /// At the same address, the announcement alone does not end the runs of the earlier incarnation: it may be wrong, and a
    /// request that was not answered may reach the later one, which would carry it out. So its runs are not given up
    /// before the worker has listed its runs: a task started elsewhere in between would run twice. That takes one call
    /// or, if the worker does not answer, as long as any task waits that may be running elsewhere.
    pub(crate) fn replace_worker(
        &mut self,
        now: Time,
        key: WorkerKey,
        announcement: WorkerAnnouncement,
        out: &mut Vec<Output>,
    ) {
        let Some(mut earlier) = self.workers.remove(key) else {
            return;
        };
        self.takeover.remove_worker(key);
        self.remove_addr(earlier.announcement.addr);
        out.push(Output::Event(PoolEvent::WorkerGone {
            worker: announcement.id.clone(),
            why: Departure::OtherIncarnation,
            silent: now.since(earlier.last_contact).as_millis() as u32,
            runs: earlier.runs.len(),
        }));
        let loss = match earlier.announcement.stage {
            WorkerStage::Ready => Loss::Crashed,
            WorkerStage::Draining | WorkerStage::Gone => Loss::Left,
        };
        let moved = earlier.announcement.addr != announcement.addr;
        let runs = std::mem::take(&mut earlier.runs);
        let restarts = earlier.restarts + 1;
        let later = self.add_worker(now, announcement, restarts, out);
        let worker = &mut self.workers[later];
        worker.pace = earlier.pace;
        worker.previous_loss = Some(loss);
        worker.other_incarnations = std::mem::take(&mut earlier.other_incarnations);
        // The earlier incarnation becomes the known one again if it turns out to be the one that is running.
        if earlier.is_announced {
            worker.other_incarnations.keep(earlier.announcement.clone());
        }
        for run in runs {
            self.inherit_run(now, later, run, moved, out);
        }
        self.incarnation_ended(now, &earlier, out);
        if restarts > MAX_INCARNATIONS {
            out.push(Output::TokenExhausted(self.workers[later].domain));
        }
    }

    /// Adds an unknown worker. If it was removed recently, because it had left or did not answer, a request to that
    /// incarnation may still be in flight and would be accepted under the same fencing token, so the restart count
    /// continues from there.
    pub(crate) fn add_unknown(
        &mut self,
        now: Time,
        announcement: WorkerAnnouncement,
        out: &mut Vec<Output>,
    ) {
        let removed = self.removed.remove(&announcement.id);
        let restarts = removed.map_or(0, |(restarts, _)| restarts + 1);
        let key = self.add_worker(now, announcement, restarts, out);
        if restarts > MAX_INCARNATIONS {
            out.push(Output::TokenExhausted(self.workers[key].domain));
        }
    }

    /// Handles a list from another incarnation than the known one: that one is running now, in whatever order the
    /// announcements arrived. If it is not announced yet, it may be of another service, or have other labels or less
    /// capacity, so it gets no tasks until it is.
    pub(crate) fn other_incarnation_answered(
        &mut self,
        now: Time,
        key: WorkerKey,
        incarnation: Incarnation,
        out: &mut Vec<Output>,
    ) {
        let worker = &self.workers[key];
        let addr = worker.announcement.addr;
        if let Some(announcement) = worker.other_incarnations.at(addr, incarnation) {
            self.replace_worker(now, key, announcement, out);
            return;
        }
        let version = AnnouncementVersion {
            incarnation,
            sequence: 0,
        };
        let unknown = WorkerAnnouncement {
            stage: WorkerStage::Ready,
            version,
            ..worker.announcement.clone()
        };
        let id = unknown.id.clone();
        self.replace_worker(now, key, unknown, out);
        if let Some(later) = self.worker_ids.get(&id) {
            self.workers[*later].is_announced = false;
        }
    }

    /// Handles an announcement of an earlier incarnation. Usually the message was delayed. But if the worker's clock
    /// was set back between two starts, that incarnation is the running one, and if it announces that it leaves,
    /// nothing may be started there. A short poll shows which one is running.
    pub(crate) fn earlier_incarnation_announced(
        &mut self,
        key: WorkerKey,
        announcement: WorkerAnnouncement,
        out: &mut Vec<Output>,
    ) {
        self.workers[key].other_incarnations.keep(announcement);
        self.short_poll(key, out);
    }

    /// Transfers a run of an earlier incarnation to the later one. If that one has answered at another address, it cannot have
    /// received a request that was sent to the earlier one, so the run is lost.
    fn inherit_run(
        &mut self,
        now: Time,
        later: WorkerKey,
        key: RunKey,
        moved: bool,
        out: &mut Vec<Output>,
    ) {
        let lease_bound = now + self.config.doubt_timeout;
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.worker = later;
        run.phase = Phase::Sent;
        (run.stopping, run.stop_accepted) = (false, false);
        let need = run.need;
        let worker = &mut self.workers[later];
        worker.runs.push(key);
        worker.used = worker.used.saturating_add(need);
        worker.lease = worker.lease.max(lease_bound);
        if moved {
            self.lose_inherited_run(now, key, out);
        }
    }

    fn lose_inherited_run(&mut self, now: Time, key: RunKey, out: &mut Vec<Output>) {
        let worker = &self.workers[self.runs[key].worker];
        let loss = worker.previous_loss.unwrap_or(Loss::Left);
        self.lose_run(now, key, loss, out);
    }

    /// Settles the transferred runs by the first list of an incarnation: the runs in it are active, the others are
    /// over, and no request for them is accepted any more.
    pub(crate) fn settle_inherited_runs(
        &mut self,
        now: Time,
        key: WorkerKey,
        running: &[RunningRow],
        out: &mut Vec<Output>,
    ) {
        for run in self.workers[key].runs.clone() {
            let Run {
                task,
                number,
                batch,
                ..
            } = self.runs[run];
            let listed = running
                .iter()
                .any(|row| row.task == task && row.run == number);
            if !listed {
                self.lose_inherited_run(now, run, out);
                continue;
            }
            self.set_phase(run, Phase::Running(self.input_count));
            if batch.is_none() {
                self.stop_run(now, run, out);
            }
        }
    }
}

//! Workers that start again under the name that they had.
//!
//! Nothing of one life holds for another: its runs are over, its clock, its numbers of ends and the fencing token that it has
//! seen begin anew. So each life has a key of its own, and what was asked of an earlier one is answered to nobody.

use std::collections::BTreeMap;

use celerywinch_types::{
    AnnouncementVersion, Incarnation, MAX_INCARNATIONS, Time, WorkerAnnouncement, WorkerStage,
};

use crate::call::RunningRow;
use crate::leases::Loss;
use crate::pool::{Output, Pool};
use crate::run::{Phase, Run, RunKey};
use crate::worker::WorkerKey;
use crate::{Departure, PoolEvent};

/// So many lives of a worker are remembered beside the one that is known.
const MOST_OTHERS: usize = 4;

/// The last words of lives of a worker, other than the one that is known.
#[derive(Clone, Debug, Default)]
pub(crate) struct OtherIncarnations(BTreeMap<Incarnation, WorkerAnnouncement>);

impl OtherIncarnations {
    fn keep(&mut self, note: WorkerAnnouncement) {
        let life = note.version.incarnation;
        let known = self.0.get(&life);
        if known.is_none_or(|known| known.version < note.version) {
            self.0.insert(life, note);
        }
        while self.0.len() > MOST_OTHERS {
            self.0.pop_first();
        }
    }

    fn of(&self, life: Incarnation) -> Option<WorkerAnnouncement> {
        self.0.get(&life).cloned()
    }
}

impl Pool {
    /// Another life of a worker has begun.
    ///
    /// An order that the earlier life did not answer may reach the later one, which obeys it. So its runs are not given up
    /// before the later life has shown what it has: a task started elsewhere in between would run twice. That takes one
    /// call; if the worker does not answer, as long as a task that may run anywhere waits.
    pub(crate) fn replace_worker(
        &mut self,
        now: Time,
        key: WorkerKey,
        note: WorkerAnnouncement,
        out: &mut Vec<Output>,
    ) {
        let Some(mut earlier) = self.workers.remove(key) else {
            return;
        };
        self.takeover.remove_worker(key);
        self.remove_addr(earlier.note.addr);
        out.push(Output::Event(PoolEvent::WorkerGone {
            worker: note.id.clone(),
            why: Departure::OtherIncarnation,
            silent: now.since(earlier.last_contact).as_millis() as u32,
            runs: earlier.runs.len(),
        }));
        let loss = match earlier.note.stage {
            WorkerStage::Ready => Loss::Crashed,
            WorkerStage::Draining | WorkerStage::Gone => Loss::Left,
        };
        let moved = earlier.note.addr != note.addr;
        let runs = std::mem::take(&mut earlier.runs);
        let lives = earlier.restarts + 1;
        let later = self.add_worker(now, note, lives, out);
        let worker = &mut self.workers[later];
        worker.pace = earlier.pace;
        worker.previous_loss = Some(loss);
        worker.other_incarnations = std::mem::take(&mut earlier.other_incarnations);
        // It counts again if it turns out to be the one that is there after all.
        worker.other_incarnations.keep(earlier.note.clone());
        for run in runs {
            self.inherit(now, later, run, moved, out);
        }
        self.incarnation_ended(now, &earlier, out);
        if lives > MAX_INCARNATIONS {
            out.push(Output::TokenExhausted(self.workers[later].domain));
        }
    }

    /// A worker is heard of that is not known. If it was forgotten lately, as it had left or was silent, an order to that life may
    /// still be on its way, and would be obeyed under the same token.
    pub(crate) fn add_unknown(
        &mut self,
        now: Time,
        note: WorkerAnnouncement,
        out: &mut Vec<Output>,
    ) {
        let forgotten = self.removed.remove(&note.id);
        let lives = forgotten.map_or(0, |(lives, _)| lives + 1);
        let key = self.add_worker(now, note, lives, out);
        if lives > MAX_INCARNATIONS {
            out.push(Output::TokenExhausted(self.workers[key].domain));
        }
    }

    /// A list is of another life than the one that is known: that is the one that is there now, whatever was heard in which order.
    pub(crate) fn other_incarnation_answered(
        &mut self,
        now: Time,
        key: WorkerKey,
        life: Incarnation,
        out: &mut Vec<Output>,
    ) {
        let worker = &self.workers[key];
        let note = worker
            .other_incarnations
            .of(life)
            .unwrap_or_else(|| WorkerAnnouncement {
                stage: WorkerStage::Ready,
                version: AnnouncementVersion {
                    incarnation: life,
                    sequence: 0,
                },
                ..worker.note.clone()
            });
        self.replace_worker(now, key, note, out);
    }

    /// A life speaks that counts as an earlier one. Mostly that is a message that was held up; but where the clock of the worker
    /// was set back between two starts it is the life that is there, and if it says that it leaves nothing may be started
    /// there. The worker is asked which one it is.
    pub(crate) fn earlier_incarnation_announced(
        &mut self,
        key: WorkerKey,
        note: WorkerAnnouncement,
        out: &mut Vec<Output>,
    ) {
        self.workers[key].other_incarnations.keep(note);
        self.short_poll(key, out);
    }

    /// Leaves a run of an earlier life to the later one to settle. One that has moved can have got no order that was sent to where
    /// the earlier one was.
    fn inherit(
        &mut self,
        now: Time,
        later: WorkerKey,
        key: RunKey,
        moved: bool,
        out: &mut Vec<Output>,
    ) {
        let longest = now + self.config.doubt_timeout;
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
        worker.lease = worker.lease.max(longest);
        if moved {
            self.lose_inherited(now, key, out);
        }
    }

    fn lose_inherited(&mut self, now: Time, key: RunKey, out: &mut Vec<Output>) {
        let worker = &self.workers[self.runs[key].worker];
        let loss = worker.previous_loss.unwrap_or(Loss::Left);
        self.lose_run(now, key, loss, out);
    }

    /// The first list of a life shows which of the runs that were left to it are at work there; the others are over, and no order
    /// for them is obeyed any more.
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
                self.lose_inherited(now, run, out);
                continue;
            }
            self.set_phase(run, Phase::Running(self.input_count));
            if batch.is_none() {
                self.stop_run(now, run, out);
            }
        }
    }
}

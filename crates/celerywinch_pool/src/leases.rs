//! Polls of workers, leases, and runs that make too little progress.

use std::time::Duration;

use celerywinch_types::{Domain, Mechanism, Time, WorkerClock, WorkerStage};

use crate::call::{CallPurpose, PollContext, PollKind, Request};
use crate::pool::{Output, Pool};
use crate::run::{Phase, RunKey};
use crate::worker::{Ownership, WorkerKey};
use crate::{Departure, PoolEvent};

/// A run is late when its run time exceeds `LATE_FACTOR` times the expected run time plus `LATE_MARGIN`.
const LATE_FACTOR: f64 = 2.5;
/// Covers the time for a message and a poll, and the variation of short tasks.
const LATE_MARGIN: Duration = Duration::from_millis(100);
/// A late run is moved only if its remaining time here is this many times that of a new run elsewhere.
const MOVE_FACTOR: f64 = 1.5;
/// Most runs have ended after this multiple of their expected run time: run times of one kind of job vary by a quarter,
/// and the learned pace of a worker is off by a few percent.
const WAIT_FACTOR: f64 = 1.3;
/// A worker that takes this many times the usual run time gets no tasks for `PoolConfig::quarantine`.
const SLOW_PACE: f64 = 3.0;

/// Why a run was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Loss {
    /// Its worker did not answer until the lease expired: it has crashed or is unreachable.
    LeaseExpired,
    /// The incarnation of its worker ended without announcing it.
    Crashed,
    /// Its worker announced that it was leaving.
    Left,
}

impl Loss {
    fn label(self) -> &'static str {
        match self {
            Self::LeaseExpired => "lost",
            Self::Crashed | Self::Left => "gone",
        }
    }
}

impl Pool {
    /// Polls a worker if a poll is due and none is outstanding.
    pub(crate) fn poll(&mut self, now: Time, key: WorkerKey, out: &mut Vec<Output>) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let busy = !worker.runs.is_empty() || worker.foreign_runs > 0;
        let due = worker.next_poll <= now || (busy && worker.missed_calls == 0);
        if worker.ownership == Ownership::None || worker.long_poll.is_some() || !due {
            return;
        }
        let has_own_runs = worker.ownership == Ownership::Owned && !worker.runs.is_empty();
        let responsive = worker.missed_calls == 0
            && worker.foreign_runs == 0
            && !self.has_suspended_run(now, worker);
        // A poll that may get no answer does not extend the lease, or the tasks of an unresponsive worker could not be
        // started elsewhere while it is polled. A lease covers all runs on a worker. So it is not extended while a
        // foreign run is there, which its own dispatcher, on the other side of a network partition, expects to end with
        // the lease that it gave; nor while a task runs there that its origin may have started elsewhere.
        let deadline = if has_own_runs && responsive {
            worker.deadline(now, self.config.lease)
        } else {
            None
        };
        let waits = has_own_runs && worker.missed_calls == 0;
        self.send_poll(now, key, deadline, waits, out);
    }

    fn send_poll(
        &mut self,
        now: Time,
        key: WorkerKey,
        deadline: Option<WorkerClock>,
        waits: bool,
        out: &mut Vec<Output>,
    ) {
        let lease = self.config.lease;
        let worker = &mut self.workers[key];
        if deadline.is_some() {
            worker.lease = worker.lease.max(worker.lease_bound(now, lease));
        }
        let cursor = worker.cursor;
        worker.next_poll = Time::NEVER;
        let input = self.input_count;
        let context = PollContext { input, cursor };
        let wait = if waits { self.poll_wait(now, key) } else { 0 };
        let request = Request::Poll {
            deadline,
            cursor,
            wait,
        };
        let call = self.call(
            key,
            CallPurpose::Poll(key, PollKind::Long, context),
            request,
            out,
        );
        self.workers[key].long_poll = call;
    }

    /// Returns how long, in ms, a poll waits on the worker for an end: until shortly after the first one is expected. A
    /// lost poll is detected only after its wait, and until then no ends from that worker are received.
    fn poll_wait(&self, now: Time, key: WorkerKey) -> u32 {
        let runs = self.workers[key].runs.iter().map(|run| &self.runs[*run]);
        let remaining =
            runs.map(|run| (run.started + run.expected.mul_f64(WAIT_FACTOR)).since(now));
        let earliest = remaining.min().unwrap_or_default();
        if self.workers[key].suspicion.is_some() {
            return self.config.min_wait.as_millis() as u32;
        }
        let wait = earliest
            .max(self.config.min_wait)
            .min(self.config.poll_wait);
        wait.as_millis() as u32
    }

    /// Polls a worker at once, in addition to the long poll that may be waiting there for an end.
    ///
    /// A request without an answer was carried out, or will be later, or never. Stopping the run to be safe would
    /// discard its work. Waiting for the next long poll takes up to 150 ms, which the task may not have, and the worker
    /// gets no tasks meanwhile.
    pub(crate) fn short_poll(&mut self, key: WorkerKey, out: &mut Vec<Output>) {
        let input = self.input_count;
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        if worker.ownership != Ownership::Owned || worker.short_poll.is_some() {
            return;
        }
        let cursor = worker.cursor;
        let context = PollContext { input, cursor };
        let request = Request::Poll {
            deadline: None,
            cursor,
            wait: 0,
        };
        let call = self.call(
            key,
            CallPurpose::Poll(key, PollKind::Short, context),
            request,
            out,
        );
        self.workers[key].short_poll = call;
    }

    /// Polls workers that are due, removes those that are lost or have left, and expires leases.
    pub(crate) fn tick_workers(&mut self, now: Time, out: &mut Vec<Output>) {
        let keys: Vec<_> = self.workers.keys().collect();
        for key in keys {
            let worker = &self.workers[key];
            if worker.missed_calls > 0 && worker.lease <= now && !worker.runs.is_empty() {
                self.expire_lease(now, key, out);
            }
            if self.workers[key].is_lost(now, self.config.remove_after) {
                self.remove_incarnation(now, key, Departure::Silent, out);
            } else if !self.remove_if_left(now, key, out) {
                self.poll(now, key, out);
            }
        }
    }

    /// Polls the worker of a domain with the most recent contact, unless one has answered within
    /// `PoolConfig::reach_window`. If it does not answer, the next calls try the others in turn until the domain counts
    /// as unreachable.
    pub(crate) fn check_reachable(&mut self, now: Time, domain: Domain, out: &mut Vec<Output>) {
        if self.is_reachable(now, domain, self.config.reach_window) {
            return;
        }
        let in_domain = self.workers.iter().filter(|(_, w)| w.domain == domain);
        let mut owned = in_domain.filter(|(_, w)| w.ownership == Ownership::Owned);
        // Workers that have missed a call are polled again anyway. An outstanding poll to one of them is no reason to
        // wait: with a few dead workers there always is one, and a domain whose other workers would answer would be
        // resigned.
        if owned
            .clone()
            .any(|(_, w)| w.long_poll.is_some() && w.missed_calls == 0)
        {
            return;
        }
        let answering = owned.by_ref().filter(|(_, w)| w.missed_calls == 0);
        let Some((key, _)) = answering.max_by_key(|(_, w)| w.last_contact) else {
            return;
        };
        self.workers[key].next_poll = now;
        self.poll(now, key, out);
    }

    /// Ends the runs of an unresponsive worker whose lease has expired, so that nothing runs there any more.
    fn expire_lease(&mut self, now: Time, key: WorkerKey, out: &mut Vec<Output>) {
        for run in self.workers[key].runs.clone() {
            self.lose_run(now, run, Loss::LeaseExpired, out);
        }
    }

    /// Ends a run whose end its worker has not listed, and requeues its task unless that is given up.
    pub(crate) fn lose_run(&mut self, now: Time, key: RunKey, loss: Loss, out: &mut Vec<Output>) {
        let Some(run) = self.remove_run(key) else {
            return;
        };
        out.push(Output::Event(PoolEvent::RunEnded {
            task: run.task,
            run: run.number,
            worker: self.workers[run.worker].announcement.id.clone(),
            how: loss.label(),
            took: now.since(run.started).as_millis() as u32,
        }));
        match loss {
            Loss::LeaseExpired => self.record_lease_expiry(now, &run, out),
            Loss::Crashed => self.record_crash(now, &run, out),
            Loss::Left => {}
        }
        if let Some(batch) = run.batch
            && !self.give_up(now, batch, run.task.index, out)
        {
            self.requeue_task(batch, run.task.index, run.number);
        }
    }

    /// Removes a worker on which nothing can run any more, or which has been replaced by another incarnation.
    pub(crate) fn remove_worker(
        &mut self,
        now: Time,
        key: WorkerKey,
        why: Departure,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let id = worker.announcement.id.clone();
        let addr = worker.announcement.addr;
        let runs = worker.runs.clone();
        let stage = worker.announcement.stage;
        out.push(Output::Event(PoolEvent::WorkerGone {
            worker: id.clone(),
            why,
            silent: now.since(worker.last_contact).as_millis() as u32,
            runs: runs.len(),
        }));
        let loss = match why {
            Departure::OtherIncarnation if stage == WorkerStage::Ready => Loss::Crashed,
            Departure::OtherIncarnation | Departure::Left | Departure::Silent => Loss::Left,
        };
        for run in runs {
            self.lose_run(now, run, loss, out);
        }
        if let Some(worker) = self.workers.remove(key) {
            self.removed.insert(id.clone(), (worker.restarts, now));
            if why == Departure::OtherIncarnation {
                self.incarnation_ended(now, &worker, out);
            }
        }
        self.worker_ids.remove(&id);
        self.remove_addr(addr);
        self.takeover.remove_worker(key);
    }

    /// Stops runs whose start or stop was not answered, unless a short poll of the worker is outstanding.
    pub(crate) fn stop_unconfirmed_runs(&mut self, now: Time, out: &mut Vec<Output>) {
        let unconfirmed: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_, run)| run.phase == Phase::Unconfirmed && !run.stopping)
            .filter(|(_, run)| self.workers[run.worker].short_poll.is_none())
            .map(|(key, _)| key)
            .collect();
        for key in unconfirmed {
            self.stop_run(now, key, out);
        }
    }

    /// Moves a late run if its remaining time here is much longer than a new run elsewhere would take.
    pub(crate) fn check_progress(
        &mut self,
        now: Time,
        key: RunKey,
        percent: u8,
        out: &mut Vec<Output>,
    ) {
        let run = self.runs[key];
        let took = now.since(run.started);
        let late = run.expected.mul_f64(LATE_FACTOR) + LATE_MARGIN;
        let not_moved = self.config.disabled.contains(Mechanism::Moving);
        if run.stopping || not_moved {
            return;
        }
        match self.moves_by_progress(now, key, percent) {
            Some(true) => {
                self.move_run(now, key, percent, out);
                return;
            }
            Some(false) => return,
            None if took < late => return,
            None => {}
        }
        let done = f64::from(percent.clamp(1, 100)) / 100.0;
        let remaining = took.mul_f64((1.0 - done) / done);
        let Some(batch) = run.batch.and_then(|batch| self.batches.get(batch)) else {
            return;
        };
        // Also uses the caller's estimate: run times learned from few tasks may be far too short, and then all workers
        // would look slow at the same time.
        let estimate = Duration::from_millis(batch.order.estimate.into());
        let usual = batch.expected.max(estimate);
        if remaining < usual.mul_f64(MOVE_FACTOR) || took < usual.mul_f64(LATE_FACTOR) {
            return;
        }
        let usual = usual.as_secs_f64().max(1e-3);
        let learns = !self.config.disabled.contains(Mechanism::Pace);
        let worker = &mut self.workers[run.worker];
        if learns && worker.suspicion.is_none() {
            worker.learn_pace(took.as_secs_f64() / done / usual);
        }
        let quarantine = !self.config.disabled.contains(Mechanism::Probation);
        if quarantine && (worker.pace > SLOW_PACE || percent == 0) {
            worker.quarantined_until = now + self.config.quarantine;
            worker.probation = true;
        }
        self.move_run(now, key, percent, out);
    }

    /// Stops a run to start its task elsewhere.
    fn move_run(&mut self, now: Time, key: RunKey, percent: u8, out: &mut Vec<Output>) {
        let run = self.runs[key];
        self.record_overstay(key);
        out.push(Output::Event(PoolEvent::Moved {
            task: run.task,
            worker: self.workers[run.worker].announcement.id.clone(),
            took: now.since(run.started).as_millis() as u32,
            expected: run.expected.as_millis() as u32,
            percent,
        }));
        self.stop_run(now, key, out);
    }
}

//! Looks at workers, leases, and runs that make no progress.

use std::time::Duration;

use celerywinch_types::{Domain, Mechanism, Time, WorkerClock, WorkerStage};

use crate::call::{CallPurpose, PollContext, PollKind, Request};
use crate::pool::{Output, Pool};
use crate::run::{Phase, RunKey};
use crate::worker::{Ownership, WorkerKey};
use crate::{Departure, PoolEvent};

/// A run is late when it takes this much longer than expected, ...
const LATE_FACTOR: f64 = 2.5;
/// ... and so much more: what a message and a look take, and what short tasks differ by.
const LATE_MARGIN: Duration = Duration::from_millis(100);
/// It is moved only if what remains here takes this much longer than starting anew elsewhere.
const MOVE_FACTOR: f64 = 1.5;
/// Most runs have ended when so many times the time is over that they were expected to take: run times
/// of one kind of job differ by a quarter, and what is learned of a worker's pace by some percent.
const PAST_EXPECTED: f64 = 1.3;
/// A worker this much slower than usual gets no work for a while.
const SLOW_PACE: f64 = 3.0;

/// How a run was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Loss {
    /// Its worker fell silent until its lease was over: it has crashed, or is cut off.
    LeaseExpired,
    /// The life of its worker has ended without a word.
    Crashed,
    /// Its worker has left as planned.
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
    /// Looks at a worker if that is due and none is under way.
    pub(crate) fn poll(&mut self, now: Time, key: WorkerKey, out: &mut Vec<Output>) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let busy = !worker.runs.is_empty() || worker.foreign_runs > 0;
        let due = worker.next_poll <= now || (busy && worker.missed_calls == 0);
        if worker.ownership == Ownership::None || worker.long_poll.is_some() || !due {
            return;
        }
        let own = worker.ownership == Ownership::Owned && !worker.runs.is_empty();
        let sure = worker.missed_calls == 0
            && worker.foreign_runs == 0
            && !self.has_suspended(now, worker);
        // A look that may get no answer extends no lease: the work of a silent worker could not be
        // started elsewhere as long as it is looked at. And as a lease holds for all that runs on a
        // worker, none is extended while something runs there that its own dispatcher, on the other
        // side of a cut, believes to end with the lease it gave; nor while a task runs there whose origin may
        // have it done elsewhere.
        let deadline = if own && sure {
            worker.deadline(now, self.config.lease)
        } else {
            None
        };
        let waits = own && worker.missed_calls == 0;
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
        let wait = if waits { self.look_wait(now, key) } else { 0 };
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

    /// How long a look waits for an end, in ms: until somewhat after the first one is expected. That a look is
    /// lost shows only when its wait is over, and until then the ends on that worker are not known.
    fn look_wait(&self, now: Time, key: WorkerKey) -> u32 {
        let runs = self.workers[key].runs.iter().map(|run| &self.runs[*run]);
        let left = runs.map(|run| (run.started + run.expected.mul_f64(PAST_EXPECTED)).since(now));
        let first = left.min().unwrap_or_default();
        let wait = first.max(self.config.min_wait).min(self.config.poll_wait);
        wait.as_millis() as u32
    }

    /// Looks at a worker at once, beside the look that may be waiting there for an end.
    ///
    /// An order without an answer was carried out, or will be later, or never. To stop it for safety's
    /// sake would throw away what is at work; to wait for the next look costs up to 150 ms, when
    /// the task may have less to spare, and the worker takes nothing meanwhile. It is asked at once.
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

    /// Looks that are due, workers that are gone, and leases that are over.
    pub(crate) fn tick_workers(&mut self, now: Time, out: &mut Vec<Output>) {
        let keys: Vec<_> = self.workers.keys().collect();
        for key in keys {
            let worker = &self.workers[key];
            if worker.missed_calls > 0 && worker.lease <= now && !worker.runs.is_empty() {
                self.expire_lease(now, key, out);
            }
            if self.workers[key].is_lost(now, self.config.remove_after) {
                self.remove_worker(now, key, Departure::Silent, out);
            } else if !self.remove_if_left(now, key, out) {
                self.poll(now, key, out);
            }
        }
    }

    /// Asks one worker of a domain for a sign of life: the one that was heard last. One after the other
    /// where they do not answer, until the domain counts as out of reach.
    pub(crate) fn check_reachable(&mut self, now: Time, domain: Domain, out: &mut Vec<Output>) {
        if self.is_reachable(now, domain, self.config.reach_window) {
            return;
        }
        let there = self.workers.iter().filter(|(_, w)| w.domain == domain);
        let mut held = there.filter(|(_, w)| w.ownership == Ownership::Owned);
        // Those that have missed a call are looked at again by themselves. That one of them is being asked is no
        // reason to wait: beside a few dead ones there always is, and a domain whose other workers would
        // answer would be given up.
        if held
            .clone()
            .any(|(_, w)| w.long_poll.is_some() && w.missed_calls == 0)
        {
            return;
        }
        let sound = held.by_ref().filter(|(_, w)| w.missed_calls == 0);
        let Some((key, _)) = sound.max_by_key(|(_, w)| w.last_contact) else {
            return;
        };
        self.workers[key].next_poll = now;
        self.poll(now, key, out);
    }

    /// The lease of a silent worker is over: nothing runs there any more.
    fn expire_lease(&mut self, now: Time, key: WorkerKey, out: &mut Vec<Output>) {
        for run in self.workers[key].runs.clone() {
            self.lose_run(now, run, Loss::LeaseExpired, out);
        }
    }

    pub(crate) fn lose_run(&mut self, now: Time, key: RunKey, loss: Loss, out: &mut Vec<Output>) {
        let Some(run) = self.remove_run(key) else {
            return;
        };
        out.push(Output::Event(PoolEvent::RunEnded {
            task: run.task,
            run: run.number,
            worker: self.workers[run.worker].note.id.clone(),
            how: loss.label(),
            took: now.since(run.started).as_millis() as u32,
        }));
        match loss {
            Loss::LeaseExpired => self.lease_expired_with(now, &run, out),
            Loss::Crashed => self.crashed_with(now, &run, out),
            Loss::Left => {}
        }
        if let Some(batch) = run.batch
            && !self.give_up(now, batch, run.task.index, out)
        {
            self.requeue_task(batch, run.task.index, run.number);
        }
    }

    /// Forgets a worker of which nothing can run any more, or which is another life by now.
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
        let id = worker.note.id.clone();
        let addr = worker.note.addr;
        let runs = worker.runs.clone();
        let stage = worker.note.stage;
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

    /// Orders and stops without an answer are stopped, unless the worker is being asked what it has.
    pub(crate) fn stop_unconfirmed_runs(&mut self, now: Time, out: &mut Vec<Output>) {
        let doubtful: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_, run)| run.phase == Phase::Unconfirmed && !run.stopping)
            .filter(|(_, run)| self.workers[run.worker].short_poll.is_none())
            .map(|(key, _)| key)
            .collect();
        for key in doubtful {
            self.stop_run(now, key, out);
        }
    }

    /// Moves a run that would take much longer here than from the start elsewhere.
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
        let stays = self.config.disabled.contains(Mechanism::Moving);
        if run.stopping || took < late || stays {
            return;
        }
        let done = f64::from(percent.clamp(1, 100)) / 100.0;
        let left = took.mul_f64((1.0 - done) / done);
        let Some(batch) = run.batch.and_then(|batch| self.batches.get(batch)) else {
            return;
        };
        // The caller's guess too: run times that were learned from few tasks may be far too short,
        // and then all workers would look slow at once.
        let guess = Duration::from_millis(batch.order.estimate.into());
        let usual = batch.expected.max(guess);
        if left < usual.mul_f64(MOVE_FACTOR) || took < usual.mul_f64(LATE_FACTOR) {
            return;
        }
        let usual = usual.as_secs_f64().max(1e-3);
        let worker = &mut self.workers[run.worker];
        if !self.config.disabled.contains(Mechanism::Pace) {
            worker.learn_pace(took.as_secs_f64() / done / usual);
        }
        let set_aside = !self.config.disabled.contains(Mechanism::Probation);
        if set_aside && (worker.pace > SLOW_PACE || percent == 0) {
            worker.quarantined_until = now + self.config.quarantine;
            worker.probation = true;
        }
        out.push(Output::Event(PoolEvent::Moved {
            task: run.task,
            worker: worker.note.id.clone(),
            took: took.as_millis() as u32,
            expected: run.expected.as_millis() as u32,
            percent,
        }));
        self.stop_run(now, key, out);
    }
}

//! Looks at workers, leases, and runs that make no progress.

use std::time::Duration;

use celerywinch_types::{Domain, Mechanism, Time, WorkerClock, WorkerStage};

use crate::call::{LookKind, Order, Pending, Question};
use crate::pool::{Output, Pool};
use crate::run::{Phase, RunKey};
use crate::worker::{Grip, WorkerKey};
use crate::{Departure, Note};

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
    Silenced,
    /// The life of its worker has ended without a word.
    Crashed,
    /// Its worker has left as planned.
    Left,
}

impl Loss {
    fn label(self) -> &'static str {
        match self {
            Self::Silenced => "lost",
            Self::Crashed | Self::Left => "gone",
        }
    }
}

impl Pool {
    /// Looks at a worker if that is due and none is under way.
    pub(crate) fn look(&mut self, now: Time, key: WorkerKey, out: &mut Vec<Output>) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        let busy = !worker.runs.is_empty() || worker.aliens > 0;
        let due = worker.look_at <= now || (busy && worker.silent == 0);
        if worker.grip == Grip::None || worker.look.is_some() || !due {
            return;
        }
        let own = worker.grip == Grip::Held && !worker.runs.is_empty();
        let sure = worker.silent == 0 && worker.aliens == 0 && !self.has_suspended(now, worker);
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
        let waits = own && worker.silent == 0;
        self.send_look(now, key, deadline, waits, out);
    }

    fn send_look(
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
            worker.lease = worker.lease.max(worker.bound(now, lease));
        }
        let cursor = worker.cursor;
        worker.look_at = Time::NEVER;
        let input = self.inputs;
        let kind = LookKind { input, cursor };
        let wait = if waits { self.look_wait(now, key) } else { 0 };
        let order = Order::Look {
            deadline,
            cursor,
            wait,
        };
        let call = self.call(key, Pending::Look(key, Question::Ends, kind), order, out);
        self.workers[key].look = call;
    }

    /// How long a look waits for an end, in ms: until somewhat after the first one is expected. That a look is
    /// lost shows only when its wait is over, and until then the ends on that worker are not known.
    fn look_wait(&self, now: Time, key: WorkerKey) -> u32 {
        let runs = self.workers[key].runs.iter().map(|run| &self.runs[*run]);
        let left = runs.map(|run| (run.started + run.expected.mul_f64(PAST_EXPECTED)).since(now));
        let first = left.min().unwrap_or_default();
        let wait = first.max(self.config.least_wait).min(self.config.look_wait);
        wait.as_millis() as u32
    }

    /// Looks at a worker at once, beside the look that may be waiting there for an end.
    ///
    /// An order without an answer was carried out, or will be later, or never. To stop it for safety's
    /// sake would throw away what is at work; to wait for the next look costs up to 150 ms, when
    /// the task may have less to spare, and the worker takes nothing meanwhile. It is asked at once.
    pub(crate) fn check(&mut self, key: WorkerKey, out: &mut Vec<Output>) {
        let input = self.inputs;
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        if worker.grip != Grip::Held || worker.check.is_some() {
            return;
        }
        let cursor = worker.cursor;
        let kind = LookKind { input, cursor };
        let order = Order::Look {
            deadline: None,
            cursor,
            wait: 0,
        };
        let call = self.call(key, Pending::Look(key, Question::Order, kind), order, out);
        self.workers[key].check = call;
    }

    /// Looks that are due, workers that are gone, and leases that are over.
    pub(crate) fn tend_workers(&mut self, now: Time, out: &mut Vec<Output>) {
        let keys: Vec<_> = self.workers.keys().collect();
        for key in keys {
            let worker = &self.workers[key];
            if worker.silent > 0 && worker.lease <= now && !worker.runs.is_empty() {
                self.lapse(now, key, out);
            }
            if self.workers[key].is_lost(now, self.config.forget) {
                self.forget_worker(now, key, Departure::Silent, out);
            } else if !self.forget_if_left(now, key, out) {
                self.look(now, key, out);
            }
        }
    }

    /// Asks one worker of a domain for a sign of life: the one that was heard last. One after the other
    /// where they do not answer, until the domain counts as out of reach.
    pub(crate) fn ask(&mut self, now: Time, domain: Domain, out: &mut Vec<Output>) {
        if self.reaches(now, domain, self.config.quiet) {
            return;
        }
        let there = self.workers.iter().filter(|(_, w)| w.domain == domain);
        let mut held = there.filter(|(_, w)| w.grip == Grip::Held);
        // Those that have missed a call are looked at again by themselves. That one of them is being asked is no
        // reason to wait: beside a few dead ones there always is, and a domain whose other workers would
        // answer would be given up.
        if held.clone().any(|(_, w)| w.look.is_some() && w.silent == 0) {
            return;
        }
        let sound = held.by_ref().filter(|(_, w)| w.silent == 0);
        let Some((key, _)) = sound.max_by_key(|(_, w)| w.heard) else {
            return;
        };
        self.workers[key].look_at = now;
        self.look(now, key, out);
    }

    /// The lease of a silent worker is over: nothing runs there any more.
    fn lapse(&mut self, now: Time, key: WorkerKey, out: &mut Vec<Output>) {
        for run in self.workers[key].runs.clone() {
            self.lose_run(now, run, Loss::Silenced, out);
        }
    }

    pub(crate) fn lose_run(&mut self, now: Time, key: RunKey, loss: Loss, out: &mut Vec<Output>) {
        let Some(run) = self.release(key) else {
            return;
        };
        out.push(Output::Note(Note::RunEnded {
            task: run.task,
            run: run.number,
            worker: self.workers[run.worker].note.id.clone(),
            how: loss.label(),
            took: now.since(run.started).as_millis() as u32,
        }));
        match loss {
            Loss::Silenced => self.silenced(now, &run, out),
            Loss::Crashed => self.ended_with(now, &run, out),
            Loss::Left => {}
        }
        if let Some(batch) = run.batch
            && !self.give_up(now, batch, run.task.index, out)
        {
            self.back_to_queue(batch, run.task.index, run.number);
        }
    }

    /// Forgets a worker of which nothing can run any more, or which is another life by now.
    pub(crate) fn forget_worker(
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
        out.push(Output::Note(Note::WorkerGone {
            worker: id.clone(),
            why,
            silent: now.since(worker.heard).as_millis() as u32,
            runs: runs.len(),
        }));
        let loss = match why {
            Departure::OtherLife if stage == WorkerStage::Ready => Loss::Crashed,
            Departure::OtherLife | Departure::Left | Departure::Silent => Loss::Left,
        };
        for run in runs {
            self.lose_run(now, run, loss, out);
        }
        if let Some(worker) = self.workers.remove(key) {
            self.forgotten.insert(id.clone(), (worker.lives, now));
            if why == Departure::OtherLife {
                self.life_ended(now, &worker, out);
            }
        }
        self.names.remove(&id);
        self.forget_addr(addr);
        self.takeover.forget(key);
    }

    /// Orders and stops without an answer are stopped, unless the worker is being asked what it has.
    pub(crate) fn tend_runs(&mut self, now: Time, out: &mut Vec<Output>) {
        let doubtful: Vec<RunKey> = self
            .runs
            .iter()
            .filter(|(_, run)| run.phase == Phase::Doubtful && !run.stopping)
            .filter(|(_, run)| self.workers[run.worker].check.is_none())
            .map(|(key, _)| key)
            .collect();
        for key in doubtful {
            self.stop_run(now, key, out);
        }
    }

    /// Moves a run that would take much longer here than from the start elsewhere.
    pub(crate) fn watch_progress(
        &mut self,
        now: Time,
        key: RunKey,
        percent: u8,
        out: &mut Vec<Output>,
    ) {
        let run = self.runs[key];
        let took = now.since(run.started);
        let late = run.expected.mul_f64(LATE_FACTOR) + LATE_MARGIN;
        let stays = self.config.without.contains(Mechanism::Moving);
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
        if !self.config.without.contains(Mechanism::Pace) {
            worker.learn_pace(took.as_secs_f64() / done / usual);
        }
        let set_aside = !self.config.without.contains(Mechanism::Probation);
        if set_aside && (worker.pace > SLOW_PACE || percent == 0) {
            worker.aside = now + self.config.aside;
            worker.probation = true;
        }
        out.push(Output::Note(Note::Moved {
            task: run.task,
            worker: worker.note.id.clone(),
            took: took.as_millis() as u32,
            expected: run.expected.as_millis() as u32,
            percent,
        }));
        self.stop_run(now, key, out);
    }
}

//! Taking workers over from another dispatcher, and giving them up.

use std::collections::{BTreeMap, BTreeSet};

use celerywinch_types::{Domain, Fence, Mechanism, PriorRuns, RunNumber, TaskEnd, TaskId, Time};

use crate::Note;
use crate::call::{EndedRow, How, Order, Pending, RunningRow};
use crate::job::{BatchKey, TaskState};
use crate::pool::{Output, Pool};
use crate::run::{Phase, Run};
use crate::worker::{Grip, Worker, WorkerKey};

/// How long ends found at a takeover wait for their origins.
const KEEP_ENDS: std::time::Duration = std::time::Duration::from_secs(3);

/// A run that another dispatcher started.
#[derive(Clone, Copy, Debug)]
struct Alien {
    worker: WorkerKey,
    run: RunNumber,
    found: Time,
    stopped: bool,
}

/// Runs and ends that were found and belong to no batch yet.
#[derive(Debug, Default)]
pub(crate) struct Takeover {
    aliens: BTreeMap<TaskId, Alien>,
    ends: BTreeMap<TaskId, (Time, How, RunNumber)>,
}

impl Takeover {
    pub(crate) fn forget(&mut self, worker: WorkerKey) {
        self.aliens.retain(|_, alien| alien.worker != worker);
    }
}

impl Pool {
    pub(crate) fn acquire(
        &mut self,
        now: Time,
        domain: Domain,
        fence: Fence,
        out: &mut Vec<Output>,
    ) {
        self.held.insert(domain, fence);
        let here = |worker: &Worker| worker.domain == domain;
        let workers = self.workers.iter().filter(|(_, w)| here(w));
        let keys: Vec<_> = workers.map(|(key, _)| key).collect();
        out.push(Output::Note(Note::Acquired {
            domain,
            workers: keys.len(),
        }));
        for key in keys {
            self.workers[key].lives = 0;
            self.take_worker(now, key, out);
        }
    }

    /// The first look shows the fencing token, and extends no lease: what runs there may be wanted
    /// by nobody.
    pub(crate) fn take_worker(&mut self, now: Time, key: WorkerKey, out: &mut Vec<Output>) {
        let worker = &mut self.workers[key];
        worker.grip = Grip::Taking;
        worker.look_at = now;
        self.look(now, key, out);
    }

    pub(crate) fn taken_over(
        &mut self,
        now: Time,
        key: WorkerKey,
        running: &[RunningRow],
        out: &mut Vec<Output>,
    ) {
        self.settle_inherited(now, key, running, out);
        let own: BTreeSet<_> = self.workers[key]
            .runs
            .iter()
            .map(|run| self.runs[*run].task)
            .collect();
        let running: Vec<_> = running
            .iter()
            .filter(|row| !own.contains(&row.task))
            .copied()
            .collect();
        for row in &running {
            let alien = Alien {
                worker: key,
                run: row.run,
                found: now,
                stopped: false,
            };
            let known = self.takeover.aliens.get(&row.task);
            if known.is_none_or(|known| known.run <= row.run) {
                self.takeover.aliens.insert(row.task, alien);
            }
        }
        let worker = &mut self.workers[key];
        worker.grip = Grip::Held;
        // The dispatcher before may have extended the lease just now. Without that, runs that are
        // adopted would be taken for ended as soon as the worker misses a call.
        if !running.is_empty() || !own.is_empty() {
            worker.lease = worker.lease.max(Worker::longest(now, self.config.lease));
        }
        worker.aliens = running.len();
        worker.look_at = now + self.config.tidy;
        out.push(Output::Note(Note::WorkerHeld {
            worker: worker.note.id.clone(),
            found: running.len(),
        }));
        // Origins that were faster than this look wait for what it shows.
        for row in &running {
            if let Some(batch) = self.jobs.get(&(row.task.job, row.task.step)).copied() {
                self.settle(now, batch, row.task.index);
            }
        }
    }

    /// A task in doubt: found at work, found ended, or in limbo until it must have ended.
    pub(crate) fn settle(&mut self, now: Time, key: BatchKey, index: u16) {
        let batch = &self.batches[key];
        let id = batch.id(index);
        let Some(task) = batch.tasks.get(&index).copied() else {
            return;
        };
        if matches!(task.state, TaskState::Running(_)) {
            return;
        }
        if let Some((_, how, run)) = self.takeover.ends.get(&id).copied()
            && self.settle_by_end(now, key, index, how, run)
        {
            self.takeover.ends.remove(&id);
            return;
        }
        let open = task.doubt == PriorRuns::Unknown;
        match self.takeover.aliens.get(&id).copied() {
            Some(alien)
                if !alien.stopped
                    && (open || alien.run == task.run)
                    && !self.config.without.contains(Mechanism::Adoption) =>
            {
                self.takeover.aliens.remove(&id);
                self.adopt_run(now, key, index, alien);
            }
            _ => self.set_task(key, index, TaskState::Limbo(now + self.config.limbo)),
        }
    }

    /// An end that was found settles a task if it is the end of the last run there can be; a result
    /// settles it always. An older run that was cut says nothing of a later one.
    fn settle_by_end(
        &mut self,
        now: Time,
        key: BatchKey,
        index: u16,
        how: How,
        run: RunNumber,
    ) -> bool {
        let long_way = self.config.without.contains(Mechanism::Shortcuts);
        let Some(task) = self.batches[key].tasks.get_mut(&index) else {
            return false;
        };
        let last = task.doubt == PriorRuns::Last && run == task.run && !long_way;
        match how {
            How::Done => self.finish(now, key, index, TaskEnd::Done),
            How::Failed | How::Cut if last => {
                task.failures += u32::from(how == How::Failed);
                self.back_to_queue(key, index, run);
            }
            How::Failed | How::Cut => return false,
        }
        true
    }

    fn adopt_run(&mut self, now: Time, key: BatchKey, index: u16, alien: Alien) {
        let batch = &self.batches[key];
        let run = Run {
            task: batch.id(index),
            batch: Some(key),
            worker: alien.worker,
            number: alien.run,
            need: batch.order.need,
            started: now,
            expected: batch.expected,
            phase: Phase::Running(self.inputs),
            suspect: batch.tasks[&index].crashes.is_suspect(),
            probe: false,
            adopted: true,
            stopping: false,
            stopped: false,
        };
        let run_key = self.occupy(run);
        self.batches[key].begun = true;
        self.set_task(key, index, TaskState::Running(run_key));
        if let Some(task) = self.batches[key].tasks.get_mut(&index) {
            task.run = task.run.max(alien.run);
        }
        let worker = &mut self.workers[alien.worker];
        worker.aliens = worker.aliens.saturating_sub(1);
        worker.look_at = now;
    }

    pub(crate) fn set_task(&mut self, key: BatchKey, index: u16, state: TaskState) {
        self.unqueue(key);
        if let Some(task) = self.batches[key].tasks.get_mut(&index) {
            task.state = state;
        }
        self.requeue(key);
    }

    pub(crate) fn alien_ended(&mut self, now: Time, key: WorkerKey, row: &EndedRow) {
        // An earlier run of the task may have ended on another worker: this one goes on.
        let this = |alien: &Alien| alien.worker == key && alien.run == row.run;
        if self.takeover.aliens.get(&row.task).is_some_and(this) {
            self.takeover.aliens.remove(&row.task);
            let worker = &mut self.workers[key];
            worker.aliens = worker.aliens.saturating_sub(1);
        }
        let batch = self.jobs.get(&(row.task.job, row.task.step)).copied();
        let limbo = batch.is_some_and(|batch| {
            let task = self.batches[batch].tasks.get(&row.task.index);
            task.is_some_and(|task| matches!(task.state, TaskState::Limbo(_)))
        });
        let settled = match batch {
            Some(batch) if limbo => {
                self.settle_by_end(now, batch, row.task.index, row.how, row.run)
            }
            _ => false,
        };
        if !settled {
            let ends = &mut self.takeover.ends;
            let known = ends.get(&row.task).map(|(_, _, run)| *run);
            if known.is_none_or(|known| known <= row.run) {
                ends.insert(row.task, (now, row.how, row.run));
            }
        }
    }

    /// Runs that are listed no more have ended, or belong to another list by now. What is listed and is
    /// not known was started late, or by another dispatcher, and nobody waits for it: it is stopped.
    pub(crate) fn check_aliens(&mut self, now: Time, key: WorkerKey, running: &[RunningRow]) {
        let listed = |task: &TaskId| running.iter().any(|row| row.task == *task);
        let aliens = &mut self.takeover.aliens;
        aliens.retain(|task, alien| alien.worker != key || listed(task));
        let own = self.workers[key].runs.iter();
        let own: BTreeSet<_> = own.map(|run| self.runs[*run].task).collect();
        for row in running.iter().filter(|row| !own.contains(&row.task)) {
            aliens.entry(row.task).or_insert(Alien {
                worker: key,
                run: row.run,
                found: now,
                stopped: false,
            });
        }
        let left = aliens.values().filter(|alien| alien.worker == key).count();
        self.workers[key].aliens = left;
    }

    /// Stops what nobody wants, and starts what must have ended by now.
    pub(crate) fn tend_takeover(&mut self, now: Time, out: &mut Vec<Output>) {
        let ends = &mut self.takeover.ends;
        ends.retain(|_, (at, _, _)| now.since(*at) <= KEEP_ENDS);
        self.stop_aliens(now, out);
        self.leave_limbo(now);
    }

    fn stop_aliens(&mut self, now: Time, out: &mut Vec<Output>) {
        let adopt = self.config.adopt;
        let mut unwanted = Vec::new();
        for (task, alien) in &mut self.takeover.aliens {
            if !alien.stopped && now.since(alien.found) >= adopt {
                alien.stopped = true;
                unwanted.push((*task, *alien));
            }
        }
        for (task, alien) in unwanted {
            let order = Order::Stop {
                task,
                run: alien.run,
            };
            self.call(alien.worker, Pending::StopAlien(alien.worker), order, out);
        }
    }

    fn leave_limbo(&mut self, now: Time) {
        let keys: Vec<_> = self.batches.keys().collect();
        for key in keys {
            let over = |state: &TaskState| matches!(state, TaskState::Limbo(t) if *t <= now);
            let batch = &self.batches[key];
            let tasks = batch.tasks.iter().filter(|(_, task)| over(&task.state));
            let due: Vec<u16> = tasks.map(|(index, _)| *index).collect();
            for index in due {
                if let Some(task) = self.batches[key].tasks.get_mut(&index) {
                    task.run = task.run.past_unreported();
                }
                self.set_task(key, index, TaskState::Waiting);
            }
        }
    }

    /// Gives a domain up: all that may run there goes back to its origins as unsure, and what
    /// waits goes back if nothing is held any more.
    pub(crate) fn resign(&mut self, now: Time, domain: Domain, out: &mut Vec<Output>) {
        self.held.remove(&domain);
        let here = |worker: &Worker| worker.domain == domain;
        let workers = self.workers.iter().filter(|(_, w)| here(w));
        let keys: Vec<_> = workers.map(|(key, _)| key).collect();
        let mut given = 0;
        for key in keys {
            for run in self.workers[key].runs.clone() {
                if let Some(run) = self.runs.remove(run)
                    && let Some(batch) = run.batch
                {
                    given += 1;
                    self.return_task(now, batch, run.task.index, Some(domain));
                }
            }
            self.takeover.forget(key);
            self.workers[key].let_go();
        }
        if self.held.is_empty() {
            given += self.return_queue(now);
        }
        out.push(Output::Note(Note::Resigned {
            domain,
            tasks: given,
        }));
    }

    fn return_task(&mut self, now: Time, key: BatchKey, index: u16, at: Option<Domain>) {
        let task = self.batches.get(key).and_then(|b| b.tasks.get(&index));
        let Some(task) = task.copied() else {
            return;
        };
        let end = TaskEnd::Returned {
            at,
            failures: task.failures,
            run: task.run,
        };
        self.finish(now, key, index, end);
    }

    fn return_doubtful(&mut self, now: Time, key: BatchKey, index: u16) {
        self.finish(now, key, index, TaskEnd::Undetermined);
    }

    fn return_queue(&mut self, now: Time) -> usize {
        let mut given = 0;
        let keys: Vec<_> = self.batches.keys().collect();
        for key in keys {
            let Some(batch) = self.batches.get(key) else {
                continue;
            };
            self.queue.remove(self.rank(key, batch));
            let tasks: Vec<_> = batch.tasks.iter().map(|(i, t)| (*i, t.state)).collect();
            for (index, state) in tasks {
                given += 1;
                match state {
                    TaskState::Waiting => self.return_task(now, key, index, None),
                    // As doubtful as it came; its origin knows since when.
                    TaskState::Limbo(_) | TaskState::Running(_) => {
                        self.return_doubtful(now, key, index);
                    }
                }
            }
        }
        given
    }
}

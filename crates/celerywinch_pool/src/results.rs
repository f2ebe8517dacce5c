//! What came of calls.

use celerywinch_types::{Mechanism, RunNumber, TaskEnd, Time, WorkerClock, WorkerStage};

use crate::call::{
    Answer, CallKey, EndedRow, How, LookKind, Pending, Question, Reject, RunningRow,
};
use crate::job::BatchKey;
use crate::pool::{Output, Pool};
use crate::run::{Phase, Run, RunKey};
use crate::worker::{Grip, WorkerKey};
use crate::{Departure, Note};

/// Added to a run number that a worker calls old: past any that an earlier origin can have used.
const RUN_LEAP: u64 = 1 << 20;
/// A worker that missed so many calls in a row may be gone.
pub(crate) const SILENT_LOOKS: u32 = 2;
/// A worker that failed this share of its last tasks gets none for a while.
const FAILING: f64 = 0.5;

impl Pool {
    pub(crate) fn answered(
        &mut self,
        now: Time,
        key: CallKey,
        answer: Answer,
        out: &mut Vec<Output>,
    ) {
        let sent = self.calls.remove(key);
        let Some(sent) = sent.filter(|sent| self.workers.contains_key(sent.worker)) else {
            return;
        };
        match sent.pending {
            Pending::Start(run) => self.start_answered(now, run, answer, out),
            Pending::Stop(run) => self.stop_answered(now, run, &answer, out),
            Pending::StopAlien(worker) => {
                if let Some(clock) = clock_of(&answer) {
                    self.read_clock(now, worker, clock);
                }
            }
            // Of a worker that was given up meanwhile the lists tell of another dispatcher's work, and to
            // take note of ends would hide them when the worker is taken over again.
            Pending::Look(worker, question, kind) => {
                let looked = self.workers.get_mut(worker);
                if looked.is_some_and(|worker| *worker.asked(question) == Some(key)) {
                    self.look_answered(now, worker, question, kind, answer, out);
                }
            }
        }
    }

    fn read_clock(&mut self, now: Time, worker: WorkerKey, clock: WorkerClock) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.read_clock(now, clock);
        }
    }

    fn start_answered(&mut self, now: Time, key: RunKey, answer: Answer, out: &mut Vec<Output>) {
        let Some(run) = self.runs.get(key).copied() else {
            return;
        };
        if let Some(clock) = clock_of(&answer) {
            self.read_clock(now, run.worker, clock);
            if let Some(worker) = self.workers.get_mut(run.worker) {
                worker.patience.learn(now.since(run.started));
            }
            self.answers.learn(now.since(run.started));
        }
        let heard = Phase::Running(self.inputs);
        match answer {
            Answer::Taken(_) | Answer::Lists { .. } => self.set_phase(key, heard),
            Answer::Rejected(reject, _) => self.start_rejected(now, key, run, reject, out),
            Answer::OtherLife => self.forget_worker(now, run.worker, Departure::OtherLife, out),
            Answer::Refused => {
                self.not_started(now, key, out);
                self.missed(now, run.worker, out);
            }
            Answer::Silent => {
                self.missed(now, run.worker, out);
                if run.stopped {
                    // Whether it runs or not, it is not started after that; the next look shows it.
                    self.set_phase(key, heard);
                } else {
                    // It may have started, or start later.
                    self.set_phase(key, Phase::Doubtful);
                    self.check(run.worker, out);
                }
            }
        }
    }

    fn start_rejected(
        &mut self,
        now: Time,
        key: RunKey,
        run: Run,
        reject: Reject,
        out: &mut Vec<Output>,
    ) {
        let worker = &mut self.workers[run.worker];
        match reject {
            Reject::Fence => {
                out.push(Output::Outbid(worker.domain));
                // Left as it is: the data centre is resigned, and the task goes to its holder.
                return;
            }
            Reject::Unwell => {
                worker.aside = now + self.config.aside;
                worker.probation = true;
                let why = "it says that it is not well";
                let worker = worker.note.id.clone();
                out.push(Output::Note(Note::WorkerAside { worker, why }));
            }
            Reject::Room => {
                // It has more to do than is known here; the next look tells.
                worker.aside = now + self.config.stop;
                worker.look_at = now;
            }
            Reject::Malformed => {
                if let Some(batch) = run.batch {
                    self.release(key);
                    self.finish(now, batch, run.task.index, TaskEnd::Failed);
                }
                return;
            }
            Reject::Old | Reject::Late => {}
        }
        let leap = if reject == Reject::Old { RUN_LEAP } else { 0 };
        self.release(key);
        if let Some(batch) = run.batch {
            self.back_to_queue(batch, run.task.index, RunNumber(run.number.0 + leap));
        }
    }

    /// The order surely had no effect.
    fn not_started(&mut self, _now: Time, key: RunKey, _out: &mut Vec<Output>) {
        if let Some(run) = self.release(key)
            && let Some(batch) = run.batch
        {
            self.back_to_queue(batch, run.task.index, run.number);
        }
    }

    fn stop_answered(&mut self, now: Time, key: RunKey, answer: &Answer, out: &mut Vec<Output>) {
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        run.stopping = false;
        let worker = run.worker;
        if let Some(clock) = clock_of(answer) {
            self.read_clock(now, worker, clock);
        }
        match answer {
            Answer::Taken(_) | Answer::Lists { .. } => {
                // Refused from now on if it was not there; else its end is listed soon.
                let heard = Phase::Running(self.inputs);
                let mut doubtful = false;
                if let Some(run) = self.runs.get_mut(key) {
                    run.stopping = true;
                    run.stopped = true;
                    doubtful = run.phase == Phase::Doubtful;
                    if doubtful {
                        run.phase = heard;
                    }
                }
                if doubtful {
                    self.check(worker, out);
                }
                self.workers[worker].look_at = now + self.config.stop;
                self.look(now, worker, out);
            }
            Answer::OtherLife => self.forget_worker(now, worker, Departure::OtherLife, out),
            Answer::Rejected(Reject::Fence, _) => {
                let domain = self.workers[worker].domain;
                out.push(Output::Outbid(domain));
            }
            // Tried again with the next tick, until the lease is over.
            Answer::Rejected(..) | Answer::Refused | Answer::Silent => {
                self.set_phase(key, Phase::Doubtful);
                self.missed(now, worker, out);
            }
        }
    }

    fn look_answered(
        &mut self,
        now: Time,
        key: WorkerKey,
        question: Question,
        kind: LookKind,
        answer: Answer,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        *worker.asked(question) = None;
        match answer {
            Answer::Lists {
                incarnation: Some(life),
                ..
            } if worker.is_other(life) => {
                self.other_life_answers(now, key, life, out);
                return;
            }
            Answer::Lists {
                clock,
                running,
                ended,
                ..
            } => {
                worker.read_clock(now, clock);
                worker.acknowledged = worker.acknowledged.max(kind.cursor);
                self.take_lists(now, key, kind, &running, &ended, out);
                if question == Question::Order {
                    // What is still in doubt was not there: a stop keeps it from starting later.
                    self.tend_runs(now, out);
                }
            }
            Answer::Rejected(Reject::Fence, _) => out.push(Output::Outbid(worker.domain)),
            Answer::OtherLife => self.forget_worker(now, key, Departure::OtherLife, out),
            Answer::Taken(_) | Answer::Rejected(..) | Answer::Refused | Answer::Silent => {
                self.missed(now, key, out);
            }
        }
        self.look(now, key, out);
    }

    /// A call had no answer.
    fn missed(&mut self, now: Time, key: WorkerKey, out: &mut Vec<Output>) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.miss(now);
        let retry = if worker.silent <= 2 && !worker.runs.is_empty() {
            std::time::Duration::ZERO
        } else {
            self.config.retry
        };
        worker.look_at = now + retry;
        if worker.silent == SILENT_LOOKS {
            let looks = worker.silent;
            let worker = worker.note.id.clone();
            out.push(Output::Note(Note::WorkerSilent { worker, looks }));
            self.suspect_runs(now, key, out);
        }
    }

    fn take_lists(
        &mut self,
        now: Time,
        key: WorkerKey,
        kind: LookKind,
        running: &[RunningRow],
        ended: &[EndedRow],
        out: &mut Vec<Output>,
    ) {
        for row in ended {
            self.take_end(now, key, row, out);
        }
        if self.workers[key].grip == Grip::Taking {
            self.taken_over(now, key, running, out);
            return;
        }
        // A list that was asked for before one that was read already may show what is over.
        if self.workers[key].listed <= kind.input {
            self.workers[key].listed = kind.input;
            self.check_aliens(now, key, running);
        }
        for run in self.workers[key].runs.clone() {
            self.compare(now, run, kind, running, out);
        }
        let worker = &mut self.workers[key];
        let idle = worker.runs.is_empty() && worker.aliens == 0;
        worker.look_at = if idle && worker.cursor > worker.acknowledged {
            now + self.config.tidy
        } else if idle {
            now + worker.idle_wait(self.config.idle)
        } else {
            now
        };
    }

    fn take_end(&mut self, now: Time, key: WorkerKey, row: &EndedRow, out: &mut Vec<Output>) {
        let worker = &mut self.workers[key];
        if row.serial <= worker.cursor {
            return;
        }
        worker.cursor = row.serial;
        let known = worker.runs.iter().copied().find(|run| {
            let run = &self.runs[*run];
            run.task == row.task && run.number == row.run
        });
        match known {
            Some(run) => self.run_ended(now, run, row.how, out),
            None => self.alien_ended(now, key, row),
        }
    }

    fn run_ended(&mut self, now: Time, key: RunKey, how: How, out: &mut Vec<Output>) {
        let Some(run) = self.release(key) else {
            return;
        };
        self.note_end(now, &run, how, out);
        let Some(batch) = run.batch else {
            return;
        };
        match how {
            How::Done => {
                self.prove_batch(Some(batch));
                self.learn(now, &run, batch);
                self.finish(now, batch, run.task.index, TaskEnd::Done);
            }
            How::Failed => self.run_failed(now, &run, batch, out),
            How::Cut => self.back_to_queue(batch, run.task.index, run.number),
        }
    }

    fn note_end(&self, now: Time, run: &Run, how: How, out: &mut Vec<Output>) {
        let how = match how {
            How::Done => "done",
            How::Failed => "failed",
            How::Cut => "cut",
        };
        out.push(Output::Note(Note::RunEnded {
            task: run.task,
            run: run.number,
            worker: self.workers[run.worker].note.id.clone(),
            how,
            took: now.since(run.started).as_millis() as u32,
        }));
    }

    fn learn(&mut self, now: Time, run: &Run, batch: BatchKey) {
        let took = now.since(run.started);
        let order = &self.batches[batch].order;
        let worker = &mut self.workers[run.worker];
        worker.succeeded();
        if run.adopted {
            return;
        }
        let usual = run.expected.as_secs_f64() / worker.pace.max(f64::EPSILON);
        let without = self.config.without;
        if !without.contains(Mechanism::Learning) {
            self.times
                .learn(&order.queue, order.estimate, took.div_f64(worker.pace));
        }
        if !without.contains(Mechanism::Pace) {
            worker.learn_pace(took.as_secs_f64() / usual.max(1e-3));
        }
    }

    /// A task that fails on several workers is at fault itself; one that fails on a worker which
    /// fails others too is not.
    fn run_failed(&mut self, now: Time, run: &Run, batch: BatchKey, out: &mut Vec<Output>) {
        let index = run.task.index;
        let Some(task) = self.batches[batch].tasks.get_mut(&index) else {
            return;
        };
        task.failures += 1;
        let earlier = task.avoid.replace(run.worker);
        let failures = task.failures;
        match earlier {
            Some(other) if other != run.worker => {
                if let Some(other) = self.workers.get_mut(other) {
                    other.forgive();
                }
            }
            _ => self.blame(now, run.worker, out),
        }
        if failures >= self.batches[batch].order.attempts {
            self.finish(now, batch, index, TaskEnd::Failed);
        } else {
            self.back_to_queue(batch, index, run.number);
        }
    }

    fn blame(&mut self, now: Time, key: WorkerKey, out: &mut Vec<Output>) {
        let worker = &mut self.workers[key];
        worker.failed();
        let set_aside = !self.config.without.contains(Mechanism::Probation);
        if set_aside && worker.failing >= FAILING && worker.note.stage == WorkerStage::Ready {
            worker.aside = now + self.config.aside;
            worker.probation = true;
            let worker = worker.note.id.clone();
            let why = "it fails tasks";
            out.push(Output::Note(Note::WorkerAside { worker, why }));
        }
    }

    /// Compares what is believed of a run with what the worker lists.
    fn compare(
        &mut self,
        now: Time,
        key: RunKey,
        kind: LookKind,
        running: &[RunningRow],
        out: &mut Vec<Output>,
    ) {
        let Some(run) = self.runs.get(key).copied() else {
            return;
        };
        let row = running
            .iter()
            .find(|row| row.task == run.task && row.run == run.number);
        match (row, run.phase) {
            (Some(row), Phase::Running(_)) => {
                self.seen_at_work(now, &run);
                self.watch_progress(now, key, row.percent, out);
            }
            (Some(_), Phase::Starting | Phase::Doubtful) => {
                self.seen_at_work(now, &run);
                self.set_phase(key, Phase::Running(self.inputs));
            }
            // Confirmed before the look was sent, and neither at work nor ended: it is gone.
            (None, Phase::Running(heard)) if heard <= kind.input => {
                self.run_ended(now, key, How::Cut, out);
            }
            (None, _) => {}
        }
    }
}

fn clock_of(answer: &Answer) -> Option<WorkerClock> {
    match answer {
        Answer::Taken(clock) | Answer::Lists { clock, .. } => Some(*clock),
        Answer::Rejected(_, clock) => *clock,
        Answer::OtherLife | Answer::Refused | Answer::Silent => None,
    }
}

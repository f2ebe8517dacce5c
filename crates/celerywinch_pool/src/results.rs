//! What came of calls.

use celerywinch_types::{Mechanism, RunNumber, TaskEnd, Time, WorkerClock, WorkerStage};

use crate::call::{
    Answer, CallKey, CallPurpose, EndedRow, PollContext, PollKind, Rejection, RunEnd, RunningRow,
};
use crate::job::BatchKey;
use crate::pool::{Output, Pool};
use crate::run::{Phase, Run, RunKey};
use crate::worker::{Ownership, WorkerKey};
use crate::{Departure, PoolEvent};

/// Added to a run number that a worker calls old: past any that an earlier origin can have used.
const RUN_LEAP: u64 = 1 << 20;
/// A worker that missed so many calls in a row may be gone.
pub(crate) const SILENT_AFTER: u32 = 2;
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
        match sent.purpose {
            CallPurpose::Start(run) => self.start_answered(now, run, answer, out),
            CallPurpose::Stop(run) => self.stop_answered(now, run, &answer, out),
            CallPurpose::StopForeign(worker) => {
                if let Some(clock) = clock_of(&answer) {
                    self.read_clock(now, worker, clock);
                }
            }
            // Of a worker that was given up meanwhile the lists tell of another dispatcher's work, and to
            // take note of ends would hide them when the worker is taken over again.
            CallPurpose::Poll(worker, kind, context) => {
                let looked = self.workers.get_mut(worker);
                if looked.is_some_and(|worker| *worker.outstanding_poll(kind) == Some(key)) {
                    self.poll_answered(now, worker, kind, context, answer, out);
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
                worker.answer_times.record(now.since(run.started));
            }
            self.answer_times.record(now.since(run.started));
        }
        let confirmed = Phase::Running(self.input_count);
        match answer {
            Answer::Accepted(_) | Answer::Lists { .. } => self.set_phase(key, confirmed),
            Answer::Rejected(reject, _) => self.start_rejected(now, key, run, reject, out),
            Answer::OtherIncarnation => {
                self.remove_worker(now, run.worker, Departure::OtherIncarnation, out)
            }
            Answer::ConnectionRefused => {
                self.not_started(now, key, out);
                self.missed(now, run.worker, out);
            }
            Answer::NoAnswer => {
                self.missed(now, run.worker, out);
                if run.stop_accepted {
                    // Whether it runs or not, it is not started after that; the next look shows it.
                    self.set_phase(key, confirmed);
                } else {
                    // It may have started, or start later.
                    self.set_phase(key, Phase::Unconfirmed);
                    self.short_poll(run.worker, out);
                }
            }
        }
    }

    fn start_rejected(
        &mut self,
        now: Time,
        key: RunKey,
        run: Run,
        reject: Rejection,
        out: &mut Vec<Output>,
    ) {
        let worker = &mut self.workers[run.worker];
        match reject {
            Rejection::StaleFence => {
                out.push(Output::Fenced(worker.domain));
                // Left as it is: the data centre is resigned, and the task goes to its holder.
                return;
            }
            Rejection::Unhealthy => {
                worker.quarantined_until = now + self.config.quarantine;
                worker.probation = true;
                let why = "it says that it is not well";
                let worker = worker.note.id.clone();
                out.push(Output::Event(PoolEvent::WorkerAside { worker, why }));
            }
            Rejection::NoCapacity => {
                // It has more to do than is known here; the next look tells.
                worker.quarantined_until = now + self.config.stop_delay;
                worker.next_poll = now;
            }
            Rejection::Malformed => {
                if let Some(batch) = run.batch {
                    self.remove_run(key);
                    self.finish_task(now, batch, run.task.index, TaskEnd::Failed);
                }
                return;
            }
            Rejection::StaleRun | Rejection::LeaseExpired => {}
        }
        let leap = if reject == Rejection::StaleRun {
            RUN_LEAP
        } else {
            0
        };
        self.remove_run(key);
        if let Some(batch) = run.batch {
            self.requeue_task(batch, run.task.index, RunNumber(run.number.0 + leap));
        }
    }

    /// The order surely had no effect.
    fn not_started(&mut self, _now: Time, key: RunKey, _out: &mut Vec<Output>) {
        if let Some(run) = self.remove_run(key)
            && let Some(batch) = run.batch
        {
            self.requeue_task(batch, run.task.index, run.number);
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
            Answer::Accepted(_) | Answer::Lists { .. } => {
                // Refused from now on if it was not there; else its end is listed soon.
                let confirmed = Phase::Running(self.input_count);
                let mut doubtful = false;
                if let Some(run) = self.runs.get_mut(key) {
                    run.stopping = true;
                    run.stop_accepted = true;
                    doubtful = run.phase == Phase::Unconfirmed;
                    if doubtful {
                        run.phase = confirmed;
                    }
                }
                if doubtful {
                    self.short_poll(worker, out);
                }
                self.workers[worker].next_poll = now + self.config.stop_delay;
                self.poll(now, worker, out);
            }
            Answer::OtherIncarnation => {
                self.remove_worker(now, worker, Departure::OtherIncarnation, out)
            }
            Answer::Rejected(Rejection::StaleFence, _) => {
                let domain = self.workers[worker].domain;
                out.push(Output::Fenced(domain));
            }
            // Tried again with the next tick, until the lease is over.
            Answer::Rejected(..) | Answer::ConnectionRefused | Answer::NoAnswer => {
                self.set_phase(key, Phase::Unconfirmed);
                self.missed(now, worker, out);
            }
        }
    }

    fn poll_answered(
        &mut self,
        now: Time,
        key: WorkerKey,
        kind: PollKind,
        context: PollContext,
        answer: Answer,
        out: &mut Vec<Output>,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        *worker.outstanding_poll(kind) = None;
        match answer {
            Answer::Lists {
                incarnation: Some(life),
                ..
            } if worker.is_other_incarnation(life) => {
                self.other_incarnation_answered(now, key, life, out);
                return;
            }
            Answer::Lists {
                clock,
                running,
                ended,
                ..
            } => {
                worker.read_clock(now, clock);
                worker.acked_cursor = worker.acked_cursor.max(context.cursor);
                self.take_lists(now, key, context, &running, &ended, out);
                if kind == PollKind::Short {
                    // What is still in doubt was not there: a stop keeps it from starting later.
                    self.stop_unconfirmed_runs(now, out);
                }
            }
            Answer::Rejected(Rejection::StaleFence, _) => out.push(Output::Fenced(worker.domain)),
            Answer::OtherIncarnation => {
                self.remove_worker(now, key, Departure::OtherIncarnation, out)
            }
            Answer::Accepted(_)
            | Answer::Rejected(..)
            | Answer::ConnectionRefused
            | Answer::NoAnswer => {
                self.missed(now, key, out);
            }
        }
        self.poll(now, key, out);
    }

    /// A call had no answer.
    fn missed(&mut self, now: Time, key: WorkerKey, out: &mut Vec<Output>) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        worker.record_miss(now);
        let retry = if worker.missed_calls <= 2 && !worker.runs.is_empty() {
            std::time::Duration::ZERO
        } else {
            self.config.retry_delay
        };
        worker.next_poll = now + retry;
        if worker.missed_calls == SILENT_AFTER {
            let looks = worker.missed_calls;
            let worker = worker.note.id.clone();
            out.push(Output::Event(PoolEvent::WorkerSilent { worker, looks }));
            self.suspect_runs(now, key, out);
        }
    }

    fn take_lists(
        &mut self,
        now: Time,
        key: WorkerKey,
        context: PollContext,
        running: &[RunningRow],
        ended: &[EndedRow],
        out: &mut Vec<Output>,
    ) {
        for row in ended {
            self.take_end(now, key, row, out);
        }
        if self.workers[key].ownership == Ownership::Acquiring {
            self.worker_taken_over(now, key, running, out);
            return;
        }
        // A list that was asked for before one that was read already may show what is over.
        if self.workers[key].list_input <= context.input {
            self.workers[key].list_input = context.input;
            self.update_foreign_runs(now, key, running);
        }
        for run in self.workers[key].runs.clone() {
            self.compare(now, run, context, running, out);
        }
        let worker = &mut self.workers[key];
        let idle = worker.runs.is_empty() && worker.foreign_runs == 0;
        worker.next_poll = if idle && worker.cursor > worker.acked_cursor {
            now + self.config.ack_delay
        } else if idle {
            now + worker.idle_interval(self.config.idle_interval)
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
            Some(run) => self.run_ended(now, run, row.end, out),
            None => self.foreign_run_ended(now, key, row),
        }
    }

    fn run_ended(&mut self, now: Time, key: RunKey, how: RunEnd, out: &mut Vec<Output>) {
        let Some(run) = self.remove_run(key) else {
            return;
        };
        self.note_end(now, &run, how, out);
        let Some(batch) = run.batch else {
            return;
        };
        match how {
            RunEnd::Done => {
                self.mark_probe_passed(Some(batch));
                self.learn(now, &run, batch);
                self.finish_task(now, batch, run.task.index, TaskEnd::Done);
            }
            RunEnd::Failed => self.run_failed(now, &run, batch, out),
            RunEnd::Interrupted => self.requeue_task(batch, run.task.index, run.number),
        }
    }

    fn note_end(&self, now: Time, run: &Run, how: RunEnd, out: &mut Vec<Output>) {
        let how = match how {
            RunEnd::Done => "done",
            RunEnd::Failed => "failed",
            RunEnd::Interrupted => "cut",
        };
        out.push(Output::Event(PoolEvent::RunEnded {
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
        worker.record_success();
        if run.adopted {
            return;
        }
        let usual = run.expected.as_secs_f64() / worker.pace.max(f64::EPSILON);
        let without = self.config.disabled;
        if !without.contains(Mechanism::Learning) {
            self.run_times
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
        let earlier = task.failed_on.replace(run.worker);
        let failures = task.failures;
        match earlier {
            Some(other) if other != run.worker => {
                if let Some(other) = self.workers.get_mut(other) {
                    other.retract_failure();
                }
            }
            _ => self.blame(now, run.worker, out),
        }
        if failures >= self.batches[batch].order.attempts {
            self.finish_task(now, batch, index, TaskEnd::Failed);
        } else {
            self.requeue_task(batch, index, run.number);
        }
    }

    fn blame(&mut self, now: Time, key: WorkerKey, out: &mut Vec<Output>) {
        let worker = &mut self.workers[key];
        worker.record_failure();
        let set_aside = !self.config.disabled.contains(Mechanism::Probation);
        if set_aside && worker.failure_rate >= FAILING && worker.note.stage == WorkerStage::Ready {
            worker.quarantined_until = now + self.config.quarantine;
            worker.probation = true;
            let worker = worker.note.id.clone();
            let why = "it fails tasks";
            out.push(Output::Event(PoolEvent::WorkerAside { worker, why }));
        }
    }

    /// Compares what is believed of a run with what the worker lists.
    fn compare(
        &mut self,
        now: Time,
        key: RunKey,
        context: PollContext,
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
                self.seen_running(now, &run);
                self.check_progress(now, key, row.percent, out);
            }
            (Some(_), Phase::Sent | Phase::Unconfirmed) => {
                self.seen_running(now, &run);
                self.set_phase(key, Phase::Running(self.input_count));
            }
            // Confirmed before the look was sent, and neither at work nor ended: it is gone.
            (None, Phase::Running(confirmed)) if confirmed <= context.input => {
                self.run_ended(now, key, RunEnd::Interrupted, out);
            }
            (None, _) => {}
        }
    }
}

fn clock_of(answer: &Answer) -> Option<WorkerClock> {
    match answer {
        Answer::Accepted(clock) | Answer::Lists { clock, .. } => Some(*clock),
        Answer::Rejected(_, clock) => *clock,
        Answer::OtherIncarnation | Answer::ConnectionRefused | Answer::NoAnswer => None,
    }
}

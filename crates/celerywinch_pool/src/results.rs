//! Answers to worker calls.

use celerywinch_types::{Mechanism, RunNumber, TaskEnd, Time, WorkerClock, WorkerStage};

use crate::call::{
    Answer, CallKey, CallPurpose, EndedRow, PollContext, PollKind, Rejection, RunEnd, RunningRow,
};
use crate::job::BatchKey;
use crate::overstay::Learns;
use crate::pool::{Output, Pool};
use crate::run::{Phase, Run, RunKey};
use crate::worker::{Ownership, WorkerKey};
use crate::{Departure, PoolEvent};

/// Added to a run number that a worker rejects as stale: exceeds any number that an earlier origin can have used.
const RUN_NUMBER_GAP: u64 = 1 << 20;
/// A worker counts as silent after this many missed calls in a row.
pub(crate) const SILENT_AFTER_MISSES: u32 = 2;
/// A worker whose smoothed failure rate reaches this value gets no tasks for `PoolConfig::quarantine`.
const FAILURE_LIMIT: f64 = 0.5;

impl Pool {
    pub(crate) fn handle_answer(
        &mut self,
        now: Time,
        key: CallKey,
        answer: Answer,
        out: &mut Vec<Output>,
    ) {
        let Some(sent) = self.calls.remove(key) else {
            return;
        };
        if sent
            .worker
            .is_some_and(|worker| !self.workers.contains_key(worker))
        {
            return;
        }
        match sent.purpose {
            CallPurpose::Claim(claim) => self.claim_answered(now, claim, &answer, out),
            CallPurpose::Start(run) => self.start_answered(now, run, answer, out),
            CallPurpose::Stop(run) => self.stop_answered(now, run, &answer, out),
            CallPurpose::StopForeign(worker) => {
                if let Some(clock) = clock_of(&answer) {
                    self.read_clock(now, worker, clock);
                }
            }
            // If the worker was given up meanwhile, its lists describe the work of another dispatcher. Advancing the
            // cursor past its ends would hide them when the worker is taken over again.
            CallPurpose::Poll(worker, kind, context) => {
                let polled = self.workers.get_mut(worker);
                if polled.is_some_and(|worker| *worker.outstanding_poll(kind) == Some(key)) {
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
            Answer::Accepted(clock) | Answer::Lists { clock, .. } => {
                self.set_phase(key, confirmed);
                self.runs[key].progress.begin(clock);
            }
            Answer::Rejected(rejection, _) => self.start_rejected(now, key, run, rejection, out),
            Answer::OtherIncarnation => {
                self.remove_incarnation(now, run.worker, Departure::OtherIncarnation, out)
            }
            Answer::ConnectionRefused => {
                self.not_started(now, key, out);
                self.record_missed_call(now, run.worker, out);
            }
            Answer::NoAnswer => {
                self.record_missed_call(now, run.worker, out);
                if run.stop_accepted {
                    // Whether the run is active or not, it cannot start after the accepted stop; the next poll shows
                    // which.
                    self.set_phase(key, confirmed);
                } else {
                    // The run may have started, or may start later.
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
        rejection: Rejection,
        out: &mut Vec<Output>,
    ) {
        let worker = &mut self.workers[run.worker];
        match rejection {
            Rejection::StaleFence => {
                out.push(Output::Fenced(worker.domain));
                // The run is left as it is: the domain is resigned, and the task goes to its new owner.
                return;
            }
            Rejection::Unhealthy => {
                worker.quarantined_until = now + self.config.quarantine;
                worker.probation = true;
                let why = "it says that it is not well";
                let worker = worker.announcement.id.clone();
                out.push(Output::Event(PoolEvent::WorkerAside { worker, why }));
            }
            Rejection::NoCapacity => {
                // The worker has more runs than are known here; the next poll lists them.
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
        let gap = if rejection == Rejection::StaleRun {
            RUN_NUMBER_GAP
        } else {
            0
        };
        self.remove_run(key);
        if let Some(batch) = run.batch {
            self.requeue_task(batch, run.task.index, RunNumber(run.number.0 + gap));
        }
    }

    /// Removes a run whose start request was never received, and requeues its task.
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
                // If the run had not started, the worker refuses it from now on; otherwise its end is listed soon.
                let confirmed = Phase::Running(self.input_count);
                let mut unconfirmed = false;
                if let Some(run) = self.runs.get_mut(key) {
                    run.stopping = true;
                    run.stop_accepted = true;
                    unconfirmed = run.phase == Phase::Unconfirmed;
                    if unconfirmed {
                        run.phase = confirmed;
                    }
                }
                if unconfirmed {
                    self.short_poll(worker, out);
                }
                self.workers[worker].next_poll = now + self.config.stop_delay;
                self.poll(now, worker, out);
            }
            Answer::OtherIncarnation => {
                self.remove_incarnation(now, worker, Departure::OtherIncarnation, out)
            }
            Answer::Rejected(Rejection::StaleFence, _) => {
                let domain = self.workers[worker].domain;
                out.push(Output::Fenced(domain));
            }
            // Retried on the next tick until the lease expires.
            Answer::Rejected(..) | Answer::ConnectionRefused | Answer::NoAnswer => {
                self.set_phase(key, Phase::Unconfirmed);
                self.record_missed_call(now, worker, out);
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
                incarnation: Some(incarnation),
                ..
            } if worker.is_other_incarnation(incarnation) => {
                self.other_incarnation_answered(now, key, incarnation, out);
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
                self.apply_lists(now, key, context, &running, &ended, out);
                if kind == PollKind::Short {
                    // A run that is still unconfirmed had not arrived; a stop keeps it from starting later.
                    self.stop_unconfirmed_runs(now, out);
                }
            }
            Answer::Rejected(Rejection::StaleFence, _) => out.push(Output::Fenced(worker.domain)),
            Answer::OtherIncarnation => {
                self.remove_incarnation(now, key, Departure::OtherIncarnation, out)
            }
            Answer::Accepted(_)
            | Answer::Rejected(..)
            | Answer::ConnectionRefused
            | Answer::NoAnswer => {
                self.record_missed_call(now, key, out);
            }
        }
        self.poll(now, key, out);
    }

    /// Records a call without an answer and schedules the next poll.
    fn record_missed_call(&mut self, now: Time, key: WorkerKey, out: &mut Vec<Output>) {
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
        if worker.missed_calls == SILENT_AFTER_MISSES {
            let looks = worker.missed_calls;
            let worker = worker.announcement.id.clone();
            out.push(Output::Event(PoolEvent::WorkerSilent { worker, looks }));
            self.suspect_runs(now, key, out);
        }
    }

    fn apply_lists(
        &mut self,
        now: Time,
        key: WorkerKey,
        context: PollContext,
        running: &[RunningRow],
        ended: &[EndedRow],
        out: &mut Vec<Output>,
    ) {
        for row in ended {
            self.apply_end(now, key, row, out);
        }
        if self.workers[key].ownership == Ownership::Acquiring {
            self.worker_taken_over(now, key, running, out);
            return;
        }
        // A list that was requested before one that was already applied may show runs that are over.
        if self.workers[key].list_input <= context.input {
            self.workers[key].list_input = context.input;
            self.update_foreign_runs(now, key, running);
        }
        self.observe_progress(now, key, running, out);
        for run in self.workers[key].runs.clone() {
            self.reconcile_run(now, run, context, running, out);
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

    fn apply_end(&mut self, now: Time, key: WorkerKey, row: &EndedRow, out: &mut Vec<Output>) {
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

    fn run_ended(&mut self, now: Time, key: RunKey, end: RunEnd, out: &mut Vec<Output>) {
        let Some(run) = self.remove_run(key) else {
            return;
        };
        self.log_end(now, &run, end, out);
        let Some(batch) = run.batch else {
            return;
        };
        match end {
            RunEnd::Done => {
                self.mark_probe_passed(Some(batch));
                self.record_run_time(now, &run, batch);
                self.finish_task(now, batch, run.task.index, TaskEnd::Done);
            }
            RunEnd::Failed => self.run_failed(now, &run, batch, out),
            RunEnd::Interrupted => self.requeue_task(batch, run.task.index, run.number),
        }
    }

    fn log_end(&self, now: Time, run: &Run, end: RunEnd, out: &mut Vec<Output>) {
        let how = match end {
            RunEnd::Done => "done",
            RunEnd::Failed => "failed",
            RunEnd::Interrupted => "cut",
        };
        out.push(Output::Event(PoolEvent::RunEnded {
            task: run.task,
            run: run.number,
            worker: self.workers[run.worker].announcement.id.clone(),
            how,
            took: now.since(run.started).as_millis() as u32,
        }));
    }

    fn record_run_time(&mut self, now: Time, run: &Run, batch: BatchKey) {
        let took = now.since(run.started);
        self.clear_suspicion(run, took);
        let learns = self.learns_from(run);
        let order = &self.batches[batch].order;
        let worker = &mut self.workers[run.worker];
        worker.record_success();
        if run.adopted || learns == Learns::Nothing {
            return;
        }
        let usual = run.expected.as_secs_f64() / worker.pace.max(f64::EPSILON);
        let disabled = self.config.disabled;
        if !disabled.contains(Mechanism::Learning) && learns == Learns::Both {
            let took = took.div_f64(worker.pace);
            self.run_times.learn(&order.queue, order.estimate, took);
            // Before, the expected time is the caller's estimate, and may be far off.
            if self.run_times.is_settled(&order.queue) {
                let batch = &mut self.batches[batch];
                let expected = batch.expected.as_secs_f64().max(1e-3);
                batch.ratios.push(took.as_secs_f64() / expected);
            }
        }
        if !disabled.contains(Mechanism::Pace) {
            worker.learn_pace(took.as_secs_f64() / usual.max(1e-3));
        }
    }

    /// Handles a failed run. A task that fails on several workers is at fault itself; one that fails on a worker where
    /// other tasks fail too is not.
    fn run_failed(&mut self, now: Time, run: &Run, batch: BatchKey, out: &mut Vec<Output>) {
        let index = run.task.index;
        let Some(task) = self.batches[batch].tasks.get_mut(&index) else {
            return;
        };
        task.failures += 1;
        let previous = task.failed_on.replace(run.worker);
        let failures = task.failures;
        match previous {
            Some(other) if other != run.worker => {
                if let Some(other) = self.workers.get_mut(other) {
                    other.retract_failure();
                }
            }
            _ => self.record_worker_failure(now, run.worker, out),
        }
        if failures >= self.batches[batch].order.attempts {
            self.finish_task(now, batch, index, TaskEnd::Failed);
        } else {
            self.requeue_task(batch, index, run.number);
        }
    }

    fn record_worker_failure(&mut self, now: Time, key: WorkerKey, out: &mut Vec<Output>) {
        let worker = &mut self.workers[key];
        worker.record_failure();
        let quarantine = !self.config.disabled.contains(Mechanism::Probation);
        if quarantine
            && worker.failure_rate >= FAILURE_LIMIT
            && worker.announcement.stage == WorkerStage::Ready
        {
            worker.quarantined_until = now + self.config.quarantine;
            worker.probation = true;
            let worker = worker.announcement.id.clone();
            let why = "it fails tasks";
            out.push(Output::Event(PoolEvent::WorkerAside { worker, why }));
        }
    }

    /// Compares the known state of a run with the worker's list.
    fn reconcile_run(
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
            // Confirmed before the poll was sent, and neither running nor ended: the run no longer exists.
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

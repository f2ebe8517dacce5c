//! Workers that turn slow: they are suspected by the progress of their runs, get work last, and lose the runs that cannot
//! end there in time.

use std::time::Duration;

use celerywinch_types::{JobId, Mechanism, Time, WorkerClock, WorkerStage};

use crate::PoolEvent;
use crate::call::RunningRow;
use crate::job::Batch;
use crate::pool::{Output, Pool};
use crate::progress::{Progress, Speed};
use crate::run::{Phase, Run, RunKey};
use crate::worker::{Ownership, Worker, WorkerKey};

/// Cost of a suspected worker, in shares of a worker left empty: more than all differences between other workers, and less
/// than that of the worker on which the task failed last.
const SUSPECT_COST: f64 = 45.0;
/// Time from the decision to move a run until its task starts elsewhere, beside the time for the stop itself.
const RESTART_MARGIN: Duration = Duration::from_millis(20);
/// A run is moved only if it ends here this many times later than elsewhere: what it has done is lost.
const MOVE_FACTOR: f64 = 1.5;
/// A run that is slower by this factor makes no progress, which no long task explains.
const HUNG_FACTOR: f64 = 40.0;
/// A task is short if it usually ends within this many polls: its result, or that it is late, is known soon.
const SHORT_POLLS: u32 = 2;
/// Multiple of `PoolConfig::quarantine` after which a suspected worker may get long tasks again.
const LONG_PROBE_DELAY: u32 = 2;
/// The largest share of the workers that is quarantined for slow runs. Where more look slow, what is expected of them is
/// more likely wrong than they are.
const MAX_SLOW_SHARE: f64 = 0.5;

/// The suspicion that a worker is slow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Suspicion {
    /// The worker's clock when the suspicion arose.
    from: WorkerClock,
    /// The job whose run was slow first.
    job: JobId,
    /// Whether runs of several jobs were slow, and none was good: it is the worker that is slow and not a task that is long.
    confirmed: bool,
    /// The time of the last slow run.
    last: Time,
    /// The pace of the worker before.
    pace: f64,
}

impl Suspicion {
    fn reason(&self) -> &'static str {
        if self.confirmed {
            "its runs make too little progress"
        } else {
            "a run makes too little progress"
        }
    }

    /// Returns whether the suspicion arose before a run began.
    fn is_before(&self, run: &Run) -> bool {
        run.progress.began.is_some_and(|at| at >= self.from)
    }
}

/// The speeds of the runs on a worker.
#[derive(Debug, Default)]
struct Speeds {
    any_good: bool,
    /// The jobs of slow runs.
    slow: Vec<JobId>,
    /// The jobs of slow runs whose tasks were slow on another worker too.
    long: Vec<JobId>,
}

/// What a run time tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Learns {
    /// The run time of the queue and the pace of the worker.
    Both,
    /// The pace of the worker.
    Pace,
    /// Neither.
    Nothing,
}

/// Returns the cost of placing a task on a worker for its suspicion.
pub(crate) fn suspicion_cost(worker: &Worker) -> f64 {
    if worker.suspicion.is_some() {
        SUSPECT_COST
    } else {
        0.0
    }
}

impl Pool {
    fn suspects_workers(&self) -> bool {
        !self.config.disabled.contains(Mechanism::Overstay)
    }

    /// Returns the number of workers that are suspected of being slow.
    #[must_use]
    pub fn suspected_workers(&self) -> usize {
        let owned = |worker: &&Worker| worker.ownership == Ownership::Owned;
        let workers = self.workers.values().filter(owned);
        workers.filter(|worker| worker.suspicion.is_some()).count()
    }

    /// Returns the usual run time on the worker of a run. The caller's estimate counts too, as run times learned from few
    /// tasks may be far too short.
    fn usual_time(&self, run: &Run) -> Duration {
        let batch = run.batch.and_then(|batch| self.batches.get(batch));
        let estimate = batch.map_or(0, |batch| batch.order.estimate);
        let pace = self.workers[run.worker].pace;
        run.expected
            .max(Duration::from_millis(estimate.into()).mul_f64(pace))
    }

    /// Updates the speed of a worker's runs by its list, and its suspicion by their speeds.
    pub(crate) fn observe_progress(
        &mut self,
        now: Time,
        key: WorkerKey,
        running: &[RunningRow],
        out: &mut Vec<Output>,
    ) {
        let Some(clock) = self.workers[key].last_clock() else {
            return;
        };
        if !self.suspects_workers() {
            return;
        }
        let reports = running.iter().any(|row| (1..100).contains(&row.percent));
        self.workers[key].reports_progress |= reports;
        if !self.workers[key].reports_progress {
            return;
        }
        for run in self.workers[key].runs.clone() {
            self.observe_run(clock, run, running);
        }
        self.judge_worker(now, key, clock, out);
    }

    fn observe_run(&mut self, clock: WorkerClock, key: RunKey, running: &[RunningRow]) {
        let run = self.runs[key];
        let usual = self.usual_time(&run);
        let mut rows = running.iter();
        let row = rows.find(|row| row.task == run.task && row.run == run.number);
        if let Some(row) = row
            && row.percent < 100
            && !run.stopping
            && matches!(run.phase, Phase::Running(_))
        {
            self.runs[key].progress.report(clock, row.percent, usual);
        }
    }

    /// Suspects a worker if the runs with a known speed are all slow, and clears it if one proceeds well.
    fn judge_worker(
        &mut self,
        now: Time,
        key: WorkerKey,
        clock: WorkerClock,
        out: &mut Vec<Output>,
    ) {
        let speeds = self.speeds_on(key);
        let worker = &mut self.workers[key];
        if speeds.any_good {
            worker.suspicion = None;
            return;
        }
        let Some(first) = speeds.slow.first().copied() else {
            self.withdraw_suspicions(&speeds.long);
            return;
        };
        let known = worker.suspicion;
        let mut suspicion = known.unwrap_or(Suspicion {
            from: clock,
            job: first,
            confirmed: false,
            last: now,
            pace: worker.pace,
        });
        suspicion.last = now;
        suspicion.confirmed |= speeds.slow.iter().any(|job| *job != suspicion.job);
        worker.suspicion = Some(suspicion);
        if suspicion.confirmed {
            self.quarantine_slow(now, key);
        }
        if known.is_none_or(|known| known.confirmed != suspicion.confirmed) {
            let worker = self.workers[key].announcement.id.clone();
            let why = suspicion.reason();
            out.push(Output::Event(PoolEvent::WorkerAside { worker, why }));
        }
    }

    /// Returns the speeds of the runs on a worker, as far as they are known and newer than its suspicion.
    fn speeds_on(&self, key: WorkerKey) -> Speeds {
        let worker = &self.workers[key];
        let since = worker.suspicion.map(|suspicion| suspicion.from);
        let mut speeds = Speeds::default();
        for run in worker.runs.iter().map(|run| &self.runs[*run]) {
            let Some(last) = run.progress.last else {
                continue;
            };
            let job = run.task.job;
            match last.speed {
                Speed::Good => speeds.any_good |= since.is_none_or(|since| last.from >= since),
                Speed::Slow(_) if self.overstayed_before(run) => speeds.long.push(job),
                Speed::Slow(_) => speeds.slow.push(job),
                Speed::Unclear => {}
            }
        }
        speeds
    }

    /// Returns whether the task of a run was slow on another worker before, so that it is more likely long by itself.
    fn overstayed_before(&self, run: &Run) -> bool {
        let batch = run.batch.and_then(|batch| self.batches.get(batch));
        let task = batch.and_then(|batch| batch.tasks.get(&run.task.index));
        task.is_some_and(|task| task.overstayed)
    }

    /// Withdraws the suspicions that rest on single jobs with tasks that have turned out to be long.
    fn withdraw_suspicions(&mut self, jobs: &[JobId]) {
        if jobs.is_empty() {
            return;
        }
        for worker in self.workers.values_mut() {
            let rests = |s: &Suspicion| !s.confirmed && jobs.contains(&s.job);
            if worker.suspicion.as_ref().is_some_and(rests) {
                worker.suspicion = None;
            }
        }
    }

    /// Quarantines a slow worker, unless too many are: after that it gets one task at a time until one is good.
    fn quarantine_slow(&mut self, now: Time, key: WorkerKey) {
        if self.config.disabled.contains(Mechanism::Probation) {
            return;
        }
        let owned = |worker: &&Worker| worker.ownership == Ownership::Owned;
        let total = self.workers.values().filter(owned).count();
        let slow = |worker: &&Worker| worker.suspicion.is_some_and(|s| s.confirmed);
        let slow = self.workers.values().filter(owned).filter(slow).count();
        let worker = &mut self.workers[key];
        if slow as f64 <= total as f64 * MAX_SLOW_SHARE
            && worker.announcement.stage == WorkerStage::Ready
        {
            worker.quarantined_until = worker.quarantined_until.max(now + self.config.quarantine);
            worker.probation = true;
        }
    }

    /// Clears the suspicion of a worker by a run that began after it and has ended in the usual time. If the run was fast
    /// enough for the pace that the worker had before, that pace holds again.
    pub(crate) fn clear_suspicion(&mut self, run: &Run, took: Duration) {
        let usual = self.usual_time(run);
        let worker = &mut self.workers[run.worker];
        let Some(suspicion) = worker.suspicion else {
            return;
        };
        if !suspicion.is_before(run) || !Progress::is_usual(took, usual) {
            return;
        }
        worker.suspicion = None;
        let before = usual.mul_f64(suspicion.pace / worker.pace);
        if suspicion.pace < worker.pace && Progress::is_usual(took, before) {
            worker.pace = suspicion.pace;
        }
    }

    /// Returns whether the run time on a worker tells its pace, and that of the queue.
    ///
    /// The runs during which a worker turned slow tell neither. One that began later tells the pace of a worker that stays
    /// slow.
    pub(crate) fn learns_from(&self, run: &Run) -> Learns {
        let suspicion = self.workers[run.worker].suspicion.as_ref();
        match suspicion.filter(|suspicion| suspicion.confirmed) {
            None => Learns::Both,
            Some(suspicion) if suspicion.is_before(run) => Learns::Pace,
            Some(_) => Learns::Nothing,
        }
    }

    /// Ends the suspicions that rest on a single job and were not renewed: that task may have been long by itself.
    pub(crate) fn expire_suspicions(&mut self, now: Time) {
        let quarantine = self.config.quarantine;
        for worker in self.workers.values_mut() {
            let expires = |s: &Suspicion| !s.confirmed && now.since(s.last) > quarantine;
            if worker.suspicion.as_ref().is_some_and(expires) {
                worker.suspicion = None;
            }
        }
    }

    /// Returns whether a worker may get a task of the batch, as far as its suspicion is concerned: a suspected worker gets
    /// short tasks only. After some time it gets any, as there may be no short ones.
    pub(crate) fn is_trusted_with(&self, now: Time, batch: &Batch, worker: &Worker) -> bool {
        let is_short = batch.expected <= self.config.poll_wait * SHORT_POLLS;
        let trusted_from = |s: &Suspicion| s.last + self.config.quarantine * LONG_PROBE_DELAY;
        let suspicion = worker.suspicion.as_ref();
        is_short || suspicion.is_none_or(|suspicion| trusted_from(suspicion) <= now)
    }

    /// Returns whether a run is to be moved, or none if its progress does not tell.
    ///
    /// A run that ends within its objective stays. Another one is moved if it would end sooner elsewhere, and if a worker
    /// there has room: at once if it is certain that its worker is slow; else, as the task may be long by itself, as late as
    /// a restart can still end in time, and only once.
    pub(crate) fn moves_by_progress(&self, now: Time, key: RunKey, percent: u8) -> Option<bool> {
        let run = &self.runs[key];
        let suspicion = self.workers[run.worker].suspicion;
        let last = run.progress.last.filter(|_| self.suspects_workers())?;
        let batch = self.batches.get(run.batch?)?;
        let task = batch.tasks.get(&run.task.index)?;
        let Speed::Slow(factor) = last.speed else {
            return Some(false);
        };
        let remaining = run.progress.remaining(percent, self.usual_time(run));
        let estimate = Duration::from_millis(batch.order.estimate.into());
        let delay = self.config.stop_delay + RESTART_MARGIN;
        let elsewhere = delay + batch.expected.max(estimate);
        let ends_sooner = remaining >= elsewhere.mul_f64(MOVE_FACTOR);
        if now + remaining <= batch.due || !ends_sooner {
            return Some(false);
        }
        let confirmed = suspicion.is_some_and(|suspicion| suspicion.confirmed);
        if confirmed {
            return Some(self.has_room_elsewhere(now, batch, run.worker));
        }
        if task.overstayed && factor < HUNG_FACTOR {
            return Some(false);
        }
        let latest = now + elsewhere + self.config.poll_wait;
        let still_in_time = now + elsewhere <= batch.due;
        if still_in_time && latest > batch.due {
            return Some(self.has_room_elsewhere(now, batch, run.worker));
        }
        None
    }

    fn has_room_elsewhere(&self, now: Time, batch: &Batch, here: WorkerKey) -> bool {
        self.workers.iter().any(|(key, worker)| {
            key != here
                && worker.suspicion.is_none()
                && self.accepts_tasks(now, worker)
                && self.can_run(batch, key, worker)
        })
    }

    /// Records that a task was moved as its run took too long.
    pub(crate) fn record_overstay(&mut self, key: RunKey) {
        let run = self.runs[key];
        let batch = run.batch.and_then(|batch| self.batches.get_mut(batch));
        if let Some(task) = batch.and_then(|batch| batch.tasks.get_mut(&run.task.index)) {
            task.overstayed = true;
        }
    }
}

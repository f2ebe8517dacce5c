//! Simulated callers and their jobs.

use std::time::Duration;

use celerywinch_member::Input;
use celerywinch_origin::{CallerId, NewJob};
use celerywinch_types::{JobEnd, JobId, JobPlan, Queue, Resources, RunNumber, StepPlan, Time};
use rand::Rng;

use super::load::ClassPlan;
use super::world::{Event, World};

/// Factor of the critical path in the objective of a job, in thousandths.
const SLACK_PER_MILLE: u32 = 1_600;
/// Fixed part of the objective of a job, in ms.
const TARGET_MS: u32 = 60;
/// Delay until a caller submits its job again, after an undetermined result or where no entry accepts callers.
const RESEND_DELAY: Duration = Duration::from_millis(1_300);
/// Maximum number of attempts; the caller abandons the job when this many have ended without a known result.
const MAX_ATTEMPTS: u32 = 4;
/// Relative variation of the run times of the tasks of one job.
const TASK_SPREAD: f64 = 0.15;
/// Relative variation of the run times and the task counts of jobs of one class, and of estimates around run times.
const JOB_SPREAD: f64 = 0.4;

/// Job from the point of view of its caller.
#[derive(Clone, Debug)]
pub(crate) struct CallerJob {
    pub(crate) id: JobId,
    pub(crate) class: usize,
    /// Time of the first attempt.
    pub(crate) first_sent: Time,
    /// Time of the latest attempt.
    pub(crate) sent_at: Time,
    pub(crate) attempts: u32,
    /// Entry of the latest attempt.
    pub(crate) entry: usize,
    /// Incarnation of that entry.
    pub(crate) incarnation: u64,
    pub(crate) end: Option<(Time, JobEnd)>,
    /// Whether the caller has stopped waiting for a result.
    pub(crate) abandoned: bool,
    /// Time by which the job meets its objective.
    pub(crate) due: Time,
    pub(crate) plan: JobPlan,
    /// Run time of each task on a healthy worker.
    pub(crate) task_times: Vec<Duration>,
    /// Whether the tasks of the job crash their workers.
    pub(crate) crashes_workers: bool,
}

impl World {
    /// Submits a new job, and schedules the next one of its class.
    pub(crate) fn submit_new_job(&mut self, class: usize) {
        let plan = self.options.load.classes[class];
        let job = self.new_job(class, plan);
        self.jobs.push(job);
        self.submit(self.jobs.len() - 1);
        let rate = plan.rate * self.options.load.factor(self.now, class);
        let wait = -(self.random.random_range(f64::MIN_POSITIVE..1.0f64)).ln() / rate;
        self.schedule(
            self.now + Duration::from_secs_f64(wait),
            Event::NewJob(class),
        );
    }

    /// Draws a factor between `1 - spread` and `1 + spread`.
    fn jitter(&mut self, spread: f64) -> f64 {
        self.random.random_range(1.0 - spread..1.0 + spread)
    }

    /// Draws the factor of a run time: 1, or that of the long tail.
    fn draw_tail(&mut self) -> f64 {
        match self.options.load.tail {
            Some(tail) if self.random.random_bool(tail.share) => tail.factor,
            _ => 1.0,
        }
    }

    fn new_job(&mut self, class: usize, plan: ClassPlan) -> CallerJob {
        let base = f64::from(plan.task_ms) * self.jitter(JOB_SPREAD);
        let width = (f64::from(plan.mean_tasks) * self.jitter(JOB_SPREAD))
            .round()
            .max(1.0) as u16;
        let task_times: Vec<_> = (0..width)
            .map(|_| {
                let task_ms = base * self.jitter(TASK_SPREAD) * self.draw_tail();
                Duration::from_secs_f64(task_ms / 1e3)
            })
            .collect();
        let chain = task_times.iter().max().copied().unwrap_or_default();
        let step = StepPlan {
            count: width,
            need: Resources {
                cpu: (f64::from(self.options.load.cpu) * self.jitter(self.options.load.cpu_spread))
                    as u32,
                memory: 64,
                accelerators: 0,
            },
            estimate: (base * self.jitter(JOB_SPREAD)) as u32 + 1,
            after: Vec::new(),
            label: None,
            rack: None,
            spread: None,
        };
        let objective = chain.mul_f64(f64::from(SLACK_PER_MILLE) / 1e3)
            + Duration::from_millis(TARGET_MS.into());
        CallerJob {
            id: JobId(self.random.random()),
            class,
            first_sent: self.now,
            sent_at: self.now,
            attempts: 0,
            entry: 0,
            incarnation: 0,
            end: None,
            abandoned: false,
            due: self.now + objective,
            plan: JobPlan {
                spec: String::new(),
                steps: vec![step],
            },
            task_times,
            crashes_workers: self.draw_crashing_job(),
        }
    }

    /// Submits a job again if it still has no answer and no attempt was made since.
    pub(crate) fn resubmit(&mut self, index: usize, attempts: u32) {
        let job = &self.jobs[index];
        if job.end.is_none() && !job.abandoned && job.attempts == attempts {
            self.submit(index);
        }
    }

    /// Submits a job to a random entry, or tries again later if no entry accepts callers.
    pub(crate) fn submit(&mut self, index: usize) {
        let Some(entry) = self.pick_entry() else {
            let attempts = self.jobs[index].attempts;
            self.schedule(self.now + RESEND_DELAY, Event::Resubmit(index, attempts));
            return;
        };
        let incarnation = self.members[entry].incarnation();
        let first_run = self.first_run(entry);
        let job = &mut self.jobs[index];
        job.attempts += 1;
        job.sent_at = self.now;
        job.entry = entry;
        job.incarnation = incarnation;
        let class = self.options.load.classes[job.class];
        let new = NewJob {
            id: job.id,
            queue: queue(class),
            plan: job.plan.clone(),
            first_run,
        };
        let caller = CallerId(index as u64 * 1_000 + u64::from(job.attempts));
        self.input(entry, Input::Submit(caller, new));
        if self.is_broken_connection() {
            self.break_connection(index, caller);
            return;
        }
        self.input(entry, Input::Flush);
        let timeout = Duration::from_millis(class.timeout_ms.into());
        let attempts = self.jobs[index].attempts;
        self.schedule(self.now + timeout, Event::AbandonJob(index, attempts));
    }

    /// Returns the first run number of a submission. It is above all that earlier attempts of the job have used, unless
    /// wall clocks are wrong.
    fn first_run(&self, entry: usize) -> RunNumber {
        match self.options.faults {
            Some(plan) if plan.clock_skew => RunNumber(self.wall_clock_ms(entry)),
            _ => RunNumber(self.now.0),
        }
    }

    /// Handles the answer to the latest attempt of a job; answers to earlier attempts are ignored.
    pub(crate) fn receive_answer(&mut self, caller: CallerId, end: JobEnd) {
        let index = (caller.0 / 1_000) as usize;
        let now = self.now;
        let job = &mut self.jobs[index];
        if job.end.is_some() || u64::from(job.attempts) != caller.0 % 1_000 {
            return;
        }
        match end {
            JobEnd::Unsure if job.attempts >= MAX_ATTEMPTS => job.abandoned = true,
            JobEnd::Unsure => {
                let attempts = job.attempts;
                self.schedule(now + RESEND_DELAY, Event::Resubmit(index, attempts));
            }
            JobEnd::Completed | JobEnd::Failed | JobEnd::Refused(_) => {
                job.end = Some((now, end));
            }
        }
    }

    /// Handles the timeout of a caller: it abandons the job and closes the connection to its entry.
    pub(crate) fn abandon_job(&mut self, index: usize, attempts: u32) {
        let job = &mut self.jobs[index];
        if job.end.is_some() || job.attempts != attempts {
            return;
        }
        job.abandoned = true;
        let caller = CallerId(index as u64 * 1_000 + u64::from(attempts));
        let (entry, incarnation) = (job.entry, job.incarnation);
        if self.members[entry].incarnation() == incarnation {
            self.input(entry, Input::CallerGone(caller));
        }
    }
}

fn queue(class: ClassPlan) -> Queue {
    Queue {
        name: class.name.to_owned(),
        host: "catalogue".to_owned(),
        prefix: format!("/{}/", class.name),
        service: "catalogue".to_owned(),
        priority: class.priority,
        attempts: 3,
        slack: SLACK_PER_MILLE,
        target: TARGET_MS,
        timeout: class.timeout_ms,
        advised: false,
    }
}

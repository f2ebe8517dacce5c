//! Callers and their jobs.

use std::time::Duration;

use celerywinch_member::Input;
use celerywinch_origin::{CallerId, NewJob};
use celerywinch_types::{JobEnd, JobId, JobPlan, Queue, Resources, RunNumber, StepPlan, Time};
use rand::Rng;

use super::load::ClassPlan;
use super::world::{Event, World};

/// A job on time ends within its longest chain of work times this, in thousandths, ...
const SLACK: u32 = 1_600;
/// ... and so many ms.
const TARGET: u32 = 60;
/// A caller without an answer sends its job again after this time.
const RESEND: Duration = Duration::from_millis(1_300);
/// A caller stops resending a job after so many tries that ended without a known result.
const MAX_TRIES: u32 = 4;
/// How far tasks of one job differ, and jobs of one kind, and guesses from the truth.
const UNEVEN: f64 = 0.15;
const SPREAD: f64 = 0.4;

/// A job as its caller sees it.
#[derive(Clone, Debug)]
pub(crate) struct CallerJob {
    pub(crate) id: JobId,
    pub(crate) class: usize,
    pub(crate) first: Time,
    pub(crate) sent: Time,
    pub(crate) tries: u32,
    pub(crate) entry: usize,
    pub(crate) life: u64,
    pub(crate) end: Option<(Time, JobEnd)>,
    pub(crate) gave_up: bool,
    /// The end of the objective.
    pub(crate) due: Time,
    pub(crate) plan: JobPlan,
    /// What each task takes on a sound worker.
    pub(crate) takes: Vec<Duration>,
    /// Whether its tasks end their workers.
    pub(crate) ending: bool,
}

impl World {
    /// A new job, and when the next one comes.
    pub(crate) fn arrive(&mut self, class: usize) {
        let plan = self.options.load.classes[class];
        let job = self.new_job(class, plan);
        self.jobs.push(job);
        self.submit(self.jobs.len() - 1);
        let rate = plan.rate * self.options.load.factor(self.now);
        let wait = -(self.random.random_range(f64::MIN_POSITIVE..1.0f64)).ln() / rate;
        self.at(
            self.now + Duration::from_secs_f64(wait),
            Event::Arrive(class),
        );
    }

    fn around(&mut self, spread: f64) -> f64 {
        self.random.random_range(1.0 - spread..1.0 + spread)
    }

    fn new_job(&mut self, class: usize, plan: ClassPlan) -> CallerJob {
        let base = f64::from(plan.task_ms) * self.around(SPREAD);
        let width = (f64::from(plan.mean_tasks) * self.around(SPREAD))
            .round()
            .max(1.0) as u16;
        let takes: Vec<_> = (0..width)
            .map(|_| Duration::from_secs_f64(base * self.around(UNEVEN) / 1e3))
            .collect();
        let chain = takes.iter().max().copied().unwrap_or_default();
        let step = StepPlan {
            count: width,
            need: Resources {
                cpu: (f64::from(self.options.load.cpu) * self.around(0.2)) as u32,
                memory: 64,
                accelerators: 0,
            },
            estimate: (base * self.around(SPREAD)) as u32 + 1,
            after: Vec::new(),
            label: None,
            rack: None,
            spread: None,
        };
        let objective =
            chain.mul_f64(f64::from(SLACK) / 1e3) + Duration::from_millis(TARGET.into());
        CallerJob {
            id: JobId(self.random.random()),
            class,
            first: self.now,
            sent: self.now,
            tries: 0,
            entry: 0,
            life: 0,
            end: None,
            gave_up: false,
            due: self.now + objective,
            plan: JobPlan {
                spec: String::new(),
                steps: vec![step],
            },
            takes,
            ending: self.draw_ending(),
        }
    }

    /// Sends a job again that had no answer, unless that was done meanwhile.
    pub(crate) fn resubmit(&mut self, index: usize, tries: u32) {
        let job = &self.jobs[index];
        if job.end.is_none() && !job.gave_up && job.tries == tries {
            self.submit(index);
        }
    }

    pub(crate) fn submit(&mut self, index: usize) {
        let Some(entry) = self.pick_entry() else {
            let tries = self.jobs[index].tries;
            self.at(self.now + RESEND, Event::Resubmit(index, tries));
            return;
        };
        let life = self.members[entry].life();
        let first_run = self.first_run(entry);
        let job = &mut self.jobs[index];
        job.tries += 1;
        job.sent = self.now;
        job.entry = entry;
        job.life = life;
        let class = self.options.load.classes[job.class];
        let new = NewJob {
            id: job.id,
            queue: queue(class),
            plan: job.plan.clone(),
            first_run,
        };
        let caller = CallerId(index as u64 * 1_000 + u64::from(job.tries));
        self.input(entry, Input::Submit(caller, new));
        if self.is_broken_connection() {
            self.break_connection(index, caller);
            return;
        }
        self.input(entry, Input::Flush);
        let limit = Duration::from_millis(class.timeout_ms.into());
        let tries = self.jobs[index].tries;
        self.at(self.now + limit, Event::GiveUp(index, tries));
    }

    /// Above all that were used for a job that was sent before, unless clocks are wrong.
    fn first_run(&self, entry: usize) -> RunNumber {
        match self.options.faults {
            Some(plan) if plan.clock_skew => RunNumber(self.wall(entry)),
            _ => RunNumber(self.now.0),
        }
    }

    pub(crate) fn answer(&mut self, caller: CallerId, end: JobEnd) {
        let index = (caller.0 / 1_000) as usize;
        let now = self.now;
        let job = &mut self.jobs[index];
        if job.end.is_some() || u64::from(job.tries) != caller.0 % 1_000 {
            return;
        }
        match end {
            JobEnd::Unsure if job.tries >= MAX_TRIES => job.gave_up = true,
            JobEnd::Unsure => {
                let tries = job.tries;
                self.at(now + RESEND, Event::Resubmit(index, tries));
            }
            JobEnd::Completed | JobEnd::Failed | JobEnd::Refused(_) => {
                job.end = Some((now, end));
            }
        }
    }

    /// The caller waits no more; the connection to its entry is closed.
    pub(crate) fn give_up(&mut self, index: usize, tries: u32) {
        let job = &mut self.jobs[index];
        if job.end.is_some() || job.tries != tries {
            return;
        }
        job.gave_up = true;
        let caller = CallerId(index as u64 * 1_000 + u64::from(tries));
        let (entry, life) = (job.entry, job.life);
        if self.members[entry].life() == life {
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
        slack: SLACK,
        target: TARGET,
        timeout: class.timeout_ms,
        advised: false,
    }
}

//! Report of a run: statistics and violations.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use celerywinch_pool::RunEnd;
use celerywinch_standin::Ran;
use celerywinch_types::{JobEnd, JobId, TaskId, Time};

use super::callers::CallerJob;
use super::faults::FaultPlan;
use super::history::{Violation, overlaps};
use super::load::ClassStats;
use super::world::{MembersReport, World};

/// Number of starts of a task, after it has crashed three workers, that violates the bound the users require.
const RESTART_LIMIT: usize = 3;
/// Time from a request to its refusal within which the refusal counts as prompt.
const PROMPT_REFUSAL: Duration = Duration::from_millis(10);

impl World {
    /// Checks the history of the run and collects its statistics.
    pub(crate) fn report(mut self) -> MembersReport {
        for host in &mut self.workers {
            host.worker.advance(host.local(self.now));
            self.history.extend(host.history());
        }
        let mut report = MembersReport {
            classes: vec![ClassStats::default(); self.options.load.classes.len()],
            violations: overlaps(&self.history),
            ..MembersReport::default()
        };
        report
            .violations
            .extend(std::mem::take(&mut self.violations));
        report.violations.extend(self.excessive_restarts());
        let interrupted = |ran: &&Ran| ran.how == RunEnd::Interrupted;
        report.runs = (
            self.history.len(),
            self.history.iter().filter(interrupted).count(),
        );
        report.control = self.members.iter().map(|host| host.control).collect();
        let runs = RunIndex::new(&self.history);
        for job in &self.jobs {
            report.violations.extend(runs.check_job(job));
        }
        let start = Time(self.options.count_ms * 1_000);
        for (class, stats) in report.classes.iter_mut().enumerate() {
            let jobs = self.jobs.iter();
            let counted = jobs.filter(|job| job.class == class && job.first_sent >= start);
            *stats = class_stats(counted.collect());
        }
        for (index, host) in self.members.iter().enumerate() {
            if let Some(member) = &host.member
                && member.is_busy()
            {
                let counts = member.pool().counts();
                let jobs = member.open_jobs();
                let work = member.open_work(self.now);
                let text = format!("member {index}: {jobs} jobs, pool {counts:?}, {work:#?}");
                report.violations.push(Violation::Restless(text));
            }
        }
        report
    }

    /// Returns the tasks that were restarted too often although they crash their workers. The bound holds only while members
    /// can communicate: where messages are deferred, late or refused, a caller may submit its job to the other side of a
    /// partition, which does not know of the crashes.
    fn excessive_restarts(&self) -> Vec<Violation> {
        let separates = |plan: &FaultPlan| plan.partitioned || plan.congested || plan.refused;
        if self.options.faults.as_ref().is_some_and(separates) {
            return Vec::new();
        }
        let crashes = self.worker_crashes.iter();
        let third = crashes.filter_map(|(task, times)| Some((*task, *times.get(2)?)));
        let violations = third.map(|(task, third)| {
            let runs = self.history.iter();
            let later = runs.filter(|ran| ran.task == task && ran.from > third);
            Violation::Restarted(task, later.count())
        });
        violations
            .filter(|violation| matches!(violation, Violation::Restarted(_, starts) if *starts >= RESTART_LIMIT))
            .collect()
    }
}

/// Runs of a history by job and task.
struct RunIndex {
    /// First run in the history of each job.
    first: HashMap<JobId, Ran>,
    /// Tasks that have a completed run.
    completed: HashSet<TaskId>,
}

impl RunIndex {
    fn new(history: &[Ran]) -> Self {
        let mut first = HashMap::new();
        for ran in history {
            first.entry(ran.task.job).or_insert(*ran);
        }
        let done = history.iter().filter(|ran| ran.how == RunEnd::Done);
        Self {
            first,
            completed: done.map(|ran| ran.task).collect(),
        }
    }

    /// Checks the answer to a job against the runs of its tasks.
    fn check_job(&self, job: &CallerJob) -> Vec<Violation> {
        match job.end {
            Some((_, JobEnd::Completed)) => {
                let tasks = (0..job.task_times.len() as u16).map(|index| TaskId {
                    job: job.id,
                    step: 0,
                    index,
                });
                let missing = tasks.filter(|task| !self.completed.contains(task));
                missing.map(Violation::NotDone).collect()
            }
            Some((_, JobEnd::Refused(_))) if job.attempts == 1 => {
                let ran = self.first.get(&job.id).into_iter();
                ran.map(|ran| Violation::FalseRefusal(job.id, *ran))
                    .collect()
            }
            None if !job.abandoned && job.attempts == 1 => {
                vec![Violation::NoAnswer(job.id, job.first_sent)]
            }
            _ => Vec::new(),
        }
    }
}

/// Returns the statistics of the jobs of a class.
fn class_stats(mut jobs: Vec<&CallerJob>) -> ClassStats {
    let mut stats = ClassStats {
        submitted: jobs.len(),
        ..ClassStats::default()
    };
    let mut refusals = Vec::new();
    for job in &jobs {
        match job.end {
            Some((_, JobEnd::Completed)) if is_timely(job) => {
                stats.on_time += 1;
                stats.timely_work += work(job).as_secs_f64() * 1e3;
            }
            Some((_, JobEnd::Completed)) => stats.late += 1,
            Some((_, JobEnd::Failed)) => stats.failed += 1,
            Some((at, JobEnd::Refused(_))) => refusals.push(at.since(job.sent_at)),
            Some((_, JobEnd::Unsure)) | None => stats.lost += 1,
        }
    }
    refusals.sort_unstable();
    let prompt = refusals.iter().filter(|took| **took <= PROMPT_REFUSAL);
    stats.prompt_refusals = prompt.count();
    stats.refused = refusals.len();
    let ms = |took: &Duration| took.as_millis() as u32;
    stats.max_refusal_ms = refusals.last().map_or(0, ms);
    let p95 = (refusals.len() * 95).div_ceil(100).saturating_sub(1);
    stats.refusal_p95_ms = refusals.get(p95).map_or(0, ms);
    jobs.sort_by_key(|job| std::cmp::Reverse(work(job)));
    jobs.truncate(jobs.len() / 10);
    stats.large_jobs = jobs.len();
    stats.large_timely = jobs.iter().filter(|job| is_timely(job)).count();
    stats
}

/// Returns whether a job was completed within its objective.
fn is_timely(job: &CallerJob) -> bool {
    matches!(job.end, Some((at, JobEnd::Completed)) if at <= job.due)
}

/// Returns the sum of the run times of the tasks of a job on workers of speed 1.
fn work(job: &CallerJob) -> Duration {
    job.task_times.iter().sum()
}

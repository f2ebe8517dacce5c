//! Report of a run: statistics and violations.

use celerywinch_standin::Ran;
use celerywinch_types::{JobEnd, TaskId};

use super::callers::CallerJob;
use super::faults::FaultPlan;
use super::history::{Violation, has_completed_run, overlaps};
use super::load::ClassStats;
use super::world::{MembersReport, World};

/// Number of starts of a task, after it has crashed three workers, that violates the bound the users require.
const RESTART_LIMIT: usize = 3;

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
        let interrupted = |ran: &&Ran| ran.how == celerywinch_pool::RunEnd::Interrupted;
        report.runs = (
            self.history.len(),
            self.history.iter().filter(interrupted).count(),
        );
        report.control = self.members.iter().map(|host| host.control).collect();
        for job in &self.jobs {
            self.check_job(job, &mut report);
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

    /// Checks the result of a job and adds it to the statistics of its class.
    fn check_job(&self, job: &CallerJob, report: &mut MembersReport) {
        let stats = &mut report.classes[job.class];
        stats.submitted += 1;
        match job.end {
            Some((at, JobEnd::Completed)) => {
                if at <= job.due {
                    stats.on_time += 1;
                } else {
                    stats.late += 1;
                }
                let tasks = (0..job.task_times.len() as u16).map(|index| TaskId {
                    job: job.id,
                    step: 0,
                    index,
                });
                let missing = tasks.filter(|task| !has_completed_run(&self.history, *task));
                report.violations.extend(missing.map(Violation::NotDone));
            }
            Some((_, JobEnd::Failed)) => stats.failed += 1,
            Some((at, JobEnd::Refused(_))) => {
                stats.refused += 1;
                let took = at.since(job.sent_at).as_millis() as u32;
                stats.max_refusal_ms = stats.max_refusal_ms.max(took);
                let ran = self.history.iter().find(|ran| ran.task.job == job.id);
                if let Some(ran) = ran.filter(|_| job.attempts == 1) {
                    report
                        .violations
                        .push(Violation::FalseRefusal(job.id, *ran));
                }
            }
            Some((_, JobEnd::Unsure)) | None => {
                stats.lost += 1;
                if !job.abandoned && job.end.is_none() && job.attempts == 1 {
                    report
                        .violations
                        .push(Violation::NoAnswer(job.id, job.first_sent));
                }
            }
        }
    }
}

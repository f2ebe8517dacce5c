//! What came of a run: figures, and broken promises.

use celerywinch_standin::Ran;
use celerywinch_types::{JobEnd, TaskId};

use super::callers::CallerJob;
use super::faults::FaultPlan;
use super::history::{Violation, has_completed_run, overlaps};
use super::load::ClassStats;
use super::world::{MembersReport, World};

/// Of a task by which three workers have ended, so many more starts break the users' bound.
const RESTART_LIMIT: usize = 3;

impl World {
    /// Compares what was seen with what was promised.
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
        let cut = |ran: &&Ran| ran.how == celerywinch_pool::RunEnd::Interrupted;
        report.runs = (self.history.len(), self.history.iter().filter(cut).count());
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

    /// Tasks that were started on and on though they end their workers. The bound holds for members that hear each other:
    /// where messages are held up, late or refused a caller sends its job to the other side of a cut, which knows of nothing.
    fn excessive_restarts(&self) -> Vec<Violation> {
        let apart = |plan: &FaultPlan| plan.partitioned || plan.congested || plan.refused;
        if self.options.faults.as_ref().is_some_and(apart) {
            return Vec::new();
        }
        let ended = self.worker_crashes.iter();
        let third = ended.filter_map(|(task, ends)| Some((*task, *ends.get(2)?)));
        let later = third.map(|(task, third)| {
            let runs = self.history.iter();
            let later = runs.filter(|ran| ran.task == task && ran.from > third);
            Violation::Restarted(task, later.count())
        });
        later
            .filter(|found| matches!(found, Violation::Restarted(_, starts) if *starts >= RESTART_LIMIT))
            .collect()
    }

    fn check_job(&self, job: &CallerJob, report: &mut MembersReport) {
        let figures = &mut report.classes[job.class];
        figures.submitted += 1;
        match job.end {
            Some((at, JobEnd::Completed)) => {
                if at <= job.due {
                    figures.on_time += 1;
                } else {
                    figures.late += 1;
                }
                let tasks = (0..job.task_times.len() as u16).map(|index| TaskId {
                    job: job.id,
                    step: 0,
                    index,
                });
                let missing = tasks.filter(|task| !has_completed_run(&self.history, *task));
                report.violations.extend(missing.map(Violation::NotDone));
            }
            Some((_, JobEnd::Failed)) => figures.failed += 1,
            Some((at, JobEnd::Refused(_))) => {
                figures.refused += 1;
                let took = at.since(job.sent_at).as_millis() as u32;
                figures.max_refusal_ms = figures.max_refusal_ms.max(took);
                let ran = self.history.iter().find(|ran| ran.task.job == job.id);
                if let Some(ran) = ran.filter(|_| job.attempts == 1) {
                    report
                        .violations
                        .push(Violation::FalseRefusal(job.id, *ran));
                }
            }
            Some((_, JobEnd::Unsure)) | None => {
                figures.lost += 1;
                if !job.abandoned && job.end.is_none() && job.attempts == 1 {
                    report
                        .violations
                        .push(Violation::NoAnswer(job.id, job.first_sent));
                }
            }
        }
    }
}

//! What the table says of jobs and their runs.

use crate::job::TaskId;
use crate::keys::split_refusal_key;
use crate::plan::{JobStatus, TaskPlan, TaskStatus};
use crate::record::EndReason;

use super::{Job, JobTable};

impl JobTable {
    /// Returns the status of a job as callers see it, if the job is known. A job has succeeded as soon as
    /// the store holds the ends of its last tasks, before the planner updates the plan.
    #[must_use]
    pub fn status(&self, id: &str) -> Option<JobStatus> {
        let job = self.jobs.get(id)?;
        let status = job.status();
        let has_ended = !status.is_final() && self.all_done(job);
        Some(if has_ended { JobStatus::Succeeded } else { status })
    }

    /// Returns whether every task of a job is done, by the plan or by an end that the plan doesn't include
    /// yet.
    fn all_done(&self, job: &Job) -> bool {
        let submission = &job.submission;
        let Some(plan) = &job.plan else { return false };
        let is_long_running = submission.steps.iter().any(|step| step.long_running);
        if is_long_running || plan.next_occurrence < submission.occurrence_count() {
            return false;
        }
        plan.open.iter().all(|occurrence| {
            let steps = occurrence.steps.iter().zip(&submission.steps).enumerate();
            steps.into_iter().all(|(number, (tasks, step))| {
                let mut tasks = tasks.iter().enumerate();
                let is_done = |(index, task): (usize, &TaskPlan)| {
                    let id = TaskId {
                        job: submission.id.clone(),
                        occurrence: occurrence.number,
                        step: number as u32,
                        index: index as u32,
                    };
                    task.status == TaskStatus::Done || self.has_succeeded(&id, task)
                };
                // A gang ends jointly: one member done counts for all.
                if step.gang { tasks.any(is_done) } else { tasks.all(is_done) }
            })
        })
    }

    /// Returns whether an end of a run is known that no plan includes yet.
    #[must_use]
    pub fn has_end(&self, task: &TaskId, attempt: u32) -> bool {
        self.ends.contains_key(&format!("end/{task}/{attempt}"))
    }

    /// Returns whether the end of a run is known, or is included in the plan of its job: an end of the run for this
    /// reason would change nothing.
    #[must_use]
    pub fn includes_end(&self, task: &TaskId, attempt: u32, reason: EndReason) -> bool {
        if self.has_end(task, attempt) {
            return true;
        }
        let Some(plan) = self.jobs.get(&task.job).and_then(|job| job.plan.as_ref()) else {
            return false;
        };
        let is_open = plan.open.iter().any(|open| open.number == task.occurrence);
        let is_over = !is_open && task.occurrence < plan.next_occurrence;
        let is_past = |current: &TaskPlan| {
            current.attempt >= attempt && !current.accepts_end(attempt, reason)
        };
        is_over || plan.task(task).is_some_and(is_past)
    }

    /// Returns whether a refusal of a run is known that no plan includes yet.
    #[must_use]
    pub fn has_refusal(&self, task: &TaskId, attempt: u32) -> bool {
        let key = format!("refusal/{task}/{attempt}");
        let mut from_key = self.ends.range(key.clone()..);
        from_key.next().is_some_and(|(found, _)| split_refusal_key(found).0 == key)
    }

    fn has_succeeded(&self, id: &TaskId, task: &TaskPlan) -> bool {
        let end = self.ends.get(&format!("end/{id}/{}", task.attempt));
        task.may_be_running() && end.is_some_and(|end| end.reason == EndReason::Done)
    }

    /// Counts the accepted jobs of a queue none of whose tasks has started.
    #[must_use]
    pub fn pending(&self, queue: &str) -> usize {
        let waiting = self.active.iter().filter_map(|id| self.jobs.get(id));
        waiting
            .filter(|job| job.submission.queue == queue && job.status() == JobStatus::Queued)
            .count()
    }

    /// Returns whether a run should start or go on at a worker: it is assigned to the worker, the worker is registered,
    /// and the job isn't cancelled. What runs at a worker whose registration is gone will be started elsewhere.
    #[must_use]
    pub fn should_run(&self, instance: &str, task: &TaskId, attempt: u32) -> bool {
        if !self.workers.contains_key(instance) {
            return false;
        }
        let Some(job) = self.jobs.get(&task.job) else { return false };
        if job.cancelled {
            return false;
        }
        let Some(planned) = job.plan.as_ref().and_then(|plan| plan.task(task)) else {
            return false;
        };
        planned.status == TaskStatus::Running
            && planned.attempt == attempt
            && planned.instance == instance
    }
}

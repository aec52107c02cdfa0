//! Finds out which jobs have begun: a run of theirs has started at its worker.
//!
//! A job that is only assigned hasn't begun: its worker may be lost before the start arrives, or may reject it. So the
//! status of a job follows from what workers list, which reaches the leader as ends of runs, as reports of their
//! progress, and as the runs that were in flight when a worker's incarnation ended. A job that has begun stays so when
//! its runs are given up.

use crate::job::{JobId, TaskId};
use crate::plan::{JobStatus, TaskPlan};

use super::RoundInputs;
use super::draft::Draft;

/// Marks the jobs that have begun by a report, or by the end of their worker's incarnation.
pub fn note_begun_jobs(draft: &mut Draft<'_>, inputs: &RoundInputs<'_>) {
    for id in &inputs.table.active {
        if has_begun_run(draft, id, inputs) {
            note_begun(draft, id);
        }
    }
}

/// Returns whether a queued job has a run that its worker lists, or listed.
fn has_begun_run(draft: &Draft<'_>, id: &JobId, inputs: &RoundInputs<'_>) -> bool {
    let Some(plan) = draft.plan(id).filter(|plan| plan.status == JobStatus::Queued) else {
        return false;
    };
    let mut assigned = plan.tasks_where(id, TaskPlan::may_be_running);
    assigned.any(|task| plan.task(&task).is_some_and(|planned| is_listed(&task, planned, inputs)))
}

/// Marks a job as begun, unless it is already, or has ended.
pub fn note_begun(draft: &mut Draft<'_>, id: &JobId) {
    if draft.plan(id).is_some_and(|plan| plan.status == JobStatus::Queued) {
        log::info!("event=J231 job has begun job={id}");
        draft.edit(id).status = JobStatus::Running;
    }
}

/// Returns whether a task's run is, or was, listed by its worker.
fn is_listed(task: &TaskId, planned: &TaskPlan, inputs: &RoundInputs<'_>) -> bool {
    let is_reported = inputs.progress.run(&planned.instance, task, planned.attempt).is_some();
    let ended = inputs.table.ended_incarnations.get(&planned.instance);
    let mut in_flight = ended.and_then(|ended| ended.runs.as_deref()).into_iter().flatten();
    is_reported
        || in_flight
            .any(|run| run.task == *task && run.attempt == planned.attempt && run.listed_ms > 0)
}

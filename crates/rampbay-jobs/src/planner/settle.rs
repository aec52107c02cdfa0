//! Updates the job plans: applies ends of runs and cancellations, and settles gangs, occurrences and jobs.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::job::{JobId, Step, Submission, TaskId};
use crate::keys::split_refusal_key;
use crate::plan::{JobPlan, JobStatus, TaskPlan, TaskStatus};
use crate::record::{EndReason, RunEnd};
use crate::table::JobTable;

use super::RoundInputs;
use super::begun::note_begun;
use super::draft::Draft;
use super::events::{RunChange, RunEvent, StopReason};
use super::health::HealthTracker;

/// Applies the ends that agents have reported to the plans.
pub fn apply_ends(draft: &mut Draft<'_>, inputs: &RoundInputs<'_>, health: &mut HealthTracker) {
    for (key, end) in &inputs.table.ends {
        draft.remove(key.clone());
        if is_refusal_of_earlier_process(inputs.table, key, end) {
            log::info!(
                "event=J137 refusal by an earlier agent process ignored task={} attempt={} worker={}",
                end.task,
                end.attempt,
                end.instance
            );
            continue;
        }
        record_health(end, inputs, health);
        if end.reason != EndReason::NotStarted {
            note_begun(draft, &end.task.job);
        }
        apply_end(draft, inputs, end);
    }
}

/// Returns whether a start was refused by an agent process that another process has replaced. Such a refusal may be
/// stored late, after the later process has started the run; applied as an end, it would give up a run that goes on.
fn is_refusal_of_earlier_process(table: &JobTable, key: &str, end: &RunEnd) -> bool {
    let (_, number) = split_refusal_key(key);
    // Before the store has kept the process's registration (number 0), the process refuses only runs that it has told
    // the worker never to start.
    if end.reason != EndReason::NotStarted || number == 0 {
        return false;
    }
    let is_registered = table.workers.contains_key(&end.instance);
    is_registered && !table.registrations().is_registered_by_process_of(&end.instance, number)
}

fn record_health(end: &RunEnd, inputs: &RoundInputs<'_>, health: &mut HealthTracker) {
    match end.reason {
        EndReason::Failed => health.record_failure(&end.instance, &end.task.job, inputs.now),
        EndReason::Done => health.record_success(&end.instance),
        EndReason::NotStarted => health.record_refusal(&end.instance, inputs.now),
        _ => {}
    }
    if end.reason != EndReason::NotStarted {
        health.record_start(&end.instance);
    }
    health.record_end(&end.instance, &end.task, end.attempt);
}

/// Applies the end of a run to the plan of its task, if it is the task's current run.
pub fn apply_end(draft: &mut Draft<'_>, inputs: &RoundInputs<'_>, end: &RunEnd) {
    let Some(submission) = draft.submission(&end.task.job) else { return };
    let Some(step) = submission.steps.get(end.task.step as usize) else { return };
    let current = draft.plan(&end.task.job).and_then(|plan| plan.task(&end.task));
    let Some(current) = current else { return };
    if !current.accepts_end(end.attempt, end.reason) {
        log::info!(
            "event=J131 stale end task={} attempt={} current={} reason={:?}",
            end.task,
            end.attempt,
            current.attempt,
            end.reason
        );
        return;
    }
    log::info!(
        "event=J130 run ended task={} attempt={} reason={:?} worker={}",
        end.task,
        end.attempt,
        end.reason,
        end.instance
    );
    let checkpoint = newest_checkpoint(inputs, end);
    let plan = draft.edit(&end.task.job);
    if let Some(task) = plan.task_mut(&end.task) {
        task.status = TaskStatus::Waiting;
        if !checkpoint.is_empty() {
            task.checkpoint = checkpoint;
        }
        if end.reason == EndReason::Failed {
            task.failed_at.clone_from(&end.instance);
        }
        if end.reason == EndReason::Done && !step.long_running {
            task.status = TaskStatus::Done;
        }
    }
    if end.reason == EndReason::Failed && !step.long_running {
        count_failure(plan, &submission, step, end);
    }
    let change = RunChange::Ended(end.reason);
    draft.note(RunEvent { task: end.task.clone(), attempt: end.attempt, change });
}

fn newest_checkpoint(inputs: &RoundInputs<'_>, end: &RunEnd) -> String {
    if !end.checkpoint.is_empty() {
        return end.checkpoint.clone();
    }
    let seen = inputs.progress.run(&end.instance, &end.task, end.attempt);
    seen.map(|seen| seen.checkpoint.clone()).unwrap_or_default()
}

/// Counts a failed run. A failed gang run is counted once, at all members.
fn count_failure(plan: &mut JobPlan, submission: &Submission, step: &Step, end: &RunEnd) {
    let members = if step.gang { 0..step.count } else { end.task.index..end.task.index + 1 };
    for index in members {
        let id = TaskId { index, ..end.task.clone() };
        let Some(task) = plan.task_mut(&id) else { continue };
        if task.failed_attempt == end.attempt {
            continue;
        }
        task.failed_attempt = end.attempt;
        task.failures += 1;
        if task.failures >= submission.attempts.max(1) && !task.may_be_running() {
            task.status = TaskStatus::Failed;
        }
    }
}

/// Ends jobs that their callers have cancelled, and stops the runs of jobs that have ended.
pub fn cancel(draft: &mut Draft<'_>) {
    for id in &draft.table.active {
        let cancelled = draft.table.jobs.get(id).is_some_and(|job| job.cancelled);
        let is_final = draft.plan(id).is_some_and(|plan| plan.status.is_final());
        if cancelled && !is_final {
            draft.edit(id).status = JobStatus::Cancelled;
            log::info!("event=J132 job cancelled job={id}");
        }
        if cancelled || is_final {
            stop_all(draft, id);
        }
    }
}

fn stop_all(draft: &mut Draft<'_>, id: &JobId) {
    let Some(plan) = draft.plan(id) else { return };
    let is_running = |task: &TaskPlan| task.status == TaskStatus::Running;
    let running: Vec<TaskId> = plan.tasks_where(id, is_running).collect();
    for task in running {
        draft.stop(&task, &StopReason::NotNeeded);
    }
}

/// Plans, as the store holds them, in which nothing is left to settle.
///
/// A plan that a round found settled needn't be checked again until it changes. A changed plan is
/// another allocation; the settled ones are kept alive here so that a new plan can't reuse the
/// address of an old one.
#[derive(Debug, Default)]
pub struct SettledPlans(BTreeMap<JobId, Rc<JobPlan>>);

impl SettledPlans {
    fn contains(&self, id: &JobId, plan: &Rc<JobPlan>) -> bool {
        self.0.get(id).is_some_and(|settled| Rc::ptr_eq(settled, plan))
    }

    fn keep_active(&mut self, table: &JobTable) {
        self.0.retain(|id, _| table.active.contains(id));
    }
}

/// Settles gangs, closes occurrences that are done, and ends jobs.
pub fn settle(draft: &mut Draft<'_>, inputs: &RoundInputs<'_>, known: &mut SettledPlans) {
    known.keep_active(inputs.table);
    for id in &inputs.table.active {
        let kept = draft.unchanged_plan(id);
        if kept.is_some_and(|plan| known.contains(id, plan)) {
            continue;
        }
        let Some(submission) = draft.submission(id) else { continue };
        let Some(plan) = draft.plan(id) else { continue };
        if plan.status.is_final() {
            continue;
        }
        let mut settled = plan.clone();
        settle_gangs(&mut settled, &submission);
        settle_job(&mut settled, &submission);
        if settled != *plan {
            log_settled(id, plan.status, settled.status, inputs);
            let stops = new_stops(id, plan, &settled);
            *draft.edit(id) = settled;
            stops.into_iter().for_each(|stop| draft.note(stop));
        } else if let Some(plan) = kept {
            known.0.insert(id.clone(), Rc::clone(plan));
        }
    }
}

/// Lists the runs that are to be stopped by `after` but not by `before`.
fn new_stops(id: &JobId, before: &JobPlan, after: &JobPlan) -> Vec<RunEvent> {
    let stopping = after.tasks_where(id, |task| task.status == TaskStatus::Stopping);
    let new = stopping.filter_map(|task| {
        let before = before.task(&task).filter(|task| task.status == TaskStatus::Running)?;
        let change = RunChange::Stopped(StopReason::NotNeeded);
        Some(RunEvent { task, attempt: before.attempt, change })
    });
    new.collect()
}

fn log_settled(id: &JobId, before: JobStatus, after: JobStatus, inputs: &RoundInputs<'_>) {
    if before != after {
        log::info!("event=J133 job settled job={id} status={after:?} wall={}", inputs.wall);
    }
}

/// Settles gangs: one member done counts for all members, and the end of one member stops the others.
fn settle_gangs(plan: &mut JobPlan, submission: &Submission) {
    for occurrence in &mut plan.open {
        for (tasks, step) in occurrence.steps.iter_mut().zip(&submission.steps) {
            if step.gang && !step.long_running {
                settle_gang(tasks, submission.attempts.max(1));
            } else if step.gang {
                stop_others(tasks);
            }
        }
    }
}

fn settle_gang(tasks: &mut [TaskPlan], attempts: u32) {
    let any_done = tasks.iter().any(|task| task.status == TaskStatus::Done);
    for task in tasks.iter_mut().filter(|task| !task.may_be_running()) {
        if any_done {
            task.status = TaskStatus::Done;
        } else if task.failures >= attempts {
            task.status = TaskStatus::Failed;
        }
    }
    if !any_done {
        stop_others(tasks);
    }
}

fn stop_others(tasks: &mut [TaskPlan]) {
    let any_ended = tasks.iter().any(|task| task.status != TaskStatus::Running);
    if !any_ended {
        return;
    }
    for task in tasks.iter_mut().filter(|task| task.status == TaskStatus::Running) {
        task.status = TaskStatus::Stopping;
    }
}

fn settle_job(plan: &mut JobPlan, submission: &Submission) {
    let mut tasks = plan.open.iter().flat_map(|open| open.steps.iter().flatten());
    if tasks.any(|task| task.status == TaskStatus::Failed) {
        plan.status = JobStatus::Failed;
        for task in plan.open.iter_mut().flat_map(|open| open.steps.iter_mut().flatten()) {
            if task.status == TaskStatus::Running {
                task.status = TaskStatus::Stopping;
            }
        }
        return;
    }
    plan.open
        .retain(|open| open.steps.iter().flatten().any(|task| task.status != TaskStatus::Done));
    if plan.open.is_empty() && plan.next_occurrence >= submission.occurrence_count() {
        plan.status = JobStatus::Succeeded;
    }
}

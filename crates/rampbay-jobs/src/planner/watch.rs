//! Moves runs off workers that leave, and moves runs that have stalled, that no agent reports, or that hold up their step.

use std::time::Duration;

use tokio::time::Instant;

use crate::job::{Step, Submission, TaskId};
use crate::metrics::metrics;
use crate::plan::{TaskPlan, TaskStatus};

use super::completion::pace::by_rate_ms;
use super::departure::{DepartingRun, RemainingTime};
use super::draft::Draft;
use super::events::StopReason;
use super::policy::{RoundEnd, Straggler};
use super::progress::ObservedProgress;
use super::unreported::UnreportedRuns;
use super::workers::{WorkerView, WorkerViews};
use super::{Planner, RoundInputs};

/// Stops the runs that should move to another worker. Stalled and unreported runs are checked only after new reports.
pub fn move_runs(
    planner: &mut Planner,
    draft: &mut Draft<'_>,
    workers: &WorkerViews<'_>,
    inputs: &RoundInputs<'_>,
) {
    let has_new_reports = planner.last_checked_progress != Some(inputs.progress.version());
    planner.last_checked_progress = Some(inputs.progress.version());
    let any_draining = workers.views.iter().any(|view| view.record.draining);
    if !has_new_reports && !any_draining {
        return;
    }
    for id in &inputs.table.active {
        let Some(submission) = draft.submission(id) else { continue };
        let Some(plan) = draft.plan(id) else { continue };
        let is_running = |task: &TaskPlan| task.status == TaskStatus::Running;
        let mut moved: Vec<TaskId> = Vec::new();
        for task_id in plan.tasks_where(id, is_running) {
            let Some(task) = plan.task(&task_id) else { continue };
            let Some(step) = submission.steps.get(task_id.step as usize) else { continue };
            let Some(worker) = workers.get(&task.instance) else { continue };
            let run = WatchedRun { id: &task_id, task, step, submission: &submission, worker };
            if run.should_leave(planner, inputs) {
                log::info!(
                    "event=J142 run moved off a draining worker task={task_id} worker={} remaining_ms={} left_ms={} percent={:?}",
                    task.instance,
                    run.remaining(planner, inputs).ms,
                    worker.record.leaves_at.saturating_sub(inputs.wall),
                    run.seen(inputs).map(|seen| seen.percent)
                );
                moved.push(task_id);
            } else if has_new_reports && let Some(percent) = run.stalled_percent(planner, inputs) {
                log::warn!(
                    "event=J143 run stalled task={task_id} worker={} percent={percent}",
                    task.instance
                );
                planner.health.record_stall(&task.instance, inputs.now);
                moved.push(task_id);
            } else if has_new_reports && run.is_not_picked_up(&mut planner.unreported, inputs) {
                log::warn!(
                    "event=J148 run not picked up by its agent task={task_id} attempt={} worker={} agent={}",
                    task.attempt,
                    task.instance,
                    worker.record.node
                );
                planner.health.record_unreported(
                    &task.instance,
                    &task_id,
                    task.attempt,
                    inputs.now,
                );
                moved.push(task_id);
            }
        }
        for task in moved {
            metrics().count_decision("move");
            draft.stop_unit(&task, &StopReason::Moved);
        }
    }
    if has_new_reports {
        planner.unreported.finish_pass();
    }
}

/// Stops the runs that hold up their steps, as the policy chooses them. They start again at other workers.
pub fn move_stragglers(
    planner: &Planner,
    draft: &mut Draft<'_>,
    workers: &WorkerViews<'_>,
    inputs: &RoundInputs<'_>,
) {
    let end = RoundEnd::new(planner, draft, workers, inputs);
    let chosen = planner.policy.choose_stragglers(&end);
    for straggler in chosen {
        straggler.log("moved");
        metrics().count_decision("straggler");
        restart(draft, &straggler);
    }
}

/// Stops a unit, so that it starts again elsewhere. The worker to avoid is kept with the plans of its tasks, as after a
/// failure, but no failure is counted.
fn restart(draft: &mut Draft<'_>, straggler: &Straggler) {
    for member in draft.unit_of(&straggler.task) {
        if let Some(task) = draft.edit(&member.job).task_mut(&member) {
            task.failed_at.clone_from(&straggler.worker);
        }
    }
    draft.stop_unit(&straggler.task, &StopReason::Straggler(straggler.clone()));
}

/// A run that is checked.
struct WatchedRun<'a> {
    id: &'a TaskId,
    task: &'a TaskPlan,
    step: &'a Step,
    submission: &'a Submission,
    worker: &'a WorkerView<'a>,
}

impl WatchedRun<'_> {
    fn seen<'b>(&self, inputs: &RoundInputs<'b>) -> Option<&'b ObservedProgress> {
        inputs.progress.run(&self.task.instance, self.id, self.task.attempt)
    }

    /// Returns its expected remaining time, computed from its own rate if that is known.
    fn remaining(&self, planner: &Planner, inputs: &RoundInputs<'_>) -> RemainingTime {
        let ms = planner.forecasts.duration_ms(self.submission, self.step);
        let Some(seen) = self.seen(inputs) else {
            return RemainingTime { ms, is_from_rate: false };
        };
        if let Some(ms) = remaining_by_rate_ms(seen) {
            // The run has gone on since its agent reported it.
            let since = inputs.progress.report(&self.task.instance, Instant::now()).age;
            return RemainingTime {
                ms: ms.saturating_sub(since.as_millis() as u64),
                is_from_rate: true,
            };
        }
        let elapsed = seen.first_seen.elapsed().as_millis() as u64;
        RemainingTime { ms: ms.saturating_sub(elapsed), is_from_rate: false }
    }

    /// Returns whether the run should move, since its worker is about to leave.
    fn should_leave(&self, planner: &Planner, inputs: &RoundInputs<'_>) -> bool {
        let worker = self.worker.record;
        if !worker.draining {
            return false;
        }
        if self.step.long_running {
            return true;
        }
        let ran = self.seen(inputs).map_or(Duration::ZERO, |seen| seen.first_seen.elapsed());
        let run = DepartingRun {
            ran,
            checkpointing: self.step.checkpointing,
            remaining: self.remaining(planner, inputs),
            notice_left_ms: worker.leaves_at.saturating_sub(inputs.wall),
        };
        !run.should_stay(&planner.policy.departure_costs())
    }

    /// Returns whether its agent's reports have lacked the run for too long.
    fn is_not_picked_up(&self, unreported: &mut UnreportedRuns, inputs: &RoundInputs<'_>) -> bool {
        if self.seen(inputs).is_some() {
            return false;
        }
        let reported_at = inputs.progress.reported_at(&self.task.instance);
        reported_at.is_some_and(|at| unreported.note(self.id, self.task.attempt, at))
    }

    /// Returns its progress in percent if it has stalled.
    fn stalled_percent(&self, planner: &Planner, inputs: &RoundInputs<'_>) -> Option<u32> {
        if self.step.long_running {
            return None;
        }
        let seen = self.seen(inputs)?;
        let stall_limit = planner.policy.stall_limit(self.step, seen);
        let suspect_after = planner.settings.suspect_after;
        let is_responsive =
            self.worker.report_age < suspect_after && self.worker.silent < suspect_after;
        (is_responsive && inputs.progress.unchanged_for(seen) > stall_limit).then_some(seen.percent)
    }
}

/// Returns the time that a run still needs at its present rate, in milliseconds.
fn remaining_by_rate_ms(seen: &ObservedProgress) -> Option<u64> {
    seen.rate.percent_per_s.map(|rate| by_rate_ms(seen.percent, rate))
}

//! Moves runs off workers that leave, and runs that stand still.

use std::time::Duration;

use crate::job::{Step, TaskId};
use crate::metrics::metrics;
use crate::record::{TaskPlan, TaskStatus, WorkerRecord};

use super::draft::Draft;
use super::progress::{FULL_PERCENT, Seen};
use super::{Planner, RoundInputs};

/// Share of the remaining time on a leaving worker that a run may be estimated to need.
const LEAVING_MARGIN_PERMILLE: u64 = 800;

/// Stops runs that are better off elsewhere.
pub fn move_runs(planner: &mut Planner, draft: &mut Draft<'_>, inputs: &RoundInputs<'_>) {
    for id in draft.active() {
        let Some(submission) = draft.submission(&id) else { continue };
        let Some(plan) = draft.plan(&id) else { continue };
        let mut moved: Vec<TaskId> = Vec::new();
        for (task_id, task) in plan.tasks(&id) {
            let Some(step) = submission.steps.get(task_id.step as usize) else { continue };
            if task.status != TaskStatus::Running {
                continue;
            }
            let duration = planner.forecasts.duration_ms(&submission, step);
            if leaves_too_early(&task_id, task, step, duration, inputs) {
                log::info!(
                    "event=J142 run leaves a draining worker task={task_id} worker={}",
                    task.instance
                );
                moved.push(task_id);
            } else if stands_still(planner, &task_id, task, step, inputs) {
                let percent =
                    inputs.progress.run(&task_id, task.attempt).map_or(0, |seen| seen.percent);
                log::warn!(
                    "event=J143 run stands still task={task_id} worker={} percent={percent}",
                    task.instance
                );
                planner.health.stalled(&task.instance, inputs.now);
                moved.push(task_id);
            }
        }
        for task in moved {
            metrics().decided("move");
            draft.stop_unit(&task);
        }
    }
}

/// Returns the time that a run is expected to need still, in milliseconds, by its own rate if that
/// is known.
fn remaining_ms(id: &TaskId, task: &TaskPlan, duration_ms: u64, inputs: &RoundInputs<'_>) -> u64 {
    let Some(seen) = inputs.progress.run(id, task.attempt) else { return duration_ms };
    remaining_by_rate_ms(seen).unwrap_or_else(|| {
        let elapsed = seen.first_seen.elapsed();
        duration_ms.saturating_sub(elapsed.as_millis() as u64)
    })
}

/// Returns the time that a run still needs at its present rate, in milliseconds.
fn remaining_by_rate_ms(seen: &Seen) -> Option<u64> {
    let rate = seen.rate.percent_per_s?;
    let left = f64::from(FULL_PERCENT.saturating_sub(seen.percent));
    // A run that doesn't get on is never done; a float that is too large becomes the largest time.
    Some((left * 1000.0 / rate.max(f64::MIN_POSITIVE)) as u64)
}

fn leaves_too_early(
    id: &TaskId,
    task: &TaskPlan,
    step: &Step,
    duration_ms: u64,
    inputs: &RoundInputs<'_>,
) -> bool {
    let worker: Option<&WorkerRecord> = inputs.table.workers.get(&task.instance).map(AsRef::as_ref);
    let Some(worker) = worker.filter(|worker| worker.draining) else { return false };
    if step.long_running {
        return true;
    }
    let left = worker.leaves_at.saturating_sub(inputs.wall) * LEAVING_MARGIN_PERMILLE / 1000;
    remaining_ms(id, task, duration_ms, inputs) > left
}

fn stands_still(
    planner: &Planner,
    id: &TaskId,
    task: &TaskPlan,
    step: &Step,
    inputs: &RoundInputs<'_>,
) -> bool {
    if step.long_running {
        return false;
    }
    let Some(seen) = inputs.progress.run(id, task.attempt) else { return false };
    // Past its estimate a run shows no progress, and may take long, away from its data.
    let past_estimate = seen.percent >= FULL_PERCENT;
    let longest = Duration::from_millis(step.estimate_ms * planner.settings.remote_penalty);
    let patience =
        planner.settings.stall_after + if past_estimate { longest } else { Duration::ZERO };
    let is_heard = planner.report_age(&task.instance, inputs) < planner.settings.doubt_after
        && inputs.progress.silent(&task.instance) < planner.settings.doubt_after;
    is_heard && inputs.progress.same_for(seen) > patience
}

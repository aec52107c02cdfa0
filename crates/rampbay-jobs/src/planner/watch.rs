//! Moves runs off workers that leave, runs that stand still, and runs that no agent takes up.

use std::time::Duration;

use tokio::time::Instant;

use crate::job::{Step, Submission, TaskId};
use crate::metrics::metrics;
use crate::plan::{TaskPlan, TaskStatus};

use super::departure::{NoticedRun, Rest};
use super::draft::Draft;
use super::progress::{FULL_PERCENT, Seen};
use super::unreported::UnreportedRuns;
use super::workers::{WorkerView, WorkerViews};
use super::{Planner, RoundInputs};

/// Stops runs that are better off elsewhere. What an agent has reported is looked at once.
pub fn move_runs(
    planner: &mut Planner,
    draft: &mut Draft<'_>,
    workers: &WorkerViews<'_>,
    inputs: &RoundInputs<'_>,
) {
    let is_news = planner.watched != Some(inputs.progress.version());
    planner.watched = Some(inputs.progress.version());
    let any_leaves = workers.views.iter().any(|view| view.record.draining);
    if !is_news && !any_leaves {
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
            if run.leaves_too_early(planner, inputs) {
                log::info!(
                    "event=J142 run leaves a draining worker task={task_id} worker={} remaining_ms={} left_ms={} percent={:?}",
                    task.instance,
                    run.rest(planner, inputs).ms,
                    worker.record.leaves_at.saturating_sub(inputs.wall),
                    run.seen(inputs).map(|seen| seen.percent)
                );
                moved.push(task_id);
            } else if is_news && let Some(percent) = run.stands_still(planner, inputs) {
                log::warn!(
                    "event=J143 run stands still task={task_id} worker={} percent={percent}",
                    task.instance
                );
                planner.health.stalled(&task.instance, inputs.now);
                moved.push(task_id);
            } else if is_news && run.is_not_taken_up(&mut planner.unreported, inputs) {
                log::warn!(
                    "event=J148 run not taken up task={task_id} attempt={} worker={} agent={}",
                    task.attempt,
                    task.instance,
                    worker.record.node
                );
                planner.health.stalled(&task.instance, inputs.now);
                moved.push(task_id);
            }
        }
        for task in moved {
            metrics().count_decision("move");
            draft.stop_unit(&task);
        }
    }
    if is_news {
        planner.unreported.forget_others();
    }
}

/// A run that is looked at.
struct WatchedRun<'a> {
    id: &'a TaskId,
    task: &'a TaskPlan,
    step: &'a Step,
    submission: &'a Submission,
    worker: &'a WorkerView<'a>,
}

impl WatchedRun<'_> {
    fn seen<'b>(&self, inputs: &RoundInputs<'b>) -> Option<&'b Seen> {
        inputs.progress.run(&self.task.instance, self.id, self.task.attempt)
    }

    /// Returns what it is expected to need still, by its own rate if that is known.
    fn rest(&self, planner: &Planner, inputs: &RoundInputs<'_>) -> Rest {
        let ms = planner.forecasts.duration_ms(self.submission, self.step);
        let Some(seen) = self.seen(inputs) else { return Rest { ms, is_by_rate: false } };
        if let Some(ms) = remaining_by_rate_ms(seen) {
            // It has gone on since its agent reported it.
            let since = inputs.progress.report(&self.task.instance, Instant::now()).age;
            return Rest { ms: ms.saturating_sub(since.as_millis() as u64), is_by_rate: true };
        }
        let elapsed = seen.first_seen.elapsed().as_millis() as u64;
        Rest { ms: ms.saturating_sub(elapsed), is_by_rate: false }
    }

    /// Returns whether it is better off elsewhere than at its worker, which leaves.
    fn leaves_too_early(&self, planner: &Planner, inputs: &RoundInputs<'_>) -> bool {
        let worker = self.worker.record;
        if !worker.draining {
            return false;
        }
        if self.step.long_running {
            return true;
        }
        let ran = self.seen(inputs).map_or(Duration::ZERO, |seen| seen.first_seen.elapsed());
        let run = NoticedRun {
            ran,
            saves: self.step.checkpointing,
            rest: self.rest(planner, inputs),
            left_ms: worker.leaves_at.saturating_sub(inputs.wall),
        };
        !run.stays()
    }

    /// Returns whether its agent goes on reporting without it.
    fn is_not_taken_up(&self, unreported: &mut UnreportedRuns, inputs: &RoundInputs<'_>) -> bool {
        if self.seen(inputs).is_some() {
            return false;
        }
        let reported_at = inputs.progress.reported_at(&self.task.instance);
        reported_at.is_some_and(|at| unreported.note(self.id, self.task.attempt, at))
    }

    /// Returns how far it is, in percent, if it gets on no more.
    fn stands_still(&self, planner: &Planner, inputs: &RoundInputs<'_>) -> Option<u32> {
        if self.step.long_running {
            return None;
        }
        let seen = self.seen(inputs)?;
        // Past its estimate a run shows no progress, and may take long, away from its data.
        let past_estimate = seen.percent >= FULL_PERCENT;
        let longest =
            Duration::from_millis(self.step.estimate_ms * planner.settings.remote_penalty);
        let patience =
            planner.settings.stall_after + if past_estimate { longest } else { Duration::ZERO };
        let suspect_after = planner.settings.suspect_after;
        let is_heard = self.worker.report_age < suspect_after && self.worker.silent < suspect_after;
        (is_heard && inputs.progress.same_for(seen) > patience).then_some(seen.percent)
    }
}

/// Returns the time that a run still needs at its present rate, in milliseconds.
fn remaining_by_rate_ms(seen: &Seen) -> Option<u64> {
    let rate = seen.rate.percent_per_s?;
    let left = f64::from(FULL_PERCENT.saturating_sub(seen.percent));
    // A run that doesn't get on is never done; a float that is too large becomes the largest time.
    Some((left * 1000.0 / rate.max(f64::MIN_POSITIVE)) as u64)
}

//! What the stop of a run costs: the work that it loses, weighted by priority and attempts.

use std::time::Duration;

use crate::planner::policy::StopCost;
use crate::planner::progress::ObservedProgress;
use crate::planner::running::RunningTask;

/// Largest work since the last checkpoint of a run that saves checkpoints.
pub const MAX_WORK_SINCE_CHECKPOINT: Duration = Duration::from_millis(800);
/// Work that every stop loses in addition, for the repeated start.
const RESTART_WORK: Duration = Duration::from_millis(300);
/// This work for a member of a gang, which needs capacity for all members again.
const GANG_RESTART_WORK: Duration = Duration::from_millis(1000);
/// Priority from which all work has the same weight.
const LOWEST_WEIGHTED_PRIORITY: u32 = 2;

/// Returns the weight of a stop, which doubles with each step of priority.
pub const fn priority_weight(priority: u32) -> u64 {
    1 << LOWEST_WEIGHTED_PRIORITY.saturating_sub(priority)
}

/// Returns the cost of stopping a run, given its progress if it is known.
pub fn stop_cost(run: &RunningTask, seen: Option<&ObservedProgress>) -> StopCost {
    let lost_work = lost_work(run, seen);
    StopCost { lost_work, cost: lost_work * priority_weight(run.priority) * u64::from(run.attempt) }
}

/// Returns the work that a stop loses, in thousandths of core-seconds. Estimates are rough, so the work is computed
/// from the time since the run was first seen.
fn lost_work(run: &RunningTask, seen: Option<&ObservedProgress>) -> u64 {
    let mut lost = seen.map_or(Duration::ZERO, |seen| seen.first_seen.elapsed());
    if run.checkpointing {
        lost = lost.min(MAX_WORK_SINCE_CHECKPOINT);
    }
    let restart = if run.gang { GANG_RESTART_WORK } else { RESTART_WORK };
    let lost_ms = (lost + restart).as_millis() as u64;
    run.weight.max(1) * lost_ms / 1000
}

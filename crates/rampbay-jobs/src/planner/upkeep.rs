//! Stops the runs at workers whose machines are about to get their maintenance.

use crate::job::TaskId;
use crate::metrics::metrics;
use crate::plan::{TaskPlan, TaskStatus};

use super::RoundInputs;
use super::draft::Draft;
use super::events::StopReason;

/// Stops all runs at the workers that waves have chosen for it, with the members of their gangs.
pub fn stop_runs(draft: &mut Draft<'_>, inputs: &RoundInputs<'_>) {
    if inputs.upkeep.stopping.is_empty() {
        return;
    }
    for id in &inputs.table.active {
        let Some(plan) = draft.plan(id) else { continue };
        let is_stopped = |task: &TaskPlan| {
            task.status == TaskStatus::Running && inputs.upkeep.stopping.contains(&task.instance)
        };
        let stopped: Vec<TaskId> = plan.tasks_where(id, is_stopped).collect();
        for task in stopped {
            metrics().count_decision("maintenance");
            draft.stop_unit(&task, &StopReason::Moved);
        }
    }
}

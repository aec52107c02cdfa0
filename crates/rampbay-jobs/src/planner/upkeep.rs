//! Stops the runs at workers whose machines are about to get their maintenance.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::job::{InstanceId, TaskId};
use crate::metrics::metrics;
use crate::plan::{TaskPlan, TaskStatus};

use super::RoundInputs;
use super::draft::Draft;
use super::events::StopReason;

/// Time for which a worker counts as emptied after the last round that emptied it: it goes down within a few seconds, and
/// is evicted and removed at the latest after some 23 s.
const EMPTIED_RETENTION: Duration = Duration::from_secs(60);

/// Workers that were emptied for the maintenance of their machines, and when last. Runs that are lost there were taken away
/// by the system, so they don't count against their tasks.
#[derive(Debug, Default)]
pub struct EmptiedWorkers(BTreeMap<InstanceId, Duration>);

impl EmptiedWorkers {
    /// Notes the workers that are emptied in a round.
    pub fn note(&mut self, inputs: &RoundInputs<'_>) {
        let now = inputs.now;
        self.0.retain(|_, last| now.saturating_sub(*last) < EMPTIED_RETENTION);
        let emptied = inputs.upkeep.stopping.iter();
        self.0.extend(emptied.map(|instance| (instance.clone(), now)));
    }

    /// Returns whether a worker was emptied.
    pub fn contains(&self, instance: &str) -> bool {
        self.0.contains_key(instance)
    }
}

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

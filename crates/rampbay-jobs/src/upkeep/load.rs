//! The work at the workers of machines, as waves see it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::job::{InstanceId, Step, TaskId};
use crate::plan::{TaskPlan, TaskStatus};
use crate::planner::{Planner, RoundInputs};
use crate::table::JobTable;

use super::budget::{StepBudget, StepId};
use super::machine::WorkerId;

/// The work at one worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerLoad {
    /// Number of runs, including those that are being stopped.
    pub runs: u32,
    /// Time until the last of them is expected to end; `None` if one doesn't end by itself.
    pub until_idle: Option<Duration>,
    /// Tasks that go away with this worker's runs, of steps that limit how many are away; without those that are being
    /// stopped.
    pub limited: BTreeMap<StepId, u32>,
}

/// The work at all workers that is relevant to waves.
#[derive(Debug, Default)]
pub struct Load {
    /// Workers with runs.
    pub workers: BTreeMap<WorkerId, WorkerLoad>,
    /// Steps that limit how many of their tasks are away.
    pub steps: BTreeMap<StepId, StepBudget>,
}

/// The workers that waves take out of use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerDrains {
    /// Workers that get nothing new.
    pub closed: BTreeSet<InstanceId>,
    /// Workers whose runs are stopped.
    pub stopping: BTreeSet<InstanceId>,
}

impl WorkerDrains {
    /// Returns the drains of the incarnations that are listed under some ids.
    #[must_use]
    pub fn of(
        table: &JobTable,
        closed: &BTreeSet<WorkerId>,
        stopping: &BTreeSet<WorkerId>,
        worker_id: impl Fn(&str) -> WorkerId,
    ) -> Self {
        if closed.is_empty() && stopping.is_empty() {
            return Self::default();
        }
        let listed = |ids: &BTreeSet<WorkerId>| {
            let known = table.workers.keys();
            known.filter(|instance| ids.contains(&worker_id(instance))).cloned().collect()
        };
        Self { closed: listed(closed), stopping: listed(stopping) }
    }
}

/// Returns the largest number of tasks of a step that may be away; `None` if the step doesn't limit it.
fn limit(step: &Step) -> Option<u32> {
    step.optional.filter(|_| step.long_running)
}

impl Load {
    /// Computes the work at some workers from the table and the planner's estimates. `worker_id` returns the id under which
    /// a worker is listed.
    #[must_use]
    pub fn new(
        planner: &Planner,
        inputs: &RoundInputs<'_>,
        workers: &BTreeSet<WorkerId>,
        worker_id: impl Fn(&str) -> WorkerId,
    ) -> Self {
        let mut load = Self::default();
        if workers.is_empty() {
            return load;
        }
        let listed = inputs.table.workers.keys().map(|instance| (instance, worker_id(instance)));
        let listed: BTreeMap<&InstanceId, WorkerId> =
            listed.filter(|(_, id)| workers.contains(id)).collect();
        let completion = planner.completion(inputs);
        for id in &inputs.table.active {
            let Some(job) = inputs.table.jobs.get(id) else { continue };
            let Some(plan) = job.plan.as_deref() else { continue };
            for (task_id, task) in plan.tasks(id) {
                let Some(step) = job.submission.steps.get(task_id.step as usize) else { continue };
                load.count_away(step, &task_id, task);
                let Some(worker) = listed.get(&task.instance).filter(|_| task.may_be_running())
                else {
                    continue;
                };
                let remaining = || completion.remaining(std::slice::from_ref(&task_id), plan);
                let remaining = if step.long_running { None } else { remaining() };
                let remaining = remaining.map(|estimate| Duration::from_millis(estimate.ms));
                load.add_run(worker, step, &task_id, task, remaining);
            }
        }
        load
    }

    fn count_away(&mut self, step: &Step, id: &TaskId, task: &TaskPlan) {
        let Some(optional) = limit(step) else { return };
        let budget = self.steps.entry(step_of(id)).or_default();
        budget.optional = optional;
        budget.away += u32::from(is_away(task));
    }

    fn add_run(
        &mut self,
        worker: &WorkerId,
        step: &Step,
        id: &TaskId,
        task: &TaskPlan,
        remaining: Option<Duration>,
    ) {
        let at = self.workers.entry(worker.clone()).or_default();
        at.until_idle = match (at.until_idle, remaining) {
            (_, remaining) if at.runs == 0 => remaining,
            (Some(before), Some(remaining)) => Some(before.max(remaining)),
            _ => None,
        };
        at.runs += 1;
        if limit(step).is_some() && task.status == TaskStatus::Running {
            let taken = at.limited.entry(step_of(id)).or_default();
            // The members of a gang are stopped together, wherever they run.
            *taken = if step.gang { step.count } else { *taken + 1 };
        }
    }
}

fn step_of(id: &TaskId) -> StepId {
    (id.job.clone(), id.occurrence, id.step)
}

/// Returns whether a task has run and doesn't run now, or is being stopped.
fn is_away(task: &TaskPlan) -> bool {
    match task.status {
        TaskStatus::Waiting => task.attempt > 0,
        TaskStatus::Stopping => true,
        TaskStatus::Running | TaskStatus::Done | TaskStatus::Failed => false,
    }
}

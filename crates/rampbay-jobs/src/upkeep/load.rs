//! The work at the workers of machines, as waves see it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::job::{InstanceId, Step};
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
    /// Runs of steps that limit how many of their tasks are away, without those that are being stopped.
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
    /// Computes the work from the table and the planner's estimates.
    #[must_use]
    pub fn new(
        planner: &Planner,
        inputs: &RoundInputs<'_>,
        worker_id: impl Fn(&str) -> WorkerId,
    ) -> Self {
        let mut load = Self::default();
        let completion = planner.completion(inputs);
        for id in &inputs.table.active {
            let Some(job) = inputs.table.jobs.get(id) else { continue };
            let Some(plan) = job.plan.as_deref() else { continue };
            for (task_id, task) in plan.tasks(id) {
                let Some(step) = job.submission.steps.get(task_id.step as usize) else { continue };
                let key = (id.clone(), task_id.occurrence, task_id.step);
                if let Some(optional) = limit(step) {
                    let budget = load.steps.entry(key.clone()).or_default();
                    budget.optional = optional;
                    budget.away += u32::from(is_away(task));
                }
                if !task.may_be_running() {
                    continue;
                }
                let remaining = || completion.remaining(std::slice::from_ref(&task_id), plan);
                let remaining = if step.long_running { None } else { remaining() };
                let remaining = remaining.map(|estimate| Duration::from_millis(estimate.ms));
                let is_first = !load.workers.contains_key(&worker_id(&task.instance));
                let at = load.workers.entry(worker_id(&task.instance)).or_default();
                at.runs += 1;
                at.until_idle = match (at.until_idle, remaining) {
                    (None, remaining) if is_first => remaining,
                    (Some(before), Some(remaining)) => Some(before.max(remaining)),
                    _ => None,
                };
                if limit(step).is_some() && task.status == TaskStatus::Running {
                    *at.limited.entry(key).or_default() += 1;
                }
            }
        }
        load
    }
}

/// Returns whether a task has run and doesn't run now, or is being stopped.
fn is_away(task: &TaskPlan) -> bool {
    match task.status {
        TaskStatus::Waiting => task.attempt > 0,
        TaskStatus::Stopping => true,
        TaskStatus::Running | TaskStatus::Done | TaskStatus::Failed => false,
    }
}

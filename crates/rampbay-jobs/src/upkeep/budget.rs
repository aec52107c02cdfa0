//! How many long-running tasks of a step may be away at once by the system's doing.

use std::collections::BTreeMap;

use crate::job::JobId;

use super::load::WorkerLoad;

/// Identifies a step of an occurrence: job, occurrence and step.
pub type StepId = (JobId, u32, u32);

/// A step that limits how many of its tasks are away.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StepBudget {
    /// Largest number of its tasks that may be away.
    pub optional: u32,
    /// Number of its tasks that have run and don't run now, or are being stopped.
    pub away: u32,
}

/// The budgets during a round. Each machine whose work is taken away uses up some of them.
#[derive(Debug)]
pub(super) struct Budgets(BTreeMap<StepId, StepBudget>);

impl Budgets {
    pub fn new(steps: &BTreeMap<StepId, StepBudget>) -> Self {
        Self(steps.clone())
    }

    /// Returns whether the work of a worker may be taken away.
    pub fn allow(&self, load: &WorkerLoad) -> bool {
        let fits = |(step, count): (&StepId, &u32)| {
            self.0.get(step).is_none_or(|budget| budget.away + count <= budget.optional)
        };
        load.limited.iter().all(fits)
    }

    /// Counts the work of a worker as away.
    pub fn take(&mut self, load: &WorkerLoad) {
        for (step, count) in &load.limited {
            if let Some(budget) = self.0.get_mut(step) {
                budget.away += count;
            }
        }
    }
}

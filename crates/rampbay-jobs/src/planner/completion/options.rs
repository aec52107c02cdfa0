//! When a step would end, by how it is started.

use crate::plan::JobPlan;
use crate::planner::WorkerIndex;
use crate::planner::fit::Need;
use crate::planner::fleet_state::FleetState;
use crate::planner::queue::WaitingStep;

use super::durations::Batch;
use super::room::RoomScope;
use super::saved::Saved;
use super::{Completion, Estimate};

/// A way to start the tasks of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOption<'a> {
    /// They start now on these workers, one entry a task.
    Now(&'a [WorkerIndex]),
    /// They start on these workers once runs there have been stopped.
    AfterStops(&'a [WorkerIndex]),
    /// They wait until runs have ended.
    Wait(RoomScope),
}

/// The start and the end of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedTimes {
    /// Time until its tasks start.
    pub start: Estimate,
    /// Time until the last one ends.
    pub end: Estimate,
}

impl Completion<'_> {
    /// Returns the waiting tasks of a step as a batch. `plan` is the plan of their job.
    #[must_use]
    pub fn batch<'w>(&self, waiting: &'w WaitingStep, plan: Option<&JobPlan>) -> Batch<'w> {
        let step = waiting.definition();
        if !step.checkpointing {
            return Batch { submission: &waiting.submission, step, saved: Saved::default() };
        }
        let tasks = waiting.tasks.iter().filter_map(|&index| {
            let id = waiting.task(index);
            let task = plan?.task(&id)?;
            Some((id, task))
        });
        Batch { submission: &waiting.submission, step, saved: self.saved_of(step.gang, tasks) }
    }

    /// Returns when `count` tasks of a batch start and end under an option, or `None` if they can't start that way.
    #[must_use]
    pub fn expected_times(
        &self,
        fleet: &FleetState,
        need: &Need<'_>,
        batch: &Batch<'_>,
        count: usize,
        option: StartOption<'_>,
    ) -> Option<ExpectedTimes> {
        let stop_ms = self.settings.stop.as_millis() as u64;
        let (start, places) = match option {
            StartOption::Now(places) => (Estimate::exact(0), places.to_vec()),
            StartOption::AfterStops(places) => (Estimate::exact(stop_ms), places.to_vec()),
            StartOption::Wait(scope) => {
                let room = self.room(fleet, need, count, scope)?;
                (room.at, room.places)
            }
        };
        let end = start.then(self.duration(fleet, batch, &places));
        Some(ExpectedTimes { start, end })
    }
}

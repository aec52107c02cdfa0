//! The estimate of completion together with the fleet, for questions that are asked outside a round.

use crate::job::{InstanceId, JobId, TaskId};
use crate::planner::draft::Draft;
use crate::planner::fit::Need;
use crate::planner::fleet_state::FleetState;
use crate::planner::policy::PlacementPolicy;
use crate::planner::queue::{WaitingStep, sort_steps, waiting_steps};
use crate::planner::workers::WorkerViews;
use crate::planner::{Planner, RoundInputs, WorkerIndex};

use super::options::{ExpectedTimes, StartOption};
use super::room::{Room, RoomScope};
use super::{Completion, Estimate};

/// The estimate of completion, and the fleet as the table describes it.
pub struct CompletionView<'a> {
    /// The estimate.
    pub completion: Completion<'a>,
    /// The fleet.
    pub fleet: FleetState,
    waiting: Vec<WaitingStep>,
    policy: &'a dyn PlacementPolicy,
    draft: Draft<'a>,
}

impl Planner {
    /// Returns the estimate of completion with the fleet as the table describes it, by what this planner knew at its last
    /// round.
    #[must_use]
    pub fn completion_view<'a>(&'a self, inputs: &'a RoundInputs<'a>) -> CompletionView<'a> {
        let draft = Draft::new(inputs.table);
        let workers = WorkerViews::new(inputs, &self.known_since);
        let fleet = FleetState::new(self, &draft, &workers, inputs);
        let policy = self.policy.as_ref();
        let mut waiting = waiting_steps(&draft, inputs, &self.forecasts);
        sort_steps(&mut waiting, policy, inputs);
        CompletionView { completion: self.completion(inputs), fleet, waiting, policy, draft }
    }
}

impl CompletionView<'_> {
    fn step(&self, job: &JobId, step: u32) -> Option<&WaitingStep> {
        self.waiting.iter().find(|waiting| waiting.job == *job && waiting.step == step)
    }

    /// Returns the steps that wait, in the order in which they are placed.
    #[must_use]
    pub fn waiting(&self) -> &[WaitingStep] {
        &self.waiting
    }

    /// Returns the index of a worker.
    #[must_use]
    pub fn place(&self, worker: &InstanceId) -> Option<WorkerIndex> {
        self.fleet.workers.iter().position(|known| known.instance == *worker)
    }

    /// Returns how long the waiting tasks of a step take on some workers; `None` if the step doesn't wait.
    #[must_use]
    pub fn duration(&self, job: &JobId, step: u32, workers: &[&InstanceId]) -> Option<Estimate> {
        let waiting = self.step(job, step)?;
        let batch = self.completion.batch(waiting, self.draft.plan(job));
        Some(self.completion.duration_on(&batch, workers))
    }

    /// Returns how long a task's run still needs, or its gang's; `None` if it doesn't run.
    #[must_use]
    pub fn remaining(&self, task: &TaskId) -> Option<Estimate> {
        let plan = self.draft.plan(&task.job)?;
        self.completion.remaining(&self.draft.unit_of(task), plan)
    }

    /// Returns the requirements of a waiting step. They hold the workers that may run it once those have been found, so
    /// they should be used for all questions on the step.
    #[must_use]
    pub fn need(&self, job: &JobId, step: u32) -> Option<Need<'_>> {
        Some(Need::of(self.step(job, step)?, Vec::new(), true, self.policy))
    }

    /// Returns when there will be room for `count` tasks of a waiting step.
    #[must_use]
    pub fn room(&self, job: &JobId, step: u32, count: usize, scope: RoomScope) -> Option<Room> {
        self.completion.room(&self.fleet, &self.need(job, step)?, count, scope)
    }

    /// Returns the earliest time at which there could be room for `count` tasks of a waiting step, in milliseconds.
    #[must_use]
    pub fn earliest_room_ms(
        &self,
        job: &JobId,
        step: u32,
        count: usize,
        scope: RoomScope,
    ) -> Option<u64> {
        self.completion.earliest_room_ms(&self.fleet, &self.need(job, step)?, count, scope)
    }

    /// Returns when the waiting tasks of a step would start and end under an option.
    #[must_use]
    pub fn expected_times(
        &self,
        job: &JobId,
        step: u32,
        option: StartOption<'_>,
    ) -> Option<ExpectedTimes> {
        let waiting = self.step(job, step)?;
        let need = Need::of(waiting, Vec::new(), true, self.policy);
        let batch = self.completion.batch(waiting, self.draft.plan(job));
        let count = waiting.tasks.len();
        self.completion.expected_times(&self.fleet, &need, &batch, count, option)
    }

    /// Stops a unit, as a round does. `unit` is one of its tasks.
    pub fn note_stopped(&mut self, unit: &TaskId) {
        self.completion.note_stopped(&self.fleet, unit);
        for member in self.draft.unit_of(unit) {
            let Ok(run) = self.fleet.running.binary_search_by(|run| run.id.cmp(&member)) else {
                continue;
            };
            let (place, held) = (self.fleet.running[run].place, self.fleet.running[run].held);
            self.fleet.add_freed_soon(place, &held);
        }
    }

    /// Starts tasks of a waiting step on the workers `places`, as a round does, one entry a task.
    pub fn note_started(&mut self, job: &JobId, step: u32, places: &[WorkerIndex]) {
        let found = self.waiting.iter().find(|known| known.job == *job && known.step == step);
        let Some(waiting) = found else { return };
        let batch = self.completion.batch(waiting, self.draft.plan(job));
        self.completion.note_started(&self.fleet, waiting, batch.saved, places);
        let key = (job.clone(), waiting.occurrence, step);
        places.iter().for_each(|&place| self.fleet.occupy(place, batch.step, &key));
    }
}

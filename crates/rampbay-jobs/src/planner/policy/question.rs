//! What a policy decides by when it is asked about a step that waits.

use crate::plan::JobPlan;
use crate::planner::completion::deadline::Deadline;
use crate::planner::completion::durations::Batch;
use crate::planner::completion::options::{ExpectedTimes, StartOption};
use crate::planner::completion::room::RoomScope;
use crate::planner::completion::{Completion, Estimate};
use crate::planner::fit::Need;
use crate::planner::fleet_state::FleetState;
use crate::planner::queue::WaitingStep;
use crate::planner::{RoundInputs, WorkerIndex};

/// The inputs of a round and its estimate of completion, which includes what the round has decided so far.
pub struct RoundContext<'a> {
    /// The inputs.
    pub inputs: &'a RoundInputs<'a>,
    /// The estimate.
    pub completion: Completion<'a>,
}

/// A step that waits, and the state of the round in which a policy is asked about it.
#[derive(Clone, Copy)]
pub struct StepQuestion<'a> {
    /// The step.
    pub waiting: &'a WaitingStep,
    /// The plan of its job, if there is one.
    pub plan: Option<&'a JobPlan>,
    /// Number of its tasks that are asked about.
    pub count: usize,
    /// The fleet.
    pub fleet: &'a FleetState,
    /// The round.
    pub round: &'a RoundContext<'a>,
}

/// The answer of a policy to whether something is done for a step now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StepAnswer {
    /// It is done now.
    Now,
    /// The step waits. It is expected to find room on these workers, one entry a task; none if that isn't known.
    Wait(Vec<WorkerIndex>),
}

impl<'a> StepQuestion<'a> {
    /// Returns the inputs of the round.
    #[must_use]
    pub const fn inputs(&self) -> &'a RoundInputs<'a> {
        self.round.inputs
    }

    /// Returns the time that the step has waited, in milliseconds.
    #[must_use]
    pub fn waited_ms(&self) -> u64 {
        self.waiting.waited_ms(self.inputs().wall)
    }

    /// Returns by when the step has to end.
    #[must_use]
    pub const fn deadline(&self) -> Deadline {
        Deadline::of_waiting(self.waiting)
    }

    /// Returns whether the step is a gang of several tasks that wants one rack.
    #[must_use]
    pub fn wants_rack(&self) -> bool {
        self.waiting.definition().same_rack && self.count > 1
    }

    /// Returns the time until the step has to end, in milliseconds; 0 if that has passed.
    #[must_use]
    pub fn left_ms(&self) -> u64 {
        self.deadline().in_time.saturating_sub(self.inputs().wall)
    }

    /// Returns whether the job ends in time if the step ends after `end_ms` milliseconds.
    #[must_use]
    pub fn is_in_time(&self, end_ms: u64) -> bool {
        end_ms <= self.left_ms()
    }

    /// Returns whether the estimate's errors have been measured.
    #[must_use]
    pub fn is_measured(&self) -> bool {
        self.round.completion.is_measured(&self.waiting.submission.queue)
    }

    /// Returns the time that counts for a step that relies on an estimate, in milliseconds: the expected one, or the late
    /// end of the range while the estimate's errors haven't been measured.
    #[must_use]
    pub fn certain_ms(&self, estimate: Estimate) -> u64 {
        if self.is_measured() { estimate.ms } else { estimate.late_ms }
    }

    /// Returns the tasks as the estimate knows them.
    #[must_use]
    pub fn batch(&self) -> Batch<'a> {
        self.round.completion.batch(self.waiting, self.plan)
    }

    /// Returns when the tasks start and end under an option, or `None` if they can't start that way.
    #[must_use]
    pub fn times(&self, need: &Need<'_>, option: StartOption<'_>) -> Option<ExpectedTimes> {
        let completion = &self.round.completion;
        completion.expected_times(self.fleet, need, &self.batch(), self.count, option)
    }

    /// Returns where and when the tasks find room if nothing is stopped, and when they then end.
    #[must_use]
    pub fn room(&self, need: &Need<'_>, scope: RoomScope) -> Option<ExpectedRoom> {
        let completion = &self.round.completion;
        let room = completion.room(self.fleet, need, self.count, scope)?;
        let end = room.at.then(completion.duration(self.fleet, &self.batch(), &room.places));
        Some(ExpectedRoom { times: ExpectedTimes { start: room.at, end }, places: room.places })
    }
}

/// Room that is expected for a step.
#[derive(Clone, Debug)]
pub struct ExpectedRoom {
    /// When the step starts there, and when it ends.
    pub times: ExpectedTimes,
    /// The workers, one entry a task.
    pub places: Vec<WorkerIndex>,
}

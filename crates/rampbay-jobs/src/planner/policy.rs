//! Placement policies: the rules by which a planner chooses workers, runs to stop, and the order of waiting steps.
//!
//! The planner's mechanism finds workers, searches for runs to stop, holds workers and writes the decisions. Where there
//! is a choice, it asks the policy. There is one mechanism, and nothing outside the construction of a planner depends on
//! which policy it has.

pub mod by_completion;
pub mod by_lost_work;
mod choice;
mod question;
mod round_end;
mod round_start;

use std::time::Duration;

use crate::job::{Resources, Step};

pub use super::WorkerIndex;
pub use super::departure::DepartureCosts;
pub use super::events::{RunChange, RunEvent, StopReason};
pub use super::fit::Need;
pub use super::fleet_state::{FleetState, WorkerState};
pub use super::preempt::Preemption;
pub use super::progress::ObservedProgress;
pub use super::queue::WaitingStep;
pub use super::running::RunningTask;
pub use choice::{Placement, PlacementError, create_policy};
pub use question::{ExpectedRoom, RoundContext, StepAnswer, StepQuestion};
pub use round_end::{RoundEnd, Straggler};
pub use round_start::{AssignedRun, RoundStart};

use super::RoundInputs;

/// The rules by which a planner places work.
///
/// A policy may keep state between rounds. That state only influences choices, so it may be lost when another planner
/// takes over.
pub trait PlacementPolicy: std::fmt::Debug {
    /// Returns its name, as in the setting `placement`.
    fn name(&self) -> &'static str;

    /// Returns whether the leader writes an outlook, by which entries refuse jobs that certainly can't be served.
    fn publishes_outlook(&self) -> bool {
        false
    }

    /// Tells the policy of a round before any of the other methods is called in it.
    fn begin_round(&mut self, start: &RoundStart<'_>);

    /// Returns the order of a waiting step among those of the same urgency.
    fn step_order(&self, waiting: &WaitingStep, inputs: &RoundInputs<'_>) -> StepOrder;

    /// Chooses the workers that are reserved for urgent work. It is called once in each round in which steps wait,
    /// before any of them is placed.
    fn choose_reserve(&mut self, fleet: &FleetState, inputs: &RoundInputs<'_>) -> Vec<WorkerIndex>;

    /// Returns whether a step may use the reserved workers.
    fn may_use_reserve(&self, question: &StepQuestion<'_>) -> bool;

    /// Returns the rank of a worker for one task of a step. A rank changes only when something is placed at the worker
    /// or stopped there.
    fn worker_rank(&self, need: &Need<'_>, candidate: &Candidate<'_>) -> WorkerRank;

    /// Returns those of some workers that a gang should rather take than the workers `taken`, where some members would
    /// hold up the others; `None` if none would. By default, members are never compared.
    fn even_places(
        &self,
        _need: &Need<'_>,
        _fleet: &FleetState,
        _places: &[WorkerIndex],
        _taken: &[WorkerIndex],
    ) -> Option<Vec<WorkerIndex>> {
        None
    }

    /// Returns the rank of a rack for a gang, given its number in [`FleetState::racks`] and the workers there at which
    /// the gang's tasks would be placed.
    fn rack_rank(
        &self,
        need: &Need<'_>,
        fleet: &FleetState,
        rack: usize,
        places: &[WorkerIndex],
    ) -> RackRank;

    /// Returns whether a gang that wants one rack goes on waiting for it. Otherwise it may be spread over several.
    fn waits_for_rack(&self, question: &StepQuestion<'_>, need: &Need<'_>) -> bool;

    /// Returns whether a gang starts on the workers `places`, one entry a task, which are free now, or waits for better
    /// ones.
    fn start_at(
        &self,
        _question: &StepQuestion<'_>,
        _need: &Need<'_>,
        _places: &[WorkerIndex],
    ) -> StepAnswer {
        StepAnswer::Now
    }

    /// Returns the cost of stopping a run for more urgent work. `seen` is its progress, if that is known. It is called
    /// at most once for each run in a round; the costs of a gang's members are added up.
    fn stop_cost(
        &self,
        run: &RunningTask,
        seen: Option<&ObservedProgress>,
        inputs: &RoundInputs<'_>,
    ) -> StopCost;

    /// Returns the highest cost of the stops that may be made for `count` of the waiting tasks of a step; 0 if nothing
    /// is stopped for it.
    fn max_stop_cost(&self, waiting: &WaitingStep, count: usize, inputs: &RoundInputs<'_>) -> u64;

    /// Returns whether runs are stopped for the tasks of a step, or go on. `allowed` is the highest cost of the stops,
    /// which `stops` doesn't exceed.
    fn make_stops(
        &self,
        _question: &StepQuestion<'_>,
        _need: &Need<'_>,
        _stops: &Preemption,
        _allowed: u64,
    ) -> StepAnswer {
        StepAnswer::Now
    }

    /// Returns the time without progress after which a run of a step is moved.
    fn stall_limit(&self, step: &Step, seen: &ObservedProgress) -> Duration;

    /// Returns what a run at a worker that is about to leave loses beyond its work.
    fn departure_costs(&self) -> DepartureCosts;

    /// Returns the time for which other workers are preferred to one at which a run has failed.
    fn avoid_time(&self) -> Duration;

    /// Chooses the runs that hold up their steps and start again elsewhere. It is called at the end of each round that
    /// may start runs, once those that wait have been placed. By default none are chosen.
    fn choose_stragglers(&self, _end: &RoundEnd<'_>) -> Vec<Straggler> {
        Vec::new()
    }
}

/// Order of a waiting step; lower goes first. The fields are compared one after the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepOrder {
    /// Rank by its workspace's share of the fleet and by the workspace's work before it; 0 if shares don't count.
    pub share_rank: u32,
    /// Whether its job is no longer expected to end in time.
    pub late: bool,
    /// Its work, in thousandths of core-seconds, reduced by its waiting time.
    pub work: u64,
}

/// A worker at which a task may be placed.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The worker.
    pub worker: &'a WorkerState,
    /// Resources that are free there, including those that become free by stops already chosen.
    pub free: &'a Resources,
    /// Cost of the further stops that the task needs there; `None` if it is placed in what is free now.
    pub stop_cost: Option<u64>,
}

/// Rank of a worker for a step; lower is better. The fields are compared one after the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerRank {
    /// Whether it failed a run or refused a start recently, or is slow now.
    pub avoided: bool,
    /// Whether its agent hasn't reported since the last outage of the reports.
    pub unconfirmed: bool,
    /// Whether it is away from the step's data.
    pub remote: bool,
    /// Whether an earlier run of the waiting tasks failed there.
    pub failed: bool,
    /// Class of its machine's speed; lower is preferred for the step.
    pub slowness: u32,
    /// Cost of the stops that the task needs there.
    pub stop_cost: u64,
    /// Free accelerators.
    pub free_devices: u64,
    /// Free processor time, in thousandths of a core.
    pub free_cpu_milli: u64,
}

/// Rank of a rack for a gang; lower is better. The fields are compared one after the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RackRank {
    /// Whether it is away from the gang's data.
    pub remote: bool,
    /// How slow the chosen machines are; lower is preferred for the gang.
    pub slowness: u64,
    /// Accelerators that are free in the rack before the gang is placed.
    pub free_devices: u64,
}

/// What the stop of a run costs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StopCost {
    /// Work that is lost, in thousandths of core-seconds.
    pub lost_work: u64,
    /// Cost of the stop, in the unit of [`PlacementPolicy::max_stop_cost`]. Costs are added with saturation, so that
    /// [`u64::MAX`] protects a run from all but work for which anything may be stopped.
    pub cost: u64,
}

//! The policy `by_lost_work`: stops and waits are weighed by the work that they lose.

mod allowance;
mod order;
mod rack;
mod rank;
mod reserve;
mod stall;
mod stops;

use std::time::Duration;

use crate::job::Step;
use crate::planner::fit::Need;
use crate::planner::fleet_state::FleetState;
use crate::planner::progress::ObservedProgress;
use crate::planner::queue::WaitingStep;
use crate::planner::running::RunningTask;
use crate::planner::{PlannerSettings, RoundInputs, WorkerIndex};

use super::{
    Candidate, DepartureCosts, PlacementPolicy, RackRank, RoundStart, StepOrder, StepQuestion,
    StopCost, WorkerRank,
};
pub(super) use allowance::URGENT_BASE;
pub use stops::MAX_WORK_SINCE_CHECKPOINT;
pub(super) use stops::priority_weight;

use stall::StallLimits;

/// Time for which other workers are preferred to one at which a run has failed.
const AVOID_TIME: Duration = Duration::from_millis(1500);

/// Weighs stops and waits by the work that they lose. It keeps no state between rounds.
#[derive(Clone, Copy, Debug)]
pub struct ByLostWork {
    stall_limits: StallLimits,
}

impl ByLostWork {
    /// Creates the policy with a planner's time limits.
    #[must_use]
    pub const fn new(settings: &PlannerSettings) -> Self {
        let PlannerSettings { stall_after, remote_penalty, .. } = *settings;
        Self { stall_limits: StallLimits { stall_after, remote_penalty } }
    }
}

impl PlacementPolicy for ByLostWork {
    fn name(&self) -> &'static str {
        "by_lost_work"
    }

    fn begin_round(&mut self, _start: &RoundStart<'_>) {}

    fn step_order(&self, waiting: &WaitingStep, inputs: &RoundInputs<'_>) -> StepOrder {
        order::step_order(waiting, inputs.wall)
    }

    fn choose_reserve(
        &mut self,
        fleet: &FleetState,
        _inputs: &RoundInputs<'_>,
    ) -> Vec<WorkerIndex> {
        reserve::choose_reserve(fleet)
    }

    fn may_use_reserve(&self, question: &StepQuestion<'_>) -> bool {
        reserve::may_use_reserve(question.waiting, question.inputs().wall)
    }

    fn worker_rank(&self, need: &Need<'_>, candidate: &Candidate<'_>) -> WorkerRank {
        rank::worker_rank(need, candidate)
    }

    fn rack_rank(
        &self,
        need: &Need<'_>,
        fleet: &FleetState,
        rack: usize,
        places: &[WorkerIndex],
    ) -> RackRank {
        rank::rack_rank(need, fleet, rack, places)
    }

    fn waits_for_rack(&self, question: &StepQuestion<'_>, _need: &Need<'_>) -> bool {
        rack::waits_for_rack(question.waiting, question.fleet, question.inputs().wall)
    }

    fn stop_cost(
        &self,
        run: &RunningTask,
        seen: Option<&ObservedProgress>,
        _inputs: &RoundInputs<'_>,
    ) -> StopCost {
        stops::stop_cost(run, seen)
    }

    fn max_stop_cost(&self, waiting: &WaitingStep, count: usize, inputs: &RoundInputs<'_>) -> u64 {
        allowance::max_stop_cost(waiting, count, inputs.wall)
    }

    fn stall_limit(&self, step: &Step, seen: &ObservedProgress) -> Duration {
        self.stall_limits.limit(step, seen)
    }

    fn departure_costs(&self) -> DepartureCosts {
        DepartureCosts::default()
    }

    fn avoid_time(&self) -> Duration {
        AVOID_TIME
    }
}

//! The policy `by_completion`: stops and waits are weighed by when the jobs are expected to end.
//!
//! A rule that it doesn't replace is that of [`by_lost_work`](super::by_lost_work).

mod allowance;
mod choice;
mod demand;
mod departure;
mod faster;
mod outcomes;
mod packing;
mod preemptions;
mod questions;
mod rack;
mod reserve;
mod shares;
mod stall;
mod stops;
mod stragglers;
mod worth;

use std::time::Duration;

use crate::job::Step;
use crate::planner::fit::Need;
use crate::planner::fleet_state::FleetState;
use crate::planner::progress::ObservedProgress;
use crate::planner::queue::WaitingStep;
use crate::planner::running::RunningTask;
use crate::planner::{PlannerSettings, RoundInputs, WorkerIndex};

use super::by_lost_work::ByLostWork;
use super::{
    Candidate, DepartureCosts, PlacementPolicy, Preemption, RackRank, RoundEnd, RoundStart,
    StepAnswer, StepOrder, StepQuestion, StopCost, Straggler, WorkerRank,
};
use demand::UrgentDemand;
use outcomes::StopOutcomes;
use preemptions::PreemptionHistory;
use questions::Questions;
use rack::RackWaits;
use reserve::Reserve;
use shares::ShareOrder;
use stops::StopTimes;
use stragglers::Stragglers;

/// Time for which other workers are preferred to one at which a run has failed. A worker in trouble fails all that it
/// starts for some 6 s; if 8% of the workers do, a gang of six hits one of them in two of five tries.
const AVOID_TIME: Duration = Duration::from_secs(5);

/// Weighs stops and waits by when the jobs are expected to end.
#[derive(Debug)]
pub struct ByCompletion {
    /// The rules that this policy doesn't replace.
    by_lost_work: ByLostWork,
    stop_times: StopTimes,
    preemptions: PreemptionHistory,
    outcomes: StopOutcomes,
    demand: UrgentDemand,
    reserve: Reserve,
    rack_waits: RackWaits,
    shares: ShareOrder,
    questions: Questions,
    stragglers: Stragglers,
    /// Time without progress after which a run without unsaved work is moved.
    stall_after: Duration,
    /// Time that a stop takes at a worker.
    stop_time: Duration,
}

impl ByCompletion {
    /// Creates the policy without any state from earlier rounds.
    #[must_use]
    pub fn new(settings: &PlannerSettings) -> Self {
        Self {
            by_lost_work: ByLostWork::new(settings),
            stop_times: StopTimes::new(settings),
            preemptions: PreemptionHistory::default(),
            outcomes: StopOutcomes::default(),
            demand: UrgentDemand::default(),
            reserve: Reserve::default(),
            rack_waits: RackWaits::new(settings),
            shares: ShareOrder::default(),
            questions: Questions::default(),
            stragglers: Stragglers::new(settings),
            stall_after: settings.stall_after,
            stop_time: settings.stop_time,
        }
    }
}

impl PlacementPolicy for ByCompletion {
    fn name(&self) -> &'static str {
        "by_completion"
    }

    fn publishes_outlook(&self) -> bool {
        true
    }

    fn begin_round(&mut self, start: &RoundStart<'_>) {
        self.preemptions.update(start);
        self.outcomes.update(start);
        self.demand.update(start);
        self.reserve.update(start.events);
        let rules = &self.by_lost_work;
        self.shares.update(start, |step| rules.step_order(step, start.inputs));
        self.questions.begin_round(start);
        self.stragglers.update(start);
    }

    fn step_order(&self, waiting: &WaitingStep, inputs: &RoundInputs<'_>) -> StepOrder {
        let share_rank = self.shares.rank(waiting);
        StepOrder { share_rank, ..self.by_lost_work.step_order(waiting, inputs) }
    }

    fn choose_reserve(&mut self, fleet: &FleetState, inputs: &RoundInputs<'_>) -> Vec<WorkerIndex> {
        let reserved = self.reserve.choose(fleet, &self.demand, inputs.now);
        self.stragglers.note_reserve(fleet, &reserved);
        reserved
    }

    fn may_use_reserve(&self, question: &StepQuestion<'_>) -> bool {
        let preempted_at = self.preemptions.preempted_at(question.waiting);
        let need = Need::of(question.waiting, Vec::new(), false, self);
        reserve::may_use_reserve(question, &need, preempted_at, &self.questions)
    }

    fn worker_rank(&self, need: &Need<'_>, candidate: &Candidate<'_>) -> WorkerRank {
        let rank = self.by_lost_work.worker_rank(need, candidate);
        if candidate.stop_cost.is_some() {
            return rank;
        }
        WorkerRank { slowness: packing::slowness(need, candidate.worker), ..rank }
    }

    fn even_places(
        &self,
        need: &Need<'_>,
        fleet: &FleetState,
        places: &[WorkerIndex],
        taken: &[WorkerIndex],
    ) -> Option<Vec<WorkerIndex>> {
        packing::even_places(need, fleet, places, taken)
    }

    fn rack_rank(
        &self,
        need: &Need<'_>,
        fleet: &FleetState,
        rack: usize,
        places: &[WorkerIndex],
    ) -> RackRank {
        let rank = self.by_lost_work.rack_rank(need, fleet, rack, places);
        RackRank { slowness: packing::gang_slowness(need, fleet, places), ..rank }
    }

    fn waits_for_rack(&self, question: &StepQuestion<'_>, need: &Need<'_>) -> bool {
        self.rack_waits.waits(question, need, &self.questions)
    }

    fn start_at(
        &self,
        question: &StepQuestion<'_>,
        need: &Need<'_>,
        places: &[WorkerIndex],
    ) -> StepAnswer {
        faster::start_at(question, need, places, &self.questions)
    }

    fn stop_cost(
        &self,
        run: &RunningTask,
        seen: Option<&ObservedProgress>,
        _inputs: &RoundInputs<'_>,
    ) -> StopCost {
        self.stop_times.stop_cost(run, seen, &self.preemptions)
    }

    fn max_stop_cost(&self, waiting: &WaitingStep, count: usize, inputs: &RoundInputs<'_>) -> u64 {
        allowance::max_stop_cost(waiting, count, inputs.wall)
    }

    fn make_stops(
        &self,
        question: &StepQuestion<'_>,
        need: &Need<'_>,
        stops: &Preemption,
        allowed: u64,
    ) -> StepAnswer {
        choice::make_stops(question, need, stops, allowed, &self.questions)
    }

    fn stall_limit(&self, step: &Step, seen: &ObservedProgress) -> Duration {
        let limit = self.by_lost_work.stall_limit(step, seen);
        limit + stall::additional_wait(step, seen, self.stall_after)
    }

    fn departure_costs(&self) -> DepartureCosts {
        departure::departure_costs(self.stop_time)
    }

    fn avoid_time(&self) -> Duration {
        AVOID_TIME
    }

    fn choose_stragglers(&self, end: &RoundEnd<'_>) -> Vec<Straggler> {
        self.stragglers.choose(end, self)
    }
}

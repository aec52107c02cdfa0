//! Frees capacity for waiting steps: preempts other runs, or holds workers back from less urgent work.

use crate::metrics::metrics;

use super::draft::Draft;
use super::events::StopReason;
use super::fit::Need;
use super::fleet_state::FleetState;
use super::policy::{RoundContext, StepAnswer, StepQuestion};
use super::preempt::{Preemption, could_fit, preempt, preempt_in_rack};
use super::progress::RunsAt;
use super::queue::WaitingStep;
use super::units::Units;
use super::{RoundInputs, WorkerIndex};

/// Largest share of all workers that may be held for waiting gangs, in percent.
const MAX_HELD_PERCENT: usize = 34;

/// Where capacity may be freed for a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// In one rack.
    OneRack,
    /// Anywhere; a step that asks for one rack gets one if possible.
    Anywhere,
}

/// Stops that were found for a step.
#[derive(Clone, Copy, Debug)]
pub struct Stops<'a> {
    /// The runs, and the workers where the tasks then fit.
    pub preemption: &'a Preemption,
    /// Number of tasks for which room may be missing; at least those that the stops make room for.
    pub count: usize,
    /// Highest cost of stops, above 0.
    pub allowed: u64,
}

/// Finds the runs that would have to be stopped so that `count` tasks of a step fit.
pub fn find_preemption(
    fleet: &mut FleetState,
    need: &Need<'_>,
    count: usize,
    scope: Scope,
    inputs: &RoundInputs<'_>,
) -> Option<Preemption> {
    if fleet.infeasible_with_preemption.covers(need, count) {
        return None;
    }
    let units = fleet.units.take();
    let units = units.unwrap_or_else(|| {
        let runs = fleet.workers.iter().map(|worker| inputs.progress.runs_at(&worker.instance));
        let runs: Vec<RunsAt<'_>> = runs.collect();
        Units::group(&fleet.running, runs.len(), |run| {
            need.policy.stop_cost(run, runs[run.place].find(&run.id, run.attempt), inputs)
        })
    });
    let found = if !could_fit(fleet, &units, need, count) {
        fleet.infeasible_with_preemption.note(need, count);
        None
    } else if scope == Scope::OneRack {
        preempt_in_rack(fleet, &units, need, count)
    } else {
        preempt(fleet, &units, need, count)
    };
    fleet.units = Some(units);
    found
}

/// Stops the victims of a preemption unless it costs more than `allowed` or the policy lets them go on, and reserves
/// their capacity for `count` tasks of the step. Returns whether the tasks will fit, or where they wait for room.
pub fn free_capacity(
    draft: &mut Draft<'_>,
    fleet: &mut FleetState,
    waiting: &WaitingStep,
    need: &Need<'_>,
    found: &Stops<'_>,
    round: &mut RoundContext<'_>,
) -> StepAnswer {
    let Stops { preemption, count, allowed } = *found;
    if preemption.cost > allowed {
        return StepAnswer::Wait(Vec::new());
    }
    let plan = draft.plan(&waiting.job);
    let question = StepQuestion { waiting, plan, count, fleet, round };
    let answer = need.policy.make_stops(&question, need, preemption, allowed);
    if answer == StepAnswer::Now {
        stop_victims(draft, fleet, waiting, preemption, allowed);
        let units = fleet.units.as_ref().map(|units| &units.units);
        for unit in preemption.victims.iter().filter_map(|&victim| units?.get(victim)) {
            round.completion.note_stopped(fleet, &unit.first);
        }
        for &place in &preemption.places {
            fleet.reserve(place, need.step, &need.key);
        }
    }
    answer
}

fn stop_victims(
    draft: &mut Draft<'_>,
    fleet: &mut FleetState,
    waiting: &WaitingStep,
    preemption: &Preemption,
    allowed: u64,
) {
    let Some(mut units) = fleet.units.take() else { return };
    fleet.infeasible_with_preemption.clear();
    let priority = waiting.submission.priority;
    for &victim in &preemption.victims {
        let unit = &mut units.units[victim];
        unit.is_stopped = true;
        metrics().count_decision("stop_for_urgent");
        log::info!(
            "event=J151 run stopped for urgent work task={} for_job={} priority={priority} workspace={} guaranteed={} lost_work={} cost={} allowed={allowed}",
            unit.first,
            waiting.job,
            waiting.submission.workspace,
            waiting.guaranteed,
            preemption.lost_work,
            preemption.cost
        );
        if unit.cost == u64::MAX {
            log::warn!(
                "event=J193 protected run stopped for guaranteed work task={} for_job={} workspace={}",
                unit.first,
                waiting.job,
                waiting.submission.workspace
            );
        }
        let reason = StopReason::Preempted { for_job: waiting.job.clone() };
        draft.stop_unit(&unit.first, &reason);
        for (place, held) in &unit.held {
            fleet.add_freed_soon(*place, held);
        }
    }
    fleet.units = Some(units);
}

fn max_held(fleet: &FleetState) -> usize {
    fleet.workers.len() * MAX_HELD_PERCENT / 100
}

/// Returns whether more workers may be held for a gang.
pub fn may_hold(fleet: &FleetState) -> bool {
    fleet.held_workers < max_held(fleet)
}

/// Returns whether some workers, one entry a task, may all be held for a gang.
pub fn may_hold_at(fleet: &FleetState, places: &[WorkerIndex]) -> bool {
    fleet.held_workers + distinct(places).len() <= max_held(fleet)
}

fn distinct(places: &[WorkerIndex]) -> Vec<WorkerIndex> {
    let mut places = places.to_vec();
    places.sort_unstable();
    places.dedup();
    places
}

/// Holds workers for a gang that will fit there once less urgent runs have ended. Until then, no
/// work that is less urgent than the gang is placed on these workers.
pub fn hold_workers(fleet: &mut FleetState, waiting: &WaitingStep, places: &[WorkerIndex]) {
    if !may_hold_at(fleet, places) {
        return;
    }
    for place in distinct(places) {
        let worker = &mut fleet.workers[place];
        let priority = waiting.submission.priority;
        fleet.held_workers += usize::from(worker.held_for.is_none());
        worker.held_for = Some(worker.held_for.map_or(priority, |other| other.min(priority)));
    }
}

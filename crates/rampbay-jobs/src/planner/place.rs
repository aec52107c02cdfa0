//! Assigns waiting tasks to workers.

use crate::job::{Checkpoint, InstanceId};
use crate::losses::Isolation;
use crate::metrics::metrics;
use crate::plan::{JobPlan, Occurrence, TaskStatus};

use super::displace::{Scope, Stops, find_preemption, free_capacity, hold_workers, may_hold};
use super::draft::Draft;
use super::events::{RunChange, RunEvent};
use super::fit::{Need, Trial, place_all, place_in_rack};
use super::fleet_state::FleetState;
use super::isolation::{IsolatedPlacement, StepPart, place_isolated, split_by_isolation};
use super::policy::{PlacementPolicy, Preemption, RoundContext, StepAnswer, StepQuestion};
use super::queue::{WaitingStep, sort_steps};
use super::rack::requires_one_rack;
use super::unanswered::{BoundStep, split_bound};
use super::waits::{Wait, WaitReason};
use super::workers::WorkerViews;
use super::{Planner, RoundInputs, WorkerIndex};

/// Time for which a task waits for a worker near its data.
const WAIT_FOR_DATA_MS: u64 = 3000;

/// Assigns waiting tasks to the workers where they fit. Returns the steps that go on waiting, and why.
pub fn place(
    planner: &mut Planner,
    draft: &mut Draft<'_>,
    mut waiting: Vec<WaitingStep>,
    workers: &WorkerViews<'_>,
    inputs: &RoundInputs<'_>,
) -> Vec<Wait> {
    if waiting.is_empty() {
        return Vec::new();
    }
    sort_steps(&mut waiting, planner.policy.as_ref(), inputs);
    let (waiting, bound) = split_bound(draft, waiting);
    let mut waits = Vec::new();
    let mut fleet = FleetState::new(planner, draft, workers, inputs);
    for place in planner.policy.choose_reserve(&fleet, inputs) {
        fleet.workers[place].reserved = true;
    }
    let policy = planner.policy.as_ref();
    let mut round = RoundContext { inputs, completion: planner.completion(inputs) };
    // They can start nowhere else.
    for step in &bound {
        waits.extend(place_bound(draft, &mut fleet, step, policy, workers, &mut round));
    }
    let mut parts: Vec<StepPart<'_>> =
        waiting.iter().flat_map(|step| split_by_isolation(draft, step)).collect();
    // Among parts of the same urgency, tasks with the most losses go first: each takes only an idle worker, and would
    // rarely find one after the others were placed. Placed before more urgent work, they would be stopped for it again
    // and again.
    parts.sort_by_key(|part| (part.waiting.urgency(), part.isolation != Isolation::First));
    for part in &parts {
        waits.extend(place_part(draft, &mut fleet, part, policy, &mut round));
    }
    waits
}

fn place_part(
    draft: &mut Draft<'_>,
    fleet: &mut FleetState,
    part: &StepPart<'_>,
    policy: &dyn PlacementPolicy,
    round: &mut RoundContext<'_>,
) -> Option<Wait> {
    let step = part.waiting.as_ref();
    let uses_reserve =
        may_use_reserve(draft, fleet, step, policy, round) || part.isolation == Isolation::First;
    let need = Need::of(step, failed_workers(draft, step), uses_reserve, policy);
    if part.isolation != Isolation::None {
        match place_isolated(draft, fleet, part, &need, round) {
            IsolatedPlacement::Found(places) => {
                start_at(draft, fleet, step, &need, &places, round);
                return None;
            }
            IsolatedPlacement::Wait => {
                let reason = WaitReason::NoIdleWorker;
                return Some(Wait::new(step, step.tasks.len(), reason, round.inputs));
            }
            IsolatedPlacement::Shared => {}
        }
    }
    if need.step.gang {
        place_gang(draft, fleet, step, &need, round)
    } else {
        place_tasks(draft, fleet, step, &need, round)
    }
}

fn may_use_reserve(
    draft: &Draft<'_>,
    fleet: &FleetState,
    waiting: &WaitingStep,
    policy: &dyn PlacementPolicy,
    round: &RoundContext<'_>,
) -> bool {
    let plan = draft.plan(&waiting.job);
    let count = waiting.tasks.len();
    policy.may_use_reserve(&StepQuestion { waiting, plan, count, fleet, round })
}

fn place_bound(
    draft: &mut Draft<'_>,
    fleet: &mut FleetState,
    bound: &BoundStep,
    policy: &dyn PlacementPolicy,
    workers: &WorkerViews<'_>,
    round: &mut RoundContext<'_>,
) -> Option<Wait> {
    let step = &bound.waiting;
    let uses_reserve = may_use_reserve(draft, fleet, step, policy, round);
    let need = Need::of(step, Vec::new(), uses_reserve, policy);
    let Some(places) = bound.find_places(draft, fleet, &need, workers) else {
        let reason = WaitReason::UnansweredStart;
        return Some(Wait::new(step, step.tasks.len(), reason, round.inputs));
    };
    start_at(draft, fleet, step, &need, &places, round);
    if bound.is_isolated(draft) {
        places.iter().for_each(|&place| fleet.close(place));
    }
    None
}

fn start_at(
    draft: &mut Draft<'_>,
    fleet: &mut FleetState,
    waiting: &WaitingStep,
    need: &Need<'_>,
    places: &[WorkerIndex],
    round: &mut RoundContext<'_>,
) {
    if places.is_empty() {
        return;
    }
    let saved = round.completion.batch(waiting, draft.plan(&waiting.job)).saved;
    round.completion.note_started(fleet, waiting, saved, places);
    if need.step.gang {
        start_gang(draft, fleet, waiting, need, places);
        return;
    }
    for (&index, &place) in waiting.tasks.iter().zip(places) {
        fleet.occupy(place, need.step, &need.key);
        start_task(draft, waiting, index, &fleet.workers[place].instance, None);
    }
}

fn failed_workers(draft: &Draft<'_>, waiting: &WaitingStep) -> Vec<InstanceId> {
    let Some(plan) = draft.plan(&waiting.job) else { return Vec::new() };
    let tasks = waiting.tasks.iter().filter_map(|&index| plan.task(&waiting.task(index)));
    let failed = tasks.filter(|task| !task.failed_at.is_empty());
    failed.map(|task| task.failed_at.clone()).collect()
}

fn place_gang(
    draft: &mut Draft<'_>,
    fleet: &mut FleetState,
    waiting: &WaitingStep,
    need: &Need<'_>,
    round: &mut RoundContext<'_>,
) -> Option<Wait> {
    let count = waiting.tasks.len();
    let wait = |reason, round: &RoundContext<'_>| Wait::new(waiting, count, reason, round.inputs);
    let allowed = need.policy.max_stop_cost(waiting, count, round.inputs);
    if need.step.same_rack && count > 1 {
        if let Some(places) = find_in_rack(fleet, need, count) {
            return start_gang_or_wait(draft, fleet, waiting, need, &places, round);
        }
        // Spread over racks, the gang would hold its resources several times as long, and end late.
        let plan = draft.plan(&waiting.job);
        let question = StepQuestion { waiting, plan, count, fleet, round };
        let requires_rack = requires_one_rack(&question, need);
        let in_rack = if allowed > 0 || (requires_rack && may_hold(fleet)) {
            find_preemption(fleet, need, count, Scope::OneRack, round.inputs)
        } else {
            None
        };
        let mut held = in_rack.as_ref().map(|found| found.places.clone());
        if let Some(found) = &in_rack
            && allowed > 0
        {
            match stop_for_gang(draft, fleet, waiting, need, found, allowed, round) {
                StepAnswer::Now => return Some(wait(WaitReason::StopsUnderWay, round)),
                StepAnswer::Wait(places) => held = held.map(|found| preferred(places, found)),
            }
        }
        if requires_rack {
            if let Some(places) = &held {
                hold_workers(fleet, waiting, places);
            }
            return Some(wait(WaitReason::NoRack, round));
        }
    }
    if let Some(places) = find_anywhere(fleet, need, count) {
        return start_gang_or_wait(draft, fleet, waiting, need, &places, round);
    }
    let may_displace = allowed > 0 || may_hold(fleet);
    if may_displace
        && let Some(found) = find_preemption(fleet, need, count, Scope::Anywhere, round.inputs)
    {
        let mut held = found.places.clone();
        if allowed > 0 {
            match stop_for_gang(draft, fleet, waiting, need, &found, allowed, round) {
                StepAnswer::Now => return Some(wait(WaitReason::StopsUnderWay, round)),
                StepAnswer::Wait(places) => held = preferred(places, held),
            }
        }
        hold_workers(fleet, waiting, &held);
    }
    Some(wait(WaitReason::NoRoom, round))
}

/// Returns the workers at which a step is expected to find room, or else those of the stops that aren't made.
fn preferred(expected: Vec<WorkerIndex>, of_stops: Vec<WorkerIndex>) -> Vec<WorkerIndex> {
    if expected.is_empty() { of_stops } else { expected }
}

fn stop_for_gang(
    draft: &mut Draft<'_>,
    fleet: &mut FleetState,
    waiting: &WaitingStep,
    need: &Need<'_>,
    preemption: &Preemption,
    allowed: u64,
    round: &mut RoundContext<'_>,
) -> StepAnswer {
    let stops = Stops { preemption, count: waiting.tasks.len(), allowed };
    free_capacity(draft, fleet, waiting, need, &stops, round)
}

/// Starts a gang on workers that are free now, unless the policy lets it wait for better ones.
fn start_gang_or_wait(
    draft: &mut Draft<'_>,
    fleet: &mut FleetState,
    waiting: &WaitingStep,
    need: &Need<'_>,
    places: &[WorkerIndex],
    round: &mut RoundContext<'_>,
) -> Option<Wait> {
    let (plan, count) = (draft.plan(&waiting.job), waiting.tasks.len());
    let question = StepQuestion { waiting, plan, count, fleet, round };
    if let StepAnswer::Wait(better) = need.policy.start_at(&question, need, places) {
        hold_workers(fleet, waiting, &better);
        return Some(Wait::new(waiting, count, WaitReason::BetterWorkers, round.inputs));
    }
    start_at(draft, fleet, waiting, need, places, round);
    None
}

/// Finds workers for a gang in one rack.
fn find_in_rack(fleet: &mut FleetState, need: &Need<'_>, count: usize) -> Option<Vec<WorkerIndex>> {
    if fleet.infeasible_in_rack.covers(need, count) || fleet.infeasible.covers(need, count) {
        return None;
    }
    let found = place_in_rack(fleet, need, count);
    if found.is_none() {
        fleet.infeasible_in_rack.note(need, count);
    }
    found
}

/// Finds workers for a gang in any racks.
fn find_anywhere(
    fleet: &mut FleetState,
    need: &Need<'_>,
    count: usize,
) -> Option<Vec<WorkerIndex>> {
    if fleet.infeasible.covers(need, count) {
        return None;
    }
    let found = place_all(fleet, need, count);
    if found.is_none() {
        fleet.infeasible.note(need, count);
    }
    found
}

/// Finds workers for as many tasks of a step as fit, up to `count`.
fn find_up_to(
    fleet: &mut FleetState,
    need: &Need<'_>,
    waited_ms: u64,
    count: usize,
) -> Vec<WorkerIndex> {
    if fleet.infeasible.covers(need, 1) {
        return Vec::new();
    }
    let places = places_near_data(fleet, need, waited_ms);
    let found = Trial::new(fleet, need, &places).place_up_to(count);
    if found.is_empty() && places.len() == need.eligible(fleet).len() {
        fleet.infeasible.note(need, 1);
    }
    found
}

fn place_tasks(
    draft: &mut Draft<'_>,
    fleet: &mut FleetState,
    waiting: &WaitingStep,
    need: &Need<'_>,
    round: &mut RoundContext<'_>,
) -> Option<Wait> {
    let waited_ms = waiting.waited_ms(round.inputs.wall);
    let taken = find_up_to(fleet, need, waited_ms, waiting.tasks.len());
    start_at(draft, fleet, waiting, need, &taken, round);
    let left = &waiting.tasks[taken.len()..];
    if left.is_empty() {
        return None;
    }
    // As many tasks start as possible; those that don't fit yet mustn't delay the others.
    let will_fit = waiting.is_urgent()
        && (1..=left.len())
            .rev()
            .all(|count| preempt_for_one(draft, fleet, waiting, need, count, round));
    let reason = if will_fit { WaitReason::StopsUnderWay } else { WaitReason::NoRoom };
    Some(Wait::new(waiting, left.len(), reason, round.inputs))
}

/// Stops runs for one of the last `count` tasks of a step. Returns whether it will fit.
fn preempt_for_one(
    draft: &mut Draft<'_>,
    fleet: &mut FleetState,
    waiting: &WaitingStep,
    need: &Need<'_>,
    count: usize,
    round: &mut RoundContext<'_>,
) -> bool {
    let allowed = need.policy.max_stop_cost(waiting, 1, round.inputs);
    if allowed == 0 {
        return false;
    }
    let found = find_preemption(fleet, need, 1, Scope::Anywhere, round.inputs);
    found.is_some_and(|preemption| {
        let stops = Stops { preemption: &preemption, count, allowed };
        free_capacity(draft, fleet, waiting, need, &stops, round) == StepAnswer::Now
    })
}

/// Lists the workers where the tasks of a step may be placed now: those near their data, or all
/// eligible workers if the tasks have waited long or no worker near the data is eligible.
fn places_near_data(fleet: &FleetState, need: &Need<'_>, waited_ms: u64) -> Vec<WorkerIndex> {
    let rack = &need.step.data_rack;
    if rack.is_empty() || waited_ms > WAIT_FOR_DATA_MS {
        return need.eligible(fleet).to_vec();
    }
    let near = need.eligible(fleet).iter().copied();
    let near: Vec<WorkerIndex> =
        near.filter(|&place| fleet.workers[place].record.rack() == rack).collect();
    if near.is_empty() { need.eligible(fleet).to_vec() } else { near }
}

fn start_gang(
    draft: &mut Draft<'_>,
    fleet: &mut FleetState,
    waiting: &WaitingStep,
    need: &Need<'_>,
    places: &[WorkerIndex],
) {
    let plan = draft.plan(&waiting.job);
    let members = waiting.tasks.iter().filter_map(|&index| plan?.task(&waiting.task(index)));
    let members: Vec<_> = members.collect();
    let attempt = members.iter().map(|task| task.attempt).max().unwrap_or(0) + 1;
    let checkpoint = members.iter().map(|task| task.checkpoint.clone()).max().unwrap_or_default();
    for (&index, &place) in waiting.tasks.iter().zip(places) {
        fleet.occupy(place, need.step, &need.key);
        let gang_run = Some((attempt, checkpoint.clone()));
        start_task(draft, waiting, index, &fleet.workers[place].instance, gang_run);
    }
}

fn start_task(
    draft: &mut Draft<'_>,
    waiting: &WaitingStep,
    index: u32,
    instance: &str,
    gang_run: Option<(u32, Checkpoint)>,
) {
    let id = waiting.task(index);
    let plan = draft.edit(&waiting.job);
    open_occurrences_up_to(plan, waiting);
    let Some(task) = plan.task_mut(&id) else { return };
    task.status = TaskStatus::Running;
    task.attempt += 1;
    if let Some((attempt, checkpoint)) = gang_run {
        task.attempt = attempt;
        task.checkpoint = checkpoint;
    }
    instance.clone_into(&mut task.instance);
    let attempt = task.attempt;
    metrics().count_decision("start");
    log::info!(
        "event=J150 run assigned task={id} attempt={attempt} worker={instance} priority={} guaranteed={}",
        waiting.submission.priority,
        waiting.guaranteed
    );
    let change = RunChange::Started { instance: instance.to_owned() };
    draft.note(RunEvent { task: id, attempt, change });
}

/// Opens the occurrences of a job up to the one that starts.
fn open_occurrences_up_to(plan: &mut JobPlan, waiting: &WaitingStep) {
    while plan.next_occurrence <= waiting.occurrence {
        plan.open.push(Occurrence::not_started(&waiting.submission, plan.next_occurrence));
        plan.next_occurrence += 1;
    }
}

//! Assigns waiting tasks to workers.

use crate::job::{Checkpoint, InstanceId};
use crate::losses::Isolation;
use crate::metrics::metrics;
use crate::plan::{JobPlan, JobStatus, Occurrence, TaskStatus};

use super::displace::{Scope, find_preemption, free_capacity, hold_workers, may_hold};
use super::draft::Draft;
use super::events::{RunChange, RunEvent};
use super::fit::{Need, Trial, place_all, place_in_rack};
use super::fleet_state::FleetState;
use super::isolation::{IsolatedPlacement, StepPart, place_isolated, split_by_isolation};
use super::policy::PlacementPolicy;
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
    // They can start nowhere else.
    for step in &bound {
        waits.extend(place_bound(draft, &mut fleet, step, policy, workers, inputs));
    }
    let mut parts: Vec<StepPart<'_>> =
        waiting.iter().flat_map(|step| split_by_isolation(draft, step)).collect();
    // Among parts of the same urgency, tasks with the most losses go first: each takes only an idle worker, and would
    // rarely find one after the others were placed. Placed before more urgent work, they would be stopped for it again
    // and again.
    parts.sort_by_key(|part| (part.waiting.urgency(), part.isolation != Isolation::First));
    for part in &parts {
        waits.extend(place_part(draft, &mut fleet, part, policy, inputs));
    }
    waits
}

fn place_part(
    draft: &mut Draft<'_>,
    fleet: &mut FleetState,
    part: &StepPart<'_>,
    policy: &dyn PlacementPolicy,
    inputs: &RoundInputs<'_>,
) -> Option<Wait> {
    let step = part.waiting.as_ref();
    let uses_reserve =
        policy.may_use_reserve(step, fleet, inputs) || part.isolation == Isolation::First;
    let need = Need::of(step, failed_workers(draft, step), uses_reserve, policy);
    if part.isolation != Isolation::None {
        match place_isolated(draft, fleet, part, &need, inputs) {
            IsolatedPlacement::Found(places) => {
                start_at(draft, fleet, step, &need, &places);
                return None;
            }
            IsolatedPlacement::Wait => {
                return Some(Wait::new(step, step.tasks.len(), WaitReason::NoIdleWorker, inputs));
            }
            IsolatedPlacement::Shared => {}
        }
    }
    if need.step.gang {
        place_gang(draft, fleet, step, &need, inputs)
    } else {
        place_tasks(draft, fleet, step, &need, inputs)
    }
}

fn place_bound(
    draft: &mut Draft<'_>,
    fleet: &mut FleetState,
    bound: &BoundStep,
    policy: &dyn PlacementPolicy,
    workers: &WorkerViews<'_>,
    inputs: &RoundInputs<'_>,
) -> Option<Wait> {
    let step = &bound.waiting;
    let uses_reserve = policy.may_use_reserve(step, fleet, inputs);
    let need = Need::of(step, Vec::new(), uses_reserve, policy);
    let Some(places) = bound.find_places(draft, fleet, &need, workers) else {
        return Some(Wait::new(step, step.tasks.len(), WaitReason::UnansweredStart, inputs));
    };
    start_at(draft, fleet, step, &need, &places);
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
) {
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
    inputs: &RoundInputs<'_>,
) -> Option<Wait> {
    let count = waiting.tasks.len();
    let allowed = need.policy.max_stop_cost(waiting, count, inputs);
    if need.step.same_rack && count > 1 {
        if let Some(places) = find_in_rack(fleet, need, count) {
            start_gang(draft, fleet, waiting, need, &places);
            return None;
        }
        // Spread over racks, the gang would hold its resources several times as long, and end late.
        let requires_rack = requires_one_rack(waiting, fleet, need, inputs);
        let in_rack = if allowed > 0 || (requires_rack && may_hold(fleet)) {
            find_preemption(fleet, need, count, Scope::OneRack, inputs)
        } else {
            None
        };
        if let Some(found) = &in_rack
            && allowed > 0
            && free_capacity(draft, fleet, waiting, need, found, allowed)
        {
            return Some(Wait::new(waiting, count, WaitReason::StopsUnderWay, inputs));
        }
        if requires_rack {
            if let Some(found) = &in_rack {
                hold_workers(fleet, waiting, found);
            }
            return Some(Wait::new(waiting, count, WaitReason::NoRack, inputs));
        }
    }
    if let Some(places) = find_anywhere(fleet, need, count) {
        start_gang(draft, fleet, waiting, need, &places);
        return None;
    }
    let may_displace = allowed > 0 || may_hold(fleet);
    if may_displace
        && let Some(found) = find_preemption(fleet, need, count, Scope::Anywhere, inputs)
    {
        if allowed > 0 && free_capacity(draft, fleet, waiting, need, &found, allowed) {
            return Some(Wait::new(waiting, count, WaitReason::StopsUnderWay, inputs));
        }
        hold_workers(fleet, waiting, &found);
    }
    Some(Wait::new(waiting, count, WaitReason::NoRoom, inputs))
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
    inputs: &RoundInputs<'_>,
) -> Option<Wait> {
    let taken = find_up_to(fleet, need, waiting.waited_ms(inputs.wall), waiting.tasks.len());
    for (&index, &place) in waiting.tasks.iter().zip(&taken) {
        fleet.occupy(place, need.step, &need.key);
        start_task(draft, waiting, index, &fleet.workers[place].instance, None);
    }
    let left = &waiting.tasks[taken.len()..];
    if left.is_empty() {
        return None;
    }
    // As many tasks start as possible; those that don't fit yet mustn't delay the others.
    let will_fit = waiting.is_urgent()
        && left.iter().all(|_| preempt_for_one(draft, fleet, waiting, need, inputs));
    let reason = if will_fit { WaitReason::StopsUnderWay } else { WaitReason::NoRoom };
    Some(Wait::new(waiting, left.len(), reason, inputs))
}

fn preempt_for_one(
    draft: &mut Draft<'_>,
    fleet: &mut FleetState,
    waiting: &WaitingStep,
    need: &Need<'_>,
    inputs: &RoundInputs<'_>,
) -> bool {
    let allowed = need.policy.max_stop_cost(waiting, 1, inputs);
    if allowed == 0 {
        return false;
    }
    let found = find_preemption(fleet, need, 1, Scope::Anywhere, inputs);
    found.is_some_and(|found| free_capacity(draft, fleet, waiting, need, &found, allowed))
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
    plan.status = JobStatus::Running;
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

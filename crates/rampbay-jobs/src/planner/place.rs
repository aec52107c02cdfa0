//! Starts what waits where it fits.

use crate::job::{Checkpoint, InstanceId};
use crate::losses::Isolation;
use crate::metrics::metrics;
use crate::plan::{JobPlan, JobStatus, Occurrence, TaskStatus};

use super::draft::Draft;
use super::gang::{Need, Trial, place_all, place_in_rack};
use super::isolate::{Part, Tried, find_apart, parts};
use super::make_room::{Within, allowed_for, find_room, hold_room, make_room, may_hold};
use super::queue::{WaitingStep, waiting_steps};
use super::rack::insists_on_rack;
use super::reserve::{choose_reserve, may_use_reserve};
use super::room::Rooms;
use super::waits::{Wait, WaitReason};
use super::workers::WorkerViews;
use super::{Place, Planner, RoundInputs};

/// How long a task waits for a worker near its data.
const WAIT_FOR_DATA_MS: u64 = 3000;

/// Places what waits where it fits. Returns what goes on waiting, and why.
pub fn place(
    planner: &Planner,
    draft: &mut Draft<'_>,
    workers: &WorkerViews<'_>,
    inputs: &RoundInputs<'_>,
) -> Vec<Wait> {
    let waiting = waiting_steps(draft, inputs, &planner.forecasts);
    if waiting.is_empty() {
        return Vec::new();
    }
    let mut waits = Vec::new();
    let mut rooms = Rooms::survey(planner, draft, workers, inputs);
    choose_reserve(&mut rooms);
    let mut parts: Vec<Part<'_>> = waiting.iter().flat_map(|step| parts(draft, step)).collect();
    // What has lost most goes first among what is as urgent: it holds up nothing but an idle worker, and finds one the
    // more rarely the busier the others are. Before more urgent work it would be stopped for that, again and again.
    parts.sort_by_key(|part| (part.waiting.urgency(), part.isolation != Isolation::First));
    for part in &parts {
        waits.extend(place_part(draft, &mut rooms, part, inputs));
    }
    waits
}

fn place_part(
    draft: &mut Draft<'_>,
    rooms: &mut Rooms,
    part: &Part<'_>,
    inputs: &RoundInputs<'_>,
) -> Option<Wait> {
    let step = part.waiting.as_ref();
    let uses_reserve = may_use_reserve(step, inputs.wall) || part.isolation == Isolation::First;
    let need = Need::of(step, failed_workers(draft, step), uses_reserve);
    if part.isolation != Isolation::None {
        match find_apart(draft, rooms, part, &need, inputs) {
            Tried::Found(places) => {
                start_apart(draft, rooms, step, &need, &places);
                return None;
            }
            Tried::Waits => {
                return Some(Wait::new(step, step.tasks.len(), WaitReason::NoIdleWorker, inputs));
            }
            Tried::Beside => {}
        }
    }
    if need.step.gang {
        place_gang(draft, rooms, step, &need, inputs)
    } else {
        place_tasks(draft, rooms, step, &need, inputs)
    }
}

fn start_apart(
    draft: &mut Draft<'_>,
    rooms: &mut Rooms,
    waiting: &WaitingStep,
    need: &Need<'_>,
    places: &[Place],
) {
    if need.step.gang {
        start_gang(draft, rooms, waiting, need, places);
        return;
    }
    for (&index, &place) in waiting.tasks.iter().zip(places) {
        rooms.occupy(place, need.step, &need.key);
        start_task(draft, waiting, index, &rooms.rooms[place].instance, None);
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
    rooms: &mut Rooms,
    waiting: &WaitingStep,
    need: &Need<'_>,
    inputs: &RoundInputs<'_>,
) -> Option<Wait> {
    let count = waiting.tasks.len();
    let allowed = allowed_for(waiting, count, inputs);
    if need.step.same_rack && count > 1 {
        if let Some(places) = find_rack(rooms, need, count) {
            start_gang(draft, rooms, waiting, need, &places);
            return None;
        }
        // Spread over racks it would hold its room several times as long, and end late.
        let insists = insists_on_rack(waiting, rooms, need, inputs);
        let in_rack = if allowed > 0 || (insists && may_hold(rooms)) {
            find_room(rooms, need, count, Within::OneRack, inputs)
        } else {
            None
        };
        if let Some(found) = &in_rack
            && allowed > 0
            && make_room(draft, rooms, waiting, need, found, allowed)
        {
            return Some(Wait::new(waiting, count, WaitReason::StopsUnderWay, inputs));
        }
        if insists {
            if let Some(found) = &in_rack {
                hold_room(rooms, waiting, found);
            }
            return Some(Wait::new(waiting, count, WaitReason::NoRack, inputs));
        }
    }
    if let Some(places) = find_places(rooms, need, count) {
        start_gang(draft, rooms, waiting, need, &places);
        return None;
    }
    let is_of_use = allowed > 0 || may_hold(rooms);
    if is_of_use && let Some(found) = find_room(rooms, need, count, Within::Anywhere, inputs) {
        if allowed > 0 && make_room(draft, rooms, waiting, need, &found, allowed) {
            return Some(Wait::new(waiting, count, WaitReason::StopsUnderWay, inputs));
        }
        hold_room(rooms, waiting, &found);
    }
    Some(Wait::new(waiting, count, WaitReason::NoRoom, inputs))
}

/// Finds places for a gang in one rack.
fn find_rack(rooms: &mut Rooms, need: &Need<'_>, count: usize) -> Option<Vec<Place>> {
    if rooms.no_rack.holds(need, count) || rooms.no_place.holds(need, count) {
        return None;
    }
    let found = place_in_rack(rooms, need, count);
    if found.is_none() {
        rooms.no_rack.note(need, count);
    }
    found
}

/// Finds places for a gang anywhere.
fn find_places(rooms: &mut Rooms, need: &Need<'_>, count: usize) -> Option<Vec<Place>> {
    if rooms.no_place.holds(need, count) {
        return None;
    }
    let found = place_all(rooms, need, count);
    if found.is_none() {
        rooms.no_place.note(need, count);
    }
    found
}

/// Finds places for as many tasks of a step as fit.
fn find_most(rooms: &mut Rooms, need: &Need<'_>, waited_ms: u64, count: usize) -> Vec<Place> {
    if rooms.no_place.holds(need, 1) {
        return Vec::new();
    }
    let places = places_near_data(rooms, need, waited_ms);
    let found = Trial::new(rooms, need, &places).place_most(count);
    if found.is_empty() && places.len() == need.allowed(rooms).len() {
        rooms.no_place.note(need, 1);
    }
    found
}

fn place_tasks(
    draft: &mut Draft<'_>,
    rooms: &mut Rooms,
    waiting: &WaitingStep,
    need: &Need<'_>,
    inputs: &RoundInputs<'_>,
) -> Option<Wait> {
    let taken = find_most(rooms, need, waiting.waited_ms(inputs.wall), waiting.tasks.len());
    for (&index, &place) in waiting.tasks.iter().zip(&taken) {
        rooms.occupy(place, need.step, &need.key);
        start_task(draft, waiting, index, &rooms.rooms[place].instance, None);
    }
    let left = &waiting.tasks[taken.len()..];
    if left.is_empty() {
        return None;
    }
    // As many as possible: what doesn't fit yet must not keep the others from starting.
    let is_made = waiting.is_urgent()
        && left.iter().all(|_| make_room_for_one(draft, rooms, waiting, need, inputs));
    let reason = if is_made { WaitReason::StopsUnderWay } else { WaitReason::NoRoom };
    Some(Wait::new(waiting, left.len(), reason, inputs))
}

fn make_room_for_one(
    draft: &mut Draft<'_>,
    rooms: &mut Rooms,
    waiting: &WaitingStep,
    need: &Need<'_>,
    inputs: &RoundInputs<'_>,
) -> bool {
    let allowed = allowed_for(waiting, 1, inputs);
    if allowed == 0 {
        return false;
    }
    let found = find_room(rooms, need, 1, Within::Anywhere, inputs);
    found.is_some_and(|found| make_room(draft, rooms, waiting, need, &found, allowed))
}

/// Lists the workers where the tasks of a step may go now: near their data, unless they have waited
/// long or no worker there may run them.
fn places_near_data(rooms: &Rooms, need: &Need<'_>, waited_ms: u64) -> Vec<Place> {
    let rack = &need.step.data_rack;
    if rack.is_empty() || waited_ms > WAIT_FOR_DATA_MS {
        return need.allowed(rooms).to_vec();
    }
    let near = need.allowed(rooms).iter().copied();
    let near: Vec<Place> = near.filter(|&place| rooms.rooms[place].worker.rack() == rack).collect();
    if near.is_empty() { need.allowed(rooms).to_vec() } else { near }
}

fn start_gang(
    draft: &mut Draft<'_>,
    rooms: &mut Rooms,
    waiting: &WaitingStep,
    need: &Need<'_>,
    places: &[Place],
) {
    let plan = draft.plan(&waiting.job);
    let members = waiting.tasks.iter().filter_map(|&index| plan?.task(&waiting.task(index)));
    let members: Vec<_> = members.collect();
    let attempt = members.iter().map(|task| task.attempt).max().unwrap_or(0) + 1;
    let checkpoint = members.iter().map(|task| task.checkpoint.clone()).max().unwrap_or_default();
    for (&index, &place) in waiting.tasks.iter().zip(places) {
        rooms.occupy(place, need.step, &need.key);
        let joint = Some((attempt, checkpoint.clone()));
        start_task(draft, waiting, index, &rooms.rooms[place].instance, joint);
    }
}

fn start_task(
    draft: &mut Draft<'_>,
    waiting: &WaitingStep,
    index: u32,
    instance: &str,
    joint: Option<(u32, Checkpoint)>,
) {
    let id = waiting.task(index);
    let plan = draft.edit(&waiting.job);
    open_until(plan, waiting);
    plan.status = JobStatus::Running;
    let Some(task) = plan.task_mut(&id) else { return };
    task.status = TaskStatus::Running;
    task.attempt += 1;
    if let Some((attempt, checkpoint)) = joint {
        task.attempt = attempt;
        task.checkpoint = checkpoint;
    }
    instance.clone_into(&mut task.instance);
    metrics().count_decision("start");
    log::info!(
        "event=J150 run assigned task={id} attempt={} worker={instance} priority={} guaranteed={}",
        task.attempt,
        waiting.submission.priority,
        waiting.guaranteed
    );
}

/// Opens occurrences up to the one that starts.
fn open_until(plan: &mut JobPlan, waiting: &WaitingStep) {
    while plan.next_occurrence <= waiting.occurrence {
        plan.open.push(Occurrence::not_started(&waiting.submission, plan.next_occurrence));
        plan.next_occurrence += 1;
    }
}

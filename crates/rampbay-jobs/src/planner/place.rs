//! Starts what waits where it fits.

use crate::job::{Checkpoint, InstanceId, TaskId};
use crate::metrics::metrics;
use crate::record::{JobPlan, JobStatus, TaskStatus};

use super::draft::{Draft, unbegun};
use super::gang::{Need, occupy, place_all, place_in_rack, place_one};
use super::make_room::{hold_room, make_room};
use super::queue::{WaitingStep, waiting_steps};
use super::rack::insists_on_rack;
use super::reserve::may_use_reserve;
use super::room::Rooms;
use super::waits::{Wait, WaitReason};
use super::{Planner, RoundInputs};

/// How long a task waits for a worker near its data.
const WAIT_FOR_DATA_MS: u64 = 3000;
/// Places what waits where it fits. Returns what goes on waiting, and why.
pub fn place(planner: &Planner, draft: &mut Draft<'_>, inputs: &RoundInputs<'_>) -> Vec<Wait> {
    let waiting = waiting_steps(draft, inputs, &planner.forecasts);
    if waiting.is_empty() {
        return Vec::new();
    }
    let mut waits = Vec::new();
    let mut rooms = Rooms::survey(planner, draft, inputs);
    for step in &waiting {
        let need = Need {
            uses_reserve: may_use_reserve(step, inputs.wall),
            ..Need::of(step, failed_workers(draft, step))
        };
        let need = need.avoiding_failures(&rooms.rooms);
        if need.step.gang {
            waits.extend(place_gang(draft, &mut rooms, step, &need, inputs));
        } else {
            waits.extend(place_tasks(draft, &mut rooms, step, &need, inputs));
        }
    }
    waits
}

fn failed_workers(draft: &Draft<'_>, waiting: &WaitingStep) -> Vec<InstanceId> {
    let Some(plan) = draft.plan(&waiting.job) else { return Vec::new() };
    let tasks = waiting.tasks.iter().filter_map(|&index| plan.task(&task_id(waiting, index)));
    let failed = tasks.filter(|task| !task.failed_at.is_empty());
    failed.map(|task| task.failed_at.clone()).collect()
}

fn task_id(waiting: &WaitingStep, index: u32) -> TaskId {
    TaskId { job: waiting.job.clone(), occurrence: waiting.occurrence, step: waiting.step, index }
}

fn place_gang(
    draft: &mut Draft<'_>,
    rooms: &mut Rooms,
    waiting: &WaitingStep,
    need: &Need<'_>,
    inputs: &RoundInputs<'_>,
) -> Option<Wait> {
    let count = waiting.tasks.len();
    let wants_rack = need.step.same_rack && count > 1;
    let insists = insists_on_rack(waiting, rooms, need, inputs);
    let in_one_rack = Need { insists_on_rack: true, ..need.clone() };
    if wants_rack {
        if let Some(places) = place_in_rack(&rooms.rooms, need, count) {
            start_gang(draft, rooms, waiting, need, &places);
            return None;
        }
        // Spread over racks it would hold its room several times as long, and end late.
        if make_room(draft, rooms, waiting, &in_one_rack, count, inputs) {
            return Some(Wait::new(waiting, count, WaitReason::StopsUnderWay, inputs));
        }
        if insists {
            hold_room(rooms, waiting, &in_one_rack, count);
            return Some(Wait::new(waiting, count, WaitReason::NoRack, inputs));
        }
    }
    if let Some(places) = place_all(&rooms.rooms, need, count) {
        start_gang(draft, rooms, waiting, need, &places);
        return None;
    }
    if make_room(draft, rooms, waiting, need, count, inputs) {
        return Some(Wait::new(waiting, count, WaitReason::StopsUnderWay, inputs));
    }
    hold_room(rooms, waiting, need, count);
    Some(Wait::new(waiting, count, WaitReason::NoRoom, inputs))
}

fn place_tasks(
    draft: &mut Draft<'_>,
    rooms: &mut Rooms,
    waiting: &WaitingStep,
    need: &Need<'_>,
    inputs: &RoundInputs<'_>,
) -> Option<Wait> {
    let waited = waiting.waited_ms(inputs.wall);
    let mut left = waiting.tasks.clone();
    while let Some(&index) = left.first() {
        let Some(place) = place_near_data(rooms, need, waited) else { break };
        start_task(draft, waiting, index, &rooms.rooms[place].instance, None);
        left.remove(0);
    }
    if left.is_empty() {
        return None;
    }
    // As many as possible: what doesn't fit yet must not keep the others from starting.
    let is_made = waiting.is_urgent()
        && left.iter().all(|_| make_room(draft, rooms, waiting, need, 1, inputs));
    let reason = if is_made { WaitReason::StopsUnderWay } else { WaitReason::NoRoom };
    Some(Wait::new(waiting, left.len(), reason, inputs))
}

fn place_near_data(rooms: &mut Rooms, need: &Need<'_>, waited: u64) -> Option<usize> {
    let rack = &need.step.data_rack;
    if rack.is_empty() || waited > WAIT_FOR_DATA_MS {
        return place_one(&mut rooms.rooms, need);
    }
    let mut near = super::gang::within_rack(&rooms.rooms, rack);
    if !near.iter().any(|room| need.allows(room)) {
        return place_one(&mut rooms.rooms, need);
    }
    let place = place_one(&mut near, need)?;
    occupy(&mut rooms.rooms[place], need);
    Some(place)
}

fn start_gang(
    draft: &mut Draft<'_>,
    rooms: &mut Rooms,
    waiting: &WaitingStep,
    need: &Need<'_>,
    places: &[usize],
) {
    let plan = draft.plan(&waiting.job);
    let members = waiting.tasks.iter().filter_map(|&index| plan?.task(&task_id(waiting, index)));
    let members: Vec<_> = members.collect();
    let attempt = members.iter().map(|task| task.attempt).max().unwrap_or(0) + 1;
    let checkpoint = members.iter().map(|task| task.checkpoint.clone()).max().unwrap_or_default();
    for (&index, &place) in waiting.tasks.iter().zip(places) {
        occupy(&mut rooms.rooms[place], need);
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
    let id = task_id(waiting, index);
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
    metrics().decided("start");
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
        plan.open.push(unbegun(&waiting.submission, plan.next_occurrence));
        plan.next_occurrence += 1;
    }
}

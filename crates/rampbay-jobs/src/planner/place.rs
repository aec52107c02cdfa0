//! Starts what waits where it fits, and makes room for guaranteed work.

use crate::job::{Checkpoint, InstanceId, TaskId};
use crate::metrics::metrics;
use crate::record::{JobPlan, JobStatus, TaskStatus};

use super::allowance::lost_work_allowed;
use super::draft::{Draft, unbegun};
use super::gang::{Need, occupy, place_all, place_in_rack, place_one, rack_could_hold};
use super::preempt::preempt;
use super::queue::{WaitingStep, waiting_steps};
use super::room::Rooms;
use super::waits::{Wait, WaitReason};
use super::{Planner, RoundInputs};

/// How long a gang that wants one rack waits for it before it is spread over several. Spread, it
/// holds its room several times as long, so on a busy fleet the wait is long.
const WAIT_FOR_RACK_MS: u64 = 12_000;
/// The same for urgent work, which ends late anyway if it is spread.
const WAIT_FOR_RACK_URGENT_MS: u64 = 8000;
/// The same for guaranteed work, which has to start in time.
const WAIT_FOR_RACK_GUARANTEED_MS: u64 = 700;
/// The same while much of the fleet is free.
const WAIT_FOR_RACK_IDLE_MS: u64 = 1500;
/// Share of the accelerators in use below which much of the fleet is free, in percent.
const IDLE_BELOW_PERCENT: u64 = 60;
/// How long a task waits for a worker near its data.
const WAIT_FOR_DATA_MS: u64 = 3000;
/// Share of all workers that gangs without room may keep less urgent work away from, in percent.
const MOST_HELD_PERCENT: usize = 34;

/// Places what waits where it fits. Returns what goes on waiting, and why.
pub fn place(planner: &Planner, draft: &mut Draft<'_>, inputs: &RoundInputs<'_>) -> Vec<Wait> {
    let waiting = waiting_steps(draft, inputs, &planner.forecasts);
    if waiting.is_empty() {
        return Vec::new();
    }
    let mut waits = Vec::new();
    let mut rooms = Rooms::survey(planner, draft, inputs);
    for step in &waiting {
        let need = Need::of(step, failed_workers(draft, step)).avoiding_failures(&rooms.rooms);
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

/// Returns whether a step goes before all that isn't urgent.
fn is_urgent(waiting: &WaitingStep) -> bool {
    waiting.guaranteed || waiting.submission.priority == 0
}

/// Returns how long a gang that wants one rack waits for it before it is spread over several.
fn patience_ms(waiting: &WaitingStep, rooms: &Rooms) -> u64 {
    if waiting.guaranteed {
        return WAIT_FOR_RACK_GUARANTEED_MS;
    }
    if rooms.percent_used() < IDLE_BELOW_PERCENT {
        return WAIT_FOR_RACK_IDLE_MS;
    }
    if is_urgent(waiting) { WAIT_FOR_RACK_URGENT_MS } else { WAIT_FOR_RACK_MS }
}

/// Returns whether a gang goes into one rack or waits: it wants that, has not waited too long, and
/// there is a rack that could hold it.
fn insists_on_rack(
    waiting: &WaitingStep,
    rooms: &Rooms,
    need: &Need<'_>,
    inputs: &RoundInputs<'_>,
) -> bool {
    need.step.same_rack
        && waiting.tasks.len() > 1
        && waiting.waited_ms(inputs.wall) <= patience_ms(waiting, rooms)
        && rack_could_hold(&rooms.rooms, need, waiting.tasks.len())
}

fn place_gang(
    draft: &mut Draft<'_>,
    rooms: &mut Rooms,
    waiting: &WaitingStep,
    need: &Need<'_>,
    inputs: &RoundInputs<'_>,
) -> Option<Wait> {
    let count = waiting.tasks.len();
    let insists = insists_on_rack(waiting, rooms, need, inputs);
    let need = &Need { insists_on_rack: insists, ..need.clone() };
    let in_rack = (need.step.same_rack && count > 1)
        .then(|| place_in_rack(&rooms.rooms, need, count))
        .flatten();
    let places = match in_rack {
        None if !insists => place_all(&rooms.rooms, need, count),
        in_rack => in_rack,
    };
    if let Some(places) = places {
        start_gang(draft, rooms, waiting, need, &places);
        return None;
    }
    if make_room(draft, rooms, waiting, need, count, inputs) {
        return Some(Wait::new(waiting, count, WaitReason::StopsUnderWay, inputs));
    }
    hold_room(rooms, waiting, need, count);
    let reason = if insists { WaitReason::NoRack } else { WaitReason::NoRoom };
    Some(Wait::new(waiting, count, reason, inputs))
}

/// Keeps less urgent work away from the workers where a gang will fit once that work has ended.
fn hold_room(rooms: &mut Rooms, waiting: &WaitingStep, need: &Need<'_>, count: usize) {
    let held = rooms.rooms.iter().filter(|room| room.held_for.is_some()).count();
    let most = rooms.rooms.len() * MOST_HELD_PERCENT / 100;
    let Some(preemption) = preempt(rooms, need, count, waiting.submission.priority) else { return };
    let mut places = preemption.places;
    places.sort_unstable();
    places.dedup();
    if held + places.len() > most {
        return;
    }
    for place in places {
        let room = &mut rooms.rooms[place];
        let priority = waiting.submission.priority;
        room.held_for = Some(room.held_for.map_or(priority, |held| held.min(priority)));
    }
}

fn place_tasks(
    draft: &mut Draft<'_>,
    rooms: &mut Rooms,
    waiting: &WaitingStep,
    need: &Need<'_>,
    inputs: &RoundInputs<'_>,
) -> Option<Wait> {
    let waited = inputs.wall.saturating_sub(waiting.waits_since);
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
    let is_made = is_urgent(waiting)
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

/// Stops what has to go for a step, if that isn't too much, and keeps the room for it until then.
/// Returns whether there will be room.
fn make_room(
    draft: &mut Draft<'_>,
    rooms: &mut Rooms,
    waiting: &WaitingStep,
    need: &Need<'_>,
    count: usize,
    inputs: &RoundInputs<'_>,
) -> bool {
    let all = lost_work_allowed(waiting, inputs.wall);
    let allowed = all / waiting.tasks.len().max(1) as u64 * count as u64;
    if allowed == 0 {
        return false;
    }
    let priority = waiting.submission.priority;
    let Some(preemption) = preempt(rooms, need, count, priority) else { return false };
    if preemption.cost > allowed {
        return false;
    }
    for victim in &preemption.victims {
        metrics().decided("stop_for_urgent");
        log::info!(
            "event=J151 run stopped for urgent work task={victim} for_job={} priority={priority} workspace={} guaranteed={} lost_work={} cost={} allowed={allowed}",
            waiting.job,
            waiting.submission.workspace,
            waiting.guaranteed,
            preemption.lost_work,
            preemption.cost
        );
        let unit = draft.unit_of(victim);
        draft.stop_unit(victim);
        let is_stopped = |id: &TaskId| unit.contains(id);
        let stopped: Vec<_> =
            rooms.running.iter().filter(|task| is_stopped(&task.id)).cloned().collect();
        rooms.running.retain(|task| !is_stopped(&task.id));
        for task in stopped {
            if let Some(index) = rooms.position(&task.instance) {
                rooms.rooms[index].freed_soon.give(&task.held);
            }
        }
    }
    for place in preemption.places {
        reserve(rooms, place, need);
    }
    true
}

/// Keeps one task's room at a worker, first out of what becomes free soon.
fn reserve(rooms: &mut Rooms, place: usize, need: &Need<'_>) {
    let room = &mut rooms.rooms[place];
    let mut total = room.free;
    total.give(&room.freed_soon);
    total.take(&need.demand);
    // What is free now and still left belongs to others; the rest comes with the stops.
    let free = crate::job::Resources {
        cpu_milli: room.free.cpu_milli.min(total.cpu_milli),
        memory_mb: room.free.memory_mb.min(total.memory_mb),
        devices: room.free.devices.min(total.devices),
    };
    total.take(&free);
    room.free = free;
    room.freed_soon = total;
    *room.members.entry(need.key.clone()).or_default() += 1;
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

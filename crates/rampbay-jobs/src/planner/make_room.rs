//! Makes room for what waits: stops other runs, or keeps them away.

use crate::job::{Resources, TaskId};
use crate::metrics::metrics;

use super::RoundInputs;
use super::allowance::lost_work_allowed;
use super::draft::Draft;
use super::gang::Need;
use super::preempt::preempt;
use super::queue::WaitingStep;
use super::room::Rooms;

/// Share of all workers that gangs without room may keep less urgent work away from, in percent.
const MOST_HELD_PERCENT: usize = 34;

/// Stops what has to go for a step, if that isn't too much, and keeps the room for it until then.
/// Returns whether there will be room.
pub fn make_room(
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
    let free = Resources {
        cpu_milli: room.free.cpu_milli.min(total.cpu_milli),
        memory_mb: room.free.memory_mb.min(total.memory_mb),
        devices: room.free.devices.min(total.devices),
    };
    total.take(&free);
    room.free = free;
    room.freed_soon = total;
    *room.members.entry(need.key.clone()).or_default() += 1;
}

/// Keeps less urgent work away from the workers where a gang will fit once that work has ended.
pub fn hold_room(rooms: &mut Rooms, waiting: &WaitingStep, need: &Need<'_>, count: usize) {
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

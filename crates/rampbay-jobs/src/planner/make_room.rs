//! Makes room for what waits: stops other runs, or keeps them away.

use crate::metrics::metrics;

use super::RoundInputs;
use super::allowance::lost_work_allowed;
use super::draft::Draft;
use super::gang::Need;
use super::preempt::{Preemption, could_fit, preempt, preempt_in_rack};
use super::progress::RunsAt;
use super::queue::WaitingStep;
use super::room::Rooms;
use super::units::Units;

/// Share of all workers that gangs without room may keep less urgent work away from, in percent.
const MOST_HELD_PERCENT: usize = 34;

/// Where room may be made for a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Within {
    /// In one rack.
    OneRack,
    /// In one rack if the step wants that and it can be, anywhere otherwise.
    Anywhere,
}

/// Looks for what would have to be stopped so that tasks of a step fit.
pub fn find_room(
    rooms: &mut Rooms,
    need: &Need<'_>,
    count: usize,
    within: Within,
    inputs: &RoundInputs<'_>,
) -> Option<Preemption> {
    if rooms.no_stops.holds(need, count) {
        return None;
    }
    let units = rooms.units.take();
    let units = units.unwrap_or_else(|| {
        let runs = rooms.rooms.iter().map(|room| inputs.progress.runs_at(&room.instance));
        let runs: Vec<RunsAt<'_>> = runs.collect();
        Units::gather(&rooms.running, runs.len(), |task| task.lost_work(&runs[task.place]))
    });
    let found = if !could_fit(rooms, &units, need, count) {
        rooms.no_stops.note(need, count);
        None
    } else if within == Within::OneRack {
        preempt_in_rack(rooms, &units, need, count)
    } else {
        preempt(rooms, &units, need, count)
    };
    rooms.units = Some(units);
    found
}

/// Returns the work that may be thrown away for some tasks of a step.
pub fn allowed_for(waiting: &WaitingStep, count: usize, inputs: &RoundInputs<'_>) -> u64 {
    let all = lost_work_allowed(waiting, inputs.wall);
    all / waiting.tasks.len().max(1) as u64 * count as u64
}

/// Stops what has to go for a step, if that isn't too much, and keeps the room for it until then.
/// Returns whether there will be room.
pub fn make_room(
    draft: &mut Draft<'_>,
    rooms: &mut Rooms,
    waiting: &WaitingStep,
    need: &Need<'_>,
    preemption: &Preemption,
    allowed: u64,
) -> bool {
    if preemption.cost > allowed {
        return false;
    }
    stop_victims(draft, rooms, waiting, preemption, allowed);
    for &place in &preemption.places {
        rooms.reserve(place, need.step, &need.key);
    }
    true
}

fn stop_victims(
    draft: &mut Draft<'_>,
    rooms: &mut Rooms,
    waiting: &WaitingStep,
    preemption: &Preemption,
    allowed: u64,
) {
    let Some(mut units) = rooms.units.take() else { return };
    rooms.no_stops.clear();
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
        draft.stop_unit(&unit.first);
        for (place, held) in &unit.held {
            rooms.free_soon(*place, held);
        }
    }
    rooms.units = Some(units);
}

fn most_held(rooms: &Rooms) -> usize {
    rooms.rooms.len() * MOST_HELD_PERCENT / 100
}

/// Returns whether workers may be held for one more gang.
pub fn may_hold(rooms: &Rooms) -> bool {
    rooms.held < most_held(rooms)
}

/// Keeps less urgent work away from the workers where a gang will fit once that work has ended.
pub fn hold_room(rooms: &mut Rooms, waiting: &WaitingStep, preemption: &Preemption) {
    let most = most_held(rooms);
    let mut places = preemption.places.clone();
    places.sort_unstable();
    places.dedup();
    if rooms.held + places.len() > most {
        return;
    }
    for place in places {
        let room = &mut rooms.rooms[place];
        let priority = waiting.submission.priority;
        rooms.held += usize::from(room.held_for.is_none());
        room.held_for = Some(room.held_for.map_or(priority, |held| held.min(priority)));
    }
}

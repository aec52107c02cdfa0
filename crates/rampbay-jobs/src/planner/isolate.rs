//! Keeps tasks apart that may crash their workers: on a worker of their own they take nothing with them, and a crash
//! there has no other cause among the tasks.
//!
//! A worker with such a task counts as full, so nothing joins it. Where no worker is idle soon, it runs beside others
//! all the same: something that lasts may run on each of them. From the third loss on it waits longer, and goes first.

use std::borrow::Cow;
use std::time::Duration;

use crate::job::{Resources, TaskId};
use crate::losses::{Isolation, UnitLosses};

use super::draft::Draft;
use super::gang::{Need, place_all, place_in_rack, place_one};
use super::lost::unit_of;
use super::queue::WaitingStep;
use super::rack::insists_on_rack;
use super::room::Rooms;
use super::{Place, RoundInputs};

/// Share of all workers that tasks may have of their own while they only prefer it, in percent: the same as gangs
/// without room may keep others away from.
const MOST_ISOLATED_PERCENT: usize = 34;
/// How long a task that prefers a worker of its own waits for an idle one, in milliseconds. It has waited some
/// seconds already, until its last worker was surely gone.
const PATIENCE_MS: u64 = 1000;
/// The same from the third loss on: short enough that no job has nothing running for three quiet seconds.
const LONGER_PATIENCE_MS: u64 = 2500;
/// How long a run goes on without a crash before others may join it: ten times the longest time that a crash was
/// seen to take from a start (500 ms).
const ISOLATED_FOR: Duration = Duration::from_secs(5);

/// A part of a waiting step whose tasks are kept apart in the same way.
pub struct Part<'a> {
    /// The tasks.
    pub waiting: Cow<'a, WaitingStep>,
    /// How far they are kept apart.
    pub isolation: Isolation,
}

/// Parts a waiting step: what runs beside others as one part, each suspected task alone. A gang isn't parted.
pub fn parts<'a>(draft: &Draft<'_>, waiting: &'a WaitingStep) -> Vec<Part<'a>> {
    if draft.losses(&waiting.job).is_none() {
        return vec![Part { waiting: Cow::Borrowed(waiting), isolation: Isolation::None }];
    }
    let isolation = |index: u32| {
        losses_of(draft, &waiting.task(index)).map_or(Isolation::None, UnitLosses::isolation)
    };
    if waiting.definition().gang {
        let isolation = isolation(0);
        return vec![Part { waiting: Cow::Borrowed(waiting), isolation }];
    }
    let (apart, beside): (Vec<u32>, Vec<u32>) =
        waiting.tasks.iter().partition(|&&index| isolation(index) != Isolation::None);
    let part = |tasks: Vec<u32>, isolation| Part {
        waiting: Cow::Owned(WaitingStep { tasks, ..waiting.clone() }),
        isolation,
    };
    let apart = apart.into_iter().map(|index| part(vec![index], isolation(index)));
    let beside = (!beside.is_empty()).then(|| part(beside, Isolation::None));
    apart.chain(beside).collect()
}

fn losses_of<'a>(draft: &'a Draft<'_>, task: &TaskId) -> Option<&'a UnitLosses> {
    let (id, unit) = unit_of(draft, task);
    draft.losses(&id)?.0.get(&unit)
}

/// Returns whether nothing may join a run at its worker.
pub fn is_isolated(
    draft: &Draft<'_>,
    task: &TaskId,
    attempt: u32,
    inputs: &RoundInputs<'_>,
) -> bool {
    let Some(losses) = losses_of(draft, task) else { return false };
    let instance =
        draft.plan(&task.job).and_then(|plan| plan.task(task)).map(|known| &known.instance);
    let seen = instance.and_then(|instance| inputs.progress.run(instance, task, attempt));
    let is_young = seen.is_none_or(|seen| seen.first_seen.elapsed() < ISOLATED_FOR);
    losses.isolation() != Isolation::None && is_young
}

/// What came of the try to place tasks apart from others.
pub enum Tried {
    /// Places on workers of their own, one for each task.
    Found(Vec<Place>),
    /// They wait for such workers.
    Waits,
    /// They may run beside others.
    Beside,
}

/// Finds idle workers for the tasks of a part. Where there is none, a worker is kept from others that is idle soonest.
pub fn find_apart(
    draft: &Draft<'_>,
    rooms: &mut Rooms,
    part: &Part<'_>,
    need: &Need<'_>,
    inputs: &RoundInputs<'_>,
) -> Tried {
    let Part { waiting, isolation } = part;
    let losses = waiting.tasks.first().and_then(|&index| losses_of(draft, &waiting.task(index)));
    let is_first = *isolation == Isolation::First;
    if !is_first && rooms.closed() * 100 >= rooms.rooms.len() * MOST_ISOLATED_PERCENT {
        return Tried::Beside;
    }
    let idle: Vec<Place> =
        need.allowed(rooms).iter().copied().filter(|&place| rooms.is_idle(place)).collect();
    let was_at =
        |place: Place| losses.is_some_and(|known| known.was_at(&rooms.rooms[place].worker.node));
    let elsewhere = idle.iter().copied().filter(|&place| !was_at(place)).collect();
    for places in [elsewhere, idle] {
        if let Some(found) = place_among(rooms, waiting, need, places, inputs) {
            found.iter().for_each(|&place| rooms.close(place));
            return Tried::Found(found);
        }
    }
    let waited = losses.and_then(UnitLosses::latest).map(|at| inputs.wall.saturating_sub(at));
    let patience = if is_first { LONGER_PATIENCE_MS } else { PATIENCE_MS };
    if waited.is_none_or(|waited| waited > patience) {
        return Tried::Beside;
    }
    keep_soonest_idle(rooms, need, waiting.tasks.len());
    Tried::Waits
}

fn place_among(
    rooms: &Rooms,
    waiting: &WaitingStep,
    need: &Need<'_>,
    places: Vec<Place>,
    inputs: &RoundInputs<'_>,
) -> Option<Vec<Place>> {
    let need = need.at(places);
    let count = waiting.tasks.len();
    if !need.step.gang {
        return place_one(rooms, &need, need.allowed(rooms)).map(|place| vec![place]);
    }
    if need.step.same_rack && count > 1 {
        let in_rack = place_in_rack(rooms, &need, count);
        if in_rack.is_some() || insists_on_rack(waiting, rooms, &need, inputs) {
            return in_rack;
        }
    }
    place_all(rooms, &need, count)
}

/// Keeps others away from the workers on which least runs, for as many tasks as wait, at most.
fn keep_soonest_idle(rooms: &mut Rooms, need: &Need<'_>, count: usize) {
    let most = count.min(rooms.rooms.len() * MOST_ISOLATED_PERCENT / 100).max(1);
    let left = most.saturating_sub(rooms.closed());
    let used = |place: Place| {
        let free: &Resources = &rooms.free[place];
        rooms.rooms[place].worker.capacity.weight().saturating_sub(free.weight())
    };
    let mut places: Vec<Place> =
        need.allowed(rooms).iter().copied().filter(|&place| !rooms.is_closed(place)).collect();
    places.sort_by_key(|&place| (used(place), place));
    places.into_iter().take(left.max(1)).for_each(|place| rooms.close(place));
}

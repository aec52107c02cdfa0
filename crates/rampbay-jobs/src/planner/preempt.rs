//! Chooses what is stopped for more urgent work: whatever loses the least.

use std::collections::BTreeSet;

use crate::job::TaskId;

use super::gang::{Need, occupy, racks, within_rack};
use super::pace::MachineSpeed;
use super::room::{Room, Rooms, RunningTask};

/// Tasks that end together, and what their stop costs.
struct Unit<'a> {
    members: Vec<&'a RunningTask>,
    lost_work: u64,
    /// The lost work, more for more urgent work and for what was started often.
    cost: u64,
}

/// What to stop, and where the tasks will then fit.
pub struct Preemption {
    /// A member of each unit to stop.
    pub victims: Vec<TaskId>,
    /// Workers, one for each task.
    pub places: Vec<usize>,
    /// Work that the stops throw away, in thousandths of core-seconds.
    pub lost_work: u64,
    /// The same, more for more urgent work and for what was started often.
    pub cost: u64,
}

/// Finds the cheapest stops of less urgent work after which `count` tasks fit, in one rack if the
/// step wants that.
pub fn preempt(rooms: &Rooms, need: &Need<'_>, count: usize, priority: u32) -> Option<Preemption> {
    let units = units_below(rooms, priority);
    if need.step.same_rack && count > 1 {
        let in_racks = racks(&rooms.rooms, need)
            .into_iter()
            .filter_map(|rack| free_places(within_rack(&rooms.rooms, &rack), &units, need, count));
        if let Some(best) = in_racks.min_by_key(|preemption| preemption.cost) {
            return Some(best);
        }
        if need.insists_on_rack {
            return None;
        }
    }
    free_places(rooms.rooms.clone(), &units, need, count)
}

fn units_below(rooms: &Rooms, priority: u32) -> Vec<Unit<'_>> {
    let mut units: Vec<Unit<'_>> = Vec::new();
    for task in rooms.running.iter().filter(|task| task.priority > priority) {
        let cost = task.lost_work * weight(task.priority) * u64::from(task.attempt);
        let same = |unit: &&mut Unit<'_>| task.gang && is_same_gang(&unit.members[0].id, &task.id);
        match units.iter_mut().find(same) {
            Some(unit) => {
                unit.members.push(task);
                unit.lost_work += task.lost_work;
                unit.cost += cost;
            }
            None => units.push(Unit { members: vec![task], lost_work: task.lost_work, cost }),
        }
    }
    units.sort_by_key(|unit| unit.cost);
    units
}

/// Priority from which on all work weighs the same.
const LEAST_PRIORITY: u32 = 2;

/// Returns how much a stop weighs: twice as much for each step of priority.
fn weight(priority: u32) -> u64 {
    1 << LEAST_PRIORITY.saturating_sub(priority)
}

fn is_same_gang(one: &TaskId, other: &TaskId) -> bool {
    one.job == other.job && one.occurrence == other.occurrence && one.step == other.step
}

/// Places task after task, each where the stops that it needs cost least.
fn free_places(
    mut rooms: Vec<Room>,
    units: &[Unit<'_>],
    need: &Need<'_>,
    count: usize,
) -> Option<Preemption> {
    for room in &mut rooms {
        let soon = room.freed_soon;
        room.free.give(&soon);
    }
    let mut chosen: BTreeSet<usize> = BTreeSet::new();
    let mut places = Vec::with_capacity(count);
    for _ in 0..count {
        let options = (0..rooms.len()).filter_map(|index| {
            let stops = stops_for(&rooms[index], units, &chosen, need)?;
            let cost: u64 = stops.iter().map(|&unit| units[unit].cost).sum();
            let room = &rooms[index];
            let slower = need.speed_of(room) == MachineSpeed::Slower;
            Some(((room.avoided, room.unheard, slower, cost, room.free.devices), index, stops))
        });
        let (_, index, stops) = options.min_by_key(|(rank, ..)| *rank)?;
        for unit in stops {
            chosen.insert(unit);
            release(&mut rooms, &units[unit]);
        }
        occupy(&mut rooms[index], need);
        places.push(index);
    }
    let lost_work = chosen.iter().map(|&unit| units[unit].lost_work).sum();
    let cost = chosen.iter().map(|&unit| units[unit].cost).sum();
    let victims = chosen.iter().map(|&unit| units[unit].members[0].id.clone()).collect();
    Some(Preemption { victims, places, lost_work, cost })
}

fn release(rooms: &mut [Room], unit: &Unit<'_>) {
    for member in &unit.members {
        if let Some(room) = rooms.iter_mut().find(|room| room.instance == member.instance) {
            room.free.give(&member.held);
        }
    }
}

/// Returns the cheapest units to stop so that one task fits at this worker.
fn stops_for(
    room: &Room,
    units: &[Unit<'_>],
    chosen: &BTreeSet<usize>,
    need: &Need<'_>,
) -> Option<Vec<usize>> {
    if !need.allows_more(room) {
        return None;
    }
    let mut free = room.free;
    let mut stops = Vec::new();
    for (index, unit) in units.iter().enumerate() {
        if free.fits(&need.demand) {
            break;
        }
        if chosen.contains(&index) {
            continue;
        }
        let here: Vec<_> =
            unit.members.iter().filter(|member| member.instance == room.instance).collect();
        let helps = here.iter().any(|member| {
            (free.devices < need.demand.devices && member.held.devices > 0)
                || (free.cpu_milli < need.demand.cpu_milli && member.held.cpu_milli > 0)
                || (free.memory_mb < need.demand.memory_mb && member.held.memory_mb > 0)
        });
        if !helps {
            continue;
        }
        here.iter().for_each(|member| free.give(&member.held));
        stops.push(index);
    }
    free.fits(&need.demand).then_some(stops)
}

//! Chooses the running gangs that yield devices so that another gang can start.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    fleet::Fleet,
    guarantee::Binding,
    ids::{FencingToken, WorkerIndex},
    job::{Adjacency, Class},
    place::{Found, IndexedPart, Preference, find_among, pick},
    shape::DEVICES_PER_WORKER,
    tables::{Demand, Gang, WorkerRow},
    topology::DeviceMask,
};

/// How a gang yields devices, cheapest first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Yield {
    /// The gang keeps these parts and continues.
    Shrink { keep: Vec<IndexedPart> },
    /// The gang is checkpointed and resumed later.
    Checkpoint,
    /// The gang is stopped and restarted from the beginning later.
    Stop,
}

/// The placement of a gang, and the gangs that yield devices for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Reclaim {
    pub parts: Vec<IndexedPart>,
    pub victims: BTreeMap<FencingToken, Yield>,
}

/// Returns whether a running gang may have to yield to a demand.
///
/// A borrowed gang yields to an owner, and a borrowed batch gang also to urgent work. Within one
/// workspace, urgent work takes precedence over the other classes, and work in the workspace's own
/// cells over borrowing work of the same or a less urgent class.
pub(crate) fn may_yield(gang: &Gang, demand: &Demand, demand_owned: bool) -> bool {
    if !gang.running || !gang.meta.reclaimable || gang.yields_to.is_some() {
        return false;
    }
    if gang.workspace == demand.workspace {
        let urgent_first = demand.class == Class::Urgent && gang.meta.class != Class::Urgent;
        let into_own_cells = !gang.owned && demand_owned && demand.class <= gang.meta.class;
        return urgent_first || into_own_cells;
    }
    let urgent_over_batch = demand.class == Class::Urgent && gang.meta.class == Class::Batch;
    !gang.owned && (demand_owned || urgent_over_batch)
}

/// Candidate groups whose costs are compared in full.
const MAX_GROUPS: usize = 64;

/// Finds places for a demand in its groups of workers, on free devices and those of gangs that may
/// yield.
///
/// Returns the cheapest to clear first.
pub(crate) fn group_plans(
    fleet: &Fleet,
    demand: &Demand,
    devices: u32,
    demand_owned: bool,
    preference: Preference,
    now: Duration,
) -> Vec<Reclaim> {
    let yielding: BTreeMap<FencingToken, &Gang> = fleet
        .gangs
        .iter()
        .filter(|(_, gang)| may_yield(gang, demand, demand_owned))
        .map(|(token, gang)| (*token, gang))
        .collect();
    let available = |_: WorkerIndex, row: &WorkerRow| {
        let yields = row
            .holders
            .iter()
            .filter(|holder| yielding.contains_key(&holder.token))
            .fold(0, |mask, holder| mask | holder.devices);
        // A reservation excludes borrowers, but never an owner.
        let kept = if demand_owned { 0 } else { row.reserved };
        (row.free() | (yields & row.present)) & !kept
    };
    let capacity = |members: &[WorkerIndex]| -> u32 {
        let rows = &fleet.workers.rows;
        members.iter().map(|index| available(*index, &rows[*index]).count_ones()).sum()
    };
    let mut found: Vec<(u64, Reclaim)> = groups(fleet, demand.adjacency)
        .into_iter()
        .filter(|members| capacity(members) >= devices)
        .take(MAX_GROUPS)
        .filter_map(|members| {
            clear_group(fleet, &yielding, &members, demand, devices, preference, &available, now)
        })
        .collect();
    found.sort_by_key(|(cost, _)| *cost);
    found.into_iter().map(|(_, reclaim)| reclaim).collect()
}

/// Finds single aligned cells that could be cleared for an owner's gang of at most one worker.
///
/// Returns the cheapest first, and those within the owner's bound cells before all others. Every
/// cell of the fleet is considered, so an owner that has a cell left finds one.
pub(crate) fn cell_plans(
    fleet: &Fleet,
    demand: &Demand,
    devices: u32,
    now: Duration,
) -> Vec<Reclaim> {
    let size = devices.next_power_of_two();
    if size > DEVICES_PER_WORKER {
        return Vec::new();
    }
    let rest: BTreeMap<WorkerIndex, DeviceMask> = fleet.workspaces.rows[demand.workspace]
        .cells
        .bindings()
        .iter()
        .flat_map(Binding::rest)
        .fold(BTreeMap::new(), |mut rest, (worker, devices)| {
            *rest.entry(worker).or_default() |= devices;
            rest
        });
    let mut found: Vec<(u64, WorkerIndex, DeviceMask)> = Vec::new();
    for (index, row) in fleet.workers.rows.iter().enumerate() {
        let (clearable, cost_of) = clearable(fleet, row, demand, now);
        for start in (0..row.spec.devices).step_by(size as usize) {
            let block: DeviceMask = ((1 << size) - 1) << start;
            let mask = block & clearable;
            if mask.count_ones() < devices {
                continue;
            }
            let bound = rest.get(&index).copied().unwrap_or(0);
            let chosen = choose_in_block(mask, row.free(), bound, devices);
            let new_cell_cost = if chosen & !bound == 0 {
                0
            } else {
                // Once a new cell is bound, gangs that borrow in the rack cell may have to yield.
                let around = &fleet.workers.rack_cells[row.rack_cell];
                let lent = around.iter().map(|at| fleet.workers.rows[*at].cost_of_lent());
                NEW_CELL_COST + u64::from(lent.sum::<u32>()) * LENT_COST_SECONDS
            };
            let reserved_cost = if chosen & row.reserved == 0 { 0 } else { RESERVED_COST };
            found.push((cost_of(chosen) + new_cell_cost + reserved_cost, index, chosen));
        }
    }
    found.sort_unstable();
    found.truncate(MAX_CELLS);
    found
        .into_iter()
        .map(|(_, worker, devices)| {
            let parts = vec![(worker, devices)];
            let victims = victims(fleet, &parts, &|gang| may_yield(gang, demand, true));
            Reclaim { parts, victims }
        })
        .collect()
}

/// Cost of binding a new cell; higher than that of any set of gangs on one worker.
const NEW_CELL_COST: u64 = 1 << 40;
/// Seconds for each unit of [`WorkerRow::cost_of_lent`].
const LENT_COST_SECONDS: u64 = 60;
/// Cost of using devices that are reserved for a large gang.
const RESERVED_COST: u64 = 1 << 20;
/// Most candidate cells whose victims are determined.
const MAX_CELLS: usize = 256;

/// Returns a worker's devices that are free or could be reclaimed, and a function that returns the
/// cost of reclaiming a choice of them.
fn clearable<'a>(
    fleet: &'a Fleet,
    row: &'a WorkerRow,
    demand: &'a Demand,
    now: Duration,
) -> (DeviceMask, impl Fn(DeviceMask) -> u64 + 'a) {
    let yields = |token: &FencingToken| {
        fleet.gangs.get(token).is_some_and(|gang| may_yield(gang, demand, true))
    };
    let others = row.holders.iter().filter(|holder| !yields(&holder.token));
    let taken = others.fold(0, |mask, holder| mask | holder.devices);
    let cost_of = move |chosen: DeviceMask| {
        let hit = row.holders.iter().filter(|holder| holder.devices & chosen != 0);
        hit.filter_map(|holder| fleet.gangs.get(&holder.token)).map(|gang| cost(gang, now)).sum()
    };
    (row.present & !taken, cost_of)
}

/// Picks devices of a block: those in bound cells first, then free ones, then those to reclaim.
fn choose_in_block(
    mask: DeviceMask,
    free: DeviceMask,
    bound: DeviceMask,
    devices: u32,
) -> DeviceMask {
    let mut chosen: DeviceMask = 0;
    for tier in [mask & bound & free, mask & bound, mask & free, mask] {
        let need = devices - chosen.count_ones();
        chosen |= pick(tier & !chosen, need);
    }
    chosen
}

/// Returns the groups of workers that an adjacency allows.
fn groups(fleet: &Fleet, adjacency: Adjacency) -> Vec<Vec<WorkerIndex>> {
    let workers = &fleet.workers;
    match adjacency {
        Adjacency::Worker => (0..workers.rows.len()).map(|index| vec![index]).collect(),
        Adjacency::Rack => workers.racks.clone(),
        Adjacency::FailureDomain => workers.failure_domains.clone(),
        Adjacency::Any => vec![(0..workers.rows.len()).collect()],
    }
}

#[expect(clippy::too_many_arguments, reason = "one search; the arguments are its bounds")]
/// Finds a place in one group of workers and the gangs that have to yield for it.
///
/// Adds the devices of the cheapest gangs until the demand fits. Only gangs that hold devices of
/// the resulting place yield.
fn clear_group(
    fleet: &Fleet,
    yielding: &BTreeMap<FencingToken, &Gang>,
    members: &[WorkerIndex],
    demand: &Demand,
    devices: u32,
    preference: Preference,
    available: &dyn Fn(WorkerIndex, &WorkerRow) -> DeviceMask,
    now: Duration,
) -> Option<(u64, Reclaim)> {
    let mut here: Vec<(u64, FencingToken)> = members
        .iter()
        .flat_map(|index| fleet.workers.rows[*index].holders.iter())
        .filter_map(|holder| {
            yielding.get(&holder.token).map(|gang| (cost(gang, now), holder.token))
        })
        .collect();
    here.sort_unstable();
    here.dedup();
    let mut cleared: Vec<FencingToken> = Vec::new();
    let mut next = 0;
    loop {
        let usable = |index: WorkerIndex, row: &WorkerRow| {
            let mine = row
                .holders
                .iter()
                .filter(|holder| cleared.contains(&holder.token))
                .fold(row.free(), |mask, holder| mask | holder.devices);
            mine & available(index, row)
        };
        let free: u32 = members
            .iter()
            .map(|index| usable(*index, &fleet.workers.rows[*index]).count_ones())
            .sum();
        if free >= devices
            && let Found::Place(parts) =
                find_among(&fleet.workers, members, demand, devices, preference, &usable)
        {
            let victims = victims(fleet, &parts, &|gang| yielding.contains_key(&gang.meta.token));
            let cost = victims.keys().map(|token| cost(yielding[token], now)).sum();
            return Some((cost, Reclaim { parts, victims }));
        }
        cleared.push(here.get(next)?.1);
        next += 1;
    }
}

/// Returns the cost of a gang that yields, in device-seconds of lost work weighted by class.
fn cost(gang: &Gang, now: Duration) -> u64 {
    const SHRINK_SECONDS: u64 = 1;
    const CHECKPOINT_SECONDS: u64 = 30;
    const RESTART_SECONDS: u64 = 60;
    // A stopped gang waits again, and longer the larger it is; seconds for each device.
    const WAIT_SECONDS: u64 = 60;
    let devices = u64::from(gang.devices());
    let elapsed = now.saturating_sub(gang.meta.started).as_secs();
    let seconds = if gang.meta.min_devices < gang.meta.gang_devices {
        SHRINK_SECONDS
    } else if gang.meta.checkpointable {
        CHECKPOINT_SECONDS + WAIT_SECONDS * devices
    } else {
        RESTART_SECONDS + WAIT_SECONDS * devices + elapsed
    };
    let class = match gang.meta.class {
        Class::Batch => 1,
        Class::Normal => 2,
        Class::Urgent => 16,
    };
    seconds * class * devices
}

/// Returns the gangs that hold devices in `parts` and may yield, and how each of them yields.
fn victims(
    fleet: &Fleet,
    parts: &[IndexedPart],
    yields: &dyn Fn(&Gang) -> bool,
) -> BTreeMap<FencingToken, Yield> {
    let mut victims = BTreeMap::new();
    for (worker, taken) in parts {
        for holder in &fleet.workers.rows[*worker].holders {
            if holder.devices & taken == 0 || victims.contains_key(&holder.token) {
                continue;
            }
            if let Some(gang) = fleet.gangs.get(&holder.token).filter(|gang| yields(gang)) {
                victims.insert(holder.token, choose_yield(gang, parts));
            }
        }
    }
    victims
}

/// Chooses how a gang yields: it shrinks if it can run on the remaining devices, is checkpointed if
/// it supports that, and is stopped otherwise.
pub(crate) fn choose_yield(gang: &Gang, taken: &[IndexedPart]) -> Yield {
    let keep: Vec<IndexedPart> = gang
        .parts
        .iter()
        .map(|(worker, devices)| {
            let lost = taken
                .iter()
                .filter(|(other, _)| other == worker)
                .fold(0, |mask, (_, devices)| mask | devices);
            (*worker, devices & !lost)
        })
        .filter(|(_, devices)| *devices != 0)
        .collect();
    let left: u32 = keep.iter().map(|(_, devices)| devices.count_ones()).sum();
    if left >= gang.meta.min_devices.max(1) && gang.meta.min_devices < gang.meta.gang_devices {
        return Yield::Shrink { keep };
    }
    if gang.meta.checkpointable { Yield::Checkpoint } else { Yield::Stop }
}

//! Which running gangs give way so that another gang can start.

use std::collections::BTreeMap;

use crate::{
    ids::{FencingToken, WorkerIndex},
    job::{Adjacency, Class},
    place::{Found, IndexedPart, Preference, find_among},
    tables::{Demand, Fleet, Gang, WorkerRow},
    topology::DeviceMask,
};

/// How a gang gives way, cheapest first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Yield {
    /// It keeps these parts and runs on.
    Shrink { keep: Vec<IndexedPart> },
    /// It is checkpointed, and goes on later.
    Checkpoint,
    /// It is stopped, and starts anew later.
    Stop,
}

/// Where the gang goes, and what gives way for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Reclaim {
    pub parts: Vec<IndexedPart>,
    pub victims: BTreeMap<FencingToken, Yield>,
}

/// Returns whether a running gang may have to give way to a demand.
///
/// A borrowed gang gives way to an owner, and a batch one to urgent work. Within one workspace
/// urgent work goes before the other classes.
pub(crate) fn may_yield(gang: &Gang, demand: &Demand, demand_owned: bool) -> bool {
    if !gang.meta.reclaimable || gang.yields_to.is_some() {
        return false;
    }
    if gang.workspace == demand.workspace {
        return demand.class == Class::Urgent && gang.meta.class != Class::Urgent;
    }
    let urgent_over_batch = demand.class == Class::Urgent && gang.meta.class == Class::Batch;
    !gang.owned && (demand_owned || urgent_over_batch)
}

/// Candidate groups whose costs are compared in full.
const MAX_GROUPS: usize = 64;

/// Finds the places that cost least to clear, over free devices and those that may yield.
///
/// The cheapest comes first.
pub(crate) fn plans(
    fleet: &Fleet,
    demand: &Demand,
    devices: u32,
    demand_owned: bool,
    preference: Preference,
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
        (row.free() | (yields & row.present)) & !row.earmarked
    };
    let room = |members: &[WorkerIndex]| -> u32 {
        let rows = &fleet.workers.rows;
        members.iter().map(|index| available(*index, &rows[*index]).count_ones()).sum()
    };
    let mut found: Vec<(u64, Reclaim)> = groups(fleet, demand.adjacency)
        .into_iter()
        .filter(|members| room(members) >= devices)
        .take(MAX_GROUPS)
        .filter_map(|members| {
            clear(fleet, &yielding, &members, demand, devices, preference, &available)
        })
        .collect();
    found.sort_by_key(|(cost, _)| *cost);
    found.into_iter().map(|(_, reclaim)| reclaim).collect()
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

/// Clears one group: frees the cheapest gangs until the demand fits, then sees who really yields.
fn clear(
    fleet: &Fleet,
    yielding: &BTreeMap<FencingToken, &Gang>,
    members: &[WorkerIndex],
    demand: &Demand,
    devices: u32,
    preference: Preference,
    available: &dyn Fn(WorkerIndex, &WorkerRow) -> DeviceMask,
) -> Option<(u64, Reclaim)> {
    let mut here: Vec<(u64, FencingToken)> = members
        .iter()
        .flat_map(|index| fleet.workers.rows[*index].holders.iter())
        .filter_map(|holder| yielding.get(&holder.token).map(|gang| (cost(gang), holder.token)))
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
            let victims = victims(fleet, &parts, yielding);
            let cost = victims.keys().map(|token| cost(yielding[token])).sum();
            return Some((cost, Reclaim { parts, victims }));
        }
        cleared.push(here.get(next)?.1);
        next += 1;
    }
}

/// What it costs that a gang gives way: work lost, by how it gives way.
fn cost(gang: &Gang) -> u64 {
    const ELASTIC: u64 = 1;
    const CHECKPOINT: u64 = 4;
    const STOP: u64 = 40;
    let each = if gang.meta.min_devices < gang.meta.gang_devices {
        ELASTIC
    } else if gang.meta.checkpointable {
        CHECKPOINT
    } else {
        STOP
    };
    let class = match gang.meta.class {
        Class::Batch => 1,
        Class::Normal => 2,
        Class::Urgent => 16,
    };
    each * class * u64::from(gang.devices())
}

/// Returns the gangs that have devices in `parts`, and how each gives way.
fn victims(
    fleet: &Fleet,
    parts: &[IndexedPart],
    yielding: &BTreeMap<FencingToken, &Gang>,
) -> BTreeMap<FencingToken, Yield> {
    let mut victims = BTreeMap::new();
    for (worker, taken) in parts {
        for holder in &fleet.workers.rows[*worker].holders {
            if holder.devices & taken == 0 || victims.contains_key(&holder.token) {
                continue;
            }
            if let Some(gang) = yielding.get(&holder.token) {
                victims.insert(holder.token, how(gang, parts));
            }
        }
    }
    victims
}

/// Shrinks a gang where it can run on with what is left, checkpoints it where it can, or stops it.
pub(crate) fn how(gang: &Gang, taken: &[IndexedPart]) -> Yield {
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

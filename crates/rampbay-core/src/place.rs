//! Where a gang goes: the search over groups of workers, and the choice of devices on each.

use crate::{
    guarantee::worker_cells,
    ids::WorkerIndex,
    job::Adjacency,
    shape::{DEVICES_PER_WORKER, Level},
    tables::{Demand, WorkerRow, WorkerTable},
    topology::DeviceMask,
};

/// One worker's devices, by row.
pub(crate) type IndexedPart = (WorkerIndex, DeviceMask);

/// Which devices of a worker a search may use.
pub(crate) trait Usable {
    /// Returns the usable devices of one worker.
    fn devices(&self, index: WorkerIndex, row: &WorkerRow) -> DeviceMask;
}

impl<F: Fn(WorkerIndex, &WorkerRow) -> DeviceMask> Usable for F {
    fn devices(&self, index: WorkerIndex, row: &WorkerRow) -> DeviceMask {
        self(index, row)
    }
}

/// What the search prefers.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Preference {
    /// 0 takes the first place that fits, 100 the one that breaks the fewest large cells.
    pub packing: u32,
    /// Where the scan starts; planners with different offsets try different places first.
    pub offset: usize,
    /// Failure domains that other planners are responsible for, as bits of [`domain_bit`]; they
    /// cost more but are allowed.
    pub other_domains: u64,
    /// How the placed gang affects guarantees.
    pub impact: GuaranteeImpact,
}

/// How a placed gang affects guarantees.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum GuaranteeImpact {
    /// No known effect.
    #[default]
    None,
    /// The gang borrows: it will have to yield where an owner is active, and its work up to then
    /// may be lost.
    Borrows {
        /// Whether the gang's work can be checkpointed.
        checkpointable: bool,
    },
    /// The gang binds a new cell of this level: gangs that borrow devices there will have to yield.
    Binds(Level),
}

/// The result of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Found {
    /// Parts with exactly the devices asked for.
    Place(Vec<IndexedPart>),
    /// No group has enough usable devices; `best` is the largest number within one group.
    NoRoom { best: u32 },
}

/// Cost of a place in a failure domain that another planner is responsible for: more than a poor
/// fit, less than a broken worker cell.
const OTHER_DOMAIN_COST: u32 = 128;

/// A search ends after this many successive groups that have enough devices but are no cheaper than
/// the best one. Current fleets have fewer groups.
const GROUPS_WITHOUT_GAIN: u32 = 64;

/// Returns the bit of a failure domain; in a fleet of more than 64, several share one bit.
pub(crate) const fn domain_bit(failure_domain: usize) -> u64 {
    1 << (failure_domain % 64)
}

/// Largest value of the `packing` knob at which a search takes the first group that fits.
const FIRST_FIT_PACKING: u32 = 10;

/// Finds a place for `devices` devices of a demand's kind.
pub(crate) fn find(
    workers: &WorkerTable,
    demand: &Demand,
    devices: u32,
    preference: Preference,
    usable: &impl Usable,
) -> Found {
    match demand.adjacency {
        Adjacency::Worker => {
            let groups = (0..workers.rows.len()).map(Group::One);
            search(workers, groups, demand, devices, preference, usable)
        }
        Adjacency::Rack => {
            let groups = workers.racks.iter().map(|members| Group::Many(members));
            search(workers, groups, demand, devices, preference, usable)
        }
        Adjacency::FailureDomain => {
            let groups = workers.failure_domains.iter().map(|members| Group::Many(members));
            search(workers, groups, demand, devices, preference, usable)
        }
        Adjacency::Any => {
            let all: Vec<_> = (0..workers.rows.len()).collect();
            search(workers, [Group::Many(&all)], demand, devices, preference, usable)
        }
    }
}

/// Finds a place among the workers of one group.
pub(crate) fn find_among(
    workers: &WorkerTable,
    members: &[WorkerIndex],
    demand: &Demand,
    devices: u32,
    preference: Preference,
    usable: &impl Usable,
) -> Found {
    search(workers, [Group::Many(members)], demand, devices, preference, usable)
}

/// Returns the devices of the largest place of a kind, used or not.
pub(crate) fn largest(workers: &WorkerTable, adjacency: Adjacency) -> u32 {
    let present = |index: &WorkerIndex| workers.rows[*index].present.count_ones();
    let sum = |group: &Vec<WorkerIndex>| group.iter().map(present).sum::<u32>();
    match adjacency {
        Adjacency::Worker => workers.rows.iter().map(|row| row.present.count_ones()).max(),
        Adjacency::Rack => workers.racks.iter().map(sum).max(),
        Adjacency::FailureDomain => workers.failure_domains.iter().map(sum).max(),
        Adjacency::Any => Some(workers.rows.iter().map(|row| row.present.count_ones()).sum()),
    }
    .unwrap_or(0)
}

enum Group<'a> {
    One(WorkerIndex),
    Many(&'a [WorkerIndex]),
}

impl Group<'_> {
    fn members(&self) -> &[WorkerIndex] {
        match self {
            Group::One(index) => std::slice::from_ref(index),
            Group::Many(members) => members,
        }
    }
}

fn search<'a>(
    workers: &WorkerTable,
    groups: impl IntoIterator<Item = Group<'a>>,
    demand: &Demand,
    devices: u32,
    preference: Preference,
    usable: &impl Usable,
) -> Found {
    let mut groups: Vec<Group<'a>> = groups.into_iter().collect();
    let count = groups.len().max(1);
    groups.rotate_left(preference.offset % count);
    let mut best_free = 0;
    let mut without_gain = 0;
    let mut best: Option<(u32, Vec<IndexedPart>)> = None;
    let mut candidates: Vec<(WorkerIndex, DeviceMask)> = Vec::new();
    for group in groups {
        candidates.clear();
        candidates.extend(group.members().iter().filter_map(|index| {
            let row = &workers.rows[*index];
            let mask = limit_by_box(row, demand, usable.devices(*index, row));
            (mask != 0).then_some((*index, mask))
        }));
        let free: u32 = candidates.iter().map(|(_, mask)| mask.count_ones()).sum();
        best_free = best_free.max(free);
        if free < devices {
            continue;
        }
        // Leftover devices are part of the cost, so a group with this many can't be cheaper.
        if best.as_ref().is_some_and(|(lowest, _)| free - devices >= *lowest) {
            continue;
        }
        let parts = choose(&mut candidates, devices, preference.offset);
        let foreign = parts.iter().any(|(worker, _)| {
            preference.other_domains & domain_bit(workers.rows[*worker].failure_domain) != 0
        });
        let domain_cost = if foreign { OTHER_DOMAIN_COST } else { 0 };
        let impact: u32 =
            parts.iter().map(|part| guarantee_cost(workers, *part, demand, preference)).sum();
        let cost = cost(workers, &parts, free - devices, usable) + domain_cost + impact;
        if preference.packing <= FIRST_FIT_PACKING && !foreign {
            return Found::Place(parts);
        }
        if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
            best = Some((cost, parts));
            without_gain = 0;
        } else {
            without_gain += 1;
        }
        if cost == 0 || without_gain >= GROUPS_WITHOUT_GAIN {
            break;
        }
    }
    match best {
        Some((_, parts)) => Found::Place(parts),
        None => Found::NoRoom { best: best_free },
    }
}

/// Limits the devices to those for which the box has enough free cores and memory.
fn limit_by_box(row: &WorkerRow, demand: &Demand, mask: DeviceMask) -> DeviceMask {
    let by_cores = (row.spec.cores.saturating_sub(row.cores_used)).checked_div(demand.cores);
    let by_memory =
        (row.spec.memory_mib.saturating_sub(row.memory_used)).checked_div(demand.memory);
    let most = by_cores.unwrap_or(u32::MAX).min(by_memory.unwrap_or(u32::MAX));
    if mask.count_ones() <= most { mask } else { pick(mask, most) }
}

/// Chooses devices within a group that has enough of them: whole workers first, then the best fit.
fn choose(candidates: &mut [IndexedPart], devices: u32, offset: usize) -> Vec<IndexedPart> {
    let count = candidates.len();
    candidates.rotate_left(offset % count.max(1));
    candidates.sort_by_key(|(_, mask)| std::cmp::Reverse(mask.count_ones()));
    let mut parts = Vec::new();
    let mut left = devices;
    let mut next = 0;
    while left > 0 {
        let rest = &candidates[next..];
        let fits = rest.iter().rposition(|(_, mask)| mask.count_ones() >= left);
        let at = match fits {
            Some(best_fit) if left < DEVICES_PER_WORKER || best_fit == 0 => next + best_fit,
            _ => next,
        };
        let (worker, mask) = candidates[at];
        let take = left.min(mask.count_ones());
        parts.push((worker, pick(mask, take)));
        left -= take;
        candidates.swap(next, at);
        next += 1;
    }
    parts.sort_unstable();
    parts
}

/// Picks `count` devices out of a mask, keeping large aligned cells whole.
///
/// Repeatedly takes the largest cell that is still needed from the smallest free cell around it.
pub(crate) fn pick(mask: DeviceMask, count: u32) -> DeviceMask {
    let mut left = mask;
    let mut taken = 0;
    let mut need = count.min(mask.count_ones());
    while need > 0 {
        let cell = (0..=3).rev().map(|level| 1_u32 << level).find(|size| *size <= need);
        let size = cell.unwrap_or(1);
        let block = smallest_block(left, size).unwrap_or_else(|| lowest_bits(left, need.min(size)));
        taken |= block;
        left &= !block;
        need -= block.count_ones();
    }
    taken
}

/// Finds an aligned block of `size` devices inside the smallest free aligned block.
fn smallest_block(mask: DeviceMask, size: u32) -> Option<DeviceMask> {
    let block: DeviceMask = (1 << size) - 1;
    let mut best: Option<(u32, DeviceMask)> = None;
    for at in (0..DeviceMask::BITS).step_by(size as usize) {
        let here = block << at;
        if mask & here != here {
            continue;
        }
        let enclosing = enclosing_block(mask, at, size);
        if best.is_none_or(|(smallest, _)| enclosing < smallest) {
            best = Some((enclosing, here));
        }
    }
    best.map(|(_, here)| here)
}

/// Returns the size of the largest free aligned block that contains the block at `at`.
fn enclosing_block(mask: DeviceMask, at: u32, size: u32) -> u32 {
    let mut enclosing = size;
    while enclosing < DEVICES_PER_WORKER {
        let larger = enclosing * 2;
        let block: DeviceMask = (1 << larger) - 1;
        let start = at - at % larger;
        if mask & (block << start) != block << start {
            break;
        }
        enclosing = larger;
    }
    enclosing
}

fn lowest_bits(mask: DeviceMask, count: u32) -> DeviceMask {
    let mut left = mask;
    for _ in 0..count {
        left &= left.wrapping_sub(1);
    }
    mask & !left
}

/// Returns the cost of a part for the guarantees that it affects.
fn guarantee_cost(
    workers: &WorkerTable,
    (worker, devices): IndexedPart,
    demand: &Demand,
    preference: Preference,
) -> u32 {
    const MOVE_COST: u32 = 6;
    const LOST_WORK_COST: u32 = 24;
    let row = &workers.rows[worker];
    match preference.impact {
        GuaranteeImpact::None => 0,
        GuaranteeImpact::Borrows { checkpointable } => {
            let bound = row.bound_by_others(demand.workspace);
            (devices & bound).count_ones() * if checkpointable { MOVE_COST } else { LOST_WORK_COST }
        }
        GuaranteeImpact::Binds(Level::Rack) => {
            let members = &workers.rack_cells[row.rack_cell];
            members.iter().map(|member| workers.rows[*member].cost_of_lent()).sum()
        }
        GuaranteeImpact::Binds(_) => row.cost_of_lent(),
    }
}

/// Returns the cost of a place: the cells that it breaks and the devices of the group left over.
fn cost(workers: &WorkerTable, parts: &[IndexedPart], leftover: u32, usable: &impl Usable) -> u32 {
    const BROKEN_WORKER: u32 = 64;
    const BROKEN_QUAD: u32 = 8;
    const BROKEN_PAIR: u32 = 2;
    let broken: u32 = parts
        .iter()
        .map(|(worker, taken)| {
            let row = &workers.rows[*worker];
            let before = usable.devices(*worker, row);
            let lost = worker_cells(before).counts;
            let gained = worker_cells(before & !taken).counts;
            let used = worker_cells(*taken).counts;
            let broke = |level: usize| (lost[level]).saturating_sub(gained[level] + used[level]);
            broke(3) * BROKEN_WORKER + broke(2) * BROKEN_QUAD + broke(1) * BROKEN_PAIR
        })
        .sum();
    broken * 4 + leftover
}

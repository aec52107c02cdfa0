//! Chooses which runs are stopped for more urgent work, so that the least work is lost.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use crate::job::Resources;
use crate::metrics::metrics;

use super::WorkerIndex;
use super::fit::{Need, by_rack};
use super::fleet_state::FleetState;
use super::policy::{Candidate, WorkerRank};
use super::units::{UnitIndex, Units};

/// The units to stop, and the workers where the tasks will then fit.
#[derive(Clone, Debug)]
pub struct Preemption {
    /// The units to stop.
    pub victims: Vec<UnitIndex>,
    /// Workers, one for each task.
    pub places: Vec<WorkerIndex>,
    /// Work that is lost by the stops, in thousandths of core-seconds.
    pub lost_work: u64,
    /// Cost of the stops, as the policy charges them.
    pub cost: u64,
}

/// Finds the cheapest stops of less urgent work after which `count` tasks fit into one rack.
pub fn preempt_in_rack(
    fleet: &FleetState,
    units: &Units,
    need: &Need<'_>,
    count: usize,
) -> Option<Preemption> {
    let racks = by_rack(fleet, need);
    let searches = racks.iter().map(|(_, places)| Search::new(fleet, units, need, places));
    let could_hold = searches.filter(|search| search.could_hold(count));
    let options = could_hold.filter_map(|search| search.place_all(count));
    options.min_by_key(|preemption| preemption.cost)
}

/// Finds the cheapest stops of less urgent work after which `count` tasks fit, in one rack if the
/// step wants that and it is possible. The caller has checked with [`could_fit`] that the tasks fit
/// if all units that may be stopped are.
pub fn preempt(
    fleet: &FleetState,
    units: &Units,
    need: &Need<'_>,
    count: usize,
) -> Option<Preemption> {
    let wants_rack = need.step.same_rack && count > 1;
    let in_rack = if wants_rack { preempt_in_rack(fleet, units, need, count) } else { None };
    in_rack.or_else(|| Search::new(fleet, units, need, need.eligible(fleet)).place_all(count))
}

/// Returns whether `count` tasks would fit if all units that may be stopped for them were.
pub fn could_fit(fleet: &FleetState, units: &Units, need: &Need<'_>, count: usize) -> bool {
    Search::new(fleet, units, need, need.eligible(fleet)).could_hold(count)
}

/// Adds up costs. A policy may charge so much for a stop that the plain sum would overflow.
fn total(costs: impl Iterator<Item = u64>) -> u64 {
    costs.fold(0, u64::saturating_add)
}

/// The units that would have to be stopped at a worker for one more task, and the worker's rank.
struct RankedStops {
    rank: WorkerRank,
    stops: Vec<UnitIndex>,
}

/// Places one task after the other, each where the stops that it needs cost least. Its lists are indexed by the
/// position of a worker in `places`.
struct Search<'a> {
    fleet: &'a FleetState,
    units: &'a Units,
    need: &'a Need<'a>,
    /// The workers that are searched, in ascending order.
    places: &'a [WorkerIndex],
    /// Resources that are free at each worker, or become free by stops that are in progress or chosen.
    free: Vec<Resources>,
    /// Resources in use at each worker beyond its capacity.
    overcommit: Vec<Resources>,
    members: Option<Vec<u32>>,
    victims: BTreeSet<UnitIndex>,
    /// One candidate for each worker, computed at the first task and after each change at the worker.
    candidates: Vec<Option<RankedStops>>,
    /// The ranks of the candidates, the best first, with some outdated ones among them. A linear search of the
    /// candidates for each task would cost the width of gangs times the size of the fleet.
    ranked: BinaryHeap<Reverse<(WorkerRank, usize)>>,
}

impl<'a> Search<'a> {
    fn new(
        fleet: &'a FleetState,
        units: &'a Units,
        need: &'a Need<'a>,
        places: &'a [WorkerIndex],
    ) -> Self {
        metrics().workers_searched.inc_by(places.len() as u64);
        let free = places.iter().map(|&place| {
            let mut free = fleet.free[place];
            free.give(&fleet.workers[place].freed_soon);
            free
        });
        let overcommit = places.iter().map(|&place| fleet.overcommit[place]).collect();
        let members = fleet.members(need.step, &need.key, places);
        Self {
            fleet,
            units,
            need,
            places,
            free: free.collect(),
            overcommit,
            members,
            victims: BTreeSet::new(),
            candidates: Vec::new(),
            ranked: BinaryHeap::new(),
        }
    }

    fn present(&self, index: usize) -> u32 {
        self.members.as_ref().map_or(0, |members| members[index])
    }

    /// Returns whether `count` tasks would fit if all units that may be stopped were.
    fn could_hold(&self, count: usize) -> bool {
        let mut left = count as u64;
        for (index, &place) in self.places.iter().enumerate() {
            let (mut free, mut overcommit) = (self.free[index], self.overcommit[index]);
            for unit in self.units.at(place, self.need.priority) {
                self.units
                    .held_at(unit, place)
                    .for_each(|held| free.give_net_of(held, &mut overcommit));
            }
            left =
                left.saturating_sub(u64::from(self.need.max_tasks_at(&free, self.present(index))));
            if left == 0 {
                return true;
            }
        }
        left == 0
    }

    /// Places `count` tasks, or none.
    fn place_all(mut self, count: usize) -> Option<Preemption> {
        let places: Option<Vec<WorkerIndex>> = (0..count).map(|_| self.place_one()).collect();
        let places = places?;
        let units = &self.units.units;
        let victims: Vec<UnitIndex> = self.victims.into_iter().collect();
        let lost_work = total(victims.iter().map(|&unit| units[unit].lost_work));
        let cost = total(victims.iter().map(|&unit| units[unit].cost));
        Some(Preemption { victims, places, lost_work, cost })
    }

    fn place_one(&mut self) -> Option<WorkerIndex> {
        if self.candidates.is_empty() {
            metrics().workers_searched.inc_by(self.places.len() as u64);
            self.candidates.resize_with(self.places.len(), || None);
            (0..self.places.len()).for_each(|index| self.update_candidate(index));
        }
        let (best, stops) = self.take_cheapest()?;
        let mut changed = vec![best];
        for unit in stops {
            self.victims.insert(unit);
            for (at, held) in &self.units.units[unit].held {
                // What a gang holds at workers that aren't searched doesn't help.
                let Ok(index) = self.places.binary_search(at) else { continue };
                self.free[index].give_net_of(held, &mut self.overcommit[index]);
                changed.push(index);
            }
        }
        self.free[best].take(&self.need.demand);
        if let Some(members) = &mut self.members {
            members[best] += 1;
        }
        changed.sort_unstable();
        changed.dedup();
        metrics().workers_searched.inc_by(changed.len() as u64);
        changed.into_iter().for_each(|index| self.update_candidate(index));
        Some(self.places[best])
    }

    fn update_candidate(&mut self, index: usize) {
        self.candidates[index] = self.candidate(index);
        if let Some(candidate) = &self.candidates[index] {
            self.ranked.push(Reverse((candidate.rank, index)));
        }
    }

    /// Takes the best candidate, and returns its index and the units to stop. Skips outdated ranks.
    fn take_cheapest(&mut self) -> Option<(usize, Vec<UnitIndex>)> {
        while let Some(Reverse((rank, index))) = self.ranked.pop() {
            let candidate = self.candidates[index].take_if(|candidate| candidate.rank == rank);
            if let Some(candidate) = candidate {
                return Some((index, candidate.stops));
            }
        }
        None
    }

    /// Returns the candidate for one more task at a worker, if the task can be placed there.
    fn candidate(&self, index: usize) -> Option<RankedStops> {
        let max = self.need.step.max_per_worker;
        if max > 0 && self.present(index) >= max {
            return None;
        }
        let stops = self.cheapest_stops_at(index)?;
        let cost = total(stops.iter().map(|&unit| self.units.units[unit].cost));
        let worker = &self.fleet.workers[self.places[index]];
        let candidate = Candidate { worker, free: &self.free[index], stop_cost: Some(cost) };
        Some(RankedStops { rank: self.need.policy.worker_rank(self.need, &candidate), stops })
    }

    /// Returns the cheapest units to stop so that one task fits at a worker.
    fn cheapest_stops_at(&self, index: usize) -> Option<Vec<UnitIndex>> {
        let place = self.places[index];
        let demand = &self.need.demand;
        let (mut free, mut overcommit) = (self.free[index], self.overcommit[index]);
        let mut stops = Vec::new();
        for unit in self.units.at(place, self.need.priority) {
            if free.fits(demand) {
                break;
            }
            if self.victims.contains(&unit) {
                continue;
            }
            let helps = self.units.held_at(unit, place).any(|held| {
                (free.devices < demand.devices && held.devices > 0)
                    || (free.cpu_milli < demand.cpu_milli && held.cpu_milli > 0)
                    || (free.memory_mb < demand.memory_mb && held.memory_mb > 0)
            });
            if !helps {
                continue;
            }
            self.units
                .held_at(unit, place)
                .for_each(|held| free.give_net_of(held, &mut overcommit));
            stops.push(unit);
        }
        free.fits(demand).then_some(stops)
    }
}

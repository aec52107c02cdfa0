//! Chooses what is stopped for more urgent work: whatever loses the least.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use crate::job::Resources;
use crate::metrics::metrics;

use super::Place;
use super::gang::{Need, by_rack};
use super::pace::MachineSpeed;
use super::room::Rooms;
use super::units::{UnitIndex, Units};

/// What to stop, and where the tasks will then fit.
#[derive(Clone, Debug)]
pub struct Preemption {
    /// The units to stop.
    pub victims: Vec<UnitIndex>,
    /// Workers, one for each task.
    pub places: Vec<Place>,
    /// Work that the stops throw away, in thousandths of core-seconds.
    pub lost_work: u64,
    /// The same, more for more urgent work and for what was started often.
    pub cost: u64,
}

/// Finds the cheapest stops of less urgent work after which `count` tasks fit into one rack.
pub fn preempt_in_rack(
    rooms: &Rooms,
    units: &Units,
    need: &Need<'_>,
    count: usize,
) -> Option<Preemption> {
    let racks = by_rack(rooms, need);
    let searches = racks.iter().map(|(_, places)| Search::new(rooms, units, need, places));
    let could_hold = searches.filter(|search| search.could_hold(count));
    let options = could_hold.filter_map(|search| search.place_all(count));
    options.min_by_key(|preemption| preemption.cost)
}

/// Finds the cheapest stops of less urgent work after which `count` tasks fit, in one rack if the
/// step wants that and it can be. They are known to fit if all that may be stopped is ([`could_fit`]).
pub fn preempt(rooms: &Rooms, units: &Units, need: &Need<'_>, count: usize) -> Option<Preemption> {
    let wants_rack = need.step.same_rack && count > 1;
    let in_rack = if wants_rack { preempt_in_rack(rooms, units, need, count) } else { None };
    in_rack.or_else(|| Search::new(rooms, units, need, need.allowed(rooms)).place_all(count))
}

/// Returns whether `count` tasks would fit if all that may be stopped for them were.
pub fn could_fit(rooms: &Rooms, units: &Units, need: &Need<'_>, count: usize) -> bool {
    Search::new(rooms, units, need, need.allowed(rooms)).could_hold(count)
}

/// How badly a worker suits: avoided, not heard of, slower, cost of the stops, accelerators free.
type Rank = (bool, bool, bool, u64, u64);

/// What one task costs at a worker.
struct Offer {
    rank: Rank,
    stops: Vec<UnitIndex>,
}

/// Places task after task, each where the stops that it needs cost least. All that it holds is by the index of a place
/// among those that it searches.
struct Search<'a> {
    rooms: &'a Rooms,
    units: &'a Units,
    need: &'a Need<'a>,
    /// The places, in rising order.
    places: &'a [Place],
    /// What is free at each place, now or by stops that are under way or chosen.
    free: Vec<Resources>,
    /// What each place holds beyond what it has.
    owed: Vec<Resources>,
    members: Option<Vec<u32>>,
    chosen: BTreeSet<UnitIndex>,
    /// Offers of the places, worked out once and again after each change there.
    offers: Vec<Option<Offer>>,
    /// The ranks of the offers, the best first, and of some that have changed since. Looked through for each task, the
    /// offers were two fifths of a round on 2,500 workers: the width of gangs times the size of the fleet.
    ranked: BinaryHeap<Reverse<(Rank, usize)>>,
}

impl<'a> Search<'a> {
    fn new(rooms: &'a Rooms, units: &'a Units, need: &'a Need<'a>, places: &'a [Place]) -> Self {
        metrics().workers_searched.inc_by(places.len() as u64);
        let free = places.iter().map(|&place| {
            let mut free = rooms.free[place];
            free.give(&rooms.rooms[place].freed_soon);
            free
        });
        let owed = places.iter().map(|&place| rooms.owed[place]).collect();
        let members = rooms.members(need.step, &need.key, places);
        Self {
            rooms,
            units,
            need,
            places,
            free: free.collect(),
            owed,
            members,
            chosen: BTreeSet::new(),
            offers: Vec::new(),
            ranked: BinaryHeap::new(),
        }
    }

    fn there(&self, index: usize) -> u32 {
        self.members.as_ref().map_or(0, |members| members[index])
    }

    /// Returns whether `count` tasks would fit if all that may be stopped were.
    fn could_hold(&self, count: usize) -> bool {
        let mut left = count as u64;
        for (index, &place) in self.places.iter().enumerate() {
            let (mut free, mut owed) = (self.free[index], self.owed[index]);
            for unit in self.units.at(place, self.need.priority) {
                self.units.held_at(unit, place).for_each(|held| free.give_net_of(held, &mut owed));
            }
            left = left.saturating_sub(u64::from(self.need.most_at(&free, self.there(index))));
            if left == 0 {
                return true;
            }
        }
        left == 0
    }

    /// Finds places for `count` tasks, or for none.
    fn place_all(mut self, count: usize) -> Option<Preemption> {
        let places: Option<Vec<Place>> = (0..count).map(|_| self.place_one()).collect();
        let places = places?;
        let units = &self.units.units;
        let victims: Vec<UnitIndex> = self.chosen.into_iter().collect();
        let lost_work = victims.iter().map(|&unit| units[unit].lost_work).sum();
        let cost = victims.iter().map(|&unit| units[unit].cost).sum();
        Some(Preemption { victims, places, lost_work, cost })
    }

    fn place_one(&mut self) -> Option<Place> {
        if self.offers.is_empty() {
            metrics().workers_searched.inc_by(self.places.len() as u64);
            self.offers.resize_with(self.places.len(), || None);
            (0..self.places.len()).for_each(|index| self.renew_offer(index));
        }
        let (best, stops) = self.take_best()?;
        let mut changed = vec![best];
        for unit in stops {
            self.chosen.insert(unit);
            for (at, held) in &self.units.units[unit].held {
                // What a gang holds elsewhere doesn't help here.
                let Ok(index) = self.places.binary_search(at) else { continue };
                self.free[index].give_net_of(held, &mut self.owed[index]);
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
        changed.into_iter().for_each(|index| self.renew_offer(index));
        Some(self.places[best])
    }

    fn renew_offer(&mut self, index: usize) {
        self.offers[index] = self.offer(index);
        if let Some(offer) = &self.offers[index] {
            self.ranked.push(Reverse((offer.rank, index)));
        }
    }

    /// Takes the best offer: its place and its stops.
    fn take_best(&mut self) -> Option<(usize, Vec<UnitIndex>)> {
        while let Some(Reverse((rank, index))) = self.ranked.pop() {
            let offer = self.offers[index].take_if(|offer| offer.rank == rank);
            if let Some(offer) = offer {
                return Some((index, offer.stops));
            }
        }
        None
    }

    /// Returns what one more task costs at a place, if it can be placed there.
    fn offer(&self, index: usize) -> Option<Offer> {
        let most = self.need.step.max_per_worker;
        if most > 0 && self.there(index) >= most {
            return None;
        }
        let stops = self.stops_at(index)?;
        let cost = stops.iter().map(|&unit| self.units.units[unit].cost).sum();
        let room = &self.rooms.rooms[self.places[index]];
        let slower = self.need.speed_of(room) == MachineSpeed::Slower;
        let rank = (room.avoided, room.unheard, slower, cost, self.free[index].devices);
        Some(Offer { rank, stops })
    }

    /// Returns the cheapest units to stop so that one task fits at a place.
    fn stops_at(&self, index: usize) -> Option<Vec<UnitIndex>> {
        let place = self.places[index];
        let demand = &self.need.demand;
        let (mut free, mut owed) = (self.free[index], self.owed[index]);
        let mut stops = Vec::new();
        for unit in self.units.at(place, self.need.priority) {
            if free.fits(demand) {
                break;
            }
            if self.chosen.contains(&unit) {
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
            self.units.held_at(unit, place).for_each(|held| free.give_net_of(held, &mut owed));
            stops.push(unit);
        }
        free.fits(demand).then_some(stops)
    }
}

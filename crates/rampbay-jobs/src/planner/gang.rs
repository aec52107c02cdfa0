//! Finds places for tasks in the rooms of the workers.

use std::cell::OnceCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::job::{InstanceId, Resources, Step};
use crate::metrics::metrics;

use super::pace::MachineSpeed;
use super::queue::WaitingStep;
use super::room::{Room, Rooms};
use super::{Place, StepKey};

/// What a place must offer.
#[derive(Clone, Debug)]
pub struct Need<'a> {
    /// The step.
    pub step: &'a Step,
    /// What one task takes.
    pub demand: Resources,
    /// Names the step's tasks.
    pub key: StepKey,
    /// Priority of the step's queue.
    pub priority: u32,
    /// Service whose workers run it.
    pub service: &'a str,
    /// Whether it may use workers that are kept for urgent work.
    pub uses_reserve: bool,
    /// Workers that may run the step at all, once somebody asked.
    allowed: OnceCell<Vec<Place>>,
    /// Workers of earlier runs that failed.
    failed_at: Vec<InstanceId>,
}

impl<'a> Need<'a> {
    /// Returns what a waiting step needs of each place. Leaves out the workers where it failed
    /// before, unless no other may run it.
    pub fn of(waiting: &'a WaitingStep, failed_at: Vec<InstanceId>, uses_reserve: bool) -> Self {
        let step = waiting.definition();
        Self {
            step,
            demand: step.charge(),
            key: (waiting.job.clone(), waiting.occurrence, waiting.step),
            priority: waiting.submission.priority,
            service: &waiting.submission.service,
            uses_reserve,
            allowed: OnceCell::new(),
            failed_at,
        }
    }

    /// Returns the same need of some places only.
    #[must_use]
    pub fn at(&self, places: Vec<Place>) -> Self {
        Self { allowed: places.into(), ..self.clone() }
    }

    /// Lists the workers that may run the step at all. They are found at the first call only: most steps that wait ask
    /// for what is known to be exhausted, and need none.
    pub fn allowed(&self, rooms: &Rooms) -> &[Place] {
        self.allowed.get_or_init(|| self.find_allowed(rooms))
    }

    fn find_allowed(&self, rooms: &Rooms) -> Vec<Place> {
        let label = &self.step.required_label;
        let may_run = |room: &Room| {
            let is_held = room.held_for.is_some_and(|held| held < self.priority);
            let is_kept = room.reserved && !self.uses_reserve;
            room.usable
                && !is_held
                && !is_kept
                && room.worker.service == self.service
                && (label.is_empty() || room.worker.labels.contains(label))
        };
        let places = rooms.rooms.iter().enumerate();
        let mut allowed: Vec<Place> =
            places.filter(|(_, room)| may_run(room)).map(|(place, _)| place).collect();
        let is_other = |&place: &Place| !self.failed_at.contains(&rooms.rooms[place].instance);
        if !self.failed_at.is_empty() && allowed.iter().any(is_other) {
            allowed.retain(is_other);
        }
        allowed
    }

    /// Returns whether workers are left out that others of the same demand may use.
    pub const fn is_choosy(&self) -> bool {
        !self.failed_at.is_empty() || self.step.max_per_worker > 0
    }

    /// Returns how fast a worker's machine is, where that matters: time is short for urgent work only.
    pub fn speed_of(&self, room: &Room) -> MachineSpeed {
        if self.priority == 0 { room.speed } else { MachineSpeed::Usual }
    }

    /// Returns how badly a worker suits, the least first: failed or refused lately, not heard of,
    /// away from the data, failed this before, slower machines where time is short, then whatever
    /// leaves least room behind.
    fn unfitness(&self, room: &Room, free: &Resources) -> Unfitness {
        let rack = &self.step.data_rack;
        let remote = !rack.is_empty() && !room.worker.labels.contains(rack);
        let failed = !self.failed_at.is_empty() && self.failed_at.contains(&room.instance);
        let speed = self.speed_of(room);
        (room.avoided, room.unheard, remote, failed, speed, free.devices, free.cpu_milli)
    }

    /// Returns how many tasks more a worker can take that has this free.
    pub fn most_at(&self, free: &Resources, there: u32) -> u32 {
        let room = free.count_of(&self.demand);
        match self.step.max_per_worker {
            0 => room,
            most => room.min(most.saturating_sub(there)),
        }
    }
}

/// How badly a worker suits.
type Unfitness = (bool, bool, bool, bool, MachineSpeed, u64, u64);

/// Free room that is being tried out for the tasks of one step, at some places: what it copies and looks at grows with
/// these, a rack's for most gangs, and not with the fleet.
pub struct Trial<'a> {
    rooms: &'a Rooms,
    need: &'a Need<'a>,
    places: &'a [Place],
    /// What is free at each of the places.
    free: Vec<Resources>,
    /// Tasks of the step at each of the places, if the step limits them.
    members: Option<Vec<u32>>,
    /// The places by how badly they suit, the best first. Filled with the first task.
    ranked: BinaryHeap<Reverse<(Unfitness, usize)>>,
}

impl<'a> Trial<'a> {
    /// Begins with what is free now.
    pub fn new(rooms: &'a Rooms, need: &'a Need<'a>, places: &'a [Place]) -> Self {
        metrics().workers_searched.inc_by(places.len() as u64);
        let free = places.iter().map(|&place| rooms.free[place]).collect();
        let members = rooms.members(need.step, &need.key, places);
        Self { rooms, need, places, free, members, ranked: BinaryHeap::new() }
    }

    /// Takes the workers as empty.
    #[must_use]
    fn emptied(mut self) -> Self {
        let capacity = |&place: &Place| self.rooms.rooms[place].worker.capacity;
        self.free = self.places.iter().map(capacity).collect();
        if let Some(members) = &mut self.members {
            members.fill(0);
        }
        self
    }

    /// Returns whether `count` tasks fit.
    fn holds(&self, count: usize) -> bool {
        let mut left = count as u64;
        for index in 0..self.places.len() {
            left = left.saturating_sub(u64::from(self.most_at(index)));
            if left == 0 {
                return true;
            }
        }
        left == 0
    }

    fn most_at(&self, index: usize) -> u32 {
        let there = self.members.as_ref().map_or(0, |members| members[index]);
        self.need.most_at(&self.free[index], there)
    }

    fn rank(&mut self, index: usize) {
        if self.most_at(index) > 0 {
            let room = &self.rooms.rooms[self.places[index]];
            let unfitness = self.need.unfitness(room, &self.free[index]);
            self.ranked.push(Reverse((unfitness, index)));
        }
    }

    /// Finds the best place for one task and takes it. A place changes only by what is taken there, so that it is
    /// ranked again only then.
    pub fn place_one(&mut self) -> Option<Place> {
        let Reverse((_, index)) = self.ranked.pop()?;
        self.free[index].take(&self.need.demand);
        if let Some(members) = &mut self.members {
            members[index] += 1;
        }
        self.rank(index);
        Some(self.places[index])
    }

    /// Finds the best places for tasks one after the other, for as many as fit.
    pub fn place_most(mut self, count: usize) -> Vec<Place> {
        (0..self.places.len()).for_each(|index| self.rank(index));
        (0..count).map_while(|_| self.place_one()).collect()
    }

    /// Finds places for `count` tasks at once, or for none.
    fn place_all(self, count: usize) -> Option<Vec<Place>> {
        if !self.holds(count) {
            return None;
        }
        let places = self.place_most(count);
        (places.len() == count).then_some(places)
    }
}

/// Finds the best place for one task.
pub fn place_one(rooms: &Rooms, need: &Need<'_>, places: &[Place]) -> Option<Place> {
    Trial::new(rooms, need, places).place_most(1).first().copied()
}

/// Finds places for `count` tasks at once, or for none.
pub fn place_all(rooms: &Rooms, need: &Need<'_>, count: usize) -> Option<Vec<Place>> {
    Trial::new(rooms, need, need.allowed(rooms)).place_all(count)
}

/// Groups the workers that may run a step by their racks, in the order of the racks' names.
pub fn by_rack(rooms: &Rooms, need: &Need<'_>) -> Vec<(usize, Vec<Place>)> {
    let mut racks: Vec<Vec<Place>> = vec![Vec::new(); rooms.racks.len()];
    for &place in need.allowed(rooms) {
        racks[rooms.rooms[place].rack].push(place);
    }
    racks.into_iter().enumerate().filter(|(_, places)| !places.is_empty()).collect()
}

/// Returns whether `count` tasks would fit into one rack if nothing else ran there.
pub fn rack_could_hold(rooms: &Rooms, need: &Need<'_>, count: usize) -> bool {
    let could_hold = |places: &[Place]| Trial::new(rooms, need, places).emptied().holds(count);
    by_rack(rooms, need).iter().any(|(_, places)| could_hold(places))
}

/// Finds places for `count` tasks in one rack: the one that is left with least room.
pub fn place_in_rack(rooms: &Rooms, need: &Need<'_>, count: usize) -> Option<Vec<Place>> {
    let mut best: Option<((bool, usize, u64), Vec<Place>)> = None;
    for (rack, places) in by_rack(rooms, need) {
        let Some(taken) = Trial::new(rooms, need, &places).place_all(count) else { continue };
        let remote = !need.step.data_rack.is_empty() && need.step.data_rack != rooms.racks[rack];
        let is_slower =
            |&&place: &&Place| need.speed_of(&rooms.rooms[place]) == MachineSpeed::Slower;
        let slower = taken.iter().filter(is_slower).count();
        let rank = (remote, slower, rooms.free_devices_in(rack));
        if best.as_ref().is_none_or(|(best, _)| rank < *best) {
            best = Some((rank, taken));
        }
    }
    best.map(|(_, places)| places)
}

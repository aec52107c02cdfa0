//! Finds places for tasks in the rooms of the workers.

use crate::job::{InstanceId, Resources, Step};

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
    /// Workers that may run the step at all.
    pub allowed: Vec<Place>,
    /// Workers of earlier runs that failed.
    failed_at: Vec<InstanceId>,
}

impl<'a> Need<'a> {
    /// Returns what a waiting step needs of each place. Leaves out the workers where it failed
    /// before, unless no other may run it.
    pub fn of(
        waiting: &'a WaitingStep,
        failed_at: Vec<InstanceId>,
        uses_reserve: bool,
        rooms: &Rooms,
    ) -> Self {
        let step = waiting.definition();
        let priority = waiting.submission.priority;
        let label = &step.required_label;
        let may_run = |room: &Room| {
            let is_held = room.held_for.is_some_and(|held| held < priority);
            let is_kept = room.reserved && !uses_reserve;
            room.usable
                && !is_held
                && !is_kept
                && room.worker.service == waiting.submission.service
                && (label.is_empty() || room.worker.labels.contains(label))
        };
        let places = rooms.rooms.iter().enumerate();
        let mut allowed: Vec<Place> =
            places.filter(|(_, room)| may_run(room)).map(|(place, _)| place).collect();
        let is_other = |&place: &Place| !failed_at.contains(&rooms.rooms[place].instance);
        if !failed_at.is_empty() && allowed.iter().any(is_other) {
            allowed.retain(is_other);
        }
        let key = (waiting.job.clone(), waiting.occurrence, waiting.step);
        Self { step, demand: step.charge(), key, priority, allowed, failed_at }
    }

    /// Returns the same need of some places only.
    #[must_use]
    pub fn at(&self, places: Vec<Place>) -> Self {
        Self { allowed: places, ..self.clone() }
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

/// Free room that is being tried out for the tasks of one step.
pub struct Trial<'a> {
    rooms: &'a Rooms,
    need: &'a Need<'a>,
    free: Vec<Resources>,
    /// Tasks of the step at each worker, if the step limits them.
    members: Option<Vec<u32>>,
}

impl<'a> Trial<'a> {
    /// Begins with what is free now.
    pub fn new(rooms: &'a Rooms, need: &'a Need<'a>) -> Self {
        let members = rooms.members(need.step, &need.key);
        Self { rooms, need, free: rooms.free.clone(), members }
    }

    /// Takes all workers as empty.
    #[must_use]
    pub fn emptied(mut self) -> Self {
        self.free = self.rooms.rooms.iter().map(|room| room.worker.capacity).collect();
        if let Some(members) = &mut self.members {
            members.fill(0);
        }
        self
    }

    /// Returns whether `count` tasks fit at some places.
    fn holds(&self, places: &[Place], count: usize) -> bool {
        let mut left = count as u64;
        for &place in places {
            left = left.saturating_sub(u64::from(self.most_at(place)));
            if left == 0 {
                return true;
            }
        }
        left == 0
    }

    fn most_at(&self, place: Place) -> u32 {
        let there = self.members.as_ref().map_or(0, |members| members[place]);
        self.need.most_at(&self.free[place], there)
    }

    /// Finds the best of some places for one task and takes it.
    fn place_one(&mut self, places: &[Place]) -> Option<Place> {
        let fitting = places.iter().copied().filter(|&place| self.most_at(place) > 0);
        let unfitness =
            |&place: &Place| self.need.unfitness(&self.rooms.rooms[place], &self.free[place]);
        let place = fitting.min_by_key(unfitness)?;
        self.free[place].take(&self.need.demand);
        if let Some(members) = &mut self.members {
            members[place] += 1;
        }
        Some(place)
    }

    /// Finds places for `count` tasks at once among some, or for none.
    fn place_all(mut self, places: &[Place], count: usize) -> Option<Vec<Place>> {
        if !self.holds(places, count) {
            return None;
        }
        (0..count).map(|_| self.place_one(places)).collect()
    }
}

/// Finds the best place for one task.
pub fn place_one(rooms: &Rooms, need: &Need<'_>, places: &[Place]) -> Option<Place> {
    Trial::new(rooms, need).place_one(places)
}

/// Finds places for `count` tasks at once, or for none.
pub fn place_all(rooms: &Rooms, need: &Need<'_>, count: usize) -> Option<Vec<Place>> {
    Trial::new(rooms, need).place_all(&need.allowed, count)
}

/// Groups the workers that may run a step by their racks, in the order of the racks' names.
pub fn by_rack(rooms: &Rooms, need: &Need<'_>) -> Vec<(usize, Vec<Place>)> {
    let mut racks: Vec<Vec<Place>> = vec![Vec::new(); rooms.racks.len()];
    for &place in &need.allowed {
        racks[rooms.rooms[place].rack].push(place);
    }
    racks.into_iter().enumerate().filter(|(_, places)| !places.is_empty()).collect()
}

/// Returns whether `count` tasks would fit into one rack if nothing else ran there.
pub fn rack_could_hold(rooms: &Rooms, need: &Need<'_>, count: usize) -> bool {
    let trial = Trial::new(rooms, need).emptied();
    by_rack(rooms, need).iter().any(|(_, places)| trial.holds(places, count))
}

/// Finds places for `count` tasks in one rack: the one that is left with least room.
pub fn place_in_rack(rooms: &Rooms, need: &Need<'_>, count: usize) -> Option<Vec<Place>> {
    let now = Trial::new(rooms, need);
    let mut best: Option<((bool, usize, u64), Vec<Place>)> = None;
    for (rack, places) in by_rack(rooms, need) {
        if !now.holds(&places, count) {
            continue;
        }
        let Some(taken) = Trial::new(rooms, need).place_all(&places, count) else { continue };
        let remote = !need.step.data_rack.is_empty() && need.step.data_rack != rooms.racks[rack];
        let in_rack = rooms.rooms.iter().zip(&rooms.free).filter(|(room, _)| room.rack == rack);
        let free = in_rack.filter(|(room, _)| room.usable).map(|(_, free)| free.devices).sum();
        let is_slower =
            |&&place: &&Place| need.speed_of(&rooms.rooms[place]) == MachineSpeed::Slower;
        let rank = (remote, taken.iter().filter(is_slower).count(), free);
        if best.as_ref().is_none_or(|(best, _)| rank < *best) {
            best = Some((rank, taken));
        }
    }
    best.map(|(_, places)| places)
}

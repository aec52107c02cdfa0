//! Finds places for tasks in the rooms of the workers.

use crate::job::{Resources, Step};

use super::pace::MachineSpeed;
use super::queue::WaitingStep;
use super::room::{Room, StepKey};

/// What a place must offer.
#[derive(Clone, Debug)]
pub struct Need<'a> {
    /// The step.
    pub step: &'a Step,
    /// Service whose workers count.
    pub service: &'a str,
    /// What one task takes.
    pub demand: Resources,
    /// Names the step's tasks.
    pub key: StepKey,
    /// Workers of earlier runs that failed.
    pub failed_at: Vec<String>,
    /// Priority of the step's queue.
    pub priority: u32,
    /// Whether the tasks go into one rack or nowhere.
    pub insists_on_rack: bool,
    /// Whether it may use the workers that are kept for urgent work.
    pub uses_reserve: bool,
    /// Whether other workers than those will do.
    pub others_will_do: bool,
}

impl<'a> Need<'a> {
    /// Returns what a waiting step needs of each place.
    pub fn of(waiting: &'a WaitingStep, failed_at: Vec<String>) -> Self {
        let step = &waiting.submission.steps[waiting.step as usize];
        Self {
            step,
            service: &waiting.submission.service,
            demand: step.charge(),
            key: (waiting.job.clone(), waiting.occurrence, waiting.step),
            failed_at,
            priority: waiting.submission.priority,
            insists_on_rack: false,
            uses_reserve: true,
            others_will_do: false,
        }
    }

    /// Leaves out the workers of earlier failures, unless no other may run the step.
    #[must_use]
    pub fn avoiding_failures(mut self, rooms: &[Room]) -> Self {
        let other = |room: &Room| self.allows(room) && !self.failed_at.contains(&room.instance);
        self.others_will_do = rooms.iter().any(other);
        self
    }

    /// Returns whether a worker may run the step at all.
    pub fn allows(&self, room: &Room) -> bool {
        let label = &self.step.required_label;
        let failed_there = self.others_will_do && self.failed_at.contains(&room.instance);
        let held = room.held_for.is_some_and(|priority| priority < self.priority);
        let kept = room.reserved && !self.uses_reserve;
        room.usable
            && !held
            && !kept
            && !failed_there
            && room.worker.service == self.service
            && (label.is_empty() || room.worker.labels.contains(label))
    }

    /// Returns whether a worker may take one more task of the step.
    pub fn allows_more(&self, room: &Room) -> bool {
        let most = self.step.max_per_worker;
        let there = room.members.get(&self.key).copied().unwrap_or(0);
        self.allows(room) && (most == 0 || there < most)
    }

    /// Returns whether one more task fits there now.
    pub fn fits(&self, room: &Room) -> bool {
        self.allows_more(room) && room.free.fits(&self.demand)
    }

    /// Returns how fast a worker's machine is, where that matters: time is short for urgent work only.
    pub fn speed_of(&self, room: &Room) -> MachineSpeed {
        if self.priority == 0 { room.speed } else { MachineSpeed::Usual }
    }

    /// Returns how badly a worker suits, the least first: failed or refused lately, not heard of,
    /// away from the data, failed this before, slower machines where time is short, then whatever
    /// leaves least room behind.
    fn unfitness(&self, room: &Room) -> (bool, bool, bool, bool, MachineSpeed, u64, u64) {
        let rack = &self.step.data_rack;
        let remote = !rack.is_empty() && !room.worker.labels.contains(rack);
        let failed = self.failed_at.contains(&room.instance);
        let speed = self.speed_of(room);
        (room.avoided, room.unheard, remote, failed, speed, room.free.devices, room.free.cpu_milli)
    }
}

/// Takes one task's room at a worker.
pub fn occupy(room: &mut Room, need: &Need<'_>) {
    room.free.take(&need.demand);
    *room.members.entry(need.key.clone()).or_default() += 1;
}

/// Finds the best place for one task and takes it.
pub fn place_one(rooms: &mut [Room], need: &Need<'_>) -> Option<usize> {
    let fitting = rooms.iter().enumerate().filter(|(_, room)| need.fits(room));
    let (index, _) = fitting.min_by_key(|(_, room)| need.unfitness(room))?;
    occupy(&mut rooms[index], need);
    Some(index)
}

/// Finds places for `count` tasks at once, or for none.
pub fn place_all(rooms: &[Room], need: &Need<'_>, count: usize) -> Option<Vec<usize>> {
    let mut trial = rooms.to_vec();
    (0..count).map(|_| place_one(&mut trial, need)).collect()
}

/// Lists the racks of the service, sorted.
pub fn racks(rooms: &[Room], need: &Need<'_>) -> Vec<String> {
    let allowed = rooms.iter().filter(|room| need.allows(room));
    let mut racks: Vec<String> = allowed.map(|room| room.worker.rack().to_owned()).collect();
    racks.sort();
    racks.dedup();
    racks
}

/// Keeps only the workers of one rack usable.
pub fn within_rack(rooms: &[Room], rack: &str) -> Vec<Room> {
    let mut trial = rooms.to_vec();
    for room in &mut trial {
        room.usable &= room.worker.rack() == rack;
    }
    trial
}

/// Returns whether `count` tasks would fit into one rack if nothing else ran there.
pub fn rack_could_hold(rooms: &[Room], need: &Need<'_>, count: usize) -> bool {
    let mut empty = rooms.to_vec();
    for room in &mut empty {
        room.free = room.worker.capacity;
        room.members.clear();
    }
    racks(&empty, need)
        .into_iter()
        .any(|rack| place_all(&within_rack(&empty, &rack), need, count).is_some())
}

/// Finds places for `count` tasks in one rack: the one that is left with least room.
pub fn place_in_rack(rooms: &[Room], need: &Need<'_>, count: usize) -> Option<Vec<usize>> {
    let mut best: Option<((bool, usize, u64), Vec<usize>)> = None;
    for rack in racks(rooms, need) {
        let trial = within_rack(rooms, &rack);
        let Some(places) = place_all(&trial, need, count) else { continue };
        let remote = !need.step.data_rack.is_empty() && need.step.data_rack != rack;
        let free = trial.iter().filter(|room| room.usable).map(|room| room.free.devices).sum();
        let is_slower = |&&place: &&usize| need.speed_of(&rooms[place]) == MachineSpeed::Slower;
        let rank = (remote, places.iter().filter(is_slower).count(), free);
        if best.as_ref().is_none_or(|(best, _)| rank < *best) {
            best = Some((rank, places));
        }
    }
    best.map(|(_, places)| places)
}

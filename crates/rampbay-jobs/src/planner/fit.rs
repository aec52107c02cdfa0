//! Finds workers with enough free capacity for the tasks of a step.

use std::cell::OnceCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::job::{InstanceId, Resources, Step};
use crate::metrics::metrics;

use super::fleet_state::{FleetState, WorkerState};
use super::policy::{Candidate, PlacementPolicy, RackRank, WorkerRank};
use super::queue::WaitingStep;
use super::{StepKey, WorkerIndex};

/// Requirements of a step's tasks on a worker.
#[derive(Clone, Debug)]
pub struct Need<'a> {
    /// The step.
    pub step: &'a Step,
    /// Resources that one task takes.
    pub demand: Resources,
    /// Identifies the step.
    pub key: StepKey,
    /// Priority of the step's queue.
    pub priority: u32,
    /// Service whose workers run the step.
    pub service: &'a str,
    /// Whether the step may use workers that are reserved for urgent work.
    pub uses_reserve: bool,
    /// The policy that ranks workers for it.
    pub policy: &'a dyn PlacementPolicy,
    /// Workers that may run the step at all, found at the first access.
    eligible: OnceCell<Vec<WorkerIndex>>,
    /// Workers on which earlier runs of these tasks failed.
    failed_at: Vec<InstanceId>,
}

impl<'a> Need<'a> {
    /// Returns the requirements of a waiting step. The workers where it failed before are excluded,
    /// unless no other worker may run it.
    pub fn of(
        waiting: &'a WaitingStep,
        failed_at: Vec<InstanceId>,
        uses_reserve: bool,
        policy: &'a dyn PlacementPolicy,
    ) -> Self {
        let step = waiting.definition();
        Self {
            step,
            demand: step.charge(),
            key: (waiting.job.clone(), waiting.occurrence, waiting.step),
            priority: waiting.submission.priority,
            service: &waiting.submission.service,
            uses_reserve,
            policy,
            eligible: OnceCell::new(),
            failed_at,
        }
    }

    /// Returns the same requirements, restricted to some workers.
    #[must_use]
    pub fn at(&self, places: Vec<WorkerIndex>) -> Self {
        Self { eligible: places.into(), ..self.clone() }
    }

    /// Returns the workers that may run the step at all. The list is computed at the first call only: for most waiting
    /// steps the demand is already known to be infeasible, and the list isn't needed.
    pub fn eligible(&self, fleet: &FleetState) -> &[WorkerIndex] {
        self.eligible.get_or_init(|| self.find_eligible(fleet))
    }

    fn find_eligible(&self, fleet: &FleetState) -> Vec<WorkerIndex> {
        let label = &self.step.required_label;
        let may_run = |worker: &WorkerState| {
            let is_held = worker.held_for.is_some_and(|held| held < self.priority);
            let is_reserved = worker.reserved && !self.uses_reserve;
            worker.usable
                && !is_held
                && !is_reserved
                && worker.record.service == self.service
                && (label.is_empty() || worker.record.labels.contains(label))
        };
        let places = fleet.workers.iter().enumerate();
        let mut eligible: Vec<WorkerIndex> =
            places.filter(|(_, worker)| may_run(worker)).map(|(place, _)| place).collect();
        let is_other =
            |&place: &WorkerIndex| !self.failed_at.contains(&fleet.workers[place].instance);
        if !self.failed_at.is_empty() && eligible.iter().any(is_other) {
            eligible.retain(is_other);
        }
        eligible
    }

    /// Returns whether the step excludes workers that other steps of the same demand may use.
    pub const fn excludes_workers(&self) -> bool {
        !self.failed_at.is_empty() || self.step.max_per_worker > 0
    }

    /// Returns whether a worker is away from the step's data.
    pub fn is_remote(&self, worker: &WorkerState) -> bool {
        let rack = &self.step.data_rack;
        !rack.is_empty() && !worker.record.labels.contains(rack)
    }

    /// Returns whether an earlier run of the waiting tasks failed, or was stopped since it held up its step.
    pub const fn is_restart(&self) -> bool {
        !self.failed_at.is_empty()
    }

    /// Returns whether an earlier run of the waiting tasks failed at a worker.
    pub fn has_failed_at(&self, worker: &WorkerState) -> bool {
        !self.failed_at.is_empty() && self.failed_at.contains(&worker.instance)
    }

    /// Returns how many more tasks a worker can take that has `free` resources and `present` tasks of the step.
    pub fn max_tasks_at(&self, free: &Resources, present: u32) -> u32 {
        let fitting = free.count_of(&self.demand);
        match self.step.max_per_worker {
            0 => fitting,
            most => fitting.min(most.saturating_sub(present)),
        }
    }
}

/// A tentative placement of the tasks of one step on some workers. The amount that it copies and examines grows with
/// the number of these workers, which is a rack's for most gangs, and not with the fleet.
pub struct Trial<'a> {
    fleet: &'a FleetState,
    need: &'a Need<'a>,
    places: &'a [WorkerIndex],
    /// Free resources at each of the workers.
    free: Vec<Resources>,
    /// Number of the step's tasks at each of the workers, if the step limits it.
    members: Option<Vec<u32>>,
    /// The workers that can take one more task, by their ranks, the best first.
    ranked: BinaryHeap<Reverse<(WorkerRank, usize)>>,
}

impl<'a> Trial<'a> {
    /// Starts from the resources that are free now.
    pub fn new(fleet: &'a FleetState, need: &'a Need<'a>, places: &'a [WorkerIndex]) -> Self {
        metrics().workers_searched.inc_by(places.len() as u64);
        let free = places.iter().map(|&place| fleet.free[place]).collect();
        let members = fleet.members(need.step, &need.key, places);
        Self { fleet, need, places, free, members, ranked: BinaryHeap::new() }
    }

    /// Treats the workers as empty.
    #[must_use]
    fn emptied(mut self) -> Self {
        let capacity = |&place: &WorkerIndex| self.fleet.workers[place].record.capacity;
        self.free = self.places.iter().map(capacity).collect();
        if let Some(members) = &mut self.members {
            members.fill(0);
        }
        self
    }

    /// Returns whether `count` tasks fit.
    fn fits(&self, count: usize) -> bool {
        let mut left = count as u64;
        for index in 0..self.places.len() {
            left = left.saturating_sub(u64::from(self.max_tasks_at(index)));
            if left == 0 {
                return true;
            }
        }
        left == 0
    }

    fn max_tasks_at(&self, index: usize) -> u32 {
        let present = self.members.as_ref().map_or(0, |members| members[index]);
        self.need.max_tasks_at(&self.free[index], present)
    }

    fn rank(&mut self, index: usize) {
        if self.max_tasks_at(index) > 0 {
            let worker = &self.fleet.workers[self.places[index]];
            let candidate = Candidate { worker, free: &self.free[index], stop_cost: None };
            let rank = self.need.policy.worker_rank(self.need, &candidate);
            self.ranked.push(Reverse((rank, index)));
        }
    }

    /// Places one task on the best worker. The rank of a worker changes only when something is placed there, so only
    /// that worker is ranked again.
    pub fn place_one(&mut self) -> Option<WorkerIndex> {
        let Reverse((_, index)) = self.ranked.pop()?;
        self.free[index].take(&self.need.demand);
        if let Some(members) = &mut self.members {
            members[index] += 1;
        }
        self.rank(index);
        Some(self.places[index])
    }

    /// Places one task on a given worker. Returns whether it fits there.
    pub fn place_at(&mut self, place: WorkerIndex) -> bool {
        let Some(index) = self.places.iter().position(|&known| known == place) else {
            return false;
        };
        if self.max_tasks_at(index) == 0 {
            return false;
        }
        self.free[index].take(&self.need.demand);
        if let Some(members) = &mut self.members {
            members[index] += 1;
        }
        true
    }

    /// Places up to `count` tasks one after the other, as many as fit.
    pub fn place_up_to(mut self, count: usize) -> Vec<WorkerIndex> {
        (0..self.places.len()).for_each(|index| self.rank(index));
        (0..count).map_while(|_| self.place_one()).collect()
    }

    /// Places `count` tasks at once, or none.
    fn place_all(self, count: usize) -> Option<Vec<WorkerIndex>> {
        if !self.fits(count) {
            return None;
        }
        let places = self.place_up_to(count);
        (places.len() == count).then_some(places)
    }
}

/// Finds the best worker for one task.
pub fn place_one(
    fleet: &FleetState,
    need: &Need<'_>,
    places: &[WorkerIndex],
) -> Option<WorkerIndex> {
    Trial::new(fleet, need, places).place_up_to(1).first().copied()
}

/// Finds workers for `count` tasks at once, or for none.
pub fn place_all(fleet: &FleetState, need: &Need<'_>, count: usize) -> Option<Vec<WorkerIndex>> {
    place_evenly(fleet, need, need.eligible(fleet), count)
}

/// Places `count` tasks at some workers, or none. If the policy knows workers among them that hold up the others less,
/// and the tasks fit there, these are taken.
fn place_evenly(
    fleet: &FleetState,
    need: &Need<'_>,
    places: &[WorkerIndex],
    count: usize,
) -> Option<Vec<WorkerIndex>> {
    let taken = Trial::new(fleet, need, places).place_all(count)?;
    let even = need.policy.even_places(need, fleet, places, &taken);
    let even = even.and_then(|places| Trial::new(fleet, need, &places).place_all(count));
    Some(even.unwrap_or(taken))
}

/// Groups the workers that may run a step by rack, in the order of the racks' names.
pub fn by_rack(fleet: &FleetState, need: &Need<'_>) -> Vec<(usize, Vec<WorkerIndex>)> {
    let mut racks: Vec<Vec<WorkerIndex>> = vec![Vec::new(); fleet.racks.len()];
    for &place in need.eligible(fleet) {
        racks[fleet.workers[place].rack].push(place);
    }
    racks.into_iter().enumerate().filter(|(_, places)| !places.is_empty()).collect()
}

/// Returns whether `count` tasks would fit into one rack if nothing else ran there.
pub fn rack_could_hold(fleet: &FleetState, need: &Need<'_>, count: usize) -> bool {
    let could_hold = |places: &[WorkerIndex]| Trial::new(fleet, need, places).emptied().fits(count);
    by_rack(fleet, need).iter().any(|(_, places)| could_hold(places))
}

/// Finds workers for `count` tasks in one rack, in the one that the policy ranks best.
pub fn place_in_rack(
    fleet: &FleetState,
    need: &Need<'_>,
    count: usize,
) -> Option<Vec<WorkerIndex>> {
    let mut best: Option<(RackRank, Vec<WorkerIndex>)> = None;
    for (rack, places) in by_rack(fleet, need) {
        let Some(taken) = place_evenly(fleet, need, &places, count) else { continue };
        let rank = need.policy.rack_rank(need, fleet, rack, &taken);
        if best.as_ref().is_none_or(|(best, _)| rank < *best) {
            best = Some((rank, taken));
        }
    }
    best.map(|(_, places)| places)
}

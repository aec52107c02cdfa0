//! State of all workers during a round: what runs there, and which resources are free.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::job::{InstanceId, JobId, Resources, Step, Submission, TaskId};
use crate::plan::TaskStatus;
use crate::record::WorkerRecord;

use super::draft::Draft;
use super::drain::is_drained;
use super::infeasible::InfeasibleDemands;
use super::isolation::is_isolated;
use super::running::RunningTask;
use super::speed::MachineSpeed;
use super::units::Units;
use super::workers::{WorkerView, WorkerViews};
use super::{Planner, RoundInputs, StepKey, WorkerIndex};

/// State of a worker during a round.
#[derive(Clone, Debug)]
pub struct WorkerState {
    /// The worker's id.
    pub instance: InstanceId,
    /// The worker's record.
    pub record: Rc<WorkerRecord>,
    /// Its rack, as an index into [`FleetState::racks`].
    pub rack: usize,
    /// Resources that become free by stops in progress.
    pub freed_soon: Resources,
    /// Whether it may be assigned work.
    pub usable: bool,
    /// Speed class of its machine.
    pub speed: MachineSpeed,
    /// Whether it failed a run or refused a start recently, or is slow now.
    pub avoided: bool,
    /// Whether its agent hasn't reported since the last outage of the reports, so that it may be gone.
    pub unconfirmed: bool,
    /// Priority of a gang that waits for this worker; less urgent work isn't placed here.
    pub held_for: Option<u32>,
    /// Whether it is reserved for urgent work.
    pub reserved: bool,
}

/// State of all workers, and the runs there.
#[derive(Debug, Default)]
pub struct FleetState {
    /// The workers.
    pub workers: Vec<WorkerState>,
    /// Resources that are free now at each worker. Kept apart from `workers`, so that a trial copies little.
    pub free: Vec<Resources>,
    /// Names of the racks, sorted.
    pub racks: Vec<String>,
    /// The workers of each rack.
    in_rack: Vec<Vec<WorkerIndex>>,
    /// The runs, except those that are being stopped.
    pub running: Vec<RunningTask>,
    /// The runs, grouped into the units that are stopped together; computed when first needed.
    pub units: Option<Units>,
    /// Resources in use at each worker beyond its capacity, which has shrunk. Resources that become free reduce
    /// this first.
    pub overcommit: Vec<Resources>,
    /// Number of runs at each worker, including those that are being stopped.
    runs: Vec<u32>,
    /// Whether each worker is closed to further tasks, since an isolated task runs or will run there.
    closed: Vec<bool>,
    /// Accelerators of the usable workers.
    usable_devices: u64,
    /// Accelerators that are free at the usable workers.
    free_usable_devices: u64,
    /// Number of workers that are held for gangs.
    pub held_workers: usize,
    /// Demands that fit into no rack.
    pub infeasible_in_rack: InfeasibleDemands,
    /// Demands that fit nowhere.
    pub infeasible: InfeasibleDemands,
    /// Demands that would fit nowhere even if all runs that may be stopped were.
    pub infeasible_with_preemption: InfeasibleDemands,
    /// Number of tasks at each worker, for the steps that limit it.
    limited: BTreeMap<StepKey, Vec<u32>>,
}

impl FleetState {
    /// Computes the state of all workers from the table and the draft.
    pub fn new(
        planner: &Planner,
        draft: &Draft<'_>,
        workers: &WorkerViews<'_>,
        inputs: &RoundInputs<'_>,
    ) -> Self {
        let mut racks: Vec<String> =
            workers.views.iter().map(|view| view.record.rack().to_owned()).collect();
        racks.sort_unstable();
        racks.dedup();
        let state = |view: &WorkerView<'_>| worker_state(planner, view, &racks, inputs);
        let mut fleet = Self {
            workers: workers.views.iter().map(state).collect(),
            free: workers.views.iter().map(|view| view.record.capacity).collect(),
            racks,
            overcommit: vec![Resources::default(); workers.views.len()],
            runs: vec![0; workers.views.len()],
            closed: vec![false; workers.views.len()],
            ..Self::default()
        };
        fleet.in_rack = vec![Vec::new(); fleet.racks.len()];
        for (place, worker) in fleet.workers.iter().enumerate() {
            fleet.in_rack[worker.rack].push(place);
        }
        for id in &inputs.table.active {
            let Some(submission) = draft.submission(id) else { continue };
            fleet.charge_job(draft, id, &submission, workers);
            fleet.close_for_job(draft, id, workers, inputs);
        }
        fleet.count_usable_devices();
        for place in 0..fleet.workers.len() {
            let freed = std::mem::take(&mut fleet.workers[place].freed_soon);
            fleet.add_freed_soon(place, &freed);
            if fleet.closed[place] {
                fleet.close(place);
            }
        }
        fleet
    }

    fn charge_job(
        &mut self,
        draft: &Draft<'_>,
        id: &JobId,
        submission: &Submission,
        workers: &WorkerViews<'_>,
    ) {
        let Some(plan) = draft.plan(id) else { return };
        for occurrence in &plan.open {
            for (number, (tasks, step)) in
                occurrence.steps.iter().zip(&submission.steps).enumerate()
            {
                for (index, task) in
                    tasks.iter().enumerate().filter(|(_, task)| task.may_be_running())
                {
                    let Some(place) = workers.index(&task.instance) else { continue };
                    let held = step.charge();
                    let missing = self.free[place].missing_for(&held);
                    self.overcommit[place].give(&missing);
                    self.free[place].take(&held);
                    self.runs[place] += 1;
                    self.count_limited((id, occurrence.number, number as u32), step, place);
                    if task.status == TaskStatus::Stopping {
                        self.workers[place].freed_soon.give(&held);
                        continue;
                    }
                    self.running.push(RunningTask {
                        id: TaskId {
                            job: id.clone(),
                            occurrence: occurrence.number,
                            step: number as u32,
                            index: index as u32,
                        },
                        held,
                        place,
                        priority: submission.priority,
                        attempt: task.attempt,
                        gang: step.gang,
                        checkpointing: step.checkpointing,
                        weight: step.demand.weight(),
                    });
                }
            }
        }
    }

    /// Records that resources become free by a stop.
    pub fn add_freed_soon(&mut self, place: WorkerIndex, held: &Resources) {
        self.workers[place].freed_soon.give_net_of(held, &mut self.overcommit[place]);
    }

    /// Marks the workers of a job's isolated runs as closed.
    fn close_for_job(
        &mut self,
        draft: &Draft<'_>,
        id: &JobId,
        workers: &WorkerViews<'_>,
        inputs: &RoundInputs<'_>,
    ) {
        if draft.losses(id).is_none() {
            return;
        }
        let Some(plan) = draft.plan(id) else { return };
        for (task_id, task) in plan.tasks(id).filter(|(_, task)| task.may_be_running()) {
            let Some(place) = workers.index(&task.instance) else { continue };
            self.closed[place] |= is_isolated(draft, &task_id, task.attempt, inputs);
        }
    }

    /// Closes a worker to further tasks.
    pub fn close(&mut self, place: WorkerIndex) {
        self.closed[place] = true;
        self.set_free(place, Resources::default());
    }

    /// Returns whether a worker is closed to further tasks.
    pub fn is_closed(&self, place: WorkerIndex) -> bool {
        self.closed[place]
    }

    /// Counts the workers that are closed to further tasks.
    pub fn closed_count(&self) -> usize {
        self.closed.iter().filter(|closed| **closed).count()
    }

    /// Returns whether nothing runs at a worker that isn't closed.
    pub fn is_idle(&self, place: WorkerIndex) -> bool {
        self.runs[place] == 0 && !self.closed[place]
    }

    /// Counts a task of a step that limits how many of its tasks a worker takes.
    fn count_limited(&mut self, key: (&JobId, u32, u32), step: &Step, place: WorkerIndex) {
        if step.max_per_worker > 0 {
            let key = (key.0.clone(), key.1, key.2);
            self.limited.entry(key).or_insert_with(|| vec![0; self.workers.len()])[place] += 1;
        }
    }

    /// Returns how many tasks of a step are at each of some workers, if the step limits this number.
    pub fn members(&self, step: &Step, key: &StepKey, places: &[WorkerIndex]) -> Option<Vec<u32>> {
        if step.max_per_worker == 0 {
            return None;
        }
        let Some(members) = self.limited.get(key) else { return Some(vec![0; places.len()]) };
        Some(places.iter().map(|&place| members[place]).collect())
    }

    /// Returns how many accelerators are free at the usable workers of a rack.
    pub fn free_devices_in(&self, rack: usize) -> u64 {
        let places = self.in_rack[rack].iter().filter(|&&place| self.workers[place].usable);
        places.map(|&place| self.free[place].devices).sum()
    }

    /// Takes the resources of one task at a worker.
    pub fn occupy(&mut self, place: WorkerIndex, step: &Step, key: &StepKey) {
        let mut left = self.free[place];
        left.take(&step.charge());
        self.set_free(place, left);
        self.runs[place] += 1;
        self.count_limited((&key.0, key.1, key.2), step, place);
    }

    /// Reserves the resources of one task at a worker, first out of those that become free soon.
    pub fn reserve(&mut self, place: WorkerIndex, step: &Step, key: &StepKey) {
        let worker = &mut self.workers[place];
        let free = self.free[place];
        let mut total = free;
        total.give(&worker.freed_soon);
        total.take(&step.charge());
        // What is still free now remains available to others; the rest becomes free by the stops.
        let left = Resources {
            cpu_milli: free.cpu_milli.min(total.cpu_milli),
            memory_mb: free.memory_mb.min(total.memory_mb),
            devices: free.devices.min(total.devices),
        };
        total.take(&left);
        worker.freed_soon = total;
        self.set_free(place, left);
        self.count_limited((&key.0, key.1, key.2), step, place);
    }

    /// Returns the share of the accelerators of usable workers that is in use, in percent.
    pub fn percent_used(&self) -> u64 {
        let used = self.usable_devices - self.free_usable_devices;
        (used * 100).checked_div(self.usable_devices).unwrap_or(0)
    }

    /// Counts the accelerators of the usable workers. Kept up to date from then on, since policies ask for the share in
    /// use for many steps in a round.
    fn count_usable_devices(&mut self) {
        let usable = self.workers.iter().zip(&self.free).filter(|(worker, _)| worker.usable);
        for (worker, free) in usable {
            self.usable_devices += worker.record.capacity.devices;
            self.free_usable_devices += free.devices;
        }
    }

    fn set_free(&mut self, place: WorkerIndex, left: Resources) {
        let before = std::mem::replace(&mut self.free[place], left);
        if self.workers[place].usable {
            self.free_usable_devices = self.free_usable_devices - before.devices + left.devices;
        }
    }
}

fn worker_state(
    planner: &Planner,
    view: &WorkerView<'_>,
    racks: &[String],
    inputs: &RoundInputs<'_>,
) -> WorkerState {
    let suspect_after = planner.settings.suspect_after;
    let rack = view.record.rack();
    WorkerState {
        instance: view.instance.clone(),
        rack: racks.binary_search_by(|known| known.as_str().cmp(rack)).unwrap_or(0),
        freed_soon: Resources::default(),
        usable: !view.record.draining
            && !is_drained(view.record, inputs)
            && !inputs.upkeep.closed.contains(view.instance)
            && !planner.health.is_blocked(view.instance, inputs.now)
            && !inputs.table.evicted.contains(view.instance)
            && !inputs.table.is_suspected(view.instance)
            && inputs.table.stop_in_force(view.instance).is_none()
            && view.report_age < suspect_after
            && view.silent < suspect_after,
        avoided: planner.health.is_avoided(view.instance, inputs.now)
            || planner.speeds.is_slow(view.instance),
        speed: planner.speeds.machine_speed(view.instance),
        unconfirmed: !view.has_reported,
        held_for: None,
        reserved: false,
        record: Rc::clone(view.record),
    }
}

//! Free room of all workers during a round.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::job::{InstanceId, JobId, Resources, Step, Submission, TaskId};
use crate::plan::TaskStatus;
use crate::record::WorkerRecord;

use super::draft::Draft;
use super::drain::keeps_off;
use super::exhausted::Exhausted;
use super::isolate::is_isolated;
use super::pace::MachineSpeed;
use super::running::RunningTask;
use super::units::Units;
use super::workers::{WorkerView, WorkerViews};
use super::{Place, Planner, RoundInputs, StepKey};

/// A worker during a round.
#[derive(Clone, Debug)]
pub struct Room {
    /// The worker's id.
    pub instance: InstanceId,
    /// The worker.
    pub worker: Rc<WorkerRecord>,
    /// Its rack, as a place in [`Rooms::racks`].
    pub rack: usize,
    /// What becomes free by stops under way.
    pub freed_soon: Resources,
    /// Whether it may get work.
    pub usable: bool,
    /// How fast its machine is.
    pub speed: MachineSpeed,
    /// Whether it failed or refused lately, or is slow now.
    pub avoided: bool,
    /// Whether its agent hasn't reported since the last outage of the reports: it may be gone.
    pub unheard: bool,
    /// Priority of a gang that waits for room here; less urgent work is kept away.
    pub held_for: Option<u32>,
    /// Whether it is kept for urgent work.
    pub reserved: bool,
}

/// All workers and what runs there.
#[derive(Debug, Default)]
pub struct Rooms {
    /// The workers.
    pub rooms: Vec<Room>,
    /// What is free now at each worker. Apart from the rooms, so that a trial copies little.
    pub free: Vec<Resources>,
    /// Names of the racks, sorted.
    pub racks: Vec<String>,
    /// The workers of each rack.
    in_rack: Vec<Vec<Place>>,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// What may be stopped; worked out once something has to be.
    pub units: Option<Units>,
    /// What each worker holds beyond what it has: its room has shrunk. What becomes free pays that off first.
    pub owed: Vec<Resources>,
    /// Runs at each worker, those that are being stopped among them.
    runs: Vec<u32>,
    /// Workers that nothing may join: a task runs there alone, or is to.
    closed: Vec<bool>,
    /// How many workers are held for gangs.
    pub held: usize,
    /// What found no place in one rack.
    pub no_rack: Exhausted,
    /// What found no place anywhere.
    pub no_place: Exhausted,
    /// What wouldn't fit anywhere if all that may be stopped were.
    pub no_stops: Exhausted,
    /// Tasks at each worker, of the steps that limit them.
    limited: BTreeMap<StepKey, Vec<u32>>,
}

impl Rooms {
    /// Works out the room of all workers.
    pub fn survey(
        planner: &Planner,
        draft: &Draft<'_>,
        workers: &WorkerViews<'_>,
        inputs: &RoundInputs<'_>,
    ) -> Self {
        let mut racks: Vec<String> =
            workers.views.iter().map(|view| view.record.rack().to_owned()).collect();
        racks.sort_unstable();
        racks.dedup();
        let room = |view: &WorkerView<'_>| make_room(planner, view, &racks, inputs);
        let mut survey = Self {
            rooms: workers.views.iter().map(room).collect(),
            free: workers.views.iter().map(|view| view.record.capacity).collect(),
            racks,
            owed: vec![Resources::default(); workers.views.len()],
            runs: vec![0; workers.views.len()],
            closed: vec![false; workers.views.len()],
            ..Self::default()
        };
        survey.in_rack = vec![Vec::new(); survey.racks.len()];
        for (place, room) in survey.rooms.iter().enumerate() {
            survey.in_rack[room.rack].push(place);
        }
        for id in &inputs.table.active {
            let Some(submission) = draft.submission(id) else { continue };
            survey.charge_job(draft, id, &submission, workers);
            survey.close_for_job(draft, id, workers, inputs);
        }
        for place in 0..survey.rooms.len() {
            let freed = std::mem::take(&mut survey.rooms[place].freed_soon);
            survey.free_soon(place, &freed);
            if survey.closed[place] {
                survey.close(place);
            }
        }
        survey
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
                    let Some(place) = workers.place(&task.instance) else { continue };
                    let held = step.charge();
                    let missing = self.free[place].missing_for(&held);
                    self.owed[place].give(&missing);
                    self.free[place].take(&held);
                    self.runs[place] += 1;
                    self.count_limited((id, occurrence.number, number as u32), step, place);
                    if task.status == TaskStatus::Stopping {
                        self.rooms[place].freed_soon.give(&held);
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

    /// Takes note that something becomes free by a stop.
    pub fn free_soon(&mut self, place: Place, held: &Resources) {
        self.rooms[place].freed_soon.give_net_of(held, &mut self.owed[place]);
    }

    /// Closes the workers where runs of a job are kept apart from others.
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
            let Some(place) = workers.place(&task.instance) else { continue };
            self.closed[place] |= is_isolated(draft, &task_id, task.attempt, inputs);
        }
    }

    /// Lets nothing join what runs at a worker.
    pub fn close(&mut self, place: Place) {
        self.closed[place] = true;
        self.free[place] = Resources::default();
    }

    /// Returns whether nothing may join what runs at a worker.
    pub fn is_closed(&self, place: Place) -> bool {
        self.closed[place]
    }

    /// Counts the workers that nothing may join.
    pub fn closed(&self) -> usize {
        self.closed.iter().filter(|closed| **closed).count()
    }

    /// Returns whether nothing runs at a worker, and something may.
    pub fn is_idle(&self, place: Place) -> bool {
        self.runs[place] == 0 && !self.closed[place]
    }

    /// Counts a task of a step that limits how many of its tasks a worker takes.
    fn count_limited(&mut self, key: (&JobId, u32, u32), step: &Step, place: Place) {
        if step.max_per_worker > 0 {
            let key = (key.0.clone(), key.1, key.2);
            self.limited.entry(key).or_insert_with(|| vec![0; self.rooms.len()])[place] += 1;
        }
    }

    /// Returns how many tasks of a step are at each of some workers, if the step limits that.
    pub fn members(&self, step: &Step, key: &StepKey, places: &[Place]) -> Option<Vec<u32>> {
        if step.max_per_worker == 0 {
            return None;
        }
        let Some(members) = self.limited.get(key) else { return Some(vec![0; places.len()]) };
        Some(places.iter().map(|&place| members[place]).collect())
    }

    /// Returns how many accelerators are free at the usable workers of a rack.
    pub fn free_devices_in(&self, rack: usize) -> u64 {
        let places = self.in_rack[rack].iter().filter(|&&place| self.rooms[place].usable);
        places.map(|&place| self.free[place].devices).sum()
    }

    /// Takes one task's room at a worker.
    pub fn occupy(&mut self, place: Place, step: &Step, key: &StepKey) {
        self.free[place].take(&step.charge());
        self.runs[place] += 1;
        self.count_limited((&key.0, key.1, key.2), step, place);
    }

    /// Keeps one task's room at a worker, first out of what becomes free soon.
    pub fn reserve(&mut self, place: Place, step: &Step, key: &StepKey) {
        let room = &mut self.rooms[place];
        let free = self.free[place];
        let mut total = free;
        total.give(&room.freed_soon);
        total.take(&step.charge());
        // What is free now and still left belongs to others; the rest comes with the stops.
        let left = Resources {
            cpu_milli: free.cpu_milli.min(total.cpu_milli),
            memory_mb: free.memory_mb.min(total.memory_mb),
            devices: free.devices.min(total.devices),
        };
        total.take(&left);
        self.free[place] = left;
        room.freed_soon = total;
        self.count_limited((&key.0, key.1, key.2), step, place);
    }

    /// Returns the share of the accelerators of usable workers that is in use, in percent.
    pub fn percent_used(&self) -> u64 {
        let usable = self.rooms.iter().zip(&self.free).filter(|(room, _)| room.usable);
        let (free, all) = usable.fold((0, 0), |(free, all), (room, left)| {
            (free + left.devices, all + room.worker.capacity.devices)
        });
        ((all - free) * 100).checked_div(all).unwrap_or(0)
    }
}

fn make_room(
    planner: &Planner,
    view: &WorkerView<'_>,
    racks: &[String],
    inputs: &RoundInputs<'_>,
) -> Room {
    let suspect_after = planner.settings.suspect_after;
    let rack = view.record.rack();
    Room {
        instance: view.instance.clone(),
        rack: racks.binary_search_by(|known| known.as_str().cmp(rack)).unwrap_or(0),
        freed_soon: Resources::default(),
        usable: !view.record.draining
            && !keeps_off(view.record, inputs)
            && !planner.health.is_blocked(view.instance, inputs.now)
            && !inputs.table.evicted.contains(view.instance)
            && view.report_age < suspect_after
            && view.silent < suspect_after,
        avoided: planner.health.is_avoided(view.instance, inputs.now)
            || planner.pace.is_slow(view.instance),
        speed: planner.pace.machine_speed(view.instance),
        unheard: !view.is_heard,
        held_for: None,
        reserved: false,
        worker: Rc::clone(view.record),
    }
}

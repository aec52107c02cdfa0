//! Free room of all workers during a round.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use crate::job::{InstanceId, Resources, Step, Submission, TaskId};
use crate::record::{TaskStatus, WorkerRecord};

use super::draft::Draft;
use super::pace::MachineSpeed;
use super::reserve::choose_reserve;
use super::{Planner, RoundInputs};

/// Names the tasks of one step of one occurrence.
pub type StepKey = (String, u32, u32);

/// A worker during a round.
#[derive(Clone, Debug)]
pub struct Room {
    /// The worker's id.
    pub instance: InstanceId,
    /// The worker.
    pub worker: Rc<WorkerRecord>,
    /// What is free now.
    pub free: Resources,
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
    /// Number of its tasks of each step.
    pub members: BTreeMap<StepKey, u32>,
}

/// A run that may be stopped for other work.
#[derive(Clone, Debug)]
pub struct RunningTask {
    /// The task.
    pub id: TaskId,
    /// What it holds.
    pub held: Resources,
    /// Its worker.
    pub instance: InstanceId,
    /// Priority of its queue.
    pub priority: u32,
    /// Number of its run, from 1.
    pub attempt: u32,
    /// Work that a stop would throw away, in thousandths of core-seconds.
    pub lost_work: u64,
    /// Whether it is a member of a gang.
    pub gang: bool,
}

/// All workers and what runs there.
#[derive(Clone, Debug, Default)]
pub struct Rooms {
    /// The workers.
    pub rooms: Vec<Room>,
    /// What runs.
    pub running: Vec<RunningTask>,
}

impl Rooms {
    /// Works out the room of all workers.
    pub fn survey(planner: &Planner, draft: &Draft<'_>, inputs: &RoundInputs<'_>) -> Self {
        let workers = inputs.table.workers.iter();
        let rooms = workers.map(|(instance, worker)| Room {
            instance: instance.clone(),
            free: worker.capacity,
            freed_soon: Resources::default(),
            usable: !worker.draining
                && !planner.health.is_blocked(instance, inputs.now)
                && !inputs.table.evicted.contains(instance)
                && planner.report_age(instance, inputs) < planner.settings.doubt_after
                && inputs.progress.silent(instance) < planner.settings.doubt_after,
            avoided: planner.health.is_avoided(instance, inputs.now)
                || planner.pace.is_slow(instance),
            speed: planner.pace.machine_speed(instance),
            unheard: !inputs.progress.is_heard(instance),
            held_for: None,
            reserved: false,
            members: BTreeMap::new(),
            worker: Rc::clone(worker),
        });
        let mut survey = Self { rooms: rooms.collect(), running: Vec::new() };
        for id in draft.active() {
            let Some(submission) = draft.submission(&id) else { continue };
            survey.charge_job(draft, &id, &submission, inputs);
        }
        choose_reserve(&mut survey);
        survey
    }

    fn charge_job(
        &mut self,
        draft: &Draft<'_>,
        id: &String,
        submission: &Submission,
        inputs: &RoundInputs<'_>,
    ) {
        let Some(plan) = draft.plan(id) else { return };
        for (task_id, task) in plan.tasks(id).filter(|(_, task)| task.occupies()) {
            let Some(step) = submission.steps.get(task_id.step as usize) else { continue };
            let Some(index) = self.position(&task.instance) else { continue };
            let held = step.charge();
            let room = &mut self.rooms[index];
            room.free.take(&held);
            let key = (id.clone(), task_id.occurrence, task_id.step);
            *room.members.entry(key).or_default() += 1;
            if task.status == TaskStatus::Stopping {
                room.freed_soon.give(&held);
                continue;
            }
            let lost_work = lost_work(&task_id, task.attempt, step, inputs);
            self.running.push(RunningTask {
                id: task_id,
                held,
                instance: task.instance.clone(),
                priority: submission.priority,
                attempt: task.attempt,
                lost_work,
                gang: step.gang,
            });
        }
    }

    /// Returns the share of the accelerators of usable workers that is in use, in percent.
    pub fn percent_used(&self) -> u64 {
        let usable = self.rooms.iter().filter(|room| room.usable);
        let (free, all) = usable.fold((0, 0), |(free, all), room| {
            (free + room.free.devices, all + room.worker.capacity.devices)
        });
        ((all - free) * 100).checked_div(all).unwrap_or(0)
    }

    /// Returns the place of a worker in the list.
    pub fn position(&self, instance: &str) -> Option<usize> {
        self.rooms.iter().position(|room| room.instance == instance)
    }
}

/// Work since the last checkpoint of a run that saves its progress, at most.
const CHECKPOINT_WORK: Duration = Duration::from_millis(800);
/// Work that every stop throws away, for the start that has to come again.
const RESTART_WORK: Duration = Duration::from_millis(300);
/// The same for a member of a gang, which has to find room for all members again.
const GANG_RESTART_WORK: Duration = Duration::from_millis(1000);

/// Returns the work that a stop throws away. Estimates are rough, so the time since the run was
/// seen first counts.
fn lost_work(id: &TaskId, attempt: u32, step: &Step, inputs: &RoundInputs<'_>) -> u64 {
    let seen = inputs.progress.run(id, attempt);
    let mut lost = seen.map_or(Duration::ZERO, |seen| seen.first_seen.elapsed());
    if step.checkpointing {
        lost = lost.min(CHECKPOINT_WORK);
    }
    let restart = if step.gang { GANG_RESTART_WORK } else { RESTART_WORK };
    let lost_ms = (lost + restart).as_millis() as u64;
    step.demand.weight().max(1) * lost_ms / 1000
}

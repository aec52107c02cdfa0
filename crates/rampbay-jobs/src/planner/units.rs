//! The units that may be stopped for other work: single runs, and gangs as a whole.

use std::collections::HashMap;

use crate::job::{JobId, Resources, TaskId};

use super::WorkerIndex;
use super::policy::StopCost;
use super::running::RunningTask;

/// Index of a unit in [`Units::units`]; cheaper units come first.
pub type UnitIndex = usize;

/// Runs that are stopped together, and the cost of that.
#[derive(Clone, Debug)]
pub struct Unit {
    /// One of its runs.
    pub first: TaskId,
    /// The workers of its runs, and the resources held there.
    pub held: Vec<(WorkerIndex, Resources)>,
    /// Priority of its queue.
    pub priority: u32,
    /// Work that the stop loses, in thousandths of core-seconds.
    pub lost_work: u64,
    /// Cost of the stop, as the policy charges it.
    pub cost: u64,
    /// Whether this round has already decided to stop it.
    pub is_stopped: bool,
}

/// All units, and their workers.
#[derive(Clone, Debug, Default)]
pub struct Units {
    /// The units, cheaper ones first.
    pub units: Vec<Unit>,
    /// Units with a run at each worker, cheaper ones first.
    by_place: Vec<Vec<UnitIndex>>,
}

impl Units {
    /// Groups the runs at `places` workers into units. `stop_cost` returns the cost of stopping one run.
    pub fn group(
        running: &[RunningTask],
        places: usize,
        stop_cost: impl Fn(&RunningTask) -> StopCost,
    ) -> Self {
        let mut units: Vec<Unit> = Vec::new();
        let mut gangs: HashMap<(&JobId, u32, u32), UnitIndex> = HashMap::new();
        for task in running {
            let StopCost { lost_work, cost } = stop_cost(task);
            let key = (&task.id.job, task.id.occurrence, task.id.step);
            let known = if task.gang { gangs.get(&key).copied() } else { None };
            if let Some(unit) = known.map(|index| &mut units[index]) {
                unit.held.push((task.place, task.held));
                unit.lost_work = unit.lost_work.saturating_add(lost_work);
                unit.cost = unit.cost.saturating_add(cost);
                continue;
            }
            if task.gang {
                gangs.insert(key, units.len());
            }
            units.push(Unit {
                first: task.id.clone(),
                held: vec![(task.place, task.held)],
                priority: task.priority,
                lost_work,
                cost,
                is_stopped: false,
            });
        }
        units.sort_by_key(|unit| unit.cost);
        let mut by_place = vec![Vec::new(); places];
        for (index, unit) in units.iter().enumerate() {
            for (place, _) in &unit.held {
                if by_place[*place].last() != Some(&index) {
                    by_place[*place].push(index);
                }
            }
        }
        Self { units, by_place }
    }

    /// Iterates over the units with a run at a worker that may be stopped for work of a priority,
    /// cheaper ones first.
    pub fn at(&self, place: WorkerIndex, priority: u32) -> impl Iterator<Item = UnitIndex> + '_ {
        let units = self.by_place[place].iter().copied();
        units.filter(move |&index| {
            let unit = &self.units[index];
            unit.priority > priority && !unit.is_stopped
        })
    }

    /// Iterates over the resources that a unit holds at a worker, run by run.
    pub fn held_at(&self, unit: UnitIndex, place: WorkerIndex) -> impl Iterator<Item = &Resources> {
        let held = self.units[unit].held.iter().filter(move |(at, _)| *at == place);
        held.map(|(_, held)| held)
    }
}

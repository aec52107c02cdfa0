//! Tasks whose starts got no answer. They start again only at the workers that reject those starts, until the starts
//! can't be carried out any more.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::job::{InstanceId, TaskId};
use crate::keys::unanswered_key;
use crate::losses::Isolation;
use crate::record::UnansweredStart;

use super::draft::Draft;
use super::fit::{Need, Trial};
use super::fleet_state::FleetState;
use super::isolation::isolation_of;
use super::queue::WaitingStep;
use super::timers::Timers;
use super::workers::WorkerViews;
use super::{RoundInputs, WorkerIndex};

/// Removes the records of starts that can't be carried out any more. The time of a record that changes is measured anew.
pub fn expire_unanswered(timers: &mut Timers, draft: &mut Draft<'_>, inputs: &RoundInputs<'_>) {
    for start in inputs.table.unanswered.values().flat_map(BTreeMap::values) {
        let UnansweredStart { task, attempt, instance, remaining_ms, .. } = start.as_ref();
        let timer = format!("unanswered/{task}/{attempt}/{instance}/{remaining_ms}");
        if timers.elapsed(timer, inputs.now) >= Duration::from_millis(*remaining_ms) {
            log::info!(
                "event=J189 unanswered start expired task={task} attempt={attempt} rejected_by={instance}"
            );
            draft.remove(unanswered_key(task, *attempt));
        }
    }
}

/// A waiting task that may start at one worker only, or a gang with such members.
#[derive(Clone, Debug)]
pub struct BoundStep {
    /// The task, or all tasks of the gang.
    pub waiting: WaitingStep,
    /// The only incarnation at which each of the tasks may start; `None` if it may start anywhere.
    instances: Vec<Option<InstanceId>>,
}

/// Splits waiting steps into the tasks that may start anywhere, and those that may start at one worker only. A gang
/// isn't split.
pub fn split_bound(
    draft: &Draft<'_>,
    waiting: Vec<WaitingStep>,
) -> (Vec<WaitingStep>, Vec<BoundStep>) {
    if draft.table.unanswered.is_empty() {
        return (waiting, Vec::new());
    }
    let mut free = Vec::new();
    let mut bound = Vec::new();
    for mut step in waiting {
        let is_bound = |index: &u32| draft.table.unanswered.contains_key(&step.task(*index));
        let (bound_tasks, free_tasks): (Vec<u32>, Vec<u32>) =
            step.tasks.iter().partition(|index| is_bound(index));
        if bound_tasks.is_empty() {
            free.push(step);
        } else if step.definition().gang {
            bound.push(BoundStep::new(draft, step));
        } else {
            let part = |index| WaitingStep { tasks: vec![index], ..step.clone() };
            bound.extend(bound_tasks.into_iter().map(|index| BoundStep::new(draft, part(index))));
            step.tasks = free_tasks;
            if !step.tasks.is_empty() {
                free.push(step);
            }
        }
    }
    (free, bound)
}

impl BoundStep {
    fn new(draft: &Draft<'_>, waiting: WaitingStep) -> Self {
        let tasks = waiting.tasks.iter();
        let instances = tasks.map(|&index| only_instance(draft, &waiting.task(index))).collect();
        Self { waiting, instances }
    }

    /// Returns whether the tasks are suspected of crashing their workers.
    pub fn is_isolated(&self, draft: &Draft<'_>) -> bool {
        let mut tasks = self.waiting.tasks.iter().map(|&index| self.waiting.task(index));
        tasks.any(|task| isolation_of(draft, &task) != Isolation::None)
    }

    /// Returns a worker for each of the tasks, if all of them can start now. Gangs that are to run in one rack prefer
    /// the rack of their bound members.
    pub fn find_places(
        &self,
        draft: &Draft<'_>,
        fleet: &FleetState,
        need: &Need<'_>,
        workers: &WorkerViews<'_>,
    ) -> Option<Vec<WorkerIndex>> {
        let bound = self.bound_places(workers)?;
        let needs_idle = self.is_isolated(draft);
        let eligible = need.eligible(fleet).iter().copied();
        let eligible: Vec<WorkerIndex> =
            eligible.filter(|&place| !needs_idle || fleet.is_idle(place)).collect();
        let rack = bound.iter().flatten().next().map(|&place| fleet.workers[place].rack);
        let is_in_rack = |place: &WorkerIndex| Some(fleet.workers[*place].rack) == rack;
        let in_rack: Vec<WorkerIndex> = eligible.iter().copied().filter(is_in_rack).collect();
        let within = |places: &[WorkerIndex]| fill(Trial::new(fleet, need, places), &bound);
        let preferred = if need.step.same_rack { within(&in_rack) } else { None };
        preferred.or_else(|| within(&eligible))
    }

    /// Returns the only possible worker of each task; `None` if one of them isn't registered.
    fn bound_places(&self, workers: &WorkerViews<'_>) -> Option<Vec<Option<WorkerIndex>>> {
        let place = |instance: &Option<InstanceId>| match instance {
            Some(instance) => workers.index(instance).map(Some),
            None => Some(None),
        };
        self.instances.iter().map(place).collect()
    }
}

/// Places the bound tasks, then the others. Returns a worker for each, or `None` if one of them doesn't fit.
fn fill(mut trial: Trial<'_>, bound: &[Option<WorkerIndex>]) -> Option<Vec<WorkerIndex>> {
    if !bound.iter().flatten().all(|&place| trial.place_at(place)) {
        return None;
    }
    let count = bound.iter().filter(|place| place.is_none()).count();
    let others = trial.place_up_to(count);
    if others.len() < count {
        return None;
    }
    let mut others = others.into_iter();
    bound.iter().map(|place| place.or_else(|| others.next())).collect()
}

/// Returns the only incarnation at which a task may start: the one that rejects its unanswered starts. `None` if there
/// are no such starts; the empty name, which no worker has, if no single incarnation rejects all of them.
fn only_instance(draft: &Draft<'_>, task: &TaskId) -> Option<InstanceId> {
    let starts = draft.table.unanswered.get(task)?;
    let mut instances = starts.values().map(|start| &start.instance);
    let first = instances.next()?.clone();
    Some(if instances.all(|other| *other == first) { first } else { InstanceId::new() })
}

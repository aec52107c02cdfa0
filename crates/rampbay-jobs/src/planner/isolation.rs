//! Isolates tasks that may crash their workers. On a worker of its own such a task takes no other runs down with it,
//! and if the worker crashes, no other task can be the cause.
//!
//! A worker with an isolated task counts as full, so nothing else is placed there. If no worker becomes idle soon, the
//! task shares one after all, since long runs may occupy every worker. From the third loss on a task waits longer for
//! an idle worker, and is placed first among work of the same urgency.

use std::borrow::Cow;
use std::time::Duration;

use crate::job::{Resources, TaskId};
use crate::losses::{Isolation, UnitLosses};

use super::draft::Draft;
use super::fit::{Need, place_all, place_in_rack, place_one};
use super::fleet_state::FleetState;
use super::lost::unit_of;
use super::policy::{RoundContext, StepQuestion};
use super::queue::WaitingStep;
use super::rack::requires_one_rack;
use super::{RoundInputs, WorkerIndex};

/// Largest share of all workers that tasks with [`Isolation::Preferred`] may have to themselves, in percent. It is the
/// same as the share that may be held for waiting gangs.
const MAX_ISOLATED_PERCENT: usize = 34;
/// Longest time that a task with [`Isolation::Preferred`] waits for an idle worker after its latest loss, in
/// milliseconds. It has already waited some seconds until its last worker was certainly gone.
const MAX_WAIT_PREFERRED_MS: u64 = 1000;
/// Longest wait from the third loss on. It is short enough that no job is without a run for three seconds in which no
/// fault occurs.
const MAX_WAIT_FIRST_MS: u64 = 2500;
/// Time that a run must go on without a crash before others may share its worker. It is ten times the longest time
/// that was seen from a start to the crash it caused (500 ms).
const ISOLATED_FOR: Duration = Duration::from_secs(5);

/// A part of a waiting step whose tasks need the same isolation.
pub struct StepPart<'a> {
    /// The tasks.
    pub waiting: Cow<'a, WaitingStep>,
    /// The isolation that they need.
    pub isolation: Isolation,
}

/// Splits a waiting step into the tasks that may share workers, as one part, and one part for each suspected task. A
/// gang isn't split.
pub fn split_by_isolation<'a>(draft: &Draft<'_>, waiting: &'a WaitingStep) -> Vec<StepPart<'a>> {
    if draft.losses(&waiting.job).is_none() {
        return vec![StepPart { waiting: Cow::Borrowed(waiting), isolation: Isolation::None }];
    }
    let isolation = |index: u32| isolation_of(draft, &waiting.task(index));
    if waiting.definition().gang {
        let isolation = isolation(0);
        return vec![StepPart { waiting: Cow::Borrowed(waiting), isolation }];
    }
    let (isolated, shared): (Vec<u32>, Vec<u32>) =
        waiting.tasks.iter().partition(|&&index| isolation(index) != Isolation::None);
    let part = |tasks: Vec<u32>, isolation| StepPart {
        waiting: Cow::Owned(WaitingStep { tasks, ..waiting.clone() }),
        isolation,
    };
    let isolated = isolated.into_iter().map(|index| part(vec![index], isolation(index)));
    let shared = (!shared.is_empty()).then(|| part(shared, Isolation::None));
    isolated.chain(shared).collect()
}

/// Returns the isolation that a task needs.
pub fn isolation_of(draft: &Draft<'_>, task: &TaskId) -> Isolation {
    losses_of(draft, task).map_or(Isolation::None, UnitLosses::isolation)
}

fn losses_of<'a>(draft: &'a Draft<'_>, task: &TaskId) -> Option<&'a UnitLosses> {
    let (id, unit) = unit_of(draft, task);
    draft.losses(&id)?.0.get(&unit)
}

/// Returns whether a run is isolated, so that nothing else may be placed at its worker.
pub fn is_isolated(
    draft: &Draft<'_>,
    task: &TaskId,
    attempt: u32,
    inputs: &RoundInputs<'_>,
) -> bool {
    let Some(losses) = losses_of(draft, task) else { return false };
    let instance =
        draft.plan(&task.job).and_then(|plan| plan.task(task)).map(|known| &known.instance);
    let seen = instance.and_then(|instance| inputs.progress.run(instance, task, attempt));
    let is_young = seen.is_none_or(|seen| seen.first_seen.elapsed() < ISOLATED_FOR);
    losses.isolation() != Isolation::None && is_young
}

/// Outcome of an attempt to place tasks on workers of their own.
pub enum IsolatedPlacement {
    /// Idle workers, one for each task.
    Found(Vec<WorkerIndex>),
    /// The tasks wait for such workers.
    Wait,
    /// The tasks may share workers with others.
    Shared,
}

/// Finds idle workers for the tasks of a part, preferably none that it was lost at. If there are none, the least
/// loaded workers are closed to other tasks while the part waits.
pub fn place_isolated(
    draft: &Draft<'_>,
    fleet: &mut FleetState,
    part: &StepPart<'_>,
    need: &Need<'_>,
    round: &RoundContext<'_>,
) -> IsolatedPlacement {
    let StepPart { waiting, isolation } = part;
    let losses = waiting.tasks.first().and_then(|&index| losses_of(draft, &waiting.task(index)));
    let is_first = *isolation == Isolation::First;
    if !is_first && fleet.closed_count() * 100 >= fleet.workers.len() * MAX_ISOLATED_PERCENT {
        return IsolatedPlacement::Shared;
    }
    let idle: Vec<WorkerIndex> =
        need.eligible(fleet).iter().copied().filter(|&place| fleet.is_idle(place)).collect();
    let was_lost_at = |place: WorkerIndex| {
        losses.is_some_and(|known| known.occurred_at(&fleet.workers[place].record.node))
    };
    let elsewhere = idle.iter().copied().filter(|&place| !was_lost_at(place)).collect();
    for places in [elsewhere, idle] {
        let plan = draft.plan(&waiting.job);
        let question = StepQuestion { waiting, plan, count: waiting.tasks.len(), fleet, round };
        if let Some(found) = place_on(&question, need, places) {
            found.iter().for_each(|&place| fleet.close(place));
            return IsolatedPlacement::Found(found);
        }
    }
    let waited = losses.and_then(UnitLosses::latest).map(|at| round.inputs.wall.saturating_sub(at));
    let max_wait = if is_first { MAX_WAIT_FIRST_MS } else { MAX_WAIT_PREFERRED_MS };
    if waited.is_none_or(|waited| waited > max_wait) {
        return IsolatedPlacement::Shared;
    }
    reserve_least_loaded(fleet, need, waiting.tasks.len());
    IsolatedPlacement::Wait
}

fn place_on(
    question: &StepQuestion<'_>,
    need: &Need<'_>,
    places: Vec<WorkerIndex>,
) -> Option<Vec<WorkerIndex>> {
    let StepQuestion { count, fleet, .. } = *question;
    let need = need.at(places);
    if !need.step.gang {
        return place_one(fleet, &need, need.eligible(fleet)).map(|place| vec![place]);
    }
    if need.step.same_rack && count > 1 {
        let in_rack = place_in_rack(fleet, &need, count);
        if in_rack.is_some() || requires_one_rack(question, &need) {
            return in_rack;
        }
    }
    place_all(fleet, &need, count)
}

/// Closes the least loaded workers to other tasks: at most as many as tasks wait, and at least one.
fn reserve_least_loaded(fleet: &mut FleetState, need: &Need<'_>, count: usize) {
    let most = count.min(fleet.workers.len() * MAX_ISOLATED_PERCENT / 100).max(1);
    let left = most.saturating_sub(fleet.closed_count());
    let used = |place: WorkerIndex| {
        let free: &Resources = &fleet.free[place];
        fleet.workers[place].record.capacity.weight().saturating_sub(free.weight())
    };
    let mut places: Vec<WorkerIndex> =
        need.eligible(fleet).iter().copied().filter(|&place| !fleet.is_closed(place)).collect();
    places.sort_by_key(|&place| (used(place), place));
    places.into_iter().take(left.max(1)).for_each(|place| fleet.close(place));
}

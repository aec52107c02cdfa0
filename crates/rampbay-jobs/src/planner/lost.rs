//! Ends the runs whose workers were removed, and gives up tasks that crash every worker they are started on.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::job::{InstanceId, JobId, TaskId};
use crate::losses::{InFlightRun, LostRun, UnitKey};
use crate::metrics::metrics;
use crate::plan::{TaskPlan, TaskStatus};
use crate::record::{EndReason, RunEnd};

use super::draft::Draft;
use super::settle::apply_end;
use super::{Planner, RoundInputs};

/// Runs that were started within this time of each other, in milliseconds, count as equally old. It is more than the
/// orders of one round take to reach a worker.
const SAME_AGE_MS: u64 = 100;
/// Largest number of units that are suspected as the youngest at a worker. If more are of the same age, none of
/// them is: isolating each would take a third of the fleet after a crash that none of them caused.
const MAX_YOUNGEST_UNITS: usize = 2;
/// Time within which lost workers count as lost at once: agents notice a loss within the second between heartbeats.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(1000);
/// Number of workers lost at once from which a common cause is assumed, such as a power loss. Two workers may have been
/// crashed by two tasks.
const COMMON_CAUSE_WORKERS: usize = 3;

/// Workers that were recently lost without notice, and when this planner learned of it.
#[derive(Debug, Default)]
pub struct RecentlyLost(BTreeMap<InstanceId, Duration>);

impl RecentlyLost {
    /// Records that workers were lost, and drops those lost longer ago than [`COMMON_CAUSE_WINDOW`].
    pub fn note(&mut self, gone: impl Iterator<Item = InstanceId>, now: Duration) {
        self.0.retain(|_, at| now.saturating_sub(*at) < COMMON_CAUSE_WINDOW);
        self.0.extend(gone.map(|instance| (instance, now)));
    }

    fn has_common_cause(&self) -> bool {
        self.0.len() >= COMMON_CAUSE_WORKERS
    }
}

/// A run whose worker is no longer registered.
#[derive(Clone, Debug)]
struct OrphanedRun {
    task: TaskId,
    attempt: u32,
    instance: InstanceId,
}

/// Ends the runs whose workers are no longer registered, and counts each as a loss of its task.
pub fn give_up_lost_runs(planner: &mut Planner, draft: &mut Draft<'_>, inputs: &RoundInputs<'_>) {
    discard_losses_of_returned_workers(draft, inputs);
    let mut by_worker: BTreeMap<InstanceId, Vec<OrphanedRun>> = BTreeMap::new();
    for id in &inputs.table.active {
        for lost in orphaned_runs(draft, id) {
            by_worker.entry(lost.instance.clone()).or_default().push(lost);
        }
    }
    for (instance, lost) in &by_worker {
        for run in lost {
            log_given_up(run, lost.len() - 1, inputs);
        }
        count_losses(planner, draft, inputs, instance, lost);
    }
    if planner.recently_lost.has_common_cause() {
        clear_common_cause(&planner.recently_lost, draft, inputs);
    }
    planner.power_losses.discard_losses(draft, inputs);
    for run in by_worker.into_values().flatten() {
        give_up(draft, inputs, run);
    }
}

fn orphaned_runs(draft: &Draft<'_>, id: &JobId) -> Vec<OrphanedRun> {
    let Some(plan) = draft.plan(id) else { return Vec::new() };
    let is_lost = |task: &TaskPlan| {
        task.may_be_running() && !draft.table.workers.contains_key(&task.instance)
    };
    let lost = plan.tasks_where(id, is_lost).filter_map(|task| {
        let known = plan.task(&task)?;
        Some(OrphanedRun { attempt: known.attempt, instance: known.instance.clone(), task })
    });
    lost.collect()
}

fn log_given_up(run: &OrphanedRun, beside: usize, inputs: &RoundInputs<'_>) {
    let report = inputs.progress.report(&run.instance, Instant::now());
    log::warn!(
        "event=J135 run given up, its worker isn't registered task={} attempt={} worker={} beside={beside} report_age_ms={} reported={}",
        run.task,
        run.attempt,
        run.instance,
        report.age.as_millis(),
        report.has_reported
    );
    metrics().count_decision("give_up");
}

fn give_up(draft: &mut Draft<'_>, inputs: &RoundInputs<'_>, run: OrphanedRun) {
    let end = RunEnd {
        attempt: run.attempt,
        reason: EndReason::Lapsed,
        checkpoint: String::new(),
        instance: run.instance,
        task: run.task,
    };
    apply_end(draft, inputs, &end);
}

/// Discards losses at workers that are registered again, since their incarnations go on.
fn discard_losses_of_returned_workers(draft: &mut Draft<'_>, inputs: &RoundInputs<'_>) {
    let workers = &inputs.table.workers;
    let is_back = |instance: &str| workers.contains_key(instance);
    for (id, losses) in &inputs.table.losses {
        if losses.iter().any(|lost| is_back(&lost.instance)) {
            log::info!("event=J139 losses discarded, the worker is registered again job={id}");
            draft.edit_losses(id).discard(is_back);
        }
    }
}

/// Counts the losses at one worker against the tasks that may have caused them.
fn count_losses(
    planner: &Planner,
    draft: &mut Draft<'_>,
    inputs: &RoundInputs<'_>,
    instance: &InstanceId,
    lost: &[OrphanedRun],
) {
    let over = inputs.table.ended_incarnations.get(instance);
    if over.is_some_and(|over| over.gave_notice) || planner.emptied.contains(instance) {
        return;
    }
    let begun = over.and_then(|over| over.runs.as_deref());
    let youngest = begun.and_then(|runs| youngest_age_ms(draft, runs));
    let node = inputs.table.agent_of(instance).cloned().unwrap_or_default();
    let may_have_begun = |run: &&OrphanedRun| begun.is_none_or(|runs| find(runs, run).is_some());
    let begun_here: Vec<&OrphanedRun> = lost.iter().filter(may_have_begun).collect();
    let units: BTreeSet<(JobId, UnitKey)> =
        begun_here.iter().map(|run| unit_of(draft, &run.task)).collect();
    // A run that no plan names any more still ran beside the others.
    let others = begun.map_or(0, |runs| runs.len().saturating_sub(begun_here.len()));
    let is_alone = begun.is_some() && units.len() == 1 && others == 0;
    for run in begun_here {
        let last = begun.and_then(|runs| find(runs, run));
        let age_ms = last.map(|last| last.age_ms);
        let is_youngest = age_ms.zip(youngest).is_some_and(|(age, most)| age <= most);
        let is_proof = is_alone && last.is_some_and(InFlightRun::ended_soon_after_start);
        let (id, unit) = unit_of(draft, &run.task);
        let lost_run = LostRun {
            attempt: run.attempt,
            instance: instance.clone(),
            node: node.clone(),
            at: inputs.wall,
            may_have_begun: begun.is_some(),
            is_proof,
            was_youngest: is_youngest,
        };
        let losses = draft.edit_losses(&id).0.entry(unit).or_default();
        if losses.add(lost_run) {
            log::warn!(
                "event=J138 loss counted task={} attempt={} worker={instance} losses={} alone={is_alone} proof={is_proof} youngest={is_youngest} age_ms={age_ms:?} listed_ms={:?} gone_together={}",
                run.task,
                run.attempt,
                losses.0.len(),
                last.map(|last| last.listed_ms),
                planner.recently_lost.0.len()
            );
        }
        draft.edit_losses(&id).drop_least_suspect();
    }
}

/// Returns the age up to which a run counts as the youngest, in milliseconds; `None` if too many are of that age.
fn youngest_age_ms(draft: &Draft<'_>, runs: &[InFlightRun]) -> Option<u64> {
    let age_ms = runs.iter().map(|run| run.age_ms).min()? + SAME_AGE_MS;
    let youngest = runs.iter().filter(|run| run.age_ms <= age_ms);
    let units: BTreeSet<(JobId, UnitKey)> = youngest.map(|run| unit_of(draft, &run.task)).collect();
    (units.len() <= MAX_YOUNGEST_UNITS).then_some(age_ms)
}

fn find<'a>(runs: &'a [InFlightRun], lost: &OrphanedRun) -> Option<&'a InFlightRun> {
    runs.iter().find(|run| run.task == lost.task && run.attempt == lost.attempt)
}

/// Returns the job of a task, and the unit (task or gang) by which its losses are counted.
pub fn unit_of(draft: &Draft<'_>, task: &TaskId) -> (JobId, UnitKey) {
    let submission = draft.submission(&task.job);
    let step = submission.as_ref().and_then(|known| known.steps.get(task.step as usize));
    (task.job.clone(), UnitKey::of(task, step.is_some_and(|step| step.gang)))
}

/// Clears the suspicion of all recent losses, which have a common cause, including those that were counted before
/// the cause was recognized.
fn clear_common_cause(lost: &RecentlyLost, draft: &mut Draft<'_>, inputs: &RoundInputs<'_>) {
    let is_recent = |instance: &str| lost.0.contains_key(instance);
    for id in &inputs.table.active {
        let is_affected = draft
            .losses(id)
            .is_some_and(|losses| losses.iter().any(|run| is_recent(&run.instance)));
        if !is_affected {
            continue;
        }
        let units = draft.edit_losses(id).0.values_mut().flat_map(|unit| &mut unit.0);
        units.filter(|run| is_recent(&run.instance)).for_each(LostRun::clear_suspicion);
    }
}

/// Gives up the tasks and gangs whose losses show that they crash their workers. A unit that is still being stopped is
/// checked again in later rounds; its gang doesn't start before.
pub fn give_up_crashing(draft: &mut Draft<'_>) {
    let table = draft.table;
    let known = table.losses.keys().chain(draft.changed_losses());
    let ids: BTreeSet<JobId> = known.filter(|id| table.active.contains(*id)).cloned().collect();
    for id in ids {
        let Some(losses) = draft.losses(&id) else { continue };
        let crashing = losses.0.iter().filter(|(_, unit)| unit.should_give_up());
        let crashing: Vec<UnitKey> = crashing.map(|(key, _)| key.clone()).collect();
        crashing.iter().for_each(|unit| give_up_unit(draft, &id, unit));
    }
}

/// Gives up a task, or a gang by its first member, if it has no run.
fn give_up_unit(draft: &mut Draft<'_>, id: &JobId, unit: &UnitKey) {
    let Some(losses) = draft.losses(id).and_then(|losses| losses.0.get(unit)) else { return };
    let task =
        TaskId { job: id.clone(), occurrence: unit.occurrence, step: unit.step, index: unit.index };
    let known = draft.plan(id).and_then(|plan| plan.task(&task));
    if known.is_none_or(|known| known.status != TaskStatus::Waiting) {
        return;
    }
    log::warn!(
        "event=J147 task given up, its workers crash under it task={task} losses={} proofs={} at={:?}",
        losses.0.len(),
        losses.proofs(),
        losses.0.iter().map(|lost| &lost.node).collect::<Vec<_>>()
    );
    metrics().count_decision("give_up_crashing");
    if let Some(task) = draft.edit(id).task_mut(&task) {
        task.status = TaskStatus::Failed;
    }
}

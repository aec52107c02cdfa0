//! The steps that wait for workers, in the order in which they are placed.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use crate::job::{EpochMillis, JobId, Step, Submission, TaskId, USEFUL_OBJECTIVES, WorkspaceName};
use crate::plan::{JobPlan, JobStatus, Occurrence, TaskPlan, TaskStatus};

use super::RoundInputs;
use super::draft::Draft;
use super::forecast::Forecasts;
use super::policy::PlacementPolicy;

/// Largest number of tasks in the open occurrences of a job, unless a single one has more.
const MAX_OPEN_TASKS: u32 = 2048;
/// Largest number of lasting tasks in the open occurrences of a job: as many as a job may have.
const MAX_LASTING_TASKS: u32 = 10_000;

/// A step of which some tasks wait and may start.
#[derive(Clone, Debug)]
pub struct WaitingStep {
    /// Its job.
    pub job: JobId,
    /// The job's submission.
    pub submission: Rc<Submission>,
    /// Its occurrence.
    pub occurrence: u32,
    /// Its number in the job.
    pub step: u32,
    /// Indices of the tasks that wait.
    pub tasks: Vec<u32>,
    /// Whether it is covered by its workspace's guarantee.
    pub guaranteed: bool,
    /// Time from which it could have started, as far as is known.
    pub waits_since: EpochMillis,
    /// Expected duration of one of its tasks, in milliseconds.
    pub duration_ms: u64,
    /// Latest start time at which the job still ends in time.
    pub latest_start: EpochMillis,
    /// Latest start time at which the job ends within `USEFUL_OBJECTIVES` times its objective.
    pub latest_useful_start: EpochMillis,
}

impl WaitingStep {
    /// Returns the step as it was submitted.
    pub fn definition(&self) -> &Step {
        &self.submission.steps[self.step as usize]
    }

    /// Returns the id of one of its tasks.
    pub fn task(&self, index: u32) -> TaskId {
        TaskId { job: self.job.clone(), occurrence: self.occurrence, step: self.step, index }
    }

    /// Returns whether it is urgent: guaranteed, or of the highest priority.
    pub fn is_urgent(&self) -> bool {
        self.guaranteed || self.submission.priority == 0
    }

    /// Returns its primary sort key; a lower one comes first.
    pub fn urgency(&self) -> (bool, u32) {
        (!self.guaranteed, self.submission.priority)
    }

    /// Returns the expected work of the tasks that wait, in thousandths of core-seconds.
    pub fn work(&self) -> u64 {
        let weight = self.definition().demand.weight();
        weight * self.duration_ms / 1000 * self.tasks.len() as u64
    }

    /// Returns the time that it has waited, in milliseconds.
    pub fn waited_ms(&self, wall: EpochMillis) -> u64 {
        wall.saturating_sub(self.waits_since)
    }

    /// Returns whether the job is no longer expected to end in time.
    pub fn is_late(&self, wall: EpochMillis) -> bool {
        wall > self.latest_start
    }
}

/// Lists the waiting steps, in no particular order.
pub fn waiting_steps(
    draft: &Draft<'_>,
    inputs: &RoundInputs<'_>,
    forecasts: &Forecasts,
) -> Vec<WaitingStep> {
    let guaranteed = guaranteed_jobs(draft, inputs);
    let mut waiting = Vec::new();
    for id in &inputs.table.active {
        let Some(submission) = draft.submission(id) else { continue };
        let is_final = draft.plan(id).is_some_and(|plan| plan.status.is_final());
        let cancelled = draft.table.jobs.get(id).is_some_and(|job| job.cancelled);
        if is_final || cancelled {
            continue;
        }
        let context =
            JobContext { id, submission: &submission, guaranteed: guaranteed.contains(id) };
        let plan = draft.plan(id);
        for occurrence in plan.iter().flat_map(|plan| &plan.open) {
            waiting.extend(ready_steps(context, occurrence, forecasts));
        }
        let next = plan.map_or(0, |plan| plan.next_occurrence);
        let last = next.saturating_add(openable_occurrences(&submission, plan));
        for number in next..last.min(submission.occurrence_count()) {
            if !is_due(&submission, number, inputs.wall) {
                break;
            }
            let occurrence = Occurrence::not_started(&submission, number);
            waiting.extend(ready_steps(context, &occurrence, forecasts));
        }
    }
    waiting
}

/// Sorts waiting steps: guaranteed ones first, then by priority, and among the same urgency as the policy orders them.
pub fn sort_steps(
    waiting: &mut [WaitingStep],
    policy: &dyn PlacementPolicy,
    inputs: &RoundInputs<'_>,
) {
    waiting.sort_by_cached_key(|step| {
        (step.urgency(), policy.step_order(step, inputs), step.job.clone())
    });
}

/// A job, with what its waiting steps are built from.
#[derive(Clone, Copy, Debug)]
struct JobContext<'a> {
    id: &'a JobId,
    submission: &'a Rc<Submission>,
    guaranteed: bool,
}

/// Returns how many further occurrences of a job may be opened: at least one at a time, and no more while their tasks
/// exceed the limit. Every round walks the open ones, so one job with many due times would slow down all others.
fn openable_occurrences(submission: &Submission, plan: Option<&JobPlan>) -> u32 {
    let tasks: u32 = submission.steps.iter().map(|step| step.count.max(1)).sum();
    // An occurrence of lasting tasks stays open, and must not keep later ones from opening.
    let is_lasting = submission.steps.iter().any(|step| step.long_running);
    let limit = if is_lasting { MAX_LASTING_TASKS } else { MAX_OPEN_TASKS };
    let allowed = (limit / tasks.max(1)).max(1);
    let open = plan.map_or(0, |plan| plan.open.len());
    allowed.saturating_sub(u32::try_from(open).unwrap_or(u32::MAX))
}

fn is_due(submission: &Submission, number: u32, wall: EpochMillis) -> bool {
    !submission.is_timed() || submission.due_at(number) <= wall
}

/// Lists the steps of an occurrence that may start.
fn ready_steps(
    context: JobContext<'_>,
    occurrence: &Occurrence,
    forecasts: &Forecasts,
) -> Vec<WaitingStep> {
    let submission = context.submission;
    let steps = submission.steps.iter().enumerate();
    let ready = steps.filter_map(|(number, step)| {
        let tasks = waiting_tasks(occurrence, number);
        let is_broken = step.gang && tasks.len() < occurrence.steps[number].len();
        let is_ready = !tasks.is_empty() && !is_broken && are_done(&step.depends_on, occurrence);
        is_ready.then_some((number, tasks))
    });
    let ready: Vec<(usize, Vec<u32>)> = ready.collect();
    if ready.is_empty() {
        return Vec::new();
    }
    let durations = forecasts.durations_ms(submission);
    let chains = submission.chains_ms(&durations);
    let waits_since = submission.due_at(occurrence.number);
    let longest = chains.iter().copied().max().unwrap_or(0);
    let objective_ms = submission.objective_ms(longest);
    let objective_at = waits_since + objective_ms;
    let useful_until = waits_since + objective_ms * USEFUL_OBJECTIVES;
    let ready = ready.into_iter().map(|(number, tasks)| WaitingStep {
        job: context.id.clone(),
        submission: Rc::clone(submission),
        occurrence: occurrence.number,
        step: number as u32,
        tasks,
        guaranteed: context.guaranteed,
        waits_since,
        duration_ms: durations[number],
        latest_start: objective_at.saturating_sub(chains[number]),
        latest_useful_start: useful_until.saturating_sub(chains[number]),
    });
    ready.collect()
}

fn waiting_tasks(occurrence: &Occurrence, step: usize) -> Vec<u32> {
    let tasks = occurrence.steps[step].iter().enumerate();
    let waiting = tasks.filter(|(_, task)| task.status == TaskStatus::Waiting);
    waiting.map(|(index, _)| index as u32).collect()
}

fn are_done(steps: &[u32], occurrence: &Occurrence) -> bool {
    let is_done =
        |&step: &u32| occurrence.steps.get(step as usize).is_some_and(|tasks| all_done(tasks));
    steps.iter().all(is_done)
}

fn all_done(tasks: &[TaskPlan]) -> bool {
    tasks.iter().all(|task| task.status == TaskStatus::Done)
}

/// Lists the urgent jobs that their workspaces' guarantees cover, the oldest first.
fn guaranteed_jobs(draft: &Draft<'_>, inputs: &RoundInputs<'_>) -> BTreeSet<JobId> {
    let mut urgent: Vec<(EpochMillis, &JobId, Rc<Submission>)> = Vec::new();
    for id in &inputs.table.active {
        let Some(submission) = draft.submission(id) else { continue };
        let status = draft.plan(id).map_or(JobStatus::Queued, |plan| plan.status);
        if submission.priority == 0 && !status.is_final() {
            urgent.push((submission.submitted_at, id, submission));
        }
    }
    urgent.sort_by_key(|(at, id, _)| (*at, *id));
    let mut used: BTreeMap<WorkspaceName, u64> = BTreeMap::new();
    let mut covered = BTreeSet::new();
    for (_, id, submission) in urgent {
        let used = used.entry(submission.workspace.clone()).or_default();
        let guarantee = inputs.routing.guaranteed_devices(&submission.workspace);
        *used += submission.first_step_devices();
        if *used <= guarantee {
            covered.insert(id.clone());
        }
    }
    covered
}

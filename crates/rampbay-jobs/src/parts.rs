//! Plans of wide steps, and of many narrow ones, stored in parts.
//!
//! If the whole plan of a job were written at each end of one of its tasks, the cost would grow with the square of the
//! step's width, in the store and at every entry, and an agent that runs one task would be sent the plans of all. So a
//! step of more than [`TASKS_PER_PART`] tasks is stored in records of that many tasks each, apart from the job's own
//! record, and only the records that changed are written. In the job's own record (the head of the plan) such a step is
//! empty. Tasks of a part that was never written haven't started.
//!
//! Narrow steps are stored in the head as long as they have at most [`MAX_HEAD_TASKS`] tasks in all. With more of them,
//! each narrow step is stored as a part, too: a record of the store has a largest size, which the head would reach.

use std::collections::BTreeSet;

use serde::Deserialize;

use crate::job::{JobId, Submission, TaskId};
use crate::keys::part_key;
use crate::plan::{JobPlan, Occurrence, TaskPlan};
use crate::record::{KeyedRecord, Record, removal};

/// Maximum number of tasks in one part, and in a step that isn't divided. The end of one task writes 0.3 kB, where the
/// whole plan of a job of 360 tasks takes 12 kB, both without checkpoints. With fewer tasks in a part, an end writes less,
/// but a gang writes more records, since its tasks change all at once: with eight, the plans of gangs take a fifth more
/// bytes than whole ones.
pub const TASKS_PER_PART: usize = 8;

/// Maximum number of tasks of narrow steps, in all open occurrences of a job, that the head of its plan holds.
pub const MAX_HEAD_TASKS: usize = 64;

/// How a job's plan is laid out in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanLayout {
    /// Wide steps are stored in parts.
    #[default]
    InParts,
    /// All steps are stored in parts.
    #[serde(skip)]
    AllInParts,
    /// The whole plan is stored in the job's own record, as releases without parts read and write it.
    Whole,
}

impl PlanLayout {
    /// Returns the layout in which a plan is written in parts.
    fn of(plan: &JobPlan) -> Self {
        let steps = plan.open.iter().flat_map(|open| &open.steps);
        let narrow = steps.filter(|tasks| !is_wide(tasks)).map(Vec::len);
        if narrow.sum::<usize>() > MAX_HEAD_TASKS { Self::AllInParts } else { Self::InParts }
    }

    /// Returns whether a step is stored in parts.
    fn divides(self, tasks: &[TaskPlan]) -> bool {
        match self {
            Self::InParts => is_wide(tasks),
            Self::AllInParts => !tasks.is_empty(),
            Self::Whole => false,
        }
    }
}

/// Returns the records that turn a job's plan, as it is stored, into a new one. Parts come before the job's own record,
/// whose recipients are derived from the tasks of both, and removals of parts come last: a reader that has applied only
/// some of the records sees no task start again.
#[must_use]
pub fn changes(
    id: &JobId,
    stored: Option<&JobPlan>,
    layout: PlanLayout,
    new: &JobPlan,
) -> Vec<KeyedRecord> {
    let new_layout = PlanLayout::of(new);
    let is_written = |first: &TaskId, tasks: &[TaskPlan]| {
        let before = stored.map(|stored| tasks_from(stored, first)).unwrap_or_default();
        match layout {
            // The head holds the step so far, and no part of it is stored.
            PlanLayout::InParts if !is_wide_part(new, first) && !before.is_empty() => false,
            PlanLayout::InParts | PlanLayout::AllInParts => is_stored(before, tasks),
            PlanLayout::Whole => false,
        }
    };
    let changed = parts(id, new, new_layout).filter(|(first, tasks)| !is_written(first, tasks));
    let mut records: Vec<KeyedRecord> =
        changed.map(|(first, tasks)| Record::Part(first, tasks.to_vec()).encode()).collect();
    let head = head(new, new_layout);
    let stored_head = stored.map(|stored| self::head(stored, layout));
    if layout != new_layout || stored_head.as_ref() != Some(&head) {
        records.push(Record::Plan(id.clone(), Box::new(head)).encode());
    }
    records.extend(outdated_parts(id, stored, layout, new, new_layout).map(removal));
    records
}

/// Lists the keys of stored parts that a new plan doesn't have.
fn outdated_parts<'a>(
    id: &'a JobId,
    stored: Option<&'a JobPlan>,
    layout: PlanLayout,
    new: &JobPlan,
    new_layout: PlanLayout,
) -> impl Iterator<Item = String> + 'a {
    let open: BTreeSet<u32> = new.open.iter().map(|open| open.number).collect();
    let narrow_in_head = layout == PlanLayout::AllInParts && new_layout == PlanLayout::InParts;
    let stored_parts = stored.into_iter().flat_map(move |stored| {
        let stored_parts = parts(id, stored, layout);
        stored_parts.map(move |(first, _)| (is_wide_part(stored, &first), first))
    });
    let outdated = stored_parts.filter(move |(is_wide, first)| {
        !open.contains(&first.occurrence) || (narrow_in_head && !is_wide)
    });
    outdated.map(|(_, first)| part_key(&first))
}

/// Returns the records that turn a job's plan, as it is stored, into a new one that is stored whole.
#[must_use]
pub fn changes_to_whole(
    id: &JobId,
    stored: Option<&JobPlan>,
    layout: PlanLayout,
    new: &JobPlan,
) -> Vec<KeyedRecord> {
    let whole = Record::Plan(id.clone(), Box::new(new.clone())).encode();
    let parts = stored.into_iter().flat_map(|stored| part_keys(id, stored, layout));
    std::iter::once(whole).chain(parts.map(removal)).collect()
}

/// Lists the keys of a plan's parts, as the plan is stored.
pub fn part_keys<'a>(
    id: &'a JobId,
    plan: &'a JobPlan,
    layout: PlanLayout,
) -> impl Iterator<Item = String> + 'a {
    parts(id, plan, layout).map(|(first, _)| part_key(&first))
}

/// Merges the head of a plan, from the job's own record, into the plan as far as it is known: steps in parts, which are
/// empty in the head, keep the tasks that are known of them. Returns the plan, and the layout in which it is stored.
#[must_use]
pub fn merge_head(
    submission: &Submission,
    known: Option<JobPlan>,
    mut head: JobPlan,
) -> (JobPlan, PlanLayout) {
    let mut known = known.unwrap_or_default();
    let mut layout = PlanLayout::InParts;
    for occurrence in &mut head.open {
        let before = known.open.iter_mut().find(|open| open.number == occurrence.number);
        let before = before.map(|open| std::mem::take(&mut open.steps)).unwrap_or_default();
        let mut before = before.into_iter();
        for (tasks, step) in occurrence.steps.iter_mut().zip(&submission.steps) {
            let before = before.next().filter(|before| before.len() == step.count as usize);
            if tasks.is_empty() {
                let is_narrow = (1..=TASKS_PER_PART).contains(&(step.count as usize));
                if is_narrow && layout == PlanLayout::InParts {
                    layout = PlanLayout::AllInParts;
                }
                *tasks = before.unwrap_or_else(|| vec![TaskPlan::default(); step.count as usize]);
            } else if is_wide(tasks) {
                layout = PlanLayout::Whole;
            }
        }
    }
    (head, layout)
}

/// Merges the tasks of a step, from `first` on, into a plan. An agent may receive them without the job's own record,
/// which opens the occurrence.
pub fn merge_part(
    submission: &Submission,
    plan: &mut JobPlan,
    first: &TaskId,
    tasks: Vec<TaskPlan>,
) {
    let place = plan.open.partition_point(|open| open.number < first.occurrence);
    if plan.open.get(place).is_none_or(|open| open.number != first.occurrence) {
        plan.open.insert(place, Occurrence::not_started(submission, first.occurrence));
    }
    let step = plan.open[place].steps.get_mut(first.step as usize);
    let from_first = step.and_then(|step| step.get_mut(first.index as usize..));
    let known = from_first.into_iter().flatten();
    known.zip(tasks).for_each(|(known, task)| *known = task);
}

/// Returns the tasks of the part that begins with `first`; none if its occurrence isn't open.
#[must_use]
pub fn tasks_from<'a>(plan: &'a JobPlan, first: &TaskId) -> &'a [TaskPlan] {
    let occurrence = plan.open.iter().find(|open| open.number == first.occurrence);
    let step = occurrence.and_then(|open| open.steps.get(first.step as usize));
    let from_first = step.and_then(|step| step.get(first.index as usize..)).unwrap_or_default();
    &from_first[..from_first.len().min(TASKS_PER_PART)]
}

fn is_wide(tasks: &[TaskPlan]) -> bool {
    tasks.len() > TASKS_PER_PART
}

/// Returns whether the part that begins with `first` is of a wide step.
fn is_wide_part(plan: &JobPlan, first: &TaskId) -> bool {
    let open = plan.open.iter().find(|open| open.number == first.occurrence);
    open.and_then(|open| open.steps.get(first.step as usize)).is_some_and(|tasks| is_wide(tasks))
}

/// Returns the part of a plan that is stored in the job's own record: steps in parts are empty.
fn head(plan: &JobPlan, layout: PlanLayout) -> JobPlan {
    let undivided =
        |tasks: &Vec<TaskPlan>| if layout.divides(tasks) { Vec::new() } else { tasks.clone() };
    let open = plan.open.iter().map(|open| Occurrence {
        number: open.number,
        steps: open.steps.iter().map(undivided).collect(),
    });
    JobPlan { status: plan.status, open: open.collect(), next_occurrence: plan.next_occurrence }
}

/// Lists the parts of a plan, each with its first task.
fn parts<'a>(
    id: &'a JobId,
    plan: &'a JobPlan,
    layout: PlanLayout,
) -> impl Iterator<Item = (TaskId, &'a [TaskPlan])> + 'a {
    plan.open.iter().flat_map(move |open| {
        let divided = open.steps.iter().enumerate();
        let divided = divided.filter(move |(_, tasks)| layout.divides(tasks));
        divided.flat_map(move |(step, tasks)| {
            tasks.chunks(TASKS_PER_PART).enumerate().map(move |(number, tasks)| {
                let first = TaskId {
                    job: id.clone(),
                    occurrence: open.number,
                    step: step as u32,
                    index: (number * TASKS_PER_PART) as u32,
                };
                (first, tasks)
            })
        })
    })
}

/// Returns whether a part is stored as it is to be; `before` holds the tasks of the part as it is stored.
fn is_stored(before: &[TaskPlan], tasks: &[TaskPlan]) -> bool {
    if before.is_empty() {
        return tasks.iter().all(|task| *task == TaskPlan::default());
    }
    before == tasks
}

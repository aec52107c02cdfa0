//! Accounts of wide steps, kept in parts.
//!
//! Written whole at each end of one of its tasks, a job's account costs the square of its width, in the store and at
//! every entry, and an agent that runs one task is sent the accounts of all. So a step of more than [`TASKS_PER_PART`]
//! tasks stands in records of so many tasks each, beside the job's own record, and only those that changed are written.
//! In the job's own record such a step is empty. Tasks of a part that was never written haven't begun.

use crate::plan::{JobPlan, Occurrence, TaskPlan};
use serde::Deserialize;

use crate::job::{JobId, Submission, TaskId};
use crate::keys::part_key;
use crate::record::{KeyedRecord, Record, removal};

/// Most tasks of one part, and of a step that isn't divided. The end of one task writes 0.3 kB, where the account of a
/// job of 360 tasks takes 12 kB, both without checkpoints. The fewer tasks a part has, the less an end writes, and the more
/// records gangs do, whose tasks change all at once: with eight, their accounts take a fifth more bytes than whole.
pub const TASKS_PER_PART: usize = 8;

/// How the store holds a job's account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanLayout {
    /// Wide steps in parts of their own.
    #[default]
    InParts,
    /// All in the job's own record: what releases read and write that know no parts.
    Whole,
}

/// Returns the records that turn a job's account, as the store holds it, into a new one. Parts go before the job's own
/// record, whose audience is found by the tasks of both, and removals of parts last: a reader between two of them sees
/// no task begin again.
#[must_use]
pub fn changes(
    id: &JobId,
    kept: Option<&JobPlan>,
    form: PlanLayout,
    new: &JobPlan,
) -> Vec<KeyedRecord> {
    let is_written = |first: &TaskId, tasks: &[TaskPlan]| {
        form == PlanLayout::InParts && is_kept(kept, first, tasks)
    };
    let changed = parts(id, new).filter(|(first, tasks)| !is_written(first, tasks));
    let mut records: Vec<KeyedRecord> =
        changed.map(|(first, tasks)| Record::Part(first, tasks.to_vec()).encode()).collect();
    let head = head(new);
    if form == PlanLayout::Whole || kept.map(self::head).as_ref() != Some(&head) {
        records.push(Record::Plan(id.clone(), Box::new(head)).encode());
    }
    let is_open = |number: u32| new.open.iter().any(|open| open.number == number);
    let closed = kept.into_iter().flat_map(|kept| part_keys(id, kept));
    let closed = closed.filter(|(occurrence, _)| !is_open(*occurrence));
    records.extend(closed.map(|(_, key)| removal(key)));
    records
}

/// Returns the records that turn a job's account, as the store holds it, into a new one that is whole.
#[must_use]
pub fn changes_to_whole(
    id: &JobId,
    kept: Option<&JobPlan>,
    form: PlanLayout,
    new: &JobPlan,
) -> Vec<KeyedRecord> {
    let whole = Record::Plan(id.clone(), Box::new(new.clone())).encode();
    let kept = kept.filter(|_| form == PlanLayout::InParts);
    let parts = kept.into_iter().flat_map(|kept| part_keys(id, kept));
    std::iter::once(whole).chain(parts.map(|(_, key)| removal(key))).collect()
}

/// Lists the keys of an account's parts, each with its occurrence.
pub fn part_keys<'a>(id: &'a JobId, plan: &'a JobPlan) -> impl Iterator<Item = (u32, String)> + 'a {
    parts(id, plan).map(|(first, _)| (first.occurrence, part_key(&first)))
}

/// Takes in a job's own record: wide steps keep the tasks that are known of them.
#[must_use]
pub fn take_in_head(
    submission: &Submission,
    known: Option<JobPlan>,
    mut head: JobPlan,
) -> (JobPlan, PlanLayout) {
    let mut known = known.unwrap_or_default();
    let mut form = PlanLayout::InParts;
    for occurrence in &mut head.open {
        let before = known.open.iter_mut().find(|open| open.number == occurrence.number);
        let before = before.map(|open| std::mem::take(&mut open.steps)).unwrap_or_default();
        let mut before = before.into_iter();
        for (tasks, step) in occurrence.steps.iter_mut().zip(&submission.steps) {
            let before = before.next().filter(|before| before.len() == step.count as usize);
            if tasks.is_empty() {
                *tasks = before.unwrap_or_else(|| vec![TaskPlan::default(); step.count as usize]);
            } else if is_wide(tasks) {
                form = PlanLayout::Whole;
            }
        }
    }
    (head, form)
}

/// Takes in the tasks of a step from `first` on. An agent may get them without the job's own record, which opens the
/// occurrence.
pub fn take_in_part(
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

/// Returns a job's own record: wide steps are empty.
fn head(plan: &JobPlan) -> JobPlan {
    let narrow = |tasks: &Vec<TaskPlan>| if is_wide(tasks) { Vec::new() } else { tasks.clone() };
    let open = plan.open.iter().map(|open| Occurrence {
        number: open.number,
        steps: open.steps.iter().map(narrow).collect(),
    });
    JobPlan { status: plan.status, open: open.collect(), next_occurrence: plan.next_occurrence }
}

/// Lists the parts of an account, each with its first task.
fn parts<'a>(
    id: &'a JobId,
    plan: &'a JobPlan,
) -> impl Iterator<Item = (TaskId, &'a [TaskPlan])> + 'a {
    plan.open.iter().flat_map(move |open| {
        let wide = open.steps.iter().enumerate().filter(|(_, tasks)| is_wide(tasks));
        wide.flat_map(move |(step, tasks)| {
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

fn is_kept(kept: Option<&JobPlan>, first: &TaskId, tasks: &[TaskPlan]) -> bool {
    let before = kept.map(|kept| tasks_from(kept, first)).unwrap_or_default();
    if before.is_empty() {
        return tasks.iter().all(|task| *task == TaskPlan::default());
    }
    before == tasks
}

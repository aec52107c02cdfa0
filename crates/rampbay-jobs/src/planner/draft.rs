//! The changes of one round, as an overlay over the table at its start.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::job::{JobId, Submission, TaskId};
use crate::losses::JobLosses;
use crate::metrics::metrics;
use crate::parts::{PlanLayout, changes, changes_to_whole};
use crate::plan::{JobPlan, TaskStatus};
use crate::record::{KeyedRecord, Record, removal};
use crate::store::StoreLimits;
use crate::table::JobTable;

use super::events::{RunChange, RunEvent, StopReason};

/// The changes that one round has made so far.
pub struct Draft<'a> {
    /// The table at the round's start.
    pub table: &'a JobTable,
    changed: BTreeMap<JobId, JobPlan>,
    losses: BTreeMap<JobId, JobLosses>,
    others: Vec<KeyedRecord>,
    events: Vec<RunEvent>,
}

impl<'a> Draft<'a> {
    /// Creates a draft without changes.
    pub fn new(table: &'a JobTable) -> Self {
        Self {
            table,
            changed: BTreeMap::new(),
            losses: BTreeMap::new(),
            others: Vec::new(),
            events: Vec::new(),
        }
    }

    /// Returns the plan of a job, with the changes so far.
    pub fn plan(&self, id: &JobId) -> Option<&JobPlan> {
        if let Some(plan) = self.changed.get(id) {
            return Some(plan);
        }
        self.table.jobs.get(id)?.plan.as_deref()
    }

    /// Returns the plan of a job as the store holds it, if this round hasn't changed it.
    pub fn unchanged_plan(&self, id: &JobId) -> Option<&'a Rc<JobPlan>> {
        if self.changed.contains_key(id) {
            return None;
        }
        self.table.jobs.get(id)?.plan.as_ref()
    }

    /// Iterates over the plans that this round has accessed for changing them.
    pub fn changed_plans(&self) -> impl Iterator<Item = (&JobId, &JobPlan)> {
        self.changed.iter()
    }

    /// Returns the plan of a job for changing it.
    pub fn edit(&mut self, id: &JobId) -> &mut JobPlan {
        let kept = self.table.jobs.get(id).and_then(|job| job.plan.as_deref());
        self.changed.entry(id.clone()).or_insert_with(|| kept.cloned().unwrap_or_default())
    }

    /// Returns the runs that a job has lost with their workers, with the changes so far.
    pub fn losses(&self, id: &JobId) -> Option<&JobLosses> {
        self.losses.get(id).or_else(|| self.table.losses.get(id).map(Rc::as_ref))
    }

    /// Iterates over the jobs whose losses this round has accessed for changing them.
    pub fn changed_losses(&self) -> impl Iterator<Item = &JobId> {
        self.losses.keys()
    }

    /// Returns the runs that a job has lost with their workers, for changing them.
    pub fn edit_losses(&mut self, id: &JobId) -> &mut JobLosses {
        let kept = self.table.losses.get(id);
        let known = || kept.map(|losses| losses.as_ref().clone()).unwrap_or_default();
        self.losses.entry(id.clone()).or_insert_with(known)
    }

    /// Returns the submission of a job.
    pub fn submission(&self, id: &JobId) -> Option<Rc<Submission>> {
        self.table.jobs.get(id).map(|job| Rc::clone(&job.submission))
    }

    /// Marks a task to be stopped if it is running.
    pub fn stop(&mut self, id: &TaskId, reason: &StopReason) {
        let Some(task) = self.edit(&id.job).task_mut(id) else { return };
        if task.status != TaskStatus::Running {
            return;
        }
        task.status = TaskStatus::Stopping;
        let attempt = task.attempt;
        let change = RunChange::Stopped(reason.clone());
        self.note(RunEvent { task: id.clone(), attempt, change });
    }

    /// Records a change of a run for the policy.
    pub fn note(&mut self, event: RunEvent) {
        self.events.push(event);
    }

    /// Takes the changes of runs since the last call, in their order.
    pub fn take_events(&mut self) -> Vec<RunEvent> {
        std::mem::take(&mut self.events)
    }

    /// Marks a task, and all members of its gang, to be stopped.
    pub fn stop_unit(&mut self, id: &TaskId, reason: &StopReason) {
        for member in self.unit_of(id) {
            self.stop(&member, reason);
        }
    }

    /// Returns all tasks that end together with a task: the members of its gang, or the task alone.
    pub fn unit_of(&self, id: &TaskId) -> Vec<TaskId> {
        let is_gang = self.submission(&id.job).is_some_and(|submission| {
            submission.steps.get(id.step as usize).is_some_and(|s| s.gang)
        });
        if !is_gang {
            return vec![id.clone()];
        }
        let occurrence = self
            .plan(&id.job)
            .and_then(|plan| plan.open.iter().find(|o| o.number == id.occurrence));
        let count = occurrence.map_or(0, |o| o.steps[id.step as usize].len());
        (0..count as u32).map(|index| TaskId { index, ..id.clone() }).collect()
    }

    /// Adds a record that isn't a job plan.
    pub fn add(&mut self, record: KeyedRecord) {
        self.others.push(record);
    }

    /// Removes a key.
    pub fn remove(&mut self, key: String) {
        self.others.push(removal(key));
    }

    /// Returns the records of all changes. Plans come before the removals of the ends that they contain, and losses
    /// before the plans that no longer name the lost runs: if a leader fails between the two, the next one finds the
    /// loss again, and counts it once. Plans are written in the layout `wanted`. A job whose plan has a record that the
    /// store doesn't take has failed: its tasks can't go on, and the records of other jobs must not wait for it.
    pub fn into_records(self, wanted: PlanLayout, limits: &StoreLimits) -> Vec<KeyedRecord> {
        let table = self.table;
        let is_new = |id: &JobId, plan: &JobPlan| {
            table.jobs.get(id).and_then(|job| job.plan.as_deref()) != Some(plan)
        };
        let plans = self.changed.into_iter().filter(|(id, plan)| is_new(id, plan));
        let plans = plans.flat_map(|(id, plan)| {
            let job = table.jobs.get(&id);
            let kept = job.and_then(|job| job.plan.as_deref());
            let layout = job.map(|job| job.plan_layout).unwrap_or_default();
            let write = |plan: &JobPlan| match wanted {
                PlanLayout::InParts | PlanLayout::AllInParts => changes(&id, kept, layout, plan),
                PlanLayout::Whole => changes_to_whole(&id, kept, layout, plan),
            };
            let records = write(&plan);
            let too_large = records.iter().find(|record| !limits.allow_record(record));
            let Some(too_large) = too_large else { return records };
            log::error!(
                "event=J229 job given up, its plan is too large for the store job={id} key={} bytes={}",
                too_large.key,
                too_large.size()
            );
            metrics().count_decision("give_up_too_large");
            let occurrences = job.map_or(0, |job| job.submission.occurrence_count());
            write(&JobPlan::failed(occurrences))
        });
        let is_new_loss =
            |id: &JobId, new: &JobLosses| table.losses.get(id).map(Rc::as_ref) != Some(new);
        let losses = self.losses.into_iter().filter(|(id, new)| is_new_loss(id, new));
        let losses = losses.map(|(id, new)| Record::Losses(id, Box::new(new)).encode());
        losses.chain(plans).chain(self.others).collect()
    }
}

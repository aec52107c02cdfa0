//! The planner's account of a job: where each of its tasks stands.

use serde::{Deserialize, Serialize};

use crate::job::{Checkpoint, InstanceId, JobId, Submission, TaskId};

/// Where a task stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskStatus {
    /// Waits for its turn, its dependencies or a place.
    #[default]
    Waiting,
    /// Assigned to a worker; may be running there.
    Running,
    /// Assigned, and to be stopped.
    Stopping,
    /// Has ended well.
    Done,
    /// Has failed for good.
    Failed,
}

/// The planner's account of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskPlan {
    /// Where it stands.
    pub status: TaskStatus,
    /// Number of its latest run, from 1; 0 before the first.
    pub attempt: u32,
    /// Runs that have ended failed.
    pub failures: u32,
    /// Latest run that was counted in `failures`.
    pub failed_attempt: u32,
    /// Worker of the latest run.
    pub instance: InstanceId,
    /// Worker of the latest run that ended failed.
    pub failed_at: InstanceId,
    /// What the next run continues from.
    pub checkpoint: Checkpoint,
}

impl TaskPlan {
    /// Returns whether a run of it may exist at its worker.
    #[must_use]
    pub const fn may_be_running(&self) -> bool {
        matches!(self.status, TaskStatus::Running | TaskStatus::Stopping)
    }
}

/// One occurrence of a job's steps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Occurrence {
    /// Its number, from 0.
    pub number: u32,
    /// A list of tasks for each step.
    pub steps: Vec<Vec<TaskPlan>>,
}

impl Occurrence {
    /// Makes an occurrence none of whose tasks has begun.
    #[must_use]
    pub fn not_started(submission: &Submission, number: u32) -> Self {
        let tasks = |count: u32| vec![TaskPlan::default(); count as usize];
        let steps = submission.steps.iter().map(|step| tasks(step.count)).collect();
        Self { number, steps }
    }
}

/// What callers see of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// No task has begun.
    #[default]
    Queued,
    /// A task has begun.
    Running,
    /// Every task has ended well.
    Succeeded,
    /// A task or gang has failed too often.
    Failed,
    /// Its caller has cancelled it.
    Cancelled,
}

impl JobStatus {
    /// Returns whether it never changes again.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Succeeded | Self::Failed | Self::Cancelled)
    }
}

/// The planner's account of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobPlan {
    /// What callers see.
    pub status: JobStatus,
    /// Occurrences that have begun and not ended.
    pub open: Vec<Occurrence>,
    /// Number of the next occurrence to begin.
    pub next_occurrence: u32,
}

impl JobPlan {
    /// Iterates over all tasks with their names.
    pub fn tasks<'a>(
        &'a self,
        job: &'a JobId,
    ) -> impl Iterator<Item = (TaskId, &'a TaskPlan)> + 'a {
        self.open.iter().flat_map(move |occurrence| {
            occurrence.steps.iter().enumerate().flat_map(move |(step, tasks)| {
                tasks.iter().enumerate().map(move |(index, task)| {
                    let id = TaskId {
                        job: job.clone(),
                        occurrence: occurrence.number,
                        step: step as u32,
                        index: index as u32,
                    };
                    (id, task)
                })
            })
        })
    }

    /// Iterates over the names of the tasks whose accounts are so.
    pub fn tasks_where<'a>(
        &'a self,
        job: &'a JobId,
        is_so: impl Fn(&TaskPlan) -> bool + Copy + 'a,
    ) -> impl Iterator<Item = TaskId> + 'a {
        self.open.iter().flat_map(move |occurrence| {
            occurrence.steps.iter().enumerate().flat_map(move |(step, tasks)| {
                let those = tasks.iter().enumerate().filter(move |(_, task)| is_so(task));
                those.map(move |(index, _)| TaskId {
                    job: job.clone(),
                    occurrence: occurrence.number,
                    step: step as u32,
                    index: index as u32,
                })
            })
        })
    }

    /// Returns the account of a task.
    #[must_use]
    pub fn task(&self, id: &TaskId) -> Option<&TaskPlan> {
        let occurrence = self.open.iter().find(|open| open.number == id.occurrence)?;
        occurrence.steps.get(id.step as usize)?.get(id.index as usize)
    }

    /// Returns the account of a task, to change it.
    pub fn task_mut(&mut self, id: &TaskId) -> Option<&mut TaskPlan> {
        let occurrence = self.open.iter_mut().find(|open| open.number == id.occurrence)?;
        occurrence.steps.get_mut(id.step as usize)?.get_mut(id.index as usize)
    }

    /// Iterates over the workers where runs of its tasks may exist, once for each.
    pub fn workers(&self) -> impl Iterator<Item = &InstanceId> {
        let tasks = self.open.iter().flat_map(|open| open.steps.iter().flatten());
        tasks.filter(|task| task.may_be_running()).map(|task| &task.instance)
    }

    /// Returns whether a run of one of its tasks may exist.
    #[must_use]
    pub fn may_be_running(&self) -> bool {
        self.workers().next().is_some()
    }
}

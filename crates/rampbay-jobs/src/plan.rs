//! The plan of a job: the state of each of its tasks, as the planner decides and records it.

use serde::{Deserialize, Serialize};

use crate::job::{Checkpoint, InstanceId, JobId, Submission, TaskId};
use crate::record::EndReason;

/// State of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskStatus {
    /// Waits for its turn, its dependencies or free capacity.
    #[default]
    Waiting,
    /// Assigned to a worker; may be running there.
    Running,
    /// Assigned, and to be stopped.
    Stopping,
    /// Has succeeded.
    Done,
    /// Has failed, and isn't started again.
    Failed,
}

/// State of a task and its runs, in the plan of its job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskPlan {
    /// State of the task.
    pub status: TaskStatus,
    /// Number of its latest run, from 1; 0 before the first.
    pub attempt: u32,
    /// Number of runs that have failed.
    pub failures: u32,
    /// Latest run that was counted in `failures`.
    pub failed_attempt: u32,
    /// Worker of the latest run.
    pub instance: InstanceId,
    /// Worker of the latest run that failed, or that held up its step and was stopped; the next run avoids it.
    pub failed_at: InstanceId,
    /// Checkpoint from which the next run continues.
    pub checkpoint: Checkpoint,
}

impl TaskPlan {
    /// Returns whether a run of the task may exist at its worker.
    #[must_use]
    pub const fn may_be_running(&self) -> bool {
        matches!(self.status, TaskStatus::Running | TaskStatus::Stopping)
    }

    /// Returns whether the end of a run still counts: the run is the latest one and goes on, or it was given up, the
    /// task hasn't started again, and the end says that its work is done, or that it failed, which isn't counted yet.
    #[must_use]
    pub fn accepts_end(&self, attempt: u32, reason: EndReason) -> bool {
        let is_given_up = self.status == TaskStatus::Waiting;
        let counts_late = match reason {
            EndReason::Done => true,
            EndReason::Failed => self.failed_attempt != attempt,
            _ => false,
        };
        self.attempt == attempt && (self.may_be_running() || (is_given_up && counts_late))
    }
}

/// One occurrence of a job's steps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Occurrence {
    /// Its number, from 0.
    pub number: u32,
    /// The plans of the tasks of each step.
    pub steps: Vec<Vec<TaskPlan>>,
}

impl Occurrence {
    /// Creates an occurrence none of whose tasks has started.
    #[must_use]
    pub fn not_started(submission: &Submission, number: u32) -> Self {
        let tasks = |count: u32| vec![TaskPlan::default(); count as usize];
        let steps = submission.steps.iter().map(|step| tasks(step.count)).collect();
        Self { number, steps }
    }
}

/// Status of a job, as callers see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// Every task has succeeded.
    Succeeded,
    /// A task or gang has failed too often.
    Failed,
    /// Its caller has cancelled it.
    Cancelled,
}

impl JobStatus {
    /// Returns whether the status never changes again.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Succeeded | Self::Failed | Self::Cancelled)
    }
}

/// The plan of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobPlan {
    /// Status of the job, as callers see it.
    pub status: JobStatus,
    /// Occurrences that have started and not ended.
    pub open: Vec<Occurrence>,
    /// Number of the next occurrence to start.
    pub next_occurrence: u32,
}

impl JobPlan {
    /// Creates the plan of a job that has failed and starts nothing more, also in its other occurrences.
    #[must_use]
    pub const fn failed(occurrences: u32) -> Self {
        Self { status: JobStatus::Failed, open: Vec::new(), next_occurrence: occurrences }
    }

    /// Iterates over the tasks of all open occurrences, with their ids.
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

    /// Iterates over the ids of the tasks whose plans match a predicate.
    pub fn tasks_where<'a>(
        &'a self,
        job: &'a JobId,
        is_match: impl Fn(&TaskPlan) -> bool + Copy + 'a,
    ) -> impl Iterator<Item = TaskId> + 'a {
        self.open.iter().flat_map(move |occurrence| {
            occurrence.steps.iter().enumerate().flat_map(move |(step, tasks)| {
                let matching = tasks.iter().enumerate().filter(move |(_, task)| is_match(task));
                matching.map(move |(index, _)| TaskId {
                    job: job.clone(),
                    occurrence: occurrence.number,
                    step: step as u32,
                    index: index as u32,
                })
            })
        })
    }

    /// Returns the plan of a task; `None` if its occurrence isn't open.
    #[must_use]
    pub fn task(&self, id: &TaskId) -> Option<&TaskPlan> {
        let occurrence = self.open.iter().find(|open| open.number == id.occurrence)?;
        occurrence.steps.get(id.step as usize)?.get(id.index as usize)
    }

    /// Returns the plan of a task, to change it; `None` if its occurrence isn't open.
    pub fn task_mut(&mut self, id: &TaskId) -> Option<&mut TaskPlan> {
        let occurrence = self.open.iter_mut().find(|open| open.number == id.occurrence)?;
        occurrence.steps.get_mut(id.step as usize)?.get_mut(id.index as usize)
    }

    /// Iterates over the workers where runs of the job's tasks may exist, once for each such run.
    pub fn workers(&self) -> impl Iterator<Item = &InstanceId> {
        let tasks = self.open.iter().flat_map(|open| open.steps.iter().flatten());
        tasks.filter(|task| task.may_be_running()).map(|task| &task.instance)
    }

    /// Returns whether a run of one of the job's tasks may exist.
    #[must_use]
    pub fn may_be_running(&self) -> bool {
        self.workers().next().is_some()
    }
}

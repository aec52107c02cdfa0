//! What a policy is told at the start of a round.

use crate::job::{JobId, Step, Submission, TaskId};
use crate::plan::TaskPlan;
use crate::planner::RoundInputs;
use crate::planner::draft::Draft;
use crate::planner::events::RunEvent;
use crate::planner::forecast::Forecasts;
use crate::planner::queue::WaitingStep;
use crate::planner::speed::SpeedTracker;

/// State at the start of a round, once ends of runs and lost workers have been applied.
#[derive(Clone, Copy)]
pub struct RoundStart<'a> {
    /// The inputs of the round, with its times.
    pub inputs: &'a RoundInputs<'a>,
    /// The steps that wait, in no particular order.
    pub waiting: &'a [WaitingStep],
    /// What has happened to runs since the policy was last told, in its order. A new planner begins without any.
    pub events: &'a [RunEvent],
    /// Expected durations of tasks.
    pub forecasts: &'a Forecasts,
    /// Measured speeds of the workers.
    pub speeds: &'a SpeedTracker,
    /// The plans.
    pub(in crate::planner) draft: &'a Draft<'a>,
}

/// A run that the plans assign to a worker.
#[derive(Clone, Copy, Debug)]
pub struct AssignedRun<'a> {
    /// Its job.
    pub job: &'a JobId,
    /// The job's submission.
    pub submission: &'a Submission,
    /// Its occurrence.
    pub occurrence: u32,
    /// Its step.
    pub step: u32,
    /// Index of its task in the step.
    pub index: u32,
    /// The plan of its task, which tells its worker, its attempt, and whether it is being stopped.
    pub plan: &'a TaskPlan,
}

impl<'a> RoundStart<'a> {
    /// Iterates over the runs that the plans assign to workers, including those that are being stopped.
    pub fn running(&self) -> impl Iterator<Item = AssignedRun<'a>> + use<'a> {
        let draft = self.draft;
        let jobs = self.inputs.table.active.iter();
        jobs.filter_map(move |job| {
            let submission = draft.table.jobs.get(job)?.submission.as_ref();
            Some((job, submission, draft.plan(job)?))
        })
        .flat_map(|(job, submission, plan)| {
            let steps = plan.open.iter().flat_map(|open| {
                open.steps.iter().enumerate().map(|(step, tasks)| (open.number, step, tasks))
            });
            steps.flat_map(move |(occurrence, step, tasks)| {
                let assigned = tasks.iter().enumerate().filter(|(_, task)| task.may_be_running());
                assigned.map(move |(index, plan)| AssignedRun {
                    job,
                    submission,
                    occurrence,
                    step: step as u32,
                    index: index as u32,
                    plan,
                })
            })
        })
    }
}

impl AssignedRun<'_> {
    /// Returns the id of its task.
    #[must_use]
    pub fn task(&self) -> TaskId {
        TaskId {
            job: self.job.clone(),
            occurrence: self.occurrence,
            step: self.step,
            index: self.index,
        }
    }

    /// Returns its step as it was submitted.
    #[must_use]
    pub fn definition(&self) -> Option<&Step> {
        self.submission.steps.get(self.step as usize)
    }
}

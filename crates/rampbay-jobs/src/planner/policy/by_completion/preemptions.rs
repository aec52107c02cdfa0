//! How often each task has been stopped for others.
//!
//! The counts live in the leader's memory. A new leader takes what the plans show instead: each earlier run of a task
//! that didn't fail counts as stopped for others, so that it preempts too little rather than too much.

use std::collections::HashMap;
use std::time::Duration;

use crate::job::{JobId, TaskId};
use crate::plan::{TaskPlan, TaskStatus};
use crate::planner::policy::{RoundStart, RunChange, RunEvent, StopReason, WaitingStep};

/// Identifies a task of a job: occurrence, step and index.
type TaskKey = (u32, u32, u32);

/// What is known of the runs of one task.
#[derive(Clone, Copy, Debug, Default)]
struct TaskHistory {
    /// How often it was stopped for others.
    preemptions: u32,
    /// When this planner last stopped it for others, as time since the planner began.
    preempted_at: Option<Duration>,
    /// Its run from before this planner began.
    earlier_run: Option<EarlierRun>,
}

/// A run that was assigned before this planner began.
#[derive(Clone, Copy, Debug)]
struct EarlierRun {
    attempt: u32,
    /// Expected duration of the whole run.
    expected: Duration,
}

/// The preemptions of the tasks of all active jobs.
#[derive(Debug, Default)]
pub struct PreemptionHistory {
    /// Whether the runs from before this planner began have been counted.
    has_begun: bool,
    jobs: HashMap<JobId, HashMap<TaskKey, TaskHistory>>,
}

impl PreemptionHistory {
    /// Counts the preemptions since the last round, and forgets jobs that have ended.
    pub fn update(&mut self, start: &RoundStart<'_>) {
        if !std::mem::replace(&mut self.has_begun, true) {
            self.count_earlier_runs(start);
        }
        let now = start.inputs.now;
        start.events.iter().for_each(|event| self.count(event, now));
        let active = &start.inputs.table.active;
        self.jobs.retain(|job, _| active.contains(job));
    }

    fn count(&mut self, event: &RunEvent, now: Duration) {
        if !matches!(event.change, RunChange::Stopped(StopReason::Preempted { .. })) {
            return;
        }
        let task = self.entry(&event.task);
        task.preemptions += 1;
        task.preempted_at = Some(now);
    }

    fn count_earlier_runs(&mut self, start: &RoundStart<'_>) {
        let draft = start.draft;
        for job in &start.inputs.table.active {
            let Some(submission) = draft.submission(job) else { continue };
            let Some(plan) = draft.plan(job) else { continue };
            for (id, task) in plan.tasks(job).filter(|(_, task)| task.attempt > 0) {
                let Some(step) = submission.steps.get(id.step as usize) else { continue };
                let expected = start.forecasts.duration_ms(&submission, step);
                let expected = Duration::from_millis(expected);
                let run = EarlierRun { attempt: task.attempt, expected };
                let history = self.entry(&id);
                history.preemptions = stopped_runs(task);
                history.earlier_run = task.may_be_running().then_some(run);
            }
        }
    }

    fn entry(&mut self, task: &TaskId) -> &mut TaskHistory {
        let tasks = self.jobs.entry(task.job.clone()).or_default();
        tasks.entry((task.occurrence, task.step, task.index)).or_default()
    }

    fn get(&self, task: &TaskId) -> Option<&TaskHistory> {
        self.jobs.get(&task.job)?.get(&(task.occurrence, task.step, task.index))
    }

    /// Returns how often a task has been stopped for others.
    pub fn preemptions(&self, task: &TaskId) -> u32 {
        self.get(task).map_or(0, |known| known.preemptions)
    }

    /// Returns when this planner last stopped a task of a step for others, as time since the planner began.
    pub fn preempted_at(&self, waiting: &WaitingStep) -> Option<Duration> {
        let tasks = self.jobs.get(&waiting.job)?.iter();
        let of_step = tasks.filter(|((occurrence, step, _), _)| {
            (*occurrence, *step) == (waiting.occurrence, waiting.step)
        });
        of_step.filter_map(|(_, task)| task.preempted_at).max()
    }

    /// Returns the expected duration of a run that was assigned before this planner began.
    pub fn expected_of_earlier_run(&self, task: &TaskId, attempt: u32) -> Option<Duration> {
        let run = self.get(task)?.earlier_run?;
        (run.attempt == attempt).then_some(run.expected)
    }
}

/// Returns how many runs of a task have ended, or are about to end, without a failure and without holding up its step.
fn stopped_runs(task: &TaskPlan) -> u32 {
    let goes_on = u32::from(task.status == TaskStatus::Running);
    // A worker is avoided without a failure only by the restart of a straggler, of which there is one in a step.
    let restarted = u32::from(task.failures == 0 && !task.failed_at.is_empty());
    task.attempt.saturating_sub(task.failures).saturating_sub(goes_on + restarted)
}

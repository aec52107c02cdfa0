//! How long a run still needs.
//!
//! Once two reports give the run's own rate, this follows from the rate. Before, it is the expected duration at the
//! run's workers, less the time that it has run, and never less than its progress shows.

use std::time::Duration;

use crate::job::{InstanceId, TaskId};
use crate::plan::{JobPlan, TaskPlan};
use crate::planner::progress::{FULL_PERCENT, ObservedProgress};

use super::durations::Batch;
use super::observed::UnitId;
use super::{Completion, Estimate, Source};

/// Share of the range's late half for which a run goes on after its expected end: the average for durations that lie
/// evenly within the range.
const OVERDUE_SHARE: f64 = 0.5;

/// A run whose remaining time is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Run<'a> {
    /// The task.
    pub task: &'a TaskId,
    /// Number of the run.
    pub attempt: u32,
    /// Its worker.
    pub instance: &'a InstanceId,
    /// Whether it is a member of a gang.
    pub is_gang: bool,
}

impl Completion<'_> {
    /// Returns how long a unit still needs: the members of a gang, or a single run. `plan` is the plan of its job. Returns
    /// `None` if a member doesn't run.
    #[must_use]
    pub fn remaining(&self, unit: &[TaskId], plan: &JobPlan) -> Option<Estimate> {
        let first = unit.first()?;
        let submission = &self.inputs.table.jobs.get(&first.job)?.submission;
        let step = submission.steps.get(first.step as usize)?;
        let tasks: Option<Vec<(&TaskId, &TaskPlan)>> = unit
            .iter()
            .map(|id| Some((id, plan.task(id).filter(|task| task.may_be_running())?)))
            .collect();
        let tasks = tasks?;
        let workers: Vec<&InstanceId> = tasks.iter().map(|(_, task)| &task.instance).collect();
        let saved = self.saved_of(step.gang, tasks.iter().map(|(id, task)| ((*id).clone(), *task)));
        let whole = self.duration_on(&Batch { submission, step, saved }, &workers);
        let runs = tasks.iter().map(|(id, task)| Run {
            task: id,
            attempt: task.attempt,
            instance: &task.instance,
            is_gang: step.gang,
        });
        self.remaining_of(whole, runs)
    }

    /// Returns how long some runs still need until the last one ends, given how long each takes as a whole.
    pub(super) fn remaining_of<'r>(
        &self,
        whole: Estimate,
        runs: impl Iterator<Item = Run<'r>>,
    ) -> Option<Estimate> {
        let of_run = |run: Run<'_>| {
            let seen = self.inputs.progress.run(run.instance, run.task, run.attempt);
            self.remaining_of_run(whole, run, seen)
        };
        runs.map(of_run).reduce(Estimate::later)
    }

    pub(super) fn remaining_of_run(
        &self,
        whole: Estimate,
        run: Run<'_>,
        seen: Option<&ObservedProgress>,
    ) -> Estimate {
        if let Some(seen) = seen
            && let Some(remaining) = self.by_rate(seen)
        {
            return remaining;
        }
        let reported = seen.map_or(Duration::ZERO, |seen| seen.pace.ran(self.now));
        let unit = UnitId::of(run.task, run.is_gang);
        let known = self.state.started.ran(&run.task.job, unit, run.attempt, self.inputs.now);
        let ran_ms = reported.max(known.unwrap_or_default()).as_millis() as u64;
        let floor_ms = seen.map_or(0, |seen| self.shown_by_progress(whole, seen));
        by_forecast(whole, ran_ms, floor_ms)
    }

    /// Returns the remaining time by the run's own rate, if that is known or the run's work is done.
    fn by_rate(&self, seen: &ObservedProgress) -> Option<Estimate> {
        let pace = &seen.pace;
        let left_ms = if pace.percent() >= FULL_PERCENT {
            0
        } else {
            super::pace::by_rate_ms(pace.percent(), pace.percent_per_s()?)
        };
        let spread = self.state.spreads.of_rates().with(pace.rounding());
        let since_ms = pace.observed_ago(self.now).as_millis() as u64;
        let overdue_ms = overdue_ms(since_ms, spread.half_width());
        let ms = left_ms.saturating_sub(since_ms).max(overdue_ms);
        Some(Estimate {
            ms,
            early_ms: spread.early_ms(left_ms).saturating_sub(since_ms).min(ms),
            late_ms: spread.late_ms(left_ms).saturating_sub(since_ms).max(spread.late_ms(ms)),
            source: Source::Rate,
        })
    }

    /// Returns the least time that a run still needs by the progress in its first report: the rest of its work as
    /// expected.
    fn shown_by_progress(&self, whole: Estimate, seen: &ObservedProgress) -> u64 {
        // Progress is rounded down to whole percents.
        let left = u64::from(FULL_PERCENT.saturating_sub(seen.pace.percent() + 1));
        let left_ms = whole.ms / u64::from(FULL_PERCENT) * left;
        left_ms.saturating_sub(seen.pace.observed_ago(self.now).as_millis() as u64)
    }
}

/// Returns the remaining time by the expected duration. A run past its estimate isn't about to end for sure: it has shown
/// that the estimate is too low, and goes on for a share of the time that it has run.
fn by_forecast(whole: Estimate, ran_ms: u64, floor_ms: u64) -> Estimate {
    // The ends of the range are this many times the estimate away.
    let factor = whole.late_ms.max(1) as f64 / whole.ms.max(1) as f64;
    let overdue_ms = overdue_ms(ran_ms, factor.ln());
    let ms = whole.ms.saturating_sub(ran_ms).max(overdue_ms).max(floor_ms);
    let late_ms = (ms as f64 * factor) as u64;
    Estimate {
        ms,
        early_ms: whole.early_ms.saturating_sub(ran_ms).min(ms),
        late_ms: whole.late_ms.saturating_sub(ran_ms).max(late_ms),
        source: Source::Forecast,
    }
}

/// Returns the least remaining time of a run that was expected to end within `ran_ms`, in milliseconds, given the
/// logarithm of the factor between the expected and the late end.
fn overdue_ms(ran_ms: u64, half_width: f64) -> u64 {
    (ran_ms as f64 * half_width * OVERDUE_SHARE) as u64
}

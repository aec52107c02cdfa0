//! How long a run still needs.
//!
//! Once two reports give the run's own rate, this follows from the rate. Before, it is the expected duration at the
//! run's workers, less the time that it has run, and never less than its progress shows.

use crate::job::{InstanceId, TaskId};
use crate::plan::{JobPlan, TaskPlan};
use crate::planner::progress::{FULL_PERCENT, ObservedProgress};

use super::durations::WholeTime;
use super::observed::UnitId;
use super::pace::{Pace, by_rate_ms};
use super::spread::Spread;
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
    /// Whether it is a member of a gang.
    pub is_gang: bool,
}

/// How long a run still needs. The range is computed only when it is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Remaining {
    ms: u64,
    /// Time of the whole run or, by the rate, of the rest of it, and the part of that which has passed.
    of_ms: u64,
    passed_ms: u64,
    spread: Spread,
    source: Source,
}

impl Remaining {
    /// Returns the rest of a time. A run past its expected end isn't about to end for sure: it has shown that the estimate
    /// is too low, and goes on for a share of the time that has passed.
    fn new(of_ms: u64, passed_ms: u64, spread: Spread, source: Source) -> Self {
        let overdue_ms = passed_ms as f64 * spread.half_width() * OVERDUE_SHARE;
        let ms = of_ms.saturating_sub(passed_ms).max(overdue_ms as u64);
        Self { ms, of_ms, passed_ms, spread, source }
    }

    /// Returns the expected time, in milliseconds.
    #[must_use]
    pub const fn ms(&self) -> u64 {
        self.ms
    }

    /// Returns the time with its range.
    #[must_use]
    pub fn estimate(&self) -> Estimate {
        let early_ms = self.spread.early_ms(self.of_ms).saturating_sub(self.passed_ms);
        let late_ms = self.spread.late_ms(self.of_ms).saturating_sub(self.passed_ms);
        Estimate {
            ms: self.ms,
            early_ms: early_ms.min(self.ms),
            late_ms: late_ms.max(self.spread.late_ms(self.ms)),
            source: self.source,
        }
    }
}

impl Completion<'_> {
    /// Returns how long a unit still needs: the members of a gang, or a single run. `plan` is the plan of its job. Returns
    /// `None` if a member doesn't run.
    #[must_use]
    pub fn remaining(&self, unit: &[TaskId], plan: &JobPlan) -> Option<Estimate> {
        let first = unit.first()?;
        let submission = &self.inputs.table.jobs.get(&first.job)?.submission;
        let step = submission.steps.get(first.step as usize)?;
        let running = |id| plan.task(id).filter(|task| task.may_be_running());
        let tasks: Option<Vec<(&TaskId, &TaskPlan)>> =
            unit.iter().map(|id| Some((id, running(id)?))).collect();
        let tasks = tasks?;
        let workers: Vec<&InstanceId> = tasks.iter().map(|(_, task)| &task.instance).collect();
        let saved = self.saved_of(step.gang, tasks.iter().map(|(id, task)| ((*id).clone(), *task)));
        let forecast = self.step_forecast(submission, step);
        let whole = self.whole_time(forecast, saved, self.conditions_on(step, &workers));
        let remaining = tasks.iter().map(|(id, task)| {
            let run = Run { task: id, attempt: task.attempt, is_gang: step.gang };
            let seen = self.inputs.progress.run(&task.instance, id, task.attempt);
            self.remaining_of_run(whole, run, seen).estimate()
        });
        remaining.reduce(Estimate::later)
    }

    /// Returns how long a run still needs, given the time that it takes as a whole and its progress.
    pub(super) fn remaining_of_run(
        &self,
        whole: WholeTime,
        run: Run<'_>,
        seen: Option<&ObservedProgress>,
    ) -> Remaining {
        if let Some(remaining) = seen.and_then(|seen| self.by_rate(&seen.pace)) {
            return remaining;
        }
        let ran = seen.map(|seen| seen.pace.ran(self.now)).or_else(|| {
            let unit = UnitId::of(run.task, run.is_gang);
            self.state.started.ran(&run.task.job, unit, run.attempt, self.inputs.now)
        });
        let ran_ms = ran.unwrap_or_default().as_millis() as u64;
        let floor_ms = seen.map_or(0, |seen| self.shown_by_progress(whole, &seen.pace));
        let remaining = Remaining::new(whole.ms(), ran_ms, whole.spread(), Source::Forecast);
        Remaining { ms: remaining.ms.max(floor_ms), ..remaining }
    }

    /// Returns the remaining time by the run's own rate, if that is known or the run's work is done.
    fn by_rate(&self, pace: &Pace) -> Option<Remaining> {
        let left_ms = if pace.percent() >= FULL_PERCENT {
            0
        } else {
            by_rate_ms(pace.percent(), pace.percent_per_s()?)
        };
        let since_ms = pace.observed_ago(self.now).as_millis() as u64;
        let spread = self.rate_spread.with(pace.rounding());
        Some(Remaining::new(left_ms, since_ms, spread, Source::Rate))
    }

    /// Returns the least time that a run still needs by the progress in its first report: the rest of its work as
    /// expected.
    fn shown_by_progress(&self, whole: WholeTime, pace: &Pace) -> u64 {
        // Progress is rounded down to whole percents.
        let left = u64::from(FULL_PERCENT.saturating_sub(pace.percent() + 1));
        let left_ms = whole.ms() / u64::from(FULL_PERCENT) * left;
        left_ms.saturating_sub(pace.observed_ago(self.now).as_millis() as u64)
    }
}

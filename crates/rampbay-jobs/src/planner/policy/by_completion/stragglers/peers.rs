//! What other runs show: how long tasks of the same step take, and how slow the fleet is as a whole.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::plan::{TaskPlan, TaskStatus};
use crate::planner::StepKey;
use crate::planner::policy::RoundEnd;
use crate::planner::progress::FULL_PERCENT;

use super::calm::MAX_REPORT_AGE;
use super::units::StepRuns;

/// Smallest number of done tasks of a step that show how long its tasks take.
const MIN_PEERS: usize = 3;
/// Smallest number of other steps that show the pace of the fleet.
const MIN_STEPS: usize = 2;

/// Returns the time that the done tasks of a step would have taken on an average worker, in milliseconds.
pub fn peer_ms(end: &RoundEnd<'_>, step: &StepRuns<'_>) -> Option<u64> {
    let done = step.tasks.iter().enumerate().filter(|(_, task)| task.status == TaskStatus::Done);
    let times = done.filter_map(|(index, task)| time_of(end, step, index as u32, task));
    median(times.collect(), MIN_PEERS).map(|ms| ms as u64)
}

fn time_of(end: &RoundEnd<'_>, step: &StepRuns<'_>, index: u32, task: &TaskPlan) -> Option<f64> {
    let seen = end.round.inputs.progress.run(&task.instance, &step.task(index), task.attempt)?;
    let ms = whole_ms(seen.pace.percent_per_s()?);
    Some(ms / end.slowness(&task.instance).unwrap_or(1.0))
}

fn whole_ms(percent_per_s: f64) -> f64 {
    f64::from(FULL_PERCENT) * 1000.0 / percent_per_s.max(f64::MIN_POSITIVE)
}

/// Returns the lower median of some numbers, if there are enough.
fn median(mut numbers: Vec<f64>, least: usize) -> Option<f64> {
    numbers.sort_unstable_by(f64::total_cmp);
    (numbers.len() >= least.max(1)).then(|| numbers[(numbers.len() - 1) / 2])
}

/// By which factor runs now take longer than expected, by step.
#[derive(Debug)]
pub struct GeneralPace(BTreeMap<StepKey, f64>);

impl GeneralPace {
    /// Measures the runs that are reported now.
    pub fn measure(end: &RoundEnd<'_>) -> Self {
        let now = Instant::now();
        let mut steps: BTreeMap<StepKey, f64> = BTreeMap::new();
        for (task, _, seen) in end.round.inputs.progress.runs() {
            let is_current =
                seen.percent < FULL_PERCENT && seen.pace.observed_ago(now) <= MAX_REPORT_AGE;
            let Some(rate) = seen.pace.percent_per_s().filter(|_| is_current) else { continue };
            let Some(job) = end.round.inputs.table.jobs.get(&task.job) else { continue };
            let expected = end.forecast_ms(&job.submission, task.step) as f64;
            if expected > 0.0 {
                let factor =
                    whole_ms(rate) / expected / end.slowness(&seen.instance).unwrap_or(1.0);
                // The fastest run of a step is the one that nothing holds up.
                let key = (task.job.clone(), task.occurrence, task.step);
                steps.entry(key).and_modify(|least| *least = least.min(factor)).or_insert(factor);
            }
        }
        Self(steps)
    }

    /// Returns the factor by which the runs of other steps take longer than expected; at least 1.
    pub fn without(&self, key: &StepKey) -> f64 {
        let others = self.0.iter().filter(|(known, _)| *known != key).map(|(_, factor)| *factor);
        median(others.collect(), MIN_STEPS).unwrap_or(1.0).max(1.0)
    }
}

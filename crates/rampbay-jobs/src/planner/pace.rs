//! How fast the workers are, measured by the progress of their runs.
//!
//! A run's rate against the expected duration of its task gives a pace: 1 is as expected. One run
//! says little, since tasks differ; but a worker none of whose runs comes near its expected pace is
//! slow now, and one whose runs lag on average is a slower machine.

use std::collections::{BTreeMap, BTreeSet};

use crate::job::{InstanceId, JobId, Step, TaskId};
use crate::record::JobPlan;

use super::RoundInputs;
use super::draft::Draft;
use super::forecast::Forecasts;
use super::progress::FULL_PERCENT;

/// Best pace of a worker's runs below which the worker is slow now.
const SLOW_PACE: f64 = 0.33;
/// Mean pace below which a worker is a slower machine than others.
const SLOWER_MACHINE_PACE: f64 = 0.88;
/// Jobs that must run at a worker before it can be called slow: one may just be longer than expected.
const FEWEST_JOBS: usize = 2;
/// Intervals measured before the mean pace says anything.
const FEWEST_INTERVALS: u32 = 4;
/// Weight of one more interval in the mean pace.
const INTERVAL_WEIGHT: f64 = 0.2;
/// Slowest pace that counts in the mean, so that a run that stands still doesn't spoil it for long.
const LEAST_PACE: f64 = 0.1;

/// What is known of one worker's pace.
#[derive(Clone, Debug, Default)]
struct WorkerPace {
    /// The best pace of its runs at present.
    best_now: f64,
    /// Jobs that run there at present.
    jobs_now: BTreeSet<JobId>,
    mean_log: f64,
    intervals: u32,
}

/// The pace of all workers.
#[derive(Debug, Default)]
pub struct PaceBook {
    workers: BTreeMap<InstanceId, WorkerPace>,
    counted: BTreeMap<(TaskId, u32), u32>,
}

impl PaceBook {
    /// Takes in the progress since the last round.
    pub fn update(&mut self, draft: &Draft<'_>, inputs: &RoundInputs<'_>, forecasts: &Forecasts) {
        self.workers.retain(|instance, _| inputs.table.workers.contains_key(instance));
        self.workers.values_mut().for_each(WorkerPace::begin_round);
        self.counted.retain(|(task, attempt), _| inputs.progress.run(task, *attempt).is_some());
        for (key, seen) in inputs.progress.runs() {
            let Some(percent_per_s) = seen.rate.percent_per_s else { continue };
            let Some(expected) = expected_percent_per_s(draft, key, inputs, forecasts) else {
                continue;
            };
            let pace = percent_per_s / expected;
            let worker = self.workers.entry(seen.instance.clone()).or_default();
            if seen.percent < FULL_PERCENT {
                worker.best_now = worker.best_now.max(pace);
                worker.jobs_now.insert(key.0.job.clone());
            }
            let counted = self.counted.entry(key.clone()).or_default();
            if *counted < seen.rate.intervals {
                *counted = seen.rate.intervals;
                worker.count(pace);
            }
        }
    }

    /// Returns whether a worker is slow now.
    pub fn is_slow(&self, instance: &str) -> bool {
        self.workers.get(instance).is_some_and(|worker| {
            worker.jobs_now.len() >= FEWEST_JOBS && worker.best_now < SLOW_PACE
        })
    }

    /// Returns whether a worker is a slower machine than others.
    pub fn is_slower_machine(&self, instance: &str) -> bool {
        self.workers.get(instance).is_some_and(|worker| {
            worker.intervals >= FEWEST_INTERVALS && worker.mean_log < SLOWER_MACHINE_PACE.ln()
        })
    }
}

impl WorkerPace {
    fn begin_round(&mut self) {
        self.best_now = 0.0;
        self.jobs_now.clear();
    }

    fn count(&mut self, pace: f64) {
        let log = pace.max(LEAST_PACE).ln();
        self.intervals += 1;
        let weight = INTERVAL_WEIGHT.max(1.0 / f64::from(self.intervals));
        self.mean_log += weight * (log - self.mean_log);
    }
}

/// Returns how fast a run should get on where it is, if it is a current one.
fn expected_percent_per_s(
    draft: &Draft<'_>,
    (task, attempt): &(TaskId, u32),
    inputs: &RoundInputs<'_>,
    forecasts: &Forecasts,
) -> Option<f64> {
    let plan = draft.plan(&task.job)?;
    let current = plan.task(task)?;
    if !current.occupies() || current.attempt != *attempt {
        return None;
    }
    let submission = draft.submission(&task.job)?;
    let step = submission.steps.get(task.step as usize)?;
    let duration_ms = forecasts.duration_ms(&submission, step).max(1) as f64;
    let expected = f64::from(FULL_PERCENT) * 1000.0 / duration_ms;
    (!step.long_running && !is_remote(plan, task, step, inputs)).then_some(expected)
}

/// Returns whether a run is away from its data, or its gang spread over racks.
fn is_remote(plan: &JobPlan, task: &TaskId, step: &Step, inputs: &RoundInputs<'_>) -> bool {
    let rack_of = |instance: &str| inputs.table.workers.get(instance).map(|worker| worker.rack());
    let Some(own) = plan.task(task).and_then(|task| rack_of(&task.instance)) else { return true };
    if !step.data_rack.is_empty() && step.data_rack != own {
        return true;
    }
    let occurrence = plan.open.iter().find(|open| open.number == task.occurrence);
    let members = occurrence.map(|open| &open.steps[task.step as usize]);
    step.same_rack
        && members.is_some_and(|members| {
            members.iter().any(|member| rack_of(&member.instance).is_some_and(|rack| rack != own))
        })
}

//! How fast the workers are, measured by the progress of their runs.
//!
//! A run's rate against the expected duration of its task gives a pace: 1 is as expected. One run
//! says little, since tasks differ; but a worker none of whose runs comes near its expected pace is
//! slow now. The tasks of one step are alike: a worker whose runs lag behind those of the same steps
//! elsewhere, on average, is a slower machine.

use std::collections::{BTreeMap, BTreeSet};

use crate::job::{InstanceId, JobId, Step, TaskId};
use crate::plan::JobPlan;

use super::draft::Draft;
use super::forecast::Forecasts;
use super::progress::{FULL_PERCENT, Seen};
use super::{RoundInputs, StepKey};

/// Best pace of a worker's runs below which the worker is slow now.
const SLOW_PACE: f64 = 0.33;
/// Mean speed against other workers below which a worker is a slower machine.
const SLOWER_MACHINE: f64 = 0.9;
/// The same above which it is a faster one.
const FASTER_MACHINE: f64 = 1.1;
/// Runs of one step that make a comparison.
const FEWEST_PEERS: usize = 3;
/// Jobs that must run at a worker before it can be called slow: one may just be longer than expected.
const FEWEST_JOBS: usize = 2;
/// Intervals measured before the mean speed says anything.
const FEWEST_INTERVALS: u32 = 4;
/// Weight of one more interval in the mean speed.
const INTERVAL_WEIGHT: f64 = 0.1;
/// Slowest rate that is compared, in percent a second: less is a run that stands still.
const LEAST_RATE: f64 = 1.0;

/// How fast a machine is against others, fastest first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum MachineSpeed {
    /// Faster than others.
    Faster,
    /// Like others, or not known.
    #[default]
    Usual,
    /// Slower than others.
    Slower,
}

/// Names a run: the task and its attempt.
type RunKey = (TaskId, u32);

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
    counted: BTreeMap<RunKey, u32>,
    /// State of the progress that was taken in last.
    version: Option<u64>,
}

impl PaceBook {
    /// Takes in what has been reported since the last call.
    pub fn update(&mut self, draft: &Draft<'_>, inputs: &RoundInputs<'_>, forecasts: &Forecasts) {
        if self.version == Some(inputs.progress.version()) {
            return;
        }
        self.version = Some(inputs.progress.version());
        self.workers.retain(|instance, _| inputs.table.workers.contains_key(instance));
        self.workers.values_mut().for_each(WorkerPace::begin_round);
        let mut counted = BTreeMap::new();
        let mut peers: BTreeMap<StepKey, Vec<(RunKey, &Seen)>> = BTreeMap::new();
        for (task, attempt, seen) in inputs.progress.runs() {
            let Some(percent_per_s) = seen.rate.percent_per_s else { continue };
            let key = (task.clone(), attempt);
            if let Some(count) = self.counted.remove(&key) {
                counted.insert(key.clone(), count);
            }
            let Some(expected) = expected_percent_per_s(draft, &key, inputs, forecasts) else {
                continue;
            };
            let pace = percent_per_s / expected;
            let worker = self.workers.entry(seen.instance.clone()).or_default();
            if seen.percent < FULL_PERCENT {
                worker.best_now = worker.best_now.max(pace);
                worker.jobs_now.insert(task.job.clone());
            }
            let step = (task.job.clone(), task.occurrence, task.step);
            peers.entry(step).or_default().push((key, seen));
        }
        self.counted = counted;
        for runs in peers.values_mut() {
            runs.sort_by(|one, other| one.0.cmp(&other.0));
            self.compare(runs);
        }
    }

    /// Compares the runs of one step.
    fn compare(&mut self, runs: &[(RunKey, &Seen)]) {
        let rates = runs.iter().filter_map(|(_, seen)| seen.rate.percent_per_s);
        let logs: Vec<f64> = rates.map(|rate| rate.max(LEAST_RATE).ln()).collect();
        let workers: BTreeSet<&InstanceId> = runs.iter().map(|(_, seen)| &seen.instance).collect();
        if workers.len() < 2 || logs.len() < FEWEST_PEERS {
            return;
        }
        let mean = logs.iter().sum::<f64>() / logs.len() as f64;
        for ((key, seen), log) in runs.iter().zip(&logs) {
            let counted = self.counted.entry(key.clone()).or_default();
            if *counted < seen.rate.intervals {
                *counted = seen.rate.intervals;
                self.workers.entry(seen.instance.clone()).or_default().count(log - mean);
            }
        }
    }

    /// Returns whether a worker is slow now.
    pub fn is_slow(&self, instance: &str) -> bool {
        self.workers.get(instance).is_some_and(|worker| {
            worker.jobs_now.len() >= FEWEST_JOBS && worker.best_now < SLOW_PACE
        })
    }

    /// Returns how fast a machine is against others.
    pub fn machine_speed(&self, instance: &str) -> MachineSpeed {
        let worker = self.workers.get(instance);
        match worker.filter(|worker| worker.intervals >= FEWEST_INTERVALS) {
            Some(worker) if worker.mean_log < SLOWER_MACHINE.ln() => MachineSpeed::Slower,
            Some(worker) if worker.mean_log > FASTER_MACHINE.ln() => MachineSpeed::Faster,
            _ => MachineSpeed::Usual,
        }
    }
}

impl WorkerPace {
    fn begin_round(&mut self) {
        self.best_now = 0.0;
        self.jobs_now.clear();
    }

    fn count(&mut self, log: f64) {
        self.intervals += 1;
        let weight = INTERVAL_WEIGHT.max(1.0 / f64::from(self.intervals));
        self.mean_log += weight * (log - self.mean_log);
    }
}

/// Returns how fast a run should get on where it is, if it is a current one.
fn expected_percent_per_s(
    draft: &Draft<'_>,
    (task, attempt): &RunKey,
    inputs: &RoundInputs<'_>,
    forecasts: &Forecasts,
) -> Option<f64> {
    let plan = draft.plan(&task.job)?;
    let current = plan.task(task)?;
    if !current.may_be_running() || current.attempt != *attempt {
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

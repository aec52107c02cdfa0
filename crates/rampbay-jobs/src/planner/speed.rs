//! Speeds of the workers, measured by the progress of their runs.
//!
//! The rate of a run divided by the rate that its task's expected duration implies gives a ratio: 1 is
//! as expected. A single run says little, since tasks differ; but a worker none of whose runs comes
//! near its expected rate is slow now. The tasks of one step are alike: a worker whose runs are on
//! average slower than those of the same steps elsewhere is a slower machine.

use std::collections::{BTreeMap, BTreeSet};

use crate::job::{InstanceId, JobId, Step, TaskId};
use crate::plan::JobPlan;

use super::draft::Draft;
use super::forecast::Forecasts;
use super::progress::{FULL_PERCENT, ObservedProgress};
use super::{RoundInputs, StepKey};

/// Best ratio among a worker's runs below which the worker is slow now.
const SLOW_RATIO: f64 = 0.33;
/// Mean speed against other workers below which a worker is a slower machine.
const SLOWER_MACHINE_RATIO: f64 = 0.9;
/// Mean speed against other workers above which a worker is a faster machine.
const FASTER_MACHINE_RATIO: f64 = 1.1;
/// Smallest number of runs of one step that are compared.
const MIN_PEERS: usize = 3;
/// Smallest number of jobs at a worker that is called slow: a single job may just take longer than expected.
const MIN_JOBS: usize = 2;
/// Smallest number of measured intervals from which the mean speed is used.
const MIN_INTERVALS: u32 = 4;
/// Weight of a new interval in the mean speed.
const INTERVAL_WEIGHT: f64 = 0.1;
/// Lower bound of the rates that are compared, in percent a second; a lower rate means a stalled run.
const MIN_RATE: f64 = 1.0;

/// Bounds of the measured slowness of a worker. Machines differ by less; what goes beyond comes from tasks that aren't
/// alike.
const SLOWNESS_BOUNDS: (f64, f64) = (0.25, 4.0);

/// Speed class of a machine against others, fastest first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum MachineSpeed {
    /// Faster than others.
    Faster,
    /// As fast as others, or not known.
    #[default]
    Usual,
    /// Slower than others.
    Slower,
}

/// Identifies a run: the task and its attempt.
type RunKey = (TaskId, u32);

/// Speed measurements of one worker.
#[derive(Clone, Debug, Default)]
struct WorkerSpeed {
    /// The best ratio among its current runs.
    best_ratio: f64,
    /// Jobs that currently run there.
    current_jobs: BTreeSet<JobId>,
    mean_log_ratio: f64,
    intervals: u32,
    /// Slowness against other workers.
    slowness: Slowness,
}

/// Mean logarithm of the factor by which tasks take longer at a worker than on an average one.
#[derive(Clone, Copy, Debug, Default)]
struct Slowness {
    mean_log: f64,
    intervals: u32,
}

/// Speed measurements of all workers.
#[derive(Debug, Default)]
pub struct SpeedTracker {
    workers: BTreeMap<InstanceId, WorkerSpeed>,
    counted: BTreeMap<RunKey, u32>,
    /// Version of the progress table at the last update.
    version: Option<u64>,
}

impl SpeedTracker {
    /// Updates the measurements if progress has been reported since the last call.
    pub fn update(&mut self, draft: &Draft<'_>, inputs: &RoundInputs<'_>, forecasts: &Forecasts) {
        if self.version == Some(inputs.progress.version()) {
            return;
        }
        self.version = Some(inputs.progress.version());
        self.workers.retain(|instance, _| inputs.table.workers.contains_key(instance));
        self.workers.values_mut().for_each(WorkerSpeed::reset_current);
        let mut counted = BTreeMap::new();
        let mut peers: BTreeMap<StepKey, Vec<(RunKey, &ObservedProgress)>> = BTreeMap::new();
        for (task, attempt, seen) in inputs.progress.runs() {
            let Some(percent_per_s) = seen.rate.percent_per_s else { continue };
            let key = (task.clone(), attempt);
            if let Some(count) = self.counted.remove(&key) {
                counted.insert(key.clone(), count);
            }
            let Some(expected) = expected_percent_per_s(draft, &key, inputs, forecasts) else {
                continue;
            };
            let ratio = percent_per_s / expected;
            let worker = self.workers.entry(seen.instance.clone()).or_default();
            if seen.percent < FULL_PERCENT {
                worker.best_ratio = worker.best_ratio.max(ratio);
                worker.current_jobs.insert(task.job.clone());
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
    fn compare(&mut self, runs: &[(RunKey, &ObservedProgress)]) {
        let rates = runs.iter().filter_map(|(_, seen)| seen.rate.percent_per_s);
        let logs: Vec<f64> = rates.map(|rate| rate.max(MIN_RATE).ln()).collect();
        let workers: BTreeSet<&InstanceId> = runs.iter().map(|(_, seen)| &seen.instance).collect();
        if workers.len() < 2 || logs.len() < MIN_PEERS {
            return;
        }
        let mean = logs.iter().sum::<f64>() / logs.len() as f64;
        let against_others = self.slowness_of_runs(runs);
        for (((key, seen), log), slowness) in runs.iter().zip(&logs).zip(against_others) {
            let counted = self.counted.entry(key.clone()).or_default();
            if *counted < seen.rate.intervals {
                *counted = seen.rate.intervals;
                let worker = self.workers.entry(seen.instance.clone()).or_default();
                worker.add_interval(log - mean);
                slowness.into_iter().for_each(|log| worker.slowness.add(log));
            }
        }
    }

    /// Returns for each run of a step the logarithm of its worker's slowness, as a comparison of the runs gives it. Runs
    /// that make no progress say nothing of their workers.
    fn slowness_of_runs(&self, runs: &[(RunKey, &ObservedProgress)]) -> Vec<Option<f64>> {
        let mut rates = Rates::default();
        for (_, seen) in runs {
            let Some(log) = log_rate(seen) else { continue };
            let known = self.workers.get(&seen.instance).and_then(|worker| worker.slowness.known());
            rates.add(log, known);
        }
        let on_average_worker = rates.on_average_worker();
        runs.iter().map(|(_, seen)| Some(on_average_worker? - log_rate(seen)?)).collect()
    }

    /// Returns the slowness of a worker: the factor by which tasks take longer there than on an average one. Returns
    /// `None` before it has been measured over enough intervals.
    pub fn slowness(&self, instance: &str) -> Option<f64> {
        self.workers.get(instance)?.slowness.factor()
    }

    /// Returns the slowness of each of some workers, which are given in the order of their ids.
    pub fn slowness_of_each<'a>(
        &self,
        instances: impl Iterator<Item = &'a InstanceId>,
    ) -> Vec<Option<f64>> {
        let mut workers = self.workers.iter().peekable();
        let slowness = instances.map(|instance| {
            while workers.next_if(|(known, _)| *known < instance).is_some() {}
            workers.next_if(|(known, _)| *known == instance)?.1.slowness.factor()
        });
        slowness.collect()
    }

    /// Returns whether a worker is slow now.
    pub fn is_slow(&self, instance: &str) -> bool {
        self.workers.get(instance).is_some_and(|worker| {
            worker.current_jobs.len() >= MIN_JOBS && worker.best_ratio < SLOW_RATIO
        })
    }

    /// Returns the speed class of a machine.
    pub fn machine_speed(&self, instance: &str) -> MachineSpeed {
        let worker = self.workers.get(instance);
        match worker.filter(|worker| worker.intervals >= MIN_INTERVALS) {
            Some(worker) if worker.mean_log_ratio < SLOWER_MACHINE_RATIO.ln() => {
                MachineSpeed::Slower
            }
            Some(worker) if worker.mean_log_ratio > FASTER_MACHINE_RATIO.ln() => {
                MachineSpeed::Faster
            }
            _ => MachineSpeed::Usual,
        }
    }
}

impl Slowness {
    /// Returns the mean logarithm, if it was measured over enough intervals.
    fn known(&self) -> Option<f64> {
        (self.intervals >= MIN_INTERVALS).then_some(self.mean_log)
    }

    fn factor(&self) -> Option<f64> {
        let (least, most) = SLOWNESS_BOUNDS;
        Some(self.known()?.exp().clamp(least, most))
    }

    fn add(&mut self, log: f64) {
        let (least, most) = SLOWNESS_BOUNDS;
        self.intervals += 1;
        let weight = INTERVAL_WEIGHT.max(1.0 / f64::from(self.intervals));
        self.mean_log += weight * (log.clamp(least.ln(), most.ln()) - self.mean_log);
    }
}

/// Returns the logarithm of a run's rate, if it makes progress.
fn log_rate(seen: &ObservedProgress) -> Option<f64> {
    seen.rate.percent_per_s.filter(|rate| *rate >= MIN_RATE).map(f64::ln)
}

/// Rates of runs of one step.
#[derive(Clone, Copy, Debug, Default)]
struct Rates {
    /// Logarithms of the rates on workers whose slowness is known, each as it would be on an average worker.
    known: Total,
    /// Logarithms of the rates on other workers.
    unknown: Total,
}

impl Rates {
    fn add(&mut self, log: f64, slowness_log: Option<f64>) {
        match slowness_log {
            Some(slowness) => self.known.add(log + slowness),
            None => self.unknown.add(log),
        }
    }

    /// Returns the logarithm of the step's rate on an average worker. Workers whose slowness is known decide: were all
    /// taken as average, those that are all fast would seem average once they are compared only with each other.
    fn on_average_worker(&self) -> Option<f64> {
        self.known.mean().or_else(|| self.unknown.mean())
    }
}

/// A sum with the number of its terms.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    sum: f64,
    count: u32,
}

impl Total {
    fn add(&mut self, term: f64) {
        self.sum += term;
        self.count += 1;
    }

    fn mean(self) -> Option<f64> {
        (self.count > 0).then(|| self.sum / f64::from(self.count))
    }
}

impl WorkerSpeed {
    fn reset_current(&mut self) {
        self.best_ratio = 0.0;
        self.current_jobs.clear();
    }

    fn add_interval(&mut self, log: f64) {
        self.intervals += 1;
        let weight = INTERVAL_WEIGHT.max(1.0 / f64::from(self.intervals));
        self.mean_log_ratio += weight * (log - self.mean_log_ratio);
    }
}

/// Returns the expected rate of a run, in percent a second. Returns `None` for a run that isn't the task's current one,
/// that is long-running, or that is away from its data or rack.
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

/// Returns whether a run is away from its data, or its gang is spread over racks although it wants one.
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

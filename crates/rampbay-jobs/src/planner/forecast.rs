//! Expected durations of tasks.
//!
//! A caller's estimate of one task may be far off, while the tasks of a queue are alike. So widely
//! scattered estimates of a queue are taken as inaccurate, and are shrunk towards their geometric
//! mean. This uses only data in the store, so a planner that takes over computes the same durations.

use std::collections::BTreeMap;

use crate::job::{QueueName, Step, Submission};
use crate::table::JobTable;

/// Smallest number of estimates from which a queue's mean is used.
const MIN_ESTIMATES: usize = 5;
/// Variance of the logarithm of actual durations within a queue; any greater variance of the estimates is taken as
/// error.
const EXPECTED_LOG_VARIANCE: f64 = 0.16;

/// Statistics of the estimates of one queue.
#[derive(Clone, Copy, Debug)]
struct QueueForecast {
    mean_log: f64,
    /// Weight of a single estimate against the mean, 0 to 1.
    own_weight: f64,
    /// Standard deviation of the logarithms of the estimates.
    deviation: f64,
}

/// Expected durations by queue.
#[derive(Debug, Default)]
pub struct Forecasts {
    queues: BTreeMap<QueueName, QueueForecast>,
    known_jobs: usize,
}

impl Forecasts {
    /// Recomputes the statistics if the number of jobs has changed since the last round.
    pub fn update(&mut self, table: &JobTable) {
        if self.known_jobs == table.jobs.len() {
            return;
        }
        self.known_jobs = table.jobs.len();
        let mut logs: BTreeMap<&QueueName, Vec<f64>> = BTreeMap::new();
        for job in table.jobs.values() {
            let estimates = job.submission.steps.iter().map(|step| step.estimate_ms);
            let logs = logs.entry(&job.submission.queue).or_default();
            logs.extend(estimates.filter(|&estimate| estimate > 0).map(|e| (e as f64).ln()));
        }
        let enough = logs.into_iter().filter(|(_, logs)| logs.len() >= MIN_ESTIMATES);
        self.queues = enough.map(|(queue, logs)| (queue.clone(), forecast(&logs))).collect();
    }

    /// Returns how long a task of a step is expected to take, in milliseconds.
    pub fn duration_ms(&self, submission: &Submission, step: &Step) -> u64 {
        let Some(queue) = self.queues.get(&submission.queue) else { return step.estimate_ms };
        if step.estimate_ms == 0 {
            return queue.mean_log.exp() as u64;
        }
        let own = (step.estimate_ms as f64).ln();
        (queue.own_weight * own + (1.0 - queue.own_weight) * queue.mean_log).exp() as u64
    }

    /// Returns the mean estimate of a queue in milliseconds, and the standard deviation of the logarithms of its
    /// estimates; `None` if too few are known.
    pub fn of_queue(&self, queue: &QueueName) -> Option<(u64, f64)> {
        let known = self.queues.get(queue)?;
        Some((known.mean_log.exp() as u64, known.deviation))
    }

    /// Returns the standard deviation of the logarithms of the estimates of a job's queue; 0 if too few are known.
    pub fn deviation(&self, submission: &Submission) -> f64 {
        self.queues.get(&submission.queue).map_or(0.0, |queue| queue.deviation)
    }

    /// Returns how long each step of a job is expected to take, in milliseconds.
    pub fn durations_ms(&self, submission: &Submission) -> Vec<u64> {
        submission.steps.iter().map(|step| self.duration_ms(submission, step)).collect()
    }
}

fn forecast(logs: &[f64]) -> QueueForecast {
    let count = logs.len() as f64;
    let mean_log = logs.iter().sum::<f64>() / count;
    let variance = logs.iter().map(|log| (log - mean_log).powi(2)).sum::<f64>() / count;
    let own_weight = (EXPECTED_LOG_VARIANCE / variance).min(1.0);
    QueueForecast { mean_log, own_weight, deviation: variance.sqrt() }
}

//! What a planner remembers of workers that fail or refuse what they are given.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::job::{InstanceId, JobId};

/// Failures without a success between after which a worker is avoided.
const FAILURES_TO_AVOID: usize = 2;
/// How long a failure counts.
const FAILURE_COUNTS_FOR: Duration = Duration::from_secs(12);
/// How long a worker is avoided after it failed too often or a run stood still there.
const AVOID_FAILING: Duration = Duration::from_secs(5);
/// How long a worker is avoided after it refused a start.
const AVOID_REFUSING: Duration = Duration::from_millis(600);

/// Failures of one worker.
#[derive(Debug, Default)]
struct WorkerHealth {
    failures: Vec<(JobId, Duration)>,
    avoid_until: Duration,
}

/// Failures of all workers.
#[derive(Debug, Default)]
pub struct HealthBook {
    workers: BTreeMap<InstanceId, WorkerHealth>,
}

impl HealthBook {
    /// Takes note of a run that failed. Failures of one job count once: its own fault is likely.
    pub fn failed(&mut self, instance: &str, job: &JobId, now: Duration) {
        let health = self.workers.entry(instance.to_owned()).or_default();
        health.failures.retain(|(other, at)| other != job && now - *at < FAILURE_COUNTS_FOR);
        health.failures.push((job.clone(), now));
        if health.failures.len() >= FAILURES_TO_AVOID {
            health.avoid_until = health.avoid_until.max(now + AVOID_FAILING);
        }
    }

    /// Takes note of a run that ended well.
    pub fn succeeded(&mut self, instance: &str) {
        if let Some(health) = self.workers.get_mut(instance) {
            health.failures.clear();
        }
    }

    /// Takes note of a run that stood still.
    pub fn stalled(&mut self, instance: &str, now: Duration) {
        let health = self.workers.entry(instance.to_owned()).or_default();
        health.avoid_until = health.avoid_until.max(now + AVOID_FAILING);
    }

    /// Takes note of a start that was refused.
    pub fn refused(&mut self, instance: &str, now: Duration) {
        let health = self.workers.entry(instance.to_owned()).or_default();
        health.avoid_until = health.avoid_until.max(now + AVOID_REFUSING);
    }

    /// Returns whether a worker is better left alone.
    #[must_use]
    pub fn is_avoided(&self, instance: &str, now: Duration) -> bool {
        self.workers.get(instance).is_some_and(|health| now < health.avoid_until)
    }
}

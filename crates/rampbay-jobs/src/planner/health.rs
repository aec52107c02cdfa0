//! Tracks workers on which runs fail, stall or are refused.
//!
//! A worker that fails every run is always free, and would be assigned more work than any other. So a
//! worker where runs of two jobs have failed, without a successful run in between, is blocked for a
//! while; after that one more failure is enough to block it again. A worker whose agent doesn't pick up
//! a run gets no other runs for a while, or until the agent reports the end of that run. A worker that
//! refuses starts isn't tried again at once either, since its free capacity differs from what the
//! planner knows. A job that fails at several workers is itself at fault, and counts against none of
//! them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::job::{InstanceId, JobId, TaskId};

/// Number of jobs that failed, without a success in between, from which a worker is blocked.
const FAILED_JOBS_TO_BLOCK: usize = 2;
/// Time for which a failure counts.
const FAILURE_RETENTION: Duration = Duration::from_secs(15);
/// Longest time for which a worker is blocked after too many failures, a stalled run or a run that its agent didn't
/// pick up.
const BLOCK_TIME: Duration = Duration::from_secs(5);
/// Time for which other workers are preferred after a refused start, which is never the job's fault.
const AVOID_TIME_AFTER_REFUSAL: Duration = Duration::from_millis(4000);

/// Initial time for which a worker is blocked after it refused a start. It doubles with each refusal after such a pause,
/// until a run starts there.
const REFUSAL_PAUSE: Duration = Duration::from_millis(250);
/// Longest of these pauses; by then the worker's next heartbeat with its capacity has arrived.
const MAX_REFUSAL_PAUSE: Duration = Duration::from_millis(2000);

/// A job's latest failure at a worker.
#[derive(Debug)]
struct Failure {
    job: JobId,
    at: Duration,
}

/// Failures of one worker.
#[derive(Debug, Default)]
struct WorkerHealth {
    failures: Vec<Failure>,
    avoid_until: Duration,
    block_until: Duration,
    /// Runs that the agent didn't pick up in time, and until when the worker is blocked for them.
    unreported: BTreeSet<(TaskId, u32)>,
    unreported_until: Duration,
    /// Latest pause after a refusal, while nothing has started since.
    refusal_pause: Option<Duration>,
    refused_until: Duration,
}

/// Failures of all workers.
#[derive(Debug)]
pub struct HealthTracker {
    /// Time for which other workers are preferred after a failure.
    avoid_time: Duration,
    workers: BTreeMap<InstanceId, WorkerHealth>,
}

impl HealthTracker {
    /// Creates a tracker without failures. Other workers are preferred to one for `avoid_time` after a failure there.
    #[must_use]
    pub const fn new(avoid_time: Duration) -> Self {
        Self { avoid_time, workers: BTreeMap::new() }
    }

    /// Removes workers that are no longer registered.
    pub fn retain(&mut self, is_registered: impl Fn(&str) -> bool) {
        self.workers.retain(|instance, _| is_registered(instance));
    }

    /// Records a failed run.
    pub fn record_failure(&mut self, instance: &str, job: &JobId, now: Duration) {
        let health = self.workers.entry(instance.to_owned()).or_default();
        health
            .failures
            .retain(|failure| failure.job != *job && now - failure.at < FAILURE_RETENTION);
        health.failures.push(Failure { job: job.clone(), at: now });
        health.avoid_until = health.avoid_until.max(now + self.avoid_time);
        if self.failed_workers(job).len() > 1 {
            self.attribute_to_job(job);
            return;
        }
        let Some(health) = self.workers.get_mut(instance) else { return };
        if health.failures.len() >= FAILED_JOBS_TO_BLOCK {
            health.block_until = now + BLOCK_TIME;
        }
    }

    fn failed_workers(&self, job: &JobId) -> BTreeSet<&InstanceId> {
        let failed = self
            .workers
            .iter()
            .filter(|(_, health)| health.failures.iter().any(|failure| failure.job == *job));
        failed.map(|(instance, _)| instance).collect()
    }

    fn attribute_to_job(&mut self, job: &JobId) {
        for health in self.workers.values_mut() {
            health.failures.retain(|failure| failure.job != *job);
        }
    }

    /// Records a successful run.
    pub fn record_success(&mut self, instance: &str) {
        if let Some(health) = self.workers.get_mut(instance) {
            health.failures.clear();
            health.block_until = Duration::ZERO;
            health.unblock_unreported();
        }
    }

    /// Records a stalled run.
    pub fn record_stall(&mut self, instance: &str, now: Duration) {
        let health = self.workers.entry(instance.to_owned()).or_default();
        health.block_until = health.block_until.max(now + BLOCK_TIME);
    }

    /// Records a run that the worker's agent didn't pick up in time. The worker is blocked until [`Self::record_end`], and
    /// other workers are preferred for the whole time.
    pub fn record_unreported(
        &mut self,
        instance: &str,
        task: &TaskId,
        attempt: u32,
        now: Duration,
    ) {
        let health = self.workers.entry(instance.to_owned()).or_default();
        health.unreported.insert((task.clone(), attempt));
        health.unreported_until = health.unreported_until.max(now + BLOCK_TIME);
        health.avoid_until = health.avoid_until.max(now + BLOCK_TIME);
    }

    /// Records that a worker's agent has reported the end of a run. If it's one that the agent didn't pick up in time,
    /// the agent has picked it up since, and the worker is no longer blocked for it. Tasks whose unanswered starts bind
    /// them to this worker would otherwise wait for the rest of the time, and nothing of their jobs would run.
    pub fn record_end(&mut self, instance: &str, task: &TaskId, attempt: u32) {
        if let Some(health) = self.workers.get_mut(instance)
            && health.unreported.contains(&(task.clone(), attempt))
        {
            health.unblock_unreported();
        }
    }

    /// Records a refused start.
    pub fn record_refusal(&mut self, instance: &str, now: Duration) {
        let health = self.workers.entry(instance.to_owned()).or_default();
        health.avoid_until = health.avoid_until.max(now + AVOID_TIME_AFTER_REFUSAL);
        if now < health.refused_until {
            return;
        }
        let pause = health.refusal_pause.map_or(REFUSAL_PAUSE, |pause| pause * 2);
        let pause = pause.min(MAX_REFUSAL_PAUSE);
        health.refusal_pause = Some(pause);
        health.refused_until = now + pause;
    }

    /// Records that a run had started.
    pub fn record_start(&mut self, instance: &str) {
        if let Some(health) = self.workers.get_mut(instance) {
            health.refusal_pause = None;
            health.refused_until = Duration::ZERO;
        }
    }

    /// Returns whether other workers are preferred to a worker.
    #[must_use]
    pub fn is_avoided(&self, instance: &str, now: Duration) -> bool {
        self.workers.get(instance).is_some_and(|health| now < health.avoid_until)
    }

    /// Returns whether a worker is blocked, and so gets no work.
    #[must_use]
    pub fn is_blocked(&self, instance: &str, now: Duration) -> bool {
        self.workers.get(instance).is_some_and(|health| now < health.blocked_until())
    }
}

impl WorkerHealth {
    fn unblock_unreported(&mut self) {
        self.unreported.clear();
        self.unreported_until = Duration::ZERO;
    }

    fn blocked_until(&self) -> Duration {
        self.block_until.max(self.refused_until).max(self.unreported_until)
    }
}

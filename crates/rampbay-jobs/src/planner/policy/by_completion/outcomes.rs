//! What came of the stops: whether the jobs that got room by them ended in time.
//!
//! Stops pay only if the urgent work for which they are made then ends in time. Operators see from the counts whether
//! they do. The jobs are kept in the leader's memory, so those of an earlier leader aren't counted.

use std::collections::HashMap;

use crate::job::{EpochMillis, JobId};
use crate::metrics::metrics;
use crate::plan::JobStatus;
use crate::planner::RoundInputs;
use crate::planner::policy::{RoundStart, RunChange, StopReason};

/// The jobs that got room by stops and haven't ended, and the times by which they should end.
#[derive(Debug, Default)]
pub struct StopOutcomes(HashMap<JobId, EpochMillis>);

impl StopOutcomes {
    /// Records the stops since the last round, and counts the jobs that have ended.
    pub fn update(&mut self, start: &RoundStart<'_>) {
        let inputs = start.inputs;
        for event in start.events {
            let RunChange::Stopped(StopReason::Preempted { for_job }) = &event.change else {
                continue;
            };
            let Some(job) = inputs.table.jobs.get(for_job) else { continue };
            // The occurrences of a timed job each have an objective of their own.
            if !job.submission.is_timed() {
                self.0.entry(for_job.clone()).or_insert_with(|| job.submission.objective_at(0));
            }
        }
        self.0.retain(|job, objective_at| match outcome(job, *objective_at, inputs) {
            Some(outcome) => {
                metrics().count_stops(outcome);
                false
            }
            None => true,
        });
    }
}

/// Returns what came of the stops for a job; `None` while it goes on.
fn outcome(
    job: &JobId,
    objective_at: EpochMillis,
    inputs: &RoundInputs<'_>,
) -> Option<&'static str> {
    match inputs.table.status(job) {
        Some(JobStatus::Succeeded) if inputs.wall <= objective_at => Some("in_time"),
        Some(JobStatus::Succeeded) => Some("late"),
        Some(JobStatus::Failed | JobStatus::Cancelled) | None => Some("unused"),
        Some(JobStatus::Queued | JobStatus::Running) => None,
    }
}

//! By when the tasks of a step have to end.

use crate::job::{EpochMillis, Submission, USEFUL_OBJECTIVES};
use crate::planner::queue::WaitingStep;

use super::Completion;

/// By when a step has to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deadline {
    /// Latest end with which its job ends in time.
    pub in_time: EpochMillis,
    /// Latest end with which its caller still wants the job's result.
    pub useful: EpochMillis,
}

impl Deadline {
    /// Returns the deadline of a waiting step.
    #[must_use]
    pub const fn of_waiting(waiting: &WaitingStep) -> Self {
        Self {
            in_time: waiting.latest_start + waiting.duration_ms,
            useful: waiting.latest_useful_start + waiting.duration_ms,
        }
    }
}

impl Completion<'_> {
    /// Returns the deadline of a step of one occurrence of a job; `None` if the job has no such step.
    #[must_use]
    pub fn deadline(
        &self,
        submission: &Submission,
        occurrence: u32,
        step: u32,
    ) -> Option<Deadline> {
        let durations = self.forecasts.durations_ms(submission);
        let chains = submission.chains_ms(&durations);
        let step = step as usize;
        // The steps after this one have to end in time as well.
        let after_ms = chains.get(step)? - durations.get(step)?;
        let objective_ms = submission.objective_ms(chains.iter().copied().max().unwrap_or(0));
        let due_at = submission.due_at(occurrence);
        let latest = |objective_ms: u64| (due_at + objective_ms).saturating_sub(after_ms);
        Some(Deadline {
            in_time: latest(objective_ms),
            useful: latest(objective_ms * USEFUL_OBJECTIVES),
        })
    }
}

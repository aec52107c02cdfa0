//! The order of waiting steps of the same urgency.

use crate::job::EpochMillis;
use crate::planner::policy::StepOrder;
use crate::planner::queue::WaitingStep;

/// Waiting time, in milliseconds, after which the work of a step counts half.
const AGING_MS: u64 = 10_000;

/// Returns the order of a step: those that can still end in time go first, then those with little work.
pub fn step_order(waiting: &WaitingStep, wall: EpochMillis) -> StepOrder {
    StepOrder { share_rank: 0, late: waiting.is_late(wall), work: aged_work(waiting, wall) }
}

/// Returns the work of a step, reduced by its waiting time, so that no step waits for ever.
fn aged_work(waiting: &WaitingStep, wall: EpochMillis) -> u64 {
    waiting.work() * AGING_MS / (AGING_MS + waiting.waited_ms(wall))
}

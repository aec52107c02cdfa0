//! How much work may be lost to stops so that a step can start.
//!
//! Load: urgent gangs with 0.3 to 0.9 s to spare, beside gangs of lower priority that may take three times their work.
//! The urgent ones can't wait for runs to end, so runs are stopped for them, up to what the step itself is worth. Work
//! of lower priority has time to wait; workers are held for its gangs, and nothing is stopped for it.

use crate::job::EpochMillis;
use crate::planner::policy::by_lost_work::URGENT_BASE;
use crate::planner::queue::WaitingStep;

/// Returns the highest cost of stops for `count` of the waiting tasks of a step, in thousandths of core-seconds. For a
/// guaranteed step it is unlimited.
pub fn max_stop_cost(waiting: &WaitingStep, count: usize, wall: EpochMillis) -> u64 {
    if waiting.guaranteed {
        return u64::MAX;
    }
    if waiting.submission.priority > 0 || !is_still_useful(waiting, wall) {
        return 0;
    }
    let allowed_for_step = URGENT_BASE + waiting.work();
    allowed_for_step / waiting.tasks.len().max(1) as u64 * count as u64
}

/// Returns whether a step may still end while its caller wants the result. A job that is late by its own objective is
/// worth less, but its caller still waits for it.
const fn is_still_useful(waiting: &WaitingStep, wall: EpochMillis) -> bool {
    wall <= waiting.latest_useful_start
}

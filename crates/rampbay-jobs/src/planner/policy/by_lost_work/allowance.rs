//! How much work may be lost to preemption so that a step can start.
//!
//! The work of a stopped run has to be done again, so a stop pays only where the step is worth more.
//! A job is worth more the more work it holds, and urgent work is worth more for the same work.

use crate::job::EpochMillis;
use crate::planner::queue::WaitingStep;

/// Work that may be lost for any urgent step that can still end in time, in thousandths of core-seconds.
pub const URGENT_BASE: u64 = 200_000;
/// Work that may be lost for it in addition, as a share of the step's own work, in thousandths.
const URGENT_SHARE_PERMILLE: u64 = 1_000;
/// Work that may be lost for a gang that isn't urgent, as a share of its own work, in thousandths.
const GANG_SHARE_PERMILLE: u64 = 150;
/// Time for which a gang that isn't urgent waits for capacity before others are stopped for it.
const MIN_GANG_WAIT_MS: u64 = 2_500;

/// Returns the work that may be lost for `count` of the waiting tasks of a step, in thousandths of core-seconds. For a
/// guaranteed step it is unlimited.
pub fn max_stop_cost(waiting: &WaitingStep, count: usize, wall: EpochMillis) -> u64 {
    if waiting.guaranteed {
        return u64::MAX;
    }
    let allowed_for_step = lost_work_allowed(waiting, wall);
    allowed_for_step / waiting.tasks.len().max(1) as u64 * count as u64
}

/// Returns the work that may be lost to preemption for a step, in thousandths of core-seconds. For
/// a step that can't end in time any more this is 0.
fn lost_work_allowed(waiting: &WaitingStep, wall: EpochMillis) -> u64 {
    if waiting.is_late(wall) {
        return 0;
    }
    if waiting.submission.priority == 0 {
        return URGENT_BASE + share(waiting.work(), URGENT_SHARE_PERMILLE);
    }
    let has_waited_briefly = waiting.waited_ms(wall) < MIN_GANG_WAIT_MS;
    if !waiting.definition().gang || has_waited_briefly {
        return 0;
    }
    share(waiting.work(), GANG_SHARE_PERMILLE)
}

const fn share(work: u64, permille: u64) -> u64 {
    work / 1000 * permille
}

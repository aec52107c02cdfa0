//! How much work may be thrown away so that a step can start.
//!
//! What is stopped has to be done again, so a stop is worth it only where the step is worth more.
//! A job is worth more the more work it holds, and urgent work is worth more for the same work.

use crate::job::EpochMillis;

use super::queue::WaitingStep;

/// Thrown away for any urgent step that can still end in time, in thousandths of core-seconds.
const URGENT_BASE: u64 = 200_000;
/// The same in addition, as a share of the step's own work, in thousandths.
const URGENT_SHARE_PERMILLE: u64 = 1_000;
/// Thrown away for a gang that isn't urgent, as a share of its own work, in thousandths.
const GANG_SHARE_PERMILLE: u64 = 150;
/// How long a gang that isn't urgent waits for room before others are stopped for it.
const GANG_PATIENCE_MS: u64 = 2_500;

/// Returns the work that may be thrown away for a step, in thousandths of core-seconds. Nothing may
/// be for steps that can't end in time any more, unless they are guaranteed.
pub fn lost_work_allowed(waiting: &WaitingStep, wall: EpochMillis) -> u64 {
    if waiting.guaranteed {
        return u64::MAX;
    }
    if waiting.is_late(wall) {
        return 0;
    }
    if waiting.submission.priority == 0 {
        return URGENT_BASE + share(waiting.work(), URGENT_SHARE_PERMILLE);
    }
    let is_patient = waiting.waited_ms(wall) < GANG_PATIENCE_MS;
    if !waiting.definition().gang || is_patient {
        return 0;
    }
    share(waiting.work(), GANG_SHARE_PERMILLE)
}

const fn share(work: u64, permille: u64) -> u64 {
    work / 1000 * permille
}

//! When a stalled run is given up.
//!
//! Load: tasks that stand still for some seconds and go on then, as on a slow disk, beside tasks that never go on. To
//! wait for as long as the restart would cost never loses more than twice as much as the better of the two choices. So
//! a run that has just begun is moved soon, and a gang with ten seconds of unsaved work waits that long.

use std::time::Duration;

use crate::job::Step;
use crate::planner::progress::ObservedProgress;

/// Longest wait of a stalled run: twice the 6 s for which tasks stand still. One that stands longer never goes on.
const MAX_WAIT: Duration = Duration::from_secs(12);

/// Returns the time for which a stalled run waits beyond `stall_after`, on account of its unsaved work.
pub fn additional_wait(step: &Step, seen: &ObservedProgress, stall_after: Duration) -> Duration {
    unsaved_work(step, seen).min(MAX_WAIT).saturating_sub(stall_after)
}

/// Returns the time that the run's work since its last checkpoint took.
fn unsaved_work(step: &Step, seen: &ObservedProgress) -> Duration {
    if step.checkpointing {
        return Duration::ZERO;
    }
    seen.unchanged_since.saturating_duration_since(seen.first_seen)
}

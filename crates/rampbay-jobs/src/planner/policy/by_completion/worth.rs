//! What a caller gets of a step, by when the step ends.
//!
//! Load: urgent steps that are about to be late, beside runs whose callers have time. Stops pay only where the caller of
//! the urgent step gains more than the callers of the stopped runs lose, so both are measured alike.

use crate::job::EpochMillis;
use crate::planner::completion::deadline::Deadline;

/// The worth of a step that ends in time.
pub const IN_TIME: u64 = 1_000;
/// The worth of a step that ends just after that. Its caller still wants it, but a stop that lets it end in time may cost
/// nearly what `by_lost_work` allows.
const JUST_LATE: u64 = 800;

/// Returns the worth of a step that ends at a time, in thousandths: all of it in time, a fifth less just after that, and
/// then less and less until its caller no longer wants it.
pub fn of_end(end: EpochMillis, deadline: Deadline) -> u64 {
    if end <= deadline.in_time {
        return IN_TIME;
    }
    let window_ms = deadline.useful.saturating_sub(deadline.in_time).max(1);
    JUST_LATE * deadline.useful.saturating_sub(end) / window_ms
}

//! What a run at a worker that gives notice loses beyond its work.
//!
//! Load: workers that leave in waves on a day with trouble, with runs that would end about when their notice does. A
//! stop isn't free: the run holds its worker until it has stopped, and its next start takes a while. A run that is still
//! there when its worker leaves loses the time until the crash is noticed.

use std::time::Duration;

use crate::planner::departure::DepartureCosts;

/// Time from the end of a stop until the task runs elsewhere: a round, the record of its decision and the start.
const START_TIME: Duration = Duration::from_millis(300);
/// Time by which the loss of a worker is noticed later than the end of a stop.
const LOSS_NOTICED_AFTER: Duration = Duration::from_millis(500);

/// Returns these costs, given the time that a stop takes.
pub const fn departure_costs(stop_time: Duration) -> DepartureCosts {
    DepartureCosts { if_stopped: stop_time.saturating_add(START_TIME), if_left: LOSS_NOTICED_AFTER }
}

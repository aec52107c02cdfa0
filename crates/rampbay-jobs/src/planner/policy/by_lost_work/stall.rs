//! When a stalled run is given up.

use std::time::Duration;

use crate::job::Step;
use crate::planner::progress::{FULL_PERCENT, ObservedProgress};

/// Time limits for stalled runs.
#[derive(Clone, Copy, Debug)]
pub struct StallLimits {
    /// Time without progress after which a run is moved.
    pub stall_after: Duration,
    /// Factor by which work takes longer away from its data or spread over racks.
    pub remote_penalty: u64,
}

impl StallLimits {
    /// Returns the time without progress after which a run is moved.
    pub fn limit(&self, step: &Step, seen: &ObservedProgress) -> Duration {
        // A run past its estimate reports no further progress, and may take long if it is away from its data.
        let past_estimate = seen.percent >= FULL_PERCENT;
        let longest = Duration::from_millis(step.estimate_ms * self.remote_penalty);
        self.stall_after + if past_estimate { longest } else { Duration::ZERO }
    }
}
